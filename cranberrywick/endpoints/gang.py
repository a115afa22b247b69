"""Takes a gang's memory, and gives it back however the request ends."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from cranberrywick.decisions.gangs import GangPlan, GangReservation, Held, Step
from cranberrywick.decisions.orphans import ListedKind
from cranberrywick.endpoints.cancel import record_cleanup
from cranberrywick.endpoints.holdings import list_holdings, release, reserve
from cranberrywick.errors import AnswerLost, CranberrywickError, EndpointRefused

__all__ = ["hold_gang"]

# Past the request's own deadline, so that its memory is never taken from under it;
# short, so that an owner that dies unseen costs little.
TTL_MARGIN_SECONDS = 5.0


@contextmanager
def hold_gang(
    plan: GangPlan,
    addresses_by_id: Mapping[str, str],
    owner: str,
    remaining_seconds: float,
) -> Iterator[str]:
    """Hold every part of ``plan`` and yield the value for ``X-Cache-Id``.

    All or nothing: raises `EndpointRefused`, not run, when any engine refuses, and
    gives back what was taken.  Everything is given back on leaving the block, too.
    What an engine does not confirm is found by the next sweeps, and ended by the
    engine's own time-to-live at last.

    >>> with hold_gang(plan, addresses, str(owner), 60.0) as cache_id:
    ...     answer = send(leader, call._replace(headers={"X-Cache-Id": cache_id}))
    """
    reservation = GangReservation(plan)
    ttl_seconds = remaining_seconds + TTL_MARGIN_SECONDS
    try:
        while step := reservation.next_step():
            _take(reservation, step, addresses_by_id, owner, ttl_seconds)
        yield ",".join(reservation.import_ids)
    finally:
        for held in reservation.to_release():
            record_cleanup(addresses_by_id[held.endpoint_id])
            if _give_back(held, addresses_by_id[held.endpoint_id], owner):
                reservation.released(held)


def _take(
    reservation: GangReservation,
    step: Step,
    addresses_by_id: Mapping[str, str],
    owner: str,
    ttl_seconds: float,
) -> None:
    source = ""
    if step.source is not None:
        holder = addresses_by_id[step.source.endpoint_id]
        source = f"{holder}/{step.source.reservation_id}"
    try:
        reservation_id = reserve(
            addresses_by_id[step.endpoint_id],
            step.kind,
            owner=owner,
            tokens=step.tokens,
            ttl_seconds=ttl_seconds,
            source=source,
        )
    except EndpointRefused:
        reservation.refused()
        raise
    except AnswerLost as error:
        reservation.unknown()
        # The prompt itself has been sent nowhere.
        raise EndpointRefused("an engine did not answer a reservation") from error
    reservation.taken(reservation_id)


def _give_back(held: Held, address: str, owner: str) -> bool:
    kind = ListedKind(held.kind.value)
    if held.reservation_id is not None:
        return release(address, kind, held.reservation_id)
    try:
        listed = list_holdings(address, held.endpoint_id)
    except CranberrywickError:
        return False
    mine = [item for item in listed if (item.kind, item.owner) == (kind, owner)]
    return all([release(address, kind, item.item_id) for item in mine])

"""Reserves the memory of a gang and releases it however the request ends."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from cranberrywick.decisions.gangs import GangPlan, GangReservation, Held, Step
from cranberrywick.decisions.orphans import ListedKind
from cranberrywick.endpoints.cancel import record_cleanup
from cranberrywick.endpoints.holdings import list_holdings, release, reserve
from cranberrywick.errors import AnswerLost, CranberrywickError, EndpointRefused

__all__ = ["hold_gang"]

# Time by which a reservation's time-to-live exceeds the request's remaining time, in
# seconds.  The engine must not free the memory while the request may still use it;
# a short margin limits how long memory stays reserved when its owner dies unnoticed.
TTL_MARGIN_SECONDS = 5.0


@contextmanager
def hold_gang(
    plan: GangPlan,
    addresses_by_id: Mapping[str, str],
    owner: str,
    remaining_seconds: float,
) -> Iterator[str]:
    """Reserve every part of ``plan`` and yield the value for ``X-Cache-Id``.

    Either all parts are reserved or none: when an engine refuses or does not answer,
    the parts reserved so far are released and `EndpointRefused` is raised, which
    states that the request did not run.  On leaving the block all parts are
    released.  If an engine does not confirm a release, the next sweeps repeat it; at
    the latest the reservation ends with its time-to-live at the engine.

    >>> with hold_gang(plan, addresses, str(owner), 60.0) as cache_id:
    ...     answer = send(leader, call._replace(headers={"X-Cache-Id": cache_id}))
    """
    reservation = GangReservation(plan)
    ttl_seconds = remaining_seconds + TTL_MARGIN_SECONDS
    try:
        while step := reservation.next_step():
            _reserve_step(reservation, step, addresses_by_id, owner, ttl_seconds)
        yield ",".join(reservation.import_ids)
    finally:
        for held in reservation.to_release():
            record_cleanup(addresses_by_id[held.endpoint_id])
            if _release_held(held, addresses_by_id[held.endpoint_id], owner):
                reservation.released(held)


def _reserve_step(
    reservation: GangReservation,
    step: Step,
    addresses_by_id: Mapping[str, str],
    owner: str,
    ttl_seconds: float,
) -> None:
    source = ""
    if step.source is not None:
        source_address = addresses_by_id[step.source.endpoint_id]
        source = f"{source_address}/{step.source.reservation_id}"
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
        # Whether the reservation exists is unknown, but the request itself has not
        # been sent to any engine, so it did not run.
        raise EndpointRefused("an engine did not answer a reservation") from error
    reservation.taken(reservation_id)


def _release_held(held: Held, address: str, owner: str) -> bool:
    kind = ListedKind(held.kind.value)
    if held.reservation_id is not None:
        return release(address, kind, held.reservation_id)
    try:
        listed = list_holdings(address, held.endpoint_id)
    except CranberrywickError:
        return False
    own_items = [item for item in listed if (item.kind, item.owner) == (kind, owner)]
    return all([release(address, kind, item.item_id) for item in own_items])

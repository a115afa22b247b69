"""Division of an endpoint's slots between the daemons that use it.

Load pattern: one daemon has a burst, the others have little work, and there are often
fewer slots than daemons. Divided by demand, the slots that the others do not want go
to the burst. Divided evenly, the burst would queue while slots are idle; and rounded
down, eight slots divided by nine daemons are none. The same arguments always give the
same division, including who gets the slots that remain after rounding. So daemons need
no messages to divide the endpoint of a steward that does not answer.
"""

from collections.abc import Iterable, Mapping

from cranberrywick.model import Endpoint
from cranberrywick.rendezvous import rendezvous_order

__all__ = ["divide", "fallback_slots"]


def divide(
    limit: int, wanted_by_holder: Mapping[str, int], spare_share: float, key: str
) -> dict[str, int]:
    """Return each holder's share of ``limit`` slots, by max-min fairness.

    A holder gets no more than it wants, and what it does not want is divided evenly
    between those that want more. The part ``spare_share``, from 0 to 1, of the slots
    that nobody wants is divided evenly between all. Slots that remain after rounding
    go by an order that depends on ``key``, so that over many endpoints no holder is
    always last.

    >>> divide(8, {"a": 100, "b": 2, "c": 2}, 0.0, "engine-1")
    {'b': 2, 'c': 2, 'a': 4}
    """
    order = rendezvous_order(key, wanted_by_holder)
    order.sort(key=wanted_by_holder.__getitem__)
    share_by_holder = {}
    remaining = limit
    for index, holder in enumerate(order):
        share = min(wanted_by_holder[holder], remaining // (len(order) - index))
        share_by_holder[holder] = share
        remaining -= share
    spare = int(remaining * spare_share)
    for index, holder in enumerate(reversed(order)):
        share_by_holder[holder] += spare // len(order) + (index < spare % len(order))
    return share_by_holder


def fallback_slots(
    endpoint: Endpoint, daemon_id: str, daemon_ids: Iterable[str]
) -> int:
    """Return this daemon's slots of a warm endpoint whose steward does not answer.

    The slots of daemons with the same members add up to those of the endpoint. With
    rounding down alone, nine daemons would leave an endpoint of eight slots idle.
    """
    order = rendezvous_order(endpoint.endpoint_id, daemon_ids)
    if daemon_id not in order:
        return 0
    quotient, remainder = divmod(endpoint.slots, len(order))
    return quotient + (order.index(daemon_id) < remainder)

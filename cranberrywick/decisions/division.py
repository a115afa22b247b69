"""Dividing an endpoint's slots between the daemons that use it.

Load pattern: one daemon has a burst, the others little, and there are often fewer
slots than daemons. By demand the burst gets what the others leave; divided evenly it
would queue beside idle slots, and rounded down eight slots before nine daemons are
none. Every daemon works the same parts out without a word, odd slots included.
"""

from collections.abc import Iterable, Mapping

from cranberrywick.model import Endpoint
from cranberrywick.rendezvous import rendezvous_order

__all__ = ["divide", "fallback_slots"]


def divide(
    limit: int, wanted_by_holder: Mapping[str, int], spare_lent: float, key: str
) -> dict[str, int]:
    """Divide slots by demand, no holder ahead of one that wants more.

    A part ``spare_lent`` of what is left over is spread evenly. Odd slots go by an
    order that depends on ``key``, so that over many endpoints no holder is always
    last.
    """
    order = rendezvous_order(key, wanted_by_holder)
    order.sort(key=wanted_by_holder.__getitem__)
    share_by_holder = {}
    left = limit
    for index, holder in enumerate(order):
        share = min(wanted_by_holder[holder], left // (len(order) - index))
        share_by_holder[holder] = share
        left -= share
    lent = int(left * spare_lent)
    for index, holder in enumerate(reversed(order)):
        share_by_holder[holder] += lent // len(order) + (index < lent % len(order))
    return share_by_holder


def fallback_slots(
    endpoint: Endpoint, daemon_id: str, daemon_ids: Iterable[str]
) -> int:
    """Return this daemon's part of a warm endpoint whose steward does not answer.

    The parts of daemons with the same view add up to the slots: rounding down
    alone would leave an endpoint of eight slots before nine daemons idle.
    """
    order = rendezvous_order(endpoint.endpoint_id, daemon_ids)
    if daemon_id not in order:
        return 0
    each, odd = divmod(endpoint.slots, len(order))
    return each + (order.index(daemon_id) < odd)

"""Order in which waiting requests are placed.

Load pattern: more requests than slots, of several priorities and with different
targets. In first-come, first-served order one long wait makes every later request late.
Here requests are ordered by priority, then by whether they can still be on time, then
by due time. A request that is already late waits behind all requests of its priority
that are not.
"""

from typing import NamedTuple

__all__ = ["OrderKey", "order_key"]


class OrderKey(NamedTuple):
    """Sort key of a waiting request; the smallest is placed first."""

    priority: int
    is_late: bool
    due_at: float


def order_key(priority: int, due_at: float, now: float) -> OrderKey:
    """Return the sort key of a request whose answer should begin by ``due_at``."""
    return OrderKey(priority, due_at < now, due_at)

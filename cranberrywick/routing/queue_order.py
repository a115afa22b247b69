"""In which order waiting requests are looked at.

Load pattern: more requests than places, of several ranks and with unlike targets.
First come, first served lets one long wait make every later request late. Here rank
goes first, then who can still be on time, then who is due first. A request that can
only be late waits behind all of its rank that can still be on time.
"""

from typing import NamedTuple

__all__ = ["OrderKey", "order_key"]


class OrderKey(NamedTuple):
    """Sorts waiting requests; the smallest goes first."""

    priority: int
    is_late: bool
    due_at: float


def order_key(priority: int, due_at: float, now: float) -> OrderKey:
    """Return the place of a request whose answer should begin at ``due_at``."""
    return OrderKey(priority, due_at < now, due_at)

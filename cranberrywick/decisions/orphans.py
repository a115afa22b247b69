"""Detection of streams and reservations at an engine whose owner is gone.

Load pattern: a daemon is killed in the middle of an import, or a cancel is lost.
Without this, the engine keeps the memory until a long time-to-live ends, or for ever,
and serves less with every failure.

Figures: if the owner is certainly gone, since its daemon has restarted or itself
reports that the request has ended, the item is released after ``GONE_SECONDS``, which
is longer than a release in transit takes. A silent daemon may only be partitioned from
this one, and regions lose contact with each other for minutes. What it holds is
released after ``SILENT_SECONDS``, but a stream never while it has a reader. A release
by mistake costs the request a typed failure, never a wrong answer.
"""

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Listed", "ListedKind", "OrphanTracker", "Owner", "OwnerState"]

# Time for which an item is kept after its owner is known to be gone, in seconds.
GONE_SECONDS = 5.0
# Time for which an item without readers is kept while its owner is silent, in seconds.
SILENT_SECONDS = 120.0


class Owner(NamedTuple):
    """The request, and the run of a daemon, that holds an item at an engine.

    >>> Owner.parse(str(Owner("entry-1", 7, "r42")))
    Owner(daemon_id='entry-1', incarnation=7, request_id='r42')
    """

    daemon_id: str
    incarnation: int
    request_id: str

    def __str__(self) -> str:
        return f"{self.daemon_id}/{self.incarnation}/{self.request_id}"

    @classmethod
    def parse(cls, text: str) -> "Owner | None":
        """Return the owner, or None if ``text`` does not have a daemon's format."""
        parts = text.split("/", 2)
        if len(parts) != 3 or not parts[1].isdigit():
            return None
        return cls(parts[0], int(parts[1]), parts[2])


class OwnerState(StrEnum):
    """Whether an owner still exists, as far as this daemon can determine."""

    LIVE = "live"
    GONE = "gone"
    SILENT = "silent"


class ListedKind(StrEnum):
    """The list of an engine that an item is in."""

    STREAM = "streams"
    EXPORT = "exports"
    IMPORT = "imports"


class Listed(NamedTuple):
    """One item that an engine lists; ``readers`` counts its open connections."""

    endpoint_id: str
    kind: ListedKind
    item_id: str
    owner: str
    readers: int = 0


class OrphanTracker:
    """Records since when each item has had no live owner.

    ``state_of`` returns the present state of an owner.
    """

    def __init__(self, state_of: Callable[[Owner], OwnerState]):
        self._state_of = state_of
        self._since_by_item: dict[Listed, float] = {}

    def orphans(
        self, endpoint_id: str, items: Iterable[Listed], now: float
    ) -> list[Listed]:
        """Return the items to release at one engine, given the complete list of them.

        ``now`` is in monotonic seconds.
        """
        kept: dict[Listed, float] = {}
        orphans = []
        for item in items:
            grace = self._grace(item)
            if grace is None:
                continue
            key = item._replace(readers=0)
            kept[key] = self._since_by_item.get(key, now)
            if now - kept[key] >= grace:
                orphans.append(item)
        self._replace(endpoint_id, kept)
        return orphans

    def _grace(self, item: Listed) -> float | None:
        """Return how long to keep the item, in seconds, or None for no limit."""
        owner = Owner.parse(item.owner)
        if owner is None:
            return None  # not a daemon's: another system may use the engine as well
        state = self._state_of(owner)
        if state is OwnerState.GONE:
            return GONE_SECONDS
        if state is OwnerState.SILENT and item.readers == 0:
            return SILENT_SECONDS
        return None

    def _replace(self, endpoint_id: str, kept: dict[Listed, float]) -> None:
        others = {
            item: since
            for item, since in self._since_by_item.items()
            if item.endpoint_id != endpoint_id
        }
        self._since_by_item = {**others, **kept}

"""Which endpoints have announced in their answers that they are draining.

Load pattern: an endpoint is about to stop and says so in each of its answers, while its
record in the store shows it as ready: the store is unavailable, the record is written
seconds later or not at all, or it expires and is written again. If the newest record
alone decided, requests would reach the endpoint until it stops, and be lost there.

A notice holds for the start of the endpoint that gave it and for earlier ones, whose
records an older copy of the store may show again. No record or later answer ends it: a
process that is stopping does not change its mind, but answers can overtake one another.
Daemons send each other what their answers have announced, since an endpoint that gets
no more requests announces nothing to the others.
"""

from collections import defaultdict
from collections.abc import Mapping
from math import inf
from typing import NamedTuple

__all__ = ["DrainNotice", "DrainNotices"]

# How long a daemon sends a notice that it has received from the endpoint itself, in
# seconds. This covers ten heartbeats of the largest fleets: each passes over three
# links, any of which may lose it.
REPORT_SECONDS = 15.0
# How long notices of endpoints that are not registered are kept, in seconds. A record
# that expired while the store was unavailable may return that late.
KEEP_SECONDS = 600.0


class DrainNotice(NamedTuple):
    """An announcement that an endpoint is draining.

    ``born`` identifies the start of the endpoint, as in its record. ``announced_at`` is
    the time of the first answer with the announcement.
    """

    endpoint_id: str
    born: int
    announced_at: float


class DrainNotices:
    """The notices that this daemon has received, from endpoints and from peers.

    >>> notices = DrainNotices()
    >>> notices.add(DrainNotice("e1", born=1, announced_at=10.0), is_own=True)
    True
    >>> notices.announced_at("e1", born=1), notices.announced_at("e1", born=2)
    (10.0, None)
    """

    def __init__(self) -> None:
        self._borns_by_id: dict[str, set[int]] = defaultdict(set)
        self._notices_by_start: dict[tuple[str, int], DrainNotice] = {}
        # When this daemon began to send each notice.
        self._sent_since_by_start: dict[tuple[str, int], float] = {}

    def add(self, notice: DrainNotice, is_own: bool, now: float | None = None) -> bool:
        """Record a notice; return whether it is the first for this start.

        ``is_own`` says that this daemon sends it to others from ``now`` on, by default
        the time of the announcement: the endpoint announced it to this daemon, or its
        record did, which the store may have forgotten.
        """
        start = notice.endpoint_id, notice.born
        if is_own:
            since = notice.announced_at if now is None else now
            self._sent_since_by_start.setdefault(start, since)
        known = self._notices_by_start.get(start)
        if known is None or notice.announced_at < known.announced_at:
            self._notices_by_start[start] = notice
            self._borns_by_id[notice.endpoint_id].add(notice.born)
        return known is None

    def announced_at(self, endpoint_id: str, born: int) -> float | None:
        """Return when a start of an endpoint, or a later one, announced that it drains.

        None if none did.
        """
        return min(
            (
                self._notices_by_start[endpoint_id, announced].announced_at
                for announced in self._borns_by_id.get(endpoint_id, ())
                if announced >= born
            ),
            default=None,
        )

    def recent(self, now: float) -> list[DrainNotice]:
        """Return the notices that this daemon has begun to send lately."""
        return [
            notice
            for start, notice in self._notices_by_start.items()
            if now - self._sent_since_by_start.get(start, -inf) <= REPORT_SECONDS
        ]

    def all(self) -> list[DrainNotice]:
        """Return all notices, for a daemon that has just started."""
        return list(self._notices_by_start.values())

    def forget(self, born_by_id: Mapping[str, int], now: float) -> None:
        """Remove old notices, except those of the registered starts."""
        for start, notice in list(self._notices_by_start.items()):
            is_old = now - notice.announced_at > KEEP_SECONDS
            if is_old and born_by_id.get(notice.endpoint_id) != notice.born:
                del self._notices_by_start[start]
                self._borns_by_id[notice.endpoint_id].discard(notice.born)
                if not self._borns_by_id[notice.endpoint_id]:
                    del self._borns_by_id[notice.endpoint_id]
                self._sent_since_by_start.pop(start, None)

"""The registered endpoints that this daemon tracks, from snapshots of the store.

Load pattern: the store is unavailable for seconds while traffic continues, and
endpoints that are alive lose their records meanwhile, since these expire. Without the
grace period below the first snapshot after the outage shows half of the endpoints
missing, and all traffic goes to the rest.
"""

from math import isfinite
from typing import NamedTuple

from cranberrywick.routing.drain_notices import DrainNotice, DrainNotices
from cranberrywick.routing.endpoint_backoffs import EndpointBackoffs
from cranberrywick.routing.endpoint_index import EndpointIndex, TrackedEndpoint
from cranberrywick.routing.model import EndpointDelta, EndpointRecord, EndpointView
from cranberrywick.routing.store_knowledge import RetainedEndpoint, RetainedEndpoints
from cranberrywick.routing.store_position import UNKNOWN_EPOCH, StorePosition

__all__ = ["EndpointChange", "EndpointRegistry", "TrackedEndpoint"]

# A longer interval than this between two snapshots, in seconds, is an outage of the
# store, in which records of endpoints that are alive may have expired. Another reader
# takes over well before it, so that the interval is shorter while the store answers.
OUTAGE_SECONDS = 2.0
# Grace period after an outage, in seconds. The platform guarantees that endpoints which
# are alive have registered again by its end; those still missing then are gone.
RETURN_GRACE_SECONDS = 2.0
# How long an endpoint counts as draining that was never known to be ready, in seconds;
# longer than any deployment lets endpoints get work after they have begun to drain.
UNKNOWN_DRAIN_SECONDS = 60.0


class EndpointChange(NamedTuple):
    """One change of a tracked endpoint, for the log."""

    endpoint_id: str
    what: str


class EndpointRegistry:
    """Tracks endpoints by applying snapshots of the store; ignores outdated ones.

    Tracked endpoints are changed in place, so that the cost of a snapshot depends on
    the number of changes and not on that of registered endpoints.

    ``drain_notices`` are what endpoints have announced in their answers. A snapshot
    changes neither these nor the backoffs that endpoints have requested.
    """

    def __init__(self, drain_notices: DrainNotices | None = None) -> None:
        self._drain_notices = drain_notices or DrainNotices()
        self._backoffs = EndpointBackoffs()
        self._retained = RetainedEndpoints()
        self.position = StorePosition(UNKNOWN_EPOCH, 0)
        self.read_at = float("-inf")
        self.tracked_by_id: dict[str, TrackedEndpoint] = {}
        self.index = EndpointIndex()
        self._cold_ids: set[str] = set()
        self._missing_ids: set[str] = set()
        self._view = EndpointView(0, {})
        self._grace_until = float("-inf")

    @property
    def revision(self) -> int:
        """The store's revision at the newest snapshot; 0 before the first."""
        return self.position.revision

    def age(self, now: float) -> float:
        """Return the age of the newest snapshot, in seconds."""
        return now - self.read_at

    @property
    def born_by_id(self) -> dict[str, int]:
        """The start of each tracked endpoint, as in its record."""
        return {i: tracked.record.born for i, tracked in self.tracked_by_id.items()}

    def apply_notice(self, notice: DrainNotice) -> None:
        """Mark an endpoint as draining, unless it has started again since."""
        tracked = self.tracked_by_id.get(notice.endpoint_id)
        if tracked is not None and tracked.record.born <= notice.born:
            announced_at = notice.announced_at
            self._replace(tracked._replace(drain_announced_at=announced_at), tracked)

    def draining_ids(self, service: str) -> set[str]:
        """Return the endpoints of a service that are draining."""
        return {e.endpoint_id for e in self.index.of_service(service) if e.is_draining}

    def departed_ids(self, since: float) -> set[str]:
        """Return the endpoints whose records were removed after a moment."""
        return self._retained.departed_ids(since)

    def request_backoff(
        self, endpoint_id: str, born: int, seconds: float, now: float
    ) -> float:
        """Give an endpoint no requests for some seconds; return when that ends."""
        until = self._backoffs.request(endpoint_id, born, seconds, now)
        self._set_backoff(endpoint_id, born)
        return until

    def end_backoffs(self, now: float) -> list[str]:
        """Use endpoints again whose backoff is over; return their ids."""
        if not self._backoffs:
            return []
        ended = self._backoffs.end(now)
        for endpoint_id, born in ended:
            self._set_backoff(endpoint_id, born)
        return [endpoint_id for endpoint_id, _ in ended]

    def store_returned(self, now: float) -> list[DrainNotice]:
        """Keep what is known of endpoints, which the store may have forgotten.

        An endpoint that is draining gets no requests before its next start, one that is
        gone for some seconds, and a cold one stays cold. Return notices of those that
        are draining.
        """
        for kept in self._retained.store_returned(self.tracked_by_id, now):
            self._apply_retained(kept, now)
        return [
            DrainNotice(endpoint_id, tracked.record.born, _drained_since(tracked, now))
            for endpoint_id, tracked in self.tracked_by_id.items()
            if tracked.record.draining
        ]

    def adopt(self, endpoint: RetainedEndpoint, now: float) -> bool:
        """Keep what a peer keeps of an endpoint; return whether this is news."""
        if not self._retained.adopt(endpoint):
            return False
        self._apply_retained(endpoint, now)
        return True

    def retained(self, now: float) -> tuple[RetainedEndpoint, ...]:
        """Return what is kept of endpoints although the store may not show it."""
        return self._retained.entries(now)

    def _apply_retained(self, kept: RetainedEndpoint, now: float) -> None:
        if kept.unused_until > now:
            unused_seconds = kept.unused_until - now
            self.request_backoff(kept.endpoint_id, kept.born, unused_seconds, now)
        tracked = self.tracked_by_id.get(kept.endpoint_id)
        if tracked is not None and tracked.record.born <= kept.born:
            cold_until = max(tracked.cold_until, kept.cold_until)
            self._replace(tracked._replace(cold_until=cold_until), tracked)

    def _set_backoff(self, endpoint_id: str, born: int) -> None:
        tracked = self.tracked_by_id.get(endpoint_id)
        if tracked is not None and tracked.record.born <= born:
            until = self._backoffs.until(endpoint_id, tracked.record.born)
            self._replace(tracked._replace(backoff_until=until), tracked)

    def apply(
        self, view: EndpointView, read_at: float, now: float
    ) -> list[EndpointChange]:
        """Apply a snapshot that was read at ``read_at``; return the changes."""
        return self.apply_delta(view, view.delta_from(self._view), read_at, now)

    def apply_delta(
        self, view: EndpointView, delta: EndpointDelta, read_at: float, now: float
    ) -> list[EndpointChange]:
        """Apply a snapshot that differs from the last one by ``delta``.

        Return the changes: none for a snapshot that is older than the last one.
        """
        if self.is_outdated(view.position, read_at):
            return []
        is_first = self.revision == 0
        has_returned = view.epoch > self.position.epoch
        if has_returned and not is_first:
            # Also what peers' older snapshots have shown since the return was known.
            for notice in self.store_returned(now):
                self._drain_notices.add(notice, is_own=True, now=now)
        known_until, self.read_at = self.read_at, read_at
        if not is_first and (has_returned or read_at - known_until > OUTAGE_SECONDS):
            self._grace_until = now + RETURN_GRACE_SECONDS
        self.position, self._view = view.position, view
        changes: list[EndpointChange] = []
        for record in delta.changed:
            self._apply_record(record, known_until, changes)
        for endpoint_id in delta.gone_ids:
            self._record_missing(endpoint_id, now, changes)
        self._extend_cold()
        self._evict_missing(now, changes)
        return changes

    def is_outdated(self, position: StorePosition, read_at: float) -> bool:
        """Whether a snapshot of this position is no newer than the last one."""
        if position.epoch != self.position.epoch:
            return position.epoch < self.position.epoch
        return position.revision < self.position.revision or read_at <= self.read_at

    def _apply_record(
        self, record: EndpointRecord, known_until: float, changes: list[EndpointChange]
    ) -> None:
        endpoint_id = record.endpoint_id
        before = self.tracked_by_id.get(endpoint_id)
        old = before
        ready_until_known = float("-inf")
        if old is not None and old.record.born != record.born:
            changes.append(EndpointChange(endpoint_id, "restarted"))
            old = None
        elif old is None:
            changes.append(EndpointChange(endpoint_id, "appeared"))
        elif record.draining and not old.record.draining:
            changes.append(EndpointChange(endpoint_id, "draining"))
            ready_until_known = known_until
        if old is not None and old.record.draining and record.draining:
            ready_until_known = old.ready_until_known
        self._missing_ids.discard(endpoint_id)
        self._retained.appeared(endpoint_id, record.born)
        if record.cold_seconds > 0:
            self._cold_ids.add(endpoint_id)
        else:
            self._cold_ids.discard(endpoint_id)
        tracked = TrackedEndpoint(
            record,
            self._retained.cold_until(endpoint_id, record.born),
            ready_until_known=ready_until_known,
            drain_announced_at=self._drain_notices.announced_at(
                endpoint_id, record.born
            ),
            backoff_until=self._backoffs.until(endpoint_id, record.born),
        )
        self._replace(tracked, before)

    def _replace(
        self, tracked: TrackedEndpoint, before: TrackedEndpoint | None
    ) -> None:
        self.tracked_by_id[tracked.endpoint_id] = tracked
        self.index.put(tracked, before)

    def _record_missing(
        self, endpoint_id: str, now: float, changes: list[EndpointChange]
    ) -> None:
        """Record that an endpoint's record is missing from the snapshot."""
        old = self.tracked_by_id.get(endpoint_id)
        if old is None or endpoint_id in self._missing_ids:
            return
        # An endpoint that was draining before its record disappeared has left, and is
        # not kept even after an outage.
        if now < self._grace_until and not old.is_draining:
            self._replace(old._replace(missing_since=now), old)
            changes.append(EndpointChange(endpoint_id, "lapsed"))
        self._missing_ids.add(endpoint_id)

    def _extend_cold(self) -> None:
        """Set the end of the cold time of each cold endpoint, from the last reading.

        This includes unchanged records: peers send no update when only the number of
        cold seconds of an endpoint differs.
        """
        for endpoint_id in self._cold_ids:
            old = self.tracked_by_id[endpoint_id]
            cold_until = max(
                self.read_at + old.record.cold_seconds,
                self._retained.cold_until(endpoint_id, old.record.born),
            )
            self._replace(old._replace(cold_until=cold_until), old)

    def _evict_missing(self, now: float, changes: list[EndpointChange]) -> None:
        for endpoint_id in list(self._missing_ids):
            old = self.tracked_by_id[endpoint_id]
            if now < self._grace_until and old.missing_since is not None:
                continue
            del self.tracked_by_id[endpoint_id]
            self._retained.departed(endpoint_id, old.record.born, now)
            self._missing_ids.discard(endpoint_id)
            self._cold_ids.discard(endpoint_id)
            self.index.remove(old)
            changes.append(EndpointChange(endpoint_id, "gone"))


def _drained_since(tracked: TrackedEndpoint, now: float) -> float:
    """Return the earliest moment at which an endpoint may have begun to drain."""
    since = tracked.ready_until_known
    return since if isfinite(since) else now - UNKNOWN_DRAIN_SECONDS

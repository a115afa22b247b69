"""What this daemon believes of the registered endpoints.

Load pattern: the store goes away for seconds while traffic goes on, and endpoints
that live lose their records meanwhile. Without the grace below, the first reading
after its return shows half of the fleet missing, and all traffic falls on the rest.
"""

from typing import NamedTuple

from cranberrywick.routing.endpoint_index import EndpointIndex, TrackedEndpoint
from cranberrywick.routing.model import EndpointDelta, EndpointRecord, EndpointView

__all__ = ["EndpointChange", "EndpointRegistry", "TrackedEndpoint"]

# The longest pause between two readings in which no record can have lapsed: a
# reader takes over well before it, so a longer one is an outage of the store.
OUTAGE_SECONDS = 2.0
# Endpoints that live are back in the store this long after its return, as the
# platform promises; what is missing then is gone.
RETURN_GRACE_SECONDS = 2.0


class EndpointChange(NamedTuple):
    """One change of belief, for the log."""

    endpoint_id: str
    what: str


class EndpointRegistry:
    """Merges readings of the store into one belief; older ones change nothing.

    Beliefs are changed in place, so that a reading costs what it changes and not
    what is registered.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.read_at = float("-inf")
        self.tracked_by_id: dict[str, TrackedEndpoint] = {}
        self.index = EndpointIndex()
        self._cold_ids: set[str] = set()
        self._missing_ids: set[str] = set()
        self._view = EndpointView(0, {})
        self._grace_until = float("-inf")

    def age(self, now: float) -> float:
        """Return how long ago the belief was true in the store, in seconds."""
        return now - self.read_at

    def apply(
        self, view: EndpointView, read_at: float, now: float
    ) -> list[EndpointChange]:
        """Take a reading made at ``read_at`` and return what it changed."""
        return self.apply_delta(view, view.delta_from(self._view), read_at, now)

    def apply_delta(
        self, view: EndpointView, delta: EndpointDelta, read_at: float, now: float
    ) -> list[EndpointChange]:
        """Take a reading that differs from the last one taken by ``delta``."""
        if view.revision < self.revision or read_at <= self.read_at:
            return []
        first = self.revision == 0
        known_until, self.read_at = self.read_at, read_at
        if not first and read_at - known_until > OUTAGE_SECONDS:
            self._grace_until = now + RETURN_GRACE_SECONDS
        self.revision, self._view = view.revision, view
        changes: list[EndpointChange] = []
        for record in delta.changed:
            self._take(record, known_until, changes)
        for endpoint_id in delta.gone_ids:
            self._miss(endpoint_id, now, changes)
        self._extend_cold()
        self._drop_missing(now, changes)
        return changes

    def _take(
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
        if record.cold_seconds > 0:
            self._cold_ids.add(endpoint_id)
        else:
            self._cold_ids.discard(endpoint_id)
        tracked = TrackedEndpoint(
            record, float("-inf"), ready_until_known=ready_until_known
        )
        self._replace(tracked, before)

    def _replace(
        self, tracked: TrackedEndpoint, before: TrackedEndpoint | None
    ) -> None:
        self.tracked_by_id[tracked.endpoint_id] = tracked
        self.index.put(tracked, before)

    def _miss(
        self, endpoint_id: str, now: float, changes: list[EndpointChange]
    ) -> None:
        """Note that an endpoint's record is no longer there."""
        old = self.tracked_by_id.get(endpoint_id)
        if old is None or endpoint_id in self._missing_ids:
            return
        # A record that says "draining" and is then missing has left: an outage is no
        # reason to keep that one.
        if now < self._grace_until and not old.record.draining:
            self._replace(old._replace(missing_since=now), old)
            changes.append(EndpointChange(endpoint_id, "lapsed"))
        self._missing_ids.add(endpoint_id)

    def _extend_cold(self) -> None:
        """Count the cold time that records tell of from their last reading.

        Daemons are not told when a cold endpoint only says a new number of seconds.
        """
        for endpoint_id in self._cold_ids:
            old = self.tracked_by_id[endpoint_id]
            cold_until = self.read_at + old.record.cold_seconds
            self._replace(old._replace(cold_until=cold_until), old)

    def _drop_missing(self, now: float, changes: list[EndpointChange]) -> None:
        for endpoint_id in list(self._missing_ids):
            old = self.tracked_by_id[endpoint_id]
            if now < self._grace_until and old.missing_since is not None:
                continue
            del self.tracked_by_id[endpoint_id]
            self._missing_ids.discard(endpoint_id)
            self._cold_ids.discard(endpoint_id)
            self.index.remove(old)
            changes.append(EndpointChange(endpoint_id, "gone"))

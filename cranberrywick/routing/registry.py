"""What this daemon believes of the registered endpoints.

Load pattern: the store goes away for seconds while traffic goes on, and endpoints
that live lose their records meanwhile. Without the grace below, the first reading
after its return shows half of the fleet missing, and all traffic falls on the rest.
"""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrywick.routing.model import EndpointRecord, EndpointView

__all__ = ["EndpointBelief", "EndpointChange", "EndpointRegistry"]

# The longest pause between two readings in which no record can have lapsed: a
# reader takes over well before it, so a longer one is an outage of the store.
OUTAGE_SECONDS = 2.0
# Endpoints that live are back in the store this long after its return, as the
# platform promises; what is missing then is gone.
RETURN_GRACE_SECONDS = 2.0


class EndpointBelief(NamedTuple):
    """An endpoint that may be used, and until when it is cold.

    ``missing_since`` is set while its record has lapsed in an outage.
    """

    record: EndpointRecord
    cold_until: float
    missing_since: float | None = None


class EndpointChange(NamedTuple):
    """One change of belief, for the log."""

    endpoint_id: str
    what: str


class EndpointRegistry:
    """Merges readings of the store into one belief; older ones change nothing."""

    def __init__(self) -> None:
        self.revision = 0
        self.read_at = float("-inf")
        self.beliefs_by_id: dict[str, EndpointBelief] = {}
        self._grace_until = float("-inf")

    def age(self, now: float) -> float:
        """Return how long ago the belief was true in the store, in seconds."""
        return now - self.read_at

    def apply(
        self, view: EndpointView, read_at: float, now: float
    ) -> list[EndpointChange]:
        """Take a reading made at ``read_at`` and return what it changed."""
        if view.revision < self.revision or read_at <= self.read_at:
            return []
        first = self.revision == 0
        if not first and read_at - self.read_at > OUTAGE_SECONDS:
            self._grace_until = now + RETURN_GRACE_SECONDS
        self.revision, self.read_at = view.revision, read_at
        changes: list[EndpointChange] = []
        beliefs = self._merge(view.records_by_id, read_at, changes)
        self._keep_missing(beliefs, now, changes)
        self.beliefs_by_id = beliefs
        return changes

    def _merge(
        self,
        records_by_id: Mapping[str, EndpointRecord],
        read_at: float,
        changes: list[EndpointChange],
    ) -> dict[str, EndpointBelief]:
        beliefs = {}
        for endpoint_id, record in records_by_id.items():
            old = self.beliefs_by_id.get(endpoint_id)
            if old is not None and old.record.born != record.born:
                changes.append(EndpointChange(endpoint_id, "restarted"))
                old = None
            elif old is None:
                changes.append(EndpointChange(endpoint_id, "appeared"))
            elif record.draining and not old.record.draining:
                changes.append(EndpointChange(endpoint_id, "draining"))
            cold_until = read_at + record.cold_seconds
            if record.cold_seconds <= 0:
                cold_until = float("-inf")
            beliefs[endpoint_id] = EndpointBelief(record, cold_until)
        return beliefs

    def _keep_missing(
        self,
        beliefs: dict[str, EndpointBelief],
        now: float,
        changes: list[EndpointChange],
    ) -> None:
        for endpoint_id, old in self.beliefs_by_id.items():
            if endpoint_id in beliefs:
                continue
            # A record that says "draining" and is then missing has left: an outage
            # is no reason to keep that one.
            if now < self._grace_until and not old.record.draining:
                since = old.missing_since if old.missing_since is not None else now
                beliefs[endpoint_id] = old._replace(missing_since=since)
                if old.missing_since is None:
                    changes.append(EndpointChange(endpoint_id, "lapsed"))
            else:
                changes.append(EndpointChange(endpoint_id, "gone"))

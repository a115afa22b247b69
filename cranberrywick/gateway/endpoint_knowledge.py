"""The registered endpoints, as this daemon knows them."""

from collections import defaultdict
from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from cranberrywick.gateway.endpoint_reading import Applied, EndpointReading
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.model import EndpointView
from cranberrywick.routing.registry import EndpointChange, EndpointRegistry

__all__ = ["EndpointKnowledge", "PeerReading", "StoreReading"]

# Records of so many endpoints fit in a datagram with room to spare.
MOST_TOLD_ENDPOINTS = 500


class PeerReading(Enum):
    """What a peer's reading says to who takes it; MISSED: one before it is lacking."""

    OLD = auto()
    SAME = auto()
    CHANGED = auto()
    MISSED = auto()


class StoreReading(NamedTuple):
    """Whether a reading of the store changed anything, and what is told of it."""

    changed: bool
    reading: EndpointReading


class EndpointKnowledge:
    """Takes readings of the endpoints, from store or peers, and logs changes."""

    def __init__(self, log: EventLog):
        self._log = log
        self.registry = EndpointRegistry()
        self._view: EndpointView | None = None
        self._digest = 0
        # Packed once for all who ask for it.
        self._whole: EndpointReading | None = None
        self._unusable_ids: frozenset[str] = frozenset()

    def take(self, view: EndpointView, read_at: float, now: float) -> StoreReading:
        """Take a reading of the store and return what the others are told of it."""
        base_view, base = self._view, self._digest
        known = base_view or EndpointView(0, {})
        delta = view.delta_from(known)
        changed = self._take(
            Applied(view, delta), known.digest_with_delta(delta, base), read_at, now
        )
        age = self.registry.age(now)
        if self._digest == base and base_view is not None:
            reading = EndpointReading(self.registry.revision, age, base)
        elif base_view is None:
            reading = self.told_reading(now)
        else:
            reading = EndpointReading.difference(
                self._view, self._digest, age, delta, base
            )
        return StoreReading(changed, reading)

    def take_news(self, reading: EndpointReading, now: float) -> PeerReading:
        """Take a peer's reading.

        Raises `PeerMessageInvalid` for changes that can't be read.
        """
        read_at = now - reading.age
        if read_at <= self.registry.read_at:
            return PeerReading.OLD
        applied = reading.applied_to(self._view, self._digest)
        if applied is None:
            return PeerReading.MISSED
        if self._take(applied, reading.digest, read_at, now):
            return PeerReading.CHANGED
        return PeerReading.SAME

    def whole_reading(self, now: float) -> EndpointReading | None:
        """Return all that is known; None if nothing is."""
        if self._view is None:
            return None
        if self._whole is None or self._whole.digest != self._digest:
            self._whole = EndpointReading.whole(self._view, self._digest, 0.0)
        revision, age = self.registry.revision, self.registry.age(now)
        return self._whole._replace(revision=revision, age=age)

    def told_reading(self, now: float) -> EndpointReading | None:
        """Return what a peer is told that may know nothing; None if nothing is known.

        That is all that is known, unless it is too much for a datagram: then the peer
        learns that there is something to ask for.
        """
        if self._view is None or len(self._view.records_by_id) <= MOST_TOLD_ENDPOINTS:
            return self.whole_reading(now)
        age = self.registry.age(now)
        return EndpointReading(self.registry.revision, age, self._digest)

    def _take(self, applied: Applied, digest: int, read_at: float, now: float) -> bool:
        view, delta = applied
        changes = self.registry.apply_delta(view, delta, read_at, now)
        if self.registry.read_at == read_at:
            self._view, self._digest = view, digest
            self._note_unusable(view)
        self._log_changes(changes, view.revision, now - read_at)
        return bool(changes)

    def _log_changes(
        self, changes: Iterable[EndpointChange], revision: int, age: float
    ) -> None:
        ids_by_what = defaultdict(list)
        for change in changes:
            ids_by_what[change.what].append(change.endpoint_id)
        for what, endpoint_ids in ids_by_what.items():
            for listed in id_lists(endpoint_ids):
                self._log.info(
                    "endpoint_changed",
                    endpoint=listed,
                    what=what,
                    revision=revision,
                    age=age,
                )

    def _note_unusable(self, view: EndpointView) -> None:
        """Log records that can't be read, once for as long as they stand."""
        unusable = frozenset(view.unusable_ids)
        for endpoint_id in sorted(unusable - self._unusable_ids):
            self._log.warning(
                "endpoint_record_unusable", endpoint=endpoint_id, revision=view.revision
            )
        self._unusable_ids = unusable

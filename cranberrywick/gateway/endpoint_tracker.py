"""The registered endpoints, as this daemon knows them."""

from collections import defaultdict
from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from cranberrywick.gateway.endpoint_snapshot import NO_DELTA, Applied, EndpointSnapshot
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.model import EndpointDelta, EndpointView
from cranberrywick.routing.registry import EndpointChange, EndpointRegistry

__all__ = ["EndpointTracker", "PeerSnapshotOutcome", "StoreSnapshotOutcome"]

# Records of so many endpoints fit in a datagram with room to spare.
MOST_TOLD_ENDPOINTS = 500
# For so long a change is told again with each reading: several of these in a row are
# hardly ever lost.
RETELL_SECONDS = 2.0
# Hundreds of endpoints register each second when a large deployment starts. So many,
# the new ones among them, fit in a datagram.
MOST_RETOLD_ENDPOINTS = 450


class PeerSnapshotOutcome(Enum):
    """What a peer's reading says to who takes it; MISSED: one before it is lacking."""

    OLD = auto()
    SAME = auto()
    CHANGED = auto()
    MISSED = auto()


class StoreSnapshotOutcome(NamedTuple):
    """Whether a reading of the store changed anything, and what is told of it.

    Nothing is told of a first reading, for at a start of the whole fleet each daemon
    makes one, nor of more changes than a datagram holds.
    """

    changed: bool
    snapshot: EndpointSnapshot | None


class EndpointTracker:
    """Takes readings of the endpoints, from store or peers, and logs changes."""

    def __init__(self, log: EventLog):
        self._log = log
        self.registry = EndpointRegistry()
        self._view: EndpointView | None = None
        self._digest = 0
        # Packed once for all who ask for it.
        self._whole: EndpointSnapshot | None = None
        self._changed_at_by_id: dict[str, float] = {}
        self._unusable_ids: frozenset[str] = frozenset()

    def apply_store_snapshot(
        self, view: EndpointView, read_at: float, now: float
    ) -> StoreSnapshotOutcome:
        """Take a reading of the store and return what the others are told of it."""
        base_view, base = self._view, self._digest
        known = base_view or EndpointView(0, {})
        delta = view.delta_from(known)
        digest = known.digest_with_delta(delta, base)
        changed = self._take(Applied(view, delta), digest, read_at, now)
        if base_view is None:
            return StoreSnapshotOutcome(changed, None)
        if self._digest == base:
            # Only cold times, which the others count down themselves.
            delta = NO_DELTA
        return StoreSnapshotOutcome(changed, self._told_difference(delta, base, now))

    def _told_difference(
        self, delta: EndpointDelta, base: int, now: float
    ) -> EndpointSnapshot | None:
        """Return what those are told who knew the state ``base`` or one shortly before.

        It repeats the changes of the last moments: a datagram may have been lost, and
        two daemons that read the store at the same time tell from different states.
        """
        age = self.registry.age(now)
        records_by_id = self._view.records_by_id
        told_ids = {record.endpoint_id for record in delta.changed}
        told_ids.update(delta.gone_ids, self._changed_ids(now))
        if not told_ids:
            return EndpointSnapshot(self.registry.revision, age, self._digest)
        if len(told_ids) > MOST_TOLD_ENDPOINTS:
            return None
        told = EndpointDelta(
            tuple(records_by_id[i] for i in told_ids if i in records_by_id),
            tuple(i for i in told_ids if i not in records_by_id),
        )
        return EndpointSnapshot.difference(self._view, self._digest, age, told, base)

    def _changed_ids(self, now: float) -> list[str]:
        """Return endpoints that have changed lately, the latest of many."""
        self._forget_changes(now)
        return list(self._changed_at_by_id)[-MOST_RETOLD_ENDPOINTS:]

    def _forget_changes(self, now: float) -> None:
        for endpoint_id, changed_at in list(self._changed_at_by_id.items()):
            if now - changed_at <= RETELL_SECONDS:
                break
            del self._changed_at_by_id[endpoint_id]

    def apply_peer_snapshot(
        self, snapshot: EndpointSnapshot, now: float
    ) -> PeerSnapshotOutcome:
        """Take a peer's reading.

        Raises `PeerMessageInvalid` for changes that can't be read.
        """
        read_at = now - snapshot.age
        if read_at <= self.registry.read_at:
            return PeerSnapshotOutcome.OLD
        applied = snapshot.applied_to(self._view, self._digest)
        if applied is None:
            return PeerSnapshotOutcome.MISSED
        if self._take(applied, snapshot.digest, read_at, now):
            return PeerSnapshotOutcome.CHANGED
        return PeerSnapshotOutcome.SAME

    def full_snapshot(self, now: float) -> EndpointSnapshot | None:
        """Return all that is known; None if nothing is."""
        if self._view is None:
            return None
        if self._whole is None or self._whole.digest != self._digest:
            self._whole = EndpointSnapshot.whole(self._view, self._digest, 0.0)
        revision, age = self.registry.revision, self.registry.age(now)
        return self._whole._replace(revision=revision, age=age)

    def initial_snapshot(self, now: float) -> EndpointSnapshot | None:
        """Return what a peer is told that may know nothing; None if nothing is known.

        That is all that is known, unless it is too much for a datagram: then the peer
        learns that there is something to ask for.
        """
        if self._view is None or len(self._view.records_by_id) <= MOST_TOLD_ENDPOINTS:
            return self.full_snapshot(now)
        age = self.registry.age(now)
        return EndpointSnapshot(self.registry.revision, age, self._digest)

    def _take(self, applied: Applied, digest: int, read_at: float, now: float) -> bool:
        view, delta = applied
        changes = self.registry.apply_delta(view, delta, read_at, now)
        if self.registry.read_at == read_at:
            if self._view is not None and digest != self._digest:
                self._note_changed(delta, now)
            self._view, self._digest = view, digest
            self._note_unusable(view)
        self._log_changes(changes, view.revision, now - read_at)
        return bool(changes)

    def _note_changed(self, delta: EndpointDelta, now: float) -> None:
        """Remember which endpoints have changed, the latest last."""
        self._forget_changes(now)
        changed_ids = [record.endpoint_id for record in delta.changed]
        for endpoint_id in (*changed_ids, *delta.gone_ids):
            self._changed_at_by_id.pop(endpoint_id, None)
            self._changed_at_by_id[endpoint_id] = now

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

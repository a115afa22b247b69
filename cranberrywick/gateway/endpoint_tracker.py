"""The registered endpoints that this daemon tracks, and the updates it sends."""

from collections import defaultdict
from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from cranberrywick.addresses import is_address
from cranberrywick.gateway.endpoint_snapshot import NO_DELTA, Applied, EndpointSnapshot
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.drain_notices import DrainNotices
from cranberrywick.routing.model import EndpointDelta, EndpointView
from cranberrywick.routing.registry import EndpointChange, EndpointRegistry
from cranberrywick.routing.store_position import UNKNOWN_EPOCH, StorePosition
from cranberrywick.unusable_records import UnusableRecords

__all__ = ["EndpointTracker", "PeerSnapshotOutcome", "StoreSnapshotOutcome"]

# Largest number of endpoints in an update. The records of this many fit in a datagram
# with room to spare.
MAX_UPDATE_ENDPOINTS = 500
# Time for which each update repeats a change, in seconds. Several updates in a row are
# hardly ever lost.
RESEND_SECONDS = 2.0
# Largest number of recently changed endpoints, the new ones included, that an update
# repeats. When a large deployment starts, hundreds of endpoints register each second;
# this many fit in a datagram.
MAX_RESENT_ENDPOINTS = 450


class PeerSnapshotOutcome(Enum):
    """The effect of a peer's snapshot on the state of the daemon that applies it.

    OLD: the own state is as new or newer. SAME: the records are equal.
    CHANGED: records changed. MISSED: the snapshot can't be applied, since an earlier
    update is missing.
    """

    OLD = auto()
    SAME = auto()
    CHANGED = auto()
    MISSED = auto()


class StoreSnapshotOutcome(NamedTuple):
    """Whether a snapshot of the store changed anything, and the update for peers.

    There is no update after the first snapshot, since at a start of the whole fleet
    each daemon reads one, and none for more changes than a datagram holds.
    """

    changed: bool
    snapshot: EndpointSnapshot | None


class EndpointTracker:
    """Applies snapshots of the endpoints, from the store or peers, and logs changes."""

    def __init__(self, log: EventLog, drain_notices: DrainNotices | None = None):
        self._log = log
        self.registry = EndpointRegistry(drain_notices)
        self._view: EndpointView | None = None
        self._digest = 0
        # Packed once for all peers that request it.
        self._full_snapshot: EndpointSnapshot | None = None
        self._changed_at_by_id: dict[str, float] = {}
        self._unusable = UnusableRecords("endpoint", log)

    @property
    def position(self) -> StorePosition:
        """The point in the store's history at which the state was read."""
        return self.registry.position

    def apply_store_snapshot(
        self, view: EndpointView, read_at: float, now: float
    ) -> StoreSnapshotOutcome:
        """Apply a snapshot read from the store; return the update to send to peers."""
        if view.epoch == UNKNOWN_EPOCH:
            view = view._replace(epoch=self.position.epoch)
        base_view, base = self._view, self._digest
        known = base_view or EndpointView(0, {})
        delta = view.delta_from(known)
        digest = known.digest_with_delta(delta, base)
        changed = self._apply(Applied(view, delta), digest, read_at, now)
        self._unusable.record(view.unusable_reasons_by_id, view.revision)
        if base_view is None:
            return StoreSnapshotOutcome(changed, None)
        if self._digest == base:
            # Only cold times changed, which the peers count down themselves.
            delta = NO_DELTA
        return StoreSnapshotOutcome(changed, self._pack_update(delta, base, now))

    def _pack_update(
        self, delta: EndpointDelta, base: int, now: float
    ) -> EndpointSnapshot | None:
        """Return an update for peers with the state ``base`` or one shortly before it.

        None for more changes than a datagram holds. The update repeats the changes of
        the last `RESEND_SECONDS`: a datagram may have been lost, and two daemons that
        read the store at the same time send updates on top of different states.
        """
        age = self.registry.age(now)
        records_by_id = self._view.records_by_id
        sent_ids = {record.endpoint_id for record in delta.changed}
        sent_ids.update(delta.gone_ids, self._recently_changed_ids(now))
        if not sent_ids:
            return self._without_changes(age)
        if len(sent_ids) > MAX_UPDATE_ENDPOINTS:
            return None
        sent = EndpointDelta(
            tuple(records_by_id[i] for i in sent_ids if i in records_by_id),
            tuple(i for i in sent_ids if i not in records_by_id),
        )
        return EndpointSnapshot.difference(self._view, self._digest, age, sent, base)

    def _recently_changed_ids(self, now: float) -> list[str]:
        """Return the endpoints changed lately, only the latest if they are too many."""
        self._expire_changes(now)
        return list(self._changed_at_by_id)[-MAX_RESENT_ENDPOINTS:]

    def _expire_changes(self, now: float) -> None:
        for endpoint_id, changed_at in list(self._changed_at_by_id.items()):
            if now - changed_at <= RESEND_SECONDS:
                break
            del self._changed_at_by_id[endpoint_id]

    def apply_peer_snapshot(
        self, snapshot: EndpointSnapshot, now: float
    ) -> PeerSnapshotOutcome:
        """Apply a peer's snapshot.

        Raises `PeerMessageInvalid` for changes that can't be read or that do not lead
        to the snapshot's digest.
        """
        read_at = now - snapshot.age
        if snapshot.epoch == UNKNOWN_EPOCH:
            snapshot = snapshot._replace(epoch=self.position.epoch)
        if self._is_outdated(snapshot, read_at):
            return PeerSnapshotOutcome.OLD
        applied = snapshot.applied_to(self._view, self._digest)
        if applied is None:
            return PeerSnapshotOutcome.MISSED
        # A daemon of an earlier version sends records that this one reads as unusable.
        # They are part of the digest, but not tracked.
        usable = applied._replace(delta=_usable(applied.delta))
        if self._apply(usable, snapshot.digest, read_at, now):
            return PeerSnapshotOutcome.CHANGED
        return PeerSnapshotOutcome.SAME

    def _is_outdated(self, snapshot: EndpointSnapshot, read_at: float) -> bool:
        known = self.position.epoch
        if snapshot.epoch != known:
            return snapshot.epoch < known
        return read_at <= self.registry.read_at

    def full_snapshot(self, now: float) -> EndpointSnapshot | None:
        """Return a snapshot with all records; None before the first reading."""
        if self._view is None:
            return None
        if self._full_snapshot is None or self._full_snapshot.digest != self._digest:
            self._full_snapshot = EndpointSnapshot.whole(self._view, self._digest, 0.0)
        return self._full_snapshot._replace(
            revision=self.registry.revision,
            age=self.registry.age(now),
            epoch=self.position.epoch,
        )

    def initial_snapshot(self, now: float) -> EndpointSnapshot | None:
        """Return the snapshot for a peer that may have no state yet.

        None before the first reading. It holds all records unless they are too
        many for a datagram; then it holds none, and its digest shows the peer that
        there are records to request.
        """
        if self._view is None or len(self._view.records_by_id) <= MAX_UPDATE_ENDPOINTS:
            return self.full_snapshot(now)
        return self._without_changes(self.registry.age(now))

    def _without_changes(self, age: float) -> EndpointSnapshot:
        revision, epoch = self.registry.revision, self.position.epoch
        return EndpointSnapshot(revision, age, self._digest, epoch=epoch)

    def _apply(self, applied: Applied, digest: int, read_at: float, now: float) -> bool:
        view, delta = applied
        if self.registry.is_outdated(view.position, read_at):
            return False
        changes = self.registry.apply_delta(view, delta, read_at, now)
        if self._view is not None and digest != self._digest:
            self._record_changes(delta, now)
        self._view, self._digest = view, digest
        self._log_changes(changes, view.revision, now - read_at)
        return bool(changes)

    def _record_changes(self, delta: EndpointDelta, now: float) -> None:
        """Record which endpoints have changed and when, the latest last."""
        self._expire_changes(now)
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


def _usable(delta: EndpointDelta) -> EndpointDelta:
    """Return a delta in which endpoints without an address are gone."""
    unusable_ids = [
        record.endpoint_id for record in delta.changed if not is_address(record.address)
    ]
    if not unusable_ids:
        return delta
    changed = [each for each in delta.changed if each.endpoint_id not in unusable_ids]
    return EndpointDelta(tuple(changed), (*delta.gone_ids, *unusable_ids))

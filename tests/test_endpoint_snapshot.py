"""What daemons tell one another of the endpoints: differences, and what was missed."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.endpoint_tracker import EndpointTracker, PeerSnapshotOutcome
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import EndpointRecord, EndpointView


def record(endpoint_id, draining=False, born=1):
    return EndpointRecord(
        endpoint_id, "drafting", "10.1.0.1:80", "fd-a", 5, draining, 0.0, born
    )


def view(revision, *records):
    return EndpointView(revision, {each.endpoint_id: each for each in records})


def knowing(first):
    tracker = EndpointTracker(EventLog())
    tracker.apply_store_snapshot(first, 1.0, 1.0)
    return tracker


def large(revision, leaving=()):
    """Return a hundred and forty endpoints, some of which leave."""
    ids = [f"i-{number:010x}" for number in range(140)]
    return view(revision, *(record(i, draining=i in leaving) for i in ids))


def test_a_leaving_endpoint_is_told_in_few_bytes():
    """Endpoints of a large fleet are replaced one after the other.

    Each that leaves is told to all daemons at once. Of a hundred and forty records one
    has changed: told whole, the links of those who pass it on are full.
    """
    reader, other = knowing(large(1)), knowing(large(1))
    taken = reader.apply_store_snapshot(large(2, leaving=["i-0000000007"]), 2.0, 2.0)
    assert len(taken.snapshot.changes) < 300
    assert len(reader.full_snapshot(2.0).changes) > 1000
    assert other.apply_peer_snapshot(taken.snapshot, 2.1) is PeerSnapshotOutcome.CHANGED
    assert other.registry.tracked_by_id["i-0000000007"].record.draining


def test_who_missed_a_change_learns_that_and_asks_for_all():
    """A datagram that tells of a leaving endpoint is lost on its way to one daemon.

    The next reading says that nothing has changed since. It does not know that state,
    asks a peer for all records and sends nothing to the endpoint from then on.
    """
    reader, other = knowing(large(1)), knowing(large(1))
    reader.apply_store_snapshot(large(2, leaving=["i-0000000007"]), 2.0, 2.0)
    same = reader.apply_store_snapshot(
        large(3, leaving=["i-0000000007"]), 4.5, 4.5
    ).snapshot
    assert not same.changes
    assert other.apply_peer_snapshot(same, 4.6) is PeerSnapshotOutcome.MISSED
    assert not other.registry.tracked_by_id["i-0000000007"].record.draining
    assert (
        other.apply_peer_snapshot(reader.full_snapshot(4.7), 4.7)
        is PeerSnapshotOutcome.CHANGED
    )
    assert other.registry.tracked_by_id["i-0000000007"].record.draining
    assert other.apply_peer_snapshot(same, 4.4) is PeerSnapshotOutcome.OLD


def test_a_change_on_top_of_a_missed_one_is_not_applied():
    reader, other = knowing(large(1)), knowing(large(1))
    reader.apply_store_snapshot(large(2, leaving=["i-0000000007"]), 2.0, 2.0)
    leaving = ["i-0000000007", "i-0000000008"]
    second = reader.apply_store_snapshot(large(3, leaving), 4.5, 4.5).snapshot
    assert second.changes
    assert other.apply_peer_snapshot(second, 4.6) is PeerSnapshotOutcome.MISSED


def test_a_lost_change_is_told_again_shortly_after():
    """Guards against daemons that fetch all records for each datagram that is lost."""
    reader, other = knowing(large(1)), knowing(large(1))
    reader.apply_store_snapshot(large(2, leaving=["i-0000000007"]), 2.0, 2.0)
    second = reader.apply_store_snapshot(
        large(3, leaving=["i-0000000007"]), 2.5, 2.5
    ).snapshot
    assert len(second.changes) < 300
    assert other.apply_peer_snapshot(second, 2.6) is PeerSnapshotOutcome.CHANGED
    assert other.registry.tracked_by_id["i-0000000007"].record.draining


def test_two_that_read_at_the_same_time_contradict_nobody():
    """Guards against fetches of all records where two daemons tell of one change.

    The first in rank and the second read the store in the same moment. The second has
    not heard of the first one's reading and tells from an older state.
    """
    first, second, other = (knowing(large(1)) for _ in range(3))
    told = first.apply_store_snapshot(
        large(2, leaving=["i-0000000007"]), 2.0, 2.0
    ).snapshot
    leaving = ["i-0000000007", "i-0000000008"]
    also_told = second.apply_store_snapshot(large(3, leaving), 2.05, 2.05).snapshot
    assert other.apply_peer_snapshot(told, 2.06) is PeerSnapshotOutcome.CHANGED
    assert other.apply_peer_snapshot(also_told, 2.07) is PeerSnapshotOutcome.CHANGED
    assert other.registry.tracked_by_id["i-0000000008"].record.draining


def test_changes_against_their_digest_are_refused():
    first, second = large(1), large(2, leaving=["i-0000000007"])
    wrong = EndpointSnapshot.difference(
        second, 7, 0.0, second.delta_from(first), first.digest
    )
    with pytest.raises(PeerMessageInvalid):
        knowing(first).apply_peer_snapshot(wrong, 2.0)


class TellingMachine(RuleBasedStateMachine):
    """One daemon reads the store and tells two others, who miss some of it.

    Whoever learns that it missed something asks for the whole. After any reading that
    arrived, a daemon knows what the store said then; it never knows a mixture.
    """

    ids = ("e1", "e2", "e3", "e4")

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.records = {"e1": record("e1")}
        self.revision = 1
        self.views_by_revision = {}
        self.reader = EndpointTracker(EventLog())
        self.others = [EndpointTracker(EventLog()) for _ in range(2)]

    @rule(
        endpoint_id=st.sampled_from(ids),
        draining=st.booleans(),
        born=st.integers(1, 2),
    )
    def register(self, endpoint_id, draining, born):
        self.revision += 1
        self.records[endpoint_id] = record(endpoint_id, draining, born)

    @rule(endpoint_id=st.sampled_from(ids))
    def remove(self, endpoint_id):
        self.revision += 1
        self.records.pop(endpoint_id, None)

    @rule(heard=st.lists(st.booleans(), min_size=2, max_size=2))
    def read(self, heard):
        self.now += 0.5
        read = EndpointView(self.revision, dict(self.records))
        self.views_by_revision[self.revision] = read
        snapshot = self.reader.apply_store_snapshot(read, self.now, self.now).snapshot
        for other, is_heard in zip(self.others, heard, strict=True):
            if not is_heard or snapshot is None:
                continue
            if (
                other.apply_peer_snapshot(snapshot, self.now)
                is PeerSnapshotOutcome.MISSED
            ):
                other.apply_peer_snapshot(self.reader.full_snapshot(self.now), self.now)
            assert self.known_by(other) == read.records_by_id

    @rule()
    def change_reader(self):
        """Another daemon reads from now on, with what it knows itself."""
        self.others[0], self.reader = self.reader, self.others[0]

    @invariant()
    def nobody_knows_a_mixture(self):
        for tracker in (self.reader, *self.others):
            if tracker.registry.revision:
                told = self.views_by_revision[tracker.registry.revision]
                assert self.known_by(tracker) == told.records_by_id

    @staticmethod
    def known_by(tracker):
        # The registry may keep a record that lapsed in an outage for a while longer.
        return tracker.full_snapshot(0.0).applied_to(None, 0).view.records_by_id


TestTelling = TellingMachine.TestCase
TestTelling.settings = settings(stateful_step_count=30)


def test_thousands_of_endpoints_are_told_on_demand_only():
    """Guards against a start at which every daemon packs and sends all records."""
    ids = [f"i-{number:010x}" for number in range(3000)]
    thousands = view(1, *(record(i) for i in ids))
    reader, other = EndpointTracker(EventLog()), EndpointTracker(EventLog())
    assert reader.apply_store_snapshot(thousands, 1.0, 1.0).snapshot is None
    told = reader.initial_snapshot(1.0)
    assert not told.changes
    assert other.apply_peer_snapshot(told, 1.1) is PeerSnapshotOutcome.MISSED
    whole = reader.full_snapshot(1.2)
    assert other.apply_peer_snapshot(whole, 1.2) is PeerSnapshotOutcome.CHANGED
    assert other.registry.tracked_by_id.keys() == set(ids)


def test_all_records_are_packed_once_for_all_who_ask():
    """Guards against a start at which one daemon packs all records for each other."""
    tracker = knowing(large(1))
    first, second = tracker.full_snapshot(1.0), tracker.full_snapshot(2.0)
    assert first.changes is second.changes
    assert second.age == 1.0


def test_a_deployment_that_starts_is_told_in_bounded_readings():
    """Guards against readings that nobody can take while endpoints register.

    Some hundred of three thousand appear between two readings, for twelve seconds.
    """
    ids = [f"i-{number:010x}" for number in range(3000)]
    reader, other = EndpointTracker(EventLog()), EndpointTracker(EventLog())
    first = view(1, *(record(i) for i in ids[:100]))
    for tracker in (reader, other):
        tracker.apply_store_snapshot(first, 1.0, 1.0)
    for number in range(1, 26):
        now = 1.0 + 0.45 * number
        known = view(1 + number, *(record(i) for i in ids[: 100 + 112 * number]))
        snapshot = reader.apply_store_snapshot(known, now, now).snapshot
        assert len(snapshot.changes) < 60_000
        if number % 4:
            # Three readings in a row are lost, and the fourth makes them good.
            continue
        assert (
            other.apply_peer_snapshot(snapshot, now + 0.05)
            is PeerSnapshotOutcome.CHANGED
        )
    assert (
        other.apply_peer_snapshot(snapshot, now + 0.05) is PeerSnapshotOutcome.CHANGED
    )
    assert other.registry.tracked_by_id.keys() == reader.registry.tracked_by_id.keys()

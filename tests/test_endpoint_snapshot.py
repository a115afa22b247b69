"""Updates of the endpoints between daemons, and detection of missed ones."""

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


def tracker_with(first):
    tracker = EndpointTracker(EventLog())
    tracker.apply_store_snapshot(first, 1.0, 1.0)
    return tracker


def large_view(revision, leaving=()):
    """Return a view of 140 endpoints, some of which leave."""
    ids = [f"i-{number:010x}" for number in range(140)]
    return view(revision, *(record(i, draining=i in leaving) for i in ids))


def test_the_update_for_a_leaving_endpoint_is_small():
    """Guards against full links of relays while endpoints are replaced one by one.

    Each leaving endpoint is announced to all daemons at once. One of 140 records has
    changed; updates with all records would fill the relays' links.
    """
    reader, other = tracker_with(large_view(1)), tracker_with(large_view(1))
    outcome = reader.apply_store_snapshot(
        large_view(2, leaving=["i-0000000007"]), 2.0, 2.0
    )
    assert len(outcome.snapshot.changes) < 300
    assert len(reader.full_snapshot(2.0).changes) > 1000
    assert (
        other.apply_peer_snapshot(outcome.snapshot, 2.1) is PeerSnapshotOutcome.CHANGED
    )
    assert other.registry.tracked_by_id["i-0000000007"].record.draining


def test_a_missed_change_is_noticed_and_made_up_by_all_records():
    """Guards against requests to an endpoint whose leaving was missed.

    The datagram with the change is lost on its way to one daemon. The next update says
    that nothing has changed since then. The daemon does not have that state, and must
    notice it and apply all records that it requests from a peer.
    """
    reader, other = tracker_with(large_view(1)), tracker_with(large_view(1))
    reader.apply_store_snapshot(large_view(2, leaving=["i-0000000007"]), 2.0, 2.0)
    same = reader.apply_store_snapshot(
        large_view(3, leaving=["i-0000000007"]), 4.5, 4.5
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
    reader, other = tracker_with(large_view(1)), tracker_with(large_view(1))
    reader.apply_store_snapshot(large_view(2, leaving=["i-0000000007"]), 2.0, 2.0)
    leaving = ["i-0000000007", "i-0000000008"]
    second = reader.apply_store_snapshot(large_view(3, leaving), 4.5, 4.5).snapshot
    assert second.changes
    assert other.apply_peer_snapshot(second, 4.6) is PeerSnapshotOutcome.MISSED


def test_the_next_update_repeats_a_lost_change():
    """Guards against daemons that fetch all records for each lost datagram."""
    reader, other = tracker_with(large_view(1)), tracker_with(large_view(1))
    reader.apply_store_snapshot(large_view(2, leaving=["i-0000000007"]), 2.0, 2.0)
    second = reader.apply_store_snapshot(
        large_view(3, leaving=["i-0000000007"]), 2.5, 2.5
    ).snapshot
    assert len(second.changes) < 300
    assert other.apply_peer_snapshot(second, 2.6) is PeerSnapshotOutcome.CHANGED
    assert other.registry.tracked_by_id["i-0000000007"].record.draining


def test_concurrent_updates_of_two_daemons_can_both_be_applied():
    """Guards against fetches of all records after two concurrent updates.

    The first in rank and the second read the store at the same time. The second has not
    received the first one's update and sends its own on top of an older state.
    """
    first, second, other = (tracker_with(large_view(1)) for _ in range(3))
    update = first.apply_store_snapshot(
        large_view(2, leaving=["i-0000000007"]), 2.0, 2.0
    ).snapshot
    leaving = ["i-0000000007", "i-0000000008"]
    concurrent = second.apply_store_snapshot(
        large_view(3, leaving), 2.05, 2.05
    ).snapshot
    assert other.apply_peer_snapshot(update, 2.06) is PeerSnapshotOutcome.CHANGED
    assert other.apply_peer_snapshot(concurrent, 2.07) is PeerSnapshotOutcome.CHANGED
    assert other.registry.tracked_by_id["i-0000000008"].record.draining


def test_changes_that_do_not_lead_to_their_digest_are_refused():
    first, second = large_view(1), large_view(2, leaving=["i-0000000007"])
    wrong = EndpointSnapshot.difference(
        second, 7, 0.0, second.delta_from(first), first.digest
    )
    with pytest.raises(PeerMessageInvalid):
        tracker_with(first).apply_peer_snapshot(wrong, 2.0)


class UpdateMachine(RuleBasedStateMachine):
    """One daemon reads the store and sends updates to two others, which miss some.

    A daemon that notices a missed update fetches all records. After each update that
    arrives, a daemon has the records that the store held at that reading; it never has
    a mixture of two readings.
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

    @rule(received=st.lists(st.booleans(), min_size=2, max_size=2))
    def read(self, received):
        self.now += 0.5
        read = EndpointView(self.revision, dict(self.records))
        self.views_by_revision[self.revision] = read
        snapshot = self.reader.apply_store_snapshot(read, self.now, self.now).snapshot
        for other, is_received in zip(self.others, received, strict=True):
            if not is_received or snapshot is None:
                continue
            if (
                other.apply_peer_snapshot(snapshot, self.now)
                is PeerSnapshotOutcome.MISSED
            ):
                other.apply_peer_snapshot(self.reader.full_snapshot(self.now), self.now)
            assert self.known_by(other) == read.records_by_id

    @rule()
    def change_reader(self):
        """Let another daemon read the store from now on, with its own state."""
        self.others[0], self.reader = self.reader, self.others[0]

    @invariant()
    def no_state_mixes_two_readings(self):
        for tracker in (self.reader, *self.others):
            if tracker.registry.revision:
                read = self.views_by_revision[tracker.registry.revision]
                assert self.known_by(tracker) == read.records_by_id

    @staticmethod
    def known_by(tracker):
        # Not read from the registry, which may keep a record that lapsed in an outage
        # for a while longer.
        return tracker.full_snapshot(0.0).applied_to(None, 0).view.records_by_id


TestUpdates = UpdateMachine.TestCase
TestUpdates.settings = settings(stateful_step_count=30)


def test_thousands_of_endpoints_are_sent_on_request_only():
    """Guards against a fleet's start at which every daemon sends all records."""
    ids = [f"i-{number:010x}" for number in range(3000)]
    thousands = view(1, *(record(i) for i in ids))
    reader, other = EndpointTracker(EventLog()), EndpointTracker(EventLog())
    assert reader.apply_store_snapshot(thousands, 1.0, 1.0).snapshot is None
    initial = reader.initial_snapshot(1.0)
    assert not initial.changes
    assert other.apply_peer_snapshot(initial, 1.1) is PeerSnapshotOutcome.MISSED
    whole = reader.full_snapshot(1.2)
    assert other.apply_peer_snapshot(whole, 1.2) is PeerSnapshotOutcome.CHANGED
    assert other.registry.tracked_by_id.keys() == set(ids)


def test_all_records_are_packed_once_for_all_requests():
    """Guards against a fleet's start at which records are packed for each request."""
    tracker = tracker_with(large_view(1))
    first, second = tracker.full_snapshot(1.0), tracker.full_snapshot(2.0)
    assert first.changes is second.changes
    assert second.age == 1.0


def test_updates_are_bounded_while_a_deployment_starts():
    """Guards against updates that are never applied while endpoints register.

    For eleven seconds, 112 of 3000 endpoints appear between two readings.
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
            # Three updates in a row are lost; the fourth repeats their changes.
            continue
        assert (
            other.apply_peer_snapshot(snapshot, now + 0.05)
            is PeerSnapshotOutcome.CHANGED
        )
    assert (
        other.apply_peer_snapshot(snapshot, now + 0.05) is PeerSnapshotOutcome.CHANGED
    )
    assert other.registry.tracked_by_id.keys() == reader.registry.tracked_by_id.keys()

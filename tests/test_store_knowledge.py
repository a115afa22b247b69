"""What daemons keep after the store came back from an older copy.

Guards against readings of the copy that undo what was known, and against entries that
daemons keep alive by sending them to each other.
"""

from itertools import permutations
from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.msgpack import decode, encode

from cranberrywick.gateway.endpoint_tracker import EndpointTracker, PeerSnapshotOutcome
from cranberrywick.gateway.knowledge_rows import pack_knowledge, unpack_knowledge
from cranberrywick.gateway.operator_tracker import OperatorTracker
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import (
    EndpointRecord,
    EndpointView,
    OperatorView,
    UnusableEntries,
)
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.store_knowledge import (
    RETAIN_DOMAIN_SECONDS,
    RETAIN_GONE_SECONDS,
    RetainedDomain,
    RetainedDomains,
    RetainedEndpoint,
    RetainedEndpoints,
    StoreKnowledge,
)

IDS = ("e1", "e2", "e3")
# Interval between two readings of the store, in seconds.
READ_SECONDS = 0.45


def record(endpoint_id="e1", draining=False, cold_seconds=0.0, born=1):
    return EndpointRecord(
        endpoint_id, "desk", "10.0.0.1:80", "fd-a", 4, draining, cold_seconds, born
    )


def view(revision, *records, epoch=1):
    return EndpointView(revision, {r.endpoint_id: r for r in records}, epoch=epoch)


def operator_view(revision, version, *domains, epoch=1):
    document = str(version).encode() if version else b""
    return OperatorView.of(revision, document, frozenset(domains), epoch)


class Configuration:
    """Stands for a decoded configuration; only its version matters here."""

    routes = ()
    services_by_name = {}
    unusable = UnusableEntries()

    def __init__(self, document):
        self.version = int(document)


@pytest.fixture
def operator():
    return OperatorTracker(Configuration, EventLog())


def is_usable(registry, endpoint_id="e1", now=0.0):
    registry.end_backoffs(now)
    return any(t.endpoint_id == endpoint_id for t in registry.index.ready("desk", ()))


def test_a_lower_revision_of_a_later_epoch_is_applied():
    registry = EndpointRegistry()
    registry.apply(view(33, record()), 1.0, 1.0)
    registry.store_returned(2.0)
    registry.apply(view(31, record(draining=True), epoch=2), 2.0, 2.0)
    assert registry.tracked_by_id["e1"].is_draining


def test_an_answer_of_an_earlier_epoch_is_ignored_although_it_arrives_later():
    registry = EndpointRegistry()
    registry.apply(view(31, record(), epoch=2), 1.0, 1.0)
    assert registry.apply(view(99, record(draining=True)), 2.0, 2.0) == []
    assert registry.revision == 31
    assert not registry.tracked_by_id["e1"].is_draining


def test_a_known_drain_outlasts_the_copy_until_the_next_start():
    registry = EndpointRegistry()
    registry.apply(view(33, record()), 1.0, 1.0)
    registry.apply(view(34, record(draining=True)), 2.0, 2.0)
    (notice,) = registry.store_returned(3.0)
    assert notice[:2] == ("e1", 1)
    # Callers may be sent there as a last resort, counted from when it was ready.
    assert notice.announced_at == 1.0
    registry.apply_notice(notice)
    registry._drain_notices.add(notice, is_own=True, now=3.0)
    registry.apply(view(31, record(), epoch=2), 3.0, 3.0)
    assert not is_usable(registry, now=100.0)
    registry.apply(view(32, record(born=2), epoch=2), 100.0, 100.0)
    assert is_usable(registry, now=100.0)


def test_a_known_cold_time_outlasts_the_copy():
    """Guards against more requests than a cold endpoint can bear."""
    registry = EndpointRegistry()
    registry.apply(view(33, record(cold_seconds=5.0)), 1.0, 1.0)
    registry.store_returned(2.0)
    registry.apply(view(31, record(), epoch=2), 2.0, 2.0)
    assert registry.tracked_by_id["e1"].cold_until == 6.0


def test_a_departed_endpoint_is_unused_for_a_while_only():
    registry = EndpointRegistry()
    registry.apply(view(33, record(), record("e2")), 1.0, 1.0)
    registry.apply(view(34, record("e2")), 1.5, 1.5)
    registry.store_returned(2.0)
    registry.apply(view(31, record(), record("e2"), epoch=2), 2.0, 2.0)
    assert not is_usable(registry, now=2.0 + RETAIN_GONE_SECONDS - 0.1)
    assert is_usable(registry, now=2.0 + RETAIN_GONE_SECONDS + 0.1)
    assert is_usable(registry, "e2")


def return_to_first_start(registry):
    """Apply a copy that holds the start before the one that is known."""
    for notice in registry.store_returned(3.0):
        registry._drain_notices.add(notice, is_own=True, now=3.0)
        registry.apply_notice(notice)
    registry.apply(view(31, record(born=1), epoch=2), 3.0, 3.0)


def test_the_copy_of_an_earlier_start_is_bound_by_what_the_later_one_stated():
    """Guards against a drain that is undone by the record of the former process."""
    registry = EndpointRegistry()
    registry.apply(view(33, record(born=1)), 1.0, 1.0)
    registry.apply(view(34, record(born=2, draining=True)), 2.0, 2.0)
    return_to_first_start(registry)
    assert not is_usable(registry, now=100.0)
    registry.apply(view(32, record(born=3), epoch=2), 100.0, 100.0)
    assert is_usable(registry, now=100.0)


def test_the_copy_of_an_earlier_start_counts_as_cold_as_the_later_one():
    registry = EndpointRegistry()
    registry.apply(view(33, record(born=1)), 1.0, 1.0)
    registry.apply(view(34, record(born=2, cold_seconds=5.0)), 2.0, 2.0)
    return_to_first_start(registry)
    assert registry.tracked_by_id["e1"].cold_until == 7.0


def test_the_copy_of_an_earlier_start_is_in_the_backoff_of_the_later_one():
    registry = EndpointRegistry()
    registry.apply(view(33, record(born=1)), 1.0, 1.0)
    registry.apply(view(34, record(born=2)), 2.0, 2.0)
    registry.request_backoff("e1", 2, seconds=5.0, now=2.0)
    return_to_first_start(registry)
    assert not is_usable(registry, now=6.9)
    assert is_usable(registry, now=7.1)


def test_a_departed_endpoint_is_unused_after_the_last_of_two_returns():
    """Guards against a time that runs from the first return alone."""
    registry = EndpointRegistry()
    registry.apply(view(33, record(), record("e2")), 1.0, 1.0)
    registry.apply(view(34, record("e2")), 1.5, 1.5)
    for epoch, returned_at in ((2, 2.0), (3, 6.0)):
        registry.store_returned(returned_at)
        copy = view(31, record(), record("e2"), epoch=epoch)
        registry.apply(copy, returned_at, returned_at)
    assert not is_usable(registry, now=6.0 + RETAIN_GONE_SECONDS - 0.1)
    assert is_usable(registry, now=6.0 + RETAIN_GONE_SECONDS + 0.1)


def test_a_drain_that_is_heard_of_after_the_return_outlasts_the_copy():
    """Guards against a peer's older snapshot that arrives between news and reading."""
    registry = EndpointRegistry()
    registry.apply(view(33, record(), record("e2")), 1.0, 1.0)
    registry.store_returned(2.0)
    registry.apply(view(34, record(draining=True)), 2.1, 2.1)
    copy = view(31, record(), record("e2"), epoch=2)
    registry.apply(copy, 2.2, 2.2)
    assert not is_usable(registry, "e2", now=3.0)
    assert not is_usable(registry, now=100.0)


def test_a_domain_that_is_heard_of_after_the_return_stays_out(operator):
    """Guards against a peer's older view that arrives between news and reading."""
    operator.apply(operator_view(33, 22), 1.0, "store")
    operator.store_returned(2, 2.0)
    operator.apply(operator_view(34, 22, "b"), 2.1, "peer")
    operator.apply(operator_view(31, 22, epoch=2), 2.2, "store")
    assert operator.domains_out == {"b"}


def test_an_endpoint_whose_record_had_returned_is_not_taken_for_departed():
    registry = EndpointRegistry()
    for revision, records in ((33, [record()]), (34, []), (35, [record()])):
        registry.apply(view(revision, *records), revision / 1.0, revision / 1.0)
    registry.store_returned(36.0)
    registry.apply(view(31, record(), epoch=2), 36.0, 36.0)
    assert is_usable(registry, now=36.0)


def test_an_endpoint_that_the_copy_lacks_has_time_to_register_again():
    registry = EndpointRegistry()
    registry.apply(view(33, record(), record("e2")), 1.0, 1.0)
    registry.apply(view(31, record("e2"), epoch=2), 1.4, 1.4)
    assert is_usable(registry, now=1.4)
    for step in range(1, 6):
        now = 1.4 + step * READ_SECONDS
        registry.apply(view(31, record("e2"), epoch=2), now, now)
    assert not is_usable(registry, now=now)


def test_the_configuration_in_force_never_goes_back(operator):
    operator.apply(operator_view(33, 22), 1.0, "store")
    operator.apply(operator_view(34, 24), 2.0, "store")
    operator.store_returned(2, 3.0)
    assert operator.apply(operator_view(31, 22, epoch=2), 3.0, "store")
    assert operator.version == 24
    assert operator.age(3.5) == 0.5
    operator.apply(operator_view(32, 28, epoch=2), 4.0, "store")
    assert operator.version == 28


def test_a_domain_stays_out_until_the_store_shows_it_again(operator):
    operator.apply(operator_view(33, 22, "b"), 1.0, "store")
    operator.store_returned(2, 2.0)
    operator.apply(operator_view(31, 22, epoch=2), 2.0, "store")
    assert operator.domains_out == {"b"}
    operator.apply(operator_view(32, 22, "b", epoch=2), 3.0, "store")
    operator.apply(operator_view(33, 22, epoch=2), 4.0, "store")
    assert operator.domains_out == frozenset()


def test_a_domain_that_operators_no_longer_want_out_returns_in_the_end(operator):
    """Guards against a domain that stays out for a change that was lost."""
    operator.apply(operator_view(33, 22, "b"), 1.0, "store")
    operator.store_returned(2, 2.0)
    operator.apply(operator_view(31, 22, epoch=2), 2.0, "store")
    assert not operator.expire(2.0 + RETAIN_DOMAIN_SECONDS - 0.1)
    assert operator.expire(2.0 + RETAIN_DOMAIN_SECONDS)
    assert operator.domains_out == frozenset()


def test_a_view_from_before_the_return_does_not_settle_a_retained_domain(operator):
    operator.apply(operator_view(33, 22, "b"), 1.0, "store")
    operator.store_returned(2, 2.0)
    operator.apply(operator_view(34, 23, "b"), 1.9, "peer")
    operator.apply(operator_view(31, 22, epoch=2), 2.0, "store")
    assert operator.domains_out == {"b"}


def test_a_peer_is_asked_for_a_newer_configuration_at_an_equal_position(operator):
    """Guards against a daemon that starts and knows the copy alone."""
    read = operator_view(31, 22, epoch=2)
    operator.apply(read, 2.0, "store")
    assert operator.compare(read.position, read.digest, 2.0, version=24)
    assert operator.apply_in_force(b"24", read, "peer")
    assert operator.version == 24
    assert not operator.compare(read.position, read.digest, 2.0, version=24)


def test_a_peer_that_has_not_read_since_the_return_is_asked_for_its_configuration(
    operator,
):
    read = operator_view(31, 22, epoch=2)
    operator.apply(read, 2.0, "store")
    old = operator_view(34, 24, epoch=1)
    assert operator.compare(old.position, old.digest, 1.5, version=24)
    assert not operator.apply(old, 1.5, "peer")
    assert operator.apply_in_force(old.document, old, "peer")
    assert (operator.version, operator.position) == (24, (2, 31))


def test_a_peer_of_an_earlier_epoch_is_not_asked(operator):
    operator.apply(operator_view(31, 24, epoch=2), 2.0, "store")
    old = operator_view(99, 22, "b")
    assert not operator.compare(old.position, old.digest, 2.0, version=22)
    assert not operator.apply(old, 3.0, "peer")


def test_a_peer_that_states_no_epoch_is_compared_by_its_revision(operator):
    """Daemons of earlier versions state none."""
    operator.apply(operator_view(31, 22, epoch=2), 2.0, "store")
    later = operator_view(32, 24, epoch=-1)
    assert operator.compare(later.position, later.digest, 2.5, version=0)
    assert operator.apply(later, 2.5, "peer")
    assert operator.position == (2, 32)


def test_a_peer_that_states_no_epoch_and_knew_earlier_is_not_asked(operator):
    """Guards against a peer of an earlier version that has missed the return."""
    operator.apply(operator_view(31, 22, epoch=2), 2.0, "store")
    earlier = operator_view(33, 22, "b", epoch=-1)
    assert not operator.compare(earlier.position, earlier.digest, 1.5, version=0)
    assert not operator.apply(earlier, 1.5, "peer")


def test_a_peer_that_states_no_epoch_does_not_raise_the_position(operator):
    """Guards against readings that are dropped for a revision of an earlier epoch."""
    operator.apply(operator_view(31, 22, epoch=2), 2.0, "store")
    same = operator_view(33, 22, epoch=-1)
    assert not operator.compare(same.position, same.digest, 2.5, version=0)
    assert operator.position == (2, 31)
    assert operator.age(3.0) == 0.5


def test_a_reading_without_an_epoch_counts_as_of_the_one_that_peers_state():
    """Guards against a daemon whose own readings are all taken for earlier ones."""
    reader, peer = EndpointTracker(EventLog()), EndpointTracker(EventLog())
    peer.apply_store_snapshot(view(31, record(), epoch=2), 1.0, 1.0)
    reader.apply_peer_snapshot(peer.full_snapshot(1.0)._replace(age=0.0), 1.0)
    reader.apply_store_snapshot(view(32, record(draining=True), epoch=-1), 2.0, 2.0)
    assert reader.position == (2, 32)


def test_daemons_that_know_later_do_not_adopt_a_domain():
    """Guards against a frozen daemon that takes a domain out again everywhere."""
    domains = RetainedDomains()
    domains.store_returned(set(), known_at=5.0, now=6.0)
    assert not domains.adopt(RetainedDomain("b", 36.0, known_at=4.0))
    assert domains.adopt(RetainedDomain("b", 36.0, known_at=5.5))


def test_entries_are_not_extended_by_sending_them_back_and_forth():
    """Each message takes a moment, by which its receiver's entry would end later."""
    daemons = [RetainedDomains() for _ in range(3)]
    daemons[0].store_returned({"b"}, known_at=1.0, now=1.0)
    now, delay = 1.0, 0.1
    while any(daemon.names for daemon in daemons) and now < 3 * RETAIN_DOMAIN_SECONDS:
        for sender, receiver in permutations(daemons, 2):
            for entry in sender.entries:
                receiver.adopt(entry._replace(until=entry.until + delay))
        now += delay
        for daemon in daemons:
            daemon.expire(now)
    assert now < RETAIN_DOMAIN_SECONDS + 2.0


def test_retained_endpoints_are_bounded():
    kept = RetainedEndpoints()
    for number in range(5000):
        kept.departed(f"e{number}", 1, now=1.0)
        kept.adopt(RetainedEndpoint(f"f{number}", 1, 9.0))
    assert len(kept.store_returned({}, now=2.0)) <= 200
    assert len(kept.entries(now=2.0)) <= 200


@given(st.integers(0, 3), st.integers(0, 3))
def test_snapshots_and_differences_of_two_epochs_may_cross(first, second):
    """The later epoch wins in any order, and a missed difference is noticed."""
    writer, reader = EndpointTracker(EventLog()), EndpointTracker(EventLog())
    now = 1.0
    writer.apply_store_snapshot(view(30, record()), now, now)
    messages = [writer.full_snapshot(now)]
    for epoch, revision, draining in ((1, 33, False), (2, 31, True)):
        now += READ_SECONDS
        extra = record(f"x{epoch}")
        read = view(revision, record(draining=draining), extra, epoch=epoch)
        messages.append(writer.apply_store_snapshot(read, now, now).snapshot)
    messages.append(writer.full_snapshot(now))
    order = [messages[first], messages[second], messages[3], *messages]
    for message in order:
        reader.apply_peer_snapshot(message._replace(age=0.0), now)
        now += 0.01
    assert reader.position == (2, 31)
    assert reader.registry.tracked_by_id["e1"].is_draining


def test_a_difference_from_a_state_before_the_return_is_found_missing():
    writer, reader = EndpointTracker(EventLog()), EndpointTracker(EventLog())
    writer.apply_store_snapshot(view(30, record()), 1.0, 1.0)
    reader.apply_store_snapshot(view(30, record("e9")), 1.0, 1.0)
    read = view(20, record(draining=True), epoch=2)
    difference = writer.apply_store_snapshot(read, 2.0, 2.0).snapshot
    outcome = reader.apply_peer_snapshot(difference._replace(age=0.0), 2.1)
    assert outcome is PeerSnapshotOutcome.MISSED
    whole = writer.full_snapshot(2.2)
    outcome = reader.apply_peer_snapshot(whole, 2.2)
    assert outcome is PeerSnapshotOutcome.CHANGED


STATEMENT = StoreKnowledge(
    3,
    2,
    41,
    (RetainedDomain("b", 20.0, 9.0),),
    (RetainedEndpoint("e1", 7, 14.0), RetainedEndpoint("e2", 8, -inf, 12.0)),
)


def test_rows_grow_without_a_break():
    """A reader ignores what is appended, at any depth, and fills in what is missing."""
    (row,) = decode(pack_knowledge([STATEMENT], now=10.0))
    row[3] = [[*domain, "new"] for domain in row[3]]
    row[4] = [[*endpoint, {"new": 1}] for endpoint in row[4]]
    rows = unpack_knowledge(encode([[*row, "new", [1]], row[:1], []]), now=10.0)
    assert rows.error == ""
    assert rows.values_by_position == {
        0: STATEMENT,
        1: StoreKnowledge(3),
        2: StoreKnowledge(),
    }


@pytest.mark.parametrize("bad", [["x"], [3, 2, -1], [-2], [10**18], 5, [3, 2, 1, [[]]]])
def test_a_row_that_cannot_be_read_is_dropped_alone(bad):
    (row,) = decode(pack_knowledge([STATEMENT], now=10.0))
    rows = unpack_knowledge(encode([row, bad, row]), now=10.0)
    assert rows.values_by_position == {0: STATEMENT, 2: STATEMENT}
    assert rows.error


@given(st.binary(max_size=80))
def test_any_bytes_are_refused_or_read(data):
    unpack_knowledge(data, now=10.0)


class StoreReturnsMachine(RuleBasedStateMachine):
    """A daemon follows a store that is lost and returns; the truth is what was written.

    Endpoints never stop draining but by a new start. Whatever a copy shows, a daemon
    that has known of a drain does not use that start again.
    """

    def __init__(self):
        super().__init__()
        self.registry = EndpointRegistry()
        self.now, self.epoch, self.revision = 1.0, 1, 1
        self.records = {i: record(i) for i in IDS}
        self.copy = (dict(self.records), self.revision)
        self.truth = dict(self.records)
        self.known_drains = set()

    def write(self, endpoint_id, changed):
        self.truth[endpoint_id] = self.records[endpoint_id] = changed
        self.revision += 1

    @rule(endpoint_id=st.sampled_from(IDS))
    def drain(self, endpoint_id):
        changed = self.truth[endpoint_id]._replace(draining=True)
        self.write(endpoint_id, changed)

    @rule(endpoint_id=st.sampled_from(IDS))
    def start_again(self, endpoint_id):
        self.write(
            endpoint_id, record(endpoint_id, born=self.truth[endpoint_id].born + 1)
        )

    @rule()
    def save_copy(self):
        self.copy = (dict(self.records), self.revision)

    @rule(writes_again=st.booleans())
    def return_from_copy(self, writes_again):
        items, self.revision = self.copy
        self.records = dict(items)
        self.epoch += 1
        if writes_again:
            self.write_again()

    @rule()
    def write_again(self):
        for endpoint_id in IDS:
            if self.records[endpoint_id] != self.truth[endpoint_id]:
                self.write(endpoint_id, self.truth[endpoint_id])

    @rule()
    def read(self):
        self.now += READ_SECONDS
        read = view(self.revision, *self.records.values(), epoch=self.epoch)
        if self.epoch > self.registry.position.epoch > -1:
            for notice in self.registry.store_returned(self.now):
                self.registry._drain_notices.add(notice, is_own=True, now=self.now)
                self.registry.apply_notice(notice)
        self.registry.apply(read, self.now, self.now)
        for each in self.records.values():
            if each.draining:
                self.known_drains.add((each.endpoint_id, each.born))

    @invariant()
    def known_drains_are_not_used(self):
        for tracked in self.registry.index.ready("desk", ()):
            start = tracked.endpoint_id, tracked.record.born
            assert start not in self.known_drains

    @invariant()
    def the_newest_reading_is_in_use(self):
        if self.registry.position.epoch == self.epoch:
            assert self.registry.revision <= self.revision


TestStoreReturnsMachine = StoreReturnsMachine.TestCase

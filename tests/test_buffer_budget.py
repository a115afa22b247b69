"""Who is closed and what is refused when a daemon holds too many bytes.

Without a network: `Connections` stands for the transports.
"""

import time

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrywick.routing.buffer_budget import (
    CHECK_SHARE,
    PROCESS_BYTES,
    REFRESH_SECONDS,
    SLOW_SECONDS,
    BufferLedger,
    BufferLimits,
)

LIMITS = BufferLimits(budget=4000, shared=3000, part=100)
STEP = LIMITS.shared * CHECK_SHARE


class Connections:
    """Connections with unread bytes, of which the ledger learns at writes only."""

    def __init__(self, limits=LIMITS):
        self.unread_by_id = {}
        self.ledger = BufferLedger(limits, lambda each: self.unread_by_id.get(each, 0))

    def write(self, connection_id, more, now=0.0):
        """Write bytes that are not read; return the ids that are closed."""
        unread = self.unread_by_id.get(connection_id, 0)
        self.ledger.record_unread(connection_id, unread, now)
        self.unread_by_id[connection_id] = unread + more
        self.ledger.record_unread(connection_id, unread + more, now)
        return self.close_excess(now)

    def close_excess(self, now=0.0):
        taken = self.ledger.take_excess(now)
        for connection_id, _ in taken:
            self.unread_by_id.pop(connection_id, None)
        return [connection_id for connection_id, _ in taken]


def test_the_budget_leaves_the_process_its_memory():
    """Guards against a process that is killed although it kept its budget.

    Bodies and answers may be in memory twice for a moment.
    """
    for memory in (200_000_000, 433_000_000, 552_000_000):
        limits = BufferLimits.of_memory(memory)
        assert PROCESS_BYTES + 2 * limits.budget <= memory
        assert limits.shared < limits.budget
        assert 1000 * limits.part > limits.budget > 100 * limits.part


def test_the_most_unread_bytes_are_closed_first():
    connections = Connections()
    for name, unread in (("small", 500), ("most", 1500), ("middle", 900)):
        assert not connections.write(name, unread)
    assert connections.write("last", 400, SLOW_SECONDS) == ["most"]
    assert connections.write("more", 1500, SLOW_SECONDS) == ["middle"]
    assert connections.write("much", 3000, SLOW_SECONDS) == ["much"]
    assert connections.ledger.held == 2400


def test_among_equals_the_longest_unread_is_closed_first():
    connections = Connections()
    for now, name in enumerate(("first", "second", "third")):
        assert not connections.write(name, 1000, now)
    assert connections.write("first", 0, 5.0) == []
    assert connections.write("fourth", 1000, 6.0) == ["first"]


def test_a_quick_caller_is_not_closed_in_place_of_a_slow_one():
    """Guards against cutting the caller whose answer has just been written.

    Of a slow caller's answer of equal length some bytes have been sent since.
    """
    connections = Connections()
    for name in ("slow", "other"):
        connections.write(name, 1000, 0.0)
    assert connections.write("quick", 1100, SLOW_SECONDS) == ["slow"]
    assert connections.write("much", 2100, SLOW_SECONDS + 0.5) == ["much"]


def test_an_admitted_body_is_not_cut_while_it_is_sent():
    """Guards against cutting quick endpoints, to which a body has just been written.

    An endpoint that has not read it after a second is slow, and is cut.
    """
    connections = Connections(BufferLimits.of_memory(200_000_000))
    for number in range(52):
        assert connections.ledger.admits(f"caller-{number}", 1_000_000, 0.0)
        connections.ledger.keep(f"caller-{number}", 1_000_000)
        assert not connections.close_excess()
    assert not connections.write("endpoint", 900_000)
    assert connections.write("stream", 900_000, SLOW_SECONDS) == ["endpoint"]


def test_bytes_that_have_been_read_count_no_more():
    """Guards against cutting callers for bytes that they have read since the write."""
    connections = Connections()
    assert not connections.write("quick", 2900)
    connections.unread_by_id["quick"] = 0
    assert not connections.write("other", 2900)
    assert connections.ledger.held == 2900


def test_a_quick_caller_is_served_while_slow_ones_hold_everything():
    """Guards against quick callers that are refused or cut because of slow ones."""
    connections = Connections()
    for number in range(30):
        connections.write(f"slow-{number}", 100)
    assert connections.ledger.held == LIMITS.shared
    for number in range(40):
        quick = f"quick-{number}"
        assert connections.ledger.admits(quick, LIMITS.part, 0.0)
        connections.ledger.keep(quick, LIMITS.part)
        assert quick not in connections.write(quick, 0, SLOW_SECONDS)
        connections.ledger.remove(quick)


def test_slow_callers_within_their_part_are_closed_above_the_budget():
    """Guards against many callers, each with a small part, that exceed the memory."""
    connections = Connections()
    for number in range(200):
        connections.write(f"slow-{number}", 90, 0.1 * number)
    assert connections.ledger.held <= LIMITS.budget + STEP
    assert min(connections.unread_by_id) != "slow-0"


def test_bodies_are_refused_and_large_answers_closed_above_the_limits():
    connections = Connections()
    ledger = connections.ledger
    assert ledger.admits("body", 3000, 0.0) and not ledger.admits("body", 3001, 0.0)
    ledger.keep("body", 3000)
    assert ledger.admits("body", 2000, 0.0), "less than now always fits"
    assert not ledger.admits("other", 101, 0.0) and ledger.admits("other", 100, 0.0)
    ledger.keep("answer", 1500)
    assert connections.close_excess() == ["body"]


def test_a_refusal_counts_what_has_been_read():
    connections = Connections()
    connections.write("quick", 2900)
    connections.unread_by_id["quick"] = 0
    assert connections.ledger.admits("body", 2900, 0.0)


def test_refused_bodies_do_not_look_at_all_connections_each():
    """Guards against a cost of each refusal that grows with the connections."""
    connections = Connections()
    connections.write("slow", 2900)
    for number in range(100):
        assert not connections.ledger.admits(f"body-{number}", 2000, 0.0)
    connections.unread_by_id["slow"] = 0
    assert not connections.ledger.admits("body", 2000, REFRESH_SECONDS / 2)
    assert connections.ledger.admits("body", 2000, REFRESH_SECONDS)


def test_writes_do_not_look_at_all_connections():
    """Guards against a cost of each write that grows with the slow callers."""
    connections = Connections(BufferLimits.of_memory(200_000_000))
    looked = 0

    def read_unread(connection_id):
        nonlocal looked
        looked += 1
        return connections.unread_by_id.get(connection_id, 0)

    connections.ledger = BufferLedger(connections.ledger.limits, read_unread)
    writes = 20_000
    for number in range(writes):
        connections.write(f"slow-{number % 2000}", 4096, number / 1000)
    assert looked < 10 * writes


def test_a_look_at_all_connections_takes_milliseconds():
    """Guards against a pause of all streams; the shortest pause target is 0.25 s."""
    connections = Connections(BufferLimits.of_memory(552_000_000))
    for number in range(4000):
        connections.write(f"slow-{number}", 45_000)
    started = time.perf_counter()
    connections.write("last", 10_000_000)
    assert time.perf_counter() - started < 0.25


class LedgerMachine(RuleBasedStateMachine):
    """The limits hold, and only those who exceed them or are slow are closed."""

    def __init__(self):
        super().__init__()
        self.connections = Connections()
        self.kept_by_id = {}
        self.since_by_id = {}
        self.now = 0.0

    ids = st.sampled_from([f"c{number}" for number in range(60)])

    def _close_excess(self):
        ledger, part = self.connections.ledger, LIMITS.part
        taken = ledger.take_excess(self.now)
        for connection_id, holding in taken:
            unread = self.connections.unread_by_id.pop(connection_id, 0)
            kept = self.kept_by_id.pop(connection_id, 0)
            since = self.since_by_id.pop(connection_id, self.now)
            assert (holding.unread, holding.kept) == (unread, kept)
            assert unread + kept > part or self.now - since >= SLOW_SECONDS

    @rule(connection_id=ids, more=st.integers(1, 900))
    def write(self, connection_id, more):
        unread_by_id = self.connections.unread_by_id
        unread = unread_by_id.get(connection_id, 0)
        if not unread:
            self.since_by_id[connection_id] = self.now
        ledger = self.connections.ledger
        ledger.record_unread(connection_id, unread, self.now)
        unread_by_id[connection_id] = unread + more
        ledger.record_unread(connection_id, unread + more, self.now)
        self._close_excess()

    @rule(connection_id=ids, part=st.floats(0, 1))
    def read(self, connection_id, part):
        unread = self.connections.unread_by_id.get(connection_id, 0)
        self.connections.unread_by_id[connection_id] = int(unread * part)

    @rule(connection_id=ids, kept=st.integers(0, 2000))
    def receive_body(self, connection_id, kept):
        if self.connections.ledger.admits(connection_id, kept, self.now):
            self.keep(connection_id, kept)

    @rule(connection_id=ids, kept=st.integers(0, 2000))
    def keep(self, connection_id, kept):
        self.kept_by_id[connection_id] = kept
        self.connections.ledger.keep(connection_id, kept)
        self._close_excess()

    @rule(connection_id=ids)
    def close(self, connection_id):
        self.connections.ledger.remove(connection_id)
        self.connections.unread_by_id.pop(connection_id, None)
        self.kept_by_id.pop(connection_id, None)

    @rule(seconds=st.floats(0.1, 3.0))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def limits_hold(self):
        unread_by_id, kept_by_id = self.connections.unread_by_id, self.kept_by_id
        held_by_id = {
            each: unread_by_id.get(each, 0) + kept_by_id.get(each, 0)
            for each in {**unread_by_id, **kept_by_id}
        }
        held = sum(held_by_id.values())
        assert self.connections.ledger.held >= held
        above = sum(max(0, each - LIMITS.part) for each in held_by_id.values())
        assert held <= LIMITS.budget + STEP or above <= STEP

    def teardown(self):
        for connection_id in {**self.connections.unread_by_id, **self.kept_by_id}:
            self.close(connection_id)
        assert self.connections.ledger.held == self.connections.ledger.holders == 0


LedgerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None
)
TestLedger = LedgerMachine.TestCase

"""What daemons tell one another of the endpoints: differences, and what was missed."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.endpoint_knowledge import EndpointKnowledge, PeerReading
from cranberrywick.gateway.endpoint_reading import EndpointReading
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import EndpointRecord, EndpointView


def record(endpoint_id, draining=False, born=1):
    return EndpointRecord(
        endpoint_id, "drafting", "10.1.0.1:80", "fd-a", 5, draining, 0.0, born
    )


def view(revision, *records):
    return EndpointView(revision, {each.endpoint_id: each for each in records})


def knowing(first):
    knowledge = EndpointKnowledge(EventLog())
    knowledge.take(first, 1.0, 1.0)
    return knowledge


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
    taken = reader.take(large(2, leaving=["i-0000000007"]), 2.0, 2.0)
    assert len(taken.reading.changes) < 300
    assert len(reader.whole_reading(2.0).changes) > 1000
    assert other.take_news(taken.reading, 2.1) is PeerReading.CHANGED
    assert other.registry.beliefs_by_id["i-0000000007"].record.draining


def test_who_missed_a_change_learns_that_and_asks_for_all():
    """A datagram that tells of a leaving endpoint is lost on its way to one daemon.

    The next reading says that nothing has changed since. It does not know that state,
    asks a peer for all records and sends nothing to the endpoint from then on.
    """
    reader, other = knowing(large(1)), knowing(large(1))
    reader.take(large(2, leaving=["i-0000000007"]), 2.0, 2.0)
    same = reader.take(large(3, leaving=["i-0000000007"]), 4.5, 4.5).reading
    assert not same.changes
    assert other.take_news(same, 4.6) is PeerReading.MISSED
    assert not other.registry.beliefs_by_id["i-0000000007"].record.draining
    assert other.take_news(reader.whole_reading(4.7), 4.7) is PeerReading.CHANGED
    assert other.registry.beliefs_by_id["i-0000000007"].record.draining
    assert other.take_news(same, 4.4) is PeerReading.OLD


def test_a_change_on_top_of_a_missed_one_is_not_applied():
    reader, other = knowing(large(1)), knowing(large(1))
    reader.take(large(2, leaving=["i-0000000007"]), 2.0, 2.0)
    leaving = ["i-0000000007", "i-0000000008"]
    second = reader.take(large(3, leaving), 4.5, 4.5).reading
    assert second.changes
    assert other.take_news(second, 4.6) is PeerReading.MISSED


def test_a_lost_change_is_told_again_shortly_after():
    """Guards against daemons that fetch all records for each datagram that is lost."""
    reader, other = knowing(large(1)), knowing(large(1))
    reader.take(large(2, leaving=["i-0000000007"]), 2.0, 2.0)
    second = reader.take(large(3, leaving=["i-0000000007"]), 2.5, 2.5).reading
    assert len(second.changes) < 300
    assert other.take_news(second, 2.6) is PeerReading.CHANGED
    assert other.registry.beliefs_by_id["i-0000000007"].record.draining


def test_two_that_read_at_the_same_time_contradict_nobody():
    """Guards against fetches of all records where two daemons tell of one change.

    The first in rank and the second read the store in the same moment. The second has
    not heard of the first one's reading and tells from an older state.
    """
    first, second, other = (knowing(large(1)) for _ in range(3))
    told = first.take(large(2, leaving=["i-0000000007"]), 2.0, 2.0).reading
    leaving = ["i-0000000007", "i-0000000008"]
    also_told = second.take(large(3, leaving), 2.05, 2.05).reading
    assert other.take_news(told, 2.06) is PeerReading.CHANGED
    assert other.take_news(also_told, 2.07) is PeerReading.CHANGED
    assert other.registry.beliefs_by_id["i-0000000008"].record.draining


def test_changes_against_their_digest_are_refused():
    first, second = large(1), large(2, leaving=["i-0000000007"])
    wrong = EndpointReading.difference(
        second, 7, 0.0, second.delta_from(first), first.digest
    )
    with pytest.raises(PeerMessageInvalid):
        knowing(first).take_news(wrong, 2.0)


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
        self.reader = EndpointKnowledge(EventLog())
        self.others = [EndpointKnowledge(EventLog()) for _ in range(2)]

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
        reading = self.reader.take(read, self.now, self.now).reading
        for other, is_heard in zip(self.others, heard, strict=True):
            if not is_heard or reading is None:
                continue
            if other.take_news(reading, self.now) is PeerReading.MISSED:
                other.take_news(self.reader.whole_reading(self.now), self.now)
            assert self.known_by(other) == read.records_by_id

    @rule()
    def change_reader(self):
        """Another daemon reads from now on, with what it knows itself."""
        self.others[0], self.reader = self.reader, self.others[0]

    @invariant()
    def nobody_knows_a_mixture(self):
        for knowledge in (self.reader, *self.others):
            if knowledge.registry.revision:
                told = self.views_by_revision[knowledge.registry.revision]
                assert self.known_by(knowledge) == told.records_by_id

    @staticmethod
    def known_by(knowledge):
        # The registry may keep a record that lapsed in an outage for a while longer.
        return knowledge.whole_reading(0.0).applied_to(None, 0).view.records_by_id


TestTelling = TellingMachine.TestCase
TestTelling.settings = settings(stateful_step_count=30)


def test_thousands_of_endpoints_are_told_on_demand_only():
    """Guards against a start at which every daemon packs and sends all records."""
    ids = [f"i-{number:010x}" for number in range(3000)]
    thousands = view(1, *(record(i) for i in ids))
    reader, other = EndpointKnowledge(EventLog()), EndpointKnowledge(EventLog())
    assert reader.take(thousands, 1.0, 1.0).reading is None
    told = reader.told_reading(1.0)
    assert not told.changes
    assert other.take_news(told, 1.1) is PeerReading.MISSED
    whole = reader.whole_reading(1.2)
    assert other.take_news(whole, 1.2) is PeerReading.CHANGED
    assert other.registry.beliefs_by_id.keys() == set(ids)


def test_all_records_are_packed_once_for_all_who_ask():
    """Guards against a start at which one daemon packs all records for each other."""
    knowledge = knowing(large(1))
    first, second = knowledge.whole_reading(1.0), knowledge.whole_reading(2.0)
    assert first.changes is second.changes
    assert second.age == 1.0


def test_a_deployment_that_starts_is_told_in_bounded_readings():
    """Guards against readings that nobody can take while endpoints register.

    Some hundred of three thousand appear between two readings, for twelve seconds.
    """
    ids = [f"i-{number:010x}" for number in range(3000)]
    reader, other = EndpointKnowledge(EventLog()), EndpointKnowledge(EventLog())
    first = view(1, *(record(i) for i in ids[:100]))
    for knowledge in (reader, other):
        knowledge.take(first, 1.0, 1.0)
    for number in range(1, 26):
        now = 1.0 + 0.45 * number
        known = view(1 + number, *(record(i) for i in ids[: 100 + 112 * number]))
        reading = reader.take(known, now, now).reading
        assert len(reading.changes) < 60_000
        if number % 4:
            # Three readings in a row are lost, and the fourth makes them good.
            continue
        assert other.take_news(reading, now + 0.05) is PeerReading.CHANGED
    assert other.take_news(reading, now + 0.05) is PeerReading.CHANGED
    assert other.registry.beliefs_by_id.keys() == reader.registry.beliefs_by_id.keys()

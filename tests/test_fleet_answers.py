"""How long an answer may take at most, as a stopping daemon decides by it.

Guards against bounds by the short answers, by the pace of before or by too few, and
against bounds so far off that nothing would be served.
"""

import random
from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.msgpack import decode, encode

from cranberrywick.gateway.answer_rows import pack_answers, unpack_answers
from cranberrywick.routing.answer_lengths import (
    KEPT_ANSWERS,
    MAX_GROUPS,
    MIN_ANSWERS,
    AnswerLengths,
    AnswerOutline,
    KnownLengths,
    Tail,
    bound_length,
)
from cranberrywick.routing.answer_pace import KNOWN_SECONDS, AnswerPaces
from cranberrywick.routing.fleet_answers import (
    KEPT_SECONDS,
    MAX_OVERRUN_SECONDS,
    MAX_STATED_LENGTHS,
    OVERRUN_SECONDS,
    RESTATE_SECONDS,
    AnswerStatement,
    FleetAnswers,
)

STRIDE = 51
DRAFT = AnswerOutline("drafts", is_stream=True, tokens=400)
CALL = AnswerOutline("lookup", target_seconds=0.3)


def known(lengths, outline=DRAFT, hints=None):
    """Return answers of which streams with these lengths are known."""
    answers = FleetAnswers()
    record(answers, lengths, outline, hints)
    return answers


def record(answers, lengths, outline=DRAFT, hints=None):
    for number, events in enumerate(lengths):
        hint = hints[number] if hints else 0
        ended = outline._replace(events=events, hint=hint)
        answers.record_stream(ended, outline.resumed_at + events, STRIDE)


def seconds(answers, outline=DRAFT, pace=0.05, now=0.0):
    """Return the forecast without the time to the first event."""
    return answers.forecast(outline, "pool", STRIDE, 0.0, pace, now).seconds


def events(answers, outline=DRAFT):
    return answers.forecast(outline, "pool", STRIDE, 0.0, 0.05, 0.0).events


def test_the_bound_is_above_the_longest_of_many_short_ones():
    """Guards against nine in ten answers that stand for all."""
    answers = known([2] * 100 + [80])
    assert events(answers) >= 80


@pytest.mark.parametrize("draw", ["uniform", "exponential", "lognormal"])
def test_hardly_any_answer_is_longer_than_its_bound(draw):
    """Guards against a bound that one answer in a hundred exceeds."""
    rng = random.Random(7)
    lengths_by_name = {
        "uniform": lambda: rng.randint(1, 89),
        "exponential": lambda: 1 + round(rng.expovariate(1 / 30)),
        "lognormal": lambda: 1 + round(rng.lognormvariate(3.0, 0.6)),
    }
    outline, exceeded = DRAFT._replace(tokens=10**6), 0
    for _ in range(200):
        count = rng.choice((MIN_ANSWERS, 32, 64, 256))
        answers = known([lengths_by_name[draw]() for _ in range(count)], outline)
        bound = events(answers, outline)
        exceeded += sum(lengths_by_name[draw]() > bound for _ in range(100))
    assert exceeded <= 20_000 / 200


def test_a_bound_from_many_answers_is_near_the_longest():
    """Guards against a bound so high that nothing is served."""
    rng = random.Random(7)
    answers = known([rng.randint(1, 89) for _ in range(256)])
    assert 89 <= events(answers) <= 105


def test_streams_are_never_longer_than_their_tokens_allow():
    """Guards against a refusal of answers that can't become long."""
    assert events(FleetAnswers(), DRAFT._replace(tokens=3)) == 3
    assert seconds(FleetAnswers(), DRAFT._replace(tokens=3)) < 0.3
    answers = known([80, 89, 70] * 20)
    assert events(answers, DRAFT._replace(tokens=9)) == 9
    # An endpoint that exceeds what requests allow shows that this is no bound.
    record(answers, [20], DRAFT._replace(tokens=10))
    assert events(answers, DRAFT._replace(tokens=9)) > 80


def test_what_an_engine_declares_is_a_bound_unless_answers_exceed_it():
    """Guards against a guess where the length is known, and against a wrong one."""
    long = DRAFT._replace(tokens=4182)
    answers = known([20, 30, 82, 5] * 8, long)
    assert events(answers, long) == 82
    # It is known of the engines, whatever the route is.
    assert events(answers, long._replace(route="reviews")) == 82
    answers.running = lambda: [long._replace(route="reviews", events=83)]
    assert events(answers, long) > 82
    answers.running = list
    record(answers, [83], long)
    assert events(answers, long) > 83


def test_answers_as_long_as_declared_show_that_engines_declare_truly():
    """Guards against declared lengths that are used only after dozens of answers."""
    long = DRAFT._replace(tokens=4182)
    assert seconds(known([20] * 4, long), long) > 82 * 0.05 * 1.1 + 1.0
    answers = known([82] * 4, long)
    # They show it though as many others run as would make nothing else known.
    answers.running = lambda: [long._replace(events=40, has_begun=True)] * 12
    assert seconds(answers, long) == pytest.approx(82 * 0.05 * 1.1 + 0.05)
    answers.running = lambda: [long._replace(events=83, has_begun=True)]
    assert seconds(answers, long) > 82 * 0.05 * 1.1 + 1.0


def test_a_stream_that_nobody_else_serves_is_as_long_as_the_longest():
    """Guards against a bound from few answers that refuses what nobody else serves."""

    def seconds_of(answers, unknown_seconds):
        fields = DRAFT, "pool", STRIDE, 0.0, 0.05, 0.0, unknown_seconds
        return answers.forecast(*fields).seconds

    answers = known([60] * 16)
    assert seconds_of(answers, inf) > 100 * 0.05
    assert seconds_of(answers, 1.0) == pytest.approx(60 * 0.05 * 1.1 + 0.05)
    assert seconds_of(known([2] * 16), 1.0) < 1.1 * 1.0 + 0.1


def test_an_answer_that_may_become_longer_is_not_bounded_by_shorter_ones():
    """Guards against a bound from requests that allow a tenth of the tokens."""
    answers = known([8, 3] * 20, DRAFT._replace(tokens=8))
    assert seconds(answers) >= 400 * 0.05
    assert events(answers, DRAFT._replace(tokens=8)) == 8
    # The other way round it is one.
    assert events(known([8] * 20), DRAFT._replace(tokens=300)) <= 16


def test_streams_of_unknown_length_take_long():
    """Guards against a daemon that knows nothing and expects the best."""
    assert seconds(FleetAnswers()) >= 400 * 0.05
    assert seconds(known([2] * (MIN_ANSWERS - 1))) >= 400 * 0.05
    assert seconds(known([2] * MIN_ANSWERS)) < 1.0
    # Where nobody else would serve it, a time is assumed.
    lasting = FleetAnswers().forecast(DRAFT, "pool", STRIDE, 0.0, 0.05, 0.0, 5.0)
    assert lasting.seconds == pytest.approx(1.1 * 5.0 + 0.05)
    assert events(FleetAnswers(), AnswerOutline("drafts", is_stream=True)) == inf


def test_the_first_to_end_do_not_stand_for_those_that_run():
    """Guards against a bound by the short ones as long as the others still run."""
    answers = known([2] * 20)
    answers.running = lambda: [DRAFT._replace(events=5, has_begun=True)] * 12
    assert seconds(answers) >= 400 * 0.05
    assert answers.statement(0.0).lengths[0].events.count == 0
    answers.running = lambda: [DRAFT._replace(events=60, has_begun=True)]
    assert events(answers) >= 60
    # Two hundred have ended while a few run.
    record(answers, [2] * 200)
    answers.running = lambda: [DRAFT._replace(events=2, has_begun=True)] * 12
    assert events(answers) < 5


def test_the_hint_of_a_caller_is_used_as_far_as_hints_were_right():
    """Guards against each stream of a route that is taken for its longest."""
    rng = random.Random(7)
    lengths = [rng.randint(1, 80) for _ in range(1000)]
    hints = [max(1, round(10 * n * rng.choice((0.5, 1, 2)))) for n in lengths]
    answers = known(lengths, hints=hints)
    assert 20 <= events(answers, DRAFT._replace(hint=100)) <= 45
    assert events(answers, DRAFT._replace(hint=5000)) >= 80
    # A caller whose hints are in another unit is known by none like it.
    assert events(answers, DRAFT._replace(hint=1)) >= 80


def test_a_resumed_stream_needs_time_for_the_rest():
    """Guards against a resumption that is refused for events which were sent."""
    answers = known([80, 60, 40] * 30)
    assert events(answers, DRAFT._replace(resumed_at=70)) <= 25
    assert events(answers, DRAFT._replace(events=70)) <= 25
    # Its end is near if the ids are numbers, else nobody knows where it is.
    answers.record_stream(DRAFT._replace(events=40), 400, STRIDE)
    assert events(answers, DRAFT._replace(resumed_at=70)) >= 80
    assert events(answers, DRAFT._replace(events=70)) <= 25


def test_the_rest_of_a_resumed_stream_is_no_short_answer():
    """Guards against a bound from answers whose beginning was sent elsewhere."""
    resumed = DRAFT._replace(resumed_at=78)
    answers = known([80] * 20)
    record(answers, [2] * 300, resumed)
    assert events(answers) >= 80
    # Nor does the number that a caller states bound others.
    before = events(answers)
    foul = DRAFT._replace(resumed_at=10**8, events=2, has_begun=True)
    answers.running = lambda: [foul]
    answers.record_stream(foul, 10**8 + 2, STRIDE)
    assert events(answers) == before


def test_a_number_is_no_count_until_answers_have_shown_it():
    """Guards against an id that is an offset, taken for events that were sent."""
    assert events(FleetAnswers(), DRAFT._replace(resumed_at=390)) == 400
    assert events(known([80] * 20), DRAFT._replace(resumed_at=79)) < 80


def test_the_pace_is_that_of_now():
    """Guards against the pace of an engine before it became slower."""
    paces = AnswerPaces()
    for number in range(100):
        paces.record("e1", "pool", 0.05, 1, float(number))
    assert paces.at("e1", 99.0) == pytest.approx(0.05)
    for number in range(3):
        paces.record("e1", "pool", 0.4, 2, 100.0 + number)
    assert paces.at("e1", 102.0) == pytest.approx(0.2)
    paces.record("e1", "pool", 0.05, 1, 103.0)
    assert paces.at("e1", 103.0) < 0.15
    assert paces.at("e1", 103.0 + 2 * KNOWN_SECONDS) is None
    assert paces.at("e2", 103.0) is None


def test_an_endpoint_without_own_streams_has_the_slowest_pace_known():
    """Guards against an endpoint that is expected to be as fast as another one."""
    answers = FleetAnswers()
    for endpoint_id, pause in (("e1", 0.05), ("e2", 0.2)):
        for _ in range(8):
            answers.paces.record(endpoint_id, "pool", pause, 1, 0.0)
    assert answers.pace("e1", "pool", 1.0) == pytest.approx(0.05)
    assert answers.pace("e3", "pool", 1.0) == pytest.approx(0.2)
    assert answers.least_pace("pool", 1.0) == pytest.approx(0.05)
    assert answers.pace("e3", "desk", 1.0) is None
    peer = FleetAnswers()
    peer.receive("d1", answers.statement(1.0), 1.0)
    assert peer.pace("e1", "pool", 1.0) == pytest.approx(0.2)
    assert peer.pace("e1", "pool", 60.0) is None


def test_answers_that_took_longer_than_foreseen_count_for_some_seconds():
    """Guards against forecasts that go on being wrong, and against one forever."""
    answers = known([20] * 20)
    before = seconds(answers)
    answers.record_overrun("pool", foreseen=1.0, seconds=100.0, now=5.0)
    assert seconds(answers, now=6.0) == before
    answers.record_overrun("pool", foreseen=1.0, seconds=1.6, now=5.0)
    assert seconds(answers, now=6.0) == pytest.approx(before + 0.5)
    assert seconds(answers, now=6.0 + OVERRUN_SECONDS) == before
    for _ in range(2):
        answers.record_overrun("pool", foreseen=1.0, seconds=100.0, now=20.0)
    assert answers.overrun_seconds("pool", 20.0) == MAX_OVERRUN_SECONDS


def test_calls_take_as_long_as_the_longest_lately():
    """Guards against calls that are cut as they take longer than most."""
    answers = FleetAnswers()
    assert seconds(answers, CALL) == pytest.approx(1.1 * 0.3 + 0.05)
    for duration in [0.02] * 30 + [1.0]:
        answers.record_call("lookup", duration)
    assert seconds(answers, CALL) > 1.0
    for _ in range(100):
        answers.record_call("lookup", 0.02)
    assert seconds(answers, CALL) < 0.1


def test_peers_know_what_a_daemon_has_not_seen():
    """Guards against a daemon that has just started and expects the best."""
    peer, other = known([80, 20] * 10), known([2] * 30, DRAFT._replace(tokens=8))
    late = FleetAnswers()
    late.receive("d1", peer.statement(0.0), 0.0)
    late.receive("d2", other.statement(0.0), 0.0)
    assert events(late) >= 80
    assert events(late, DRAFT._replace(tokens=15)) < 8
    late.receive("d1", AnswerStatement(), 1.0)
    assert events(late) >= 80
    late.forget(KEPT_SECONDS + 2.0)
    assert seconds(late) >= 400 * 0.05


def test_a_daemon_states_what_it_knows_now_and_then():
    """Guards against heartbeats that all carry it, and against none that does."""
    answers = known([5] * 20)
    assert answers.due_statement(0.0).lengths
    assert answers.due_statement(RESTATE_SECONDS - 0.1) == AnswerStatement()
    assert answers.due_statement(RESTATE_SECONDS).lengths


def test_what_is_kept_is_bounded():
    """Guards against a daemon that grows with the routes and answers that it sees."""
    answers = FleetAnswers()
    for number in range(2 * MAX_GROUPS):
        record(answers, [5] * 2, DRAFT._replace(route=f"route-{number}"))
    statement = answers.statement(0.0)
    assert len(statement.lengths) == MAX_STATED_LENGTHS
    assert statement.lengths[0].route == f"route-{2 * MAX_GROUPS - 1}"
    lengths = AnswerLengths()
    for _ in range(KEPT_ANSWERS):
        lengths.record(DRAFT._replace(events=80), 80, STRIDE)
    for _ in range(KEPT_ANSWERS):
        lengths.record(DRAFT._replace(events=2), 2, STRIDE)
    bound = bound_length(DRAFT, STRIDE, [], [KnownLengths(lengths.statements())])
    assert bound.events < 5


@given(
    st.lists(
        st.tuples(
            st.integers(0, 10**9),
            st.integers(0, 10**9),
            st.integers(1, 5000),
            st.integers(0, 100),
        ),
        max_size=40,
    )
)
def test_statements_survive_the_wire_whatever_requests_state(answers):
    """Guards against bounds that a peer reads as lower, and against malformed rows."""
    known_answers = FleetAnswers()
    for tokens, hint, length, resumed_at in answers:
        outline = DRAFT._replace(
            tokens=tokens, hint=hint, events=length, resumed_at=resumed_at
        )
        known_answers.record_stream(outline, resumed_at + length, STRIDE)
    stated = known_answers.statement(0.0)
    values = unpack_answers(pack_answers([AnswerStatement(), stated]))
    assert not values.error
    read = values.values_by_position.get(1, AnswerStatement())
    assert [e[:3] for e in read.lengths] == [e[:3] for e in stated.lengths]
    for ours, theirs in zip(stated.lengths, read.lengths, strict=True):
        assert theirs.events.most == ours.events.most
        assert theirs.traits == ours.traits
        for outline in (DRAFT, DRAFT._replace(hint=50)):
            assert seconds(known_answers, outline) > 0


def test_a_row_that_cannot_be_read_is_dropped_alone():
    """Guards against a whole heartbeat lost for what it states about answers."""
    good = decode(pack_answers([known([5] * 20).statement(0.0)]))[0]
    bad = [[["drafts", -1]], []]
    rows = unpack_answers(encode([bad, good, [*good, "of a newer version"]]))
    assert rows.error
    assert set(rows.values_by_position) == {1, 2}


def test_a_tail_of_nothing_has_no_bound():
    """Guards against a division by nothing."""
    assert Tail.of([]).merge(Tail()).bound() is None
    assert Tail.of([0.0] * 20).bound() is None

"""Tests of gangs: the plan, the order of reservations, and running engines.

Guards against engines' memory that is exceeded or stays reserved after the request has
ended.
"""

import hypothesis.strategies as st
import pytest
from hypothesis import given
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cranberrywick.decisions.gangs import (
    FREE_SHARE,
    Candidate,
    GangPlan,
    GangReservation,
    HoldKind,
    Part,
    plan_gang,
)
from cranberrywick.endpoints.gang import hold_gang
from cranberrywick.errors import EndpointRefused
from cranberrywick.standin import engine

OWNER = "entry-1/1/r1"


def candidates(*free, domain="a"):
    return [Candidate(f"e{n}", domain, tokens) for n, tokens in enumerate(free)]


@given(
    st.integers(1, 10_000),
    st.integers(1, 500),
    st.lists(st.integers(0, 5000), max_size=8),
)
def test_plan_holds_everything_or_is_none(prompt_tokens, output_tokens, free):
    plan = plan_gang(prompt_tokens, output_tokens, candidates(*free))
    if plan is None:
        return
    parts = (plan.leader, *plan.helpers)
    assert sum(part.tokens for part in parts) == prompt_tokens + output_tokens
    assert len(set(plan.endpoint_ids)) == len(parts)
    for part in parts:
        assert part.tokens <= free[int(part.endpoint_id[1:])] * FREE_SHARE
    assert plan.leader.tokens >= output_tokens


def test_gang_stays_in_one_failure_domain():
    spread = [Candidate("a1", "a", 600), Candidate("b1", "b", 600)]
    assert plan_gang(900, 10, spread) is None
    together = [*spread, Candidate("b2", "b", 600)]
    assert set(plan_gang(900, 10, together).endpoint_ids) == {"b1", "b2"}


class GangMachine(RuleBasedStateMachine):
    """Several gangs reserve memory at three engines that grant, refuse or lose answers.

    No engine's memory may be exceeded, and a gang that has ended holds nothing.
    """

    def __init__(self):
        super().__init__()
        self.free = {f"e{n}": 1000 for n in range(3)}
        # The steps that the engines hold and the memory they use, by gang and
        # reservation id, including those whose answer was lost.
        self.held_by_engines = {}
        self.gangs = {}
        self.numbers = iter(range(10_000))

    @rule(
        prompt=st.integers(900, 2500),
        reported=st.tuples(*[st.integers(300, 1000)] * 3),
    )
    def plan(self, prompt, reported):
        engines = candidates(*reported)
        plan = plan_gang(prompt, 50, engines)
        if plan is not None and len(self.gangs) < 4:
            self.gangs[next(self.numbers)] = GangReservation(plan)

    @precondition(lambda self: self.gangs)
    @rule(data=st.data(), answer_arrives=st.booleans())
    def reserve(self, data, answer_arrives):
        gang = data.draw(st.sampled_from(sorted(self.gangs)))
        reservation = self.gangs[gang]
        step = reservation.next_step()
        if step is None:
            return
        tokens_used = 0 if step.source else step.tokens
        if tokens_used > self.free[step.endpoint_id]:
            reservation.refused()
            return
        self.free[step.endpoint_id] -= tokens_used
        reservation_id = f"h{next(self.numbers)}"
        self.held_by_engines[gang, reservation_id] = (step, tokens_used)
        if answer_arrives:
            reservation.taken(reservation_id)
        else:
            reservation.unknown()

    @precondition(lambda self: self.gangs)
    @rule(data=st.data())
    def end(self, data):
        """End a request, whatever the state of its gang."""
        gang = data.draw(st.sampled_from(sorted(self.gangs)))
        reservation = self.gangs.pop(gang)
        for held in reservation.to_release():
            for key, (step, tokens_used) in list(self.held_by_engines.items()):
                same = (step.endpoint_id, step.kind) == (held.endpoint_id, held.kind)
                named = held.reservation_id in (None, key[1])
                if key[0] == gang and same and named:
                    del self.held_by_engines[key]
                    self.free[step.endpoint_id] += tokens_used
            reservation.released(held)
        assert reservation.held == ()
        assert not reservation.complete

    @invariant()
    def engine_memory_is_never_exceeded(self):
        assert all(0 <= free <= 1000 for free in self.free.values())

    @invariant()
    def ended_gangs_hold_nothing(self):
        assert {gang for gang, _ in self.held_by_engines} <= set(self.gangs)
        if not self.gangs:
            assert set(self.free.values()) == {1000}

    @invariant()
    def memory_is_reserved_in_one_order(self):
        for reservation in self.gangs.values():
            taken = [held for held in reservation.held]
            links = [h for h in taken if h.kind is HoldKind.IMPORT][1:]
            names = [held.endpoint_id for held in taken if held not in links]
            assert names == sorted(names)


TestGangMachine = GangMachine.TestCase


def test_two_gangs_that_need_the_same_engines_do_not_block_each_other():
    """Two gangs that reserve in different orders would hold one engine each and fail.

    Two prompts need the same two engines, with different leaders, and make their
    reservations in turns. The gang that gets the first engine gets the other one too.
    """
    free = {"e0": 1000, "e1": 1000}
    gangs = [
        GangReservation(GangPlan(Part("e0", 900), (Part("e1", 600),))),
        GangReservation(GangPlan(Part("e1", 900), (Part("e0", 600),))),
    ]
    for _ in range(3):
        for gang in gangs:
            if (step := gang.next_step()) is None:
                continue
            tokens_used = 0 if step.source else step.tokens
            if tokens_used > free[step.endpoint_id]:
                gang.refused()
            else:
                free[step.endpoint_id] -= tokens_used
                gang.taken("held")
    assert [gang.complete for gang in gangs] == [True, False]
    assert gangs[1].held == ()


@pytest.fixture
def engines():
    settings = engine.EngineSettings(cache_tokens=1000)
    running = {f"e{n}": engine.start(settings) for n in range(3)}
    yield running
    for each in running.values():
        each.stop()


def memory_used(engines):
    return [each.standin.core.memory_used for each in engines.values()]


def addresses(engines):
    return {name: each.address for name, each in engines.items()}


def plan_over(engines):
    plan = plan_gang(2000, 50, candidates(1000, 1000, 1000))
    assert set(plan.endpoint_ids) == set(engines)
    return plan


def test_gang_is_held_and_released(engines):
    with hold_gang(plan_over(engines), addresses(engines), OWNER, 60.0) as cache_id:
        assert sum(memory_used(engines)) == 2050
        assert len(cache_id.split(",")) == 3
    assert memory_used(engines) == [0, 0, 0]


def test_gang_is_released_when_the_request_fails(engines):
    """The request raises while the gang is held, as after a timeout or a disconnect."""
    with pytest.raises(KeyError):
        with hold_gang(plan_over(engines), addresses(engines), OWNER, 60.0):
            raise KeyError
    assert memory_used(engines) == [0, 0, 0]


def test_refusal_by_a_full_member_releases_the_others(engines):
    """A partly reserved gang would leave the other engines with less memory.

    The last engine has filled up since its report and refuses its part. The request
    counts as not run, and the other engines hold nothing.
    """
    engines["e2"].standin.core.exports.add("somebody", 900, 60.0)
    with pytest.raises(EndpointRefused):
        with hold_gang(plan_over(engines), addresses(engines), OWNER, 60.0):
            raise AssertionError("the gang must not be held")
    assert memory_used(engines) == [0, 0, 900]


def test_reservation_whose_answer_is_lost_is_released(engines):
    """An engine reserves memory, but its answer with the reservation's id is lost.

    Without the id, the reservation is found by its owner and released.
    """
    engines["e1"].standin.faults.set("drop_next_answer", count=1, path="/v1/cache")
    with pytest.raises(EndpointRefused):
        with hold_gang(plan_over(engines), addresses(engines), OWNER, 60.0):
            raise AssertionError("the gang must not be held")
    assert memory_used(engines) == [0, 0, 0]

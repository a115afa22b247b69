"""What a stopping daemon can still serve, as its decisions have it.

Guards against requests that are held although their turn can't come, and against
refusals of those whose turn may come.
"""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.drain_window import (
    MAX_SERVICES,
    DrainWindow,
    HeldTimes,
    SignalMoment,
    gets_no_turn,
    seconds_until_room,
)
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.engine_model import prefill_time
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import EndpointRecord, PromptSize, Service
from cranberrywick.routing.retry_after import DrainReturns

POOL = EndpointPool.of(
    [
        TrackedEndpoint(
            EndpointRecord(f"e{n}", "pool", f"10.1.0.{n}:80", "fd-a", 2, False, 0.0, 1),
            cold_until=0.0,
        )
        for n in (1, 2)
    ]
)
CALLS = Service("pool", 0.0, 0.0, None)
PROMPTS = Service("pool", 0.0, 0.0, PROFILE)


def demand(service=CALLS, prompt=None):
    return Demand("r", service, prompt, 0.3, 0.3, 0.25, "fd-a")


def calls(endpoint_id, number):
    return [Job(endpoint_id, 0, 0.0, 0.0, 0.0) for _ in range(number)]


def load_of(jobs):
    load = FleetLoad()
    for number, job in enumerate(jobs):
        load.put(f"job-{number}", [job])
    return load


def turn(ahead, load, mean_held=1.0, last_start=6.0, request=None):
    request = request or demand()
    return not gets_no_turn(request, ahead, POOL, load, mean_held, last_start, 0.0)


def window_of(earliest, latest, grace_seconds=8.0):
    return DrainWindow.of_grace(SignalMoment(earliest, latest), grace_seconds)


def test_the_window_ends_before_the_daemon_is_killed():
    """Guards against answers that are written when the process has been killed."""
    window = window_of(100.0, 100.0)
    assert 100.0 < window.answer_by < window.close_at == window.cut_at < 108.0
    assert window_of(100.0, 100.0, grace_seconds=0.1)[:2] == (100.0, 100.0)


@given(
    grace=st.floats(0.0, 60.0),
    width=st.floats(0.0, 30.0),
    share=st.floats(0.0, 1.0),
)
def test_the_window_holds_whenever_the_signal_came(grace, width, share):
    """Guards against promises that hold for one end of an uncertain moment only."""
    window = window_of(100.0, 100.0 + width, grace)
    signalled_at = 100.0 + share * width
    assert window.answer_by <= window.close_at <= signalled_at + grace
    assert window.late_from < signalled_at + 3.0
    assert window.cut_at >= window.close_at
    assert window.cut_at > signalled_at + grace * 5 / 6
    if window.cut_at > window.close_at:  # No later than it has to be.
        assert window.cut_at < 100.0 + width + grace * 5 / 6 + 0.1


def test_a_call_that_is_far_behind_gets_no_turn():
    """Guards against calls that wait until the end behind hundreds of others."""
    full = load_of(calls("e1", 2) + calls("e2", 2))
    # Four slots of one second: even at twice that rate 48 calls are begun in 6 s.
    assert turn(ahead=46, load=full)
    assert not turn(ahead=48, load=full)


@pytest.mark.parametrize(
    ("jobs", "mean_held"), [(calls("e1", 2), 1.0), (calls("e1", 2) * 2, 0.0)]
)
def test_a_wait_that_is_not_for_a_slot_or_of_unknown_length_goes_on(jobs, mean_held):
    """Guards against a refusal by a forecast that doesn't apply."""
    assert turn(ahead=1000, load=load_of(jobs), mean_held=mean_held)


def test_nothing_is_begun_after_the_last_start():
    """Guards against requests that are sent and then cut."""
    assert not turn(ahead=0, load=FleetLoad(), last_start=0.0)


def test_memory_is_not_free_before_a_prompt_has_been_read():
    """Guards against prompts that are held behind one that is read until the end."""
    memory = PROFILE.memory_tokens
    long_seconds = prefill_time(PROFILE, memory - 1000)
    taken = [Job(f"e{n}", memory - 1000, long_seconds, 0.0, 0.0) for n in (1, 2)]
    request = demand(PROMPTS, PromptSize(60_000, 500))
    load = load_of(taken)
    assert seconds_until_room(request, POOL, load, 1.0) == pytest.approx(
        long_seconds - 1.0
    )
    assert not turn(0, load, last_start=long_seconds - 0.1, request=request)
    assert turn(0, load, last_start=long_seconds + 0.1, request=request)
    # An answer may end at any moment, and other endpoints may have room.
    decoding = [taken[0]._replace(decoding=True), taken[1]]
    assert turn(0, load_of(decoding), last_start=0.1, request=request)
    assert turn(0, load_of(taken[:1]), last_start=0.1, request=request)


def test_a_prompt_for_two_engines_waits_for_both():
    """Guards against a refusal, or a wait, by the first engine with room alone."""
    memory = PROFILE.memory_tokens
    jobs = [Job("e1", memory, 3.0, 0.0, 0.0), Job("e2", memory, 5.0, 0.0, 0.0)]
    request = demand(PROMPTS, PromptSize(memory + 1000, 500))
    assert seconds_until_room(request, POOL, load_of(jobs), 0.0) == pytest.approx(5.0)


def test_held_times_are_those_of_the_last_requests():
    """Guards against estimates by old requests, or without a bound of their number."""
    times = HeldTimes()
    assert times.mean("desk") == 0.0
    for seconds in [*[9.0] * 20, *[0.1] * 15, 4.0]:
        times.record("desk", seconds)
    assert times.mean("desk") == pytest.approx((15 * 0.1 + 4.0) / 16)
    for number in range(MAX_SERVICES):
        times.record(f"service-{number}", 1.0)
    assert times.mean("desk") == 0.0
    assert times.mean(f"service-{MAX_SERVICES - 1}") == 1.0


def test_refused_callers_are_spread_and_return_when_somebody_serves():
    """Guards against callers that all return at once, or to nobody."""
    returns = DrainReturns(random.Random(1))
    few = [returns.retry_seconds(1, True, 5.0, 2.0 * n) for n in range(100)]
    many = [returns.retry_seconds(500, True, 5.0, 2.0 * n) for n in range(100)]
    alone = [returns.retry_seconds(1, False, 5.0, 2.0 * n) for n in range(100)]
    assert 0.1 <= min(few) < max(few) < 0.4
    assert 0.1 <= min(many) < 0.3 < 1.8 < max(many) < 2.2
    assert 6.0 <= min(alone)


def test_the_more_come_back_the_later_they_return():
    """Guards against a stopping daemon that the callers it refuses keep busy."""
    returns = DrainReturns(random.Random(1))

    def longest(first, pause):
        moments = [first + pause * n for n in range(400)]
        return max(returns.retry_seconds(1, True, 5.0, now) for now in moments)

    assert longest(0.0, 0.1) < 0.4
    assert longest(100.0, 0.01) > 0.9
    assert longest(200.0, 0.001) > 1.8
    assert longest(300.0, 0.1) < 0.4

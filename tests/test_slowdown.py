"""Detection of slow engines by the pauses of their streams; no network, no clock."""

import random

import pytest

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.engine_model import forecast
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.model import EndpointRecord, PromptSize, Service
from cranberrywick.routing.placement import Placer
from cranberrywick.routing.slowdown import (
    LATE_PAUSES_FACTOR,
    EndpointSlowdown,
    EndpointSlowdowns,
    LatePauses,
    StreamPauses,
    call_slowdown,
)


def test_two_long_pauses_are_no_slow_engine():
    """Guards against engines that count as slow after the prefill of one prompt."""
    pauses = StreamPauses(0.05)
    slowdowns = [pauses.record(seconds) for seconds in (0.05, 0.06, 0.6, 0.6, 0.05)]
    assert max(slowdown for slowdown in slowdowns if slowdown) < 2.0


def test_pauses_that_are_all_long_show_the_slowdown():
    pauses = StreamPauses(0.05)
    assert [pauses.record(0.25) for _ in range(4)] == [None, None, 5.0, 5.0]


@pytest.mark.parametrize("pace", [0.05, 0.2, 0.35])
def test_a_daemon_that_is_late_all_the_time_learns_the_pace(pace):
    """Guards against a pace that is not known since each pause is a late one."""
    pauses, learned = LatePauses(), []
    seen_at, ran_at = 0.0, 0.0
    events = 0
    for number in range(1, 400):
        came_at = number * pace
        # It runs for a moment each 0.6 s, and sees all that has come until then.
        if came_at > ran_at:
            if events:
                mean = pauses.record(ran_at - seen_at, events)
                learned += [mean] if mean else []
                seen_at, events = ran_at, 0
            while ran_at < came_at:
                ran_at += 0.6
        events += 1
    assert learned
    for seconds, number in learned:
        assert seconds / number == pytest.approx(pace, rel=1 / LATE_PAUSES_FACTOR)


def test_one_suspension_shows_no_pace():
    """Guards against a pace that is that of a suspended process."""
    pauses = LatePauses()
    assert pauses.record(1.5, 1) is None
    assert all(pauses.record(0.001, 1) is None for _ in range(50))


def test_events_that_came_while_the_first_was_waited_for_show_no_pace():
    """Guards against an engine that counts as fast since its events were read late."""
    pauses = LatePauses()
    assert all(pauses.record(0.001, 1) is None for _ in range(50))


def test_a_slow_engine_is_reported_and_tried_again():
    """Short prompts try a slow engine again after two seconds, long ones much later."""
    slowdowns, peers = EndpointSlowdowns(), EndpointSlowdowns()
    assert slowdowns.observe("e1", 5.0, 0.0)
    assert not slowdowns.observe("e1", 5.0, 0.5)
    peers.receive(slowdowns.own(0.5), 0.6)
    assert peers.slowdown("e1", 2.5, is_long=False) == 5.0
    assert peers.slowdown("e1", 2.7, is_long=False) == 1.0
    assert peers.slowdown("e1", 10.0, is_long=True) == 5.0
    assert peers.slowdown("e1", 16.0, is_long=True) == 1.0
    assert slowdowns.own(2.6) == []


def test_an_engine_that_is_fast_again_is_reported_too():
    """Guards against long prompts that avoid the engine until an update expires."""
    slowdowns, peers = EndpointSlowdowns(), EndpointSlowdowns()
    slowdowns.observe("e1", 5.0, 0.0)
    peers.receive(slowdowns.own(0.0), 0.0)
    assert slowdowns.observe("e1", 1.1, 0.5)
    peers.receive(slowdowns.own(0.5), 0.5)
    assert peers.slowdown("e1", 0.6, is_long=True) == 1.0


def test_an_engine_that_was_never_slow_is_not_reported():
    slowdowns = EndpointSlowdowns()
    assert not slowdowns.observe("e1", 1.1, 0.0)
    assert slowdowns.own(0.0) == []


def test_an_older_slowdown_does_not_replace_a_newer_one():
    slowdowns = EndpointSlowdowns()
    slowdowns.receive([EndpointSlowdown("e1", 5.0)], 2.0)
    slowdowns.receive([EndpointSlowdown("e1", 2.5)], 1.0)
    assert slowdowns.slowdown("e1", 2.5, is_long=False) == 5.0


def test_a_forecast_follows_the_slowdown():
    slow = forecast(PROFILE, [], 0.0, slowdown=5.0)
    fast = forecast(PROFILE, [], 0.0)
    assert slow.first_event(0.1) == pytest.approx(5 * fast.first_event(0.1))
    assert slow.exceeds_gap(0.2) and not fast.exceeds_gap(0.2)


def test_short_prompts_avoid_a_slow_engine_while_others_have_room():
    """Guards against short prompts whose answers have only pauses that are too long.

    One of four engines takes five times as long as declared; it is idle, and the
    others each have a few answers to decode.
    """
    tracked_endpoints = [
        TrackedEndpoint(EndpointRecord(f"e{n}", "pool", "", "", 8, False, 0.0, 1), -1.0)
        for n in range(4)
    ]
    load, slowdowns = FleetLoad(), EndpointSlowdowns()
    slowdowns.receive([EndpointSlowdown("e0", 5.0)], 0.0)
    placer = Placer(load, EndpointHealth(), slowdowns, random.Random(1), lambda: 0.0)
    for number in range(12):
        demand = Demand(
            request_id=f"r{number}",
            service=Service("pool", 0.0, 0.0, PROFILE),
            prompt=PromptSize(4000, 1000),
            target_seconds=0.3,
            due_at=0.3,
            gap_seconds=0.25,
            failure_domain="",
        )
        placement = placer.place(demand, EndpointPool.of(tracked_endpoints), 0.0)
        assert placement.endpoint_id != "e0"
        decoding = [j._replace(decoding=True) for j in placement.jobs if j.held_tokens]
        load.put(demand.request_id, decoding)


def test_a_slow_plain_endpoint_gets_few_calls():
    """Guards against a third of all calls being late at one slow endpoint of three.

    The daemon that places the calls has not called it itself; a peer has observed a
    call there that took four times its target.
    """
    slowdowns = EndpointSlowdowns()
    slowdowns.receive([EndpointSlowdown("slow", call_slowdown(1.2, 0.3))], 0.0)
    load = FleetLoad()
    placer = Placer(load, EndpointHealth(), slowdowns, random.Random(1), lambda: 0.0)
    pool = EndpointPool.of(
        [
            TrackedEndpoint(
                EndpointRecord(name, "calls", "", "", 6, False, 0.0, 1), float("-inf")
            )
            for name in ("slow", "a", "b")
        ]
    )
    service = Service("calls", 0.0, 0.0, None)
    places = []
    for number in range(12):
        demand = Demand(f"r{number}", service, None, 0.3, 0.3, 1.0, "")
        placement = placer.place(demand, pool, 0.1)
        load.put(demand.request_id, placement.jobs)
        places.append(placement.endpoint_id)
    assert places.count("slow") <= 1


def test_a_call_within_its_target_shows_no_slowdown():
    """Guards against avoiding endpoints whose calls differ in length."""
    slowdowns = EndpointSlowdowns()
    assert not slowdowns.observe("e1", call_slowdown(0.29, 0.3), 0.0)
    assert slowdowns.slowdown("e1", 0.1, is_long=False) == 1.0

"""Waiting requests are placed, or refused once they can't meet their deadline.

Guards against refusals that come too late for a retry, and against needless ones.
"""

import asyncio
from types import SimpleNamespace

import pytest

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.errors import Overloaded
from cranberrywick.gateway.contention import Contention
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.usable_endpoints import UsableEndpoints
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.logs import EventLog
from cranberrywick.routing.demand import Demand, min_first_event_seconds
from cranberrywick.routing.fleet_demand import FleetDemand
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.model import (
    EndpointRecord,
    EndpointView,
    PromptSize,
    Service,
)
from cranberrywick.routing.placement import Placement
from cranberrywick.routing.registry import EndpointRegistry


class PlacerFullUntil:
    """A placer that finds no endpoint with room before a moment."""

    def __init__(self, moment):
        self._moment = moment

    def place(self, demand, usable, now, last_resort):
        if now < self._moment:
            return None
        return Placement("e1", (), 0.0, ())


def state():
    record = EndpointRecord("e1", "drafting", "10.1.0.1:80", "fd-a", 8, False, 0.0, 1)
    registry = EndpointRegistry()
    registry.apply(EndpointView(1, {"e1": record}), 0.0, 0.0)
    operator = SimpleNamespace(domains_out=frozenset(), out_since_by_domain={})
    bounds = SimpleNamespace(drain_seconds=2.0, evacuate_seconds=5.0)
    return SimpleNamespace(
        usable_endpoints=UsableEndpoints(registry, operator, bounds, EventLog()),
        store_is_unavailable=False,
        load=FleetLoad(),
        peer_updates=SimpleNamespace(
            job_added=lambda: None,
            limits=SimpleNamespace(wait_seconds=lambda endpoint_id, now: 0.0),
        ),
    )


def demand(prompt_tokens):
    return Demand(
        request_id="r",
        service=Service("drafting", 0.0, 0.0, PROFILE),
        prompt=PromptSize(prompt_tokens, 500),
        target_seconds=0.3,
        due_at=0.3,
        gap_seconds=0.25,
        failure_domain="fd-a",
    )


async def place(free_after, deadline_after, prompt_tokens=200_000):
    """Return how many seconds a request waited, and whether it was placed."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    contention = Contention(
        lambda: None, FleetDemand(), lambda: None, LazyMetrics("e1"), EventLog()
    )
    placer = PlacerFullUntil(started + free_after)
    waiting = WaitingRequests(state(), placer, contention)
    try:
        deadline = started + deadline_after
        await waiting.place(demand(prompt_tokens), 1, started, deadline)
    except Overloaded:
        return loop.time() - started, False
    return loop.time() - started, True


def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once():
    """Guards against callers that wait until their deadline for a certain refusal."""
    least = min_first_event_seconds(demand(200_000))
    waited, is_placed = run_in_virtual_time(place(10.0, least / 2))
    assert not is_placed
    assert waited < 0.05


def test_a_waiting_request_is_refused_when_too_little_time_is_left():
    """Guards against refusals that reach the caller too late for a retry."""
    least = min_first_event_seconds(demand(200_000))
    waited, is_placed = run_in_virtual_time(place(10.0, least + 0.1))
    assert not is_placed
    assert waited < 0.1 + 0.05


@pytest.mark.parametrize("prompt_tokens", [1_000, 200_000])
def test_a_request_that_can_still_be_served_waits(prompt_tokens):
    """Guards against refusals of requests for which an endpoint has room in time."""
    waited, is_placed = run_in_virtual_time(place(0.1, 5.0, prompt_tokens))
    assert is_placed
    assert 0.1 <= waited < 0.2

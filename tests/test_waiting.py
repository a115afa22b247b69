"""Waiting requests are placed, or refused once they can't meet their deadline.

Guards against refusals that come too late for a retry, and against needless ones.
"""

import asyncio
from types import SimpleNamespace

import pytest
from contended_fleet import Records, table

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.errors import Draining, Overloaded, RequestQuarantined
from cranberrywick.gateway.contention import Contention
from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.gateway.usable_endpoints import UsableEndpoints
from cranberrywick.gateway.waiting import RETRY_INTERVAL_SECONDS, WaitingRequests
from cranberrywick.logs import EventLog
from cranberrywick.routing.crash_statement import Quarantine
from cranberrywick.routing.demand import Demand, min_first_event_seconds
from cranberrywick.routing.drain_window import DrainWindow
from cranberrywick.routing.endpoint_index import EndpointPool
from cranberrywick.routing.fleet_answers import FleetAnswers
from cranberrywick.routing.fleet_demand import (
    DemandStatement,
    FleetDemand,
    RankDemand,
    ServiceDemand,
)
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.model import (
    EndpointRecord,
    EndpointView,
    PromptSize,
    Service,
)
from cranberrywick.routing.placement import Placement
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.request_traits import RequestTraits
from cranberrywick.routing.slowdown import EndpointSlowdowns


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
        members=SimpleNamespace(serving=lambda now: []),
        ticker=Ticker(EventLog()),
        peer_updates=SimpleNamespace(
            job_added=lambda: None,
            limits=SimpleNamespace(wait_seconds=lambda endpoint_id, now: 0.0),
            answers=FleetAnswers(),
            slowdowns=EndpointSlowdowns(),
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


class Deferring:
    """Waiting requests of a contended service, while a peer states an urgent one.

    The placer always finds room until ``full_at``; a request of rank 1 has a target of
    1.533 s, and so is deferred for up to 0.46 s.
    """

    LONGEST_SECONDS = 0.3 * 1.533

    def __init__(self, full_at=float("inf"), states_urgent=True):
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.table = table((0, 1, 2), "drafting")
        self.fleet_demand = FleetDemand()
        if states_urgent:
            stated = ServiceDemand("drafting", (RankDemand(0, 1, 1.0),))
            statement = DemandStatement(services=(stated,))
            self.fleet_demand.receive("d2", statement, 0.0)
        self.records = Records()
        self.changes = 0
        self.contention = Contention(
            *(lambda: self.table, self.fleet_demand, self._count_change),
            *(self.records, self.records),
        )
        self.full_at = full_at
        self.state = state()
        self.drain = Drain(self.state, LazyMetrics("d1"), EventLog())
        self.waiting = WaitingRequests(self.state, self, self.contention, self.drain)

    def _count_change(self):
        self.changes += 1

    def place(self, demand, usable, now, last_resort):
        is_full = now >= self.full_at or demand.request_id == "stuck"
        return None if is_full else Placement("e1", (), 0.0, ())

    def start(self, priority=1, request_id="r", deadline_after=10.0, traits=None):
        started = self.loop.time()
        target = 1.533 if priority else 0.271
        request = demand(45_000)._replace(
            request_id=request_id,
            target_seconds=target,
            logged_id=request_id,
            traits=traits,
        )
        return self.loop.create_task(
            self.waiting.place(
                request, priority, started + target, started + deadline_after
            )
        )

    def ended(self):
        return [line["reason"] for line in self.records.of("deferral_ended")]

    @property
    def is_clean(self):
        """Whether nothing is left of the requests that have ended."""
        timers = [t for t in self.loop._scheduled if not t.cancelled()]
        return not len(self.waiting) and not timers


def uncontended():
    """Return the contention of a service without ranks."""
    return Contention(
        lambda: None, FleetDemand(), lambda: None, LazyMetrics("e1"), EventLog()
    )


async def place(free_after, deadline_after, prompt_tokens=200_000):
    """Return how many seconds a request waited, and whether it was placed."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    placer = PlacerFullUntil(started + free_after)
    built = state()
    drain = Drain(built, LazyMetrics("d1"), EventLog())
    waiting = WaitingRequests(built, placer, uncontended(), drain)
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


@pytest.mark.parametrize("others", [[], ["stuck"]], ids=["alone", "others-wait"])
def test_a_deferred_request_starts_at_its_longest_deferral(others):
    """Guards against starvation by a daemon that states urgent requests for ever."""

    async def main():
        deferring = Deferring()
        stuck = [deferring.start(2, request_id=name) for name in others]
        await asyncio.sleep(0.01)
        changes = deferring.changes
        started = deferring.loop.time()
        await deferring.start()
        waited = deferring.loop.time() - started
        # A retry that is due takes its turn with the requests that wait.
        assert waited <= deferring.LONGEST_SECONDS + RETRY_INTERVAL_SECONDS + 0.001
        assert len(deferring.records.of("request_deferred")) == 1
        assert deferring.ended() == ["longest_deferral"]
        # Behind others it waits for its first try; deferred, it doesn't count.
        assert deferring.changes - changes == 2 * len(others)
        for task in stuck:
            task.cancel()
        await asyncio.gather(*stuck, return_exceptions=True)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        assert deferring.is_clean

    run_in_virtual_time(main())


def test_urgent_requests_and_those_of_other_services_are_never_deferred():
    """Guards against deferrals where nothing more urgent can be meant."""

    async def main():
        deferring = Deferring()
        await deferring.start(priority=0)
        deferring.table = table((1, 1, 1), "drafting")
        await deferring.start()
        assert deferring.loop.time() == deferring.started
        assert not deferring.records.lines

    run_in_virtual_time(main())


def test_a_cancelled_request_leaves_nothing_behind():
    """Guards against timers and lists that keep requests whose callers are gone.

    That is also what a daemon does with them that stops.
    """

    async def main():
        deferring = Deferring()
        task = deferring.start()
        await asyncio.sleep(0.15)
        assert len(deferring.waiting) == 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert deferring.ended() == ["cancelled"]
        assert deferring.is_clean

    run_in_virtual_time(main())


def test_a_deferred_request_that_finds_no_room_waits_and_is_refused_in_time():
    """Guards against requests that are lost between deferral and wait."""

    async def main():
        deferring = Deferring(full_at=0.05)
        task = deferring.start(deadline_after=2.0)
        await asyncio.sleep(0.2)
        assert len(deferring.waiting) == 1
        assert deferring.fleet_demand.waiting("drafting", 1) == 2
        with pytest.raises(Overloaded):
            await task
        assert deferring.loop.time() < 2.0
        assert deferring.fleet_demand.waiting("drafting", 1) == 1
        assert deferring.ended() == ["refused"]
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        assert deferring.is_clean

    run_in_virtual_time(main())


def test_a_deferred_request_is_refused_once_its_endpoints_have_left():
    """Guards against callers that wait for a service that is gone."""

    async def main():
        deferring = Deferring()
        task = deferring.start()
        await asyncio.sleep(0.01)
        pool = deferring.state.usable_endpoints
        pool.ready = pool.last_resort = lambda service: EndpointPool([])
        pool.backing_off = pool.ready
        with pytest.raises(Overloaded):
            await task
        assert deferring.loop.time() <= 0.1 + 0.001
        assert deferring.is_clean

    run_in_virtual_time(main())


def test_a_configuration_without_ranks_ends_deferrals():
    """Guards against requests deferred by rules that are no longer in force."""

    async def main():
        deferring = Deferring()
        task = deferring.start()
        await asyncio.sleep(0.01)
        deferring.table = table((1, 1, 1), "drafting")
        await task
        assert deferring.loop.time() <= 0.1 + 0.001
        assert deferring.ended() == ["not_contended"]
        assert deferring.is_clean

    run_in_virtual_time(main())


def test_a_request_is_not_deferred_for_itself():
    """Guards against one that ranks below what it declares and sees itself wait."""

    async def main():
        deferring = Deferring(states_urgent=False)
        deferring.contention.effective_rank = lambda waiter, now: waiter.priority + 1
        stuck = deferring.start(2, request_id="stuck")
        await asyncio.sleep(0.01)
        await deferring.start(priority=0)
        assert not deferring.records.of("request_deferred")
        stuck.cancel()

    run_in_virtual_time(main())


BAD = RequestTraits(("first", "bad", "own"), b"POST", "host", b"/", b"")


def quarantine_later(built, after):
    """Let a state quarantine `BAD` after some seconds."""
    loop = asyncio.get_running_loop()
    quarantined_at = loop.time() + after
    quarantine = Quarantine("bad", quarantined_at, 3)

    def find(traits, request_key, request_id):
        return quarantine if loop.time() >= quarantined_at else None

    built.peer_updates.crashes = SimpleNamespace(find=find)
    return quarantine


def refused_after(start):
    """Return after how many seconds a request is refused, and the error.

    ``start`` starts it, given a moment after which it is quarantined.
    """

    async def run():
        loop = asyncio.get_running_loop()
        started = loop.time()
        with pytest.raises(RequestQuarantined) as raised:
            await start(1.0)
        return loop.time() - started, raised.value

    return run_in_virtual_time(run())


def test_a_request_that_waits_is_refused_when_its_prompt_is_quarantined():
    """Guards against a caller held until its deadline, or sent on to an engine."""

    async def start(after):
        built = state()
        quarantine_later(built, after)
        placer = PlacerFullUntil(float("inf"))
        drain = Drain(built, LazyMetrics("d1"), EventLog())
        waiting = WaitingRequests(built, placer, uncontended(), drain)
        request = demand(5_000)._replace(traits=BAD)
        loop = asyncio.get_running_loop()
        await waiting.place(request, 1, loop.time() + 0.3, loop.time() + 10.0)

    seconds, error = refused_after(start)
    assert 1.0 <= seconds <= 1.0 + 2 * RETRY_INTERVAL_SECONDS
    assert error.status == 503
    assert 590 < error.retry_after <= 600


def test_a_deferred_request_is_refused_when_its_prompt_is_quarantined():
    """Guards against a request that is started at the end of its deferral."""

    async def start(after):
        deferring = Deferring()
        quarantine_later(deferring.state, after / 5)
        task = deferring.start(traits=BAD)
        try:
            await task
        finally:
            assert deferring.is_clean

    seconds, _ = refused_after(start)
    assert 0.2 <= seconds < Deferring.LONGEST_SECONDS


@pytest.mark.parametrize("full_at", [float("inf"), 0.0])
def test_a_stop_refuses_what_is_deferred_or_waits(full_at):
    """Guards against requests in either state that a stopping daemon drops."""

    async def main():
        scene = Deferring(full_at)
        task = scene.start()
        await asyncio.sleep(0.05)
        assert len(scene.waiting) == 1
        began = scene.loop.time()
        scene.drain.begin(DrainWindow(began + 0.3, began + 0.5))
        scene.waiting.begin_drain()
        with pytest.raises(Draining) as refusal:
            await task
        assert scene.loop.time() < began + 0.3
        # No other daemon serves, so callers return after this one's end.
        assert refusal.value.retry_after > 1.0
        await asyncio.sleep(1.0)
        assert scene.is_clean
        return scene.ended()

    assert run_in_virtual_time(main()) == (["refused"] if full_at else [])

"""The index agrees with the endpoints' records and needs no iteration over them."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.routing.candidates import SAMPLE_SIZE
from cranberrywick.routing.demand import Demand, fits_fleet
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import (
    EndpointDelta,
    EndpointRecord,
    EndpointView,
    PromptSize,
    Service,
)
from cranberrywick.routing.placement import Placer
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.slowdown import EndpointSlowdowns
from cranberrywick.routing.usable import is_usable

IDS = ("e1", "e2", "e3", "e4", "e5")
DOMAINS = ("fd-a", "fd-b")
SERVICES = ("drafting", "notices")


def record(endpoint_id, service="drafting", domain="fd-a", draining=False, born=1):
    return EndpointRecord(
        endpoint_id, service, "10.1.0.1:80", domain, 8, draining, 0.0, born
    )


def large_view(count=3000):
    records = [record(f"i-{number:04}") for number in range(count)]
    return EndpointView(1, {each.endpoint_id: each for each in records})


class IndexMachine(RuleBasedStateMachine):
    """Endpoints appear, leave, drain, restart and change service, also in outages."""

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.revision = 0
        self.records = {}
        self.registry = EndpointRegistry()

    @rule(
        endpoint_id=st.sampled_from(IDS),
        service=st.sampled_from(SERVICES),
        domain=st.sampled_from(DOMAINS),
        draining=st.booleans(),
        born=st.integers(1, 2),
    )
    def register(self, endpoint_id, service, domain, draining, born):
        self.records[endpoint_id] = record(endpoint_id, service, domain, draining, born)

    @rule(endpoint_id=st.sampled_from(IDS))
    def remove(self, endpoint_id):
        self.records.pop(endpoint_id, None)

    @rule(pause=st.sampled_from([0.5, 5.0]))
    def read(self, pause):
        self.now += pause
        self.revision += 1
        view = EndpointView(self.revision, dict(self.records))
        self.registry.apply(view, self.now, self.now)

    @invariant()
    def pools_match_tracked_endpoints(self):
        tracked_endpoints = self.registry.tracked_by_id.values()
        for service in SERVICES:
            for out in (frozenset(), frozenset({"fd-a"})):
                of_service = {
                    b for b in tracked_endpoints if b.record.service == service
                }
                usable = {b for b in of_service if is_usable(b, out)}
                pool = self.registry.index.ready(service, out)
                assert len(pool) == len(usable)
                assert set(pool) == {pool[n] for n in range(len(pool))} == usable
                assert set(self.registry.index.others(service, out)) == (
                    of_service - usable
                )
                assert all(pool.get(b.endpoint_id) == b for b in usable)


TestIndex = IndexMachine.TestCase


class CountingLoad(FleetLoad):
    read_count = 0

    def at(self, endpoint_id):
        self.read_count += 1
        return super().at(endpoint_id)


def demand(**fields):
    known = Demand(
        request_id="r",
        service=Service("drafting", 0.0, 0.0, PROFILE),
        prompt=PromptSize(5_000, 500),
        target_seconds=0.3,
        due_at=1.3,
        gap_seconds=0.25,
        failure_domain="fd-a",
    )
    return known._replace(**fields)


def place(load, wanted):
    registry = EndpointRegistry()
    registry.apply(large_view(), 1.0, 1.0)
    pool = registry.index.ready("drafting", frozenset())
    assert fits_fleet(wanted, pool)
    placer = Placer(
        load, EndpointHealth(), EndpointSlowdowns(), random.Random(1), lambda: 0.06
    )
    return placer.place(wanted, pool, 1.0)


def test_a_placement_compares_a_sample_of_thousands():
    """Guards against a request's cost that grows with the number of endpoints."""
    load = CountingLoad()
    assert place(load, demand()) is not None
    assert load.read_count <= SAMPLE_SIZE


def test_the_only_endpoint_that_may_still_answer_is_always_sampled():
    """Guards against a retry that fails since its only endpoint is not sampled."""
    placement = place(FleetLoad(), demand(answering_ids=frozenset({"i-2999"})))
    assert placement.endpoint_id == "i-2999"


def test_a_sample_of_idle_and_full_engines_finds_an_idle_one():
    """Guards against requests that wait at full engines while half of them are idle."""
    load = FleetLoad()
    for number in range(0, 3000, 2):
        job = Job(f"i-{number:04}", 5_000, 0.03, 0.5, 0.6, decoding=True)
        load.receive(f"of-{number}", [job] * 8, 1.0)
    assert place(load, demand()) is not None


def test_one_change_among_thousands_replaces_one_endpoint():
    """Guards against state updates whose cost grows with the number of endpoints."""
    registry = EndpointRegistry()
    first = large_view()
    registry.apply(first, 1.0, 1.0)
    before = dict(registry.tracked_by_id)
    delta = EndpointDelta((record("i-0007", draining=True),), ())
    second = first.with_delta(delta, 2)
    assert first.digest_with_delta(delta, first.digest) == second.digest
    registry.apply_delta(second, delta, 1.5, 1.5)
    changed = {
        i for i, tracked in registry.tracked_by_id.items() if tracked is not before[i]
    }
    assert changed == {"i-0007"}


def test_a_pool_without_groups_is_empty():
    pool = EndpointPool([])
    assert len(pool) == 0
    assert pool.get("e1") is None
    assert not fits_fleet(demand(), pool)


def test_a_pool_can_be_made_of_tracked_endpoints():
    tracked = TrackedEndpoint(record("e1"), float("-inf"))
    assert list(EndpointPool.of([tracked])) == [tracked]

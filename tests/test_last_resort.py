"""A service without a usable endpoint uses leaving ones, within their deadlines."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrywick.gateway.operator_tracker import OperatorTracker
from cranberrywick.logs import EventLog
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.drain_notices import DrainNotice, DrainNotices
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.model import (
    EndpointRecord,
    EndpointView,
    OperatorView,
    Service,
)
from cranberrywick.routing.placement import Placer
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.slowdown import EndpointSlowdowns
from cranberrywick.routing.usable import Restrictions, last_resort, usable_until

DRAIN_SECONDS = 3.0
EVACUATE_SECONDS = 5.0
IDS = ("e1", "e2", "e3")
DOMAINS = ("fd-a", "fd-b")


def record(endpoint_id, domain="fd-a", draining=False, born=1):
    return EndpointRecord(
        endpoint_id, "notices", "10.1.0.1:80", domain, 6, draining, 0.0, born
    )


class LastResortMachine(RuleBasedStateMachine):
    """Endpoints drain and restart and domains are taken out between late snapshots.

    Whatever a daemon has read and when, an endpoint is its last resort only within the
    bound, counted from the store's acknowledgement of the change.
    """

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.revision = 1
        self.records = {i: record(i, DOMAINS[n % 2]) for n, i in enumerate(IDS)}
        self.left_at = {}
        self.announced_at = {}
        self.out_at = {}
        self.notices = DrainNotices()
        self.registry = EndpointRegistry(self.notices)
        self.operator = OperatorTracker(lambda document: None, EventLog())
        self.read_endpoints(0.0)
        self.read_operator()

    @rule(endpoint_id=st.sampled_from(IDS), draining=st.booleans())
    def write(self, endpoint_id, draining):
        self.revision += 1
        before = self.records[endpoint_id]
        if draining and not before.draining:
            self.left_at[endpoint_id] = self.now
        born = before.born + (before.draining and not draining)
        self.records[endpoint_id] = before._replace(draining=draining, born=born)

    @rule(endpoint_id=st.sampled_from(IDS))
    def announce(self, endpoint_id):
        """An answer of an endpoint says that it is draining."""
        tracked = self.registry.tracked_by_id.get(endpoint_id)
        if tracked is None or tracked.record.born != self.records[endpoint_id].born:
            return
        start = endpoint_id, tracked.record.born
        self.announced_at.setdefault(start, self.now)
        notice = DrainNotice(*start, self.now)
        if self.notices.add(notice, is_own=True):
            self.registry.apply_notice(notice)

    @rule(domain=st.sampled_from(DOMAINS))
    def take_out_or_back(self, domain):
        self.revision += 1
        if domain in self.out_at:
            del self.out_at[domain]
        else:
            self.out_at[domain] = self.now

    @rule(seconds=st.sampled_from([0.45, 2.0, 4.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(age=st.sampled_from([0.0, 0.05]))
    def read_endpoints(self, age):
        self.now += age + 0.001
        view = EndpointView(self.revision, dict(self.records))
        self.registry.apply(view, self.now - 0.001, self.now)

    @rule()
    def read_operator(self):
        self.now += 0.001
        view = OperatorView.of(self.revision, b"", frozenset(self.out_at))
        self.operator.apply(view, self.now - 0.001, "store")

    @rule()
    def receive_unchanged_digest(self):
        view = OperatorView.of(self.revision, b"", frozenset(self.out_at))
        if self.operator.view is not None and self.operator.digest == view.digest:
            self.operator.compare(view.position, view.digest, self.now, 0)

    @invariant()
    def nothing_is_sent_after_the_bound(self):
        restrictions = Restrictions(
            self.operator.out_since_by_domain, DRAIN_SECONDS, EVACUATE_SECONDS
        )
        pool = last_resort(self.registry.index, "notices", restrictions, self.now)
        for tracked in pool:
            known_record = tracked.record
            endpoint_id = known_record.endpoint_id
            if (
                known_record.draining
                and known_record.born == self.records[endpoint_id].born
            ):
                assert self.now < self.left_at[endpoint_id] + DRAIN_SECONDS
            start = endpoint_id, known_record.born
            announced_at = self.announced_at.get(start, self.now)
            assert self.now < announced_at + DRAIN_SECONDS
            if known_record.failure_domain in restrictions.out_since_by_domain:
                out_at = self.out_at.get(known_record.failure_domain, self.now)
                assert self.now < out_at + EVACUATE_SECONDS

    @invariant()
    def an_announcement_holds_for_one_start(self):
        for tracked in self.registry.tracked_by_id.values():
            start = tracked.endpoint_id, tracked.record.born
            assert tracked.is_draining == (
                tracked.record.draining or start in self.announced_at
            )


TestLastResort = LastResortMachine.TestCase
TestLastResort.settings = settings(stateful_step_count=20, max_examples=200)


def leaving(ready_until_known):
    return TrackedEndpoint(
        record("e1", draining=True), float("-inf"), None, ready_until_known
    )


def restrictions(**out_since_by_domain):
    return Restrictions(out_since_by_domain, DRAIN_SECONDS, EVACUATE_SECONDS)


def test_one_that_was_never_seen_ready_is_no_last_resort():
    """Guards against sends to an endpoint that has been leaving for an unknown time."""
    assert usable_until(leaving(float("-inf")), restrictions()) == float("-inf")


def test_the_earlier_of_two_bounds_counts():
    """Guards against a domain's later deadline that hides the endpoint's own."""
    tracked = leaving(10.0)
    domain = {"fd-a": 4.0}
    alone = usable_until(tracked, restrictions())
    assert usable_until(tracked, restrictions(**domain)) < alone < 13.0


def notice():
    return Demand(
        request_id="r",
        service=Service("notices", 0.0, 0.0, None),
        prompt=None,
        target_seconds=0.3,
        due_at=10.3,
        gap_seconds=1.0,
        failure_domain="fd-a",
    )


def placed(health, ready, resort):
    placer = Placer(
        FleetLoad(), health, EndpointSlowdowns(), random.Random(1), lambda: 0.0
    )
    pools = [
        EndpointPool.of([TrackedEndpoint(record(i), float("-inf")) for i in ids])
        for ids in (ready, resort)
    ]
    return placer.place(notice(), pools[0], 10.0, lambda: pools[1])


def test_the_last_resort_is_used_where_nothing_else_answers():
    """Guards against refusals while an endpoint that is leaving still serves.

    One of three endpoints stopped answering, one has left and the domain of the third
    was taken out: callers are served by the third until its deadline.
    """
    health = EndpointHealth()
    health.failed("e1", 9.9)
    placement = placed(health, ["e1"], ["e3"])
    assert placement.endpoint_id == "e3"
    assert placement.last_resort


def test_the_last_resort_is_unused_while_another_endpoint_is_healthy():
    """Guards against new work at endpoints that operators want to be idle."""
    placement = placed(EndpointHealth(), ["e1"], ["e3"])
    assert placement.endpoint_id == "e1"
    assert not placement.last_resort


def test_a_full_endpoint_is_no_reason_for_the_last_resort():
    """Guards against new work at leaving endpoints during a short burst."""
    load = FleetLoad()
    placer = Placer(
        load, EndpointHealth(), EndpointSlowdowns(), random.Random(1), lambda: 0.0
    )
    pool = EndpointPool.of([TrackedEndpoint(record("e1"), float("-inf"))])
    resort = EndpointPool.of([TrackedEndpoint(record("e3"), float("-inf"))])
    for number in range(6):
        taken = placer.place(notice(), pool, 10.0, lambda: resort)
        load.put(f"r{number}", taken.jobs)
    assert placer.place(notice(), pool, 10.0, lambda: resort) is None

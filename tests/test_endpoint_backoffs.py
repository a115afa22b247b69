"""Backoffs that endpoints request, in the decisions of one daemon.

Guards against requests within the time that an endpoint has asked for, and against
endpoints that stay out of use for longer.
"""

import random
from math import inf

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.routing.demand import Demand, seconds_until_fits
from cranberrywick.routing.drain_notices import DrainNotice, DrainNotices
from cranberrywick.routing.endpoint_backoffs import (
    MAX_BACKOFF_SECONDS,
    EndpointBackoffs,
)
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.model import (
    EndpointRecord,
    EndpointView,
    PromptSize,
    Service,
)
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.retry_after import BackoffReturns
from cranberrywick.routing.usable import Restrictions, is_usable, last_resort

IDS = ("e1", "e2", "e3")
NOWHERE: frozenset[str] = frozenset()
RESTRICTIONS = Restrictions({}, 2.0, 5.0)


def record(endpoint_id, born=1, domain="fd-a", service="notices", draining=False):
    return EndpointRecord(
        endpoint_id, service, "10.1.0.1:80", domain, 6, draining, 0.0, born
    )


class BackoffMachine(RuleBasedStateMachine):
    """Refusals with longer and shorter times, while records change and lapse."""

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.revision = 0
        self.records = {i: record(i) for i in IDS}
        self.until = {}
        self.announced = set()
        self.notices = DrainNotices()
        self.registry = EndpointRegistry(self.notices)
        self.read()

    @rule()
    def read(self):
        self.now += 0.1
        self.revision += 1
        view = EndpointView(self.revision, dict(self.records))
        self.registry.apply(view, self.now, self.now)

    @rule(pause=st.sampled_from([0.05, 1.0, 2.5, 3.0, MAX_BACKOFF_SECONDS]))
    def wait(self, pause):
        self.now += pause

    @rule(
        endpoint_id=st.sampled_from(IDS),
        seconds=st.sampled_from([0.0, 0.2, 3.0, 60.0, 1e300]),
    )
    def refuse(self, endpoint_id, seconds):
        tracked = self.registry.tracked_by_id.get(endpoint_id)
        if tracked is None:
            return
        born = tracked.record.born
        ends = self.now + min(seconds, MAX_BACKOFF_SECONDS)
        start = endpoint_id, born
        self.until[start] = max(ends, self.until.get(start, -inf))
        self.registry.request_backoff(endpoint_id, born, seconds, self.now)

    @rule(endpoint_id=st.sampled_from(IDS))
    def announce_draining(self, endpoint_id):
        tracked = self.registry.tracked_by_id.get(endpoint_id)
        if tracked is None:
            return
        notice = DrainNotice(endpoint_id, tracked.record.born, self.now)
        self.announced.add(notice[:2])
        if self.notices.add(notice, is_own=True):
            self.registry.apply_notice(notice)

    @rule(endpoint_id=st.sampled_from(IDS), domain=st.sampled_from(["fd-a", "fd-b"]))
    def rewrite(self, endpoint_id, domain):
        known = self.records.get(endpoint_id, record(endpoint_id))
        self.records[endpoint_id] = known._replace(failure_domain=domain)

    @rule(endpoint_id=st.sampled_from(IDS))
    def lapse_and_return(self, endpoint_id):
        known = self.records.pop(endpoint_id, None)
        self.read()
        if known is not None:
            self.records[endpoint_id] = known
            self.read()

    @rule(endpoint_id=st.sampled_from(IDS))
    def restart(self, endpoint_id):
        known = self.records.get(endpoint_id, record(endpoint_id))
        self.records[endpoint_id] = known._replace(born=known.born + 1)
        self.read()

    @invariant()
    def endpoints_are_used_again_at_the_latest_end(self):
        self.registry.end_backoffs(self.now)
        ready = self.registry.index.ready("notices", NOWHERE)
        resort = last_resort(self.registry.index, "notices", RESTRICTIONS, self.now)
        for tracked in self.registry.tracked_by_id.values():
            start = tracked.endpoint_id, tracked.record.born
            is_over = self.until.get(start, -inf) <= self.now
            is_expected = is_over and start not in self.announced
            assert is_usable(tracked, NOWHERE) == is_expected
            assert (ready.get(tracked.endpoint_id) is not None) == is_expected
            assert is_over or resort.get(tracked.endpoint_id) is None


TestBackoffs = BackoffMachine.TestCase
TestBackoffs.settings = settings(stateful_step_count=25, max_examples=200)


def test_a_mistaken_time_takes_an_endpoint_out_of_use_for_an_hour_at_most():
    """Guards against an endpoint that is lost until it starts again."""
    backoffs = EndpointBackoffs()
    assert backoffs.request("e1", 1, 1e300, now=0.0) == MAX_BACKOFF_SECONDS
    assert backoffs.request("e2", 1, 600.0, now=0.0) == 600.0


def test_ended_backoffs_take_no_memory():
    """Guards against state that grows with every refusal."""
    backoffs = EndpointBackoffs()
    for number in range(100):
        backoffs.request(f"e{number}", 1, 1.0, now=0.0)
    assert len(backoffs.end(1.0)) == 100
    assert not backoffs


def test_callers_return_after_the_end_of_a_backoff_and_not_all_at_once():
    """Guards against retries that are refused again, and against a burst of them."""
    returns = BackoffReturns(random.Random(1))
    for wait in (0.3, 3.0):
        seconds = [returns.retry_seconds(wait) for _ in range(200)]
        assert min(seconds) >= wait
        assert max(seconds) <= 1.25 * wait + 0.25
        first_tenth = wait + 0.1 * (max(seconds) - wait)
        assert sum(each <= first_tenth for each in seconds) < 40


def demand(service, prompt=None, **fields):
    known = Demand(
        request_id="r",
        service=service,
        prompt=prompt,
        target_seconds=0.3,
        due_at=0.3,
        gap_seconds=0.25,
        failure_domain="fd-a",
    )
    return known._replace(**fields)


def pool(**until_by_id):
    return EndpointPool.of(
        [
            TrackedEndpoint(record(endpoint_id), -inf, backoff_until=until)
            for endpoint_id, until in until_by_id.items()
        ]
    )


def test_a_request_waits_for_as_many_endpoints_as_it_needs():
    """Guards against a time to return at which a long prompt is refused again."""
    service = Service("drafting", 0.0, 0.0, PROFILE)
    usable, backing_off = pool(e1=-inf), pool(e2=13.0, e3=11.0, e4=15.0)
    for holders, expected in ((1, 1.0), (2, 1.0), (3, 3.0), (4, 5.0)):
        tokens = round((holders - 0.5) * PROFILE.memory_tokens)
        wanted = demand(service, PromptSize(tokens, 0))
        seconds = seconds_until_fits(wanted, usable, backing_off, now=10.0)
        assert seconds == expected
    too_long = demand(service, PromptSize(5 * PROFILE.memory_tokens, 0))
    assert seconds_until_fits(too_long, usable, backing_off, now=10.0) is None


def test_an_endpoint_that_failed_the_request_is_not_waited_for():
    """Guards against callers that wait for an endpoint that can't answer them."""
    service = Service("notices", 0.0, 0.0, None)
    backing_off = pool(e1=11.0, e2=13.0)
    tried = demand(service, tried_ids=frozenset({"e1"}))
    assert seconds_until_fits(tried, pool(), backing_off, now=10.0) == 3.0
    last = demand(service, answering_ids=frozenset({"e1"}))
    assert seconds_until_fits(last, pool(), backing_off, now=10.0) == 1.0
    none = demand(service, answering_ids=frozenset({"e9"}))
    assert seconds_until_fits(none, pool(), backing_off, now=10.0) is None

"""Placement and refusal of requests while endpoints have rate limits.

Guards against callers that wait in vain, and against limited endpoints chosen before
free ones.
"""

import random

import pytest

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.limited_choice import limited_seconds
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.model import EndpointRecord, PromptSize, Service
from cranberrywick.routing.placement import Placer
from cranberrywick.routing.retry_after import LimitedReturns
from cranberrywick.routing.slowdown import EndpointSlowdowns

CALLS = Service("notices", 0.0, 0.0, None)
PROMPTS = Service("drafting", 0.0, 0.0, PROFILE)


def demand(service=CALLS, tokens=None, **fields):
    known = Demand(
        request_id="r",
        service=service,
        prompt=tokens and PromptSize(tokens, 500),
        target_seconds=3.0,
        due_at=4.0,
        gap_seconds=1.0,
        failure_domain="fd-a",
        longest_wait=1.0,
    )
    return known._replace(**fields)


def pool(waits_by_id):
    records = [
        EndpointRecord(i, "notices", "", "fd-a", 8, False, 0.0, 1) for i in waits_by_id
    ]
    return EndpointPool.of([TrackedEndpoint(record, -1.0) for record in records])


def place(wanted, waits_by_id):
    placer = Placer(
        FleetLoad(),
        EndpointHealth(),
        EndpointSlowdowns(),
        random.Random(1),
        lambda: 0.0,
        lambda endpoint_id, now: waits_by_id[endpoint_id],
    )
    return placer.place(wanted, pool(waits_by_id), 1.0)


@pytest.mark.parametrize("wanted", [demand(), demand(PROMPTS, 5_000)])
def test_an_endpoint_without_a_wait_is_preferred(wanted):
    """Guards against waits for a permit while another endpoint is idle."""
    placement = place(wanted, {"e1": 0.4, "e2": 0.0, "e3": 0.2})
    assert placement.endpoint_id == "e2"
    assert placement.longest_wait < 0.1


@pytest.mark.parametrize("wanted", [demand(), demand(PROMPTS, 5_000)])
def test_where_all_have_a_wait_the_shortest_is_chosen(wanted):
    """Guards against a queue at one endpoint while another is free earlier."""
    placement = place(wanted, {"e1": 0.9, "e2": 0.3, "e3": 0.6})
    assert placement.endpoint_id == "e2"
    assert placement.longest_wait == 1.0


def test_an_engine_at_its_limit_still_helps():
    """Guards against long prompts that find no helpers while engines have limits."""
    waits = {f"e{number}": 2.0 for number in range(12)}
    placement = place(demand(PROMPTS, 150_000), waits | {"e5": 0.0})
    assert placement.endpoint_id == "e5"
    assert placement.helpers


def test_a_request_that_no_endpoint_accepts_in_time_is_refused_at_once():
    """Guards against callers that wait in vain; they get a time for their retry."""
    waits = {"e1": 3.0, "e2": 1.5}
    assert place(demand(), waits) is None

    def seconds(wanted, waits_by_id):
        def wait(endpoint_id, now):
            return waits_by_id[endpoint_id]

        return limited_seconds(wanted, pool(waits_by_id), wait, 1.0)

    assert seconds(demand(), waits) == 1.5
    assert seconds(demand(tried_ids=frozenset({"e2"})), waits) == 3.0
    assert seconds(demand(), waits | {"e3": 0.0}) is None


def test_no_refused_caller_retries_before_an_endpoint_has_room():
    """Guards against retries that are certain to be refused again."""
    returns = LimitedReturns(random.Random(1))
    for caller in range(200):
        seconds = returns.retry_seconds(f"service-{caller}", 1.0, 0.5, 10.0)
        assert seconds >= 1.0


def test_refused_callers_retry_one_after_the_other():
    """Guards against callers that retry at the same moment and are refused again."""
    returns = LimitedReturns(random.Random(1))
    retry_seconds_by_caller = [
        returns.retry_seconds("notices", 1.0, 0.5, 10.0) for _ in range(9)
    ]
    assert 1.0 <= retry_seconds_by_caller[0] <= 1.25
    assert 5.0 <= retry_seconds_by_caller[8] <= 6.25
    # After their retries, the next caller waits no longer than the first of them.
    assert returns.retry_seconds("notices", 1.0, 0.5, 30.0) <= 1.25
    assert max(returns.retry_seconds("notices", 1.0, 9.0, 30.0) for _ in "1234") < 13

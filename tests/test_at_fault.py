"""Which endpoints may answer a request after an attempt failed.

Guards against a retry at an endpoint that was at fault, and against requests that wait
for an endpoint that was removed.
"""

import random

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.routing.demand import Demand, fits_fleet
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.model import EndpointRecord, PromptSize, Service
from cranberrywick.routing.placement import Placer
from cranberrywick.routing.slowdown import EndpointSlowdowns


def tracked_endpoints(count):
    return EndpointPool.of(
        [
            TrackedEndpoint(
                EndpointRecord(f"e{n}", "pool", "", "", 8, False, 0.0, 1), -1.0
            )
            for n in range(count)
        ]
    )


def demand(prompt_tokens=4000, **fields):
    known = Demand(
        request_id="r",
        service=Service("pool", 0.0, 0.0, PROFILE),
        prompt=PromptSize(prompt_tokens, 1000),
        target_seconds=0.3,
        due_at=1.3,
        gap_seconds=0.25,
        failure_domain="",
    )
    return known._replace(**fields)


def placer():
    return Placer(
        FleetLoad(),
        EndpointHealth(),
        EndpointSlowdowns(),
        random.Random(1),
        lambda: 0.0,
    )


class TestAnsweringEndpoints:
    """A request that was sent to as many endpoints as its route allows.

    Only those of them that were not at fault for a failed attempt may answer it.
    """

    def test_an_endpoint_not_at_fault_gets_it_again_with_other_helpers(self):
        placement = placer().place(
            demand(
                150_000,
                target_seconds=3.0,
                due_at=4.0,
                gap_seconds=1.0,
                tried_ids=frozenset({"e2"}),
                answering_ids=frozenset({"e1"}),
            ),
            tracked_endpoints(4),
            1.0,
        )
        assert placement.endpoint_id == "e1"
        assert placement.helpers
        assert "e2" not in {part.endpoint_id for part in placement.helpers}

    def test_it_is_refused_at_once_if_no_such_endpoint_is_left(self):
        """Guards against callers that wait in vain for an endpoint that was removed."""
        assert not fits_fleet(
            demand(answering_ids=frozenset({"e9"})), tracked_endpoints(3)
        )
        assert not fits_fleet(demand(tried_ids=frozenset({"e0"})), tracked_endpoints(1))
        assert fits_fleet(demand(answering_ids=frozenset({"e2"})), tracked_endpoints(3))

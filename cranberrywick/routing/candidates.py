"""Sampling of the endpoints that one placement compares.

Load pattern: hundreds of requests a second for thousands of endpoints, some of them
full, cold or failing. If each request compared all of them, its cost would grow with
the fleet, and daemons that compare the same endpoints would all choose the same
cheapest one. Each request therefore compares a small random sample.
"""

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple

from cranberrywick.routing.demand import Demand
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import Service

__all__ = ["SAMPLE_SIZE", "Candidate", "Candidates", "LimitWait", "without_cooldown"]

# Number of endpoints that one placement compares. The cost of a fixed-size sample does
# not depend on the size of the fleet, and daemons that compare different endpoints
# seldom choose the same one.
SAMPLE_SIZE = 24
# Sample size for prompts longer than usual. These are few, and busy helpers delay them
# more, so a larger sample is worth its cost.
LONG_SAMPLE_SIZE = 72

# Called with an endpoint's id and the current time; returns for how many seconds the
# endpoint's rate limit delays a request that arrives now.
LimitWait = Callable[[str, float], float]


class Candidate(NamedTuple):
    """An endpoint that a request may be placed on, with the fleet's jobs there.

    ``cooling_down`` says whether the endpoint is in the cooldown after a failure.
    ``limit_wait`` is for how many seconds its rate limit delays a request.
    """

    tracked: TrackedEndpoint
    jobs: Sequence[Job]
    cooling_down: bool
    limit_wait: float = 0.0

    @property
    def endpoint_id(self) -> str:
        """The endpoint's id."""
        return self.tracked.endpoint_id


def without_cooldown(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates that are not in the cooldown after a failure."""
    return [each for each in candidates if not each.cooling_down]


class Candidates:
    """Samples endpoints and describes each by its jobs, its health and its rate limit.

    ``load``, ``health`` and ``limit_wait`` are the sources of these.
    """

    def __init__(
        self,
        load: FleetLoad,
        health: EndpointHealth,
        rng: random.Random,
        limit_wait: LimitWait,
    ):
        self._load = load
        self._health = health
        self._rng = rng
        self._limit_wait = limit_wait

    def sample(
        self, demand: Demand, usable: EndpointPool, now: float
    ) -> list[Candidate]:
        """Return a random sample of the endpoints that have not failed the request."""
        return self.untried(demand, self._sample_endpoints(demand, usable), now)

    def untried(
        self, demand: Demand, tracked_endpoints: Iterable[TrackedEndpoint], now: float
    ) -> list[Candidate]:
        """Return the given endpoints, without those that have failed the request."""
        return [
            Candidate(
                tracked,
                self._load.at(tracked.endpoint_id),
                self._health.is_cooling_down(tracked.endpoint_id, now),
                self._limit_wait(tracked.endpoint_id, now),
            )
            for tracked in tracked_endpoints
            if tracked.endpoint_id not in demand.tried_ids
        ]

    def with_free_slot(
        self, service: Service, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the candidates that can accept one more request now."""
        return [
            each
            for each in candidates
            if not _is_full(service, each.tracked, each.jobs, now)
        ]

    def _sample_endpoints(
        self, demand: Demand, usable: EndpointPool
    ) -> Collection[TrackedEndpoint]:
        size = _sample_size(demand)
        if len(usable) <= size:
            return usable
        sampled = self._rng.sample(usable, size)
        tracked_by_id = {tracked.endpoint_id: tracked for tracked in sampled}
        for endpoint_id in demand.answering_ids or ():
            tracked = usable.get(endpoint_id)
            if tracked is not None:
                tracked_by_id[endpoint_id] = tracked
        return tracked_by_id.values()


def _is_full(
    service: Service, tracked: TrackedEndpoint, jobs: Sequence[Job], now: float
) -> bool:
    if sum(not job.helper for job in jobs) >= tracked.record.slots:
        return True
    if sum(job.helper for job in jobs) >= tracked.record.slots:
        return True
    if now >= tracked.cold_until or service.cold_rate <= 0:
        return False
    recent = sum(now - job.started_at < 1.0 for job in jobs)
    return recent >= service.cold_rate


def _sample_size(demand: Demand) -> int:
    engine, prompt = demand.service.engine, demand.prompt
    is_long = engine and prompt and prompt.prompt_tokens > engine.usual_prompt_tokens
    return LONG_SAMPLE_SIZE if is_long else SAMPLE_SIZE

"""Which endpoints a decision looks at.

Load pattern: hundreds of requests a second before thousands of endpoints, some of them
full, cold or failing. A request that prices all of them costs more the larger the fleet
is, and daemons that price the same ones meet at the cheapest; each request looks at a
few, drawn at random.
"""

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple

from cranberrywick.routing.demand import Demand
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import Service

__all__ = ["SAMPLE_SIZE", "Candidate", "Candidates", "LimitWait", "sound"]

# How many endpoints one decision looks at. A random sample costs the same however many
# there are, and daemons that look at different ones seldom meet.
SAMPLE_SIZE = 24
# For prompts of more than the usual length: they are few, and lose more where the
# engines that read their parts are busy.
LONG_SAMPLE_SIZE = 72

# Returns how many seconds an endpoint's rate limit keeps a request that comes now.
LimitWait = Callable[[str, float], float]


class Candidate(NamedTuple):
    """An endpoint that may be used now, with what the fleet has there.

    ``limit_wait`` is how many seconds its rate limit keeps a request from it.
    """

    tracked: TrackedEndpoint
    jobs: Sequence[Job]
    cooling_down: bool
    limit_wait: float = 0.0

    @property
    def endpoint_id(self) -> str:
        """The endpoint's id."""
        return self.tracked.endpoint_id


def sound(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return those that are not in the cooldown of a failure."""
    return [each for each in candidates if not each.cooling_down]


class Candidates:
    """Draws candidates; ``load``, ``health`` and ``limit_wait`` tell of each."""

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

    def drawn(
        self, demand: Demand, usable: EndpointPool, now: float
    ) -> list[Candidate]:
        """Return a sample of the endpoints that have not failed the request yet."""
        return self.untried(demand, self._sample(demand, usable), now)

    def untried(
        self, demand: Demand, tracked_endpoints: Iterable[TrackedEndpoint], now: float
    ) -> list[Candidate]:
        """Return those of these endpoints that have not failed the request yet."""
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

    def free(
        self, service: Service, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return those that can take one more request now."""
        return [
            each
            for each in candidates
            if not _is_full(service, each.tracked, each.jobs, now)
        ]

    def _sample(
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

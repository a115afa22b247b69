"""Where a request goes: which endpoint, and for long prompts which helpers."""

import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cranberrywick.routing.engine_model import first_event_seconds
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import EngineProfile, PromptSize, Service
from cranberrywick.routing.registry import EndpointBelief

__all__ = ["Candidate", "Demand", "Placement", "Placer", "usable_endpoints"]

# Into how many parts a prompt may be divided. An endpoint takes at most 16 helpers.
PART_CHOICES = (1, 2, 3, 4, 6, 8, 12)
# A prompt is divided until its first event is expected within this share of its
# target: the rest is for what comes between, which the prediction cannot know.
TARGET_SHARE = 0.4


class Demand(NamedTuple):
    """What a request needs of the decision.

    ``tried_ids`` are the endpoints that have already had it.
    """

    request_id: str
    service: Service
    prompt: PromptSize | None
    target_seconds: float
    failure_domain: str
    tried_ids: frozenset[str] = frozenset()


class Placement(NamedTuple):
    """The endpoint that answers, its helpers, and the jobs to be counted there."""

    endpoint_id: str
    helper_ids: tuple[str, ...]
    first_event_seconds: float
    jobs: tuple[Job, ...]


class Candidate(NamedTuple):
    """An endpoint that may be used now, with what the fleet has there."""

    belief: EndpointBelief
    jobs: Sequence[Job]
    resting: bool

    @property
    def endpoint_id(self) -> str:
        """The endpoint's id."""
        return self.belief.record.endpoint_id


def usable_endpoints(
    beliefs_by_id: Mapping[str, EndpointBelief],
    service: str,
    domains_out: frozenset[str],
) -> list[EndpointBelief]:
    """Return the endpoints of a service that may get new work.

    This is the one place that says so: neither one that is leaving nor one in a
    failure domain that operators have taken out is ever among them.
    """
    return [
        belief
        for belief in beliefs_by_id.values()
        if belief.record.service == service
        and not belief.record.draining
        and belief.record.failure_domain not in domains_out
    ]


class Placer:
    """Places requests on endpoints; the caller passes what is known."""

    def __init__(self, load: FleetLoad, health: EndpointHealth, rng: random.Random):
        self._load = load
        self._health = health
        self._rng = rng

    def place(
        self, demand: Demand, usable: Sequence[EndpointBelief], now: float
    ) -> Placement | None:
        """Return where the request goes now, or None while no place is free."""
        candidates = self._candidates(demand, usable, now)
        engine = demand.service.engine
        if engine is not None and demand.prompt is not None:
            return self._place_prompt(demand, engine, demand.prompt, candidates, now)
        return self._place_call(demand, candidates, now)

    def _candidates(
        self, demand: Demand, usable: Sequence[EndpointBelief], now: float
    ) -> list[Candidate]:
        candidates = []
        for belief in usable:
            endpoint_id = belief.record.endpoint_id
            if endpoint_id in demand.tried_ids:
                continue
            jobs = self._load.at(endpoint_id)
            if self._is_full(demand.service, belief, jobs, now):
                continue
            resting = self._health.is_resting(endpoint_id, now)
            candidates.append(Candidate(belief, jobs, resting))
        rested = [c for c in candidates if not c.resting]
        # All of them resting, one that has just failed is better than none.
        return rested or candidates

    def _is_full(
        self, service: Service, belief: EndpointBelief, jobs: Sequence[Job], now: float
    ) -> bool:
        if len(jobs) >= belief.record.slots:
            return True
        if now >= belief.cold_until or service.cold_rate <= 0:
            return False
        recent = sum(now - job.started_at < 1.0 for job in jobs)
        return recent >= service.cold_rate

    def _place_call(
        self, demand: Demand, candidates: list[Candidate], now: float
    ) -> Placement | None:
        if not candidates:
            return None

        def cost(candidate: Candidate) -> tuple[float, bool, float]:
            record = candidate.belief.record
            endpoint_id = record.endpoint_id
            occupied = len(candidate.jobs) + 4 * self._health.failure_share(endpoint_id)
            away = record.failure_domain != demand.failure_domain
            return occupied, away, self._rng.random()

        best = min(candidates, key=cost)
        job = Job(best.endpoint_id, 0, 0, now, now, False, False)
        return Placement(best.endpoint_id, (), 0.0, (job,))

    def _place_prompt(
        self,
        demand: Demand,
        engine: EngineProfile,
        prompt: PromptSize,
        candidates: list[Candidate],
        now: float,
    ) -> Placement | None:
        fitting = [c for c in candidates if self._fits(engine, prompt, c)]
        if not fitting:
            return None
        aim = TARGET_SHARE * demand.target_seconds
        best: tuple[float, list[Candidate]] | None = None
        for parts in PART_CHOICES:
            if parts > len(candidates):
                break
            chosen = self._choose(engine, prompt, fitting, candidates, parts, now)
            seconds = max(
                first_event_seconds(engine, c.jobs, prompt.prompt_tokens, parts, now)
                for c in chosen
            )
            if best is None or seconds < best[0]:
                best = (seconds, chosen)
            if seconds <= aim:
                break
        return self._placement(prompt, best[0], best[1], now)

    def _fits(
        self, engine: EngineProfile, prompt: PromptSize, candidate: Candidate
    ) -> bool:
        used = sum(
            job.prompt_tokens + job.output_tokens
            for job in candidate.jobs
            if not job.helper
        )
        return used + prompt.total <= engine.memory_tokens

    def _choose(
        self,
        engine: EngineProfile,
        prompt: PromptSize,
        fitting: list[Candidate],
        candidates: list[Candidate],
        parts: int,
        now: float,
    ) -> list[Candidate]:
        def cost(candidate: Candidate) -> tuple[float, float]:
            seconds = first_event_seconds(
                engine, candidate.jobs, prompt.prompt_tokens, parts, now
            )
            share = self._health.failure_share(candidate.endpoint_id)
            return seconds + share, self._rng.random()

        first = min(fitting, key=cost)
        others = [c for c in candidates if c is not first]
        return [first, *sorted(others, key=cost)[: parts - 1]]

    def _placement(
        self, prompt: PromptSize, seconds: float, chosen: list[Candidate], now: float
    ) -> Placement:
        first, *helpers = chosen
        parts = len(chosen)
        part_tokens = prompt.prompt_tokens // parts
        jobs = [
            Job(
                first.endpoint_id,
                prompt.prompt_tokens,
                prompt.output_tokens,
                now,
                now + seconds,
                False,
                False,
            )
        ]
        jobs += [
            Job(c.endpoint_id, part_tokens, 0, now, now + seconds, False, True)
            for c in helpers
        ]
        return Placement(
            first.endpoint_id,
            tuple(c.endpoint_id for c in helpers),
            seconds,
            tuple(jobs),
        )

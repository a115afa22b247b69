"""Placement of requests: the endpoint that answers and, for long prompts, its helpers.

Load pattern: prompts of between a thousand and several hundred thousand tokens share
engines. The prefill of a long prompt takes seconds on one engine; meanwhile it stops
every answer that is being decoded there and delays each short prompt queued behind it.
When requests were sent to the engine with the fewest of them, one long prompt made a
dozen short answers late.

Two measures prevent this. A long prompt is divided into equal parts that several
engines read, as many as its target requires. And each choice is priced by the lateness
that it causes, both of the request itself and of the answers being decoded on the
engines: long prompts go to engines without latency-sensitive streams, and short ones
are concentrated on few engines, so that engines without such streams remain.
"""

import random
from collections.abc import Callable
from math import ceil, inf
from typing import NamedTuple

from cranberrywick.routing.candidates import (
    Candidate,
    Candidates,
    LimitWait,
    without_cooldown,
)
from cranberrywick.routing.demand import PART_CHOICES, Demand, may_answer
from cranberrywick.routing.endpoint_index import EndpointPool
from cranberrywick.routing.engine_model import forecast, prefill_time
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.limited_choice import within_limits
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import EngineProfile, PromptSize
from cranberrywick.routing.part_choice import (
    ENGINE_PRICE,
    IN_FLIGHT_PRICE,
    Choice,
    Engine,
    Split,
    Work,
    choose,
    weighted_random,
)
from cranberrywick.routing.slowdown import EndpointSlowdowns

__all__ = [
    "Part",
    "Placement",
    "Placer",
]

# Price of placing a latency-sensitive stream on an engine that has none yet, as a share
# of the loss when a short request is late. Without it short answers spread over all
# engines, and a long prompt stops some of them wherever it is placed.
FIRST_SENSITIVE_PRICE = 0.15
# Price of an answer on an engine whose slots are all occupied; it counterbalances
# FIRST_SENSITIVE_PRICE, since short prompts in the same pass wait for one another. It
# is scaled by the square of the share of occupied slots, so that an engine fills up,
# though not to its last slot, before latency-sensitive streams go to another engine.
OCCUPANCY_PRICE = 0.25
# Number of jobs added to the load of an endpoint that fails all of its calls: half the
# slots of an endpoint of a plain service, so that the failing one is tried when the
# others are half full.
FAILURE_JOBS = 4
# A stream is latency-sensitive if its gap target is at most this many times the prefill
# of a prompt of usual length: a part of a long prompt makes such a stream late.
SENSITIVE_PREFILLS = 4.0


class Part(NamedTuple):
    """A helper's share of a request.

    ``reserved_tokens`` is how many tokens of the endpoint's memory are reserved for the
    prompt; 0 for none.
    """

    endpoint_id: str
    reserved_tokens: int = 0


class Placement(NamedTuple):
    """The endpoint that answers, its helpers, and the jobs to count at each of them.

    ``first_event_seconds`` is the predicted time until the answer's first event.
    ``last_resort`` says that each endpoint is draining or in a failure domain taken
    out, and is used only since the sample holds no endpoint outside a cooldown. If the
    answering endpoint has a rate limit, the request should wait for its permit up to
    ``longest_wait`` seconds. ``interference`` is the price of the lateness that the
    request causes to others, in units of the loss when a short one is late.
    ``free_slots`` estimates how many slots are free in the whole pool, before the
    request takes one; infinite for a request without a prompt.
    """

    endpoint_id: str
    helpers: tuple[Part, ...]
    first_event_seconds: float
    jobs: tuple[Job, ...]
    last_resort: bool = False
    longest_wait: float = 0.0
    interference: float = 0.0
    free_slots: float = inf


def _no_endpoints() -> EndpointPool:
    return EndpointPool([])


def _no_wait(endpoint_id: str, now: float) -> float:
    return 0.0


class Placer:
    """Places requests on endpoints, by the load, health and slowdowns passed to it.

    ``update_delay_seconds`` returns how many seconds pass until this daemon receives
    the update about a job that another daemon has placed, ``limit_wait`` for how many
    seconds an endpoint's rate limit delays a request.
    """

    def __init__(
        self,
        load: FleetLoad,
        health: EndpointHealth,
        slowdowns: EndpointSlowdowns,
        rng: random.Random,
        update_delay_seconds: Callable[[], float],
        limit_wait: LimitWait = _no_wait,
    ):
        self._load = load
        self._health = health
        self._candidates = Candidates(load, health, rng, limit_wait)
        self._slowdowns = slowdowns
        self._rng = rng
        self._update_delay_seconds = update_delay_seconds

    def place(
        self,
        demand: Demand,
        usable: EndpointPool,
        now: float,
        last_resort: Callable[[], EndpointPool] = _no_endpoints,
    ) -> Placement | None:
        """Return the placement of the request, or None while no slot is free.

        Of a large pool it compares a random sample only, so that None may mean that the
        sampled endpoints are full. ``last_resort`` returns the endpoints to use if
        there are none in the sample or all of them are in a cooldown.
        """
        sampled = self._candidates.sample(demand, usable, now)
        if all(each.cooling_down for each in sampled):
            others = self._candidates.untried(demand, last_resort(), now)
            free = self._candidates.with_free_slot(
                demand.service, without_cooldown(others), now
            )
            placement = self._place(demand, free, now)
            if placement is not None:
                return placement._replace(last_resort=True)
        free = self._candidates.with_free_slot(demand.service, sampled, now)
        # If all of them are in a cooldown, an endpoint that has just failed is better
        # than none.
        placement = self._place(demand, without_cooldown(free) or free, now)
        if placement is None or len(sampled) == len(usable):
            return placement
        return placement._replace(
            free_slots=placement.free_slots * len(usable) / len(sampled)
        )

    def _place(
        self, demand: Demand, candidates: list[Candidate], now: float
    ) -> Placement | None:
        demand = within_limits(demand, candidates)
        if demand is None:
            return None
        engine = demand.service.engine
        if engine is not None and demand.prompt is not None:
            placement = self._place_prompt(
                demand, engine, demand.prompt, candidates, now
            )
        else:
            placement = self._place_call(demand, candidates, now)
        return placement and placement._replace(longest_wait=demand.longest_wait)

    def _place_call(
        self, demand: Demand, candidates: list[Candidate], now: float
    ) -> Placement | None:
        candidates = [c for c in candidates if may_answer(demand, c.endpoint_id)]
        if not candidates:
            return None

        def cost(candidate: Candidate) -> tuple[float, bool, float]:
            record = candidate.tracked.record
            endpoint_id = record.endpoint_id
            share = self._health.failure_share(endpoint_id, now)
            # Rounded, so that a failure share that has decayed to almost nothing no
            # longer decides between endpoints that are otherwise equal.
            occupied = len(candidate.jobs) + round(FAILURE_JOBS * share, 1)
            slowdown = self._slowdowns.slowdown(endpoint_id, now, is_long=False)
            is_remote = record.failure_domain != demand.failure_domain
            return (1 + occupied) * slowdown, is_remote, self._rng.random()

        best = min(candidates, key=cost)
        job = Job(best.endpoint_id, 0, 0.0, now, now)
        return Placement(best.endpoint_id, (), 0.0, (job,))

    def _place_prompt(
        self,
        demand: Demand,
        profile: EngineProfile,
        prompt: PromptSize,
        candidates: list[Candidate],
        now: float,
    ) -> Placement | None:
        sensitive_gap = _sensitive_gap(profile)
        engines = [
            self._engine(demand, profile, sensitive_gap, c, now) for c in candidates
        ]
        # A prompt that states no tokens has an engine too.
        holders = max(1, ceil(prompt.total / profile.memory_tokens))
        share = ceil(prompt.total / holders)
        value = _value(profile, prompt)
        best: tuple[Choice, Work, Split] | None = None
        for parts in PART_CHOICES:
            if not holders <= parts <= len(engines):
                continue
            if best is not None and ENGINE_PRICE * (parts - 1) >= best[0].cost:
                break  # The price of more helpers exceeds all that they could save.
            part_seconds = prefill_time(profile, prompt.prompt_tokens, parts)
            work = Work(
                demand.target_seconds,
                demand.gap_seconds,
                part_seconds,
                parts > 1,
                value,
            )
            split = Split(parts, holders, share)
            choice = choose(work, engines, split)
            if choice is not None and (best is None or choice.cost < best[0].cost):
                best = choice, work, split
        if best is None:
            return None
        _, work, split = best
        order = weighted_random(IN_FLIGHT_PRICE * value * self._in_flight(now))
        choice = choose(work, engines, split, order)
        placement = _placement(demand, prompt, choice, holders, value, now)
        return placement._replace(
            interference=work.interference(choice.engines),
            free_slots=sum(engine.free_slots for engine in engines),
        )

    def _in_flight(self, now: float) -> float:
        """Return how many placements of other daemons are not known here yet."""
        return self._load.placed_each_second(now) * self._update_delay_seconds()

    def _engine(
        self,
        demand: Demand,
        profile: EngineProfile,
        sensitive_gap: float,
        candidate: Candidate,
        now: float,
    ) -> Engine:
        is_sensitive = demand.gap_seconds <= sensitive_gap
        jobs = candidate.jobs
        held = sum(job.held_tokens for job in jobs)
        slots = candidate.tracked.record.slots
        taken = sum(not job.helper for job in jobs)
        occupied = taken / slots
        answer_price = OCCUPANCY_PRICE * occupied**2
        if is_sensitive and not any(
            job.gap_seconds <= sensitive_gap and not job.helper for job in jobs
        ):
            answer_price += FIRST_SENSITIVE_PRICE
        slowdown = self._slowdowns.slowdown(
            candidate.endpoint_id, now, is_long=not is_sensitive
        )
        return Engine(
            candidate.endpoint_id,
            forecast(profile, jobs, now, slowdown),
            profile.memory_tokens - held,
            answer_price,
            self._health.failure_share(candidate.endpoint_id, now),
            may_answer(demand, candidate.endpoint_id),
            slots - taken,
            self._rng.random(),
        )


def _value(profile: EngineProfile, prompt: PromptSize) -> float:
    """Return the loss when an answer is late, in units of the shortest request's loss.

    It grows with the prompt, as do the caller's effort for the prompt and the cost to
    the fleet of repeating the request.
    """
    return 1.0 + prompt.prompt_tokens / profile.usual_prompt_tokens


def _sensitive_gap(profile: EngineProfile) -> float:
    """Return the largest gap target, in seconds, of a latency-sensitive stream."""
    usual = round(profile.usual_prompt_tokens)
    return SENSITIVE_PREFILLS * prefill_time(profile, usual)


def _placement(
    demand: Demand,
    prompt: PromptSize,
    choice: Choice,
    holders: int,
    value: float,
    now: float,
) -> Placement:
    first, *helpers = choice.engines
    share = ceil(prompt.total / holders)
    expected_at = now + choice.seconds
    remaining_tokens = prompt.total - share * (holders - 1)
    main = Job(
        endpoint_id=first.endpoint_id,
        held_tokens=remaining_tokens,
        prefill_seconds=choice.part_seconds,
        started_at=now,
        first_event_at=expected_at,
        due_at=demand.due_at,
        joint=bool(helpers),
        gap_seconds=demand.gap_seconds,
        value=value,
    )
    parts = [
        Part(engine.endpoint_id, share if index < holders - 1 else 0)
        for index, engine in enumerate(helpers)
    ]
    jobs = [
        Job(
            part.endpoint_id,
            part.reserved_tokens,
            choice.part_seconds,
            now,
            expected_at,
            due_at=demand.due_at,
            helper=True,
            joint=True,
            value=value,
        )
        for part in parts
    ]
    return Placement(first.endpoint_id, tuple(parts), choice.seconds, (main, *jobs))

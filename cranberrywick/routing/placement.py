"""Where a request goes: which endpoint, and for long prompts which helpers.

Load pattern: prompts from a thousand to several hundred thousand tokens share
engines. A long prompt's reading, seconds on one engine, stops every answer that is
being written there; a short prompt behind it waits as long. Sent to the engine with
the fewest requests, one long prompt made a dozen short answers late.

Two things answer it. A long prompt is read in even parts on several engines, as many
as its target needs. And each choice is priced by what it makes late, of the request
itself and of what is being written where it goes: long prompts go where no
latency-sensitive stream is, short ones keep together, so that such engines are left.
"""

import random
from collections.abc import Callable
from math import ceil
from typing import NamedTuple

from cranberrywick.routing.candidates import Candidate, Candidates, LimitWait, sound
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
from cranberrywick.routing.slowdown import EngineSlowdowns

__all__ = [
    "Part",
    "Placement",
    "Placer",
]

# For the first latency-sensitive stream of an engine: else short answers spread over
# all engines, and a long prompt stops some of them wherever it goes.
FRESH_ENGINE_PRICE = 0.15
# Against it: short prompts that meet in one pass wait for one another. Grows with the
# square of the places taken, so that an engine fills before the next is opened, but
# not to its last place.
CROWD_PRICE = 0.25
# An endpoint that fails all of its calls counts as having so many more in hand: half
# of a plain service's places, so that it is tried when the others are half full.
FAILURE_JOBS = 4
# Streams whose pauses may be no longer than so many readings of a prompt of usual
# length are latency-sensitive: a long prompt's part makes them late.
SENSITIVE_READINGS = 4.0


class Part(NamedTuple):
    """What one endpoint does for a request.

    ``reserved_tokens`` of its memory are reserved for the prompt, if any.
    """

    endpoint_id: str
    reserved_tokens: int = 0


class Placement(NamedTuple):
    """The endpoint that answers, its helpers, and the jobs to be counted there.

    ``last_resort`` says that its endpoints get no other new work. Where the answering
    endpoint has a rate limit, its permit is worth a wait of ``longest_wait`` seconds.
    """

    endpoint_id: str
    helpers: tuple[Part, ...]
    first_event_seconds: float
    jobs: tuple[Job, ...]
    last_resort: bool = False
    longest_wait: float = 0.0


def _no_endpoints() -> EndpointPool:
    return EndpointPool([])


def _no_wait(endpoint_id: str, now: float) -> float:
    return 0.0


class Placer:
    """Places requests on endpoints; the caller passes what is known.

    ``update_delay_seconds`` returns how old others' jobs are when they are heard of,
    ``limit_wait`` how long an endpoint's rate limit keeps a request from it.
    """

    def __init__(
        self,
        load: FleetLoad,
        health: EndpointHealth,
        slowdowns: EngineSlowdowns,
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
        """Return where the request goes now, or None while no place is free.

        Of many endpoints it looks at a sample: None may mean that these are full.
        ``last_resort`` returns what may be used where none of them answers.
        """
        drawn = self._candidates.drawn(demand, usable, now)
        if all(each.cooling_down for each in drawn):
            others = self._candidates.untried(demand, last_resort(), now)
            free = self._candidates.free(demand.service, sound(others), now)
            placement = self._place(demand, free, now)
            if placement is not None:
                return placement._replace(last_resort=True)
        free = self._candidates.free(demand.service, drawn, now)
        # All of them resting, one that has just failed is better than none.
        return self._place(demand, sound(free) or free, now)

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
            # Rounded: a share that has all but decayed must not decide for good.
            occupied = len(candidate.jobs) + round(FAILURE_JOBS * share, 1)
            slowdown = self._slowdowns.slowdown(endpoint_id, now, is_long=False)
            away = record.failure_domain != demand.failure_domain
            return (1 + occupied) * slowdown, away, self._rng.random()

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
        holders = ceil(prompt.total / profile.memory_tokens)
        share = ceil(prompt.total / holders)
        value = _value(profile, prompt)
        best: tuple[Choice, Work, Split] | None = None
        for parts in PART_CHOICES:
            if not holders <= parts <= len(engines):
                continue
            if best is not None and ENGINE_PRICE * (parts - 1) >= best[0].cost:
                break  # More parts cost more than all that they could save.
            reading = prefill_time(profile, prompt.prompt_tokens, parts)
            work = Work(
                demand.target_seconds, demand.gap_seconds, reading, parts > 1, value
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
        return _placement(demand, prompt, choice, holders, value, now)

    def _in_flight(self, now: float) -> float:
        """Return how many requests others have placed since their last news."""
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
        answer_price = CROWD_PRICE * occupied**2
        if is_sensitive and not any(
            job.gap_seconds <= sensitive_gap and not job.helper for job in jobs
        ):
            answer_price += FRESH_ENGINE_PRICE
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
    """Return what a late answer loses, in requests of the shortest kind.

    It grows with the prompt, as what the caller has put into it and what its
    repetition costs the fleet do.
    """
    return 1.0 + prompt.prompt_tokens / profile.usual_prompt_tokens


def _sensitive_gap(profile: EngineProfile) -> float:
    """Return up to which pause limit a stream is latency-sensitive."""
    usual = round(profile.usual_prompt_tokens)
    return SENSITIVE_READINGS * prefill_time(profile, usual)


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
    kept = prompt.total - share * (holders - 1)
    main = Job(
        endpoint_id=first.endpoint_id,
        held_tokens=kept,
        prefill_seconds=choice.reading,
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
            choice.reading,
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

"""Placement of prompts of very different lengths on shared engines, simulated.

Engines work in passes, which `cranberrywick.routing.engine_model` describes and this
experiment simulates one by one. Several daemons place prompts, and each receives the
others' updates with a delay. An answer is on time when its first event comes within the
target and no pause between events exceeds the limit.

    python -m cranberrywick.bench.prompts --seeds 5

prints the share of answers on time for each strategy and kind of prompt.
"""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from itertools import count
from typing import NamedTuple

import click

from cranberrywick.bench.prompt_engines import (
    KINDS,
    PROFILE,
    Kind,
    PendingPrefill,
    SimulatedEngine,
    SimulatedPrompt,
)
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.engine_model import prefill_time
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import (
    EndpointRecord,
    EngineProfile,
    PromptSize,
    Service,
)
from cranberrywick.routing.placement import Part, Placement, Placer
from cranberrywick.routing.slowdown import EndpointSlowdowns

__all__ = [
    "FLEETS",
    "SCENARIOS",
    "STRATEGIES",
    "Experiment",
    "FleetShape",
    "Result",
    "on_time_by_kind",
    "register_strategy",
    "scaled",
]

# Time that an experiment continues after the last arrival, in seconds, so that answers
# can end.
TAIL_SECONDS = 30.0


class FleetShape(NamedTuple):
    """Numbers of engines and daemons, and the load of a fleet.

    ``update_delay_seconds`` is the delay with which daemons receive one another's
    updates: half a send interval and a hop, and in a fleet with relays also the time
    that relays collect updates. ``rate`` is a factor on the rates in `KINDS`.
    """

    engines: int
    daemons: int
    update_delay_seconds: float
    rate: float


FLEETS = {
    "small": FleetShape(16, 9, 0.012, 1.0),
    "large": FleetShape(54, 79, 0.065, 2.8),
    "hundreds": FleetShape(135, 195, 0.065, 3.5),
}


class Result(NamedTuple):
    """The answer to one prompt as its caller received it; times are in seconds.

    ``kind`` is the name of the prompt's kind, ``first_event`` the time from the arrival
    to the first event and ``worth`` the weight of the prompt in the figures.
    """

    kind: str
    prompt_tokens: int
    first_event: float
    longest_gap: float
    on_time: bool
    worth: float


Place = Callable[[Demand, EndpointPool, float], Placement | None]
# Creates a daemon's strategy from its view of the load, its random numbers and the
# delay of updates, in seconds.
MakePlace = Callable[[FleetLoad, random.Random, float], Place]
STRATEGIES: dict[str, MakePlace] = {}


def register_strategy(name: str):
    """Return a decorator that registers a strategy in `STRATEGIES` under ``name``."""

    def register(make: MakePlace):
        STRATEGIES[name] = make
        return make

    return register


@register_strategy("priced")
def _priced(load: FleetLoad, rng: random.Random, update_delay_seconds: float) -> Place:
    placer = Placer(
        load, EndpointHealth(), EndpointSlowdowns(), rng, lambda: update_delay_seconds
    )
    return placer.place


@register_strategy("fewest requests")
def _fewest_requests(
    load: FleetLoad, rng: random.Random, update_delay_seconds: float
) -> Place:
    """Place each prompt as a whole on the engine with the fewest requests."""

    def place(demand: Demand, usable: EndpointPool, now: float) -> Placement:
        def cost(tracked: TrackedEndpoint) -> tuple[int, float]:
            return len(load.at(tracked.record.endpoint_id)), rng.random()

        name = min(usable, key=cost).record.endpoint_id
        job = Job(name, demand.prompt.total, 0.0, now, now)
        return Placement(name, (), 0.0, (job,))

    return place


class Experiment:
    """One run of a strategy with the engines, daemons and arrivals of a seed.

    >>> results = Experiment("priced", seed=1).run(seconds=30.0)
    """

    def __init__(
        self,
        strategy: str,
        seed: int,
        kinds: Sequence[Kind] = KINDS,
        fleet: FleetShape = FLEETS["small"],
        profile: EngineProfile = PROFILE,
    ):
        self._profile = profile
        self._rng = random.Random(seed)
        self._kinds = [k._replace(per_second=k.per_second * fleet.rate) for k in kinds]
        self._update_delay_seconds = fleet.update_delay_seconds
        self._engines = {
            f"e{n}": SimulatedEngine(f"e{n}", profile) for n in range(fleet.engines)
        }
        self._usable = EndpointPool.of(
            [_tracked(name, profile.slots) for name in self._engines]
        )
        self._service = Service("pool", 0.0, 0.0, profile)
        self._loads = [FleetLoad() for _ in range(fleet.daemons)]
        self._place_functions = [
            STRATEGIES[strategy](
                load, random.Random(seed + n), fleet.update_delay_seconds
            )
            for n, load in enumerate(self._loads)
        ]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()
        self.results: list[Result] = []

    def run(self, seconds: float) -> list[Result]:
        """Let prompts arrive for ``seconds`` and return the results.

        Prompts that have not ended `TAIL_SECONDS` later are left out.
        """
        for at, prompt in self._arrivals(seconds):
            self._schedule(at, lambda now, p=prompt: self._arrive(p, now))
        while self._events:
            now, _, callback = heapq.heappop(self._events)
            if now > seconds + TAIL_SECONDS:
                break
            callback(now)
        return self.results

    def _schedule(self, moment: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._order), callback))

    def _arrivals(self, seconds: float) -> Iterator[tuple[float, SimulatedPrompt]]:
        names = count()
        for kind in self._kinds:
            at = self._rng.expovariate(kind.per_second)
            while at < seconds:
                mean = kind.prompt_tokens
                tokens = mean * self._rng.lognormvariate(
                    -(kind.spread**2) / 2, kind.spread
                )
                tokens = min(max(200, int(tokens)), 4 * int(mean))
                events = max(1, round(self._rng.lognormvariate(0, 0.5) * kind.events))
                size = PromptSize(tokens, events * self._profile.stride)
                yield at, SimulatedPrompt(f"p{next(names)}", kind, size, at, events)
                at += self._rng.expovariate(kind.per_second)

    def _arrive(self, prompt: SimulatedPrompt, now: float) -> None:
        prompt.daemon = self._rng.randrange(len(self._loads))
        self._place_or_retry(prompt, now)

    def _place_or_retry(self, prompt: SimulatedPrompt, now: float) -> None:
        demand = Demand(
            request_id=prompt.name,
            service=self._service,
            prompt=prompt.size,
            target_seconds=prompt.kind.target_seconds,
            due_at=prompt.at + prompt.kind.target_seconds,
            gap_seconds=prompt.kind.gap_seconds,
            failure_domain="",
        )
        placement = self._place_functions[prompt.daemon](demand, self._usable, now)
        if placement is None:
            self._schedule(
                now + 0.02, lambda later: self._place_or_retry(prompt, later)
            )
            return
        self._update_jobs(prompt, placement.jobs, now)
        parts = [Part(placement.endpoint_id), *placement.helpers]
        prompt.parts_left = len(parts)
        tokens = prompt.size.prompt_tokens
        each = prefill_time(self._profile, tokens) / tokens
        for part in parts:
            pending = PendingPrefill(
                prompt,
                tokens / len(parts),
                each,
                helper=part.endpoint_id != placement.endpoint_id,
                joint=len(parts) > 1,
            )
            engine = self._engines[part.endpoint_id]
            engine.add(pending)
            self._start(engine, now)
        prompt.home = self._engines[placement.endpoint_id]

    def _update_jobs(
        self, prompt: SimulatedPrompt, jobs: Sequence[Job], now: float
    ) -> None:
        own = self._loads[prompt.daemon]
        if jobs:
            own.put(prompt.name, jobs)
        else:
            own.drop(prompt.name)
        arrives = now + self._update_delay_seconds
        self._schedule(arrives, lambda later: self._deliver_jobs(prompt, jobs, later))

    def _deliver_jobs(
        self, prompt: SimulatedPrompt, jobs: Sequence[Job], now: float
    ) -> None:
        for number, load in enumerate(self._loads):
            if number != prompt.daemon:
                load.receive(prompt.name, jobs, now)

    def _start(self, engine: SimulatedEngine, now: float) -> None:
        if not engine.busy and (
            engine.prefills or engine.decoding_prompts or engine.waiting
        ):
            engine.busy = True
            seconds, decoded, prefilled = engine.run_pass()
            self._schedule(
                now + seconds,
                lambda later: self._end_pass(engine, decoded, prefilled, later),
            )

    def _end_pass(
        self,
        engine: SimulatedEngine,
        decoded: list[SimulatedPrompt],
        prefilled: list[SimulatedPrompt],
        now: float,
    ) -> None:
        engine.busy = False
        for prompt in decoded:
            self._record_event(prompt, now)
        for prompt in prefilled:
            prompt.parts_left -= 1
            if prompt.parts_left == 0:
                home = prompt.home
                # The pass that completed the prefill has made an event of the answer
                # only if it decoded, too.
                is_written = home is engine and bool(decoded)
                home.decoding_prompts.append(prompt)
                jobs = self._loads[prompt.daemon].jobs_of(prompt.name)
                decoding = [j._replace(decoding=True) for j in jobs if j.held_tokens]
                self._update_jobs(prompt, decoding, now)
                if is_written:
                    self._record_event(prompt, now)
                self._start(home, now)
        self._start(engine, now)

    def _record_event(self, prompt: SimulatedPrompt, now: float) -> None:
        if prompt.first_at is None:
            prompt.first_at = now
        else:
            prompt.longest_gap = max(prompt.longest_gap, now - prompt.last_at)
        prompt.last_at = now
        prompt.events_left -= 1
        if prompt.events_left <= 0:
            prompt.home.decoding_prompts.remove(prompt)
            self._update_jobs(prompt, (), now)
            self.results.append(_result(prompt))


def _tracked(name: str, slots: int) -> TrackedEndpoint:
    record = EndpointRecord(name, "pool", "", "", slots, False, 0.0, 1)
    return TrackedEndpoint(record, float("-inf"))


def _result(prompt: SimulatedPrompt) -> Result:
    kind = prompt.kind
    first = prompt.first_at - prompt.at
    on_time = first <= kind.target_seconds and prompt.longest_gap <= kind.gap_seconds
    size = min(4.0, 0.3 + 0.7 * prompt.size.prompt_tokens / kind.prompt_tokens)
    return Result(
        kind.name,
        prompt.size.prompt_tokens,
        first,
        prompt.longest_gap,
        on_time,
        kind.worth * size,
    )


def on_time_by_kind(results: Sequence[Result]) -> dict[str, float]:
    """Return the share of prompts on time, by kind.

    The key ``worth`` has the share of all prompts, weighted by worth.
    """
    by_kind: dict[str, list[Result]] = defaultdict(list)
    for result in results:
        by_kind[result.kind].append(result)
    shares = {
        kind: sum(each.on_time for each in group) / len(group)
        for kind, group in by_kind.items()
    }
    total = sum(each.worth for each in results)
    shares["worth"] = sum(each.worth for each in results if each.on_time) / total
    return shares


def scaled(factors: dict[str, float]) -> tuple[Kind, ...]:
    """Return `KINDS` with each rate multiplied by the factor of its name, or by 1."""
    return tuple(
        kind._replace(per_second=kind.per_second * factors.get(kind.name, 1.0))
        for kind in KINDS
    )


SCENARIOS = {
    "usual": {},
    "many long": {"short": 0.35, "middle": 1.3, "long": 2.8},
    "many short": {"short": 2.4, "middle": 0.5, "long": 0.05},
    "all doubled": {"short": 2.0, "middle": 2.0, "long": 2.0},
}


@click.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--fleet", type=click.Choice(list(FLEETS)), default="small")
def main(seeds: int, seconds: float, fleet: str) -> None:
    """Print the shares of prompts on time, by scenario and strategy."""
    for scenario, factors in SCENARIOS.items():
        for strategy in STRATEGIES:
            results = [
                result
                for seed in range(seeds)
                for result in Experiment(
                    strategy, seed, scaled(factors), FLEETS[fleet]
                ).run(seconds)
            ]
            shares = on_time_by_kind(results)
            row = "  ".join(f"{kind} {share:.3f}" for kind, share in shares.items())
            click.echo(f"{scenario:12}  {strategy:16}  {row}")


if __name__ == "__main__":
    main()

"""Many daemons place prompts before they receive one another's updates."""

import random
from collections import Counter

import pytest

from cranberrywick.bench.prompt_engines import PROFILE
from cranberrywick.bench.prompts import FLEETS, Experiment, on_time_by_kind
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import EndpointRecord, PromptSize, Service
from cranberrywick.routing.placement import Placer
from cranberrywick.routing.slowdown import EndpointSlowdowns

SLOTS = 5
GAP_SECONDS = 0.3
SERVICE = Service("pool", 0.0, 0.0, PROFILE)


def answers(endpoint_id, count, now):
    """Return the jobs of short answers that an engine began decoding 0.7 s ago."""
    job = Job(
        *(endpoint_id, 5_000, 0.03, now - 0.8, now - 0.7),
        decoding=True,
        gap_seconds=GAP_SECONDS,
    )
    return [job] * count


def tracked_endpoints(engines):
    return EndpointPool.of(
        [
            TrackedEndpoint(
                EndpointRecord(name, "pool", "", "", SLOTS, False, 0.0, 1),
                float("-inf"),
            )
            for name in engines
        ]
    )


def places_by_engine(taken_by_engine, daemons, update_delay_seconds, seed):
    """Return how many prompts each engine gets if all daemons see the same load.

    Each daemon places one short prompt and does not know of those of the others.
    """
    now = 100.0
    load = FleetLoad()
    for engine, count in taken_by_engine.items():
        load.receive(f"of-{engine}", answers(engine, count, now), now)
    places = Counter()
    for number in range(daemons):
        rng = random.Random(1000 * seed + number)
        placer = Placer(
            load,
            EndpointHealth(),
            EndpointSlowdowns(),
            rng,
            lambda: update_delay_seconds,
        )
        demand = Demand(
            *(f"r{number}", SERVICE, PromptSize(5_000, 800)),
            target_seconds=0.4,
            due_at=now + 0.4,
            gap_seconds=GAP_SECONDS,
            failure_domain="",
        )
        placement = placer.place(demand, tracked_endpoints(taken_by_engine), now)
        places[placement.endpoint_id] += 1
    return places


@pytest.mark.parametrize("seed", range(5))
def test_daemons_without_updates_rarely_choose_the_same_engine(seed):
    """Guards against prompts that wait because many daemons choose the same engines.

    Of 135 engines, 12 have fewer requests than the rest. Within the delay of updates,
    24 daemons each place a short prompt, and all see the same 12 engines as the best.
    A prompt at an engine without a free slot waits there until an answer ends, which
    takes longer than its target.
    """
    taken_by_engine = {f"e{n:03}": 1 if n < 12 else 3 for n in range(135)}
    places = places_by_engine(
        taken_by_engine, daemons=24, update_delay_seconds=0.07, seed=seed
    )
    too_many = {
        engine: count
        for engine, count in places.items()
        if taken_by_engine[engine] + count > SLOTS
    }
    assert not too_many


def test_the_best_engine_is_chosen_where_no_update_is_missing():
    """The choice is random only where updates are delayed, not for a single daemon."""
    taken_by_engine = {f"e{n:03}": 2 if n == 7 else 4 for n in range(16)}
    places = places_by_engine(
        taken_by_engine, daemons=1, update_delay_seconds=0.0, seed=1
    )
    assert places == {"e007": 1}


def test_hundreds_of_daemons_lose_little_by_delayed_updates():
    """Guards against placements that get worse with the number of daemons.

    195 daemons place prompts of all lengths on engines with few slots. Within the delay
    of updates, other daemons place prompts too, and all see the same engines as the
    best. A single daemon that places everything has the whole worth on time here.
    Adding a random price to each engine lost 0.029 of the worth; the limit is half of
    that.
    """
    profile = PROFILE._replace(slots=SLOTS, stride=80)
    results = []
    for seed in (1, 2, 3):
        experiment = Experiment(
            "priced", seed, fleet=FLEETS["hundreds"], profile=profile
        )
        results += experiment.run(5.0)
    assert on_time_by_kind(results)["worth"] > 1 - 0.029 / 2

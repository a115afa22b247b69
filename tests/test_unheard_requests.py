"""Many daemons place prompts before they hear of one another."""

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
from cranberrywick.routing.slowdown import EngineSlowdowns

SLOTS = 5
GAP_SECONDS = 0.3
SERVICE = Service("pool", 0.0, 0.0, PROFILE)


def answers(endpoint_id, count, now):
    """Return short answers that an engine has been writing for a while."""
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


def placed_at_once(taken_by_engine, daemons, update_delay_seconds, seed):
    """Let each daemon place a short prompt with the same knowledge."""
    now = 100.0
    load = FleetLoad()
    for engine, taken in taken_by_engine.items():
        load.receive(f"of-{engine}", answers(engine, taken, now), now)
    places = Counter()
    for number in range(daemons):
        rng = random.Random(1000 * seed + number)
        placer = Placer(
            load, EndpointHealth(), EngineSlowdowns(), rng, lambda: update_delay_seconds
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
def test_daemons_that_have_not_heard_of_one_another_rarely_meet(seed):
    """A hundred and thirty engines are half full, a dozen of them emptier.

    Within the age of the news two dozen daemons place a short prompt each, and all see
    the same dozen as the best. Whoever comes to an engine without a free slot waits
    there until an answer ends, longer than its target.
    """
    taken = {f"e{n:03}": 1 if n < 12 else 3 for n in range(135)}
    places = placed_at_once(taken, daemons=24, update_delay_seconds=0.07, seed=seed)
    too_many = {
        engine: count
        for engine, count in places.items()
        if taken[engine] + count > SLOTS
    }
    assert not too_many


def test_the_best_engine_is_taken_where_nothing_is_unheard():
    """One daemon alone, or news that is not old: no lot is drawn."""
    taken = {f"e{n:03}": 2 if n == 7 else 4 for n in range(16)}
    places = placed_at_once(taken, daemons=1, update_delay_seconds=0.0, seed=1)
    assert places == {"e007": 1}


def test_hundreds_of_daemons_lose_little_for_what_they_have_not_heard():
    """Callers of 195 daemons are served nearly as by one that knows everything.

    Prompts of all lengths come to engines with few slots; within the age of the news
    others place some, and all daemons see the same engines as the best. One daemon that
    places everything itself has all of the worth on time here. A random price on each
    engine lost 0.029 of it; the aim is to lose at most half of that.
    """
    profile = PROFILE._replace(slots=SLOTS, stride=80)
    results = []
    for seed in (1, 2, 3):
        experiment = Experiment(
            "priced", seed, fleet=FLEETS["hundreds"], profile=profile
        )
        results += experiment.run(5.0)
    assert on_time_by_kind(results)["worth"] > 1 - 0.029 / 2

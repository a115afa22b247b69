"""Placement of prompts, measured by what callers receive in a simulation.

The loads are `SCENARIOS`; `cranberrywick.routing.placement` describes the patterns
that they test. The bounds are some hundredths below the results of three seeds.
"""

import pytest

from cranberrywick.bench.prompts import (
    FLEETS,
    SCENARIOS,
    Experiment,
    on_time_by_kind,
    scaled,
)


def on_time(strategy, scenario, seconds=20.0, fleet="small", seeds=(1,)):
    kinds = scaled(SCENARIOS[scenario])
    results = []
    for seed in seeds:
        experiment = Experiment(strategy, seed, kinds, FLEETS[fleet])
        results += experiment.run(seconds)
    return on_time_by_kind(results)


@pytest.mark.parametrize(
    ("scenario", "least"), [("usual", 0.90), ("many long", 0.80), ("many short", 0.95)]
)
def test_most_of_the_worth_is_on_time(scenario, least):
    """First events and pauses of short and long prompts are on time.

    Guards against a placement that serves one length at the expense of the other. Nine
    daemons, which receive one another's updates with a delay, send long prompts among
    short ones, and bursts of either, to sixteen engines. Three seeds, because in one of
    them a prompt of 616,000 tokens, a tenth of the worth, needs all engines for its
    whole target.
    """
    priced = on_time("priced", scenario, seeds=(1, 2, 3))
    assert priced["worth"] > least


def test_short_prompts_are_on_time_among_many_long_ones():
    """A burst of long prompts causes no long pauses in answers to short ones.

    A long prompt that is sent to the engine with the fewest requests stops decoding
    there for seconds.
    """
    priced = on_time("priced", "many long")
    fewest = on_time("fewest requests", "many long")
    assert priced["short"] > 0.9
    assert priced["short"] > fewest["short"] + 0.05
    assert priced["long"] > fewest["long"] + 0.2


@pytest.mark.parametrize(
    ("scenario", "least"), [("usual", 0.95), ("many short", 0.93), ("many long", 0.9)]
)
def test_daemons_that_hear_late_of_one_another_do_not_meet(scenario, least):
    """A large fleet answers bursts of short prompts on time.

    79 daemons receive one another's updates after 65 ms, in which the fleet places
    seven more prompts. Guards against the fault that each daemon sent its prompt to the
    engine that looked best to all of them; prompts that found no slot there waited a
    second or more.
    """
    assert on_time("priced", scenario, seconds=8.0, fleet="large")["worth"] > least


def test_same_seed_gives_the_same_results():
    assert on_time("priced", "usual", seconds=5) == on_time(
        "priced", "usual", seconds=5
    )

"""Burn of the error budget: counters, windows and the answer of a daemon.

Guards against requests that are counted for the wrong window, objective or class.
"""

import math

import pytest

from cranberrywick.model import ClassTargets
from cranberrywick.reports.burn import (
    STEP_COUNT,
    WINDOWS_SECONDS,
    BurnCounters,
    Counts,
    EndedRequest,
    Objective,
    burn_rate,
)
from cranberrywick.reports.recorder import BurnRecorder

GRANTS = ClassTargets(
    first_token_seconds=1.0,
    completion_seconds=30.0,
    between_tokens_seconds=0.061,
    attainment=0.95,
)
MET = EndedRequest("grants", 2.0, first_token_seconds=0.5, gaps=100, late_gaps=5)
MISSED = EndedRequest("grants", 31.0, first_token_seconds=1.5, gaps=100, late_gaps=6)
REFUSED = EndedRequest("grants", None)


@pytest.fixture
def burn():
    burn = BurnCounters(started_at=0.0)
    burn.set_targets({"grants": GRANTS})
    return burn


def counts(burn, window, now, objective=Objective.COMPLETION):
    return burn.counts("grants", objective, WINDOWS_SECONDS[window], now)


@pytest.mark.parametrize(
    "good, bad, attainment, rate",
    [
        (95, 5, 0.95, 1.0),
        (0, 10, 0.95, 20.0),
        (10, 0, 0.95, 0.0),
        (0, 0, 0.95, None),
        (9, 1, 1.0, math.inf),
        (9, 0, 1.0, 0.0),
    ],
)
def test_burn_rate(good, bad, attainment, rate):
    assert burn_rate(Counts(good, bad), attainment) == rate


@pytest.mark.parametrize("objective", Objective)
def test_each_objective_is_judged_by_its_target(burn, objective):
    burn.add(MET, 10.0)
    burn.add(MISSED, 10.0)
    assert counts(burn, "5m", 10.0, objective) == Counts(1, 1)


def test_refusal_spends_the_completion_budget_only(burn):
    burn.add(REFUSED, 10.0)
    assert counts(burn, "5m", 10.0) == Counts(0, 1)
    assert counts(burn, "5m", 10.0, Objective.FIRST_TOKEN) == Counts(0, 0)


def test_failure_before_the_first_token_misses_it(burn):
    burn.add(EndedRequest("grants", None, first_token_seconds=math.inf), 10.0)
    assert counts(burn, "5m", 10.0, Objective.FIRST_TOKEN) == Counts(0, 1)


def test_old_requests_leave_the_shorter_windows_first(burn):
    """After a miss, each window drops it once the miss is older than the window.

    A reader of the report sees within 5 minutes that the fault is over, and for 3
    days that it has cost budget.
    """
    burn.add(MISSED, 10.0)
    assert [counts(burn, w, 400.0).bad for w in WINDOWS_SECONDS] == [0, 1, 1, 1, 1]
    assert [counts(burn, w, 30_000.0).bad for w in WINDOWS_SECONDS] == [0, 0, 0, 0, 1]
    assert [counts(burn, w, 300_000.0).bad for w in WINDOWS_SECONDS] == [0, 0, 0, 0, 0]


def test_reused_bucket_drops_its_old_counts(burn):
    ring_seconds = 30.0 * 721
    burn.add(MISSED, 15.0)
    burn.add(MET, 15.0 + ring_seconds)
    assert counts(burn, "5m", 15.0 + ring_seconds) == Counts(1, 0)


def test_steps_do_not_overlap(burn):
    for minute in range(0, 360):
        burn.add(MET, 60.0 * minute)
    steps = burn.steps("grants", Objective.COMPLETION, now=60.0 * 359)
    assert len(steps) == STEP_COUNT
    assert sum(step.good for step in steps) == 360


def test_unknown_class_is_not_counted(burn):
    burn.add(EndedRequest("nonsense", 1.0), 10.0)
    assert burn.counts("nonsense", Objective.COMPLETION, 300.0, 10.0) == Counts(0, 0)


def test_removed_class_loses_its_counts(burn):
    burn.add(MISSED, 10.0)
    burn.set_targets({})
    burn.set_targets({"grants": GRANTS})
    assert counts(burn, "5m", 10.0) == Counts(0, 0)


def test_answer_states_the_observed_part_of_a_window():
    now = [50.0]
    recorder = BurnRecorder("e1", clock=lambda: now[0])
    recorder.set_targets({"grants": GRANTS}, configuration_version=4)
    recorder.set_targets({}, configuration_version=3)
    now[0] += 600.0
    recorder.add(MISSED)
    answer = recorder.answer()
    assert answer["configuration_version"] == 4
    assert answer["observed_seconds"]["5m"] == 300.0
    assert answer["observed_seconds"]["3d"] == 600.0
    grants = answer["classes"]["grants"]
    assert grants["attainment"] == 0.95
    assert grants["windows"]["1h"]["first_token"] == [0, 1]
    assert grants["steps"]["completion"][-1] == [0, 1]

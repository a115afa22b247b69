"""Forecasts of the wait for a slot, refusals that follow from them, and retries.

Guards against callers that wait until their deadline in vain, against refusals of
requests that could have been served, and against retries that find no room.
"""

import random
from collections import Counter

import pytest
from overloaded_fleet import run_fleet

from cranberrywick.logs import EventLog
from cranberrywick.metrics import Metrics
from cranberrywick.routing.admission_forecast import (
    SlotForecast,
    SlotReturns,
    forecast_slot,
    is_unservable,
)
from cranberrywick.routing.endpoint_index import EndpointPool, TrackedEndpoint
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import EndpointRecord

USUAL = [0.8] * 10
OVERLOAD_ENDS = 20.0
AT_ONCE_SECONDS = 0.05
# The deadlines of prompts, and those of plain calls in both deployments, in seconds.
PROMPT_DEADLINES = (10.0, 15.0)
SHORT_DEADLINES = (1.594, 3.075)


class RecordedEvents(EventLog):
    """Keeps the events and their fields instead of printing them."""

    def __init__(self):
        self.lines = []

    def info(self, event, /, **fields):
        self.lines.append((event, fields))

    def named(self, event):
        return [fields for name, fields in self.lines if name == event]


def is_refused_at_once(outcome):
    waited = outcome.ended_at - outcome.arrived_at
    return outcome.returns_at is not None and waited <= AT_ONCE_SECONDS


def run_overload(load, deadlines):
    """Return the outcomes of ten seconds of overload and twenty of half a load."""
    loads = [*USUAL, *[load] * 10, *[0.5] * 20]
    return run_fleet(RecordedEvents(), loads, deadlines)


@pytest.fixture(scope="module")
def overload():
    """An overload in which many are refused.

    At twice the capacity the rule of a factor of two refuses almost nobody
    (docs/design/forecast.md), so bounds on refusals would hold there without a refusal.
    """
    outcomes = run_overload(4.0, SHORT_DEADLINES)
    assert sum(map(is_refused_at_once, outcomes)) > 100
    return outcomes


def check_nobody_waits_in_vain(outcomes):
    first = [each for each in outcomes if not each.is_return]
    late = [o for o in first if o.returns_at is not None and not is_refused_at_once(o)]
    assert not late, f"{len(late)} of {len(first)} waited until their deadline"


def test_at_twice_the_capacity_nobody_waits_in_vain():
    """Guards against callers that wait for a slot until their deadline in vain."""
    check_nobody_waits_in_vain(run_overload(2.0, PROMPT_DEADLINES))


def test_at_four_times_the_capacity_nobody_waits_in_vain(overload):
    """Guards against the same where callers have two seconds and many are refused."""
    check_nobody_waits_in_vain(overload)


def test_few_of_the_refused_could_have_been_served(overload):
    """Guards against refusals of requests for which a slot becomes free in time."""
    refused = [o for o in overload if is_refused_at_once(o)]
    with_room = [each for each in refused if each.had_room]
    assert len(with_room) <= 0.1 * len(refused), (len(with_room), len(refused))


def test_those_who_return_as_told_find_room(overload):
    """Guards against retry times at which the backlog is still there."""
    returns = [o for o in overload if o.is_return and o.arrived_at > OVERLOAD_ENDS]
    placed = [each for each in returns if each.returns_at is None]
    assert len(placed) >= 0.8 * len(returns), (len(placed), len(returns))


def test_returns_are_spread_over_the_fleet(overload):
    """Guards against a burst of retries, told by daemons that don't see each other."""
    moments = [o.returns_at for o in overload if is_refused_at_once(o)]
    by_tenth = Counter(int(moment * 10) for moment in moments)
    mean = len(moments) / (max(by_tenth) - min(by_tenth) + 1)
    assert max(by_tenth.values()) <= 2 * mean, (max(by_tenth.values()), mean)


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_a_burst_that_the_slots_absorb_refuses_nobody(is_cut_off):
    """Guards against refusals in a short burst, also if nothing comes from peers."""
    loads = [*USUAL, 2.0, *[0.5] * 5]
    log = RecordedEvents()
    outcomes = run_fleet(log, loads, PROMPT_DEADLINES, is_cut_off=is_cut_off)
    assert all(each.returns_at is None for each in outcomes)
    assert log.named("waited_for_slot")


def test_a_daemon_without_peers_refuses_by_its_own_requests():
    """Guards against a daemon that refuses nothing while nothing reaches it."""
    log = RecordedEvents()
    outcomes = run_fleet(log, [*USUAL, *[4.0] * 6], SHORT_DEADLINES, is_cut_off=True)
    assert sum(is_refused_at_once(each) for each in outcomes) >= 10
    assert all(f["forecast"] > f["seconds_left"] for f in log.named("refused_early"))


def test_a_service_that_is_not_contended_is_unchanged():
    """Guards against refusals, lines and times to return where the part is off."""
    log = RecordedEvents()
    loads = [*USUAL, *[4.0] * 4]
    outcomes = run_fleet(log, loads, SHORT_DEADLINES, is_contended=False)
    assert not log.lines
    assert not any(is_refused_at_once(each) for each in outcomes)
    assert all(each.returns_at in (None, float("inf")) for each in outcomes)


def test_nothing_is_forecast_without_a_measured_rate():
    """Guards against refusals by a daemon that has just started."""
    assert forecast_slot(ahead=500, slots_in_use=360, mean_held_seconds=0.0) is None
    assert forecast_slot(ahead=500, slots_in_use=0, mean_held_seconds=4.0) is None


def test_a_forecast_may_be_wrong_by_a_factor_of_two():
    """Guards against refusals for a forecast that is only a little too late."""
    forecast = forecast_slot(ahead=899, slots_in_use=360, mean_held_seconds=4.0)
    assert forecast.seconds == 10.0
    assert not is_unservable(forecast, seconds_left=5.5, first_event_seconds=0.5)
    assert is_unservable(forecast, seconds_left=5.4, first_event_seconds=0.5)


def test_retry_times_are_not_before_room_and_within_what_callers_accept():
    """Guards against retries that are too early, and against ones that never come."""
    returns = SlotReturns(random.Random(1))
    forecast = SlotForecast(89, 90.0)
    told = [returns.retry_seconds("a", forecast, 88, 9.0, 10.0) for _ in range(50)]
    assert all(1.0 <= seconds <= 3.0 for seconds in told)
    assert max(told) - min(told) > 1.0
    assert returns.retry_seconds("b", SlotForecast(1_799, 90.0), 88, 9.0, 10.0) >= 20.0


def slots_in_use(load, endpoint_ids, now):
    records = [
        EndpointRecord(i, "a", "", "fd-a", 6, False, 0.0, 1) for i in endpoint_ids
    ]
    pool = EndpointPool.of([TrackedEndpoint(record, -1.0) for record in records])
    return load.slots_in_use("a", pool, random.Random(1), now)


def test_slots_in_use_are_those_of_the_service_without_helpers():
    """Guards against a rate that counts other services, or one request twice."""
    load = FleetLoad()
    jobs = [Job(endpoint, 1, 0.1, 0.0, 0.1) for endpoint in ("a1", "a2", "b1")]
    load.put("r1", jobs)
    load.receive("peer", [jobs[0], jobs[1]._replace(helper=True)], 0.0)
    assert slots_in_use(load, ["a1", "a2"], 1.0) == 3
    load.drop("r1")
    assert slots_in_use(load, ["a1", "a2"], 1.05) == 3
    assert slots_in_use(load, ["a1", "a2"], 1.2) == 1


def test_a_count_of_slots_at_many_endpoints_reads_a_sample():
    """Guards against a cost that grows with the fleet, and against a wrong scale."""
    load = FleetLoad()
    endpoint_ids = [f"e{number}" for number in range(3_000)]
    load.put("r1", [Job(each, 1, 0.1, 0.0, 0.1) for each in endpoint_ids])
    assert slots_in_use(load, endpoint_ids, 1.0) == 3_000


def test_a_forecast_error_is_recorded_with_its_direction():
    """Guards against negative values, which the metrics library drops."""
    metrics = Metrics("e1")
    metrics.slot_forecast_error("drafting", -0.4)
    metrics.refused_early("drafting")
    text = metrics.render().decode()
    assert 'slot_forecast_error_seconds_count{direction="shorter"' in text
    assert 'early_refusals_total{service="drafting"} 1.0' in text

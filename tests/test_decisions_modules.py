"""Tests of each decision module by itself, against the load that it is made for.

Guards against modules that starve an organisation, misjudge an endpoint's load or
exclude a healthy endpoint.
"""

from random import Random

import pytest
from decisions_support import (
    TARGETS,
    make_endpoint,
    make_load,
    make_result,
    make_work,
)

from cranberrywick.decisions.admission import Admission, EndpointCounts, wait_kind
from cranberrywick.decisions.cost import CostModel
from cranberrywick.decisions.fleet import EndpointState, Fleet
from cranberrywick.decisions.hot_organisations import HotOrganisations
from cranberrywick.decisions.isolation import Isolation, band_of
from cranberrywick.decisions.placement import Pool
from cranberrywick.decisions.retries import RetryBudget, may_repeat
from cranberrywick.decisions.slow_endpoints import SlowEndpoints
from cranberrywick.model import EndpointPhase, Executed, Share

ENDPOINTS = EndpointCounts(total=4, for_band=4)


def test_cost_learns_the_speed_of_each_length_and_the_length_of_answers():
    model, endpoint = CostModel(), make_endpoint()
    short, long = make_work(tokens=1_000), make_work(tokens=400_000)
    for _ in range(100):
        model.observe_prefill(long, endpoint, 0, seconds=80.0)
        model.observe_prefill(short, endpoint, 0, seconds=0.1)
        model.observe_answer(short, endpoint, output_tokens=10, seconds=0.4)
    assert model.prefill_seconds(long, endpoint) == pytest.approx(80.0, rel=0.05)
    assert model.prefill_seconds(short, endpoint) == pytest.approx(0.1, rel=0.05)
    assert model.estimate(short, endpoint).decode_seconds == pytest.approx(0.4, 0.05)


def test_cost_counts_only_tokens_that_are_not_in_the_prefix_cache():
    model, work = CostModel(), make_work(tokens=100_000)
    whole = model.prefill_seconds(work, make_endpoint())
    assert model.prefill_seconds(work, make_endpoint(), 90_000) < whole / 5


def test_admission_predicts_the_wait_from_engine_time_and_organisation():
    admission, kind = Admission(Random(1)), wait_kind(0, slack=2.0)
    admission.record_queued("hot", kind, 40.0)
    assert admission.predicted_wait("hot", kind, 0.1, ENDPOINTS, 0.0) == 10.0
    # New work of another organisation waits only for as much of the queued work as its
    # own engine time.
    assert admission.predicted_wait("other", kind, 0.1, ENDPOINTS, 0.0) < 0.1
    admission.record_dequeued("hot", kind, 40.0)
    assert admission.predicted_wait("hot", kind, 0.1, ENDPOINTS, 0.0) == 0.0


def test_admission_does_not_count_work_that_has_more_slack_or_is_longer():
    admission, review = Admission(Random(1)), wait_kind(2, slack=170.0)
    admission.record_queued("o", review, 400.0)
    for kind in (wait_kind(0, 2.0), wait_kind(2, 6.0)):
        assert admission.predicted_wait("o", kind, 0.1, ENDPOINTS, 0.0) == 0.0
    assert admission.predicted_wait("o", review, 10.0, ENDPOINTS, 0.0) == 100.0


def test_admission_corrects_its_predictions_by_observed_waits():
    admission, kind = Admission(Random(1)), wait_kind(0, slack=2.0)
    admission.record_queued("o", kind, 4.0)
    for _ in range(100):
        predicted = admission.predicted_wait("o", kind, 0.1, ENDPOINTS, 0.0)
        admission.record_wait(kind, predicted, actual=2.0)
    corrected = admission.predicted_wait("o", kind, 0.1, ENDPOINTS, 0.0)
    assert corrected == pytest.approx(2.0, rel=0.05)


def test_retry_times_are_spread_over_the_time_that_serves_all_refused_work():
    admission = Admission(Random(1))
    times = [
        admission.refuse(5.0, 1.0, seconds=1.0, endpoints=4, now=0.0)
        for _ in range(100)
    ]
    late = times[50:]
    assert min(times) >= 4.0
    assert max(late) - min(late) > 10.0
    assert admission.is_overloaded(1.0)
    assert not admission.is_overloaded(60.0)


def test_isolation_bands_follow_the_tightest_target():
    assert band_of(0.1, 1.7) == 0
    assert band_of(2.0, 1.7) == 1
    assert band_of(20.0, 1.7) == 2


def run_isolation(seconds, short_work, long_work, isolation=None, start=0):
    """Record work and assign bands to endpoints once a second.

    ``short_work`` and ``long_work`` are the endpoints that they keep busy.
    """
    isolation = isolation or Isolation()
    isolation.set_targets(TARGETS)
    fleet = [make_endpoint(f"e{i:02}", f"d{i % 3}") for i in range(15)]
    for second in range(start, start + seconds):
        isolation.observe(0, short_work, float(second))
        isolation.observe(2, long_work, float(second))
        longest_band_by_id = isolation.longest_bands(fleet, float(second))
    return isolation, fleet, longest_band_by_id


def test_isolation_reserves_endpoints_in_every_domain_for_short_work():
    _, fleet, longest_band_by_id = run_isolation(90, short_work=3.0, long_work=6.0)
    reserved = [e for e in fleet if longest_band_by_id[e.endpoint_id] == 0]
    assert len(reserved) >= 5
    assert {e.failure_domain for e in reserved} == {"d0", "d1", "d2"}
    assert sum(longest_band_by_id[e.endpoint_id] == 2 for e in fleet) >= 6


def test_isolation_reserves_nothing_if_there_is_only_short_or_only_long_work():
    for short_work, long_work in ((6.0, 0.0), (0.0, 6.0)):
        _, _, longest_band_by_id = run_isolation(90, short_work, long_work)
        assert set(longest_band_by_id.values()) == {2}


def test_isolation_changes_by_one_endpoint_a_second_and_then_stays_constant():
    isolation, fleet, before = run_isolation(90, short_work=1.0, long_work=6.0)
    changes = []
    for second in range(90, 240):
        isolation.observe(0, 6.0, float(second))
        isolation.observe(2, 6.0, float(second))
        after = isolation.longest_bands(fleet, float(second))
        reserved_before = sum(longest == 0 for longest in before.values())
        changes.append(
            sum(longest == 0 for longest in after.values()) - reserved_before
        )
        before = after
    assert max(changes) == 1
    assert changes[-60:] == [0] * 60


def make_pool(number=8, **changes):
    states = []
    for index in range(number):
        state = EndpointState(make_endpoint(f"e{index}", f"d{index % 3}", **changes))
        state.report(make_load(f"e{index}"))
        states.append(state)
    pool = Pool(states, CostModel())
    for state in states:
        pool.set_open(state.endpoint_id, True)
    return pool


def send_to_best(pool, work, random, now=0.0):
    candidates = pool.candidates(work, 0, random)
    choice = pool.best(work, candidates, now, lambda state: True)
    pool.record_sent(work, choice.state)
    return choice


def test_placement_prefers_the_endpoint_that_has_the_prefix_cached():
    pool, random = make_pool(), Random(1)
    keys = tuple(f"rulebook/{index}" for index in range(8))
    choices = [
        send_to_best(pool, make_work(tokens=16_000, prefix_keys=keys), random)
        for _ in range(20)
    ]
    assert len({choice.state.endpoint_id for choice in choices[1:]}) == 1
    assert choices[1].cached_tokens == 8 * 1_024


def test_placement_skips_a_busy_endpoint_even_if_it_has_the_prefix_cached():
    pool, random = make_pool(), Random(1)
    keys = tuple(f"rulebook/{index}" for index in range(8))
    work = make_work(tokens=16_000, prefix_keys=keys)
    first = send_to_best(pool, work, random).state
    first.sent(make_work(tokens=500_000), 50.0, 0, now=0.0)
    assert send_to_best(pool, work, random).state is not first
    pool.set_open(first.endpoint_id, False)
    assert send_to_best(pool, work, random).state is not first


def test_placement_confines_long_work_and_sends_short_work_to_reserved_endpoints():
    pool, random = make_pool(), Random(1)
    pool.set_longest_bands({"e0": 0, "e1": 0})
    short = {
        send_to_best(pool, make_work(), random).state.endpoint_id for _ in range(50)
    }
    long = {c for _ in range(50) for c in pool.candidates(make_work(), 2, random)}
    assert short <= {"e0", "e1"}
    assert not long & {"e0", "e1"}
    assert pool.count_for(2) == 6


def test_own_outstanding_work_counts_at_once_and_only_once():
    """Reports arrive late, so sent work could be missed or counted twice.

    A daemon's own work counts before any report includes it, and a report that
    includes it does not count it again.
    """
    state = EndpointState(make_endpoint())
    state.report(make_load(at=0.0))
    state.sent(make_work("a", tokens=20_000), 2.0, 0, now=1.0)
    assert state.backlog_seconds(1.0) == 2.0
    assert state.slots_free(1.0, shared=False) == 3
    state.report(make_load(at=1.5, running=1, prefill_tokens_waiting=18_000))
    assert state.backlog_seconds(2.0) == 2.0
    assert state.slots_free(2.0, shared=False) == 3
    state.report(make_load(at=2.5, running=2, prefill_tokens_waiting=50_000))
    # Three seconds of other daemons' work, reported half a second ago, and two seconds
    # of this daemon's.
    assert state.backlog_seconds(3.0) == pytest.approx(4.5)
    assert state.slots_free(3.0, shared=False) == 2
    assert state.backlog_seconds(30.0) == 2.0


def test_a_daemon_learns_its_share_of_the_fleet_requests():
    """Without its share, each of nine daemons would plan for a ninth of the load.

    A daemon sees only its own arrivals, so it has to scale them to the whole fleet.
    """
    fleet = Fleet()
    fleet.set_endpoints({"e0": make_endpoint(slots=100)})
    state = fleet.states_by_id["e0"]
    state.sent(make_work("w"), 0.1, 0, now=0.0)
    for second in range(1, 90):
        state.report(make_load(at=float(second), running=9))
        fleet.update_own_share(float(second))
    assert fleet.own_share == pytest.approx(1 / 9, rel=0.01)


def test_shares_limit_cold_and_warm_endpoints():
    fleet = Fleet()
    fleet.set_endpoints({"e0": make_endpoint(slots=8, cold_slots=2)})
    state = fleet.states_by_id["e0"]
    assert state.slots_free(0.0, fleet.shared) == 2
    state.report(make_load())
    assert state.slots_free(0.0, fleet.shared) == 8
    fleet.set_shares({"e0": Share("e0", 3, expires_at=10.0)})
    assert state.slots_free(0.0, fleet.shared) == 3
    assert state.slots_free(20.0, fleet.shared) == 3
    state.mark_cold(1.0)
    assert state.slots_free(1.0, fleet.shared) == 2
    assert state.slots_free(20.0, fleet.shared) == 0
    fleet.set_shares({})
    assert state.slots_free(1.0, fleet.shared) == 0
    state.report(make_load(at=0.5))
    assert state.phase is EndpointPhase.COLD
    state.report(make_load(at=1.5))
    assert state.slots_free(2.0, fleet.shared) == 8


def test_an_endpoint_is_leaving_until_a_new_incarnation():
    state = EndpointState(make_endpoint())
    state.report(make_load(at=0.0))
    state.mark_leaving()
    state.report(make_load(at=5.0))
    assert state.slots_free(5.0, shared=False) == 0
    assert state.report(make_load(at=6.0, incarnation=2))
    assert state.slots_free(6.0, shared=False) == 4


def test_a_slow_endpoint_without_errors_is_ejected_probed_and_readmitted():
    slow = SlowEndpoints()
    for index in range(100):
        slow.observe(f"e{index % 16}", f"w{index}", 1.0, 1.0, peers=16, now=1.0)
    slow.check_overdue("e3", "x", 0.1, elapsed_seconds=0.2, peers=16, now=2.0)
    assert slow.admits("e3")
    slow.check_overdue("e3", "x", 0.1, elapsed_seconds=0.9, peers=16, now=2.0)
    slow.observe("e3", "y", 10.0, 1.0, peers=16, now=3.0)
    assert not slow.admits("e3")
    assert slow.probe_due(4.0) is None
    now = 8.0
    for ratio in (10.0, 1.0, 1.0):
        while slow.probe_due(now) is None:
            now += 0.5
        slow.record_probe_sent("e3", f"p{now}", now)
        assert slow.probe_due(now) is None
        slow.observe("e3", f"p{now}", ratio, 1.0, peers=16, now=now)
    assert slow.admits("e3")
    assert now < 30.0


def test_no_more_than_a_fifth_of_the_peers_is_ejected():
    slow = SlowEndpoints()
    for _ in range(10):
        for index in range(10):
            ratio = 10.0 if index < 5 else 1.0
            slow.observe(f"e{index}", "w", ratio, 1.0, peers=10, now=1.0)
    assert len(slow.ejected) == 2


def test_a_failed_endpoint_is_closed_until_it_reports_again():
    slow = SlowEndpoints()
    slow.record_failure("e0", "w", now=5.0)
    slow.record_report(make_load("e0", at=4.0), is_new_incarnation=False)
    assert not slow.admits("e0")
    slow.record_report(make_load("e0", at=6.0), is_new_incarnation=False)
    assert slow.admits("e0")


@pytest.mark.parametrize(
    ("executed", "idempotent", "first_token", "expected"),
    [
        (Executed.NO, False, None, True),
        (Executed.UNKNOWN, False, None, False),
        (Executed.YES, False, None, False),
        (Executed.UNKNOWN, True, None, True),
        (Executed.UNKNOWN, True, 0.2, False),
    ],
)
def test_only_requests_that_did_not_run_or_may_run_twice_are_repeated(
    executed, idempotent, first_token, expected
):
    result = make_result(
        succeeded=False, executed=executed, first_token_seconds=first_token
    )
    assert may_repeat(make_work(idempotent=idempotent), result) is expected


def test_retries_are_earned_by_successes_and_stop_under_overload():
    budget = RetryBudget()
    assert sum(budget.take(overloaded=False) for _ in range(100)) == 10
    for _ in range(100):
        budget.earn()
    assert not budget.take(overloaded=True)
    assert sum(budget.take(overloaded=False) for _ in range(100)) in (9, 10)


def test_only_an_organisation_above_its_share_of_an_overloaded_fleet_is_hot():
    hot = HotOrganisations()

    def second(now, demand_of_hot, served):
        hot.record_offered("hot", demand_of_hot)
        hot.record_offered("large", 3.0)
        hot.record_offered("small", 1.0)
        hot.record_served(served)
        hot.update(now)

    for now in range(30):
        second(float(now), demand_of_hot=12.0, served=16.0)
        assert "hot" not in hot
    for now in range(30, 60):
        second(float(now), demand_of_hot=30.0, served=16.0)
    assert "hot" in hot
    assert "large" not in hot
    for now in range(60, 90):
        second(float(now), demand_of_hot=0.0, served=4.0)
    assert "hot" not in hot


def test_the_round_trip_of_tiny_prefills_ejects_no_endpoint():
    """Requests of one entry waited ten seconds each while an engine was idle.

    A prefill of a few tokens was expected to take a tenth of a millisecond, but the
    round trip took five milliseconds. The engine seemed fifty times too slow and was
    ejected.
    """
    slow = SlowEndpoints()
    for index in range(20):
        slow.observe("e1", f"w{index}", 0.005, 0.0001, peers=2, now=1.0)
        slow.observe("e2", f"x{index}", 0.0001, 0.0001, peers=2, now=1.0)
    assert not slow.ejected

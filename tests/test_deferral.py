"""Requests leave their room to more urgent ones, for a bounded time.

The load is that of docs/design/contention.md: packs of long prompts of the least urgent
rank, then a burst of short ones of the most urgent.
"""

from math import inf

import pytest
from contended_fleet import END, ContendedFleet, table

from cranberrywick.routing.deferral import (
    MAX_DEFERRED_SHARE,
    ArrivalRate,
    DeferReason,
    Situation,
    StartReason,
    decide,
    deferral_left,
)

# A long prompt of the first deployment that could start at once.
LONG = Situation(
    rank=2,
    most_urgent_rank=0,
    urgent_waiting=0,
    urgent_arrivals=(ArrivalRate(35.7, 0.271), ArrivalRate(4.34, 1.533)),
    interference=0.0,
    free_slots=100.0,
    waited_seconds=0.0,
    target_seconds=8.057,
    first_event_seconds=2.0,
)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({}, StartReason.HAS_ROOM),
        ({"rank": 0, "urgent_waiting": 5}, StartReason.MOST_URGENT),
        ({"most_urgent_rank": None, "urgent_waiting": 5}, StartReason.MOST_URGENT),
        ({"urgent_waiting": 1}, DeferReason.URGENT_WAITING),
        ({"interference": 0.9}, StartReason.HAS_ROOM),
        ({"interference": 1.0}, DeferReason.CAUSES_LATENESS),
        # 35.7 * 0.271 + 4.34 * 1.533 = 16.3 more urgent ones need a slot in time.
        ({"free_slots": 17.2}, DeferReason.SLOTS_NEEDED),
        ({"free_slots": 17.4}, StartReason.HAS_ROOM),
        ({"free_slots": inf}, StartReason.HAS_ROOM),
        ({"urgent_waiting": 1, "waited_seconds": 2.41}, DeferReason.URGENT_WAITING),
        ({"urgent_waiting": 1, "waited_seconds": 2.42}, StartReason.LONGEST_DEFERRAL),
        ({"urgent_waiting": 1, "first_event_seconds": 7.3}, StartReason.NO_SLACK),
    ],
)
def test_the_decision(change, reason):
    """Guards against a wrong order of the conditions, and a wrong bound of one."""
    assert decide(LONG._replace(**change)) is reason


def test_a_deferral_ends_by_its_share_of_the_target_or_with_the_slack():
    """Guards against retries after the moment at which a request must start."""
    assert deferral_left(8.0, 1.0, 2.0) == pytest.approx(0.4)
    assert deferral_left(8.0, 7.0, 0.1) == pytest.approx(0.1)


@pytest.fixture(scope="module", params=[1, 2], ids="seed-{}".format)
def fleet(request):
    fleet = ContendedFleet(request.param, is_cut_off=True)
    fleet.run(END)
    return fleet


def test_no_urgent_prompt_is_late_because_of_a_later_one_that_had_slack(fleet):
    """Guards against long prompts that take the room of short ones elsewhere."""
    assert not list(fleet.overtaken())
    # Without deferral the same load has such prompts.
    others = ContendedFleet(fleet.seed, ranks=(1, 1, 1))
    others.run(END)
    assert any(others.overtaken())


def test_every_deferred_prompt_starts_within_its_longest_deferral(fleet):
    """Guards against starvation, also at a daemon that receives nothing."""
    assert fleet.last_deferred_at
    assert len(fleet.starts_by_name) == len(fleet.prompts)
    for name, deferred_at in fleet.last_deferred_at.items():
        start = fleet.starts_by_name[name]
        target = start.prompt.kind.target_seconds
        assert deferred_at - start.prompt.at < MAX_DEFERRED_SHARE * target
        if name not in fleet.waited_for_slot:
            assert start.at - start.prompt.at < MAX_DEFERRED_SHARE * target + 0.001


def test_a_daemon_that_receives_nothing_decides_by_its_own_requests(fleet):
    """Guards against a cut-off daemon that blocks its own requests or those of others.

    It defers for urgent ones of its own only, and the most urgent ones never.
    """
    own = fleet.records[0].of("request_deferred")
    assert all(line["demand_age"] == inf for line in own)
    deferred = [line for log in fleet.records for line in log.of("request_deferred")]
    assert all(line["rank"] > 0 for line in deferred)


def test_nothing_changes_for_a_service_that_is_not_contended():
    """Guards against costs and log lines where all requests have the same rank."""
    fleets = [ContendedFleet(1, ranks=(1, 1, 1)) for _ in range(2)]
    for contention in fleets[1].contentions:
        contention.may_start = lambda waiter, placement, now: True
    for each in fleets:
        each.run(END)
    first, second = ({n: s.at for n, s in f.starts_by_name.items()} for f in fleets)
    assert first == second
    assert not any(log.lines for log in fleets[0].records)


def test_a_table_has_the_shortest_target_of_each_rank():
    """Guards against slots kept for requests that can wait for one."""
    targets = table(ranks=(0, 2, 2)).targets_by_rank("pool")
    assert targets == {0: 0.271, 2: 1.533}


@pytest.mark.parametrize("engines", [10, 200])
def test_a_placement_estimates_the_free_slots_of_the_whole_pool(engines):
    """Guards against an estimate for the sample only, which holds back everything."""
    placement = ContendedFleet(1, engines=engines).place_one("long")
    assert placement.free_slots == pytest.approx(6 * engines)
    assert placement.interference == 0.0

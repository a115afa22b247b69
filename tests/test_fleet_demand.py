"""The sums of what daemons state about their demand for a contended service.

Load: requests of three ranks at 9, 88 and 195 daemons, of which some fall silent.
"""

import random
from math import inf

import pytest

from cranberrywick.gateway.demand_rows import pack_demand, unpack_demand
from cranberrywick.routing.fleet_demand import (
    MAX_STATED_ORGANISATIONS,
    DemandStatement,
    FleetDemand,
    OrganisationUsage,
    RankDemand,
    ServiceDemand,
    VmCapacity,
)


def statement_of(demand, now):
    """Return what a daemon states, as its peers read it."""
    packed = pack_demand([DemandStatement(services=demand.services(now))])
    return unpack_demand(packed).values_by_position.get(0, DemandStatement())


def stated(waiting=1, arrivals=0.1, seconds=0.1, mean=0.7, rank=0):
    usage = (OrganisationUsage("school", seconds),)
    ranks = (RankDemand(rank, waiting, arrivals),)
    return DemandStatement(services=(ServiceDemand("drafting", ranks, usage, mean),))


@pytest.mark.parametrize("size", [9, 88, 195])
def test_every_daemon_knows_the_demand_of_the_fleet(size):
    """Guards against a daemon that decides by its own callers alone."""
    fleet = {f"d{number}": FleetDemand() for number in range(size)}
    for number, demand in enumerate(fleet.values()):
        demand.record_arrival("drafting", number % 3, "school", 0.5, 10.0)
        demand.waiting_changed("drafting", number % 3, 1)
        demand.record_held("drafting", 0.8)
    for sender, demand in fleet.items():
        statement = statement_of(demand, 10.0)
        for receiver, other in fleet.items():
            if receiver != sender:
                other.receive(sender, statement, 10.0)
    for demand in fleet.values():
        assert demand.waiting("drafting", 0) == (size + 2) // 3
        assert demand.waiting("drafting", 1) == (size + 2) // 3 + (size + 1) // 3
        assert demand.waiting("drafting", inf) == size
        arrivals = demand.arrivals_per_second("drafting", 2, 10.0)
        assert arrivals == pytest.approx(size / 2)
        assert demand.usage_by_organisation("drafting", 10.0) == {
            "school": pytest.approx(size / 2)
        }
        assert demand.mean_held_seconds("drafting") == pytest.approx(0.8)


def test_a_query_does_not_read_what_single_daemons_state():
    """Guards against decisions whose cost grows with the number of daemons."""
    demand = FleetDemand()
    for number in range(195):
        demand.receive(f"d{number}", stated(), 10.0)
    demand._stated_by_daemon = None
    assert demand.waiting("drafting", 0) == 195
    assert demand.arrivals_per_second("drafting", 0, 10.0) == pytest.approx(19.5)
    assert demand.most_urgent_rank("drafting", 10.0) == 0
    assert demand.usage_by_organisation("drafting", 10.0)
    assert demand.mean_held_seconds("drafting") == pytest.approx(0.7)


def test_no_demand_is_left_behind_by_rounding():
    """Guards against demand of nobody after hours of statements."""
    rng = random.Random(1)
    demand = FleetDemand()
    for step in range(20_000):
        values = rng.randrange(3), rng.random() / 3, rng.random() / 7, rng.random()
        daemon_id = f"d{rng.randrange(88)}"
        demand.receive(daemon_id, stated(*values, rank=rng.randrange(3)), step / 100)
    demand.evict_silent(1_000.0)
    assert demand.waiting("drafting", inf) == 0
    assert demand.arrivals_per_second("drafting", inf, 1_000.0) == 0
    assert demand.usage_by_organisation("drafting", 1_000.0) == {}
    assert demand.mean_held_seconds("drafting") == 0
    assert demand.most_urgent_rank("drafting", 1_000.0) is None
    assert not demand._peers_by_service


def test_a_statement_replaces_the_one_before():
    """Guards against sums that a lost or doubled statement leaves wrong."""
    demand = FleetDemand()
    for waiting in (3, 3, 7):
        demand.receive("d1", stated(waiting), 10.0)
    assert demand.waiting("drafting", 0) == 7
    demand.receive("d1", DemandStatement(), 10.5)
    assert demand.waiting("drafting", 0) == 7
    demand.receive("d1", stated(0), 10.6)
    assert demand.waiting("drafting", 0) == 0


def test_a_silent_daemon_expires_alone():
    """Guards against less urgent work that waits for the requests of a dead daemon."""
    demand = FleetDemand()
    demand.receive("d1", stated(waiting=3), 10.0)
    demand.receive("d2", stated(waiting=4), 12.0)
    demand.receive("d3", stated(waiting=0), 12.0)
    demand.evict_silent(12.9)
    assert demand.waiting("drafting", 0) == 7
    demand.evict_silent(13.1)
    assert demand.waiting("drafting", 0) == 4
    demand.receive("d1", stated(waiting=3), 13.2)
    assert demand.waiting("drafting", 0) == 7


def test_a_daemon_that_no_longer_states_anything_expires():
    """Guards against work that waits for what a daemon stated under a later build."""
    demand = FleetDemand()
    demand.receive("d1", stated(waiting=3), 10.0)
    for second in range(11, 16):
        demand.receive("d1", DemandStatement(), second)
        demand.evict_silent(second)
        assert demand.waiting("drafting", 0) == 3
    demand.receive("d1", DemandStatement(), 15.1)
    demand.evict_silent(15.1)
    assert demand.waiting("drafting", 0) == 0


def test_a_change_is_stated_at_once_and_the_rest_at_intervals():
    """Guards against heartbeats that grow by a third where a service is contended."""
    demand = FleetDemand()
    demand.record_arrival("drafting", 0, "school", 0.3, 10.0)
    moments = [10.0 + step / 10 for step in range(40)]
    stated_at = [m for m in moments if demand.statement(VmCapacity(), m).services]
    assert stated_at == [10.0, 11.5, 13.0]
    demand.waiting_changed("drafting", 0, 1)
    ((rank, waiting, _),) = demand.statement(VmCapacity(), 14.0).services[0].ranks
    assert (rank, waiting) == (0, 1)
    assert demand.statement(VmCapacity(), 14.1) == DemandStatement()


def test_small_usage_is_stated_rightly_on_average():
    """Guards against organisations that are hidden since they use many daemons."""
    demand = FleetDemand(random.Random(1))
    demand.record_arrival("drafting", 0, "school", 0.03, 10.0)
    total = 0.0
    for _ in range(2_000):
        usage = demand.services(10.0)[0].usage
        total += sum(each.seconds for each in usage)
    assert total / 2_000 == pytest.approx(0.03, rel=0.1)


def test_a_daemon_that_receives_nothing_knows_its_own_demand():
    """Guards against a daemon without peers that decides by nothing."""
    demand = FleetDemand()
    assert demand.most_urgent_rank("drafting", 10.0) is None
    demand.waiting_changed("drafting", 2, 1)
    assert demand.most_urgent_rank("drafting", 10.0) == 2
    demand.record_arrival("drafting", 1, "school", 0.3, 10.0)
    demand.record_held("drafting", 0.5)
    demand.evict_silent(99.0)
    assert demand.waiting("drafting", 2) == 1
    assert demand.arrivals_per_second("drafting", 1, 10.0) == 0.5
    assert demand.mean_held_seconds("drafting") == 0.5
    assert demand.most_urgent_rank("drafting", 10.0) == 1


def test_a_daemon_without_contended_services_states_nothing():
    """Guards against messages that change where no service is contended.

    Waiting requests are recorded for each service, arrivals only for contended ones. A
    service that is no longer contended is stated for a while, then no more.
    """
    demand = FleetDemand()
    demand.waiting_changed("desk", 0, 1)
    assert demand.waiting("unknown", 0) == 0
    assert demand.services(10.0) == ()
    demand.record_arrival("desk", 0, "school", 0.3, 10.0)
    ((rank, waiting, _),) = demand.services(40.0)[0].ranks
    assert (rank, waiting) == (0, 1)
    assert demand.services(71.0) == ()


def test_only_the_largest_organisations_are_stated():
    """Guards against heartbeats that grow with the number of organisations."""
    demand = FleetDemand()
    for number in range(30):
        demand.record_arrival("drafting", 0, f"o{number}", 0.1 * number, 10.0)
    (service,) = demand.services(10.0)
    assert len(service.usage) == MAX_STATED_ORGANISATIONS
    assert service.usage[0] == OrganisationUsage("o29", pytest.approx(2.9))
    assert demand.services(10.0 + 60.0) == ()


def test_a_wait_that_has_ended_is_stated_although_nothing_else_is():
    """Guards against peers that defer requests for one that waits no more."""
    own, peer = FleetDemand(random.Random(1)), FleetDemand()
    own.record_arrival("drafting", 0, "school", 0.03, 0.0)
    own.waiting_changed("drafting", 0, 1)
    peer.receive("d1", own.statement(VmCapacity(), 5.9), 5.9)
    assert peer.waiting("drafting", 0) == 1
    own.waiting_changed("drafting", 0, -1)
    peer.receive("d1", own.statement(VmCapacity(), 6.0), 6.0)
    assert peer.waiting("drafting", 0) == 0

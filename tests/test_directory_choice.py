"""The choice of entry addresses by the capacities of VMs.

Guards against large VMs that stay idle while small ones are overloaded, against VMs
without callers, and against callers that change their VMs without need.
"""

import random
from collections import Counter

import pytest

from cranberrywick.routing.directory_choice import (
    MAX_NAMED,
    MIN_WEIGHT,
    DirectoryChoice,
    EntryVm,
    weights_of,
)
from cranberrywick.routing.fleet_demand import VmCapacity

LARGE = VmCapacity(cores=2.15, link_mbps=100)
SMALL = VmCapacity(cores=0.516, link_mbps=10)
DOMAINS = ("a", "b", "c")
# The address and the failure domain of each of 300 callers.
CALLERS = [(f"10.7.0.{n}", DOMAINS[n % 3]) for n in range(300)]


def fleet(daemons=88, large=6, capacity_by_number=None):
    """Return VMs, the large ones first, spread evenly over the failure domains."""
    changed = capacity_by_number or {}
    return [
        EntryVm(f"d{n}", f"10.1.0.{n}:80", DOMAINS[n % 3], changed.get(n, kind))
        for n in range(daemons)
        for kind in [LARGE if n < large else SMALL]
    ]


def choice_of(vms, now=0.0):
    choice = DirectoryChoice(random.Random(1))
    choice.update(vms, now)
    return choice


def named(vms, callers=CALLERS):
    """Return the set of addresses that each caller is given."""
    choice = choice_of(vms)
    return {caller: frozenset(choice.addresses(*caller)) for caller in callers}


def load_of(named_by_caller):
    """Return each address's share of the requests of callers that use all alike."""
    load = Counter()
    for addresses in named_by_caller.values():
        for address in addresses:
            load[address] += 1 / len(addresses) / len(named_by_caller)
    return load


def test_each_kind_of_vm_gets_a_load_near_its_weight():
    """Guards against small VMs that get as many callers as large ones."""
    load = load_of(named(fleet()))
    weight = 6 + 82 * 0.1
    large = sum(load[f"10.1.0.{n}:80"] for n in range(6))
    assert 0.75 < large / (6 / weight) < 1.1
    assert 0.9 < (1 - large) / (8.2 / weight) < 1.25


@pytest.mark.parametrize("daemons", [3, 29, 88, 195])
def test_every_vm_is_named_and_callers_have_others_to_try(daemons):
    """Guards against VMs without callers, and callers that depend on few VMs."""
    named_by_caller = named(fleet(daemons, large=min(6, daemons)))
    assert len(load_of(named_by_caller)) == daemons
    assert {len(each) for each in named_by_caller.values()} == {min(daemons, MAX_NAMED)}


def test_large_vms_that_all_die_leave_every_caller_others():
    """Guards against callers that know only VMs which died together."""
    dead = {f"10.1.0.{n}:80" for n in range(6)}
    assert all(each - dead for each in named(fleet()).values())


@pytest.mark.parametrize("dead", [0, 40])
def test_a_dead_vm_changes_only_the_choices_that_named_it(dead):
    """Guards against callers that change their VMs with every death."""
    vms = fleet()
    before, after = named(vms), named(vms[:dead] + vms[dead + 1 :])
    address = vms[dead].entry_address
    for caller, addresses in before.items():
        lost = addresses - after[caller]
        assert lost == ({address} if address in addresses else set())


@pytest.mark.parametrize("number", [0, 40])
def test_a_vm_whose_timers_are_late_gets_a_small_part_of_its_load(number):
    """Guards against callers that stay with a VM which is slower than declared."""
    capacity = (LARGE if number < 6 else SMALL)._replace(delay_seconds=0.5)
    address = f"10.1.0.{number}:80"
    callers = [(f"{ip}.{n}", zone) for ip, zone in CALLERS for n in range(3)]
    usual = load_of(named(fleet(), callers))[address]
    late = load_of(named(fleet(capacity_by_number={number: capacity}), callers))
    assert 0 < late[address] < 0.3 * usual


def test_a_fleet_that_is_late_everywhere_keeps_its_weights():
    """Guards against equal weights when the whole fleet is overloaded."""
    capacities = {vm.daemon_id: vm.capacity for vm in fleet()}
    late = {id: each._replace(delay_seconds=0.3) for id, each in capacities.items()}
    assert weights_of(late) == pytest.approx(weights_of(capacities))


def test_daemons_with_different_views_agree_mostly():
    """Guards against callers that get other VMs from each daemon that they ask."""
    rng = random.Random(1)
    late = {
        n: (LARGE if n < 6 else SMALL)._replace(delay_seconds=rng.uniform(0, 0.02))
        for n in range(88)
    }
    here, there = named(fleet()), named(fleet(86, capacity_by_number=late))
    same = sum(len(here[caller] & there[caller]) for caller in CALLERS)
    assert same > 0.85 * MAX_NAMED * len(CALLERS)


def test_vms_of_unknown_capacity_count_as_the_mean():
    """Guards against daemons of an earlier build without callers, or with all."""
    weights = weights_of({"d1": LARGE, "d2": SMALL, "old": VmCapacity()})
    assert weights["old"] == pytest.approx((1 + weights["d2"]) / 2)
    assert set(weights_of({"d1": VmCapacity(), "d2": VmCapacity()}).values()) == {1.0}


def test_the_scarcer_of_processor_and_link_decides():
    quarter = VmCapacity(cores=2.15, link_mbps=25)
    unlinked = VmCapacity(cores=0.43)
    tiny = VmCapacity(cores=0.001, link_mbps=100)
    weights = weights_of({"d1": LARGE, "d2": quarter, "d3": unlinked, "d4": tiny})
    assert [*weights.values()] == pytest.approx([1.0, 0.25, 0.2, MIN_WEIGHT])


def test_vms_of_the_callers_failure_domain_count_twice():
    """Guards against streams that pass between domains without need."""
    callers = [(ip, "a") for ip, _ in CALLERS[::3]]
    load = load_of(named(fleet(90, large=90), callers))
    near = sum(load[vm.entry_address] for vm in fleet(90) if vm.failure_domain == "a")
    assert 0.4 < near < 0.6


def test_a_caller_without_a_known_domain_is_given_all_domains_alike():
    vms = fleet(90, large=90)
    assert (
        named(vms, [("10.7.0.1", "")]).popitem()[1]
        == (named(vms, [("10.7.0.1", "nowhere")]).popitem()[1])
    )


def test_callers_that_share_an_address_are_spread():
    """Guards against a few VMs that get all requests from behind one address."""
    choice = choice_of(fleet())
    answers = [choice.addresses("10.7.0.1", "") for _ in range(300)]
    assert {*answers[0]} == {*answers[1]}
    load = load_of(dict(enumerate(answers)))
    assert len(load) == 88
    assert sum(load[f"10.1.0.{n}:80"] for n in range(6)) > 0.75 * 6 / 14.2


def test_weights_are_kept_for_a_second_unless_the_daemons_change():
    """Guards against weights computed for each answer, and names of dead daemons."""
    vms = fleet()
    choice = choice_of(vms, now=10.0)
    addresses = {vm.daemon_id: vm.entry_address for vm in vms}
    assert not choice.needs_update(addresses, 10.9)
    assert choice.needs_update(addresses, 11.0)
    del addresses["d1"]
    assert choice.needs_update(addresses, 10.1)


def test_weights_that_changed_by_a_factor_of_two_are_reported_now_and_then():
    """Guards against a line in the log for each measurement."""
    choice = choice_of(fleet())

    def reported(delay, now):
        late = {3: LARGE._replace(delay_seconds=delay)}
        vms = fleet(capacity_by_number=late)
        return [change.daemon_id for change in choice.update(vms, now)]

    assert reported(0.02, 1.0) == []
    assert reported(0.2, 2.0) == ["d3"]
    assert reported(0.0, 3.0) == []
    assert reported(0.0, 12.5) == ["d3"]

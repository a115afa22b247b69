"""The choice of entry addresses for callers.

Guards against addresses of daemons that are about to end, and against addresses that
all fail together.
"""

import random
from collections import Counter

import pytest

from cranberrywick.decisions.entries import (
    DRAIN_SECONDS,
    LIFETIME_SECONDS,
    choose_entries,
)
from cranberrywick.decisions.membership import Member, Status

NONE_OUT = frozenset()


def member(number, status=Status.ALIVE, region="north"):
    return Member(
        daemon_id=f"e{number}",
        incarnation=1,
        revision=0,
        status=status,
        peer_address=f"10.0.0.{number}:7",
        entry_address=f"10.0.0.{number}:8",
        failure_domain=f"fd-{number % 3}",
        region=region,
    )


def members(*listed):
    return {each.daemon_id: each for each in listed}


NINE = members(*(member(number) for number in range(9)))


def choose(members_by_id, organisation="school", domains_out=NONE_OUT, seed=1):
    rng = random.Random(seed)
    return choose_entries(organisation, "north", members_by_id, domains_out, rng)


def domains_of(answer):
    return {int(address.split(":")[0].rsplit(".")[-1]) % 3 for address in answer[0]}


def test_entries_are_in_different_failure_domains():
    for seed in range(20):
        answer = choose(NINE, organisation=f"school-{seed}", seed=seed)
        assert len(answer.addresses) == 3
        assert domains_of(answer) == {0, 1, 2}


def test_an_organisation_keeps_the_daemons_with_its_prefixes():
    answers = [choose(NINE, seed=seed) for seed in range(50)]
    assert len({frozenset(answer.addresses) for answer in answers}) == 1
    firsts = Counter(answer.addresses[0] for answer in answers)
    assert len(firsts) == 2 and min(firsts.values()) >= 10


def test_organisations_are_spread_over_the_daemons():
    firsts = Counter(
        choose(NINE, organisation=f"org-{i}", seed=i).addresses[0] for i in range(900)
    )
    assert len(firsts) == 9
    assert max(firsts.values()) <= 200


def test_a_member_that_leaves_changes_at_most_one_address():
    for number in range(9):
        left = {id: m for id, m in NINE.items() if id != f"e{number}"}
        lost = set(choose(NINE).addresses) - set(choose(left).addresses)
        assert len(lost) <= 1


@pytest.mark.parametrize("status", [Status.LEAVING, Status.DEAD])
def test_leaving_and_dead_daemons_are_omitted(status):
    """A caller would use the address of a VM after the VM has ended.

    Eight of nine daemons are leaving or dead. Whichever daemons the organisation is
    assigned otherwise, the answer contains only the one that stays.
    """
    staying = member(4)
    leaving_or_dead = [member(number, status) for number in range(9) if number != 4]
    assert choose(members(staying, *leaving_or_dead)).addresses == (
        staying.entry_address,
    )


def test_a_failure_domain_taken_out_is_omitted():
    for seed in range(20):
        answer = choose(NINE, f"org-{seed}", frozenset({"fd-1"}), seed)
        assert domains_of(answer) == {0, 2}


def test_a_suspect_comes_last():
    suspects = {id: m for id, m in NINE.items()}
    first = choose(NINE).addresses[0]
    for id, each in NINE.items():
        if each.entry_address == first:
            suspects[id] = each._replace(status=Status.SUSPECT)
    assert first not in choose(suspects).addresses[:2]


def test_the_callers_region_comes_first():
    other_region = [member(number, region="south") for number in range(9, 30)]
    answer = choose(members(*NINE.values(), *other_region))
    assert set(answer.addresses) <= {m.entry_address for m in NINE.values()}


def test_callers_get_addresses_even_if_all_daemons_are_leaving():
    leaving = members(*(member(number, Status.LEAVING) for number in range(3)))
    assert len(choose(leaving).addresses) == 3


def test_a_drain_outlasts_the_lifetime_of_every_answer():
    lifetimes = [choose(NINE, seed=seed).lifetime for seed in range(100)]
    assert max(lifetimes) <= LIFETIME_SECONDS < DRAIN_SECONDS
    assert max(lifetimes) - min(lifetimes) > 0.1 * LIFETIME_SECONDS

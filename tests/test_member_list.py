"""Rate at which a fleet reads the list of its daemons.

Guards against calls to the store whose number grows with the fleet.
"""

import random

import pytest

from cranberrywick.routing.member_list import TURN_SECONDS, is_turn


@pytest.mark.parametrize("members", [50, 200, 620])
def test_a_large_fleet_reads_the_list_about_once_a_second(members):
    """Guards against calls to the store whose number grows with the fleet.

    Each daemon checks at its own times whether it is its turn; over a minute the reads
    of all daemons stay at about one a second.
    """
    rng = random.Random(members)
    turns = int(60 / TURN_SECONDS)
    reads = sum(is_turn(members, rng) for _ in range(turns * members))
    assert 30 <= reads <= 90


def test_each_daemon_of_a_small_fleet_reads_it():
    assert all(is_turn(9, random.Random(seed)) for seed in range(50))

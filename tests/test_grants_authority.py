"""Tests for the platform's lease that makes a daemon the only steward of a shard.

Guards against two daemons that count as holders of a shard at the same time.
"""

import pytest

from cranberrywick.controllers.authority import LEASE_SECONDS, ShardAuthority
from cranberrywick.decisions.stewards import Shard
from cranberrywick.standin.kv import InProcessKeyValueStore, KeyValueStandIn

SHARD = Shard("north", 3)
WANTED = frozenset({SHARD})


class Platform:
    """A stand-in for the key-value store, and the clock that daemons share with it."""

    def __init__(self):
        self.now = 100.0
        self.standin = KeyValueStandIn(lambda: self.now)
        self.store = InProcessKeyValueStore(self.standin)

    def authority(self, daemon_id):
        authority = ShardAuthority(self.store, daemon_id, 1, lambda: self.now)
        authority.set_wanted(WANTED)
        return authority


@pytest.fixture
def platform():
    return Platform()


def test_one_daemon_at_a_time_holds_a_shard(platform):
    first, second = platform.authority("e1"), platform.authority("e2")
    first._update()
    second._update()
    assert first.held_until(SHARD) > platform.now
    assert second.held_until(SHARD) is None


def test_a_hold_ends_before_the_platform_grants_the_shard_again(platform):
    """Guards against two daemons that count as holders of a shard at once.

    The first is paused past the end of its lease and a second one acquires the shard.
    Whenever that happens, the first hold must have ended already by the first daemon's
    own clock, without a call to the platform.
    """
    first, second = platform.authority("e1"), platform.authority("e2")
    first._update()
    for _ in range(100):
        platform.now += LEASE_SECONDS / 50
        second._update()
        assert first.held_until(SHARD) is None or second.held_until(SHARD) is None
    assert second.held_until(SHARD) is not None


def test_a_shard_is_held_while_it_is_wanted(platform):
    authority = platform.authority("e1")
    for _ in range(20):
        pause = authority._update()
        platform.now += pause
        assert authority.held_until(SHARD) is not None
    calls = sum(platform.standin.counts_by_kind.values())
    assert calls <= 22
    authority.set_wanted(frozenset())
    assert authority._update() is None
    assert authority.held_until(SHARD) is None


@pytest.mark.parametrize("path", ["/v1/leases", "/v1/keys"])
def test_a_lost_answer_gives_no_second_holder(platform, path):
    """A daemon does not know whether its write was done, because the answer was lost.

    It reads the key back or tries again, counts as a holder only if its own value is
    stored, and in the end exactly one daemon is the holder.
    """
    first, second = platform.authority("e1"), platform.authority("e2")
    platform.standin.faults.set("drop_next_answer", count=1, path=path)
    first._update()
    second._update()
    first._update()
    holders = [each for each in (first, second) if each.held_until(SHARD) is not None]
    assert len(holders) == 1


def test_a_lost_request_gives_no_second_holder(platform):
    first, second = platform.authority("e1"), platform.authority("e2")
    first._update()
    platform.standin.faults.set("lose_next_request", count=1, path="/v1/keys")
    second._update()
    assert second.held_until(SHARD) is None


def test_an_outage_ends_the_hold_and_retries_are_spread(platform):
    authorities = [platform.authority(f"e{i}") for i in range(2)]
    authorities[0]._update()
    platform.standin.faults.set("outage")
    pauses = {round(each._update(), 3) for each in authorities for _ in range(10)}
    assert len(pauses) > 10 and min(pauses) >= 2.0
    platform.now += LEASE_SECONDS
    assert authorities[0].held_until(SHARD) is None
    platform.standin.faults.clear()
    authorities[1]._update()
    assert authorities[1].held_until(SHARD) is not None

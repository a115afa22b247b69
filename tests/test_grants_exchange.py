"""Tests for demands and grants between daemons over real sockets.

Guards against slots that stay unused or are granted twice when demand, steward or
endpoint change.
"""

import pytest
from peer_fleet import Fleet, wait_for

from cranberrywick.decisions.cold_start import Trouble
from cranberrywick.decisions.leases import Usage
from cranberrywick.model import Endpoint, EndpointKind, EndpointLoad, EndpointPhase

ENDPOINT = Endpoint("r1", EndpointKind.ENGINE, "10.0.0.9:1", "fd-1", "north", slots=8)


class GrantingAuthority:
    """An authority under which the steward always holds every shard."""

    def __init__(self, clock):
        self._clock = clock

    def set_wanted(self, shards):
        pass

    def held_until(self, shard):
        return self._clock() + 15.0


class Holder:
    """A node with the number of slots that it wants and its last published shares."""

    def __init__(self, daemon_id, fleet, wanted=1, authority=None):
        self.wanted = wanted
        self.shares = {}
        self.is_steward = False
        self.node = fleet.add(daemon_id, usage=self.usage, authority=authority)
        self.node.on_shares(self.set_shares)
        self.node.on_stewarded(self.set_stewarded)
        self.node.set_endpoints({"r1": ENDPOINT})

    def usage(self):
        return {"r1": Usage(self.wanted)}

    def set_shares(self, shares):
        self.shares = shares

    def set_stewarded(self, endpoint_ids):
        self.is_steward = "r1" in endpoint_ids

    @property
    def slots(self):
        share = self.shares.get("r1")
        return 0 if share is None else share.slots


class Endpoints:
    """Reports the endpoint's load to its steward at regular intervals."""

    def __init__(self, fleet, holders):
        self.phase = EndpointPhase.WARM
        self._fleet = fleet
        self._holders = holders
        fleet.every(1.0, self._report)

    def _report(self):
        for holder in self._holders:
            if holder.is_steward:
                load = EndpointLoad("r1", 1, self.phase, self._fleet.clock())
                holder.node.report_load(load)


@pytest.fixture
def fleet():
    fleet = Fleet(speed=5)
    yield fleet
    fleet.stop()


def make_holders(fleet, **options):
    holders = [Holder(f"e{i}", fleet, **options) for i in range(1, 4)]
    fleet.wait_until_all_see([holder.node for holder in holders])
    return holders


def test_slots_go_where_they_are_wanted(fleet):
    """One daemon has a burst of requests while the others have little work.

    The endpoint's steward must lease it the slots that the others do not use, and
    return part of them to another daemon as soon as that one wants more.
    """
    holders = make_holders(fleet)
    Endpoints(fleet, holders)
    holders[0].wanted = 8
    wait_for(lambda: [holder.slots for holder in holders] == [6, 1, 1])
    holders[1].wanted = 8
    wait_for(lambda: [holder.slots for holder in holders] in ([4, 3, 1], [3, 4, 1]))


def test_a_successor_grants_the_slots_of_a_killed_steward(fleet):
    """The steward of an endpoint is killed while others hold leases from it.

    Its successor must renew these leases, receive the endpoint's load and divide the
    slots again once the killed daemon's lease has lapsed.
    """
    holders = make_holders(fleet, wanted=8)
    Endpoints(fleet, holders)
    wait_for(lambda: sum(holder.slots for holder in holders) == 8)
    (steward,) = (holder for holder in holders if holder.is_steward)
    left = [holder for holder in holders if holder is not steward]
    fleet.remove(steward.node)
    steward.is_steward = False
    wait_for(lambda: any(holder.is_steward for holder in left))
    wait_for(lambda: [holder.slots for holder in left] == [4, 4])


def test_a_cold_endpoint_is_leased_only_under_the_platforms_lease(fleet):
    holders = make_holders(fleet, wanted=8)
    Endpoints(fleet, holders).phase = EndpointPhase.COLD
    loads = []
    holders[0].node.on_load(loads.append)
    wait_for(lambda: len(loads) >= 10)
    assert [holder.slots for holder in holders] == [0, 0, 0]


def test_a_cold_endpoint_gets_one_request_from_three_daemons(fleet):
    authority = GrantingAuthority(fleet.clock)
    holders = make_holders(fleet, wanted=8, authority=authority)
    Endpoints(fleet, holders).phase = EndpointPhase.COLD
    wait_for(lambda: sum(holder.slots for holder in holders) == 1)


def test_trouble_seen_by_one_stops_all(fleet):
    """A warm endpoint turns cold before it reports that, and refuses one daemon.

    That daemon must stop using it at once and report this to the steward, which
    reclaims the others' slots. Without the platform's lease it grants nothing again.
    """
    holders = make_holders(fleet, wanted=8)
    endpoints = Endpoints(fleet, holders)
    wait_for(lambda: all(holder.slots for holder in holders))
    endpoints.phase = EndpointPhase.COLD
    holders[0].node.record_trouble("r1", Trouble.COLD)
    wait_for(lambda: not any(holder.slots for holder in holders))

"""Requests of many VMs that reach no endpoint, in fleets of up to 195 daemons.

Load: each daemon gets requests at the same rate. The decisions are the real ones, while
links, endpoints and the delay of heartbeats are simulated in steps.
"""

import random
from collections import Counter
from typing import NamedTuple

import pytest

from cranberrywick.routing.forwarding_peers import ForwardingPeers
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.reachability import EndpointReachability, Reach
from cranberrywick.routing.store_knowledge import StoreKnowledge

ENDPOINTS = frozenset(f"e{number}" for number in range(54))
STEP_SECONDS = 0.05
REQUESTS_EACH_SECOND = 2.0
# Delay of a heartbeat that tells of a change, in seconds.
HEARTBEAT_SECONDS = 0.25
PROBE_SECONDS = 0.25
# When the users' rule begins to count after the links were lost, in seconds.
CONTACT_SECONDS = 3.0
CUT_SECONDS = 12.0
MAX_PEER_FAILURES = 4


class Outcome(NamedTuple):
    """What became of a request: how many messages it took and which peer served it."""

    at: float
    served: bool
    hops: int
    peer: str = ""


class Daemon:
    def __init__(self, name, rng):
        self.name = name
        self.rng = rng
        self.is_cut = False
        self.reachability = EndpointReachability()
        self.peers = ForwardingPeers(rng)
        self.stated = [(0.0, self.heartbeat())]

    def heartbeat(self):
        reach = self.reachability.statement(7341)
        fields = dict.fromkeys(Heartbeat._fields, 0)
        fields |= {"daemon_id": self.name, "reach": reach, "store": StoreKnowledge()}
        return Heartbeat(**fields)

    def connect(self, now):
        """Connect to a random endpoint; return whether it accepted."""
        endpoint_id = self.rng.choice(sorted(ENDPOINTS))
        before = self.reachability.reach("pool")
        if self.is_cut:
            self.reachability.failed("pool", endpoint_id, ENDPOINTS)
        else:
            self.reachability.connected("pool", endpoint_id, ENDPOINTS)
        if self.reachability.reach("pool") is not before:
            self.stated.append((now + HEARTBEAT_SECONDS, self.heartbeat()))
        return not self.is_cut

    def heard(self, now):
        """The last heartbeat that the others have received."""
        while len(self.stated) > 1 and self.stated[1][0] <= now:
            del self.stated[0]
        return self.stated[0][1]


def serve(daemon, daemons_by_name, heartbeats, now):
    hops, failures, failed_peers = 0, 0, []
    while True:
        reach = daemon.reachability.reach("pool")
        peer = None
        if reach is not Reach.FULL or failures >= 2:
            if len(failed_peers) < MAX_PEER_FAILURES:
                others = [b for b in heartbeats if b.daemon_id != daemon.name]
                peer = daemon.peers.choose(
                    others, "pool", reach, 0, set(), failed_peers, now
                )
            if peer is None and reach is Reach.NONE:
                return Outcome(now, False, hops)
        hops += 1
        if peer is None:
            if daemon.connect(now):
                return Outcome(now, True, hops)
            failures += 1
        else:
            other = daemons_by_name[peer.daemon_id]
            if other.connect(now):
                return Outcome(now, True, hops, other.name)
            failed_peers.append(other.name)


def play(size, cut_share, seed=1):
    """Cut a share of the daemons; return the outcomes at these and the whole ones."""
    rng = random.Random(seed)
    daemons = [Daemon(f"d{n}", random.Random(f"{seed} {n}")) for n in range(size)]
    daemons_by_name = {daemon.name: daemon for daemon in daemons}
    cut = rng.sample(daemons, min(size - 1, round(cut_share * size)))
    for daemon in cut:
        daemon.is_cut = True
    outcomes = []
    now = 0.0
    while now < CUT_SECONDS:
        heartbeats = [daemon.heard(now) for daemon in daemons]
        for daemon in daemons:
            if rng.random() < REQUESTS_EACH_SECOND * STEP_SECONDS:
                outcome = serve(daemon, daemons_by_name, heartbeats, now)
                if daemon.is_cut:
                    outcomes.append(outcome)
            if daemon.reachability.is_suspected("pool"):
                if rng.random() < STEP_SECONDS / PROBE_SECONDS:
                    daemon.connect(now)
        now += STEP_SECONDS
    return outcomes, [d.name for d in daemons if not d.is_cut]


@pytest.mark.parametrize("size", [9, 67, 195])
@pytest.mark.parametrize("cut_share", [0.34, 0.8, 1.0])
def test_cut_daemons_are_served_by_few_messages(size, cut_share):
    """Guards against requests that are passed from one cut daemon to the next.

    The last share leaves a single daemon that reaches the endpoints.
    """
    outcomes, _ = play(size, cut_share)
    counted = [each for each in outcomes if each.at >= CONTACT_SECONDS]
    assert sum(each.served for each in counted) >= 0.98 * len(counted)
    assert max(each.hops for each in counted) <= MAX_PEER_FAILURES + 2
    assert sum(each.hops for each in counted) <= 1.1 * len(counted)


@pytest.mark.parametrize("size", [9, 67, 195])
def test_the_requests_of_most_daemons_are_spread_over_the_others(size):
    """Guards against one daemon that carries the requests of all that are cut."""
    outcomes, whole = play(size, 0.8)
    served = Counter(each.peer for each in outcomes if each.at >= CONTACT_SECONDS)
    assert set(served) <= set(whole)
    mean = sum(served.values()) / len(whole)
    assert max(served.values()) <= mean + 4 * mean**0.5


def test_a_peer_that_failed_is_passed_over_for_a_moment():
    """Guards against each request waiting for the same peer in vain."""
    peers = ForwardingPeers(random.Random(1))
    beats = [Daemon(name, random.Random(1)).heartbeat() for name in ("d1", "d2")]
    peers.failed("d1", 10.0)
    peers.unreachable("d2", "desk", 10.0)

    def chosen(service, now, reach=Reach.POOR):
        picks = (
            peers.choose(beats, service, reach, 0, set(), (), now) for _ in range(40)
        )
        return {pick.daemon_id if pick else "" for pick in picks}

    assert chosen("pool", 10.5) == chosen("pool", 10.5, Reach.NONE) == {"d2"}
    assert chosen("desk", 10.5) == {""}
    assert chosen("desk", 11.5) == {"d1", "d2"}


def test_the_only_peer_left_is_used_although_it_has_just_failed():
    """Guards against a second of refusals for one timeout at the last peer."""
    peers = ForwardingPeers(random.Random(1))
    beats = [Daemon("d1", random.Random(1)).heartbeat()]
    peers.failed("d1", 10.0)
    assert peers.choose(beats, "pool", Reach.POOR, 0, set(), (), 10.1) is None
    assert peers.choose(beats, "pool", Reach.NONE, 0, set(), (), 10.1) is beats[0]
    assert peers.choose(beats, "pool", Reach.NONE, 0, {"d1"}, (), 10.1) is None


def test_a_peer_that_failed_for_a_request_is_avoided_while_there_are_others():
    """Guards against a refusal for one lost connection to the only peer.

    A peer that has said that it can't serve the request is not asked again.
    """
    peers = ForwardingPeers(random.Random(1))
    beats = [Daemon(name, random.Random(1)).heartbeat() for name in ("d1", "d2")]

    def choose(unable_ids, failed_ids, reach=Reach.NONE):
        peer = peers.choose(beats, "pool", reach, 0, unable_ids, failed_ids, 1.0)
        return peer and peer.daemon_id

    assert {choose(set(), ["d1"]) for _ in range(20)} == {"d2"}
    assert {choose(set(), ["d1", "d2"]) for _ in range(20)} == {"d1", "d2"}
    assert {choose({"d2"}, ["d1"]) for _ in range(20)} == {"d1"}
    assert choose({"d1", "d2"}, []) is None
    assert choose({"d2"}, ["d1"], Reach.POOR) is None


def test_a_peer_is_not_used_that_knows_an_older_configuration_or_has_failed():
    """Guards against requests that go back in time, or twice to the same peer."""
    peers = ForwardingPeers(random.Random(1))
    beats = [Daemon(name, random.Random(1)).heartbeat() for name in ("d1", "d2")]
    assert peers.choose(beats, "pool", Reach.NONE, 1, set(), (), 12.0) is None
    assert peers.choose(beats, "pool", Reach.NONE, 0, {"d1", "d2"}, (), 12.0) is None


def test_a_vm_that_reaches_a_part_uses_no_peer_that_reaches_no_more():
    """Guards against requests that are sent round while endpoints have died for all."""
    peers = ForwardingPeers(random.Random(1))
    poor = Daemon("d1", random.Random(1))
    for endpoint_id in ("e1", "e2", "e3"):
        poor.reachability.failed("pool", endpoint_id, ENDPOINTS)
    beats = [poor.heartbeat()]
    assert peers.choose(beats, "pool", Reach.POOR, 0, set(), (), 1.0) is None
    assert peers.choose(beats, "pool", Reach.NONE, 0, set(), (), 1.0) is beats[0]

"""What daemons keep after a return of the store, in fleets of up to 195 daemons.

Guards against daemons of a large fleet that hear of a return too late, and against
entries that the fleet keeps alive among itself. In virtual time, with the real updates
and relays.
"""

import asyncio
import random

import pytest
from limited_fleet import run_scenario

from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.operator_tracker import OperatorTracker
from cranberrywick.gateway.store_history import StoreHistory
from cranberrywick.gateway.store_returns import StoreReturns
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import EndpointRecord, EndpointView, OperatorView
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.store_knowledge import RETAIN_DOMAIN_SECONDS

# Time within which all daemons know what one has learned, without loss, in seconds.
KNOWN_SECONDS = 1.0
# The same where one datagram in ten is lost, each on three links, in seconds.
KNOWN_SECONDS_WITH_LOSS = 3.0
ENDPOINT = EndpointRecord("e1", "desk", "10.0.0.1:80", "fd-a", 4, False, 0.0, 1)


class Knowing:
    """A simulated daemon's knowledge of the store, kept by the real parts."""

    def __init__(self, daemon):
        log, loop = EventLog(), asyncio.get_running_loop()
        history = StoreHistory(loop.time, LazyMetrics(daemon.name), log)
        self.operator = OperatorTracker(lambda document: None, log)
        self.registry = EndpointRegistry()
        self.returns = StoreReturns(
            history,
            self.operator,
            self.registry,
            daemon.peer_updates.announce_draining,
            log,
        )
        self.returns.returned = lambda epoch: daemon.peer_updates.send_heartbeat()
        daemon.store_knowledge = self.returns.knowledge_sample
        daemon.heartbeat_received = lambda heartbeat, received_at: self.returns.receive(
            heartbeat.store, heartbeat.daemon_id
        )
        self.returns.observe(1, "store")

    def read(self, revision, domains=(), endpoints=(ENDPOINT,), epoch=1):
        """Read the store."""
        now = asyncio.get_running_loop().time()
        view = OperatorView.of(revision, b"", frozenset(domains), epoch)
        self.operator.apply(view, now, "store")
        records = {record.endpoint_id: record for record in endpoints}
        self.registry.apply(EndpointView(revision, records, epoch=epoch), now, now)

    @property
    def epoch(self):
        return self.returns.knowledge(asyncio.get_running_loop().time()).epoch

    @property
    def keeps_all(self):
        """Whether the domain is out and the endpoint is not used."""
        return self.operator.domains_out == {"b"} and any(
            tracked.is_backing_off for tracked in self.registry.tracked_by_id.values()
        )


async def inform_one(fleet, loss=0.0):
    """Let one daemon know of the last changes and of the return; return all."""
    daemons = [Knowing(daemon) for daemon in fleet.daemons]
    for each in daemons:
        each.read(30)
    await asyncio.sleep(0.5)
    informed = random.Random(len(daemons)).choice(daemons)
    informed.read(31, domains=["b"], endpoints=[])
    fleet.network.loss = loss
    await asyncio.sleep(0.1)
    informed.returns.observe(2, "store")
    await asyncio.sleep(KNOWN_SECONDS if not loss else KNOWN_SECONDS_WITH_LOSS)
    assert {each.epoch for each in daemons} == {2}
    assert all(each.keeps_all for each in daemons if each is not informed)
    return daemons


@pytest.mark.parametrize(
    ("size", "loss"), [(9, 0.0), (9, 0.1), (67, 0.0), (67, 0.1), (195, 0.1)]
)
def test_the_whole_fleet_keeps_what_one_daemon_knew(size, loss):
    """One daemon had read the last changes before the store lost them."""

    async def scenario(fleet):
        await inform_one(fleet, loss)

    run_scenario(size, scenario)


def test_a_fleet_does_not_keep_entries_alive():
    """Guards against a domain that stays out since daemons send it back and forth."""

    async def scenario(fleet):
        daemons = await inform_one(fleet)
        for each in daemons:
            each.read(25, epoch=2)
        assert all(each.operator.domains_out for each in daemons)
        loop = asyncio.get_running_loop()
        until = loop.time() + RETAIN_DOMAIN_SECONDS + 2.0
        while loop.time() < until:
            await asyncio.sleep(0.3)
            for each in daemons:
                each.operator.expire(loop.time())
        assert not any(each.operator.domains_out for each in daemons)

    run_scenario(9, scenario)

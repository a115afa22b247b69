"""The link to the other daemons on an event loop that is late."""

import asyncio
import socket
import time

import pytest
from gateway_fleet import free_ports

from cranberrywick.bench.simulated_network import SimulatedDaemon, SimulatedNetwork
from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.fleet_link import FleetLink
from cranberrywick.gateway.messages import PermitResponse, encode_message
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog
from cranberrywick.routing.fleet_limits import Permit

MESSAGES = 60
# How long each turn of the late loop takes, in seconds, and how many there are.
TURN_SECONDS, TURNS = 0.05, 10
# The age of a reading as a peer sends it, and for how long a loop stands still, in
# seconds.
READ_SECONDS, LATE_SECONDS = 0.1, 1.0


def test_a_late_loop_hears_what_its_peers_have_sent():
    """Guards against peers' messages that wait for one turn of the loop each."""

    async def main() -> int:
        received = []
        loop = asyncio.get_running_loop()
        link = FleetLink(
            lambda envelope, source: received.append(envelope), None, EventLog()
        )
        (port,) = free_ports(1)
        await link.start("127.0.0.1", port)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            for number in range(MESSAGES):
                message = PermitResponse(number, Permit(True, 0.0, 0.0))
                peer.sendto(encode_message(message, loop.time()), ("127.0.0.1", port))
        for _ in range(TURNS):
            time.sleep(TURN_SECONDS)
            await asyncio.sleep(0)
        link.close()
        return len(received)

    assert asyncio.run(main()) == MESSAGES


@pytest.mark.parametrize("sees_event", [False, True])
def test_a_reading_that_waited_for_a_late_loop_is_as_old_as_that(sees_event):
    """Guards against work for endpoints that left while a loop was late."""

    async def main() -> float:
        loop = asyncio.get_running_loop()
        daemon = SimulatedDaemon(SimulatedNetwork(), "d1", "fd-a")
        link = FleetLink(daemon.peer_updates._receive, None, EventLog())
        (port,) = free_ports(1)
        await link.start("127.0.0.1", port)
        ticker = Ticker(EventLog())
        await daemon.peer_updates.start(ticker)
        await asyncio.sleep(0.5)
        reading = EndpointSnapshot(revision=1, age=READ_SECONDS, digest=1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.sendto(encode_message(reading, loop.time()), ("127.0.0.1", port))
        time.sleep(LATE_SECONDS)
        if sees_event:  # That of a stream, in the same turn and before the reading.
            ticker.running_since(loop.time(), loop.time())
        await asyncio.sleep(0.05)
        ticker.stop()
        link.close()
        (received,) = daemon.snapshots
        return received.age

    assert asyncio.run(main()) >= READ_SECONDS + LATE_SECONDS


def test_a_daemon_hears_its_peers_when_it_checks_them():
    """Guards against peers that count as silent since other sockets were read first."""

    async def main() -> int:
        loop = asyncio.get_running_loop()
        daemon = SimulatedDaemon(SimulatedNetwork(), "d1", "fd-a")
        link = FleetLink(daemon.peer_updates._receive, None, EventLog())
        (port,) = free_ports(1)
        await link.start("127.0.0.1", port)
        daemon.peer_updates.link = link
        reading = EndpointSnapshot(revision=1, age=READ_SECONDS, digest=1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.sendto(encode_message(reading, loop.time()), ("127.0.0.1", port))
        daemon.peer_updates._check_members()
        link.close()
        return len(daemon.snapshots)

    assert asyncio.run(main()) == 1


def test_a_message_after_the_close_is_dropped():
    """Guards against errors in the log of a sound stop, for heartbeats after it."""

    async def main() -> list[dict]:
        failures = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        link = FleetLink(lambda envelope, source: None, None, EventLog())
        (port,) = free_ports(1)
        await link.start("127.0.0.1", port)
        link.close()
        for _ in range(3):
            link.send(PermitResponse(1, Permit(True, 0.0, 0.0)), [f"127.0.0.1:{port}"])
            await asyncio.sleep(0.01)
        return failures

    assert asyncio.run(main()) == []

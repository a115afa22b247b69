"""The link to the other daemons on an event loop that is late."""

import asyncio
import socket
import time

from gateway_fleet import free_ports

from cranberrywick.gateway.fleet_link import FleetLink
from cranberrywick.gateway.messages import PermitResponse, encode_message
from cranberrywick.logs import EventLog
from cranberrywick.routing.fleet_limits import Permit

MESSAGES = 60
# How long each turn of the late loop takes, in seconds, and how many there are.
TURN_SECONDS, TURNS = 0.05, 10


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

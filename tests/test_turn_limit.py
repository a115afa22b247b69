"""Connections of callers on an event loop whose turns have a bound."""

import asyncio
import random
import selectors
import socket
import time
from collections import Counter

import pytest
from gateway_fleet import read_answer

from cranberrywick.gateway.http_request import DEFAULT_LIMITS
from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.turn_limit import EVENTS_PER_TURN, new_event_loop

CALLERS = 3 * EVENTS_PER_TURN
HEAD = b"GET / HTTP/1.1\r\n", b"Host: h\r\n\r\n"
# How long the event loop of the test waits for a caller, and for how long it stands
# still, in seconds.
WAIT_SECONDS, LATE_SECONDS = 0.5, 0.8


@pytest.mark.parametrize("sent_before", [0, 1])
def test_what_comes_while_the_loop_is_late_has_come_in_time(sent_before):
    """Guards against 408 and closes by timers that fire before sockets are read."""
    limits = DEFAULT_LIMITS._replace(
        header_seconds=WAIT_SECONDS, idle_seconds=WAIT_SECONDS
    )

    async def answer(request, caller):
        await caller.answer(200, [], b"ok")

    async def main() -> list[socket.socket]:
        ingress = Ingress(answer, lambda: limits)
        await ingress.start("127.0.0.1:0")
        host, _, port = ingress.address.rpartition(":")
        callers = [socket.create_connection((host, int(port))) for _ in range(CALLERS)]
        while len(ingress.connections) < CALLERS:
            await asyncio.sleep(0)
        for caller in callers:
            caller.sendall(b"".join(HEAD[:sent_before]))
        await asyncio.sleep(WAIT_SECONDS / 10)
        for caller in callers:
            caller.sendall(b"".join(HEAD[sent_before:]))
        time.sleep(LATE_SECONDS)
        await asyncio.sleep(WAIT_SECONDS / 2)
        return callers

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        callers = runner.run(main())
        statuses = Counter()
        for caller in callers:
            with caller:
                statuses[_status(caller)] += 1
    assert statuses == {200: CALLERS}


def test_a_socket_waits_for_no_more_turns_than_others_fill():
    """Guards against signals and peers that wait while other sockets come twice."""
    loop = new_event_loop()
    selector, rng = loop._selector, random.Random(1)
    pairs = [socket.socketpair() for _ in range(CALLERS)]
    for reader, _ in pairs:
        selector.register(reader, selectors.EVENT_READ)
    waits = dict.fromkeys((reader for reader, _ in pairs), 0)
    longest = 0
    for _ in range(2000):
        for reader, writer in rng.sample(pairs, rng.randint(CALLERS // 2, CALLERS)):
            if not waits[reader]:
                writer.send(b"x")
                waits[reader] = 1
        for key, _ in selector.select(0):
            longest = max(longest, waits[key.fileobj])
            key.fileobj.recv(1)
            waits[key.fileobj] = 0
        for reader in waits:
            waits[reader] += bool(waits[reader])
    for reader, writer in pairs:
        selector.unregister(reader)
        reader.close()
        writer.close()
    loop.close()
    assert longest <= CALLERS / EVENTS_PER_TURN


def _status(caller: socket.socket) -> int:
    try:
        return read_answer(caller).status
    except OSError:
        return 0

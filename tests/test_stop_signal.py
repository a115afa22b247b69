"""The moment at which a daemon's signal to stop came.

Guards against a moment that is that at which a busy daemon gets to the signal.
"""

import asyncio
import os
import signal
import socket
import threading
import time

import pytest

from cranberrywick.gateway.stop_signal import StopSignal
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.gateway.turn_limit import EVENTS_PER_TURN, new_event_loop
from cranberrywick.logs import EventLog

BUSY_SECONDS = 0.6


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_within_a_long_turn_of_the_loop_came_then(number):
    """Guards against a busy loop that is taken for a suspended process."""

    async def main():
        loop = asyncio.get_running_loop()
        stop_signal = StopSignal(Ticker(EventLog()))
        calls = []
        stop_signal.listen(lambda: calls.append(loop.time()))
        sent_at = []

        def send():
            sent_at.append(time.monotonic())
            os.kill(os.getpid(), number)

        sender = threading.Timer(BUSY_SECONDS / 3, send)
        sender.start()
        until = time.monotonic() + BUSY_SECONDS
        while time.monotonic() < until:
            sum(range(1000))
        sender.join()
        assert not calls
        os.kill(os.getpid(), number)  # Only the first one counts.
        await asyncio.sleep(0.01)
        assert calls
        moment = stop_signal.moment()
        assert moment == stop_signal.moment()
        assert moment.earliest <= moment.latest
        assert sent_at[0] <= moment.latest < sent_at[0] + BUSY_SECONDS / 3

    asyncio.run(main())


def test_a_signal_does_not_wait_for_the_sockets_that_are_ready():
    """Guards against a stop that begins when a burst of requests has been served."""

    async def main():
        loop = asyncio.get_running_loop()
        stop_signal = StopSignal(Ticker(EventLog()))
        served, served_before = [], []
        stop_signal.listen(lambda: served_before.append(len(served)))
        pairs = [socket.socketpair() for _ in range(10 * EVENTS_PER_TURN)]

        def serve(ready):
            if not served:
                os.kill(os.getpid(), signal.SIGTERM)
            served.append(ready.recv(1))

        for ready, peer in pairs:
            peer.send(b"1")
            loop.add_reader(ready, serve, ready)
        while len(served) < len(pairs):
            await asyncio.sleep(0)
        for ready, peer in pairs:
            loop.remove_reader(ready)
            ready.close()
            peer.close()
        return served_before

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        (served_before,) = runner.run(main())
    assert served_before <= 2 * EVENTS_PER_TURN


def test_a_signal_as_the_event_loop_is_closed_raises_nothing():
    """Guards against a failure as a signal is repeated at the end of a process."""

    async def main():
        StopSignal(Ticker(EventLog())).listen(lambda: None)
        return signal.getsignal(signal.SIGTERM)

    handle = asyncio.run(main())
    handle(signal.SIGTERM, None)

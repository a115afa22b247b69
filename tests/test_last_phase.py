"""The last moments of a stopping daemon, whose event loop may lag."""

import asyncio
import socket
import time

import pytest

from cranberrywick.gateway.buffer_budget import BodyRefusal
from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.last_phase import COVERED_SECONDS, LastPhase
from cranberrywick.gateway.turn_limit import EVENTS_PER_TURN, new_event_loop
from cranberrywick.logs import EventLog
from cranberrywick.routing.drain_window import DrainWindow

REQUEST = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
HALF_REQUEST = b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123"


class Lag:
    expected_timer_seconds = expected_turn_seconds = 0.0


class Refuser:
    """Counts what is refused."""

    refused = 0

    def refuse_late(self, headers):
        self.refused += 1
        return BodyRefusal([(b"Retry-After", b"1")], b"refused")


def play(scene):
    """Run a scene with an ingress that serves nothing in time, and its last phase."""

    async def main():
        async def handle(request, caller):
            await asyncio.sleep(0.2)
            await caller.answer(200, [], b"served")

        ingress, refuser, lag = Ingress(handle), Refuser(), Lag()
        await ingress.start("127.0.0.1:0")
        now = asyncio.get_running_loop().time()
        window = DrainWindow(now + 100.0, now + 100.25)
        phase = LastPhase(
            ((ingress, refuser),), lag, window, lambda step: step(), EventLog()
        )
        return await scene(ingress, phase, lag, window)

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main())


def connect(ingress):
    host, _, port = ingress.address.rpartition(":")
    caller = socket.create_connection((host, int(port)), 5.0)
    return caller


def read_all(caller):
    """Return what a caller receives until its connection is closed."""
    data = b""
    while part := caller.recv(65536):
        data += part
    return data


def test_all_that_was_sent_is_refused_as_the_intake_ends():
    """Guards against requests that were sent, and are reset as a daemon ends."""

    async def scene(ingress, phase, lag, window):
        kept, idle = connect(ingress), connect(ingress)
        while len(ingress.connections) < 2:
            await asyncio.sleep(0.01)
        # The event loop reads and accepts nothing meanwhile.
        waiting = [connect(ingress) for _ in range(40)]
        unsent, half = connect(ingress), connect(ingress)
        half.sendall(HALF_REQUEST)
        for caller in (kept, *waiting):
            caller.sendall(REQUEST)
        assert ingress.waiting == 42
        phase.end_intake()
        await asyncio.sleep(0.01)
        for caller in (kept, half, *waiting):
            assert read_all(caller).startswith(b"HTTP/1.1 503")
        assert read_all(idle) == read_all(unsent) == b""
        with pytest.raises(ConnectionRefusedError):
            address = kept.getpeername()
            socket.create_connection(address, 5.0)

    play(scene)


def test_what_has_come_since_the_last_look_is_refused():
    """Guards against requests that are reset since a process stood still meanwhile."""

    async def scene(ingress, phase, lag, window):
        kept, idle = connect(ingress), connect(ingress)
        while len(ingress.connections) < 2:
            await asyncio.sleep(0.01)
        ingress.stop_listening()
        assert not ingress.unread
        kept.sendall(REQUEST)
        phase.refuse_rest()
        ingress.close()
        for caller in (kept, idle):
            caller.settimeout(0.5)
        assert read_all(idle) == b""
        await asyncio.sleep(0.01)
        assert read_all(kept).startswith(b"HTTP/1.1 503")

    play(scene)


@pytest.mark.parametrize("step", ["end_intake", "close_if_idle"])
def test_callers_see_at_once_that_an_idle_connection_is_closed(step):
    """Guards against requests that are sent until a late loop closes the socket."""

    async def scene(ingress, phase, lag, window):
        caller = connect(ingress)
        while not ingress.connections:
            await asyncio.sleep(0.01)
        (connection,) = ingress.connections
        getattr(connection, step)()
        # The event loop goes on only after that.
        caller.settimeout(0.5)
        assert caller.recv(1) == b""

    play(scene)


def test_a_request_that_is_served_goes_on_and_those_behind_it_are_refused():
    """Guards against answers cut by the end of the intake, and pipelined requests."""

    async def scene(ingress, phase, lag, window):
        caller = connect(ingress)
        caller.sendall(3 * REQUEST)
        while not ingress.tasks:
            await asyncio.sleep(0.01)
        phase.end_intake()
        await asyncio.sleep(0.3)
        answers = read_all(caller)
        assert answers.count(b"HTTP/1.1 200") == 1
        assert answers.count(b"HTTP/1.1 503") == 2
        assert answers.count(b"onnection: close") == 1

    play(scene)


def test_a_turn_that_takes_too_long_serves_nothing_that_is_late():
    """Guards against requests that are taken in late since a timer is."""

    async def scene(ingress, phase, lag, window):
        caller = connect(ingress)
        while not ingress.connections:
            await asyncio.sleep(0.01)
        # It counts for two seconds only.
        lag.expected_timer_seconds = 99.9 + COVERED_SECONDS
        assert phase.refuse_from() == pytest.approx(window.answer_by - 2.0)
        (refuser,) = [each for _, each in phase._refusers]
        moment = asyncio.get_running_loop().time() + 0.05
        ingress.refuse_from(moment, refuser.refuse_late, phase.end_intake)
        caller.sendall(REQUEST)
        time.sleep(0.1)  # Timers are late.
        await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        assert not ingress.tasks and refuser.refused == 1
        assert read_all(caller).startswith(b"HTTP/1.1 503")
        assert phase.refuse_from() < 0

    play(scene)


def test_the_intake_ends_by_itself():
    """Guards against an end that waits for a task of a loop that lags."""

    async def scene(ingress, phase, lag, window):
        caller = connect(ingress)
        window = window._replace(answer_by=asyncio.get_running_loop().time() + 0.05)
        (each,) = phase._refusers
        phase = LastPhase((each,), lag, window, lambda step: step(), EventLog())
        phase.refuse_from()
        await asyncio.sleep(0.1)
        assert read_all(caller) == b""

    play(scene)


def test_the_end_begins_earlier_by_the_lag_and_the_work():
    """Guards against a window that holds for an event loop in time only."""

    async def scene(ingress, phase, lag, window):
        assert phase.refuse_from() == phase.answer_by(1000) == window.answer_by
        lag.expected_timer_seconds, lag.expected_turn_seconds = 0.3, 0.1
        earlier = 0.3 - COVERED_SECONDS
        assert phase.refuse_from() == pytest.approx(window.answer_by - earlier)
        turn = phase.answer_by(EVENTS_PER_TURN)
        assert turn == pytest.approx(window.answer_by - earlier - 0.1)
        assert phase.close_at() == window.close_at


def test_connections_that_are_accepted_to_be_refused_are_not_idle():
    """Guards against a stop that ends before the last of them has its refusal."""

    async def scene(ingress, phase, lag, window):
        with connect(ingress) as caller:
            caller.sendall(REQUEST)
            while not ingress.waiting:
                time.sleep(0.001)
            ingress.accept_waiting()
            ingress.stop_listening()
            assert ingress.unread == 1
            for step in ingress.intake_steps():
                step()
            assert ingress.unread == 0

    play(scene)


def test_each_ready_socket_gets_its_turn():
    """Guards against sockets that are never handled beside many busy ones."""

    async def main():
        loop = asyncio.get_running_loop()
        pairs = [socket.socketpair() for _ in range(3 * EVENTS_PER_TURN)]
        handled, turns = [], []

        def handle(number):
            handled.append(number)  # It stays ready.

        for number, (ours, theirs) in enumerate(pairs):
            theirs.send(b"1")
            loop.add_reader(ours, handle, number)
        for _ in range(4):
            before = len(handled)
            await asyncio.sleep(0)
            turns.append(len(handled) - before)
        for ours, theirs in pairs:
            loop.remove_reader(ours)
            ours.close()
            theirs.close()
        assert max(turns) == EVENTS_PER_TURN
        assert len(set(handled)) == len(pairs)

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(main())

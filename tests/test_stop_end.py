"""The last moments of a gateway that is told to stop, and what callers send in them.

Guards against requests that are read, and run at an endpoint, while the gateway closes
their connections.
"""

import asyncio
import io
import signal
import socket
import threading
import time
from contextlib import contextmanager
from itertools import count

import pytest
from cut_scenes import make_unreached
from gateway_fleet import read_answer, request_bytes, wait_for
from stopping_fleet import (
    DEADLINE,
    GRACE_SECONDS,
    Caller,
    peer_outcomes,
    running_stopping_fleet,
)

from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.loop_lag import LoopLag
from cranberrywick.gateway.served_requests import ServedRequests
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.http_server import HttpServer
from cranberrywick.logs import EventLog, make_handler

WORK_SECONDS = 0.005
# Pauses between two requests of a caller, in seconds. A gateway ends when it has been
# without requests for some looks, 20 ms apart.
PAUSES = (0.058, 0.062, 0.066, 0.07, 0.074, 0.078, 0.082, 0.086)
# Before and after it a gateway ends that has no requests, in seconds from the signal.
FIRST_SECONDS, LAST_SECONDS = 2.6, 8.0
# A request without an answer by then is lost, also if nobody ran it, in seconds.
LOSS_SECONDS = 0.2
# Gateways that get a call as they are about to end without requests, and the pause
# between their signals, in seconds. Connections are closed at `CLOSE_AT_SECONDS`.
LATE_GATEWAYS, LATE_GAP_SECONDS = 6, 0.1
CLOSE_AT_SECONDS = 7.6
READ_REQUEST = b"GET /resolve HTTP/1.1\r\nHost: h\r\n\r\n"


class Sender:
    """A caller that sends requests to one gateway until this is gone.

    ``lost`` has the ids of the requests that were lost, ``sent`` how many there were.
    """

    def __init__(self, fleet, gateway, pause, keeps=True, prefix="books", split=0.0):
        self.fleet, self.gateway, self.pause = fleet, gateway, pause
        self.keeps, self.prefix, self.split = keeps, prefix, split
        self.lost, self.sent, self.refused = [], 0, 0
        self._connection = None

    def run(self, first, last):
        time.sleep(max(0.0, first - time.monotonic()))
        while time.monotonic() < last:
            began = time.monotonic()
            try:
                if self._connection is None:
                    self._connection = self.fleet.connect(self.gateway)
            except OSError:
                break  # The gateway is gone.
            if not self.send(began):
                self._connection.close()
                self._connection = None
            time.sleep(max(0.0, self.pause - (time.monotonic() - began)))

    def send(self, began):
        """Send a request; return whether the connection can be used again."""
        request_id = self.fleet.new_id()
        target = f"/{self.prefix}/1"
        data = request_bytes("POST", target, b"", DEADLINE, request_id)
        self.sent += 1
        try:
            if self.split:
                self._connection.sendall(data[:30])
                time.sleep(self.split)
                began = time.monotonic()
                data = data[30:]
            self._connection.sendall(data)
            answer = read_answer(self._connection)
            is_whole = bool(answer.status) and answer.whole
            self.refused += answer.status == 503
        except OSError:
            is_whole = False
        if not is_whole:
            ended = time.monotonic()
            # An endpoint may read it a moment later.
            time.sleep(0.05)
            if self.fleet.runs(request_id) or ended - began > LOSS_SECONDS:
                self.lost.append(request_id)
            return False
        return self.keeps and answer.headers.get("connection") != "close"


@contextmanager
def stopping_gateways(path, number):
    """Run gateways before a quick endpoint with many slots."""
    with running_stopping_fleet(path, gateways=number, slots=32) as fleet:
        fleet.endpoints["desk-1"].work_seconds = WORK_SECONDS
        yield fleet


def run_senders(fleet, senders, number=signal.SIGTERM):
    """Stop all gateways while callers send; return what was lost."""
    stopped = {sender.gateway.name: sender.gateway for sender in senders}
    signalled_at = [fleet.stop(gateway, number) for gateway in stopped.values()][0]
    moments = signalled_at + FIRST_SECONDS, signalled_at + LAST_SECONDS
    threads = [threading.Thread(target=each.run, args=moments) for each in senders]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for gateway in stopped.values():
        assert gateway.process.wait(GRACE_SECONDS) == 0
    assert sum(each.sent for each in senders) > 3 * len(senders)
    return [lost for each in senders for lost in each.lost]


@pytest.mark.parametrize("keeps", [True, False])
def test_what_comes_at_the_last_look_is_answered(tmp_path, keeps):
    """Guards against requests that are passed on while the gateway closes."""
    with stopping_gateways(tmp_path, len(PAUSES)) as fleet:
        senders = [
            Sender(fleet, gateway, pause, keeps)
            for gateway, pause in zip(fleet.gateways, PAUSES, strict=True)
        ]
        assert run_senders(fleet, senders) == []


def test_requests_whose_head_comes_in_two_parts_are_answered(tmp_path):
    """Guards against requests that are half read when the gateway closes."""
    with stopping_gateways(tmp_path, len(PAUSES)) as fleet:
        senders = [
            Sender(fleet, gateway, pause, split=0.04)
            for gateway, pause in zip(fleet.gateways, PAUSES, strict=True)
        ]
        assert run_senders(fleet, senders) == []


def test_what_a_peer_forwards_at_the_last_look_is_answered(tmp_path):
    """Guards against requests of peers that are passed on while the gateway closes."""
    with stopping_gateways(tmp_path, 2) as fleet:
        cut, peer = fleet.gateways
        make_unreached(fleet, cut)
        senders = [Sender(fleet, cut, pause) for pause in PAUSES[::4]]
        fleet.stop(peer)
        time.sleep(1.0)
        assert run_senders(fleet, senders) == []
        assert peer.process.wait(GRACE_SECONDS) == 0
        assert "daemon_stopped" not in peer_outcomes(peer)


def test_a_gateway_that_never_falls_idle_answers_all_that_it_has_read(tmp_path):
    """Guards against requests that are read just before the end of the grace period."""
    with stopping_gateways(tmp_path, 2) as fleet:
        senders = [
            Sender(fleet, gateway, pause, keeps)
            for gateway in fleet.gateways
            for pause in (0.0, 0.001, 0.003)
            for keeps in (True, False)
        ]
        assert run_senders(fleet, senders) == []
        assert sum(each.refused for each in senders) > 0


def test_a_late_call_without_an_answer_gets_its_error_before_the_close(tmp_path):
    """Guards against errors of the end that are due once, and not for later calls."""
    with stopping_gateways(tmp_path, LATE_GATEWAYS) as fleet:
        for gateway in fleet.gateways:
            for _ in range(20):  # They show that calls are short.
                fleet.call(gateway, "POST", "/books/1", headers=DEADLINE)
        connections = [fleet.connect(gateway) for gateway in fleet.gateways]
        signalled_at = []
        for gateway in fleet.gateways:
            signalled_at.append(fleet.stop(gateway))
            time.sleep(LATE_GAP_SECONDS)
        fleet.endpoints["desk-1"].work_seconds = 30.0
        callers = []
        for gateway, connection in zip(fleet.gateways, connections, strict=True):
            fleet.wait_until_unlistening(gateway)
            request_id = fleet.new_id()
            data = request_bytes("POST", "/books/1", b"", DEADLINE, request_id)
            callers.append(Caller(connection, request_id, data))
        answers = [caller.answer() for caller in callers]
        # The others come after the close.
        assert sum(fleet.runs(caller.request_id) for caller in callers) >= 1
        for caller, answer, at in zip(callers, answers, signalled_at, strict=True):
            if fleet.runs(caller.request_id):
                assert answer.status == 502 and answer.whole
                assert caller.ended_at - at < CLOSE_AT_SECONDS


def test_what_the_kernel_has_counts_as_unread():
    """Guards against connections that are closed before their requests are read."""

    async def handle(request, caller):
        await caller.answer(200, [], b"")

    async def main():
        ingress = Ingress(handle)
        await ingress.start("127.0.0.1:0")
        host, _, port = ingress.address.rpartition(":")
        assert not ingress.unread
        with socket.create_connection((host, int(port))) as caller:
            assert ingress.unread  # It has not been accepted.
            while not ingress.connections:
                await asyncio.sleep(0)
            await asyncio.sleep(0.01)
            assert not ingress.unread
            caller.sendall(b"GET / HTTP/1.1\r\n")
            assert ingress.unread
            await asyncio.sleep(0.01)
            # A half read head is a request that is being read.
            assert not ingress.unread and ingress.busy
            caller.sendall(b"Host: h\r\n\r\n")
            assert ingress.unread
            await asyncio.sleep(0.01)
            assert not ingress.unread and not ingress.busy
            assert caller.recv(100).startswith(b"HTTP/1.1 200")
            caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            ingress.close()
            await asyncio.sleep(0.01)
            assert not ingress.tasks

    asyncio.run(main())


def test_what_a_close_leaves_unread_and_unsent_is_logged():
    """Guards against lost answers whose cause the log doesn't tell."""
    stream = io.StringIO()

    async def handle(request, caller):
        await caller.answer(200, [], b"." * 10_000_000)

    async def main():
        ingress = Ingress(handle)
        await ingress.start("127.0.0.1:0")
        host, _, port = ingress.address.rpartition(":")
        with (
            socket.create_connection((host, int(port))) as slow,
            socket.create_connection((host, int(port))) as late,
        ):
            slow.sendall(READ_REQUEST)
            while len(ingress.connections) < 2 or not ingress.unsent:
                await asyncio.sleep(0)
            late.sendall(READ_REQUEST)
            ServedRequests(
                (ingress,), LoopLag(Ticker(EventLog())), EventLog()
            ).record_end(0)
            ingress.close()

    with make_handler("info", stream).applicationbound():
        asyncio.run(main())
    assert "busy=1 unanswered=0 unread=1 unsent=1" in stream.getvalue()


@pytest.mark.parametrize("earlier", [0, 1])
def test_what_an_internal_address_has_read_is_answered(earlier):
    """Guards against answers of the directory that are dropped as the gateway closes.

    The connection is a new one, or one that is kept.
    """

    async def run():
        begun = asyncio.Event()

        async def answer_later(request, caller):
            begun.set()
            await asyncio.sleep(WORK_SECONDS)
            await caller.answer(200, [], b"whole")

        ingress = Ingress(answer_later)
        await ingress.start("127.0.0.1:0")
        reader, writer = await asyncio.open_connection(*ingress.address.split(":"))
        for _ in range(earlier):
            writer.write(READ_REQUEST)
            assert (await reader.readuntil(b"whole")).startswith(b"HTTP/1.1 200")
        begun.clear()
        writer.write(READ_REQUEST)
        await begun.wait()
        ingress.drain()
        ingress.close()
        await asyncio.wait(ingress.tasks)
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"whole")
        writer.close()

    asyncio.run(run())


@pytest.mark.parametrize("pause", [0.002, 0.02])
def test_a_stopping_server_answers_all_that_it_has_read(pause):
    """Guards against requests that ``serve`` reads just before it closes."""
    served = []

    def application(environ, start_response):
        served.append(environ["PATH_INFO"])
        time.sleep(0.002)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = HttpServer(application, "127.0.0.1:0", threads=8)
    server.start()
    host, _, port = server.address.rpartition(":")
    answered = []

    def send(number):
        with socket.create_connection((host, int(port))) as caller:
            caller.settimeout(5.0)
            try:
                for step in count():
                    path = f"/{number}-{step}"
                    caller.sendall(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
                    if not read_answer(caller).whole:
                        return
                    answered.append(path)
                    time.sleep(pause)
            except OSError:
                pass  # The server has closed the connection.

    callers = [threading.Thread(target=send, args=(n,)) for n in range(8)]
    for caller in callers:
        caller.start()
    time.sleep(0.2)
    server.stop_accepting()
    server.wait_until_idle(1.0)
    server.stop()
    for caller in callers:
        caller.join()
    assert len(answered) > 50
    assert sorted(served) == sorted(answered)


def test_requests_that_a_server_has_read_at_its_end_are_answered():
    """Guards against requests that ``serve`` has read and drops, as its threads end."""

    def application(environ, start_response):
        time.sleep(0.1)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = HttpServer(application, "127.0.0.1:0", threads=1)
    server.start()
    host, _, port = server.address.rpartition(":")
    callers = [socket.create_connection((host, int(port))) for _ in range(3)]
    for caller in callers:
        caller.settimeout(5.0)
    connections = server._server.active_channels
    wait_for(lambda: len(connections) == 3, "the connections")
    server.stop_accepting()
    assert server.wait_until_idle(1.0)
    for caller in callers:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    wait_for(lambda: all(c.requests for c in connections.values()), "the requests")
    server.stop()
    answers = [read_answer(caller) for caller in callers]
    assert [(each.status, each.whole) for each in answers] == [(200, True)] * 3


def test_a_failing_connection_leaves_a_server_to_the_others():
    """Guards against a server whose loop ends as one connection fails."""

    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = HttpServer(application, "127.0.0.1:0", threads=2)
    server.start()
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port))) as failing:
        failing.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert read_answer(failing).status == 200
        (channel,) = server._server.active_channels.values()
        failures = [RuntimeError("readable fails")]

        def readable():
            if failures:
                raise failures.pop()
            return False

        channel.readable = readable
        server._server.pull_trigger()
        wait_for(lambda: not failures, "the failure")
        with socket.create_connection((host, int(port))) as other:
            other.settimeout(5.0)
            other.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            assert read_answer(other).status == 200
    server.stop()

"""The last turn of the loop of a ``serve`` that is told to stop."""

import socket
import threading
import time
from types import SimpleNamespace

from gateway_fleet import read_answer, wait_for

from cranberrywick.daemon import Daemon
from cranberrywick.http_server import LAST_ANSWERS_SECONDS, POLL_SECONDS, HttpServer
from cranberrywick.logs import EventLog

CALLERS = 3
# How long each read and each request take, in seconds.
READ_SECONDS, WORK_SECONDS = 0.01, 0.1
# How long a call takes that outlasts the last answers of a stop, in seconds.
LONG_WORK_SECONDS = 1.0 + POLL_SECONDS + LAST_ANSWERS_SECONDS


def test_what_is_read_in_the_turn_that_ends_reading_is_answered(monkeypatch):
    """Guards against requests that are read after the last look, and dropped."""

    def application(environ, start_response):
        time.sleep(WORK_SECONDS)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = HttpServer(application, "127.0.0.1:0", threads=1)
    server.start()
    host, _, port = server.address.rpartition(":")
    callers = [socket.create_connection((host, int(port))) for _ in range(CALLERS)]
    channels = server._server.active_channels
    wait_for(lambda: len(channels) == CALLERS, "the connections")
    server.stop_accepting()
    assert server.wait_until_idle(1.0)

    def read_slowly(read):
        time.sleep(READ_SECONDS)
        read()

    for channel in channels.values():
        read = channel.handle_read
        monkeypatch.setattr(channel, "handle_read", lambda read=read: read_slowly(read))
    # One poll finds the requests and the end of reading.
    is_held, goes_on = threading.Event(), threading.Event()
    channel = next(iter(channels.values()))
    is_readable = channel.readable

    def hold():
        is_held.set()
        goes_on.wait(1.0)
        return is_readable()

    monkeypatch.setattr(channel, "readable", hold)
    server._server.pull_trigger()
    is_held.wait()
    for caller in callers:
        caller.settimeout(5.0)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    threading.Timer(0.1, goes_on.set).start()
    server.stop()
    answered = []
    for caller in callers:
        with caller:
            try:
                answered.append(read_answer(caller).status)
            except OSError:
                answered.append(0)
    assert answered == [200] * CALLERS


def test_what_is_read_after_the_last_look_of_a_drain_is_answered(monkeypatch):
    """Guards against calls that a daemon cuts half a second after their dispatch."""

    def application(environ, start_response):
        time.sleep(LONG_WORK_SECONDS)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = HttpServer(application, "127.0.0.1:0", threads=1)
    server.start()
    host, _, port = server.address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    wait_for(lambda: server._server.active_channels, "the connection")
    look = server.wait_until_idle

    def send_after_look(seconds):
        is_idle = look(seconds)
        monkeypatch.setattr(server, "wait_until_idle", look)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        wait_for(lambda: server._n_running, "the request to be read")
        return is_idle

    monkeypatch.setattr(server, "wait_until_idle", send_after_look)
    daemon = SimpleNamespace(
        _server=server,
        _peers=SimpleNamespace(leave=lambda: None),
        _log=EventLog(),
        _drain_wait=0.0,
    )
    Daemon.drain(daemon)
    server.stop()
    with caller:
        assert read_answer(caller).status == 200

"""The relay between a real HTTP front and an engine, with failures of either side.

Guards against streams whose events are lost, repeated or mixed up, or that pass for
complete, because the engine's connection broke or the engine sent wrong events. Also
guards against a caller that hangs up or doesn't read and so keeps the engine busy or
holds up other streams, and against one stream's fault that ends the relay.
"""

import contextlib
import json
import socket
import threading
import time

import pytest

from cranberrywick.endpoints.client import Call, send
from cranberrywick.endpoints.events import error_event
from cranberrywick.endpoints.relay import Relay
from cranberrywick.errors import CranberrywickError
from cranberrywick.http_limits import create_http_server
from cranberrywick.standin import engine

WAIT_SECONDS = 20.0
EVENT_BYTES = 140  # smallest size of one of the engine's events


def wait_until(condition):
    """Poll until a condition holds; fail after `WAIT_SECONDS`."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "the condition never came true"
        time.sleep(0.01)


class Front:
    """An HTTP server that forwards each request's stream through a relay.

    ``outcomes`` lists how requests ended: ``completed`` or the type of an error.
    """

    def __init__(self, engine_address, remaining_seconds=WAIT_SECONDS, **settings):
        self.engine_address = engine_address
        self.remaining_seconds = remaining_seconds
        self.outcomes = []
        self.gaps = []
        self.fail_next_gap = False
        self.last_events_by_id = {}
        self.relay = Relay()
        self.relay.start()
        self.server = create_http_server(
            self.serve, "127.0.0.1:0", threads=16, **settings
        )
        threading.Thread(target=self.server.run, daemon=True).start()

    def serve(self, environ, start_response):
        disconnected = environ["waitress.client_disconnected"]
        body = environ["wsgi.input"].read()
        call = Call(
            request_id=environ["HTTP_X_REQUEST_ID"],
            attempt=1,
            method="POST",
            path="/v1/chat/completions",
            body=body,
            headers={},
            remaining_seconds=self.remaining_seconds,
            idempotent=True,
            stream=True,
            disconnected=disconnected,
        )
        write = start_response("200 OK", [("Content-Type", "text/event-stream")])
        answer = None
        try:
            answer = send(self.engine_address, call)
            self.relay.pump(answer, write, disconnected, on_gap=self.record_gap)
            self.outcomes.append("completed")
        except CranberrywickError as failure:
            self.outcomes.append(failure.type)
            if failure.type != "caller_gone":
                write(error_event(failure, call.request_id))
        finally:
            if answer is not None:
                self.last_events_by_id[call.request_id] = answer.check.last_event
                answer.close()
        return []

    def record_gap(self, seconds):
        self.gaps.append(seconds)
        if self.fail_next_gap:
            self.fail_next_gap = False
            raise KeyError("a fault in the daemon")

    def open(self, request_id, tokens, prompt="a short prompt", reads_answer=True):
        """Connect, send a streamed request and return the socket."""
        body = {"stream": True, "max_tokens": tokens}
        messages = [{"role": "user", "content": prompt}]
        payload = json.dumps({**body, "messages": messages}).encode()
        sock = socket.socket()
        if not reads_answer:
            # The kernel raises 1 to its smallest buffer, which then fills up early.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        sock.settimeout(WAIT_SECONDS)
        sock.connect(("127.0.0.1", int(self.server.effective_port)))
        head = f"POST / HTTP/1.0\r\nX-Request-Id: {request_id}\r\n"
        sock.sendall(f"{head}Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
        return sock

    def stop(self):
        self.relay.stop()
        self.server.task_dispatcher.shutdown(timeout=1)
        self.server.close()


@pytest.fixture
def make_front():
    running = []

    def make(decode_rate=1000.0, prefill_rate=1e6, **settings):
        source = engine.start(
            engine.EngineSettings(
                decode_tokens_per_second=decode_rate,
                prefill_tokens_per_second=prefill_rate,
                linger_seconds=1000.0,
                cache_tokens=10**9,
            )
        )
        front = Front(source.address, **settings)
        running.extend([front, source])
        return front, source.standin

    yield make
    for resource in running:
        resource.stop()


def read_all(sock):
    parts = []
    while part := sock.recv(65536):
        parts.append(part)
    sock.close()
    return b"".join(parts).partition(b"\r\n\r\n")[2]


def event_numbers(body):
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def test_many_streams_are_complete_and_not_mixed_up(make_front):
    front, _ = make_front()
    socks = [front.open(f"r{number}", 20) for number in range(8)]
    for number, sock in enumerate(socks):
        body = read_all(sock)
        assert event_numbers(body) == list(range(21))
        assert body.count(f'"r{number}.1"'.encode()) == 21
        assert body.endswith(b"data: [DONE]\n\n")
    wait_until(lambda: front.outcomes == ["completed"] * 8)


@pytest.mark.parametrize("fault", ["drop_stream", "cut_stream"])
def test_broken_stream_is_resumed_where_it_broke(make_front, fault):
    """The engine's connection breaks, or closes cleanly, after event 3.

    The relay must resume the stream after event 3, so that the caller receives every
    event once and the end mark. The time between the last event before the break and
    the first one after it counts as a gap.
    """
    front, source = make_front()
    source.faults.set(fault, count=1, after=3)
    body = read_all(front.open("r1", 9))
    assert event_numbers(body) == list(range(10))
    assert body.endswith(b"data: [DONE]\n\n")
    assert front.gaps


def test_repeated_event_reaches_the_caller_once(make_front):
    front, source = make_front()
    source.faults.set("repeat_event", count=1, event=2)
    assert event_numbers(read_all(front.open("r1", 4))) == list(range(5))


@pytest.mark.parametrize(
    "fault",
    [
        ("cross_event", {"event": 2}),
        ("skip_event", {"event": 2}),
        ("cut_stream", {"after": 1}),
    ],
)
def test_fault_in_every_resume_ends_with_typed_error(make_front, fault):
    """Event 2 is another request's, or missing, or the stream ends before it.

    Both resumes fail in the same way. The caller must receive the events before the
    fault, then a typed error event without an end mark, and never the text of the
    other request.
    """
    front, source = make_front()
    kind, details = fault
    source.faults.set(kind, **details)
    body = read_all(front.open("r1", 6))
    assert event_numbers(body) == [0, 1]
    assert b"event: error" in body and b'"answer_lost"' in body
    assert b"[DONE]" not in body and b"another.1" not in body


def test_stream_past_its_deadline_ends_with_typed_error(make_front):
    """The engine stalls after the first tokens until the deadline has passed.

    The caller must then receive a typed error event, and the stream must be cancelled
    at the engine, which frees its memory.
    """
    front, source = make_front(decode_rate=0.5, remaining_seconds=0.5)
    body = read_all(front.open("r1", 50))
    assert b'"timed_out"' in body and b"[DONE]" not in body
    wait_until(lambda: source.core.live() == [])


def test_caller_that_hangs_up_in_a_stream_cancels_it(make_front):
    """A caller closes its connection in the middle of a long stream.

    The relay must notice it at the next write or check and cancel the stream, for
    which the engine would otherwise generate thousands of unused tokens.
    """
    front, source = make_front(decode_rate=20.0)
    sock = front.open("r1", 10_000)
    assert sock.recv(100)
    wait_until(lambda: front.relay.live_streams == 1)
    sock.close()
    wait_until(lambda: source.core.live() == [])
    assert source.core.cancelled == 1
    assert front.outcomes == ["caller_gone"]


def test_caller_that_hangs_up_during_prefill_cancels_it(make_front):
    """A caller disconnects during prefill, before the engine has sent any byte.

    No write to the caller can fail yet, so the wait for the engine must itself check
    the caller's connection.
    """
    front, source = make_front(prefill_rate=1.0)
    sock = front.open("r1", 10, prompt="word " * 1000)
    wait_until(lambda: len(source.core.live()) == 1)
    sock.close()
    wait_until(lambda: source.core.live() == [])
    wait_until(lambda: front.outcomes == ["caller_gone"])


def test_caller_that_does_not_read_is_cut_off_and_delays_no_other(make_front):
    """One caller never reads its long answer while others receive theirs.

    When its unread bytes reach the relay's limit, its stream must be cancelled. The
    relay's thread must not block: all other answers must be complete. The bytes held
    for this caller, including those in the kernel, must stay below a megabyte.
    """
    front, source = make_front(decode_rate=100_000.0)
    unread = front.open("unread", 200_000, reads_answer=False)
    for number in range(5):
        body = read_all(front.open(f"r{number}", 50))
        assert body.endswith(b"data: [DONE]\n\n")
    wait_until(lambda: "caller_gone" in front.outcomes)
    wait_until(lambda: source.core.live() == [])
    unread.close()
    wait_until(lambda: front.outcomes.count("completed") == 5)
    assert front.last_events_by_id["unread"] * EVENT_BYTES < 1024 * 1024


def test_large_prompt_is_not_written_to_a_file(make_front, monkeypatch):
    """A request with a prompt of 8 MB is served without a temporary file.

    By default the server writes a body of more than 512 KB to one, which on a VM that
    keeps files in memory takes up memory too.
    """

    def refuse(*args, **kwargs):
        raise AssertionError("a temporary file was opened")

    monkeypatch.setattr("tempfile.TemporaryFile", refuse)
    front, source = make_front(prefill_rate=1e9)
    body = read_all(front.open("r1", 3, prompt="word " * 1_600_000))
    assert body.endswith(b"data: [DONE]\n\n")


def test_fault_in_one_stream_does_not_end_the_relay(make_front):
    """A callback of one stream raises an unexpected error.

    That stream must be resumed, and the thread that serves all streams must continue.
    """
    front, _ = make_front()
    front.fail_next_gap = True
    for request_id in ("r1", "r2"):
        body = read_all(front.open(request_id, 50))
        assert event_numbers(body) == list(range(51))
    assert not front.fail_next_gap


def chunk(data):
    return b"%X\r\n%b\r\n" % (len(data), data)


VALID_EVENT = b'id: 0\ndata: {"id": "r1.1"}\n\n'


@pytest.mark.parametrize(
    "body",
    [
        b"0" * 100_000,
        b"zz\r\n",
        b"3\r\nabcde",
        chunk(b"\n" * 32),
        chunk(VALID_EVENT + b"no event\n\n"),
    ],
    ids=["endless head", "no length", "no end", "no event", "one good event"],
)
def test_malformed_body_ends_with_typed_error(body):
    """The engine's headers are valid, but its body is not a chunked stream of events.

    The relay must end the stream at once and not buffer the body without limit.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=serve_malformed_body, args=(listener, body)).start()
        front = Front(f"127.0.0.1:{listener.getsockname()[1]}")
        received = read_all(front.open("r1", 5))
        assert b'"answer_lost"' in received
        front.stop()


def serve_malformed_body(listener, body):
    """Answer one request with ``body`` and accept no connection for a resume."""
    sock, _ = listener.accept()
    listener.close()
    sock.recv(65536)
    sock.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\nX-Request-Id: r1\r\nX-Attempt: 1\r\n\r\n" + body
    )
    # Stay open until the relay closes the connection: closing it here would end the
    # stream without the check that is tested.
    with contextlib.suppress(ConnectionResetError):
        while sock.recv(65536):
            pass
    sock.close()

"""The bounds of answers: what is kept, what is forwarded, what is no answer."""

import asyncio
import socket
import threading
import time

import pytest

from cranberrywick.endpoints.held_bodies import HeldBodies, HeldBody
from cranberrywick.errors import AnswerTooLong, PlatformUnavailable, TimedOut
from cranberrywick.external.exchange import PlatformClient
from cranberrywick.gateway.events import EventSplitter
from cranberrywick.gateway.held_answers import HeldAnswers
from cranberrywick.gateway.upstream import READ_BYTES
from cranberrywick.routing.answer_limits import (
    HELD_BYTES,
    HELD_OF_LAST_BYTES,
    HELD_OF_ONE_BYTES,
    MAX_IDLE_BYTES,
    OWN_PART_BYTES,
    AnswerBound,
    is_endless,
    longest_held,
)

LONG = HELD_OF_ONE_BYTES + 1
# How long it may take to look for events in a read, as a multiple of the time in which
# the read is split into lines.
MAX_TIMES_SPLITTING = 4.0


@pytest.mark.parametrize(
    ("status", "received", "may_repeat", "is_usual", "expected"),
    [
        # Another endpoint may have a sound answer.
        (200, LONG, True, False, True),
        (500, OWN_PART_BYTES + 1, True, True, True),
        # A sound answer may be as long, or there is nothing to put in its place.
        (200, LONG, True, True, False),
        (200, LONG, False, False, False),
        (200, OWN_PART_BYTES + 1, True, False, False),
        (500, OWN_PART_BYTES + 1, False, True, False),
        # No error message is as long.
        (500, LONG, False, True, True),
    ],
)
def test_which_answers_have_no_end(status, received, may_repeat, is_usual, expected):
    """Guards against sound long answers that are taken for endless ones."""
    assert is_endless(status, received, may_repeat, is_usual) is expected


def test_less_is_kept_of_what_no_other_endpoint_can_replace():
    """Guards against unsafe calls that take the room of those that can be repeated."""
    assert longest_held(200, may_repeat=False) == HELD_OF_LAST_BYTES
    assert longest_held(200, may_repeat=True) == HELD_OF_ONE_BYTES


def test_answers_that_wait_for_one_another_all_end():
    """Guards against answers of which each waits for the room of the others."""

    async def receive(answers, size):
        body = answers.body()
        for _ in range(size // OWN_PART_BYTES):
            if not await answers.has_room(body, OWN_PART_BYTES):
                return False
            body.append(bytes(OWN_PART_BYTES))
            assert answers.held <= HELD_BYTES + HELD_OF_ONE_BYTES + 4 * OWN_PART_BYTES
            await asyncio.sleep(0)
        body.release()
        return True

    async def main():
        answers = HeldAnswers()
        sizes = [HELD_OF_ONE_BYTES] * 4
        assert all(await asyncio.gather(*(receive(answers, s) for s in sizes)))
        assert answers.held == 0

    asyncio.run(main())


def test_the_room_of_a_body_is_given_back_as_it_is_sent():
    """Guards against room that is lost to answers which have been sent."""
    answers = HeldAnswers()
    body = answers.body()
    parts = [b"a" * 40_000, b"b" * 20_000, b"c" * 20_000, b"d"]
    for part in parts:
        body.append(part)
    assert body.held == answers.held == 80_001
    blocks = []
    while block := body.take():
        blocks.append(block)
    assert b"".join(blocks) == b"".join(parts)
    assert body.held == answers.held == 0


@pytest.mark.parametrize(
    "idle",
    [
        *(b": waiting\n\n", b"\n\n", b":\r\n\r\n", b": data: x\n\n"),
        *(b"data:\n\n", b"data: \r\n\r\n", b"id:\n\n", b"data\n\n"),
    ],
)
def test_comments_without_end_are_no_stream(idle):
    """Guards against streams that go on for ever without an event."""
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n")
    for _ in range(MAX_IDLE_BYTES // len(idle)):
        splitter.feed(idle)
        splitter.check_bounds()
    # An event ends the row of comments.
    splitter.feed(b"id: 2\ndata: b\n\n")
    splitter.feed(idle)
    splitter.check_bounds()
    splitter.feed(idle * (MAX_IDLE_BYTES // len(idle)))
    with pytest.raises(AnswerTooLong) as raised:
        splitter.check_bounds()
    assert raised.value.bound is AnswerBound.IDLE


def processor_seconds(function):
    """Return how long the processor takes for a call, the least of some."""
    taken = []
    for _ in range(50):
        began_at = time.thread_time()
        function()
        taken.append(time.thread_time() - began_at)
    return min(taken)


@pytest.mark.parametrize(
    "idle", [b": waiting\n\n", b": waiting\r\n\r\n", b"data:\n\n", b"id:\n\n"]
)
def test_events_without_a_value_are_soon_recognised(idle):
    """Guards against endless comments that take the time of other requests."""
    data = idle * (READ_BYTES // len(idle))

    def look_for_events():
        EventSplitter().feed(data)

    seconds = processor_seconds(look_for_events)
    assert seconds < MAX_TIMES_SPLITTING * processor_seconds(data.splitlines)


@pytest.mark.parametrize(
    ("events", "last_id"),
    [
        (b"id: 1\n\n", "1"),
        (b"id: 1\ndata: x\n\nid: 2\r\ndata: id: 3\r\n\r\n", "2"),
        (b"data: x\rid:4\n\ndata: y\n\n", "4"),
        (b"id: 5\ndata: x\n\nid\n\nid:\n\n", ""),
        (b"data: x\nuid: 6\n\n", None),
    ],
)
def test_the_last_id_of_a_read_is_kept(events, last_id):
    """Guards against a stream that is continued after another event than its last."""
    splitter = EventSplitter()
    assert splitter.feed(events) == events and splitter.last_id == last_id


@pytest.mark.parametrize("size", [1, 2, 3, 5, 8, 1000])
def test_events_are_found_wherever_their_bytes_are_divided(size):
    """Guards against an end of an event that is missed between two reads."""
    stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: c\n\ndata: d\n\nid: 3"
    splitter = EventSplitter()
    parts = [
        splitter.feed(stream[start : start + size])
        for start in range(0, len(stream), size)
    ]
    assert b"".join(parts) == stream[:-5] and splitter.rest_bytes == 5
    assert all(part.endswith((b"\n\n", b"\r\n\r\n")) for part in parts if part)
    assert (splitter.last_id, splitter.events) == ("2", 4)
    assert splitter.flush() == b"id: 3" and not splitter.rest_bytes


def test_bodies_of_threads_wait_for_room():
    """Guards against a daemon whose threads keep more than its memory."""
    bodies = HeldBodies(limit=1_000_000)
    with HeldBody(bodies, time.monotonic() + 5) as first:
        first.keep(900_000)
        first.keep(900_000)  # One answer at a time may go on without room.
        second = HeldBody(bodies, time.monotonic() + 0.05)
        with pytest.raises(TimedOut):
            second.keep(200_000)
        second.keep(1_000)  # A short answer always has room.
        timer = threading.Timer(0.05, first.__exit__)
        timer.start()
        with HeldBody(bodies, time.monotonic() + 5) as third:
            third.keep(500_000)
            timer.join()
    second.__exit__()
    assert bodies.held == 0


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SPACES = b"a\r\n" + b" " * 10 + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


@pytest.mark.parametrize(
    ("first", "repeated", "pause"),
    [
        (CHUNKED_HEAD, SPACES, 0.0),
        (CHUNKED_HEAD, SPACES, 0.05),
        (b"", INTERIM * 100, 0.0),
        (b"", INTERIM, 0.05),
    ],
)
def test_an_answer_of_the_store_without_an_end_is_none(first, repeated, pause):
    """Guards against a reading of the store that keeps bytes, or goes on, for ever."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        connection, _ = listener.accept()
        with connection, listener:
            connection.recv(65536)
            try:
                connection.sendall(first)
                while True:
                    connection.sendall(repeated)
                    time.sleep(pause)
            except OSError:
                pass  # The client has closed the connection.

    server = threading.Thread(target=serve)
    server.start()
    host, port = listener.getsockname()
    client = PlatformClient(
        (f"http://{host}:{port}",), read_timeout=0.5, answer_limit=100_000
    )
    with pytest.raises(PlatformUnavailable):
        client.call("GET", "/kv-range")
    server.join(timeout=10)
    assert not server.is_alive()

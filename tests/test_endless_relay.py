"""The relay of ``serve`` between endless streams and a sound one.

Guards against a thread that decodes so much of endless answers that the events of other
streams, and the errors of those whose time is over, are late.
"""

import socket
import threading
import time
from contextlib import contextmanager

import pytest

from cranberrywick.endpoints.events import EventCheck
from cranberrywick.endpoints.relay import Relay
from cranberrywick.errors import AnswerLost, CranberrywickError
from cranberrywick.routing.answer_limits import MAX_IDLE_BYTES


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


ENDLESS = {
    "tiny_chunks": chunk(b"x") * 10_000,
    "comments": chunk(b": waiting\n\n" * 5_000),
    "one_event": chunk(b"x" * 64_000),
}
STREAMS, EVENTS, PAUSE_SECONDS = 12, 40, 0.05
DEADLINE_SECONDS = 5.0
# The longest delay of a sound event, and the latest end of a stream whose time is over,
# in seconds.
MAX_DELAY_SECONDS, MAX_LATE_SECONDS = 0.5, 0.25


class ReceivedAnswer:
    """What the relay needs of an answer whose head has been read."""

    headers = {"Transfer-Encoding": "chunked"}

    def __init__(self, sock, request_id):
        self._sock = sock
        self.check = EventCheck(request_id, 1)
        self.deadline = time.monotonic() + DEADLINE_SECONDS

    def release(self):
        self._sock.setblocking(False)
        return self._sock, b""

    def mark_completed(self):
        pass

    def resume(self):
        raise AnswerLost("no other endpoint")


@contextmanager
def running_relay():
    relay = Relay()
    relay.start()
    try:
        yield relay
    finally:
        relay.stop()


def flood(sock, data):
    try:
        while True:
            sock.sendall(data)
    except OSError:
        pass  # The other end was closed.


def pump(relay, sock, request_id, write, seconds):
    """Forward a stream to its end; append how long that took."""
    began_at = time.monotonic()
    try:
        relay.pump(ReceivedAnswer(sock, request_id), write, lambda: False)
    except CranberrywickError:
        pass  # No endless stream is whole.
    finally:
        sock.close()
    seconds.append(time.monotonic() - began_at)


@pytest.mark.parametrize("form", sorted(ENDLESS))
def test_endless_streams_hold_up_neither_events_nor_deadlines(form):
    """Guards against a relay whose every turn has seconds of endless answers."""
    ends, sockets = [], []
    with running_relay() as relay:

        def start(request_id, write):
            relayed, sender = socket.socketpair()
            sockets.append(sender)
            arguments = (relay, relayed, request_id, write, ends)
            threading.Thread(target=pump, args=arguments).start()
            return sender

        for number in range(STREAMS):
            sender = start(f"r{number}", lambda events: None)
            threading.Thread(target=flood, args=(sender, ENDLESS[form])).start()
        received_at, sent_at = [], []
        sound = start("sound", lambda events: received_at.append(time.monotonic()))
        for number in range(EVENTS):
            sent_at.append(time.monotonic())
            sound.sendall(chunk(b'id: %d\ndata: {"id": "sound.1"}\n\n' % number))
            time.sleep(PAUSE_SECONDS)
        time.sleep(MAX_DELAY_SECONDS)
        delays = [r - s for r, s in zip(received_at, sent_at, strict=False)]
        until = time.monotonic() + DEADLINE_SECONDS
        while len(ends) < STREAMS and time.monotonic() < until:
            time.sleep(PAUSE_SECONDS)
    for sender in sockets:
        sender.close()
    assert len(delays) == EVENTS and max(delays) < MAX_DELAY_SECONDS
    assert len(ends) >= STREAMS
    assert max(ends) < DEADLINE_SECONDS + MAX_LATE_SECONDS


def test_comments_without_end_are_no_stream():
    """Guards against streams of `serve` that go on for ever without an event."""
    event, comment = b'id: %d\ndata: {"id": "r1.1"}\n\n', b": waiting\n\n"
    check = EventCheck("r1", 1)
    row = comment * (MAX_IDLE_BYTES // len(comment))
    assert check.feed(row) == b""
    assert check.feed(event % 0) == event % 0
    # An event ends the row of comments.
    assert check.feed(row + event % 1 + row) == event % 1
    with pytest.raises(AnswerLost):
        check.feed(row)

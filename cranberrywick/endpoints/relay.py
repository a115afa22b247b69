"""Forwarding of streams from engines to callers, all on one thread.

With one thread for each stream, every event wakes a thread that must wait for the
interpreter's lock, for which hundreds of threads contend. Instead, one thread waits
for all engines at once, validates the received events and writes them through the
caller's WSGI ``write``; the request's own thread sleeps until its stream has ended.

The relay's thread never blocks: reads are non-blocking, and the stream of a caller
that does not read is ended before the caller's buffer is full. See
docs/design/relay.md.
"""

import os
import selectors
import threading
import time
from collections import deque
from collections.abc import Callable
from queue import Empty, SimpleQueue

from waitress.receiver import ChunkedReceiver

from cranberrywick.endpoints.client import Answer
from cranberrywick.endpoints.events import EventCheck
from cranberrywick.errors import AnswerLost, CallerGone, CranberrywickError, TimedOut
from cranberrywick.logs import EventLog
from cranberrywick.routing.answer_limits import MAX_ANSWER_BYTES, MIN_CHUNK_BYTES

__all__ = ["MAX_UNREAD_BYTES", "Relay"]

READ_BYTES = 65536
# Size from which on the chunks of a read are counted, in bytes.
COUNTED_BYTES = 4096
# Interval between checks of deadlines and of callers' connections, in seconds.  It
# bounds the delay after which a caller's disconnect during a long prefill is noticed.
TICK_SECONDS = 0.25
# Largest number of bytes that the server may hold for a caller, besides those in the
# kernel's buffers, before its stream is ended.  At 16 events a second of 200 bytes
# each, a caller that reaches it has not read for over a minute, the time to fill the
# kernel's buffers included.  The limit must stay below waitress's
# ``outbuf_high_watermark``, at which a write blocks.
MAX_UNREAD_BYTES = 128 * 1024
# Largest size of a chunk's header and of the trailer together.
MAX_FRAMING_BYTES = 4096
# Time for which a request waits for the relay beyond its stream's deadline, in
# seconds.  The relay ends the stream at the deadline unless the relay itself fails.
DEADLINE_GRACE_SECONDS = 2.0

_log = EventLog(part="relay")


class _PayloadBuffer:
    """Buffer of the bytes that `ChunkedReceiver` has decoded."""

    def __init__(self):
        self.parts: list[bytes] = []

    def append(self, data: bytes) -> None:
        self.parts.append(data)

    def pop_all(self) -> bytes:
        data = b"".join(self.parts)
        self.parts.clear()
        return data


class _Stream:
    """State of one stream, shared by the relay's thread and the request's thread."""

    def __init__(
        self,
        answer: Answer,
        check: EventCheck,
        write: Callable[[bytes], object],
        disconnected: Callable[[], bool],
        on_gap: Callable[[float], object],
    ):
        self.check = check
        self.deadline = answer.deadline
        self.disconnected = disconnected
        self.sock, self.buffered = answer.release()
        # Sent by the relay's thread: None after the first event, then the outcome,
        # which is True for a complete stream and an error for any other.
        self.signals: SimpleQueue[None | CranberrywickError | bool] = SimpleQueue()
        self.last_write: float | None = None
        self._write = write
        self._on_gap = on_gap
        self._payload = _PayloadBuffer()
        self._received = 0
        chunked = "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
        self._receiver = ChunkedReceiver(self._payload) if chunked else None

    def read(self) -> bool:
        """Forward the received bytes; return True when the stream has ended."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return False
        except OSError as error:
            raise AnswerLost(f"the connection broke: {error}") from error
        if not data:
            self.check.finish()
        return self.forward(data)

    def forward(self, data: bytes) -> bool:
        """Decode and validate raw bytes and write the complete events among them.

        Return True when the stream has ended.
        """
        self._received += len(data)
        if self._received > MAX_ANSWER_BYTES:
            raise AnswerLost("the answer is larger than the limit")
        if self._receiver is not None:
            _check_chunks(data)
            self._receiver.received(data)
            self._check_framing(self._receiver)
            data = self._payload.pop_all()
        if events := self.check.feed(data):
            self._send(events)
        self.check.raise_pending()
        if self.check.ended:
            return True
        if self._receiver is not None and self._receiver.completed:
            self.check.finish()
        return False

    def _check_framing(self, receiver: ChunkedReceiver) -> None:
        if receiver.error:
            raise AnswerLost("the answer's chunks are malformed")
        # The decoder itself buffers a chunk's header and the trailer without limit.
        if len(receiver.control_line) + len(receiver.trailer) > MAX_FRAMING_BYTES:
            raise AnswerLost("the answer's chunks are malformed")

    def check_deadline_and_caller(self) -> bool:
        """Raise when the deadline has passed or the caller has disconnected."""
        if time.monotonic() >= self.deadline:
            raise TimedOut("the class's completion time passed")
        if self.disconnected():
            raise CallerGone("the caller hung up")
        return False

    def _send(self, events: bytes) -> None:
        if _unread_bytes(self._write) > MAX_UNREAD_BYTES:
            raise CallerGone("the caller does not read its answer")
        try:
            self._write(events)
        except Exception as error:
            # The server's exception for a closed connection is not part of its
            # public interface, so it can't be caught by name.
            raise CallerGone("the caller hung up") from error
        now = time.monotonic()
        if self.last_write is None:
            self.signals.put(None)
        else:
            self._on_gap(now - self.last_write)
        self.last_write = now


class Relay:
    """Forwards any number of streams on one thread; each daemon starts one."""

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        # Appended to by request threads and emptied by the relay's thread; both
        # operations are atomic.
        self._new_streams: deque[_Stream] = deque()
        self._streams: set[_Stream] = set()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    @property
    def live_streams(self) -> int:
        """Number of streams that are being forwarded."""
        return len(self._streams)

    def start(self) -> None:
        """Start the relay's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; every stream then ends with `AnswerLost`."""
        self._stopping = True
        self._wake()
        self._thread.join()

    def pump(
        self,
        answer: Answer,
        write: Callable[[bytes], object],
        disconnected: Callable[[], bool],
        on_first: Callable[[], object] = lambda: None,
        on_gap: Callable[[float], object] = lambda seconds: None,
    ) -> None:
        """Forward a streamed answer to its end; blocks the request's thread.

        ``write`` is the callable that WSGI's ``start_response`` returned and
        ``disconnected`` the server's ``waitress.client_disconnected``.  ``on_first``
        is called on the request's thread when the first event has been forwarded.
        ``on_gap`` is called on the relay's thread with the seconds between two
        writes and must not block.

        A stream that breaks off is resumed.  Raises `AnswerLost`, `TimedOut` or
        `CallerGone`; the caller of `pump` closes the answer in every case.

        >>> answer = send(address, call)
        >>> write = start_response("200 OK", headers)
        >>> try:
        ...     relay.pump(answer, write, environ["waitress.client_disconnected"])
        ... finally:
        ...     answer.close()
        """
        check = answer.check
        if check is None:
            raise AnswerLost("the answer is not a stream")
        last_write: float | None = None
        while not self._stopping:
            stream = _Stream(answer, check, write, disconnected, on_gap)
            stream.last_write = last_write
            self._new_streams.append(stream)
            self._wake()
            failure = _wait_for_end(stream, on_first)
            last_write = stream.last_write
            if failure is None:
                answer.mark_completed()
                return
            if not isinstance(failure, AnswerLost):
                raise failure
            answer.resume()
        raise AnswerLost("the relay was stopped")

    def _wake(self) -> None:
        os.write(self._wake_writer, b"w")

    def _run(self) -> None:
        next_tick = time.monotonic() + TICK_SECONDS
        while not self._stopping:
            for key, _ in self._selector.select(TICK_SECONDS):
                if key.data is None:
                    self._register_new_streams()
                else:
                    self._read_stream(key.data)
            if time.monotonic() >= next_tick:
                self._check_streams()
                next_tick = time.monotonic() + TICK_SECONDS
        for stream in [*self._streams, *self._new_streams]:
            stream.signals.put(AnswerLost("the relay was stopped"))

    def _register_new_streams(self) -> None:
        os.read(self._wake_reader, READ_BYTES)
        while self._new_streams:
            stream = self._new_streams.popleft()
            self._streams.add(stream)
            self._selector.register(stream.sock, selectors.EVENT_READ, stream)
            if stream.buffered:
                self._step(
                    stream, lambda stream=stream: stream.forward(stream.buffered)
                )

    def _read_stream(self, stream: _Stream) -> None:
        self._step(stream, stream.read)

    def _step(self, stream: _Stream, action: Callable[[], bool]) -> None:
        try:
            if action():
                self._end_stream(stream, True)
        except CranberrywickError as failure:
            self._end_stream(stream, failure)
        except Exception as error:
            # An error in one stream must not end the thread that serves all streams.
            _log.error("relay_step_failed", error=error)
            self._end_stream(stream, AnswerLost("the relay failed"))

    def _check_streams(self) -> None:
        for stream in list(self._streams):
            self._step(stream, stream.check_deadline_and_caller)

    def _end_stream(self, stream: _Stream, outcome: CranberrywickError | bool) -> None:
        self._selector.unregister(stream.sock)
        self._streams.discard(stream)
        stream.signals.put(outcome)


def _check_chunks(data: bytes) -> None:
    """Raise `AnswerLost` for chunks of a few bytes, before they are decoded.

    That takes a hundred times as long as with long chunks, for which all other streams
    would wait. A chunk with a short length has five bytes besides its data, and two
    ends of lines.
    """
    shortest = MIN_CHUNK_BYTES + 5
    if len(data) >= COUNTED_BYTES and data.count(b"\r\n") * shortest > 2 * len(data):
        raise AnswerLost("the answer's chunks are too short")


def _wait_for_end(
    stream: _Stream, on_first: Callable[[], object]
) -> CranberrywickError | None:
    outcome = _next_signal(stream)
    if outcome is None:
        on_first()
        outcome = _next_signal(stream)
    return None if outcome is True else outcome


def _next_signal(stream: _Stream) -> CranberrywickError | bool | None:
    """Return the next signal of the relay's thread.

    Return `TimedOut` when none comes within `DEADLINE_GRACE_SECONDS` after the
    stream's deadline.
    """
    remaining = stream.deadline - time.monotonic() + DEADLINE_GRACE_SECONDS
    try:
        return stream.signals.get(timeout=max(remaining, 0.0))
    except Empty:
        return TimedOut("the relay did not end the stream in time")


def _unread_bytes(write: Callable[[bytes], object]) -> int:
    """Return the number of bytes that the server holds for the caller.

    Return 0 when the server has no such count.  WSGI has no call for it; waitress's
    ``write`` is a method of its task, whose channel counts the bytes.
    """
    channel = getattr(getattr(write, "__self__", None), "channel", None)
    return getattr(channel, "total_outbufs_len", 0)

"""Cancellation of streams at engines, on threads that serve no caller."""

import threading
import time
from collections.abc import Callable
from http.client import HTTPException
from queue import Full, Queue

from urllib3.exceptions import HTTPError

from cranberrywick.endpoints.connection import connect
from cranberrywick.errors import CranberrywickError

__all__ = [
    "Canceller",
    "Cleanups",
    "cancel_later",
    "cancel_stream",
    "record_cleanup",
    "recent_cleanups",
]

# Deadline of one cancel request, in seconds.
CANCEL_SECONDS = 1.0
# Largest number of queued cancels.  When an engine dies, each cancel takes
# `CANCEL_SECONDS` to fail; a longer queue would delay the stop of the daemon.  The
# sweep ends the streams whose cancels find the queue full.
QUEUE_LIMIT = 256
THREADS = 2
# Time for which the sweep checks an engine after a stream was ended or memory freed
# there, in seconds.  It covers several sweeps and the grace period that the sweep
# allows for items of a request that has ended.
CLEANUP_SECONDS = 30.0


def cancel_stream(address: str, stream_id: str) -> bool:
    """Ask the engine to end a stream; return whether the request got through.

    Return False when there is no answer within `CANCEL_SECONDS`, or one with a
    status of 500 or above.  A stream whose cancel is lost stays in the engine's own
    list of streams, where the sweep finds and ends it.
    """
    connection = None
    try:
        connection = connect(address, time.monotonic() + CANCEL_SECONDS)
        connection.request("DELETE", f"/v1/streams/{stream_id}")
        return connection.getresponse().status < 500
    except (CranberrywickError, OSError, HTTPException, HTTPError):
        return False
    finally:
        if connection is not None:
            connection.close()


class Cleanups:
    """Addresses of engines where this daemon recently ended streams or freed memory.

    A cancel may be lost by the network or by the engine. The daemon that sweeps the
    engine does not end the stream, since its owner, the daemon that sent the
    request, is alive. Only the owner knows that the request has ended, so the owner
    checks the engine's list as well.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._lock = threading.Lock()  # guards the times
        self._time_by_address: dict[str, float] = {}

    def record(self, address: str) -> None:
        """Record that a stream was ended or memory freed at an engine just now."""
        with self._lock:
            self._time_by_address[address] = self._clock()

    def recent(self) -> frozenset[str]:
        """Return the engines recorded within `CLEANUP_SECONDS` and drop the others."""
        with self._lock:
            oldest = self._clock() - CLEANUP_SECONDS
            for address, recorded_at in list(self._time_by_address.items()):
                if recorded_at < oldest:
                    del self._time_by_address[address]
            return frozenset(self._time_by_address)


class Canceller:
    """A bounded queue of cancels and the threads that send them.

    If the request's own thread sent the cancel, its caller would wait up to
    `CANCEL_SECONDS` longer for an outcome that is already known.
    """

    def __init__(self):
        self._queue: Queue[tuple[str, str]] = Queue(QUEUE_LIMIT)
        self._lock = threading.Lock()  # guards the start of the threads
        self._started = False

    def submit(self, address: str, stream_id: str) -> bool:
        """Queue a cancel; return False when the queue is full."""
        self._start()
        try:
            self._queue.put_nowait((address, stream_id))
        except Full:
            return False
        return True

    def _start(self) -> None:
        with self._lock:
            if self._started:
                return
            self._started = True
        for number in range(THREADS):
            name = f"cancel-{number}"
            threading.Thread(target=self._run, name=name, daemon=True).start()

    def _run(self) -> None:
        while True:
            cancel_stream(*self._queue.get())


_canceller = Canceller()
_cleanups = Cleanups()
recent_cleanups = _cleanups.recent
record_cleanup = _cleanups.record


def cancel_later(address: str, stream_id: str) -> bool:
    """Queue a cancel; return False when the queue is full.

    The engine is recorded in either case, so that the next sweeps check it.
    """
    _cleanups.record(address)
    return _canceller.submit(address, stream_id)

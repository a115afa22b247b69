"""Cancels streams at engines, off the threads that serve callers."""

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
    "note_cleanup",
    "recent_cleanups",
]

CANCEL_SECONDS = 1.0
# When an engine dies, each cancel takes `CANCEL_SECONDS` to fail.  Beyond this many
# the rest is left to the sweep, so that a stop of the daemon is not held up.
QUEUE_LIMIT = 256
THREADS = 2
# How long an engine is looked at after something there was given back: several
# sweeps, and the grace that an item of a request that has ended is given.
CLEANUP_SECONDS = 30.0


def cancel_stream(address: str, stream_id: str) -> bool:
    """Ask the engine to end a stream; return False when it could not be asked.

    A lost cancel is made good by the sweep of the engine's own list of streams.
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
    """The engines at which this daemon gave something back lately, by address.

    A cancel may be lost on the way or by the engine itself. The daemon that looks
    after the engine can't tell, for the owner is alive; only the owner knows that
    its request has ended, so it looks at the engine's list once more itself.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._lock = threading.Lock()  # guards the times
        self._time_by_address: dict[str, float] = {}

    def record(self, address: str) -> None:
        """Note that something was given back at an engine."""
        with self._lock:
            self._time_by_address[address] = self._clock()

    def recent(self) -> frozenset[str]:
        """Return the engines to look at, forgetting the others."""
        with self._lock:
            oldest = self._clock() - CLEANUP_SECONDS
            for address, noted in list(self._time_by_address.items()):
                if noted < oldest:
                    del self._time_by_address[address]
            return frozenset(self._time_by_address)


class Canceller:
    """A bounded queue of cancels and the threads that work it off.

    A cancel on the request's own thread would make its caller wait up to
    `CANCEL_SECONDS` for an answer that is already known.
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
note_cleanup = _cleanups.record


def cancel_later(address: str, stream_id: str) -> bool:
    """Queue a cancel and have the engine looked at by the next sweeps."""
    _cleanups.record(address)
    return _canceller.submit(address, stream_id)

"""The room for answers that are received whole before they are forwarded.

Load pattern: many endpoints send answers without end, or callers request many long
answers at a time. Each request has a thread, so an answer for which there is no room
waits until others have been forwarded or have turned out to have no end.
"""

import threading
import time

from cranberrywick.errors import TimedOut
from cranberrywick.routing.answer_limits import HeldLedger

__all__ = ["HeldBodies", "HeldBody"]

# How much of all answers is kept, in bytes; one answer at a time may exceed it.
HELD_BYTES = 64 * 1024 * 1024


class HeldBodies:
    """The room of one daemon; its methods may be called by any thread."""

    def __init__(self, limit: int = HELD_BYTES):
        self._ledger = HeldLedger(limit)
        self._changed = threading.Condition()

    @property
    def held(self) -> int:
        """How many bytes are kept."""
        return self._ledger.held

    def keep(self, body: "HeldBody", more: int, deadline: float) -> None:
        """Count more bytes of an answer once there is room for them."""
        with self._changed:
            remaining = max(0.0, deadline - time.monotonic())
            if not self._changed.wait_for(
                lambda: self._ledger.admits(body, body.held, more), remaining
            ):
                raise TimedOut("there was no room for the answer in time")
            self._ledger.add(more)

    def release(self, body: "HeldBody") -> None:
        """Give back the room of an answer."""
        with self._changed:
            self._ledger.add(-body.held)
            self._ledger.end(body)
            self._changed.notify_all()


class HeldBody:
    """One answer of which ``held`` bytes are kept.

    ``deadline`` is in seconds of `time.monotonic`.

    >>> with HeldBody(bodies, deadline) as body:
    ...     body.keep(len(data))
    """

    def __init__(self, bodies: HeldBodies, deadline: float):
        self._bodies = bodies
        self._deadline = deadline
        self.held = 0

    def __enter__(self) -> "HeldBody":
        """Return the answer, of which nothing is kept yet."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Give back its room."""
        self._bodies.release(self)
        self.held = 0

    def keep(self, more: int) -> None:
        """Count more bytes once there is room; raises `TimedOut` at the deadline."""
        self._bodies.keep(self, more, self._deadline)
        self.held += more

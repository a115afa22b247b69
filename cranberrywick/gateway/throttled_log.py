"""Warnings of what may happen with every datagram."""

from collections.abc import Callable

from cranberrywick.logs import EventLog

__all__ = ["ThrottledLog"]

# One line in so many seconds.
PAUSE_SECONDS = 10.0


class ThrottledLog:
    """Writes a warning at most now and then, with how many there were since the last.

    A peer that sends what can't be read does so many times a second: a line for each
    would drown all others.

    >>> invalid = ThrottledLog(log, loop.time)
    >>> invalid.warning("peer_message_invalid", error=error)
    """

    def __init__(self, log: EventLog, clock: Callable[[], float]):
        self._log = log
        self._clock = clock
        self._not_before = float("-inf")
        self._count = 0

    def warning(self, event: str, /, **fields: object) -> None:
        """Note what happened, and log it if nothing was logged lately."""
        self._count += 1
        now = self._clock()
        if now >= self._not_before:
            self._not_before = now + PAUSE_SECONDS
            self._log.warning(event, count=self._count, **fields)
            self._count = 0

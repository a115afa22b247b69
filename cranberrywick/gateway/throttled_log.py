"""Warnings, limited in rate, for events that any datagram may cause."""

from collections.abc import Callable

from cranberrywick.logs import EventLog

__all__ = ["ThrottledLog"]

# Shortest time between two lines, in seconds.
INTERVAL_SECONDS = 10.0


class ThrottledLog:
    """Logs at most one warning per interval, with the number of events since the last.

    A peer whose messages can't be decoded sends many of them each second. With a line
    for each, the log would hold little else. ``clock`` returns a time in seconds.

    >>> invalid = ThrottledLog(log, loop.time)
    >>> invalid.warning("peer_message_invalid", error=error)
    """

    def __init__(self, log: EventLog, clock: Callable[[], float]):
        self._log = log
        self._clock = clock
        self._next_line_at = float("-inf")
        self._count = 0

    def warning(self, event: str, /, **fields: object) -> None:
        """Count an event, and log the count unless a line was logged lately."""
        self._count += 1
        now = self._clock()
        if now >= self._next_line_at:
            self._next_line_at = now + INTERVAL_SECONDS
            self._log.warning(event, count=self._count, **fields)
            self._count = 0

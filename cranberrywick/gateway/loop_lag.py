"""The lag of the event loop: how late timers fire, and how long its turns take.

Load pattern: a VM gets less processor time than its daemon needs. Whatever the daemon
has promised to do at a moment is then done later by about the lag.
"""

import asyncio
from collections import deque

from cranberrywick.gateway.ticker import Ticker

__all__ = ["LoopLag"]

# Interval of the measurement, in seconds. It costs three callbacks.
MEASURE_SECONDS = 0.1
# For how long a measurement counts, in seconds: time slices of a VM that is short of
# processor time come and go within seconds.
RECENT_SECONDS = 3.0


class LoopLag:
    """The largest lateness of a timer, and the longest turn, of the last seconds.

    >>> lag = LoopLag(ticker)
    >>> lag.start()
    >>> lag.timer_seconds, lag.turn_seconds
    (0.002, 0.001)
    """

    def __init__(self, ticker: Ticker):
        self._ticker = ticker
        self._loop = asyncio.get_running_loop()
        self._due_at = float("inf")
        self._timers = _RecentMaximum()
        self._turns = _RecentMaximum()

    @property
    def timer_seconds(self) -> float:
        """How late timers fire, also one that is due now and hasn't fired yet."""
        now = self._loop.time()
        return max(self._timers.read(now), now - self._due_at, 0.0)

    @property
    def turn_seconds(self) -> float:
        """How long a turn of the loop takes if it doesn't wait for events."""
        return self._turns.read(self._loop.time())

    def start(self) -> None:
        """Start to measure."""
        self._due_at = self._loop.time() + MEASURE_SECONDS
        self._ticker.every(MEASURE_SECONDS, self._measure)

    def read(self) -> dict[str, float]:
        """Return the values of the metric, by what was measured."""
        return {"timer": self.timer_seconds, "turn": self.turn_seconds}

    def _measure(self) -> None:
        now = self._loop.time()
        self._timers.record(max(0.0, now - self._due_at), now)
        self._due_at = now + MEASURE_SECONDS
        self._loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        # Both callbacks are the first of their turns, and the loop doesn't wait
        # between them, since the second is ready.
        self._loop.call_soon(self._end_turn, self._loop.time())

    def _end_turn(self, began_at: float) -> None:
        now = self._loop.time()
        self._turns.record(now - began_at, now)


class _RecentMaximum:
    """The largest of the values that were recorded in the last `RECENT_SECONDS`."""

    def __init__(self) -> None:
        # Pairs of a moment and a value, which fall from the first to the last.
        self._values: deque[tuple[float, float]] = deque()

    def record(self, value: float, now: float) -> None:
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now, value))

    def read(self, now: float) -> float:
        while self._values and self._values[0][0] < now - RECENT_SECONDS:
            self._values.popleft()
        return self._values[0][1] if self._values else 0.0

"""The lag of the event loop: how late timers fire, and how long its turns take.

Load pattern: a VM gets less processor time than its daemon needs. Whatever the daemon
has promised to do at a moment is then done later by about the lag.
"""

import asyncio
from collections import deque
from heapq import nlargest

from cranberrywick.gateway.ticker import Ticker

__all__ = ["LoopLag"]

# Interval of the measurement, in seconds. It costs three callbacks.
MEASURE_SECONDS = 0.1
# For how long a measurement counts, in seconds: time slices of a VM that is short of
# processor time come and go within seconds.
RECENT_SECONDS = 3.0
# How often a lateness, or a longer one, has to be seen within that time to be expected
# again. A process that was suspended once is as punctual as before.
EXPECTED_FROM = 2


class LoopLag:
    """The largest lateness of a timer, and the longest turn, of the last seconds.

    What has been seen only once tells nothing of the next moments: the process may
    have been suspended. What is to be expected of them is therefore less.

    >>> lag = LoopLag(ticker)
    >>> lag.start()
    >>> lag.timer_seconds, lag.turn_seconds
    (0.8, 0.001)
    >>> lag.expected_timer_seconds, lag.expected_turn_seconds
    (0.002, 0.001)
    """

    def __init__(self, ticker: Ticker):
        self._ticker = ticker
        self._loop = asyncio.get_running_loop()
        self._due_at = float("inf")
        self._timers = _RecentValues()
        self._turns = _RecentValues()

    @property
    def timer_seconds(self) -> float:
        """How late timers fire, also one that is due now and hasn't fired yet."""
        return self._lateness(1)

    @property
    def expected_timer_seconds(self) -> float:
        """How late the next timers may be: a lateness that was seen repeatedly."""
        return self._lateness(EXPECTED_FROM)

    @property
    def turn_seconds(self) -> float:
        """How long a turn of the loop takes if it doesn't wait for events."""
        return self._turns.nth_largest(1, self._loop.time())

    @property
    def expected_turn_seconds(self) -> float:
        """How long the next turns may take: what was seen repeatedly."""
        return self._turns.nth_largest(EXPECTED_FROM, self._loop.time())

    def start(self) -> None:
        """Start to measure."""
        self._due_at = self._loop.time() + MEASURE_SECONDS
        self._ticker.every(MEASURE_SECONDS, self._measure)

    def read(self) -> dict[str, float]:
        """Return the values of the metric, by what was measured."""
        return {"timer": self.timer_seconds, "turn": self.turn_seconds}

    def _lateness(self, number: int) -> float:
        now = self._loop.time()
        return self._timers.nth_largest(number, now, max(0.0, now - self._due_at))

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


class _RecentValues:
    """The values that were recorded in the last `RECENT_SECONDS`."""

    def __init__(self) -> None:
        # Pairs of a moment and a value.
        self._values: deque[tuple[float, float]] = deque()

    def record(self, value: float, now: float) -> None:
        self._values.append((now, value))
        self._forget(now)

    def nth_largest(self, number: int, now: float, *also: float) -> float:
        """Return the largest value, or the ``number``-th; 0 if there are fewer.

        ``also`` are values that count beside those that were recorded.
        """
        self._forget(now)
        values = nlargest(number, [*also, *(value for _, value in self._values)])
        return values[-1] if len(values) == number else 0.0

    def _forget(self, now: float) -> None:
        while self._values and self._values[0][0] < now - RECENT_SECONDS:
            self._values.popleft()

"""The lag of the event loop: how late timers fire, and how long its turns take.

Load pattern: a VM gets less processor time than its daemon needs. Whatever the daemon
has promised to do at a moment is then done later by about the lag.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from heapq import nlargest
from typing import NamedTuple

from cranberrywick.gateway.processor_time import busy_seconds
from cranberrywick.gateway.ticker import Ticker

__all__ = ["LoopLag"]

# Interval of the measurement, in seconds. It costs three callbacks.
MEASURE_SECONDS = 0.1
# For how long a measurement counts, in seconds: time slices of a VM that is short of
# processor time come and go within seconds.
RECENT_SECONDS = 3.0


class LoopLag:
    """The largest lateness of a timer, and the longest turn, of the last seconds.

    ``busy`` tells for how long the thread has run or waited for a processor. What is
    expected of the next moments leaves out a pause in which it did neither, unless
    there was another one: the process was suspended, and is as punctual as before.

    >>> lag = LoopLag(ticker)
    >>> lag.start()
    >>> lag.timer_seconds, lag.turn_seconds
    (0.8, 0.001)
    >>> lag.expected_timer_seconds, lag.expected_turn_seconds
    (0.002, 0.001)
    """

    def __init__(self, ticker: Ticker, busy: Callable[[], float] = busy_seconds):
        self._ticker = ticker
        self._busy = busy
        self._loop = asyncio.get_running_loop()
        self._due_at = float("inf")
        self._busy_before = 0.0
        self._timers = _RecentDelays()
        self._turns = _RecentDelays()

    @property
    def timer_seconds(self) -> float:
        """How late timers fire, also one that is due now and hasn't fired yet."""
        now = self._loop.time()
        return max(self._timers.largest(now), now - self._due_at, 0.0)

    @property
    def expected_timer_seconds(self) -> float:
        """How late the next timers may be."""
        now = self._loop.time()
        if now <= self._due_at:
            return self._timers.expected(now)
        return self._timers.expected(now, self._timer_delay(now))

    @property
    def turn_seconds(self) -> float:
        """How long a turn of the loop takes if it doesn't wait for events."""
        return self._turns.largest(self._loop.time())

    @property
    def expected_turn_seconds(self) -> float:
        """How long the next turns may take."""
        return self._turns.expected(self._loop.time())

    def start(self) -> None:
        """Start to measure."""
        self._await_timer(self._loop.time())
        self._ticker.every(MEASURE_SECONDS, self._measure)

    def read(self) -> dict[str, float]:
        """Return the values of the metric, by what was measured."""
        return {"timer": self.timer_seconds, "turn": self.turn_seconds}

    def _await_timer(self, now: float) -> None:
        self._due_at = now + MEASURE_SECONDS
        self._busy_before = self._busy()

    def _timer_delay(self, now: float) -> "_Delay":
        return _Delay.of(now - self._due_at, self._busy() - self._busy_before)

    def _measure(self) -> None:
        now = self._loop.time()
        self._timers.record(self._timer_delay(now), now)
        self._await_timer(now)
        self._loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        # Both callbacks are the first of their turns, and the loop doesn't wait
        # between them, since the second is ready.
        self._loop.call_soon(self._end_turn, self._loop.time(), self._busy())

    def _end_turn(self, began_at: float, busy_before: float) -> None:
        now = self._loop.time()
        self._turns.record(_Delay.of(now - began_at, self._busy() - busy_before), now)


class _Delay(NamedTuple):
    """How long something took, and how much of that the thread ran or waited to run."""

    seconds: float
    busy: float

    @classmethod
    def of(cls, seconds: float, busy: float) -> "_Delay":
        seconds = max(0.0, seconds)
        # It falls if the kernel told only at the second moment: then all time counts.
        return cls(seconds, min(seconds, busy) if busy >= 0.0 else seconds)


class _RecentDelays:
    """The delays that were recorded in the last `RECENT_SECONDS`."""

    def __init__(self) -> None:
        # Pairs of a moment and a delay.
        self._delays: deque[tuple[float, _Delay]] = deque()

    def record(self, delay: _Delay, now: float) -> None:
        self._delays.append((now, delay))
        self._recent(now)

    def largest(self, now: float) -> float:
        return max((each.seconds for each in self._recent(now)), default=0.0)

    def expected(self, now: float, *also: _Delay) -> float:
        """Return the delay to expect; ``also`` counts beside those recorded."""
        delays = [*also, *self._recent(now)]
        repeated = nlargest(2, (each.seconds for each in delays))[1:]
        return max([each.busy for each in delays] + repeated, default=0.0)

    def _recent(self, now: float) -> list[_Delay]:
        while self._delays and self._delays[0][0] < now - RECENT_SECONDS:
            self._delays.popleft()
        return [delay for _, delay in self._delays]

"""A timer service that runs callbacks once or at intervals.

>>> timers = TimerService()
>>> heartbeat = timers.every(1.0, send_heartbeat, jitter=0.1)
>>> timers.start()
>>> heartbeat.cancel()

One thread runs all callbacks, one after another, so a callback must be short: it
changes a value or sends a message to an actor, and never waits for the network.
"""

import heapq
import random
import threading
import time
from collections.abc import Callable
from itertools import count

from cranberrywick.logs import EventLog

__all__ = ["Subscription", "TimerService"]

# Longest duration of a callback, in seconds, that is not logged as slow. A slow one
# delays all the others.
SLOW_CALLBACK_SECONDS = 0.1

_log = EventLog(part="timers")


class Subscription:
    """A scheduled callback, which `cancel` removes from the schedule."""

    def __init__(
        self, callback: Callable[[], None], interval: float | None, jitter: float
    ):
        self._callback = callback
        self._interval = interval
        self._jitter = jitter
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the callback will not be started again."""
        return self._cancelled

    def cancel(self) -> None:
        """Prevent further runs of the callback; a run in progress is completed."""
        self._cancelled = True


class TimerService:
    """Runs callbacks at the times for which they are scheduled.

    The clock is monotonic, because the wall clock can be set forward or back at any
    time: a lease would then seem to last for hours or to have lapsed at once.

    Tests pass their own ``clock`` and call `run_due` instead of `start`.
    """

    def __init__(
        self, clock: Callable[[], float] = time.monotonic, seed: int | None = None
    ):
        self._clock = clock
        self._random = random.Random(seed)
        self._order = count()
        self._heap: list[tuple[float, int, Subscription]] = []
        # Guards the heap and `_stopping`; never held while a callback runs.
        self._changed = threading.Condition()
        self._stopping = False
        self._thread: threading.Thread | None = None

    def every(
        self, seconds: float, callback: Callable[[], None], jitter: float = 0.0
    ) -> Subscription:
        """Run ``callback`` every ``seconds``, for the first time after one interval.

        ``jitter`` is the largest share, below 1, by which an interval is made
        shorter or longer at random. Without it, daemons that start together would
        always call the platform at the same moments. Raises ValueError if the
        interval is not positive or the jitter is not from 0 to below 1.
        """
        if seconds <= 0 or not 0 <= jitter < 1:
            raise ValueError("the interval must be positive and the jitter below 1")
        subscription = Subscription(callback, seconds, jitter)
        self._add(self._clock() + self._next_interval(subscription), subscription)
        return subscription

    def after(self, seconds: float, callback: Callable[[], None]) -> Subscription:
        """Run ``callback`` once, ``seconds`` from now."""
        subscription = Subscription(callback, None, 0.0)
        self._add(self._clock() + seconds, subscription)
        return subscription

    def _add(self, due: float, subscription: Subscription) -> None:
        with self._changed:
            heapq.heappush(self._heap, (due, next(self._order), subscription))
            self._changed.notify()

    def _next_interval(self, subscription: Subscription) -> float:
        spread = subscription._jitter * self._random.uniform(-1.0, 1.0)
        return subscription._interval * (1.0 + spread)

    def start(self) -> None:
        """Start the thread that runs the callbacks."""
        self._thread = threading.Thread(target=self._run, name="timers", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Start no further callback and wait for the one in progress.

        A callback may call this; then it returns without waiting.
        """
        with self._changed:
            self._stopping = True
            self._changed.notify()
        if self._thread not in (None, threading.current_thread()):
            self._thread.join()

    def run_due(self, now: float) -> float | None:
        """Run the callbacks due at ``now``; return the time of the next, or None."""
        while (subscription := self._pop_due(now)) is not None:
            self._call(subscription)
        with self._changed:
            return self._heap[0][0] if self._heap else None

    def _pop_due(self, now: float) -> Subscription | None:
        with self._changed:
            while self._heap and not self._stopping and self._heap[0][0] <= now:
                due, _, subscription = heapq.heappop(self._heap)
                if subscription.cancelled:
                    continue
                self._schedule_again(due, now, subscription)
                return subscription
        return None

    def _schedule_again(
        self, due: float, now: float, subscription: Subscription
    ) -> None:
        if subscription._interval is None:
            return
        # After a pause of the process (SIGSTOP, a VM without CPU time) the missed
        # runs are skipped. Made up for, they would be a burst of heartbeats and
        # platform calls without new content.
        interval = self._next_interval(subscription)
        next_due = due + interval if due + interval > now else now + interval
        heapq.heappush(self._heap, (next_due, next(self._order), subscription))

    def _call(self, subscription: Subscription) -> None:
        started = self._clock()
        try:
            subscription._callback()
        except Exception as error:
            # An uncaught exception would end the thread without a log line, and with
            # it every heartbeat and deadline of the daemon.
            _log.error(
                "timer_callback_failed", callback=_name_of(subscription), error=error
            )
        seconds = self._clock() - started
        if seconds > SLOW_CALLBACK_SECONDS:
            _log.warning(
                "timer_callback_slow", callback=_name_of(subscription), seconds=seconds
            )

    def _run(self) -> None:
        while True:
            next_due = self.run_due(self._clock())
            with self._changed:
                if self._stopping:
                    return
                if not self._has_changed_since(next_due):
                    self._changed.wait(self._seconds_until(next_due))

    def _has_changed_since(self, next_due: float | None) -> bool:
        # True if a subscription added after `run_due` returned is due before all
        # others; the thread must then not wait until the time that `run_due` returned.
        return bool(self._heap) and self._heap[0][0] != next_due

    def _seconds_until(self, due: float | None) -> float | None:
        return None if due is None else max(0.0, due - self._clock())


def _name_of(subscription: Subscription) -> str:
    callback = subscription._callback
    return getattr(callback, "__qualname__", type(callback).__name__)

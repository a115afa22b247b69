"""Repeating timers on the event loop."""

import asyncio
import random
from collections.abc import Callable

from cranberrywick.logs import EventLog
from cranberrywick.routing.drain_window import SignalMoment

__all__ = ["Ticker"]


# A loop on which no timer has fired for this long was suspended, or busy, in seconds.
# The timers of a daemon fire several times a second.
SUSPENDED_SECONDS = 0.5
# For how long after that events are seen that came during it, in seconds.
RESUMED_SECONDS = 0.1


class Ticker:
    """Calls callbacks repeatedly, at their intervals, until it is stopped.

    >>> ticker = Ticker(EventLog())
    >>> ticker.every(0.4, send_heartbeat, jitter=0.1)
    """

    def __init__(self, log: EventLog):
        self._log = log
        self._rng = random.Random()
        self._tasks: list[asyncio.Task] = []
        # When the process is known to have run, when a timer has fired, and when the
        # loop went on after it was suspended; moments of its clock.
        self._ran_at = self._ticked_at = float("inf")
        self._resumed_at = float("-inf")
        # When the last suspension began and ended.
        self._suspension = (float("-inf"), float("-inf"))

    def signal_moment(self, now: float) -> SignalMoment:
        """Return between which moments a signal came that the process sees now.

        It came after the last moment at which the process is known to have run. Right
        after a suspension that is the one before it: another thread may have taken a
        signal that waited, and get to its handler later than the loop goes on.
        """
        began, ended = self._suspension
        ran_at = began if now - ended < RESUMED_SECONDS else self._ran_at
        return SignalMoment(min(ran_at, now), now)

    def running_since(self, moment: float, now: float) -> float:
        """Return from when on events have been seen as they came, since a moment.

        If the process was suspended since then, that is a later moment. A pause that
        began earlier shows nothing of what was waited for: it is too long or, between
        two events that came meanwhile, too short.
        """
        self.record_run(now)
        if now - self._ticked_at > SUSPENDED_SECONDS:
            self._record_tick(now)
        return max(moment, self._resumed_at + RESUMED_SECONDS)

    def record_run(self, now: float) -> None:
        """Record that the process runs, in the middle of a turn, too."""
        if now - self._ran_at > SUSPENDED_SECONDS:
            self._suspension = (self._ran_at, now)
        self._ran_at = now

    def _record_tick(self, now: float) -> None:
        if now - self._ticked_at > SUSPENDED_SECONDS:
            self._resumed_at = now
        self._ticked_at = now
        self.record_run(now)

    def every(
        self, seconds: float, callback: Callable[[], None], jitter: float = 0.0
    ) -> None:
        """Call ``callback`` at an interval in seconds.

        Each interval is varied at random by up to the share ``jitter`` of it.
        """

        def pause() -> float:
            return seconds * self._rng.uniform(1 - jitter, 1 + jitter)

        self._start(callback, pause)

    def when_due(
        self, callback: Callable[[], None], pause: Callable[[], float]
    ) -> None:
        """Call ``callback`` repeatedly, each time after ``pause()`` seconds.

        This replaces polling: a daemon that checks twenty times a second whether
        something is due does little else while it has no requests.
        """
        self._start(callback, pause)

    def _start(self, callback: Callable[[], None], pause: Callable[[], float]) -> None:
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._run(callback, pause)))

    def stop(self) -> None:
        """Stop all timers."""
        for task in self._tasks:
            task.cancel()

    async def _run(
        self, callback: Callable[[], None], pause: Callable[[], float]
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(pause())
            self._record_tick(loop.time())
            try:
                callback()
            except Exception as error:
                # The next call may succeed. If the timer ended here, that would be
                # noticed only when what it renews has lapsed.
                self._log.error(
                    "timer_failed", timer=callback.__qualname__, error=error
                )

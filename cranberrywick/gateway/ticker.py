"""Timers of the event loop that parts subscribe to."""

import asyncio
import random
from collections.abc import Callable

from cranberrywick.logs import EventLog

__all__ = ["Ticker"]


class Ticker:
    """Calls subscribers at their intervals until it is stopped.

    >>> ticker = Ticker(EventLog())
    >>> ticker.every(0.4, send_heartbeat, jitter=0.1)
    """

    def __init__(self, log: EventLog):
        self._log = log
        self._rng = random.Random()
        self._tasks: list[asyncio.Task] = []

    def every(
        self, seconds: float, act: Callable[[], None], jitter: float = 0.0
    ) -> None:
        """Call ``act`` at this interval, each time varied by the share ``jitter``."""

        def pause() -> float:
            return seconds * self._rng.uniform(1 - jitter, 1 + jitter)

        self._start(act, pause)

    def when_due(self, act: Callable[[], None], pause: Callable[[], float]) -> None:
        """Call ``act`` again and again, each time after ``pause()`` seconds.

        A daemon that asks twenty times a second whether something is due does little
        else while it has no requests.
        """
        self._start(act, pause)

    def _start(self, act: Callable[[], None], pause: Callable[[], float]) -> None:
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._run(act, pause)))

    def stop(self) -> None:
        """Call nobody any more."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, act: Callable[[], None], pause: Callable[[], float]) -> None:
        while True:
            await asyncio.sleep(pause())
            try:
                act()
            except Exception as error:
                # The next call may succeed; a timer that died would be missed only
                # when what it renews has lapsed.
                self._log.error("timer_failed", timer=act.__qualname__, error=error)

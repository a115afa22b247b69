"""A virtual clock, which runs events in order of time, then of scheduling."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

__all__ = ["VirtualClock"]


class VirtualClock:
    """Runs callbacks in order of their virtual time, in seconds, without waiting.

    >>> clock = VirtualClock()
    >>> clock.at(2.0, lambda: print(clock.now))
    >>> clock.run()
    2.0
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` at ``time``, or at the present time if that has passed."""
        heappush(self._events, (max(time, self.now), next(self._order), callback))

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` after ``seconds``."""
        self.at(self.now + seconds, callback)

    def run(self) -> None:
        """Run until there are no more events."""
        while self._events:
            self.now, _, callback = heappop(self._events)
            callback()

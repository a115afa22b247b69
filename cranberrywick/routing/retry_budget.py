"""How many second tries this daemon may send.

Load pattern: endpoints fail a part of their requests while callers press. Without a
bound, every failure becomes another request, and a service that is half down gets
twice the load. The fleet's allowance for a window is a share of the requests that
came in it and a fixed part; each daemon spends the share of its own requests and
its part of the fixed one, so that no message is needed to keep the sum. The parts are
those of all daemons that may live: divided among those that a daemon hears, two halves
of a fleet that have lost each other spend the fixed part twice.
"""

from collections import defaultdict, deque

__all__ = ["RetryBudget"]

# Part of the allowance that is used: members that come and go are counted late.
USED_SHARE = 0.8


class RetryBudget:
    """Counts the requests and second tries of a sliding window, by service."""

    def __init__(self, ratio: float, window_seconds: float, slack: float):
        self._ratio = ratio
        self._window = window_seconds
        self._slack = slack
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._tries: dict[str, deque[float]] = defaultdict(deque)

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._requests[service].append(now)

    def take(self, service: str, members: int, now: float) -> bool:
        """Take one second try, if the window still has one.

        ``members`` is how many daemons may be taking from the same allowance.
        """
        requests, tries = self._requests[service], self._tries[service]
        for moments in (requests, tries):
            while moments and moments[0] <= now - self._window:
                moments.popleft()
        slack = self._slack / max(1, members)
        if len(tries) + 1 > USED_SHARE * (self._ratio * len(requests) + slack):
            return False
        tries.append(now)
        return True

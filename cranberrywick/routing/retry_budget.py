"""Bound on the retries that this daemon may send.

Load pattern: endpoints fail some of their requests while callers send many. Without a
bound, every failure becomes another request, and a service that is half down gets twice
the load. The fleet's allowance for a time window is a share of the requests received in
it, plus a fixed number. Each daemon spends the share of its own requests and an equal
part of the fixed number, so that the sum is kept without any messages. The fixed number
is divided among all daemons that may be alive: if it were divided only among those that
a daemon receives heartbeats from, two halves of a fleet that can't reach each other
would spend it twice.
"""

from collections import defaultdict, deque

__all__ = ["RetryBudget"]

# Share of the allowance that is used; the rest is a margin, since daemons that join or
# leave are counted late.
USED_SHARE = 0.8


class RetryBudget:
    """Counts the requests and retries in a sliding window, by service.

    ``ratio`` is the allowed share of retries in the requests of ``window_seconds``;
    ``slack`` is the fixed number of retries that the fleet may send besides.
    """

    def __init__(self, ratio: float, window_seconds: float, slack: float):
        self._ratio = ratio
        self._window = window_seconds
        self._slack = slack
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def record_request(self, service: str, now: float) -> None:
        """Count a request from a caller."""
        self._requests[service].append(now)

    def take(self, service: str, members: int, now: float) -> bool:
        """Use one retry of the allowance; return False if none is left.

        ``members`` is how many daemons may be using the same allowance.
        """
        requests, retries = self._requests[service], self._retries[service]
        for moments in (requests, retries):
            while moments and moments[0] <= now - self._window:
                moments.popleft()
        slack = self._slack / max(1, members)
        if len(retries) + 1 > USED_SHARE * (self._ratio * len(requests) + slack):
            return False
        retries.append(now)
        return True

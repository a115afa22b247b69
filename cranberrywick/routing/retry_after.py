"""Retry-After times for callers that could not be served.

Load pattern: a daemon starts or stops, a service has no endpoints left, or the rate
limits or backoffs of its endpoints leave no room for all requests, while many callers
send them, each with one retry left. If a caller retries too early, its only retry gets
the same refusal; if too late, its own timeout has passed. If all callers get the same
time, they return at the same moment.

How long a service will have no endpoints is unknown. The estimate follows the rule that
an outage of unknown length lasts on for as long as it has lasted already.
"""

import random
from collections import deque

__all__ = [
    "MIN_SECONDS_WITHOUT_STORE",
    "STARTING_SECONDS",
    "BackoffReturns",
    "DrainReturns",
    "LimitedReturns",
    "ServiceOutages",
]

# Retry time in seconds while a daemon starts: its first read of the store takes some
# milliseconds.
STARTING_SECONDS = 0.3
# Shortest estimate for a service without endpoints, in seconds. By then another
# snapshot of the store has arrived, and an endpoint that is starting has registered.
MIN_SECONDS = 1.0
# The same while the store does not answer either, so that no endpoint can register.
MIN_SECONDS_WITHOUT_STORE = 2.0
# Longest estimate, in seconds, before the random deviation: callers wait no longer than
# this.
MAX_SECONDS = 10.0
# Largest random deviation from the estimated time, as a share of it. Where the earliest
# possible time is known, the deviation is only to the later side.
SPREAD = 0.25
# Least span over which callers return after the end of a backoff or from a daemon that
# stops, in seconds.
MIN_SPREAD_SECONDS = 0.25
# Largest span over which callers return from a daemon that stops, in seconds.
MAX_SPREAD_SECONDS = 2.0
# Number of callers of one stopping daemon that return each second, if that takes no
# longer than the largest span.
RETURNS_PER_SECOND = 100
# Number of refusals from which on their callers return over the largest span.
MOST_REFUSED = round(MAX_SPREAD_SECONDS * RETURNS_PER_SECOND)
# Earliest return of a caller to another daemon, in seconds.
MIN_RETRY_SECONDS = 0.1
# How long a daemon that has ended takes to start again, in seconds.
RESTART_SECONDS = 1.0


class ServiceOutages:
    """Tracks since when services have been without an endpoint.

    >>> outages = ServiceOutages(random.Random())
    >>> outages.retry_seconds("notices", store_is_unavailable=False, now=10.0)
    1.07
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._since_by_service: dict[str, float] = {}

    def ended(self, service: str) -> None:
        """Record that a service has endpoints."""
        self._since_by_service.pop(service, None)

    def retry_seconds(
        self, service: str, store_is_unavailable: bool, now: float
    ) -> float:
        """Return after how many seconds a caller of the service should retry.

        The outage begins with the first call since `ended`.
        """
        lasted = now - self._since_by_service.setdefault(service, now)
        least = MIN_SECONDS_WITHOUT_STORE if store_is_unavailable else MIN_SECONDS
        expected = min(max(least, lasted), MAX_SECONDS)
        return expected * self._rng.uniform(1 - SPREAD, 1 + SPREAD)


class BackoffReturns:
    """Spreads the retries of callers over the time after the end of a backoff.

    >>> returns = BackoffReturns(random.Random())
    >>> returns.retry_seconds(2.0)
    2.31
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def retry_seconds(self, wait: float) -> float:
        """Return after how many seconds a caller should retry.

        ``wait`` is the time in seconds until an endpoint wants requests again; no
        caller returns before that.
        """
        return wait + self._rng.uniform(0.0, max(SPREAD * wait, MIN_SPREAD_SECONDS))


class LimitedReturns:
    """Spaces out the retries of callers, at the rate that limits allow.

    >>> returns = LimitedReturns(random.Random())
    >>> returns.retry_seconds("notices", wait=1.0, pause=0.5, now=10.0)
    1.06
    >>> returns.retry_seconds("notices", wait=1.0, pause=0.5, now=10.0)
    1.61
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next_retry_at_by_service: dict[str, float] = {}

    def retry_seconds(
        self, service: str, wait: float, pause: float, now: float
    ) -> float:
        """Return after how many seconds a caller should retry.

        ``wait`` is the time in seconds until an endpoint accepts a request again; no
        caller returns before that. ``pause`` is the interval between two requests that
        the endpoints accept from the callers of one daemon.
        """
        retry_at = max(now + wait, self._next_retry_at_by_service.get(service, now))
        retry_at = min(retry_at, now + MAX_SECONDS)
        self._next_retry_at_by_service[service] = retry_at + pause
        return (retry_at - now) * self._rng.uniform(1, 1 + SPREAD)


class DrainReturns:
    """Spreads the retries of callers that a stopping daemon has refused.

    >>> returns = DrainReturns(random.Random())
    >>> returns.retry_seconds(refused=10, others_serve=True, closes_in=6.0, now=10.0)
    0.31
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._refused_at: deque[float] = deque(maxlen=MOST_REFUSED)

    def retry_seconds(
        self, refused: int, others_serve: bool, closes_in: float, now: float
    ) -> float:
        """Return after how many seconds a caller should retry.

        ``refused`` is how many callers may be refused at the same time, and
        ``closes_in`` the seconds until the daemon ends. While no other daemon serves,
        callers return after that, when it may have started again. Those who were
        refused in the last second may all come back, and count, too.
        """
        while self._refused_at and self._refused_at[0] <= now - 1.0:
            self._refused_at.popleft()
        self._refused_at.append(now)
        spread = max(refused, len(self._refused_at)) / RETURNS_PER_SECOND
        spread = min(max(MIN_SPREAD_SECONDS, spread), MAX_SPREAD_SECONDS)
        restarted_in = max(0.0, closes_in) + RESTART_SECONDS
        earliest = MIN_RETRY_SECONDS if others_serve else restarted_in
        return earliest + self._rng.uniform(0.0, spread)

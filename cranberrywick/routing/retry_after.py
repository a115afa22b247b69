"""When a caller that could not be served is told to come back.

Load pattern: a daemon starts, a service is left without endpoints, or the rate limits
of its endpoints leave no room for all, while callers press, each with one retry left.
Told to come back too soon, a caller spends its retry on the same refusal; too late, and
its own time is over. Told all the same, callers come back in one moment.

How long a service stays without endpoints is not known. What has lasted long lasts
longer: an outage of unknown length is expected to go on for as long as it has lasted.
"""

import random

__all__ = [
    "LEAST_SECONDS_WITHOUT_STORE",
    "STARTING_SECONDS",
    "LimitedReturns",
    "ServiceOutages",
]

# A daemon that has just started reads the store for the first time, which takes some
# milliseconds.
STARTING_SECONDS = 0.3
# By then another reading of the store has come, and an endpoint that starts has
# registered.
LEAST_SECONDS = 1.0
# Where the store answers nothing either, nobody can register.
LEAST_SECONDS_WITHOUT_STORE = 2.0
# No caller waits for longer than this.
MOST_SECONDS = 10.0
# By this share times vary around what is expected.
SPREAD = 0.25


class ServiceOutages:
    """Remembers since when services are without an endpoint.

    >>> outages = ServiceOutages(random.Random())
    >>> outages.retry_seconds("notices", store_is_away=False, now=10.0)
    1.07
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._since_by_service: dict[str, float] = {}

    def ended(self, service: str) -> None:
        """Note that a service has endpoints."""
        self._since_by_service.pop(service, None)

    def retry_seconds(self, service: str, store_is_away: bool, now: float) -> float:
        """Return after how many seconds a service without endpoints may have one."""
        lasted = now - self._since_by_service.setdefault(service, now)
        least = LEAST_SECONDS_WITHOUT_STORE if store_is_away else LEAST_SECONDS
        expected = min(max(least, lasted), MOST_SECONDS)
        return expected * self._rng.uniform(1 - SPREAD, 1 + SPREAD)


class LimitedReturns:
    """Lets callers come back one after the other, as fast as rate limits take them.

    >>> returns = LimitedReturns(random.Random())
    >>> returns.retry_seconds("notices", wait=1.0, pause=0.5, now=10.0)
    1.06
    >>> returns.retry_seconds("notices", wait=1.0, pause=0.5, now=10.0)
    1.41
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next_by_service: dict[str, float] = {}

    def retry_seconds(
        self, service: str, wait: float, pause: float, now: float
    ) -> float:
        """Return after how many seconds a caller should come back.

        ``wait`` is when the first endpoint has room again, ``pause`` the time between
        two requests that the endpoints take from the callers of one daemon.
        """
        at = max(now + wait, self._next_by_service.get(service, now))
        at = min(at, now + MOST_SECONDS)
        self._next_by_service[service] = at + pause
        return (at - now) * self._rng.uniform(1 - SPREAD, 1 + SPREAD)

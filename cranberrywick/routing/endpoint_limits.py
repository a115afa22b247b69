"""What rate limits endpoints have, as their answers name them.

Load pattern: an endpoint in need names in its answers how many requests a second it
takes from all daemons together, changes that as it recovers, and names none in the
end. Few requests go to it meanwhile, so most daemons get no answer that says so; each
tells the others what its own answers have shown, and the newest answer counts.
"""

from collections.abc import Set
from math import inf, isfinite
from typing import NamedTuple

__all__ = ["EndpointLimits", "LimitChange", "LimitReport"]

# How long a daemon tells what it has seen: several heartbeats, of which some are lost.
REPORT_SECONDS = 3.0
# How long the end of a limit is remembered, against reports of the limit that are
# still under way.
ENDED_SECONDS = 30.0


class LimitReport(NamedTuple):
    """The limit of an endpoint, in requests a second, as an answer named it.

    ``rate`` is infinite where the answer named none. ``free_at`` is when the endpoint
    can take one more request, where its steward tells.
    """

    endpoint_id: str
    rate: float
    seen_at: float
    free_at: float | None = None


class LimitChange(NamedTuple):
    """A change of belief, for the log; rates are in requests a second."""

    endpoint_id: str
    rate: float
    previous: float

    @property
    def is_fall(self) -> bool:
        """Whether the endpoint takes less than before."""
        return self.rate < self.previous

    @property
    def log_fields(self) -> dict[str, object]:
        """What a line of the log tells of it."""
        return {
            "endpoint": self.endpoint_id,
            "limit": self.rate,
            "previous": self.previous,
        }


class _Observation(NamedTuple):
    rate: float
    seen_at: float
    is_own: bool


_NEVER_SEEN = _Observation(inf, -inf, is_own=False)


class EndpointLimits:
    """The limits in force, by endpoint.

    >>> limits = EndpointLimits()
    >>> limits.observe("e1", 2.0, now=10.0)
    LimitChange(endpoint_id='e1', rate=2.0, previous=inf)
    >>> limits.rate("e1"), limits.rate("e2")
    (2.0, inf)
    """

    def __init__(self) -> None:
        self._observations_by_id: dict[str, _Observation] = {}

    def __bool__(self) -> bool:
        return bool(self._observations_by_id)

    def observe(self, endpoint_id: str, rate: float, now: float) -> LimitChange | None:
        """Take what an answer to this daemon says; return what it changes."""
        if isfinite(rate) or endpoint_id in self._observations_by_id:
            return self._take(endpoint_id, _Observation(rate, now, is_own=True))
        return None

    def receive(self, report: LimitReport) -> LimitChange | None:
        """Take what a peer tells; return what it changes."""
        known = self._observations_by_id.get(report.endpoint_id)
        if known is None and report.rate == inf:
            return None
        if known is not None and report.seen_at <= known.seen_at:
            return None
        observation = _Observation(report.rate, report.seen_at, is_own=False)
        return self._take(report.endpoint_id, observation)

    def _take(self, endpoint_id: str, observation: _Observation) -> LimitChange | None:
        previous = self.rate(endpoint_id)
        self._observations_by_id[endpoint_id] = observation
        if observation.rate == previous:
            return None
        return LimitChange(endpoint_id, observation.rate, previous)

    def rate(self, endpoint_id: str) -> float:
        """Return an endpoint's limit; infinity without one."""
        return self._observations_by_id.get(endpoint_id, _NEVER_SEEN).rate

    def age(self, endpoint_id: str, now: float) -> float:
        """Return how long ago the newest answer was seen; infinity without any."""
        return now - self._observations_by_id.get(endpoint_id, _NEVER_SEEN).seen_at

    @property
    def limited_ids(self) -> list[str]:
        """The endpoints that have a limit."""
        return [i for i, b in self._observations_by_id.items() if isfinite(b.rate)]

    def report(self, endpoint_id: str) -> LimitReport:
        """Return what is known of an endpoint's limit."""
        observation = self._observations_by_id.get(endpoint_id, _NEVER_SEEN)
        return LimitReport(endpoint_id, observation.rate, observation.seen_at)

    def recent_ids(self, now: float) -> list[str]:
        """Return the endpoints of which this daemon's own answers told lately."""
        return [
            endpoint_id
            for endpoint_id, observation in self._observations_by_id.items()
            if observation.is_own and now - observation.seen_at <= REPORT_SECONDS
        ]

    def forget(self, registered_ids: Set[str], now: float) -> None:
        """Drop endpoints that are gone, and limits that ended long ago."""
        for endpoint_id, observation in list(self._observations_by_id.items()):
            is_over = (
                observation.rate == inf and now - observation.seen_at > ENDED_SECONDS
            )
            if is_over or endpoint_id not in registered_ids:
                del self._observations_by_id[endpoint_id]

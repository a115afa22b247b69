"""The rate limits that endpoints state in their answers.

Load pattern: an overloaded endpoint states in its answers how many requests a second it
accepts from all daemons together, changes this rate as it recovers, and at last states
none. Since few requests are sent to it meanwhile, most daemons receive no answer that
shows the limit. Each daemon therefore sends the others what its own answers have shown,
and the newest answer counts.
"""

from collections.abc import Set
from math import inf, isfinite
from typing import NamedTuple

__all__ = ["EndpointLimits", "LimitChange", "LimitReport"]

# How long a daemon sends what its own answers have shown, in seconds. This covers
# several heartbeats, since some are lost.
REPORT_SECONDS = 3.0
# How long the end of a limit is kept, in seconds, so that a delayed report of the limit
# does not bring it back.
ENDED_SECONDS = 30.0


class LimitReport(NamedTuple):
    """The limit of an endpoint, in requests a second, as an answer stated it.

    ``rate`` is infinite if the answer stated none, and ``seen_at`` the time of the
    answer. ``free_at`` is the time at which the endpoint can accept one more request;
    only its steward sets it.
    """

    endpoint_id: str
    rate: float
    seen_at: float
    free_at: float | None = None


class LimitChange(NamedTuple):
    """A change of a known limit, for the log; rates are in requests a second."""

    endpoint_id: str
    rate: float
    previous: float

    @property
    def is_fall(self) -> bool:
        """Whether the endpoint accepts less than before."""
        return self.rate < self.previous

    @property
    def log_fields(self) -> dict[str, object]:
        """Fields for the log line about the change."""
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
    """The newest known limit of each endpoint.

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
        """Record the rate in an answer to this daemon; return the change, if any."""
        if isfinite(rate) or endpoint_id in self._observations_by_id:
            return self._record(endpoint_id, _Observation(rate, now, is_own=True))
        return None

    def receive(self, report: LimitReport) -> LimitChange | None:
        """Record a peer's report unless it is outdated; return the change, if any."""
        known = self._observations_by_id.get(report.endpoint_id)
        if known is None and report.rate == inf:
            return None
        if known is not None and report.seen_at <= known.seen_at:
            return None
        observation = _Observation(report.rate, report.seen_at, is_own=False)
        return self._record(report.endpoint_id, observation)

    def _record(
        self, endpoint_id: str, observation: _Observation
    ) -> LimitChange | None:
        previous = self.rate(endpoint_id)
        self._observations_by_id[endpoint_id] = observation
        if observation.rate == previous:
            return None
        return LimitChange(endpoint_id, observation.rate, previous)

    def rate(self, endpoint_id: str) -> float:
        """Return an endpoint's limit in requests a second; infinity without one."""
        return self._observations_by_id.get(endpoint_id, _NEVER_SEEN).rate

    def age(self, endpoint_id: str, now: float) -> float:
        """Return the age of the newest answer, in seconds; infinity without any."""
        return now - self._observations_by_id.get(endpoint_id, _NEVER_SEEN).seen_at

    @property
    def limited_ids(self) -> list[str]:
        """The ids of the endpoints that have a limit."""
        return [i for i, o in self._observations_by_id.items() if isfinite(o.rate)]

    def report(self, endpoint_id: str) -> LimitReport:
        """Return the newest known report of an endpoint's limit."""
        observation = self._observations_by_id.get(endpoint_id, _NEVER_SEEN)
        return LimitReport(endpoint_id, observation.rate, observation.seen_at)

    def recent_ids(self, now: float) -> list[str]:
        """Return the ids of the endpoints whose answers to this daemon are recent."""
        return [
            endpoint_id
            for endpoint_id, observation in self._observations_by_id.items()
            if observation.is_own and now - observation.seen_at <= REPORT_SECONDS
        ]

    def forget(self, registered_ids: Set[str], now: float) -> None:
        """Remove endpoints that are not registered, and limits that ended long ago."""
        for endpoint_id, observation in list(self._observations_by_id.items()):
            is_expired = (
                observation.rate == inf and now - observation.seen_at > ENDED_SECONDS
            )
            if is_expired or endpoint_id not in registered_ids:
                del self._observations_by_id[endpoint_id]

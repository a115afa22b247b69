"""Detect endpoints that are down or much slower than their peers, and avoid them.

Load pattern: one engine of sixteen becomes ten times slower without any error; its
load reports still look healthy.

Without it: the slow engine gets a sixteenth of all prompts, so one request in sixteen
misses its target for as long as the slowness lasts.

How: the duration of each prefill is divided by what the cost model expects for its
length, so endpoints are compared at equal length. The moving average of an endpoint's
ratios is compared with that of the fleet. An overdue prefill counts before it ends.
An endpoint that is `SLOW_RATIO` times slower than the fleet is ejected, unless more
than a fifth of the endpoints would then be ejected; in that case load is the more
likely cause. An ejected endpoint is probed with single short requests, and two good
probes readmit it. An endpoint whose connection fails counts as down: nothing is sent
there until it has made a load report after the failure. If all available endpoints
are ejected, they are readmitted, because a slow answer is better than none.

Durations below a tenth of a second count as a tenth of a second. A prefill of a few
tokens takes less time than the round trip to the endpoint, whose noise would eject a
healthy endpoint, and such a delay makes no request miss its target.

Grounds: for an endpoint that is ten times slower, the average exceeds a ratio of three
at the second outcome. A wait of at least five seconds before a slow endpoint is probed
again keeps its share of the requests below one in a hundred in a fleet of sixteen. As
the wait is at most ten seconds, a recovered endpoint is readmitted well within half a
minute.
"""

from collections.abc import Iterable
from math import exp, log

from cranberrywick.model import EndpointLoad

__all__ = ["EndpointHealth", "SlowEndpoints"]

# An endpoint this many times slower than the fleet is ejected.
SLOW_RATIO = 3.0
# A probe that is at most this many times slower than the fleet counts as good.
GOOD_PROBE_RATIO = 2.0
GOOD_PROBES_NEEDED = 2
# Weight of one outcome in the moving average of its endpoint and of the fleet.
LEARNING_RATE = 0.5
FLEET_LEARNING_RATE = 0.02
# Largest logarithm of a ratio that one outcome counts with (e**2.5, about twelvefold).
MAX_LOG_RATIO = 2.5
# Number of outcomes that an endpoint needs before it may be ejected.
MIN_OUTCOMES = 2
# Largest share of the endpoints that may be ejected at once; one always may be.
MAX_EJECTED_SHARE = 0.2
# The wait before the next probe starts at the minimum when an endpoint is ejected. Each
# bad probe multiplies it by `PROBE_BACKOFF`, up to the maximum.
MIN_PROBE_INTERVAL_SECONDS = 5.0
PROBE_BACKOFF = 1.5
MAX_PROBE_INTERVAL_SECONDS = 10.0
# An unfinished prefill is overdue when it has taken this multiple of its expected
# duration, at the average slowdown of the fleet, and this many seconds more.
OVERDUE_RATIO = 4.0
OVERDUE_SECONDS = 0.3
# Shorter durations are compared as if they had this length, in seconds.
MIN_COMPARED_SECONDS = 0.1


class EndpointHealth:
    """The outcomes and probes of one endpoint.

    ``log_ratio`` is the moving average of the logarithm of observed over expected
    prefill time. ``failed_at`` is the time of a connection failure that no later load
    report has cleared.
    """

    def __init__(self) -> None:
        self.log_ratio = 0.0
        self.outcomes = 0
        self.is_ejected = False
        self.failed_at: float | None = None
        self.next_probe_at = 0.0
        self.probe_interval = MIN_PROBE_INTERVAL_SECONDS
        self.probe_work_id: str | None = None
        self.good_probes = 0
        self.overdue_work_id: str | None = None


class SlowEndpoints:
    """Ejects and readmits endpoints by comparing them with their peers."""

    def __init__(self) -> None:
        self._health_by_id: dict[str, EndpointHealth] = {}
        self._ejected: set[str] = set()
        self._fleet_log_ratio = 0.0

    @property
    def ejected(self) -> frozenset[str]:
        """The ids of the endpoints that get probes only."""
        return frozenset(self._ejected)

    def admits(self, endpoint_id: str) -> bool:
        """Whether work other than a probe may be sent to the endpoint."""
        health = self._health_by_id.get(endpoint_id)
        return health is None or not (health.is_ejected or health.failed_at is not None)

    def observe(
        self,
        endpoint_id: str,
        work_id: str,
        seconds: float,
        expected_seconds: float,
        peers: int,
        now: float,
    ) -> None:
        """Record the observed and the expected duration of one prefill.

        ``peers`` is the number of endpoints in the fleet.
        """
        health = self._health_of(endpoint_id)
        ratio = _floored(seconds) / _floored(expected_seconds)
        observed_log_ratio = max(
            -MAX_LOG_RATIO, min(MAX_LOG_RATIO, log(max(ratio, 1e-6)))
        )
        if health.is_ejected:
            self._record_probe(endpoint_id, health, work_id, observed_log_ratio, now)
            return
        if health.overdue_work_id == work_id:
            return
        self._fleet_log_ratio += FLEET_LEARNING_RATE * (
            observed_log_ratio - self._fleet_log_ratio
        )
        self._record_ratio(endpoint_id, health, observed_log_ratio, peers, now)

    def check_overdue(
        self,
        endpoint_id: str,
        work_id: str,
        expected_seconds: float,
        elapsed_seconds: float,
        peers: int,
        now: float,
    ) -> None:
        """Record a prefill as slow, once, if it is overdue."""
        expected_seconds = _floored(expected_seconds)
        limit = OVERDUE_RATIO * expected_seconds * exp(max(0.0, self._fleet_log_ratio))
        if elapsed_seconds < limit + OVERDUE_SECONDS:
            return
        health = self._health_of(endpoint_id)
        if health.is_ejected or health.overdue_work_id == work_id:
            return
        health.overdue_work_id = work_id
        observed_log_ratio = min(MAX_LOG_RATIO, log(elapsed_seconds / expected_seconds))
        self._record_ratio(endpoint_id, health, observed_log_ratio, peers, now)

    def _record_ratio(
        self,
        endpoint_id: str,
        health: EndpointHealth,
        observed_log_ratio: float,
        peers: int,
        now: float,
    ) -> None:
        health.outcomes += 1
        health.log_ratio += LEARNING_RATE * (observed_log_ratio - health.log_ratio)
        relative_log_ratio = health.log_ratio - self._fleet_log_ratio
        if relative_log_ratio < log(SLOW_RATIO) or health.outcomes < MIN_OUTCOMES:
            return
        if len(self._ejected) + 1 > max(1.0, MAX_EJECTED_SHARE * peers):
            return
        health.is_ejected = True
        health.good_probes = 0
        health.probe_interval = MIN_PROBE_INTERVAL_SECONDS
        health.next_probe_at = now + health.probe_interval
        self._ejected.add(endpoint_id)

    def probe_due(self, now: float) -> str | None:
        """Return the id of an ejected endpoint to probe now, or None."""
        for endpoint_id in sorted(self._ejected):
            health = self._health_by_id[endpoint_id]
            due = now >= health.next_probe_at and health.probe_work_id is None
            if due and health.failed_at is None:
                return endpoint_id
        return None

    def record_probe_sent(self, endpoint_id: str, work_id: str, now: float) -> None:
        """Record that this request is the endpoint's probe."""
        self._health_by_id[endpoint_id].probe_work_id = work_id

    def _record_probe(
        self,
        endpoint_id: str,
        health: EndpointHealth,
        work_id: str,
        observed_log_ratio: float,
        now: float,
    ) -> None:
        if health.probe_work_id != work_id:
            return
        health.probe_work_id = None
        if observed_log_ratio - self._fleet_log_ratio > log(GOOD_PROBE_RATIO):
            health.good_probes = 0
            health.probe_interval = min(
                MAX_PROBE_INTERVAL_SECONDS, health.probe_interval * PROBE_BACKOFF
            )
            health.next_probe_at = now + health.probe_interval
            return
        health.good_probes += 1
        health.next_probe_at = now
        if health.good_probes >= GOOD_PROBES_NEEDED:
            self._readmit(endpoint_id)

    def record_failure(self, endpoint_id: str, work_id: str, now: float) -> None:
        """Record that the endpoint broke off a request or could not be reached."""
        health = self._health_of(endpoint_id)
        health.failed_at = now
        if health.probe_work_id == work_id:
            health.probe_work_id = None
            health.next_probe_at = now + health.probe_interval

    def record_withdrawal(self, endpoint_id: str, work_id: str, now: float) -> None:
        """Record that a request ended without showing the endpoint's speed.

        If it was the endpoint's probe, another one is sent after the probe interval.
        """
        health = self._health_by_id.get(endpoint_id)
        if health is not None and health.probe_work_id == work_id:
            health.probe_work_id = None
            health.next_probe_at = now + health.probe_interval

    def record_report(self, load: EndpointLoad, is_new_incarnation: bool) -> None:
        """Apply a load report.

        One made after a failure shows that the endpoint is up again, and one of a new
        incarnation readmits it.
        """
        health = self._health_by_id.get(load.endpoint_id)
        if health is None:
            return
        if health.failed_at is not None and load.reported_at > health.failed_at:
            health.failed_at = None
        if is_new_incarnation:
            self._readmit(load.endpoint_id)

    def readmit_all(self, endpoint_ids: Iterable[str]) -> None:
        """Readmit those of these endpoints that are ejected."""
        for endpoint_id in endpoint_ids:
            if endpoint_id in self._ejected:
                self._readmit(endpoint_id)

    def _readmit(self, endpoint_id: str) -> None:
        """Readmit the endpoint and reset its record, except for a failure."""
        failed_at = self._health_by_id[endpoint_id].failed_at
        self._health_by_id[endpoint_id] = EndpointHealth()
        self._health_by_id[endpoint_id].failed_at = failed_at
        self._ejected.discard(endpoint_id)

    def tracked(self) -> tuple[str, ...]:
        """Return the ids of the endpoints that have a record."""
        return tuple(self._health_by_id)

    def forget(self, endpoint_id: str) -> None:
        """Drop the record of an endpoint that is no longer listed."""
        self._health_by_id.pop(endpoint_id, None)
        self._ejected.discard(endpoint_id)

    def _health_of(self, endpoint_id: str) -> EndpointHealth:
        return self._health_by_id.setdefault(endpoint_id, EndpointHealth())


def _floored(seconds: float) -> float:
    return max(seconds, MIN_COMPARED_SECONDS)

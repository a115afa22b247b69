"""Find an endpoint that is much slower than its peers, or gone, and stop using it.

Load pattern: one engine of sixteen becomes ten times slower and says nothing; its
reports still look healthy, for it is merely slow.

Without it: the slow engine holds a sixteenth of all prompts, so one request in
sixteen misses its target for as long as it lasts.

How: each prefill is compared with what the cost model expects for its length (so
peers are compared at equal length), and the moving average of an endpoint's ratio
with that of all. A prefill that is overdue counts before it ends. An endpoint that
is `SLOW_RATIO` times slower than the rest is ejected, unless that would put more
than a fifth of its peers out; then the load is the likelier cause. An ejected
endpoint is probed with single short requests, and two good ones bring it back. An
endpoint whose connection fails is down: nothing goes there until a report made
after the failure. Where only ejected endpoints are left, they are used: a slow
answer is better than none.

Times below a tenth of a second count as that: a prefill of a few tokens takes less
than the round trip to its endpoint, whose noise would eject a healthy one, and no
target is missed by it.

Grounds: at ten times slower the average passes a ratio of three at the second
outcome. A wait of five seconds between probes keeps the share of a slow endpoint
in a fleet of sixteen under one in a hundred, and at most ten seconds between
probes brings it back well within half a minute.
"""

from collections.abc import Iterable
from math import exp, log

from cranberrywick.model import EndpointLoad

__all__ = ["EndpointHealth", "SlowEndpoints"]

SLOW_RATIO = 3.0
# A probe this near to its peers counts as good.
GOOD_PROBE_RATIO = 2.0
GOOD_PROBES_NEEDED = 2
LEARNING_RATE = 0.5
FLEET_LEARNING_RATE = 0.02
MAX_LOG_RATIO = 2.5
MIN_OUTCOMES = 2
MAX_EJECTED_SHARE = 0.2
MIN_PROBE_INTERVAL_SECONDS = 5.0
PROBE_BACKOFF = 1.5
MAX_PROBE_INTERVAL_SECONDS = 10.0
# An unfinished prefill is overdue past this ratio and this much time.
OVERDUE_RATIO = 4.0
OVERDUE_SECONDS = 0.3
MIN_COMPARED_SECONDS = 0.1


class EndpointHealth:
    """What is known of one endpoint's speed."""

    def __init__(self) -> None:
        self.log_ratio = 0.0
        self.outcomes = 0
        self.is_ejected = False
        self.failed_at: float | None = None
        self.probe_at = 0.0
        self.probe_interval = MIN_PROBE_INTERVAL_SECONDS
        self.probe_work: str | None = None
        self.good_probes = 0
        self.overdue_work: str | None = None


class SlowEndpoints:
    """Judges endpoints against their peers."""

    def __init__(self) -> None:
        self._health_by_id: dict[str, EndpointHealth] = {}
        self._ejected: set[str] = set()
        self._fleet_log_ratio = 0.0

    @property
    def ejected(self) -> frozenset[str]:
        """The endpoints that get probes only."""
        return frozenset(self._ejected)

    def admits(self, endpoint_id: str) -> bool:
        """Whether ordinary work may go to the endpoint."""
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
        """Take one prefill's time and what was expected of it."""
        health = self._health_of(endpoint_id)
        ratio = _floored(seconds) / _floored(expected_seconds)
        observed_log_ratio = max(
            -MAX_LOG_RATIO, min(MAX_LOG_RATIO, log(max(ratio, 1e-6)))
        )
        if health.is_ejected:
            self._record_probe(endpoint_id, health, work_id, observed_log_ratio, now)
            return
        if health.overdue_work == work_id:
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
        """Count a prefill that should have ended long ago, once."""
        expected_seconds = _floored(expected_seconds)
        limit = OVERDUE_RATIO * expected_seconds * exp(max(0.0, self._fleet_log_ratio))
        if elapsed_seconds < limit + OVERDUE_SECONDS:
            return
        health = self._health_of(endpoint_id)
        if health.is_ejected or health.overdue_work == work_id:
            return
        health.overdue_work = work_id
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
        slower = health.log_ratio - self._fleet_log_ratio
        if slower < log(SLOW_RATIO) or health.outcomes < MIN_OUTCOMES:
            return
        if len(self._ejected) + 1 > max(1.0, MAX_EJECTED_SHARE * peers):
            return
        health.is_ejected = True
        health.good_probes = 0
        health.probe_interval = MIN_PROBE_INTERVAL_SECONDS
        health.probe_at = now + health.probe_interval
        self._ejected.add(endpoint_id)

    def probe_due(self, now: float) -> str | None:
        """Return an ejected endpoint that should get one short request now."""
        for endpoint_id in sorted(self._ejected):
            health = self._health_by_id[endpoint_id]
            due = now >= health.probe_at and health.probe_work is None
            if due and health.failed_at is None:
                return endpoint_id
        return None

    def record_probe_sent(self, endpoint_id: str, work_id: str, now: float) -> None:
        """Note which request is the probe."""
        self._health_by_id[endpoint_id].probe_work = work_id

    def _record_probe(
        self,
        endpoint_id: str,
        health: EndpointHealth,
        work_id: str,
        observed_log_ratio: float,
        now: float,
    ) -> None:
        if health.probe_work != work_id:
            return
        health.probe_work = None
        if observed_log_ratio - self._fleet_log_ratio > log(GOOD_PROBE_RATIO):
            health.good_probes = 0
            health.probe_interval = min(
                MAX_PROBE_INTERVAL_SECONDS, health.probe_interval * PROBE_BACKOFF
            )
            health.probe_at = now + health.probe_interval
            return
        health.good_probes += 1
        health.probe_at = now
        if health.good_probes >= GOOD_PROBES_NEEDED:
            self._readmit(endpoint_id)

    def record_failure(self, endpoint_id: str, work_id: str, now: float) -> None:
        """The endpoint broke off or could not be reached."""
        health = self._health_of(endpoint_id)
        health.failed_at = now
        if health.probe_work == work_id:
            health.probe_work = None
            health.probe_at = now + health.probe_interval

    def record_withdrawal(self, endpoint_id: str, work_id: str, now: float) -> None:
        """A request ended without a verdict, so a probe must be sent again."""
        health = self._health_by_id.get(endpoint_id)
        if health is not None and health.probe_work == work_id:
            health.probe_work = None
            health.probe_at = now + health.probe_interval

    def record_report(self, load: EndpointLoad, is_new_incarnation: bool) -> None:
        """A report made after a failure shows that the endpoint is back."""
        health = self._health_by_id.get(load.endpoint_id)
        if health is None:
            return
        if health.failed_at is not None and load.reported_at > health.failed_at:
            health.failed_at = None
        if is_new_incarnation:
            self._readmit(load.endpoint_id)

    def readmit_all(self, endpoint_ids: Iterable[str]) -> None:
        """Use ejected endpoints again: no other is left."""
        for endpoint_id in endpoint_ids:
            if endpoint_id in self._ejected:
                self._readmit(endpoint_id)

    def _readmit(self, endpoint_id: str) -> None:
        """Start again with a clean record, but for a failure that still stands."""
        failed_at = self._health_by_id[endpoint_id].failed_at
        self._health_by_id[endpoint_id] = EndpointHealth()
        self._health_by_id[endpoint_id].failed_at = failed_at
        self._ejected.discard(endpoint_id)

    def tracked(self) -> tuple[str, ...]:
        """Return the endpoints that something was noted of."""
        return tuple(self._health_by_id)

    def forget(self, endpoint_id: str) -> None:
        """The endpoint is no longer listed."""
        self._health_by_id.pop(endpoint_id, None)
        self._ejected.discard(endpoint_id)

    def _health_of(self, endpoint_id: str) -> EndpointHealth:
        return self._health_by_id.setdefault(endpoint_id, EndpointHealth())


def _floored(seconds: float) -> float:
    return max(seconds, MIN_COMPARED_SECONDS)

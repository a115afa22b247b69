"""Rate limits of endpoints, enforced over all daemons of the fleet together.

Load pattern: hundreds of daemons send to an endpoint that accepts one request a second
from all of them, or a few while it is cold. If each daemon enforced the limit on its
own, the endpoint would get as many times the limit as there are daemons; if the limit
were divided among them, each share would be less than one request. Here one daemon, the
endpoint's steward, grants permits at the rate of the limit, and no daemon sends to the
endpoint without one.

The steward is chosen by rendezvous hashing over the daemons that are alive and serving,
so that no election is needed. It may die, and daemons that can't reach one another each
choose their own steward:

- a new steward starts with one permit, and permits that are granted for a later time
  are void when the steward that granted them is lost;
- permits are granted at the share of the rate that equals the share of the fleet which
  both sides know to be alive. Two halves of a fleet that can't reach each other each
  use half of the rate.
"""

from collections.abc import Callable, Set
from math import inf, isfinite
from typing import NamedTuple

from cranberrywick.rendezvous import rendezvous_order
from cranberrywick.routing.endpoint_limits import (
    EndpointLimits,
    LimitChange,
    LimitReport,
)
from cranberrywick.routing.members import Heartbeat, Members
from cranberrywick.token_bucket import TokenBucket

__all__ = ["MIN_RATE", "FleetLimits", "Permit", "longest_permit_wait"]

# Unused permits accumulate up to the number that the rate yields in this many seconds,
# and may be granted at once later. An endpoint gets at most one more than these in a
# burst.
BURST_SECONDS = 0.5
# Lowest rate of permits, in requests a second, also for an endpoint that accepts fewer:
# without any request, no answer could show that its limit has ended.
MIN_RATE = 0.25
# Longest wait of a request for a permit, in seconds, and as a share of the time that
# the request has left. The bounds leave time to serve it, or to refuse it early.
LONGEST_PERMIT_WAIT_SECONDS = 1.0
PERMIT_WAIT_SHARE = 0.5
# For how many seconds requests avoid an endpoint whose steward did not answer.
UNANSWERED_PAUSE_SECONDS = 0.3


class PermitTerms(NamedTuple):
    """The terms of a daemon's request for a permit.

    ``rate`` is the endpoint's limit in requests a second and ``live_share`` the share
    of the fleet that is alive, both as known to the daemon that requests the permit.
    ``longest_wait`` is for how many seconds at most its request would wait.
    """

    rate: float
    live_share: float
    longest_wait: float


class Permit(NamedTuple):
    """A steward's answer: whether one request may be sent to an endpoint, and when.

    ``wait_seconds`` is how long to wait before sending it. The endpoint can accept
    another one after ``free_seconds``.
    """

    granted: bool
    wait_seconds: float
    free_seconds: float


NO_LIMIT = Permit(True, 0.0, 0.0)


def longest_permit_wait(remaining_seconds: float) -> float:
    """Return how many seconds a request may wait for a permit.

    ``remaining_seconds`` is the time that the request has left.

    >>> longest_permit_wait(10.0), longest_permit_wait(0.6)
    (1.0, 0.3)
    """
    return min(LONGEST_PERMIT_WAIT_SECONDS, PERMIT_WAIT_SHARE * remaining_seconds)


class FleetLimits:
    """The limits of endpoints, and the permits that this daemon grants as a steward.

    ``is_leaving`` returns whether this daemon accepts no callers. ``declared_rate``
    returns an endpoint's limit in requests a second that holds whatever its answers
    state, such as that of a cold endpoint; infinity without one.
    """

    def __init__(
        self,
        daemon_id: str,
        members: Members,
        is_leaving: Callable[[], bool],
        declared_rate: Callable[[str], float],
    ):
        self._daemon_id = daemon_id
        self._members = members
        self._is_leaving = is_leaving
        self._declared_rate = declared_rate
        self._limits = EndpointLimits()
        self._buckets_by_id: dict[str, TokenBucket] = {}
        self._free_at_by_id: dict[str, float] = {}
        self._stewards = _Stewards()

    # Known limits

    def observe(self, endpoint_id: str, rate: float, now: float) -> LimitChange | None:
        """Record the rate in an answer to this daemon; return the change, if any."""
        return self._record(self._limits.observe(endpoint_id, rate, now))

    def receive(self, report: LimitReport) -> LimitChange | None:
        """Record a peer's report unless it is outdated; return the change, if any."""
        change = self._record(self._limits.receive(report))
        if report.free_at is not None and isfinite(self.rate(report.endpoint_id)):
            self._free_at_by_id[report.endpoint_id] = report.free_at
        return change

    def _record(self, change: LimitChange | None) -> LimitChange | None:
        if change is not None:
            # The time that a steward gave for the earlier rate is no longer valid.
            self._free_at_by_id.pop(change.endpoint_id, None)
            if change.rate == inf:
                self._buckets_by_id.pop(change.endpoint_id, None)
            elif change.endpoint_id in self._buckets_by_id and change.is_fall:
                # Requests that wait for a permit request it again, see
                # `EndpointPermits`.
                self._buckets_by_id[change.endpoint_id].cancel_waiting()
        return change

    def rate(self, endpoint_id: str) -> float:
        """Return an endpoint's limit in requests a second; infinity without one."""
        return min(self._limits.rate(endpoint_id), self._declared_rate(endpoint_id))

    def age(self, endpoint_id: str, now: float) -> float:
        """Return the age of the newest answer, in seconds; infinity without any."""
        return self._limits.age(endpoint_id, now)

    def report(self, endpoint_id: str) -> LimitReport:
        """Return the newest known report of an endpoint's limit."""
        return self._limits.report(endpoint_id)

    def reports(self, now: float) -> list[LimitReport]:
        """Return the reports that this daemon sends to the others.

        These are the rates that recent answers to it have stated, and all limits in
        force at endpoints whose steward it is.
        """
        if not self._limits:
            return []
        steward_ids = self._steward_ids(now)
        share = self._members.live_share(now)
        reports = [self._steward_report(i, share, now) for i in steward_ids]
        recent_ids = set(self._limits.recent_ids(now)) - set(steward_ids)
        return reports + [self.report(endpoint_id) for endpoint_id in recent_ids]

    def _steward_ids(self, now: float) -> list[str]:
        """Return the ids of the limited endpoints whose steward this daemon is."""
        self._stewards.set_members(self._candidates(now).keys())
        choose = self._stewards.choose
        return [i for i in self._limits.limited_ids if choose(i) == self._daemon_id]

    def _steward_report(
        self, endpoint_id: str, share: float, now: float
    ) -> LimitReport:
        bucket = self._bucket(endpoint_id, self.rate(endpoint_id) * share, now)
        free_at = now + bucket.wait_seconds(now)
        return self.report(endpoint_id)._replace(free_at=free_at)

    def all_reports(self, now: float) -> list[LimitReport]:
        """Return the reports for a daemon that has just started: all known limits."""
        known = {report.endpoint_id: report for report in self.reports(now)}
        for endpoint_id in self._limits.limited_ids:
            known.setdefault(endpoint_id, self.report(endpoint_id))
        return list(known.values())

    def forget(self, registered_ids: Set[str], now: float) -> None:
        """Remove the state of endpoints that are no longer registered."""
        self._limits.forget(registered_ids, now)
        for by_id in (self._buckets_by_id, self._free_at_by_id):
            for endpoint_id in by_id.keys() - registered_ids:
                del by_id[endpoint_id]

    # Permits

    def steward(self, endpoint_id: str, now: float) -> Heartbeat | None:
        """Return the endpoint's steward; None if it is this daemon."""
        candidates = self._candidates(now)
        self._stewards.set_members(candidates.keys())
        return candidates[self._stewards.choose(endpoint_id)]

    def _candidates(self, now: float) -> dict[str, Heartbeat | None]:
        """Return the daemons that may be a steward, by id; None for this daemon."""
        beats_by_id: dict[str, Heartbeat | None] = {
            beat.daemon_id: beat for beat in self._members.serving(now)
        }
        if not self._is_leaving() or not beats_by_id:
            beats_by_id[self._daemon_id] = None
        return beats_by_id

    def terms(self, endpoint_id: str, longest_wait: float, now: float) -> PermitTerms:
        """Return the terms on which this daemon requests a permit from the steward."""
        share = self._members.live_share(now)
        return PermitTerms(self.rate(endpoint_id), share, longest_wait)

    def grant(self, endpoint_id: str, terms: PermitTerms, now: float) -> Permit:
        """Grant or refuse a permit, as the endpoint's steward."""
        rate = min(terms.rate, self.rate(endpoint_id))
        if rate == inf:
            return NO_LIMIT
        share = min(terms.live_share, self._members.live_share(now))
        bucket = self._bucket(endpoint_id, rate * share, now)
        wait = bucket.take(now)
        if wait > terms.longest_wait:
            bucket.refund()
            return Permit(False, 0.0, wait)
        return Permit(True, wait, bucket.wait_seconds(now))

    def record_permit(self, endpoint_id: str, permit: Permit, now: float) -> None:
        """Record a steward's answer."""
        self._free_at_by_id[endpoint_id] = now + permit.free_seconds

    def record_unanswered(self, endpoint_id: str, now: float) -> None:
        """Make requests avoid an endpoint for a while whose steward did not answer."""
        self._free_at_by_id[endpoint_id] = now + UNANSWERED_PAUSE_SECONDS

    def wait_seconds(self, endpoint_id: str, now: float) -> float:
        """Return how many seconds a request would wait for a permit, as known here.

        It is zero for an endpoint without a limit.
        """
        if self.rate(endpoint_id) == inf:
            return 0.0
        return max(0.0, self._free_at_by_id.get(endpoint_id, now) - now)

    def _bucket(self, endpoint_id: str, rate: float, now: float) -> TokenBucket:
        rate = max(rate, MIN_RATE)
        burst = 1.0 + BURST_SECONDS * rate
        bucket = self._buckets_by_id.get(endpoint_id)
        if bucket is None:
            bucket = self._buckets_by_id[endpoint_id] = TokenBucket(rate, burst, now)
            bucket.empty(now)
        else:
            bucket.set_rate(rate, burst, now)
        return bucket


class _Stewards:
    """Chooses stewards by rendezvous hashing; caches them until the members change."""

    def __init__(self) -> None:
        self._daemon_ids: frozenset[str] = frozenset()
        self._chosen_by_endpoint: dict[str, str] = {}

    def set_members(self, daemon_ids: Set[str]) -> None:
        if daemon_ids != self._daemon_ids:
            self._daemon_ids = frozenset(daemon_ids)
            self._chosen_by_endpoint.clear()

    def choose(self, endpoint_id: str) -> str:
        chosen = self._chosen_by_endpoint.get(endpoint_id)
        if chosen is None:
            chosen = rendezvous_order(endpoint_id, self._daemon_ids)[0]
            self._chosen_by_endpoint[endpoint_id] = chosen
        return chosen

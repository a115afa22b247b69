"""Rate limits of endpoints that the daemons keep together.

Load pattern: hundreds of daemons before an endpoint that takes one request a second
from all of them, or a few while it is cold. Kept by each daemon for itself, such a
limit is exceeded as many times as there are daemons; divided among them, each part is
less than one request. Here one daemon, the endpoint's steward, gives permits at the
rate of the limit, and nobody sends to the endpoint without one.

The steward is found by rendezvous hashing over the daemons that live and serve, so
that nobody has to appoint it. It may die, and daemons that can't reach one another
each find their own:

- a steward that takes over starts with one permit, and those that wait for their moment
  end with the steward that gave them;
- permits are given for the share of the fleet that both sides know to live. Two halves
  that have lost each other get half of the rate each.
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

__all__ = ["LEAST_RATE", "FleetLimits", "Permit", "longest_permit_wait"]

# Permits of so many seconds may be left unused and are given at once later. With the
# one that is always given, this bounds what an endpoint gets in a burst.
BURST_SECONDS = 0.5
# In requests a second. An endpoint that takes less still gets so many: without any, its
# answers could not show that the limit has ended.
LEAST_RATE = 0.25
# A request waits no longer than this for a permit, and no more than a share of the time
# that it has, so that it is served and its caller hears of a refusal early.
LONGEST_PERMIT_WAIT_SECONDS = 1.0
PERMIT_WAIT_SHARE = 0.5
# An endpoint whose steward gave no answer is left alone for this long.
UNANSWERED_PAUSE_SECONDS = 0.3


class PermitTerms(NamedTuple):
    """What a daemon that asks for a permit wants and knows.

    ``rate`` is the endpoint's limit in requests a second, ``live_share`` how much of
    the fleet is known to live, ``longest_wait`` for how many seconds it would wait.
    """

    rate: float
    live_share: float
    longest_wait: float


class Permit(NamedTuple):
    """A steward's answer: whether one request may be sent to an endpoint, and when.

    ``wait_seconds`` is how long to wait before the send. The endpoint can take another
    one after ``free_seconds``.
    """

    granted: bool
    wait_seconds: float
    free_seconds: float


NO_LIMIT = Permit(True, 0.0, 0.0)


def longest_permit_wait(remaining_seconds: float) -> float:
    """Return how long a request with so much time left may wait for a permit.

    >>> longest_permit_wait(10.0), longest_permit_wait(0.6)
    (1.0, 0.3)
    """
    return min(LONGEST_PERMIT_WAIT_SECONDS, PERMIT_WAIT_SHARE * remaining_seconds)


class FleetLimits:
    """The limits of endpoints, and the permits that this daemon gives as a steward.

    ``is_leaving`` says whether this daemon takes no callers. ``declared_rate`` returns
    the limit of an endpoint that its answers don't name, in requests a second.
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

    # What is known of limits

    def observe(self, endpoint_id: str, rate: float, now: float) -> LimitChange | None:
        """Take what an answer to this daemon says; return what it changes."""
        return self._record(self._limits.observe(endpoint_id, rate, now))

    def receive(self, report: LimitReport) -> LimitChange | None:
        """Take what a peer tells; return what it changes."""
        change = self._record(self._limits.receive(report))
        if report.free_at is not None and isfinite(self.rate(report.endpoint_id)):
            self._free_at_by_id[report.endpoint_id] = report.free_at
        return change

    def _record(self, change: LimitChange | None) -> LimitChange | None:
        if change is not None:
            # What stewards said of the earlier rate holds no longer.
            self._free_at_by_id.pop(change.endpoint_id, None)
            if change.rate == inf:
                self._buckets_by_id.pop(change.endpoint_id, None)
            elif change.endpoint_id in self._buckets_by_id and change.is_fall:
                # Whoever waits for a permit asks anew, see `EndpointPermits`.
                self._buckets_by_id[change.endpoint_id].cancel_waiting()
        return change

    def rate(self, endpoint_id: str) -> float:
        """Return an endpoint's limit in requests a second; infinity without one."""
        return min(self._limits.rate(endpoint_id), self._declared_rate(endpoint_id))

    def age(self, endpoint_id: str, now: float) -> float:
        """Return how many seconds ago the newest answer told of the limit."""
        return self._limits.age(endpoint_id, now)

    def report(self, endpoint_id: str) -> LimitReport:
        """Return what answers have told of an endpoint's limit."""
        return self._limits.report(endpoint_id)

    def reports(self, now: float) -> list[LimitReport]:
        """Return what this daemon tells the others.

        That is what its answers have shown lately, and the limits in force of which it
        is the steward: those are told as long as they last.
        """
        if not self._limits:
            return []
        own_ids = self._own_ids(now)
        share = self._members.live_share(now)
        reports = [self._steward_report(i, share, now) for i in own_ids]
        recent_ids = set(self._limits.recent_ids(now)) - set(own_ids)
        return reports + [self.report(endpoint_id) for endpoint_id in recent_ids]

    def _own_ids(self, now: float) -> list[str]:
        """Return the limited endpoints whose steward this daemon is."""
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
        """Return what a daemon is told that has just started."""
        known = {report.endpoint_id: report for report in self.reports(now)}
        for endpoint_id in self._limits.limited_ids:
            known.setdefault(endpoint_id, self.report(endpoint_id))
        return list(known.values())

    def forget(self, registered_ids: Set[str], now: float) -> None:
        """Drop what is known of endpoints that are gone."""
        self._limits.forget(registered_ids, now)
        for by_id in (self._buckets_by_id, self._free_at_by_id):
            for endpoint_id in by_id.keys() - registered_ids:
                del by_id[endpoint_id]

    # Permits

    def steward(self, endpoint_id: str, now: float) -> Heartbeat | None:
        """Return the daemon that gives permits for an endpoint; None for this one."""
        candidates = self._candidates(now)
        self._stewards.set_members(candidates.keys())
        return candidates[self._stewards.choose(endpoint_id)]

    def _candidates(self, now: float) -> dict[str, Heartbeat | None]:
        """Return who may be a steward, by id; None stands for this daemon."""
        beats_by_id: dict[str, Heartbeat | None] = {
            beat.daemon_id: beat for beat in self._members.serving(now)
        }
        if not self._is_leaving() or not beats_by_id:
            beats_by_id[self._daemon_id] = None
        return beats_by_id

    def terms(self, endpoint_id: str, longest_wait: float, now: float) -> PermitTerms:
        """Return what this daemon asks a steward for."""
        share = self._members.live_share(now)
        return PermitTerms(self.rate(endpoint_id), share, longest_wait)

    def grant(self, endpoint_id: str, terms: PermitTerms, now: float) -> Permit:
        """Give a permit, as the endpoint's steward."""
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
        """Take a steward's answer."""
        self._free_at_by_id[endpoint_id] = now + permit.free_seconds

    def record_unanswered(self, endpoint_id: str, now: float) -> None:
        """Leave an endpoint alone whose steward gave no answer."""
        self._free_at_by_id[endpoint_id] = now + UNANSWERED_PAUSE_SECONDS

    def wait_seconds(self, endpoint_id: str, now: float) -> float:
        """Return how long a request would wait for a permit, as far as known here.

        It is zero for an endpoint without a limit.
        """
        if self.rate(endpoint_id) == inf:
            return 0.0
        return max(0.0, self._free_at_by_id.get(endpoint_id, now) - now)

    def _bucket(self, endpoint_id: str, rate: float, now: float) -> TokenBucket:
        rate = max(rate, LEAST_RATE)
        burst = 1.0 + BURST_SECONDS * rate
        bucket = self._buckets_by_id.get(endpoint_id)
        if bucket is None:
            bucket = self._buckets_by_id[endpoint_id] = TokenBucket(rate, burst, now)
            bucket.empty(now)
        else:
            bucket.set_rate(rate, burst, now)
        return bucket


class _Stewards:
    """Chooses by rendezvous hashing, and remembers it until other daemons live."""

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

"""The state of each endpoint as this daemon has it, and which endpoints are open.

Load pattern: load reports arrive a second or two late, and in that time a daemon
sends dozens of requests.

What goes wrong if reports are used as they are: all requests go to the endpoint that
was idle two seconds ago, then all of them to the next (herding), and slots that a
report still shows as free are used twice.

How: a daemon has an exact record of what it has sent and what has ended, so its own
outstanding work counts at once. A report only adds the work of other daemons: its
figures minus what this daemon had at the endpoint at the time of the report. A report
older than `REPORT_VALID_SECONDS` is not used.

Figures: reports arrive each second with about a second's lag, so three can be lost in
a row. Work is queued here rather than at the engine until an endpoint is almost free,
since requests can't be reordered once they are sent. The limit of 30 ms of prefill
ahead is several times the round trip, so that the engine does not become idle.
"""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from cranberrywick.model import (
    Endpoint,
    EndpointKind,
    EndpointLoad,
    EndpointPhase,
    Share,
    Work,
)

__all__ = ["EndpointState", "Fleet", "Outstanding"]

# Age up to which a load report is used, in seconds.
REPORT_VALID_SECONDS = 5.0
# Prefill time ahead of a new request below which an endpoint is open, in seconds.
PIPELINE_SECONDS = 0.03
# Weight of a new sample in the moving average of the own share. Single requests come
# and go within seconds, while the share changes over minutes.
OWN_SHARE_WEIGHT = 0.1
# Lower bound on a sample of the own share.
MIN_OWN_SHARE = 0.001


class Outstanding(NamedTuple):
    """One request that this daemon has at an endpoint.

    ``prefill_seconds`` is the estimated time of its prefill, ``cached_tokens`` the part
    of its prompt expected in the prefix cache, and ``cache_tokens`` the cache memory
    that it is counted for.
    """

    work: Work
    sent_at: float
    prefill_seconds: float
    cached_tokens: int
    cache_tokens: int


class _WorkSample(NamedTuple):
    """The work at an endpoint from ``time`` on, which is in monotonic seconds."""

    time: float
    requests: int
    prefill_tokens: int
    cache_tokens: int


class EndpointState:
    """One endpoint: its newest load report and this daemon's own work there."""

    def __init__(self, endpoint: Endpoint):
        self.endpoint = endpoint
        # Until the first report the phase is unknown, so the load is limited to that
        # of a cold endpoint.
        self.phase = EndpointPhase.COLD
        self.listed = True
        self.share: Share | None = None
        self.outstanding_by_work: dict[str, Outstanding] = {}
        self.prefilling_by_work: dict[str, Outstanding] = {}
        self.prefill_free_at = 0.0
        self._incarnation = 0
        self._leaving_incarnation: int | None = None
        self._cold_seen_at = float("-inf")
        self._load: EndpointLoad | None = None
        # Cache tokens held here for parts of joint prompts of other engines, by work.
        self.held_by_work: dict[str, int] = {}
        self._own_cache_tokens = 0
        self._own_prefill_tokens = 0
        self._own_prefill_seconds = 0.0
        self._own_work_history: deque[_WorkSample] = deque()

    @property
    def endpoint_id(self) -> str:
        return self.endpoint.endpoint_id

    @property
    def is_leaving(self) -> bool:
        """Whether any source has reported that this incarnation is leaving."""
        return self._leaving_incarnation is not None

    def serves(self, model: str, adapter: str | None, service: str | None) -> bool:
        """Return whether the endpoint has the service, or the model and adapter."""
        if service is not None:
            return self.endpoint.service == service
        return model in self.models and (adapter is None or adapter in self.models)

    @property
    def models(self) -> tuple[str, ...]:
        """The models and adapters loaded, by report or else by configuration."""
        if self._load is not None and self._load.models:
            return self._load.models
        return self.endpoint.models

    def report(self, load: EndpointLoad) -> bool:
        """Apply a load report and return whether the endpoint has restarted.

        A report that is older than the last one, or of an earlier incarnation, is
        ignored.
        """
        if load.incarnation < self._incarnation:
            return False
        is_new = self._load is not None and load.incarnation > self._incarnation
        if load.incarnation > self._incarnation:
            self._incarnation = load.incarnation
            self._leaving_incarnation = None
        elif self._load is not None and load.reported_at < self._load.reported_at:
            return False
        self._load = load
        if load.phase in (EndpointPhase.LEAVING, EndpointPhase.GONE):
            self.mark_leaving()
        if load.phase is EndpointPhase.COLD or load.reported_at > self._cold_seen_at:
            self.phase = load.phase
        return is_new

    def mark_leaving(self) -> None:
        """Mark the endpoint as leaving until a report of a new incarnation arrives."""
        self._leaving_incarnation = self._incarnation

    def mark_cold(self, now: float) -> None:
        """Mark the endpoint as cold, since it refused a request for that reason.

        The phase in later reports is ignored if they date from before ``now``.
        """
        self._cold_seen_at = now
        self.phase = EndpointPhase.COLD

    def hold(self, work_id: str, tokens: int, now: float) -> None:
        """Count the cache memory that a part of a joint prompt uses here, in tokens."""
        self.held_by_work[work_id] = tokens
        self._own_cache_tokens += tokens
        self._record_own_work(now)

    def release(self, work_id: str, now: float) -> None:
        """Stop counting the memory that `hold` counted for this work."""
        self._own_cache_tokens -= self.held_by_work.pop(work_id, 0)
        self._record_own_work(now)

    def sent(
        self,
        work: Work,
        prefill_seconds: float,
        cached: int,
        now: float,
        cache_tokens: int | None = None,
    ) -> None:
        """Record a request that is sent now.

        ``prefill_seconds`` is the estimated time of its prefill, and ``cached`` the
        number of its prompt tokens expected in the prefix cache. ``cache_tokens`` is
        the cache memory to count; None stands for the prompt and the longest output.
        """
        if cache_tokens is None:
            cache_tokens = work.prompt_tokens + work.max_output_tokens
        outstanding = Outstanding(work, now, prefill_seconds, cached, cache_tokens)
        self.outstanding_by_work[work.work_id] = outstanding
        self.prefilling_by_work[work.work_id] = outstanding
        self._own_cache_tokens += outstanding.cache_tokens
        self._own_prefill_tokens += work.prompt_tokens
        self._own_prefill_seconds += prefill_seconds
        self._record_own_work(now)

    def first_token(self, work_id: str, now: float) -> Outstanding | None:
        """Record the end of a request's prefill and return the request.

        The result is None if its prefill was not under way.
        """
        outstanding = self.prefilling_by_work.pop(work_id, None)
        if outstanding is None:
            return None
        self._own_prefill_tokens -= outstanding.work.prompt_tokens
        self._own_prefill_seconds -= outstanding.prefill_seconds
        if not self.prefilling_by_work:
            self._own_prefill_seconds = 0.0
        self._record_own_work(now)
        return outstanding

    def ended(self, work_id: str, now: float) -> Outstanding | None:
        """Record the end of a request, however it ended, and return the request.

        The result is None if it was not outstanding.
        """
        self.first_token(work_id, now)
        outstanding = self.outstanding_by_work.pop(work_id, None)
        if outstanding is not None:
            self._own_cache_tokens -= outstanding.cache_tokens
            self._record_own_work(now)
        return outstanding

    def _record_own_work(self, now: float) -> None:
        sample = _WorkSample(
            now,
            len(self.outstanding_by_work),
            self._own_prefill_tokens,
            self._own_cache_tokens,
        )
        self._own_work_history.append(sample)
        while len(self._own_work_history) > 1 and (
            self._own_work_history[1].time < now - REPORT_VALID_SECONDS
        ):
            self._own_work_history.popleft()

    def _work_of_others(self, now: float) -> _WorkSample:
        """Return the work of other daemons there, by the last report."""
        load = self._load
        if load is None or now - load.reported_at > REPORT_VALID_SECONDS:
            return _WorkSample(now, 0, 0, 0)
        own = _WorkSample(load.reported_at, 0, 0, 0)
        for sample in self._own_work_history:
            if sample.time > load.reported_at:
                break
            own = sample
        return _WorkSample(
            load.reported_at,
            max(0, load.running + load.waiting - own.requests),
            max(0, load.prefill_tokens_waiting - own.prefill_tokens),
            max(0, load.cache_tokens_used - own.cache_tokens),
        )

    def requests_of_others(self, now: float) -> int:
        """Return the number of other daemons' requests there, by the last report."""
        return self._work_of_others(now).requests

    def backlog_seconds(self, now: float) -> float:
        """Return the prefill time ahead of a new request, in seconds.

        The time since the last report is deducted from the other daemons' prefill in
        it, as work done since then. Otherwise a summary whose prefill takes a tenth of
        a second would close the endpoint until the next report.
        """
        others = self._work_of_others(now)
        rate = self.endpoint.prefill_tokens_per_second
        left = others.prefill_tokens / rate - (now - others.time)
        return self._own_prefill_seconds + max(0.0, left)

    def cache_tokens_free(self, now: float) -> int:
        """Return the cache memory that no request uses, in tokens.

        Requests of other daemons count by the last report.
        """
        others = self._work_of_others(now).cache_tokens
        return self.endpoint.cache_tokens - self._own_cache_tokens - others

    def slots_free(self, now: float, shared: bool) -> int:
        """Return how many more requests this daemon may send there.

        ``shared`` is true if shares are in force; a cold endpoint without a valid
        share then gets no requests. At a warm endpoint an expired share still limits
        the requests to its slots, so that an outage of the grants neither stops the
        work there nor removes the limit.
        """
        if not self.listed or self.is_leaving:
            return 0
        own = len(self.outstanding_by_work)
        others = self._work_of_others(now).requests
        cold = self.phase is EndpointPhase.COLD
        most = self.endpoint.cold_slots if cold else self.endpoint.slots
        free = most - own - others
        if self.share is not None:
            valid = self.share.expires_at > now
            granted = self.share.slots if valid or not cold else 0
            return min(free, granted - own)
        if cold and shared:
            return 0
        return free

    def is_open(self, now: float, shared: bool) -> bool:
        """Return whether the next request may be sent there now."""
        if self.slots_free(now, shared) <= 0:
            return False
        if self.endpoint.kind is EndpointKind.SERVICE:
            return True
        return self.backlog_seconds(now) < PIPELINE_SECONDS


class Fleet:
    """All endpoints, and the failure domains that take no new work."""

    def __init__(self) -> None:
        self.states_by_id: dict[str, EndpointState] = {}
        self.domains_out: frozenset[str] = frozenset()
        self.shared = False
        self._own_share = 1.0

    @property
    def own_share(self) -> float:
        """The average share of the fleet's requests that are this daemon's.

        A daemon observes only this share of the fleet's arrivals and completed work.
        Without the correction, each of nine daemons would size the pool for short
        prompts for only a ninth of them.
        """
        return self._own_share

    def update_own_share(self, now: float) -> None:
        """Update `own_share` from the present requests; call about once a second."""
        states = self.states_by_id.values()
        own = sum(len(state.outstanding_by_work) for state in states)
        others = sum(state.requests_of_others(now) for state in states)
        if own + others:
            sample = max(MIN_OWN_SHARE, own / (own + others))
            self._own_share += OWN_SHARE_WEIGHT * (sample - self._own_share)

    def set_endpoints(self, endpoints_by_id: Mapping[str, Endpoint]) -> None:
        """Replace the endpoints.

        An endpoint that is no longer listed is kept, marked as such, while this daemon
        has work there.
        """
        for endpoint_id, endpoint in endpoints_by_id.items():
            state = self.states_by_id.get(endpoint_id)
            if state is None:
                self.states_by_id[endpoint_id] = EndpointState(endpoint)
            else:
                state.endpoint = endpoint
                state.listed = True
        for endpoint_id in list(self.states_by_id):
            if endpoint_id in endpoints_by_id:
                continue
            state = self.states_by_id[endpoint_id]
            state.listed = False
            if not state.outstanding_by_work:
                del self.states_by_id[endpoint_id]

    def set_shares(self, shares_by_endpoint: Mapping[str, Share]) -> None:
        """Replace the shares, by endpoint; from now on they limit what is sent."""
        self.shared = True
        for endpoint_id, state in self.states_by_id.items():
            state.share = shares_by_endpoint.get(endpoint_id)

    def is_out(self, state: EndpointState) -> bool:
        """Return whether operators have taken the endpoint's failure domain out."""
        return state.endpoint.failure_domain in self.domains_out

    def is_open(self, state: EndpointState, now: float) -> bool:
        """Return whether new work may be sent to the endpoint now."""
        return not self.is_out(state) and state.is_open(now, self.shared)

"""What this daemon knows of each endpoint, and which of them are open.

Load pattern: load reports arrive a second or two late, and in that time a daemon
sends dozens of requests.

Without it: everything goes to the endpoint that was idle two seconds ago, then all
of it to the next (herding); and slots that a report still shows as free are taken
twice.

How: a daemon knows exactly what it has sent and what came back, so its own
outstanding work counts at once. A report adds only what others have there: its
figures less what this daemon had there at the moment the report describes. A
report older than `REPORT_VALID_SECONDS` says nothing.

Grounds: reports come each second with about a second's lag, so three lost ones in
a row are borne. Work is held here rather than at the engine until an endpoint is
about to be free, since what is sent can no longer be reordered; the pipeline bound
of 30 ms covers the way there and back several times over.
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

REPORT_VALID_SECONDS = 5.0
# An endpoint with less prefill than this ahead takes the next request.
PIPELINE_SECONDS = 0.03
# Requests come and go in seconds; which part is ours changes over minutes.
OWN_SHARE_RATE = 0.1
LEAST_OWN_SHARE = 0.001


class Outstanding(NamedTuple):
    """One request that this daemon has at an endpoint."""

    work: Work
    sent_at: float
    prefill_seconds: float
    cached_tokens: int
    cache_tokens: int


class _OwnMoment(NamedTuple):
    """What this daemon had at the endpoint from ``time`` on."""

    time: float
    requests: int
    prefill_tokens: int
    cache_tokens: int


class EndpointState:
    """One endpoint: what it reports, and what this daemon has there."""

    def __init__(self, endpoint: Endpoint):
        self.endpoint = endpoint
        # Unknown until the first report, so only what a cold endpoint bears.
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
        # Parts of other engines' gangs, by work.
        self.held_by_work: dict[str, int] = {}
        self._own_cache_tokens = 0
        self._own_prefill_tokens = 0
        self._own_prefill_seconds = 0.0
        self._moments: deque[_OwnMoment] = deque()

    @property
    def endpoint_id(self) -> str:
        return self.endpoint.endpoint_id

    @property
    def is_leaving(self) -> bool:
        """Whether any source has said that this incarnation goes away."""
        return self._leaving_incarnation is not None

    def serves(self, model: str, adapter: str | None, service: str | None) -> bool:
        """Whether the service, or the model with the adapter, is there."""
        if service is not None:
            return self.endpoint.service == service
        return model in self.models and (adapter is None or adapter in self.models)

    @property
    def models(self) -> tuple[str, ...]:
        """Models and adapters loaded, by report or else by configuration."""
        if self._load is not None and self._load.models:
            return self._load.models
        return self.endpoint.models

    def report(self, load: EndpointLoad) -> bool:
        """Take a report and return whether the endpoint has started anew.

        Late ones and those of an earlier incarnation are dropped.
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
        """The first word that it leaves wins, until a new incarnation."""
        self._leaving_incarnation = self._incarnation

    def mark_cold(self, now: float) -> None:
        """It refused as cold: reports from before that moment are out of date."""
        self._cold_seen_at = now
        self.phase = EndpointPhase.COLD

    def hold(self, work_id: str, tokens: int, now: float) -> None:
        """Count memory that a part of a gang's prompt takes here."""
        self.held_by_work[work_id] = tokens
        self._own_cache_tokens += tokens
        self._note_moment(now)

    def release(self, work_id: str, now: float) -> None:
        """Give back what `hold` counted."""
        self._own_cache_tokens -= self.held_by_work.pop(work_id, 0)
        self._note_moment(now)

    def sent(
        self,
        work: Work,
        prefill_seconds: float,
        cached: int,
        now: float,
        cache_tokens: int | None = None,
    ) -> None:
        """Count a request that is sent now; it takes ``cache_tokens`` here."""
        if cache_tokens is None:
            cache_tokens = work.prompt_tokens + work.max_output_tokens
        outstanding = Outstanding(work, now, prefill_seconds, cached, cache_tokens)
        self.outstanding_by_work[work.work_id] = outstanding
        self.prefilling_by_work[work.work_id] = outstanding
        self._own_cache_tokens += outstanding.cache_tokens
        self._own_prefill_tokens += work.prompt_tokens
        self._own_prefill_seconds += prefill_seconds
        self._note_moment(now)

    def first_token(self, work_id: str, now: float) -> Outstanding | None:
        """The prefill of a request is over."""
        outstanding = self.prefilling_by_work.pop(work_id, None)
        if outstanding is None:
            return None
        self._own_prefill_tokens -= outstanding.work.prompt_tokens
        self._own_prefill_seconds -= outstanding.prefill_seconds
        if not self.prefilling_by_work:
            self._own_prefill_seconds = 0.0
        self._note_moment(now)
        return outstanding

    def ended(self, work_id: str, now: float) -> Outstanding | None:
        """A request is over, in whatever way."""
        self.first_token(work_id, now)
        outstanding = self.outstanding_by_work.pop(work_id, None)
        if outstanding is not None:
            self._own_cache_tokens -= outstanding.cache_tokens
            self._note_moment(now)
        return outstanding

    def _note_moment(self, now: float) -> None:
        moment = _OwnMoment(
            now,
            len(self.outstanding_by_work),
            self._own_prefill_tokens,
            self._own_cache_tokens,
        )
        self._moments.append(moment)
        while len(self._moments) > 1 and (
            self._moments[1].time < now - REPORT_VALID_SECONDS
        ):
            self._moments.popleft()

    def _others(self, now: float) -> _OwnMoment:
        """Return what other daemons have there, by the last report."""
        load = self._load
        if load is None or now - load.reported_at > REPORT_VALID_SECONDS:
            return _OwnMoment(now, 0, 0, 0)
        own = _OwnMoment(load.reported_at, 0, 0, 0)
        for moment in self._moments:
            if moment.time > load.reported_at:
                break
            own = moment
        return _OwnMoment(
            load.reported_at,
            max(0, load.running + load.waiting - own.requests),
            max(0, load.prefill_tokens_waiting - own.prefill_tokens),
            max(0, load.cache_tokens_used - own.cache_tokens),
        )

    def others_requests(self, now: float) -> int:
        """Return how many requests of other daemons are there, by the last report."""
        return self._others(now).requests

    def backlog_seconds(self, now: float) -> float:
        """Return the prefill time that stands before a new request.

        What a report showed of others has been worked off since: else a summary
        that took a tenth of a second would close the endpoint until the next report.
        """
        others = self._others(now)
        rate = self.endpoint.prefill_tokens_per_second
        left = others.prefill_tokens / rate - (now - others.time)
        return self._own_prefill_seconds + max(0.0, left)

    def cache_tokens_free(self, now: float) -> int:
        """Return the cache memory that no request has claimed."""
        others = self._others(now).cache_tokens
        return self.endpoint.cache_tokens - self._own_cache_tokens - others

    def slots_free(self, now: float, shared: bool) -> int:
        """Return how many more requests this daemon may send there.

        ``shared`` says that shares are in force: then a cold endpoint without a
        valid share gets nothing. A warm one whose share has lapsed keeps its size,
        so that an outage of the grants neither stops nor frees it.
        """
        if not self.listed or self.is_leaving:
            return 0
        own = len(self.outstanding_by_work)
        others = self._others(now).requests
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
        """Whether the next request may go there now."""
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
        """The part of the fleet's requests that are this daemon's, on average.

        What a daemon sees of arrivals and of drained work is this part of what
        the fleet sees. Without it each of nine daemons would size the part for
        short prompts for a ninth of them.
        """
        return self._own_share

    def update_own_share(self, now: float) -> None:
        """Look at the fleet again; call about once a second."""
        states = self.states_by_id.values()
        own = sum(len(state.outstanding_by_work) for state in states)
        others = sum(state.others_requests(now) for state in states)
        if own + others:
            seen = max(LEAST_OWN_SHARE, own / (own + others))
            self._own_share += OWN_SHARE_RATE * (seen - self._own_share)

    def set_endpoints(self, endpoints_by_id: Mapping[str, Endpoint]) -> None:
        """Replace the known endpoints; those with work of ours stay, unlisted."""
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
        """Replace the shares; from now on they bound what is sent."""
        self.shared = True
        for endpoint_id, state in self.states_by_id.items():
            state.share = shares_by_endpoint.get(endpoint_id)

    def is_out(self, state: EndpointState) -> bool:
        """Whether operators have taken the endpoint's failure domain out."""
        return state.endpoint.failure_domain in self.domains_out

    def is_open(self, state: EndpointState, now: float) -> bool:
        """Whether new work may go to the endpoint now."""
        return not self.is_out(state) and state.is_open(now, self.shared)

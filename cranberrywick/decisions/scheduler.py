"""The default strategy, composed of the decision modules.

Work is admitted by its predicted wait, queued here in fair order, and sent only when
an endpoint is about to become free, because work that has been sent can no longer be
reordered. Each event costs a few dictionary and heap operations. Only the sweep, once
a second, the planning of gangs and changes of the configuration iterate over all
endpoints; nothing iterates over the whole queue.
"""

from collections.abc import Mapping
from heapq import heappop, heappush
from random import Random

from cranberrywick.decisions.admission import (
    EndpointCounts,
    wait_kind,
)
from cranberrywick.decisions.choosing import Chooser, Lane, needs_gang
from cranberrywick.decisions.cost import CostModel
from cranberrywick.decisions.fair_queue import FairQueue, QueuedWork
from cranberrywick.decisions.fleet import Fleet
from cranberrywick.decisions.jobs import Job
from cranberrywick.decisions.outcomes import Outcomes
from cranberrywick.decisions.placement import Choice
from cranberrywick.decisions.pools import PoolKey, Pools, PoolState
from cranberrywick.decisions.retries import RetryBudget, may_repeat
from cranberrywick.decisions.slow_endpoints import SlowEndpoints
from cranberrywick.decisions.strategy import Strategy, register_strategy
from cranberrywick.model import (
    ClassTargets,
    Endpoint,
    EndpointLoad,
    Executed,
    GiveUp,
    Queued,
    RefusalReason,
    Refused,
    Retry,
    Send,
    SendResult,
    Settled,
    Share,
    Work,
)

__all__ = ["Scheduler"]

SWEEP_INTERVAL_SECONDS = 1.0
# Mean retry time, in seconds, of refusals that overload did not cause. Waiting alone
# changes nothing there: the work needs a new endpoint or changed targets.
NO_OVERLOAD_RETRY_SECONDS = 5.0
# Time reserved for a prefill, as a multiple of its expected duration. The expectation
# is a mean: streams and cache misses make one prefill in twenty this slow.
PREFILL_MARGIN = 1.5
# Tolerance in seconds before queued work counts as late, so that rounding errors do
# not decide.
ROUNDING_SECONDS = 1e-6


@register_strategy("cranberrywick")
class Scheduler(Strategy):
    """Schedules requests by predicted wait, fair share and predicted first token.

    It combines admission, the fair queue, isolation, placement, retries and the
    detection of slow endpoints.
    """

    def __init__(self, seed: int):
        super().__init__(seed)
        self._random = Random(seed)
        self._cost = CostModel()
        self._fleet = Fleet()
        self._queue = FairQueue()
        self._slow = SlowEndpoints()
        self._budget = RetryBudget()
        self._pools = Pools(self._fleet, self._slow, self._cost, self._random)
        self._chooser = Chooser(self._fleet, self._slow, self._pools, self._random)
        self._outcomes = Outcomes(
            self._fleet, self._slow, self._pools, self._cost, self._budget
        )
        self._jobs_by_work: dict[str, Job] = {}
        self._latest_starts: list[tuple[float, str]] = []
        self._swept_at = float("-inf")

    # Arrival

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Queue the work if it can meet its targets, else refuse it at once."""
        key = PoolKey(work.model, work.adapter, work.service)
        state = self._pools.get(key, now)
        endpoint = state.sample_endpoint
        if endpoint is None:
            return self._refuse_without_overload(work, RefusalReason.NO_ENDPOINT)
        is_gang = needs_gang(work, endpoint)
        if is_gang and not self._chooser.gang_could_hold(work, state.pool):
            return self._refuse_without_overload(work, RefusalReason.NO_ENDPOINT)
        estimate = self._cost.estimate(work, endpoint)
        band = state.isolation.band(estimate.prefill_seconds)
        latest = self._latest_start(work, estimate.prefill_seconds, now)
        latest = min(latest, work.deadline - estimate.total_seconds)
        if latest < now:
            # Too long for its class even on an idle fleet. When such work counted as
            # demand, its organisation was marked hot and the refusal wrongly named
            # overload as the reason.
            reason = RefusalReason.CANNOT_MEET_TARGET
            return self._refuse_without_overload(work, reason)
        is_hot = work.organisation in state.hot_organisations
        state.hot_organisations.record_offered(
            work.organisation, estimate.prefill_seconds
        )
        share = self._fleet.own_share
        total = len(state.pool.states_by_id)
        endpoint_counts = EndpointCounts(
            share * total, share * state.pool.count_for(band)
        )
        slack = latest - now
        kind = wait_kind(band, slack)
        wait = state.admission.predicted_wait(
            work.organisation, kind, estimate.prefill_seconds, endpoint_counts, now
        )
        if not state.admission.allows(wait, slack):
            return self._refuse(work, state, wait, slack, estimate.prefill_seconds, now)
        if not is_hot:
            state.isolation.observe(band, estimate.prefill_seconds / share, now)
        lane = Lane(key, band, is_gang)
        queued = QueuedWork(work, lane, latest, estimate.prefill_seconds)
        self._enqueue(Job(queued, kind, wait, now))
        return Queued(work.work_id)

    def _refuse_without_overload(self, work: Work, reason: RefusalReason) -> Refused:
        """Return a refusal that does not count as a sign of overload."""
        retry_after = NO_OVERLOAD_RETRY_SECONDS * (0.5 + self._random.random())
        return Refused(work.work_id, reason, retry_after)

    @staticmethod
    def _latest_start(work: Work, prefill_seconds: float, now: float) -> float:
        """Return the latest time at which prefill can start and still be on time.

        A prompt that is too long to meet its first-token target even on an idle
        fleet has to meet its completion deadline only.
        """
        latest = work.first_token_deadline - PREFILL_MARGIN * prefill_seconds
        return latest if latest >= now else work.deadline - prefill_seconds

    def _refuse(
        self,
        work: Work,
        state: PoolState,
        wait: float,
        slack: float,
        seconds: float,
        now: float,
    ) -> Refused:
        admission = state.admission
        endpoint_count = self._fleet.own_share * len(state.pool.states_by_id)
        reason = RefusalReason.CANNOT_MEET_TARGET
        if work.organisation in state.hot_organisations:
            reason = RefusalReason.ORGANISATION_OVER_SHARE
        retry_after = admission.refuse(wait, slack, seconds, endpoint_count, now)
        return Refused(work.work_id, reason, retry_after)

    def _enqueue(self, job: Job) -> None:
        queued = job.queued
        self._jobs_by_work[job.work.work_id] = job
        self._queue.push(queued)
        heappush(self._latest_starts, (queued.latest_start, job.work.work_id))
        state = self._pools[queued.lane.pool]
        organisation = job.work.organisation
        state.admission.record_queued(organisation, job.kind, queued.cost_seconds)

    def _record_dequeued(self, job: Job) -> None:
        queued = job.queued
        state = self._pools[queued.lane.pool]
        organisation = job.work.organisation
        state.admission.record_dequeued(organisation, job.kind, queued.cost_seconds)

    # Decisions

    def poll(self, now: float) -> list[Send | GiveUp]:
        """Give up late work, and send work while endpoints are open for it."""
        if now >= self._swept_at + SWEEP_INTERVAL_SECONDS:
            self._swept_at = now
            self._pools.sweep(now)
        actions: list[Send | GiveUp] = self._give_up(now)
        blocked: set[Lane] = set()
        while (queued := self._next(blocked)) is not None:
            attempts = self._jobs_by_work[queued.work.work_id].attempts
            choice = self._chooser.choose(queued, attempts, now)
            if choice is None:
                blocked.add(queued.lane)
            else:
                actions.append(self._send(queued, choice, now))
        return actions

    def _next(self, blocked: set[Lane]) -> QueuedWork | None:
        """Return the most urgent head of the lanes that have an open endpoint.

        While any endpoint is ejected, every lane counts, since its head may be sent
        there as a probe.
        """
        best = None
        for lane in self._queue.lanes():
            pool = self._pools[lane.pool].pool
            is_open = pool.has_open(lane.band) or self._slow.ejected
            if lane in blocked or not is_open:
                continue
            head = self._queue.head(lane)
            if best is None or head.latest_start < best.latest_start:
                best = head
        return best

    def _send(self, queued: QueuedWork, choice: Choice, now: float) -> Send:
        work = queued.work
        band = queued.lane.band
        job = self._jobs_by_work[work.work_id]
        state = self._pools[queued.lane.pool]
        self._queue.pop(work.work_id)
        self._record_dequeued(job)
        state.admission.record_wait(job.kind, job.predicted_wait, now - job.queued_at)
        state.admission.record_served(band, choice.prefill_seconds, now)
        state.hot_organisations.record_served(queued.cost_seconds)
        state.pool.record_sent(work, choice.state)
        self._record_sent(work, choice, now)
        job.endpoint_id = choice.state.endpoint_id
        job.choice = choice
        self._pools.refresh(choice.state, now)
        return Send(work.work_id, choice.endpoint_ids, choice.gang_tokens)

    def _record_sent(self, work: Work, choice: Choice, now: float) -> None:
        gang = choice.gang
        choice.state.sent(
            work,
            choice.prefill_seconds,
            choice.cached_tokens,
            now,
            gang.leader.tokens if gang is not None else None,
        )
        for part in gang.helpers if gang is not None else ():
            helper = self._fleet.states_by_id[part.endpoint_id]
            helper.hold(work.work_id, part.tokens, now)

    def _give_up(self, now: float) -> list[Send | GiveUp]:
        """Remove the work whose latest start has passed and refuse it."""
        actions: list[Send | GiveUp] = []
        starts = self._latest_starts
        while starts and starts[0][0] < now - ROUNDING_SECONDS:
            latest, work_id = heappop(starts)
            job = self._jobs_by_work.get(work_id)
            if job is None or work_id not in self._queue:
                continue
            if job.queued.latest_start != latest:
                continue
            self._queue.remove(work_id)
            self._record_dequeued(job)
            del self._jobs_by_work[work_id]
            waited = now - job.queued_at
            admission = self._pools[job.queued.lane.pool].admission
            admission.record_wait(job.kind, job.predicted_wait, waited)
            actions.append(GiveUp(self._refuse_late(job, now)))
        return actions

    def _refuse_late(self, job: Job, now: float) -> Refused:
        state = self._pools[job.queued.lane.pool]
        seconds = job.queued.cost_seconds
        return self._refuse(job.work, state, 0.0, 0.0, seconds, now)

    def next_wake(self, now: float) -> float | None:
        """Return the next latest start or the next sweep, whichever is earlier.

        Return None while no request is queued or sent.
        """
        while self._latest_starts and (self._latest_starts[0][1] not in self._queue):
            heappop(self._latest_starts)
        if not self._jobs_by_work:
            return None
        wake = self._swept_at + SWEEP_INTERVAL_SECONDS
        if self._latest_starts:
            wake = min(wake, self._latest_starts[0][0] + 2 * ROUNDING_SECONDS)
        return wake

    # Outcomes

    def first_token(self, work_id: str, now: float) -> None:
        """Update the cost estimates and open the endpoint for its next prefill."""
        job = self._jobs_by_work.get(work_id)
        if job is not None:
            self._outcomes.first_token(job, now)

    def finished(
        self, work_id: str, result: SendResult, now: float
    ) -> Settled | Retry | Refused:
        """Release what the attempt held, and retry where that is safe and useful."""
        job = self._jobs_by_work.get(work_id)
        if job is None:
            return Settled(work_id)
        self._outcomes.release(job, now)
        state = self._fleet.states_by_id.get(result.endpoint_id)
        if result.succeeded:
            del self._jobs_by_work[work_id]
            self._outcomes.succeeded(job, state, result)
            return Settled(work_id)
        if state is not None:
            self._outcomes.failed(job, state, result, now)
        if self._may_retry(job, result, now):
            self._enqueue(job)
            return Retry(work_id)
        del self._jobs_by_work[work_id]
        if result.executed is Executed.NO and not job.attempts.may_have_run:
            return self._refuse_without_overload(job.work, RefusalReason.NO_ENDPOINT)
        return Settled(work_id)

    def _may_retry(self, job: Job, result: SendResult, now: float) -> bool:
        if not may_repeat(job.work, result) or job.attempts.is_last:
            return False
        queued = job.queued
        latest = self._latest_start(job.work, queued.cost_seconds, now)
        if latest <= now:
            return False
        pool_state = self._pools[queued.lane.pool]
        if not self._budget.take(pool_state.admission.is_overloaded(now)):
            return False
        job.queued = queued._replace(latest_start=latest)
        job.queued_at = now
        job.predicted_wait = 0.0
        return True

    def withdraw(self, work_id: str, now: float) -> None:
        """Remove the work, queued or sent, and release what it holds."""
        job = self._jobs_by_work.pop(work_id, None)
        if job is None:
            return
        if self._queue.remove(work_id) is not None:
            self._record_dequeued(job)
        else:
            self._outcomes.release(job, now)

    # Configuration and load reports

    def set_endpoints(
        self, endpoints_by_id: Mapping[str, Endpoint], now: float
    ) -> None:
        """Replace the known endpoints.

        Work at an endpoint that is no longer listed counts until it ends.
        """
        self._pools.set_endpoints(endpoints_by_id, now)

    def set_targets(self, targets_by_class: Mapping[str, ClassTargets]) -> None:
        """Replace the classes' targets."""
        self._pools.set_targets(targets_by_class)

    def set_domains_out(self, domains: frozenset[str], now: float) -> None:
        """Replace the failure domains that take no new work."""
        self._pools.set_domains_out(domains, now)

    def set_shares(self, shares_by_endpoint: Mapping[str, Share], now: float) -> None:
        """Replace what this daemon may use of each endpoint."""
        self._pools.set_shares(shares_by_endpoint, now)

    def report_load(self, load: EndpointLoad, now: float) -> None:
        """Apply one load report, which may be late or repeated."""
        self._pools.report(load, now)

"""Apply first tokens and the ends of attempts to the state of the endpoints.

An attempt holds a slot, a place in the prefill queue, and memory (at several endpoints
if it has a gang). However the attempt ends, `Outcomes.release` releases all of these.
"""

from cranberrywick.decisions.cost import CostModel
from cranberrywick.decisions.fleet import EndpointState, Fleet
from cranberrywick.decisions.jobs import Job
from cranberrywick.decisions.pools import Pools
from cranberrywick.decisions.retries import RetryBudget
from cranberrywick.decisions.slow_endpoints import SlowEndpoints
from cranberrywick.model import EndpointKind, EndpointPhase, SendResult

__all__ = ["Outcomes"]

# Lower bound of a measured prefill, in seconds: no first token arrives sooner after its
# prefill has started.
MIN_PREFILL_SECONDS = 1e-3


class Outcomes:
    """Updates the cost model, endpoint health and retry budget from attempts."""

    def __init__(
        self,
        fleet: Fleet,
        slow: SlowEndpoints,
        pools: Pools,
        cost: CostModel,
        budget: RetryBudget,
    ):
        self._fleet = fleet
        self._slow = slow
        self._pools = pools
        self._cost = cost
        self._budget = budget

    def first_token(self, job: Job, now: float) -> None:
        """Record the duration of the prefill and open the endpoint for the next one."""
        state = self.state_of(job)
        if state is None:
            return
        outstanding = state.first_token(job.work.work_id, now)
        if outstanding is None:
            return
        began = max(outstanding.sent_at, state.prefill_free_at)
        state.prefill_free_at = now
        seconds = max(now - began, MIN_PREFILL_SECONDS)
        self._learn_prefill(job, state, seconds, now)
        self._pools.refresh(state, now)

    def _learn_prefill(
        self, job: Job, state: EndpointState, seconds: float, now: float
    ) -> None:
        if state.endpoint.kind is EndpointKind.SERVICE:
            return
        if state.phase is EndpointPhase.COLD:
            return
        work = job.work
        cached = job.choice.cached_tokens
        endpoint_id = state.endpoint_id
        expected = self._cost.prefill_seconds(work, state.endpoint, cached)
        peers = len(self._fleet.states_by_id)
        self._slow.observe(endpoint_id, work.work_id, seconds, expected, peers, now)
        if self._slow.admits(endpoint_id):
            self._cost.observe_prefill(work, state.endpoint, cached, seconds)

    def succeeded(
        self, job: Job, state: EndpointState | None, result: SendResult
    ) -> None:
        """Credit the retry budget and update the estimates with the answer."""
        self._budget.earn()
        if state is None or result.first_token_seconds is None:
            return
        if state.phase is EndpointPhase.COLD or job.work.service is not None:
            return
        seconds = result.total_seconds - result.first_token_seconds
        tokens = result.output_tokens
        self._cost.observe_answer(job.work, state.endpoint, tokens, seconds)

    def failed(
        self, job: Job, state: EndpointState, result: SendResult, now: float
    ) -> None:
        """Update the endpoint's state by the failure and count the attempt."""
        if result.leaving:
            state.mark_leaving()
        elif result.cold:
            state.mark_cold(now)
        else:
            self._slow.record_failure(state.endpoint_id, job.work.work_id, now)
        job.attempts = job.attempts.with_failure(
            state.endpoint.failure_domain, result.executed
        )
        self._pools.refresh(state, now)

    def release(self, job: Job, now: float) -> None:
        """Release everything that the attempt holds."""
        state = self.state_of(job)
        work_id = job.work.work_id
        for endpoint_id in job.choice.endpoint_ids[1:] if job.choice else ():
            helper = self._fleet.states_by_id.get(endpoint_id)
            if helper is not None:
                helper.release(work_id, now)
        if state is None:
            return
        if work_id in state.prefilling_by_work:
            state.prefill_free_at = now
        state.ended(work_id, now)
        self._slow.record_withdrawal(state.endpoint_id, work_id, now)
        job.endpoint_id = None
        self._pools.refresh(state, now)

    def state_of(self, job: Job) -> EndpointState | None:
        """Return the state of the endpoint that the job was sent to.

        Return None if the job is not sent or the endpoint is no longer known.
        """
        if job.endpoint_id is None:
            return None
        return self._fleet.states_by_id.get(job.endpoint_id)

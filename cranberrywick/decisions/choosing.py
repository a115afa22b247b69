"""Which endpoint, or gang of endpoints, the head of a lane goes to now."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from cranberrywick.decisions.fair_queue import QueuedWork
from cranberrywick.decisions.fleet import EndpointState, Fleet
from cranberrywick.decisions.gangs import Candidate, GangPlan, plan_gang
from cranberrywick.decisions.isolation import BANDS
from cranberrywick.decisions.placement import Choice, Pool
from cranberrywick.decisions.pools import PoolKey, Pools
from cranberrywick.decisions.retries import Attempts
from cranberrywick.decisions.slow_endpoints import SlowEndpoints
from cranberrywick.model import Endpoint, EndpointKind, EndpointPhase, Work

__all__ = ["Chooser", "Lane", "needs_gang"]

# Memory for a gang frees in seconds; planning one takes about a millisecond.
GANG_PLAN_INTERVAL_SECONDS = 0.1
# Of an endpoint reserved for shorter prompts a gang leaves this part of the memory, or
# they would find endpoints free that cannot hold them.
RESERVED_MEMORY_SHARE = 0.5
# A probe may take this many times longer than expected and still be in time.
PROBE_SLACK_RATIO = 10.0


class Lane(NamedTuple):
    """Work that any endpoint can take which can take one of it.

    ``is_gang`` is for prompts above one endpoint's memory. They wait apart, since
    nothing behind them needs what they wait for.
    """

    pool: PoolKey
    band: int
    is_gang: bool = False


def needs_gang(work: Work, endpoint: Endpoint) -> bool:
    """Whether the prompt and its answer are more than the endpoint's memory."""
    if endpoint.kind is EndpointKind.SERVICE:
        return False
    return work.prompt_tokens + work.max_output_tokens > endpoint.cache_tokens


class Chooser:
    """Tries a probe, a gang or the best of a few open endpoints."""

    def __init__(self, fleet: Fleet, slow: SlowEndpoints, pools: Pools, random: Random):
        self._fleet = fleet
        self._slow = slow
        self._pools = pools
        self._random = random
        self._gang_planned_at = float("-inf")

    def choose(
        self, queued: QueuedWork, attempts: Attempts, now: float
    ) -> Choice | None:
        """Return where to send the work now, or None if nothing is free for it."""
        pool = self._pools[queued.lane.pool].pool
        if queued.lane.is_gang:
            return self._choose_gang(queued.work, pool, now)
        probe = self._probe(queued, pool, now)
        if probe is not None:
            return probe
        return self._choose_open(queued, pool, attempts, now)

    def _probe(self, queued: QueuedWork, pool: Pool, now: float) -> Choice | None:
        """Return an ejected endpoint to try with this short request, if one is due."""
        if queued.lane.band > 0 or not self._slow.ejected:
            return None
        slack = queued.latest_start - now
        if slack < PROBE_SLACK_RATIO * queued.cost_seconds:
            return None
        endpoint_id = self._slow.probe_due(now)
        state = pool.states_by_id.get(endpoint_id)
        if state is None or not self._fleet.is_open(state, now):
            return None
        self._slow.record_probe_sent(endpoint_id, queued.work.work_id, now)
        return pool.predict(queued.work, state, now)

    def _choose_open(
        self, queued: QueuedWork, pool: Pool, attempts: Attempts, now: float
    ) -> Choice | None:
        work = queued.work

        def allows(state: EndpointState) -> bool:
            if not self._pools.is_open(state, now):
                self._pools.refresh(state, now)
                return False
            return _has_memory(state, work, now)

        def allows_other_domain(state: EndpointState) -> bool:
            domain = state.endpoint.failure_domain
            return domain not in attempts.failed_domains and allows(state)

        candidates = pool.candidates(work, queued.lane.band, self._random)
        if attempts.count:
            choice = pool.best(work, candidates, now, allows_other_domain)
            if choice is not None:
                return choice
        return pool.best(work, candidates, now, allows)

    def _choose_gang(self, work: Work, pool: Pool, now: float) -> Choice | None:
        """Return the leader's place, if a gang has the memory now.

        This looks at every endpoint, so it is not done at every event.
        """
        if now < self._gang_planned_at + GANG_PLAN_INTERVAL_SECONDS:
            return None
        self._gang_planned_at = now

        def free_tokens(state: EndpointState) -> int:
            reserved = 0
            if not pool.accepts(state.endpoint_id, BANDS - 1):
                reserved = int(state.endpoint.cache_tokens * RESERVED_MEMORY_SHARE)
            return state.cache_tokens_free(now) - reserved

        plan = self._plan_gang(work, pool, free_tokens)
        if plan is None:
            return None
        leader = pool.states_by_id[plan.leader.endpoint_id]
        is_long = pool.accepts(leader.endpoint_id, BANDS - 1)
        if not is_long or not self._pools.is_open(leader, now):
            return None
        return pool.predict(work, leader, now)._replace(gang=plan)

    def could_hold(self, work: Work, pool: Pool) -> bool:
        """Whether a gang of idle endpoints could hold the prompt."""
        plan = self._plan_gang(work, pool, lambda state: state.endpoint.cache_tokens)
        return plan is not None

    def _plan_gang(
        self, work: Work, pool: Pool, free_tokens: Callable[[EndpointState], int]
    ) -> GangPlan | None:
        candidates = [
            Candidate(
                state.endpoint_id, state.endpoint.failure_domain, free_tokens(state)
            )
            for state in pool.states_by_id.values()
            if self._pools.is_usable(state) and state.phase is EndpointPhase.WARM
        ]
        return plan_gang(work.prompt_tokens, work.max_output_tokens, candidates)


def _has_memory(state: EndpointState, work: Work, now: float) -> bool:
    if state.endpoint.kind is EndpointKind.SERVICE:
        return True
    needed = work.prompt_tokens + work.max_output_tokens
    return state.cache_tokens_free(now) >= needed

"""Choose the endpoint, or the gang of endpoints, for the head of a lane."""

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

# Shortest interval between two attempts to plan a gang, in seconds. Planning one takes
# about a millisecond, while the memory for it takes seconds to become free.
GANG_PLAN_INTERVAL_SECONDS = 0.1
# Share of its memory that a gang leaves free at an endpoint reserved for shorter
# prompts. Otherwise those would find the endpoint open but without memory for them.
RESERVED_MEMORY_SHARE = 0.5
# A request may serve as a probe only if its slack is this many times its expected
# prefill, so that it is in time even at a slow endpoint.
PROBE_SLACK_RATIO = 10.0


class Lane(NamedTuple):
    """Work that waits for the same endpoints: of one pool and of one band.

    ``is_gang`` is true for prompts that exceed one endpoint's memory. They have a lane
    of their own, so that the work behind them, which fits one endpoint, need not wait
    until there is memory for a gang.
    """

    pool: PoolKey
    band: int
    is_gang: bool = False


def needs_gang(work: Work, endpoint: Endpoint) -> bool:
    """Whether the prompt and its longest answer exceed the endpoint's memory."""
    if endpoint.kind is EndpointKind.SERVICE:
        return False
    return work.prompt_tokens + work.max_output_tokens > endpoint.cache_tokens


class Chooser:
    """Chooses where queued work is sent.

    A prompt that exceeds one endpoint's memory gets a gang. Other work is sent as a
    probe if one is due, else to the best of a few open endpoints.
    """

    def __init__(self, fleet: Fleet, slow: SlowEndpoints, pools: Pools, random: Random):
        self._fleet = fleet
        self._slow = slow
        self._pools = pools
        self._random = random
        self._gang_planned_at = float("-inf")

    def choose(
        self, queued: QueuedWork, attempts: Attempts, now: float
    ) -> Choice | None:
        """Return where to send the work now, or None if no endpoint is open for it."""
        pool = self._pools[queued.lane.pool].pool
        if queued.lane.is_gang:
            return self._choose_gang(queued.work, pool, now)
        probe = self._probe(queued, pool, now)
        if probe is not None:
            return probe
        return self._choose_open(queued, pool, attempts, now)

    def _probe(self, queued: QueuedWork, pool: Pool, now: float) -> Choice | None:
        """Return an ejected endpoint to probe with this request, if one is due.

        Only requests of the shortest band with enough slack are used as probes.
        """
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
        """Return the leader's endpoint and the plan if a gang has the memory now.

        Planning iterates over every endpoint, so it is not done at every event.
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

    def gang_could_hold(self, work: Work, pool: Pool) -> bool:
        """Whether a gang could hold the prompt if all its endpoints were idle."""
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

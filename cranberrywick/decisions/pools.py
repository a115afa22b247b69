"""Pools of interchangeable endpoints, updated as the state of each endpoint changes.

A pool holds the endpoints that can take one kind of work. Whether an endpoint is
open changes with each event there, so every pool is updated at that event. What
changes with time alone (an overdue prefill, an outdated report, the number of
endpoints reserved for short prompts) is checked once a second.
"""

from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from cranberrywick.decisions.admission import Admission
from cranberrywick.decisions.cost import CostModel
from cranberrywick.decisions.fleet import EndpointState, Fleet
from cranberrywick.decisions.hot_organisations import HotOrganisations
from cranberrywick.decisions.isolation import Isolation
from cranberrywick.decisions.placement import Pool
from cranberrywick.decisions.slow_endpoints import SlowEndpoints
from cranberrywick.model import (
    ClassTargets,
    Endpoint,
    EndpointKind,
    EndpointLoad,
    Share,
)

__all__ = ["PoolKey", "PoolState", "Pools"]

# A daemon counts as the only sender if it has more than this share of the fleet's
# requests. The reports differ a little from its own counts even if no other sends.
SOLE_SENDER_SHARE = 0.9


class PoolKey(NamedTuple):
    """The model, adapter or service that an endpoint must have to take the work."""

    model: str
    adapter: str | None
    service: str | None


class PoolState:
    """One pool with its own admission, isolation and hot organisations."""

    def __init__(self, random: Random):
        self.pool: Pool | None = None
        self.isolation = Isolation()
        self.admission = Admission(random)
        self.hot_organisations = HotOrganisations()

    @property
    def sample_endpoint(self) -> Endpoint | None:
        """The first endpoint of the pool that is still listed, or None."""
        for state in self.pool.states_by_id.values():
            if state.listed:
                return state.endpoint
        return None


class Pools:
    """All pools over the endpoints of one fleet."""

    def __init__(
        self, fleet: Fleet, slow: SlowEndpoints, cost: CostModel, random: Random
    ):
        self._fleet = fleet
        self._slow = slow
        self._cost = cost
        self._random = random
        self._targets: Mapping[str, ClassTargets] = {}
        self._pools_by_key: dict[PoolKey, PoolState] = {}

    def __getitem__(self, key: PoolKey) -> PoolState:
        return self._pools_by_key[key]

    def get(self, key: PoolKey, now: float) -> PoolState:
        """Return the pool for this kind of work; the first request creates it."""
        state = self._pools_by_key.get(key)
        if state is None:
            state = PoolState(self._random)
            state.isolation.set_targets(self._targets)
            self._pools_by_key[key] = state
            self._build(key, state, now)
        return state

    def _build(self, key: PoolKey, state: PoolState, now: float) -> None:
        serving = [
            endpoint_state
            for endpoint_state in self._fleet.states_by_id.values()
            if endpoint_state.serves(key.model, key.adapter, key.service)
        ]
        previous = state.pool
        state.pool = Pool(serving, self._cost)
        if previous is not None:
            state.pool.inherit(previous)
        for endpoint_state in serving:
            is_open = self.is_open(endpoint_state, now)
            state.pool.set_open(endpoint_state.endpoint_id, is_open)

    def _rebuild(self, now: float) -> None:
        for key, state in self._pools_by_key.items():
            self._build(key, state, now)

    def is_open(self, state: EndpointState, now: float) -> bool:
        """Whether ordinary new work may go to the endpoint now."""
        is_open = self._fleet.is_open(state, now)
        return is_open and self._slow.admits(state.endpoint_id)

    def is_usable(self, state: EndpointState) -> bool:
        """Whether the endpoint is available, and neither ejected as slow nor down."""
        return self._is_available(state) and self._slow.admits(state.endpoint_id)

    def _is_available(self, state: EndpointState) -> bool:
        is_withdrawn = state.is_leaving or self._fleet.is_out(state)
        return state.listed and not is_withdrawn

    def refresh(self, state: EndpointState, now: float) -> None:
        """Update in every pool whether the endpoint is open."""
        is_open = self.is_open(state, now)
        for pool_state in self._pools_by_key.values():
            if state.endpoint_id in pool_state.pool.states_by_id:
                pool_state.pool.set_open(state.endpoint_id, is_open)

    def _refresh_all(self, now: float) -> None:
        for state in self._fleet.states_by_id.values():
            self.refresh(state, now)

    def set_endpoints(
        self, endpoints_by_id: Mapping[str, Endpoint], now: float
    ) -> None:
        """Replace the known endpoints."""
        self._fleet.set_endpoints(endpoints_by_id)
        for endpoint_id in self._slow.tracked():
            if endpoint_id not in endpoints_by_id:
                self._slow.forget(endpoint_id)
        self._rebuild(now)

    def set_targets(self, targets_by_class: Mapping[str, ClassTargets]) -> None:
        """Replace the classes' targets, from which the limits of the bands follow."""
        self._targets = dict(targets_by_class)
        for state in self._pools_by_key.values():
            state.isolation.set_targets(self._targets)

    def set_domains_out(self, domains: frozenset[str], now: float) -> None:
        """Replace the failure domains that take no new work."""
        self._fleet.domains_out = frozenset(domains)
        self._refresh_all(now)

    def set_shares(self, shares_by_endpoint: Mapping[str, Share], now: float) -> None:
        """Replace what this daemon may use of each endpoint."""
        self._fleet.set_shares(shares_by_endpoint)
        self._refresh_all(now)

    def report(self, load: EndpointLoad, now: float) -> None:
        """Apply one load report; one of an unknown endpoint is ignored."""
        state = self._fleet.states_by_id.get(load.endpoint_id)
        if state is None:
            return
        models = state.models
        is_new = state.report(load)
        self._slow.record_report(load, is_new)
        if is_new:
            for pool_state in self._pools_by_key.values():
                pool_state.pool.clear_cache(load.endpoint_id)
        if state.models != models:
            self._rebuild(now)
        else:
            self.refresh(state, now)

    def sweep(self, now: float) -> None:
        """Apply what changes with time alone; call about once a second."""
        for state in self._fleet.states_by_id.values():
            self._check_overdue(state, now)
            self.refresh(state, now)
        self._fleet.update_own_share(now)
        for pool_state in self._pools_by_key.values():
            pool_state.hot_organisations.update(now)
            pool_state.pool.is_sole_sender = self._fleet.own_share > SOLE_SENDER_SHARE
            usable = self._usable_endpoints(pool_state.pool, now)
            if usable:
                pool_state.pool.set_longest_bands(
                    pool_state.isolation.longest_bands(usable, now)
                )

    def _check_overdue(self, state: EndpointState, now: float) -> None:
        """Check the oldest prefill at the endpoint; later ones only wait for it."""
        if state.endpoint.kind is not EndpointKind.ENGINE:
            return
        peers = len(self._fleet.states_by_id)
        for work_id, outstanding in state.prefilling_by_work.items():
            elapsed = now - max(outstanding.sent_at, state.prefill_free_at)
            expected = outstanding.prefill_seconds
            self._slow.check_overdue(
                state.endpoint_id, work_id, expected, elapsed, peers, now
            )
            return

    def _usable_endpoints(self, pool: Pool, now: float) -> list[Endpoint]:
        available = [s for s in pool.states_by_id.values() if self._is_available(s)]
        usable = [s for s in available if self._slow.admits(s.endpoint_id)]
        if available and not usable:
            self._slow.readmit_all(state.endpoint_id for state in available)
            for state in available:
                self.refresh(state, now)
        return [state.endpoint for state in usable or available]

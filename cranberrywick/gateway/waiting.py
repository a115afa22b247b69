"""Requests that wait for a place at an endpoint."""

import asyncio
import random
from functools import partial
from math import inf
from typing import NamedTuple

from cranberrywick.errors import Overloaded
from cranberrywick.gateway.state import FleetState
from cranberrywick.routing.demand import Demand, fits_fleet, least_seconds
from cranberrywick.routing.endpoint_index import EndpointPool
from cranberrywick.routing.fleet_limits import LEAST_RATE
from cranberrywick.routing.limited_choice import limited_seconds
from cranberrywick.routing.placement import Placement, Placer
from cranberrywick.routing.queue_order import order_key
from cranberrywick.routing.retry_after import LimitedReturns, ServiceOutages

__all__ = ["WaitingRequests"]

# Predictions get better with time even if nothing happens: a reading that was to
# end has ended. Looked at again after this, in seconds.
LOOK_AGAIN_SECONDS = 0.02
# Nothing is served in less than this. A request without a place so close to its
# deadline is refused while its caller still has time to hear of it.
LEAST_SERVICE_SECONDS = 0.05


class _Waiter(NamedTuple):
    demand: Demand
    priority: int
    due_at: float
    deadline: float
    place: asyncio.Future


class WaitingRequests:
    """Places requests, the most urgent first, as soon as there is a place."""

    def __init__(self, state: FleetState, placer: Placer):
        self._state = state
        self._placer = placer
        self._loop = asyncio.get_running_loop()
        self._outages = ServiceOutages(random.Random())
        self._returns = LimitedReturns(random.Random())
        self._waiters: list[_Waiter] = []
        self._scheduled: asyncio.Handle | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    async def place(
        self, demand: Demand, priority: int, due_at: float, deadline: float
    ) -> Placement:
        """Return a place, which is counted as taken from then on.

        ``due_at`` is the moment at which the answer should begin. Raises `Overloaded`
        when no endpoint of the service is known, when their rate limits leave no room
        for too long, and as soon as no answer can begin before ``deadline``.
        """
        placement = None
        if not self._waiters:
            placement = self._try(demand)
        if placement is not None:
            return placement
        place = self._loop.create_future()
        waiter = _Waiter(demand, priority, due_at, deadline, place)
        self._waiters.append(waiter)
        self.schedule_placing()
        try:
            return await waiter.place
        finally:
            # A place that was given in this very moment is given back by the
            # caller of this method, who drops the request's jobs in every case.
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def schedule_placing(self) -> None:
        """Look soon whether a request that waits can go on."""
        if self._waiters and self._scheduled is None:
            self._scheduled = self._loop.call_soon(self._place_all)

    def _place_all(self) -> None:
        self._scheduled = None
        now = self._loop.time()
        self._waiters.sort(key=lambda w: order_key(w.priority, w.due_at, now))
        for waiter in list(self._waiters):
            if waiter.place.done():
                self._waiters.remove(waiter)
                continue
            self._serve(waiter)
        if self._waiters:
            self._scheduled = self._loop.call_later(LOOK_AGAIN_SECONDS, self._place_all)

    def _serve(self, waiter: _Waiter) -> None:
        try:
            placement = self._try(waiter.demand)
            if placement is None:
                self._refuse_hopeless(waiter)
        except Overloaded as error:
            self._waiters.remove(waiter)
            waiter.place.set_exception(error)
            return
        if placement is not None:
            self._waiters.remove(waiter)
            waiter.place.set_result(placement)

    def _refuse_hopeless(self, waiter: _Waiter) -> None:
        """Raise `Overloaded` for a request that can only miss its deadline."""
        left = waiter.deadline - self._loop.time()
        if left >= max(least_seconds(waiter.demand), LEAST_SERVICE_SECONDS):
            return
        raise Overloaded("no place is free in time")

    def _try(self, demand: Demand) -> Placement | None:
        service = demand.service.name
        usable = self._state.registry.index.ready(service, self._state.domains_out)
        last_resort = partial(self._state.last_resort, service)
        now = self._loop.time()
        if not fits_fleet(demand, usable) and not fits_fleet(demand, last_resort()):
            raise Overloaded(
                "no endpoints that could hold the request are known",
                retry_after=self._outages.retry_seconds(
                    service, self._state.store_is_away, now
                ),
            )
        self._outages.ended(service)
        placement = self._placer.place(demand, usable, now, last_resort)
        if placement is None:
            self._refuse_limited(demand, usable, now)
            return None
        self._state.load.put(demand.request_id, placement.jobs)
        self._state.peer_updates.job_added()
        return placement

    def _refuse_limited(self, demand: Demand, usable: EndpointPool, now: float) -> None:
        """Raise `Overloaded` for a request that limits keep back for too long."""
        limit_wait = self._state.peer_updates.limits.wait_seconds
        wait = limited_seconds(demand, usable, limit_wait, now)
        if wait is None:
            return
        raise Overloaded(
            "the endpoints' rate limits leave no room in time",
            retry_after=self.limited_retry_seconds(demand.service.name, wait),
        )

    def limited_retry_seconds(self, service: str, wait: float) -> float:
        """Return when a caller should come back whom rate limits have kept out.

        ``wait`` is after how many seconds the first endpoint may have room.
        """
        state = self._state
        now = self._loop.time()
        usable = state.registry.index.ready(service, state.domains_out)
        limits = state.peer_updates.limits
        rates = (limits.rate(tracked.endpoint_id) for tracked in usable)
        total = sum(rate for rate in rates if rate < inf)
        pause = state.members.count(now) / max(total, LEAST_RATE)
        return self._returns.retry_seconds(service, wait, pause, now)

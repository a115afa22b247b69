"""Requests that wait for a place at an endpoint."""

import asyncio
from typing import NamedTuple

from cranberrywick.errors import Overloaded
from cranberrywick.gateway.state import FleetState
from cranberrywick.routing.placement import (
    Demand,
    Placement,
    Placer,
    fits_fleet,
)
from cranberrywick.routing.queue_order import order_key
from cranberrywick.routing.retry_after import retry_after_seconds

__all__ = ["WaitingRequests"]

# Predictions get better with time even if nothing happens: a reading that was to
# end has ended. Looked at again after this, in seconds.
LOOK_AGAIN_SECONDS = 0.02


class _Waiter(NamedTuple):
    demand: Demand
    priority: int
    due_at: float
    place: asyncio.Future


class WaitingRequests:
    """Places requests, the most urgent first, as soon as there is a place."""

    def __init__(self, state: FleetState, placer: Placer):
        self._state = state
        self._placer = placer
        self._loop = asyncio.get_running_loop()
        self._waiters: list[_Waiter] = []
        self._scheduled: asyncio.Handle | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    async def place(self, demand: Demand, priority: int, due_at: float) -> Placement:
        """Return a place, which is counted as taken from then on.

        ``due_at`` is the moment at which the answer should begin. Raises
        `Overloaded` when no endpoint of the service is known.
        """
        placement = None
        if not self._waiters:
            placement = self._try(demand)
        if placement is not None:
            return placement
        waiter = _Waiter(demand, priority, due_at, self._loop.create_future())
        self._waiters.append(waiter)
        self.look()
        try:
            return await waiter.place
        finally:
            # A place that was given in this very moment is given back by the
            # caller of this method, who drops the request's jobs in every case.
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def look(self) -> None:
        """Look soon whether a request that waits can go on."""
        if self._waiters and self._scheduled is None:
            self._scheduled = self._loop.call_soon(self._look)

    def _look(self) -> None:
        self._scheduled = None
        now = self._loop.time()
        self._waiters.sort(key=lambda w: order_key(w.priority, w.due_at, now))
        for waiter in list(self._waiters):
            if waiter.place.done():
                self._waiters.remove(waiter)
                continue
            self._serve(waiter)
        if self._waiters:
            self._scheduled = self._loop.call_later(LOOK_AGAIN_SECONDS, self._look)

    def _serve(self, waiter: _Waiter) -> None:
        try:
            placement = self._try(waiter.demand)
        except Overloaded as error:
            self._waiters.remove(waiter)
            waiter.place.set_exception(error)
            return
        if placement is not None:
            self._waiters.remove(waiter)
            waiter.place.set_result(placement)

    def _try(self, demand: Demand) -> Placement | None:
        usable = self._state.registry.index.ready(
            demand.service.name, self._state.domains_out
        )
        if not fits_fleet(demand, usable):
            raise Overloaded(
                "no endpoints that could hold the request are known",
                retry_after=retry_after_seconds(self._state.store_is_away, True),
            )
        placement = self._placer.place(demand, usable, self._loop.time())
        if placement is not None:
            self._state.load.put(demand.request_id, placement.jobs)
            self._state.news.job_added()
        return placement

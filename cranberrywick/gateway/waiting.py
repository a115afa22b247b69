"""Requests that wait until an endpoint has room for them.

A placement is the choice of the endpoint that answers a request and of its helpers.
"""

import asyncio
import random
from collections import Counter
from functools import partial
from math import inf

from cranberrywick.errors import Overloaded, RequestQuarantined
from cranberrywick.gateway.contention import Contention
from cranberrywick.gateway.deferrals import retry_seconds
from cranberrywick.gateway.drain import FIRST_REFUSAL_SECONDS, Drain
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.waiter import Waiter
from cranberrywick.routing.demand import (
    Demand,
    fits_fleet,
    min_first_event_seconds,
    seconds_until_fits,
)
from cranberrywick.routing.endpoint_index import EndpointPool
from cranberrywick.routing.fleet_limits import MIN_RATE
from cranberrywick.routing.limited_choice import limited_seconds
from cranberrywick.routing.placement import Placement, Placer
from cranberrywick.routing.queue_order import order_key
from cranberrywick.routing.request_traits import RequestTraits
from cranberrywick.routing.retry_after import (
    BackoffReturns,
    LimitedReturns,
    ServiceOutages,
)

__all__ = ["WaitingRequests"]

# Interval at which waiting requests are tried again, in seconds. An endpoint may have
# room without an event that says so: predicted loads fall with time, for instance when
# the prefill of a prompt should be over.
RETRY_INTERVAL_SECONDS = 0.02
# Least time for serving a request, in seconds. A request without a placement this
# close to its deadline is refused, while its caller can still receive the refusal.
MIN_SERVICE_SECONDS = 0.05
# Interval at which a stopping daemon checks whether waiting requests still get their
# turn, in seconds.
TURN_CHECK_SECONDS = 0.5


class WaitingRequests:
    """Places requests as soon as endpoints have room, the most urgent first.

    Requests wait in the order of their priority, then whether they can still be on
    time, then the moment at which their answer should begin.
    """

    def __init__(
        self,
        state: FleetState,
        placer: Placer,
        contention: Contention,
        drain: Drain,
    ):
        self._state = state
        self._placer = placer
        self._contention = contention
        self._drain = drain
        self._loop = asyncio.get_running_loop()
        self._outages = ServiceOutages(random.Random())
        self._returns = LimitedReturns(random.Random())
        self._backoff_returns = BackoffReturns(random.Random())
        self._waiters_by_id: dict[str, Waiter] = {}
        # The retries of deferred requests.
        self._timers_by_id: dict[str, asyncio.TimerHandle] = {}
        # Deferred requests whose retry is due; they are tried with those that wait.
        self._due_by_id: dict[str, Waiter] = {}
        self._scheduled: asyncio.Handle | None = None

    def __len__(self) -> int:
        deferred = len(self._timers_by_id) + len(self._due_by_id)
        return len(self._waiters_by_id) + deferred

    async def place(
        self, demand: Demand, priority: int, due_at: float, deadline: float
    ) -> Placement:
        """Return a placement and add its jobs to the load of its endpoints.

        The answer should begin at ``due_at`` and must begin by ``deadline``, both
        times of the event loop. Raises `Overloaded` when no known endpoints of the
        service could hold the request, when their rate limits or their backoffs leave
        no room for too long, and as soon as no answer can begin before the deadline;
        `Draining` as soon as it can't be finished before the daemon ends; and
        `RequestQuarantined` as `refuse_quarantined` does.
        """
        now = self._loop.time()
        future = self._loop.create_future()
        waiter = Waiter(demand, priority, now, due_at, deadline, future)
        self._contention.request_arrived(waiter, now)
        if self._waiters_by_id:
            self._append(waiter)
        else:
            self._try_placing(waiter)
        if future.done():
            return future.result()
        try:
            return await future
        finally:
            # The waiter is still known here if this task was cancelled. If that
            # happened just after the request was placed, its jobs are in the load
            # already; the caller of this method always drops them.
            self._remove(waiter)
            self._contention.request_left(waiter, self._loop.time())

    def schedule_placing(self) -> None:
        """Try to place the waiting requests soon.

        They are tried in the next iteration of the event loop, or with the retry that
        is already scheduled, after at most `RETRY_INTERVAL_SECONDS`.
        """
        if self._waiters_by_id and self._scheduled is None:
            self._scheduled = self._loop.call_soon(self._place_waiting)

    def begin_drain(self) -> None:
        """Refuse from now on the requests that get no turn before the daemon ends."""
        self._loop.call_later(FIRST_REFUSAL_SECONDS, self._refuse_without_turn)

    def _refuse_without_turn(self) -> None:
        """Refuse what gets no turn, and check the rest again later.

        More becomes known of the requests that are before them.
        """
        now = self._loop.time()
        if now < self._drain.answer_by:
            self._loop.call_later(TURN_CHECK_SECONDS, self._refuse_without_turn)
        ahead_by_service: Counter[str] = Counter()
        for waiter in self._in_order(now):
            try:
                ahead = ahead_by_service[waiter.service]
                self._drain.check_turn(waiter.demand, ahead, now)
                ahead_by_service[waiter.service] += 1
            except Exception as error:  # Its failure, or its refusal, is its own.
                self._refuse(waiter, error)

    def _in_order(self, now: float) -> list[Waiter]:
        """Return the requests that wait, the most urgent first."""
        rank = self._contention.effective_rank
        waiters = [*self._waiters_by_id.values(), *self._due_by_id.values()]
        waiters.sort(key=lambda w: order_key(rank(w, now), w.due_at, now))
        return waiters

    def _place_waiting(self) -> None:
        self._scheduled = None
        waiters = self._in_order(self._loop.time())
        # Set before the tries, so that a deferred request that begins to wait does not
        # schedule another pass at once.
        self._scheduled = self._loop.call_later(
            RETRY_INTERVAL_SECONDS, self._place_waiting
        )
        for waiter in waiters:
            self._retry(waiter)
        if not self._waiters_by_id:
            self._scheduled.cancel()
            self._scheduled = None

    def _append(self, waiter: Waiter) -> None:
        """Let a request wait for room, unless it does already."""
        request_id = waiter.demand.request_id
        if request_id in self._waiters_by_id:
            return
        self._due_by_id.pop(request_id, None)
        self._waiters_by_id[request_id] = waiter
        self._contention.waiting_began(waiter)
        self.schedule_placing()

    def _defer(self, waiter: Waiter, placement: Placement, now: float) -> None:
        """Try a request again later that is deferred for more urgent ones."""
        self._timers_by_id[waiter.demand.request_id] = self._loop.call_later(
            retry_seconds(waiter, placement, now), self._retry_deferred, waiter
        )

    def _retry_deferred(self, waiter: Waiter) -> None:
        """Try a deferred request again, in its turn if other requests wait.

        It doesn't count as waiting until no placement is found for it: peers would
        defer requests of their own because of it.
        """
        del self._timers_by_id[waiter.demand.request_id]
        if self._waiters_by_id:
            self._due_by_id[waiter.demand.request_id] = waiter
            self.schedule_placing()
        else:
            self._retry(waiter)

    def _retry(self, waiter: Waiter) -> None:
        """Try to place a request that waited; end its wait if it can't be placed."""
        if waiter.placement_future.done():
            self._remove(waiter)
            return
        try:
            self._try_placing(waiter)
        except Exception as error:  # Its failure, or its refusal, is its own.
            self._refuse(waiter, error)

    def _refuse(self, waiter: Waiter, error: Exception) -> None:
        self._remove(waiter)
        if not waiter.placement_future.done():
            waiter.placement_future.set_exception(error)

    def _remove(self, waiter: Waiter) -> None:
        """Remove a request that waits or is deferred, if it is known here."""
        request_id = waiter.demand.request_id
        if self._waiters_by_id.pop(request_id, None) is not None:
            self._contention.waiting_ended(waiter)
        self._due_by_id.pop(request_id, None)
        timer = self._timers_by_id.pop(request_id, None)
        if timer is not None:
            timer.cancel()

    def _waiting_for(self, service: str) -> int:
        return sum(waiter.service == service for waiter in self._waiters_by_id.values())

    def _has_been_tried(self, waiter: Waiter) -> bool:
        request_id = waiter.demand.request_id
        return request_id in self._waiters_by_id or request_id in self._due_by_id

    def _try_placing(self, waiter: Waiter) -> None:
        """Place a request, or let it wait; raises `Overloaded` for one that can't be.

        A placement becomes the result of its future and is recorded in the load.
        """
        now = self._loop.time()
        demand = waiter.demand
        self.refuse_quarantined(demand.traits, demand.request_id, demand.logged_id)
        placement = self._find_placement(waiter.demand, now)
        if placement is None:
            # The sample may have missed a free endpoint: a second try follows at once.
            if self._has_been_tried(waiter):
                self._refuse_hopeless(waiter)
            elif self._drain.is_active:
                self._drain.check_turn(demand, self._waiting_for(waiter.service), now)
            self._drain.check_wait(demand, now)
            self._contention.check_servable(waiter, now)
            self._append(waiter)
            return
        self._drain.check_placement(demand, placement, now)
        # With a placement it doesn't wait for room any more, and must not count as one
        # of those that it might be deferred for.
        self._remove(waiter)
        if self._contention.may_start(waiter, placement, now):
            self._state.load.put(waiter.demand.request_id, placement.jobs)
            self._state.peer_updates.job_added()
            waiter.placement_future.set_result(placement)
        else:
            self._defer(waiter, placement, now)

    def refuse_quarantined(
        self, traits: RequestTraits | None, request_key: str, request_id: str
    ) -> None:
        """Raise `RequestQuarantined` if endpoints crash under one of these traits.

        ``request_key`` is unique in this daemon, ``request_id`` the caller's.
        """
        if traits is None:
            return
        crashes = self._state.peer_updates.crashes
        quarantine = crashes.find(traits, request_key, request_id)
        if quarantine is None:
            return
        raise RequestQuarantined(
            f"endpoints crash under {quarantine.trait_id}",
            retry_after=max(0.0, quarantine.ends_at - self._loop.time()),
        )

    def _refuse_hopeless(self, waiter: Waiter) -> None:
        """Raise `Overloaded` for a request that can no longer meet its deadline."""
        left = waiter.deadline - self._loop.time()
        if left >= max(min_first_event_seconds(waiter.demand), MIN_SERVICE_SECONDS):
            return
        raise Overloaded("no place is free in time")

    def _find_placement(self, demand: Demand, now: float) -> Placement | None:
        """Return a placement, or None if the request must wait.

        Raises `Overloaded` for a request that can't be placed in time.
        """
        service = demand.service.name
        usable = self._state.usable_endpoints.ready(service)
        last_resort = partial(self._state.usable_endpoints.last_resort, service)
        if not fits_fleet(demand, usable) and not fits_fleet(demand, last_resort()):
            if self._may_wait_for_backoff(demand, usable, now):
                return None
            raise Overloaded(
                "no endpoints that could hold the request are known",
                retry_after=self.outage_retry_seconds(service),
            )
        self._outages.ended(service)
        placement = self._placer.place(demand, usable, now, last_resort)
        if placement is None:
            self._refuse_limited(demand, usable, now)
        return placement

    def _may_wait_for_backoff(
        self, demand: Demand, usable: EndpointPool, now: float
    ) -> bool:
        """Return whether endpoints will soon be usable again that have backed off.

        Raises `Overloaded` if that takes too long.
        """
        backing_off = self._state.usable_endpoints.backing_off(demand.service.name)
        wait = seconds_until_fits(demand, usable, backing_off, now)
        if wait is None or wait <= demand.longest_wait:
            return wait is not None
        raise Overloaded(
            "the endpoints have asked for a time without requests",
            retry_after=self._backoff_returns.retry_seconds(wait),
        )

    def outage_ended(self, service: str) -> None:
        """Record that a service was reached."""
        self._outages.ended(service)

    def outage_retry_seconds(self, service: str) -> float:
        """Return after how many seconds a caller may return to a lost service."""
        return self._outages.retry_seconds(
            service, self._state.store_is_unavailable, self._loop.time()
        )

    def backoff_retry_seconds(self, service: str) -> float:
        """Return after how many seconds a refused caller of a service may return.

        It is 0 unless all endpoints are in a backoff.
        """
        endpoints = self._state.usable_endpoints
        if endpoints.ready(service) or endpoints.last_resort(service):
            return 0.0
        ends = [each.backoff_until for each in endpoints.backing_off(service)]
        if not ends:
            return 0.0
        return self._backoff_returns.retry_seconds(min(ends) - self._loop.time())

    def _refuse_limited(self, demand: Demand, usable: EndpointPool, now: float) -> None:
        """Raise `Overloaded` for a request that rate limits delay for too long."""
        limit_wait = self._state.peer_updates.limits.wait_seconds
        wait = limited_seconds(demand, usable, limit_wait, now)
        if wait is None:
            return
        raise Overloaded(
            "the endpoints' rate limits leave no room in time",
            retry_after=self.limited_retry_seconds(demand.service.name, wait),
        )

    def limited_retry_seconds(self, service: str, wait: float) -> float:
        """Return after how many seconds a caller refused for rate limits may return.

        ``wait`` is the time until the first endpoint may have room, in seconds.
        Callers are spread over time, at this daemon's share of the endpoints' rates.
        """
        state = self._state
        now = self._loop.time()
        usable = state.usable_endpoints.ready(service)
        limits = state.peer_updates.limits
        rates = (limits.rate(tracked.endpoint_id) for tracked in usable)
        total = sum(rate for rate in rates if rate < inf)
        pause = state.members.count(now) / max(total, MIN_RATE)
        return self._returns.retry_seconds(service, wait, pause, now)

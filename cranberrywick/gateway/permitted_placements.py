"""Placement of requests at endpoints whose rate limits admit them."""

import asyncio

from cranberrywick.errors import Overloaded
from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.permits import Admission
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.logs import EventLog
from cranberrywick.routing.fleet_limits import longest_permit_wait
from cranberrywick.routing.placement import Placement

__all__ = ["PermittedPlacements"]

# Largest number of permits that are requested for one request. After a refusal the
# request is placed again; after this many, most of its endpoints are at their limits.
MAX_PERMITS_REQUESTED = 8


class PermittedPlacements:
    """Places requests and requests permits for endpoints that have a rate limit."""

    def __init__(
        self,
        failure_domain: str,
        state: FleetState,
        waiting: WaitingRequests,
        drain: Drain,
        metrics: LazyMetrics,
        log: EventLog,
    ):
        self._failure_domain = failure_domain
        self._state = state
        self._waiting = waiting
        self._drain = drain
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()

    async def take(self, exchange: Exchange) -> Placement:
        """Return a placement at an endpoint whose rate limit admits the request now.

        Raises `Overloaded` after `MAX_PERMITS_REQUESTED` refused permits, and as
        `WaitingRequests.place` does.
        """
        is_retry = exchange.sent_at is not None
        for _ in range(MAX_PERMITS_REQUESTED):
            placement = await self._place(exchange, is_retry)
            is_retry = True
            requested_at = self._loop.time()
            admission = await self._state.peer_updates.permits.admit(
                placement.endpoint_id, placement.longest_wait
            )
            if admission.steward:
                seconds = self._loop.time() - requested_at
                self._record_permit(exchange, placement.endpoint_id, admission, seconds)
            if admission.granted:
                if exchange.placed_at is None:
                    exchange.placed_at = self._loop.time()
                return placement
            self._state.load.drop(exchange.key)
        service = exchange.service.name
        raise Overloaded(
            "the endpoints' rate limits leave no room",
            retry_after=self._waiting.limited_retry_seconds(service, 0.0),
        )

    def _record_permit(
        self,
        exchange: Exchange,
        endpoint_id: str,
        admission: Admission,
        seconds: float,
    ) -> None:
        self._metrics.permit_asked(exchange.route.name, admission.granted, seconds)
        now = self._loop.time()
        limits = self._state.peer_updates.limits
        self._log.info(
            "permit_asked",
            request_id=exchange.meta.request_id,
            endpoint=endpoint_id,
            steward=admission.steward,
            granted=admission.granted,
            seconds=seconds,
            limit=limits.rate(endpoint_id),
            limit_age=limits.age(endpoint_id, now),
            next_after=limits.wait_seconds(endpoint_id, now),
        )

    async def _place(self, exchange: Exchange, is_retry: bool) -> Placement:
        last_at = min(exchange.deadline, self._drain.answer_by)
        longest_wait = longest_permit_wait(max(0.0, last_at - self._loop.time()))
        demand = exchange.demand(self._failure_domain, longest_wait, is_retry)
        return await self._waiting.place(
            demand, exchange.priority, demand.due_at, exchange.deadline
        )

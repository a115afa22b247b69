"""Slowdowns and rate limits of endpoints, as observed in their answers."""

import asyncio
from collections.abc import Callable
from math import isfinite

from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.state import FleetState
from cranberrywick.logs import EventLog
from cranberrywick.platform.headers import ResponseMeta
from cranberrywick.routing.slowdown import StreamPauses, call_slowdown

__all__ = ["EndpointObservations"]


class EndpointObservations:
    """Records what attempts show about endpoints, and sends updates of it to peers."""

    def __init__(self, state: FleetState, metrics: LazyMetrics, log: EventLog):
        self._state = state
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()

    def record_head(self, exchange: Exchange, status: int, meta: ResponseMeta) -> None:
        """Record the rate limit that an answer names, or that it names none any more.

        The decoded limit is in requests per second, infinite where there is none, and
        None if the answer says nothing about limits.
        """
        if meta.rate_limit is None:
            return
        if isfinite(meta.rate_limit):
            self._metrics.limit_named(exchange.route.name)
        peer_updates = self._state.peer_updates
        change = peer_updates.limits.observe(
            exchange.endpoint_id, meta.rate_limit, self._loop.time()
        )
        if change is None:
            return
        peer_updates.limit_changed()
        self._log.warning(
            "endpoint_limit_changed",
            **change.log_fields,
            status=status,
            request_id=exchange.meta.request_id,
        )

    def pause_recorder(self, exchange: Exchange) -> Callable[[str, float], None]:
        """Return the callback that records the pauses of an attempt's stream.

        It is called with the endpoint's id and a pause, in seconds.
        """
        profile = exchange.service.engine
        declared = profile.stride * profile.step_seconds if profile else 0.0
        pauses = StreamPauses(declared)

        def record(endpoint_id: str, seconds: float) -> None:
            # The prefill that the engine is known to have to do also lengthens the
            # pause, but does not show that the engine is slow.
            slowdown = pauses.record(
                seconds - self._state.load.prefill_seconds_at(endpoint_id)
            )
            if slowdown is not None:
                self._record_slowdown(exchange, endpoint_id, slowdown)

        return record

    def _record_slowdown(
        self, exchange: Exchange, endpoint_id: str, slowdown: float
    ) -> None:
        peer_updates = self._state.peer_updates
        if not peer_updates.slowdowns.observe(endpoint_id, slowdown, self._loop.time()):
            return
        peer_updates.slowdown_changed()
        self._log.warning(
            "endpoint_pace_changed",
            endpoint=endpoint_id,
            pace=slowdown,
            request_id=exchange.meta.request_id,
        )

    def record_call_end(self, exchange: Exchange) -> None:
        """Record an endpoint as slow if a plain call took longer than its target."""
        if exchange.is_stream:
            return
        seconds = self._loop.time() - exchange.sent_at
        slowdown = call_slowdown(seconds, exchange.route.target_seconds)
        # A call within its target shows nothing: calls differ, and a short one is fast
        # at a slow endpoint too.
        if slowdown > 1:
            self._record_slowdown(exchange, exchange.endpoint_id, slowdown)

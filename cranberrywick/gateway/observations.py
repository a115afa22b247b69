"""What the answers of endpoints show about them: their pace, limits and notices."""

import asyncio
from collections.abc import Callable
from math import isfinite

from cranberrywick.gateway.exchange import AnswerSource, Exchange
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.state import FleetState
from cranberrywick.logs import EventLog
from cranberrywick.platform.headers import ResponseMeta
from cranberrywick.routing.drain_notices import DrainNotice
from cranberrywick.routing.slowdown import LatePauses, StreamPauses, call_slowdown

__all__ = ["EndpointObservations"]

# Number of names of unread headers that are logged; an endpoint may invent any number.
MAX_LOGGED_NAMES = 64
# Longest time for which a caller may not have taken events before a pause that shows
# how fast its endpoint is, in seconds.
MAX_BLOCKED_SECONDS = 0.005


class EndpointObservations:
    """Records what attempts show about endpoints, and sends updates of it to peers."""

    def __init__(self, state: FleetState, metrics: LazyMetrics, log: EventLog):
        self._state = state
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._unread_names: set[str] = set()

    def record_head(
        self, source: AnswerSource, status: int, meta: ResponseMeta
    ) -> None:
        """Record what the head of an answer states about its endpoint."""
        self._record_unread(source, meta)
        if meta.draining:
            self._record_draining(source, status)
        if meta.backoff_seconds is not None:
            self._record_backoff(source, meta.backoff_seconds)
        if meta.rate_limit is not None:
            self._record_limit(source, status, meta.rate_limit)

    def _record_unread(self, source: AnswerSource, meta: ResponseMeta) -> None:
        """Log and count headers that have no effect, each name once."""
        for name in sorted(meta.unread_names - self._unread_names):
            if len(self._unread_names) >= MAX_LOGGED_NAMES:
                return
            self._unread_names.add(name)
            self._metrics.header_unread(name)
            self._log.warning(
                "answer_header_unread",
                header=name,
                endpoint=source.endpoint_id,
                request_id=source.request_id,
            )

    def _record_draining(self, source: AnswerSource, status: int) -> None:
        self._metrics.draining_announced(source.route_name)
        notice = DrainNotice(source.endpoint_id, source.born, self._loop.time())
        if not self._state.peer_updates.announce_draining(notice):
            return
        self._log.warning(
            "endpoint_draining_announced",
            endpoint=source.endpoint_id,
            born=source.born,
            status=status,
            request_id=source.request_id,
        )

    def _record_backoff(self, source: AnswerSource, seconds: float) -> None:
        self._metrics.backoff_requested(source.route_name)
        ends_after = self._state.usable_endpoints.request_backoff(
            source.endpoint_id, source.born, seconds
        )
        self._log.warning(
            "endpoint_backoff_requested",
            endpoint=source.endpoint_id,
            born=source.born,
            seconds=seconds,
            ends_after=ends_after,
            request_id=source.request_id,
        )

    def _record_limit(self, source: AnswerSource, status: int, rate: float) -> None:
        """Record the rate limit that an answer names, infinity if it names none."""
        if isfinite(rate):
            self._metrics.limit_named(source.route_name)
        peer_updates = self._state.peer_updates
        change = peer_updates.limits.observe(
            source.endpoint_id, rate, self._loop.time()
        )
        if change is None:
            return
        peer_updates.observation_changed()
        self._log.warning(
            "endpoint_limit_changed",
            **change.log_fields,
            status=status,
            request_id=source.request_id,
        )

    def pause_recorder(self, exchange: Exchange) -> Callable[[str, float, int], None]:
        """Return the callback that records the pauses of an attempt's stream.

        It is called with the endpoint's id, a pause in seconds, and how many events
        came after it.
        """
        blocked_before = exchange.blocked_seconds
        profile = exchange.service.engine
        declared = profile.stride * profile.step_seconds if profile else 0.0
        pauses = StreamPauses(declared)
        paces = self._state.peer_updates.answers.paces
        late = LatePauses()

        def record(endpoint_id: str, seconds: float, events: int) -> None:
            nonlocal blocked_before
            blocked = exchange.blocked_seconds - blocked_before
            blocked_before = exchange.blocked_seconds
            now = self._loop.time()
            began_at = now - seconds
            # While its caller doesn't read, a stream shows nothing of the endpoint.
            if blocked >= MAX_BLOCKED_SECONDS:
                return
            if self._state.ticker.running_since(began_at, now) > began_at:
                mean = late.record(seconds, events)
                if mean is not None:
                    paces.record(endpoint_id, exchange.service.name, *mean, now)
                return
            paces.record(endpoint_id, exchange.service.name, seconds, events, now)
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
        peer_updates.observation_changed()
        self._log.warning(
            "endpoint_pace_changed",
            endpoint=endpoint_id,
            pace=slowdown,
            request_id=exchange.meta.request_id,
        )

    def record_call_end(self, exchange: Exchange) -> None:
        """Record an endpoint as slow if a plain call took longer than its target."""
        if exchange.is_stream or exchange.peer_id:
            return
        if self._state.reach.is_suspected(exchange.endpoint_id):
            return  # The time may be that of this VM's own links.
        now = self._loop.time()
        if self._state.ticker.running_since(exchange.sent_at, now) > exchange.sent_at:
            return
        seconds = exchange.worked_for(now)
        slowdown = call_slowdown(seconds, exchange.route.target_seconds)
        # A call within its target shows nothing: calls differ, and a short one is fast
        # at a slow endpoint too.
        if slowdown > 1:
            self._record_slowdown(exchange, exchange.endpoint_id, slowdown)

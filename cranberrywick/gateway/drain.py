"""The stop of a daemon: until when it serves, and which requests it refuses."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf
from typing import NamedTuple

from cranberrywick.errors import CranberrywickError, Draining
from cranberrywick.gateway.buffer_budget import BodyRefusal, body_refusal
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.state import FleetState
from cranberrywick.logs import EventLog
from cranberrywick.model import Executed
from cranberrywick.platform.headers import decode_request
from cranberrywick.routing.demand import Demand, min_first_event_seconds
from cranberrywick.routing.drain_window import (
    AnswerTimes,
    DrainWindow,
    finish_seconds,
    gets_no_turn,
)
from cranberrywick.routing.placement import Placement
from cranberrywick.routing.retry_after import DrainReturns

__all__ = ["Drain"]


class _Pending(NamedTuple):
    exchange: Exchange
    timeout: asyncio.Timeout


class Drain:
    """Refuses what a stopping daemon can't finish; before that it refuses nothing.

    ``times`` has how long answers take. Moments are those of the event loop's clock.

    >>> async with drain.deadline(exchange):
    ...     ...
    """

    def __init__(self, state: FleetState, metrics: LazyMetrics, log: EventLog):
        self._state = state
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._returns = DrainReturns(random.Random())
        self._pending_by_key: dict[str, _Pending] = {}
        self._window: DrainWindow | None = None
        self.times = AnswerTimes()

    @property
    def is_active(self) -> bool:
        """Whether the daemon is stopping."""
        return self._window is not None

    @property
    def answer_by(self) -> float:
        """When each request has to have an answer; infinity before the stop."""
        return inf if self._window is None else self._window.answer_by

    @property
    def unanswered(self) -> int:
        """How many requests are being served whose answer has not begun."""
        return sum(
            not exchange.caller.answer_started
            for exchange, _ in self._pending_by_key.values()
        )

    def begin(self, window: DrainWindow) -> None:
        """Refuse from now on what can't be finished within a window."""
        self._window = window

    @asynccontextmanager
    async def deadline(self, exchange: Exchange) -> AsyncIterator[None]:
        """Cancel the block at the request's deadline, or when the daemon ends.

        Raises `TimeoutError` then, and `Draining` if that time has come already.
        """
        if self._loop.time() >= self.answer_by:
            raise self._refusal(exchange.meta.request_id, "no time is left")
        async with asyncio.timeout_at(exchange.deadline) as timeout:
            self._pending_by_key[exchange.key] = _Pending(exchange, timeout)
            try:
                yield
            finally:
                del self._pending_by_key[exchange.key]

    def end_unanswered(self) -> None:
        """Cancel all requests whose answer has not begun.

        Their callers get an error instead; those that read an answer already go on
        until the daemon closes their connections.
        """
        now = self._loop.time()
        for exchange, timeout in self._pending_by_key.values():
            if not exchange.caller.answer_started:
                timeout.reschedule(now)

    def time_out(self, exchange: Exchange) -> CranberrywickError | None:
        """Return the error for a request that `end_unanswered` has cancelled.

        Returns None if its own deadline has passed.
        """
        if self._window is None or self._loop.time() >= exchange.deadline:
            return None
        reason = "no answer has come" if exchange.in_flight else "not sent in time"
        error = self._refusal(exchange.meta.request_id, reason)
        if exchange.in_flight:
            error.executed = Executed.UNKNOWN
        return error

    def check_placement(self, demand: Demand, placement: Placement, now: float) -> None:
        """Raise `Draining` for a request that would be cut if it were sent now."""
        if self._window is None:
            return
        needed = finish_seconds(demand, placement.first_event_seconds)
        if now + needed > self._window.answer_by:
            raise self._refusal(demand.logged_id, "answer takes too long", needed)
        self._metrics.drain_decided("sent")
        self._log.info(
            "sent_draining",
            request_id=demand.logged_id,
            endpoint=placement.endpoint_id,
            needed=needed,
            first_event=placement.first_event_seconds,
            answer=demand.answer_seconds,
            answers_known=self.times.count(demand.route),
            output_tokens=demand.prompt.output_tokens if demand.prompt else None,
            seconds_left=self._window.answer_by - now,
        )

    def check_wait(self, demand: Demand, now: float) -> None:
        """Raise `Draining` for a request that would be cut even if it had room now."""
        if self._window is None:
            return
        needed = self._least_seconds(demand)
        if now + needed > self._window.answer_by:
            raise self._refusal(demand.logged_id, "no room in time", needed)

    def check_turn(self, demand: Demand, ahead: int, now: float) -> None:
        """Raise `Draining` for a request that gets no turn before the daemon ends.

        ``ahead`` is how many others of its service are before it in the queue.
        """
        if self._window is None:
            return
        service = demand.service.name
        needed = self._least_seconds(demand)
        if gets_no_turn(
            demand,
            ahead,
            self._state.usable_endpoints.ready(service),
            self._state.load,
            self.times.mean_held(service),
            self._window.answer_by - needed,
            now,
        ):
            raise self._refusal(demand.logged_id, "no turn in time", needed, ahead)

    def refuse_unread(self, headers: list[tuple[bytes, bytes]]) -> BodyRefusal:
        """Return the answer to a request whose body has not come in time."""
        request_id = decode_request(headers).request_id
        error = self._refusal(request_id, "its body has not come")
        return body_refusal(error, request_id, error.retry_after)

    def _least_seconds(self, demand: Demand) -> float:
        """Return how long a request takes at idle endpoints."""
        endpoints = len(self._state.usable_endpoints.ready(demand.service.name))
        return finish_seconds(demand, min_first_event_seconds(demand, endpoints))

    def _refusal(
        self, request_id: str, reason: str, needed: float = 0.0, ahead: int = 0
    ) -> Draining:
        retry_after = self._retry_seconds()
        self._metrics.drain_decided(reason)
        self._log.info(
            "refused_draining",
            request_id=request_id,
            reason=reason,
            needed=needed,
            ahead=ahead,
            seconds_left=self.answer_by - self._loop.time(),
            retry_after=retry_after,
        )
        return Draining("this daemon is stopping", retry_after=retry_after)

    def _retry_seconds(self) -> float:
        """Return after how many seconds a refused caller may send its request again."""
        now = self._loop.time()
        closes_in = 0.0 if self._window is None else self._window.close_at - now
        has_peers = any(self._state.members.serving(now))
        return self._returns.retry_seconds(self.unanswered, has_peers, closes_in)

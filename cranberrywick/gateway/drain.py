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
from cranberrywick.gateway.running_answers import RunningAnswers
from cranberrywick.gateway.state import FleetState
from cranberrywick.logs import EventLog
from cranberrywick.model import Executed
from cranberrywick.platform.headers import decode_request
from cranberrywick.routing.demand import (
    Demand,
    declared_pace,
    min_first_event_seconds,
)
from cranberrywick.routing.drain_window import DrainWindow, HeldTimes, gets_no_turn
from cranberrywick.routing.fleet_answers import (
    NO_READING,
    FinishForecast,
    PromptReading,
)
from cranberrywick.routing.placement import Placement
from cranberrywick.routing.retry_after import DrainReturns

__all__ = ["FIRST_REFUSAL_SECONDS", "NO_TIME", "Drain"]

# How long after the signal what waits is refused first, in seconds. By then it is known
# which peers are stopping, too.
FIRST_REFUSAL_SECONDS = 0.1
# If what waits has not been looked at for longer, the process was suspended or had
# nothing that waits, in seconds. It is looked at twice a second.
SUSPENDED_SECONDS = 1.0
# How long an early stream may take from its first event on while no other daemon would
# serve it, in seconds, though longer ones can't be ruled out.
UNKNOWN_STREAM_SECONDS = 4.0
# Why a request is refused that comes in the last moments, and one that is half read.
NO_TIME = "no time is left"
HALF_READ = "its end has not come"


class _Pending(NamedTuple):
    exchange: Exchange
    timeout: asyncio.Timeout


class Drain:
    """Refuses what a stopping daemon can't finish; before that it refuses nothing.

    ``held`` has how long requests hold their slots, ``running`` what is being answered.
    Moments are those of the event loop's clock.

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
        self._refuses_waiting_at = -inf
        self._waiting_seen_at = -inf
        self.held = HeldTimes()
        self.running = RunningAnswers(self._served, state.ticker)

    @property
    def is_active(self) -> bool:
        """Whether the daemon is stopping."""
        return self._window is not None

    @property
    def answer_by(self) -> float:
        """When each request has to have an answer; infinity before the stop."""
        return inf if self._window is None else self._window.answer_by

    def ends_at(self, is_stream: bool) -> float:
        """Return until when an answer may last; infinity before the stop.

        The events of a stream are forwarded until the connections are closed.
        """
        if self._window is None:
            return inf
        return self._window.close_at if is_stream else self._window.answer_by

    @property
    def unanswered(self) -> int:
        """How many requests are being served whose answer has not begun."""
        return sum(
            not exchange.caller.answer_started
            for exchange, _ in self._pending_by_key.values()
        )

    def end_fields(self, exchange: Exchange) -> dict[str, object]:
        """Return the fields of a request's last line while the daemon stops.

        That is when it was sent last and when it ended, in seconds from the signal, and
        how many events its caller was sent.
        """
        if self._window is None:
            return {}
        signalled_at, sent_at = self._window.signalled_at, exchange.sent_at
        return {
            "signal_to_send": None if sent_at is None else sent_at - signalled_at,
            "signal_to_end": self._loop.time() - signalled_at,
            "events": exchange.events,
        }

    def begin(self, window: DrainWindow) -> None:
        """Refuse from now on what can't be finished within a window."""
        self._window = window
        self._refuses_waiting_at = self._loop.time() + FIRST_REFUSAL_SECONDS

    @asynccontextmanager
    async def deadline(self, exchange: Exchange) -> AsyncIterator[None]:
        """Cancel the block at the request's deadline, or when the daemon ends.

        Raises `TimeoutError` then, and `Draining` if that time has come already.
        """
        if self._loop.time() >= self.answer_by:
            raise self._refusal(exchange.meta.request_id, NO_TIME)
        async with asyncio.timeout_at(exchange.deadline) as timeout:
            self._pending_by_key[exchange.key] = _Pending(exchange, timeout)
            exchange.timeout = timeout
            try:
                self._record_prompt(exchange)
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
            try:
                # One whose own deadline has just passed is being cancelled already.
                if not exchange.caller.answer_started and not timeout.expired():
                    timeout.reschedule(now)
            except Exception as error:  # Others are ended after it.
                self._log.error(
                    "request_crashed", request_id=exchange.meta.request_id, error=error
                )

    def _served(self) -> list[Exchange]:
        return [exchange for exchange, _ in self._pending_by_key.values()]

    def _record_prompt(self, exchange: Exchange) -> None:
        prompt, service = exchange.meta.prompt, exchange.service
        if prompt is not None and service is not None and service.engine:
            self._state.peer_updates.answers.record_prompt(
                service.name, prompt.prompt_tokens, self._loop.time()
            )

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
        """Raise `Draining` for a request that might be cut if it were sent now."""
        if not self._ends_before(demand):
            return
        pace = self._pace(demand, placement.endpoint_id, now)
        forecast = self._forecast(demand, placement.first_event_seconds, pace, now)
        self._check(demand, forecast, "answer takes too long", now)
        self._metrics.drain_decided("sent")
        self._log.info(
            "sent_draining",
            request_id=demand.logged_id,
            endpoint=placement.endpoint_id,
            resumed=demand.answer.has_begun,
            **self._fields(demand, forecast, now),
        )

    def check_send(self, exchange: Exchange, placement: Placement) -> None:
        """Raise `Draining` for a request that might be cut, just before it is sent.

        It has waited for a connection, a permit or memory since it was placed, and the
        daemon may have been told to stop meanwhile.
        """
        if self._window is None and exchange.cut_at == inf:
            return
        demand = exchange.demand("")
        if not self._ends_before(demand):
            return
        now = self._loop.time()
        pace = self._pace(demand, placement.endpoint_id, now)
        forecast = self._forecast(demand, placement.first_event_seconds, pace, now)
        self._check(demand, forecast, "sent too late", now)

    def check_forwarding(self, exchange: Exchange) -> None:
        """Raise `Draining` for a request that might be cut if a peer served it now."""
        if self._window is None:
            return
        demand = exchange.demand("")
        if not self._ends_before(demand):
            return
        now = self._loop.time()
        pace = self._pace(demand, "", now)
        forecast = self._forecast(demand, min_first_event_seconds(demand), pace, now)
        self._check(demand, forecast, "answer takes too long", now)

    def check_wait(self, demand: Demand, now: float) -> None:
        """Raise `Draining` for a request that might be cut even if it had room now."""
        if self._refuses_waiting(now) and self._ends_before(demand):
            self._check(demand, self._least(demand, now), "no room in time", now)

    def _refuses_waiting(self, now: float) -> bool:
        """Whether what waits may be refused: it is known which peers are stopping.

        A process that was suspended hears of them in a moment.
        """
        if self._window is None:
            return False
        if now - self._waiting_seen_at > SUSPENDED_SECONDS:
            self._refuses_waiting_at = now + FIRST_REFUSAL_SECONDS
        self._waiting_seen_at = now
        return now >= self._refuses_waiting_at

    def check_turn(self, demand: Demand, ahead: int, now: float) -> None:
        """Raise `Draining` for a request that gets no turn before the daemon ends.

        ``ahead`` is how many others of its service are before it in the queue.
        """
        if not self._refuses_waiting(now) or demand.answer.has_begun:
            return
        service = demand.service.name
        forecast = self._least(demand, now)
        last_start = self._ends_at(demand) - forecast.seconds
        if not self._ends_before(demand):
            last_start = demand.deadline - forecast.first_event
        if gets_no_turn(
            demand,
            ahead,
            self._state.usable_endpoints.ready(service),
            self._state.load,
            self.held.mean(service),
            last_start,
            now,
        ):
            raise self._refusal(
                demand.logged_id,
                "no turn in time",
                ahead=ahead,
                **self._fields(demand, forecast, now),
            )

    def refuse_unread(self, headers: list[tuple[bytes, bytes]]) -> BodyRefusal:
        """Return the answer to a request whose end has not come in time."""
        return self._refuse_unserved(headers, HALF_READ)

    def refuse_late(self, headers: list[tuple[bytes, bytes]]) -> BodyRefusal:
        """Return the answer to a request that has come too late to be served."""
        return self._refuse_unserved(headers, NO_TIME)

    def _refuse_unserved(
        self, headers: list[tuple[bytes, bytes]], reason: str
    ) -> BodyRefusal:
        request_id = decode_request(headers).request_id
        error = self._refusal(request_id, reason)
        return body_refusal(error, request_id, error.retry_after)

    def refusal_of_unread(
        self, headers: list[tuple[bytes, bytes]], reason: str = HALF_READ
    ) -> Draining:
        """Return the error for a request that is not served."""
        return self._refusal(decode_request(headers).request_id, reason)

    def _ends_before(self, demand: Demand) -> bool:
        """Whether this daemon, or the one that has the caller, ends before a request.

        A request whose own time is over before that is served as ever.
        """
        ends_at = self._ends_at(demand)
        return ends_at < inf and ends_at <= demand.deadline

    def _ends_at(self, demand: Demand) -> float:
        return min(self.ends_at(demand.answer.is_stream), demand.cut_at)

    def _check(
        self, demand: Demand, forecast: FinishForecast, reason: str, now: float
    ) -> None:
        """Raise `Draining` for a request whose answer the end of the daemon would cut.

        Not if its answer has begun: that would be cut now.
        """
        if demand.answer.has_begun:
            return
        is_late = now + forecast.first_event > self.answer_by
        if is_late or now + forecast.seconds > self._ends_at(demand):
            fields = self._fields(demand, forecast, now)
            raise self._refusal(demand.logged_id, reason, **fields)

    def _forecast(
        self, demand: Demand, first_event: float, pace: float, now: float
    ) -> FinishForecast:
        engine = demand.service.engine
        has_alternative = self._is_late(now) or any(self._state.members.serving(now))
        return self._state.peer_updates.answers.forecast(
            demand.answer,
            demand.service.name,
            engine.stride if engine else 0,
            first_event,
            pace,
            now,
            inf if has_alternative else UNKNOWN_STREAM_SECONDS,
            self._reading(demand, now),
        )

    def _is_late(self, now: float) -> bool:
        """Whether only what is sure to end in time is sent to endpoints."""
        return self._window is None or now >= self._window.late_from

    def _reading(self, demand: Demand, now: float) -> PromptReading:
        """Return what a prompt costs a late stream that its engine reads meanwhile.

        An early one has time enough for that, or has to be cut with the daemon.
        """
        engine = demand.service.engine
        if engine is None or self._window is None or not self._is_late(now):
            return NO_READING
        service = demand.service.name
        tokens = self._state.peer_updates.answers.longest_prompt(service, now)
        for tracked in self._state.usable_endpoints.ready(service):
            jobs = self._state.load.at(tracked.endpoint_id)
            tokens = max([tokens, *(job.held_tokens for job in jobs)])
        return PromptReading.of_prompt(engine, tokens)

    def _least(self, demand: Demand, now: float) -> FinishForecast:
        """Return the forecast for a request at the fastest endpoints, if they idle."""
        service = demand.service
        answers = self._state.peer_updates.answers
        endpoints = len(self._state.usable_endpoints.ready(service.name))
        pace = answers.least_pace(service.name, now) or declared_pace(demand)
        first_event = min_first_event_seconds(demand, endpoints)
        return self._forecast(demand, first_event, pace, now)

    def _pace(self, demand: Demand, endpoint_id: str, now: float) -> float:
        """Return the seconds between the events of an answer at an endpoint."""
        updates = self._state.peer_updates
        engine = demand.service.engine
        own = updates.answers.paces.at(endpoint_id, now)
        pace = updates.answers.pace(endpoint_id, demand.service.name, now)
        if pace is None:
            pace = declared_pace(demand)
        if engine is not None:
            # What was seen longer ago counts only where there is nothing newer.
            is_old = own is None
            slowdown = updates.slowdowns.slowdown(endpoint_id, now, is_long=is_old)
            pace = max(pace, slowdown * engine.stride * engine.step_seconds)
        return pace

    def _fields(
        self, demand: Demand, forecast: FinishForecast, now: float
    ) -> dict[str, object]:
        """Return the fields of a decision's line: what it was made from."""
        return {
            "needed": forecast.seconds,
            "seconds_left": self._ends_at(demand) - now,
            "first_event": forecast.first_event,
            "events": forecast.events,
            "pace": forecast.pace,
            "overrun": forecast.overrun,
            "basis": forecast.basis,
            "answers_known": forecast.answers,
            "output_tokens": demand.answer.tokens,
            "hint": demand.answer.hint,
        }

    def _refusal(self, request_id: str, reason: str, **fields: object) -> Draining:
        retry_after = self._retry_seconds()
        self._metrics.drain_decided(reason)
        self._log.info(
            "refused_draining",
            request_id=request_id,
            reason=reason,
            **{"seconds_left": self.answer_by - self._loop.time(), **fields},
            retry_after=retry_after,
        )
        return Draining("this daemon is stopping", retry_after=retry_after)

    def _retry_seconds(self) -> float:
        """Return after how many seconds a refused caller may send its request again."""
        now = self._loop.time()
        closes_in = 0.0 if self._window is None else self._window.close_at - now
        has_peers = any(self._state.members.serving(now))
        return self._returns.retry_seconds(self.unanswered, has_peers, closes_in, now)

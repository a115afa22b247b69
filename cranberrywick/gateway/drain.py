"""The stop of a daemon: until when it serves, and which requests it refuses."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from math import inf
from typing import NamedTuple

from cranberrywick.errors import CranberrywickError, Draining
from cranberrywick.gateway.answer_forecasts import AnswerForecasts, ExpectedAnswer
from cranberrywick.gateway.buffer_budget import BodyRefusal, body_refusal
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.running_answers import RunningAnswers
from cranberrywick.gateway.state import FleetState
from cranberrywick.logs import EventLog
from cranberrywick.model import Executed
from cranberrywick.platform.headers import decode_request
from cranberrywick.routing.demand import Demand, min_first_event_seconds
from cranberrywick.routing.drain_window import DrainWindow, HeldTimes, gets_no_turn
from cranberrywick.routing.placement import Placement
from cranberrywick.routing.retry_after import DrainReturns

__all__ = ["FIRST_REFUSAL_SECONDS", "NO_TIME", "Drain"]

# How long after the signal what waits is refused first, in seconds. By then it is known
# which peers are stopping, too.
FIRST_REFUSAL_SECONDS = 0.1
# If what waits has not been looked at for longer, the process was suspended or had
# nothing that waits, in seconds. It is looked at twice a second.
SUSPENDED_SECONDS = 1.0
# How long a stream may take from its first event on while no other daemon would serve
# it, in seconds, though longer ones can't be ruled out.
UNKNOWN_STREAM_SECONDS = 4.0
# Why a request is refused that comes in the last moments, and one that is half read.
NO_TIME = "no time is left"
HALF_READ = "its end has not come"
# Why a late stream is refused that another daemon can answer event by event.
SERVED_ELSEWHERE = "another daemon serves it"


class _Pending(NamedTuple):
    exchange: Exchange
    timeout: asyncio.Timeout


class Drain:
    """Refuses what a stopping daemon can't finish; before that it refuses nothing.

    A stream that comes late is refused, so that another daemon serves it. If none does,
    or if it came earlier and has waited, its events are withheld until it is whole:
    whatever its endpoint does until then, an error can take its place.

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
        self._forecasts = AnswerForecasts(state)
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

    def ends_at(self, exchange: Exchange) -> float:
        """Return until when an answer may last; infinity before the stop.

        The events of a stream are forwarded until the connections are closed, unless
        they are withheld.
        """
        return self._end(exchange.is_stream and not exchange.is_withheld)

    def _end(self, is_forwarded: bool) -> float:
        if self._window is None:
            return inf
        return self._window.close_at if is_forwarded else self._window.answer_by

    @property
    def unanswered(self) -> int:
        """How many requests are being served whose answer has not begun."""
        return sum(
            not exchange.caller.answer_started
            for exchange, _ in self._pending_by_key.values()
        )

    def end_fields(self, exchange: Exchange) -> dict[str, object]:
        """Return the fields of a request's last line while the daemon stops.

        That is when it was sent last and when it ended, in seconds from the signal, how
        many events came, and whether these were withheld.
        """
        if self._window is None:
            return {}
        signalled_at, sent_at = self._window.signalled_at, exchange.sent_at
        return {
            "signal_to_send": None if sent_at is None else sent_at - signalled_at,
            "signal_to_end": self._loop.time() - signalled_at,
            "events": exchange.events,
            "withheld": exchange.is_withheld,
        }

    def begin(self, window: DrainWindow) -> None:
        """Refuse from now on what can't be finished within a window."""
        self._window = window
        self._refuses_waiting_at = self._loop.time() + FIRST_REFUSAL_SECONDS

    @asynccontextmanager
    async def deadline(self, exchange: Exchange) -> AsyncIterator[None]:
        """Cancel the block at the request's deadline, or when the daemon ends.

        Raises `TimeoutError` then, and `Draining` if that time has come already, or if
        the request comes late and another daemon serves it.
        """
        if self._loop.time() >= self.answer_by:
            raise self._refusal(exchange.meta.request_id, NO_TIME)
        if self._is_served_elsewhere(exchange):
            raise self._refusal(exchange.meta.request_id, SERVED_ELSEWHERE)
        async with asyncio.timeout_at(exchange.deadline) as timeout:
            self._pending_by_key[exchange.key] = _Pending(exchange, timeout)
            exchange.timeout = timeout
            try:
                self._forecasts.record_prompt(exchange, self._loop.time())
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

    def _is_served_elsewhere(self, exchange: Exchange) -> bool:
        """Whether a stream came late that its own time doesn't end before the daemon.

        Its caller gets its events as they come from another daemon.
        """
        window, now = self._window, self._loop.time()
        return (
            window is not None
            and exchange.is_stream
            and exchange.may_go_elsewhere
            and exchange.request.received >= window.late_from
            and exchange.expires_at >= window.close_at
            and self._has_others(now, exchange.service.name)
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
        """Raise `Draining` for a request that would not be whole in time."""
        if not self._ends_before(demand):
            return
        pace = self._forecasts.pace(demand, placement.endpoint_id, now)
        first_event = placement.first_event_seconds
        reason = "answer takes too long"
        expected = self._check(demand, first_event, pace, reason, now)
        self._metrics.drain_decided("sent")
        self._log.info(
            "sent_draining",
            request_id=demand.logged_id,
            endpoint=placement.endpoint_id,
            resumed=demand.answer.has_begun,
            **self._fields(demand, expected, now),
        )

    def check_send(self, exchange: Exchange, placement: Placement) -> None:
        """Raise `Draining` for a request that would not be whole in time.

        This is asked just before it is sent. It has waited for a connection, a permit
        or memory since it was placed, and the daemon may have been told to stop.
        """
        first_event = placement.first_event_seconds
        self._check_exchange(
            exchange, placement.endpoint_id, first_event, "sent too late"
        )

    def check_forwarding(self, exchange: Exchange) -> None:
        """Raise `Draining` for a request that would not be whole in time at a peer."""
        first_event = min_first_event_seconds(exchange.demand(""))
        self._check_exchange(exchange, "", first_event, "answer takes too long")

    def _check_exchange(
        self, exchange: Exchange, endpoint_id: str, first_event: float, reason: str
    ) -> None:
        exchange.is_withheld = False
        if self._window is None and exchange.cut_at == inf:
            return
        demand, now = exchange.demand(""), self._loop.time()
        if self._ends_before(demand):
            pace = self._forecasts.pace(demand, endpoint_id, now)
            expected = self._check(demand, first_event, pace, reason, now)
            exchange.is_withheld = expected.is_withheld
        elif not exchange.is_stream:
            # A part of a long answer would let it go on after its deadline.
            is_over = exchange.expires_at < self._end(is_forwarded=True)
            exchange.is_withheld = self._is_late(now) and not is_over

    def check_wait(self, demand: Demand, now: float) -> None:
        """Raise `Draining` for a request that might be cut even if it had room now."""
        if self._refuses_waiting(now) and self._ends_before(demand):
            self._check(
                demand, *self._forecasts.least(demand, now), "no room in time", now
            )

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
        expected = self._expect(demand, *self._forecasts.least(demand, now), now)
        forecast, is_withheld = expected
        last_start = self._ends_at(demand, is_withheld) - forecast.seconds
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
                **self._fields(demand, expected, now),
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
        ends_at, is_stream = self._ends_at(demand), demand.answer.is_stream
        over_at = demand.expires_at if is_stream else demand.deadline
        return ends_at < inf and ends_at <= over_at

    def _ends_at(self, demand: Demand, is_withheld: bool = False) -> float:
        is_forwarded = demand.answer.is_stream and not is_withheld
        return min(self._end(is_forwarded), demand.cut_at)

    def _check(
        self, demand: Demand, first_event: float, pace: float, reason: str, now: float
    ) -> ExpectedAnswer:
        """Return what to expect of an answer; raise `Draining` if it comes too late.

        Not if it has begun: that would be to cut it now.
        """
        expected = self._expect(demand, first_event, pace, now)
        forecast, is_withheld = expected
        if demand.answer.has_begun:
            return expected
        is_late = now + forecast.first_event > self.answer_by
        if is_late or now + forecast.seconds > self._ends_at(demand, is_withheld):
            fields = self._fields(demand, expected, now)
            raise self._refusal(demand.logged_id, reason, **fields)
        return expected

    def _expect(
        self, demand: Demand, first_event: float, pace: float, now: float
    ) -> ExpectedAnswer:
        foresee = partial(self._forecasts.forecast, demand, first_event, pace, now)
        is_withheld = self._is_late(now)
        forecast = foresee(is_late=is_withheld)
        if demand.answer.has_begun:
            return ExpectedAnswer(forecast, is_withheld=False)
        ends_at = self._ends_at(demand, is_withheld)
        is_known = now + forecast.seconds <= ends_at or not demand.answer.is_stream
        if is_known or self._window is None:
            return ExpectedAnswer(forecast, is_withheld)
        if not self._has_others(now, demand.service.name):
            forecast = foresee(UNKNOWN_STREAM_SECONDS, is_late=is_withheld)
        return ExpectedAnswer(forecast, is_withheld=True)

    def _has_others(self, now: float, service: str = "") -> bool:
        """Whether another daemon accepts callers, and reaches a service if given."""
        return any(
            service not in beat.reach.unreached_services
            for beat in self._state.members.serving(now)
        )

    def _is_late(self, now: float) -> bool:
        """Whether no answer may begin any more that only a forecast says will end."""
        return self._window is not None and now >= self._window.late_from

    def _fields(
        self, demand: Demand, expected: ExpectedAnswer, now: float
    ) -> dict[str, object]:
        ends_at = self._ends_at(demand, expected.is_withheld)
        return {"seconds_left": ends_at - now, **expected.log_fields(demand)}

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
        has_others = self._has_others(now)
        return self._returns.retry_seconds(self.unanswered, has_others, closes_in, now)

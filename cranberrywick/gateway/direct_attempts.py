"""Attempts at endpoints from this VM, and what their outcomes show."""

import asyncio
from typing import NamedTuple

from cranberrywick.errors import (
    AnswerTooLong,
    CranberrywickError,
    Draining,
    EndpointFailed,
    EndpointRefused,
    RequestQuarantined,
    TimedOut,
)
from cranberrywick.gateway.answer_forwarding import AnswerCallbacks
from cranberrywick.gateway.attempt import Attempt
from cranberrywick.gateway.contention import Contention
from cranberrywick.gateway.crash_detection import CrashDetection
from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.exchange import Exchange, number_of_id
from cranberrywick.gateway.held_answers import HeldAnswers
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.observations import EndpointObservations
from cranberrywick.gateway.permitted_placements import PermittedPlacements
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.logs import EventLog
from cranberrywick.model import Executed
from cranberrywick.routing.connect_timeout import ConnectTimeout
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.placement import Placement

__all__ = ["AttemptFailure", "DirectAttempts"]


# Longest time for which a caller may not have taken events of an answer that is
# compared with what was foreseen, in seconds.
MAX_BLOCKED_SECONDS = 0.05


class AttemptFailure(NamedTuple):
    """A failed attempt.

    ``endpoint_id`` is the endpoint that it was meant for and ``at_fault_id`` the one
    that caused the failure, which may be a helper; both are empty if a peer failed.
    ``cooldown`` is how many seconds the latter is avoided.
    """

    error: CranberrywickError
    endpoint_id: str = ""
    at_fault_id: str = ""
    cooldown: float = 0.0


class DirectAttempts:
    """Places requests, sends them to endpoints and records the outcomes."""

    def __init__(
        self,
        settings: GatewaySettings,
        state: FleetState,
        waiting: WaitingRequests,
        health: EndpointHealth,
        contention: Contention,
        drain: Drain,
        metrics: LazyMetrics,
        log: EventLog,
    ):
        self._settings = settings
        self._state = state
        self._waiting = waiting
        self._health = health
        self._contention = contention
        self._drain = drain
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._connect_timeout = ConnectTimeout()
        self._placements = PermittedPlacements(
            settings.failure_domain, state, waiting, drain, metrics, log
        )
        self.held_answers = HeldAnswers()
        metrics.observe_answers(
            lambda: {"all": self.held_answers.held},
            lambda: self.held_answers.too_long_by_bound,
        )
        self.observations = EndpointObservations(state, metrics, log)
        self._crash_detection = CrashDetection(state, metrics, log)

    async def run(self, exchange: Exchange) -> AttemptFailure | None:
        """Make an attempt; return its failure, None if the answer was forwarded.

        Raises the errors of `PermittedPlacements.take`, `Draining` and
        `RequestQuarantined`.
        """
        exchange.peer_id = ""
        placement = await self._placements.take(exchange)
        answers, now = self._state.peer_updates.answers, self._loop.time()
        exchange.foreseen_pace = answers.paces.at(placement.endpoint_id, now)
        try:
            await self._attempt(exchange, placement)
        except (Draining, RequestQuarantined):
            self._state.load.drop(exchange.key)
            raise
        except CranberrywickError as error:
            self._state.load.drop(exchange.key)
            # Another attempt waits for the result, which may show that the request
            # must not be sent again.
            await self._crash_detection.check(exchange, error)
            if not isinstance(error, EndpointRefused):
                self._state.peer_updates.crashes.lost(exchange.key)
            if isinstance(error, AnswerTooLong):
                self._record_too_long(exchange, error)
            return self._record_failure(placement, error)
        self._crash_detection.record_end(exchange)
        self.observations.record_call_end(exchange)
        now = self._loop.time()
        self._record_length(exchange)
        if not self._was_suspended(exchange, now):
            self._record_times(exchange, now)
        if exchange.status < 500:
            self._health.succeeded(placement.endpoint_id, now)
        return None

    def _was_suspended(self, exchange: Exchange, now: float) -> bool:
        """Whether this process was suspended while an endpoint had a request."""
        sent_at = exchange.sent_at
        return self._state.ticker.running_since(sent_at, now) > sent_at

    def _record_length(self, exchange: Exchange) -> None:
        """Record how many events a stream had."""
        if exchange.is_stream:
            engine = exchange.service.engine
            self._state.peer_updates.answers.record_stream(
                exchange.outline(),
                number_of_id(exchange.last_event_id),
                engine.stride if engine else 0,
            )

    def _record_times(self, exchange: Exchange, now: float) -> None:
        """Record how long an answer took, to foresee how long others will."""
        service, held = exchange.service, exchange.sent_for(now)
        answers = self._state.peer_updates.answers
        self._contention.request_held(service.name, held)
        self._drain.held.record(service.name, held)
        if not exchange.is_stream:
            answers.record_call(exchange.route.name, exchange.worked_for(now))
            return
        is_plain = exchange.sent_count == 1 and exchange.foreseen_pace
        if is_plain and exchange.blocked_seconds < MAX_BLOCKED_SECONDS:
            foreseen = exchange.predicted + exchange.events * exchange.foreseen_pace
            answers.record_overrun(service.name, foreseen, held, now)

    def time_out(self, exchange: Exchange) -> CranberrywickError:
        """Record that a request's time is over; return the error for its answer.

        That is its own time, or that of this daemon if it is stopping.
        """
        stopped = self._drain.time_out(exchange)
        if stopped is not None:
            return stopped
        if exchange.in_flight:
            self.observations.record_call_end(exchange)
        executed = Executed.UNKNOWN if exchange.in_flight else Executed.NO
        return TimedOut("the time for this request is over", executed=executed)

    def end(self, exchange: Exchange) -> None:
        """Remove a request that has ended from the load; let waiting ones proceed."""
        exchange.hold(None)
        self._state.peer_updates.crashes.ended(exchange.key)
        self._free(exchange)

    def record_received(self, exchange: Exchange) -> None:
        """Record that an endpoint has answered; its caller may still have to read."""
        exchange.received_at = self._loop.time()
        self._free(exchange)

    def _free(self, exchange: Exchange) -> None:
        self._state.load.drop(exchange.key)
        self._state.peer_updates.job_ended()
        self._waiting.schedule_placing()

    def record_first_event(self, exchange: Exchange) -> None:
        """Mark the request's jobs as decoding: its prompt has been read.

        The jobs of helpers that hold no memory have ended and are dropped. Other
        requests may now fit at the same endpoints, so waiting ones are tried.
        """
        now = self._loop.time()
        if exchange.first_event_at is None:
            exchange.first_event_at = now
        if exchange.predicted is not None and not self._was_suspended(exchange, now):
            self._state.peer_updates.answers.record_overrun(
                exchange.service.name,
                exchange.predicted,
                now - exchange.sent_at,
                now,
            )
        jobs = [
            job._replace(decoding=True, first_event_at=now)
            for job in self._state.load.jobs_of(exchange.key)
            if job.held_tokens
        ]
        self._state.load.put(exchange.key, jobs)
        self._state.peer_updates.job_ended()
        self._waiting.schedule_placing()

    async def _attempt(self, exchange: Exchange, placement: Placement) -> None:
        callbacks = AnswerCallbacks(
            self.observations.record_head,
            self.record_first_event,
            self.observations.pause_recorder(exchange),
            self._crash_detection.record_events,
            self.record_received,
        )

        def may_send(endpoint_id: str, as_last_resort: bool) -> bool:
            self._waiting.refuse_quarantined(
                exchange.traits, exchange.key, exchange.meta.request_id
            )
            self._drain.check_send(exchange, placement)
            return self._state.usable_endpoints.may_send(endpoint_id, as_last_resort)

        await Attempt(
            exchange,
            placement,
            self._state.registry.tracked_by_id,
            may_send,
            callbacks,
            self._connect_timeout,
            self._state.reach,
            self.held_answers,
            self._settings.bounds.free_seconds,
            self._log,
        ).run()

    def _record_too_long(self, exchange: Exchange, error: AnswerTooLong) -> None:
        self.held_answers.too_long_by_bound[error.bound] += 1
        self._log.warning(
            "answer_too_long",
            request_id=exchange.meta.request_id,
            route=exchange.route.name,
            endpoint=exchange.endpoint_id,
            bound=error.bound,
            received=error.received,
            held=self.held_answers.held,
            begun=exchange.caller.answer_started,
        )

    def _record_failure(
        self, placement: Placement, error: CranberrywickError
    ) -> AttemptFailure:
        now = self._loop.time()
        at_fault_id = self._endpoint_at_fault(placement, error)
        cooldown = 0.0
        if isinstance(error, EndpointFailed):
            self._health.answered_failure(at_fault_id, now)
        else:
            cooldown = self._health.failed(at_fault_id, now)
        return AttemptFailure(error, placement.endpoint_id, at_fault_id, cooldown)

    def _endpoint_at_fault(
        self, placement: Placement, error: CranberrywickError
    ) -> str:
        """Return the id of the endpoint that is at fault for a failed attempt.

        An endpoint may refuse because one of its helpers failed, and names that
        helper's address. If the failure were recorded for the endpoint itself, the
        helper would stay in use, and two such refusals would exhaust the endpoints
        that a request may be sent to, seconds before its deadline.
        """
        address = error.at_fault if isinstance(error, EndpointRefused) else None
        tracked_by_id = self._state.registry.tracked_by_id
        for part in placement.helpers:
            tracked = tracked_by_id.get(part.endpoint_id)
            if tracked is not None and tracked.record.address == address:
                return part.endpoint_id
        return placement.endpoint_id

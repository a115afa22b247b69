"""Serving one request: route, identify, place, send, forward the answer.

An error answer says whether the request ran. Before its first byte is sent to an
endpoint it has not run. After that, only an answer of the endpoint can say that it
has not. `Exchange.may_have_run` and `Exchange.in_flight` record this, and every error
answer that the gateway itself makes is derived from them.
"""

import asyncio
import random
from math import inf

from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    CranberrywickError,
    Draining,
    EndpointFailed,
    EndpointRefused,
    Overloaded,
    RequestQuarantined,
)
from cranberrywick.gateway.caller_connection import CallerConnection
from cranberrywick.gateway.direct_attempts import AttemptFailure, DirectAttempts
from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.http_request import HttpRequest
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.peer_attempts import PeerAttempts
from cranberrywick.gateway.request_routing import TIMEOUT_MARGIN_SECONDS, route_request
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.logs import EventLog
from cranberrywick.model import Executed
from cranberrywick.platform.headers import decode_request, failure_headers
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.retry_budget import RetryBudget

__all__ = ["Forwarder"]

# Least time that must be left before the deadline for another attempt, in seconds.
MIN_ATTEMPT_SECONDS = 0.05
# Number of endpoints that crash under a request after which it isn't sent again.
MAX_CRASHES = 3
# How long a request that has met a crash is kept before its caller is answered, or
# before it is sent again if a peer has met it, in seconds. All know of it by then.
PEERS_TOLD_SECONDS = 0.03


class Forwarder:
    """Serves each request of a caller: the handler that the ingress calls."""

    def __init__(
        self,
        settings: GatewaySettings,
        state: FleetState,
        waiting: WaitingRequests,
        direct: DirectAttempts,
        drain: Drain,
        metrics: LazyMetrics,
        log: EventLog,
    ):
        self._state = state
        self._waiting = waiting
        self._direct = direct
        self._drain = drain
        self._peer_attempts = PeerAttempts(
            settings.daemon_id, state, waiting, direct, drain, metrics, log
        )
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._has_pressure = settings.pressure
        bounds = settings.bounds
        self._budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_window_seconds, bounds.retry_slack
        )

    async def __call__(self, request: HttpRequest, caller: CallerConnection) -> None:
        """Serve a request until its answer has been sent.

        Failures become error answers. The task is cancelled when the caller closes
        its connection, and at the end of the process.
        """
        self._state.ticker.record_run(self._loop.time())
        exchange = Exchange(request, caller, decode_request(request.headers))
        outcome = "internal_error"
        try:
            allowed = exchange.meta.deadline_seconds or float("inf")
            await self._state.wait_for_start(request.arrived + allowed)
            self._route(exchange)
            async with self._drain.deadline(exchange):
                await self._serve(exchange)
            outcome = "completed"
        except CranberrywickError as error:
            if isinstance(error, RequestQuarantined):
                exchange.refused_for = error.message
            outcome = await self._answer_failure(exchange, error)
        except TimeoutError:
            error = self._direct.time_out(exchange)
            outcome = await self._answer_failure(exchange, error)
        except ConnectionError:
            outcome = "caller_gone"
        except asyncio.CancelledError:
            outcome = "caller_gone" if caller.gone else "daemon_stopped"
            raise
        except Exception as error:
            self._log.error(
                "request_crashed", request_id=exchange.meta.request_id, error=error
            )
            crash = CranberrywickError("the daemon failed; its log has the cause")
            outcome = await self._answer_failure(exchange, crash)
        finally:
            self._direct.end(exchange)
            self._record_end(exchange, outcome)

    def _route(self, exchange: Exchange) -> None:
        """Set the route and the deadline of a request, and count it."""
        route_request(exchange, self._state, self._rng)
        route_seconds = exchange.route.timeout_seconds
        own_seconds = exchange.meta.deadline_seconds
        if own_seconds is None:
            own_seconds = inf
        arrived = exchange.request.arrived
        # The caller may count its time from its first byte or from its last one.
        received = exchange.request.received
        exchange.expires_at = received + min(route_seconds, own_seconds)
        answer_seconds = min(route_seconds - TIMEOUT_MARGIN_SECONDS, own_seconds)
        exchange.deadline = arrived + answer_seconds
        self._budget.record_request(exchange.service.name, self._loop.time())

    async def _serve(self, exchange: Exchange) -> None:
        """Make attempts until the answer of an endpoint has been forwarded."""
        while True:
            self._waiting.refuse_quarantined(
                exchange.traits, exchange.key, exchange.meta.request_id
            )
            peer = self._peer_attempts.choose(exchange)
            if peer is None:
                failure = await self._direct.run(exchange)
            else:
                failure = await self._peer_attempts.run(exchange, peer)
            if failure is None:
                return
            try:
                self._raise_unless_retried(exchange, failure)
            except CranberrywickError:
                if self._crashes_met(exchange):
                    # Its caller may repeat it at once, at another daemon.
                    await asyncio.sleep(PEERS_TOLD_SECONDS)
                raise
            if peer is not None and exchange.lost_starts:
                # The peer knows of the crash already, this daemon soon.
                await asyncio.sleep(PEERS_TOLD_SECONDS)

    def _crashes_met(self, exchange: Exchange) -> int:
        """Return how many endpoints are known to have crashed under a request."""
        has_crashed = self._state.peer_updates.crashes.has_crashed
        return sum(has_crashed(*start) for start in exchange.lost_starts)

    def _raise_unless_retried(
        self, exchange: Exchange, failure: AttemptFailure
    ) -> None:
        """Record a failed attempt, and raise its error unless another may follow."""
        now = self._loop.time()
        error = failure.error
        if failure.at_fault_id:
            is_refusal = isinstance(error, EndpointRefused)
            is_unreached = is_refusal and error.is_unreachable and not exchange.peer_id
            failed = exchange.unreachable_ids if is_unreached else exchange.tried_ids
            failed.add(failure.at_fault_id)
        exchange.may_have_run |= error.executed is not Executed.NO
        reason = self._reason_to_stop(exchange, error, now)
        self._log.warning(
            "attempt_failed",
            request_id=exchange.meta.request_id,
            route=exchange.route.name,
            endpoint=failure.endpoint_id,
            at_fault=failure.at_fault_id,
            peer=exchange.peer_id,
            sent=exchange.sent_count,
            error=error,
            executed=error.executed.value,
            cooldown_seconds=failure.cooldown,
            events_for=exchange.answering_seconds(now),
            event_batches=exchange.event_batches,
            sent_for=exchange.sent_for(now),
            segments=",".join(exchange.meta.segment_ids),
            content=exchange.traits.content,
            endpoints_age=self._state.registry.age(now),
            next="stop: " + reason if reason else "another endpoint",
        )
        if reason:
            raise error

    def _reason_to_stop(
        self, exchange: Exchange, error: CranberrywickError, now: float
    ) -> str:
        """Return why no other attempt may follow, empty if one may."""
        if exchange.may_have_run and not exchange.route.idempotent:
            return "it may have run"
        if exchange.caller.answer_started and (
            exchange.is_cut_short or not exchange.is_stream
        ):
            return "the answer has begun"
        if self._crashes_met(exchange) >= MAX_CRASHES:
            return "endpoints have crashed under it"
        if exchange.deadline - now < MIN_ATTEMPT_SECONDS:
            return "no time is left"
        if exchange.answering_ids is not None and not exchange.answering_ids:
            return "no further endpoint is allowed"
        if _may_have_arrived(error) and not self._budget.take(
            exchange.service.name, self._state.peer_updates.most_members, now
        ):
            return "the retry budget is spent"
        return ""

    async def _answer_failure(
        self, exchange: Exchange, error: CranberrywickError
    ) -> str:
        """Send the error answer if none has begun; return the outcome for the log."""
        if exchange.caller.answer_started:
            # Part of an answer has been sent. The ingress closes the connection
            # without the end of the body, so the caller sees that it is incomplete.
            return error.type
        if isinstance(error, EndpointFailed):
            return await self._forward_failure(exchange, error)
        status = exchange.failure_status(error)
        exchange.status = status
        retry_seconds = None
        if status in (429, 503):
            retry_seconds = exchange.retry_seconds(error)
            if exchange.service is not None:
                backoff = self._waiting.backoff_retry_seconds(exchange.service.name)
                retry_seconds = max(retry_seconds, backoff)
        headers = failure_headers(exchange.meta.request_id, retry_seconds)
        try:
            await exchange.caller.answer(status, headers, exchange.failure_body(error))
        except ConnectionError:
            return "caller_gone"
        return error.type

    async def _forward_failure(self, exchange: Exchange, error: EndpointFailed) -> str:
        """Forward the endpoint's own error answer, and return the outcome for the log.

        The endpoint's answer contains more about the failure than the gateway's would.
        """
        exchange.status = error.answer.head.status
        try:
            await error.answer.send_to(exchange.caller)
        except ConnectionError:
            return "caller_gone"
        return error.type

    def _record_end(self, exchange: Exchange, outcome: str) -> None:
        """Record the metrics of a request that ended, and log its last line."""
        now = self._loop.time()
        route = exchange.route
        name = route.name if route else ""
        self._metrics.request_ended(name, outcome, now - exchange.request.arrived)
        first = None
        if exchange.first_event_at is not None:
            first = exchange.first_event_at - exchange.request.arrived
            if exchange.meta.prompt is not None:
                tokens = exchange.meta.prompt.prompt_tokens
                self._metrics.first_token(name, tokens, first)
        if exchange.placed_at is not None:
            waited = exchange.placed_at - exchange.request.arrived
            self._metrics.queue_wait(name, waited)
        self._log.info(
            "request_ended",
            request_id=exchange.meta.request_id,
            route=name,
            organisation=exchange.organisation.name if exchange.organisation else "",
            **self._priority_field(exchange),
            **({"refused_for": exchange.refused_for} if exchange.refused_for else {}),
            outcome=outcome,
            status=exchange.status,
            **self._drain.end_fields(exchange),
            endpoint=exchange.endpoint_id,
            peer=exchange.peer_id,
            sent=exchange.sent_count,
            last_resort=exchange.last_resort,
            seconds=now - exchange.request.arrived,
            waited=(exchange.placed_at or now) - exchange.request.arrived,
            sent_after=exchange.sent_after,
            first_event=first,
            predicted=exchange.predicted,
            target=route.target_seconds if route else None,
            gap_target=route.gap_target_seconds if route else None,
            parts=exchange.parts,
            helpers=",".join(exchange.helper_ids),
            longest_gap=exchange.longest_gap,
            events_for=exchange.answering_seconds(now),
            event_batches=exchange.event_batches,
            last_event_id=exchange.last_event_id,
            tokens=exchange.meta.prompt.prompt_tokens if exchange.meta.prompt else None,
            output_tokens=exchange.meta.prompt.output_tokens
            if exchange.meta.prompt
            else None,
            version=exchange.version,
            endpoints_age=self._state.registry.age(now),
            operator_age=self._state.operator_age(now),
        )

    def _priority_field(self, exchange: Exchange) -> dict[str, int]:
        """Return the field of a request's priority, where priorities matter.

        That is at contended services, and where the deployment has said that VMs are
        short of capacity. Elsewhere the line stays as it was.
        """
        table, service = self._state.table, exchange.service
        if service is None or table is None:
            return {}
        if self._has_pressure or table.is_contended(service.name):
            return {"priority": exchange.priority}
        return {}


def _may_have_arrived(error: CranberrywickError) -> bool:
    """Whether the endpoint may have received the request.

    Another attempt then counts against the retry budget: it adds to the load of
    endpoints that may be overloaded.
    """
    if isinstance(error, EndpointRefused):
        return not error.is_unreachable
    if isinstance(error, Draining):
        return error.executed is not Executed.NO
    return isinstance(error, AmbiguousSend | AnswerLost | Overloaded)

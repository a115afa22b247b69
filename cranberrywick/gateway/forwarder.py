"""Serving one request: route, identify, place, send, forward the answer.

An error answer says whether the request ran. Before its first byte is sent to an
endpoint it has not run. After that, only an answer of the endpoint can say that it
has not. `Exchange.may_have_run` and `Exchange.in_flight` record this, and every error
answer that the gateway itself makes is derived from them.
"""

import asyncio
import random

from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    CranberrywickError,
    EndpointFailed,
    EndpointRefused,
    NotFound,
    Overloaded,
    PlatformUnavailable,
    TimedOut,
)
from cranberrywick.gateway.attempt import AnswerCallbacks, Attempt, ForwardedAnswer
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.ingress import CallerConnection, HttpRequest
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.observations import EndpointObservations
from cranberrywick.gateway.permitted_placements import PermittedPlacements
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.logs import EventLog
from cranberrywick.model import EndpointRefusal, Executed
from cranberrywick.platform.headers import decode_request, failure_headers
from cranberrywick.routing.connect_timeout import ConnectTimeout
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.placement import Placement
from cranberrywick.routing.retry_after import (
    MIN_SECONDS_WITHOUT_STORE,
    STARTING_SECONDS,
)
from cranberrywick.routing.retry_budget import RetryBudget
from cranberrywick.routing.table import pick_service

__all__ = ["Forwarder"]

# How long before the route's timeout the gateway gives a request up, in seconds, so
# that the caller receives the gateway's error answer before the timeout.
TIMEOUT_MARGIN_SECONDS = 0.01
# Least time that must be left before the deadline for another attempt, in seconds.
MIN_ATTEMPT_SECONDS = 0.05


class Forwarder:
    """Serves each request of a caller: the handler that the ingress calls."""

    def __init__(
        self,
        settings: GatewaySettings,
        state: FleetState,
        waiting: WaitingRequests,
        health: EndpointHealth,
        metrics: LazyMetrics,
        log: EventLog,
    ):
        self._settings = settings
        self._state = state
        self._waiting = waiting
        self._placements = PermittedPlacements(
            settings.failure_domain, state, waiting, metrics, log
        )
        self._health = health
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._connect_timeout = ConnectTimeout()
        self._observations = EndpointObservations(state, metrics, log)
        bounds = settings.bounds
        self._budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_window_seconds, bounds.retry_slack
        )

    async def __call__(self, request: HttpRequest, caller: CallerConnection) -> None:
        """Serve a request until its answer has been sent.

        Failures become error answers. The task is cancelled when the caller closes
        its connection.
        """
        exchange = Exchange(request, caller, decode_request(request.headers))
        outcome = "internal_error"
        try:
            allowed = exchange.meta.deadline_seconds or float("inf")
            await self._state.wait_for_start(request.arrived + allowed)
            self._route(exchange)
            async with asyncio.timeout_at(exchange.deadline):
                await self._serve(exchange)
            outcome = "completed"
        except CranberrywickError as error:
            outcome = await self._answer_failure(exchange, error)
        except TimeoutError:
            if exchange.in_flight:
                self._observations.record_call_end(exchange)
            outcome = await self._answer_failure(
                exchange, self._timeout_error(exchange)
            )
        except ConnectionError:
            outcome = "caller_gone"
        except asyncio.CancelledError:
            outcome = "caller_gone"
            raise
        finally:
            self._state.load.drop(exchange.key)
            self._state.peer_updates.job_ended()
            self._waiting.schedule_placing()
            self._record_end(exchange, outcome)

    def _route(self, exchange: Exchange) -> None:
        """Set the route, the organisation, the service and the deadline.

        Raises `PlatformUnavailable` while no configuration is known, and the errors
        of the routing table, such as `NotFound` and `Unauthorised`.
        """
        table = self._state.table
        if table is None:
            is_without_store = self._state.store_is_unavailable
            raise PlatformUnavailable(
                "no configuration is known yet",
                retry_after=MIN_SECONDS_WITHOUT_STORE
                if is_without_store
                else STARTING_SECONDS,
            )
        exchange.version = table.configuration.version
        exchange.route = table.match(exchange.host, exchange.path)
        route = exchange.route
        exchange.organisation = table.identify(route, exchange.meta.key)
        exchange.priority = table.priority(route, exchange.organisation)
        name = pick_service(route.weights_by_service, self._rng)
        service = table.configuration.services_by_name.get(name)
        if service is None:
            raise NotFound("the route has no service")
        exchange.service = service
        allowed = route.timeout_seconds - TIMEOUT_MARGIN_SECONDS
        if exchange.meta.deadline_seconds is not None:
            allowed = min(allowed, exchange.meta.deadline_seconds)
        exchange.deadline = exchange.request.arrived + allowed
        self._budget.record_request(service.name, self._loop.time())

    async def _serve(self, exchange: Exchange) -> None:
        """Make attempts at endpoints until the answer of one has been forwarded."""
        while True:
            placement = await self._placements.take(exchange)
            try:
                forwarded = await self._attempt(exchange, placement)
            except CranberrywickError as error:
                self._state.load.drop(exchange.key)
                self._raise_unless_retried(exchange, placement, error)
                continue
            self._record_answer(exchange, placement, forwarded)
            return

    async def _attempt(
        self, exchange: Exchange, placement: Placement
    ) -> ForwardedAnswer:
        tracked_endpoints = self._state.registry.tracked_by_id
        attempt = Attempt(
            exchange,
            placement,
            tracked_endpoints,
            self._state.usable_endpoints.may_send,
            self._make_callbacks(exchange),
            self._connect_timeout,
            self._state.reach,
            self._settings.bounds.free_seconds,
            self._log,
        )
        return await attempt.run()

    def _make_callbacks(self, exchange: Exchange) -> AnswerCallbacks:
        observations = self._observations
        return AnswerCallbacks(
            observations.record_head,
            self._record_first_event,
            observations.pause_recorder(exchange),
        )

    def _record_first_event(self, exchange: Exchange) -> None:
        """Mark the request's jobs as decoding: its prompt has been read.

        The jobs of helpers that hold no memory have ended and are dropped. Other
        requests may now fit at the same endpoints, so waiting ones are tried.
        """
        now = self._loop.time()
        if exchange.first_event_at is None:
            exchange.first_event_at = now
        jobs = [
            job._replace(decoding=True, first_event_at=now)
            for job in self._state.load.jobs_of(exchange.key)
            if job.held_tokens
        ]
        self._state.load.put(exchange.key, jobs)
        self._state.peer_updates.job_ended()
        self._waiting.schedule_placing()

    def _record_answer(
        self, exchange: Exchange, placement: Placement, forwarded: ForwardedAnswer
    ) -> None:
        exchange.status = forwarded.status
        self._observations.record_call_end(exchange)
        if forwarded.status < 500:
            self._health.succeeded(placement.endpoint_id, self._loop.time())

    def _raise_unless_retried(
        self, exchange: Exchange, placement: Placement, error: CranberrywickError
    ) -> None:
        """Record a failed attempt, and raise its error unless another may follow."""
        now = self._loop.time()
        endpoint_id = self._endpoint_at_fault(placement, error)
        cooldown = self._record_failure(endpoint_id, error, now)
        exchange.tried_ids.add(endpoint_id)
        exchange.may_have_run |= error.executed is not Executed.NO
        reason = self._reason_to_stop(exchange, error, now)
        self._log.warning(
            "attempt_failed",
            request_id=exchange.meta.request_id,
            route=exchange.route.name,
            endpoint=placement.endpoint_id,
            at_fault=endpoint_id,
            sent=exchange.sent_count,
            error=error,
            executed=error.executed.value,
            cooldown_seconds=cooldown,
            endpoints_age=self._state.registry.age(now),
            next="stop: " + reason if reason else "another endpoint",
        )
        if reason:
            raise error

    def _record_failure(
        self, endpoint_id: str, error: CranberrywickError, now: float
    ) -> float:
        """Record a failure of the endpoint and return its cooldown, in seconds."""
        if isinstance(error, EndpointFailed):
            self._health.answered_failure(endpoint_id, now)
            return 0.0
        return self._health.failed(endpoint_id, now)

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

    def _reason_to_stop(
        self, exchange: Exchange, error: CranberrywickError, now: float
    ) -> str:
        """Return why no other attempt may follow, empty if one may."""
        if exchange.may_have_run and not exchange.route.idempotent:
            return "it may have run"
        if exchange.caller.answer_started and not exchange.is_stream:
            return "the answer has begun"
        if exchange.deadline - now < MIN_ATTEMPT_SECONDS:
            return "no time is left"
        if exchange.answering_ids is not None and not exchange.answering_ids:
            return "no further endpoint is allowed"
        if _may_have_arrived(error) and not self._budget.take(
            exchange.service.name, self._state.peer_updates.most_members, now
        ):
            return "the retry budget is spent"
        return ""

    def _timeout_error(self, exchange: Exchange) -> TimedOut:
        executed = Executed.UNKNOWN if exchange.in_flight else Executed.NO
        return TimedOut("the time for this request is over", executed=executed)

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
        try:
            await error.answer.send_to(exchange.caller)
        except ConnectionError:
            return "caller_gone"
        exchange.status = error.answer.head.status
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
            outcome=outcome,
            status=exchange.status,
            endpoint=exchange.endpoint_id,
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
            tokens=exchange.meta.prompt.prompt_tokens if exchange.meta.prompt else None,
            version=exchange.version,
            endpoints_age=self._state.registry.age(now),
            operator_age=self._state.operator_age(now),
        )


def _may_have_arrived(error: CranberrywickError) -> bool:
    """Whether the endpoint may have received the request.

    Another attempt then counts against the retry budget: it adds to the load of
    endpoints that may be overloaded.
    """
    if isinstance(error, EndpointRefused):
        return error.reason is not EndpointRefusal.UNREACHABLE
    return isinstance(error, AmbiguousSend | AnswerLost | Overloaded)

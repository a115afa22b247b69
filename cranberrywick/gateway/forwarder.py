"""One request's way: route, identify, place, send, pass the answer back.

A failure says whether the request ran. Until the first byte leaves for an endpoint
it has not; after that only the endpoint's own word says so. One place keeps this,
`Exchange.may_have_run`, and every answer of the gateway's own is made from it.
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
from cranberrywick.gateway.attempt import Attempt, AttemptWatch, Passed
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
    LEAST_SECONDS_WITHOUT_STORE,
    STARTING_SECONDS,
)
from cranberrywick.routing.retry_budget import RetryBudget
from cranberrywick.routing.table import pick_service

__all__ = ["Forwarder"]

# An answer of the gateway's own leaves this much before the route's time-out, so
# that it is there when the time is over.
TIMEOUT_MARGIN_SECONDS = 0.01
# A second try is not worth sending with less time left than this.
LEAST_TRY_SECONDS = 0.05


class Forwarder:
    """Serves each request of a caller; called by the ingress."""

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
        """Serve a request to its end; cancelled when the caller leaves."""
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
            outcome = await self._fail(exchange, error)
        except TimeoutError:
            if exchange.under_way:
                self._observations.call_ended(exchange)
            outcome = await self._fail(exchange, self._timed_out(exchange))
        except ConnectionError:
            outcome = "caller_gone"
        except asyncio.CancelledError:
            outcome = "caller_gone"
            raise
        finally:
            self._state.load.drop(exchange.key)
            self._state.peer_updates.job_ended()
            self._waiting.look()
            self._note_end(exchange, outcome)

    def _route(self, exchange: Exchange) -> None:
        """Find the route, the organisation and the time there is."""
        table = self._state.table
        if table is None:
            is_away = self._state.store_is_away
            raise PlatformUnavailable(
                "no configuration is known yet",
                retry_after=LEAST_SECONDS_WITHOUT_STORE
                if is_away
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
        """Try endpoints until one has answered."""
        while True:
            placement = await self._placements.take(exchange)
            try:
                passed = await self._attempt(exchange, placement)
            except CranberrywickError as error:
                self._state.load.drop(exchange.key)
                self._raise_unless_retried(exchange, placement, error)
                continue
            self._answered(exchange, placement, passed)
            return

    async def _attempt(self, exchange: Exchange, placement: Placement) -> Passed:
        tracked_endpoints = self._state.registry.tracked_by_id
        attempt = Attempt(
            exchange,
            placement,
            tracked_endpoints,
            self._state.may_send,
            self._watch(exchange),
            self._connect_timeout,
            self._settings.bounds.free_seconds,
            self._log,
        )
        return await attempt.run()

    def _watch(self, exchange: Exchange) -> AttemptWatch:
        observations = self._observations
        return AttemptWatch(
            observations.head, self._first_event, observations.pause_watch(exchange)
        )

    def _first_event(self, exchange: Exchange) -> None:
        """Note that an endpoint has read the prompt and now writes."""
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
        self._waiting.look()

    def _answered(
        self, exchange: Exchange, placement: Placement, passed: Passed
    ) -> None:
        exchange.status = passed.status
        self._observations.call_ended(exchange)
        if passed.status < 500:
            self._health.succeeded(placement.endpoint_id, self._loop.time())

    def _raise_unless_retried(
        self, exchange: Exchange, placement: Placement, error: CranberrywickError
    ) -> None:
        """Return if the request may be sent to another endpoint, else raise."""
        now = self._loop.time()
        endpoint_id = self._at_fault(placement, error)
        cooldown = self._note_failure(endpoint_id, error, now)
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

    def _note_failure(
        self, endpoint_id: str, error: CranberrywickError, now: float
    ) -> float:
        """Hold a failure against the endpoint; return its cooldown."""
        if isinstance(error, EndpointFailed):
            self._health.answered_failure(endpoint_id, now)
            return 0.0
        return self._health.failed(endpoint_id, now)

    def _at_fault(self, placement: Placement, error: CranberrywickError) -> str:
        """Return the endpoint that a failed attempt is held against.

        An endpoint that refuses for a helper's fault is sound. Held against it, the
        helper stays in use, and two refusals use up all endpoints that a request may
        be sent to, with seconds of its time left.
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
        if exchange.may_have_run and not exchange.route.idempotent:
            return "it may have run"
        if exchange.caller.started and not exchange.is_stream:
            return "the answer has begun"
        if exchange.deadline - now < LEAST_TRY_SECONDS:
            return "no time is left"
        if exchange.answering_ids is not None and not exchange.answering_ids:
            return "no further endpoint is allowed"
        if _reached(error) and not self._budget.take(
            exchange.service.name, self._state.peer_updates.most_members, now
        ):
            return "the retry budget is spent"
        return ""

    def _timed_out(self, exchange: Exchange) -> TimedOut:
        executed = Executed.UNKNOWN if exchange.under_way else Executed.NO
        return TimedOut("the time for this request is over", executed=executed)

    async def _fail(self, exchange: Exchange, error: CranberrywickError) -> str:
        """Tell the caller of a failure, as far as that is still possible."""
        if exchange.caller.started:
            # Part of an answer is out: the connection closes without its end.
            return error.type
        if isinstance(error, EndpointFailed):
            return await self._pass_failure(exchange, error)
        status = exchange.failure_status(error)
        exchange.status = status
        retry_seconds = exchange.retry_seconds(error) if status in (429, 503) else None
        headers = failure_headers(exchange.meta.request_id, retry_seconds)
        try:
            await exchange.caller.answer(status, headers, exchange.failure_body(error))
        except ConnectionError:
            return "caller_gone"
        return error.type

    async def _pass_failure(self, exchange: Exchange, error: EndpointFailed) -> str:
        """Pass on the endpoint's own answer, which is better than one of ours."""
        try:
            await error.answer.pass_to(exchange.caller)
        except ConnectionError:
            return "caller_gone"
        exchange.status = error.answer.head.status
        return error.type

    def _note_end(self, exchange: Exchange, outcome: str) -> None:
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


def _reached(error: CranberrywickError) -> bool:
    """Whether the attempt arrived at the endpoint, so that another is a repeat."""
    if isinstance(error, EndpointRefused):
        return error.reason is not EndpointRefusal.UNREACHABLE
    return isinstance(error, AmbiguousSend | AnswerLost | Overloaded)

"""Requests that peers forward to this daemon, since they reach no endpoint.

Each gets one attempt at an endpoint, under the same checks as a request of a caller. It
is not forwarded again: where most daemons have lost their links, requests would travel
from one to the next.
"""

import asyncio
import random

from cranberrywick.errors import (
    AnswerLost,
    CranberrywickError,
    EndpointFailed,
    EndpointRefused,
    PeerMessageInvalid,
    PlatformUnavailable,
)
from cranberrywick.gateway.buffer_budget import (
    BodyRefusal,
    BufferBudget,
    ConnectionBuffers,
    Unbudgeted,
)
from cranberrywick.gateway.caller_connection import CallerConnection
from cranberrywick.gateway.direct_attempts import DirectAttempts
from cranberrywick.gateway.drain import NO_TIME, Drain
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.forwarded_statements import (
    STATEMENT_HEADER,
    STATEMENT_HEADER_BYTES,
    AnswerStatement,
    RequestStatement,
    decode_request_statement,
    encode_answer_statement,
    take_statement,
)
from cranberrywick.gateway.http_request import DEFAULT_LIMITS, HttpRequest
from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.request_routing import TIMEOUT_MARGIN_SECONDS, route_request
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.throttled_log import ThrottledLog
from cranberrywick.logs import EventLog
from cranberrywick.model import EndpointRefusal
from cranberrywick.platform.headers import decode_request
from cranberrywick.routing.model import RequestLimits
from cranberrywick.routing.reachability import Reach

__all__ = ["PeerRequests"]

# Largest number of peers' requests that are served at the same time. Without a bound,
# one daemon that still reaches the endpoints could be sent those of a whole fleet.
MAX_SERVED = 400
# Status of an answer that tells the peer why there is none of an endpoint.
FAILURE_STATUS = 502


class PeerCaller:
    """A peer that forwarded a request, as the caller of this daemon's attempt.

    It adds to the answer what the peer has to know of it.
    """

    def __init__(self, connection: CallerConnection):
        self._connection = connection
        self.statement = AnswerStatement()

    @property
    def answer_started(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._connection.answer_started

    @property
    def buffers(self) -> ConnectionBuffers | Unbudgeted:
        """What is held for the peer's connection."""
        return self._connection.buffers

    async def send_head(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the status line, the headers and the statement."""
        value = encode_answer_statement(self.statement)
        stated = [*headers, (STATEMENT_HEADER, value)]
        await self._connection.send_head(status, reason, stated)

    async def send_body(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._connection.send_body(data)

    async def send_whole_body(self, data: bytes) -> None:
        """Send the only part of a body."""
        await self._connection.send_whole_body(data)

    def end(self) -> None:
        """Send the end of the body, which marks the answer as complete."""
        self._connection.end()

    async def refuse(self) -> None:
        """Send only the statement."""
        value = encode_answer_statement(self.statement)
        await self._connection.answer(FAILURE_STATUS, [(STATEMENT_HEADER, value)], b"")


class PeerExchange(Exchange):
    """A peer's request; the answer states which endpoint has it."""

    # The peer reaches no endpoint, and may know no other daemon that does.
    may_go_elsewhere = False

    def record_endpoint(self, endpoint_id: str, born: int) -> None:
        """Record the endpoint that has the request, and its start."""
        super().record_endpoint(endpoint_id, born)
        self.caller.statement = AnswerStatement(endpoint_id, born)


class PeerRequests:
    """Serves the requests of peers: the handler that their ingress calls."""

    def __init__(
        self,
        state: FleetState,
        direct: DirectAttempts,
        drain: Drain,
        budget: BufferBudget | Unbudgeted,
        log: EventLog,
    ):
        self._state = state
        self._direct = direct
        self._drain = drain
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._invalid = ThrottledLog(log, self._loop.time)
        self._served = 0
        self.ingress = Ingress(self, self._limits, budget)

    async def __call__(
        self, request: HttpRequest, connection: CallerConnection
    ) -> None:
        """Serve a request until its answer has been sent.

        The task is cancelled when the peer closes the connection, and at the end of the
        process.
        """
        value, raw_headers = take_statement(request.raw_headers)
        _, headers = take_statement(request.headers)
        try:
            stated = decode_request_statement(value)
        except PeerMessageInvalid as error:
            self._invalid.warning("peer_message_invalid", error=error)
            await connection.answer(400, [], b"")
            return
        # The statement was made when the head was sent.
        stated_at = request.arrived
        request = request._replace(
            headers=headers, raw_headers=raw_headers, arrived=stated_at - stated.elapsed
        )
        exchange = PeerExchange(
            request, PeerCaller(connection), decode_request(headers)
        )
        exchange.expires_at = stated_at + stated.remaining
        # The peer answers its caller that much before the time is over.
        exchange.deadline = exchange.expires_at - 2 * TIMEOUT_MARGIN_SECONDS
        exchange.has_begun = stated.last_event_id != exchange.resumed_id
        exchange.last_event_id = exchange.resumed_id = stated.last_event_id
        if stated.ends:
            exchange.cut_at = exchange.deadline
        exchange.weights_version = stated.weights_version
        exchange.sent_ids.update(stated.sent_ids)
        exchange.tried_ids.update(stated.excluded_ids)
        outcome = "internal_error"
        self._served += 1
        try:
            outcome = await self._serve(exchange, stated)
        except ConnectionError:
            outcome = "caller_gone"
        except asyncio.CancelledError:
            outcome = "caller_gone" if connection.gone else "daemon_stopped"
            raise
        finally:
            self._served -= 1
            self._direct.end(exchange)
            self._record_end(exchange, stated, outcome)

    async def _serve(self, exchange: PeerExchange, stated: RequestStatement) -> str:
        """Serve a request and return the outcome for the log."""
        at_fault_id = ""
        try:
            self._check_able(stated)
            route_request(exchange, self._state, self._rng, stated.service)
            self._exclude(exchange, stated)
            async with self._drain.deadline(exchange):
                failure = await self._direct.run(exchange)
            if failure is None:
                return "completed"
            error, at_fault_id = failure.error, failure.at_fault_id
        except CranberrywickError as raised:
            error = raised
        except TimeoutError:
            error = self._direct.time_out(exchange)
        except ConnectionError:
            raise
        except Exception as raised:
            self._log.error(
                "request_crashed", request_id=exchange.meta.request_id, error=raised
            )
            error = AnswerLost("this daemon failed; its log has the cause")
        await self._answer_failure(exchange, error, at_fault_id)
        return error.type

    def _check_able(self, stated: RequestStatement) -> None:
        """Raise the error that makes the peer choose another daemon."""
        state = self._state
        if self._served > MAX_SERVED or not state.ready:
            raise PlatformUnavailable("this daemon serves no more requests of peers")
        if state.table.configuration.version < stated.version:
            raise PlatformUnavailable("this daemon knows an older configuration")
        if state.reach.reach(stated.service) is Reach.NONE:
            raise EndpointRefused(
                "this daemon reaches no endpoint of the service either",
                reason=EndpointRefusal.UNREACHABLE,
            )

    def _exclude(self, exchange: PeerExchange, stated: RequestStatement) -> None:
        domains_out = set(stated.domains_out) - self._state.domains_out
        if not domains_out:
            return
        for tracked in self._state.registry.index.of_service(exchange.service.name):
            if tracked.record.failure_domain in domains_out:
                exchange.tried_ids.add(tracked.endpoint_id)

    async def _answer_failure(
        self, exchange: PeerExchange, error: CranberrywickError, at_fault_id: str
    ) -> None:
        caller = exchange.caller
        if caller.answer_started:
            # The ingress closes the connection without the end of the body.
            return
        if isinstance(error, EndpointFailed):
            await error.answer.send_to(caller)
            return
        caller.statement = AnswerStatement(
            exchange.endpoint_id, exchange.endpoint_born, error, at_fault_id
        )
        await caller.refuse()

    def refuse_unread(self, headers: list[tuple[bytes, bytes]]) -> BodyRefusal:
        """Return the answer to a request whose body has not come in time."""
        return _stated(self._drain.refusal_of_unread(headers))

    def refuse_late(self, headers: list[tuple[bytes, bytes]]) -> BodyRefusal:
        """Return the answer to a request that has come too late to be served."""
        return _stated(self._drain.refusal_of_unread(headers, NO_TIME))

    def _limits(self) -> RequestLimits:
        """Return the limits of callers' requests, with room for the statement."""
        table = self._state.table
        limits = table.configuration.limits if table else DEFAULT_LIMITS
        more = limits.header_bytes + 2 * STATEMENT_HEADER_BYTES
        return limits._replace(header_bytes=more)

    def _record_end(
        self, exchange: PeerExchange, stated: RequestStatement, outcome: str
    ) -> None:
        self._log.info(
            "peer_request_ended",
            request_id=exchange.meta.request_id,
            peer=stated.daemon_id,
            service=stated.service,
            outcome=outcome,
            status=exchange.status,
            **self._drain.end_fields(exchange),
            endpoint=exchange.endpoint_id,
            seconds=self._loop.time() - exchange.request.arrived,
            forwarded_after=stated.elapsed,
            version=exchange.version,
            stated_version=stated.version,
            endpoints_age=self._state.registry.age(self._loop.time()),
        )


def _stated(error: CranberrywickError) -> BodyRefusal:
    value = encode_answer_statement(AnswerStatement(error=error))
    return BodyRefusal([(STATEMENT_HEADER, value)], b"")

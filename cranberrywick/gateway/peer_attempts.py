"""Requests that this daemon forwards to a peer, since it reaches no endpoint itself.

The peer makes a single attempt at an endpoint, as it would for a caller of its own:
placement, permits, the checks before a send and what the answer states about the
endpoint are all the peer's. Further attempts, the retry budget, the deadline and the
caller stay with this daemon.
"""

import asyncio
import random

from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    CranberrywickError,
    Draining,
    EndpointRefused,
    Overloaded,
    PeerMessageInvalid,
    PlatformUnavailable,
)
from cranberrywick.gateway.answer_forwarding import AnswerCallbacks, AnswerForwarding
from cranberrywick.gateway.direct_attempts import AttemptFailure, DirectAttempts
from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.exchange import AnswerSource, Exchange
from cranberrywick.gateway.forwarded_statements import (
    STATEMENT_HEADER,
    AnswerStatement,
    RequestStatement,
    decode_answer_statement,
    encode_request_statement,
    take_statement,
)
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.peer_connection import PeerConnection
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.logs import EventLog
from cranberrywick.model import Executed
from cranberrywick.platform.headers import ResponseMeta, end_to_end_headers
from cranberrywick.routing.connect_timeout import ConnectTimeout
from cranberrywick.routing.forwarding_peers import ForwardingPeers
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.reachability import Reach

__all__ = ["PeerAttempts"]

# How many endpoints accept no connection for one request before it is forwarded
# although its service counts as reached. The first one has mostly died, and a peer,
# which doesn't know that, may choose it too.
MIN_UNREACHABLE_ENDPOINTS = 2
# Longest time until a peer answers the head of a request, in seconds. Unlike a
# connection, which its kernel accepts, the answer waits for what the peer is doing.
OFFER_SECONDS = 0.3
# Largest number of times that a peer fails for one request before it is given up.
MAX_PEER_FAILURES = 4
# How long endpoints that are gone stay excluded for a peer, in seconds. It reads of
# their removal within this time, while a copy of theirs may still show them.
DEPARTED_SECONDS = 5.0
# Largest number of endpoints that a request is excluded from.
MAX_EXCLUDED = 400


class PeerAttempts:
    """Chooses peers for requests, forwards these and records the outcomes."""

    def __init__(
        self,
        daemon_id: str,
        state: FleetState,
        waiting: WaitingRequests,
        direct: DirectAttempts,
        drain: Drain,
        metrics: LazyMetrics,
        log: EventLog,
    ):
        self._daemon_id = daemon_id
        self._state = state
        self._waiting = waiting
        self._direct = direct
        self._drain = drain
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._peers = ForwardingPeers(random.Random())
        self._connect_timeout = ConnectTimeout()

    def choose(self, exchange: Exchange) -> Heartbeat | None:
        """Return the peer to forward a request to, None to send it to an endpoint.

        Raises `Overloaded` if neither this VM nor a peer is known to reach an endpoint.
        """
        service = exchange.service.name
        reach = self._state.reach.reach(service)
        failed = len(exchange.unreachable_ids)
        if reach is Reach.FULL and failed < MIN_UNREACHABLE_ENDPOINTS:
            return None
        peer = None
        failures = len(exchange.failed_peer_ids) + len(exchange.unable_peer_ids)
        if failures < MAX_PEER_FAILURES:
            now = self._loop.time()
            peer = self._peers.choose(
                self._state.members.serving(now),
                service,
                reach,
                exchange.version,
                exchange.unable_peer_ids,
                exchange.failed_peer_ids,
                now,
            )
        if peer is None and reach is Reach.NONE:
            raise Overloaded(
                "no endpoint is reached from here or from a peer",
                retry_after=self._waiting.outage_retry_seconds(service),
            )
        return peer

    async def run(self, exchange: Exchange, peer: Heartbeat) -> AttemptFailure | None:
        """Forward a request; return the failure, None if its answer was forwarded.

        Raises the peer's `Overloaded` and `TimedOut`, its errors of routing, and
        `Draining` if the answer can't be whole before this daemon ends.
        """
        self._drain.check_forwarding(exchange)
        exchange.peer_id = peer.daemon_id
        outcome = "cancelled"
        try:
            failure = await self._forward(exchange, peer)
            outcome = "answered" if failure is None else failure.error.type
            return failure
        except CranberrywickError as error:
            outcome = error.type
            raise
        finally:
            self._metrics.request_forwarded(outcome)
            self._log.info(
                "request_forwarded",
                request_id=exchange.meta.request_id,
                peer=peer.daemon_id,
                endpoint=exchange.endpoint_id,
                outcome=outcome,
                reach=self._state.reach.reach(exchange.service.name).value,
                seconds=self._loop.time() - exchange.request.arrived,
            )

    async def _forward(
        self, exchange: Exchange, peer: Heartbeat
    ) -> AttemptFailure | None:
        host = peer.peer_address.rpartition(":")[0]
        address, buffers = f"{host}:{peer.reach.port}", exchange.caller.buffers
        turns = self._direct.held_answers.turns
        async with PeerConnection(address, buffers, turns) as connection:
            try:
                await self._offer(connection, exchange)
            except EndpointRefused as error:
                self._peers.failed(peer.daemon_id, self._loop.time())
                exchange.failed_peer_ids.append(peer.daemon_id)
                return AttemptFailure(error)
            exchange.record_forwarded(self._loop.time())
            connection.send_body(exchange.request.body)
            try:
                failure = await self._receive(exchange, peer, connection)
            except (AmbiguousSend, AnswerLost) as error:
                if not exchange.endpoint_id:
                    # The peer may have sent it to an endpoint that is not known here.
                    exchange.sent_ids.add(f"peer {peer.daemon_id}")
                exchange.record_lost()
                endpoint_id = exchange.endpoint_id
                failure = AttemptFailure(error, endpoint_id, endpoint_id)
            except CranberrywickError:
                exchange.in_flight = False
                raise
        exchange.in_flight = False
        return failure

    async def _offer(self, connection: PeerConnection, exchange: Exchange) -> None:
        """Connect to the peer and let it accept the request.

        Raises `EndpointRefused` if it does not.
        """
        started = self._loop.time()
        allowed = min(self._connect_timeout.seconds, exchange.deadline - started)
        try:
            await connection.open(allowed)
        except EndpointRefused:
            if self._loop.time() - started >= allowed:
                self._connect_timeout.timed_out()
            raise
        self._connect_timeout.answered(self._loop.time() - started)
        request = exchange.request
        statement = encode_request_statement(self._statement(exchange))
        headers = end_to_end_headers(request.raw_headers)
        headers.append((STATEMENT_HEADER, statement))
        remaining = exchange.deadline - self._loop.time()
        await connection.offer(
            request.method, request.target, headers, min(OFFER_SECONDS, remaining)
        )

    def _statement(self, exchange: Exchange) -> RequestStatement:
        now = self._loop.time()
        ends_at = self._drain.ends_at(exchange)
        registry = self._state.registry
        excluded_ids = exchange.tried_ids | registry.departed_ids(
            now - DEPARTED_SECONDS
        )
        excluded_ids |= registry.draining_ids(exchange.service.name)
        return RequestStatement(
            self._daemon_id,
            now - exchange.request.arrived,
            min(exchange.expires_at, ends_at) - now,
            exchange.version,
            exchange.service.name,
            tuple(sorted(exchange.sent_ids)),
            tuple(sorted(excluded_ids)[:MAX_EXCLUDED]),
            tuple(sorted(self._state.domains_out)),
            exchange.last_event_id,
            exchange.weights_version,
            ends_at < exchange.deadline,
        )

    async def _receive(
        self, exchange: Exchange, peer: Heartbeat, connection: PeerConnection
    ) -> AttemptFailure | None:
        """Forward the answer, or return the failure that the peer states."""
        answer = await connection.read_head()
        value, answer.raw_headers = take_statement(answer.raw_headers)
        answer.headers_by_name.pop(STATEMENT_HEADER.lower(), None)
        try:
            statement = decode_answer_statement(value)
        except PeerMessageInvalid as error:
            raise AnswerLost(f"a peer's answer: {error.message}") from error
        if statement.endpoint_id:
            exchange.record_endpoint(statement.endpoint_id, statement.born)
        if statement.error is not None:
            return self._stated_failure(exchange, peer, statement)
        callbacks = AnswerCallbacks(
            self._record_head,
            self._direct.record_first_event,
            lambda endpoint_id, seconds, events: None,
            on_received=self._direct.record_received,
        )
        forwarding = AnswerForwarding(exchange, callbacks, self._direct.held_answers)
        await forwarding.forward(connection, answer)
        self._waiting.outage_ended(exchange.service.name)
        return None

    def _stated_failure(
        self, exchange: Exchange, peer: Heartbeat, statement: AnswerStatement
    ) -> AttemptFailure:
        error, at_fault_id = statement.error, statement.at_fault_id
        exchange.may_have_run |= error.executed is not Executed.NO
        is_refusal = isinstance(error, EndpointRefused)
        if is_refusal and error.is_unreachable and at_fault_id:
            # The endpoint is not at fault, and the peer may reach others.
            exchange.failed_peer_ids.append(peer.daemon_id)
            return AttemptFailure(error, statement.endpoint_id)
        is_stopping = isinstance(error, Draining) and error.executed is Executed.NO
        if (
            isinstance(error, PlatformUnavailable)
            or is_stopping
            or (is_refusal and error.is_unreachable)
        ):
            exchange.unable_peer_ids.add(peer.daemon_id)
            service, now = exchange.service.name, self._loop.time()
            self._peers.unreachable(peer.daemon_id, service, now)
            return AttemptFailure(error)
        if error.executed is not Executed.NO:
            exchange.record_lost()
        if is_refusal or isinstance(error, AmbiguousSend | AnswerLost | Draining):
            return AttemptFailure(error, statement.endpoint_id, at_fault_id)
        raise error

    def _record_head(
        self, source: AnswerSource, status: int, meta: ResponseMeta
    ) -> None:
        # A backoff concerns the daemon that the endpoint answered.
        own = meta._replace(backoff_seconds=None)
        self._direct.observations.record_head(source, status, own)

"""One attempt: a request sent to one endpoint, and its answer passed on."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    EndpointFailed,
    EndpointRefused,
)
from cranberrywick.gateway.events import EventSplitter
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.ingress import CallerConnection
from cranberrywick.gateway.reservations import Reservations
from cranberrywick.gateway.upstream import EndpointAnswer, EndpointConnection
from cranberrywick.logs import EventLog
from cranberrywick.model import EndpointRefusal
from cranberrywick.platform.headers import (
    HOP_BY_HOP,
    ResponseMeta,
    SetHeaders,
    decode_response,
    endpoint_headers,
)
from cranberrywick.platform.orders import helper_entry
from cranberrywick.routing.connect_timeout import ConnectTimeout, is_own_delay
from cranberrywick.routing.model import EndpointRecord
from cranberrywick.routing.placement import Placement
from cranberrywick.routing.registry import TrackedEndpoint

__all__ = ["Attempt", "AttemptWatch", "Passed", "WholeAnswer"]


class WholeAnswer(NamedTuple):
    """An endpoint's answer with its whole body."""

    head: EndpointAnswer
    body: bytes

    async def pass_to(self, caller: CallerConnection) -> None:
        """Send it to the caller as it came."""
        headers = _passed_headers(self.head)
        headers.append((b"Content-Length", str(len(self.body)).encode()))
        await caller.send_head(self.head.status, self.head.reason, headers)
        if self.body:
            await caller.send_body(self.body)
        caller.end()


class Passed(NamedTuple):
    """An answer that has been passed on whole."""

    status: int


class AttemptWatch(NamedTuple):
    """Who is told of an answer while it comes in.

    ``head`` gets what its head says, ``first_event`` is called with the first event of
    a stream, ``pause`` gets the endpoint and each pause between events, in seconds.
    """

    head: Callable[[Exchange, int, ResponseMeta], None]
    first_event: Callable[[Exchange], None]
    pause: Callable[[str, float], None]


class Attempt:
    """Sends an exchange to the endpoint of a placement.

    `run` raises `EndpointRefused` where the endpoint did not run it, `AmbiguousSend`
    or `AnswerLost` where it may have.
    """

    def __init__(
        self,
        exchange: Exchange,
        placement: Placement,
        tracked_by_id: Mapping[str, TrackedEndpoint],
        may_send: Callable[[str, bool], bool],
        watch: AttemptWatch,
        connect_timeout: ConnectTimeout,
        free_seconds: float,
        log: EventLog,
    ):
        self._connect_timeout = connect_timeout
        self._free_seconds = free_seconds
        self._log = log
        self._exchange = exchange
        self._placement = placement
        self._tracked_by_id = tracked_by_id
        self._may_send = may_send
        self._watch = watch
        self._loop = asyncio.get_running_loop()

    async def run(self) -> Passed:
        """Make the attempt."""
        tracked = self._tracked_by_id.get(self._placement.endpoint_id)
        if tracked is None:
            # Gone between the moment when the place was given and this one.
            raise EndpointRefused(
                "the endpoint is gone", reason=EndpointRefusal.LEAVING
            )
        wanted = self._wanted_memory()
        reservations = Reservations(wanted, self._free_seconds, self._log)
        try:
            await reservations.take()
            return await self._run(tracked.record, reservations)
        finally:
            reservations.release()

    def _wanted_memory(self) -> list[tuple[str, str, int]]:
        return [
            (
                part.endpoint_id,
                self._tracked_by_id[part.endpoint_id].record.address,
                part.reserved_tokens,
            )
            for part in self._placement.helpers
            if part.reserved_tokens and part.endpoint_id in self._tracked_by_id
        ]

    async def _run(self, record: EndpointRecord, reservations: Reservations) -> Passed:
        exchange = self._exchange
        async with EndpointConnection(record.address) as connection:
            await self._open(connection)
            # Asked again now, not when the place was given: an endpoint that began
            # to leave meanwhile would get work after its last moment for it.
            if not self._may_send(record.endpoint_id, self._placement.last_resort):
                raise EndpointRefused(
                    "the endpoint is leaving", reason=EndpointRefusal.LEAVING
                )
            await self._send(connection, reservations)
            try:
                passed = await self._receive(connection)
            except EndpointRefused:
                exchange.under_way = False
                raise
            except (AmbiguousSend, AnswerLost):
                exchange.under_way = False
                exchange.may_have_run = True
                raise
        exchange.under_way = False
        return passed

    async def _open(self, connection: EndpointConnection) -> None:
        started = self._loop.time()
        remaining = self._exchange.deadline - started
        allowed = min(self._connect_timeout.seconds, remaining)
        try:
            await connection.open(allowed)
        except EndpointRefused:
            waited = self._loop.time() - started
            if waited >= allowed:
                self._connect_timeout.timed_out()
            if not is_own_delay(waited, allowed):
                raise
            remaining = self._exchange.deadline - self._loop.time()
            await connection.open(min(self._connect_timeout.seconds, remaining))
        self._connect_timeout.answered(self._loop.time() - started)

    async def _send(
        self, connection: EndpointConnection, reservations: Reservations
    ) -> None:
        exchange, placement = self._exchange, self._placement
        organisation = exchange.organisation
        headers = endpoint_headers(
            exchange.request.raw_headers,
            SetHeaders(
                remaining_seconds=exchange.deadline - self._loop.time(),
                endpoint_id=placement.endpoint_id,
                organisation=organisation.name if organisation else None,
                helpers=self._helpers(reservations),
                last_event_id=exchange.last_event_id,
                weights_version=exchange.weights_version,
            ),
        )
        exchange.note_sent(placement.endpoint_id, self._loop.time())
        exchange.predicted = placement.first_event_seconds
        exchange.parts = 1 + len(placement.helpers)
        exchange.last_resort = placement.last_resort
        exchange.helper_ids = tuple(part.endpoint_id for part in placement.helpers)
        request = exchange.request
        await connection.send(request.method, request.target, headers, request.body)

    def _helpers(self, reservations: Reservations) -> tuple[str, ...]:
        """Return the helpers, those that hold memory first, as they are filled."""
        ids_by_endpoint = {r.endpoint_id: r.reservation_id for r in reservations.held}
        return tuple(
            helper_entry(
                self._tracked_by_id[part.endpoint_id].record.address,
                ids_by_endpoint.get(part.endpoint_id),
            )
            for part in self._placement.helpers
            if part.endpoint_id in self._tracked_by_id
        )

    async def _receive(self, connection: EndpointConnection) -> Passed:
        answer = await connection.read_head()
        meta = decode_response(answer.status, answer.headers_by_name)
        self._watch.head(self._exchange, answer.status, meta)
        self._check(answer, meta)
        if self._exchange.is_stream and answer.status == 200:
            await self._pass_stream(connection, answer, meta)
        else:
            await self._pass_whole(connection, answer)
        return Passed(answer.status)

    def _check(self, answer: EndpointAnswer, meta: ResponseMeta) -> None:
        if meta.not_executed:
            moved = answer.status == 421
            raise EndpointRefused(
                f"status {answer.status}, not run, at fault: {meta.at_fault}",
                reason=EndpointRefusal.LEAVING if moved else EndpointRefusal.FULL,
                at_fault=meta.at_fault,
            )
        expected = self._exchange.meta.request_id
        if meta.request_id != expected:
            # A late answer to another request, or one of nobody.
            raise AnswerLost("the answer belongs to another request")
        if answer.is_encoded:
            raise AnswerLost("the answer's body is encoded")
        if answer.status < 300 and not meta.sealed:
            raise AnswerLost("the answer is not the endpoint's own")

    async def _pass_whole(
        self, connection: EndpointConnection, answer: EndpointAnswer
    ) -> None:
        """Pass an answer on once all of it is here: half of one is none."""
        parts = [part async for part in connection.body()]
        whole = WholeAnswer(answer, b"".join(parts))
        exchange = self._exchange
        if exchange.caller.started:
            raise AnswerLost(f"status {answer.status} in place of more events")
        if answer.status >= 500 and exchange.route.idempotent:
            raise EndpointFailed(f"status {answer.status}", whole)
        await whole.pass_to(exchange.caller)

    async def _pass_stream(
        self,
        connection: EndpointConnection,
        answer: EndpointAnswer,
        meta: ResponseMeta,
    ) -> None:
        exchange = self._exchange
        splitter = EventSplitter()
        async for data in connection.body():
            whole = splitter.feed(data)
            if splitter.is_too_long:
                raise AnswerLost("the stream has no events")
            if whole:
                await self._pass_events(answer, meta, whole)
                exchange.last_event_id = splitter.last_id or exchange.last_event_id
        rest = splitter.flush()
        if rest.strip():
            raise AnswerLost("the stream ended in the middle of an event")
        if not exchange.caller.started:
            await self._begin(answer, meta)
        exchange.caller.end()

    async def _pass_events(
        self, answer: EndpointAnswer, meta: ResponseMeta, whole: bytes
    ) -> None:
        pause = self._exchange.note_events(self._loop.time())
        if pause is not None and not self._is_first:
            self._watch.pause(self._placement.endpoint_id, pause)
        if not self._exchange.caller.started:
            await self._begin(answer, meta)
        if self._is_first:
            self._is_first = False
            self._watch.first_event(self._exchange)
        await self._exchange.caller.send_body(whole)

    async def _begin(self, answer: EndpointAnswer, meta: ResponseMeta) -> None:
        self._exchange.weights_version = meta.weights_version
        headers = _passed_headers(answer)
        await self._exchange.caller.send_head(answer.status, answer.reason, headers)

    _is_first = True


def _passed_headers(answer: EndpointAnswer) -> list[tuple[bytes, bytes]]:
    return [
        (name, value)
        for name, value in answer.raw_headers
        if name.lower() not in HOP_BY_HOP and name.lower() != b"content-length"
    ]

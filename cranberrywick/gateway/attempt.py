"""One attempt: a request sent to one endpoint, its answer forwarded to the caller."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    EndpointFailed,
    EndpointRefused,
)
from cranberrywick.gateway.endpoint_reach import EndpointReach
from cranberrywick.gateway.events import EventSplitter
from cranberrywick.gateway.exchange import AnswerSource, Exchange
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
from cranberrywick.routing.placement import Part, Placement
from cranberrywick.routing.registry import TrackedEndpoint

__all__ = ["Attempt", "AnswerCallbacks", "ForwardedAnswer", "WholeAnswer"]


class WholeAnswer(NamedTuple):
    """An endpoint's answer, its body fully received."""

    head: EndpointAnswer
    body: bytes

    async def send_to(self, caller: CallerConnection) -> None:
        """Send the answer to the caller with the endpoint's status, headers and body.

        Raises `ConnectionError` if the caller has closed its connection.
        """
        headers = _forwarded_headers(self.head)
        headers.append((b"Content-Length", str(len(self.body)).encode()))
        await caller.send_head(self.head.status, self.head.reason, headers)
        if self.body:
            await caller.send_body(self.body)
        caller.end()


class ForwardedAnswer(NamedTuple):
    """The status of an answer that the caller was sent in full."""

    status: int


class AnswerCallbacks(NamedTuple):
    """Callbacks for the stages of an answer that is being received.

    ``on_head`` is called with the source, the status and the decoded headers, also for
    answers to orders; ``on_first_event`` with the exchange, once, at the first event of
    a stream; ``on_pause`` with the endpoint's id and the pause since the previous
    event, in seconds.
    """

    on_head: Callable[[AnswerSource, int, ResponseMeta], None]
    on_first_event: Callable[[Exchange], None]
    on_pause: Callable[[str, float], None]


class Attempt:
    """Sends a request to the endpoint of its placement and forwards the answer.

    ``may_send`` says whether an endpoint, given its id and whether it is used as a
    last resort, may get new work now. ``free_seconds`` is the longest time for which
    helpers may keep memory reserved after its last use.
    """

    def __init__(
        self,
        exchange: Exchange,
        placement: Placement,
        tracked_by_id: Mapping[str, TrackedEndpoint],
        may_send: Callable[[str, bool], bool],
        callbacks: AnswerCallbacks,
        connect_timeout: ConnectTimeout,
        reach: EndpointReach,
        free_seconds: float,
        log: EventLog,
    ):
        self._connect_timeout = connect_timeout
        self._reach = reach
        self._free_seconds = free_seconds
        self._log = log
        self._exchange = exchange
        self._placement = placement
        self._tracked_by_id = tracked_by_id
        self._may_send = may_send
        self._callbacks = callbacks
        self._loop = asyncio.get_running_loop()

    async def run(self) -> ForwardedAnswer:
        """Make the attempt and return the status that the caller was sent.

        Raises `EndpointRefused` if the endpoint did not run the request,
        `AmbiguousSend` or `AnswerLost` if it may have, `EndpointFailed` for its own
        5xx answer where the request may be repeated, and `ConnectionError` if the
        caller has left.
        """
        tracked = self._tracked_by_id.get(self._placement.endpoint_id)
        if tracked is None:
            # The endpoint was removed from the registry after it was chosen.
            raise EndpointRefused(
                "the endpoint is gone", reason=EndpointRefusal.LEAVING
            )
        wanted = self._wanted_reservations()
        reservations = Reservations(
            wanted, self._free_seconds, self._record_order_answer, self._log
        )
        try:
            self._check_usable(self._placement.helpers)
            await reservations.acquire()
            return await self._run(tracked.record, reservations)
        finally:
            reservations.release()

    def _wanted_reservations(self) -> list[tuple[str, str, int]]:
        return [
            (
                part.endpoint_id,
                self._tracked_by_id[part.endpoint_id].record.address,
                part.reserved_tokens,
            )
            for part in self._placement.helpers
            if part.reserved_tokens and part.endpoint_id in self._tracked_by_id
        ]

    async def _run(
        self, record: EndpointRecord, reservations: Reservations
    ) -> ForwardedAnswer:
        exchange = self._exchange
        async with EndpointConnection(record.address) as connection:
            await self._open(connection)
            # Checked again after connecting: an endpoint may have started to leave
            # since it was chosen, and must get no work after its bound for that.
            self._check_usable((Part(record.endpoint_id), *self._placement.helpers))
            await self._send(connection, reservations)
            try:
                forwarded = await self._receive(connection)
            except EndpointRefused:
                exchange.in_flight = False
                raise
            except (AmbiguousSend, AnswerLost):
                exchange.in_flight = False
                exchange.may_have_run = True
                raise
        exchange.in_flight = False
        return forwarded

    def _record_order_answer(self, endpoint_id: str, answer: EndpointAnswer) -> None:
        tracked = self._tracked_by_id.get(endpoint_id)
        if tracked is None:
            return
        meta = decode_response(answer.status, answer.headers_by_name)
        source = self._exchange.answer_source(endpoint_id, tracked.record.born)
        self._callbacks.on_head(source, answer.status, meta)

    def _check_usable(self, parts: Iterable[Part]) -> None:
        """Raise `EndpointRefused` if one of the endpoints may not get new work.

        A helper that was removed from the registry is left out of the request instead.
        """
        for part in parts:
            tracked = self._tracked_by_id.get(part.endpoint_id)
            is_helper = part.endpoint_id != self._placement.endpoint_id
            if tracked is None and is_helper:
                continue
            if self._may_send(part.endpoint_id, self._placement.last_resort):
                continue
            raise EndpointRefused(
                f"{part.endpoint_id} may not get new work",
                reason=EndpointRefusal.LEAVING,
                at_fault=tracked.record.address if tracked else None,
            )

    async def _open(self, connection: EndpointConnection) -> None:
        """Connect; try again if the first try timed out while this daemon was busy."""
        started = self._loop.time()
        remaining = self._exchange.deadline - started
        allowed = min(self._connect_timeout.seconds, remaining)
        try:
            await connection.open(allowed)
        except EndpointRefused as error:
            waited = self._loop.time() - started
            if waited >= allowed:
                self._connect_timeout.timed_out()
            if not is_own_delay(waited, allowed):
                self._reach.failed(self._placement.endpoint_id, error)
                raise
            await self._open_again(connection)
        self._connect_timeout.answered(self._loop.time() - started)
        self._reach.connected(self._placement.endpoint_id)

    async def _open_again(self, connection: EndpointConnection) -> None:
        remaining = self._exchange.deadline - self._loop.time()
        try:
            await connection.open(min(self._connect_timeout.seconds, remaining))
        except EndpointRefused as error:
            self._reach.failed(self._placement.endpoint_id, error)
            raise

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
        # The record may have changed since the endpoint was chosen.
        record = self._tracked_by_id[placement.endpoint_id].record
        exchange.record_sent(record, self._loop.time())
        exchange.predicted = placement.first_event_seconds
        exchange.parts = 1 + len(placement.helpers)
        exchange.last_resort = placement.last_resort
        exchange.helper_ids = tuple(part.endpoint_id for part in placement.helpers)
        request = exchange.request
        await connection.send(request.method, request.target, headers, request.body)

    def _helpers(self, reservations: Reservations) -> tuple[str, ...]:
        """Return the helpers for the request's header, in the order of the placement.

        Endpoints use the helpers' memory in this order, so a placement lists those
        with a reservation first.
        """
        ids_by_endpoint = {r.endpoint_id: r.reservation_id for r in reservations.held}
        return tuple(
            helper_entry(
                self._tracked_by_id[part.endpoint_id].record.address,
                ids_by_endpoint.get(part.endpoint_id),
            )
            for part in self._placement.helpers
            if part.endpoint_id in self._tracked_by_id
        )

    async def _receive(self, connection: EndpointConnection) -> ForwardedAnswer:
        answer = await connection.read_head()
        meta = decode_response(answer.status, answer.headers_by_name)
        exchange = self._exchange
        source = exchange.answer_source(exchange.endpoint_id, exchange.endpoint_born)
        self._callbacks.on_head(source, answer.status, meta)
        self._check_head(answer, meta)
        if self._exchange.is_stream and answer.status == 200:
            await self._forward_stream(connection, answer, meta)
        else:
            await self._forward_whole(connection, answer)
        return ForwardedAnswer(answer.status)

    def _check_head(self, answer: EndpointAnswer, meta: ResponseMeta) -> None:
        if meta.not_executed:
            is_misdirected = answer.status == 421
            raise EndpointRefused(
                f"status {answer.status}, not run, at fault: {meta.at_fault}",
                reason=EndpointRefusal.LEAVING
                if is_misdirected
                else EndpointRefusal.FULL,
                at_fault=meta.at_fault,
            )
        expected = self._exchange.meta.request_id
        if meta.request_id != expected:
            # The id is missing or another request's: a late answer to an earlier
            # request, or one from a server that is not the endpoint.
            raise AnswerLost("the answer belongs to another request")
        if answer.is_encoded:
            raise AnswerLost("the answer's body is encoded")
        if answer.status < 300 and not meta.sealed:
            raise AnswerLost("the answer is not the endpoint's own")

    async def _forward_whole(
        self, connection: EndpointConnection, answer: EndpointAnswer
    ) -> None:
        """Forward an answer after its last byte has come.

        An answer that breaks off can then still be replaced by another endpoint's.
        """
        parts = [part async for part in connection.body()]
        whole = WholeAnswer(answer, b"".join(parts))
        exchange = self._exchange
        if exchange.caller.answer_started:
            raise AnswerLost(f"status {answer.status} in place of more events")
        if answer.status >= 500 and exchange.route.idempotent:
            raise EndpointFailed(f"status {answer.status}", whole)
        await whole.send_to(exchange.caller)

    async def _forward_stream(
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
                await self._forward_events(answer, meta, whole)
                exchange.last_event_id = splitter.last_id or exchange.last_event_id
        rest = splitter.flush()
        if rest.strip():
            raise AnswerLost("the stream ended in the middle of an event")
        if not exchange.caller.answer_started:
            await self._send_head(answer, meta)
        exchange.caller.end()

    async def _forward_events(
        self, answer: EndpointAnswer, meta: ResponseMeta, whole: bytes
    ) -> None:
        pause = self._exchange.record_events(self._loop.time())
        if pause is not None and not self._awaits_first_event:
            self._callbacks.on_pause(self._placement.endpoint_id, pause)
        if not self._exchange.caller.answer_started:
            await self._send_head(answer, meta)
        if self._awaits_first_event:
            self._awaits_first_event = False
            self._callbacks.on_first_event(self._exchange)
        await self._exchange.caller.send_body(whole)

    async def _send_head(self, answer: EndpointAnswer, meta: ResponseMeta) -> None:
        self._exchange.weights_version = meta.weights_version
        headers = _forwarded_headers(answer)
        await self._exchange.caller.send_head(answer.status, answer.reason, headers)

    _awaits_first_event = True


def _forwarded_headers(answer: EndpointAnswer) -> list[tuple[bytes, bytes]]:
    return [
        (name, value)
        for name, value in answer.raw_headers
        if name.lower() not in HOP_BY_HOP and name.lower() != b"content-length"
    ]

"""Forwarding of one answer, as it is received, to the caller."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from cranberrywick.errors import (
    AnswerLost,
    AnswerTooLong,
    Draining,
    EndpointFailed,
    EndpointRefused,
)
from cranberrywick.gateway.caller_connection import CallerConnection
from cranberrywick.gateway.events import EventSplitter
from cranberrywick.gateway.exchange import AnswerSource, Exchange
from cranberrywick.gateway.held_answers import HeldAnswers, HeldBody
from cranberrywick.gateway.upstream import EndpointAnswer, EndpointConnection
from cranberrywick.model import EndpointRefusal, Executed
from cranberrywick.platform.headers import (
    HOP_BY_HOP,
    ResponseMeta,
    decode_response,
)
from cranberrywick.routing.answer_limits import (
    HELD_OF_ONE_BYTES,
    AnswerBound,
    is_endless,
    longest_held,
)

__all__ = ["AnswerCallbacks", "AnswerForwarding", "WholeAnswer"]


class WholeAnswer(NamedTuple):
    """An endpoint's answer, its body fully received."""

    head: EndpointAnswer
    body: HeldBody

    async def send_to(self, caller: CallerConnection) -> None:
        """Send the answer to the caller with the endpoint's status, headers and body.

        The body is kept until the caller has taken it, and can be sent once. Raises
        `ConnectionError` if the caller has closed its connection.
        """
        headers = _forwarded_headers(self.head)
        headers.append((b"Content-Length", str(self.body.held).encode()))
        await caller.send_head(self.head.status, self.head.reason, headers)
        await _send_held(self.body, caller)
        caller.end()


class AnswerCallbacks(NamedTuple):
    """Callbacks for the stages of an answer that is being received.

    ``on_head`` is called with the source, the status and the decoded headers, also for
    answers to orders; ``on_first_event`` with the exchange, once, at the first event of
    a stream; ``on_pause`` with the endpoint's id, the pause since the previous
    event, in seconds, and how many events came after it; ``on_events`` with the
    exchange, for each part of a stream in which whole events came; ``on_received`` with
    the exchange, when the last part of an answer that is no stream has come.
    """

    on_head: Callable[[AnswerSource, int, ResponseMeta], None]
    on_first_event: Callable[[Exchange], None]
    on_pause: Callable[[str, float, int], None]
    on_events: Callable[[Exchange], None] = lambda exchange: None
    on_received: Callable[[Exchange], None] = lambda exchange: None


class AnswerForwarding:
    """Checks an answer to the exchange's request and forwards it to the caller.

    ``held`` has the room for what is kept of answers. Nothing of an answer that is
    withheld is sent before it is whole.
    """

    def __init__(
        self, exchange: Exchange, callbacks: AnswerCallbacks, held: HeldAnswers
    ):
        self._exchange = exchange
        self._callbacks = callbacks
        self._held = held
        self._loop = asyncio.get_running_loop()
        self._awaits_first_event = True
        self._withheld: HeldBody | None = None

    async def forward(
        self, connection: EndpointConnection, answer: EndpointAnswer
    ) -> None:
        """Forward an answer whose head was read from the connection.

        Raises `EndpointRefused` if the endpoint did not run the request, `AnswerLost`
        or `AmbiguousSend` for an answer that breaks off or is not the endpoint's,
        `EndpointFailed` for its own 5xx answer where the request may be repeated, and
        `ConnectionError` if the caller has left.
        """
        meta = decode_response(answer.status, answer.headers_by_name)
        exchange = self._exchange
        source = exchange.answer_source(exchange.endpoint_id, exchange.endpoint_born)
        self._callbacks.on_head(source, answer.status, meta)
        exchange.answer_is_framed = answer.is_framed
        self._check_head(answer, meta)
        if exchange.is_stream and answer.status == 200:
            await self._forward_stream(connection, answer, meta)
        else:
            await self._forward_whole(connection, answer)

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
        """Forward an answer after its last byte has come, if there is room for it.

        An answer that breaks off can then still be replaced by another endpoint's.
        """
        exchange = self._exchange
        body = self._held.body()
        exchange.hold(body)
        try:
            await self._forward_read(connection, answer, body)
        except EndpointFailed:
            raise  # It retains the answer, which stays counted.
        except BaseException:  # Also if the attempt is cancelled.
            body.release()
            exchange.caller.buffers.hold_answer(0)
            raise

    async def _forward_read(
        self, connection: EndpointConnection, answer: EndpointAnswer, body: HeldBody
    ) -> None:
        exchange = self._exchange
        parts = connection.body()
        async for part in parts:
            if not await self._may_hold(answer, body, len(part)):
                if exchange.is_withheld:
                    raise _too_long_to_withhold()
                await self._forward_rest(answer, body, part, parts)
                return
            body.append(part)
            exchange.caller.buffers.hold_answer(body.held)
        self._callbacks.on_received(exchange)
        self._check_not_begun(answer)
        whole = WholeAnswer(answer, body)
        if answer.status >= 500 and exchange.route.idempotent:
            raise EndpointFailed(f"status {answer.status}", whole)
        await exchange.lift_deadline()
        exchange.status = answer.status
        await whole.send_to(exchange.caller)

    async def _may_hold(
        self, answer: EndpointAnswer, body: HeldBody, more: int
    ) -> bool:
        """Return whether more of a body may be kept.

        Raises `AnswerTooLong` if it counts as one without an end.
        """
        exchange = self._exchange
        may_repeat = exchange.may_try_another
        received = body.held + more
        longest = longest_held(answer.status, may_repeat)
        if exchange.is_withheld:
            longest = HELD_OF_ONE_BYTES
        has_room = received <= longest and await self._held.has_room(body, more)
        if has_room:
            return True
        is_usual = answer.has_length or exchange.route.name in self._held.long_routes
        if is_endless(answer.status, received, may_repeat, is_usual):
            exchange.long_answers += 1
            raise AnswerTooLong(AnswerBound.HELD, received)
        return False

    async def _forward_rest(
        self,
        answer: EndpointAnswer,
        body: HeldBody,
        part: bytes,
        parts: AsyncIterator[bytes],
    ) -> None:
        """Forward what is kept of a body, and its other parts as they come."""
        self._check_not_begun(answer)
        exchange = self._exchange
        exchange.is_cut_short = True
        headers = _forwarded_headers(answer)
        if answer.has_length:
            length = answer.headers_by_name[b"content-length"]
            headers.append((b"Content-Length", length))
        exchange.use_whole_time()
        exchange.status = answer.status
        await exchange.caller.send_head(answer.status, answer.reason, headers)
        received = body.held + len(part)
        await exchange.await_caller(_send_held(body, exchange.caller))
        exchange.caller.buffers.hold_answer(0)
        await exchange.await_caller(exchange.caller.send_body(part))
        async for part in parts:
            received += len(part)
            await exchange.await_caller(exchange.caller.send_body(part))
        self._callbacks.on_received(exchange)
        exchange.caller.end()
        exchange.is_cut_short = False
        if received > HELD_OF_ONE_BYTES:
            self._held.long_routes.add(exchange.route.name)

    def _check_not_begun(self, answer: EndpointAnswer) -> None:
        if self._exchange.caller.answer_started:
            raise AnswerLost(f"status {answer.status} in place of more events")

    async def _forward_stream(
        self,
        connection: EndpointConnection,
        answer: EndpointAnswer,
        meta: ResponseMeta,
    ) -> None:
        exchange = self._exchange
        if not exchange.is_withheld:
            await self._forward_parts(connection, answer, meta)
            exchange.caller.end()
            return
        withheld = self._withheld = self._held.body()
        try:
            await self._forward_parts(connection, answer, meta)
            self._callbacks.on_received(exchange)
            await exchange.lift_deadline()
            exchange.first_event_at = self._loop.time()
            await self._send_head(answer, meta)
            await exchange.await_caller(_send_held(withheld, exchange.caller))
        finally:
            withheld.release()
            exchange.caller.buffers.hold_answer(0)
        exchange.caller.end()

    async def _forward_parts(
        self,
        connection: EndpointConnection,
        answer: EndpointAnswer,
        meta: ResponseMeta,
    ) -> None:
        """Forward the events of a stream, but not its end, or withhold them."""
        exchange = self._exchange
        splitter = EventSplitter()
        rest = self._held.body()
        exchange.hold(rest)
        forwarded = 0
        async for data in connection.body():
            whole = splitter.feed(data)
            splitter.check_bounds()
            more = splitter.rest_bytes - rest.held
            if more > 0 and not await self._held.has_room(rest, more):
                raise AnswerTooLong(AnswerBound.EVENT, splitter.rest_bytes)
            rest.count(more)
            if whole:
                events = splitter.events - forwarded
                forwarded = splitter.events
                await self._forward_events(answer, meta, whole, events)
                if self._withheld is None:
                    exchange.last_event_id = splitter.last_id or exchange.last_event_id
        if splitter.flush().strip():
            raise AnswerLost("the stream ended in the middle of an event")
        exchange.last_event_id = splitter.last_id or exchange.last_event_id
        if self._withheld is None and not exchange.caller.answer_started:
            exchange.use_whole_time()
            await self._send_head(answer, meta)

    async def _forward_events(
        self, answer: EndpointAnswer, meta: ResponseMeta, whole: bytes, events: int
    ) -> None:
        pause = self._exchange.record_events(self._loop.time(), events)
        if pause is not None and not self._awaits_first_event:
            self._callbacks.on_pause(self._exchange.endpoint_id, pause, events)
        if self._withheld is None and not self._exchange.caller.answer_started:
            self._exchange.use_whole_time()
            await self._send_head(answer, meta)
        if self._awaits_first_event:
            self._awaits_first_event = False
            self._callbacks.on_first_event(self._exchange)
        self._callbacks.on_events(self._exchange)
        if self._withheld is None:
            await self._exchange.await_caller(self._exchange.caller.send_body(whole))
        else:
            await self._withhold(self._withheld, whole)

    async def _withhold(self, withheld: HeldBody, whole: bytes) -> None:
        is_long = withheld.held + len(whole) > HELD_OF_ONE_BYTES
        if is_long or not await self._held.has_room(withheld, len(whole)):
            raise _too_long_to_withhold()
        withheld.append(whole)
        self._exchange.caller.buffers.hold_answer(withheld.held)

    async def _send_head(self, answer: EndpointAnswer, meta: ResponseMeta) -> None:
        self._exchange.weights_version = meta.weights_version
        headers = _forwarded_headers(answer)
        self._exchange.status = answer.status
        await self._exchange.caller.send_head(answer.status, answer.reason, headers)


def _too_long_to_withhold() -> Draining:
    return Draining(
        "the answer is too long to be kept until it is whole",
        executed=Executed.UNKNOWN,
    )


async def _send_held(body: HeldBody, caller: CallerConnection) -> None:
    """Send what is kept of a body, each part once the caller has room for it."""
    while block := body.take():
        await caller.send_whole_body(block)
        await body.next_turn()


def _forwarded_headers(answer: EndpointAnswer) -> list[tuple[bytes, bytes]]:
    return [
        (name, value)
        for name, value in answer.raw_headers
        if name.lower() not in HOP_BY_HOP and name.lower() != b"content-length"
    ]

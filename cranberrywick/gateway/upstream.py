"""The HTTP/1.1 client for endpoints: a new connection for each attempt.

Reusing a connection would save a millisecond. But bytes that belong to an earlier
request, such as a late second answer or bytes after the end of the body, could be read
as the answer to the next one; and a reset on a reused connection leaves open whether
the endpoint had read the new request. With one connection for each attempt, all bytes
on it belong to one request, and closing it shows the endpoint that the caller no longer
waits.
"""

import asyncio
from collections.abc import AsyncIterator

import h11

from cranberrywick.addresses import parse_address
from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    AnswerTooLong,
    EndpointRefused,
)
from cranberrywick.gateway.buffer_budget import NO_BUDGET, ConnectionBuffers, Unbudgeted
from cranberrywick.gateway.connecting import open_connection
from cranberrywick.gateway.read_turns import ReadAllowance, ReadTurns
from cranberrywick.gateway.tcp_options import enable_keepalive
from cranberrywick.model import EndpointRefusal
from cranberrywick.routing.answer_limits import (
    MAX_ANSWER_BYTES,
    MAX_INTERIM_RESPONSES,
    MAX_PARTS_OF_A_READ,
    AnswerBound,
)

__all__ = ["EndpointAnswer", "EndpointConnection"]

READ_BYTES = 32768
# Longest head of an answer, in bytes; a longer one counts as malformed.
MAX_HEAD_BYTES = 65536
# Number of parts of a read after which others get their turn.
PARTS_PER_TURN = 32


class EndpointAnswer:
    """The status line and headers of an endpoint's answer.

    The body is read from the connection. ``headers_by_name`` has lower case names,
    ``raw_headers`` the endpoint's spelling.
    """

    def __init__(self, response: h11.Response):
        self.status = response.status_code
        self.reason = bytes(response.reason)
        self.raw_headers = [
            (bytes(name), bytes(value)) for name, value in response.headers.raw_items()
        ]
        self.headers_by_name = {
            bytes(name): bytes(value) for name, value in response.headers
        }

    @property
    def is_framed(self) -> bool:
        """Whether the body states its end; else it ends with the connection."""
        framing = self.headers_by_name.keys() & {
            b"content-length",
            b"transfer-encoding",
        }
        return bool(framing)

    @property
    def has_length(self) -> bool:
        """Whether the head declares the length of the body."""
        headers = self.headers_by_name
        return b"content-length" in headers and b"transfer-encoding" not in headers

    @property
    def is_encoded(self) -> bool:
        """Whether the body has a content encoding, such as gzip."""
        encoding = self.headers_by_name.get(b"content-encoding", b"identity")
        return encoding.lower() != b"identity"


class EndpointConnection:
    """The connection of one attempt to the endpoint at ``ip:port``.

    ``caller_buffers`` are those of the caller's connection; what the endpoint has not
    read counts against the same budget. ``turns`` are those of all connections that
    have much to read.

    >>> async with EndpointConnection("10.0.0.9:8080") as connection:
    ...     await connection.open(timeout=0.3)
    ...     await connection.send(b"GET", b"/x", headers, b"")
    ...     answer = await connection.read_head()
    ...     async for part in connection.body():
    ...         ...
    """

    def __init__(
        self,
        address: str,
        caller_buffers: ConnectionBuffers | Unbudgeted = NO_BUDGET,
        turns: ReadTurns | None = None,
    ):
        self._turns = turns or ReadTurns()
        self._allowance = ReadAllowance(self._turns)
        self._caller_buffers = caller_buffers
        self._buffers: ConnectionBuffers | Unbudgeted = NO_BUDGET
        self._address = address
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._method = b""
        self._parts = 0
        self._interim_responses = 0
        self.sent = False

    async def __aenter__(self) -> "EndpointConnection":
        """Return the connection, which `open` opens."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close at once, also if bytes are unread."""
        self.close()

    def close(self) -> None:
        """Close at once; the endpoint then drops a request that still runs."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
        self._buffers.closed()

    def _cut(self) -> None:
        """Close at once, so that reading fails.

        An aborted connection reads as closed by the endpoint, which is the end of an
        answer that has neither a declared length nor chunks.
        """
        self._reader.set_exception(ConnectionAbortedError("cut for memory"))
        self._writer.transport.abort()

    async def open(self, timeout: float) -> None:
        """Connect within ``timeout`` seconds.

        Raises `EndpointRefused` on failure, also if its address is none: nothing has
        been sent, so the request has not run.
        """
        try:
            address = parse_address(self._address)
            self._reader, self._writer = await open_connection(address, timeout)
        except (OSError, TimeoutError, ValueError) as error:
            raise EndpointRefused(
                f"no connection: {type(error).__name__}",
                reason=EndpointRefusal.UNREACHABLE,
            ) from error
        transport = self._writer.transport
        # How much asyncio receives at once; by default it is 256 KiB.
        transport.max_size = READ_BYTES
        enable_keepalive(transport)
        self._buffers = self._caller_buffers.endpoint_connection(transport, self._cut)

    async def send(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Write a complete request, without waiting until it has been sent.

        The endpoint may answer before it has read the whole request. Raises
        `EndpointRefused` if nothing of it can be written.
        """
        self.write_request(self.encode_request(method, target, headers, body))

    def encode_request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> bytes:
        """Return the bytes of the request that is to be sent.

        Raises `EndpointRefused` if it can't be sent with these headers.
        """
        self._method = method
        framing = [(b"Connection", b"close")]
        if body or method not in (b"GET", b"HEAD"):
            framing.append((b"Content-Length", str(len(body)).encode()))
        try:
            request = h11.Request(
                method=method, target=target, headers=headers + framing
            )
            data = self._http.send(request)
        except h11.LocalProtocolError as error:
            raise EndpointRefused(
                f"the request can't be sent: {error!s:.80}",
                reason=EndpointRefusal.UNREACHABLE,
            ) from error
        if body:
            data += self._http.send(h11.Data(data=body))
        return data + self._http.send(h11.EndOfMessage())

    def write_request(self, data: bytes) -> None:
        """Write the bytes of a request; the endpoint may be able to run it from now."""
        self.sent = True
        self._write(data)

    def _write(self, data: bytes) -> None:
        self._writer.write(data)
        self._buffers.written()

    async def read_head(self) -> EndpointAnswer:
        """Return the head of the answer.

        Raises `AmbiguousSend` if the connection ends before the head is complete,
        `AnswerLost` for bytes that are not an HTTP answer.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                answer = EndpointAnswer(event)
                self._check_length(answer)
                return answer
            if isinstance(event, h11.ConnectionClosed):
                raise AmbiguousSend("the endpoint closed without an answer")

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body.

        Raises `AnswerLost` if the connection ends before the body does, and if the body
        is longer than `MAX_ANSWER_BYTES`.
        """
        received = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                received += len(event.data)
                if received > MAX_ANSWER_BYTES:
                    raise AnswerTooLong(AnswerBound.WHOLE, received)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise AnswerLost("the answer broke off")

    def _check_length(self, answer: EndpointAnswer) -> None:
        """Raise `AnswerTooLong` if the head declares a body that can't be one."""
        if self._method == b"HEAD" or answer.status == 304 or not answer.has_length:
            return
        declared = int(answer.headers_by_name[b"content-length"])
        if declared > MAX_ANSWER_BYTES:
            raise AnswerTooLong(AnswerBound.DECLARED, declared)

    async def _check_part(self, event: h11.Event) -> None:
        """Count a part of what was read; raise `AnswerTooLong` beyond the bounds."""
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise AnswerTooLong(AnswerBound.INTERIM, self._interim_responses)
        self._parts += 1
        if self._parts > MAX_PARTS_OF_A_READ:
            raise AnswerTooLong(AnswerBound.PARTS, self._parts)
        if self._parts % PARTS_PER_TURN == 0:
            await self._turns.wait()

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerLost(f"malformed answer: {error!s:.80}") from error
            if event is not h11.NEED_DATA:
                await self._check_part(event)
                return event
            self._parts = 0
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError as error:
                raise self._connection_error(error) from error
            await self._allowance.take(len(data))
            if not data and self._http.their_state is h11.SEND_RESPONSE:
                raise AmbiguousSend("the endpoint closed without an answer")
            try:
                self._http.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise AnswerLost(f"malformed answer: {error!s:.80}") from error

    def _connection_error(self, error: OSError) -> AmbiguousSend | AnswerLost:
        """Return the error for a connection that failed while it was read."""
        message = f"the connection broke: {type(error).__name__}"
        if self._http.their_state is h11.SEND_BODY:
            return AnswerLost(message)
        return AmbiguousSend(message)

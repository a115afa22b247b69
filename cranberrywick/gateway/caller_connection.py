"""The HTTP/1.1 server for callers: one protocol object for each connection.

h11 parses and frames messages. A connection serves one request at a time; what the
caller sends meanwhile stays in h11's buffer. When a caller closes its connection, the
task that serves its request is cancelled, so that no endpoint works on an answer that
nobody will read.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

import h11

from cranberrywick.gateway.buffer_budget import BodyRefusal
from cranberrywick.gateway.http_request import (
    HttpRequest,
    encode_refusal,
    head_bytes,
)
from cranberrywick.gateway.tcp_connection import TcpConnection
from cranberrywick.gateway.tcp_options import enable_keepalive

if TYPE_CHECKING:
    from cranberrywick.gateway.ingress import Ingress

__all__ = ["CallerConnection", "Handler", "RefuseUnread"]

# How long a connection stays open after a request was refused before its body was
# read, in seconds. Closed at once with bytes unread, the kernel would send a reset,
# which may discard the answer before the caller has read it.
LINGER_SECONDS = 0.5
# The same after a refusal for lack of memory, in seconds: many callers read the answer
# only after they have sent their body, 4 MB of which take 3.4 s at 10 Mbit/s.
BODY_LINGER_SECONDS = 5.0

Handler = Callable[[HttpRequest, "CallerConnection"], Awaitable[None]]
# Returns the answer to a request, given the headers, whose body is not read.
RefuseUnread = Callable[[list[tuple[bytes, bytes]]], BodyRefusal]


class CallerConnection(TcpConnection):
    """One connection of a caller, and the answer to its current request.

    ``answer_started`` says whether the head of that answer has been sent. The methods
    that send raise `ConnectionError` if the connection is closed.
    """

    def __init__(self, ingress: "Ingress", handle: Handler):
        self._ingress = ingress
        self._handle = handle
        super().__init__()
        limits = ingress.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._body_bytes = 0
        self._head_received_at = 0.0
        self._task: asyncio.Task | None = None
        self._refused = False
        self.answer_started = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served, or an answer is not sent yet."""
        is_read = self._request is not None or self._refused or self._has_part_of_head
        return is_read or self._task is not None or self.unsent > 0

    @property
    def _has_part_of_head(self) -> bool:
        is_between = self._request is None and self._task is None and not self._refused
        return is_between and bool(self._http.trailing_data[0])

    @property
    def is_unanswered(self) -> bool:
        """Whether a request is being served whose answer has not begun."""
        return self._task is not None and not self.answer_started

    @property
    def task(self) -> asyncio.Task | None:
        """The task that serves the current request; None without one."""
        return self._task

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the idle timer of a new connection; called by asyncio."""
        super().connection_made(transport)
        enable_keepalive(transport)
        self.buffers = self._ingress.budget.connection(transport, self._cut)
        self._ingress.connections.add(self)
        self._set_timer(self._ingress.limits.idle_seconds, self._idled_out)
        if self._ingress.refuse is not None:
            self._loop.call_soon(self.end_intake)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request that is being served; called by asyncio."""
        super().connection_lost(error)
        self._ingress.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent; called by asyncio."""
        if self._refused:
            return
        if self._task is not None and not self.buffers.admits_early_bytes(len(data)):
            return
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError:
            self._abort()
            return
        if self._task is None:
            if self._request is None:
                limits = self._ingress.limits
                self._set_timer(limits.header_seconds, self._timed_out)
            self._read_events()

    def end_intake(self) -> None:
        """Refuse what the caller has sent so far; close the connection if it is idle.

        A request that is being served goes on.
        """
        if self._task is None:
            self.read_waiting()
            if not self.busy:
                self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self._task is None and self._request is None and self._transport:
            self._close()

    def refuse_unread(self, refuse: RefuseUnread) -> None:
        """Refuse the request that is being read, if one is."""
        is_read = self._request is not None or self._has_part_of_head
        if is_read and self._task is None and not self._refused:
            refusal = self._refusal(refuse)
            self._refuse(503, refusal.headers, refusal.body)

    def _refusal(self, refuse: RefuseUnread) -> BodyRefusal:
        headers = list(self._request.headers) if self._request else []
        try:
            return refuse(headers)
        except Exception as error:  # Others are refused after it.
            context = {"message": "no refusal", "exception": error}
            self._loop.call_exception_handler(context)
            return BodyRefusal([], b"")

    def _refuse_whole(self, refuse: RefuseUnread) -> None:
        """Refuse a request that has been read, without a task for it.

        The connection is closed unless others are behind it.
        """
        refusal = self._refusal(refuse)
        body = b"" if self._request.method == b"HEAD" else refusal.body
        self._body = bytearray()
        self._request = None
        self.buffers.request_ended()
        is_kept = self._http.their_state is h11.DONE and self._http.trailing_data[0]
        try:
            if is_kept:
                self._send_whole(503, refusal.headers, body)
                self._http.start_next_cycle()
                return
            self._write(encode_refusal(refusal.headers, body))
        except ConnectionResetError:
            self._abort()
            return
        self._refused = True
        self._transport.close()

    def _read_events(self) -> None:
        try:
            while self._task is None and not self._closed and not self._refused:
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
        except ConnectionResetError:
            self._abort()  # It was cut for memory while 100 (Continue) was sent.

    def _handle_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            if head_bytes(event) > self._ingress.limits.header_bytes:
                # h11 applies its own bound to incomplete heads only.
                self._refuse(431)
                return
            limits = self._ingress.limits
            refusal = self.buffers.refusal_of_head(event.headers, limits.body_bytes)
            if refusal is not None:
                self._refuse_body(refusal)
                return
            self._request = event
            self._head_received_at = self._loop.time()
            self._body, self._body_bytes = bytearray(), 0
            self._set_timer(limits.idle_seconds, self._timed_out)
            if self._http.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
        elif isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if self._body_bytes > self._ingress.limits.body_bytes:
                self._refuse(413)
                return
            refusal = self.buffers.refusal_of_body(self._body_bytes)
            if refusal is not None:
                self._refuse_body(refusal)
                return
            self._body += event.data
        elif isinstance(event, h11.EndOfMessage):
            self._clear_timer()
            refuse = self._ingress.refuse
            if refuse is None:
                self._start_task()
            else:
                self._refuse_whole(refuse)
        elif isinstance(event, h11.ConnectionClosed):
            self._transport.close()
            self._closed = True

    def _start_task(self) -> None:
        request = HttpRequest.of_head(
            self._request,
            bytes(self._body),
            self._head_received_at,
            self._loop.time(),
        )
        self._body = bytearray()
        self.answer_started = False
        self.buffers.request_begins(len(self._http.trailing_data[0]))
        self._task = self._loop.create_task(self._serve(request))

    async def _serve(self, request: HttpRequest) -> None:
        try:
            await self._handle(request, self)
        finally:
            self._task = None
            self._request = None
            self.buffers.request_ended()
            if not self._closed:
                self._finish()

    def _finish(self) -> None:
        """Prepare for the next request, or close after an incomplete exchange."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._set_timer(self._ingress.limits.idle_seconds, self._idled_out)
            self._read_events()
        elif self._http.our_state is h11.SEND_BODY and self._reads_to_close:
            self._cut()
        else:
            # The body's end has not been sent, so the caller sees that the answer is
            # incomplete.
            self._transport.close()

    @property
    def _reads_to_close(self) -> bool:
        """Whether the caller knows no chunks, so that a close may end its answers."""
        return self._http.their_http_version < b"1.1"

    async def send_head(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the status line and the headers.

        While draining, the headers say that the connection closes after this answer,
        unless the caller has sent more requests already.
        """
        if self._ingress.draining and not self._http.trailing_data[0]:
            headers = [*headers, (b"Connection", b"close")]
        self.answer_started = True
        self.buffers.answer_begins()
        head = h11.Response(status_code=status, headers=headers, reason=reason)
        self._send(head)
        await self._can_write.wait()

    async def send_body(self, data: bytes) -> None:
        """Send a part of the body; return once the write buffer has room again."""
        self._send(h11.Data(data=data))
        await self._can_write.wait()

    async def send_whole_body(self, data: bytes) -> None:
        """Send the only part of a body.

        Returns at once if unread bytes are counted: while it waits, the call would
        count at its endpoint, which has answered already.
        """
        self._send(h11.Data(data=data))
        if not self.buffers.counts_unread:
            await self._can_write.wait()

    def end(self) -> None:
        """Send the end of the body, which marks the answer as complete."""
        self._send(h11.EndOfMessage())

    async def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete answer that the gateway itself makes."""
        length = (b"Content-Length", str(len(body)).encode())
        await self.send_head(status, b"", [*headers, length])
        if body:
            self._send(h11.Data(data=body))
        self.end()

    def _send(self, event: h11.Event) -> None:
        if self._closed or self._transport is None:
            raise ConnectionResetError("the caller has closed the connection")
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as error:
            raise ConnectionResetError(str(error)) from error
        if data:
            self._write(data)

    def _refuse_body(self, refusal: BodyRefusal) -> None:
        """Answer a request whose body would take too much memory."""
        self._refuse(503, refusal.headers, refusal.body, BODY_LINGER_SECONDS)

    def _refuse(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        linger: float = LINGER_SECONDS,
    ) -> None:
        """Answer a request that can't be read; close after ``linger`` seconds."""
        self._refused = True
        self._clear_timer()
        self._body = bytearray()
        try:
            self._send_whole(status, [*headers, (b"Connection", b"close")], body)
        except ConnectionResetError:
            self._abort()
            return
        self._request = None
        self.buffers.request_ended()
        self._set_timer(linger, self._abort)

    def _send_whole(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        length = (b"Content-Length", str(len(body)).encode())
        self._send(h11.Response(status_code=status, headers=[*headers, length]))
        if body:
            self._send(h11.Data(data=body))
        self._send(h11.EndOfMessage())

    def _timed_out(self) -> None:
        if not self._reads_in_time():
            self._refuse(408)

    def _idled_out(self) -> None:
        if not self._reads_in_time():
            self.close_if_idle()

    def _reads_in_time(self) -> bool:
        """Whether the timer that has fired is outdated by what the caller has sent.

        A turn of the event loop has a bound, so that timers may fire before it reads.
        """
        timer = self._timer
        self.read_waiting()
        return self._timer is not timer or self._transport.is_closing()

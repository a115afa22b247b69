"""HTTP/1.1 towards callers: one protocol object for each connection.

h11 does the parsing and framing. A connection serves one request at a time; what
the caller sends meanwhile waits in h11's buffer. A caller's close cancels the task
that serves its request, so that nothing goes on for nobody.
"""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from cranberrywick.routing.model import RequestLimits

__all__ = ["CallerConnection", "HttpRequest", "Ingress", "enable_keepalive"]

# In force until the first configuration says otherwise.
DEFAULT_LIMITS = RequestLimits(
    header_bytes=16384, body_bytes=4194304, header_seconds=3.0, idle_seconds=15.0
)
# A peer that fell silent without a reset is noticed by probes of the kernel: after
# one second without traffic, two probes a second apart. Longer than any pause of a
# live link, shorter than the time that a caller waits for a stream's next event.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Written bytes that a peer has not acknowledged for so long, in milliseconds.
USER_TIMEOUT_MS = 3000
# Connections that wait to be accepted; a burst of callers arrives in one moment.
BACKLOG = 512
# A connection that refuses a request before its body is in stays open so long, so
# that the caller reads the answer before a reset overtakes it.
LINGER_SECONDS = 0.5


class HttpRequest(NamedTuple):
    """One request of a caller, whole.

    ``target`` is the request target as the caller wrote it. ``headers`` have lower
    case names, ``raw_headers`` the caller's spelling. ``arrived`` is the loop's
    time when its head was complete.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    raw_headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived: float

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of this lower case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def _head_bytes(head: h11.Request) -> int:
    lines = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + lines


Handler = Callable[[HttpRequest, "CallerConnection"], Awaitable[None]]


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Let the kernel probe a connection, so that a silent cut ends it."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    with contextlib.suppress(OSError):  # The peer may have reset it already.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Ingress:
    """Listens on one address and hands each request to ``handle``.

    ``limits`` is read anew for each request. `drain` makes every answer from then
    on end its connection.
    """

    def __init__(
        self,
        handle: Handler,
        limits: Callable[[], RequestLimits | None] = lambda: None,
    ):
        self._handle = handle
        self._limits = limits
        self._server: asyncio.Server | None = None
        self.connections: set[CallerConnection] = set()
        self.draining = False

    @property
    def limits(self) -> RequestLimits:
        """The limits in force now."""
        return self._limits() or DEFAULT_LIMITS

    @property
    def busy(self) -> int:
        """How many requests are being served."""
        return sum(connection.busy for connection in self.connections)

    @property
    def address(self) -> str:
        """Where it listens, as ``ip:port``."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self, address: str) -> None:
        """Begin to listen on ``ip:port``; port 0 takes a free one."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self, self._handle),
            host,
            int(port),
            backlog=BACKLOG,
            reuse_address=True,
        )

    def drain(self) -> None:
        """Close each connection with its next answer; keep listening."""
        self.draining = True

    def close(self) -> None:
        """Stop listening and close what is idle."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, ingress: Ingress, handle: Handler):
        self._ingress = ingress
        self._handle = handle
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        limits = ingress.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_at = 0.0
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._closed = False
        self._refused = False
        self.answer_started = False

    @property
    def busy(self) -> bool:
        """Whether a request is being served on this connection."""
        return self._task is not None

    @property
    def gone(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._closed

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Called by asyncio."""
        self._transport = transport
        enable_keepalive(transport)
        self._ingress.connections.add(self)
        self._set_timer(self._ingress.limits.idle_seconds, self.close_if_idle)

    def connection_lost(self, error: Exception | None) -> None:
        """Called by asyncio."""
        self._closed = True
        self._ingress.connections.discard(self)
        self._clear_timer()
        self._can_write.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Called by asyncio; a caller that has stopped sending has left."""
        return False

    def pause_writing(self) -> None:
        """Called by asyncio when the caller reads too slowly."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Called by asyncio when the caller reads again."""
        self._can_write.set()

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError:
            self._abort()
            return
        if self._task is None and not self._refused:
            if self._request is None:
                limits = self._ingress.limits
                self._set_timer(limits.header_seconds, self._head_timed_out)
            self._read_events()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self._task is None and self._request is None and self._transport:
            self._transport.close()

    def _read_events(self) -> None:
        try:
            while self._task is None and not self._closed and not self._refused:
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._take_event(event)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)

    def _take_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            if _head_bytes(event) > self._ingress.limits.header_bytes:
                # h11 bounds only a head that is not complete yet.
                self._refuse(431)
                return
            self._request = event
            self._head_at = self._loop.time()
            self._body, self._body_bytes = [], 0
            self._set_timer(self._ingress.limits.idle_seconds, self._body_timed_out)
            if self._http.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
        elif isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if self._body_bytes > self._ingress.limits.body_bytes:
                self._refuse(413)
                return
            self._body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._clear_timer()
            self._start()
        elif isinstance(event, h11.ConnectionClosed):
            self._transport.close()
            self._closed = True

    def _start(self) -> None:
        head = self._request
        request = HttpRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=[(bytes(n), bytes(v)) for n, v in head.headers],
            raw_headers=[(bytes(n), bytes(v)) for n, v in head.headers.raw_items()],
            body=b"".join(self._body),
            arrived=self._head_at,
        )
        self._body = []
        self.answer_started = False
        self._task = self._loop.create_task(self._serve(request))

    async def _serve(self, request: HttpRequest) -> None:
        try:
            await self._handle(request, self)
        finally:
            self._task = None
            self._request = None
            if not self._closed:
                self._finish()

    def _finish(self) -> None:
        """Get ready for the next request, or close."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._set_timer(self._ingress.limits.idle_seconds, self.close_if_idle)
            self._read_events()
        else:
            # Closed without the end of the body, an unfinished answer can't be
            # taken for a whole one.
            self._transport.close()

    async def send_head(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the status line and headers; closes the connection when draining."""
        if self._ingress.draining:
            headers = [*headers, (b"Connection", b"close")]
        self.answer_started = True
        head = h11.Response(status_code=status, headers=headers, reason=reason)
        self._send(head)
        await self._can_write.wait()

    async def send_body(self, data: bytes) -> None:
        """Send a part of the body and wait while the caller does not read."""
        self._send(h11.Data(data=data))
        await self._can_write.wait()

    def end(self) -> None:
        """End the answer as complete."""
        self._send(h11.EndOfMessage())

    async def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole answer of the gateway's own."""
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
            self._transport.write(data)

    def _refuse(self, status: int) -> None:
        """Answer a request that could not be read, and close."""
        self._refused = True
        self._clear_timer()
        try:
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            self._send(h11.Response(status_code=status, headers=headers))
            self._send(h11.EndOfMessage())
        except ConnectionResetError:
            self._abort()
            return
        self._request = None
        self._set_timer(LINGER_SECONDS, self._abort)

    def _head_timed_out(self) -> None:
        self._refuse(408)

    def _body_timed_out(self) -> None:
        self._refuse(408)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _set_timer(self, seconds: float, act: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = self._loop.call_later(seconds, act)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

"""A stand-in for the platform's endpoints: plain services and model engines.

It counts runs by request id, which tests of at-most-once execution check. Its
behaviour is one of:

============ ===========================================================
well         answers correctly
failing      runs the request and answers 500
full         answers 503 and states that the request did not run; an engine whose
             request has it as a helper answers the same
reset        runs the request and resets the connection
hang         runs the request and does not answer
twice        sends the whole answer twice
other        answers with another request's id
unframed     sends a body without a length, which ends with the connection
short        announces more bytes than it sends
noise        sends bytes that are not an HTTP response
cut          ends a stream in the middle of an event and closes the connection
silent       stops in the middle of an event and keeps the connection open
============ ===========================================================
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import h11

from cranberrywick.standin.platform.http import (
    encode_response,
    read_request,
    run_unless_closed,
)

__all__ = ["BEHAVIOURS", "EndpointStandIn", "SeenRequest"]

BEHAVIOURS = (
    *("well", "failing", "full", "reset", "hang", "twice", "other", "unframed"),
    *("short", "noise", "cut", "silent"),
)
# Number of whole events before a stream is cut or falls silent.
EVENTS_BEFORE_CUT = 3


class _Ticket(NamedTuple):
    tokens: int
    expires_at: float


class Arrival(NamedTuple):
    """A request that an endpoint received, at a time of the loop's clock.

    ``source`` is the IP address that it came from.
    """

    request_id: str
    at: float
    source: str = ""


class SeenRequest(NamedTuple):
    """A request as an endpoint received it; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[str, str]
    body: bytes


class Backoff(NamedTuple):
    """A refusal that named a time in which the endpoint wants no requests.

    ``value`` is the header's, ``at`` the time of the refusal on the loop's clock, and
    ``source`` the IP address that the request came from.
    """

    request_id: str
    at: float
    value: str
    source: str = ""


class EndpointStandIn:
    """One endpoint; created and used on one event loop.

    ``work_seconds`` is how long a call or the prefill of a prompt takes, and
    ``event_seconds`` the pause between a stream's events. If ``keeps_pace`` is set, an
    event that is late shortens the pause after it, so that a stream takes as long on a
    busy machine. While ``rate_limit`` is set, each answer states it, in requests a
    second; ``limit_named_at`` is the time of the first such answer and ``arrived_at``
    has the time of each request, both on the loop's clock. ``arrivals`` has the ids,
    too. While ``draining`` is set, each answer says so. The next requests are refused,
    one with each of the ``retry_afters`` as value of the header; ``backoffs`` has these
    refusals. ``extra_headers`` are added to each answer. A request's header
    ``X-Padding`` adds so many bytes to its answer, or to each event, and ``X-Events``
    states how many events its stream has. ``read_pause_seconds`` is the pause before
    each read of a request. A stream that stays unread for ``unread_seconds`` is cut off
    and counted in ``cut_off``. A request for which ``crashes_under`` returns true
    crashes the endpoint ``before``, ``after`` or ``within`` its event number
    ``crash_event``, as ``crash_point`` says, and a call before its answer, or within
    it: the endpoint closes all its connections, stops listening and calls ``crashed``.
    ``runs`` counts runs by request id, ``heads`` has the method, target, headers and
    body of each run, ``at_work`` the request ids in progress and ``tickets`` the
    reservations of memory by id. ``by_address`` has all endpoints of the process, so
    that an engine can check its helpers' tickets.
    """

    by_address: dict[str, "EndpointStandIn"] = {}

    def __init__(
        self,
        endpoint_id: str,
        work_seconds: float = 0.005,
        event_seconds: float = 0.01,
        events: int = 8,
        memory_tokens: int = 300_000,
    ):
        self.endpoint_id = endpoint_id
        self.behaviour = "well"
        self.work_seconds = work_seconds
        self.event_seconds = event_seconds
        self.keeps_pace = False
        self.events = events
        self.memory_tokens = memory_tokens
        self.rate_limit: float | None = None
        self.limit_named_at: float | None = None
        self.arrivals: list[Arrival] = []
        self.draining = False
        self.retry_afters: list[str] = []
        self.backoffs: list[Backoff] = []
        self.extra_headers: list[tuple[str, str]] = []
        self.read_pause_seconds = 0.0
        self.unread_seconds: float | None = None
        self.cut_off = 0
        self.crashes_under: Callable[[SeenRequest], bool] = lambda request: False
        self.crash_point = "after"
        self.crash_event = 1
        self.crashed: Callable[[EndpointStandIn], None] = lambda endpoint: None
        self.runs: Counter[str] = Counter()
        self.heads: list[tuple[bytes, bytes, dict[str, str], bytes]] = []
        self.at_work: set[str] = set()
        self.tickets: dict[str, _Ticket] = {}
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> str:
        """Listen and return the address, as ``host:port``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.by_address[self.address] = self
        return self.address

    @property
    def arrived_at(self) -> list[float]:
        """The time of each request that arrived."""
        return [arrival.at for arrival in self.arrivals]

    def stop(self) -> None:
        """Stop listening, and finish what has arrived."""
        self._server.close()

    def crash(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        self.by_address.pop(self.address, None)
        for writer in self._writers:
            writer.transport.abort()
        self.crashed(self)

    @property
    def reserved(self) -> int:
        """Tokens of memory that are reserved; removes expired reservations."""
        now = asyncio.get_running_loop().time()
        for name, ticket in list(self.tickets.items()):
            if ticket.expires_at < now:
                del self.tickets[name]
        return sum(ticket.tokens for ticket in self.tickets.values())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        self._writers.add(writer)
        try:
            head, body = await read_request(
                http, reader, lambda: self.read_pause_seconds
            )
            if head is not None:
                await self._answer(head, body, http, reader, writer)
                await writer.drain()
        except (ConnectionError, h11.RemoteProtocolError):
            pass  # The gateway has closed the connection; it is closed here, too.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head, body, http, reader, writer) -> None:
        headers = {bytes(n).decode(): bytes(v).decode() for n, v in head.headers}
        expected = headers.get("cranberrywick-expect-instance")
        if expected not in (None, self.endpoint_id):
            own = [("Cranberrywick-Instance-Id", self.endpoint_id)]
            writer.write(encode_response(http, 421, own, b""))
            return
        if head.target == b"/order":
            status, body = self._order(json.loads(body))
            answer = encode_response(http, status, self._state_headers(), body)
            writer.write(answer)
            return
        request_id = headers.get("cranberrywick-request-id", "")
        now = asyncio.get_running_loop().time()
        source = writer.get_extra_info("peername")[0]
        self.arrivals.append(Arrival(request_id, now, source))
        if self.retry_afters:
            retry_after = self.retry_afters.pop(0)
            await asyncio.sleep(self.work_seconds)
            now = asyncio.get_running_loop().time()
            self.backoffs.append(Backoff(request_id, now, retry_after, source))
            own = [("Cranberrywick-Not-Executed", "1")]
            own += [("Retry-After", retry_after), *self._state_headers()]
            writer.write(encode_response(http, 503, own, b""))
            return
        at_fault = self._refusing_address(headers)
        if at_fault is not None:
            own = [("Cranberrywick-Not-Executed", "1"), ("At-Server", at_fault)]
            own += self._state_headers()
            writer.write(encode_response(http, 503, own, b""))
            return
        seen = SeenRequest(bytes(head.method), bytes(head.target), headers, body)
        self.heads.append(tuple(seen))
        self.runs[request_id] += 1
        self.at_work.add(request_id)
        try:
            await run_unless_closed(reader, self._run(http, seen, writer))
        finally:
            self.at_work.discard(request_id)

    def _order(self, order: dict) -> tuple[int, bytes]:
        now = asyncio.get_running_loop().time()
        if order["operation"] == "release":
            self.tickets.pop(order["id"], None)
            return 200, b"{}"
        held = self.reserved
        known = self.tickets.get(order["id"])
        if known is None and held + order["tokens"] > self.memory_tokens:
            return 409, b"{}"
        expires_at = now + order["holdMs"] / 1000
        self.tickets[order["id"]] = _Ticket(order["tokens"], expires_at)
        return 200, b'{"free": 0}'

    def _state_headers(self) -> list[tuple[str, str]]:
        draining = [("Server-Leaving", "1")] if self.draining else []
        return [*draining, *self._limit_headers(), *self.extra_headers]

    def _limit_headers(self) -> list[tuple[str, str]]:
        if self.rate_limit is None:
            return []
        if self.limit_named_at is None:
            self.limit_named_at = asyncio.get_running_loop().time()
        return [("Server-Limit", f"{self.rate_limit:g}")]

    def _refusing_address(self, headers: dict[str, str]) -> str | None:
        """Return the address of the endpoint that makes this one refuse, if any.

        That is this one when it is full, or a helper that is full or does not have the
        ticket of the request.
        """
        if self.behaviour == "full":
            return self.address
        for entry in filter(None, headers.get("cranberrywick-helpers", "").split(",")):
            address, _, ticket = entry.partition("/")
            helper = self.by_address.get(address)
            # A helper behind a proxy has another address here; it is assumed to be
            # well.
            if helper is None:
                continue
            if helper.behaviour == "full" or (ticket and ticket not in helper.tickets):
                return address
        return None

    async def _run(self, http, seen: SeenRequest, writer) -> None:
        headers = seen.headers
        crashes = self.crashes_under(seen)
        await asyncio.sleep(self.work_seconds)
        if self.behaviour == "reset":
            writer.transport.abort()
            return
        if self.behaviour == "hang":
            await asyncio.sleep(3600)
        request_id = headers.get("cranberrywick-request-id", "")
        echoed = "not-yours" if self.behaviour == "other" else request_id
        own = [
            ("Cranberrywick-Request-Id", echoed),
            ("Cranberrywick-Response-Seal", f"seal.{self.endpoint_id}"),
            ("Cranberrywick-Server-Load", "1,0,8"),
            *self._state_headers(),
        ]
        if "cranberrywick-token-count" in headers and self.behaviour != "failing":
            await self._stream(http, headers, own, writer, crashes)
        elif crashes:
            await self._crash_within_call(own, writer)
        else:
            self._call(http, own, headers, writer)

    async def _crash_within_call(self, own, writer) -> None:
        if self.crash_point == "within":
            lines = "".join(f"{n}: {v}\r\n" for n, v in own)
            length = "" if self.behaviour == "unframed" else "Content-Length: 99\r\n"
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}{length}\r\nanswer".encode())
            await writer.drain()
            # Aborted connections drop what is unsent.
            await asyncio.sleep(self.event_seconds)
        self.crash()

    def _call(self, http, own, headers, writer) -> None:
        request_id = headers.get("cranberrywick-request-id", "")
        body = f"answer to {request_id}".encode() + _padding(headers)
        if self.behaviour == "noise":
            writer.write(b"\x00\x01 no answer at all\r\n\r\n")
        elif self.behaviour == "short":
            lines = "".join(f"{n}: {v}\r\n" for n, v in own)
            writer.write(
                f"HTTP/1.1 200 OK\r\n{lines}Content-Length: 99\r\n\r\n".encode() + body
            )
        elif self.behaviour == "unframed":
            lines = "".join(f"{n}: {v}\r\n" for n, v in own)
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body)
        else:
            status = 500 if self.behaviour == "failing" else 200
            answer = encode_response(http, status, own, body)
            writer.write(answer)
            if self.behaviour == "twice":
                writer.write(answer)

    async def _stream(self, http, headers, own, writer, crashes: bool) -> None:
        start = int(headers.get("last-event-id", "0"))
        events = int(headers.get("x-events", self.events))
        stream = [*own, ("Content-Type", "text/event-stream")]
        if crashes and self.crash_point == "before":
            self.crash()
            return
        if self.behaviour == "unframed":
            # In HTTP/1.0 a body without a length has no chunks either.
            http.their_http_version = b"1.0"
        writer.write(http.send(h11.Response(status_code=200, headers=stream)))
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        for number in range(start + 1, events + 1):
            event = f"id: {number}\ndata: piece {number}".encode()
            event += _padding(headers) + b"\n\n"
            if number > EVENTS_BEFORE_CUT and self.behaviour in ("cut", "silent"):
                half = event[: len(event) // 2]
                writer.write(http.send(h11.Data(data=half)))
                if self.behaviour == "silent":
                    await asyncio.sleep(3600)
                return
            is_last = crashes and number >= start + self.crash_event
            if is_last and self.crash_point == "within":
                event = event[: len(event) // 2]
            writer.write(http.send(h11.Data(data=event)))
            await self._await_reader(writer)
            due_at = (due_at if self.keeps_pace else loop.time()) + self.event_seconds
            await asyncio.sleep(due_at - loop.time())
            if is_last:
                self.crash()
                return
        writer.write(http.send(h11.EndOfMessage()))

    async def _await_reader(self, writer: asyncio.StreamWriter) -> None:
        if self.unread_seconds is None:
            return
        # Without a buffer of its own, the stand-in sees what stays unread.
        writer.transport.set_write_buffer_limits(high=0)
        try:
            async with asyncio.timeout(self.unread_seconds):
                await writer.drain()
        except TimeoutError as error:
            self.cut_off += 1
            writer.transport.abort()
            raise ConnectionResetError("the stream stayed unread") from error


def _padding(headers: dict[str, str]) -> bytes:
    return b"." * int(headers.get("x-padding", "0"))

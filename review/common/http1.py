"""HTTP/1.1 for the stand-ins: a small server, and a client that records what it sees.

Only Python's standard library is used, so that the stand-ins share no code with the
project under review.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

READ_BYTES = 65536


@dataclass
class Request:
    """A request as a server received it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float


@dataclass
class Answer:
    """What a client saw of one request.

    ``end`` is ``complete`` for a whole answer, ``closed`` if the connection was closed
    before its end, ``reset`` if it was reset, ``refused`` if no connection was made and
    ``gave up`` if the client stopped waiting. Times are of the monotonic clock.
    """

    request_id: str
    to: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    end: str = "closed"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks; a message without both has none."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_head(start: str, headers: list[tuple[str, str]]) -> bytes:
    """Return the bytes of a message's first line and headers."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"{start}\r\n{lines}\r\n".encode("latin-1")


def encode_answer(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return the bytes of a whole answer with a length."""
    length = ("Content-Length", str(len(body)))
    return encode_head(f"HTTP/1.1 {status} -", [*headers, length]) + body


Handler = Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Server:
    """Serves one request at a time on each connection, with keep-alive."""

    def __init__(self, handle: Handler):
        self._handle = handle
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, ip: str, port: int = 0) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        return self.address

    def stop(self) -> None:
        """Stop listening and reset all connections, as a process that is killed."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                if headers.get("expect", "").lower() == "100-continue":
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ", 2)
                request = Request(method, target, headers, body, time.monotonic())
                await self._handle(request, reader, writer)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except asyncio.IncompleteReadError:
            pass
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass  # Also at the end of the run, when the loop is closed.
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    request_id: str = "",
    patience: float = 30.0,
) -> Answer:
    """Send one request on a new connection and return what came back."""
    answer = Answer(request_id, address)
    writer = None
    try:
        async with asyncio.timeout(patience):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            own = [] if any(n == "Host" for n, _ in headers) else [("Host", address)]
            own.append(("Content-Length", str(len(body))))
            head = encode_head(f"{method} {target} HTTP/1.1", [*headers, *own])
            writer.write(head + body)
            await writer.drain()
            answer.sent_at = time.monotonic()
            await _read_answer(reader, answer)
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
        answer.end = "closed"
    except TimeoutError:
        answer.end = "gave up"
    except ConnectionResetError:
        answer.end = "reset"
    except OSError:
        answer.end = "refused" if not answer.sent_at else "reset"
    finally:
        answer.ended_at = time.monotonic()
        if writer is not None:
            writer.transport.abort()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    start, answer.headers = await read_head(reader)
    answer.status = int(start.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() != "chunked":
        answer.body = await read_body(reader, answer.headers)
        answer.end = "complete"
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            answer.end = "complete"
            return
        answer.body += piece[:-2]

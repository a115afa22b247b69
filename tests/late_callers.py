"""Callers of streams that use what HTTP allows, for `late_stops`."""

import asyncio
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from gateway_fleet import HOST, KEY, Gateway

if TYPE_CHECKING:
    from late_stops import LateStops

DEADLINE_SECONDS = 10.0
MEAN_EVENTS, MOST_EVENTS = 33, 82
TOKENS_OF_EVENT = 51
WAYS = ("kept", "kept", "kept", "new", "chunked", "chunked", "late", "expect", "slow")
# Bytes that a slow caller reads at once, and the pause after it in seconds.
SLOW_BYTES, SLOW_SECONDS = 400, 0.1


class Sent(NamedTuple):
    """A stream and what came back; moments are those of the monotonic clock."""

    request_id: str
    gateway: str
    way: str
    began_at: float
    sent_at: float
    ended_at: float
    status: int
    whole: bool


class Caller:
    """Sends one stream after another to the gateways that accept them."""

    def __init__(self, scene: "LateStops", way: str, rng: random.Random):
        self._scene, self._way, self._rng = scene, way, rng
        self._gateway: Gateway | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._sent_at = 0.0

    async def run(self, until: float) -> None:
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
            if self._writer is None and not await self._connect():
                continue
            pause = await self._send()
            if self._way == "new":
                self._close()
            await asyncio.sleep(pause)
        self._close()

    async def _connect(self) -> bool:
        gateways = self._scene.open_gateways()
        if not gateways:
            return False
        self._gateway = self._rng.choice(gateways)
        host, _, port = self._gateway.front.rpartition(":")
        try:
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port), limit=SLOW_BYTES if self._way == "slow" else 2**16
            )
        except OSError:
            return False
        return True

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

    async def _send(self) -> float:
        """Send a stream; return how long to wait before the next one."""
        request_id = self._scene.new_id()
        began_at = time.monotonic()
        status, whole, headers = 0, False, {}
        # The deadline is the gateway's to keep; this only ends a test that hangs.
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 5):
                await self._write(request_id)
                status, headers = await self._read_head()
                while status == 100:
                    status, headers = await self._read_head()
                whole = await self._read_body(headers)
        except (OSError, EOFError, ValueError, IndexError, TimeoutError):
            pass
        sent = Sent(
            request_id,
            self._gateway.name,
            self._way,
            began_at,
            self._sent_at,
            time.monotonic(),
            status,
            whole,
        )
        self._scene.sent.append(sent)
        if not whole or headers.get("connection") == "close":
            self._close()
        return float(headers.get("retry-after", 0.0)) if status == 503 else 0.0

    async def _write(self, request_id: str) -> None:
        """Send a request, and note when that ended, also for one that is not whole."""
        try:
            await self._write_parts(request_id)
        finally:
            self._sent_at = time.monotonic()

    async def _write_parts(self, request_id: str) -> None:
        rng, way, writer = self._rng, self._way, self._writer
        target, own = self._draw()
        fields = {
            "Host": HOST,
            "Cranberrywick-Request-Id": request_id,
            "Cranberrywick-Deadline-Ms": str(round(DEADLINE_SECONDS * 1000)),
            "Authorization": f"Token {KEY}",
            **own,
        }
        if way in ("chunked", "expect"):
            fields["Transfer-Encoding"] = "chunked"
        else:
            fields["Content-Length"] = "400"
        if way == "expect":
            fields["Expect"] = "100-continue"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{target} HTTP/1.1\r\n{lines}\r\n".encode())
        body = b"x" * 400
        if way == "chunked":
            for part in (body[:100], body[100:]):
                writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                await asyncio.sleep(rng.uniform(0.0, 0.15))
            writer.write(b"0\r\n\r\n")
        elif way == "expect":
            line = await self._reader.readline()
            if b" 100 " not in line:
                raise EOFError(line)
            await self._reader.readline()
            writer.write(b"190\r\n" + body + b"\r\n0\r\n\r\n")
        elif way == "late":
            writer.write(body[:-1])
            await asyncio.sleep(rng.uniform(0.0, 0.8))
            writer.write(body[-1:])
        else:
            writer.write(body)
        await writer.drain()

    def _draw(self) -> tuple[str, dict[str, str]]:
        """Return the method and target of a request, and its own headers."""
        rng = self._rng
        events = min(MOST_EVENTS, 1 + round(rng.expovariate(1 / (MEAN_EVENTS - 1))))
        return "POST /prompts/1", self._stream_headers(events)

    def _stream_headers(self, events: int) -> dict[str, str]:
        """Return the headers of a stream with so many events."""
        tokens = TOKENS_OF_EVENT * self._scene.stated(events)
        return {
            "Cranberrywick-Model": "m",
            "Cranberrywick-Token-Count": f"5000,{tokens}",
            "Cranberrywick-Prefix-Hash": f"{self._rng.getrandbits(32):08x}:5000",
            "X-Events": str(events),
            "X-Padding": "120",
        }

    async def _read_head(self) -> tuple[int, dict[str, str]]:
        status = int((await self._line()).split()[1])
        headers = {}
        while line := (await self._line()).strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        return status, headers

    async def _line(self) -> bytes:
        line = await self._reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError("the connection ended")
        return line

    async def _read_body(self, headers: dict[str, str]) -> bool:
        if "content-length" in headers:
            await self._take(int(headers["content-length"]))
            return True
        while length := int(await self._line(), 16):
            await self._take(length + 2)
        await self._line()
        return True

    async def _take(self, length: int) -> None:
        while length:
            size = min(length, SLOW_BYTES) if self._way == "slow" else length
            await self._reader.readexactly(size)
            length -= size
            if self._way == "slow":
                await asyncio.sleep(SLOW_SECONDS)

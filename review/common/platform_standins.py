"""Stand-ins of the platform: its store, and runners of engines and plain services."""

import asyncio
import base64
import json
import time
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import parse_qsl

from http1 import Request, Server, encode_answer, encode_head

# An engine of the sites: a request's prompt is read at this pace, alone.
TOKENS_PER_SECOND = 177_000.0
PAIR_SECONDS = 0.184e-9
STEP_SECONDS = 0.00085
STRIDE = 51
ENGINE_SLOTS = 8
ENGINE_MEMORY = 315_000
QUEUE = 32
EVENT_TOKENS = 51

ENGINE = {
    "slots": ENGINE_SLOTS,
    "kvCapacity": ENGINE_MEMORY,
    "kvTokenBytes": 163840,
    "linkMbps": 400000.0,
    "stride": STRIDE,
    "models": [{"name": "m"}],
    "step_ms": STEP_SECONDS * 1000,
    "per_seq_ms": 0.0085,
    "context_per_k": 0.00285,
    "read_per_s": TOKENS_PER_SECOND,
    "pairs_per_m": 0.184,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "loadsPerS": 0.0,
    "loads_at_once": 8,
    "delays": [],
    "usual": {"prompt": 11094, "answer": 1622},
    "hopMs": 0.05,
}


class Store:
    """The metadata store: keys and leases in memory, one address for each caller.

    ``modes`` holds, for each caller's name, ``open`` or ``silent``: calls that arrive
    at a silent address are neither executed nor answered, then or later. ``called_at``
    has the moment of the last call by its caller's name and its path with the query.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.modes: dict[str, str] = {}
        self.called_at: dict[tuple[str, str], float] = {}
        self._next_lease = 500

    async def listen(self, name: str, ip: str) -> str:
        """Listen for one caller and return the address."""
        self.modes[name] = "open"

        async def handle(request: Request, reader, writer) -> None:
            self.called_at[name, request.target] = request.at
            if self.modes[name] == "silent":
                await asyncio.Event().wait()
            self._expire()
            status, fields = self._serve(request)
            body = json.dumps(fields).encode()
            headers = [("Content-Type", "application/json")]
            writer.write(encode_answer(status, headers, body))

        return await Server(handle).start(ip)

    def put(self, key: str, fields: object, lease: int = 0) -> None:
        """Write a JSON value, as operators and runners do."""
        self.put_bytes(key, json.dumps(fields).encode(), lease)

    def put_bytes(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write the bytes of a value."""
        self.revision += 1
        created = self.items.get(key, {}).get("createRev", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRev": created,
            "lease": lease,
        }

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (_, until) in list(self.leases.items()):
            if until < now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        known = self.leases.pop(lease, None) is not None
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return known

    def _serve(self, request: Request) -> tuple[int, dict[str, Any]]:
        path, _, query = request.target.partition("?")
        arguments = dict(parse_qsl(query))
        body = json.loads(request.body) if request.body else {}
        if path == "/kv-key":
            item = self.items.get(arguments["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "/kv-range":
            prefix, after = arguments.get("prefix", ""), arguments.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:500]]
            truncated = len(keys) > 500
            fields = {"items": items, "truncated": truncated, "asOf": self.revision}
            return 200, fields
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            self._next_lease += 1
            seconds = body["ttlMs"] / 1000
            self.leases[self._next_lease] = seconds, time.monotonic() + seconds
            return 200, {"lease": self._next_lease, "ttlMs": body["ttlMs"]}
        kind, _, number = path.rpartition("/")
        if kind == "/kv-keep" and int(number) in self.leases:
            seconds, _ = self.leases[int(number)]
            self.leases[int(number)] = seconds, time.monotonic() + seconds
            return 200, {"ttlMs": int(seconds * 1000)}
        if kind == "/kv-lease-end" and self._end_lease(int(number)):
            return 200, {}
        return 404, {}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        writes, removed = body.get("writes", []), body.get("remove", [])
        keys = [row["key"] for row in writes] + removed
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        if any(row.get("lease", 0) not in {0, *self.leases} for row in writes):
            return 404, {}
        for row in writes:
            value = base64.b64decode(row["value"])
            self.put_bytes(row["key"], value, row.get("lease", 0))
        for key in removed:
            self.remove(key)
        return 200, {"revision": self.revision}


def prefill_seconds(tokens: int) -> float:
    """Return how long an engine reads a prompt."""
    return tokens / TOKENS_PER_SECOND + tokens * tokens / 2 * PAIR_SECONDS


Log = Callable[[str], None]


class Runner:
    """A runner of an engine, or of a plain service whose requests take ``work``.

    An engine admits requests in the order of their arrival while it has a slot and
    memory for them, reads their prompts one after another and writes one event for each
    51 tokens. ``runs`` counts runs by request id, ``arrivals`` all requests, and
    ``arrived_at`` has the moment of the last arrival. Each request that arrives and
    each run and its end is passed to ``log``.
    """

    def __init__(
        self, name: str, service: str, zone: str, log: Log, work: float | None = None
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.runs: dict[str, int] = {}
        self.arrivals: dict[str, int] = {}
        self.arrived_at: dict[str, float] = {}
        self.answered: set[str] = set()
        self.server = Server(self._handle)
        self._log = log
        self._sequence = 0
        self._free = ENGINE_MEMORY
        self._slots = ENGINE_SLOTS if work is None else 6
        self._running = 0
        self._waiting: list[asyncio.Event] = []
        self._reading = asyncio.Lock()
        self._born = int(time.time() * 1000)

    async def start(self, ip: str) -> None:
        """Listen for requests."""
        await self.server.start(ip)

    def record(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry that the runner writes to the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldRemainingMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _handle(self, request: Request, reader, writer) -> None:
        if request.target == "/health":
            own = [("Cranberrywick-Instance-Id", self.name)]
            writer.write(encode_answer(200, own, b""))
            return
        if request.target == "/report":
            writer.write(encode_answer(200, [], json.dumps(self._report()).encode()))
            return
        headers = request.headers
        request_id = headers.get("cranberrywick-request-id", "")
        if headers.get("cranberrywick-expect-instance", self.name) != self.name:
            own = [("Cranberrywick-Instance-Id", self.name)]
            writer.write(encode_answer(421, own, b""))
            return
        if not request_id:
            writer.write(encode_answer(400, [("Cranberrywick-Not-Executed", "1")], b""))
            return
        self.arrivals[request_id] = self.arrivals.get(request_id, 0) + 1
        self.arrived_at[request_id] = request.at
        self._log(f"{self.name}: request {request_id} arrives")
        work = self._call if self.work is not None else self._prompt
        deadline = float(headers.get("cranberrywick-deadline-ms", "60000")) / 1000
        await _unless_closed(reader, work(request, request_id, deadline, writer))

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": len(self._waiting),
            "running": self._running,
            "kvUsed": ENGINE_MEMORY - self._free,
            "kvTotal": ENGINE_MEMORY,
            "handles": 0,
        }

    def _answer_headers(self, request_id: str) -> list[tuple[str, str]]:
        load = f"{self._running},{len(self._waiting)},{self._slots}"
        return [
            ("Cranberrywick-Request-Id", request_id),
            ("Cranberrywick-Response-Seal", f"{self.name}.{request_id}.1"),
            ("Cranberrywick-Server-Load", load),
        ]

    def _begin(self, request_id: str) -> None:
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._log(f"{self.name}: request {request_id} runs")

    async def _admit(self, tokens: int, deadline: float) -> bool:
        """Wait in the queue for a slot and memory; False if refused or too late."""
        until = time.monotonic() + deadline
        if tokens > ENGINE_MEMORY or len(self._waiting) >= QUEUE:
            return False
        turn = asyncio.Event()
        self._waiting.append(turn)
        try:
            while (
                self._waiting[0] is not turn
                or self._running >= self._slots
                or tokens > self._free
            ):
                if time.monotonic() >= until:
                    return False
                await asyncio.sleep(0.005)
        finally:
            self._waiting.remove(turn)
        self._running += 1
        self._free -= tokens
        return True

    async def _call(self, request, request_id, deadline, writer) -> None:
        if not await self._admit(0, deadline):
            self._refuse(request_id, writer)
            return
        try:
            self._begin(request_id)
            await asyncio.sleep(self.work)
            own = self._answer_headers(request_id)
            body = f"{request.method} {request.target} {request_id}".encode()
            writer.write(encode_answer(200, own, body))
            self.answered.add(request_id)
            self._log(f"{self.name}: request {request_id} is answered")
        finally:
            self._running -= 1

    def _refuse(self, request_id: str, writer) -> None:
        self._log(f"{self.name}: request {request_id} is refused, not run")
        own = [("Cranberrywick-Request-Id", request_id)]
        own.append(("Cranberrywick-Not-Executed", "1"))
        writer.write(encode_answer(503, own, b""))

    async def _prompt(self, request, request_id, deadline, writer) -> None:
        counts = request.headers.get("cranberrywick-token-count", "1000,100")
        tokens_in, tokens_out = map(int, counts.split(","))
        total = tokens_in + tokens_out
        if not await self._admit(total, deadline):
            self._refuse(request_id, writer)
            return
        try:
            async with self._reading:
                await asyncio.sleep(prefill_seconds(tokens_in))
            self._begin(request_id)
            await self._stream(request, request_id, tokens_out, writer)
            self.answered.add(request_id)
            self._log(f"{self.name}: request {request_id} is answered")
        finally:
            self._running -= 1
            self._free += total

    async def _stream(self, request, request_id, tokens_out, writer) -> None:
        own = self._answer_headers(request_id)
        own.append(("Content-Type", "text/event-stream"))
        own.append(("Transfer-Encoding", "chunked"))
        writer.write(encode_head("HTTP/1.1 200 OK", own))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, max(1, tokens_out // EVENT_TOKENS) + 1):
            event = f"id: {number}\ndata: {request_id} piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(STRIDE * STEP_SECONDS)
        writer.write(b"0\r\n\r\n")


async def _unless_closed(
    reader: asyncio.StreamReader, work: Coroutine[Any, Any, None]
) -> None:
    """Await ``work``; drop it when the connection is closed, as most runners do."""
    task = asyncio.ensure_future(work)
    closed = asyncio.ensure_future(reader.read(1))
    try:
        await asyncio.wait({task, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise ConnectionResetError("the sender has closed the connection")
        await task
    finally:
        for each in (task, closed):
            each.cancel()
        await asyncio.gather(task, closed, return_exceptions=True)

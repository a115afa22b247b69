"""Callers of gateways that stop, who come back until they are served, for `slow_stops`.

Each uses one gateway until it is gone, or until it refuses, and knows since when it has
been refused.
"""

import asyncio
import random
import re
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from gateway_fleet import Gateway
from late_callers import DEADLINE_SECONDS, Caller

if TYPE_CHECKING:
    from slow_stops import SlowStops

CALL_SECONDS = 8.0
# The longest pause between two requests of a caller, in seconds.
PAUSE_SECONDS = 0.3
# How many of the streams are resumed after some of their events.
RESUMED_SHARE = 0.1
# How many of the requests are followed by a change to another gateway.
MOVING_SHARE = 0.03
_EVENT = re.compile(rb"^id: (\d+)\n", re.MULTILINE)


class Sent(NamedTuple):
    """A request and what came back; moments are those of the monotonic clock.

    ``first_at`` is when the first event came, or the body of a call. ``refused_at`` is
    the first refusal since this caller was last served. ``whole`` tells that the
    connection gave a whole answer, whatever its status, and ``is_served`` that it is
    the wanted one.
    """

    request_id: str
    gateway: str
    way: str
    kind: str
    events: int
    began_at: float
    sent_at: float
    first_at: float | None
    ended_at: float
    status: int
    whole: bool
    is_served: bool
    refused_at: float | None


class SlowCaller(Caller):
    """Sends streams, or calls, to a gateway until it is gone, or refuses.

    ``kind`` is "stream" or "call".
    """

    def __init__(
        self,
        scene: "SlowStops",
        way: str,
        rng: random.Random,
        kind: str,
        gateway: Gateway,
    ):
        super().__init__(scene, way, rng)
        self._kind = self._sent_kind = kind
        self._name: str | None = gateway.name
        self._avoided: str | None = None
        self._refused_at: float | None = None
        self._first_at: float | None = None
        self._events = 0
        self._last_event = 0

    async def run(self, is_over: Callable[[bool], bool]) -> None:
        """Send until ``is_over``, which is told whether this caller is refused."""
        while not is_over(self._refused_at is not None):
            await asyncio.sleep(self._rng.uniform(0.0, PAUSE_SECONDS))
            if self._writer is None and not await self._connect():
                continue
            pause = await self._send()
            if self._way == "new":
                self._close()
            await asyncio.sleep(pause)
        self._scene.unserved += self._refused_at is not None
        self._close()

    async def _connect(self) -> bool:
        if self._name is None:
            self._gateway = self._scene.pick(self._rng, self._avoided)
        else:
            self._gateway = self._scene.gateway(self._name)
        host, _, port = self._gateway.front.rpartition(":")
        try:
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._name, self._avoided = None, self._gateway.name
            return False
        self._name = self._gateway.name
        return True

    def _draw(self) -> tuple[str, dict[str, str]]:
        if self._kind == "call":
            self._sent_kind = self._rng.choice(["read", "book"])
            method = "GET /reads/1" if self._sent_kind == "read" else "POST /books/1"
            return method, {}
        events = self._events = self._scene.draw_events(self._rng)
        headers = self._stream_headers(events)
        headers["X-Padding"] = str(self._scene.padding)
        if events > 1 and self._rng.random() < RESUMED_SHARE:
            headers["Last-Event-Id"] = str(self._rng.randrange(1, events))
        return "POST /prompts/1", headers

    async def _send(self) -> float:
        request_id = self._scene.new_id()
        began_at = time.monotonic()
        status, whole, headers = 0, False, {}
        self._first_at, self._last_event = None, 0
        # The deadline is the gateway's to keep; this only ends a test that hangs.
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 5):
                await self._write(request_id)
                status, headers = await self._read_head()
                whole = await self._read_body(headers)
        except (OSError, EOFError, ValueError, IndexError, TimeoutError):
            pass
        is_served = whole and status == 200
        if self._kind == "stream":
            is_served = is_served and self._last_event == self._events
        if status == 503 and whole and self._refused_at is None:
            self._refused_at = time.monotonic()
        self._scene.sent.append(
            Sent(
                request_id,
                self._gateway.name,
                self._way,
                self._sent_kind,
                self._events,
                began_at,
                self._sent_at,
                self._first_at,
                time.monotonic(),
                status,
                whole,
                is_served,
                self._refused_at,
            )
        )
        return self._go_on(status, whole, is_served, headers)

    def _go_on(self, status, whole, is_served, headers) -> float:
        """Choose the next gateway; return how long to wait before that."""
        is_refused = status == 503 and whole
        if is_served:
            self._refused_at = None
        if not whole or is_refused or headers.get("connection") == "close":
            self._close()
        if is_refused and not self._scene.stays:
            self._name, self._avoided = None, self._gateway.name
        elif is_served and self._rng.random() < MOVING_SHARE:
            self._close()
            self._name, self._avoided = None, None
        return float(headers.get("retry-after", 0.0)) if is_refused else 0.0

    async def _take(self, length: int) -> None:
        part = await self._reader.readexactly(length)
        if self._first_at is None:
            self._first_at = time.monotonic()
        for number in _EVENT.findall(part):
            self._last_event = int(number)

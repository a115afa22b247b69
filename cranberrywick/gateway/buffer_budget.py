"""The budget of bytes that a daemon holds for its connections.

`cranberrywick.routing.buffer_budget` decides. This module counts what the connections
hold, closes the chosen ones, and logs and counts that. Where a deployment does not ask
for it, or the VM's memory is unknown, `NO_BUDGET` takes its place and does nothing.
"""

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from itertools import count
from typing import NamedTuple

from cranberrywick.errors import CranberrywickError, Overloaded
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.tcp_options import (
    USER_TIMEOUT_MS,
    limit_unsent_in_kernel,
    set_user_timeout,
)
from cranberrywick.gateway.throttled_log import ThrottledLog
from cranberrywick.logs import EventLog
from cranberrywick.platform.headers import decode_request, failure_headers
from cranberrywick.routing.buffer_budget import BufferLedger, BufferLimits, Holding
from cranberrywick.routing.model import GatewaySettings

__all__ = [
    "NO_BUDGET",
    "BodyRefusal",
    "BufferBudget",
    "ConnectionBuffers",
    "Unbudgeted",
    "body_refusal",
    "buffer_budget",
]

# How much of an answer is read from its endpoint while the caller reads nothing, in
# bytes. Streams have a few kB; beyond this bound reading stops.
UNREAD_BOUND_BYTES = 262_144
# TCP_USER_TIMEOUT while an answer is sent, in milliseconds. With the usual three
# seconds, the kernel closes the connection of a caller that pauses for as long and has
# no room for more. Deadlines are 10 to 15 s.
ANSWER_USER_TIMEOUT_MS = 15_000
# Range of the times after which a caller whose body was refused should retry, in
# seconds. Bodies are held for as long as requests take; and the caller may try another
# daemon, which has memory of its own.
RETRY_RANGE_SECONDS = (0.3, 0.9)


class BodyRefusal(NamedTuple):
    """The answer to a request whose body is not read."""

    headers: list[tuple[bytes, bytes]]
    body: bytes


def body_refusal(
    error: CranberrywickError, request_id: str, retry_seconds: float
) -> BodyRefusal:
    """Return the refusal with an error, and when the caller should retry."""
    body = json.dumps({"error": error.body(request_id)}).encode()
    return BodyRefusal(failure_headers(request_id, retry_seconds), body)


class Unbudgeted:
    """Counts and limits nothing: the budget, and the buffers of each connection."""

    counts_unread = False
    unread = 0

    def connection(
        self, transport: asyncio.Transport, cut: Callable[[], None]
    ) -> "Unbudgeted":
        """Return the buffers of a caller's connection."""
        return self

    def endpoint_connection(
        self, transport: asyncio.Transport, cut: Callable[[], None]
    ) -> "Unbudgeted":
        """Return the buffers of the connection to the endpoint of a request."""
        return self

    def refusal_of_head(
        self, headers: Iterable[tuple[bytes, bytes]], longest: int
    ) -> BodyRefusal | None:
        """Return None: every body may be received."""
        return None

    def refusal_of_body(self, received: int) -> BodyRefusal | None:
        """Return None: every body may be received."""
        return None

    def admits_early_bytes(self, more: int) -> bool:
        """Return True: a caller may send any number of bytes early."""
        return True

    def request_begins(self, early: int) -> None:
        """Don't count the bytes that follow a request."""

    def answer_begins(self) -> None:
        """Do nothing as an answer begins."""

    def hold_answer(self, held: int) -> None:
        """Don't count an answer."""

    def request_ended(self) -> None:
        """Do nothing as a request ends."""

    def record_unread(self) -> None:
        """Don't count unread bytes."""

    def written(self) -> None:
        """Do nothing after a write."""

    def closed(self) -> None:
        """Do nothing as the connection is closed."""


NO_BUDGET = Unbudgeted()


class BufferBudget:
    """The bytes that this daemon holds for all its connections, and their limits."""

    def __init__(self, limits: BufferLimits, metrics: LazyMetrics, log: EventLog):
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._connections_by_id: dict[str, ConnectionBuffers] = {}
        self._ids = count(1)
        self._metrics = metrics
        self._cut_log = ThrottledLog(log, self._loop.time)
        self._refusal_log = ThrottledLog(log, self._loop.time)
        self.ledger = BufferLedger(limits, self._read_unread)
        metrics.observe_held_bytes(self._observe_held)

    def connection(
        self,
        transport: asyncio.Transport,
        cut: Callable[[], None],
        peer: str = "caller",
    ) -> "ConnectionBuffers":
        """Return the buffers of a connection, which ``cut`` closes at once.

        ``peer`` is "caller" or "endpoint".
        """
        connection_id = str(next(self._ids))
        buffers = ConnectionBuffers(self, connection_id, transport, cut, peer)
        self._connections_by_id[connection_id] = buffers
        return buffers

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._connections_by_id)

    def admits(self, connection_id: str, kept: int) -> bool:
        """Return whether so many bytes of a request may be kept for a connection."""
        return self.ledger.admits(connection_id, kept, self._loop.time())

    def keep(self, connection_id: str, kept: int) -> None:
        """Count what is kept for an open connection; close others if necessary."""
        if connection_id in self._connections_by_id:
            self.ledger.keep(connection_id, kept)
            self.close_excess()

    def record_unread(self, connection_id: str) -> None:
        """Count what an open connection has not read."""
        if connection_id in self._connections_by_id:
            unread = self._read_unread(connection_id)
            self.ledger.record_unread(connection_id, unread, self._loop.time())

    def forget(self, connection_id: str) -> None:
        """Drop a closed connection, for which nothing is held any more."""
        if self._connections_by_id.pop(connection_id, None) is not None:
            self.ledger.remove(connection_id)

    def close_excess(self) -> None:
        """Close connections until the limits are met."""
        now = self._loop.time()
        excess = self.ledger.take_excess(now)
        held = self.ledger.held + sum(holding.held for _, holding in excess)
        for connection_id, holding in excess:
            self._cut(connection_id, holding, held, now)

    def close(self, connection_id: str) -> None:
        """Close a connection whose bytes don't fit, unless it is closed already."""
        if connection_id in self._connections_by_id:
            held = self.ledger.held
            holding = self.ledger.remove(connection_id)
            self._cut(connection_id, holding, held, self._loop.time())

    def refusal(self, request_id: str, wanted: int) -> BodyRefusal:
        """Return the answer to a request whose body exceeds the limits."""
        self._metrics.body_refused_for_memory()
        self._refusal_log.warning(
            "body_refused_for_memory",
            request_id=request_id,
            bytes=wanted,
            held=self.ledger.held,
            budget=self.ledger.limits.budget,
        )
        error = Overloaded("this daemon holds too many bytes for other requests")
        seconds = self._rng.uniform(*RETRY_RANGE_SECONDS)
        return body_refusal(error, request_id, seconds)

    def _cut(self, connection_id: str, holding: Holding, held: int, now: float) -> None:
        # The connection is counted no more, also if it still writes something.
        buffers = self._connections_by_id.pop(connection_id)
        self._record_cut(buffers, holding, held, now)
        buffers.cut()

    def _record_cut(
        self, buffers: "ConnectionBuffers", holding: Holding, held: int, now: float
    ) -> None:
        self._metrics.cut_for_memory(buffers.peer)
        since = min(holding.unread_since, now)
        self._cut_log.warning(
            "caller_cut_for_memory",
            request_id=buffers.request_id,
            peer=buffers.peer,
            bytes=holding.held,
            unread=holding.unread,
            seconds=now - since,
            held=held,
            holders=self.ledger.holders,
            budget=self.ledger.limits.budget,
        )

    def _read_unread(self, connection_id: str) -> int:
        return self._connections_by_id[connection_id].unread

    def _observe_held(self) -> dict[str, float]:
        self.ledger.refresh()
        return {"all": self.ledger.held}


class ConnectionBuffers:
    """What is held for one connection; ``request_id`` is its last request's."""

    counts_unread = True

    def __init__(
        self,
        budget: BufferBudget,
        connection_id: str,
        transport: asyncio.Transport,
        cut: Callable[[], None],
        peer: str,
    ):
        self._budget = budget
        self._id = connection_id
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self.cut = cut
        self.peer = peer
        self.request_id = ""
        self._body = 0
        self._early = 0
        self._answer = 0
        self._has_answer_timeout = False
        transport.set_write_buffer_limits(high=UNREAD_BOUND_BYTES)
        limit_unsent_in_kernel(transport)

    @property
    def unread(self) -> int:
        """Bytes that were written to the connection and are not sent yet."""
        return self._transport.get_write_buffer_size()

    def endpoint_connection(
        self, transport: asyncio.Transport, cut: Callable[[], None]
    ) -> "ConnectionBuffers":
        """Return the buffers of the connection to the endpoint of a request."""
        buffers = self._budget.connection(transport, cut, "endpoint")
        buffers.request_id = self.request_id
        return buffers

    def refusal_of_head(
        self, headers: Iterable[tuple[bytes, bytes]], longest: int
    ) -> BodyRefusal | None:
        """Count the body that a head declares; return the answer if it is too much.

        A body longer than ``longest`` is refused after that many bytes. A body without
        a declared length is counted as it is received.
        """
        self.request_id = decode_request(headers).request_id
        if self._has_answer_timeout and not self.unread:
            self._has_answer_timeout = False
            set_user_timeout(self._transport, USER_TIMEOUT_MS)
        # The parser has checked that the header is a number.
        declared = int(dict(headers).get(b"content-length", b"0"))
        return self.refusal_of_body(min(declared, longest))

    def refusal_of_body(self, received: int) -> BodyRefusal | None:
        """Count the received part of a body; return the answer if it is too much."""
        more = received - self._body
        if more <= 0:
            return None
        if not self._budget.admits(self._id, self._kept + more):
            return self._budget.refusal(self.request_id, received)
        self._body = received
        self._keep()
        return None

    def admits_early_bytes(self, more: int) -> bool:
        """Count bytes that follow the current request; return whether they may stay.

        Otherwise the connection is closed as one that is cut for memory.
        """
        if not self._budget.admits(self._id, self._kept + more):
            self._budget.close(self._id)
            return False
        self._early += more
        self._keep()
        return True

    def request_begins(self, early: int) -> None:
        """Count the bytes that the caller has already sent after this request."""
        if early != self._early:
            self._early = early
            self._keep()

    def answer_begins(self) -> None:
        """Let the caller pause while it reads its answer."""
        self._has_answer_timeout = True
        set_user_timeout(self._transport, ANSWER_USER_TIMEOUT_MS)

    def hold_answer(self, held: int) -> None:
        """Record how many bytes of the request's answer are held."""
        self._answer = held
        self._keep()

    def request_ended(self) -> None:
        """Record that neither the request nor its answer is held any more."""
        self._body = self._early = self._answer = 0
        self._keep()
        self.record_unread()

    def record_unread(self) -> None:
        """Count the unread bytes anew; called before a write, too.

        Otherwise bytes of an earlier write, which have been sent in the meantime, would
        count as unread since then.
        """
        self._budget.record_unread(self._id)

    def written(self) -> None:
        """Count what could not be sent at once; close connections if necessary."""
        self.record_unread()
        self._budget.close_excess()

    def closed(self) -> None:
        """Record that nothing is held any more: the connection is closed."""
        self._budget.forget(self._id)

    @property
    def _kept(self) -> int:
        return self._body + self._early + self._answer

    def _keep(self) -> None:
        self._budget.keep(self._id, self._kept)


def buffer_budget(
    settings: GatewaySettings, metrics: LazyMetrics, log: EventLog
) -> BufferBudget | Unbudgeted:
    """Return the budget of a daemon with these settings."""
    if not settings.pressure or not settings.vm_limits.memory_bytes:
        return NO_BUDGET
    limits = BufferLimits.of_memory(settings.vm_limits.memory_bytes)
    return BufferBudget(limits, metrics, log)

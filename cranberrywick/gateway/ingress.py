"""Listening for callers, and the connections that they have open."""

import asyncio
import select
from collections.abc import Callable

from cranberrywick.gateway.buffer_budget import NO_BUDGET, BufferBudget, Unbudgeted
from cranberrywick.gateway.caller_connection import (
    CallerConnection,
    Handler,
    RefuseUnread,
)
from cranberrywick.gateway.http_request import DEFAULT_LIMITS
from cranberrywick.routing.model import RequestLimits

__all__ = ["Ingress"]

# Length of the listening socket's queue of connections to accept: callers may connect
# in a burst.
BACKLOG = 512


class Ingress:
    """Listens on one address and calls ``handle`` with each request.

    ``limits`` is called whenever a limit is checked, so that a new configuration
    applies to open connections too, except for the parser's bound on the head, which
    is set when a connection is made. Without limits from it, the defaults apply.
    ``budget`` limits the bytes that are held for the connections.

    >>> ingress = Ingress(handle)
    >>> await ingress.start("127.0.0.1:0")
    >>> ingress.address
    '127.0.0.1:41373'
    """

    def __init__(
        self,
        handle: Handler,
        limits: Callable[[], RequestLimits | None] = lambda: None,
        budget: BufferBudget | Unbudgeted = NO_BUDGET,
    ):
        self.budget = budget
        self._handle = handle
        self._limits = limits
        self._server: asyncio.Server | None = None
        self.connections: set[CallerConnection] = set()
        self.draining = False

    @property
    def limits(self) -> RequestLimits:
        """The limits that apply now."""
        return self._limits() or DEFAULT_LIMITS

    @property
    def busy(self) -> int:
        """How many connections have a request, or an answer that is not sent yet."""
        return sum(connection.busy for connection in self.connections)

    @property
    def unread(self) -> int:
        """How many sockets have connections to accept, or bytes of callers to read."""
        poll = select.poll()
        for listener in self._server.sockets if self._server else ():
            poll.register(listener.fileno(), select.POLLIN)
        for connection in self.connections:
            if connection.reads:
                poll.register(connection.fileno(), select.POLLIN)
        return len(poll.poll(0))

    @property
    def unsent(self) -> int:
        """How many connections have an answer that is not sent yet."""
        return sum(connection.unsent > 0 for connection in self.connections)

    @property
    def unanswered(self) -> int:
        """How many requests are being served whose answer has not begun."""
        return sum(connection.is_unanswered for connection in self.connections)

    @property
    def tasks(self) -> list[asyncio.Task]:
        """The tasks of the requests that are being served."""
        tasks = (connection.task for connection in self.connections)
        return [task for task in tasks if task is not None]

    @property
    def address(self) -> str:
        """The address on which it listens, as ``ip:port``."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``; port 0 chooses a free port.

        Raises `OSError` if the address can't be used.
        """
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
        """Close each connection after its next answer; new ones are still accepted."""
        self.draining = True

    def refuse_unread(self, refuse: RefuseUnread) -> None:
        """Refuse the requests that are still being read."""
        for connection in list(self.connections):
            connection.refuse_unread(refuse)

    def stop_listening(self) -> None:
        """Accept no more connections; those that wait for it are reset."""
        if self._server is not None:
            self._server.close()

    def stop_reading(self) -> None:
        """Read no more requests; those that were read are served."""
        for connection in self.connections:
            connection.stop_reading()

    def close(self) -> None:
        """Stop listening and close the connections that have no request.

        No request is read after this call.
        """
        self.stop_listening()
        self.stop_reading()
        for connection in list(self.connections):
            connection.close_if_idle()

"""Listening for callers, and the connections that they have open."""

import asyncio
import select
import socket
from asyncio.trsock import TransportSocket
from collections.abc import Callable, Sequence
from math import inf

from cranberrywick.gateway.buffer_budget import NO_BUDGET, BufferBudget, Unbudgeted
from cranberrywick.gateway.caller_connection import (
    CallerConnection,
    Handler,
    RefuseUnread,
)
from cranberrywick.gateway.direct_transport import (
    DirectTransport,
    accept_waiting,
    length_of_queue,
)
from cranberrywick.gateway.http_request import DEFAULT_LIMITS
from cranberrywick.routing.model import RequestLimits

__all__ = ["Ingress"]

# Length of the listening socket's queue of connections to accept: callers may connect
# in a burst.
BACKLOG = 512
# Most connections that one turn of the event loop accepts, so that the next turn isn't
# late.
ACCEPTED_PER_TURN = 16
# When connections are accepted again after that has failed, in seconds.
ACCEPT_RETRY_SECONDS = 1.0


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
        self._refuses_from = inf
        self._refuse: RefuseUnread | None = None
        self._refusal_begins: Callable[[], None] = lambda: None
        self._accepted: list[socket.socket] = []
        self._making: set[asyncio.Task] = set()

    @property
    def limits(self) -> RequestLimits:
        """The limits that apply now."""
        return self._limits() or DEFAULT_LIMITS

    @property
    def refuse(self) -> RefuseUnread | None:
        """What refuses a request that has just been read; None if it is served."""
        if self._refuse is None or self._loop.time() < self._refuses_from:
            return None
        self._refusal_begins()
        return self._refuse

    @property
    def busy(self) -> int:
        """How many connections have a request, or an answer that is not sent yet."""
        return sum(connection.busy for connection in self.connections)

    @property
    def unread(self) -> int:
        """How many sockets have connections to accept, or bytes of callers to read.

        Connections that have been accepted count until they are read.
        """
        poll = select.poll()
        for listener in self._listeners:
            poll.register(listener.fileno(), select.POLLIN)
        for connection in self.connections:
            if connection.reads:
                poll.register(connection.fileno(), select.POLLIN)
        return len(poll.poll(0)) + self.accepting

    @property
    def accepting(self) -> int:
        """How many connections are accepted and not among `connections` yet."""
        return len(self._making) + len(self._accepted)

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
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(
            self._make_connection,
            host,
            int(port),
            reuse_address=True,
            start_serving=False,
        )
        for listener in self._listeners:
            with listener.dup() as same:
                same.listen(BACKLOG)
            self._accept_from(listener)

    def _accept_from(self, listener: TransportSocket) -> None:
        if listener.fileno() >= 0:  # It has not been closed meanwhile.
            self._loop.add_reader(listener.fileno(), self._accept, listener)

    def _accept(self, listener: TransportSocket) -> None:
        # The server of asyncio accepts as many as wait in one turn, and drops those
        # that it has just accepted as it is closed.
        try:
            for caller in accept_waiting(listener, ACCEPTED_PER_TURN):
                making = self._loop.connect_accepted_socket(
                    self._make_connection, caller
                )
                task = self._loop.create_task(making)
                self._making.add(task)
                task.add_done_callback(self._making.discard)
        except OSError as error:  # There are no descriptors, for example.
            context = {"message": "no connection is accepted", "exception": error}
            self._loop.call_exception_handler(context)
            self._loop.remove_reader(listener.fileno())
            self._loop.call_later(ACCEPT_RETRY_SECONDS, self._accept_from, listener)

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(self, self._handle)

    def drain(self) -> None:
        """Close each connection after its next answer; new ones are still accepted."""
        self.draining = True

    def refuse_from(
        self, moment: float, refuse: RefuseUnread, begins: Callable[[], None]
    ) -> None:
        """Refuse the requests that are read from a moment on, without serving them.

        The clock is read at each of them, since timers may be late. ``begins`` is
        called as one is refused.
        """
        self._refuses_from, self._refuse = moment, refuse
        self._refusal_begins = begins

    def accept_waiting(self) -> None:
        """Accept all connections that wait for it, for `intake_steps`."""
        for listener in self._listeners:
            self._accepted += accept_waiting(listener, BACKLOG)

    def intake_steps(self) -> list[Callable[[], None]]:
        """Return what refuses all that callers have sent so far, and closes the rest.

        Each step is for one connection. Requests that are being served go on.
        """
        steps = [each.end_intake for each in self.connections]
        return steps + [self._refuse_accepted] * len(self._accepted)

    def _refuse_accepted(self) -> None:
        with self._accepted.pop() as caller:
            connection = self._make_connection()
            connection.connection_made(DirectTransport(caller))
            try:
                connection.end_intake()
                if self._refuse is not None:
                    connection.refuse_unread(self._refuse)
            finally:
                connection.connection_lost(None)

    @property
    def _listeners(self) -> Sequence[TransportSocket]:
        return self._server.sockets if self._server else ()

    @property
    def waiting(self) -> int:
        """How many connections wait to be accepted."""
        return sum(length_of_queue(listener) for listener in self._listeners)

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

        No request is read after this call. Answers that are not sent yet are left to
        the kernel.
        """
        self.stop_listening()
        self.stop_reading()
        for connection in list(self.connections):
            connection.hand_over_unsent()
            connection.close_if_idle()

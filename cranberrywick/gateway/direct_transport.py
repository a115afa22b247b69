"""Connections that are served within one callback, without the event loop.

As a daemon ends, connections still wait to be accepted, with requests on them. The
event loop would need several turns for each.
"""

import asyncio
import contextlib
import socket
import sys
from asyncio.trsock import TransportSocket
from collections.abc import Iterator

__all__ = ["DirectTransport", "accept_waiting", "length_of_queue"]

# Where linux/tcp.h has the length of a listener's queue, in bytes from the start of
# the structure for TCP_INFO (``tcpi_unacked``).
QUEUE_OFFSET = 24


def accept_waiting(listener: TransportSocket, most: int) -> Iterator[socket.socket]:
    """Accept the connections that wait at a listener that doesn't block."""
    with listener.dup() as same:
        for _ in range(most):
            try:
                caller, _ = same.accept()
            except ConnectionAbortedError:
                continue
            except BlockingIOError:
                return
            caller.setblocking(False)
            yield caller


def length_of_queue(listener: TransportSocket) -> int:
    """Return how many connections wait to be accepted."""
    size = QUEUE_OFFSET + 4
    info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    return int.from_bytes(info[QUEUE_OFFSET:size], sys.byteorder)


class DirectTransport(asyncio.Transport):
    """Sends at once what its protocol writes; the socket is closed by its owner."""

    def __init__(self, sock: socket.socket):
        super().__init__({"socket": sock})
        self._socket = sock
        self._is_closing = False

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return the socket or the address of the peer."""
        if name == "peername":
            with contextlib.suppress(OSError):  # It has closed the connection.
                return self._socket.getpeername()
        return super().get_extra_info(name, default)

    def is_reading(self) -> bool:
        """Return whether the protocol wants more."""
        return not self._is_closing

    def is_closing(self) -> bool:
        """Return whether the protocol has closed the connection."""
        return self._is_closing

    def write(self, data: bytes) -> None:
        """Send the data: a new connection has room for a refusal."""
        with contextlib.suppress(OSError):  # The peer has closed the connection.
            self._socket.send(data)

    def can_write_eof(self) -> bool:
        """Return False: the owner closes the socket at once."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing is kept."""
        return 0

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing: nothing is kept."""

    def pause_reading(self) -> None:
        """Read nothing more."""
        self._is_closing = True

    def close(self) -> None:
        """Read nothing more."""
        self._is_closing = True

    def abort(self) -> None:
        """Read nothing more."""
        self._is_closing = True

"""What connections of callers have in common with others: transport, room and timer."""

import asyncio
import contextlib
import os
from collections.abc import Callable

from cranberrywick.gateway.buffer_budget import NO_BUDGET
from cranberrywick.gateway.tcp_options import abort_with_reset, lift_kernel_limit

__all__ = ["TcpConnection"]

# Most bytes that one read takes of what has been sent.
READ_BYTES = 262_144


class TcpConnection(asyncio.Protocol):
    """A protocol with its transport, and one timer.

    ``buffers`` counts what is held for the connection.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._closed = False
        self.buffers = NO_BUDGET

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport; called by asyncio."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Let nothing wait for the connection; called by asyncio."""
        self._closed = True
        self.buffers.closed()
        self._clear_timer()
        self._can_write.set()

    @property
    def reads(self) -> bool:
        """Whether what the caller sends is read."""
        return self._transport is not None and self._transport.is_reading()

    def fileno(self) -> int:
        """Return the descriptor of the connection's socket."""
        return self._transport.get_extra_info("socket").fileno()

    def stop_reading(self) -> None:
        """Read nothing more that the caller sends."""
        if self.reads:
            self._transport.pause_reading()

    @property
    def unsent(self) -> int:
        """Bytes that wait for the caller to read."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def hand_over_unsent(self) -> None:
        """Let the kernel send what the caller reads after the end of this process."""
        if self.unsent:
            lift_kernel_limit(self._transport)

    @property
    def gone(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._closed

    @property
    def caller_ip(self) -> str:
        """The address that the caller connected from, empty if it is not known."""
        peer = self._transport.get_extra_info("peername") if self._transport else None
        return peer[0] if peer else ""

    def eof_received(self) -> bool:
        """Close the connection of a caller that has closed its sending side.

        Called by asyncio. A half-closed connection counts as one that was closed.
        """
        return False

    def pause_writing(self) -> None:
        """Make sends wait: the caller reads too slowly. Called by asyncio."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let sends go on: the caller reads again. Called by asyncio."""
        self._can_write.set()

    def read_waiting(self) -> None:
        """Read what the caller has sent so far, without waiting for the event loop."""
        while self.reads:
            try:
                data = os.read(self.fileno(), READ_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self._abort()
                return
            if not data:
                self._transport.close()
                return
            self.data_received(data)

    def _write(self, data: bytes) -> None:
        self.buffers.record_unread()
        self._transport.write(data)
        self.buffers.written()
        if self._closed:
            raise ConnectionResetError("the connection has been cut")

    def _close(self) -> None:
        """Close the connection, and tell the peer at once.

        The transport closes the socket in the next turn of the event loop. A peer that
        sends until then gets a reset in place of an answer.
        """
        if self._transport.can_write_eof():
            with contextlib.suppress(OSError):  # The peer has closed the connection.
                self._transport.write_eof()
        self._transport.close()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _cut(self) -> None:
        """Close at once, so that a started answer does not look complete."""
        self._closed = True
        abort_with_reset(self._transport)

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = self._loop.call_later(seconds, callback)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

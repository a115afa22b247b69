"""Options of TCP connections that callers and endpoints share."""

import asyncio
import contextlib
import socket
import struct

__all__ = [
    "USER_TIMEOUT_MS",
    "abort_with_reset",
    "enable_keepalive",
    "limit_unsent_in_kernel",
    "set_user_timeout",
]

# TCP keepalive: the kernel probes a connection after one second without traffic and
# closes it after two unanswered probes, one second apart. This finds a peer that
# disappeared without a reset. It takes longer than any pause of a working link and
# less than a caller waits for the next event of a stream.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# TCP_USER_TIMEOUT, in milliseconds: the kernel closes a connection whose peer has not
# acknowledged sent bytes for this time, or whose peer has had no room for more bytes
# for this time. Where held bytes have a budget, a caller's connection has a longer time
# from the beginning of an answer until its next request begins with nothing unread.
USER_TIMEOUT_MS = 3000
# TCP_NOTSENT_LOWAT, in bytes: how many unsent bytes the kernel takes. Without it a
# connection on loopback takes 2.5 MB, which the daemon's own count does not show.
UNSENT_IN_KERNEL_BYTES = 65536
TCP_NOTSENT_LOWAT = 25  # From linux/tcp.h; Python's socket module lacks the name.


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Enable TCP keepalive, so that a connection cut without a reset is closed."""
    tcp = socket.IPPROTO_TCP
    _set_options(
        transport,
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )


def set_user_timeout(transport: asyncio.BaseTransport, milliseconds: int) -> None:
    """Set for how long a peer may acknowledge nothing, or have no room for bytes."""
    option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    _set_options(transport, option)


def limit_unsent_in_kernel(transport: asyncio.BaseTransport) -> None:
    """Keep unsent bytes in the transport's buffer, where they can be counted."""
    option = (socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, UNSENT_IN_KERNEL_BYTES)
    _set_options(transport, option)


def lift_kernel_limit(transport: asyncio.BaseTransport) -> None:
    """Let the kernel take all unsent bytes that it has room for.

    It goes on sending these after the end of the process.
    """
    # With 0, the system's default counts, which is no limit.
    _set_options(transport, (socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, 0))


def abort_with_reset(transport: asyncio.Transport) -> None:
    """Close at once by a reset, also dropping what the kernel has not sent.

    Without the reset, the end of an answer that has no declared length would look like
    that of a complete one.
    """
    linger = struct.pack("ii", 1, 0)
    _set_options(transport, (socket.SOL_SOCKET, socket.SO_LINGER, linger))
    transport.abort()


def _set_options(
    transport: asyncio.BaseTransport, *options: tuple[int, int, int | bytes]
) -> None:
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):  # The peer may have closed the connection.
        for level, name, value in options:
            sock.setsockopt(level, name, value)

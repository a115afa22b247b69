"""Connections that are opened within a time, whatever the lag of the event loop."""

import asyncio
import socket

from cranberrywick.addresses import Address

__all__ = ["open_connection"]


async def open_connection(
    address: Address, timeout: float, local_ip: str = ""
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an IPv4 address within ``timeout`` seconds, from ``local_ip`` if set.

    A loop that is late handles the timeout, and may not have looked at the socket since
    it was connected. Then the kernel tells.

    Raises `TimeoutError` if it isn't connected by then, and `OSError` if it can't be.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if local_ip:
            sock.bind((local_ip, 0))
        await _connect(sock, address, timeout)
    except BaseException:  # Also if the task is cancelled.
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock)


async def _connect(sock: socket.socket, address: Address, timeout: float) -> None:
    try:
        async with asyncio.timeout(timeout):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except TimeoutError:
        if not _is_connected(sock):
            raise


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True

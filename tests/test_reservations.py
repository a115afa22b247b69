"""Renewals of memory that is reserved at helpers, where orders get no answer."""

import asyncio
import time

import pytest

from cranberrywick.gateway.reservations import HOLD_SHARE, Reservations
from cranberrywick.logs import EventLog

FREE_SECONDS = 4.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class _Reach:
    def connected(self, endpoint_id: str) -> None:
        pass

    def failed(self, endpoint_id: str, error: Exception) -> None:
        pass


async def _arrivals(lost: int) -> list[float]:
    """Return when orders came to a helper that answers none of ``lost`` renewals."""
    arrivals: list[float] = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        arrivals.append(time.monotonic())
        if not 1 < len(arrivals) <= 1 + lost:
            writer.write(ANSWER)
            await writer.drain()
        else:
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    held = Reservations(
        [("helper", f"127.0.0.1:{port}", 100)],
        FREE_SECONDS,
        lambda endpoint_id, answer: None,
        _Reach(),
        EventLog(),
    )
    await held.acquire()
    await asyncio.sleep(FREE_SECONDS)
    held.release()
    await asyncio.sleep(0.1)
    server.close()
    return arrivals


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_memory_in_use_outlasts_lost_renewals(lost):
    """Memory expires under a running request since renewals wait for lost answers."""
    first, *renewals = asyncio.run(_arrivals(lost))
    assert renewals[lost] - first < HOLD_SHARE * FREE_SECONDS

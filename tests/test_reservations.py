"""Renewals of memory that is reserved at helpers, where orders get no answer."""

import asyncio
import time

import pytest

from cranberrywick.errors import EndpointRefused
from cranberrywick.gateway.reservations import HOLD_SHARE, Reservations
from cranberrywick.logs import EventLog
from cranberrywick.model import EndpointRefusal

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


class _Helper:
    """An endpoint at an address, which refuses orders that name another one's id."""

    def __init__(self, endpoint_id: str, answers: bool = True):
        self._endpoint_id = endpoint_id.encode()
        self._answers = answers
        self.carried_out = 0

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if not self._answers:
            await reader.read()
        elif b"Expect-Instance: " not in head or self._endpoint_id in head:
            self.carried_out += 1
            writer.write(ANSWER)
        else:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\n\r\n")
        writer.close()

    async def acquire(self, tokens: int) -> None:
        """Let a request whose helper ``own`` had this address reserve memory there."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        wanted = [("own", f"127.0.0.1:{port}", tokens)]
        held = Reservations(wanted, FREE_SECONDS, _ignore, _Reach(), EventLog())
        async with server:
            try:
                await held.acquire()
            finally:
                held.release()
                await asyncio.sleep(0.05)


def _ignore(endpoint_id: str, answer: object) -> None:
    pass


@pytest.mark.parametrize("tokens", [0, 100])
def test_an_endpoint_at_another_ones_address_is_no_helper(tokens):
    """Guards against parts of prompts that another service's endpoint reads."""
    other = _Helper("other")
    with pytest.raises(EndpointRefused) as caught:
        asyncio.run(other.acquire(tokens))
    assert caught.value.reason is EndpointRefusal.LEAVING
    assert other.carried_out == 0


def test_a_helper_that_only_reads_is_used_without_an_answer():
    """Guards against prompts that wait while an endpoint leaves orders unanswered."""
    began = time.monotonic()
    asyncio.run(_Helper("own", answers=False).acquire(0))
    assert time.monotonic() - began < 0.5


def test_a_helper_that_only_reads_is_asked_once():
    own = _Helper("own")
    asyncio.run(own.acquire(0))
    assert own.carried_out == 1

"""The callers of the scenes in which gateways stop."""

import asyncio
import itertools
import random
from types import SimpleNamespace

from late_callers import Caller

# When the other side closes, in seconds from the connection; callers pause in the
# middle of their body.
CLOSE_SECONDS = 0.02


def test_a_request_that_crosses_a_close_is_not_sent_before_its_end():
    """Guards against requests that count as lost though they were never whole."""
    numbers = itertools.count()
    scene = SimpleNamespace(
        sent=[], new_id=lambda: f"stream-{next(numbers)}", stated=lambda events: events
    )

    async def close_soon(reader, writer):
        await asyncio.sleep(CLOSE_SECONDS)
        writer.transport.abort()

    async def main():
        server = await asyncio.start_server(close_soon, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        gateway = SimpleNamespace(name="gateway-0", front=f"127.0.0.1:{port}")
        scene.open_gateways = lambda: [gateway]
        caller = Caller(scene, "chunked", random.Random(1))
        assert await caller._connect()
        await caller._send()
        server.close()

    asyncio.run(main())
    (sent,) = scene.sent
    assert not sent.whole
    assert sent.ended_at - sent.began_at > CLOSE_SECONDS
    assert sent.ended_at - sent.sent_at < CLOSE_SECONDS

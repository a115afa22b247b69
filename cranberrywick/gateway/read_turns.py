"""Turns of the event loop for connections that have much to read.

Load pattern: endpoints send as fast as their links allow, some of them without end. The
loop reads all of these connections in each of its turns, and other requests, which need
some fifteen turns each, wait for that in every one.
"""

import asyncio
from collections import deque

from cranberrywick.routing.answer_limits import (
    BYTES_PER_TURN,
    FREE_READ_BYTES,
    FREE_READ_RATE,
)

__all__ = ["ReadAllowance", "ReadTurns"]


class ReadTurns:
    """Lets one connection at a time go on, in the order in which they asked.

    At most one does so in a turn of the event loop. Long answers have no other bound to
    their speed, so that they take all of the time that others leave.

    >>> turns = ReadTurns()
    >>> await turns.wait()
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def wait(self) -> None:
        """Wait for a turn; at least one turn of the event loop passes."""
        loop = asyncio.get_running_loop()
        if not self._is_scheduled:
            # Nobody else waits: the next turn is the caller's.
            self._is_scheduled = True
            loop.call_soon(self._give, loop)
            await asyncio.sleep(0)
            return
        turn = loop.create_future()
        self._waiting.append(turn)
        await turn

    def _give(self, loop: asyncio.AbstractEventLoop) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():  # Else its task was cancelled.
                turn.set_result(None)
                break
        else:
            self._is_scheduled = False
            return
        loop.call_soon(self._give, loop)


class ReadAllowance:
    """How much of one connection is read before it waits for a turn.

    >>> allowance = ReadAllowance(turns)
    >>> data = await reader.read()
    >>> await allowance.take(len(data))
    """

    def __init__(self, turns: ReadTurns):
        self._turns = turns
        self._left = float(FREE_READ_BYTES)
        self._refilled_at = 0.0

    async def take(self, received: int) -> None:
        """Count bytes that were read; wait for a turn if they exceed the allowance."""
        now = asyncio.get_running_loop().time()
        added = (now - self._refilled_at) * FREE_READ_RATE
        self._left = min(float(FREE_READ_BYTES), self._left + added)
        self._refilled_at = now
        if received > self._left:
            await self._turns.wait()
            self._left += BYTES_PER_TURN
        self._left = max(0.0, self._left - received)

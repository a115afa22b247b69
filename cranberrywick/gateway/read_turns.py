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


# A turn of the event loop that takes longer is late: others have much to do, or the
# process waits for a processor. In seconds.
LATE_TURN_SECONDS = 0.002
# For how many times as long as a late turn nothing is read of long answers, and for how
# long at most, in seconds.
PAUSE_TURNS = 3.0
MAX_PAUSE_SECONDS = 0.02


class ReadTurns:
    """Lets one connection at a time go on, in the order in which they asked.

    At most one does so in a turn of the event loop. While these are short, long answers
    take all of the time that others leave; after a late one they pause. Where
    processors are short, a process that never waits for events gets one later.

    >>> turns = ReadTurns()
    >>> await turns.wait()
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False
        self._scheduled_at = 0.0

    async def wait(self) -> None:
        """Wait for a turn; at least one turn of the event loop passes."""
        loop = asyncio.get_running_loop()
        if not self._is_scheduled:
            # Nobody else waits: the next turn is the caller's.
            self._schedule(loop)
            await asyncio.sleep(0)
            return
        turn = loop.create_future()
        self._waiting.append(turn)
        await turn

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = True
        self._scheduled_at = loop.time()
        loop.call_soon(self._end_turn, loop)

    def _end_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        taken = loop.time() - self._scheduled_at
        if taken > LATE_TURN_SECONDS:
            pause = min(PAUSE_TURNS * taken, MAX_PAUSE_SECONDS)
            loop.call_later(pause, self._give, loop)
        else:
            self._give(loop)

    def _give(self, loop: asyncio.AbstractEventLoop) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():  # Else its task was cancelled.
                turn.set_result(None)
                self._schedule(loop)
                return
        self._is_scheduled = False


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

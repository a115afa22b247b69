"""Answers that are kept until they are whole, and the room that all of them share.

`cranberrywick.routing.answer_limits` decides. See docs/design/answer-limits.md.
"""

import asyncio
from collections import Counter, deque

from cranberrywick.gateway.read_turns import ReadTurns
from cranberrywick.routing.answer_limits import BYTES_PER_TURN, HeldLedger

__all__ = ["HeldAnswers", "HeldBody"]

# How long an answer waits for room before it is forwarded as it comes, in seconds.
# Those without an end have been recognised by then, and give theirs back.
ROOM_SECONDS = 0.25
# Size up to which successive parts of a body are joined, in bytes: each has an overhead
# of some sixty.
BLOCK_BYTES = 65_536
BLOCKS_PER_TURN = BYTES_PER_TURN // BLOCK_BYTES


class HeldAnswers:
    """The room for the answers that this daemon keeps.

    ``too_long_by_bound`` counts the answers that had no end, ``long_routes`` are those
    with whole answers of which a part was forwarded before the end. ``turns`` are
    those in which long answers are read and sent.

    >>> answers = HeldAnswers()
    >>> body = answers.body()
    >>> if await answers.has_room(body, len(part)):
    ...     body.append(part)
    """

    def __init__(self) -> None:
        self._ledger = HeldLedger()
        self._freed = asyncio.Event()
        self.too_long_by_bound: Counter[str] = Counter()
        self.long_routes: set[str] = set()
        self.turns = ReadTurns()

    @property
    def held(self) -> int:
        """How many bytes are kept."""
        return self._ledger.held

    def body(self) -> "HeldBody":
        """Return an empty body whose bytes are counted."""
        return HeldBody(self)

    async def has_room(self, body: "HeldBody", more: int) -> bool:
        """Return whether more of an answer may be kept; wait a moment for room."""
        if self._ledger.admits(body, body.held, more):
            return True
        try:
            async with asyncio.timeout(ROOM_SECONDS):
                while not self._ledger.admits(body, body.held, more):
                    self._freed.clear()
                    await self._freed.wait()
        except TimeoutError:
            return False
        return True

    def add(self, body: "HeldBody", more: int) -> None:
        """Count more bytes of an answer, or fewer if it is negative."""
        self._ledger.add(more)
        if not body.held:
            self._ledger.end(body)
        if more < 0:
            self._freed.set()


class HeldBody:
    """The part of a body that is kept; ``held`` is its length in bytes."""

    def __init__(self, answers: HeldAnswers):
        self._answers = answers
        self._blocks: deque[bytearray] = deque()
        self.held = 0

    def append(self, data: bytes) -> None:
        """Add the next part."""
        if self._blocks and len(self._blocks[-1]) + len(data) <= BLOCK_BYTES:
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))
        self.count(len(data))

    def count(self, more: int) -> None:
        """Count bytes of the answer that are kept elsewhere."""
        self.held += more
        if more:
            self._answers.add(self, more)

    def take(self) -> bytes:
        """Remove and return the first block; empty if there is none."""
        if not self._blocks:
            return b""
        block = self._blocks.popleft()
        self.count(-len(block))
        return bytes(block)

    async def next_turn(self) -> None:
        """Let others have their turns before more blocks of the body are sent."""
        if self._blocks and len(self._blocks) % BLOCKS_PER_TURN == 0:
            await self._answers.turns.wait()

    def release(self) -> None:
        """Drop what is kept."""
        self._blocks.clear()
        self.count(-self.held)

"""Log lines that wait to be written: a bounded queue that drops what matters least.

Load pattern: nobody reads a daemon's output for a while, and what is missing from the
log later should be neither its warnings nor what the daemon did last.
"""

import re
from collections import Counter, deque
from typing import NamedTuple

__all__ = ["LineQueue", "QueuedLine"]

LEVEL = re.compile(rb"\blevel=(\w+)")
# Levels of normal operation, whose lines are dropped first.
PLAIN_LEVELS = frozenset({"debug", "info", "notice"})


class QueuedLine(NamedTuple):
    """A line, with its place in the order of all and when it was queued."""

    number: int
    queued_at: float
    data: bytes


class LineQueue:
    """Up to ``max_lines`` lines of up to ``max_bytes``; `dropped` counts the others.

    A line that has no room takes that of the oldest lines of normal operation, or if
    there are none, of the oldest lines.

    >>> queue = LineQueue(max_lines=2, max_bytes=1000)
    >>> for line in (b"level=error a", b"level=info b", b"level=info c"):
    ...     queue.append(line, 0.0)
    >>> [line.data for line in queue.take(1000)]
    [b'level=error a', b'level=info c']
    >>> queue.dropped
    Counter({'info': 1})
    """

    def __init__(self, max_lines: int, max_bytes: int):
        self._max_lines = max_lines
        self._max_bytes = max_bytes
        self._plain: deque[QueuedLine] = deque()
        self._urgent: deque[QueuedLine] = deque()
        self._appended = 0
        self.bytes = 0
        self.dropped: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._plain) + len(self._urgent)

    def append(self, data: bytes, now: float) -> None:
        """Add a line, and drop others for it if there is no room."""
        line = QueuedLine(self._appended, now, data)
        self._appended += 1
        lines = self._plain if _level(data) in PLAIN_LEVELS else self._urgent
        lines.append(line)
        self.bytes += len(data)
        while len(self) > self._max_lines or self.bytes > self._max_bytes:
            self._drop_oldest()

    def keep_last(self, max_bytes: int) -> None:
        """Drop the oldest lines, whatever their level, until the rest is this short."""
        while self.bytes > max_bytes and len(self) > 1:
            self._drop(self.first())

    def first(self) -> deque[QueuedLine]:
        """Return lines whose first is the oldest of all, or none."""
        if not self._plain or not self._urgent:
            return self._plain or self._urgent
        return min(self._plain, self._urgent, key=_first_number)

    def take(self, max_bytes: int) -> list[QueuedLine]:
        """Remove and return the first lines of this length, one at least."""
        taken = []
        length = 0
        while self:
            lines = self.first()
            length += len(lines[0].data)
            if taken and length > max_bytes:
                break
            taken.append(self._pop(lines))
        return taken

    def _drop_oldest(self) -> None:
        self._drop(self._plain or self._urgent)

    def _drop(self, lines: deque[QueuedLine]) -> None:
        self.dropped[_level(self._pop(lines).data)] += 1

    def _pop(self, lines: deque[QueuedLine]) -> QueuedLine:
        line = lines.popleft()
        self.bytes -= len(line.data)
        return line


def _first_number(lines: deque[QueuedLine]) -> int:
    return lines[0].number


def _level(data: bytes) -> str:
    """Return the level of a log line."""
    match = LEVEL.search(data)
    return match[1].decode() if match else "unknown"

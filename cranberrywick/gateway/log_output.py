"""Log lines on standard output, written without blocking the daemon.

If the reader of the daemon's output stops reading, the pipe fills, and a write would
block the event loop and with it every request. Lines are therefore put in a bounded
queue, from which a separate thread writes them. Lines that do not fit are dropped and
counted, and their count is written once there is room again.
"""

import queue
import re
import threading
import time
from collections import Counter
from typing import NamedTuple, TextIO

__all__ = ["Backlog", "BoundedOutput"]

# Length of the queue, in lines: those of some seconds at a daemon's highest rate. A
# line has at most about 600 bytes.
MAX_LINES = 4000
# Age, in seconds, from which a line that is being written counts as late. On an idle
# machine a line is written within a millisecond.
LATE_SECONDS = 0.1
LEVEL = re.compile(r"\blevel=(\w+)")


class Backlog(NamedTuple):
    """What is queued and not written: lines, characters and the age of the oldest."""

    lines: int = 0
    characters: int = 0
    seconds: float = 0.0


class BoundedOutput:
    """A text stream whose `write` never blocks; ``stream`` gets the text."""

    def __init__(self, stream: TextIO):
        self._stream = stream
        # Each with the moment at which it was queued.
        self._lines: queue.Queue[tuple[float, str]] = queue.Queue(MAX_LINES)
        self._dropped = 0
        self._dropped_by_level: Counter[str] = Counter()
        self._queued_characters = self._written_characters = 0
        self._is_late = False
        # Set while the thread has nothing to write.
        self._idle = threading.Event()
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        thread.start()

    def write(self, text: str) -> int:
        """Queue text, or drop it if the queue is full; return its length.

        The length is returned in both cases, as for any text stream.
        """
        self._idle.clear()
        try:
            self._lines.put_nowait((time.monotonic(), text))
            self._queued_characters += len(text)
        except queue.Full:
            self._dropped += 1
            self._dropped_by_level[_level(text)] += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes whenever the queue is empty."""

    def wait_written(self, seconds: float) -> bool:
        """Wait so long until all lines are written; return whether they are."""
        return self._idle.wait(seconds)

    def backlog(self) -> Backlog:
        """Return what is queued and not written."""
        try:
            queued_at, _ = self._lines.queue[0]
        except IndexError:
            return Backlog()
        return Backlog(
            self._lines.qsize(),
            self._queued_characters - self._written_characters,
            time.monotonic() - queued_at,
        )

    def dropped(self) -> dict[str, float]:
        """Return how many lines of each level were dropped so far."""
        return dict(self._dropped_by_level)

    def _run(self) -> None:
        while True:
            backlog = self.backlog()
            _, text = self._lines.get()
            self._written_characters += len(text)
            if backlog.seconds > LATE_SECONDS and not self._is_late:
                text += (
                    f"event=log_written_late level=warning lines={backlog.lines} "
                    f"characters={backlog.characters} seconds={backlog.seconds:.6g}\n"
                )
            self._is_late = backlog.seconds > LATE_SECONDS
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                text += f"event=log_lines_dropped level=warning count={dropped}\n"
            try:
                self._write(text)
                if self._lines.empty():
                    self._stream.flush()
                    self._idle.set()
            except (OSError, ValueError):
                # The output is closed, and there is nowhere else to report it.
                return

    def _write(self, text: str) -> None:
        try:
            self._stream.write(text)
        except UnicodeError:
            # The output's encoding lacks a character.
            self._stream.write(text.encode("ascii", "backslashreplace").decode())


def _level(text: str) -> str:
    """Return the level of a log line."""
    match = LEVEL.search(text)
    return match[1] if match else "unknown"

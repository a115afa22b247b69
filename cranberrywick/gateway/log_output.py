"""Log lines on standard output, written without blocking the daemon.

If the reader of the daemon's output stops reading, the pipe fills, and a write would
block the event loop and with it every request. Lines are therefore put in a bounded
queue, from which a separate thread writes them. Lines that do not fit are dropped and
counted, and their count is written once there is room again.
"""

import queue
import threading
from typing import TextIO

__all__ = ["BoundedOutput"]

# Length of the queue, in lines: those of some seconds at a daemon's highest rate. A
# line has at most about 600 bytes.
MAX_LINES = 4000


class BoundedOutput:
    """A text stream whose `write` never blocks; ``stream`` gets the text."""

    def __init__(self, stream: TextIO):
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(MAX_LINES)
        self._dropped = 0
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
            self._lines.put_nowait(text)
        except queue.Full:
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes whenever the queue is empty."""

    def wait_written(self, seconds: float) -> bool:
        """Wait so long until all lines are written; return whether they are."""
        return self._idle.wait(seconds)

    def _run(self) -> None:
        while True:
            text = self._lines.get()
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

"""Log lines on standard output that never hold the daemon up.

A reader of our output that stops reading fills the pipe, and the next write blocks
the event loop with every request on it. Lines go through a bounded queue to a thread
of their own; what does not fit is dropped and counted, and the count is written when
there is room again.
"""

import queue
import threading
from typing import TextIO

__all__ = ["BoundedOutput"]

# Some seconds of lines at a daemon's highest rate; a line has at most some 600 bytes.
MAX_LINES = 4000


class BoundedOutput:
    """A text stream whose `write` never waits."""

    def __init__(self, stream: TextIO):
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(MAX_LINES)
        self._dropped = 0
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        thread.start()

    def write(self, text: str) -> int:
        """Take text to be written."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes."""

    def _run(self) -> None:
        while True:
            text = self._lines.get()
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                text += f"event=log_lines_dropped level=warning count={dropped}\n"
            try:
                self._stream.write(text)
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads any more; there is no other place to say so.
                return

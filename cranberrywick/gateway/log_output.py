"""Log lines on standard output, written without blocking the daemon.

If the reader of the daemon's output stops reading, the pipe fills, and a write would
block the event loop and with it every request. Lines are therefore put in a bounded
queue, from which a separate thread writes them. Lines that do not fit are dropped and
counted, and their count is written once there is room again.

The thread writes all that is queued at once, and keeps nothing in a buffer: a process
that is killed loses what it has logged since the thread's last turn.
"""

import json
import os
import select
import stat
import struct
import threading
import time
from collections import Counter
from datetime import UTC, datetime
from fcntl import F_GETPIPE_SZ, fcntl, ioctl
from select import PIPE_BUF
from termios import FIONREAD
from typing import NamedTuple, TextIO

from cranberrywick.gateway.log_queue import LineQueue, QueuedLine

__all__ = ["Backlog", "BoundedOutput"]

# Length of the queue, in lines: those of some seconds at a daemon's highest rate. A
# line has at most about 600 bytes.
MAX_LINES = 4000
# Bytes of the queue: those of as many lines of usual length.
MAX_BYTES = 2_000_000
# Most bytes written at once. A busy event loop lets the thread have a turn each 5 ms,
# and each write ends one.
BATCH_BYTES = 65_536
# Age, in seconds, from which a line that is being written counts as late. On an idle
# machine a line is written within a millisecond.
LATE_SECONDS = 0.1
# Time after which a write that failed is tried again, in seconds. The output may have
# another reader by then, or the disk room.
RETRY_SECONDS = 0.5


class Backlog(NamedTuple):
    """What is not written yet: lines, bytes and the age of the oldest in seconds."""

    lines: int = 0
    bytes: int = 0
    seconds: float = 0.0


class BoundedOutput:
    """A text stream whose `write` never blocks.

    The text is written to the file of ``stream``, past its buffer.
    """

    def __init__(self, stream: TextIO):
        # It would close its file if it was collected.
        self._stream = stream
        self._descriptor = stream.fileno()
        self._is_pipe = stat.S_ISFIFO(os.fstat(self._descriptor).st_mode)
        # Guards all below. It is reentrant, since a destructor that runs while the lock
        # is held may log.
        self._changed = threading.Condition(threading.RLock())
        self._queue = LineQueue(MAX_LINES, MAX_BYTES)
        self._batch: list[QueuedLine] = []
        self._thread_waits = False
        self._is_late = False
        self._told_dropped: Counter[str] = Counter()
        self._error: Exception | None = None
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        thread.start()

    def write(self, text: str) -> int:
        """Queue text, and drop other text if there is no room; return its length.

        The length is returned in both cases, as for any text stream.
        """
        data = text.encode(self._stream.encoding, "backslashreplace")
        with self._changed:
            self._queue.append(data, time.monotonic())
            if self._thread_waits:
                self._thread_waits = False
                self._changed.notify_all()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes without a buffer."""

    def wait_written(self, seconds: float) -> bool:
        """Wait so long until all lines are written; return whether they are."""
        with self._changed:
            return self._changed.wait_for(self._all_written, seconds)

    def finish(self, seconds: float) -> bool:
        """Wait so long for the end of the log; return whether all lines are written.

        If the reader is too slow for all of them, the last ones are written in the
        second half of the time, and the others are dropped.
        """
        if self.wait_written(seconds / 2):
            return True
        with self._changed:
            self._queue.keep_last(PIPE_BUF)
        return self.wait_written(seconds / 2)

    def backlog(self) -> Backlog:
        """Return what is not written yet."""
        with self._changed:
            lines = self._batch or self._queue.first()
            if not lines:
                return Backlog()
            return Backlog(
                len(self._batch) + len(self._queue),
                sum(len(line.data) for line in self._batch) + self._queue.bytes,
                time.monotonic() - lines[0].queued_at,
            )

    def dropped(self) -> dict[str, float]:
        """Return how many lines of each level were dropped so far."""
        with self._changed:
            return dict(self._queue.dropped)

    def _all_written(self) -> bool:
        return not self._batch and not self._queue

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._queue:
                    self._thread_waits = True
                    self._changed.wait()
                self._thread_waits = False
                notices = self._notices()
                self._batch = self._queue.take(self._room() - len(notices))
            self._write(notices + b"".join(line.data for line in self._batch))
            with self._changed:
                self._batch = []
                if not self._queue:
                    self._changed.notify_all()

    def _room(self) -> int:
        """Return how many bytes are written at once.

        A pipe takes that whole or not at all, so that no line is torn by the end of the
        process or by other writers: any number if it is empty, or up to `PIPE_BUF`.
        """
        if not self._is_pipe:
            return BATCH_BYTES
        if self._queue.bytes <= PIPE_BUF:
            return PIPE_BUF
        try:
            (unread,) = struct.unpack("i", ioctl(self._descriptor, FIONREAD, bytes(4)))
            capacity = fcntl(self._descriptor, F_GETPIPE_SZ)
        except OSError:
            return PIPE_BUF
        return PIPE_BUF if unread else min(capacity, BATCH_BYTES)

    def _notices(self) -> bytes:
        """Return lines that tell of the output itself, if there is anything to tell."""
        notices = []
        backlog = self.backlog()
        is_late = backlog.seconds > LATE_SECONDS
        if is_late and not self._is_late:
            notices.append(
                f"event=log_written_late lines={backlog.lines} bytes={backlog.bytes} "
                f"seconds={backlog.seconds:.6g}"
            )
        self._is_late = is_late
        if self._error is not None:
            text = json.dumps(f"{type(self._error).__name__}: {self._error}")
            notices.append(f"event=log_output_failed error={text}")
            self._error = None
        new = self._queue.dropped - self._told_dropped
        if new:
            counts = " ".join(f"{level}={count}" for level, count in new.items())
            notices.append(f"event=log_lines_dropped count={new.total()} {counts}")
            self._told_dropped += new
        if not notices:
            return b""
        moment = (
            datetime.now(UTC).replace(tzinfo=None).isoformat(timespec="milliseconds")
        )
        return "".join(
            f"time={moment}Z level=warning {notice}\n" for notice in notices
        ).encode()

    def _write(self, data: bytes) -> None:
        """Write all data, however long that takes."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[os.write(self._descriptor, rest) :]
            except BlockingIOError:
                self._wait_for_room()
            except (OSError, MemoryError) as error:
                self._error = error
                time.sleep(RETRY_SECONDS)

    def _wait_for_room(self) -> None:
        """Wait until a pipe that another process has made non-blocking has room."""
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        poll.poll()

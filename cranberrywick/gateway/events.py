"""A splitter for server-sent events: only complete events are forwarded."""

import re

from cranberrywick.errors import AnswerTooLong
from cranberrywick.routing.answer_limits import MAX_IDLE_BYTES, AnswerBound

__all__ = ["EventSplitter"]

# Longest event, in bytes; more without the end of an event is not an event stream.
MAX_EVENT_BYTES = 1 << 20
# A line, but no comment, with a field that has a value.
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]++: ?+[^\r\n]")
# How far before its last byte the longest end of an event begins.
SEPARATOR_OVERLAP = 3


class EventSplitter:
    """Splits a byte stream into complete events; keeps the last one's id, counts them.

    An endpoint may stop in the middle of an event, and another one then continues the
    stream. What the caller was sent must end with a complete event, or the first event
    of the second endpoint would be appended to an incomplete one.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.events
    ('1', 1)
    """

    def __init__(self) -> None:
        self._rest = bytearray()
        self._idle_bytes = 0
        self.last_id: str | None = None
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the complete events among those not returned before."""
        rest = self._rest
        if rest:
            begin = max(0, len(rest) - SEPARATOR_OVERLAP)
            rest += data
            end = _end_of_last_event(rest, begin)
            whole = bytes(rest[:end])
            del rest[:end]
        else:
            end = _end_of_last_event(data)
            whole = data[:end]
            rest += data[end:]
        if not whole:
            return b""
        self._record_last_id(whole)
        self.events += whole.count(b"\n\n") + whole.count(b"\r\n\r\n")
        is_idle = _FIELD.search(whole) is None
        self._idle_bytes = self._idle_bytes + len(whole) if is_idle else 0
        return whole

    @property
    def rest_bytes(self) -> int:
        """How long the incomplete event is."""
        return len(self._rest)

    def check_bounds(self) -> None:
        """Raise `AnswerTooLong` for bytes that are no event stream."""
        if self.rest_bytes > MAX_EVENT_BYTES:
            raise AnswerTooLong(AnswerBound.EVENT, self.rest_bytes)
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise AnswerTooLong(AnswerBound.IDLE, self._idle_bytes)

    def flush(self) -> bytes:
        """Return and drop the bytes left over at the end of the stream."""
        rest, self._rest = bytes(self._rest), bytearray()
        return rest

    def _record_last_id(self, whole: bytes) -> None:
        if b"id:" not in whole:
            return
        for line in reversed(whole.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return


def _end_of_last_event(data: bytes | bytearray, begin: int = 0) -> int:
    """Return where the last event that ends after ``begin`` does; 0 if none does."""
    return max(
        _end_of_last(data, b"\n\n", begin), _end_of_last(data, b"\r\n\r\n", begin)
    )


def _end_of_last(data: bytes | bytearray, separator: bytes, begin: int) -> int:
    index = data.rfind(separator, begin)
    return index + len(separator) if index >= 0 else 0

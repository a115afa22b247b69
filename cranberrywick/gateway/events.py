"""A splitter for server-sent events: only complete events are forwarded."""

import re

from cranberrywick.errors import AnswerTooLong
from cranberrywick.routing.answer_limits import MAX_IDLE_BYTES, AnswerBound

__all__ = ["EventSplitter"]

# Longest event, in bytes; more without the end of an event is not an event stream.
MAX_EVENT_BYTES = 1 << 20
# A field that has a value; a line without a name is a comment.
_FIELD = rb"[^:\r\n]++: ?+[^\r\n]"
_FIRST_FIELD = re.compile(_FIELD)
# A pattern that begins with one byte is searched several times as fast as one that
# begins with an alternative.
_FIELD_AFTER = (re.compile(rb"\n" + _FIELD), re.compile(rb"\r" + _FIELD))
_LINE = re.compile(rb"[^\r\n]*+")
_ID_AFTER = (b"\nid:", b"\rid:")
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
        self._idle_bytes = 0 if _has_value(whole) else self._idle_bytes + len(whole)
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
        begin = 1 + max(whole.rfind(end_and_id) for end_and_id in _ID_AFTER)
        if begin or whole.startswith(b"id:"):
            line = _LINE.match(whole, begin)[0]
            self.last_id = line[3:].strip().decode("latin-1")


def _has_value(whole: bytes) -> bool:
    """Return whether complete events have a field with a value."""
    if _FIRST_FIELD.match(whole):
        return True
    return any(pattern.search(whole) for pattern in _FIELD_AFTER)


def _end_of_last_event(data: bytes | bytearray, begin: int = 0) -> int:
    """Return where the last event that ends after ``begin`` does; 0 if none does."""
    return max(
        _end_of_last(data, b"\n\n", begin), _end_of_last(data, b"\r\n\r\n", begin)
    )


def _end_of_last(data: bytes | bytearray, separator: bytes, begin: int) -> int:
    index = data.rfind(separator, begin)
    return index + len(separator) if index >= 0 else 0

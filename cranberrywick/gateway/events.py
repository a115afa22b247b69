"""A splitter for server-sent events: only complete events are forwarded."""

import re

from cranberrywick.errors import AnswerTooLong
from cranberrywick.routing.answer_limits import MAX_IDLE_BYTES, AnswerBound

__all__ = ["EventSplitter"]

# Longest event, in bytes; more without the end of an event is not an event stream.
MAX_EVENT_BYTES = 1 << 20
# The begin of a line that is neither empty nor a comment.
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")


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
        self._rest = b""
        self._idle_bytes = 0
        self.last_id: str | None = None
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the complete events among those not returned before."""
        buffered = self._rest + data
        end = max(_end_of_last(buffered, b"\n\n"), _end_of_last(buffered, b"\r\n\r\n"))
        whole, self._rest = buffered[:end], buffered[end:]
        if whole:
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
        rest, self._rest = self._rest, b""
        return rest

    def _record_last_id(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")


def _end_of_last(data: bytes, separator: bytes) -> int:
    index = data.rfind(separator)
    return index + len(separator) if index >= 0 else 0

"""Server-sent events, split so that only whole ones go on."""

__all__ = ["EventSplitter"]

# A stream of this many bytes without an end of an event is none.
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Cuts a byte stream into whole events and remembers the last event's id.

    An endpoint may break off in the middle of an event. What has been passed on must
    end with a whole one, or the events of the next endpoint would be joined to half
    of an old one.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id
    '1'
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events among all that is held."""
        held = self._rest + data
        end = max(_end_after(held, b"\n\n"), _end_after(held, b"\r\n\r\n"))
        whole, self._rest = held[:end], held[end:]
        if whole:
            self._record(whole)
        return whole

    @property
    def is_too_long(self) -> bool:
        """Whether more is held than any event has."""
        return len(self._rest) > MAX_EVENT_BYTES

    def flush(self) -> bytes:
        """Return what is left after the end of the stream."""
        rest, self._rest = self._rest, b""
        return rest

    def _record(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")


def _end_after(data: bytes, mark: bytes) -> int:
    index = data.rfind(mark)
    return index + len(mark) if index >= 0 else 0

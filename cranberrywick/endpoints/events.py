"""Validation of an answer's server-sent events without decoding each event."""

import json

from cranberrywick.errors import AnswerLost, CranberrywickError
from cranberrywick.routing.answer_limits import MAX_IDLE_BYTES

__all__ = ["MAX_EVENT_BYTES", "EventCheck", "error_event"]

# Largest size of one event.  Most events carry a few tokens; the limit leaves room
# for a large tool call.  If 640 streams each buffer an event that never ends, they
# hold 160 MB.
MAX_EVENT_BYTES = 256 * 1024

# Largest number of digits in an event's number; longer ones are rejected unparsed.
MAX_NUMBER_DIGITS = 18

_EVENT_END = b"\n\n"
_DONE = b"data: [DONE]"


def error_event(error: CranberrywickError, request_id: str) -> bytes:
    """Return the last event of a stream that failed; no ``[DONE]`` follows it.

    The status line has already been sent, so the failure can only be reported
    within the stream.

    >>> error_event(AnswerLost("the stream broke off"), "r1")[:13]
    b'event: error\\n'
    """
    body = json.dumps({"error": error.body(request_id)})
    return f"event: error\ndata: {body}\n\n".encode()


class EventCheck:
    """Validates the events of one answer and returns those that are complete.

    Events are checked as bytes: each must carry the next number (``id: N``) and
    contain the answer's id as a JSON string.  A quotation mark inside a JSON string
    is escaped, so text that a model generates can't imitate the quoted id or the
    ``"usage":`` key.  Only the event with the token usage is decoded.

    Events that were already accepted are dropped; an engine may repeat them after a
    resume.  A gap in the numbers, an event of another request, ``[DONE]`` before any
    token usage, and comments without an end raise `AnswerLost`.

    ``last_event`` is the number of the last accepted event, -1 before the first;
    ``output_tokens`` is the count from the usage event, None before it; ``ended``
    is True once ``[DONE]`` has arrived.

    >>> check = EventCheck("r1", 1)
    >>> check.feed(b'id: 0\\ndata: {"id": "r1.1"}\\n\\nid: 1')
    b'id: 0\\ndata: {"id": "r1.1"}\\n\\n'
    >>> check.last_event, check.ended
    (0, False)
    """

    def __init__(self, request_id: str, attempt: int):
        self._quoted_id = f'"{request_id}.{attempt}"'.encode()
        self._partial = b""
        self.last_event = -1
        self.output_tokens: int | None = None
        self.ended = False
        self._comment_bytes = 0
        self._failure: AnswerLost | None = None

    def feed(self, data: bytes) -> bytes:
        """Validate received bytes and return the complete events among them.

        Bytes of an incomplete event are kept for the next call.  Raises `AnswerLost`
        for an invalid event.  If valid events precede it, they are returned first
        and `raise_pending` raises the error; call it after forwarding them.
        """
        self.raise_pending()
        if self._partial:
            data = self._partial + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._keep_partial(data)
            return b""
        end += len(_EVENT_END)
        self._keep_partial(data[end:])
        if data.find(_EVENT_END) + len(_EVENT_END) == end:
            return data[:end] if self._accept(data[:end]) else b""
        return self._accept_each(data[:end].split(_EVENT_END)[:-1])

    def raise_pending(self) -> None:
        """Raise the failure found after the events that `feed` returned last."""
        if self._failure is not None:
            raise self._failure

    def restart(self) -> None:
        """Discard a partly received event and any pending failure, before a resume."""
        self._partial = b""
        self._comment_bytes = 0
        self._failure = None

    def finish(self) -> None:
        """Raise `AnswerLost` unless the stream has ended with ``[DONE]``.

        A connection closes in the same way whether the answer is complete or
        truncated; a truncated answer must never pass for a short one.
        """
        self.raise_pending()
        if not self.ended:
            raise AnswerLost(f"the stream broke off after event {self.last_event}")

    def _keep_partial(self, partial: bytes) -> None:
        if len(partial) > MAX_EVENT_BYTES:
            raise AnswerLost("an event is larger than the limit")
        self._partial = partial

    def _accept_each(self, events: list[bytes]) -> bytes:
        accepted = []
        try:
            for event in events:
                if self._accept(event):
                    accepted.append(event + _EVENT_END)
        except AnswerLost as failure:
            # `last_event` already counts the accepted events, and a resume starts
            # after it.  They must reach the caller before the failure is raised, or
            # the caller would never receive them.
            if not accepted:
                raise
            self._failure = failure
        return b"".join(accepted)

    def _accept(self, event: bytes) -> bool:
        if self.ended:
            raise AnswerLost("an event came after the end of the stream")
        if event.startswith(b":"):
            # An SSE comment, sent by engines as a keep-alive.
            self._comment_bytes += len(event)
            if self._comment_bytes > MAX_IDLE_BYTES:
                raise AnswerLost("too many comments came without an event")
            return False
        self._comment_bytes = 0
        if event.startswith(_DONE):
            if self.output_tokens is None:
                raise AnswerLost("the stream ended without its token count")
            self.ended = True
            return True
        number = self._parse_number(event)
        if self._quoted_id not in event:
            raise AnswerLost("an event belongs to another request")
        if number <= self.last_event:
            return False
        if number != self.last_event + 1:
            raise AnswerLost(f"event {number} follows event {self.last_event}")
        if b'"usage":' in event and b'"usage": null' not in event:
            self._read_usage(event)
        self.last_event = number
        return True

    def _parse_number(self, event: bytes) -> int:
        line = event[: event.find(b"\n")]
        digits = line[4:]
        if not line.startswith(b"id: ") or not digits.isdigit():
            raise AnswerLost("an event has no number")
        if len(digits) > MAX_NUMBER_DIGITS:
            raise AnswerLost("an event's number is out of range")
        return int(digits)

    def _read_usage(self, event: bytes) -> None:
        payload = event[event.find(b"data: ") + len(b"data: ") :]
        try:
            usage = json.loads(payload)["usage"]
            if usage is not None:
                self.output_tokens = int(usage["completion_tokens"])
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise AnswerLost("an event's token count can't be read") from error

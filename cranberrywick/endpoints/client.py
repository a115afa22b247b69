"""Client that sends a request to one endpoint once and reports whether it ran."""

import json
import socket
import time
from collections.abc import Callable, Iterator, Mapping

from urllib3.response import BaseHTTPResponse

from cranberrywick.endpoints.cancel import cancel_later
from cranberrywick.endpoints.connection import EndpointConnection
from cranberrywick.endpoints.events import EventCheck
from cranberrywick.endpoints.exchange import (
    COMPLETIONS_PATH,
    Call,
    exchange,
    run_with_typed_errors,
)
from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    EndpointRefused,
)
from cranberrywick.external.bounded_http import has_marked_end
from cranberrywick.fields import FIELD_ERRORS
from cranberrywick.model import EndpointRefusal
from cranberrywick.routing.answer_limits import MAX_ANSWER_BYTES

__all__ = [
    "COMPLETIONS_PATH",
    "Answer",
    "Call",
    "send",
]

MAX_REFUSAL_BYTES = 4096
READ_BYTES = 65536
# Upper bound on an endpoint's ``Retry-After``, in seconds; larger values are capped.
MAX_RETRY_AFTER_SECONDS = 3600.0
# Number of times that one stream is resumed.
RESUME_ATTEMPTS = 2

# Statuses of answers that have no body, whatever their headers say.
BODILESS_STATUSES = (204, 304)

# Error types of a 503 that state that the endpoint did not run the request.
_REFUSALS = {
    reason.value: reason
    for reason in (EndpointRefusal.COLD, EndpointRefusal.LEAVING, EndpointRefusal.FULL)
}


class Answer:
    """An answer whose headers have arrived and carry the ids of its call.

    `chunks` yields the body.  Of a stream, only complete events are yielded, and a
    stream that breaks off is resumed after the last of them; `AnswerLost` is raised
    when that fails.  Close the answer on every path: closing an unfinished stream
    cancels it at the endpoint.

    ``deadline`` is in seconds of `time.monotonic`.  ``check`` validates the events
    of a stream and is None for any other answer.
    """

    def __init__(
        self,
        address: str,
        call: Call,
        deadline: float,
        connection: EndpointConnection,
        response: BaseHTTPResponse,
    ):
        # Called with the length of each part of a body that is no stream.
        self.on_part: Callable[[int], object] = lambda size: None
        self.address = address
        self.call = call
        self.deadline = deadline
        self.check: EventCheck | None = None
        if call.stream and _is_event_stream(response):
            self.check = EventCheck(call.request_id, call.attempt)
        self._connection = connection
        self._response = response
        self._complete = False
        self._resumes = 0
        self._completion_output_tokens = 0

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """The answer's headers; names are case-insensitive."""
        return self._response.headers

    @property
    def output_tokens(self) -> int:
        """Number of generated tokens that the endpoint reports.

        It is 0 until the report arrives, which is at the end of the answer.
        """
        if self.check is not None:
            return self.check.output_tokens or 0
        return self._completion_output_tokens

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; a plain completion comes in one piece.

        Raises `TimedOut` when the deadline passed and `AnswerLost` when the answer
        is incomplete or invalid.  When the connection broke, raises `AmbiguousSend`
        for a call that is not idempotent.
        """
        if self.check is not None:
            yield from self._iter_events(self.check)
        elif self.call.is_completion and self.status == 200:
            yield self._read_completion()
        else:
            yield from self._iter_body()
        self.mark_completed()

    def cancel(self) -> None:
        """Close the connection and end the stream, so that the engine frees memory.

        The engine also detects the closed connection, but only at its next write;
        during a long prefill that is much later.
        """
        self.close_connection()
        if self._complete or not self.call.is_completion:
            return
        self._complete = True
        cancel_later(self.address, self.call.stream_id)

    def close(self) -> None:
        """Close the connection and cancel a completion that has not ended."""
        self.cancel()

    def close_connection(self) -> None:
        """Close the connection without a cancel."""
        self._response.close()
        self._connection.close()

    def release(self) -> tuple[socket.socket, bytes]:
        """Return the connection's socket, now non-blocking, for use by the relay.

        The second value holds the raw bytes of the body that were already read.
        """
        return self._connection.release()

    def resume(self) -> None:
        """Reconnect to a broken stream after the last complete event.

        The engine numbers its events, so that the caller receives each one once.
        Raises `AnswerLost` when the stream can't be resumed or has been resumed
        `RESUME_ATTEMPTS` times.
        """
        check = self.check
        if check is None or check.ended or self._resumes == RESUME_ATTEMPTS:
            raise AnswerLost("the stream broke off")
        self._resumes += 1
        self.close_connection()
        check.restart()
        path = f"/v1/streams/{self.call.stream_id}?after={check.last_event}"
        call = self.call._replace(
            method="GET", path=path, body=b"", headers={}, idempotent=True
        )
        try:
            self._connection, self._response = exchange(
                self.address, call, self.deadline
            )
        except EndpointRefused as error:
            raise AnswerLost("the broken stream could not be resumed") from error
        if self._response.status != 200:
            raise AnswerLost("the broken stream is gone")

    def mark_completed(self) -> None:
        """Record that the whole answer was forwarded; `close` then cancels nothing."""
        self._complete = True

    def _read_completion(self) -> bytes:
        """Return a completion that is not streamed, after checking its id and usage."""
        body = b"".join(self._iter_body())
        try:
            document = json.loads(body)
            answer_id = document["id"]
            self._completion_output_tokens = int(document["usage"]["completion_tokens"])
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise AnswerLost("the answer is not a whole completion") from error
        if answer_id != self.call.stream_id:
            raise AnswerLost("the answer belongs to another request")
        return body

    def _iter_body(self) -> Iterator[bytes]:
        received = 0
        while data := run_with_typed_errors(self._read, self.call):
            received += len(data)
            if received > MAX_ANSWER_BYTES:
                raise AnswerLost("the answer is larger than the limit")
            if self.check is None:
                self.on_part(len(data))
            yield data
        has_body = self.call.method != "HEAD" and self.status not in BODILESS_STATUSES
        if has_body and not has_marked_end(self._response):
            raise AnswerLost("nothing tells a whole answer from a cut one")

    def _read(self) -> bytes:
        return self._response.read1(READ_BYTES)

    def _iter_events(self, check: EventCheck) -> Iterator[bytes]:
        while True:
            try:
                yield from self._events_until_break(check)
                return
            except (AnswerLost, AmbiguousSend):
                self.resume()

    def _events_until_break(self, check: EventCheck) -> Iterator[bytes]:
        for data in self._iter_body():
            if events := check.feed(data):
                yield events
            check.raise_pending()
        check.finish()


def send(address: str, call: Call) -> Answer:
    """Send ``call`` to ``address`` once; return the answer when its headers arrive.

    Raises `EndpointRefused` when the call did not run, because there was no
    connection or because the endpoint refused it with a typed error.  After the
    first byte was sent, any other failure leaves unknown whether the call ran:
    `TimedOut`, `AmbiguousSend` or `AnswerLost`, with ``executed`` unknown.  The call
    is never sent again and no redirect is followed.
    """
    deadline = time.monotonic() + call.remaining_seconds
    connection, response = exchange(address, call, deadline)
    if response.status == 503:
        _raise_refusal(connection, response, call)
    return Answer(address, call, deadline, connection, response)


def _raise_refusal(
    connection: EndpointConnection, response: BaseHTTPResponse, call: Call
) -> None:
    """Raise `EndpointRefused` for a typed refusal, `AmbiguousSend` for any other 503.

    An untyped 503 may come from an intermediary that timed out after the endpoint
    had received the request; only a typed refusal means that the call did not run.
    """
    body = run_with_typed_errors(lambda: response.read1(MAX_REFUSAL_BYTES), call)
    connection.close()
    try:
        reason = _REFUSALS.get(json.loads(body)["error"]["type"])
    except FIELD_ERRORS:
        reason = None
    if reason is None:
        raise AmbiguousSend("the endpoint answered 503 without saying why")
    raise EndpointRefused(
        f"the endpoint refused: {reason.value}",
        reason=reason,
        retry_after=_parse_retry_after(response.headers.get("Retry-After")),
    )


def _parse_retry_after(value: str | None) -> float | None:
    if value is None or not (value.isascii() and value.isdigit()):
        return None
    return min(float(value), MAX_RETRY_AFTER_SECONDS)


def _is_event_stream(response: BaseHTTPResponse) -> bool:
    content_type = response.headers.get("Content-Type", "")
    return response.status == 200 and content_type.startswith("text/event-stream")

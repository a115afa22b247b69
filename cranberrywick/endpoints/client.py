"""Sends one request to one endpoint, once, and says whether it ran."""

import json
import socket
import time
from collections.abc import Iterator, Mapping

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
from cranberrywick.model import EndpointRefusal

__all__ = [
    "COMPLETIONS_PATH",
    "MAX_ANSWER_BYTES",
    "Answer",
    "Call",
    "send",
]

# A million output tokens of some 60 bytes an event; no honest answer is larger.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_REFUSAL_BYTES = 4096
READ_BYTES = 65536
# An endpoint that asks for more than this is not waited for.
MAX_RETRY_AFTER_SECONDS = 3600.0
RESUME_ATTEMPTS = 2

# The words by which an endpoint says that it did not run a request.
_REFUSALS = {
    reason.value: reason
    for reason in (EndpointRefusal.COLD, EndpointRefusal.LEAVING, EndpointRefusal.FULL)
}


class Answer:
    """An answer whose head has arrived and belongs to its call.

    `chunks` yields the body.  A stream is passed on event by event and is resumed
    where it broke off; what can't be resumed is `AnswerLost`.  Close the answer on
    every path: closing an unfinished stream cancels it at the endpoint.
    """

    def __init__(
        self,
        address: str,
        call: Call,
        deadline: float,
        connection: EndpointConnection,
        response: BaseHTTPResponse,
    ):
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
        self._plain_output_tokens = 0

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """The answer's headers; names compare without case."""
        return self._response.headers

    @property
    def output_tokens(self) -> int:
        """Tokens that the endpoint says it generated; 0 until the answer's end."""
        if self.check is not None:
            return self.check.output_tokens or 0
        return self._plain_output_tokens

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises `TimedOut`, `AnswerLost`, or `AmbiguousSend` when a call that is not
        idempotent broke off.
        """
        if self.check is not None:
            yield from self._events(self.check)
        elif self.call.is_completion and self.status == 200:
            yield self._whole_completion()
        else:
            yield from self._body()
        self.completed()

    def cancel(self) -> None:
        """Stop the stream at the endpoint, so that it frees its memory.

        The engine also notices the closed connection, but only when it next
        writes; in a long prefill that is much later.
        """
        self.close_connection()
        if self._complete or not self.call.is_completion:
            return
        self._complete = True
        cancel_later(self.address, self.call.stream_id)

    def close(self) -> None:
        """Release the connection; cancels a stream that has not ended."""
        self.cancel()

    def close_connection(self) -> None:
        """Close the connection only."""
        self._response.close()
        self._connection.close()

    def release(self) -> tuple[socket.socket, bytes]:
        """Hand the connection's socket, non-blocking, to the relay.

        Returned with it are the raw bytes of the body that were already read.
        """
        return self._connection.release()

    def resume(self) -> None:
        """Take up a broken stream after the last whole event, or raise `AnswerLost`.

        The engine numbers its events, so that the caller gets each one once.
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

    def completed(self) -> None:
        """Note that the whole answer has been passed on."""
        self._complete = True

    def _whole_completion(self) -> bytes:
        """Return a plain completion once it is known to be this call's, and whole."""
        body = b"".join(self._body())
        try:
            document = json.loads(body)
            answer_id = document["id"]
            self._plain_output_tokens = int(document["usage"]["completion_tokens"])
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise AnswerLost("the answer is not a whole completion") from error
        if answer_id != self.call.stream_id:
            raise AnswerLost("the answer belongs to another request")
        return body

    def _body(self) -> Iterator[bytes]:
        received = 0
        while data := run_with_typed_errors(self._read, self.call):
            received += len(data)
            if received > MAX_ANSWER_BYTES:
                raise AnswerLost("the answer is larger than the limit")
            yield data
        if received and not _states_its_end(self._response):
            raise AnswerLost("nothing tells a whole answer from a cut one")

    def _read(self) -> bytes:
        return self._response.read1(READ_BYTES)

    def _events(self, check: EventCheck) -> Iterator[bytes]:
        while True:
            try:
                yield from self._events_until_break(check)
                return
            except (AnswerLost, AmbiguousSend):
                self.resume()

    def _events_until_break(self, check: EventCheck) -> Iterator[bytes]:
        for data in self._body():
            if events := check.feed(data):
                yield events
            check.raise_pending()
        check.finish()


def send(address: str, call: Call) -> Answer:
    """Send ``call`` to ``address`` once and return its answer's head.

    Raises `EndpointRefused` when nothing ran: no connection, or the endpoint's own
    typed refusal.  Any failure after the first byte was sent leaves open whether
    the call ran: `TimedOut`, `AmbiguousSend` or `AnswerLost`, with ``executed``
    unknown.  Nothing is sent a second time and no redirect is followed.
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

    A plain 503 may come from something between that gave up waiting, after the
    endpoint took the request; only the endpoint's own word means "not run".
    """
    body = run_with_typed_errors(lambda: response.read1(MAX_REFUSAL_BYTES), call)
    connection.close()
    try:
        reason = _REFUSALS.get(json.loads(body)["error"]["type"])
    except (ValueError, TypeError, KeyError):
        reason = None
    if reason is None:
        raise AmbiguousSend("the endpoint answered 503 without saying why")
    raise EndpointRefused(
        f"the endpoint refused: {reason.value}",
        reason=reason,
        retry_after=_seconds(response.headers.get("Retry-After")),
    )


def _seconds(value: str | None) -> float | None:
    if value is None or not (value.isascii() and value.isdigit()):
        return None
    return min(float(value), MAX_RETRY_AFTER_SECONDS)


def _states_its_end(response: BaseHTTPResponse) -> bool:
    """Whether a body that was cut could not pass for a whole one."""
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "")
    return chunked or "Content-Length" in response.headers


def _is_event_stream(response: BaseHTTPResponse) -> bool:
    content_type = response.headers.get("Content-Type", "")
    return response.status == 200 and content_type.startswith("text/event-stream")

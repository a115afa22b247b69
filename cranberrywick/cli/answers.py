"""Read the service's answers to a caller: a stream, a body or an error."""

import json
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from cranberrywick.errors import AnswerLost, CranberrywickError, ErrorBody
from cranberrywick.external.bounded_http import has_marked_end
from cranberrywick.model import Executed

__all__ = ["ServiceError", "StreamedAnswer", "read_body", "read_error", "read_stream"]

# Most bytes of a stream that one read returns.
READ_BYTES = 65_536
REQUEST_ID_HEADER = "X-Request-Id"
END_MARK = "[DONE]"


class ServiceError(CranberrywickError):
    """A failure that the service reported in the body of its answer or in a stream."""

    def __init__(self, body: dict[str, Any], status: int, retry_after: float | None):
        super().__init__(
            str(body["message"]),
            retry_after=retry_after,
            executed=Executed(body["executed"]),
        )
        self.type = str(body["type"])
        self.status = status
        self.request_id = str(body["request_id"])


class StreamedAnswer(NamedTuple):
    """A stream that was received up to its end mark; the usage may be missing."""

    text: str
    output_tokens: int | None


def read_body(response: BaseHTTPResponse) -> bytes:
    """Return the whole body; raise `AnswerLost` when reading it fails.

    A body whose end isn't marked may have been cut.
    """
    # Nothing is to come also after 204, 304 and the request method HEAD.
    if response.length_remaining != 0 and not has_marked_end(response):
        raise AnswerLost("nothing tells a whole answer from a cut one")
    try:
        return response.read()
    except HTTPError as error:
        raise AnswerLost(
            f"reading the answer failed: {type(error).__name__}"
        ) from error


def read_error(response: BaseHTTPResponse) -> ServiceError:
    """Return the failure that an answer with a status other than 2xx reports.

    Raise `AnswerLost` when the body is not an error body of the service: something
    else, such as a proxy, answered, and whether the request ran is unknown.
    """
    data = read_body(response)
    try:
        retry_after = response.headers.get("Retry-After")
        retry_after_seconds = None if retry_after is None else float(retry_after)
        return ServiceError(
            json.loads(data)["error"], response.status, retry_after_seconds
        )
    except (ValueError, KeyError, TypeError) as error:
        message = f"status {response.status} without the service's error body"
        raise AnswerLost(message) from error


def read_stream(
    response: BaseHTTPResponse, on_text: Callable[[str], None]
) -> StreamedAnswer:
    """Return a streamed completion; call ``on_text`` with each piece as it arrives.

    Raise `ServiceError` for a failure that the stream reports. Raise `AnswerLost`
    for a stream that ends without its end mark, because a lost connection would
    otherwise look like a short answer.
    """
    pieces: list[str] = []
    output_tokens = None
    for data in _iter_event_data(response):
        if data == END_MARK:
            return StreamedAnswer("".join(pieces), output_tokens)
        event = _parse_event(data)
        if event.error is not None:
            raise ServiceError(event.error, response.status, None)
        if event.output_tokens is not None:
            output_tokens = event.output_tokens
        if event.text:
            pieces.append(event.text)
            on_text(event.text)
    raise AnswerLost("the stream ended without its end mark")


class _Event(NamedTuple):
    text: str = ""
    output_tokens: int | None = None
    error: dict[str, Any] | None = None


def _parse_event(data: str) -> _Event:
    try:
        document = json.loads(data)
        if "error" in document:
            error = document["error"]
            Executed(error["executed"])
            return _Event(
                error={name: error[name] for name in ErrorBody.__annotations__}
            )
        usage = document.get("usage") or {}
        pieces = [choice["delta"].get("content") for choice in document["choices"]]
        return _Event("".join(filter(None, pieces)), usage.get("completion_tokens"))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise AnswerLost("an event of the stream could not be parsed") from error


def _iter_event_data(response: BaseHTTPResponse) -> Iterator[str]:
    return (
        line.removeprefix("data:").strip()
        for line in _iter_lines(response)
        if line.startswith("data:")
    )


def _iter_lines(response: BaseHTTPResponse) -> Iterator[str]:
    incomplete_line = b""
    while chunk := _read_chunk(response):
        *complete_lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
        yield from (line.decode(errors="replace") for line in complete_lines)


def _read_chunk(response: BaseHTTPResponse) -> bytes:
    try:
        return response.read1(READ_BYTES)
    except HTTPError as error:
        raise AnswerLost(
            f"reading the stream failed: {type(error).__name__}"
        ) from error

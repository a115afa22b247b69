"""Sending one request on its own connection and reading its response headers."""

import time
from collections.abc import Callable, Mapping
from http.client import HTTPException
from typing import NamedTuple

from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from cranberrywick.endpoints.cancel import cancel_later
from cranberrywick.endpoints.connection import EndpointConnection, connect
from cranberrywick.errors import AmbiguousSend, AnswerLost, TimedOut

__all__ = ["COMPLETIONS_PATH", "Call", "exchange", "run_with_typed_errors"]

COMPLETIONS_PATH = "/v1/chat/completions"


class Call(NamedTuple):
    """One attempt to run a request at an endpoint.

    ``remaining_seconds`` is the time left until the request's deadline; it bounds
    connecting, the wait for the first byte and all reads together. ``disconnected``
    returns whether the caller has closed its connection; waiting then ends with
    `CallerGone`. ``owner`` is sent as ``X-Owner`` unless it is empty; the engine
    lists it with the stream, so that the sweep finds streams whose owner is gone.
    """

    request_id: str
    attempt: int
    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    remaining_seconds: float
    idempotent: bool
    stream: bool
    disconnected: Callable[[], bool] | None = None
    owner: str = ""

    @property
    def is_completion(self) -> bool:
        """Whether an engine generates the answer, so that it can be cancelled."""
        return self.path == COMPLETIONS_PATH

    @property
    def stream_id(self) -> str:
        """The id under which the endpoint lists the answer's stream."""
        return f"{self.request_id}.{self.attempt}"


def exchange(
    address: str, call: Call, deadline: float
) -> tuple[EndpointConnection, BaseHTTPResponse]:
    """Send a call on its own connection and return once the headers have arrived.

    The body of the returned response is not read yet. ``deadline`` is in seconds of
    `time.monotonic`.

    Raises what `run_with_typed_errors` raises, `EndpointRefused` when no connection
    was made, and `AnswerLost` when the answer carries the ids of another attempt. On
    any failure after connecting, the connection is closed and a completion is
    cancelled at the engine.
    """
    connection = connect(address, deadline, call.disconnected)
    try:
        response = run_with_typed_errors(
            lambda: _request(connection, call, deadline), call
        )
        _check_attempt_ids(response, call)
    except BaseException:
        # Nothing may read the answer of a failed call that arrives later.
        connection.close()
        if call.is_completion:
            cancel_later(address, call.stream_id)
        raise
    return connection, response


def _request(
    connection: EndpointConnection, call: Call, deadline: float
) -> BaseHTTPResponse:
    headers = {
        **call.headers,
        "X-Request-Id": call.request_id,
        "X-Attempt": str(call.attempt),
        "X-Remaining-Seconds": f"{deadline - time.monotonic():.3f}",
        "Connection": "close",
    }
    if call.owner:
        headers["X-Owner"] = call.owner
    connection.request(
        call.method,
        call.path,
        body=call.body or None,
        headers=headers,
        preload_content=False,
    )
    return connection.getresponse()


def run_with_typed_errors(operation: Callable, call: Call):
    """Run ``operation`` and translate the libraries' exceptions into typed errors.

    Raises `TimedOut` when the deadline passed.  When the connection broke, raises
    `AnswerLost` for an idempotent call and `AmbiguousSend` for any other.
    """
    try:
        return operation()
    except TimeoutError as error:
        raise TimedOut("the endpoint did not answer in time") from error
    except (OSError, HTTPException, HTTPError) as error:
        if isinstance(error.__cause__ or error.__context__, TimeoutError):
            raise TimedOut("the endpoint did not answer in time") from error
        if call.idempotent:
            raise AnswerLost(f"the connection broke: {error}") from error
        raise AmbiguousSend(f"the connection broke: {error}") from error


def _check_attempt_ids(response: BaseHTTPResponse, call: Call) -> None:
    """Raise `AnswerLost` when an answer does not carry this attempt's ids.

    An endpoint or an intermediary that mixes up connections delivers the answer to
    another request.  Without this check, the caller would receive another caller's
    text.
    """
    echoed = (response.headers.get("X-Request-Id"), response.headers.get("X-Attempt"))
    if echoed != (call.request_id, str(call.attempt)):
        raise AnswerLost("the answer belongs to another request")

"""The HTTP front: a WSGI application that passes requests to the filter chains."""

import json
import time
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from math import ceil
from urllib.parse import parse_qsl
from uuid import uuid4

from cranberrywick.configuration.document import Configuration
from cranberrywick.configuration.operator_api import PREFIX as OPERATOR_PREFIX
from cranberrywick.configuration.operator_api import OperatorApi
from cranberrywick.errors import (
    CranberrywickError,
    Draining,
    NotFound,
    PlatformUnavailable,
)
from cranberrywick.filters.chain import FilterChain
from cranberrywick.filters.exchange import CallerStream, Exchange, Response, Write
from cranberrywick.filters.identify import find_organisation
from cranberrywick.filters.service_call import SERVICES_PREFIX
from cranberrywick.logs import EventLog

__all__ = ["Front", "status_line"]

# Reason phrases that the standard library lacks (499, for a caller that disconnected)
# or that differ between its versions.
PHRASES_BY_CODE = {
    413: "Content Too Large",
    422: "Unprocessable Content",
    499: "Client Closed Request",
}

JSON_TYPE = "application/json"

# ``Retry-After``, in seconds, of a daemon that has no configuration yet and therefore
# serves nobody. Another entry may have one already.
NOT_READY_RETRY_SECONDS = 1.0

StartResponse = Callable[[str, list[tuple[str, str]]], object]


def status_line(code: int) -> str:
    """Return the status line of a code: the code and its reason phrase.

    A plain service may answer with any code; one without a phrase is "Unnamed".

    >>> status_line(403)
    '403 Forbidden'
    """
    try:
        phrase = PHRASES_BY_CODE.get(code) or HTTPStatus(code).phrase
    except ValueError:
        phrase = "Unnamed"
    return f"{code} {phrase}"


class Front:
    """The WSGI application of one daemon.

    ``configuration`` returns the configuration in force or None; ``entries`` returns
    the answer to an organisation's ``GET /v1/entries``; ``readiness`` returns whether
    callers should be sent to this daemon, with the version of its configuration;
    ``metrics_text`` and ``burn`` return the metrics and the burn report; ``closed``
    returns whether every new request is to be refused.
    """

    def __init__(
        self,
        completions: FilterChain,
        services: FilterChain,
        configuration: Callable[[], Configuration | None],
        entries: Callable[[str], dict],
        readiness: Callable[[], dict],
        metrics_text: Callable[[], bytes],
        operator: OperatorApi,
        burn: Callable[[], dict],
        closed: Callable[[], bool],
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._completions = completions
        self._services = services
        self._configuration = configuration
        self._entries = entries
        self._readiness = readiness
        self._metrics_text = metrics_text
        self._operator = operator
        self._burn = burn
        self._closed = closed
        self._log = log
        self._clock = clock

    def __call__(
        self, environ: Mapping[str, object], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request, as WSGI calls an application."""
        request_id = uuid4().hex

        def begin(status: int, headers: list[tuple[str, str]]) -> Write:
            headers = [*headers, ("X-Request-Id", request_id)]
            return start_response(status_line(status), headers)

        caller = CallerStream(begin)
        response = self._answer(environ, request_id, caller)
        if caller.started:
            return []
        begin(response.status, response.headers)
        return [response.body]

    def _answer(
        self, environ: Mapping[str, object], request_id: str, caller: CallerStream
    ) -> Response:
        """Return the response; an error in a stream is sent as a last event."""
        try:
            return self._route(environ, request_id, caller)
        except CranberrywickError as error:
            failure = error
        except Exception as error:
            self._log.error("request_crashed", request_id=request_id, error=error)
            failure = CranberrywickError("the daemon failed; its log has the cause")
        response = self._error_response(environ, request_id, failure)
        if caller.started:
            _write_error_event(caller, response.body)
        return response

    def _route(
        self, environ: Mapping[str, object], request_id: str, caller: CallerStream
    ) -> Response:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if self._closed():
            # The listener is closed, so the request came over a connection kept open.
            # A client that went on using it would prevent the daemon from stopping.
            raise Draining("use another entry", retry_after=0.0)
        if path == "/v1/chat/completions" and method == "POST":
            exchange = self._exchange(environ, request_id, caller)
            return self._completions.run(exchange)
        if path.startswith(SERVICES_PREFIX):
            exchange = self._exchange(environ, request_id, caller)
            return self._services.run(exchange)
        if path.startswith(OPERATOR_PREFIX):
            return self._answer_operator(environ, request_id)
        if method == "GET":
            return self._get(path, environ)
        raise NotFound(f"no call {method} {path}")

    def _get(self, path: str, environ: Mapping[str, object]) -> Response:
        if path == "/healthz":
            return _json_response(200, {"status": "alive"})
        if path == "/readyz":
            readiness = self._readiness()
            return _json_response(200 if readiness["ready"] else 503, readiness)
        if path == "/metrics":
            return _response(200, "text/plain; version=0.0.4", self._metrics_text())
        if path == "/v1/entries":
            return _json_response(200, self._entries(self._organisation(environ)))
        if path == "/v1/models":
            self._organisation(environ)
            return _json_response(200, self._models())
        raise NotFound(f"no call GET {path}")

    def _organisation(self, environ: Mapping[str, object]) -> str:
        configuration = self._configuration_in_force()
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        return find_organisation(configuration, authorization)

    def _models(self) -> dict:
        names = sorted(self._configuration().models_by_name)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "cranberrywick"}
            for name in names
        ]
        return {"object": "list", "data": models}

    def _answer_operator(
        self, environ: Mapping[str, object], request_id: str
    ) -> Response:
        operator = self._operator.authorise(environ.get("HTTP_AUTHORIZATION"))
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if (method, path) == ("GET", OPERATOR_PREFIX + "burn"):
            return _json_response(200, self._burn())
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        body = _body(environ)
        status, document = self._operator.handle(
            method, path, query, body, operator, request_id
        )
        return _json_response(status, document)

    def _configuration_in_force(self) -> Configuration:
        configuration = self._configuration()
        if configuration is None:
            raise PlatformUnavailable(
                "this daemon has no configuration yet",
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        return configuration

    def _exchange(
        self, environ: Mapping[str, object], request_id: str, caller: CallerStream
    ) -> Exchange:
        return Exchange(
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers_by_name=_headers_by_name(environ),
            body=_body(environ),
            arrived=self._clock(),
            configuration=self._configuration_in_force(),
            caller_gone=environ.get("waitress.client_disconnected", lambda: False),
            caller=caller,
        )

    def _error_response(
        self, environ: Mapping[str, object], request_id: str, error: CranberrywickError
    ) -> Response:
        self._log.info(
            "request_failed",
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            status=error.status,
            type=error.type,
            executed=error.executed.value,
            reason=error.message,
        )
        response = _json_response(error.status, {"error": error.body(request_id)})
        if error.retry_after is not None:
            # Whole seconds, rounded up: a caller that retries too early would find
            # the queue as full as before.
            retry_after = str(max(1, ceil(error.retry_after)))
            response.headers.append(("Retry-After", retry_after))
        return response


def _write_error_event(caller: CallerStream, body: bytes) -> None:
    """End a stream with an event that holds the error.

    The status line has been sent by then. Without the event, a client that does not
    check for ``[DONE]`` would mistake the failed stream for a short answer.
    """
    try:
        caller.write(b"event: error\ndata: " + body.strip() + b"\n\n")
    except Exception:
        # The caller has disconnected, often the cause of the error itself. The
        # server's exception for it is private, so that it can't be caught by name.
        return


def _headers_by_name(environ: Mapping[str, object]) -> dict[str, str]:
    headers = {
        key.removeprefix("HTTP_").replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def _body(environ: Mapping[str, object]) -> bytes:
    return environ["wsgi.input"].read()


def _response(status: int, content_type: str, body: bytes) -> Response:
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    return Response(status, headers, body)


def _json_response(status: int, document: dict) -> Response:
    body = json.dumps(document).encode() + b"\n"
    return _response(status, JSON_TYPE, body)

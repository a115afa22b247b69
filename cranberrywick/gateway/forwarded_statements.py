"""What daemons state to each other about a request that one forwards to another.

The request travels as the caller's own HTTP message, and the answer as the endpoint's.
Each bears one header more: a Cap'n Proto message, encoded as text.
"""

import zlib
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import Any, NamedTuple

import capnp

from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    CranberrywickError,
    Draining,
    EndpointRefused,
    NotFound,
    Overloaded,
    PeerMessageInvalid,
    PlatformUnavailable,
    RequestQuarantined,
    TimedOut,
    Unauthorised,
)
from cranberrywick.gateway.heartbeat_rows import milliseconds
from cranberrywick.gateway.schema import SCHEMA, pack, unpack
from cranberrywick.model import EndpointRefusal, Executed

__all__ = [
    "STATEMENT_HEADER",
    "STATEMENT_HEADER_BYTES",
    "AnswerStatement",
    "RequestStatement",
    "decode_answer_statement",
    "decode_request_statement",
    "encode_answer_statement",
    "encode_request_statement",
    "take_statement",
]

STATEMENT_HEADER = b"Forwarding-Statement"
# Largest value of the header, in bytes: a few hundred ids of endpoints.
STATEMENT_HEADER_BYTES = 32_768

_ERRORS = (
    AmbiguousSend,
    AnswerLost,
    Draining,
    EndpointRefused,
    NotFound,
    Overloaded,
    PlatformUnavailable,
    RequestQuarantined,
    TimedOut,
    Unauthorised,
)
_ERRORS_BY_TYPE: dict[str, type[CranberrywickError]] = {e.type: e for e in _ERRORS}
# As daemons of an earlier build call it.
_ERRORS_BY_TYPE["prompt_quarantined"] = RequestQuarantined

Headers = list[tuple[bytes, bytes]]


class RequestStatement(NamedTuple):
    """What a daemon states about a request that it forwards.

    ``elapsed`` and ``remaining`` are the seconds since its arrival and until its
    deadline. ``version`` is the configuration by which it was routed to ``service``.
    It was sent to ``sent_ids`` already and may not be sent to ``excluded_ids`` or to
    the ``domains_out``. ``last_event_id`` and ``weights_version`` are those of a stream
    that goes on. ``ends`` says that the daemon itself ends after the remaining time.
    """

    daemon_id: str
    elapsed: float
    remaining: float
    version: int
    service: str
    sent_ids: tuple[str, ...] = ()
    excluded_ids: tuple[str, ...] = ()
    domains_out: tuple[str, ...] = ()
    last_event_id: str | None = None
    weights_version: str | None = None
    ends: bool = False


class AnswerStatement(NamedTuple):
    """What a peer states about its answer to a forwarded request.

    ``endpoint_id`` and ``born`` are the start of the endpoint that it sent the request
    to, empty and 0 if it sent it to none. ``error`` says why there is no answer of that
    endpoint, None if there is, and ``at_fault_id`` which endpoint caused that.
    """

    endpoint_id: str = ""
    born: int = 0
    error: CranberrywickError | None = None
    at_fault_id: str = ""


def take_statement(headers: Headers) -> tuple[bytes | None, Headers]:
    """Return the last value of the header, None without one, and the other headers.

    A caller or an endpoint may use the same name; the daemon adds its own at the end.
    """
    name = STATEMENT_HEADER.lower()
    for position in range(len(headers) - 1, -1, -1):
        if headers[position][0].lower() == name:
            return headers[position][1], headers[:position] + headers[position + 1 :]
    return None, headers


def encode_request_statement(statement: RequestStatement) -> bytes:
    """Return the header's value for a request."""
    return _encode(
        SCHEMA.ForwardedRequest.new_message(
            daemonId=statement.daemon_id,
            elapsedMs=milliseconds(statement.elapsed),
            remainingMs=milliseconds(statement.remaining),
            version=statement.version,
            service=statement.service,
            sentIds=list(statement.sent_ids),
            excludedIds=list(statement.excluded_ids),
            domainsOut=list(statement.domains_out),
            lastEventId=statement.last_event_id or "",
            weightsVersion=statement.weights_version or "",
            ends=statement.ends,
        )
    )


def decode_request_statement(value: bytes | None) -> RequestStatement:
    """Return what a forwarded request states; raises `PeerMessageInvalid`."""

    def read(message: Any) -> RequestStatement:
        return RequestStatement(
            message.daemonId,
            message.elapsedMs / 1000,
            message.remainingMs / 1000,
            message.version,
            message.service,
            tuple(message.sentIds),
            tuple(message.excludedIds),
            tuple(message.domainsOut),
            message.lastEventId or None,
            message.weightsVersion or None,
            message.ends,
        )

    return _decode(SCHEMA.ForwardedRequest, value, read)


def encode_answer_statement(statement: AnswerStatement) -> bytes:
    """Return the header's value for an answer."""
    error = statement.error
    fields: dict[str, Any] = {}
    if error is not None:
        reason = error.reason.value if isinstance(error, EndpointRefused) else ""
        fields = {
            "failure": error.type,
            "reason": reason,
            "mayHaveRun": error.executed is not Executed.NO,
            "atFaultId": statement.at_fault_id,
            "retryAfterMs": milliseconds(error.retry_after or 0.0),
            "message": error.message[:200],
        }
    return _encode(
        SCHEMA.ForwardedAnswer.new_message(
            endpointId=statement.endpoint_id, born=statement.born, **fields
        )
    )


def decode_answer_statement(value: bytes | None) -> AnswerStatement:
    """Return what the answer to a forwarded request states.

    Raises `PeerMessageInvalid`.
    """

    def read(message: Any) -> AnswerStatement:
        error = _read_error(message) if message.failure else None
        return AnswerStatement(
            message.endpointId, message.born, error, message.atFaultId
        )

    return _decode(SCHEMA.ForwardedAnswer, value, read)


def _read_error(message: Any) -> CranberrywickError:
    retry_after = message.retryAfterMs / 1000 or None
    if message.failure == EndpointRefused.type and not message.mayHaveRun:
        return EndpointRefused(
            message.message,
            reason=EndpointRefusal(message.reason),
            retry_after=retry_after,
        )
    kind = _ERRORS_BY_TYPE.get(message.failure, AmbiguousSend)
    if kind is EndpointRefused:
        kind = AmbiguousSend
    error = kind(message.message, retry_after=retry_after)
    # An error that this build doesn't know counts as one after which the request may
    # have run, unless the peer says that it has not.
    error.executed = Executed.UNKNOWN if message.mayHaveRun else Executed.NO
    return error


def _encode(message: Any) -> bytes:
    return b64encode(pack(message))


def _decode(kind: Any, value: bytes | None, read: Any) -> Any:
    if value is None:
        raise PeerMessageInvalid("the statement is missing")
    if len(value) > STATEMENT_HEADER_BYTES:
        raise PeerMessageInvalid("the statement is too long")
    try:
        with unpack(kind, b64decode(value, validate=True)) as message:
            return read(message)
    except (capnp.KjException, ValueError, Base64Error, zlib.error) as error:
        raise PeerMessageInvalid(f"malformed statement: {error!s:.100}") from error

"""Messages between gateways, as Cap'n Proto, compressed.

Ages take the place of moments on the wire: each side counts from its own clock.
"""

import zlib
from enum import StrEnum
from typing import Any, NamedTuple

import capnp

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.endpoint_reading import EndpointReading
from cranberrywick.gateway.heartbeat_rows import (
    PassedOn,
    RelayNews,
    milliseconds,
    pack_news,
    unpack_news,
)
from cranberrywick.gateway.schema import MAX_MESSAGE_BYTES, SCHEMA, pack, unpack
from cranberrywick.routing.endpoint_limits import LimitReport
from cranberrywick.routing.fleet_limits import Permit, PermitTerms
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.model import OperatorView

__all__ = [
    "EndpointsWanted",
    "Envelope",
    "Message",
    "OperatorReading",
    "OperatorWanted",
    "PermitRequest",
    "PermitResponse",
    "Scope",
    "Wanted",
    "decode_message",
    "encode_message",
]


class OperatorReading(NamedTuple):
    """What operators have written, known to be the newest ``age`` seconds ago."""

    view: OperatorView
    age: float


class OperatorWanted(NamedTuple):
    """Asks a peer for its `OperatorReading`."""


class EndpointsWanted(NamedTuple):
    """Asks a peer for an `EndpointReading` with all records."""


class PermitRequest(NamedTuple):
    """Asks an endpoint's steward for a permit; see `FleetLimits.grant`.

    ``number`` tells the responses to one daemon apart. ``limit`` is what answers have
    told the asking daemon, which may be newer than what the steward knows.
    """

    number: int
    terms: PermitTerms
    limit: LimitReport


class PermitResponse(NamedTuple):
    """A steward's response to the request of this number."""

    number: int
    permit: Permit


class Scope(StrEnum):
    """To whom the receiver of a message passes it on."""

    NOBODY = "nobody"
    DOMAIN = "domain"
    FLEET = "fleet"


Wanted = OperatorWanted | EndpointsWanted
Message = (
    Heartbeat
    | EndpointReading
    | OperatorReading
    | Wanted
    | RelayNews
    | PermitRequest
    | PermitResponse
)


class Envelope(NamedTuple):
    """A message as it was received."""

    message: Message
    scope: Scope


def encode_message(message: Message, now: float, scope: Scope = Scope.NOBODY) -> bytes:
    """Return the bytes of a message; ``now`` is the clock of its moments."""
    if isinstance(message, Heartbeat):
        news = RelayNews("", "", (PassedOn(now, message),))
        body = {"heartbeats": pack_news(news, now)}
    elif isinstance(message, EndpointReading):
        body = {"endpoints": _write_endpoints(message)}
    elif isinstance(message, OperatorReading):
        body = {"operator": _write_operator(message)}
    elif isinstance(message, RelayNews):
        body = {"batch": pack_news(message, now)}
    elif isinstance(message, PermitRequest):
        body = {"permitRequest": _write_permit_request(message, now)}
    elif isinstance(message, PermitResponse):
        body = {"permitResponse": _write_permit_response(message)}
    elif isinstance(message, EndpointsWanted):
        body = {"endpointsWanted": None}
    else:
        body = {"operatorWanted": None}
    return pack(SCHEMA.Message.new_message(scope=scope.value, **body))


def decode_message(data: bytes, now: float) -> Envelope:
    """Return a message; raises `PeerMessageInvalid`."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerMessageInvalid("the message is too long")
    try:
        with unpack(SCHEMA.Message, data) as message:
            return Envelope(_read_body(message, now), _read_scope(message))
    except (capnp.KjException, ValueError, IndexError, zlib.error) as error:
        raise PeerMessageInvalid(f"malformed message: {error!s:.100}") from error


def _read_scope(message: Any) -> Scope:
    try:
        return Scope(str(message.scope))
    except RuntimeError as error:
        # What the library raises for an enumerant that the schema does not have.
        raise ValueError("an unknown scope") from error


def _read_body(message: Any, now: float) -> Message:
    which = message.which()
    if which == "heartbeats":
        (news,) = unpack_news(message.heartbeats, now).heartbeats
        return news.heartbeat
    if which == "endpoints":
        return _read_endpoints(message.endpoints)
    if which == "operator":
        return _read_operator(message.operator)
    if which == "batch":
        return unpack_news(message.batch, now)
    if which == "permitRequest":
        return _read_permit_request(message.permitRequest, now)
    if which == "permitResponse":
        return _read_permit_response(message.permitResponse)
    return EndpointsWanted() if which == "endpointsWanted" else OperatorWanted()


def _write_endpoints(reading: EndpointReading) -> dict[str, Any]:
    return {
        "revision": reading.revision,
        "ageMs": milliseconds(reading.age),
        "digest": reading.digest,
        "changes": reading.changes,
    }


def _read_endpoints(reading: Any) -> EndpointReading:
    return EndpointReading(
        reading.revision, reading.ageMs / 1000, reading.digest, bytes(reading.changes)
    )


def _write_operator(reading: OperatorReading) -> dict[str, Any]:
    view = reading.view
    return {
        "revision": view.revision,
        "ageMs": milliseconds(reading.age),
        "document": view.document,
        "domainsOut": sorted(view.domains_out),
    }


def _read_operator(reading: Any) -> OperatorReading:
    document = bytes(reading.document)
    view = OperatorView.of(reading.revision, document, frozenset(reading.domainsOut))
    return OperatorReading(view, reading.ageMs / 1000)


def _write_permit_request(request: PermitRequest, now: float) -> dict[str, Any]:
    return {
        "number": request.number,
        "rate": request.terms.rate,
        "liveShare": request.terms.live_share,
        "longestWaitMs": milliseconds(request.terms.longest_wait),
        "endpointId": request.limit.endpoint_id,
        "limit": request.limit.rate,
        "limitAgeMs": milliseconds(now - request.limit.seen_at),
    }


def _read_permit_request(request: Any, now: float) -> PermitRequest:
    terms = PermitTerms(request.rate, request.liveShare, request.longestWaitMs / 1000)
    if not (request.limit >= 0 and terms.rate >= 0 and 0 < terms.live_share <= 1):
        raise ValueError("a rate or a share is out of its range")
    seen_at = now - request.limitAgeMs / 1000
    limit = LimitReport(request.endpointId, request.limit, seen_at)
    return PermitRequest(request.number, terms, limit)


def _write_permit_response(response: PermitResponse) -> dict[str, Any]:
    permit = response.permit
    return {
        "number": response.number,
        "granted": permit.granted,
        "waitMs": milliseconds(permit.wait_seconds),
        "freeMs": milliseconds(permit.free_seconds),
    }


def _read_permit_response(response: Any) -> PermitResponse:
    wait, free = response.waitMs / 1000, response.freeMs / 1000
    return PermitResponse(response.number, Permit(response.granted, wait, free))

"""Messages between gateways, as Cap'n Proto, compressed.

Ages take the place of moments on the wire: each side counts from its own clock.
"""

import zlib
from enum import StrEnum
from typing import Any, NamedTuple

import capnp

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.heartbeat_rows import (
    PassedOn,
    RelayNews,
    milliseconds,
    pack_news,
    unpack_news,
)
from cranberrywick.gateway.schema import SCHEMA
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.model import EndpointRecord, EndpointView, OperatorView

__all__ = [
    "MAX_MESSAGE_BYTES",
    "EndpointReading",
    "Envelope",
    "Message",
    "OperatorReading",
    "OperatorWanted",
    "Scope",
    "decode_message",
    "encode_message",
]

# A configuration of at most 1 MiB, with room for the rest.
MAX_MESSAGE_BYTES = 1_500_000
MAX_MESSAGE_WORDS = 400_000
MAX_NESTING = 8
# Most of a message repeats: addresses and names of one fleet, routes of one
# configuration. The quickest level takes a third to a sixth of the bytes.
COMPRESSION_LEVEL = 1


class EndpointReading(NamedTuple):
    """The registered endpoints as they were read ``age`` seconds ago.

    ``records`` is empty where they are the same as before, which ``digest``
    identifies. They are decoded only by who needs them: in a fleet at rest every daemon
    gets the same ones again and again.
    """

    revision: int
    age: float
    digest: int
    records: bytes

    @classmethod
    def of(cls, view: EndpointView, digest: int, age: float) -> "EndpointReading":
        """Return a reading with all records."""
        return cls(view.revision, age, digest, _write_records(view))

    @property
    def view(self) -> EndpointView:
        """The records; raises `PeerMessageInvalid`."""
        view = EndpointView(self.revision, _read_records(self.records))
        if view.digest != self.digest:
            raise PeerMessageInvalid("the records are not those of their digest")
        return view


class OperatorReading(NamedTuple):
    """What operators have written, known to be the newest ``age`` seconds ago."""

    view: OperatorView
    age: float


class OperatorWanted(NamedTuple):
    """Asks a peer for its `OperatorReading`."""


class Scope(StrEnum):
    """To whom the receiver of a message passes it on."""

    NOBODY = "nobody"
    DOMAIN = "domain"
    FLEET = "fleet"


Message = Heartbeat | EndpointReading | OperatorReading | OperatorWanted | RelayNews


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
    else:
        body = {"operatorWanted": None}
    return _pack(SCHEMA.Message.new_message(scope=scope.value, **body))


def decode_message(data: bytes, now: float) -> Envelope:
    """Return a message; raises `PeerMessageInvalid`."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerMessageInvalid("the message is too long")
    try:
        message = _unpack(SCHEMA.Message, data)
        return Envelope(_read_body(message, now), Scope(str(message.scope)))
    except (capnp.KjException, ValueError, IndexError, zlib.error) as error:
        raise PeerMessageInvalid(f"malformed message: {error!s:.100}") from error


def _pack(message: Any) -> bytes:
    return zlib.compress(message.to_bytes_packed(), COMPRESSION_LEVEL)


def _unpack(kind: Any, data: bytes) -> Any:
    # Bounded: a few bytes can be made to unpack to more than the memory there is.
    unpacking = zlib.decompressobj()
    packed = unpacking.decompress(data, MAX_MESSAGE_BYTES)
    if not unpacking.eof:
        raise ValueError("the message is cut or too long")
    return kind.from_bytes_packed(
        packed, traversal_limit_in_words=MAX_MESSAGE_WORDS, nesting_limit=MAX_NESTING
    )


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
    return OperatorWanted()


def _write_endpoints(reading: EndpointReading) -> dict[str, Any]:
    return {
        "revision": reading.revision,
        "ageMs": milliseconds(reading.age),
        "digest": reading.digest,
        "records": reading.records,
    }


def _read_endpoints(reading: Any) -> EndpointReading:
    return EndpointReading(
        reading.revision, reading.ageMs / 1000, reading.digest, bytes(reading.records)
    )


def _write_records(view: EndpointView) -> bytes:
    records = [
        {
            "endpointId": record.endpoint_id,
            "service": record.service,
            "address": record.address,
            "failureDomain": record.failure_domain,
            "slots": record.slots,
            "draining": record.draining,
            "coldMs": milliseconds(record.cold_seconds),
            "born": record.born,
        }
        for record in view.records_by_id.values()
    ]
    return _pack(SCHEMA.EndpointRecords.new_message(records=records))


def _read_records(data: bytes) -> dict[str, EndpointRecord]:
    try:
        records = _unpack(SCHEMA.EndpointRecords, data).records
        return {
            record.endpointId: EndpointRecord(
                endpoint_id=record.endpointId,
                service=record.service,
                address=record.address,
                failure_domain=record.failureDomain,
                slots=record.slots,
                draining=record.draining,
                cold_seconds=record.coldMs / 1000,
                born=record.born,
            )
            for record in records
        }
    except (capnp.KjException, ValueError, zlib.error) as error:
        raise PeerMessageInvalid(f"malformed records: {error!s:.100}") from error


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

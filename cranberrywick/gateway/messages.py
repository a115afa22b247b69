"""Messages between gateways, as Cap'n Proto.

Ages take the place of moments on the wire: each side counts from its own clock.
"""

import zlib
from enum import StrEnum
from importlib.resources import as_file, files
from typing import Any, NamedTuple

import capnp

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.routing.load import Job
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.model import EndpointRecord, EndpointView, OperatorView
from cranberrywick.routing.pace import EnginePace

__all__ = [
    "Batch",
    "EndpointReading",
    "Envelope",
    "Message",
    "OperatorReading",
    "OperatorWanted",
    "PassedOn",
    "Scope",
    "decode_message",
    "encode_message",
]

# A configuration of at most 1 MiB, with room for the rest.
MAX_MESSAGE_BYTES = 1_500_000
MAX_MESSAGE_WORDS = 400_000
MAX_NESTING = 8
# Unsigned 32-bit milliseconds; an age that never was counts as the longest.
LONGEST_MS = 2**31 - 1
# A configuration is text in which most repeats: the quickest level makes some 350 KB
# of 1,600 routes a sixth of it, and a link of 20 Mbit/s carries that in 25 ms.
COMPRESSION_LEVEL = 1


class EndpointReading(NamedTuple):
    """The registered endpoints as they were read ``age`` seconds ago.

    Without a ``view`` they are the same as before, which ``digest`` identifies.
    """

    revision: int
    age: float
    digest: int
    view: EndpointView | None


class OperatorReading(NamedTuple):
    """What operators have written, known to be the newest ``age`` seconds ago."""

    view: OperatorView
    age: float


class OperatorWanted(NamedTuple):
    """Asks a peer for its `OperatorReading`."""


class PassedOn(NamedTuple):
    """A heartbeat that a relay passes on, and when a relay first heard it."""

    heard_at: float
    heartbeat: Heartbeat


class Batch(NamedTuple):
    """What a relay has collected; empty, it says only that the relay lives."""

    relay_id: str
    relay_domain: str
    heartbeats: tuple[PassedOn, ...]


class Scope(StrEnum):
    """To whom the receiver of a message passes it on."""

    NOBODY = "nobody"
    DOMAIN = "domain"
    FLEET = "fleet"


Message = Heartbeat | EndpointReading | OperatorReading | OperatorWanted | Batch


class Envelope(NamedTuple):
    """A message as it was received."""

    message: Message
    scope: Scope


def _load_schema() -> Any:
    with as_file(files("cranberrywick.gateway") / "fleet.capnp") as path:
        return capnp.load(str(path))


_SCHEMA = _load_schema()


def encode_message(message: Message, now: float, scope: Scope = Scope.NOBODY) -> bytes:
    """Return the bytes of a message; ``now`` is the clock of its moments."""
    if isinstance(message, Heartbeat):
        body = {"heartbeat": _write_heartbeat(message, now)}
    elif isinstance(message, EndpointReading):
        body = {"endpoints": _write_endpoints(message)}
    elif isinstance(message, OperatorReading):
        body = {"operator": _write_operator(message)}
    elif isinstance(message, Batch):
        body = {"batch": _write_batch(message, now)}
    else:
        body = {"operatorWanted": None}
    return _SCHEMA.Message.new_message(scope=scope.value, **body).to_bytes_packed()


def decode_message(data: bytes, now: float) -> Envelope:
    """Return a message; raises `PeerMessageInvalid`."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerMessageInvalid("the message is too long")
    try:
        message = _SCHEMA.Message.from_bytes_packed(
            data,
            traversal_limit_in_words=MAX_MESSAGE_WORDS,
            nesting_limit=MAX_NESTING,
        )
        return Envelope(_read_body(message, now), Scope(str(message.scope)))
    except (capnp.KjException, ValueError, IndexError, zlib.error) as error:
        raise PeerMessageInvalid(f"malformed message: {error!s:.100}") from error


def _read_body(message: Any, now: float) -> Message:
    which = message.which()
    if which == "heartbeat":
        return _read_heartbeat(message.heartbeat, now)
    if which == "endpoints":
        return _read_endpoints(message.endpoints)
    if which == "operator":
        return _read_operator(message.operator)
    if which == "batch":
        return _read_batch(message.batch, now)
    return OperatorWanted()


def _milliseconds(seconds: float) -> int:
    return int(min(max(0.0, seconds) * 1000, LONGEST_MS))


def _signed_milliseconds(seconds: float) -> int:
    return int(max(-LONGEST_MS, min(seconds * 1000, LONGEST_MS)))


def _write_heartbeat(beat: Heartbeat, now: float) -> dict[str, Any]:
    return {
        "daemonId": beat.daemon_id,
        "incarnation": beat.incarnation,
        "sequence": beat.sequence,
        "peerAddress": beat.peer_address,
        "entryAddress": beat.entry_address,
        "failureDomain": beat.failure_domain,
        "leaving": beat.leaving,
        "operatorRevision": beat.operator_revision,
        "operatorDigest": beat.operator_digest,
        "operatorAgeMs": _milliseconds(beat.operator_age),
        "jobs": [
            {
                "endpointId": job.endpoint_id,
                "heldTokens": job.held_tokens,
                "ageMs": _milliseconds(now - job.started_at),
                "firstEventMs": _milliseconds(job.first_event_at - now),
                "writing": job.writing,
                "helper": job.helper,
                "joint": job.joint,
                "gapMs": _milliseconds(job.gap_seconds),
                "value": job.value,
                "readingMs": _milliseconds(job.reading_seconds),
                "dueMs": _signed_milliseconds(job.due_at - now),
            }
            for job in beat.jobs
        ],
        "slowEngines": [
            {"endpointId": each.endpoint_id, "pace": each.pace}
            for each in beat.slow_engines
        ],
    }


def _read_heartbeat(beat: Any, now: float) -> Heartbeat:
    return Heartbeat(
        daemon_id=beat.daemonId,
        incarnation=beat.incarnation,
        sequence=beat.sequence,
        peer_address=beat.peerAddress,
        entry_address=beat.entryAddress,
        failure_domain=beat.failureDomain,
        leaving=beat.leaving,
        operator_revision=beat.operatorRevision,
        operator_digest=beat.operatorDigest,
        operator_age=beat.operatorAgeMs / 1000,
        jobs=tuple(
            Job(
                endpoint_id=job.endpointId,
                held_tokens=job.heldTokens,
                started_at=now - job.ageMs / 1000,
                first_event_at=now + job.firstEventMs / 1000,
                writing=job.writing,
                helper=job.helper,
                joint=job.joint,
                gap_seconds=job.gapMs / 1000,
                value=job.value,
                reading_seconds=job.readingMs / 1000,
                due_at=now + job.dueMs / 1000,
            )
            for job in beat.jobs
        ),
        slow_engines=tuple(
            EnginePace(each.endpointId, each.pace) for each in beat.slowEngines
        ),
    )


def _write_endpoints(reading: EndpointReading) -> dict[str, Any]:
    records = reading.view.records_by_id.values() if reading.view else ()
    return {
        "revision": reading.revision,
        "ageMs": _milliseconds(reading.age),
        "digest": reading.digest,
        "isSame": reading.view is None,
        "records": [
            {
                "endpointId": record.endpoint_id,
                "service": record.service,
                "address": record.address,
                "failureDomain": record.failure_domain,
                "slots": record.slots,
                "draining": record.draining,
                "coldMs": _milliseconds(record.cold_seconds),
                "born": record.born,
            }
            for record in records
        ],
    }


def _read_endpoints(reading: Any) -> EndpointReading:
    age = reading.ageMs / 1000
    if reading.isSame:
        return EndpointReading(reading.revision, age, reading.digest, None)
    records = {
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
        for record in reading.records
    }
    view = EndpointView(reading.revision, records)
    return EndpointReading(reading.revision, age, reading.digest, view)


def _write_operator(reading: OperatorReading) -> dict[str, Any]:
    view = reading.view
    return {
        "revision": view.revision,
        "ageMs": _milliseconds(reading.age),
        "document": zlib.compress(view.document, COMPRESSION_LEVEL),
        "domainsOut": sorted(view.domains_out),
    }


def _read_operator(reading: Any) -> OperatorReading:
    # Bounded: a few bytes can be made to unpack to more than the memory there is.
    unpacking = zlib.decompressobj()
    document = unpacking.decompress(bytes(reading.document), MAX_MESSAGE_BYTES)
    if not unpacking.eof:
        raise ValueError("the document is cut or too long")
    view = OperatorView.of(reading.revision, document, frozenset(reading.domainsOut))
    return OperatorReading(view, reading.ageMs / 1000)


def _write_batch(batch: Batch, now: float) -> dict[str, Any]:
    return {
        "relayId": batch.relay_id,
        "relayDomain": batch.relay_domain,
        "heartbeats": [
            {
                "ageMs": _milliseconds(now - each.heard_at),
                "heartbeat": _write_heartbeat(each.heartbeat, now),
            }
            for each in batch.heartbeats
        ],
    }


def _read_batch(batch: Any, now: float) -> Batch:
    return Batch(
        batch.relayId,
        batch.relayDomain,
        tuple(
            PassedOn(now - each.ageMs / 1000, _read_heartbeat(each.heartbeat, now))
            for each in batch.heartbeats
        ),
    )

"""Messages between gateways, as Cap'n Proto, compressed.

On the wire, ages and waits stand in place of moments, since the clocks of two daemons
are not compared: each side adds them to its own clock.
"""

import zlib
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

import capnp

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.answer_rows import pack_answers, unpack_answers
from cranberrywick.gateway.crash_rows import pack_crashes, unpack_crashes
from cranberrywick.gateway.demand_rows import pack_demand, unpack_demand
from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.heartbeat_rows import (
    HeartbeatBatch,
    RelayedHeartbeat,
    milliseconds,
    pack_heartbeats,
    unpack_heartbeats,
)
from cranberrywick.gateway.knowledge_rows import (
    pack_knowledge,
    unpack_knowledge,
)
from cranberrywick.gateway.reach_rows import pack_reach, unpack_reach
from cranberrywick.gateway.schema import MAX_MESSAGE_BYTES, SCHEMA, pack, unpack
from cranberrywick.routing.endpoint_limits import LimitReport
from cranberrywick.routing.fleet_limits import Permit, PermitTerms
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.model import OperatorView

__all__ = [
    "EndpointSnapshotRequest",
    "Envelope",
    "Message",
    "OperatorSnapshot",
    "OperatorSnapshotRequest",
    "PermitRequest",
    "PermitResponse",
    "Scope",
    "SnapshotRequest",
    "decode_message",
    "encode_message",
]


class OperatorSnapshot(NamedTuple):
    """The operators' view, known to be the newest ``age`` seconds ago.

    ``document_in_force`` is the configuration that the sender uses if that is newer
    than the view's, else empty.
    """

    @property
    def log_kind(self) -> str:
        """The name of this kind of message in log lines."""
        return "OperatorReading"

    view: OperatorView
    age: float
    document_in_force: bytes = b""


class OperatorSnapshotRequest(NamedTuple):
    """Requests a peer's `OperatorSnapshot`."""

    @property
    def log_kind(self) -> str:
        """The name of this kind of message in log lines."""
        return "OperatorWanted"


class EndpointSnapshotRequest(NamedTuple):
    """Requests an `EndpointSnapshot` with all records from a peer."""

    @property
    def log_kind(self) -> str:
        """The name of this kind of message in log lines."""
        return "EndpointsWanted"


class PermitRequest(NamedTuple):
    """Requests a permit from an endpoint's steward; see `FleetLimits.grant`.

    ``number`` identifies the request among those of one daemon. ``limit`` is the limit
    that the endpoint's answers to the requesting daemon have named, which may be newer
    than the limit that the steward knows.
    """

    @property
    def log_kind(self) -> str:
        """The name of this kind of message in log lines."""
        return "PermitRequest"

    number: int
    terms: PermitTerms
    limit: LimitReport


class PermitResponse(NamedTuple):
    """A steward's response to the `PermitRequest` with the same number."""

    @property
    def log_kind(self) -> str:
        """The name of this kind of message in log lines."""
        return "PermitResponse"

    number: int
    permit: Permit


class Scope(StrEnum):
    """The daemons to which the receiver of a message forwards it.

    NOBODY: it is not forwarded. DOMAIN: to the receiver's failure domain. FLEET: to
    that and to the other failure domains' relays.
    """

    NOBODY = "nobody"
    DOMAIN = "domain"
    FLEET = "fleet"


SnapshotRequest = OperatorSnapshotRequest | EndpointSnapshotRequest
Message = (
    Heartbeat
    | EndpointSnapshot
    | OperatorSnapshot
    | SnapshotRequest
    | HeartbeatBatch
    | PermitRequest
    | PermitResponse
)


class Envelope(NamedTuple):
    """A message as it was received, with its scope."""

    message: Message
    scope: Scope


def encode_message(message: Message, now: float, scope: Scope = Scope.NOBODY) -> bytes:
    """Return the bytes of a message.

    ``now`` is the current time of the clock to which its moments refer.
    """
    if isinstance(message, Heartbeat):
        batch = HeartbeatBatch("", "", (RelayedHeartbeat(now, message),))
        body = _write_heartbeats("heartbeats", batch, now)
    elif isinstance(message, EndpointSnapshot):
        body = {"endpoints": _write_endpoints(message)}
    elif isinstance(message, OperatorSnapshot):
        body = {"operator": _write_operator(message)}
    elif isinstance(message, HeartbeatBatch):
        body = _write_heartbeats("batch", message, now)
    elif isinstance(message, PermitRequest):
        body = {"permitRequest": _write_permit_request(message, now)}
    elif isinstance(message, PermitResponse):
        body = {"permitResponse": _write_permit_response(message)}
    elif isinstance(message, EndpointSnapshotRequest):
        body = {"endpointsWanted": None}
    else:
        body = {"operatorWanted": None}
    if "answers" in body:
        kind = SCHEMA.MessageWithAnswers
    elif "crashes" in body:
        kind = SCHEMA.MessageWithCrashes
    else:
        kind = SCHEMA.Message if "demand" in body else SCHEMA.MessageWithoutDemand
    return pack(kind.new_message(scope=scope.value, **body))


def decode_message(
    data: bytes, now: float, row_dropped: Callable[[str], None] = lambda error: None
) -> Envelope:
    """Return the message and scope in these bytes.

    ``now`` is the current time of the receiver's clock. ``row_dropped`` is called with
    the reason if a part of the message can't be read. Raises `PeerMessageInvalid` for
    bytes that are too long or malformed as a whole.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerMessageInvalid("the message is too long")
    try:
        with unpack(SCHEMA.MessageWithAnswers, data) as message:
            body = _read_body(message, now, row_dropped)
            return Envelope(body, _read_scope(message))
    except (capnp.KjException, ValueError, IndexError, zlib.error) as error:
        raise PeerMessageInvalid(f"malformed message: {error!s:.100}") from error


def _read_scope(message: Any) -> Scope:
    try:
        return Scope(str(message.scope))
    except RuntimeError as error:
        # pycapnp raises this for an enumerant that the schema does not have.
        raise ValueError("an unknown scope") from error


def _read_body(message: Any, now: float, row_dropped: Callable[[str], None]) -> Message:
    which = message.which()
    if which in ("heartbeats", "batch"):
        knowledge = unpack_knowledge(bytes(message.knowledge), now)
        reach = unpack_reach(bytes(message.reach))
        demand = unpack_demand(bytes(message.demand))
        crashes = unpack_crashes(bytes(message.crashes), now)
        answers = unpack_answers(bytes(message.answers))
        for rows in (knowledge, reach, demand, crashes, answers):
            if rows.error:
                row_dropped(rows.error)
        batch = unpack_heartbeats(
            getattr(message, which),
            now,
            knowledge.values_by_position,
            reach.values_by_position,
            demand.values_by_position,
            crashes.values_by_position,
            answers.values_by_position,
            row_dropped,
        )
        if which == "batch":
            return batch
        (relayed,) = batch.heartbeats
        return relayed.heartbeat
    if which == "endpoints":
        return _read_endpoints(message.endpoints)
    if which == "operator":
        return _read_operator(message.operator)
    if which == "permitRequest":
        return _read_permit_request(message.permitRequest, now)
    if which == "permitResponse":
        return _read_permit_response(message.permitResponse)
    return (
        EndpointSnapshotRequest()
        if which == "endpointsWanted"
        else OperatorSnapshotRequest()
    )


def _write_heartbeats(field: str, batch: HeartbeatBatch, now: float) -> dict[str, Any]:
    beats = [relayed.heartbeat for relayed in batch.heartbeats]
    demand = pack_demand(each.demand for each in beats)
    crashes = pack_crashes((each.crashes for each in beats), now)
    answers = pack_answers(each.answers for each in beats)
    return {
        field: pack_heartbeats(batch, now),
        "knowledge": pack_knowledge([each.store for each in beats], now),
        "reach": pack_reach(each.reach for each in beats),
        **({"demand": demand} if demand else {}),
        **({"crashes": crashes} if crashes else {}),
        **({"answers": answers} if answers else {}),
    }


def _write_endpoints(snapshot: EndpointSnapshot) -> dict[str, Any]:
    return {
        "revision": snapshot.revision,
        "ageMs": milliseconds(snapshot.age),
        "digest": snapshot.digest,
        "changes": snapshot.changes,
        "epoch": snapshot.epoch,
    }


def _read_endpoints(snapshot: Any) -> EndpointSnapshot:
    return EndpointSnapshot(
        snapshot.revision,
        snapshot.ageMs / 1000,
        snapshot.digest,
        bytes(snapshot.changes),
        snapshot.epoch,
    )


def _write_operator(snapshot: OperatorSnapshot) -> dict[str, Any]:
    view = snapshot.view
    return {
        "revision": view.revision,
        "ageMs": milliseconds(snapshot.age),
        "document": view.document,
        "domainsOut": sorted(view.domains_out),
        "epoch": view.epoch,
        "documentInForce": snapshot.document_in_force,
    }


def _read_operator(snapshot: Any) -> OperatorSnapshot:
    document = bytes(snapshot.document)
    domains_out = frozenset(snapshot.domainsOut)
    view = OperatorView.of(snapshot.revision, document, domains_out, snapshot.epoch)
    in_force = bytes(snapshot.documentInForce)
    return OperatorSnapshot(view, snapshot.ageMs / 1000, in_force)


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

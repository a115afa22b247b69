"""What operators and endpoints write to the platform's store, decoded."""

import json
from collections.abc import Mapping
from typing import Any

from cranberrywick.errors import InvalidConfiguration
from cranberrywick.platform.fields import boolean, number, table, tables, text, whole
from cranberrywick.routing.model import (
    EndpointRecord,
    EngineProfile,
    GatewayConfiguration,
    Organisation,
    RequestLimits,
    Route,
    RouteKind,
    Service,
)

__all__ = [
    "CONFIGURATION_KEY",
    "ENDPOINTS_PREFIX",
    "EVACUATION_PREFIX",
    "MEMBERS_PREFIX",
    "OPERATOR_PREFIX",
    "decode_configuration",
    "decode_endpoint",
    "decode_member",
    "encode_member",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
# A key of this form takes the failure domain behind it out of service.
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINTS_PREFIX = "servers/"
# Our own keys: one for each daemon, under its lease.
MEMBERS_PREFIX = "cranberrywick/members/"


def decode_configuration(value: bytes) -> GatewayConfiguration:
    """Return the operators' configuration; raises `InvalidConfiguration`."""
    fields = _object(value)
    limits = table(fields, "limits")
    return GatewayConfiguration(
        version=whole(fields, "version"),
        routes=tuple(_decode_route(row) for row in tables(fields, "routes")),
        services_by_name={
            service.name: service
            for service in map(_decode_service, tables(fields, "services"))
        },
        limits=RequestLimits(
            header_bytes=whole(limits, "maxHeaderBytes", 16384),
            body_bytes=whole(limits, "maxBodyBytes", 4194304),
            header_seconds=number(limits, "headerTimeoutMs", 3000) / 1000,
            idle_seconds=number(limits, "idleTimeoutMs", 15000) / 1000,
        ),
        organisations_by_key=_decode_organisations(fields),
    )


def _decode_route(row: Mapping[str, Any]) -> Route:
    timeout = number(row, "timeoutMs") / 1000
    target = number(row, "targetLatencyMs", row.get("timeoutMs")) / 1000
    return Route(
        name=text(row, "name", ""),
        host=text(row, "host").lower(),
        prefix=text(row, "prefix"),
        kind=_decode_kind(row),
        weights_by_service=_decode_split(row),
        timeout_seconds=timeout,
        target_seconds=target,
        gap_target_seconds=number(row, "gapAimMs", 1000) / 1000,
        priority=whole(row, "priority", 5),
        max_endpoints=whole(row, "maxAttempts", 1),
        public=boolean(row, "public"),
        resumable=boolean(row, "streamResume"),
    )


def _decode_kind(row: Mapping[str, Any]) -> RouteKind:
    try:
        return RouteKind(text(row, "kind"))
    except ValueError:
        # An unknown kind promises nothing, so its requests are never repeated.
        return RouteKind.UNSAFE


def _decode_split(row: Mapping[str, Any]) -> tuple[tuple[str, float], ...]:
    split = tables(row, "trafficSplit")
    if split:
        return tuple((text(s, "service"), number(s, "weight", 1)) for s in split)
    return ((text(row, "service"), 1.0),)


def _decode_service(row: Mapping[str, Any]) -> Service:
    engine = table(row, "engine")
    return Service(
        name=text(row, "name"),
        cold_seconds=number(row, "coldStartS", 0),
        cold_rate=number(row, "coldPerS", 0),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(row: Mapping[str, Any]) -> EngineProfile:
    usual = table(row, "usual")
    return EngineProfile(
        slots=whole(row, "slots", 8),
        memory_tokens=whole(row, "kvCapacity"),
        stride=whole(row, "stride", 1),
        step_seconds=number(row, "step_ms") / 1000,
        writer_seconds=number(row, "per_seq_ms", 0) / 1000,
        # Given for a thousand tokens.
        context_seconds=number(row, "context_per_k", 0) / 1000 / 1000,
        prefill_rate=number(row, "read_per_s"),
        # Given for a million pairs.
        pair_seconds=number(row, "pairs_per_m", 0) / 1000 / 1e6,
        chunk_tokens=whole(row, "chunk", 2048),
        usual_prompt_tokens=max(1.0, number(usual, "prompt", 10_000)),
    )


def _decode_organisations(
    fields: Mapping[str, Any],
) -> dict[str, Organisation] | None:
    if "tenants" not in fields:
        return None
    by_key: dict[str, Organisation] = {}
    for row in tables(fields, "tenants"):
        priority = row.get("priority")
        organisation = Organisation(
            text(row, "name"), priority if isinstance(priority, int) else None
        )
        for key in row.get("apiKeys") or ():
            by_key[str(key)] = organisation
    return by_key


def decode_endpoint(endpoint_id: str, value: bytes) -> EndpointRecord:
    """Return a registered endpoint.

    Raises `InvalidConfiguration` for a record that names no endpoint to use:
    others than endpoints can write under the same prefix.
    """
    fields = _object(value)
    state = text(fields, "state")
    if state not in ("ready", "draining"):
        raise InvalidConfiguration(f"state {state!r:.40} is unknown")
    address = text(fields, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise InvalidConfiguration("address is not ip:port")
    return EndpointRecord(
        endpoint_id=endpoint_id,
        service=text(fields, "service"),
        address=address,
        failure_domain=text(fields, "zone"),
        slots=whole(fields, "slots"),
        draining=state == "draining",
        cold_seconds=number(fields, "coldRemainingMs") / 1000,
        born=whole(fields, "born", 0),
    )


def decode_member(value: bytes) -> str:
    """Return the peer address that a daemon has registered."""
    return text(_object(value), "peerAddress")


def encode_member(peer_address: str) -> bytes:
    """Return what a daemon registers of itself."""
    return json.dumps({"peerAddress": peer_address}).encode()


def _object(value: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise InvalidConfiguration(f"not JSON: {error!s:.100}") from error
    if not isinstance(fields, dict):
        raise InvalidConfiguration("not a JSON object")
    return fields

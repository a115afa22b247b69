"""Decoding of what endpoints and daemons write to the store, and its keys."""

import json
from typing import Any

from cranberrywick.errors import InvalidConfiguration
from cranberrywick.external.readable_json import load_readable
from cranberrywick.fields import (
    address,
    check_name,
    integer,
    name,
    number,
    string,
)
from cranberrywick.routing.model import EndpointRecord

__all__ = [
    "CONFIGURATION_KEY",
    "ENDPOINTS_PREFIX",
    "EVACUATION_PREFIX",
    "MEMBERS_PREFIX",
    "OPERATOR_PREFIX",
    "QUARANTINES_PREFIX",
    "decode_endpoint",
    "decode_member",
    "decode_object",
    "encode_member",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
# A key under this prefix takes the failure domain that it names out of service.
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINTS_PREFIX = "servers/"
# The daemons' own keys: one for each daemon, under its lease.
MEMBERS_PREFIX = "cranberrywick/members/"
# The segments of prompts that are quarantined: one key for each.
QUARANTINES_PREFIX = "cranberrywick/quarantines/"
# Most requests that an endpoint can take at once: it has a connection for each.
MAX_SLOTS = 65_535
# Longest time for which an endpoint can be cold, in milliseconds; the messages between
# daemons have no longer one.
MAX_COLD_MS = 2**31 - 1


def decode_endpoint(endpoint_id: str, value: bytes) -> EndpointRecord:
    """Return the endpoint that a record under `ENDPOINTS_PREFIX` registers.

    Raises `InvalidConfiguration` for a record that describes no usable endpoint:
    not only endpoints can write under this prefix.
    """
    if not check_name(endpoint_id, "the id"):
        raise InvalidConfiguration("the id is empty")
    fields = decode_object(value)
    state = string(fields, "state")
    if state not in ("ready", "draining"):
        raise InvalidConfiguration("state is unknown")
    return EndpointRecord(
        endpoint_id=endpoint_id,
        service=name(fields, "service"),
        address=address(fields, "address"),
        failure_domain=name(fields, "zone"),
        slots=integer(fields, "slots", least=1, most=MAX_SLOTS),
        draining=state == "draining",
        cold_seconds=max(0.0, number(fields, "coldRemainingMs", most=MAX_COLD_MS))
        / 1000,
        born=integer(fields, "born", 0, least=0),
    )


def decode_member(daemon_id: str, value: bytes) -> str:
    """Return the peer address that a daemon has registered, as ``ip:port``.

    Raises `InvalidConfiguration` for a record that describes no daemon.
    """
    if not check_name(daemon_id, "the id"):
        raise InvalidConfiguration("the id is empty")
    return address(decode_object(value), "peerAddress")


def encode_member(peer_address: str) -> bytes:
    """Return the value that a daemon registers under its own key."""
    return json.dumps({"peerAddress": peer_address}).encode()


def decode_object(value: bytes, levels: int = 0) -> dict[str, Any]:
    """Return the JSON object in some bytes; raises `InvalidConfiguration`.

    On so many ``levels`` of it, what can't be read is None, as for `load_readable`.
    """
    try:
        fields = load_readable(value, levels) if levels else json.loads(value)
    except (ValueError, RecursionError) as error:
        raise InvalidConfiguration(f"not JSON: {error!s:.100}") from error
    if not isinstance(fields, dict):
        raise InvalidConfiguration("not a JSON object")
    return fields

"""Calls to the platform's metadata store."""

import base64
from collections.abc import Iterable
from typing import Any, NamedTuple

from cranberrywick.errors import InvalidConfiguration, PlatformUnavailable
from cranberrywick.external.exchange import PlatformClient, Reply
from cranberrywick.external.key_value import LeaseLapsed
from cranberrywick.platform.documents import (
    CONFIGURATION_KEY,
    ENDPOINTS_PREFIX,
    EVACUATION_PREFIX,
    MEMBERS_PREFIX,
    OPERATOR_PREFIX,
    decode_endpoint,
    decode_member,
    encode_member,
)
from cranberrywick.routing.model import EndpointRecord, EndpointView, OperatorView

__all__ = ["PlatformStore"]

# The store answers in milliseconds; a slow day is fifty times that. Longer than
# this, a reader is worth more asking again or hearing from a peer.
READ_TIMEOUT_SECONDS = 1.0


class PlatformStore:
    """The store as the gateway uses it; every call blocks and is tried once.

    Raises `PlatformUnavailable` for every call without a usable answer.
    """

    def __init__(self, address: str):
        self._client = PlatformClient(
            (f"http://{address}",), read_timeout=READ_TIMEOUT_SECONDS
        )
        # Of thousands of endpoints most have not written since the last reading.
        self._decoded_by_id: dict[str, _Decoded] = {}

    def read_endpoints(self) -> EndpointView:
        """Read every registered endpoint; never stale."""
        revision, items = self._range(ENDPOINTS_PREFIX)
        decoded_by_id = {}
        for item in items:
            endpoint_id = item["key"].removeprefix(ENDPOINTS_PREFIX)
            decoded = self._decoded_by_id.get(endpoint_id)
            if decoded is None or decoded.revision != item.get("revision"):
                decoded = _decode_record(endpoint_id, item)
            decoded_by_id[endpoint_id] = decoded
        self._decoded_by_id = decoded_by_id
        records = {i: d.record for i, d in decoded_by_id.items() if d.record}
        unusable = tuple(i for i, d in decoded_by_id.items() if d.record is None)
        return EndpointView(revision, records, unusable)

    def read_operator(self) -> OperatorView:
        """Read what operators have written; never stale."""
        revision, items = self._range(OPERATOR_PREFIX)
        document = b""
        domains = set()
        for item in items:
            if item["key"] == CONFIGURATION_KEY:
                document = _value(item)
            elif item["key"].startswith(EVACUATION_PREFIX):
                domains.add(item["key"].removeprefix(EVACUATION_PREFIX))
        return OperatorView.of(revision, document, frozenset(domains))

    def read_members(self) -> dict[str, str]:
        """Return the peer addresses of the registered daemons by id.

        It may be stale by seconds, which costs a tenth; heartbeats say who lives.
        """
        _, items = self._range(MEMBERS_PREFIX, serializable=True)
        members = {}
        for item in items:
            try:
                daemon_id = item["key"].removeprefix(MEMBERS_PREFIX)
                members[daemon_id] = decode_member(_value(item))
            except InvalidConfiguration:
                continue
        return members

    def register(self, daemon_id: str, peer_address: str, ttl_seconds: float) -> int:
        """Write this daemon's own key under a new lease and return the lease."""
        fields = {"ttlMs": int(ttl_seconds * 1000)}
        lease = int(self._call("POST", "/kv-lease", fields=fields).fields["lease"])
        write = {
            "key": MEMBERS_PREFIX + daemon_id,
            "value": base64.b64encode(encode_member(peer_address)).decode(),
            "lease": lease,
        }
        self._call("POST", "/kv-txn", fields={"expected": [], "writes": [write]})
        return lease

    def keep(self, lease: int) -> None:
        """Renew the lease; raises `LeaseLapsed`."""
        self._call("POST", f"/kv-keep/{lease}")

    def end(self, lease: int) -> None:
        """End the lease and with it this daemon's key."""
        self._call("DELETE", f"/kv-lease-end/{lease}")

    def _range(
        self, prefix: str, serializable: bool = False
    ) -> tuple[int, Iterable[dict[str, Any]]]:
        items: list[dict[str, Any]] = []
        query = {"prefix": prefix}
        if serializable:
            query["serializable"] = "1"
        while True:
            fields = self._call("GET", "/kv-range", query).fields
            page = fields.get("items") or []
            items.extend(page)
            if not fields.get("truncated") or not page:
                # Of several pages the oldest counts: later ones may only be newer.
                return int(fields["asOf"]), items
            query = {**query, "after": page[-1]["key"]}

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        fields: dict[str, Any] | None = None,
    ) -> Reply:
        reply = self._client.call(method, path, query, fields)
        if reply.status == 404:
            raise LeaseLapsed(f"{path}: no such lease")
        if reply.status != 200:
            raise PlatformUnavailable(f"{method} {path}: status {reply.status}")
        return reply


class _Decoded(NamedTuple):
    """What an item said at a revision; None if it is no endpoint."""

    revision: int | None
    record: EndpointRecord | None


def _decode_record(endpoint_id: str, item: dict[str, Any]) -> _Decoded:
    try:
        record = decode_endpoint(endpoint_id, _value(item))
    except InvalidConfiguration:
        record = None
    return _Decoded(item.get("revision"), record)


def _value(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item["value"], validate=True)
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidConfiguration("the value is not base64") from error

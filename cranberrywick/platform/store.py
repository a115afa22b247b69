"""Client of the platform's metadata store."""

import base64
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from cranberrywick.errors import InvalidConfiguration, PlatformUnavailable
from cranberrywick.external.exchange import PlatformClient, Reply
from cranberrywick.external.key_value import LeaseLapsed
from cranberrywick.fields import is_text
from cranberrywick.gateway.store_reader import Registered
from cranberrywick.logs import EventLog
from cranberrywick.platform.documents import (
    CONFIGURATION_KEY,
    ENDPOINTS_PREFIX,
    EVACUATION_PREFIX,
    MEMBERS_PREFIX,
    OPERATOR_PREFIX,
    QUARANTINES_PREFIX,
    decode_endpoint,
    decode_member,
    encode_member,
)
from cranberrywick.platform.store_epoch import StoreEpochs
from cranberrywick.routing.model import EndpointRecord, EndpointView, OperatorView
from cranberrywick.routing.store_position import StorePosition
from cranberrywick.unusable_records import UnusableRecords

__all__ = ["PlatformStore"]

# Longest wait for an answer, in seconds. The store answers within milliseconds, and
# within fifty times that when it is slow. After a longer wait it is better to read
# again or to use an update from a peer.
READ_TIMEOUT_SECONDS = 1.0

# Longest answer, in bytes: a page has 1 MB and one value of 1 MiB more, as base64.
MAX_PAGE_BYTES = 8 << 20
# Largest number of pages of a reading: they have some 500 records each.
MAX_PAGES = 200

# Bounds of a lease's time, in seconds.
MIN_LEASE_SECONDS = 1.0
MAX_LEASE_SECONDS = 600.0

# How often a reading of several pages is begun if the store returns in the middle.
MAX_READS = 3


class _Page(NamedTuple):
    """A page of a reading, and the store's position at it."""

    position: StorePosition
    items: list[dict[str, Any]]


class PlatformStore:
    """The calls to the store that the gateway makes; they block and are not retried.

    Every call without a usable answer raises `PlatformUnavailable`.
    """

    def __init__(self, address: str, log: EventLog):
        self._epochs = StoreEpochs(log)
        self._unusable_members = UnusableRecords("daemon", log)
        self._client = PlatformClient(
            (f"http://{address}",),
            read_timeout=READ_TIMEOUT_SECONDS,
            answer_limit=MAX_PAGE_BYTES,
        )
        # Records are decoded again only if they have changed: of thousands of endpoints
        # most have not written since the last snapshot.
        self._decoded_by_id: dict[str, _Decoded] = {}

    def read_endpoints(self) -> EndpointView:
        """Return a snapshot of every registered endpoint; it is never stale."""
        position, items = self._read_items(ENDPOINTS_PREFIX)
        decoded_by_id = {}
        for item in items:
            endpoint_id = item["key"].removeprefix(ENDPOINTS_PREFIX)
            decoded = self._decoded_by_id.get(endpoint_id)
            if decoded is None or decoded.value != item.get("value"):
                decoded = _decode_record(endpoint_id, item)
            decoded_by_id[endpoint_id] = decoded
        self._decoded_by_id = decoded_by_id
        records = {i: d.record for i, d in decoded_by_id.items() if d.record}
        reasons = {i: d.reason for i, d in decoded_by_id.items() if d.record is None}
        return EndpointView(position.revision, records, reasons, position.epoch)

    def read_operator(self) -> OperatorView:
        """Return a snapshot of what operators have written; it is never stale."""
        position, items = self._read_items(OPERATOR_PREFIX)
        document = b""
        domains = set()
        for item in items:
            if item["key"] == CONFIGURATION_KEY:
                document = _decode_value(item)
            elif item["key"].startswith(EVACUATION_PREFIX):
                domain = item["key"].removeprefix(EVACUATION_PREFIX)
                # No endpoint is in a domain with a name that none can have.
                if is_text(domain):
                    domains.add(domain)
        return OperatorView.of(
            position.revision, document, frozenset(domains), position.epoch
        )

    def read_members(self) -> dict[str, str]:
        """Return the peer addresses of the registered daemons by id.

        The answer may be stale by seconds, since such a read costs the store a tenth
        of a current one; heartbeats show which daemons are alive.
        """
        _, items = self._read_items(MEMBERS_PREFIX, serializable=True)
        addresses_by_id = {}
        reasons_by_id = {}
        for item in items:
            daemon_id = item["key"].removeprefix(MEMBERS_PREFIX)
            try:
                address = decode_member(daemon_id, _decode_value(item))
                addresses_by_id[daemon_id] = address
            except InvalidConfiguration as error:
                reasons_by_id[daemon_id] = error.message
        self._unusable_members.record(reasons_by_id)
        return addresses_by_id

    def register(
        self, daemon_id: str, peer_address: str, ttl_seconds: float
    ) -> Registered:
        """Write this daemon's own key under a new lease.

        Raises `LeaseLapsed` if the store lost the lease before the key was written.
        """
        lease, written = self._write_under_lease(
            MEMBERS_PREFIX + daemon_id, encode_member(peer_address), ttl_seconds
        )
        epoch = self._epochs.read(written.headers)
        return Registered(lease, StorePosition(epoch, int(written.fields["revision"])))

    def keep(self, registered: Registered) -> None:
        """Renew the lease; raises `LeaseLapsed`, also if the store has lost it."""
        reply = self._call("POST", f"/kv-keep/{registered.lease}")
        epoch = registered.position.epoch
        if self._epochs.read(reply.headers) != epoch:
            raise LeaseLapsed(f"lease {registered.lease} was granted in epoch {epoch}")

    def end(self, daemon_id: str, registered: Registered) -> None:
        """Delete this daemon's key if it is still the one that was written.

        The lease itself ends by its time: the store may have given its number to
        another daemon, whose key would be deleted with it.
        """
        key = MEMBERS_PREFIX + daemon_id
        expected = {"key": key, "revision": registered.position.revision}
        fields = {"expected": [expected], "writes": [], "remove": [key]}
        self._call("POST", "/kv-txn", fields=fields, accepted=(200, 412))

    def read_quarantines(self) -> frozenset[str]:
        """Return the traits that are quarantined; the answer may be stale."""
        _, items = self._read_items(QUARANTINES_PREFIX, serializable=True)
        return frozenset(item["key"].removeprefix(QUARANTINES_PREFIX) for item in items)

    def write_quarantine(self, trait_id: str, seconds: float) -> None:
        """Record a quarantine for so many seconds, unless it is on record already.

        Raises `LeaseLapsed` as `register` does.
        """
        key = QUARANTINES_PREFIX + trait_id
        ttl_seconds = min(max(seconds, MIN_LEASE_SECONDS), MAX_LEASE_SECONDS)
        self._write_under_lease(key, b"{}", ttl_seconds, ({"key": key, "revision": 0},))

    def remove_quarantine(self, trait_id: str) -> None:
        """Remove the record of a quarantine that has ended early."""
        key = QUARANTINES_PREFIX + trait_id
        fields = {"expected": [], "writes": [], "remove": [key]}
        self._call("POST", "/kv-txn", fields=fields)

    def _write_under_lease(
        self,
        key: str,
        value: bytes,
        ttl_seconds: float,
        expected: Sequence[dict[str, Any]] = (),
    ) -> tuple[int, Reply]:
        """Write a key under a new lease; return the lease and the store's reply.

        Nothing is written if another revision than the expected one is there.
        """
        fields: dict[str, Any] = {"ttlMs": int(ttl_seconds * 1000)}
        granted = self._call("POST", "/kv-lease", fields=fields)
        lease, epoch = int(granted.fields["lease"]), self._epochs.read(granted.headers)
        write = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        fields = {"expected": list(expected), "writes": [write]}
        accepted = (200, 412) if expected else (200,)
        written = self._call("POST", "/kv-txn", fields=fields, accepted=accepted)
        if self._epochs.read(written.headers) != epoch:
            # The key may have been written under another daemon's lease.
            raise LeaseLapsed(f"lease {lease} was granted in epoch {epoch}")
        return lease, written

    def _read_items(
        self, prefix: str, serializable: bool = False
    ) -> tuple[StorePosition, Iterable[dict[str, Any]]]:
        """Return the store's position and the items of all pages under a prefix.

        Pages are no snapshot: the position is that of the first. Pages of two epochs
        can't be combined; they are read again.
        """
        for _ in range(MAX_READS):
            pages = self._read_pages(prefix, serializable)
            if len({page.position.epoch for page in pages}) == 1:
                return pages[0].position, [i for page in pages for i in page.items]
        raise PlatformUnavailable(f"{prefix}: the store returned while it was read")

    def _read_pages(self, prefix: str, serializable: bool) -> list[_Page]:
        pages: list[_Page] = []
        query = {"prefix": prefix}
        if serializable:
            query["serializable"] = "1"
        for _ in range(MAX_PAGES):
            reply = self._call("GET", "/kv-range", query)
            fields = reply.fields
            items = fields.get("items") or []
            epoch = self._epochs.read(reply.headers)
            pages.append(_Page(StorePosition(epoch, int(fields["asOf"])), items))
            if not fields.get("truncated") or not items:
                return pages
            query = {**query, "after": items[-1]["key"]}
        raise PlatformUnavailable(f"{prefix}: over {MAX_PAGES} pages")

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        fields: dict[str, Any] | None = None,
        accepted: tuple[int, ...] = (200,),
    ) -> Reply:
        reply = self._client.call(method, path, query, fields)
        if reply.status == 404:
            raise LeaseLapsed(f"{path}: no such lease")
        if reply.status not in accepted:
            raise PlatformUnavailable(f"{method} {path}: status {reply.status}")
        return reply


class _Decoded(NamedTuple):
    """The endpoint that a value describes; None, and why, if that is no usable one.

    Items are compared by their values, since the store can give out a revision again.
    """

    value: str | None
    record: EndpointRecord | None
    reason: str = ""


def _decode_record(endpoint_id: str, item: dict[str, Any]) -> _Decoded:
    try:
        record = decode_endpoint(endpoint_id, _decode_value(item))
    except InvalidConfiguration as error:
        return _Decoded(item.get("value"), None, error.message)
    return _Decoded(item.get("value"), record)


def _decode_value(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item["value"], validate=True)
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidConfiguration("the value is not base64") from error

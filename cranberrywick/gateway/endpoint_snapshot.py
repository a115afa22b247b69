"""Snapshots of the registered endpoints, as daemons send them to one another.

Load pattern: endpoints are replaced one after the other while every daemon must know
within a second or two which of them leave. If all records were sent at each change,
those of some hundred endpoints would fill the links of a relay that forwards them to
forty daemons: datagrams would be lost, and daemons whose calls the store refuses would
send requests to endpoints that left seconds before. As differences, updates take some
hundred bytes; a daemon that has missed one requests all records from a peer over a
connection, which loses nothing.
"""

import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import capnp

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.heartbeat_rows import milliseconds
from cranberrywick.gateway.schema import SCHEMA, pack, unpack
from cranberrywick.routing.model import EndpointDelta, EndpointRecord, EndpointView
from cranberrywick.routing.store_position import UNKNOWN_EPOCH

__all__ = ["NO_DELTA", "Applied", "EndpointSnapshot"]

# The base of a snapshot that holds all records.
NO_BASE = 0
NO_DELTA = EndpointDelta((), ())


class EndpointSnapshot(NamedTuple):
    """The registered endpoints as they were read ``age`` seconds ago.

    ``revision`` and ``epoch`` are the store's, and ``digest`` identifies the records.
    ``changes`` holds, packed, the changes that lead from an earlier state to these
    records. It is empty if nothing has changed lately or the records are to be
    requested.
    """

    @property
    def log_kind(self) -> str:
        """The name of this kind of message in log lines."""
        return "EndpointReading"

    revision: int
    age: float
    digest: int
    changes: bytes = b""
    epoch: int = UNKNOWN_EPOCH

    @classmethod
    def whole(cls, view: EndpointView, digest: int, age: float) -> "EndpointSnapshot":
        """Return a snapshot with all records."""
        changes = _pack_changes(NO_BASE, view.records_by_id, ())
        return cls(view.revision, age, digest, changes, view.epoch)

    @classmethod
    def difference(
        cls,
        view: EndpointView,
        digest: int,
        age: float,
        delta: EndpointDelta,
        base: int,
    ) -> "EndpointSnapshot":
        """Return a snapshot that holds the difference to the view with digest ``base``.

        ``delta`` holds all changes from that view to ``view``. It may hold more, so
        that the snapshot can also be applied to views shortly before or after the base.
        """
        records_by_id = {record.endpoint_id: record for record in delta.changed}
        changes = _pack_changes(base, records_by_id, delta.gone_ids)
        return cls(view.revision, age, digest, changes, view.epoch)

    def applied_to(self, view: EndpointView | None, digest: int) -> "Applied | None":
        """Return the result of applying this snapshot to ``view`` with this digest.

        None if the changes do not lead from there to this snapshot's digest. Mostly
        they do, also from a slightly older or newer state than the sender's. Raises
        `PeerMessageInvalid` for changes that can't be read, and for those that do not
        lead to the digest although they hold all records or start from this view.
        """
        if view is not None and digest == self.digest:
            return Applied(self._positioned(view), NO_DELTA)
        if not self.changes:
            return None
        base, delta = _unpack_changes(self.changes)
        if base == NO_BASE:
            view = view or EndpointView(0, {})
            whole = EndpointView(0, {}).with_delta(delta, self.revision)
            whole = self._positioned(whole)
            applied = Applied(whole, whole.delta_from(view))
            reached = whole.digest
        elif view is not None:
            changed = view.with_delta(delta, self.revision)
            applied = Applied(self._positioned(changed), delta)
            reached = view.digest_with_delta(delta, digest)
        else:
            return None
        if reached == self.digest:
            return applied
        if base in (NO_BASE, digest):
            raise PeerMessageInvalid("the records are not those of their digest")
        return None

    def _positioned(self, view: EndpointView) -> EndpointView:
        return view._replace(revision=self.revision, epoch=self.epoch)


class Applied(NamedTuple):
    """A view after a snapshot was applied, and what the snapshot changed."""

    view: EndpointView
    delta: EndpointDelta


class _Changes(NamedTuple):
    base: int
    delta: EndpointDelta


def _pack_changes(
    base: int, records_by_id: Mapping[str, EndpointRecord], gone_ids: tuple[str, ...]
) -> bytes:
    records = [_write_record(record) for record in records_by_id.values()]
    return pack(
        SCHEMA.EndpointChanges.new_message(
            base=base, records=records, goneIds=list(gone_ids)
        )
    )


def _unpack_changes(data: bytes) -> _Changes:
    try:
        with unpack(SCHEMA.EndpointChanges, data) as changes:
            records = tuple(map(_read_record, changes.records))
            delta = EndpointDelta(records, tuple(changes.goneIds))
            return _Changes(changes.base, delta)
    except (capnp.KjException, ValueError, zlib.error) as error:
        raise PeerMessageInvalid(f"malformed records: {error!s:.100}") from error


def _write_record(record: EndpointRecord) -> dict[str, Any]:
    return {
        "endpointId": record.endpoint_id,
        "service": record.service,
        "address": record.address,
        "failureDomain": record.failure_domain,
        "slots": record.slots,
        "draining": record.draining,
        "coldMs": milliseconds(record.cold_seconds),
        "born": record.born,
    }


def _read_record(record: Any) -> EndpointRecord:
    return EndpointRecord(
        endpoint_id=record.endpointId,
        service=record.service,
        address=record.address,
        failure_domain=record.failureDomain,
        slots=record.slots,
        draining=record.draining,
        cold_seconds=record.coldMs / 1000,
        born=record.born,
    )

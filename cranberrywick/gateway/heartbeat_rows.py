"""Heartbeats on the wire: rows of plain values.

Load pattern: in a fleet of two hundred, a daemon receives some hundred heartbeats with
a thousand jobs a second, and a relay writes as many. Read field by field from a Cap'n
Proto structure, they would take most of the daemon's processor time, since each field
is a call; msgspec decodes the rows in a single call.

Ages and waits stand in place of moments, since the clocks of two daemons are not
compared: each side adds them to its own clock.
"""

from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Annotated, NamedTuple

from msgspec import Meta
from msgspec.msgpack import Decoder, Encoder

from cranberrywick.addresses import is_address
from cranberrywick.routing.crash_statement import NOTHING_STATED, CrashStatement
from cranberrywick.routing.drain_notices import DrainNotice
from cranberrywick.routing.endpoint_limits import LimitReport
from cranberrywick.routing.fleet_answers import AnswerStatement
from cranberrywick.routing.fleet_demand import DemandStatement
from cranberrywick.routing.load import Job
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.reachability import ReachStatement
from cranberrywick.routing.slowdown import EndpointSlowdown
from cranberrywick.routing.store_knowledge import StoreKnowledge

__all__ = [
    "HeartbeatBatch",
    "RelayedHeartbeat",
    "milliseconds",
    "pack_heartbeats",
    "unpack_heartbeats",
]

# Largest duration on the wire, in milliseconds; it also stands for an infinite age.
MAX_MS = 2**31 - 1

_Milliseconds = Annotated[int, Meta(ge=0, le=MAX_MS)]
_SignedMilliseconds = Annotated[int, Meta(ge=-MAX_MS, le=MAX_MS)]
_Count = Annotated[int, Meta(ge=0)]


class RelayedHeartbeat(NamedTuple):
    """A heartbeat, and when the first daemon received it."""

    received_at: float
    heartbeat: Heartbeat


class HeartbeatBatch(NamedTuple):
    """Heartbeats, and the id and the failure domain of the relay that forwards them.

    Id and domain are empty when a daemon sends its own heartbeat.
    """

    @property
    def log_kind(self) -> str:
        """The name of this kind of message in log lines."""
        return "RelayNews"

    relay_id: str
    relay_domain: str
    heartbeats: tuple[RelayedHeartbeat, ...]

    @property
    def halves(self) -> tuple["HeartbeatBatch", ...]:
        """Two batches with half of the heartbeats each; none for fewer than two."""
        middle = len(self.heartbeats) // 2
        if not middle:
            return ()
        parts = self.heartbeats[:middle], self.heartbeats[middle:]
        return tuple(self._replace(heartbeats=part) for part in parts)


class _JobRow(NamedTuple):
    endpoint_id: str
    held_tokens: _Count
    prefill_ms: _Milliseconds
    age_ms: _Milliseconds
    first_event_ms: _Milliseconds
    due_ms: _SignedMilliseconds
    decoding: bool
    helper: bool
    joint: bool
    gap_ms: _Milliseconds
    value: float


class _LimitRow(NamedTuple):
    endpoint_id: str
    rate: Annotated[float, Meta(ge=0)]
    age_ms: _Milliseconds
    free_ms: _Milliseconds | None


class _DrainRow(NamedTuple):
    endpoint_id: str
    born: int
    age_ms: _Milliseconds


class _HeartbeatRow(NamedTuple):
    age_ms: _Milliseconds
    daemon_id: str
    incarnation: _Count
    sequence: _Count
    peer_address: str
    entry_address: str
    failure_domain: str
    leaving: bool
    operator_revision: _Count
    operator_digest: _Count
    operator_age_ms: _Milliseconds
    jobs: tuple[_JobRow, ...]
    slow_engines: tuple[EndpointSlowdown, ...]
    limits: tuple[_LimitRow, ...] = ()
    drain_notices: tuple[_DrainRow, ...] = ()


class _BatchRow(NamedTuple):
    relay_id: str
    relay_domain: str
    heartbeats: tuple[_HeartbeatRow, ...]


_NOTHING = StoreKnowledge()
_NO_REACH = ReachStatement()
_NO_DEMAND = DemandStatement()
_NO_ANSWERS = AnswerStatement()
_ENCODER = Encoder()
_DECODER = Decoder(_BatchRow)


def milliseconds(seconds: float) -> int:
    """Return a duration in milliseconds, within 0 and `MAX_MS`."""
    return int(min(max(0.0, seconds) * 1000, MAX_MS))


def _signed_milliseconds(seconds: float) -> int:
    return int(max(-MAX_MS, min(seconds * 1000, MAX_MS)))


def pack_heartbeats(batch: HeartbeatBatch, now: float) -> bytes:
    """Return the bytes of heartbeats.

    ``now`` is the current time of the clock to which their moments refer.
    """
    rows = tuple(_heartbeat_row(each, now) for each in batch.heartbeats)
    return _ENCODER.encode(_BatchRow(batch.relay_id, batch.relay_domain, rows))


def unpack_heartbeats(
    data: bytes,
    now: float,
    knowledge_by_position: Mapping[int, StoreKnowledge] = MappingProxyType({}),
    reach_by_position: Mapping[int, ReachStatement] = MappingProxyType({}),
    demand_by_position: Mapping[int, DemandStatement] = MappingProxyType({}),
    crashes_by_position: Mapping[int, CrashStatement] = MappingProxyType({}),
    answers_by_position: Mapping[int, AnswerStatement] = MappingProxyType({}),
    row_dropped: Callable[[str], None] = lambda error: None,
) -> HeartbeatBatch:
    """Return the heartbeats in these bytes.

    ``now`` is the current time of the receiver's clock. ``knowledge_by_position`` has
    what the heartbeats state about the store, ``reach_by_position`` what they state
    about reached endpoints, ``demand_by_position`` what they state about demand,
    ``crashes_by_position`` what they state about crashes, and ``answers_by_position``
    what they state about answers. Rows of daemons without usable addresses are left
    out, and ``row_dropped`` is called with the reason.
    Raises ValueError for bytes that are not rows of the declared types and bounds.
    """
    relay_id, relay_domain, rows = _DECODER.decode(data)
    heartbeats = tuple(
        _relayed_heartbeat(
            row,
            now,
            knowledge_by_position.get(position, _NOTHING),
            reach_by_position.get(position, _NO_REACH),
            demand_by_position.get(position, _NO_DEMAND),
            crashes_by_position.get(position, NOTHING_STATED),
            answers_by_position.get(position, _NO_ANSWERS),
        )
        for position, row in enumerate(rows)
        if _has_addresses(row, row_dropped)
    )
    return HeartbeatBatch(relay_id, relay_domain, heartbeats)


def _has_addresses(row: _HeartbeatRow, row_dropped: Callable[[str], None]) -> bool:
    """Whether a daemon's addresses can be used; callers are told that of its entry."""
    if is_address(row.peer_address) and (
        not row.entry_address or is_address(row.entry_address)
    ):
        return True
    row_dropped(f"an address of {row.daemon_id!a:.40} can't be used")
    return False


def _heartbeat_row(relayed: RelayedHeartbeat, now: float) -> _HeartbeatRow:
    beat = relayed.heartbeat
    return _HeartbeatRow(
        milliseconds(now - relayed.received_at),
        beat.daemon_id,
        beat.incarnation,
        beat.sequence,
        beat.peer_address,
        beat.entry_address,
        beat.failure_domain,
        beat.leaving,
        beat.operator_revision,
        beat.operator_digest,
        milliseconds(beat.operator_age),
        _job_rows(beat.jobs, now),
        tuple(beat.slow_engines),
        _limit_rows(beat.limits, now),
        _drain_rows(beat.drain_notices, now),
    )


def _job_rows(jobs: Sequence[Job], now: float) -> tuple[_JobRow, ...]:
    return tuple(
        _JobRow(
            job.endpoint_id,
            job.held_tokens,
            milliseconds(job.prefill_seconds),
            milliseconds(now - job.started_at),
            milliseconds(job.first_event_at - now),
            _signed_milliseconds(job.due_at - now),
            job.decoding,
            job.helper,
            job.joint,
            milliseconds(job.gap_seconds),
            job.value,
        )
        for job in jobs
    )


def _relayed_heartbeat(
    row: _HeartbeatRow,
    now: float,
    store: StoreKnowledge,
    reach: ReachStatement,
    demand: DemandStatement,
    crashes: CrashStatement,
    answers: AnswerStatement,
) -> RelayedHeartbeat:
    age_ms, *fields, operator_age_ms, jobs, slow_engines, limits, drains = row
    heartbeat = Heartbeat(
        *fields,
        operator_age_ms / 1000,
        _jobs(jobs, now),
        slow_engines,
        _limits(limits, now),
        _drain_notices(drains, now),
        store,
        reach,
        demand,
        crashes,
        answers,
    )
    return RelayedHeartbeat(now - age_ms / 1000, heartbeat)


def _jobs(rows: Sequence[_JobRow], now: float) -> tuple[Job, ...]:
    return tuple(
        Job(
            endpoint_id,
            held_tokens,
            prefill / 1000,
            now - age / 1000,
            now + first_event / 1000,
            now + due / 1000,
            decoding,
            helper,
            joint,
            gap / 1000,
            value,
        )
        for (
            endpoint_id,
            held_tokens,
            prefill,
            age,
            first_event,
            due,
            decoding,
            helper,
            joint,
            gap,
            value,
        ) in rows
    )


def _limit_rows(limits: Sequence[LimitReport], now: float) -> tuple[_LimitRow, ...]:
    return tuple(
        _LimitRow(
            endpoint_id,
            rate,
            milliseconds(now - seen_at),
            None if free_at is None else milliseconds(free_at - now),
        )
        for endpoint_id, rate, seen_at, free_at in limits
    )


def _limits(rows: Sequence[_LimitRow], now: float) -> tuple[LimitReport, ...]:
    return tuple(
        LimitReport(
            endpoint_id,
            rate,
            now - age / 1000,
            None if free is None else now + free / 1000,
        )
        for endpoint_id, rate, age, free in rows
    )


def _drain_rows(notices: Sequence[DrainNotice], now: float) -> tuple[_DrainRow, ...]:
    return tuple(
        _DrainRow(endpoint_id, born, milliseconds(now - announced_at))
        for endpoint_id, born, announced_at in notices
    )


def _drain_notices(rows: Sequence[_DrainRow], now: float) -> tuple[DrainNotice, ...]:
    return tuple(
        DrainNotice(endpoint_id, born, now - age / 1000)
        for endpoint_id, born, age in rows
    )

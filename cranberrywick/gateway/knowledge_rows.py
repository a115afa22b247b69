"""What heartbeats state about the store, on the wire: a row beside each heartbeat.

See `cranberrywick.gateway.row_lists` for how rows may grow.
"""

from collections.abc import Iterable
from functools import lru_cache
from math import inf
from typing import Annotated

from msgspec import Meta, Raw, Struct
from msgspec.msgpack import Decoder, Encoder

from cranberrywick.gateway.heartbeat_rows import milliseconds
from cranberrywick.gateway.row_lists import DecodedRows, decode_rows
from cranberrywick.routing.store_knowledge import (
    RetainedDomain,
    RetainedEndpoint,
    StoreKnowledge,
)
from cranberrywick.routing.store_position import UNKNOWN_EPOCH

__all__ = ["pack_knowledge", "unpack_knowledge"]

_Milliseconds = Annotated[int, Meta(ge=0, le=2**31 - 1)]
_Epoch = Annotated[int, Meta(ge=UNKNOWN_EPOCH, lt=10**18)]


class _DomainRow(Struct, array_like=True, frozen=True):
    domain: str
    remaining_ms: _Milliseconds
    known_age_ms: _Milliseconds


class _EndpointRow(Struct, array_like=True, frozen=True):
    endpoint_id: str
    born: int
    unused_ms: _Milliseconds = 0
    cold_ms: _Milliseconds = 0


class _KnowledgeRow(Struct, array_like=True, frozen=True):
    epoch: _Epoch = UNKNOWN_EPOCH
    operator_epoch: _Epoch = UNKNOWN_EPOCH
    configuration_version: Annotated[int, Meta(ge=0)] = 0
    domains: tuple[_DomainRow, ...] = ()
    endpoints: tuple[_EndpointRow, ...] = ()


# Number of rows whose bytes are kept. Mostly all daemons state the same; at a change a
# few different rows are seen for a moment.
MAX_CACHED = 256
_ENCODER = Encoder()
_ROW_DECODER = Decoder(_KnowledgeRow)


def pack_knowledge(statements: Iterable[StoreKnowledge], now: float) -> bytes:
    """Return the rows of what heartbeats state, in the order of the heartbeats."""
    return _ENCODER.encode(
        [
            _row(statement, now)
            if statement.domains or statement.endpoints
            else _pack_plain(statement)
            for statement in statements
        ]
    )


def unpack_knowledge(data: bytes, now: float) -> DecodedRows:
    """Return the rows in these bytes; ``now`` is the time of the receiver's clock."""
    return decode_rows(data, lambda row: _unpack(row, now))


@lru_cache(MAX_CACHED)
def _pack_plain(statement: StoreKnowledge) -> Raw:
    """Return the row of a statement that holds no times."""
    return Raw(_ENCODER.encode(_row(statement, 0.0)))


def _unpack(data: bytes, now: float) -> StoreKnowledge:
    row, plain = _decode(data)
    return plain if plain is not None else _knowledge(row, now)


@lru_cache(MAX_CACHED)
def _decode(data: bytes) -> tuple[_KnowledgeRow, StoreKnowledge | None]:
    """Return a row, and its statement if that holds no times."""
    row = _ROW_DECODER.decode(data)
    has_times = row.domains or row.endpoints
    return row, None if has_times else _knowledge(row, 0.0)


def _row(statement: StoreKnowledge, now: float) -> _KnowledgeRow:
    return _KnowledgeRow(
        statement.epoch,
        statement.operator_epoch,
        statement.configuration_version,
        tuple(
            _DomainRow(
                each.domain,
                milliseconds(each.until - now),
                milliseconds(now - each.known_at),
            )
            for each in statement.domains
        ),
        tuple(
            _EndpointRow(
                each.endpoint_id,
                each.born,
                milliseconds(each.unused_until - now),
                milliseconds(each.cold_until - now),
            )
            for each in statement.endpoints
        ),
    )


def _knowledge(row: _KnowledgeRow, now: float) -> StoreKnowledge:
    domains = [
        RetainedDomain(
            each.domain, now + each.remaining_ms / 1000, now - each.known_age_ms / 1000
        )
        for each in row.domains
    ]
    endpoints = [
        RetainedEndpoint(
            each.endpoint_id,
            each.born,
            _moment(each.unused_ms, now),
            _moment(each.cold_ms, now),
        )
        for each in row.endpoints
    ]
    return StoreKnowledge(
        row.epoch,
        row.operator_epoch,
        row.configuration_version,
        tuple(domains),
        tuple(endpoints),
    )


def _moment(remaining_ms: int, now: float) -> float:
    return now + remaining_ms / 1000 if remaining_ms else -inf

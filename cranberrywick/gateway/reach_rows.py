"""What heartbeats state about reached endpoints, on the wire: a row beside each.

See `cranberrywick.gateway.row_lists` for how rows may grow.
"""

from collections.abc import Iterable
from functools import lru_cache
from typing import Annotated

from msgspec import Meta, Raw, Struct
from msgspec.msgpack import Decoder, Encoder

from cranberrywick.gateway.row_lists import DecodedRows, decode_rows
from cranberrywick.routing.reachability import ReachStatement

__all__ = ["pack_reach", "unpack_reach"]

# Number of rows whose bytes are kept; nearly all daemons state the same.
MAX_CACHED = 256


class _ReachRow(Struct, array_like=True, frozen=True):
    port: Annotated[int, Meta(ge=0, le=65535)] = 0
    unreached_services: tuple[str, ...] = ()
    poorly_reached_services: tuple[str, ...] = ()


_ENCODER = Encoder()
_ROW_DECODER = Decoder(_ReachRow)


def pack_reach(statements: Iterable[ReachStatement]) -> bytes:
    """Return the rows of what heartbeats state, in the order of the heartbeats."""
    return _ENCODER.encode([_pack(statement) for statement in statements])


def unpack_reach(data: bytes) -> DecodedRows:
    """Return the rows in these bytes."""
    return decode_rows(data, _unpack)


@lru_cache(MAX_CACHED)
def _pack(statement: ReachStatement) -> Raw:
    return Raw(_ENCODER.encode(_ReachRow(*statement)))


@lru_cache(MAX_CACHED)
def _unpack(data: bytes) -> ReachStatement:
    row = _ROW_DECODER.decode(data)
    return ReachStatement(row.port, row.unreached_services, row.poorly_reached_services)

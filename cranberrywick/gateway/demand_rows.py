"""What heartbeats state about demand and VMs, on the wire: a row beside each.

See `cranberrywick.gateway.row_lists` for how rows may grow. Rates, times and resources
are whole hundredths or thousandths: few digits keep the rows short, and a relay writes
the same numbers that it has read. An empty row states nothing.
"""

from collections.abc import Iterable
from functools import lru_cache
from typing import Annotated

from msgspec import Meta, Raw, Struct
from msgspec.msgpack import Decoder, Encoder

from cranberrywick.gateway.row_lists import DecodedRows, decode_rows
from cranberrywick.routing.fleet_demand import (
    DemandStatement,
    OrganisationUsage,
    RankDemand,
    ServiceDemand,
    VmCapacity,
)

__all__ = ["pack_demand", "unpack_demand"]

# Largest numbers of rows in what one heartbeat states. A daemon states at most eight
# organisations for each service, and services of a configuration have a few ranks.
MAX_SERVICES = 32
MAX_RANKS = 16
MAX_ORGANISATIONS = 16
# Longest name of a service or organisation, in characters.
MAX_NAME = 128
# Largest absolute value of a rank.
MAX_RANK = 10**6
# Largest number on the wire. As hundredths of engine seconds it is more than 3,000
# engines spend in an hour.
MAX_NUMBER = 2**31 - 1

# Number of rows whose values are kept; most are empty or state only a VM's capacity.
MAX_CACHED = 256

_HUNDREDTHS = 100
_THOUSANDTHS = 1000

_Name = Annotated[str, Meta(max_length=MAX_NAME)]
_Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
_Rank = Annotated[int, Meta(ge=-MAX_RANK, le=MAX_RANK)]


class _RankRow(Struct, array_like=True, frozen=True):
    rank: _Rank
    waiting: _Number = 0
    hundredths_per_second: _Number = 0


class _UsageRow(Struct, array_like=True, frozen=True):
    organisation: _Name
    hundredths: _Number = 0


class _ServiceRow(Struct, array_like=True, frozen=True):
    service: _Name
    ranks: Annotated[tuple[_RankRow, ...], Meta(max_length=MAX_RANKS)] = ()
    usage: Annotated[tuple[_UsageRow, ...], Meta(max_length=MAX_ORGANISATIONS)] = ()
    mean_ms: _Number = 0


class _DemandRow(Struct, array_like=True, frozen=True):
    services: Annotated[tuple[_ServiceRow, ...], Meta(max_length=MAX_SERVICES)] = ()
    thousandths_of_cores: _Number = 0
    hundredths_of_mbps: _Number = 0
    delay_ms: _Number = 0


_NOTHING = DemandStatement()
_ENCODER = Encoder()
_ROW_DECODER = Decoder(_DemandRow)
_EMPTY_ROW = Raw(_ENCODER.encode(()))


def pack_demand(statements: Iterable[DemandStatement]) -> bytes:
    """Return the rows of what heartbeats state, in the order of the heartbeats.

    There are no bytes if no heartbeat states anything.
    """
    statements = list(statements)
    if all(statement == _NOTHING for statement in statements):
        return b""
    return _ENCODER.encode(
        [_EMPTY_ROW if each == _NOTHING else _demand_row(each) for each in statements]
    )


def unpack_demand(data: bytes) -> DecodedRows:
    """Return the rows in these bytes."""
    return decode_rows(data, _unpack)


def _demand_row(statement: DemandStatement) -> _DemandRow:
    cores, link_mbps, delay_seconds = statement.capacity
    services = [each for each in statement.services if len(each.service) <= MAX_NAME]
    return _DemandRow(
        tuple(_service_row(each) for each in services[:MAX_SERVICES]),
        _whole(cores, _THOUSANDTHS),
        _whole(link_mbps, _HUNDREDTHS),
        _whole(delay_seconds, _THOUSANDTHS),
    )


def _service_row(demand: ServiceDemand) -> _ServiceRow:
    ranks = [each for each in demand.ranks if abs(each.rank) <= MAX_RANK]
    usage = [each for each in demand.usage if len(each.organisation) <= MAX_NAME]
    return _ServiceRow(
        demand.service,
        tuple(
            _RankRow(rank, _whole(waiting, 1), _whole(arrivals, _HUNDREDTHS))
            for rank, waiting, arrivals in ranks[:MAX_RANKS]
        ),
        tuple(
            _UsageRow(organisation, _whole(seconds, _HUNDREDTHS))
            for organisation, seconds in usage[:MAX_ORGANISATIONS]
        ),
        _whole(demand.mean_seconds, _THOUSANDTHS),
    )


def _whole(number: float, parts: int) -> int:
    """Return a number in whole parts of one, within the bounds of the wire."""
    return round(min(max(0.0, number * parts), MAX_NUMBER))


@lru_cache(MAX_CACHED)
def _unpack(data: bytes) -> DemandStatement:
    row = _ROW_DECODER.decode(data)
    capacity = VmCapacity(
        row.thousandths_of_cores / _THOUSANDTHS,
        row.hundredths_of_mbps / _HUNDREDTHS,
        row.delay_ms / _THOUSANDTHS,
    )
    return DemandStatement(capacity, tuple(_service(each) for each in row.services))


def _service(row: _ServiceRow) -> ServiceDemand:
    ranks = [
        RankDemand(each.rank, each.waiting, each.hundredths_per_second / _HUNDREDTHS)
        for each in row.ranks
    ]
    usage = [
        OrganisationUsage(each.organisation, each.hundredths / _HUNDREDTHS)
        for each in row.usage
    ]
    return ServiceDemand(
        row.service, tuple(ranks), tuple(usage), row.mean_ms / _THOUSANDTHS
    )

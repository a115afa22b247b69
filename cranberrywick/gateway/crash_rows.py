"""What heartbeats state about crashes of endpoints, on the wire: a row beside each.

See `cranberrywick.gateway.row_lists` for how rows may grow. An empty row states
nothing. Ages stand in place of moments, as in the heartbeats.
"""

from collections.abc import Iterable
from functools import partial
from typing import Annotated

from msgspec import Meta, Raw, Struct
from msgspec.msgpack import Decoder, Encoder

from cranberrywick.gateway.heartbeat_rows import MAX_MS, milliseconds
from cranberrywick.gateway.row_lists import DecodedRows, decode_rows
from cranberrywick.routing.crash_statement import (
    NOTHING_STATED,
    CrashStatement,
    EndpointCrash,
    LostRequest,
    Quarantine,
    TraitAnswer,
)
from cranberrywick.routing.request_traits import is_segment

__all__ = ["pack_crashes", "unpack_crashes"]

# Largest numbers of rows in what one heartbeat states, of segments of a prompt, and of
# traits of a request.
MAX_CRASHES = 64
MAX_LOST = 64
MAX_SEGMENTS = 64
MAX_TRAITS = MAX_SEGMENTS + 2
MAX_ANSWERS = 1024
MAX_QUARANTINES = 256
# Longest id of an endpoint or a trait, in characters.
MAX_ID = 128
# For how long an endpoint had what a daemon of an earlier build lost there, in seconds.
# That build doesn't state it, and takes crashes within this time to coincide.
ASSUMED_SENT_SECONDS = 0.1

_Id = Annotated[str, Meta(max_length=MAX_ID)]
_Milliseconds = Annotated[int, Meta(ge=0, le=MAX_MS)]
_Prompt = Annotated[tuple[_Id, ...], Meta(max_length=MAX_SEGMENTS)]
_Traits = Annotated[tuple[_Id, ...], Meta(max_length=MAX_TRAITS)]


class _LostRow(Struct, array_like=True, frozen=True):
    traits: _Traits
    sent_for_ms: _Milliseconds
    alike: Annotated[int, Meta(ge=1)] = 1
    is_trial: bool = False


class _CrashRow(Struct, array_like=True, frozen=True):
    """A crash; daemons of an earlier build know only the segments of ``prompts``."""

    endpoint_id: _Id
    born: int
    age_ms: _Milliseconds
    prompts: Annotated[tuple[_Prompt, ...], Meta(max_length=MAX_LOST)] = ()
    lost: Annotated[tuple[_LostRow, ...], Meta(max_length=MAX_LOST)] = ()


class _TraitRow(Struct, array_like=True, frozen=True):
    """A trait, and how long ago it was answered or was at its last crash."""

    trait_id: _Id
    age_ms: _Milliseconds


class _StatementRow(Struct, array_like=True, frozen=True):
    crashes: Annotated[tuple[_CrashRow, ...], Meta(max_length=MAX_CRASHES)] = ()
    answers: Annotated[tuple[_TraitRow, ...], Meta(max_length=MAX_ANSWERS)] = ()
    quarantines: Annotated[tuple[_TraitRow, ...], Meta(max_length=MAX_QUARANTINES)] = ()


_ENCODER = Encoder()
_ROW_DECODER = Decoder(_StatementRow)
_EMPTY_ROW = Raw(_ENCODER.encode(()))


def pack_crashes(statements: Iterable[CrashStatement], now: float) -> bytes:
    """Return the rows of what heartbeats state, in the order of the heartbeats.

    There are no bytes if no heartbeat states anything.
    """
    statements = list(statements)
    if all(statement == NOTHING_STATED for statement in statements):
        return b""
    return _ENCODER.encode(
        [
            _EMPTY_ROW if each == NOTHING_STATED else _row(each, now)
            for each in statements
        ]
    )


def unpack_crashes(data: bytes, now: float) -> DecodedRows:
    """Return the rows in these bytes."""
    return decode_rows(data, partial(_unpack, now=now))


def _row(statement: CrashStatement, now: float) -> _StatementRow:
    crashes, answers, quarantines = statement
    return _StatementRow(
        tuple(_crash_row(crash, now) for crash in crashes[-MAX_CRASHES:]),
        tuple(
            _TraitRow(trait_id, milliseconds(now - at))
            for trait_id, at in answers[:MAX_ANSWERS]
        ),
        tuple(
            _TraitRow(each.trait_id, milliseconds(now - each.last_crash_at))
            for each in quarantines[:MAX_QUARANTINES]
        ),
    )


def _crash_row(crash: EndpointCrash, now: float) -> _CrashRow:
    prompts = (tuple(filter(is_segment, each.traits)) for each in crash.lost)
    return _CrashRow(
        crash.endpoint_id,
        crash.born,
        milliseconds(now - crash.at),
        tuple(dict.fromkeys(filter(None, prompts)))[:MAX_LOST],
        tuple(
            _LostRow(
                each.traits, milliseconds(each.sent_for), each.alike, each.is_trial
            )
            for each in crash.lost[:MAX_LOST]
        ),
    )


def _lost_requests(row: _CrashRow) -> tuple[LostRequest, ...]:
    if not row.lost:
        return tuple(LostRequest(each, ASSUMED_SENT_SECONDS) for each in row.prompts)
    return tuple(
        LostRequest(each.traits, each.sent_for_ms / 1000, each.alike, each.is_trial)
        for each in row.lost
    )


def _unpack(data: bytes, now: float) -> CrashStatement:
    row = _ROW_DECODER.decode(data)
    return CrashStatement(
        tuple(
            EndpointCrash(
                each.endpoint_id,
                each.born,
                now - each.age_ms / 1000,
                _lost_requests(each),
            )
            for each in row.crashes
        ),
        tuple(
            TraitAnswer(each.trait_id, now - each.age_ms / 1000) for each in row.answers
        ),
        tuple(
            Quarantine(each.trait_id, now - each.age_ms / 1000)
            for each in row.quarantines
        ),
    )

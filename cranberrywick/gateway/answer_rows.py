"""What heartbeats state about answers, on the wire: a row beside each.

See `cranberrywick.gateway.row_lists` for how rows may grow. Lengths are in
events, the usual one in hundredths of an event; paces are microseconds. An empty row
states nothing.
"""

from collections.abc import Iterable
from typing import Annotated

from msgspec import Meta, Raw, Struct
from msgspec.msgpack import Decoder, Encoder

from cranberrywick.gateway.row_lists import DecodedRows, decode_rows
from cranberrywick.routing.answer_lengths import LengthStatement, LengthTraits, Tail
from cranberrywick.routing.fleet_answers import (
    MAX_STATED_LENGTHS,
    MAX_STATED_PACES,
    AnswerStatement,
    PaceStatement,
)

__all__ = ["pack_answers", "unpack_answers"]

# Longest name of a route or a service, in characters.
MAX_NAME = 128
# Largest group of answers by the binary digits of their tokens.
MAX_SIZE = 63
# Largest number on the wire.
MAX_NUMBER = 2**40

_HUNDREDTHS = 100
_MILLIONTHS = 1_000_000

_Name = Annotated[str, Meta(max_length=MAX_NAME)]
_Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
_Size = Annotated[int, Meta(ge=0, le=MAX_SIZE)]


class _TailRow(Struct, array_like=True, frozen=True):
    count: _Number = 0
    most: _Number = 0
    usual: _Number = 0


class _LengthRow(Struct, array_like=True, frozen=True):
    route: _Name
    size: _Size
    hint_size: _Size = 0
    events: _TailRow = _TailRow()
    within_tokens: bool = False
    within_declared: bool = False
    is_numbered: bool = False


class _PaceRow(Struct, array_like=True, frozen=True):
    service: _Name
    microseconds: _Number


class _AnswerRow(Struct, array_like=True, frozen=True):
    lengths: Annotated[tuple[_LengthRow, ...], Meta(max_length=MAX_STATED_LENGTHS)] = ()
    paces: Annotated[tuple[_PaceRow, ...], Meta(max_length=MAX_STATED_PACES)] = ()


_NOTHING = AnswerStatement()
_ENCODER = Encoder()
_ROW_DECODER = Decoder(_AnswerRow)
_EMPTY_ROW = Raw(_ENCODER.encode(()))


def pack_answers(statements: Iterable[AnswerStatement]) -> bytes:
    """Return the rows of what heartbeats state, in the order of the heartbeats.

    There are no bytes if no heartbeat states anything.
    """
    statements = list(statements)
    if all(statement == _NOTHING for statement in statements):
        return b""
    return _ENCODER.encode(
        [_EMPTY_ROW if each == _NOTHING else _answer_row(each) for each in statements]
    )


def unpack_answers(data: bytes) -> DecodedRows:
    """Return the rows in these bytes."""
    return decode_rows(data, _unpack)


def _answer_row(statement: AnswerStatement) -> _AnswerRow:
    return _AnswerRow(
        tuple(
            _LengthRow(
                each.route,
                each.size,
                each.hint_size,
                _tail_row(each.events),
                *each.traits,
            )
            for each in statement.lengths
            if len(each.route) <= MAX_NAME and each.size <= MAX_SIZE
        ),
        tuple(
            _PaceRow(each.service, _whole(each.seconds, _MILLIONTHS))
            for each in statement.paces
            if len(each.service) <= MAX_NAME
        ),
    )


def _tail_row(tail: Tail) -> _TailRow:
    return _TailRow(tail.count, _whole(tail.most, 1), _whole(tail.usual, _HUNDREDTHS))


def _whole(number: float, parts: int) -> int:
    """Return a number in whole parts of one, within the bounds of the wire."""
    return round(min(max(0.0, number * parts), MAX_NUMBER))


def _unpack(data: bytes) -> AnswerStatement:
    row = _ROW_DECODER.decode(data)
    return AnswerStatement(
        tuple(_length(each) for each in row.lengths),
        tuple(
            PaceStatement(each.service, each.microseconds / _MILLIONTHS)
            for each in row.paces
        ),
    )


def _length(row: _LengthRow) -> LengthStatement:
    traits = LengthTraits(row.within_tokens, row.within_declared, row.is_numbered)
    return LengthStatement(
        row.route,
        row.size,
        row.hint_size,
        Tail(row.events.count, row.events.most, row.events.usual / _HUNDREDTHS),
        traits,
    )

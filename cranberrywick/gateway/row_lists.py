"""Lists of rows beside heartbeats, of which a row that can't be read is dropped alone.

Rows travel in fields of their own, since daemons of earlier versions read heartbeats as
rows of fixed length. A reader ignores elements that a newer version appended to a row
and takes the defaults for those that an older one lacks.
"""

from collections.abc import Callable
from typing import NamedTuple, TypeVar

from msgspec import MsgspecError, Raw
from msgspec.msgpack import Decoder

__all__ = ["DecodedRows", "decode_rows"]

Value = TypeVar("Value")

_ROWS_DECODER = Decoder(list[Raw])
# A RecursionError is raised for elements that are nested deeply, whatever their type.
_ROW_ERRORS = (MsgspecError, RecursionError)


class DecodedRows(NamedTuple):
    """The values of the readable rows by position, and why another was not read."""

    values_by_position: dict[int, object]
    error: str


def decode_rows(data: bytes, decode: Callable[[bytes], Value]) -> DecodedRows:
    """Return the values of the rows in these bytes; ``decode`` reads one row."""
    if not data:
        return DecodedRows({}, "")
    try:
        rows = _ROWS_DECODER.decode(data)
    except _ROW_ERRORS as error:
        return DecodedRows({}, str(error))
    values_by_position = {}
    invalid = ""
    for position, row in enumerate(rows):
        try:
            values_by_position[position] = decode(bytes(row))
        except _ROW_ERRORS as error:
            invalid = str(error)
    return DecodedRows(values_by_position, invalid)

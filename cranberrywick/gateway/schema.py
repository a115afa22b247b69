"""The Cap'n Proto schema of what gateways tell one another, and its bytes."""

import zlib
from importlib.resources import as_file, files
from typing import Any

import capnp

__all__ = ["MAX_MESSAGE_BYTES", "SCHEMA", "pack", "unpack"]

# A configuration of at most 1 MiB, with room for the rest.
MAX_MESSAGE_BYTES = 1_500_000
MAX_MESSAGE_WORDS = 400_000
MAX_NESTING = 8
# Most of a message repeats: addresses and names of one fleet, routes of one
# configuration. The quickest level takes a third to a sixth of the bytes.
COMPRESSION_LEVEL = 1


def _load() -> Any:
    with as_file(files("cranberrywick.gateway") / "fleet.capnp") as path:
        return capnp.load(str(path))


SCHEMA = _load()


def pack(message: Any) -> bytes:
    """Return the bytes of a message, compressed."""
    return zlib.compress(message.to_bytes_packed(), COMPRESSION_LEVEL)


def unpack(kind: Any, data: bytes) -> Any:
    """Return a message of a kind of the schema.

    Raises ValueError, `zlib.error` or `capnp.KjException` where the bytes are none.
    """
    # Bounded: a few bytes can be made to unpack to more than the memory there is.
    unpacking = zlib.decompressobj()
    packed = unpacking.decompress(data, MAX_MESSAGE_BYTES)
    if not unpacking.eof:
        raise ValueError("the message is cut or too long")
    return kind.from_bytes_packed(
        packed, traversal_limit_in_words=MAX_MESSAGE_WORDS, nesting_limit=MAX_NESTING
    )

"""The Cap'n Proto schema of what gateways tell one another, and its bytes."""

import zlib
from collections.abc import Iterator
from contextlib import contextmanager
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
    # Not the library's own packing: bytes that end within it end the process.
    return zlib.compress(message.to_bytes(), COMPRESSION_LEVEL)


@contextmanager
def unpack(kind: Any, data: bytes) -> Iterator[Any]:
    """Yield a message of a kind of the schema; it is not to be used afterwards.

    Raises ValueError, `zlib.error` or `capnp.KjException` where the bytes are none.
    """
    # Bounded: a few bytes can be made to unpack to more than the memory there is.
    unpacking = zlib.decompressobj()
    unpacked = unpacking.decompress(data, MAX_MESSAGE_BYTES)
    if not unpacking.eof:
        raise ValueError("the message is cut or too long")
    with kind.from_bytes(
        unpacked, traversal_limit_in_words=MAX_MESSAGE_WORDS, nesting_limit=MAX_NESTING
    ) as message:
        yield message

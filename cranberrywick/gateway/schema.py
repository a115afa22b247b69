"""The Cap'n Proto schema of the messages between gateways, and their encoding."""

import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.resources import as_file, files
from typing import Any

import capnp

__all__ = ["MAX_MESSAGE_BYTES", "SCHEMA", "pack", "unpack"]

# Largest message, compressed or not, in bytes: a configuration of at most 1 MiB, and
# room for the rest. The limits in words of 8 bytes and in levels of nesting bound the
# work of reading a malformed message.
MAX_MESSAGE_BYTES = 1_500_000
MAX_MESSAGE_WORDS = 400_000
MAX_NESTING = 8
# Most of a message repeats: addresses and names of one fleet, routes of one
# configuration. The fastest level reduces it to between a third and a sixth.
COMPRESSION_LEVEL = 1


def _load() -> Any:
    with as_file(files("cranberrywick.gateway") / "fleet.capnp") as path:
        return capnp.load(str(path))


SCHEMA = _load()


def pack(message: Any) -> bytes:
    """Return the bytes of a message, compressed."""
    # pycapnp's own packing is not used: reading packed bytes that are cut short ends
    # the process.
    return zlib.compress(message.to_bytes(), COMPRESSION_LEVEL)


@contextmanager
def unpack(kind: Any, data: bytes) -> Iterator[Any]:
    """Yield the message of this kind in the bytes; it is valid inside the block only.

    Raises ValueError, `zlib.error` or `capnp.KjException` for malformed bytes.
    """
    # Bounded, since a few bytes can be crafted to decompress to more than the memory.
    unpacking = zlib.decompressobj()
    unpacked = unpacking.decompress(data, MAX_MESSAGE_BYTES)
    if not unpacking.eof:
        raise ValueError("the message is cut or too long")
    with kind.from_bytes(
        unpacked, traversal_limit_in_words=MAX_MESSAGE_WORDS, nesting_limit=MAX_NESTING
    ) as message:
        yield message

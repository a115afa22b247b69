"""The directory, where callers look up the addresses of entries: path and answer."""

import json
from collections.abc import Sequence

__all__ = ["DIRECTORY_PATH", "encode_directory"]

DIRECTORY_PATH = b"/resolve"


def encode_directory(addresses: Sequence[str], seconds: float) -> bytes:
    """Return the answer: entry addresses, which callers may cache for ``seconds``."""
    return json.dumps({"addresses": list(addresses), "ttlS": seconds}).encode()

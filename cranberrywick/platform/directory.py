"""The directory, where callers look up the addresses of entries: query and answer."""

import json
from collections.abc import Sequence
from urllib.parse import parse_qs

__all__ = ["DIRECTORY_PATH", "decode_failure_domain", "encode_directory"]

DIRECTORY_PATH = b"/resolve"
# Query parameter with the caller's failure domain.
FAILURE_DOMAIN = "zone"


def decode_failure_domain(target: bytes) -> str:
    """Return the failure domain that a caller names, empty if it names none.

    >>> decode_failure_domain(b"/resolve?name=shop&zone=a")
    'a'
    """
    query = target.partition(b"?")[2].decode("latin-1")
    return parse_qs(query).get(FAILURE_DOMAIN, [""])[0]


def encode_directory(addresses: Sequence[str], seconds: float) -> bytes:
    """Return the answer: entry addresses, which callers may cache for ``seconds``."""
    return json.dumps({"addresses": list(addresses), "ttlS": seconds}).encode()

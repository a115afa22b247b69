"""Rendezvous hashing: daemons that know the same ids make the same choice.

An id that goes moves only what it was chosen for.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

__all__ = ["rendezvous_order"]


def rendezvous_order(key: str, ids: Iterable[str]) -> list[str]:
    """Return ids in an order that depends on the key and is the same everywhere.

    >>> rendezvous_order("engine-1", ["d1", "d2", "d3"])
    ['d3', 'd2', 'd1']
    """
    return sorted(ids, key=lambda id: _weight(key, id))


@lru_cache(maxsize=8192)
def _weight(key: str, id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{id}".encode(), digest_size=8).digest()

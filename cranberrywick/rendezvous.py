"""Rendezvous hashing: daemons with the same set of ids make the same choice.

When an id is removed, only the keys for which it was chosen get another one.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

__all__ = ["rendezvous_order"]


def rendezvous_order(key: str, ids: Iterable[str]) -> list[str]:
    """Return ids in an order that depends only on the key and the ids.

    >>> rendezvous_order("engine-1", ["d1", "d2", "d3"])
    ['d3', 'd2', 'd1']
    """
    return sorted(ids, key=lambda id: _weight(key, id))


@lru_cache(maxsize=8192)
def _weight(key: str, id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{id}".encode(), digest_size=8).digest()

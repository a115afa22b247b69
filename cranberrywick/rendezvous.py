"""Rendezvous hashing: daemons with the same set of ids make the same choice.

When an id is removed, only the keys for which it was chosen get another one.
"""

import hashlib
from collections.abc import Iterable, Mapping
from functools import lru_cache
from heapq import nsmallest
from math import log1p

__all__ = ["rendezvous_order", "weighted_rendezvous"]

# Bits of a hash that a float between 0 and 1 holds exactly.
FRACTION_BITS = 53


def rendezvous_order(key: str, ids: Iterable[str]) -> list[str]:
    """Return ids in an order that depends only on the key and the ids.

    >>> rendezvous_order("engine-1", ["d1", "d2", "d3"])
    ['d3', 'd2', 'd1']
    """
    return sorted(ids, key=lambda id: _cached_hash(key, id))


def weighted_rendezvous(
    key: str, weights_by_id: Mapping[str, float], count: int
) -> list[str]:
    """Return the first ``count`` ids for a key, in an order by hash and weight.

    Weights are above zero. Over all keys, an id is the first one as often as its share
    of the weights. A weight that grows moves its own id forward only, so that the order
    of the others is kept.

    >>> weighted_rendezvous("10.0.0.7", {"d1": 1.0, "d2": 0.1, "d3": 0.1}, 2)
    ['d1', 'd3']
    """

    def arrival(id: str) -> float:
        # The first event of a Poisson process whose rate is the weight.
        fraction = int.from_bytes(_hash(key, id)) >> (64 - FRACTION_BITS)
        return -log1p(-fraction / 2**FRACTION_BITS) / weights_by_id[id]

    return nsmallest(count, weights_by_id, key=arrival)


@lru_cache(maxsize=8192)
def _cached_hash(key: str, id: str) -> bytes:
    return _hash(key, id)


def _hash(key: str, id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{id}".encode(), digest_size=8).digest()

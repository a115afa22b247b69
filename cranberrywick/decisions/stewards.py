"""Which daemon looks after which endpoints, and which endpoints a daemon uses.

Load pattern: hundreds of daemons before hundreds of endpoints. Every daemon that
uses every endpoint would cost 320 x 620 leases to renew, and leave each daemon less
than one slot of an endpoint. So a daemon uses a subset of endpoints that still has
several of each model, and one daemon, the steward, hands out an endpoint's slots.
Endpoints are gathered in a fixed number of shards a region, and the shard, not the
endpoint, has a steward: one message then asks for a whole shard.

Without stewards, nine daemons with views of their own each send "a little" to a
cold endpoint. Without shards a daemon writes to as many stewards as it uses
endpoints.

Both choices are rendezvous hashing over the members: every daemon comes to the same
answer without a word, and a member that goes moves its own shards and few others,
which a bound on the shards of one daemon passes on. A steward is of the endpoint's
region while that has members, so that regions that lose each other each go on.

Figures: 48 shards a region give about four endpoints a shard at the design size (207
endpoints a region) and one or two at today's; eight endpoints of a model survive
the loss of a failure domain in three.
"""

import hashlib
import math
import struct
from collections.abc import Collection, Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from cranberrywick.decisions.membership import Member
from cranberrywick.model import Endpoint

__all__ = ["SHARDS", "Shard", "shard_of", "stewards", "used_shards"]

SHARDS = 48
# Up to this many endpoints a daemon uses all that it can see.
SMALL_FLEET_ENDPOINTS = 48
ENDPOINTS_OF_EACH_MODEL = 8
# A daemon looks after at most so many times its even part of the shards.
BALANCE = 1.25

_WEIGHTS = struct.Struct(f">{SHARDS}Q")


class Shard(NamedTuple):
    """The endpoints of one region whose hash gives this number."""

    region: str
    number: int


def shard_of(endpoint: Endpoint) -> Shard:
    """Return the shard that an endpoint belongs to."""
    digest = hashlib.blake2b(endpoint.endpoint_id.encode(), digest_size=2).digest()
    return Shard(endpoint.region, int.from_bytes(digest, "big") % SHARDS)


def stewards(members: Iterable[Member], shards: Collection[Shard]) -> dict[Shard, str]:
    """Return the daemon that looks after each shard; empty without members."""
    ids_by_region: dict[str, list[str]] = {}
    for member in members:
        ids_by_region.setdefault(member.region, []).append(member.daemon_id)
    everyone = [id for ids in ids_by_region.values() for id in ids]
    if not everyone:
        return {}
    candidates_by_region = {
        region: ids_by_region.get(region, everyone)
        for region in {shard.region for shard in shards}
    }
    steward_by_shard: dict[Shard, str] = {}
    for region, candidates in candidates_by_region.items():
        mine = sorted(shard for shard in shards if shard.region == region)
        steward_by_shard.update(_assign(mine, candidates))
    return steward_by_shard


def _assign(shards: list[Shard], candidates: list[str]) -> dict[Shard, str]:
    """Give each shard to the candidate of the greatest weight that has room."""
    # Without the bound one daemon of 107 is given three of 32 shards, and hears
    # three times what it should.
    most = math.ceil(BALANCE * len(shards) / len(candidates))
    number_by_id = dict.fromkeys(candidates, 0)
    steward_by_shard = {}
    for shard in shards:
        open_ids = [id for id in candidates if number_by_id[id] < most]
        chosen = max(
            open_ids, key=lambda id: (_weights("steward", id)[shard.number], id)
        )
        number_by_id[chosen] += 1
        steward_by_shard[shard] = chosen
    return steward_by_shard


def used_shards(
    daemon_id: str, region: str, endpoints_by_id: Mapping[str, Endpoint]
) -> frozenset[Shard]:
    """Return the shards whose endpoints this daemon uses.

    Those of its own region come first; others only for what its own region serves
    with too few endpoints.
    """
    endpoints_by_shard: dict[Shard, list[Endpoint]] = {}
    for endpoint in endpoints_by_id.values():
        endpoints_by_shard.setdefault(shard_of(endpoint), []).append(endpoint)
    if len(endpoints_by_id) <= SMALL_FLEET_ENDPOINTS:
        return frozenset(endpoints_by_shard)
    missing_by_service = _wanted_by_service(endpoints_by_id.values())
    chosen = []
    for shard in _preference(daemon_id, region, endpoints_by_shard):
        services = [s for e in endpoints_by_shard[shard] for s in _services(e)]
        if any(missing_by_service[service] > 0 for service in services):
            chosen.append(shard)
            for service in services:
                missing_by_service[service] -= 1
    return frozenset(chosen)


def _preference(daemon_id: str, region: str, shards: Iterable[Shard]) -> list[Shard]:
    weights = _weights("use", daemon_id)
    return sorted(shards, key=lambda s: (s.region != region, weights[s.number], s))


def _wanted_by_service(endpoints: Iterable[Endpoint]) -> dict[str, int]:
    wanted: dict[str, int] = {}
    for endpoint in endpoints:
        for service in _services(endpoint):
            wanted[service] = ENDPOINTS_OF_EACH_MODEL
    return wanted


def _services(endpoint: Endpoint) -> tuple[str, ...]:
    return endpoint.models or (f"service {endpoint.service}",)


@lru_cache(maxsize=4096)
def _weights(purpose: str, daemon_id: str) -> tuple[int, ...]:
    # One hash gives the daemon's weights for all shards; a hash for each pair
    # would take tens of milliseconds at each change of 320 members.
    text = f"{purpose}\0{daemon_id}".encode()
    return _WEIGHTS.unpack(hashlib.shake_128(text).digest(_WEIGHTS.size))

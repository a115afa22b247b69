"""Which daemon is steward of which endpoints, and which endpoints a daemon uses.

Load pattern: hundreds of daemons use hundreds of endpoints. If every daemon used every
endpoint, 320 x 620 leases would have to be renewed, and each daemon would get less
than one slot of an endpoint. So a daemon uses a subset of the endpoints that still has
several of each model, and one daemon, the steward, shares out an endpoint's slots. The
endpoints of a region are divided into a fixed number of shards, and each shard has one
steward, so that one message carries the demands for all endpoints of a shard.

Without stewards, nine daemons each send "only a few" requests to a cold endpoint, which
together overload it. Without shards, a daemon sends messages to as many stewards as it
uses endpoints.

Both assignments use rendezvous hashing over the members, so that all daemons compute
the same result without messages. When a member leaves, its own shards move; a few
others move too, because the number of shards of one daemon is bounded. A steward is in
the region of its endpoints while that region has members, so that regions that lose
contact with each other continue to work.

Figures: 48 shards in a region are about four endpoints in a shard at the design size
(207 endpoints in a region), and one or two in today's deployments. With eight
endpoints of a model, some are left after the loss of one failure domain in three.
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

# Number of shards in each region.
SHARDS = 48
# Number of endpoints up to which a daemon uses all of them.
SMALL_FLEET_ENDPOINTS = 48
# Number of endpoints of each model or service that a daemon uses in a larger fleet.
ENDPOINTS_OF_EACH_MODEL = 8
# Upper bound on the shards of one daemon, as a multiple of the average.
MAX_SHARDS_FACTOR = 1.25

_WEIGHTS = struct.Struct(f">{SHARDS}Q")


class Shard(NamedTuple):
    """The group of one region's endpoints whose hash gives ``number``."""

    region: str
    number: int


def shard_of(endpoint: Endpoint) -> Shard:
    """Return the shard of an endpoint; it depends only on identifier and region."""
    digest = hashlib.blake2b(endpoint.endpoint_id.encode(), digest_size=2).digest()
    return Shard(endpoint.region, int.from_bytes(digest, "big") % SHARDS)


def stewards(members: Iterable[Member], shards: Collection[Shard]) -> dict[Shard, str]:
    """Return the identifier of each shard's steward; empty without members.

    The result depends only on the shards and on the members' identifiers and regions.
    """
    ids_by_region: dict[str, list[str]] = {}
    for member in members:
        ids_by_region.setdefault(member.region, []).append(member.daemon_id)
    all_ids = [id for ids in ids_by_region.values() for id in ids]
    if not all_ids:
        return {}
    candidates_by_region = {
        region: ids_by_region.get(region, all_ids)
        for region in {shard.region for shard in shards}
    }
    steward_by_shard: dict[Shard, str] = {}
    for region, candidates in candidates_by_region.items():
        region_shards = sorted(shard for shard in shards if shard.region == region)
        steward_by_shard.update(_assign(region_shards, candidates))
    return steward_by_shard


def _assign(shards: list[Shard], candidates: list[str]) -> dict[Shard, str]:
    """Assign each shard to the candidate of highest weight that is below the bound."""
    # Without the bound, one daemon of 107 is assigned three of 32 shards and receives
    # three times its share of the messages.
    max_shards = math.ceil(MAX_SHARDS_FACTOR * len(shards) / len(candidates))
    count_by_id = dict.fromkeys(candidates, 0)
    steward_by_shard = {}
    for shard in shards:
        open_ids = [id for id in candidates if count_by_id[id] < max_shards]
        chosen = max(
            open_ids, key=lambda id: (_weights("steward", id)[shard.number], id)
        )
        count_by_id[chosen] += 1
        steward_by_shard[shard] = chosen
    return steward_by_shard


def used_shards(
    daemon_id: str, region: str, endpoints_by_id: Mapping[str, Endpoint]
) -> frozenset[Shard]:
    """Return the shards whose endpoints this daemon uses.

    Shards of its own region are preferred; others are added only for the models and
    services that have too few endpoints in its own region.
    """
    endpoints_by_shard: dict[Shard, list[Endpoint]] = {}
    for endpoint in endpoints_by_id.values():
        endpoints_by_shard.setdefault(shard_of(endpoint), []).append(endpoint)
    if len(endpoints_by_id) <= SMALL_FLEET_ENDPOINTS:
        return frozenset(endpoints_by_shard)
    missing_by_service = _endpoints_wanted_by_service(endpoints_by_id.values())
    chosen = []
    for shard in _in_preference_order(daemon_id, region, endpoints_by_shard):
        services = [s for e in endpoints_by_shard[shard] for s in _services(e)]
        if any(missing_by_service[service] > 0 for service in services):
            chosen.append(shard)
            for service in services:
                missing_by_service[service] -= 1
    return frozenset(chosen)


def _in_preference_order(
    daemon_id: str, region: str, shards: Iterable[Shard]
) -> list[Shard]:
    weights = _weights("use", daemon_id)
    return sorted(shards, key=lambda s: (s.region != region, weights[s.number], s))


def _endpoints_wanted_by_service(endpoints: Iterable[Endpoint]) -> dict[str, int]:
    wanted: dict[str, int] = {}
    for endpoint in endpoints:
        for service in _services(endpoint):
            wanted[service] = ENDPOINTS_OF_EACH_MODEL
    return wanted


def _services(endpoint: Endpoint) -> tuple[str, ...]:
    return endpoint.models or (f"service {endpoint.service}",)


@lru_cache(maxsize=4096)
def _weights(purpose: str, daemon_id: str) -> tuple[int, ...]:
    # One hash yields a daemon's weights for all shards. A hash for each pair of daemon
    # and shard would take tens of milliseconds at each change among 320 members.
    text = f"{purpose}\0{daemon_id}".encode()
    return _WEIGHTS.unpack(hashlib.shake_128(text).digest(_WEIGHTS.size))

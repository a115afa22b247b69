"""Which daemon is steward of which endpoints, and which endpoints a daemon uses.

Guards against a steward with too many endpoints, and against changes of stewards that
are not needed.
"""

from collections import Counter

from cranberrywick.decisions.membership import Member, Status
from cranberrywick.decisions.stewards import (
    SHARDS,
    Shard,
    shard_of,
    stewards,
    used_shards,
)
from cranberrywick.model import Endpoint, EndpointKind


def members(number, regions=1):
    return [
        Member(f"e{i}", 1, 0, Status.ALIVE, "", "", "fd-1", f"region-{i % regions}")
        for i in range(number)
    ]


def endpoints(number, regions=1):
    return {
        f"r{i}": Endpoint(
            f"r{i}",
            EndpointKind.ENGINE,
            "",
            "fd-1",
            f"region-{i % regions}",
            models=(f"model-{i // regions % 6}",),
        )
        for i in range(number)
    }


def steward_by_endpoint(members, endpoints_by_id):
    shards = {id: shard_of(endpoint) for id, endpoint in endpoints_by_id.items()}
    by_shard = stewards(members, set(shards.values()))
    return {id: by_shard.get(shard) for id, shard in shards.items()}


def test_a_member_that_leaves_moves_its_own_endpoints_and_few_others():
    """Daemons are replaced every few minutes, and each move costs renewals of leases.

    The shards of the daemon that leaves must move. The bound on the shards of one
    daemon may move a few more, but on average less than one endpoint in twenty.
    """
    fleet = members(9)
    before = steward_by_endpoint(fleet, endpoints(100))
    others_moved = 0
    for leaver in fleet:
        remaining = [member for member in fleet if member is not leaver]
        after = steward_by_endpoint(remaining, endpoints(100))
        assert leaver.daemon_id not in after.values()
        others_moved += sum(
            after[id] != steward and steward != leaver.daemon_id
            for id, steward in before.items()
        )
    assert others_moved / len(fleet) < 5


def test_no_daemon_is_steward_of_much_more_than_its_share():
    shards = [Shard("region-0", number) for number in range(SHARDS)]
    for daemons, max_shards in ((3, 20), (9, 7), (107, 1)):
        numbers = Counter(stewards(members(daemons), shards).values())
        assert max(numbers.values()) <= max_shards


def test_a_steward_is_in_the_endpoints_region_while_that_has_members():
    fleet = members(30, regions=3)
    by_endpoint = steward_by_endpoint(fleet, endpoints(60, regions=3))
    region_of = {member.daemon_id: member.region for member in fleet}
    for id, endpoint in endpoints(60, regions=3).items():
        assert region_of[by_endpoint[id]] == endpoint.region
    alone = steward_by_endpoint(fleet[:1], endpoints(60, regions=3))
    assert set(alone.values()) == {"e0"}


def test_without_members_there_is_no_steward():
    assert stewards([], {shard_of(endpoints(1)["r0"])}) == {}


def test_a_daemon_uses_all_endpoints_of_a_small_fleet():
    endpoints_by_id = endpoints(19)
    used = used_shards("e1", "region-0", endpoints_by_id)
    assert all(shard_of(endpoint) in used for endpoint in endpoints_by_id.values())


def test_a_daemon_uses_enough_endpoints_of_each_model_of_a_large_fleet():
    endpoints_by_id = endpoints(620, regions=3)
    users = Counter()
    for member in members(320, regions=3):
        used = used_shards(member.daemon_id, member.region, endpoints_by_id)
        own_endpoints = [e for e in endpoints_by_id.values() if shard_of(e) in used]
        assert len(own_endpoints) <= 100
        assert {endpoint.region for endpoint in own_endpoints} == {member.region}
        assert min(Counter(e.models for e in own_endpoints).values()) >= 8
        users.update(endpoint.endpoint_id for endpoint in own_endpoints)
    assert len(users) == 620
    assert min(users.values()) >= 10

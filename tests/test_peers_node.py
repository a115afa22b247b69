"""Tests for nodes that exchange messages over real sockets on loopback.

Guards against daemons that miss a member, a configuration or a leaving endpoint.
"""

import pytest
from peer_fleet import Fleet, wait_for


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    fleet.stop()


def test_daemons_that_know_one_seed_find_all(fleet):
    fleet.add_many(5)


def test_a_configuration_spreads_without_the_platform(fleet):
    """The platform fails after one daemon has received a new configuration.

    The other daemons must learn of the version from its pings, fetch the document
    from it and offer it in turn.
    """
    nodes = fleet.add_many(4)
    document = b'{"classes": {}}' * 40_000
    nodes[2].set_configuration(7, document)
    for node in nodes:
        wait_for(lambda node=node: node.configuration == (7, document))


def test_an_older_configuration_is_not_taken_back(fleet):
    nodes = fleet.add_many(2)
    nodes[0].set_configuration(7, b"new")
    wait_for(lambda: nodes[1].configuration == (7, b"new"))
    nodes[0].set_configuration(6, b"old")
    nodes[1].set_configuration(6, b"old")
    assert [node.configuration for node in nodes] == [(7, b"new")] * 2


def test_a_leaving_endpoint_is_reported_once_to_every_daemon(fleet):
    """Guards against work for a leaving endpoint that the VM list shows as live.

    A daemon that the endpoint has refused publishes this. Every daemon must report the
    endpoint once, and again only for a newer incarnation.
    """
    nodes = fleet.add_many(4)
    leaving_by_daemon_id = {node.myself.daemon_id: [] for node in nodes}
    for node in nodes:
        node.on_leaving(leaving_by_daemon_id[node.myself.daemon_id].append)
    nodes[0].announce_leaving("runner-1", 5)
    wait_for(lambda: all(leaving_by_daemon_id.values()))
    nodes[1].announce_leaving("runner-1", 5)
    nodes[1].announce_leaving("runner-1", 6)
    wait_for(
        lambda: all(len(leaving) == 2 for leaving in leaving_by_daemon_id.values())
    )
    for leaving in leaving_by_daemon_id.values():
        assert leaving == [("runner-1", 5), ("runner-1", 6)]


def test_a_daemon_that_leaves_is_out_of_all_lists(fleet):
    nodes = fleet.add_many(4)
    nodes[3].leave()
    fleet.wait_until_all_see(nodes[:3])

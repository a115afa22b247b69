"""Daemons that talk over real sockets on loopback."""

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
    """Operators' change is in force everywhere although the platform is out.

    One daemon took it before the platform failed. The others hear of the version
    in its messages, fetch the document from it, and pass it on.
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


def test_a_leaving_endpoint_is_told_to_all_once(fleet):
    """An endpoint refused one daemon's request because it is leaving.

    That daemon tells the others, so that none of them sends it work while the VM
    list still calls it live; each hears of it once, and again only of a new run.
    """
    nodes = fleet.add_many(4)
    heard = {node.myself.daemon_id: [] for node in nodes}
    for node in nodes:
        node.on_leaving(heard[node.myself.daemon_id].append)
    nodes[0].announce_leaving("runner-1", 5)
    wait_for(lambda: all(heard.values()))
    nodes[1].announce_leaving("runner-1", 5)
    nodes[1].announce_leaving("runner-1", 6)
    wait_for(lambda: all(len(leaving) == 2 for leaving in heard.values()))
    for leaving in heard.values():
        assert leaving == [("runner-1", 5), ("runner-1", 6)]


def test_a_daemon_that_leaves_is_out_of_all_lists(fleet):
    nodes = fleet.add_many(4)
    nodes[3].leave()
    fleet.wait_until_all_see(nodes[:3])

"""Tests for failures between daemons, with real sockets and processes."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from peer_fleet import Fleet, wait_for

from cranberrywick.decisions.membership import Status
from cranberrywick.peers.codec import Codec
from cranberrywick.peers.messages import Envelope, LeavingEndpoint, Notice
from cranberrywick.peers.transport import split_address

PEER_PROCESS = Path(__file__).with_name("peer_process.py")


@pytest.fixture
def fleet():
    fleet = Fleet(speed=5)
    yield fleet
    fleet.stop()


def test_a_killed_daemon_is_detected_and_its_next_run_serves(fleet):
    """Guards against the address of a killed daemon in the list for callers.

    It starts again on another port. The others must record its death within
    seconds, and accept its new run, which has a higher incarnation, at once.
    """
    nodes = fleet.add_many(4)
    fleet.remove(nodes[3])
    fleet.wait_until_all_see(nodes[:3])
    fleet.add("e4")
    fleet.wait_until_all_see(nodes)


def test_a_daemon_whose_clock_was_set_back_is_taken_back(fleet):
    """Guards against ignoring a daemon whose VM's clock was set back by a day.

    Its new run has a lower incarnation than the one that the others have recorded, so
    its messages look outdated. The others must send it the higher incarnation, and it
    must raise its own above that.
    """
    nodes = fleet.add_many(3, wall_clock=lambda: 1_000_000.0)
    fleet.remove(nodes[2])
    restarted = fleet.add("e3", wall_clock=lambda: 1_000_000.0 - 86_400)
    for node in nodes[:2]:
        wait_for(
            lambda node=node: (
                node.snapshot.members_by_id["e3"].peer_address == restarted.address
            )
        )
    fleet.wait_until_all_see(nodes)


def test_both_sides_of_a_partition_go_on_and_meet_again(fleet):
    """Guards against a partition whose sides stay separate after it has healed.

    The network between two and three daemons fails for a while. Each side must go on
    with its own members. Afterwards all must see all again, and a configuration that
    one side accepted meanwhile must reach the other.
    """
    nodes = fleet.add_many(5)
    left, right = nodes[:2], nodes[2:]
    for node in nodes:
        node.set_seeds([other.address for other in nodes])
    lost = [fleet.cut(left, right), fleet.cut(right, left)]
    fleet.wait_until_all_see(left, by=left)
    fleet.wait_until_all_see(right, by=right)
    # Wait until the last probe of a dead member is over; hellos to seeds continue.
    settled = [len(each) + 40 for each in lost]
    wait_for(lambda: all(len(e) >= s for e, s in zip(lost, settled, strict=True)))
    right[0].set_configuration(3, b"accepted on the right")
    fleet.heal()
    fleet.wait_until_all_see(nodes)
    for node in nodes:
        wait_for(lambda node=node: node.configuration[0] == 3)


def test_a_one_way_loss_between_two_daemons_marks_neither_dead(fleet):
    """Guards against a record of death because of one network path that fails.

    Everything that one daemon sends to another is lost, so its probes are never
    answered. It must ask other members to probe that daemon, which succeeds, so that
    neither of the two is recorded as dead.
    """
    nodes = fleet.add_many(4)
    dead = []
    for node in nodes:
        node.on_membership(
            lambda snapshot: dead.extend(
                member
                for member in snapshot.members_by_id.values()
                if member.status is Status.DEAD
            )
        )
    lost = fleet.cut(nodes[:1], nodes[1:2])
    wait_for(lambda: len(lost) >= 20)
    assert dead == []


def test_forged_and_repeated_messages_change_nothing(fleet):
    """Guards against recorded datagrams that are replayed and against forged ones.

    A daemon announces that it is leaving, stops and starts again. Then every datagram
    so far is sent a second time, and one that is signed with another secret. The daemon
    must still be serving, and no endpoint may be reported as leaving.
    """
    nodes = fleet.add_many(3)
    recorded = []
    for node in nodes:
        record(node, recorded)
    nodes[2].leave()
    fleet.wait_until_all_see(nodes[:2])
    fleet.remove(nodes[2])
    restarted = fleet.add("e3")
    fleet.wait_until_all_see([*nodes[:2], restarted])
    before = dict(nodes[0].snapshot.members_by_id)
    leaving = []
    nodes[0].on_leaving(leaving.append)

    received = nodes[0].transport.counts.datagrams_received
    forged = forge(nodes[0], nodes[1])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as outsider:
        for frame in [*recorded, forged]:
            outsider.sendto(frame, split_address(nodes[0].address))
    wait_for(
        lambda: nodes[0].transport.counts.datagrams_received - received > len(recorded)
    )
    # Datagrams are handled in order, so a later one shows that all have been handled.
    nodes[1].announce_leaving("runner-1", 1)
    wait_for(lambda: leaving)
    assert leaving == [LeavingEndpoint("runner-1", 1)]
    after = nodes[0].snapshot.members_by_id
    assert {id: m.incarnation for id, m in after.items()} == {
        id: m.incarnation for id, m in before.items()
    }
    assert set(nodes[0].snapshot.serving_by_id) == {"e1", "e2", "e3"}


def record(node, recorded):
    send = node.transport.send

    def send_and_record(address, frame):
        recorded.append(frame)
        send(address, frame)

    node.transport.send = send_and_record


def forge(receiver, sender):
    """Return a frame that is valid except for the secret that it is signed with."""
    notice = Notice(0, leaving=(LeavingEndpoint("runner-9", 1),))
    envelope = Envelope(
        sender.myself.daemon_id,
        sender.myself.incarnation,
        receiver.myself.daemon_id,
        receiver.myself.incarnation,
        1 << 40,
        notice,
    )
    return Codec(b"a guessed secret").encode(envelope)


def test_a_daemon_with_another_secret_is_ignored(fleet):
    nodes = fleet.add_many(2)
    outsider = fleet.add("e9", secret="another secret")
    received = nodes[0].transport.counts.datagrams_received
    for _ in range(20):
        outsider.set_seeds([node.address for node in nodes])
    wait_for(lambda: nodes[0].transport.counts.datagrams_received > received + 20)
    assert set(nodes[0].snapshot.members_by_id) == {"e1", "e2"}
    assert set(outsider.snapshot.members_by_id) == {"e9"}


def test_garbage_on_the_connection_is_closed_and_the_daemon_still_serves(fleet):
    nodes = fleet.add_many(2)
    address = split_address(nodes[0].address)
    for garbage in (b"", b"\xff" * 4, b"\x00\x00\x00\x05abc", b"\0\0\0\x03xyz"):
        with socket.create_connection(address, timeout=10) as connection:
            connection.sendall(garbage)
            connection.shutdown(socket.SHUT_WR)
            assert connection.recv(100) == b""
    nodes[0].set_configuration(1, b"document")
    wait_for(lambda: nodes[1].configuration == (1, b"document"))


class PeerProcess:
    """A peer in a process of its own, whose output can be read line by line."""

    def __init__(self, daemon_id, *seeds):
        self.process = subprocess.Popen(
            [sys.executable, str(PEER_PROCESS), daemon_id, *seeds],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env={**os.environ, "PYTHONPATH": os.getcwd()},
        )
        self.address = self.process.stdout.readline().strip()

    def wait_for_line(self, line):
        while self.process.poll() is None:
            if self.process.stdout.readline().strip() == line:
                return
        raise AssertionError("the process ended")

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def test_a_process_that_was_stopped_for_a_while_serves_again():
    """Guards against a paused process that, once continued, records others as dead.

    A daemon is paused by SIGSTOP until the others have recorded it as dead. After
    SIGCONT it must not record them as dead in turn, but refute the record of its own
    death, so that all see all again.
    """
    fleet = Fleet()
    nodes = fleet.add_many(2)
    paused = PeerProcess("e3", nodes[0].address)
    try:
        paused.wait_for_line("e1 e2 e3")
        os.kill(paused.process.pid, signal.SIGSTOP)
        fleet.wait_until_all_see(nodes)
        os.kill(paused.process.pid, signal.SIGCONT)
        for node in nodes:
            wait_for(lambda node=node: "e3" in node.snapshot.serving_by_id)
    finally:
        paused.stop()
        fleet.stop()

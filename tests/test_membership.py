"""Failure detection, without a network or a clock.

Guards against live members that are declared dead, and dead ones that are not noticed.
"""

import random

import pytest

from cranberrywick.decisions.membership import (
    Member,
    Membership,
    Status,
)
from cranberrywick.decisions.probing import Probe, ProbeThrough


def member(daemon_id, incarnation=1, revision=0, status=Status.ALIVE):
    return Member(daemon_id, incarnation, revision, status, "", "", "fd-1", "north")


def membership(*others, now=0.0):
    membership = Membership(member("me"), random.Random(1), now)
    membership.merge_members([member(other) for other in others], now)
    return membership


def status_of(membership, daemon_id):
    return membership.members_by_id[daemon_id].status


def run(membership, start, stop, answer=lambda probe: False):
    """Tick four times a second; ``answer`` says which probes are answered."""
    actions = []
    for tick in range(int(start * 4), int(stop * 4)):
        now = tick / 4
        new = membership.tick(now)
        if tick % 4 == 0:
            new.append(membership.next_probe(now))
        for action in new:
            if isinstance(action, Probe) and answer(action):
                membership.answered(action.round, action.daemon_id)
        actions += new
    return actions


def test_a_member_that_answers_stays_alive():
    members = membership("a", "b")
    run(members, 1, 60, answer=lambda probe: True)
    assert {status_of(members, id) for id in "ab"} == {Status.ALIVE}


def test_a_silent_member_is_probed_through_relays_then_suspect_then_dead():
    """A daemon is killed; a few seconds later the others no longer list its address.

    It answers neither the direct probe nor those through two relays. It is suspect for
    three seconds, does not refute, and is then declared dead.
    """
    members = membership("a", "b", "c")
    actions = run(members, 1, 4, answer=lambda probe: probe.daemon_id != "a")
    relayed = [a for a in actions if isinstance(a, ProbeThrough)]
    assert {action.relay for action in relayed} == {"b", "c"}
    assert status_of(members, "a") is Status.SUSPECT
    run(members, 4, 10, answer=lambda probe: probe.daemon_id != "a")
    assert status_of(members, "a") is Status.DEAD
    assert status_of(members, "b") is Status.ALIVE


def test_a_suspect_that_refutes_stays_alive():
    members = membership("a", "b")
    run(members, 1, 4, answer=lambda probe: probe.daemon_id == "b")
    assert status_of(members, "a") is Status.SUSPECT
    assert members.apply_update(member("a", revision=1), 4.0)
    run(members, 4, 30, answer=lambda probe: True)
    assert status_of(members, "a") is Status.ALIVE


def test_a_daemon_refutes_its_own_death():
    members = membership("a")
    assert members.apply_update(member("me", status=Status.DEAD), 1.0)
    assert members.myself == member("me", revision=1)


def test_a_suspended_process_does_not_suspect_the_others():
    """A daemon is suspended for a minute while its probes are unanswered.

    When it resumes, all answers are overdue, although the others were not silent. It
    must not suspect any of them for that.
    """
    members = membership("a", "b", "c")
    members.next_probe(1.0)
    members.apply_update(member("b", status=Status.SUSPECT), 1.0)
    for tick in range(4):
        members.tick(60.0 + tick / 4)
    assert {status_of(members, id) for id in "ac"} == {Status.ALIVE}
    assert status_of(members, "b") is Status.SUSPECT


def test_an_update_that_a_member_is_dead_only_makes_it_suspect():
    """A partition heals, and one side receives updates that its members are dead.

    Applied at once, these would remove members that are alive. The members become
    suspect instead and are probed, so that they can refute.
    """
    members = membership("a", "b")
    assert members.apply_update(member("a", status=Status.DEAD), 1.0)
    assert status_of(members, "a") is Status.SUSPECT
    assert Probe(1, "a") in members.tick(1.25)
    members.apply_update(member("a", status=Status.DEAD), 2.0)
    assert status_of(members, "a") is Status.SUSPECT
    members.tick(4.0)
    assert status_of(members, "a") is Status.DEAD


@pytest.mark.parametrize(
    "outdated",
    [
        member("a", incarnation=4, revision=9),
        member("a", incarnation=4, status=Status.DEAD),
        member("a", incarnation=5, revision=2),
        member("a", incarnation=5, revision=1, status=Status.LEAVING),
    ],
)
def test_an_outdated_update_changes_nothing(outdated):
    members = membership()
    newest = member("a", incarnation=5, revision=2, status=Status.LEAVING)
    members.apply_update(newest, 0.0)
    assert not members.apply_update(outdated, 1.0)
    assert members.members_by_id["a"] == newest


def test_a_restarted_member_is_alive_again():
    members = membership("a")
    run(members, 1, 10)
    assert status_of(members, "a") is Status.DEAD
    assert members.apply_update(member("a", incarnation=2), 10.0)
    assert status_of(members, "a") is Status.ALIVE


def test_a_leaving_member_that_dies_is_declared_dead():
    members = membership("a", "b")
    members.apply_update(member("a", revision=1, status=Status.LEAVING), 0.0)
    run(members, 1, 12, answer=lambda probe: probe.daemon_id == "b")
    assert status_of(members, "a") is Status.DEAD


def test_the_record_of_a_dead_member_is_evicted():
    members = membership("a", "b")
    run(members, 1, 620, answer=lambda probe: probe.daemon_id == "b")
    assert "a" not in members.members_by_id


def test_a_restart_with_a_lower_incarnation_rises_above_the_previous_one():
    """A VM's clock is set back, and its daemon restarts with a lower incarnation.

    Peers ignore its updates as outdated. When it receives the incarnation that they
    have, it continues with a higher one.
    """
    members = membership("a")
    members.raise_incarnation(7)
    assert members.myself.incarnation == 8


def exchange(memberships, now, lost):
    """Simulate one second in which every daemon pings one other.

    ``lost`` says whether a message from a sender to a receiver is lost.
    """
    for membership in memberships.values():
        for relayed in membership.tick(now):
            if not lost(membership.myself.daemon_id, relayed.daemon_id):
                membership.answered(relayed.round, relayed.daemon_id)
        probe = membership.next_probe(now)
        if probe is None or lost(membership.myself.daemon_id, probe.daemon_id):
            continue
        other = memberships[probe.daemon_id]
        for sender, receiver in ((membership, other), (other, membership)):
            receiver.record_contact(sender.myself.daemon_id)
            for update in sender.updates_for(receiver.myself.daemon_id, limit=8):
                receiver.apply_update(update, now)
        membership.answered(probe.round, probe.daemon_id)


def test_an_update_reaches_sixty_daemons_with_a_tenth_of_messages_lost():
    ids = [f"e{i}" for i in range(60)]
    all_members = [member(id) for id in ids]
    memberships = {}
    for id in ids:
        memberships[id] = Membership(member(id), random.Random(id), 0.0)
        memberships[id].merge_members(all_members, 0.0)
    memberships["e0"].leave()
    rng = random.Random(3)

    def lost(sender, receiver):
        return rng.random() < 0.1

    for second in range(1, 16):
        exchange(memberships, float(second), lost)
    for each in memberships.values():
        assert status_of(each, "e0") is Status.LEAVING

"""Who is taken to be alive, decided without a network or a clock."""

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


def test_a_member_that_answers_stays():
    members = membership("a", "b")
    run(members, 1, 60, answer=lambda probe: True)
    assert {status_of(members, id) for id in "ab"} == {Status.ALIVE}


def test_a_silent_member_is_asked_through_others_then_suspected_then_dead():
    """A daemon is killed; others stop sending callers to it a few seconds later.

    Its probe is not answered, nor are those that two others were asked to make. It
    is suspected for three seconds, in which nothing refutes it, and then dead.
    """
    members = membership("a", "b", "c")
    actions = run(members, 1, 4, answer=lambda probe: probe.daemon_id != "a")
    through = [a for a in actions if isinstance(a, ProbeThrough)]
    assert {action.relay for action in through} == {"b", "c"}
    assert status_of(members, "a") is Status.SUSPECT
    run(members, 4, 10, answer=lambda probe: probe.daemon_id != "a")
    assert status_of(members, "a") is Status.DEAD
    assert status_of(members, "b") is Status.ALIVE


def test_a_suspect_that_refutes_stays():
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


def test_a_process_that_stood_still_does_not_hold_the_others_for_dead():
    """A daemon is stopped for a minute while probes of it are under way.

    When it goes on, every answer is long overdue. The others were not silent; it
    did not listen. None of them is suspected for that.
    """
    members = membership("a", "b", "c")
    members.next_probe(1.0)
    members.apply_update(member("b", status=Status.SUSPECT), 1.0)
    for tick in range(4):
        members.tick(60.0 + tick / 4)
    assert {status_of(members, id) for id in "ac"} == {Status.ALIVE}
    assert status_of(members, "b") is Status.SUSPECT


def test_anothers_word_of_death_is_only_a_suspicion_here():
    """A partition heals, and one side hears that the other held it for dead.

    Believed at once, that would take out members that answer. They are asked
    instead, and refute.
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
    "late",
    [
        member("a", incarnation=4, revision=9),
        member("a", incarnation=4, status=Status.DEAD),
        member("a", incarnation=5, revision=2),
        member("a", incarnation=5, revision=1, status=Status.LEAVING),
    ],
)
def test_late_news_changes_nothing(late):
    members = membership()
    newest = member("a", incarnation=5, revision=2, status=Status.LEAVING)
    members.apply_update(newest, 0.0)
    assert not members.apply_update(late, 1.0)
    assert members.members_by_id["a"] == newest


def test_a_new_run_overrides_the_death_of_an_earlier_one():
    members = membership("a")
    run(members, 1, 10)
    assert status_of(members, "a") is Status.DEAD
    assert members.apply_update(member("a", incarnation=2), 10.0)
    assert status_of(members, "a") is Status.ALIVE


def test_a_leaving_member_that_dies_is_found_dead():
    members = membership("a", "b")
    members.apply_update(member("a", revision=1, status=Status.LEAVING), 0.0)
    run(members, 1, 12, answer=lambda probe: probe.daemon_id == "b")
    assert status_of(members, "a") is Status.DEAD


def test_the_dead_are_forgotten_in_the_end():
    members = membership("a", "b")
    run(members, 1, 620, answer=lambda probe: probe.daemon_id == "b")
    assert "a" not in members.members_by_id


def test_a_clock_set_back_before_a_restart_is_made_up_for():
    """A VM's clock is set back, and its daemon restarts with a lower incarnation.

    Peers take what it says for late news of the earlier run. Told what they
    remember, it goes above.
    """
    members = membership("a")
    members.raise_incarnation(7)
    assert members.myself.incarnation == 8


def exchange(memberships, now, lost):
    """One second in which every daemon pings one other, with loss."""
    for membership in memberships.values():
        for relayed in membership.tick(now):
            if not lost(membership.myself.daemon_id, relayed.daemon_id):
                membership.answered(relayed.round, relayed.daemon_id)
        probe = membership.next_probe(now)
        if probe is None or lost(membership.myself.daemon_id, probe.daemon_id):
            continue
        other = memberships[probe.daemon_id]
        for sender, receiver in ((membership, other), (other, membership)):
            receiver.heard(sender.myself.daemon_id)
            for update in sender.updates_for(receiver.myself.daemon_id, limit=8):
                receiver.apply_update(update, now)
        membership.answered(probe.round, probe.daemon_id)


def test_news_reaches_sixty_daemons_with_a_tenth_of_messages_lost():
    ids = [f"e{i}" for i in range(60)]
    everyone = [member(id) for id in ids]
    memberships = {}
    for id in ids:
        memberships[id] = Membership(member(id), random.Random(id), 0.0)
        memberships[id].merge_members(everyone, 0.0)
    memberships["e0"].leave()
    rng = random.Random(3)

    def lost(sender, receiver):
        return rng.random() < 0.1

    for second in range(1, 16):
        exchange(memberships, float(second), lost)
    for each in memberships.values():
        assert status_of(each, "e0") is Status.LEAVING

"""Tests for the sweep, which releases engine memory whose owner can no longer do so.

Guards against memory that stays reserved, and against memory released while its owner
uses it.
"""

import subprocess
import sys
import time

import pytest

from cranberrywick.controllers.actor import ControllerHandle
from cranberrywick.controllers.sweep import SweepController, owner_state
from cranberrywick.decisions.membership import Member, Status
from cranberrywick.decisions.orphans import (
    GONE_SECONDS,
    SILENT_SECONDS,
    Listed,
    ListedKind,
    OrphanTracker,
    Owner,
    OwnerState,
)
from cranberrywick.endpoints.cancel import CLEANUP_SECONDS, Cleanups, cancel_stream
from cranberrywick.standin import engine
from cranberrywick.standin.engine_core import Prompt

WAIT_SECONDS = 20.0
OWNER = Owner("entry-1", 1, "r1")

# A daemon's request that reserves memory for a gang and then waits to be killed.
HOLD_AND_WAIT = """
import sys, threading
from cranberrywick.decisions.gangs import GangPlan, Part
from cranberrywick.endpoints.gang import hold_gang
plan = GangPlan(Part("e0", 300), (Part("e1", 400),))
addresses = {"e0": sys.argv[1], "e1": sys.argv[2]}
with hold_gang(plan, addresses, "entry-1/1/r1", 3600.0):
    print("held", flush=True)
    threading.Event().wait()
"""


class Clock:
    """A clock that the test advances."""

    now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def engines():
    running = {
        f"e{n}": engine.start(engine.EngineSettings(prefill_tokens_per_second=1.0))
        for n in range(2)
    }
    yield running
    for each in running.values():
        each.stop()


def memory_used(engines):
    return [each.standin.core.memory_used for each in engines.values()]


def wait_until(condition, step):
    """Call ``step`` until a condition holds; fail after `WAIT_SECONDS`."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "the condition never came true"
        step()
        time.sleep(0.05)


def test_memory_of_a_daemon_killed_during_an_import_is_released(engines):
    """Guards against engine memory that stays reserved after SIGKILL of its owner.

    The daemon has reserved parts of two engines' memory for an hour and can't release
    them any more. Another daemon must find them on the engines' lists, see that the
    owner is gone, and release both after the grace period.
    """
    addresses = {name: each.address for name, each in engines.items()}
    command = [sys.executable, "-c", HOLD_AND_WAIT, *addresses.values()]
    daemon = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert daemon.stdout.readline() == "held\n"
    finally:
        daemon.kill()
        daemon.wait()
        daemon.stdout.close()
    assert memory_used(engines) == [300, 400]
    clock = Clock()
    state = {OWNER: OwnerState.GONE}

    def step():
        sweeper.tell(SweepController.sweep)
        clock.now += GONE_SECONDS

    sweeper = ControllerHandle(SweepController, lambda: addresses, state.get, clock)
    wait_until(lambda: memory_used(engines) == [0, 0], step)
    sweeper.stop()


def test_cancel_that_the_engine_lost_is_repeated_by_its_owner(engines):
    """Guards against a stream that goes on though the engine confirmed its end.

    The engine's steward is another daemon, to which the owner is alive. Only the owner
    knows that the request has ended, so it must check the engine's list itself.
    """
    source = engines["e0"]
    source.standin.faults.set("lose_cancel", count=1)
    source.standin.core.submit(Prompt("r1", 1, str(OWNER), (), 50, 50, 0))
    assert cancel_stream(source.address, "r1.1")
    assert memory_used(engines) == [100, 0]
    cleanups = Cleanups()
    cleanups.record(source.address)
    clock = Clock()

    def state_of(owner):
        return owner_state(owner, member("entry-1", 1), {"another"}, {})

    def step():
        sweeper.tell(SweepController.sweep)
        clock.now += GONE_SECONDS

    sweeper = ControllerHandle(SweepController, dict, state_of, clock, cleanups.recent)
    wait_until(lambda: memory_used(engines) == [0, 0], step)
    sweeper.stop()


def test_engine_is_swept_for_a_while_after_a_cleanup():
    clock = Clock()
    cleanups = Cleanups(clock)
    cleanups.record("e0:1")
    clock.now += CLEANUP_SECONDS
    cleanups.record("e1:1")
    assert cleanups.recent() == {"e0:1", "e1:1"}
    clock.now += 1.0
    assert cleanups.recent() == {"e1:1"}


def listed(owner=OWNER, kind=ListedKind.EXPORT, readers=0):
    return Listed("e0", kind, "x1", str(owner), readers)


@pytest.mark.parametrize(
    ("state", "item", "released_after"),
    [
        (OwnerState.LIVE, listed(), None),
        (OwnerState.GONE, listed(), GONE_SECONDS),
        (OwnerState.SILENT, listed(), SILENT_SECONDS),
        (OwnerState.SILENT, listed(kind=ListedKind.STREAM), SILENT_SECONDS),
        (OwnerState.SILENT, listed(kind=ListedKind.STREAM, readers=1), None),
    ],
)
def test_grace_depends_on_the_state_of_the_owner(state, item, released_after):
    tracker = OrphanTracker(lambda owner: state)
    assert tracker.orphans("e0", [item], 0.0) == []
    if released_after is None:
        assert tracker.orphans("e0", [item], 1e6) == []
    else:
        assert tracker.orphans("e0", [item], released_after - 0.1) == []
        assert tracker.orphans("e0", [item], released_after) == [item]


def test_grace_restarts_after_the_owner_was_alive_again():
    """A daemon is silent for most of the grace period, alive, and silent again."""
    states = [OwnerState.SILENT, OwnerState.LIVE, OwnerState.SILENT]
    tracker = OrphanTracker(lambda owner: states[0])
    assert tracker.orphans("e0", [listed()], 0.0) == []
    states.pop(0)
    assert tracker.orphans("e0", [listed()], SILENT_SECONDS - 1) == []
    states.pop(0)
    assert tracker.orphans("e0", [listed()], SILENT_SECONDS) == []


def test_items_of_others_are_left_alone():
    tracker = OrphanTracker(lambda owner: OwnerState.GONE)
    foreign = listed(owner="another-system")
    assert tracker.orphans("e0", [foreign], 0.0) == []
    assert tracker.orphans("e0", [foreign], 1e6) == []


def member(daemon_id, incarnation, status=Status.ALIVE):
    return Member(daemon_id, incarnation, 0, status, "p:1", "e:1", "a", "r")


@pytest.mark.parametrize(
    ("owner", "state"),
    [
        (Owner("me", 5, "running"), OwnerState.LIVE),
        (Owner("me", 5, "ended"), OwnerState.GONE),
        (Owner("me", 4, "running"), OwnerState.GONE),
        (Owner("peer", 2, "r"), OwnerState.LIVE),
        (Owner("peer", 1, "r"), OwnerState.GONE),
        (Owner("cut-off", 3, "r"), OwnerState.SILENT),
        (Owner("unheard-of", 1, "r"), OwnerState.SILENT),
        (Owner("peer", 3, "r"), OwnerState.SILENT),
    ],
)
def test_owner_state(owner, state):
    members = [member("peer", 2), member("cut-off", 3, Status.DEAD)]
    members_by_id = {each.daemon_id: each for each in members}
    assert owner_state(owner, member("me", 5), {"running"}, members_by_id) is state

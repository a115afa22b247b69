"""The records of quarantines in the store: who writes, reads and removes them."""

import asyncio
from types import SimpleNamespace

import pytest
from gateway_fleet import Fleet

from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.gateway.crash_updates import CrashUpdates
from cranberrywick.gateway.quarantine_records import (
    READ_RETRY_SECONDS,
    WRITERS,
    QuarantineRecords,
)
from cranberrywick.logs import EventLog
from cranberrywick.platform.store import PlatformStore
from cranberrywick.routing.crash_statement import EndpointCrash, LostRequest
from cranberrywick.routing.quarantine_trials import Turn
from cranberrywick.routing.request_traits import RequestTraits

BAD = RequestTraits(("first", "bad", "own"), b"POST", "host", b"/", b"")


@pytest.fixture
def store(tmp_path):
    """A client of a stand-in of the store."""
    fleet = Fleet(tmp_path)
    address = fleet.await_on_loop(fleet.store.add_listener("gateway-1"))
    yield PlatformStore(address, EventLog())
    fleet.close()


def test_a_quarantine_is_written_by_several_daemons_and_removed(store):
    """Guards against a second writer that fails, or that keeps the record alive."""
    assert store.read_quarantines() == frozenset()
    store.write_quarantine("bad", 60.0)
    store.write_quarantine("bad", 10_000.0)
    store.write_quarantine("worse", 0.1)
    assert store.read_quarantines() == {"bad", "worse"}
    store.remove_quarantine("bad")
    store.remove_quarantine("bad")
    assert store.read_quarantines() == {"worse"}


class Calls:
    """Makes calls at once; none is answered while ``is_down``."""

    def __init__(self):
        self.is_down = False
        self.made = []
        self.recorded = set()

    def make(self, reader, call, done):
        name, arguments = (
            getattr(call, "func", call).__name__,
            getattr(call, "args", ()),
        )
        self.made.append((name, *arguments[:1]))
        if not self.is_down:
            done(set(self.recorded) if name == "read_quarantines" else None, 0.0)


def run_scene(scene, rank=0):
    """Run a scene with the records of one daemon, and return its calls."""
    calls = Calls()

    async def main():
        crashes = CrashUpdates(lambda: None, lambda now: Turn(0, 1), EventLog())
        store = SimpleNamespace(
            read_quarantines=lambda: None,
            write_quarantine=lambda segment_id, seconds: None,
            remove_quarantine=lambda segment_id: None,
        )
        for name, function in vars(store).items():
            function.__name__ = name
        members = SimpleNamespace(rank=lambda now: rank)
        records = QuarantineRecords(store, calls, crashes, members, EventLog())
        await scene(records, crashes, calls)

    run_in_virtual_time(main())
    return calls


def crash_thrice(crashes):
    now = asyncio.get_running_loop().time()
    for number in range(3):
        lost = LostRequest(("first", "bad"), sent_for=0.5)
        crash = EndpointCrash(f"e{number}", 1, now - number, (lost,))
        crashes.crashed(crash)


async def conclude(records, crashes, calls):
    records.start()
    crash_thrice(crashes)
    await asyncio.sleep(10.0)


@pytest.mark.parametrize("rank", [0, WRITERS - 1, WRITERS])
def test_only_a_few_daemons_write_a_quarantine(rank):
    """Guards against a call of the store by each daemon of a large fleet."""
    calls = run_scene(conclude, rank)
    written = calls.made.count(("write_quarantine", "bad"))
    assert written == (rank < WRITERS)


def test_a_quarantine_that_an_answer_ended_is_removed():
    """Guards against prompts that a restarted fleet refuses without a cause."""

    async def scene(records, crashes, calls):
        await conclude(records, crashes, calls)
        crashes.answered(BAD, is_whole=True)
        await asyncio.sleep(10.0)

    assert run_scene(scene).made[-1] == ("remove_quarantine", "bad")


def test_records_are_read_until_the_store_answers_and_again_while_in_use():
    """Guards against a fleet that starts while the store is away and never reads them,
    and against a quarantine whose record has ended."""

    async def scene(records, crashes, calls):
        calls.is_down = True
        records.start()
        await asyncio.sleep(3 * READ_RETRY_SECONDS + 0.1)
        assert len(calls.made) == 4
        calls.is_down, calls.recorded = False, {"bad"}
        await asyncio.sleep(READ_RETRY_SECONDS)
        assert crashes.find(BAD, "r")
        await asyncio.sleep(200.0)
        assert crashes.find(BAD, "r")
        calls.recorded.clear()
        await asyncio.sleep(200.0)
        assert not crashes.find(BAD, "r")

    run_scene(scene)

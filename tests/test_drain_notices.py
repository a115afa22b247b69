"""Notices of draining endpoints, in one daemon and in simulated fleets.

Guards against requests to an endpoint that has announced that it drains, because a
record, an outage or a lost message made a daemon forget or miss the announcement.
"""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from limited_fleet import run_scenario

from cranberrywick.routing.drain_notices import (
    KEEP_SECONDS,
    REPORT_SECONDS,
    DrainNotice,
    DrainNotices,
)
from cranberrywick.routing.model import EndpointRecord, EndpointView
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.usable import is_usable

IDS = ("e1", "e2")
NOWHERE: frozenset[str] = frozenset()
# Time within which all daemons of a fleet know of a notice, in seconds.
KNOWN_SECONDS = 1.0


def record(endpoint_id, born, draining=False, domain="fd-a"):
    return EndpointRecord(
        endpoint_id, "notices", "10.1.0.1:80", domain, 6, draining, 0.0, born
    )


class NoticesMachine(RuleBasedStateMachine):
    """Endpoints announce, restart, lapse and return, and the store is away for long."""

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.revision = 0
        self.records = {i: record(i, born=1) for i in IDS}
        self.announced = set()
        self.notices = DrainNotices()
        self.registry = EndpointRegistry(self.notices)
        self.read(0.1)

    @rule(pause=st.sampled_from([0.4, 3.0, KEEP_SECONDS / 4]))
    def read(self, pause):
        self.now += pause
        self.revision += 1
        self.registry.apply(
            EndpointView(self.revision, dict(self.records)), self.now, self.now
        )

    @rule(
        endpoint_id=st.sampled_from(IDS),
        draining=st.booleans(),
        domain=st.sampled_from(["fd-a", "fd-b"]),
    )
    def rewrite(self, endpoint_id, draining, domain):
        known = self.records.get(endpoint_id) or record(endpoint_id, born=1)
        self.records[endpoint_id] = known._replace(
            draining=draining, failure_domain=domain
        )

    @rule(endpoint_id=st.sampled_from(IDS))
    def lapse_and_return(self, endpoint_id):
        known = self.records.pop(endpoint_id, None)
        self.read(0.4)
        if known is not None:
            self.records[endpoint_id] = known

    @rule(endpoint_id=st.sampled_from(IDS))
    def restart(self, endpoint_id):
        known = self.records.get(endpoint_id) or record(endpoint_id, born=1)
        self.records[endpoint_id] = record(endpoint_id, known.born + 1)

    @rule(endpoint_id=st.sampled_from(IDS), is_own=st.booleans())
    def announce(self, endpoint_id, is_own):
        """An answer to this daemon or to a peer, for the start that is known here."""
        tracked = self.registry.tracked_by_id.get(endpoint_id)
        if tracked is None:
            return
        notice = DrainNotice(endpoint_id, tracked.record.born, self.now)
        self.announced.add((endpoint_id, tracked.record.born))
        if self.notices.add(notice, is_own):
            self.registry.apply_notice(notice)

    @rule()
    def forget(self):
        self.notices.forget(self.registry.born_by_id, self.now)

    @invariant()
    def announced_starts_get_no_work_and_all_others_do(self):
        for tracked in self.registry.tracked_by_id.values():
            start = tracked.endpoint_id, tracked.record.born
            expected = start not in self.announced and not tracked.record.draining
            assert is_usable(tracked, NOWHERE) == expected


TestNotices = NoticesMachine.TestCase
TestNotices.settings = settings(stateful_step_count=25, max_examples=200)


def test_notices_of_endpoints_that_are_gone_are_removed():
    """Guards against memory that grows with every endpoint that ever drained."""
    notices = DrainNotices()
    for number in range(1000):
        notices.add(DrainNotice(f"e{number}", 1, 0.0), is_own=number % 2 == 0)
    notices.forget({"e7": 1, "e8": 2}, KEEP_SECONDS + 1.0)
    assert notices.all() == [DrainNotice("e7", 1, 0.0)]
    assert notices.recent(0.0) == []


def test_only_own_recent_notices_are_sent():
    """Guards against notices that daemons pass around for ever."""
    notices = DrainNotices()
    own, peers = DrainNotice("e1", 1, 10.0), DrainNotice("e2", 1, 10.0)
    notices.add(own, is_own=True)
    notices.add(peers, is_own=False)
    assert notices.recent(10.0 + REPORT_SECONDS) == [own]
    assert notices.recent(10.1 + REPORT_SECONDS) == []


def announce(daemon, endpoint_id="e1"):
    now = asyncio.get_running_loop().time()
    daemon.peer_updates.announce_draining(DrainNotice(endpoint_id, 1, now))


def knows(daemon, endpoint_id="e1"):
    notices = daemon.peer_updates.drain_notices
    return notices.announced_at(endpoint_id, born=1) is not None


@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("size", [9, 67, 195])
def test_the_whole_fleet_knows_within_a_second(size, loss):
    """Guards against daemons that use an endpoint for seconds after peers know."""

    async def scenario(fleet):
        fleet.network.loss = loss
        announce(fleet.daemons[-1])
        await asyncio.sleep(KNOWN_SECONDS if not loss else REPORT_SECONDS)
        assert all(map(knows, fleet.daemons))

    run_scenario(size, scenario)


def test_a_daemon_that_starts_later_is_told():
    """Guards against a restarted daemon that uses an endpoint others know to drain."""

    async def scenario(fleet):
        first, second = fleet.daemons[:2]
        announce(first)
        await asyncio.sleep(2 * REPORT_SECONDS)
        fleet.kill(second)
        await asyncio.sleep(1.0)
        await fleet.restart(second)
        await asyncio.sleep(KNOWN_SECONDS)
        assert all(map(knows, fleet.daemons))

    run_scenario(9, scenario)


def test_daemons_that_were_cut_off_meanwhile_are_told_by_the_endpoint():
    """A cut daemon keeps what it was told, and others learn what they can."""

    async def scenario(fleet):
        cut = fleet.daemons[0]
        fleet.network.cut.add(cut.address)
        announce(cut)
        await asyncio.sleep(KNOWN_SECONDS)
        assert [d for d in fleet.daemons if knows(d)] == [cut]
        fleet.network.cut.clear()
        await asyncio.sleep(KNOWN_SECONDS)
        assert all(map(knows, fleet.daemons))

    run_scenario(9, scenario)

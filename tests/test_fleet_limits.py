"""Rate limits of endpoints hold for the whole fleet while daemons fail."""

import asyncio
from math import inf

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from limited_fleet import DOMAINS, WINDOW_SECONDS, LimitedFleet, run_scenario
from simulated_daemons import number_of

from cranberrywick.bench.simulated_network import daemon_address
from cranberrywick.bench.virtual_time import suspend_loop, virtual_loop

# Callers send three times as many requests as the endpoints accept.
OVERLOAD = 3.0


async def limit(fleet, rate, call_rate=None):
    """Start callers and, a second later, limit every endpoint to ``rate``.

    Both rates are in requests a second for each endpoint. Without a ``call_rate``
    callers send `OVERLOAD` times as much as the limit allows.
    """
    fleet.start_callers(call_rate or OVERLOAD * rate)
    await asyncio.sleep(1.0)
    for endpoint in fleet.endpoints:
        endpoint.limit(rate)


def assert_used(fleet, share):
    now = asyncio.get_running_loop().time()
    assert all(each.used_share(now) >= share for each in fleet.endpoints)


@pytest.mark.parametrize(
    ("size", "rate"),
    [(9, 0.25), (9, 1.0), (9, 20.0), (67, 1.0), (67, 10.0), (195, 1.0)],
)
def test_a_limit_holds_for_the_sum_of_all_daemons(size, rate):
    """Guards against limits that are exceeded the more, the larger the fleet is."""

    async def scenario(fleet):
        await limit(fleet, rate)
        await asyncio.sleep(12.0 if size < 100 else 8.0)
        fleet.check_limits()
        assert_used(fleet, 0.8)
        assert fleet.longest_refusal < 0.1

    run_scenario(size, scenario)


@pytest.mark.parametrize("size", [9, 67])
@pytest.mark.parametrize("rate", [1.0, 10.0, 20.0])
def test_a_rush_after_a_lull_stays_within_the_limit(size, rate):
    """Guards against permits that accumulate while few requests come."""

    async def scenario(fleet):
        await limit(fleet, rate)
        await asyncio.sleep(4.0)
        for _ in range(2):
            fleet.stop_callers()
            await asyncio.sleep(6.0)
            fleet.start_callers(OVERLOAD * rate)
            await asyncio.sleep(WINDOW_SECONDS + 2.0)
        fleet.check_limits()

    run_scenario(size, scenario)


def test_requests_within_a_limit_are_served():
    """Guards against refusals while the endpoints could accept the requests."""

    async def scenario(fleet):
        await limit(fleet, 10.0, call_rate=6.0)
        await asyncio.sleep(20.0)
        assert fleet.refused <= 0.02 * fleet.sent

    run_scenario(9, scenario)


def test_a_killed_steward_is_replaced():
    """Guards against an endpoint that no daemon may use after its steward died."""

    async def scenario(fleet):
        await limit(fleet, 2.0)
        await asyncio.sleep(4.0)
        for endpoint in fleet.endpoints:
            fleet.kill(fleet.steward(endpoint))
        await asyncio.sleep(3.0)
        before = [len(endpoint.arrived_at) for endpoint in fleet.endpoints]
        await asyncio.sleep(6.0)
        for endpoint, number in zip(fleet.endpoints, before, strict=True):
            # A third of the fleet is silent and may be alive behind a partition.
            assert len(endpoint.arrived_at) - number >= 0.5 * 2.0 * 6.0

    run_scenario(9, scenario)


def test_a_steward_does_not_make_up_for_a_freeze():
    """Guards against two stewards at once after one resumes from a freeze."""

    async def scenario(fleet):
        await limit(fleet, 5.0)
        await asyncio.sleep(4.0)
        for _ in range(3):
            stewards = [fleet.steward(endpoint) for endpoint in fleet.endpoints]
            for daemon in stewards:
                fleet.network.frozen.add(daemon.address)
            await asyncio.sleep(3.0)
            for daemon in stewards:
                fleet.network.thaw(daemon.address)
            await asyncio.sleep(1.0)
        await asyncio.sleep(4.0)
        fleet.check_limits()

    run_scenario(9, scenario)


def test_requests_that_waited_through_a_freeze_are_not_sent_at_once():
    """Guards against a burst when the times of many permits pass during a freeze."""

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        (daemon,) = fleet.daemons
        daemon.peer_updates.limits.observe("e0", 1.0, loop.time())
        granted_at = []

        async def call():
            if (await daemon.peer_updates.permits.admit("e0", 10.0)).granted:
                granted_at.append(loop.time())

        calls = [asyncio.create_task(call()) for _ in range(6)]
        await asyncio.sleep(0.5)
        suspend_loop(6.0)
        resumed_at = loop.time()
        await asyncio.gather(*calls)
        assert len(granted_at) == 6
        assert sum(resumed_at <= at < resumed_at + 1.0 for at in granted_at) <= 2

    run_scenario(1, scenario)


@pytest.mark.parametrize("parts", [2, 3])
@pytest.mark.parametrize("rate", [1.0, 20.0])
def test_parts_of_a_fleet_that_are_cut_off_from_each_other_keep_the_sum(parts, rate):
    """Guards against each side of a partition granting the whole limit."""

    async def scenario(fleet):
        await limit(fleet, rate)
        await asyncio.sleep(4.0)

        def part(address):
            return number_of(address) % parts

        fleet.network.is_cut = lambda source, target: part(source) != part(target)
        await asyncio.sleep(12.0)
        fleet.check_limits()
        assert_used(fleet, 0.6)
        fleet.network.is_cut = lambda source, target: False
        await asyncio.sleep(6.0)

    run_scenario(9, scenario)


def test_two_domains_that_reach_only_a_third_keep_the_sum():
    """Guards against two stewards that each count two thirds of the fleet as alive."""

    async def scenario(fleet):
        await limit(fleet, 10.0)
        await asyncio.sleep(4.0)

        def domain(address):
            return DOMAINS[number_of(address) % 3]

        apart = {DOMAINS[0], DOMAINS[1]}
        fleet.network.is_cut = lambda source, target: (
            {domain(source), domain(target)} == apart
        )
        await asyncio.sleep(15.0)
        fleet.check_limits()
        assert_used(fleet, 0.6)

    run_scenario(9, scenario)


@pytest.mark.parametrize("size", [9, 67])
def test_restarts_in_series_keep_the_limit(size):
    """Guards against a full burst of permits from every steward that takes over."""

    async def scenario(fleet):
        await limit(fleet, 5.0)
        await asyncio.sleep(3.0)
        for daemon in list(fleet.daemons)[:9]:
            fleet.kill(daemon)
            await asyncio.sleep(0.5)
            await fleet.restart(daemon)
            await asyncio.sleep(0.3)
        await asyncio.sleep(3.0)
        fleet.check_limits()
        assert_used(fleet, 0.6)

    run_scenario(size, scenario)


def test_a_limit_that_falls_is_kept_at_once():
    """Guards against permits that were granted at an earlier, higher rate."""

    async def scenario(fleet):
        await limit(fleet, 20.0)
        await asyncio.sleep(6.0)
        for endpoint in fleet.endpoints:
            endpoint.limit(1.0)
        await asyncio.sleep(10.0)
        fleet.check_limits()
        assert_used(fleet, 0.8)

    run_scenario(9, scenario)


@pytest.mark.parametrize("size", [9, 67])
@pytest.mark.parametrize("rate", [0.0, 1.0])
def test_the_end_of_a_limit_reaches_every_daemon(size, rate):
    """Guards against a limit that stays in force at daemons which send no requests."""

    async def scenario(fleet):
        await limit(fleet, rate, call_rate=OVERLOAD)
        await asyncio.sleep(8.0)
        for endpoint in fleet.endpoints:
            endpoint.limit(None)
        await asyncio.sleep(5.0)
        for daemon in fleet.daemons:
            limits = daemon.peer_updates.limits
            assert all(limits.rate(e.endpoint_id) == inf for e in fleet.endpoints)

    run_scenario(size, scenario)


@pytest.mark.parametrize("size", [9, 67])
def test_a_daemon_that_starts_receives_the_limits_in_force(size):
    """Guards against a burst from a restarted daemon that doesn't know the limit."""

    async def scenario(fleet):
        await limit(fleet, 1.0)
        await asyncio.sleep(6.0)
        # From here on no daemon requests a permit; the answer would show the limit.
        fleet.stop_callers()
        await asyncio.sleep(4.0)
        for number in range(9):
            daemon = next(d for d in fleet.daemons if d.name == f"d{number:03}")
            fleet.kill(daemon)
            await asyncio.sleep(2.0)
            await fleet.restart(daemon)
            await asyncio.sleep(1.0)
            limits = fleet.daemons[-1].peer_updates.limits
            assert all(limits.rate(each.endpoint_id) == 1.0 for each in fleet.endpoints)

    run_scenario(size, scenario)


class LimitsMachine(RuleBasedStateMachine):
    """Limits change while daemons freeze, die, restart and are partitioned.

    No endpoint gets more requests than its limit allows from all daemons together,
    including those that don't know of the limit.
    """

    def __init__(self):
        super().__init__()
        self.loop = virtual_loop()
        self.killed = []
        self.run(self.start())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def start(self):
        self.fleet = LimitedFleet(9, seed=1)
        await self.fleet.start()
        self.fleet.start_callers(8.0)

    def teardown(self):
        self.run(asyncio.sleep(3.0))
        self.fleet.check_limits()
        self.fleet.stop()
        self.run(asyncio.sleep(0.0))
        self.loop.close()

    @rule(number=st.integers(0, 2), rate=st.sampled_from([0.5, 1.0, 4.0]))
    def set_limit(self, number, rate):
        self.fleet.endpoints[number].limit(rate)

    @rule(number=st.integers(0, 2))
    def end_limit(self, number):
        self.fleet.endpoints[number].limit(None)

    @rule(seconds=st.sampled_from([0.3, 1.0, 4.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))
        self.fleet.check_limits()

    @rule(number=st.integers(0, 8))
    def freeze_or_thaw(self, number):
        address = daemon_address(f"d{number:03}")
        if address in self.fleet.network.frozen:
            self.run(self.thaw(address))
        else:
            self.fleet.network.frozen.add(address)

    async def thaw(self, address):
        self.fleet.network.thaw(address)

    @rule(number=st.integers(0, 2))
    def kill_steward(self, number):
        daemon = self.fleet.steward(self.fleet.endpoints[number])
        if daemon in self.fleet.daemons and len(self.fleet.daemons) > 5:
            self.fleet.kill(daemon)
            self.killed.append(daemon)

    @rule()
    def restart_one(self):
        if self.killed:
            self.run(self.fleet.restart(self.killed.pop()))

    @rule(parts=st.sampled_from([1, 2, 3]))
    def divide(self, parts):
        self.fleet.network.is_cut = lambda source, target: (
            number_of(source) % parts != number_of(target) % parts
        )


LimitsMachine.TestCase.settings = settings(max_examples=15, stateful_step_count=25)
TestLimitsMachine = LimitsMachine.TestCase

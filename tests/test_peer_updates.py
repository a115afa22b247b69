"""What daemons of a large fleet hear of one another, on a network without sockets."""

import asyncio

import pytest

from cranberrywick.bench.simulated_network import SimulatedDaemon, SimulatedNetwork
from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.messages import (
    OperatorSnapshot,
    decode_message,
    encode_message,
)
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import EndpointView, OperatorView
from cranberrywick.routing.relays import Relays, needs_relays
from cranberrywick.routing.retry_budget import RetryBudget

DOMAINS = ("fd-a", "fd-b", "fd-c")


async def fleet(size, tickers):
    network = SimulatedNetwork()
    daemons = [
        SimulatedDaemon(network, f"d{number:03}", DOMAINS[number % 3])
        for number in range(size)
    ]
    addresses = {daemon.name: daemon.address for daemon in daemons}
    for daemon in daemons:
        ticker = Ticker(EventLog())
        tickers.append(ticker)
        await daemon.peer_updates.start(ticker)
        others = {n: a for n, a in addresses.items() if n != daemon.name}
        daemon.peer_updates.set_registered_addresses(others)
    await asyncio.sleep(4.0)
    return network, daemons


def play(size, scene):
    """Start a fleet, let it settle and play a scene with it."""

    async def main():
        tickers = []
        try:
            await scene(*await fleet(size, tickers))
        finally:
            for ticker in tickers:
                ticker.stop()

    run_in_virtual_time(main())


@pytest.mark.parametrize("size", [9, 40, 80])
def test_everyone_hears_of_a_job_before_the_next_requests_come(size):
    """A daemon sends a long prompt to an engine; no other sends its own there.

    Through two relays the news takes two collecting intervals and some hops.
    """

    async def scene(network, daemons):
        daemons[5].place_job()
        await asyncio.sleep(0.15)
        others = [d for d in daemons if d is not daemons[5]]
        assert all(daemon.counts_job_of(daemons[5]) for daemon in others)

    play(size, scene)


def test_a_large_fleet_tells_itself_little():
    """80 daemons at rest: without relays 78 datagrams a second for each daemon."""

    async def scene(network, daemons):
        network.received_datagrams.clear()
        network.received_bytes.clear()
        await asyncio.sleep(10.0)
        assert network.received_datagrams.total() / 10 / len(daemons) < 25
        assert network.received_bytes.total() / 10 / len(daemons) < 21_000

    play(80, scene)


def test_a_relay_that_dies_is_passed_over():
    """News of jobs arrive again two seconds after the relay of a domain was killed.

    It hears nothing and says nothing from one moment on. Its domain passes it over
    after a second without its keepalives; nobody else is taken for dead meanwhile.
    """

    async def scene(network, daemons):
        relay, sender = daemons[0], daemons[3]
        assert relay.domain == sender.domain
        network.cut.add(relay.address)
        await asyncio.sleep(2.0)
        sender.place_job()
        await asyncio.sleep(0.2)
        others = [d for d in daemons if d not in (relay, sender)]
        assert all(daemon.counts_job_of(sender) for daemon in others)
        await asyncio.sleep(6.0)
        now = asyncio.get_running_loop().time()
        for daemon in others:
            alive = {beat.daemon_id for beat in daemon.peer_updates.members.alive(now)}
            assert alive == {d.name for d in daemons} - {relay.name, daemon.name}

    play(40, scene)


@pytest.mark.parametrize("size", [9, 40])
@pytest.mark.parametrize("parts", [2, 3])
def test_parts_of_a_fleet_that_lose_each_other_keep_the_retry_budget(size, parts):
    """Guards against a fixed allowance that each side of a cut spends in full."""

    async def scene(network, daemons):
        def part(address):
            return int(address[1:4]) % parts

        network.is_cut = lambda source, target: part(source) != part(target)
        await asyncio.sleep(20.0)
        now = asyncio.get_running_loop().time()
        taken = 0
        for daemon in daemons:
            budget = RetryBudget(ratio=0.2, window_seconds=10.0, slack=100.0)
            while budget.take("pool", daemon.peer_updates.most_members, now):
                taken += 1
        assert taken <= 100

    play(size, scene)


def test_a_relay_that_comes_back_is_heard_again():
    """A relay is cut off for three seconds, and its domain's news arrive afterwards."""

    async def scene(network, daemons):
        relay, sender = daemons[0], daemons[3]
        network.cut.add(relay.address)
        await asyncio.sleep(3.0)
        network.cut.clear()
        await asyncio.sleep(1.5)
        sender.place_job()
        relay.place_job()
        await asyncio.sleep(0.2)
        for told in (relay, sender):
            others = [d for d in daemons if d is not told]
            assert all(daemon.counts_job_of(told) for daemon in others)

    play(40, scene)


def test_a_lossy_network_takes_nobody_for_dead():
    """One datagram in thirty is lost; every daemon is still named to callers."""

    async def scene(network, daemons):
        network.loss = 1 / 30
        for _ in range(20):
            await asyncio.sleep(1.0)
            now = asyncio.get_running_loop().time()
            for daemon in daemons:
                assert len(daemon.peer_updates.members.serving(now)) == len(daemons) - 1

    play(40, scene)


def test_all_hear_at_once_that_a_relay_leaves():
    """Callers are not sent to a daemon that stops, though it is a relay itself."""

    async def scene(network, daemons):
        daemons[0].leaving = True
        daemons[0].peer_updates.send_heartbeat()
        await asyncio.sleep(0.2)
        now = asyncio.get_running_loop().time()
        for daemon in daemons[1:]:
            serving = {
                beat.daemon_id for beat in daemon.peer_updates.members.serving(now)
            }
            assert daemons[0].name not in serving

    play(40, scene)


def test_a_reading_of_the_endpoints_reaches_every_daemon_once():
    async def scene(network, daemons):
        view = EndpointView(1, {})
        daemons[7].peer_updates.broadcast(
            EndpointSnapshot.whole(view, view.digest, 0.0)
        )
        await asyncio.sleep(0.1)
        assert all(len(d.snapshots) == 1 for d in daemons if d is not daemons[7])

    play(40, scene)


def test_a_newcomer_is_known_to_all_and_knows_all():
    """A VM is replaced by one at another address, in a running fleet."""

    async def scene(network, daemons):
        newcomer = SimulatedDaemon(network, "d999", "fd-b")
        ticker = Ticker(EventLog())
        await newcomer.peer_updates.start(ticker)
        newcomer.peer_updates.set_registered_addresses(
            {d.name: d.address for d in daemons}
        )
        await asyncio.sleep(2.0)
        ticker.stop()
        now = asyncio.get_running_loop().time()
        assert len(newcomer.peer_updates.members.alive(now)) == len(daemons)
        for daemon in daemons:
            alive = {beat.daemon_id for beat in daemon.peer_updates.members.alive(now)}
            assert "d999" in alive

    play(40, scene)


def test_a_newcomer_that_the_store_does_not_answer_is_told_what_it_needs():
    """Callers are served by a daemon that restarts while the store is away.

    Its settings name three daemons, none of them a relay. They tell it the endpoints
    and make it known to all, and it hears of all in turn.
    """

    async def scene(network, daemons):
        seeds = daemons[9:12]
        addresses = tuple(f"{seed.name}:9000" for seed in seeds)
        newcomer = SimulatedDaemon(network, "d999", "fd-b", addresses)
        ticker = Ticker(EventLog())
        await newcomer.peer_updates.start(ticker)
        await asyncio.sleep(0.1)
        assert any("d999:7000" in seed.newcomers for seed in seeds)
        await asyncio.sleep(2.0)
        ticker.stop()
        now = asyncio.get_running_loop().time()
        assert len(newcomer.peer_updates.members.alive(now)) == len(daemons)
        assert all("d999" in d.peer_updates.members.members_by_id for d in daemons)

    play(40, scene)


class TestRelays:
    def test_a_silent_relay_is_passed_over_until_it_is_heard(self):
        relays = Relays("d5", "a")
        members = ["d1", "d2", "d5"]
        assert relays.choose("a", members, 0.0) == "d1"
        assert relays.choose("a", members, 1.1) == "d2"
        relays.receive("d2", "a", 1.5)
        assert relays.choose("a", members, 2.4) == "d2"
        relays.receive("d1", "a", 2.4)
        assert relays.choose("a", members, 2.5) == "d1"

    def test_a_daemon_that_hears_no_relay_becomes_one(self):
        relays = Relays("d2", "a")
        assert relays.choose("a", ["d1", "d2", "d3"], 0.0) == "d1"
        assert relays.choose("a", ["d1", "d2", "d3"], 1.1) == "d2"

    def test_a_domain_whose_relays_are_all_silent_is_tried_again(self):
        relays = Relays("d9", "a")
        for now in (0.0, 1.1, 2.2, 3.3):
            assert relays.choose("b", ["d1", "d2"], now) is not None

    def test_a_pause_of_its_own_is_held_against_no_relay(self):
        relays = Relays("d5", "a")
        relays.choose("a", ["d1", "d5"], 0.0)
        relays.discount_pause(5.0)
        assert relays.choose("a", ["d1", "d5"], 5.5) == "d1"

    def test_small_fleets_have_none(self):
        assert not needs_relays(9)
        assert needs_relays(79)


def test_a_configuration_travels_compressed_and_whole():
    document = b'{"routes": [' + b'{"name": "r", "host": "h"},' * 4000 + b"]}"
    view = OperatorView.of(7, document, frozenset({"fd-a"}))
    data = encode_message(OperatorSnapshot(view, 0.5), 0.0)
    assert len(data) < len(document) / 20
    assert decode_message(data, 0.0).message.view == view

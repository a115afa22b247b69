"""Updates between the daemons of a large fleet, on a simulated network."""

import asyncio

import pytest
from simulated_daemons import number_of

from cranberrywick.bench.simulated_network import (
    SimulatedDaemon,
    SimulatedNetwork,
    daemon_address,
)
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


def run_scene(size, scene):
    """Start a fleet, let it run for four seconds and run a scene with it."""

    async def main():
        tickers = []
        try:
            await scene(*await fleet(size, tickers))
        finally:
            for ticker in tickers:
                ticker.stop()

    run_in_virtual_time(main())


@pytest.mark.parametrize("size", [9, 40, 80])
def test_a_new_job_is_known_everywhere_within_150_ms(size):
    """Guards against daemons that send long prompts to an engine which just got one.

    Through two relays the update takes two flush intervals and a few hops.
    """

    async def scene(network, daemons):
        daemons[5].place_job()
        await asyncio.sleep(0.15)
        others = [d for d in daemons if d is not daemons[5]]
        assert all(daemon.counts_job_of(daemons[5]) for daemon in others)

    run_scene(size, scene)


def test_a_large_idle_fleet_sends_few_datagrams():
    """Guards against traffic that grows with the square of the fleet's size.

    Without relays each of 80 idle daemons would receive a heartbeat from 79 others
    every 0.48 s, about 165 datagrams a second.
    """

    async def scene(network, daemons):
        network.received_datagrams.clear()
        network.received_bytes.clear()
        await asyncio.sleep(10.0)
        assert network.received_datagrams.total() / 10 / len(daemons) < 25
        assert network.received_bytes.total() / 10 / len(daemons) < 21_000

    run_scene(80, scene)


def test_a_dead_relay_is_replaced():
    """Guards against updates that stay lost after the relay of a domain was killed.

    The relay neither receives nor sends from one moment on. Its domain chooses another
    relay after a second without keepalives, and updates of jobs arrive again within two
    seconds. No other daemon counts as dead meanwhile.
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

    run_scene(40, scene)


@pytest.mark.parametrize("size", [9, 40])
@pytest.mark.parametrize("parts", [2, 3])
def test_parts_of_a_fleet_that_are_cut_off_from_each_other_keep_the_retry_budget(
    size, parts
):
    """Guards against a fixed budget that each side of a partition spends in full."""

    async def scene(network, daemons):
        def part(address):
            return number_of(address) % parts

        network.is_cut = lambda source, target: part(source) != part(target)
        await asyncio.sleep(20.0)
        now = asyncio.get_running_loop().time()
        taken = 0
        for daemon in daemons:
            budget = RetryBudget(ratio=0.2, window_seconds=10.0, slack=100.0)
            while budget.take("pool", daemon.peer_updates.most_members, now):
                taken += 1
        assert taken <= 100

    run_scene(size, scene)


def test_a_relay_that_was_cut_off_works_again():
    """Guards against updates that stay lost after a relay was cut off for a while.

    The relay is cut off for three seconds. Updates from it and from its domain arrive
    afterwards.
    """

    async def scene(network, daemons):
        relay, sender = daemons[0], daemons[3]
        network.cut.add(relay.address)
        await asyncio.sleep(3.0)
        network.cut.clear()
        await asyncio.sleep(1.5)
        sender.place_job()
        relay.place_job()
        await asyncio.sleep(0.2)
        for owner in (relay, sender):
            others = [d for d in daemons if d is not owner]
            assert all(daemon.counts_job_of(owner) for daemon in others)

    run_scene(40, scene)


def test_no_daemon_counts_as_dead_on_a_lossy_network():
    """Guards against daemons that count as dead since some heartbeats were lost.

    One datagram in thirty is lost.
    """

    async def scene(network, daemons):
        network.loss = 1 / 30
        for _ in range(20):
            await asyncio.sleep(1.0)
            now = asyncio.get_running_loop().time()
            for daemon in daemons:
                assert len(daemon.peer_updates.members.serving(now)) == len(daemons) - 1

    run_scene(40, scene)


def test_a_leaving_relay_is_known_everywhere_at_once():
    """Guards against callers that are sent to a stopping daemon that is a relay."""

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

    run_scene(40, scene)


def test_a_snapshot_of_the_endpoints_reaches_every_daemon_once():
    async def scene(network, daemons):
        view = EndpointView(1, {})
        daemons[7].peer_updates.broadcast(
            EndpointSnapshot.whole(view, view.digest, 0.0)
        )
        await asyncio.sleep(0.1)
        assert all(len(d.snapshots) == 1 for d in daemons if d is not daemons[7])

    run_scene(40, scene)


def test_a_newcomer_is_known_to_all_and_knows_all():
    """Guards against a new daemon that part of a running fleet does not know.

    It has an id and an address that the fleet has not seen, as after the replacement
    of a VM, and gets the members' addresses as if it had read them from the store.
    """

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

    run_scene(40, scene)


def test_a_newcomer_without_the_store_receives_what_it_needs():
    """Guards against a daemon that can't serve if it restarts without the store.

    Its settings name three daemons, none of them a relay. They send it the endpoints
    and forward its heartbeat to the whole fleet, whose heartbeats it then receives.
    """

    async def scene(network, daemons):
        seeds = daemons[9:12]
        addresses = tuple(seed.address.replace(":7000", ":9000") for seed in seeds)
        newcomer = SimulatedDaemon(network, "d999", "fd-b", addresses)
        ticker = Ticker(EventLog())
        await newcomer.peer_updates.start(ticker)
        await asyncio.sleep(0.1)
        assert any(daemon_address("d999") in seed.newcomers for seed in seeds)
        await asyncio.sleep(2.0)
        ticker.stop()
        now = asyncio.get_running_loop().time()
        assert len(newcomer.peer_updates.members.alive(now)) == len(daemons)
        assert all("d999" in d.peer_updates.members.members_by_id for d in daemons)

    run_scene(40, scene)


class TestRelays:
    def test_a_silent_relay_is_replaced_until_it_is_heard_from(self):
        relays = Relays("d5", "a")
        members = ["d1", "d2", "d5"]
        assert relays.choose("a", members, 0.0) == "d1"
        assert relays.choose("a", members, 1.1) == "d2"
        relays.receive("d2", "a", 1.5)
        assert relays.choose("a", members, 2.4) == "d2"
        relays.receive("d1", "a", 2.4)
        assert relays.choose("a", members, 2.5) == "d1"

    def test_a_daemon_that_receives_from_no_relay_becomes_one(self):
        relays = Relays("d2", "a")
        assert relays.choose("a", ["d1", "d2", "d3"], 0.0) == "d1"
        assert relays.choose("a", ["d1", "d2", "d3"], 1.1) == "d2"

    def test_a_relay_is_chosen_even_if_all_are_silent(self):
        relays = Relays("d9", "a")
        for now in (0.0, 1.1, 2.2, 3.3):
            assert relays.choose("b", ["d1", "d2"], now) is not None

    def test_a_pause_of_this_daemon_makes_no_relay_silent(self):
        relays = Relays("d5", "a")
        relays.choose("a", ["d1", "d5"], 0.0)
        relays.discount_pause(5.0)
        assert relays.choose("a", ["d1", "d5"], 5.5) == "d1"

    def test_only_large_fleets_need_relays(self):
        assert not needs_relays(9)
        assert needs_relays(79)


def test_a_configuration_is_sent_compressed_and_complete():
    document = b'{"routes": [' + b'{"name": "r", "host": "h"},' * 4000 + b"]}"
    view = OperatorView.of(7, document, frozenset({"fd-a"}))
    data = encode_message(OperatorSnapshot(view, 0.5), 0.0)
    assert len(data) < len(document) / 20
    assert decode_message(data, 0.0).message.view == view

"""A daemon's registration in the store, which may lose it and give its lease again."""

import asyncio
import random
import signal
import time
from types import SimpleNamespace

import pytest
from gateway_fleet import Fleet, running_gateways, wait_for
from store_returns import (
    MEMBERS_PREFIX,
    copy_without_daemons,
    go_back,
    wait_registered,
)

from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.external.key_value import LeaseLapsed
from cranberrywick.gateway.registration import LEASE_SECONDS, Registration
from cranberrywick.gateway.store_reader import Registered
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog
from cranberrywick.platform.store import PlatformStore
from cranberrywick.routing.store_position import StorePosition


@pytest.fixture
def fleet(tmp_path):
    """A store, and no gateways."""
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.close()


def client(fleet):
    address = fleet.await_on_loop(fleet.store.add_listener(fleet.new_id()))
    return PlatformStore(address, EventLog())


def test_a_registration_is_logged(tmp_path):
    """Guards against an error in place of the line that names the lease."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        wait_for(lambda: "event=registered" in gateway.log, "the registration")
        assert "library_message" not in gateway.log


def test_a_lease_of_an_earlier_epoch_counts_as_lapsed_although_it_is_renewed(fleet):
    """Guards against a daemon that renews another's lease for its own."""
    copy = fleet.on_loop(fleet.store.copy)
    first, second = client(fleet), client(fleet)
    registered = first.register("e1", "10.0.0.1:1", 60.0)
    go_back(fleet, copy)
    assert second.register("e2", "10.0.0.2:1", 60.0).lease == registered.lease
    with pytest.raises(LeaseLapsed):
        first.keep(registered)


def test_ending_a_registration_spares_the_daemon_that_got_its_lease(fleet):
    copy = fleet.on_loop(fleet.store.copy)
    first, second = client(fleet), client(fleet)
    registered = first.register("e1", "10.0.0.1:1", 60.0)
    go_back(fleet, copy)
    second.register("e2", "10.0.0.2:1", 60.0)
    first.end("e1", registered)
    assert fleet.store.keys(MEMBERS_PREFIX) == [f"{MEMBERS_PREFIX}e2"]


def test_ending_a_registration_spares_the_next_start_of_the_daemon(fleet):
    """Guards against a call that is executed after the daemon has started again."""
    first = client(fleet)
    registered = first.register("e1", "10.0.0.1:1", 60.0)
    again = first.register("e1", "10.0.0.1:1", 60.0)
    first.end("e1", registered)
    assert fleet.store.keys(MEMBERS_PREFIX)
    first.end("e1", again)
    assert not fleet.store.keys(MEMBERS_PREFIX)


def test_a_lease_that_is_lost_before_the_key_is_written_is_no_registration(fleet):
    """Guards against a key under a lease that the store gave to another daemon."""
    store = client(fleet)
    call = store._call

    def call_and_return(method, path, **arguments):
        reply = call(method, path, **arguments)
        if path == "/kv-lease":
            go_back(fleet, fleet.on_loop(fleet.store.copy))
        return reply

    store._call = call_and_return
    with pytest.raises(LeaseLapsed):
        store.register("e1", "10.0.0.1:1", 60.0)


def test_a_daemon_that_could_not_register_after_a_return_tries_again_soon(tmp_path):
    """Guards against a daemon that is missing until the next renewal."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        wait_registered(fleet)
        fleet.store.modes_by_listener["gateway-1"] = "busy"
        go_back(fleet, copy_without_daemons(fleet))
        time.sleep(1.5)
        fleet.store.modes_by_listener["gateway-1"] = "open"
        began = time.monotonic()
        wait_registered(fleet)
        assert time.monotonic() - began < 6.0


def test_a_stopped_daemon_does_not_register_again(tmp_path):
    """Guards against a registration of a daemon that is about to end."""
    with running_gateways(tmp_path, gateways=2) as fleet:
        wait_registered(fleet)
        stopped = fleet.gateways[1]
        stopped.process.send_signal(signal.SIGTERM)
        name = f"{MEMBERS_PREFIX}{stopped.name}"
        wait_for(lambda: name not in fleet.store.keys(MEMBERS_PREFIX), "its end")
        go_back(fleet, fleet.on_loop(fleet.store.copy))
        stopped.process.wait()
        assert name not in fleet.store.keys(MEMBERS_PREFIX)


def test_former_addresses_are_kept_after_a_return_until_all_have_registered_again():
    """Guards against daemons that are sent nothing while the list of members is empty.

    The copy holds no registration. A daemon that has just started and sends to nobody
    else would not be heard by the others until they have registered again.
    """
    kept_by_time = {}

    async def main():
        loop = asyncio.get_running_loop()
        members = SimpleNamespace(count=lambda now: 1)
        peer_updates = SimpleNamespace(
            registered_addresses={"e2": "10.0.0.2:1"},
            has_received_all=False,
            peer_address="10.0.0.1:1",
            members=members,
        )

        def set_registered_addresses(addresses_by_id):
            peer_updates.registered_addresses = addresses_by_id

        peer_updates.set_registered_addresses = set_registered_addresses
        store = SimpleNamespace(
            register=lambda *arguments: Registered(1, StorePosition(1, 1)),
            keep=lambda registered: None,
            read_members=dict,
        )
        calls = SimpleNamespace(
            make=lambda reader, call, handle: handle(call(), loop.time())
        )
        registration = Registration(
            "e1", store, calls, peer_updates, random.Random(1), EventLog()
        )
        ticker = Ticker(EventLog())
        registration.start(ticker)
        registration.store_returned(1)
        for seconds in (3.0, LEASE_SECONDS - 4.0, 60.0):
            await asyncio.sleep(seconds)
            kept_by_time[loop.time()] = peer_updates.registered_addresses
        ticker.stop()

    run_in_virtual_time(main())
    during, late, after = kept_by_time.values()
    assert during == late == {"e2": "10.0.0.2:1"}
    assert after == {}

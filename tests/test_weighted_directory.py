"""The directory's answers where VMs differ, and where the deployment doesn't ask so.

Guards against callers that are sent to VMs which are leaving, against a capacity that
no peer learns, and against changes where nobody asked for any.
"""

import asyncio
import io
import random
from types import SimpleNamespace

import gateway_fleet
from gateway_fleet import gateway_settings, running_gateways, wait_for
from test_routing import heartbeat

from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.gateway.app import Gateway
from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.gateway.weighted_directory import WeightedDirectory
from cranberrywick.logs import EventLog, make_handler
from cranberrywick.platform.directory import decode_failure_domain
from cranberrywick.platform.settings import decode_settings
from cranberrywick.routing.fleet_demand import (
    DemandStatement,
    FleetDemand,
    VmCapacity,
)
from cranberrywick.routing.members import Members

LARGE = VmCapacity(cores=2.0, link_mbps=100)
SMALL = VmCapacity(cores=0.5, link_mbps=10)
LIMITS = {"cpuShare": 0.5, "cores": 4, "linkMbps": 100}


def settings(**fields):
    return decode_settings(gateway_settings("d1", "10.0.0.1", "10.0.9.1:1") | fields)


class Fleet:
    """The peers of daemon d1, as its heartbeats describe them."""

    def __init__(self):
        self.members = Members("d1", 3.0)
        self.demand = FleetDemand()
        self.vm_capacity = VmCapacity

    def receive(self, number, capacity, sequence=1, **fields):
        daemon_id, now = f"d{number}", asyncio.get_running_loop().time()
        beat = heartbeat(
            daemon_id,
            sequence=sequence,
            entry_address=f"10.0.0.{number}:80",
            failure_domain="b",
            **fields,
        )
        self.members.receive(beat, now)
        self.demand.receive(daemon_id, DemandStatement(capacity), now)

    def directory(self):
        ticker = Ticker(EventLog())
        fields = settings(contracts=["pressure"], limits=LIMITS)
        return WeightedDirectory(fields, self, ticker, random.Random(1), EventLog())


def shares(directory, numbers, is_leaving=False):
    """Return how many of 200 callers are named each of the addresses."""
    answers = [directory.addresses(f"10.7.0.{n}", "", is_leaving) for n in range(200)]
    return [sum(f"10.0.0.{n}:80" in each for each in answers) for n in numbers]


def test_answers_follow_what_peers_state_and_whether_they_serve():
    """Guards against names of daemons that left within the second of the weights."""

    async def main():
        fleet = Fleet()
        directory = fleet.directory()
        for number in range(2, 40):
            fleet.receive(number, LARGE if number < 4 else SMALL)
        before = shares(directory, (2, 20))
        fleet.receive(2, LARGE, sequence=2, leaving=True)
        return before, shares(directory, (2,)), fleet.vm_capacity()

    (large, small), (left,), own = run_in_virtual_time(main())
    assert large > 3 * small > 0
    assert left == 0
    assert own == LARGE


def test_a_daemon_that_leaves_names_itself_only_if_it_is_alone():
    async def main():
        fleet = Fleet()
        directory = fleet.directory()
        alone = directory.addresses("10.7.0.1", "", True)
        fleet.receive(2, SMALL)
        return alone, directory.addresses("10.7.0.1", "", True)

    alone, others = run_in_virtual_time(main())
    assert alone == [settings().entry_address]
    assert others == ["10.0.0.2:80"]


def test_a_change_of_weights_is_logged_once():
    async def main():
        fleet = Fleet()
        directory = fleet.directory()
        for sequence, delay in enumerate((0.0, 0.3, 0.3), start=1):
            fleet.receive(2, LARGE._replace(delay_seconds=delay), sequence)
            directory.addresses("10.7.0.1", "", False)
            await asyncio.sleep(1.1)

    stream = io.StringIO()
    with make_handler("info", stream).applicationbound():
        run_in_virtual_time(main())
    (line,) = stream.getvalue().splitlines()
    assert "event=directory_weights_changed daemons=d2 count=1 known=2" in line
    assert "before=1 after=0.02" in line and "delay=0.3" in line


def test_a_deployment_that_asks_for_nothing_is_answered_as_before():
    """Guards against any effect where VMs aren't said to differ."""

    async def main(**fields):
        gateway = Gateway(settings(limits=LIMITS, **fields), EventLog())
        for number in range(2, 40):
            beat = heartbeat(f"d{number}", entry_address=f"10.0.0.{number}:80")
            gateway.state.members.receive(beat, asyncio.get_running_loop().time())
        request = SimpleNamespace(target=b"/resolve?zone=a")
        caller = SimpleNamespace(caller_ip="10.7.0.1")
        addresses = gateway._choose_addresses(request, caller)
        return addresses, gateway.state.peer_updates.vm_capacity()

    addresses, capacity = asyncio.run(main())
    assert addresses == sorted(f"10.0.0.{n}:80" for n in range(2, 40))
    assert capacity == VmCapacity()
    addresses, capacity = asyncio.run(main(contracts=["pressure"]))
    assert len(addresses) == 8
    assert capacity == LARGE


def test_gateways_that_run_name_each_other_until_one_dies(tmp_path, monkeypatch):
    """Guards against a directory that fails, or names the dead, in a real process."""

    def with_pressure(*arguments):
        return gateway_settings(*arguments) | {"contracts": ["pressure"]}

    monkeypatch.setattr(gateway_fleet, "gateway_settings", with_pressure)
    with running_gateways(tmp_path, gateways=2) as fleet:
        first, second = fleet.gateways
        both = {first.front, second.front}
        wait_for(lambda: {*fleet.addresses(first)} == both, "both addresses")
        second.process.kill()
        wait_for(lambda: fleet.addresses(first) == [first.front], "one address")
        assert "timer_failed" not in first.log


def test_a_caller_is_known_by_the_address_that_it_connects_from():
    async def main():
        found = []

        async def handle(request, caller):
            found.append(caller.caller_ip)
            await caller.answer(200, [], b"")

        ingress = Ingress(handle)
        await ingress.start("127.0.0.1:0")
        host, port = ingress.address.split(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=("127.0.0.7", 0)
        )
        writer.write(b"GET /resolve HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readline()
        writer.close()
        ingress.close()
        return found

    assert asyncio.run(main()) == ["127.0.0.7"]


def test_the_callers_failure_domain_is_read_from_the_query():
    assert decode_failure_domain(b"/resolve?name=shop&region=r&zone=a%2Db") == "a-b"
    for target in (b"/resolve", b"/resolve?zone=", b"/resolve?zone", b"/resolve?%ff=&"):
        assert decode_failure_domain(target) == ""

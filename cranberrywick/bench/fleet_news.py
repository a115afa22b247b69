"""Measure what updates between daemons cost each of them, by size of the fleet.

    python -m cranberrywick.bench.fleet_news --sizes 22,74,195

simulates a fleet in five failure domains, in virtual time and without sockets, and
prints a row for an ordinary daemon and one for a relay. Each has, for one second, the
milliseconds of processor time for receiving and for sending, and the bytes and
datagrams received. A request has one to four jobs and runs for a second and a half; its
daemon sends an update at its start, its first event and its end.
"""

import asyncio
import gc
import random
from collections.abc import Sequence
from statistics import mean
from typing import NamedTuple

import click

from cranberrywick.bench.simulated_network import SimulatedDaemon, SimulatedNetwork
from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog
from cranberrywick.routing.load import Job

__all__ = ["UpdateCost", "measure_updates"]

DOMAINS = 5
# Requests a second of each daemon, and number of engines for each daemon.
RATE_PER_DAEMON = 0.6
ENGINES_PER_DAEMON = 0.7
FIRST_EVENT_SECONDS = 0.5
REQUEST_SECONDS = 1.5
MOST_JOBS = 4
# Time before the measurement, in which the daemons find one another.
SETTLE_SECONDS = 3.0


class UpdateCost(NamedTuple):
    """Mean cost of updates to one daemon, for one second.

    ``receiving_ms`` and ``sending_ms`` are milliseconds of processor time.
    """

    receiving_ms: float
    sending_ms: float
    bytes_per_second: float
    datagrams_per_second: float


class _LoadedFleet:
    """A simulated fleet under load."""

    def __init__(self, size: int, seconds: float, seed: int):
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._network = SimulatedNetwork()
        self._engines = max(1, round(size * ENGINES_PER_DAEMON))
        self._daemons = [
            SimulatedDaemon(
                self._network, f"front-{number:03}", f"fd-{number % DOMAINS}"
            )
            for number in range(size)
        ]
        self._number = 0

    async def measure(self) -> tuple[UpdateCost, UpdateCost]:
        """Return the mean costs to ordinary daemons and to relays."""
        ticker = Ticker(EventLog())
        addresses_by_id = {daemon.name: daemon.address for daemon in self._daemons}
        for daemon in self._daemons:
            await daemon.peer_updates.start(ticker)
            others = {i: a for i, a in addresses_by_id.items() if i != daemon.name}
            daemon.peer_updates.set_registered_addresses(others)
        load = asyncio.create_task(self._load())
        await asyncio.sleep(SETTLE_SECONDS)
        for daemon in self._daemons:
            daemon.receiving_seconds = daemon.sending_seconds = 0.0
        self._network.received_bytes.clear()
        self._network.received_datagrams.clear()
        await asyncio.sleep(self._seconds)
        load.cancel()
        ticker.stop()
        # The first daemon of each failure domain is its relay and forwards its updates.
        relays, others = self._daemons[:DOMAINS], self._daemons[DOMAINS:]
        return self._cost(others), self._cost(relays)

    async def _load(self) -> None:
        rate = RATE_PER_DAEMON * len(self._daemons)
        while True:
            await asyncio.sleep(self._rng.expovariate(rate))
            self._start_request(self._rng.choice(self._daemons))

    def _start_request(self, daemon: SimulatedDaemon) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._number += 1
        request_id = str(self._number)
        engines = self._rng.sample(
            range(self._engines), min(self._engines, self._rng.randint(1, MOST_JOBS))
        )
        first_at = now + FIRST_EVENT_SECONDS
        jobs = [Job(f"i-{engine:010x}", 5000, 0.4, now, first_at) for engine in engines]
        daemon.put(request_id, jobs)
        loop.call_later(FIRST_EVENT_SECONDS, self._start_decoding, daemon, request_id)
        loop.call_later(REQUEST_SECONDS, daemon.drop, request_id)

    def _start_decoding(self, daemon: SimulatedDaemon, request_id: str) -> None:
        jobs = daemon.peer_updates.load.jobs_of(request_id)
        daemon.peer_updates.load.put(
            request_id, [job._replace(decoding=True) for job in jobs]
        )
        daemon.peer_updates.job_ended()

    def _cost(self, daemons: Sequence[SimulatedDaemon]) -> UpdateCost:
        def mean_per_second(values) -> float:
            return mean(values) / self._seconds

        network = self._network
        return UpdateCost(
            1000 * mean_per_second(daemon.receiving_seconds for daemon in daemons),
            1000 * mean_per_second(daemon.sending_seconds for daemon in daemons),
            mean_per_second(network.received_bytes[d.address] for d in daemons),
            mean_per_second(network.received_datagrams[d.address] for d in daemons),
        )


def measure_updates(
    size: int, seconds: float = 4.0, seed: int = 1
) -> tuple[UpdateCost, UpdateCost]:
    """Return the mean costs of updates to an ordinary daemon and to a relay.

    The fleet has ``size`` daemons and is measured for ``seconds`` of virtual time.
    """

    async def main() -> tuple[UpdateCost, UpdateCost]:
        return await _LoadedFleet(size, seconds, seed).measure()

    # A garbage collection would traverse the objects of all daemons; a real process has
    # those of one.
    gc.disable()
    try:
        return run_in_virtual_time(main())
    finally:
        gc.enable()


@click.command()
@click.option("--sizes", default="22,74,195", help="Daemons, separated by commas.")
@click.option("--seconds", default=4.0, help="How long each fleet is measured.")
def main(sizes: str, seconds: float) -> None:
    """Print the cost of updates by size of the fleet."""
    print("| daemons | role | hear ms/s | tell ms/s | heard KB/s | datagrams/s |")
    print("| ---: | --- | ---: | ---: | ---: | ---: |")
    for size in map(int, sizes.split(",")):
        ordinary, relay = measure_updates(size, seconds)
        for role, cost in (("ordinary", ordinary), ("relay", relay)):
            print(
                f"| {size} | {role} | {cost.receiving_ms:.1f} | {cost.sending_ms:.1f} "
                f"| {cost.bytes_per_second / 1000:.1f} "
                f"| {cost.datagrams_per_second:.0f} |"
            )


if __name__ == "__main__":
    main()

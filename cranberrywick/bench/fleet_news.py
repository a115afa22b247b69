"""What hearing and telling the fleet's news costs a daemon, by the fleet's size.

    python -m cranberrywick.bench.fleet_news --sizes 22,74,195

plays a fleet in five failure domains, in virtual time and without sockets, and prints
a row for an ordinary daemon and one for a relay: milliseconds of processor time a
second for hearing and for telling, bytes and datagrams heard a second. Each request has
one to four jobs, runs for a second and a half and is told at its start, its first event
and its end.
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

__all__ = ["NewsCost", "measure_news"]

DOMAINS = 5
# Requests a second of one daemon, and engines for each.
RATE_PER_DAEMON = 0.6
ENGINES_PER_DAEMON = 0.7
FIRST_EVENT_SECONDS = 0.5
REQUEST_SECONDS = 1.5
MOST_JOBS = 4
SETTLE_SECONDS = 3.0


class NewsCost(NamedTuple):
    """What one daemon pays for the news, each figure for a second."""

    hearing_ms: float
    telling_ms: float
    heard_bytes: float
    heard_datagrams: float


class _Scene:
    """A fleet under load, measured after it has settled."""

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

    async def play(self) -> tuple[NewsCost, NewsCost]:
        """Return the cost of an ordinary daemon and of a relay."""
        ticker = Ticker(EventLog())
        addresses_by_id = {daemon.name: daemon.address for daemon in self._daemons}
        for daemon in self._daemons:
            await daemon.peer_updates.start(ticker)
            others = {i: a for i, a in addresses_by_id.items() if i != daemon.name}
            daemon.peer_updates.set_registered_addresses(others)
        load = asyncio.create_task(self._load())
        await asyncio.sleep(SETTLE_SECONDS)
        for daemon in self._daemons:
            daemon.hearing_seconds = daemon.telling_seconds = 0.0
        self._network.received_bytes.clear()
        self._network.received_datagrams.clear()
        await asyncio.sleep(self._seconds)
        load.cancel()
        ticker.stop()
        # The first of each failure domain passes on what its domain tells.
        relays, others = self._daemons[:DOMAINS], self._daemons[DOMAINS:]
        return self._cost(others), self._cost(relays)

    async def _load(self) -> None:
        rate = RATE_PER_DAEMON * len(self._daemons)
        while True:
            await asyncio.sleep(self._rng.expovariate(rate))
            self._begin(self._rng.choice(self._daemons))

    def _begin(self, daemon: SimulatedDaemon) -> None:
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
        loop.call_later(FIRST_EVENT_SECONDS, self._write, daemon, request_id)
        loop.call_later(REQUEST_SECONDS, daemon.drop, request_id)

    def _write(self, daemon: SimulatedDaemon, request_id: str) -> None:
        jobs = daemon.peer_updates.load.jobs_of(request_id)
        daemon.peer_updates.load.put(
            request_id, [job._replace(decoding=True) for job in jobs]
        )
        daemon.peer_updates.job_ended()

    def _cost(self, daemons: Sequence[SimulatedDaemon]) -> NewsCost:
        def each_second(values) -> float:
            return mean(values) / self._seconds

        network = self._network
        return NewsCost(
            1000 * each_second(daemon.hearing_seconds for daemon in daemons),
            1000 * each_second(daemon.telling_seconds for daemon in daemons),
            each_second(network.received_bytes[d.address] for d in daemons),
            each_second(network.received_datagrams[d.address] for d in daemons),
        )


def measure_news(
    size: int, seconds: float = 4.0, seed: int = 1
) -> tuple[NewsCost, NewsCost]:
    """Return what the news cost an ordinary daemon and a relay."""

    async def main() -> tuple[NewsCost, NewsCost]:
        return await _Scene(size, seconds, seed).play()

    # Collections walk the objects of all daemons of the fleet, of which a real process
    # holds one.
    gc.disable()
    try:
        return run_in_virtual_time(main())
    finally:
        gc.enable()


@click.command()
@click.option("--sizes", default="22,74,195", help="Daemons, separated by commas.")
@click.option("--seconds", default=4.0, help="How long each fleet is measured.")
def main(sizes: str, seconds: float) -> None:
    """Print what the news cost."""
    print("| daemons | role | hear ms/s | tell ms/s | heard KB/s | datagrams/s |")
    print("| ---: | --- | ---: | ---: | ---: | ---: |")
    for size in map(int, sizes.split(",")):
        ordinary, relay = measure_news(size, seconds)
        for role, cost in (("ordinary", ordinary), ("relay", relay)):
            print(
                f"| {size} | {role} | {cost.hearing_ms:.1f} | {cost.telling_ms:.1f} "
                f"| {cost.heard_bytes / 1000:.1f} | {cost.heard_datagrams:.0f} |"
            )


if __name__ == "__main__":
    main()

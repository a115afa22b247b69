"""Simulated daemons that send to endpoints with rate limits, without sockets.

    async def scenario(fleet):
        fleet.endpoints[0].rate = 1.0
        await asyncio.sleep(10.0)
        fleet.check_limits()

    run_scenario(9, scenario)

The daemons' updates, permits and state are the real implementation; callers, endpoints
and the network are simulated, and time is virtual.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine

from cranberrywick.bench.simulated_network import (
    SimulatedDaemon,
    SimulatedNetwork,
    daemon_address,
)
from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog

DOMAINS = ("fd-a", "fd-b", "fd-c")
# Length of the window in which requests to an endpoint are counted.
WINDOW_SECONDS = 4.0
# A limit applies from this many seconds after the endpoint first stated it.
CONTACT_SECONDS = 3.0
ANSWER_SECONDS = 0.02
LONGEST_WAIT_SECONDS = 1.0
SETTLE_SECONDS = 3.0


class Endpoint:
    """States its ``rate`` in every answer, in requests a second; None for no limit."""

    def __init__(self, endpoint_id: str):
        self.endpoint_id = endpoint_id
        self.rate: float | None = None
        self.stated_at: float | None = None
        self.arrived_at: list[float] = []

    def answer(self, now: float) -> float:
        """Answer a request and return the limit that the answer states."""
        if self.rate is None:
            return float("inf")
        if self.stated_at is None:
            self.stated_at = now
        return self.rate

    def limit(self, rate: float | None) -> None:
        """State another limit from now on."""
        self.rate = rate
        self.stated_at = None
        self.arrived_at.clear()

    def largest_window_count(self) -> int:
        """Return the largest number of requests in a window while the limit applies.

        Requests of daemons that don't know of the limit are counted too, which makes
        this stricter than the rule.
        """
        if self.stated_at is None:
            return 0
        applies_from = self.stated_at + CONTACT_SECONDS
        times = [at for at in self.arrived_at if at >= applies_from]
        return max(
            (sum(first <= at < first + WINDOW_SECONDS for at in times))
            for first in times or [0.0]
        )

    def used_share(self, now: float) -> float:
        """Return the share of the allowed requests sent since the limit applies."""
        seconds = now - self.stated_at - CONTACT_SECONDS
        times = [at for at in self.arrived_at if at >= now - seconds]
        return len(times) / (self.rate * seconds)


class Network(SimulatedNetwork):
    """Also queues the datagrams from and to frozen daemons."""

    def __init__(self) -> None:
        super().__init__()
        self.frozen: set[str] = set()
        self._held: list[tuple[str, str, bytes]] = []

    def carry(self, source: str, address: str, data: bytes) -> None:
        """Deliver a datagram; later if its sender or its receiver is frozen."""
        if {source, address} & self.frozen:
            self._held.append((source, address, data))
        else:
            super().carry(source, address, data)

    def thaw(self, address: str) -> None:
        """Resume a frozen daemon and deliver the datagrams queued meanwhile."""
        self.frozen.discard(address)
        held, self._held = self._held, []
        for datagram in held:
            self.carry(*datagram)


class LimitedFleet:
    """The daemons, three endpoints, and callers at every daemon."""

    def __init__(self, size: int, seed: int):
        self.rng = random.Random(seed)
        self.network = Network()
        self.endpoints = [Endpoint(f"e{number}") for number in range(3)]
        self.daemons: list[SimulatedDaemon] = []
        self.sent = 0
        self.refused = 0
        self.longest_refusal = 0.0
        self._size = size
        self._daemons_by_name: dict[str, SimulatedDaemon] = {}
        self._tickers_by_name: dict[str, Ticker] = {}
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start all daemons and wait until they know one another."""
        for number in range(self._size):
            self.daemons.append(await self._start_daemon(number))
        await asyncio.sleep(SETTLE_SECONDS)

    async def _start_daemon(self, number: int) -> SimulatedDaemon:
        daemon = SimulatedDaemon(self.network, f"d{number:03}", DOMAINS[number % 3])
        self._daemons_by_name[daemon.name] = daemon
        ticker = self._tickers_by_name[daemon.name] = Ticker(EventLog())
        await daemon.peer_updates.start(ticker)
        names = (f"d{other:03}" for other in range(self._size) if other != number)
        daemon.peer_updates.set_registered_addresses(
            {name: daemon_address(name) for name in names}
        )
        return daemon

    def stop(self) -> None:
        """Stop all daemons and callers."""
        for ticker in self._tickers_by_name.values():
            ticker.stop()
        for task in self._tasks:
            task.cancel()

    def kill(self, daemon: SimulatedDaemon) -> None:
        """Kill a daemon; datagrams to it are lost."""
        self._tickers_by_name.pop(daemon.name).stop()
        daemon.network = Network()
        self.daemons.remove(daemon)
        self.network.daemons_by_address.pop(daemon.address, None)

    async def restart(self, daemon: SimulatedDaemon) -> None:
        """Start a killed daemon again, without its earlier state."""
        self.daemons.append(await self._start_daemon(int(daemon.name[1:])))

    def start_callers(self, rate: float) -> None:
        """Start callers that send ``rate`` requests a second to each endpoint."""
        for endpoint in self.endpoints:
            self._start(self._call_repeatedly(endpoint, rate))

    def stop_callers(self) -> None:
        """Stop all callers."""
        for task in self._tasks:
            task.cancel()

    def steward(self, endpoint: Endpoint) -> SimulatedDaemon:
        """Return the steward of an endpoint as the first daemon knows it.

        It may have been killed just before.
        """
        daemon = self.daemons[0]
        beat = daemon.peer_updates.limits.steward(
            endpoint.endpoint_id, self._loop.time()
        )
        name = daemon.name if beat is None else beat.daemon_id
        return self._daemons_by_name[name]

    def _start(self, coroutine: Coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_repeatedly(self, endpoint: Endpoint, rate: float) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            self._start(self._call(self.rng.choice(self.daemons), endpoint))

    async def _call(self, daemon: SimulatedDaemon, endpoint: Endpoint) -> None:
        started = self._loop.time()
        peer_updates = daemon.peer_updates
        admission = await peer_updates.permits.admit(
            endpoint.endpoint_id, LONGEST_WAIT_SECONDS
        )
        if not admission.granted:
            self.refused += 1
            seconds = self._loop.time() - started
            self.longest_refusal = max(self.longest_refusal, seconds)
            return
        if daemon not in self.daemons or daemon.address in self.network.frozen:
            return
        self.sent += 1
        endpoint.arrived_at.append(self._loop.time())
        await asyncio.sleep(ANSWER_SECONDS)
        rate = endpoint.answer(self._loop.time())
        if peer_updates.limits.observe(endpoint.endpoint_id, rate, self._loop.time()):
            peer_updates.observation_changed()

    def check_limits(self) -> None:
        """Assert that no endpoint got more than its limit allows."""
        for endpoint in self.endpoints:
            if endpoint.rate is not None:
                allowed = 1.5 * endpoint.rate * WINDOW_SECONDS + 5
                assert endpoint.largest_window_count() <= allowed


def run_scenario(
    size: int, scenario: Callable[[LimitedFleet], Coroutine], seed: int = 1
) -> None:
    """Start a fleet, run a scenario with it and check the limits at its end."""

    async def main() -> None:
        fleet = LimitedFleet(size, seed)
        try:
            await fleet.start()
            await scenario(fleet)
            fleet.check_limits()
        finally:
            fleet.stop()

    run_in_virtual_time(main())

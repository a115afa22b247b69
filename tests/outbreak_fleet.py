"""Simulated daemons and engines, of which those crash that answer some prompts.

    run_outbreak(Outbreak(size=9, seed=1), scenario)

The daemons' updates and conclusions are the real implementation; callers, engines and
the network are simulated, and time is virtual.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from cranberrywick.bench.simulated_network import (
    SimulatedDaemon,
    SimulatedNetwork,
    daemon_address,
)
from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog
from cranberrywick.routing.crash_statement import EndpointCrash, LostRequest
from cranberrywick.routing.request_traits import RequestTraits

DOMAINS = ("fd-a", "fd-b", "fd-c")
CONTACT_SECONDS = 3.0
# Number of crashes after which the fleet must stop, and how many crashing prompts may
# reach engines later than `CONTACT_SECONDS` after that.
CRASHES = 5
MAX_LATE = 3
SETTLE_SECONDS = 3.0
RESTART_SECONDS = 3.0
QUEUE_SECONDS = 0.1
BEGIN_SECONDS = 0.05
WELL_BEGUN_SECONDS = 0.25
ANSWER_SECONDS = 1.2
MAX_ATTEMPTS = 2


class Prompt(NamedTuple):
    """A prompt of an organisation, its traits, and whether engines crash under it."""

    key: str
    traits: RequestTraits
    is_crashing: bool


class Engine:
    """One start of an engine; ``lost`` is set when it crashes."""

    def __init__(self, number: int, born: int):
        self.endpoint_id = f"engine-{number}"
        self.number = number
        self.born = born
        self.lost = asyncio.Event()

    async def survives_until(self, when: float) -> bool:
        """Wait until a time of the loop's clock; return early if the engine is lost."""
        try:
            async with asyncio.timeout_at(when):
                await self.lost.wait()
        except TimeoutError:
            return True
        return False


class OutbreakFleet:
    """The daemons, the engines, and callers at every daemon.

    A crashing segment stands at ``crashing_position`` of its prompts, whose other
    segments sound ones have, too. ``popular_segment`` is shared by all prompts if set.
    ``arrived_at`` has the times at which crashing prompts reached engines, sent by
    daemons in contact. ``refused`` counts sound requests that were refused, from
    ``counted_since`` on, and ``served`` those that were answered at the first attempt.
    """

    def __init__(self, size: int, engines: int, seed: int):
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork()
        self.daemons: list[SimulatedDaemon] = []
        self.engines = [Engine(number, 1) for number in range(engines)]
        self.crashing_segments = ["bad0"]
        self.crashing_position = 1
        self.popular_segment = ""
        self.organisations = 10
        self.crashed_at: list[float] = []
        self.arrived_at: list[float] = []
        self.counted_since = float("inf")
        self.refused = 0
        self.served = 0
        self.lost = 0
        self._size = size
        self._in_contact_since_by_name: dict[str, float] = {}
        self._tickers_by_name: dict[str, Ticker] = {}
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start all daemons and wait until they know one another."""
        for number in range(self._size):
            await self._start_daemon(number)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _start_daemon(self, number: int) -> None:
        name = f"d{number:03}"
        daemon = SimulatedDaemon(self.network, name, DOMAINS[number % 3])
        ticker = self._tickers_by_name[name] = Ticker(EventLog())
        await daemon.peer_updates.start(ticker)
        others = (f"d{other:03}" for other in range(self._size) if other != number)
        daemon.peer_updates.set_registered_addresses(
            {other: daemon_address(other) for other in others}
        )
        if daemon.address not in self.network.cut:
            self._in_contact_since_by_name[name] = self._loop.time() + CONTACT_SECONDS
        self.daemons.append(daemon)

    def stop(self) -> None:
        """Stop all daemons and callers."""
        for ticker in self._tickers_by_name.values():
            ticker.stop()
        for task in self._tasks:
            task.cancel()

    async def restart(self, daemon: SimulatedDaemon, seconds: float) -> None:
        """Kill a daemon, and start it again without its earlier state."""
        self.daemons.remove(daemon)
        self._tickers_by_name.pop(daemon.name).stop()
        daemon.network = SimulatedNetwork()
        self.network.daemons_by_address.pop(daemon.address, None)
        await asyncio.sleep(seconds)
        await self._start_daemon(int(daemon.name[1:]))

    async def cut(self, daemon: SimulatedDaemon, seconds: float) -> None:
        """Cut a daemon off from the others; it goes on serving."""
        self._in_contact_since_by_name[daemon.name] = float("inf")
        self.network.cut.add(daemon.address)
        await asyncio.sleep(seconds)
        self.network.cut.discard(daemon.address)
        since = self._loop.time() + CONTACT_SECONDS
        self._in_contact_since_by_name[daemon.name] = since

    @property
    def alive_engines(self) -> list[Engine]:
        """The engines that have not crashed, or have started again."""
        return [each for each in self.engines if not each.lost.is_set()]

    def lose_engines(self, number: int) -> None:
        """End several engines at the same moment, as without power."""
        for engine in self.rng.sample(self.engines, number):
            self._lose(engine)

    def start_callers(self, sound: float, crashing: float) -> None:
        """Start callers that send so many requests of each kind a second."""
        self.start_task(self._call_repeatedly(sound, False))
        if crashing:
            self.start_task(self._call_repeatedly(crashing, True))

    def start_repeats(self, rate: float, is_crashing: bool) -> None:
        """Start callers that send one and the same request so often a second."""
        prompt = self.prompt(is_crashing)
        self.start_task(self._call_repeatedly(rate, is_crashing, prompt))

    def start_task(self, coroutine: Coroutine) -> None:
        """Run a coroutine until the end of the scenario."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def late_arrivals(self, crashes: int = CRASHES) -> int:
        """Return how many crashing prompts reached engines later than is allowed.

        That is `CONTACT_SECONDS` after so many crashes.
        """
        if len(self.crashed_at) < crashes:
            return 0
        since = self.crashed_at[crashes - 1] + CONTACT_SECONDS
        return sum(at > since for at in self.arrived_at)

    async def _call_repeatedly(
        self, rate: float, is_crashing: bool, repeated: Prompt | None = None
    ) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.daemons:
                daemon = self.rng.choice(self.daemons)
                prompt = repeated or self.prompt(is_crashing)
                key = f"r{self.rng.getrandbits(40):x}"
                self.start_task(self.call(daemon, prompt._replace(key=key)))

    def prompt(self, is_crashing: bool) -> Prompt:
        """Return a new prompt."""
        # A few organisations send most of the requests.
        organisation = int(self.organisations * self.rng.random() ** 2)
        shared_ids = [f"first{organisation}"]
        if self.popular_segment:
            shared_ids.append(self.popular_segment)
        for depth in range(self.rng.randrange(3)):
            shared_ids.append(f"shared{depth}-{self.rng.randrange(20)}")
        if is_crashing:
            crashing_id = self.rng.choice(self.crashing_segments)
            shared_ids.insert(self.crashing_position, crashing_id)
        own_id = f"own{self.rng.getrandbits(40):x}"
        segment_ids = (*shared_ids, own_id)
        traits = RequestTraits(segment_ids, b"POST", "host", b"/prompts/1", b"")
        return Prompt(own_id, traits, is_crashing)

    async def call(self, daemon: SimulatedDaemon, prompt: Prompt) -> None:
        """Send a prompt to a daemon and wait for the end of its attempts."""
        for attempt in range(MAX_ATTEMPTS):
            if daemon not in self.daemons:
                return
            if daemon.peer_updates.crashes.find(prompt.traits, prompt.key):
                if not prompt.is_crashing and self._is_counted():
                    self.refused += 1
                return
            alive = self.alive_engines
            if not alive:
                return
            if await self._attempt(daemon, prompt, self.rng.choice(alive)):
                if not attempt and not prompt.is_crashing and self._is_counted():
                    self.served += 1
                return
        if not prompt.is_crashing and self._is_counted():
            self.lost += 1

    def _is_counted(self) -> bool:
        return self._loop.time() >= self.counted_since

    async def _attempt(
        self, daemon: SimulatedDaemon, prompt: Prompt, engine: Engine
    ) -> bool:
        now = self._loop.time()
        if prompt.is_crashing and now >= self._in_contact_since_by_name[daemon.name]:
            self.arrived_at.append(now)
        began_at = now + QUEUE_SECONDS * self.rng.uniform(0.5, 3.0)
        if prompt.is_crashing:
            if await engine.survives_until(began_at + BEGIN_SECONDS):
                self._lose(engine)
                self.crashed_at.append(self._loop.time())
        elif await engine.survives_until(began_at + WELL_BEGUN_SECONDS):
            daemon.peer_updates.crashes.answered(prompt.traits, is_whole=False)
            if await engine.survives_until(began_at + ANSWER_SECONDS):
                daemon.peer_updates.crashes.answered(prompt.traits, is_whole=True)
                return True
            return False
        if daemon in self.daemons:
            crashed_at = self._loop.time()
            is_trial = daemon.peer_updates.crashes.is_trial(prompt.key)
            lost = LostRequest(prompt.traits.all, crashed_at - now, is_trial=is_trial)
            crash = EndpointCrash(engine.endpoint_id, engine.born, crashed_at, (lost,))
            daemon.peer_updates.crashes.crashed(crash)
            daemon.peer_updates.crashes.lost(prompt.key)
        return False

    def _lose(self, engine: Engine) -> None:
        if not engine.lost.is_set():
            engine.lost.set()
            self._loop.call_later(RESTART_SECONDS, self._start_again, engine)

    def _start_again(self, engine: Engine) -> None:
        self.engines[engine.number] = Engine(engine.number, engine.born + 1)


def run_outbreak(
    scenario: Callable[[OutbreakFleet], Coroutine],
    size: int,
    engines: int = 16,
    seed: int = 1,
) -> OutbreakFleet:
    """Start a fleet, run a scenario with it, and return the fleet."""
    fleets = []

    async def main() -> None:
        fleet = OutbreakFleet(size, engines, seed)
        fleets.append(fleet)
        try:
            await fleet.start()
            await scenario(fleet)
        finally:
            fleet.stop()

    run_in_virtual_time(main())
    return fleets[0]

"""Daemons whose callers compete for the slots of one service, without a network.

Each daemon has its own `WaitingRequests` and `FleetDemand`. Its statements reach the
others late, twice or not at all. Time is virtual.
"""

import asyncio
import random
from collections import Counter
from itertools import count
from math import inf
from types import SimpleNamespace
from typing import NamedTuple

from test_waiting import demand, state

from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.errors import Overloaded
from cranberrywick.gateway.contention import Contention
from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.routing.fleet_demand import DemandStatement, FleetDemand
from cranberrywick.routing.placement import Placement

SLOTS = 360
HELD_SECONDS = 4.0
STATEMENT_SECONDS = 0.25
# Of the first deployment, by rank: arrivals a second, prompt tokens, target in seconds.
LOADS_BY_RANK = {
    0: (35.7, 5_000, 0.271),
    1: (4.34, 45_000, 1.533),
    2: (0.81, 260_000, 8.057),
}

TARGETS_BY_RANK = {rank: load[2] for rank, load in LOADS_BY_RANK.items()}


class Outcome(NamedTuple):
    """How a request ended; moments are those of the loop's clock.

    ``returns_at`` is when a refused caller was told to return, infinity if it was told
    no time, None for a request that was placed. ``had_room`` says that a refused
    request would have got a slot before its deadline, had it waited.
    """

    arrived_at: float
    ended_at: float
    is_return: bool
    returns_at: float | None = None
    had_room: bool = False


class _WithTrials(Contention):
    """Treats trials (``tried_ids`` names one) as requests that leave no trace."""

    def request_arrived(self, waiter, now):
        if not waiter.demand.tried_ids:
            super().request_arrived(waiter, now)

    def _record_waiting(self, waiter, change):
        if not waiter.demand.tried_ids:
            super()._record_waiting(waiter, change)

    def check_servable(self, waiter, now):
        if not waiter.demand.tried_ids:
            super().check_servable(waiter, now)


class _Daemon:
    """One daemon with its own view of the demand; places requests at the fleet."""

    def __init__(self, fleet, name, log):
        self._fleet, self.name = fleet, name
        self.fleet_demand = FleetDemand()
        self.slots_by_daemon = Counter()
        self.contention = _WithTrials(
            lambda: SimpleNamespace(
                is_contended=lambda service: fleet.is_contended,
                targets_by_rank=lambda service: TARGETS_BY_RANK,
            ),
            self.fleet_demand,
            lambda: None,
            LazyMetrics(name),
            log,
            lambda service, now: sum(self.slots_by_daemon.values()),
            lambda now: max(1, len(self.slots_by_daemon)),
            random.Random(name),
        )
        fleet_state = state()
        fleet_state.load = SimpleNamespace(put=self._put)
        self.waiting = WaitingRequests(
            fleet_state,
            self,
            self.contention,
            Drain(fleet_state, LazyMetrics(name), log),
        )

    def place(self, wanted, usable, now, last_resort):
        return Placement("e1", (), 0.0, ()) if self._fleet.free_slots > 0 else None

    def _put(self, request_id, jobs):
        if request_id not in self._fleet.trial_ids:
            self.use_slots(1)

    def use_slots(self, change):
        self._fleet.free_slots -= change
        self.slots_by_daemon[self.name] += change

    def receive(self, name, statement, slots):
        now = asyncio.get_running_loop().time()
        self.fleet_demand.receive(name, statement, now)
        self.slots_by_daemon[name] = slots


class OverloadedFleet:
    """Daemons, the slots that they share, and the callers of the service."""

    def __init__(self, log, is_contended=True, is_cut_off=False, daemons=88):
        self._rng = random.Random(1)
        self._ids = count()
        self._is_cut_off = is_cut_off
        self.is_contended = is_contended
        self.free_slots = SLOTS
        self.trial_ids = set()
        self.outcomes: list[Outcome] = []
        self.daemons = [_Daemon(self, f"d{number}", log) for number in range(daemons)]

    async def run(self, load_by_second, deadlines):
        """Send ``load_by_second[n]`` times as much as the slots serve in second n.

        Callers allow the least to the largest of the ``deadlines``, in seconds.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as requests:
            statements = [
                loop.create_task(self._state_demand(each)) for each in self.daemons
            ]
            for load in load_by_second:
                end = loop.time() + 1.0
                rate = load * SLOTS / HELD_SECONDS
                while (pause := self._rng.expovariate(rate)) < end - loop.time():
                    await asyncio.sleep(pause)
                    requests.create_task(self._request(deadlines))
                await asyncio.sleep(end - loop.time())
        for each in statements:
            each.cancel()

    async def _request(self, deadlines, is_return=False):
        """Send one request; after a refusal return once, as told."""
        loop = asyncio.get_running_loop()
        daemon = self._rng.choice(self.daemons)
        arrivals = [rate for rate, *_ in LOADS_BY_RANK.values()]
        [rank] = self._rng.choices(list(LOADS_BY_RANK), arrivals)
        _, tokens, target = LOADS_BY_RANK[rank]
        arrived = loop.time()
        due, deadline = arrived + target, arrived + self._rng.uniform(*deadlines)
        wanted = demand(tokens)._replace(request_id=f"r{next(self._ids)}", due_at=due)
        try:
            await daemon.waiting.place(wanted, rank, due, deadline)
        except Overloaded as error:
            refused, retry_after = loop.time(), error.retry_after
            returns_at = refused + retry_after if retry_after else inf
            had_room = await self._try_waiting(daemon, wanted, rank, deadline)
            self.outcomes.append(
                Outcome(arrived, refused, is_return, returns_at, had_room)
            )
            # One that is refused when it has no time left is not told to return.
            if retry_after and not is_return:
                await asyncio.sleep(returns_at - loop.time())
                await self._request(deadlines, is_return=True)
            return
        placed = loop.time()
        self.outcomes.append(Outcome(arrived, placed, is_return))
        await asyncio.sleep(HELD_SECONDS * self._rng.uniform(0.5, 1.5))
        daemon.use_slots(-1)
        daemon.contention.request_held("drafting", loop.time() - placed)
        daemon.waiting.schedule_placing()

    async def _try_waiting(self, daemon, wanted, rank, deadline):
        """Return whether a request would get a slot; it uses none."""
        trial_id = f"t{next(self._ids)}"
        self.trial_ids.add(trial_id)
        trial = wanted._replace(request_id=trial_id, tried_ids=frozenset({"e0"}))
        try:
            await daemon.waiting.place(trial, rank, wanted.due_at, deadline)
        except Overloaded:
            return False
        return True

    async def _state_demand(self, daemon):
        """Send a daemon's statements; of ten, one is lost, one late, one doubled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(STATEMENT_SECONDS * self._rng.uniform(0.5, 1.5))
            services = daemon.fleet_demand.services(loop.time())
            slots = daemon.slots_by_daemon[daemon.name]
            stated = daemon.name, DemandStatement(services=services), slots
            for peer in self.daemons:
                fate = self._rng.random()
                if peer is daemon or self._is_cut_off or fate < 0.1:
                    continue
                if fate < 0.3:
                    loop.call_later(self._rng.uniform(0.05, 0.5), peer.receive, *stated)
                if fate >= 0.2:
                    peer.receive(*stated)


def run_fleet(log, load_by_second, deadlines, **options):
    """Return the outcomes of a fleet's requests under a load."""

    async def run():
        fleet = OverloadedFleet(log, **options)
        await fleet.run(load_by_second, deadlines)
        return fleet.outcomes

    return run_in_virtual_time(run())

"""The demand for contended services over the whole fleet, as far as known here.

Load pattern: requests of several ranks compete for one service, and each daemon sees
only those of its own callers. Without this module a daemon starts work of the lowest
rank while a more urgent request waits at another one. Every daemon states its own
demand with its heartbeats; the sums are kept up to date as statements arrive, so that
a decision about a request reads a few numbers, however many daemons there are.

Statements hold totals, not changes: one that is lost, late or doubled is corrected by
the next, and one whose daemon has been silent for too long lapses.
"""

from collections import defaultdict
from collections.abc import Mapping
from heapq import nlargest
from math import exp
from typing import NamedTuple

from cranberrywick.routing.load import OWNER_SILENCE_SECONDS

__all__ = [
    "DemandStatement",
    "FleetDemand",
    "OrganisationUsage",
    "RankDemand",
    "ServiceDemand",
    "VmCapacity",
]

# Time constant of the arrivals a second, in seconds. Bursts of the most urgent class
# last some seconds, so a longer mean would follow them too late.
ARRIVAL_WINDOW_SECONDS = 2.0
# Time constant of the engine time of organisations, in seconds, as in
# `cranberrywick.decisions.hot_organisations`.
USAGE_WINDOW_SECONDS = 10.0
# Weight of the newest request in the mean time for which a slot is held.
HELD_WEIGHT = 0.1
# Largest number of organisations that a daemon states for one service. The smaller ones
# of a fleet of dozens are far below any share that could be exceeded.
MAX_STATED_ORGANISATIONS = 8
# Sums below these values are not stated: they have decayed to almost nothing.
MIN_ARRIVALS_PER_SECOND = 0.01
MIN_USAGE_SECONDS = 0.01


class RankDemand(NamedTuple):
    """One daemon's requests of one rank for a service; rank 0 is the most urgent.

    ``waiting`` is how many wait there now for a slot, not counting deferred ones.
    """

    rank: int
    waiting: int
    arrivals_per_second: float


class OrganisationUsage(NamedTuple):
    """The engine time, in seconds, that an organisation has recently asked for.

    It is a sum that decays with the time constant `USAGE_WINDOW_SECONDS`.
    """

    organisation: str
    seconds: float


class ServiceDemand(NamedTuple):
    """One daemon's demand for a service.

    ``mean_seconds`` is for how long its requests hold a slot on average, in seconds; 0
    if it has measured none.
    """

    service: str
    ranks: tuple[RankDemand, ...] = ()
    usage: tuple[OrganisationUsage, ...] = ()
    mean_seconds: float = 0.0


class VmCapacity(NamedTuple):
    """What a VM can bear: processor cores, link, and the delay of its timers.

    A capacity of zero cores is unknown.
    """

    cores: float = 0.0
    link_mbps: float = 0.0
    delay_seconds: float = 0.0


class DemandStatement(NamedTuple):
    """What one daemon states with a heartbeat; nothing by default."""

    capacity: VmCapacity = VmCapacity()
    services: tuple[ServiceDemand, ...] = ()


class _DecayingSum:
    """A sum whose terms decay exponentially with their age."""

    def __init__(self, window_seconds: float):
        self._window_seconds = window_seconds
        self._sum = 0.0
        self._updated_at = float("-inf")

    def add(self, amount: float, now: float) -> None:
        self._sum = self.at(now) + amount
        self._updated_at = now

    def at(self, now: float) -> float:
        if not self._sum:
            return 0.0
        age = max(0.0, now - self._updated_at)
        return self._sum * exp(-age / self._window_seconds)


class _OwnDemand:
    """This daemon's demand for one service."""

    def __init__(self) -> None:
        self.waiting_by_rank: dict[int, int] = defaultdict(int)
        self.arrivals_by_rank: dict[int, _DecayingSum] = defaultdict(
            lambda: _DecayingSum(ARRIVAL_WINDOW_SECONDS)
        )
        self.usage_by_organisation: dict[str, _DecayingSum] = defaultdict(
            lambda: _DecayingSum(USAGE_WINDOW_SECONDS)
        )
        self.mean_seconds = 0.0

    def arrivals_per_second(self, rank: int, now: float) -> float:
        return self.arrivals_by_rank[rank].at(now) / ARRIVAL_WINDOW_SECONDS

    def drop_decayed(self, now: float) -> None:
        usage = self.usage_by_organisation
        for organisation in [o for o in usage if usage[o].at(now) < MIN_USAGE_SECONDS]:
            del usage[organisation]

    def statement(self, service: str, now: float) -> ServiceDemand:
        self.drop_decayed(now)
        ranks = [
            RankDemand(
                rank, self.waiting_by_rank[rank], self.arrivals_per_second(rank, now)
            )
            for rank in sorted(self.arrivals_by_rank)
        ]
        usage = [
            OrganisationUsage(organisation, total.at(now))
            for organisation, total in self.usage_by_organisation.items()
        ]
        return ServiceDemand(
            service,
            tuple(
                each
                for each in ranks
                if each.waiting or each.arrivals_per_second >= MIN_ARRIVALS_PER_SECOND
            ),
            tuple(nlargest(MAX_STATED_ORGANISATIONS, usage, key=lambda u: u.seconds)),
            self.mean_seconds,
        )


class _PeerDemand:
    """The sum of what the peers state about one service."""

    def __init__(self) -> None:
        self.waiting_by_rank: dict[int, int] = defaultdict(int)
        self.arrivals_by_rank: dict[int, float] = defaultdict(float)
        self.usage_by_organisation: dict[str, float] = defaultdict(float)
        self.mean_seconds = 0.0
        self.means = 0

    def add(self, demand: ServiceDemand, sign: int) -> None:
        """Add a peer's statement, or remove it if ``sign`` is -1."""
        for rank, waiting, arrivals in demand.ranks:
            self.waiting_by_rank[rank] += sign * waiting
            self.arrivals_by_rank[rank] += sign * arrivals
        for organisation, seconds in demand.usage:
            self.usage_by_organisation[organisation] += sign * seconds
        if demand.mean_seconds > 0:
            self.mean_seconds += sign * demand.mean_seconds
            self.means += sign


class FleetDemand:
    """The demand for each contended service: this daemon's and its peers'.

    ``received_at`` is when the last statement of a peer was received, minus infinity
    before the first.

    >>> demand = FleetDemand()
    >>> demand.record_arrival("drafting", 0, "school", 0.03, now=10.0)
    >>> demand.arrivals_per_second("drafting", up_to_rank=0, now=10.0)
    0.5
    """

    def __init__(self) -> None:
        self._own_by_service: dict[str, _OwnDemand] = defaultdict(_OwnDemand)
        self._peers_by_service: dict[str, _PeerDemand] = defaultdict(_PeerDemand)
        self._stated_by_daemon: dict[str, tuple[float, DemandStatement]] = {}
        self.received_at = float("-inf")

    # This daemon's own demand

    def record_arrival(
        self,
        service: str,
        rank: int,
        organisation: str,
        engine_seconds: float,
        now: float,
    ) -> None:
        """Record a request that arrived, and the engine time that it asks for."""
        own = self._own_by_service[service]
        own.arrivals_by_rank[rank].add(1.0, now)
        own.usage_by_organisation[organisation].add(engine_seconds, now)

    def waiting_changed(self, service: str, rank: int, change: int) -> None:
        """Record that requests began (1) or ceased (-1) to wait for a slot."""
        self._own_by_service[service].waiting_by_rank[rank] += change

    def record_held(self, service: str, seconds: float) -> None:
        """Record for how many seconds a request that has ended held its slot."""
        own = self._own_by_service[service]
        if not own.mean_seconds:
            own.mean_seconds = seconds
        own.mean_seconds += HELD_WEIGHT * (seconds - own.mean_seconds)

    def services(self, now: float) -> tuple[ServiceDemand, ...]:
        """Return what this daemon states about the services that it has work for."""
        stated = (own.statement(s, now) for s, own in self._own_by_service.items())
        return tuple(each for each in stated if each.ranks or each.usage)

    # The peers'

    def receive(self, daemon_id: str, statement: DemandStatement, now: float) -> None:
        """Replace what a peer states."""
        self.received_at = now
        _, before = self._stated_by_daemon.get(daemon_id, (now, DemandStatement()))
        self._stated_by_daemon[daemon_id] = (now, statement)
        if before.services == statement.services:
            return
        self._add(before, -1)
        self._add(statement, 1)

    def evict_silent(self, now: float) -> None:
        """Remove what peers stated that have been silent for too long."""
        for daemon_id, (received_at, stated) in list(self._stated_by_daemon.items()):
            if now - received_at > OWNER_SILENCE_SECONDS:
                del self._stated_by_daemon[daemon_id]
                self._add(stated, -1)

    def _add(self, statement: DemandStatement, sign: int) -> None:
        for demand in statement.services:
            self._peers_by_service[demand.service].add(demand, sign)

    def capacity(self, daemon_id: str) -> VmCapacity:
        """Return what a peer's VM can bear, as it last stated it."""
        _, stated = self._stated_by_daemon.get(daemon_id, (0.0, DemandStatement()))
        return stated.capacity

    # The fleet's

    def waiting(self, service: str, up_to_rank: int) -> int:
        """Return how many requests of a rank, or a more urgent one, wait."""
        own = self._own_by_service[service].waiting_by_rank
        peers = self._peers_by_service[service].waiting_by_rank
        return max(0, _up_to(own, up_to_rank) + _up_to(peers, up_to_rank))

    def arrivals_per_second(self, service: str, up_to_rank: int, now: float) -> float:
        """Return how many requests of a rank, or a more urgent one, arrive a second."""
        own = self._own_by_service[service]
        own_arrivals = (
            own.arrivals_per_second(rank, now)
            for rank in list(own.arrivals_by_rank)
            if rank <= up_to_rank
        )
        peers = self._peers_by_service[service].arrivals_by_rank
        return sum(own_arrivals) + max(0.0, _up_to(peers, up_to_rank))

    def most_urgent_rank(self, service: str, now: float) -> int | None:
        """Return the most urgent rank that arrives or waits; None without requests."""
        own = self._own_by_service[service]
        peers = self._peers_by_service[service]
        ranks = {*own.arrivals_by_rank, *peers.arrivals_by_rank}
        for rank in sorted(ranks):
            is_used = (
                own.arrivals_per_second(rank, now) + peers.arrivals_by_rank[rank]
                >= MIN_ARRIVALS_PER_SECOND
            )
            if is_used or self.waiting(service, rank):
                return rank
        return None

    def usage_by_organisation(self, service: str, now: float) -> Mapping[str, float]:
        """Return the engine time that organisations recently asked for, in seconds."""
        usage = dict(self._peers_by_service[service].usage_by_organisation)
        own = self._own_by_service[service].usage_by_organisation
        for organisation, total in own.items():
            usage[organisation] = usage.get(organisation, 0.0) + total.at(now)
        return {each: seconds for each, seconds in usage.items() if seconds > 0}

    def mean_held_seconds(self, service: str) -> float:
        """Return for how long requests hold a slot on average; 0 if unknown."""
        own = self._own_by_service[service].mean_seconds
        peers = self._peers_by_service[service]
        count = peers.means + (own > 0)
        return (own + peers.mean_seconds) / count if count else 0.0


def _up_to(numbers_by_rank: Mapping[int, float], rank: int) -> float:
    return sum(number for each, number in numbers_by_rank.items() if each <= rank)

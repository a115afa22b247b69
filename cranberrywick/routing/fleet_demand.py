"""The demand for contended services over the whole fleet, as far as known here.

Load pattern: requests of several ranks compete for one service, and each daemon sees
only those of its own callers. Without this module a daemon starts work of the lowest
rank while a more urgent request waits at another one. Every daemon states its own
demand with its heartbeats; the sums are kept up to date as statements arrive, so that
a decision about a request reads a few numbers, however many daemons there are.

Statements hold totals, not changes: one that is lost, late or doubled is corrected by
the next, and those of a daemon that is silent expire.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Mapping
from heapq import nlargest
from math import exp
from typing import NamedTuple

from cranberrywick.routing.demand_statement import (
    DemandStatement,
    OrganisationUsage,
    RankDemand,
    ServiceDemand,
    VmCapacity,
)
from cranberrywick.routing.load import OWNER_SILENCE_SECONDS

__all__ = [
    "USAGE_WINDOW_SECONDS",
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
MIN_ARRIVALS_PER_SECOND = 0.05
MIN_USAGE_SECONDS = 0.01
# An organisation that has used less than this many seconds is stated only at times, and
# then with this number: with the probability by which the mean of many statements is
# right. A daemon with a request every two seconds thus states two or three
# organisations, not all that it has seen in the last half minute.
USAGE_UNIT_SECONDS = 0.1
# A rank is not stated any more this many seconds after its last arrival. Its requests
# have ended by then, unless the service is no longer contended; those that wait for it
# are not stated.
FORGET_RANK_SECONDS = 60.0
# Interval at which a daemon states its demand again, in seconds, if the number of its
# waiting requests has not changed. With every heartbeat, the daemons of a simulated
# fleet of 88 received 66 % more bytes.
RESTATE_SECONDS = 1.5
# A statement expires this many seconds after it was made, also if heartbeats without
# one still arrive: those of an earlier build that was started in the daemon's place, or
# of a daemon whose statements can't be read. Two in a row may be lost.
STATEMENT_SECONDS = 5.0
# What peers state is summed in whole thousandths. Floats that are added and removed for
# hours leave rounding errors behind, which would look like demand of nobody.
THOUSANDTHS = 1000


_NOTHING = DemandStatement()


class _DecayingSum:
    """A sum whose terms decay exponentially with their age."""

    def __init__(self, window_seconds: float):
        self._window_seconds = window_seconds
        self._sum = 0.0
        self.updated_at = float("-inf")

    def add(self, amount: float, now: float) -> None:
        self._sum = self.at(now) + amount
        self.updated_at = now

    def at(self, now: float) -> float:
        if not self._sum:
            return 0.0
        age = max(0.0, now - self.updated_at)
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
        arrivals = self.arrivals_by_rank.get(rank)
        return arrivals.at(now) / ARRIVAL_WINDOW_SECONDS if arrivals else 0.0

    def drop_decayed(self, now: float) -> None:
        usage = self.usage_by_organisation
        for organisation in [o for o in usage if usage[o].at(now) < MIN_USAGE_SECONDS]:
            del usage[organisation]
        arrivals = self.arrivals_by_rank
        forgotten_at = now - FORGET_RANK_SECONDS
        for rank in [r for r in arrivals if arrivals[r].updated_at < forgotten_at]:
            del arrivals[rank]

    def statement(self, service: str, now: float, rng: random.Random) -> ServiceDemand:
        self.drop_decayed(now)
        ranks = [
            RankDemand(
                rank, self.waiting_by_rank[rank], self.arrivals_per_second(rank, now)
            )
            for rank in sorted(self.arrivals_by_rank)
        ]
        usage = [
            OrganisationUsage(organisation, max(total.at(now), USAGE_UNIT_SECONDS))
            for organisation, total in self.usage_by_organisation.items()
            if total.at(now) > USAGE_UNIT_SECONDS * rng.random()
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
    """The sum of what the peers state about one service, in whole numbers.

    Arrivals and seconds are in thousandths.
    """

    def __init__(self) -> None:
        self.waiting_by_rank: Counter[int] = Counter()
        self.arrivals_by_rank: Counter[int] = Counter()
        self.usage_by_organisation: Counter[str] = Counter()
        self.mean_seconds = 0
        self.means = 0

    def add(self, demand: ServiceDemand, sign: int) -> None:
        """Add a peer's statement, or remove it if ``sign`` is -1."""
        for rank, waiting, arrivals in demand.ranks:
            _change(self.waiting_by_rank, rank, sign * waiting)
            _change(self.arrivals_by_rank, rank, sign * _thousandths(arrivals))
        for organisation, seconds in demand.usage:
            change = sign * _thousandths(seconds)
            _change(self.usage_by_organisation, organisation, change)
        if demand.mean_seconds > 0:
            self.mean_seconds += sign * _thousandths(demand.mean_seconds)
            self.means += sign

    @property
    def is_empty(self) -> bool:
        """Whether no peer states anything about the service."""
        return not (
            self.waiting_by_rank
            or self.arrivals_by_rank
            or self.usage_by_organisation
            or self.means
        )


def _thousandths(number: float) -> int:
    return round(number * THOUSANDTHS)


def _change(numbers: Counter, key: object, change: int) -> None:
    """Change a number; one that gets zero is removed, so that none is left behind."""
    numbers[key] += change
    if not numbers[key]:
        del numbers[key]


class _PeerStatement(NamedTuple):
    """What a peer stated, when, and when its last heartbeat was received."""

    statement: DemandStatement
    stated_at: float
    received_at: float


class FleetDemand:
    """The demand for each contended service: this daemon's and its peers'.

    ``received_at`` is when the last statement of a peer was received, minus infinity
    before the first.

    >>> demand = FleetDemand()
    >>> demand.record_arrival("drafting", 0, "school", 0.03, now=10.0)
    >>> demand.arrivals_per_second("drafting", up_to_rank=0, now=10.0)
    0.5
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._own_by_service: dict[str, _OwnDemand] = defaultdict(_OwnDemand)
        self._peers_by_service: dict[str, _PeerDemand] = {}
        self._stated_by_daemon: dict[str, _PeerStatement] = {}
        self._stated_at = float("-inf")
        self._stated_services: list[str] = []
        self._is_changed = False
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
        self._is_changed = True

    def record_held(self, service: str, seconds: float) -> None:
        """Record for how many seconds a request that has ended held its slot."""
        own = self._own_by_service[service]
        if not own.mean_seconds:
            own.mean_seconds = seconds
        own.mean_seconds += HELD_WEIGHT * (seconds - own.mean_seconds)

    def services(self, now: float) -> tuple[ServiceDemand, ...]:
        """Return what this daemon states about the services that it has work for."""
        stated = (
            own.statement(service, now, self._rng)
            for service, own in self._own_by_service.items()
        )
        return tuple(each for each in stated if each.ranks or each.usage)

    def statement(self, capacity: VmCapacity, now: float) -> DemandStatement:
        """Return what a heartbeat to all daemons states now; mostly it is nothing.

        Demand is stated at each change of the number of waiting requests, and else
        every `RESTATE_SECONDS`.
        """
        if not self._is_changed and now - self._stated_at < RESTATE_SECONDS:
            return _NOTHING
        self._is_changed = False
        self._stated_at = now
        services = self.services(now)
        # A statement without a service would leave the last one in force at the peers.
        ended = [] if services else [ServiceDemand(s) for s in self._stated_services]
        self._stated_services = [each.service for each in services]
        return DemandStatement(capacity, services or tuple(ended))

    # The peers'

    def receive(self, daemon_id: str, statement: DemandStatement, now: float) -> None:
        """Replace what a peer states; an empty statement leaves it in force."""
        known = self._stated_by_daemon.get(daemon_id)
        if statement == _NOTHING:
            if known is not None:
                heard = known._replace(received_at=now)
                self._stated_by_daemon[daemon_id] = heard
            return
        self.received_at = now
        self._stated_by_daemon[daemon_id] = _PeerStatement(statement, now, now)
        before = known.statement if known is not None else _NOTHING
        if before.services != statement.services:
            self._add(before, -1)
            self._add(statement, 1)

    def evict_silent(self, now: float) -> None:
        """Remove what peers stated that are silent or have stated nothing for long."""
        for daemon_id, known in list(self._stated_by_daemon.items()):
            is_silent = now - known.received_at > OWNER_SILENCE_SECONDS
            if is_silent or now - known.stated_at > STATEMENT_SECONDS:
                del self._stated_by_daemon[daemon_id]
                self._add(known.statement, -1)

    def _add(self, statement: DemandStatement, sign: int) -> None:
        for demand in statement.services:
            peers = self._peers_by_service.setdefault(demand.service, _PeerDemand())
            peers.add(demand, sign)
            if peers.is_empty:
                del self._peers_by_service[demand.service]

    def capacity(self, daemon_id: str) -> VmCapacity:
        """Return what a peer's VM can bear, as it last stated it."""
        known = self._stated_by_daemon.get(daemon_id)
        return known.statement.capacity if known is not None else VmCapacity()

    # The fleet's

    def _own(self, service: str) -> _OwnDemand:
        return self._own_by_service.get(service, _NO_OWN)

    def _peers(self, service: str) -> _PeerDemand:
        return self._peers_by_service.get(service, _NO_PEERS)

    def waiting(self, service: str, up_to_rank: float) -> int:
        """Return how many requests of a rank, or a more urgent one, wait."""
        own = self._own(service).waiting_by_rank
        peers = self._peers(service).waiting_by_rank
        return max(0, _up_to(own, up_to_rank) + _up_to(peers, up_to_rank))

    def arrivals_per_second(self, service: str, up_to_rank: float, now: float) -> float:
        """Return how many requests of a rank, or a more urgent one, arrive a second."""
        own = self._own(service)
        own_arrivals = (
            own.arrivals_per_second(rank, now)
            for rank in own.arrivals_by_rank
            if rank <= up_to_rank
        )
        peers = self._peers(service).arrivals_by_rank
        return sum(own_arrivals) + _up_to(peers, up_to_rank) / THOUSANDTHS

    def most_urgent_rank(self, service: str, now: float) -> int | None:
        """Return the most urgent rank that arrives or waits; None without requests."""
        own = self._own(service)
        peers = self._peers(service)
        ranks = {
            *own.arrivals_by_rank,
            *own.waiting_by_rank,
            *peers.arrivals_by_rank,
            *peers.waiting_by_rank,
        }
        for rank in sorted(ranks):
            stated = peers.arrivals_by_rank[rank] / THOUSANDTHS
            arrivals = own.arrivals_per_second(rank, now) + stated
            if arrivals >= MIN_ARRIVALS_PER_SECOND or self.waiting(service, rank):
                return rank
        return None

    def usage_by_organisation(self, service: str, now: float) -> Mapping[str, float]:
        """Return the engine time that organisations recently asked for, in seconds."""
        stated = self._peers(service).usage_by_organisation
        usage = {each: number / THOUSANDTHS for each, number in stated.items()}
        for organisation, total in self._own(service).usage_by_organisation.items():
            usage[organisation] = usage.get(organisation, 0.0) + total.at(now)
        return usage

    def mean_held_seconds(self, service: str) -> float:
        """Return for how long requests hold a slot on average; 0 if unknown."""
        own = self._own(service).mean_seconds
        peers = self._peers(service)
        count = peers.means + (own > 0)
        total = own + peers.mean_seconds / THOUSANDTHS
        return total / count if count else 0.0


# What is known of a service without any demand; never changed.
_NO_OWN = _OwnDemand()
_NO_PEERS = _PeerDemand()


def _up_to(numbers_by_rank: Mapping[int, int], rank: float) -> int:
    return sum(number for each, number in numbers_by_rank.items() if each <= rank)

"""The choice of the entry addresses that a caller is given, by what each VM can bear.

Load pattern: VMs differ by four times in processor and ten times in link, and some are
slower than declared, while hundreds of callers spread their requests evenly over the
addresses that they are given. If all VMs are named alike, the small ones get as many
requests as the large ones and pauses grow beyond their limit there, while the large
ones have capacity left.

Each caller address gets a stable choice by weighted rendezvous hashing. Daemons whose
views differ a little make nearly the same choice, and a VM that joins, leaves or
changes its weight changes only the choices that it enters or leaves.
"""

import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cranberrywick.rendezvous import weighted_rendezvous
from cranberrywick.routing.fleet_demand import VmCapacity

__all__ = ["MAX_NAMED", "DirectoryChoice", "EntryVm", "WeightChange", "weights_of"]

# Largest number of addresses that a caller is given. Eight is more than the six large
# VMs of the first deployment, so that a caller has others to try if all of these die,
# and about half of the eight are in other failure domains than the caller's. With more
# addresses the large VMs are in nearly every choice already, and the load moves to the
# small ones: with 12 they get a quarter less than their share, with 8 a sixth.
MAX_NAMED = 8
# Timer delay, in seconds, at which a VM has half of its weight. Five waits of this
# length use up the most urgent target, 0.27 s, and a request waits for the event loop
# about as often before its first event: for its head, its connection, its sending, the
# event and the sending of that. The effect grows with the square of the delay: it is
# small up to 0.01 s, the precision of stated delays, and leaves a hundredth at 0.5 s.
HALVING_DELAY_SECONDS = 0.05
# Least weight, as a part of the largest one. A VM with it still gets some callers of a
# few hundred, which shows that it works again once it does.
MIN_WEIGHT = 0.02
# Factor of the weights of VMs in the caller's failure domain.
NEAR_FACTOR = 2.0
# How long weights are kept unless the serving daemons change, in seconds.
WEIGHTS_SECONDS = 1.0
# Requests from one address in `WEIGHTS_SECONDS` above which several callers share the
# address. A caller asks about once a second. Callers that share an address are given
# random choices, since one choice for all of them would load eight VMs only.
MAX_CALLER_REQUESTS = 3
# Change of a weight, as a factor, from which it is reported, and the least time between
# two reports, in seconds.
REPORTED_FACTOR = 2.0
REPORT_SECONDS = 10.0


class EntryVm(NamedTuple):
    """A daemon that accepts callers, and what its VM can bear."""

    daemon_id: str
    entry_address: str
    failure_domain: str
    capacity: VmCapacity


class WeightChange(NamedTuple):
    """A weight that has changed since the last report."""

    daemon_id: str
    before: float
    after: float


def weights_of(capacities_by_id: Mapping[str, VmCapacity]) -> dict[str, float]:
    """Return the weights of VMs, of which the largest is 1.

    A weight is the lower of a VM's share of the largest processor and its share of the
    largest link, reduced as its timers are late. VMs whose capacity is unknown have the
    mean weight of the others. A fleet whose timers are all late by the same time keeps
    its weights.
    """
    known = {id: each for id, each in capacities_by_id.items() if each.cores > 0}
    if not known:
        return dict.fromkeys(capacities_by_id, 1.0)
    most_cores = max(each.cores for each in known.values())
    fastest_link = max(each.link_mbps for each in known.values())
    weights = {}
    for daemon_id, capacity in known.items():
        share = capacity.cores / most_cores
        if capacity.link_mbps > 0:
            share = min(share, capacity.link_mbps / fastest_link)
        lateness = capacity.delay_seconds / HALVING_DELAY_SECONDS
        weights[daemon_id] = share / (1 + lateness**2)
    mean = sum(weights.values()) / len(weights)
    largest = max(weights.values())
    return {
        id: max(MIN_WEIGHT, weights.get(id, mean) / largest) for id in capacities_by_id
    }


class DirectoryChoice:
    """Chooses the addresses for callers; keeps the weights for about a second.

    >>> choice = DirectoryChoice(random.Random())
    >>> choice.update(vms, now=10.0)
    >>> choice.addresses("10.4.0.7", "domain-a")
    ['10.0.0.5:8080', '10.0.1.9:8080']
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._addresses_by_id: dict[str, str] = {}
        self._domains_by_id: dict[str, str] = {}
        self._weights_by_id: dict[str, float] = {}
        self._weighed_at = float("-inf")
        self._requests_by_caller: Counter[str] = Counter()
        self._reported_by_id: dict[str, float] = {}
        self._reported_at = float("-inf")

    def needs_update(self, addresses_by_id: Mapping[str, str], now: float) -> bool:
        """Whether other daemons serve than before, or the weights are too old."""
        is_old = now - self._weighed_at >= WEIGHTS_SECONDS
        return is_old or addresses_by_id != self._addresses_by_id

    def update(self, vms: Iterable[EntryVm], now: float) -> list[WeightChange]:
        """Compute the weights; return those to report, largest change first."""
        vms = list(vms)
        self._addresses_by_id = {vm.daemon_id: vm.entry_address for vm in vms}
        self._domains_by_id = {vm.daemon_id: vm.failure_domain for vm in vms}
        self._weights_by_id = weights_of({vm.daemon_id: vm.capacity for vm in vms})
        if now - self._weighed_at >= WEIGHTS_SECONDS:
            self._weighed_at = now
            self._requests_by_caller.clear()
        return self._changes(now)

    def addresses(self, caller: str, failure_domain: str) -> list[str]:
        """Return the addresses for a caller, in random order.

        ``caller`` is its address, ``failure_domain`` its domain, empty or unknown if it
        names none. The order is random for callers that use the first address only.
        """
        chosen = list(self._addresses_by_id.values())
        if len(chosen) > MAX_NAMED:
            self._requests_by_caller[caller] += 1
            chosen = [
                self._addresses_by_id[daemon_id]
                for daemon_id in self._choose(caller, failure_domain)
            ]
        self._rng.shuffle(chosen)
        return chosen

    def _choose(self, caller: str, failure_domain: str) -> Sequence[str]:
        weights = {
            daemon_id: weight
            * (NEAR_FACTOR if self._domains_by_id[daemon_id] == failure_domain else 1.0)
            for daemon_id, weight in self._weights_by_id.items()
        }
        if self._requests_by_caller[caller] > MAX_CALLER_REQUESTS:
            caller = f"{caller}\0{self._rng.random()}"
        return weighted_rendezvous(caller, weights, MAX_NAMED)

    def _changes(self, now: float) -> list[WeightChange]:
        if now - self._reported_at < REPORT_SECONDS:
            return []
        reported = self._reported_by_id
        changes = [
            WeightChange(daemon_id, reported.setdefault(daemon_id, weight), weight)
            for daemon_id, weight in self._weights_by_id.items()
        ]
        changes = [each for each in changes if _factor(each) > REPORTED_FACTOR]
        self._reported_by_id = {
            daemon_id: reported[daemon_id] for daemon_id in self._weights_by_id
        }
        if changes:
            self._reported_at = now
            self._reported_by_id.update(
                (each.daemon_id, each.after) for each in changes
            )
        return sorted(changes, key=_factor, reverse=True)


def _factor(change: WeightChange) -> float:
    return max(change.after / change.before, change.before / change.after)

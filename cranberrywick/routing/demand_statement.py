"""What a daemon states about its demand for contended services, and about its VM."""

from typing import NamedTuple

__all__ = [
    "DemandStatement",
    "OrganisationUsage",
    "RankDemand",
    "ServiceDemand",
    "VmCapacity",
]


class RankDemand(NamedTuple):
    """One daemon's requests of one rank for a service; rank 0 is the most urgent.

    ``waiting`` is how many wait there now for a slot, not counting deferred ones.
    """

    rank: int
    waiting: int
    arrivals_per_second: float


class OrganisationUsage(NamedTuple):
    """The engine time, in seconds, that an organisation has recently asked for.

    It is a sum that decays with a time constant of ten seconds.
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
    """What one daemon states with a heartbeat; nothing by default.

    A heartbeat that states nothing leaves what was stated before in force until it
    expires.
    """

    capacity: VmCapacity = VmCapacity()
    services: tuple[ServiceDemand, ...] = ()

"""Which organisations have asked for more than their share of a contended service.

Load pattern: one organisation of many suddenly sends ten times its usual work, through
a few of the daemons, while requests of others wait for engines. In the order of
priority and due time its requests take the slots of theirs, since it has more of them.

Shares are max-min fair. What the fleet serves is taken to be the engine time that was
asked for in the last ten seconds, less the part of it that still waits. It is divided
so that each organisation gets what it has asked for, or as much as every other that
does not. An organisation is above its share if it has asked for clearly more than that,
and for several times as much as others do on average; but only while requests wait, so
that capacity which nobody else needs stays usable.
"""

from collections.abc import Mapping
from math import inf
from typing import NamedTuple

from cranberrywick.fair_level import fair_level
from cranberrywick.routing.fleet_demand import USAGE_WINDOW_SECONDS, FleetDemand

__all__ = ["OrganisationShares", "Shares", "organisations_above"]

# An organisation is above its share if it has asked for more than this multiple of the
# level. Sums that decay over ten seconds differ by a tenth without overload, as in
# `cranberrywick.decisions.hot_organisations`.
LEVEL_RATIO = 1.1
# And for more than this multiple of what the others have asked for on average. One
# prompt of 260,000 tokens is as much work as an organisation of 24 sends in ten seconds
# at the first deployment, so that one more of them doubles its sum. Ten times the usual
# work passes this bound after two seconds.
MEAN_RATIO = 2.5
# Interval at which the shares of a service are computed again, in seconds. It takes a
# millisecond with a thousand organisations.
REFRESH_SECONDS = 0.2
# For how many seconds an organisation that was above its share counts as such. Demand
# changes with each request that starts; without a minimum, so would the order.
RETURN_SECONDS = 1.0


class Shares(NamedTuple):
    """The organisations above their share of a service, and what showed it.

    ``level`` is the fair level in engine seconds of the last ten seconds, infinite if
    all demand is met. ``waiting`` is the number of requests that wait in the fleet.
    """

    above: frozenset[str] = frozenset()
    level: float = inf
    waiting: int = 0


def organisations_above(
    usage_by_organisation: Mapping[str, float], level: float
) -> list[str]:
    """Return the organisations whose usage is clearly above a level and the others'.

    >>> organisations_above({"school": 1.0, "press": 1.2, "flood": 9.0}, level=4.0)
    ['flood']
    """
    total = sum(usage_by_organisation.values())
    others = len(usage_by_organisation) - 1
    return [
        organisation
        for organisation, usage in usage_by_organisation.items()
        if usage > LEVEL_RATIO * level and others * usage > MEAN_RATIO * (total - usage)
    ]


class _State(NamedTuple):
    computed_at: float
    shares: Shares
    until_by_organisation: Mapping[str, float]


_UNKNOWN = _State(-inf, Shares(), {})


class OrganisationShares:
    """The shares of each contended service, by the demand of the fleet."""

    def __init__(self, fleet_demand: FleetDemand):
        self._demand = fleet_demand
        self._state_by_service: dict[str, _State] = {}

    def shares(self, service: str, now: float) -> Shares:
        """Return the shares of a service, at most `REFRESH_SECONDS` old."""
        state = self._state_by_service.get(service, _UNKNOWN)
        if now - state.computed_at >= REFRESH_SECONDS:
            state = self._compute(service, state, now)
            self._state_by_service[service] = state
        return state.shares

    def _compute(self, service: str, before: _State, now: float) -> _State:
        waiting = self._demand.waiting(service, inf)
        until = {o: t for o, t in before.until_by_organisation.items() if t > now}
        level = inf
        if waiting:
            usage = self._demand.usage_by_organisation(service, now)
            level = self._level(service, usage, waiting, now)
            above = organisations_above(usage, level)
            until.update(dict.fromkeys(above, now + RETURN_SECONDS))
        return _State(now, Shares(frozenset(until), level, waiting), until)

    def _level(
        self, service: str, usage: Mapping[str, float], waiting: int, now: float
    ) -> float:
        """Return the fair level if as much work is served as does not wait."""
        arrivals = self._demand.arrivals_per_second(service, inf, now)
        recent = max(waiting, arrivals * USAGE_WINDOW_SECONDS)
        served = sum(usage.values()) * (1 - waiting / recent)
        return fair_level(usage.values(), served)

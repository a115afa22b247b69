"""What daemons decide about requests for contended services.

A service is contended if requests of several priorities compete for its engines; see
`RouteTable.is_contended`. For other services every question here has the answer that
changes nothing. The decisions themselves are in `cranberrywick.routing`; this module
gives them the fleet's state, and logs and counts what they decide.
"""

import asyncio
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.share_log import ShareLog
from cranberrywick.logs import EventLog
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.engine_model import prefill_time
from cranberrywick.routing.fleet_demand import FleetDemand
from cranberrywick.routing.organisation_shares import OrganisationShares
from cranberrywick.routing.placement import Placement
from cranberrywick.routing.table import RouteTable

__all__ = ["Contention", "Waiter"]


class Waiter(NamedTuple):
    """A request that has no placement yet; moments are of the event loop's clock."""

    demand: Demand
    priority: int
    arrived_at: float
    due_at: float
    deadline: float
    placement_future: asyncio.Future

    @property
    def service(self) -> str:
        """The name of the service that the request is for."""
        return self.demand.service.name


class Contention:
    """Decides about requests for contended services, by the demand of the fleet.

    ``table`` returns the routes in force. ``waiting_changed`` is called when a request
    begins or ceases to wait for a slot, so that peers are sent the new number.
    """

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        fleet_demand: FleetDemand,
        waiting_changed: Callable[[], None],
        metrics: LazyMetrics,
        log: EventLog,
    ):
        self._table = table
        self._fleet_demand = fleet_demand
        self._waiting_changed = waiting_changed
        self._metrics = metrics
        self._log = log
        self._shares = OrganisationShares(fleet_demand)
        self._share_log = ShareLog(metrics, log)

    def applies_to(self, service: str) -> bool:
        """Whether a service is contended by the configuration in force."""
        table = self._table()
        return table is not None and table.is_contended(service)

    def request_arrived(self, waiter: Waiter, now: float) -> None:
        """Record a request that asks for a placement."""
        if self.applies_to(waiter.service):
            demand = waiter.demand
            self._fleet_demand.record_arrival(
                waiter.service,
                waiter.priority,
                demand.organisation,
                _engine_seconds(demand),
                now,
            )

    def request_held(self, service: str, seconds: float) -> None:
        """Record for how many seconds a request that has ended held its slot."""
        if self.applies_to(service):
            self._fleet_demand.record_held(service, seconds)

    def waiting_began(self, waiter: Waiter) -> None:
        """Record that a request waits for a slot."""
        self._record_waiting(waiter, 1)

    def waiting_ended(self, waiter: Waiter) -> None:
        """Record that a request that waited for a slot doesn't any more."""
        self._record_waiting(waiter, -1)

    def _record_waiting(self, waiter: Waiter, change: int) -> None:
        self._fleet_demand.waiting_changed(waiter.service, waiter.priority, change)
        if self.applies_to(waiter.service):
            self._waiting_changed()

    def effective_rank(self, waiter: Waiter, now: float) -> int:
        """Return the rank by which a request is ordered; 0 is the most urgent.

        Those of an organisation above its share rank one below what they declare, while
        requests wait in the fleet.
        """
        service = waiter.service
        if not self.applies_to(service):
            return waiter.priority
        shares = self._shares.shares(service, now)
        self._share_log.record(service, shares, now)
        is_above = waiter.demand.organisation in shares.above
        if is_above and self._fleet_demand.waiting(service, inf):
            return waiter.priority + 1
        return waiter.priority

    def may_start(self, waiter: Waiter, placement: Placement, now: float) -> bool:
        """Whether a request is sent now, or leaves the room to more urgent ones."""
        return True

    def check_servable(self, waiter: Waiter, now: float) -> None:
        """Raise `Overloaded` if a request without a placement can't be served."""


def _engine_seconds(demand: Demand) -> float:
    """Return the prefill time that a request asks for, in seconds; 0 for a call."""
    engine = demand.service.engine
    if engine is None or demand.prompt is None:
        return 0.0
    return prefill_time(engine, demand.prompt.prompt_tokens)

"""What daemons decide about requests for contended services.

A service is contended if requests of several priorities compete for its engines; see
`RouteTable.is_contended`. For other services every question here has the answer that
changes nothing. The decisions themselves are in `cranberrywick.routing`; this module
gives them the fleet's state, and logs and counts what they decide.
"""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from math import inf

from cranberrywick.errors import Overloaded
from cranberrywick.gateway.deferrals import DeferralEnd, Deferrals
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.share_log import ShareLog
from cranberrywick.gateway.waiter import Waiter
from cranberrywick.logs import EventLog
from cranberrywick.routing.admission_forecast import (
    SlotForecast,
    SlotReturns,
    forecast_slot,
    is_unservable,
)
from cranberrywick.routing.demand import Demand, min_first_event_seconds
from cranberrywick.routing.engine_model import prefill_time
from cranberrywick.routing.fleet_demand import FleetDemand
from cranberrywick.routing.organisation_shares import OrganisationShares
from cranberrywick.routing.placement import Placement
from cranberrywick.routing.table import RouteTable

__all__ = ["Contention", "Waiter"]

# Latest time after its arrival at which a request is refused for a forecast, in
# seconds. Callers are promised that such a refusal is immediate; one that comes later
# would also be for a request that has waited longer than those which it competes with.
MAX_REFUSAL_SECONDS = 0.05
# Shortest wait that is logged and compared with its forecast, in seconds: a shorter one
# may be the interval between two tries.
MIN_RECORDED_WAIT_SECONDS = 0.05


def _unknown_slots(service: str, now: float) -> int:
    return 0


def _one_daemon(now: float) -> int:
    return 1


class Contention:
    """Decides about requests for contended services, by the demand of the fleet.

    ``table`` returns the routes in force. ``waiting_changed`` is called when a request
    begins or ceases to wait for a slot, so that peers are sent the new number.
    ``slots_in_use`` returns how many slots of a service the fleet uses, 0 if that is
    unknown, and ``count_daemons`` the number of daemons. ``rng`` spreads retry times.
    """

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        fleet_demand: FleetDemand,
        waiting_changed: Callable[[], None],
        metrics: LazyMetrics,
        log: EventLog,
        slots_in_use: Callable[[str, float], int] = _unknown_slots,
        count_daemons: Callable[[float], int] = _one_daemon,
        rng: random.Random | None = None,
    ):
        self._table = table
        self._fleet_demand = fleet_demand
        self._waiting_changed = waiting_changed
        self._metrics = metrics
        self._log = log
        self._deferrals = Deferrals(fleet_demand, metrics, log)
        self._slots_in_use = slots_in_use
        self._count_daemons = count_daemons
        self._slot_returns = SlotReturns(rng or random.Random())
        # Futures of the requests that are counted as waiting, and of those that have
        # been judged by a forecast.
        self._counted: set[asyncio.Future] = set()
        self._judged: set[asyncio.Future] = set()
        self._shares = OrganisationShares(fleet_demand)
        self._share_log = ShareLog(metrics, log)

    def applies_to(self, service: str) -> bool:
        """Whether a service is contended by the configuration in force."""
        table = self._table()
        return table is not None and table.is_contended(service)

    def request_arrived(self, waiter: Waiter, now: float) -> None:
        """Record a request that asks for its first placement."""
        demand = waiter.demand
        if self.applies_to(waiter.service) and not demand.is_retry:
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
        self._counted.add(waiter.placement_future)
        self._record_waiting(waiter, 1)

    def waiting_ended(self, waiter: Waiter) -> None:
        """Record that a request that waited for a slot doesn't any more."""
        self._counted.discard(waiter.placement_future)
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
        """Whether a request is sent now and not deferred for more urgent ones."""
        table = self._table()
        if table is None or not table.is_contended(waiter.service):
            self._deferrals.end(waiter, DeferralEnd.NOT_CONTENDED, now)
            return True
        targets_by_rank = table.targets_by_rank(waiter.service)
        return self._deferrals.may_start(waiter, placement, targets_by_rank, now)

    def request_left(self, waiter: Waiter, now: float) -> None:
        """Record that a request has its placement, or was refused or cancelled."""
        future = waiter.placement_future
        refused = future.done() and not future.cancelled() and future.exception()
        reason = DeferralEnd.REFUSED if refused else DeferralEnd.CANCELLED
        self._deferrals.end(waiter, reason, now)

    def check_servable(self, waiter: Waiter, now: float) -> None:
        """Raise `Overloaded` if a request without a placement can't be served.

        A request is judged once, when it first finds no slot, by the rank that its
        route declares: one above its organisation's share is not refused for that.
        """
        future = waiter.placement_future
        if future in self._judged or not self.applies_to(waiter.service):
            return
        forecast = self._forecast_slot(waiter, now)
        if forecast is None:
            return
        left = waiter.deadline - now
        least = min_first_event_seconds(waiter.demand)
        waited = now - waiter.arrived_at
        is_new = not waiter.demand.is_retry and waited <= MAX_REFUSAL_SECONDS
        if is_new and is_unservable(forecast, left, least):
            raise self._refusal(waiter, forecast, now)
        self._judged.add(future)
        future.add_done_callback(partial(self._record_wait, waiter, forecast, now))

    def _forecast_slot(self, waiter: Waiter, now: float) -> SlotForecast | None:
        """Return when a request should get a slot; None without a measured rate."""
        waiting = self._fleet_demand.waiting(waiter.service, waiter.priority)
        is_counted = waiter.placement_future in self._counted
        return forecast_slot(
            max(0, waiting - is_counted),
            self._slots_in_use(waiter.service, now),
            self._fleet_demand.mean_held_seconds(waiter.service),
        )

    def _refusal(
        self, waiter: Waiter, forecast: SlotForecast, now: float
    ) -> Overloaded:
        """Return the error for a request that is refused early; log and count it."""
        left = waiter.deadline - now
        retry_after = self._slot_returns.retry_seconds(
            waiter.service, forecast, self._count_daemons(now), left, now
        )
        self._metrics.refused_early(waiter.service)
        self._log.info(
            "refused_early",
            request_id=waiter.demand.logged_id,
            service=waiter.service,
            rank=waiter.priority,
            forecast=forecast.seconds,
            waiting=forecast.ahead,
            slots_per_second=forecast.slots_per_second,
            seconds_left=left,
            retry_after=retry_after,
        )
        return Overloaded("no slot is free in time", retry_after=retry_after)

    def _record_wait(
        self,
        waiter: Waiter,
        forecast: SlotForecast,
        forecast_at: float,
        future: asyncio.Future,
    ) -> None:
        """Compare the wait of a request with its first forecast, if it was placed."""
        self._judged.discard(future)
        if future.cancelled() or future.exception() is not None:
            return
        now = future.get_loop().time()
        waited = now - waiter.arrived_at
        if waited < MIN_RECORDED_WAIT_SECONDS:
            return
        error = now - forecast_at - forecast.seconds
        self._metrics.slot_forecast_error(waiter.service, error)
        self._log.info(
            "waited_for_slot",
            request_id=waiter.demand.logged_id,
            service=waiter.service,
            rank=waiter.priority,
            waited=waited,
            forecast=forecast.seconds,
            waiting=forecast.ahead,
            slots_per_second=forecast.slots_per_second,
        )


def _engine_seconds(demand: Demand) -> float:
    """Return the prefill time that a request asks for, in seconds; 0 for a call."""
    engine = demand.service.engine
    if engine is None or demand.prompt is None:
        return 0.0
    return prefill_time(engine, demand.prompt.prompt_tokens)

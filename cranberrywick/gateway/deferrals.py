"""The requests of this daemon that are deferred for more urgent ones.

`cranberrywick.routing.deferral` decides; this module gives it the demand of the fleet,
and logs and counts each request that is deferred.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.waiter import Waiter
from cranberrywick.logs import EventLog
from cranberrywick.routing.deferral import (
    MAX_DEFERRED_SHARE,
    ArrivalRate,
    DeferReason,
    Situation,
    StartReason,
    decide,
    deferral_left,
)
from cranberrywick.routing.fleet_demand import FleetDemand
from cranberrywick.routing.placement import Placement

__all__ = ["Deferrals", "DeferralEnd", "retry_seconds"]

# Interval at which a deferred request is tried again, in seconds. Each try costs a
# placement; shorter waits than this are of no use to requests with targets of seconds.
RETRY_SECONDS = 0.1


class DeferralEnd(StrEnum):
    """Why a deferral ended, if not by a `StartReason`."""

    NOT_CONTENDED = "not_contended"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class _Deferral(NamedTuple):
    reason: DeferReason
    started_at: float


class Deferrals:
    """Decides for each placement whether it is used now, by the demand of the fleet."""

    def __init__(self, fleet_demand: FleetDemand, metrics: LazyMetrics, log: EventLog):
        self._fleet_demand = fleet_demand
        self._metrics = metrics
        self._log = log
        self._deferrals_by_id: dict[str, _Deferral] = {}

    def __len__(self) -> int:
        return len(self._deferrals_by_id)

    def may_start(
        self,
        waiter: Waiter,
        placement: Placement,
        targets_by_rank: Mapping[int, float],
        now: float,
    ) -> bool:
        """Whether a request is started now; if not, its deferral is recorded.

        ``targets_by_rank`` are the targets of the service's requests in seconds. The
        declared rank counts, also for an organisation above its share: demand is known
        by declared rank, so that its requests would otherwise defer one another.
        """
        situation = self._situation(waiter, placement, targets_by_rank, now)
        reason = decide(situation)
        if isinstance(reason, DeferReason):
            self._begin(waiter, reason, situation, now)
            return False
        self.end(waiter, reason, now)
        return True

    def end(
        self, waiter: Waiter, reason: StartReason | DeferralEnd, now: float
    ) -> None:
        """Record that a request starts or leaves; nothing if it was not deferred."""
        deferral = self._deferrals_by_id.pop(waiter.demand.request_id, None)
        if deferral is None:
            return
        seconds = now - deferral.started_at
        self._metrics.deferral_ended(waiter.service, reason, seconds)
        self._log.info(
            "deferral_ended",
            request_id=waiter.demand.logged_id,
            reason=reason,
            seconds=seconds,
            deferred_for=deferral.reason,
        )

    def _situation(
        self,
        waiter: Waiter,
        placement: Placement,
        targets_by_rank: Mapping[int, float],
        now: float,
    ) -> Situation:
        fleet, service, rank = self._fleet_demand, waiter.service, waiter.priority
        arrivals = []
        more_urgent = 0.0
        for each in sorted(targets_by_rank):
            if each < rank:
                up_to = fleet.arrivals_per_second(service, each, now)
                arrivals.append(ArrivalRate(up_to - more_urgent, targets_by_rank[each]))
                more_urgent = up_to
        return Situation(
            rank=rank,
            most_urgent_rank=fleet.most_urgent_rank(service, now),
            urgent_waiting=fleet.waiting(service, rank - 1),
            urgent_arrivals=tuple(arrivals),
            interference=placement.interference,
            free_slots=placement.free_slots,
            waited_seconds=now - waiter.request_arrived_at,
            target_seconds=waiter.longest_first_event_seconds,
            first_event_seconds=placement.first_event_seconds,
        )

    def _begin(
        self, waiter: Waiter, reason: DeferReason, situation: Situation, now: float
    ) -> None:
        request_id = waiter.demand.request_id
        if request_id in self._deferrals_by_id:
            return
        self._deferrals_by_id[request_id] = _Deferral(reason, now)
        self._metrics.request_deferred(waiter.service, reason)
        self._log.info(
            "request_deferred",
            request_id=waiter.demand.logged_id,
            rank=situation.rank,
            reason=reason,
            slots=situation.free_slots,
            urgent_slots=situation.urgent_slots,
            urgent_waiting=situation.urgent_waiting,
            interference=situation.interference,
            predicted=situation.first_event_seconds,
            waited=situation.waited_seconds,
            longest=MAX_DEFERRED_SHARE * situation.target_seconds,
            demand_age=now - self._fleet_demand.received_at,
        )


def retry_seconds(waiter: Waiter, placement: Placement, now: float) -> float:
    """Return in how many seconds a deferred request is tried again.

    It is tried at the end of its longest deferral at the latest.
    """
    left = deferral_left(
        waiter.longest_first_event_seconds,
        placement.first_event_seconds,
        now - waiter.request_arrived_at,
    )
    return max(0.0, min(RETRY_SECONDS, left))

"""Log lines and counts of the organisations that are above their share."""

from math import inf

from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.organisation_shares import Shares

__all__ = ["ShareLog"]

# Shortest time between two lines about a service, in seconds.
INTERVAL_SECONDS = 5.0


class ShareLog:
    """Logs which organisations are above their share of a service, when that changes.

    A change less than `INTERVAL_SECONDS` after a line is logged after that time, unless
    it has been reversed by then.
    """

    def __init__(self, metrics: LazyMetrics, log: EventLog):
        self._metrics = metrics
        self._log = log
        self._above_by_service: dict[str, frozenset[str]] = {}
        self._logged_by_service: dict[str, tuple[float, frozenset[str]]] = {}

    def record(self, service: str, shares: Shares, now: float) -> None:
        """Record the shares of a service by which a request is ordered."""
        above = shares.above
        before = self._above_by_service.get(service, frozenset())
        if above != before:
            self._above_by_service[service] = above
            for _ in above - before:
                self._metrics.organisation_over_share(service)
        logged_at, logged = self._logged_by_service.get(service, (-inf, frozenset()))
        if above == logged or now - logged_at < INTERVAL_SECONDS:
            return
        self._logged_by_service[service] = now, above
        self._log.info(
            "organisation_over_share",
            service=service,
            organisations=next(id_lists(sorted(above)), ""),
            count=len(above),
            level=shares.level,
            waiting=shares.waiting,
        )

"""The endpoints that requests may be sent to now: the one place that decides it.

Placement chooses among the pools here, and `UsableEndpoints.may_send` is asked again
immediately before each send. Records, announcements in answers, backoffs and operators'
orders all take effect here, so that every way to an endpoint follows them.
"""

import asyncio

from cranberrywick.gateway.operator_tracker import OperatorTracker
from cranberrywick.logs import EventLog
from cranberrywick.routing.endpoint_index import EndpointPool
from cranberrywick.routing.model import BoundsSettings
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.usable import (
    Restrictions,
    is_usable,
    last_resort,
    usable_until,
)

__all__ = ["UsableEndpoints"]


class UsableEndpoints:
    """Says which endpoints of a service may get requests; logs ended backoffs."""

    def __init__(
        self,
        registry: EndpointRegistry,
        operator: OperatorTracker,
        bounds: BoundsSettings,
        log: EventLog,
    ):
        self._registry = registry
        self._operator = operator
        self._bounds = bounds
        self._log = log
        self._loop = asyncio.get_running_loop()

    def ready(self, service: str) -> EndpointPool:
        """Return the endpoints of a service that may get new work now."""
        self._end_backoffs()
        return self._registry.index.ready(service, self._operator.domains_out)

    def backing_off(self, service: str) -> EndpointPool:
        """Return the endpoints of a service that may get new work after a backoff."""
        self._end_backoffs()
        return self._registry.index.backing_off(service, self._operator.domains_out)

    def last_resort(self, service: str) -> EndpointPool:
        """Return the endpoints that a service may use while it has no others."""
        self._end_backoffs()
        now = self._loop.time()
        return last_resort(self._registry.index, service, self._restrictions, now)

    def may_send(self, endpoint_id: str, as_last_resort: bool) -> bool:
        """Whether a request may be sent to an endpoint at this moment."""
        self._end_backoffs()
        tracked = self._registry.tracked_by_id.get(endpoint_id)
        if tracked is None:
            return False
        if not as_last_resort:
            return is_usable(tracked, self._operator.domains_out)
        return self._loop.time() < usable_until(tracked, self._restrictions)

    def request_backoff(self, endpoint_id: str, born: int, seconds: float) -> float:
        """Give an endpoint no requests for some seconds.

        ``born`` identifies its start. Return in how many seconds that ends, which is
        later if an earlier backoff lasts longer.
        """
        now = self._loop.time()
        until = self._registry.request_backoff(endpoint_id, born, seconds, now)
        return until - now

    @property
    def _restrictions(self) -> Restrictions:
        return Restrictions(
            self._operator.out_since_by_domain,
            self._bounds.drain_seconds,
            self._bounds.evacuate_seconds,
        )

    def _end_backoffs(self) -> None:
        for endpoint_id in self._registry.end_backoffs(self._loop.time()):
            self._log.info("endpoint_backoff_ended", endpoint=endpoint_id)

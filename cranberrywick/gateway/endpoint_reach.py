"""Whether this VM reaches the endpoints of each service, as its connections show."""

import asyncio

from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.reachability import EndpointReachability
from cranberrywick.routing.registry import EndpointRegistry

__all__ = ["EndpointReach"]


class EndpointReach:
    """Records connections to endpoints; logs services that become unreachable."""

    def __init__(self, registry: EndpointRegistry, metrics: LazyMetrics, log: EventLog):
        self._registry = registry
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._reachability = EndpointReachability()
        self._unreachable_since: dict[str, float] = {}

    def connected(self, endpoint_id: str) -> None:
        """Record that an endpoint accepted a connection."""
        self._metrics.endpoint_connected("accepted")
        service = self._service(endpoint_id)
        if service is None or not self._reachability.connected(service):
            return
        seconds = self._loop.time() - self._unreachable_since.pop(service)
        self._log.warning(
            "service_reachable", service=service, endpoint=endpoint_id, seconds=seconds
        )

    def failed(self, endpoint_id: str, error: Exception) -> None:
        """Record that an endpoint accepted no connection."""
        self._metrics.endpoint_connected("failed")
        service = self._service(endpoint_id)
        if service is None:
            return
        known = len(self._registry.index.of_service(service))
        if not self._reachability.failed(service, endpoint_id, known):
            return
        self._unreachable_since[service] = self._loop.time()
        for listed in id_lists(sorted(self._reachability.failed_ids(service))):
            self._log.warning(
                "service_unreachable",
                service=service,
                endpoint=listed,
                known=known,
                error=error,
            )

    def _service(self, endpoint_id: str) -> str | None:
        tracked = self._registry.tracked_by_id.get(endpoint_id)
        return None if tracked is None else tracked.record.service

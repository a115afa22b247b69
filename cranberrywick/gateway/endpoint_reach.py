"""Whether this VM reaches the endpoints of each service, as its connections show.

After a connection that failed, further endpoints of the service are connected to in the
background until one accepts. A VM with few requests thus finds out within a moment that
its links are lost, and that they are back without risking a request.
"""

import asyncio
import random
from collections.abc import Callable, Set

from cranberrywick.errors import EndpointRefused
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.upstream import EndpointConnection
from cranberrywick.logs import EventLog
from cranberrywick.routing.connect_timeout import is_late
from cranberrywick.routing.reachability import (
    EndpointReachability,
    Reach,
    ReachStatement,
)
from cranberrywick.routing.registry import EndpointRegistry, TrackedEndpoint

__all__ = ["EndpointReach"]

# Pauses before a connection in the background, in seconds: after one that failed while
# the service still counts as reached, after one that failed later, and after one that
# was accepted.
SUSPECTED_PROBE_SECONDS = 0.1
FAILED_PROBE_SECONDS = 0.25
ACCEPTED_PROBE_SECONDS = 0.02
# Share by which these pauses vary at random, so that VMs that lost their links together
# don't connect at the same moments.
PROBE_JITTER = 0.2
# Longest time for such a connection, in seconds.
PROBE_TIMEOUT_SECONDS = 0.25


class EndpointReach:
    """Tracks and logs which services are reached; tries to reach the others again.

    ``port`` is where this daemon accepts requests from peers. ``changed`` is called
    when the reach of a service changes, ``regained`` with an endpoint that accepts
    connections again.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        port: int,
        changed: Callable[[], None],
        metrics: LazyMetrics,
        log: EventLog,
    ):
        self._registry = registry
        self._port = port
        self._changed = changed
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._reachability = EndpointReachability()
        self._probes_by_service: dict[str, asyncio.Task] = {}
        self.regained: Callable[[str], None] = lambda endpoint_id: None

    @property
    def statement(self) -> ReachStatement:
        """What heartbeats state about it."""
        return self._reachability.statement(self._port)

    def reach(self, service: str) -> Reach:
        """Return how much of a service this VM reaches."""
        return self._reachability.reach(service)

    def is_suspected(self, endpoint_id: str) -> bool:
        """Whether the silence of an endpoint may be due to this VM's links."""
        service = self._service(endpoint_id)
        return service is not None and self._reachability.is_suspected(service)

    def connected(self, endpoint_id: str) -> None:
        """Record that an endpoint accepted a connection."""
        self._metrics.endpoint_connected("accepted")
        service = self._service(endpoint_id)
        if service is None or not self._reachability.unreached_ids(service):
            return
        before = self.reach(service)
        known_ids = self._known_ids(service)
        if self._reachability.connected(service, endpoint_id, known_ids):
            self.regained(endpoint_id)
        self._log_change(service, before, endpoint_id, known_ids)

    def failed(self, endpoint_id: str, error: Exception) -> None:
        """Record that an endpoint accepted no connection."""
        self._metrics.endpoint_connected("failed")
        service = self._service(endpoint_id)
        if service is None:
            return
        before = self.reach(service)
        known_ids = self._known_ids(service)
        self._reachability.failed(service, endpoint_id, known_ids)
        self._log_change(service, before, endpoint_id, known_ids, error)
        if service not in self._probes_by_service:
            task = self._loop.create_task(self._probe(service))
            self._probes_by_service[service] = task

    def stop(self) -> None:
        """Stop connecting in the background."""
        for task in self._probes_by_service.values():
            task.cancel()

    def _log_change(
        self,
        service: str,
        before: Reach,
        endpoint_id: str,
        known_ids: Set[str],
        error: Exception | None = None,
    ) -> None:
        reach = self.reach(service)
        if reach is before:
            return
        self._log.warning(
            "service_reach_changed",
            service=service,
            reach=reach.value,
            before=before.value,
            unreached=len(self._reachability.unreached_ids(service)),
            known=len(known_ids),
            endpoint=endpoint_id,
            error=error,
        )
        self._changed()

    async def _probe(self, service: str) -> None:
        """Connect to endpoints of a service, one by one, until it is reached.

        If it was lost in between, go on as long as endpoints that had failed accept:
        until they do, requests go to the others alone.
        """
        pause = SUSPECTED_PROBE_SECONDS
        was_lost = False
        try:
            while self._reachability.is_suspected(service) or (
                was_lost and self._reachability.unreached_ids(service)
            ):
                jitter = self._rng.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
                await asyncio.sleep(pause * jitter)
                if await self._connect(service):
                    pause = ACCEPTED_PROBE_SECONDS
                elif self.reach(service) is Reach.FULL:
                    pause = SUSPECTED_PROBE_SECONDS
                    was_lost = False
                else:
                    pause = FAILED_PROBE_SECONDS
                was_lost |= self.reach(service) is not Reach.FULL
        finally:
            del self._probes_by_service[service]

    async def _connect(self, service: str) -> bool:
        """Connect to an endpoint; return whether it accepted."""
        tracked = self._choose(service)
        if tracked is None:
            # The service has no endpoints left.
            before = self.reach(service)
            self._reachability.refresh(service, frozenset())
            self._log_change(service, before, "", frozenset())
            return False
        started = self._loop.time()
        try:
            async with EndpointConnection(tracked.record.address) as connection:
                await connection.open(PROBE_TIMEOUT_SECONDS)
        except EndpointRefused as error:
            if not is_late(self._loop.time() - started, PROBE_TIMEOUT_SECONDS):
                self.failed(tracked.endpoint_id, error)
            return False
        self.connected(tracked.endpoint_id)
        return True

    def _choose(self, service: str) -> TrackedEndpoint | None:
        """Return an endpoint whose connection shows most.

        After a failure that is one that has not failed, which tells a lost link from
        endpoints that died; after a connection that was accepted it is one that has.
        """
        tracked_endpoints = self._known(service)
        unreached_ids = self._reachability.unreached_ids(service)
        has_failed = self._reachability.has_failed(service)
        wanted = [
            tracked
            for tracked in tracked_endpoints
            if (tracked.endpoint_id in unreached_ids) is not has_failed
        ]
        choices = wanted or tracked_endpoints
        return self._rng.choice(choices) if choices else None

    def _known(self, service: str) -> list[TrackedEndpoint]:
        """Return a service's endpoints without those that drain.

        One that drains may be gone before its record is.
        """
        endpoints = self._registry.index.of_service(service)
        return [tracked for tracked in endpoints if not tracked.is_draining]

    def _known_ids(self, service: str) -> Set[str]:
        return {tracked.endpoint_id for tracked in self._known(service)}

    def _service(self, endpoint_id: str) -> str | None:
        tracked = self._registry.tracked_by_id.get(endpoint_id)
        return None if tracked is None else tracked.record.service

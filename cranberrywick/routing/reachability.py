"""Which services' endpoints accept no connection from this VM.

Load pattern: a VM loses its links to all endpoints, or to most, for seconds while
callers, the store and the other daemons still reach it. Each of its requests would try
one endpoint after another, and be refused, although the other daemons are served by the
same endpoints.

A single endpoint that accepts no connection has mostly died. Several different ones in
a row, or more than half, show that this VM doesn't reach them. They may also have died
for everyone, so that a service counts as lost only if nothing of it is reached.
"""

from collections.abc import Set
from enum import StrEnum
from typing import NamedTuple

__all__ = ["EndpointReachability", "Reach", "ReachStatement"]

# How many different endpoints of a service accept no connection, in a row, before it
# counts as poorly reached and as not reached: all of them if it has fewer.
POOR_FAILURES = 3
LOST_FAILURES = 8
# Share of the endpoints that accept no connection above which a service counts as
# poorly reached although some of them do.
POOR_SHARE = 0.5


class Reach(StrEnum):
    """How much of a service this VM reaches.

    FULL: all of it, but for single endpoints. POOR: some endpoints, or it is not known
    yet. NONE: no endpoint.
    """

    FULL = "full"
    POOR = "poor"
    NONE = "none"


class ReachStatement(NamedTuple):
    """What a daemon states in its heartbeats about requests that peers forward to it.

    ``port`` is where it accepts them, 0 if it doesn't. The services are those of which
    it reaches no endpoint, and those that it reaches poorly.
    """

    port: int = 0
    unreached_services: tuple[str, ...] = ()
    poorly_reached_services: tuple[str, ...] = ()


class _ServiceState:
    def __init__(self) -> None:
        self.unreached_ids: set[str] = set()
        # Those since the last endpoint that accepted a connection.
        self.failed_in_row: set[str] = set()
        self.reach = Reach.FULL

    def update(self, known_ids: Set[str]) -> None:
        self.unreached_ids &= known_ids
        self.failed_in_row &= known_ids
        known = max(1, len(known_ids))
        in_row = len(self.failed_in_row)
        if len(self.unreached_ids) >= known or in_row >= LOST_FAILURES:
            self.reach = Reach.NONE
        elif in_row >= POOR_FAILURES or len(self.unreached_ids) > POOR_SHARE * known:
            self.reach = Reach.POOR
        else:
            self.reach = Reach.FULL


class EndpointReachability:
    """Tracks connections to endpoints, by service.

    ``known_ids`` are the endpoints of the service that are registered now.

    >>> reachability = EndpointReachability()
    >>> known_ids = {"e1", "e2", "e3", "e4"}
    >>> for endpoint_id in ("e1", "e2", "e3"):
    ...     reachability.failed("pool", endpoint_id, known_ids)
    >>> reachability.reach("pool")
    <Reach.POOR: 'poor'>
    """

    def __init__(self) -> None:
        self._states_by_service: dict[str, _ServiceState] = {}

    def statement(self, port: int) -> ReachStatement:
        """Return what heartbeats state."""
        unreached, poor = [], []
        for service, state in sorted(self._states_by_service.items()):
            if state.reach is Reach.NONE:
                unreached.append(service)
            elif state.reach is Reach.POOR:
                poor.append(service)
        return ReachStatement(port, tuple(unreached), tuple(poor))

    def reach(self, service: str) -> Reach:
        """Return how much of a service this VM reaches."""
        state = self._states_by_service.get(service)
        return Reach.FULL if state is None else state.reach

    def has_failed(self, service: str) -> bool:
        """Whether the last connection to a service was not accepted."""
        state = self._states_by_service.get(service)
        return state is not None and bool(state.failed_in_row)

    def is_suspected(self, service: str) -> bool:
        """Whether this VM may not reach a service, or reaches it poorly."""
        return self.has_failed(service) or self.reach(service) is not Reach.FULL

    def unreached_ids(self, service: str) -> frozenset[str]:
        """Return the endpoints whose last connection was not accepted."""
        state = self._states_by_service.get(service)
        return frozenset() if state is None else frozenset(state.unreached_ids)

    def failed(self, service: str, endpoint_id: str, known_ids: Set[str]) -> None:
        """Record an endpoint that accepted no connection."""
        state = self._states_by_service.setdefault(service, _ServiceState())
        state.unreached_ids.add(endpoint_id)
        state.failed_in_row.add(endpoint_id)
        state.update(known_ids)

    def connected(self, service: str, endpoint_id: str, known_ids: Set[str]) -> bool:
        """Record an endpoint that accepted a connection.

        Return whether its last connection had failed.
        """
        state = self._states_by_service.get(service)
        if state is None:
            return False
        was_unreached = endpoint_id in state.unreached_ids
        state.unreached_ids.discard(endpoint_id)
        state.failed_in_row.clear()
        self.refresh(service, known_ids)
        return was_unreached

    def refresh(self, service: str, known_ids: Set[str]) -> None:
        """Forget the endpoints of a service that are not registered any more."""
        state = self._states_by_service.get(service)
        if state is None:
            return
        if known_ids:
            state.update(known_ids)
        if not state.unreached_ids or not known_ids:
            del self._states_by_service[service]

"""Which services' endpoints accept no connection from this VM.

Load pattern: a VM loses its links to all endpoints for seconds while callers, the store
and the other daemons still reach it. Each of its requests would try one endpoint after
another, and be refused, although the other daemons are served by the same endpoints.

A single endpoint that accepts no connection has mostly died. Several different ones in
a row, with none that accepted between them, show that this VM does not reach them.
"""

__all__ = ["EndpointReachability"]

# How many different endpoints of a service must have accepted no connection, in a row,
# before the service counts as unreachable: all of them if it has fewer.
MIN_FAILED_ENDPOINTS = 3


class EndpointReachability:
    """Tracks connections to endpoints, by service.

    >>> reachability = EndpointReachability()
    >>> [reachability.failed("pool", each, known=16) for each in ("e1", "e2", "e3")]
    [False, False, True]
    >>> reachability.is_unreachable("pool"), reachability.connected("pool")
    (True, True)
    """

    def __init__(self) -> None:
        self._failed_ids_by_service: dict[str, set[str]] = {}
        self._unreachable: set[str] = set()

    @property
    def unreachable_services(self) -> tuple[str, ...]:
        """The services that this VM reaches no endpoint of."""
        return tuple(sorted(self._unreachable))

    def is_unreachable(self, service: str) -> bool:
        """Whether this VM reaches no endpoint of a service."""
        return service in self._unreachable

    def failed_ids(self, service: str) -> frozenset[str]:
        """Return the endpoints that failed since one of the service was reached."""
        return frozenset(self._failed_ids_by_service.get(service, ()))

    def failed(self, service: str, endpoint_id: str, known: int) -> bool:
        """Record an endpoint that accepted no connection.

        ``known`` is how many endpoints the service has. Return whether the service is
        unreachable from now on and was not before.
        """
        failed_ids = self._failed_ids_by_service.setdefault(service, set())
        failed_ids.add(endpoint_id)
        if len(failed_ids) < min(MIN_FAILED_ENDPOINTS, max(1, known)):
            return False
        is_new = service not in self._unreachable
        self._unreachable.add(service)
        return is_new

    def connected(self, service: str) -> bool:
        """Record that an endpoint accepted a connection.

        Return whether the service was unreachable before.
        """
        self._failed_ids_by_service.pop(service, None)
        was_unreachable = service in self._unreachable
        self._unreachable.discard(service)
        return was_unreachable

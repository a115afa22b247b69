"""Look-up of a request's route and of the organisation that its key belongs to."""

import random
from collections import defaultdict
from collections.abc import Iterable, Mapping, Set

from cranberrywick.errors import NotFound, Unauthorised
from cranberrywick.routing.model import GatewayConfiguration, Organisation, Route

__all__ = ["RouteTable", "pick_service"]


class RouteTable:
    """One configuration, indexed for look-ups.

    >>> RouteTable(configuration).match("example.org", "/letters/2026/1").prefix
    '/letters/'
    """

    def __init__(self, configuration: GatewayConfiguration):
        self.configuration = configuration
        self._routes_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes_by_prefix_by_host.setdefault(route.host, {})
            # An unusable entry refuses requests that no other one allows.
            if route.is_usable or route.prefix not in by_prefix:
                by_prefix[route.prefix] = route
        self._targets_by_rank_by_service = _contended_targets(configuration)

    @property
    def contended_services(self) -> Set[str]:
        """The names of the contended services; see `is_contended`."""
        return self._targets_by_rank_by_service.keys()

    def match(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix; raises `NotFound`.

        ``path`` is as the caller sent it, without a query. Prefixes end with a slash,
        so that one look-up for each slash in the path is enough: the cost does not grow
        with the number of routes.
        """
        by_prefix = self._routes_by_prefix_by_host.get(_host_name(host), {})
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        raise NotFound("no route for this host and path")

    def identify(self, route: Route, key: str | None) -> Organisation | None:
        """Return the organisation that sends the request; raises `Unauthorised`.

        Return None if keys are not checked, or if the key is missing or unknown on a
        public route.
        """
        by_key = self.configuration.organisations_by_key
        if by_key is None:
            return None
        organisation = by_key.get(key) if key is not None else None
        if organisation is None and not route.public:
            raise Unauthorised("the key is missing or unknown")
        return organisation

    def priority(self, route: Route, organisation: Organisation | None) -> int:
        """Return the priority of a request; 0 is the highest."""
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return route.priority

    def is_contended(self, service_name: str) -> bool:
        """Whether requests of several priorities compete for a service's engines.

        It has engines, and routes of two or more priorities lead to it.
        """
        return service_name in self._targets_by_rank_by_service

    def targets_by_rank(self, service_name: str) -> Mapping[int, float]:
        """Return the target, in seconds, of each priority of a contended service.

        Of several routes with the same priority the shortest target counts: the
        requests of the others can wait for a slot without being late. A priority that
        only organisations have is not among them.
        """
        return self._targets_by_rank_by_service[service_name]


def _contended_targets(
    configuration: GatewayConfiguration,
) -> dict[str, dict[int, float]]:
    """Return the shortest target of each priority, by contended service."""
    targets_by_service: dict[str, dict[int, float]] = defaultdict(dict)
    for route in configuration.routes:
        for service_name, weight in route.weights_by_service:
            if weight > 0:
                targets = targets_by_service[service_name]
                before = targets.get(route.priority, route.target_seconds)
                targets[route.priority] = min(before, route.target_seconds)
    return {
        service.name: targets_by_service[service.name]
        for service in configuration.services_by_name.values()
        if service.engine is not None and len(targets_by_service[service.name]) > 1
    }


def _host_name(host: str) -> str:
    name = host.lower()
    return name.rpartition(":")[0] if ":" in name else name


def pick_service(
    weights: Iterable[tuple[str, float]], rng: random.Random
) -> str | None:
    """Return a service, chosen at random by weight; None if all weights are zero."""
    choices = [(name, weight) for name, weight in weights if weight > 0]
    if not choices:
        return None
    names, shares = zip(*choices, strict=True)
    return rng.choices(names, shares)[0]

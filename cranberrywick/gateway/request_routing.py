"""Which route, organisation and service a request belongs to."""

import random

from cranberrywick.errors import NotFound, PlatformUnavailable
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.state import FleetState
from cranberrywick.routing.retry_after import (
    MIN_SECONDS_WITHOUT_STORE,
    STARTING_SECONDS,
)
from cranberrywick.routing.table import pick_service

__all__ = ["TIMEOUT_MARGIN_SECONDS", "route_request"]

# How long before the route's timeout the gateway gives a request up, in seconds, so
# that the caller receives the gateway's error answer before the timeout.
TIMEOUT_MARGIN_SECONDS = 0.01


# When a request may come back that the configuration allows by an entry that can't be
# read, in seconds: operators have to write it again.
UNUSABLE_ENTRY_SECONDS = 2.0


def route_request(
    exchange: Exchange, state: FleetState, rng: random.Random, service_name: str = ""
) -> None:
    """Set the route, the organisation and the service of a request.

    ``service_name`` is the service that a peer has picked, if the route still has it.
    Raises `PlatformUnavailable` while no configuration is known and where an entry of
    it can't be read, and the errors of the routing table, such as `NotFound` and
    `Unauthorised`.
    """
    table = state.table
    if table is None:
        raise PlatformUnavailable(
            "no configuration is known yet",
            retry_after=MIN_SECONDS_WITHOUT_STORE
            if state.store_is_unavailable
            else STARTING_SECONDS,
        )
    exchange.version = table.configuration.version
    route = table.match(exchange.host, exchange.path)
    unusable = table.configuration.unusable
    if not route.is_usable or exchange.meta.key in unusable.keys:
        raise _unusable("the entry of its route or of its key")
    exchange.route = route
    exchange.organisation = table.identify(route, exchange.meta.key)
    exchange.priority = table.priority(route, exchange.organisation)
    if not dict(route.weights_by_service).get(service_name):
        service_name = pick_service(route.weights_by_service, rng)
    service = table.configuration.services_by_name.get(service_name)
    if service is None and service_name in unusable.services:
        raise _unusable("the entry of its service")
    if service is None:
        raise NotFound("the route has no service")
    exchange.service = service


def _unusable(entry: str) -> PlatformUnavailable:
    return PlatformUnavailable(
        f"{entry} can't be read", retry_after=UNUSABLE_ENTRY_SECONDS
    )

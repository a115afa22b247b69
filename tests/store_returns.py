"""A store that comes back from an older copy, for tests with gateway processes."""

import time

from endpoint_promises import DRAIN_SECONDS, TimedCall, call_all
from gateway_fleet import KEY, Fleet, Gateway, configuration, wait_for

from cranberrywick.standin.platform.endpoint import EndpointStandIn
from cranberrywick.standin.platform.store import StoreCopy

# Number of changes that the store loses, more than any test makes after the return.
LOST_CHANGES = 40
# Time after which all daemons have read a change, in seconds.
READ_SECONDS = 1.0
# Time within which a configuration is in force, in seconds; that of the deployments.
APPLY_SECONDS = 2.0
# Time within which a failure domain gets no more requests; that of `gateway_settings`.
EVACUATE_SECONDS = 5.0
# Time for which the store lacks what was written to it before, in seconds.
FORGOTTEN_SECONDS = 3.0
OTHER_KEY = "another-key"
MEMBERS_PREFIX = "cranberrywick/members/"


def with_keys(version: int, *keys: str) -> dict:
    """Return a configuration with these keys."""
    tenant = {"name": "kask", "apiKeys": list(keys), "priority": 1}
    return configuration(version, tenants=[tenant])


def lose_changes(fleet: Fleet) -> StoreCopy:
    """Return a copy of the store, and let daemons read many changes after it."""
    copy = fleet.on_loop(fleet.store.copy)
    fleet.on_loop(make_changes, fleet)
    time.sleep(READ_SECONDS)
    return copy


def make_changes(fleet: Fleet) -> None:
    """Change keys that no daemon reads."""
    for number in range(LOST_CHANGES):
        fleet.store.put(f"other/{number}", b"")


def go_back(fleet: Fleet, copy: StoreCopy) -> None:
    """Put the store back to a copy."""
    fleet.on_loop(fleet.store.restore, copy)


def late_requests(
    endpoint: EndpointStandIn, calls: list[TimedCall], since: float, bound: float
) -> int:
    """Count requests sent later than ``bound`` seconds that reached an endpoint."""
    late_ids = {call.request_id for call in calls if call.sent_at > since + bound}
    return sum(arrival.request_id in late_ids for arrival in endpoint.arrivals)


def late_at_drained(fleet: Fleet, drained_at: float, seconds: float = 3.5) -> int:
    """Call all gateways; return the requests at ``desk-1`` after its bound."""
    calls = call_all(fleet, seconds)
    return late_requests(fleet.endpoints["desk-1"], calls, drained_at, DRAIN_SECONDS)


def status(fleet: Fleet, gateway: Gateway, key: str = KEY) -> int:
    """Return the status that a caller with a key gets."""
    headers = {"Authorization": f"Token {key}"}
    return fleet.call(gateway, "GET", "/reads/1", headers=headers).status


def copy_without_daemons(fleet: Fleet) -> StoreCopy:
    """Return a copy of the store from before any daemon was registered."""
    copy = fleet.on_loop(fleet.store.copy)
    items = {k: v for k, v in copy.items.items() if MEMBERS_PREFIX not in k}
    return copy._replace(items=items, leases={})


def wait_registered(fleet: Fleet) -> None:
    """Wait until all gateways are registered in the store."""
    names = {f"{MEMBERS_PREFIX}{gateway.name}" for gateway in fleet.gateways}
    wait_for(lambda: names <= set(fleet.store.keys(MEMBERS_PREFIX)), "registrations")

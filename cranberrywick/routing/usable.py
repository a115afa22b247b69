"""Which endpoints may get new work, and which as a last resort.

Load pattern: endpoints leave and failure domains are taken out while requests wait for
a place or a connection. Asked only when a request comes, one that waits is sent seconds
after an endpoint's last moment for new work; so this is asked for each place, and once
more right before the send.

A service may lose its last endpoint in this way while that still serves: one that
drains, or whose failure domain was taken out, may be sent to for some seconds more.
Only then, and only until a moment that is certainly within the bound, it is used.
"""

from collections.abc import Mapping, Set
from typing import NamedTuple

from cranberrywick.routing.endpoint_index import (
    EndpointIndex,
    EndpointPool,
    TrackedEndpoint,
)

__all__ = ["Restrictions", "is_usable", "last_resort", "usable_until"]

# Kept back from a bound for the way of a request to the endpoint, and for that of the
# peer's message which said how old its reading is.
SEND_MARGIN_SECONDS = 0.8


class Restrictions(NamedTuple):
    """What keeps endpoints from new work, and for how long not yet.

    ``out_since_by_domain`` has the failure domains that operators have taken out, each
    with the earliest moment at which that can have been. The store acknowledges a
    change before anybody reads it, so this is the last reading without it; minus
    infinity where there was none.
    """

    out_since_by_domain: Mapping[str, float]
    drain_seconds: float
    evacuate_seconds: float


def is_usable(tracked: TrackedEndpoint, domains_out: Set[str]) -> bool:
    """Whether an endpoint may get new work.

    `EndpointIndex.ready` draws the same line: neither one that is leaving nor one in
    a failure domain that operators have taken out may.
    """
    record = tracked.record
    return not record.draining and record.failure_domain not in domains_out


def usable_until(tracked: TrackedEndpoint, restrictions: Restrictions) -> float:
    """Return until when an endpoint may be sent to; infinity if it is usable."""
    record = tracked.record
    until = float("inf")
    if record.draining:
        until = tracked.ready_until_known + restrictions.drain_seconds
    out_since = restrictions.out_since_by_domain.get(record.failure_domain)
    if out_since is not None:
        until = min(until, out_since + restrictions.evacuate_seconds)
    return until - SEND_MARGIN_SECONDS


def last_resort(
    index: EndpointIndex, service: str, restrictions: Restrictions, now: float
) -> EndpointPool:
    """Return the endpoints that a service may use while it has no other."""
    others = index.others(service, restrictions.out_since_by_domain.keys())
    return EndpointPool.of(
        [tracked for tracked in others if now < usable_until(tracked, restrictions)]
    )

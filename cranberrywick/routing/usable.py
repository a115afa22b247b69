"""Rules for which endpoints may get new work, and which only as a last resort.

An endpoint that has asked for a backoff gets none before its end, in any case.

Load pattern: endpoints leave and failure domains are taken out while requests wait for
a slot or a connection. If the rules were checked only on a request's arrival, a request
that waits would be sent seconds after the endpoint's deadline for new work. They are
therefore checked at each placement, and again immediately before the send.

A service may lose its last usable endpoint in this way while that endpoint still
serves: one that is draining, or whose failure domain was taken out, may get new work
for some seconds more. It is used only if no other endpoint is left, and only until a
time that is certainly before its deadline.
"""

from collections.abc import Mapping, Set
from typing import NamedTuple

from cranberrywick.routing.endpoint_index import (
    EndpointIndex,
    EndpointPool,
    TrackedEndpoint,
)

__all__ = ["Restrictions", "is_usable", "last_resort", "usable_until"]

# Margin before a deadline for new work, in seconds: for the transfer of a request to
# the endpoint and for that of the peer's message that stated the age of its snapshot.
SEND_MARGIN_SECONDS = 0.8


class Restrictions(NamedTuple):
    """What excludes endpoints from new work, and how long they may still get some.

    ``out_since_by_domain`` has the failure domains that operators have taken out, each
    with the earliest time at which that may have happened. The store acknowledges a
    change before any daemon reads it, so this is the time of the last snapshot without
    it; minus infinity if there was none. An endpoint may get new work for
    ``drain_seconds`` after the last time at which it was known not to be draining, or
    after it announced in an answer that it is, and for ``evacuate_seconds`` after its
    domain was taken out.
    """

    out_since_by_domain: Mapping[str, float]
    drain_seconds: float
    evacuate_seconds: float


def is_usable(tracked: TrackedEndpoint, domains_out: Set[str]) -> bool:
    """Whether an endpoint may get new work.

    It may unless it is draining, in a backoff, or in a failure domain that operators
    have taken out. `EndpointIndex.ready` applies the same rule.
    """
    is_out = tracked.record.failure_domain in domains_out
    return not (tracked.is_draining or tracked.is_backing_off or is_out)


def usable_until(tracked: TrackedEndpoint, restrictions: Restrictions) -> float:
    """Return the time until which an endpoint may get requests; infinity if usable."""
    if tracked.is_backing_off:
        return float("-inf")
    record = tracked.record
    until = float("inf")
    if record.draining:
        until = tracked.ready_until_known + restrictions.drain_seconds
    if tracked.drain_announced_at is not None:
        until = min(until, tracked.drain_announced_at + restrictions.drain_seconds)
    out_since = restrictions.out_since_by_domain.get(record.failure_domain)
    if out_since is not None:
        until = min(until, out_since + restrictions.evacuate_seconds)
    return until - SEND_MARGIN_SECONDS


def last_resort(
    index: EndpointIndex, service: str, restrictions: Restrictions, now: float
) -> EndpointPool:
    """Return the endpoints that a service may use now if it has no usable one."""
    others = index.others(service, restrictions.out_since_by_domain.keys())
    return EndpointPool.of(
        [tracked for tracked in others if now < usable_until(tracked, restrictions)]
    )

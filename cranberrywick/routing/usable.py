"""Which endpoints may get new work.

Load pattern: endpoints leave and failure domains are taken out while requests wait for
a place or a connection. Asked only when a request comes, one that waits is sent seconds
after an endpoint's last moment for new work; so this is asked for each place, and once
more right before the send.
"""

from collections.abc import Mapping

from cranberrywick.routing.registry import EndpointBelief

__all__ = ["is_usable", "usable_endpoints"]


def is_usable(belief: EndpointBelief, domains_out: frozenset[str]) -> bool:
    """Whether an endpoint may get new work.

    This is the one place that says so: neither one that is leaving nor one in a
    failure domain that operators have taken out may.
    """
    record = belief.record
    return not record.draining and record.failure_domain not in domains_out


def usable_endpoints(
    beliefs_by_id: Mapping[str, EndpointBelief],
    service: str,
    domains_out: frozenset[str],
) -> list[EndpointBelief]:
    """Return the endpoints of a service that may get new work."""
    return [
        belief
        for belief in beliefs_by_id.values()
        if belief.record.service == service and is_usable(belief, domains_out)
    ]

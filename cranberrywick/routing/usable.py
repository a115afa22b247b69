"""Which endpoints may get new work.

Load pattern: endpoints leave and failure domains are taken out while requests wait for
a place or a connection. Asked only when a request comes, one that waits is sent seconds
after an endpoint's last moment for new work; so this is asked for each place, and once
more right before the send.
"""

from collections.abc import Set

from cranberrywick.routing.registry import EndpointBelief

__all__ = ["is_usable"]


def is_usable(belief: EndpointBelief, domains_out: Set[str]) -> bool:
    """Whether an endpoint may get new work.

    `EndpointIndex.ready` draws the same line: neither one that is leaving nor one in
    a failure domain that operators have taken out may.
    """
    record = belief.record
    return not record.draining and record.failure_domain not in domains_out

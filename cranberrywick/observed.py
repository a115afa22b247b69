"""The metrics that are read from other parts at a scrape.

These parts keep counts of their own. The counts are read only at a scrape, so that the
metrics add no work to the path of a request or a message.
"""

from collections import Counter

from cranberrywick.controllers.endpoints import EndpointBoard
from cranberrywick.endpoints.relay import Relay
from cranberrywick.metrics import Metrics
from cranberrywick.model import EndpointPhase
from cranberrywick.peers.transport import TransportCounts

__all__ = ["observe_parts"]


def observe_parts(
    metrics: Metrics, board: EndpointBoard, relay: Relay, peers: TransportCounts
) -> None:
    """Publish endpoints by phase, open streams and traffic between daemons."""
    metrics.observe_gauge(
        "endpoints",
        "Endpoints whose load is known, by phase.",
        "phase",
        lambda: _count_phases(board),
    )
    metrics.observe_gauge(
        "streams",
        "Answers being relayed now.",
        "state",
        lambda: {"open": relay.live_streams},
    )
    metrics.observe_counter(
        "peer_datagrams",
        "Datagrams between daemons.",
        "direction",
        lambda: {
            "out": peers.datagrams_sent,
            "in": peers.datagrams_received,
            "dropped": peers.datagrams_dropped,
        },
    )
    metrics.observe_counter(
        "peer_bytes",
        "Bytes between daemons.",
        "direction",
        lambda: {"out": peers.bytes_sent, "in": peers.bytes_received},
    )


def _count_phases(board: EndpointBoard) -> dict[str, int]:
    counts = Counter(load.phase for load in board.loads_by_id.values())
    return {phase.value: counts[phase] for phase in EndpointPhase}

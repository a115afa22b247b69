"""What `PeerUpdates` asks of its owner, and hands to it."""

from typing import NamedTuple, Protocol

from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.messages import Message, SnapshotRequest
from cranberrywick.routing.drain_notices import DrainNotice
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.reachability import ReachStatement
from cranberrywick.routing.store_knowledge import StoreKnowledge

__all__ = ["DaemonStatus", "PeerUpdateListener"]


class DaemonStatus(NamedTuple):
    """The part of a `Heartbeat` that `FleetState` provides.

    ``leaving`` is set for a daemon that accepts no callers. The other fields are the
    store's revision and the digest of its operators' view, and the seconds since that
    view was known to be the newest; ``store`` is what is known of the store and
    ``reach`` which endpoints are reached.
    """

    leaving: bool
    operator_revision: int
    operator_digest: int
    operator_age: float
    store: StoreKnowledge
    reach: ReachStatement = ReachStatement()


class PeerUpdateListener(Protocol):
    """Handles the peers' updates and provides this daemon's own state."""

    def daemon_status(self, now: float) -> DaemonStatus:
        """Return the part of a heartbeat that describes this daemon's own state."""

    def heartbeat_received(self, heartbeat: Heartbeat, received_at: float) -> None:
        """Handle a heartbeat that is newer than the last; its jobs are recorded."""

    def endpoints_received(self, snapshot: EndpointSnapshot) -> None:
        """Apply a peer's snapshot of the endpoints."""

    def peer_joined(self, peer_address: str) -> None:
        """Send a daemon that has just started what it needs to serve requests."""

    def answer(self, request: SnapshotRequest) -> Message | None:
        """Return the snapshot that a peer requests; None if there is none yet."""

    def store_knowledge(self, now: float) -> StoreKnowledge:
        """Return all that is known of the store, for a daemon that has just started."""

    def draining_announced(self, notice: DrainNotice) -> None:
        """Handle the first notice that a start of an endpoint is draining."""

    def declared_rate(self, endpoint_id: str) -> float:
        """Return an endpoint's declared limit in requests a second, or infinity."""

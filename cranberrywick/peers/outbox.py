"""Sends demands and grants, split into datagrams of the allowed size."""

from cranberrywick.controllers.membership import MembershipView
from cranberrywick.decisions.membership import Status
from cranberrywick.peers.codec import MAX_DATAGRAM_BYTES
from cranberrywick.peers.messages import Demand, Grant
from cranberrywick.peers.session import Session
from cranberrywick.peers.transport import Transport

__all__ = ["Outbox"]


class Outbox:
    """Looks up a daemon's address and splits messages too long for one datagram.

    A demand or grant may be split, because its entries are independent of one another.
    """

    def __init__(self, session: Session, transport: Transport, view: MembershipView):
        self._session = session
        self._transport = transport
        self._view = view

    def send_demand(self, daemon_id: str, demand: Demand) -> None:
        """Send a demand to a steward."""
        self._send(daemon_id, demand)

    def send_grant(self, daemon_id: str, grant: Grant) -> None:
        """Send a grant to a holder."""
        self._send(daemon_id, grant)

    def _send(self, daemon_id: str, body: Demand | Grant) -> None:
        member = self._view.snapshot.members_by_id.get(daemon_id)
        if member is None or member.status is Status.DEAD:
            return
        frame = self._session.seal(daemon_id, member.incarnation, body)
        if len(frame) <= MAX_DATAGRAM_BYTES or len(body.entries) == 1:
            self._transport.send(member.peer_address, frame)
            return
        half = len(body.entries) // 2
        self._send(daemon_id, body._replace(entries=body.entries[:half]))
        self._send(daemon_id, body._replace(entries=body.entries[half:]))

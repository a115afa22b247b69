"""Keeps the list of live daemons and disseminates updates between them.

The actor owns the `Membership` object, which makes the decisions. Other threads read
`MembershipView.snapshot`, which is replaced as a whole and never changed, so that no
request waits for the actor.
"""

import random
import time
from collections.abc import Callable, Mapping
from itertools import count
from typing import NamedTuple

from cranberrywick.controllers.actor import Controller
from cranberrywick.decisions.membership import (
    Member,
    Membership,
    Status,
)
from cranberrywick.decisions.probing import Probe, ProbeThrough
from cranberrywick.logs import EventLog
from cranberrywick.peers.messages import (
    Ack,
    Envelope,
    Hello,
    LeavingEndpoint,
    Notice,
    Ping,
    PingRequest,
    RelayedAck,
)
from cranberrywick.peers.session import Session
from cranberrywick.peers.transport import Transport

__all__ = ["ConfigurationId", "MembershipController", "MembershipView", "Snapshot"]

# Number of ticks between two regular probes, each of one member.
TICKS_PER_PROBE = 4
# Number of ticks between two hellos to seeds that are not known to be alive, one seed
# at a time. Through these hellos the two sides of a healed partition find each other.
TICKS_PER_SEED = 4
# Number of hellos sent at once after a new list of seeds; several, because some of
# the listed VMs may be gone.
FIRST_HELLOS = 3
# Most members' records, and most leaving endpoints, in one ping.
MEMBERS_PER_PING = 8
LEAVING_PER_PING = 8
# Number of members that receive an urgent update at once: all of a small fleet, and
# enough of a large one that their pings reach the rest within a few seconds.
NOTICE_FANOUT = 16
# Number of pings, acks and notices in which a leaving endpoint is repeated.
LEAVING_REPEATS = 20
# Most leaving endpoints, and most relayed probes without an answer, that are
# remembered; the oldest are forgotten first.
MAX_LEAVING_KEPT = 2048
MAX_RELAYED_KEPT = 256
# First round number of the probes that are sent for other members, above the numbers
# of this daemon's own probes.
FIRST_RELAY_ROUND = 1 << 32
# Most hellos that are sent per tick in answer to unverified messages.
HELLOS_PER_TICK = 20


class ConfigurationId(NamedTuple):
    """Identifies a configuration; version 0 stands for none yet."""

    version: int
    digest: bytes


class Snapshot(NamedTuple):
    """The members at one moment, this daemon included.

    ``serving_by_id`` omits the members that are leaving or dead.
    """

    members_by_id: Mapping[str, Member]
    serving_by_id: Mapping[str, Member]


class MembershipView:
    """Holds the newest snapshot, for other threads to read without the actor."""

    def __init__(self, snapshot: Snapshot):
        self.snapshot = snapshot


class MembershipEvents(NamedTuple):
    """Callbacks of the controller; each is short and never waits."""

    changed: Callable[[Snapshot], None]
    member_joined: Callable[[Member], None]
    newer_configuration: Callable[[Member, ConfigurationId], None]
    endpoint_leaving: Callable[[LeavingEndpoint], None]


class MembershipController(Controller):
    """Sends probes and updates to other members, and handles theirs."""

    def __init__(
        self,
        myself: Member,
        session: Session,
        transport: Transport,
        view: MembershipView,
        events: MembershipEvents,
        seed: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self._clock = clock
        self._rng = random.Random(seed)
        self._membership = Membership(myself, self._rng, clock())
        self._session = session
        self._transport = transport
        self._view = view
        self._events = events
        self._log = EventLog(daemon=myself.daemon_id, part="membership")
        self._configuration_id = ConfigurationId(0, b"")
        self._seeds: list[str] = []
        self._relay_rounds = count(FIRST_RELAY_ROUND)
        self._requests_by_relay_round: dict[int, tuple[str, int]] = {}
        self._leaving_by_id: dict[str, int] = {}
        self._leaving_repeats_by_id: dict[str, int] = {}
        self._ticks = 0
        self._hellos_left = HELLOS_PER_TICK
        self._published_changes = -1
        self._publish()

    def set_seeds(self, addresses: list[str]) -> None:
        """Replace the peer addresses that the VM list contains."""
        own = self._membership.myself.peer_address
        self._seeds = [address for address in addresses if address != own]
        for _ in range(FIRST_HELLOS):
            self._send_hello_to_seed()

    def set_configuration_id(self, configuration_id: ConfigurationId) -> None:
        """Announce the configuration now in force here to the peers."""
        if configuration_id.version <= self._configuration_id.version:
            return
        self._configuration_id = configuration_id
        self._send_notices()

    def announce_leaving(self, leaving: LeavingEndpoint) -> None:
        """Publish that an endpoint accepts no new work."""
        if self._mark_leaving(leaving):
            self._send_notices()

    def leave(self) -> None:
        """Publish that this daemon is leaving."""
        self._membership.leave()
        self._publish()
        self._send_notices()

    def tick(self) -> None:
        """Send the probes and hellos that are due; called by the timer service."""
        now = self._clock()
        self._ticks += 1
        self._hellos_left = HELLOS_PER_TICK
        changes = self._membership.changes
        for action in self._membership.tick(now):
            self._perform(action)
        if self._membership.changes != changes:
            self._send_notices()
        if self._ticks % TICKS_PER_PROBE == 0:
            self._probe(self._membership.next_probe(now))
        if self._ticks % TICKS_PER_SEED == 0:
            self._send_hello_to_seed()
        self._publish()

    def _probe(self, probe: Probe | None) -> None:
        if probe is not None:
            self._send_ping(probe.daemon_id, Ping, probe.round)

    def _perform(self, action: Probe | ProbeThrough) -> None:
        if isinstance(action, Probe):
            self._probe(action)
        else:
            self._send(action.relay, PingRequest(action.round, action.daemon_id))

    def _send_hello_to_seed(self) -> None:
        known = {member.peer_address for member in self._membership.others}
        unknown = [address for address in self._seeds if address not in known]
        if unknown:
            self._send_hello(self._rng.choice(unknown), "", 0)

    def _send_hello(
        self, address: str, recipient: str, incarnation: int, newest_known: int = 0
    ) -> None:
        hello = Hello(self._membership.myself, recipient != "", newest_known)
        self._transport.send(address, self._session.seal(recipient, incarnation, hello))

    def _send_ping(self, daemon_id: str, kind: type[Ping], round: int) -> None:
        self._send(daemon_id, self._make_ping(daemon_id, kind, round))

    def _make_ping(self, daemon_id: str, kind: type[Ping], round: int) -> Ping:
        return kind(
            round=round,
            version=self._configuration_id.version,
            digest=self._configuration_id.digest,
            members=tuple(self._membership.updates_for(daemon_id, MEMBERS_PER_PING)),
            leaving=self._leaving_updates(),
        )

    def _send(self, daemon_id: str, body: Ping | PingRequest) -> None:
        member = self._membership.members_by_id.get(daemon_id)
        if member is None:
            return
        frame = self._session.seal(daemon_id, member.incarnation, body)
        self._transport.send(member.peer_address, frame)

    def _send_notices(self) -> None:
        others = self._membership.others
        for member in self._rng.sample(others, min(NOTICE_FANOUT, len(others))):
            self._send_ping(member.daemon_id, Notice, 0)

    def receive_unverified(self, envelope: Envelope, newest_known: int) -> None:
        """Answer an unverified message with a hello, within limits."""
        # Anyone on the network can send a recorded message again. So the number of
        # answers is limited, they go only to the address that the original sender
        # signed or that is known already, and the message changes no state.
        if self._hellos_left <= 0:
            return
        self._hellos_left -= 1
        address = self._address_of(envelope)
        if address is None or self._is_answer(envelope):
            return
        newest = newest_known if envelope.incarnation < newest_known else 0
        self._send_hello(address, envelope.sender, envelope.incarnation, newest)

    def _address_of(self, envelope: Envelope) -> str | None:
        if isinstance(envelope.body, Hello):
            return envelope.body.member.peer_address
        member = self._membership.members_by_id.get(envelope.sender)
        return None if member is None else member.peer_address

    @staticmethod
    def _is_answer(envelope: Envelope) -> bool:
        return isinstance(envelope.body, Hello) and envelope.body.is_answer

    def receive(self, envelope: Envelope) -> None:
        """Handle a verified message."""
        now = self._clock()
        self._membership.record_contact(envelope.sender)
        body = envelope.body
        if isinstance(body, Hello):
            self._handle_hello(envelope, body, now)
        elif isinstance(body, RelayedAck):
            self._membership.answered(body.round, body.target)
        elif isinstance(body, PingRequest):
            self._relay_probe(envelope, body)
        elif isinstance(body, Ping):
            self._handle_ping(envelope, body, now)
        self._notify_if_dead(envelope.sender)
        # An update about an earlier run of this daemon may have raised the incarnation.
        self._session.incarnation = self._membership.myself.incarnation
        self._publish()

    def _notify_if_dead(self, sender: str) -> None:
        # After a partition each side has recorded the other as dead and no longer
        # probes it. A member that receives the record of its own death refutes it with
        # a newer record and is alive again.
        member = self._membership.members_by_id.get(sender)
        if member is not None and member.status is Status.DEAD:
            self._send_ping(sender, Notice, 0)

    def _handle_hello(self, envelope: Envelope, hello: Hello, now: float) -> None:
        if hello.newest_known > self._session.incarnation:
            self._membership.raise_incarnation(hello.newest_known)
            self._log.warning("incarnation_raised", by=envelope.sender)
            return
        if self._membership.apply_update(hello.member, now):
            # The sender may not know this daemon yet. It now receives this daemon's
            # record once, in a hello that it can verify.
            self._send_hello(
                hello.member.peer_address, envelope.sender, envelope.incarnation
            )
            self._events.member_joined(hello.member)
            self._send_notices()

    def _relay_probe(self, envelope: Envelope, request: PingRequest) -> None:
        relay_round = next(self._relay_rounds)
        self._requests_by_relay_round[relay_round] = (envelope.sender, request.round)
        while len(self._requests_by_relay_round) > MAX_RELAYED_KEPT:
            del self._requests_by_relay_round[next(iter(self._requests_by_relay_round))]
        self._send_ping(request.target, Ping, relay_round)

    def _handle_ping(self, envelope: Envelope, ping: Ping, now: float) -> None:
        revision = self._membership.myself.revision
        for member in ping.members:
            self._membership.apply_update(member, now)
        is_refuting = self._membership.myself.revision != revision
        new_leaving = [
            leaving for leaving in ping.leaving if self._mark_leaving(leaving)
        ]
        if isinstance(ping, Ack):
            self._handle_ack(envelope.sender, ping.round)
        elif not isinstance(ping, Notice):
            self._send_ping(envelope.sender, Ack, ping.round)
        self._compare_configuration(envelope.sender, ping)
        if is_refuting:
            self._send_ping(envelope.sender, Notice, 0)
        if new_leaving or is_refuting:
            self._send_notices()

    def _handle_ack(self, sender: str, round: int) -> None:
        self._membership.answered(round, sender)
        request = self._requests_by_relay_round.pop(round, None)
        if request is not None:
            asker, requested_round = request
            self._send(asker, RelayedAck(requested_round, sender))

    def _compare_configuration(self, sender: str, ping: Ping) -> None:
        member = self._membership.members_by_id.get(sender)
        if member is None or ping.version <= self._configuration_id.version:
            return
        configuration_id = ConfigurationId(ping.version, ping.digest)
        self._events.newer_configuration(member, configuration_id)

    def _mark_leaving(self, leaving: LeavingEndpoint) -> bool:
        known = self._leaving_by_id.get(leaving.endpoint_id, -1)
        if leaving.incarnation <= known:
            return False
        self._leaving_by_id[leaving.endpoint_id] = leaving.incarnation
        self._leaving_repeats_by_id[leaving.endpoint_id] = LEAVING_REPEATS
        while len(self._leaving_by_id) > MAX_LEAVING_KEPT:
            del self._leaving_by_id[next(iter(self._leaving_by_id))]
        self._events.endpoint_leaving(leaving)
        return True

    def _leaving_updates(self) -> tuple[LeavingEndpoint, ...]:
        updates = []
        for endpoint_id in list(self._leaving_repeats_by_id)[:LEAVING_PER_PING]:
            updates.append(
                LeavingEndpoint(endpoint_id, self._leaving_by_id.get(endpoint_id, 0))
            )
            self._leaving_repeats_by_id[endpoint_id] -= 1
            if self._leaving_repeats_by_id[endpoint_id] <= 0:
                del self._leaving_repeats_by_id[endpoint_id]
        return tuple(updates)

    def merge_members(self, members: tuple[Member, ...]) -> None:
        """Merge the whole member list of a peer into this daemon's."""
        self._membership.merge_members(members, self._clock())
        self._publish()

    def _publish(self) -> None:
        if self._membership.changes == self._published_changes:
            return
        self._published_changes = self._membership.changes
        members_by_id = dict(self._membership.members_by_id)
        serving_by_id = {
            daemon_id: member
            for daemon_id, member in members_by_id.items()
            if member.status in (Status.ALIVE, Status.SUSPECT)
        }
        self._view.snapshot = Snapshot(members_by_id, serving_by_id)
        self._events.changed(self._view.snapshot)

"""Keeps the list of live daemons and passes news between them.

The actor owns the decision object; others read `MembershipView.snapshot`, which is
replaced as a whole and never changed, so that no request waits for the actor.
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

__all__ = ["ConfigurationMark", "MembershipController", "MembershipView", "Snapshot"]

TICKS_PER_PROBE = 4
# Seeds that are listed but not known alive are greeted this often, one at a time:
# that is how both sides of a healed partition meet again.
TICKS_PER_SEED = 4
# A new list is tried at once, at several, as some may be of VMs that are gone.
FIRST_GREETINGS = 3
NEWS_IN_PING = 8
LEAVING_IN_PING = 8
# Urgent news goes to so many at once: all of a small fleet, and in a large one
# enough that their news reaches the rest within a few seconds.
NOTICE_FANOUT = 16
LEAVING_REPEATS = 20
MAX_LEAVING_KEPT = 2048
MAX_RELAYED_KEPT = 256
# Rounds of probes made for others, apart from those of our own probes.
FIRST_RELAY_ROUND = 1 << 32
HELLOS_PER_TICK = 20


class ConfigurationMark(NamedTuple):
    """Names a configuration; version 0 is none yet."""

    version: int
    digest: bytes


class Snapshot(NamedTuple):
    """The members at one moment, this daemon included.

    ``serving_by_id`` leaves out those that are leaving or dead.
    """

    members_by_id: Mapping[str, Member]
    serving_by_id: Mapping[str, Member]


class MembershipView:
    """What other threads may read without asking the actor."""

    def __init__(self, snapshot: Snapshot):
        self.snapshot = snapshot


class MembershipEvents(NamedTuple):
    """Callbacks of the controller; each is short and never waits."""

    changed: Callable[[Snapshot], None]
    met: Callable[[Member], None]
    newer_configuration: Callable[[Member, ConfigurationMark], None]
    endpoint_leaving: Callable[[LeavingEndpoint], None]


class MembershipController(Controller):
    """Sends probes and news, and takes those of others."""

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
        self._mark = ConfigurationMark(0, b"")
        self._seeds: list[str] = []
        self._relay_rounds = count(FIRST_RELAY_ROUND)
        self._relayed: dict[int, tuple[str, int]] = {}
        self._leaving_by_id: dict[str, int] = {}
        self._leaving_repeats_by_id: dict[str, int] = {}
        self._ticks = 0
        self._hellos_left = HELLOS_PER_TICK
        self._published_changes = -1
        self._publish()

    def set_seeds(self, addresses: list[str]) -> None:
        """Replace the peer addresses that the VM list gives."""
        own = self._membership.myself.peer_address
        self._seeds = [address for address in addresses if address != own]
        for _ in range(FIRST_GREETINGS):
            self._greet_a_seed()

    def set_mark(self, mark: ConfigurationMark) -> None:
        """Tell peers of the configuration now in force here."""
        if mark.version <= self._mark.version:
            return
        self._mark = mark
        self._send_notices()

    def announce_leaving(self, leaving: LeavingEndpoint) -> None:
        """Pass on that an endpoint takes no new work."""
        if self._mark_leaving(leaving):
            self._send_notices()

    def leave(self) -> None:
        """Tell all that this daemon is going."""
        self._membership.leave()
        self._publish()
        self._send_notices()

    def tick(self) -> None:
        """Send what is due; called by the timer service."""
        now = self._clock()
        self._ticks += 1
        self._hellos_left = HELLOS_PER_TICK
        changes = self._membership.changes
        for action in self._membership.tick(now):
            self._act(action)
        if self._membership.changes != changes:
            self._send_notices()
        if self._ticks % TICKS_PER_PROBE == 0:
            self._probe(self._membership.next_probe(now))
        if self._ticks % TICKS_PER_SEED == 0:
            self._greet_a_seed()
        self._publish()

    def _probe(self, probe: Probe | None) -> None:
        if probe is not None:
            self._send_ping(probe.daemon_id, Ping, probe.round)

    def _act(self, action: Probe | ProbeThrough) -> None:
        if isinstance(action, Probe):
            self._probe(action)
        else:
            self._send(action.relay, PingRequest(action.round, action.daemon_id))

    def _greet_a_seed(self) -> None:
        known = {member.peer_address for member in self._membership.others}
        strangers = [address for address in self._seeds if address not in known]
        if strangers:
            self._send_hello(self._rng.choice(strangers), "", 0)

    def _send_hello(
        self, address: str, recipient: str, incarnation: int, newest_known: int = 0
    ) -> None:
        hello = Hello(self._membership.myself, recipient != "", newest_known)
        self._transport.send(address, self._session.seal(recipient, incarnation, hello))

    def _send_ping(self, daemon_id: str, kind: type[Ping], round: int) -> None:
        self._send(daemon_id, self._ping(daemon_id, kind, round))

    def _ping(self, daemon_id: str, kind: type[Ping], round: int) -> Ping:
        return kind(
            round=round,
            version=self._mark.version,
            digest=self._mark.digest,
            members=tuple(self._membership.updates_for(daemon_id, NEWS_IN_PING)),
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

    def introduced(self, envelope: Envelope, newest_known: int) -> None:
        """Answer an unverified message with who we are, within bounds."""
        # A recorded message can be sent here at will: the answers are few, go to
        # the address that its sender signed or that we know, and change nothing.
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

    def received(self, envelope: Envelope) -> None:
        """Act on a verified message."""
        now = self._clock()
        self._membership.heard(envelope.sender)
        body = envelope.body
        if isinstance(body, Hello):
            self._take_hello(envelope, body, now)
        elif isinstance(body, RelayedAck):
            self._membership.answered(body.round, body.target)
        elif isinstance(body, PingRequest):
            self._relay_probe(envelope, body)
        elif isinstance(body, Ping):
            self._take_ping(envelope, body, now)
        self._meet_again(envelope.sender)
        # News of an earlier run of this daemon may have raised it.
        self._session.incarnation = self._membership.myself.incarnation
        self._publish()

    def _meet_again(self, sender: str) -> None:
        # After a partition each side holds the other dead and probes it no more.
        # Told of its own death, the member outranks it and is back.
        member = self._membership.members_by_id.get(sender)
        if member is not None and member.status is Status.DEAD:
            self._send_ping(sender, Notice, 0)

    def _take_hello(self, envelope: Envelope, hello: Hello, now: float) -> None:
        if hello.newest_known > self._session.incarnation:
            self._membership.raise_incarnation(hello.newest_known)
            self._log.warning("incarnation_raised", by=envelope.sender)
            return
        if self._membership.apply_update(hello.member, now):
            # It may not know us yet; our record goes back once, now verified.
            self._send_hello(
                hello.member.peer_address, envelope.sender, envelope.incarnation
            )
            self._events.met(hello.member)
            self._send_notices()

    def _relay_probe(self, envelope: Envelope, request: PingRequest) -> None:
        probe = next(self._relay_rounds)
        self._relayed[probe] = (envelope.sender, request.round)
        while len(self._relayed) > MAX_RELAYED_KEPT:
            del self._relayed[next(iter(self._relayed))]
        self._send_ping(request.target, Ping, probe)

    def _take_ping(self, envelope: Envelope, ping: Ping, now: float) -> None:
        revision = self._membership.myself.revision
        for member in ping.members:
            self._membership.apply_update(member, now)
        is_refuting = self._membership.myself.revision != revision
        fresh = [leaving for leaving in ping.leaving if self._mark_leaving(leaving)]
        if isinstance(ping, Ack):
            self._take_ack(envelope.sender, ping.round)
        elif not isinstance(ping, Notice):
            self._send_ping(envelope.sender, Ack, ping.round)
        self._compare_mark(envelope.sender, ping)
        if is_refuting:
            self._send_ping(envelope.sender, Notice, 0)
        if fresh or is_refuting:
            self._send_notices()

    def _take_ack(self, sender: str, round: int) -> None:
        self._membership.answered(round, sender)
        asked_by = self._relayed.pop(round, None)
        if asked_by is not None:
            asker, asked_round = asked_by
            self._send(asker, RelayedAck(asked_round, sender))

    def _compare_mark(self, sender: str, ping: Ping) -> None:
        member = self._membership.members_by_id.get(sender)
        if member is None or ping.version <= self._mark.version:
            return
        mark = ConfigurationMark(ping.version, ping.digest)
        self._events.newer_configuration(member, mark)

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
        for endpoint_id in list(self._leaving_repeats_by_id)[:LEAVING_IN_PING]:
            updates.append(
                LeavingEndpoint(endpoint_id, self._leaving_by_id.get(endpoint_id, 0))
            )
            self._leaving_repeats_by_id[endpoint_id] -= 1
            if self._leaving_repeats_by_id[endpoint_id] <= 0:
                del self._leaving_repeats_by_id[endpoint_id]
        return tuple(updates)

    def merge_members(self, members: tuple[Member, ...]) -> None:
        """Take the whole list of a peer."""
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

"""One daemon's node in the fleet: exchanges its state with the other daemons.

>>> node = PeerNode(settings, timers)
>>> node.on_configuration(lambda version, document: ...)
>>> node.on_shares(lambda shares_by_endpoint: ...)
>>> node.set_seeds(["10.0.0.2:7000"])
>>> node.set_endpoints(endpoints_by_id)
>>> node.start()
>>> node.snapshot.serving_by_id
{'e1': Member(...), 'e2': Member(...)}

Subscribe before `start`. Callbacks run on the node's own threads, so they have to be
short and must never wait.
"""

import random
import time
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Protocol

from cranberrywick.controllers.actor import ControllerHandle
from cranberrywick.controllers.grants import (
    Authority,
    GrantEvents,
    GrantsController,
    NoAuthority,
)
from cranberrywick.controllers.membership import (
    ConfigurationId,
    MembershipController,
    MembershipEvents,
    MembershipView,
    Snapshot,
)
from cranberrywick.decisions.cold_start import Trouble
from cranberrywick.decisions.entries import EntryAnswer, choose_entries
from cranberrywick.decisions.leases import Usage
from cranberrywick.decisions.membership import Member, Status
from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.logs import EventLog
from cranberrywick.model import Endpoint, EndpointLoad
from cranberrywick.peers.events import PeerEvents, call_all
from cranberrywick.peers.fetching import Fetcher
from cranberrywick.peers.messages import (
    Answer,
    Demand,
    Fetch,
    FetchKind,
    Grant,
    LeavingEndpoint,
)
from cranberrywick.peers.outbox import Outbox
from cranberrywick.peers.session import Session, Unverified
from cranberrywick.peers.sharing import SharedConfiguration
from cranberrywick.peers.transport import Transport
from cranberrywick.timers import TimerService

__all__ = ["PeerNode", "PeerSettings"]

# Intervals between the ticks of the two actors, in seconds. To wake a thread costs
# about as much as a message, so these are the longest intervals with which a missing
# answer to a probe is noticed in time, and a first request soon gets a slot.
MEMBERSHIP_TICK_SECONDS = 0.25
GRANTS_TICK_SECONDS = 0.2
# Interval between fetches of a random peer's whole member list, in seconds. They
# correct what lost updates left wrong.
MEMBER_LIST_SECONDS = 60.0
# Most calls that may wait for an actor. Messages beyond that are dropped, as a network
# may drop them.
MAX_INBOX = 2000
# Shortest interval between two log lines about invalid messages, in seconds; each line
# contains the number of messages since the last one.
INVALID_LOG_SECONDS = 10.0


class PeerSettings(Protocol):
    """The part of the daemon's settings that the node needs."""

    daemon_id: str
    failure_domain: str
    region: str
    listen: str
    peer_listen: str
    peer_secret: str


def _no_usage() -> Mapping[str, Usage]:
    return {}


class PeerNode(PeerEvents):
    """Exchanges messages with the other daemons and keeps the state they send.

    ``entry_address`` is the address that callers are given, ``settings.listen`` by
    default. ``usage`` returns what this daemon does with each endpoint now, by endpoint
    id. ``authority`` holds the platform's lease on stewardships; without it no slots
    of cold endpoints are granted. ``wall_clock`` only provides the incarnation, which
    identifies this run of the daemon; nothing is timed with it.

    Raises OSError if ``settings.peer_listen`` can't be bound.
    """

    def __init__(
        self,
        settings: PeerSettings,
        timers: TimerService,
        *,
        entry_address: str | None = None,
        usage: Callable[[], Mapping[str, Usage]] = _no_usage,
        authority: Authority | None = None,
        seed: int | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        super().__init__()
        self._timers = timers
        self._clock = clock
        self._rng = random.Random(seed)
        self._log = EventLog(daemon=settings.daemon_id, part="peers")
        self._session = Session(
            settings.daemon_id,
            int(wall_clock() * 1000),
            settings.peer_secret.encode(),
        )
        self.transport = Transport(settings.peer_listen, self._receive, self._serve)
        myself = Member(
            daemon_id=settings.daemon_id,
            incarnation=self._session.incarnation,
            revision=0,
            status=Status.ALIVE,
            peer_address=self.transport.address,
            entry_address=entry_address or settings.listen,
            failure_domain=settings.failure_domain,
            region=settings.region,
        )
        self._daemon_id = myself.daemon_id
        self._view = MembershipView(
            Snapshot({myself.daemon_id: myself}, {myself.daemon_id: myself})
        )
        self._shared = SharedConfiguration()
        self._fetcher = Fetcher(
            self._session, self.transport, random.Random(seed), self._log
        )
        self._invalid_count = 0
        self._invalid_logged_at = float("-inf")
        self._subscriptions = []
        self._grants = ControllerHandle(
            GrantsController,
            myself,
            Outbox(self._session, self.transport, self._view),
            authority or NoAuthority(),
            usage,
            GrantEvents(
                shares_changed=partial(call_all, self._shares_callbacks),
                load_received=partial(call_all, self._load_callbacks),
                stewarded_changed=partial(call_all, self._stewarded_callbacks),
            ),
            clock,
        )
        self._membership = ControllerHandle(
            MembershipController,
            myself,
            self._session,
            self.transport,
            self._view,
            MembershipEvents(
                changed=self._membership_changed,
                member_joined=self._fetch_list_of,
                newer_configuration=self._fetch_configuration,
                endpoint_leaving=partial(call_all, self._leaving_callbacks),
            ),
            self._rng.getrandbits(32),
            clock,
        )

    @property
    def address(self) -> str:
        """The ``host:port`` that peers send to."""
        return self.transport.address

    @property
    def myself(self) -> Member:
        """This daemon's own record, as its peers receive it."""
        return self.snapshot.members_by_id[self._daemon_id]

    @property
    def snapshot(self) -> Snapshot:
        """The members as last known, this daemon included; reading it never waits."""
        return self._view.snapshot

    @property
    def configuration(self) -> tuple[int, bytes]:
        """The version and document offered to peers; version 0 stands for none."""
        return self._shared.current

    def entries(
        self, organisation: str, domains_out: frozenset[str] = frozenset()
    ) -> EntryAnswer:
        """Return the addresses that the organisation's callers should use now."""
        members_by_id = self.snapshot.members_by_id
        region = members_by_id[self._daemon_id].region
        return choose_entries(
            organisation, region, members_by_id, domains_out, self._rng
        )

    def start(self) -> None:
        """Start to receive, probe and send updates."""
        self.transport.start()
        every = self._timers.every
        self._subscriptions += [
            every(MEMBERSHIP_TICK_SECONDS, self._tick_membership, jitter=0.1),
            every(GRANTS_TICK_SECONDS, self._tick_grants, jitter=0.1),
            every(MEMBER_LIST_SECONDS, self._fetch_random_list, jitter=0.3),
        ]

    def stop(self) -> None:
        """Stop without notice to the peers; call `leave` first for a planned stop."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self.transport.stop()
        self._fetcher.stop()
        self._membership.stop()
        self._grants.stop()

    def leave(self) -> None:
        """Publish that this daemon accepts no new callers."""
        self._membership.tell(MembershipController.leave)

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the peer addresses that the VM list contains."""
        self._membership.tell(MembershipController.set_seeds, list(addresses))

    def set_endpoints(self, endpoints_by_id: Mapping[str, Endpoint]) -> None:
        """Replace the endpoints that the VM list and the configuration define."""
        self._grants.tell(GrantsController.set_endpoints, dict(endpoints_by_id))

    def report_load(self, load: EndpointLoad) -> None:
        """Record a load that this daemon, as the endpoint's steward, requested."""
        self._grants.tell(GrantsController.report_load, load)

    def record_trouble(self, endpoint_id: str, trouble: Trouble) -> None:
        """Stop using an endpoint that seems cold, and report this to its steward."""
        self._grants.tell(GrantsController.record_trouble, endpoint_id, trouble)

    def demand_rose(self) -> None:
        """Demand slots now instead of at the next tick; cheap to call often."""
        self._grants.tell(GrantsController.tick)

    def announce_leaving(self, endpoint_id: str, incarnation: int) -> None:
        """Publish that an endpoint accepts no new work."""
        self._membership.tell(
            MembershipController.announce_leaving,
            LeavingEndpoint(endpoint_id, incarnation),
        )

    def set_configuration(self, version: int, document: bytes) -> None:
        """Offer to peers the configuration now in force here; ignore an older one.

        Raises ValueError for a document larger than 1 MiB.
        """
        configuration_id = self._shared.put(version, document)
        if configuration_id is not None:
            self._membership.tell(
                MembershipController.set_configuration_id, configuration_id
            )

    def _tick_membership(self) -> None:
        self._membership.tell(MembershipController.tick)

    def _tick_grants(self) -> None:
        self._grants.tell(GrantsController.tick)

    def _membership_changed(self, snapshot: Snapshot) -> None:
        self._grants.tell(GrantsController.set_members, snapshot.serving_by_id)
        call_all(self._membership_callbacks, snapshot)

    def _receive(self, frame: bytes) -> None:
        try:
            opened = self._session.open(frame)
        except PeerMessageInvalid as error:
            self._record_invalid(error)
            return
        if self._is_overloaded():
            return
        envelope = opened.envelope
        if isinstance(opened, Unverified):
            self._membership.tell(
                MembershipController.receive_unverified, envelope, opened.newest_known
            )
        elif isinstance(envelope.body, Demand):
            self._grants.tell(GrantsController.receive_demand, envelope)
        elif isinstance(envelope.body, Grant):
            self._grants.tell(GrantsController.receive_grant, envelope)
        else:
            self._membership.tell(MembershipController.receive, envelope)

    def _is_overloaded(self) -> bool:
        return max(self._membership.waiting, self._grants.waiting) > MAX_INBOX

    def _record_invalid(self, error: PeerMessageInvalid) -> None:
        # Anyone on the network can send thousands of invalid messages per second, and
        # to log each of them would do more harm than the messages.
        self._invalid_count += 1
        now = self._clock()
        if now - self._invalid_logged_at < INVALID_LOG_SECONDS:
            return
        self._invalid_logged_at = now
        self._log.warning(
            "peer_message_invalid", error=error, count=self._invalid_count
        )
        self._invalid_count = 0

    def _serve(self, frame: bytes) -> bytes | None:
        try:
            opened = self._session.open(frame)
        except PeerMessageInvalid as error:
            self._record_invalid(error)
            return None
        envelope = opened.envelope
        if isinstance(opened, Unverified):
            self._membership.tell(
                MembershipController.receive_unverified, envelope, opened.newest_known
            )
            return None
        if not isinstance(envelope.body, Fetch):
            return None
        answer = self._answer(envelope.body)
        return self._session.seal(envelope.sender, envelope.incarnation, answer)

    def _answer(self, fetch: Fetch) -> Answer:
        if fetch.kind is FetchKind.MEMBERS:
            members = tuple(self.snapshot.members_by_id.values())
            return Answer(fetch.nonce, members=members)
        return self._shared.answer(fetch.nonce)

    def _fetch_random_list(self) -> None:
        others = [
            member
            for member in self.snapshot.serving_by_id.values()
            if member.daemon_id != self._daemon_id
        ]
        if others:
            self._fetch_list_of(self._rng.choice(others))

    def _fetch_list_of(self, member: Member) -> None:
        self._fetcher.start(member, FetchKind.MEMBERS, self._merge_members)

    def _merge_members(self, answer: Answer) -> None:
        self._membership.tell(MembershipController.merge_members, answer.members)

    def _fetch_configuration(
        self, member: Member, configuration_id: ConfigurationId
    ) -> None:
        on_newer = partial(call_all, self._configuration_callbacks)
        self._fetcher.start(
            member,
            FetchKind.CONFIGURATION,
            lambda answer: self._shared.accept(configuration_id, answer, on_newer),
        )

"""What daemons tell one another: who lives, and what each has at endpoints.

Everything here runs on the event loop.
"""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from cranberrywick.gateway.endpoint_reading import EndpointReading
from cranberrywick.gateway.fleet_link import FleetLink
from cranberrywick.gateway.heartbeat_rows import PassedOn, RelayNews
from cranberrywick.gateway.messages import Envelope, Message, Scope, Wanted
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.members import Heartbeat, Members, heartbeat_seconds
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.pace import EnginePaces
from cranberrywick.routing.relays import (
    FLUSH_SECONDS,
    JOB_NEWS_SECONDS,
    KEEPALIVE_SECONDS,
    Relays,
    needs_relays,
    news_seconds,
)

__all__ = ["FleetNews", "NewsListener", "Standing"]

# How often silence is looked for; a tenth of the shortest time that it takes.
LOOK_SECONDS = 0.2
# That one writes or has ended is told later, the more so the more daemons hear it:
# a place that is thought taken for a moment longer costs less than a datagram to each.
# With relays it costs one datagram, and waits no longer than the relay collects.
ENDED_NEWS_SECONDS_PER_MEMBER = 0.004
# Heartbeats in one datagram; a link divides it where they are too long for one.
MOST_IN_BATCH = 100


class Standing(NamedTuple):
    """What a daemon tells of its own knowledge; see `Heartbeat`."""

    leaving: bool
    operator_revision: int
    operator_digest: int
    operator_age: float


class NewsListener(Protocol):
    """Who is told of what peers say."""

    def standing(self, now: float) -> Standing:
        """Return what this daemon tells of itself."""

    def heartbeat_heard(self, heartbeat: Heartbeat, heard_at: float) -> None:
        """Take a heartbeat that is news; its jobs are counted already."""

    def endpoints_heard(self, reading: EndpointReading) -> None:
        """Take a reading of the endpoints."""

    def newcomer_met(self, peer_address: str) -> None:
        """Tell a daemon that has just started what it needs to serve."""

    def answer(self, wanted: Wanted) -> Message | None:
        """Return what a peer that asks is told; None while nothing is known."""


class FleetNews:
    """Hears and tells; keeps the members, the load and the paces of the fleet."""

    def __init__(
        self, settings: GatewaySettings, listener: NewsListener, log: EventLog
    ):
        self._settings = settings
        self._listener = listener
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._incarnation = int(time.time() * 1000)
        self._sequence = 0
        self._port = settings.internal_ports[0]
        self.peer_address = f"{settings.ip}:{self._port}"
        self.link = FleetLink(self._hear, listener.answer, log)
        contact = settings.bounds.contact_seconds
        self.members = Members(settings.daemon_id, contact)
        self.load = FleetLoad()
        self.paces = EnginePaces()
        self._relays = Relays(settings.daemon_id, settings.failure_domain)
        self._known_addresses: dict[str, str] = {}
        # Peers heard for the first time, of which no line tells yet.
        self._met_ids: list[str] = []
        self._next_heartbeat: asyncio.TimerHandle | None = None
        self._flush: asyncio.TimerHandle | None = None
        # What waits to be passed on, by the daemon that it is of.
        self._for_domain: dict[str, PassedOn] = {}
        self._for_others: dict[str, PassedOn] = {}

    async def start(self, ticker: Ticker) -> None:
        """Begin to listen and to tell."""
        await self.link.start(self._settings.ip, self._port)
        self.send_heartbeat()
        ticker.every(LOOK_SECONDS, self._look)
        ticker.every(KEEPALIVE_SECONDS, self._keep_alive)

    def know(self, addresses_by_id: dict[str, str]) -> None:
        """Take the daemons that are registered in the store."""
        if addresses_by_id != self._known_addresses:
            self._known_addresses = addresses_by_id
            self.send_heartbeat()

    @property
    def has_heard_all(self) -> bool:
        """Whether all daemons that are registered have been heard."""
        return bool(self._known_addresses) and not self._strangers()

    def job_added(self) -> None:
        """Tell the others at once what this daemon now has at endpoints."""
        self._tell_within(JOB_NEWS_SECONDS)

    def pace_changed(self) -> None:
        """Tell the others soon that an engine is found to be slow, or fast again."""
        self._tell_within(JOB_NEWS_SECONDS)

    def job_ended(self) -> None:
        """Tell the others some time soon."""
        members = self._known_members
        wait = members * ENDED_NEWS_SECONDS_PER_MEMBER
        self._tell_within(FLUSH_SECONDS if needs_relays(members) else wait)

    def send_heartbeat(self) -> None:
        """Tell the others what this daemon is and knows."""
        now = self._loop.time()
        if self._next_heartbeat is not None:
            self._next_heartbeat.cancel()
        pause = heartbeat_seconds(self._known_members) * self._rng.uniform(0.9, 1.1)
        self._next_heartbeat = self._loop.call_later(pause, self.send_heartbeat)
        self._sequence += 1
        heartbeat = self._heartbeat(now)
        if not needs_relays(self._known_members):
            self.link.send(heartbeat, self._peers(), self._direct_scope)
            return
        self.link.send(heartbeat, self._strangers())
        relay = self._own_relay(now)
        if relay is None:
            self._pass_on(PassedOn(now, heartbeat), Scope.FLEET)
            if heartbeat.leaving:
                self._flush_now()
        else:
            self.link.send(heartbeat, [relay.peer_address], Scope.FLEET)

    def tell_all(self, message: Message) -> None:
        """Send a message to every daemon, in a large fleet through the relays."""
        if not needs_relays(self._known_members):
            self.link.send(message, self._peers())
            return
        self.link.send(message, [*self._domain_peers(), *self._strangers()])
        self.link.send(message, self._other_relays(), Scope.DOMAIN)

    def informed_peer(self) -> str | None:
        """Return the address of a peer to be asked for what was missed here.

        That is the own domain's relay, which others' news come through, or else the
        relay of another domain; with no relays any peer.
        """
        now = self._loop.time()
        relay = None
        others = [beat.peer_address for beat in self.members.alive(now)]
        if needs_relays(self._known_members):
            relay = self._own_relay(now)
            others = self._other_relays()
        if relay is not None:
            return relay.peer_address
        return self._rng.choice(others) if others else None

    @property
    def delay_seconds(self) -> float:
        """How old others' jobs are when they are heard of."""
        return news_seconds(self._known_members)

    @property
    def _known_members(self) -> int:
        return 1 + len(self.members.members_by_id)

    def _heartbeat(self, now: float) -> Heartbeat:
        standing = self._listener.standing(now)
        return Heartbeat(
            daemon_id=self._settings.daemon_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            peer_address=self.peer_address,
            entry_address=self._settings.entry_address,
            failure_domain=self._settings.failure_domain,
            leaving=standing.leaving,
            operator_revision=standing.operator_revision,
            operator_digest=standing.operator_digest,
            operator_age=standing.operator_age,
            jobs=self.load.own,
            slow_engines=self.paces.own(now),
        )

    def _tell_within(self, seconds: float) -> None:
        at = self._loop.time() + seconds
        due = self._next_heartbeat
        if due is None or due.when() > at:
            if due is not None:
                due.cancel()
            self._next_heartbeat = self._loop.call_at(at, self.send_heartbeat)

    @property
    def _direct_scope(self) -> Scope:
        """Whether those told directly pass it on.

        A daemon that starts while the store is away knows the few that its settings
        name and no more. In a large fleet none of them may be a relay: unless they
        pass it on, it stays unknown, is told nothing and refuses its callers.
        """
        knows_nobody = not self.members.members_by_id and not self._known_addresses
        return Scope.FLEET if knows_nobody else Scope.NOBODY

    # Whom to tell

    def _peers(self) -> set[str]:
        heard = self.members.members_by_id.values()
        return {m.heartbeat.peer_address for m in heard} | self._strangers()

    def _strangers(self) -> set[str]:
        """Return daemons that are registered but have not been heard."""
        members = self.members.members_by_id
        unheard = {a for i, a in self._known_addresses.items() if i not in members}
        if not members and not unheard:
            # Without the store, the start-up settings may still name some peers.
            for seed in self._settings.seeds:
                unheard.add(f"{seed.rpartition(':')[0]}:{self._port}")
        return unheard - {self.peer_address}

    def _domain_peers(self) -> list[str]:
        return [
            member.heartbeat.peer_address
            for member in self.members.members_by_id.values()
            if member.heartbeat.failure_domain == self._settings.failure_domain
        ]

    def _own_relay(self, now: float) -> Heartbeat | None:
        """Return the relay of this daemon's domain, None if that is itself."""
        domain = self._settings.failure_domain
        alive = [b for b in self.members.alive(now) if b.failure_domain == domain]
        beats_by_id = {b.daemon_id: b for b in alive if not b.leaving}
        if not self._listener.standing(now).leaving:
            beats_by_id[self._settings.daemon_id] = None
        chosen = self._relays.choose(domain, list(beats_by_id), now)
        return beats_by_id.get(chosen) if chosen is not None else None

    def _other_relays(self) -> list[str]:
        """Return the addresses of the other domains' relays."""
        now = self._loop.time()
        by_domain: dict[str, dict[str, Heartbeat]] = defaultdict(dict)
        for beat in self.members.alive(now):
            if beat.failure_domain != self._settings.failure_domain:
                by_domain[beat.failure_domain][beat.daemon_id] = beat
        addresses = []
        for domain, beats_by_id in by_domain.items():
            serving = [i for i, beat in beats_by_id.items() if not beat.leaving]
            chosen = self._relays.choose(domain, serving or list(beats_by_id), now)
            addresses.append(beats_by_id[chosen].peer_address)
        return addresses

    # Passing on

    def _pass_on(self, news: PassedOn, scope: Scope) -> None:
        """Collect a heartbeat for all whom it has not reached."""
        daemon_id = news.heartbeat.daemon_id
        if scope is not Scope.NOBODY:
            self._for_domain[daemon_id] = news
        if scope is Scope.FLEET:
            self._for_others[daemon_id] = news
        if scope is not Scope.NOBODY and self._flush is None:
            self._flush = self._loop.call_later(FLUSH_SECONDS, self._flush_now)

    def _flush_now(self) -> None:
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
        domain, others = self._for_domain, self._for_others
        self._for_domain, self._for_others = {}, {}
        self._send_batches(domain, self._domain_peers(), Scope.NOBODY)
        if others:
            self._send_batches(others, self._other_relays(), Scope.DOMAIN)

    def _send_batches(
        self, news_by_id: dict[str, PassedOn], addresses: Iterable[str], scope: Scope
    ) -> None:
        addresses = list(addresses)
        news = tuple(news_by_id.values())
        for start in range(0, max(1, len(news)), MOST_IN_BATCH):
            part = news[start : start + MOST_IN_BATCH]
            batch = RelayNews(
                self._settings.daemon_id, self._settings.failure_domain, part
            )
            self.link.send(batch, addresses, scope)

    def _keep_alive(self) -> None:
        """Say that this relay lives, where nothing else has said so lately."""
        now = self._loop.time()
        if needs_relays(self._known_members) and self._own_relay(now) is None:
            if self._flush is None:
                self._send_batches({}, self._domain_peers(), Scope.NOBODY)
                self._send_batches({}, self._other_relays(), Scope.DOMAIN)

    # Hearing

    def _hear(self, envelope: Envelope) -> None:
        self._take_message(envelope)
        # One line for all: a fleet that starts at once meets everybody in one moment.
        for listed in id_lists(self._met_ids):
            self._log.info("peer_met", peer=listed)
        self._met_ids.clear()

    def _take_message(self, envelope: Envelope) -> None:
        now = self._loop.time()
        message, scope = envelope
        if isinstance(message, Heartbeat):
            self._hear_directly(message, scope, now)
        elif isinstance(message, RelayNews):
            self._relays.heard(message.relay_id, message.relay_domain, now)
            for news in message.heartbeats:
                if self._take(news.heartbeat, news.heard_at):
                    self._pass_on(news, scope)
        elif isinstance(message, EndpointReading):
            if scope is Scope.DOMAIN:
                self.link.send(message, self._domain_peers())
            self._listener.endpoints_heard(message)

    def _hear_directly(self, heartbeat: Heartbeat, scope: Scope, now: float) -> None:
        known = self.members.members_by_id.get(heartbeat.daemon_id)
        # A restarted daemon knows nothing, though it has been known here for long.
        is_new = known is None or known.heartbeat.incarnation != heartbeat.incarnation
        if not self._take(heartbeat, now):
            return
        self._pass_on(PassedOn(now, heartbeat), scope)
        if is_new and self._greets(scope, now):
            # So that it knows us at once, and serves even if the store, which may
            # be away just now, has told it nothing yet.
            self.link.send(self._heartbeat(now), [heartbeat.peer_address])
            self._listener.newcomer_met(heartbeat.peer_address)

    def _greets(self, scope: Scope, now: float) -> bool:
        """Whether this daemon answers a newcomer: in a large fleet a few are enough."""
        if scope is Scope.FLEET or not needs_relays(self._known_members):
            return True
        return self._own_relay(now) is None

    def _take(self, heartbeat: Heartbeat, heard_at: float) -> bool:
        daemon_id = heartbeat.daemon_id
        is_unknown = daemon_id not in self.members.members_by_id
        if not self.members.hear(heartbeat, heard_at):
            return False
        if is_unknown:
            self._met_ids.append(daemon_id)
        self.load.hear(daemon_id, heartbeat.jobs, heard_at)
        self.paces.hear(heartbeat.slow_engines, heard_at)
        self._listener.heartbeat_heard(heartbeat, heard_at)
        return True

    def _look(self) -> None:
        now = self._loop.time()
        for daemon_id in self.members.look(now):
            self._log.warning("peer_silent", peer=daemon_id)
        if self.members.was_paused:
            self._relays.excuse(now)
        self.load.forget_silent(now)

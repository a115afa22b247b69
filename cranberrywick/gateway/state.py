"""What one daemon knows of the fleet, kept fresh.

Everything here runs on the event loop. The store is called through `StoreReader`
actors, peers through `FleetLink`.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from functools import partial

from cranberrywick.errors import InvalidConfiguration
from cranberrywick.external.key_value import LeaseLapsed
from cranberrywick.gateway.fleet_link import FleetLink
from cranberrywick.gateway.messages import EndpointReading, Message, OperatorReading
from cranberrywick.gateway.store_calls import StoreCalls
from cranberrywick.gateway.store_reader import Store
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.members import Heartbeat, Members, heartbeat_seconds
from cranberrywick.routing.model import (
    EndpointView,
    GatewayConfiguration,
    GatewaySettings,
    OperatorView,
)
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.table import RouteTable

__all__ = ["FleetState"]

# How often it is looked whether knowledge has got old; a tenth of the shortest limit.
LOOK_SECONDS = 0.05
# A new job is told to the others after this: several of one moment make one datagram.
NEWS_SECONDS = 0.01
# That one writes or has ended is told later, the more so the more daemons hear it:
# a place that is thought taken for a moment longer costs less than a datagram to each.
ENDED_NEWS_SECONDS_PER_MEMBER = 0.004
# Peers that missed the last whole reading of the endpoints get another so often.
WHOLE_READING_SECONDS = 1.0
# A daemon that died is off the members' list after this; heartbeats tell sooner.
LEASE_SECONDS = 15.0
RENEW_SECONDS = 5.0
# Until the others are known, their list is read this often, and then rarely: a
# daemon that joins makes itself known by its own heartbeats.
MEMBERS_SECONDS = 10.0
MEMBERS_AT_START = (0.3, 1.0, 2.0, 4.0)


class FleetState:
    """The daemon's knowledge: configuration, endpoints, members, load.

    ``decode`` turns the operators' document into a configuration. ``changed`` is
    called after any change that may let waiting requests go on.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        store: Store,
        decode: Callable[[bytes], GatewayConfiguration],
        ticker: Ticker,
        log: EventLog,
    ):
        self._settings = settings
        self._store = store
        self._decode = decode
        self._ticker = ticker
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._incarnation = int(time.time() * 1000)
        self._sequence = 0
        self._port = settings.internal_ports[0]
        self.peer_address = f"{settings.ip}:{self._port}"
        self.link = FleetLink(self._hear, self._operator_reading, log)
        self.registry = EndpointRegistry()
        self.members = Members(settings.daemon_id)
        self.load = FleetLoad()
        self.operator: OperatorView | None = None
        self._endpoint_view: EndpointView | None = None
        self._endpoint_digest = 0
        self._told_digest = 0
        self._told_whole_at = float("-inf")
        self.table: RouteTable | None = None
        self.leaving = False
        self.changed: Callable[[], None] = lambda: None
        self._operator_at = float("-inf")
        self._unusable_digest: int | None = None
        self._known_addresses: dict[str, str] = {}
        self._lease: int | None = None
        self._news: asyncio.TimerHandle | None = None
        self._fetching = False
        self._calls = StoreCalls(
            settings.bounds.drain_seconds,
            lambda: self.members.count(self._loop.time()),
            log,
            self._rng,
        )

    async def start(self) -> None:
        """Begin to listen, read and tell."""
        await self.link.start(self._settings.ip, self._port)
        self._look()
        self._register()
        self.send_heartbeat()
        for seconds in MEMBERS_AT_START:
            self._loop.call_later(seconds, self._read_members)
        every = self._ticker.every
        every(LOOK_SECONDS, self._look)
        every(RENEW_SECONDS, self._register, jitter=0.1)
        every(MEMBERS_SECONDS, self._read_members, jitter=0.2)

    def leave(self) -> None:
        """Tell the others that this daemon takes no new callers."""
        self.leaving = True
        self.send_heartbeat()
        if self._lease is not None:
            self._calls.make("operator", partial(self._store.end, self._lease), _ignore)

    @property
    def domains_out(self) -> frozenset[str]:
        """The failure domains that get no new work."""
        return self.operator.domains_out if self.operator else frozenset()

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return (
            self.table is not None
            and bool(self.registry.beliefs_by_id)
            and not self.leaving
        )

    @property
    def store_is_away(self) -> bool:
        """Whether the last call of the store got no answer."""
        return self._calls.store_is_away

    def operator_age(self, now: float) -> float:
        """Return how many seconds ago the operators' view was the newest."""
        return now - self._operator_at

    def job_added(self) -> None:
        """Tell the others at once what this daemon now has at endpoints."""
        self._tell_within(NEWS_SECONDS)

    def job_ended(self) -> None:
        """Tell the others some time soon."""
        members = 1 + len(self.members.members_by_id)
        self._tell_within(members * ENDED_NEWS_SECONDS_PER_MEMBER)

    def _tell_within(self, seconds: float) -> None:
        at = self._loop.time() + seconds
        if self._news is None or self._news.when() > at:
            if self._news is not None:
                self._news.cancel()
            self._news = self._loop.call_at(at, self.send_heartbeat)

    def send_heartbeat(self) -> None:
        """Tell the others what this daemon is and knows."""
        now = self._loop.time()
        if self._news is not None:
            self._news.cancel()
        members = 1 + len(self.members.members_by_id)
        pause = heartbeat_seconds(members) * self._rng.uniform(0.9, 1.1)
        self._news = self._loop.call_later(pause, self.send_heartbeat)
        self._sequence += 1
        operator = self.operator
        beat = Heartbeat(
            daemon_id=self._settings.daemon_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            peer_address=self.peer_address,
            entry_address=self._settings.entry_address,
            failure_domain=self._settings.failure_domain,
            leaving=not self.ready,
            operator_revision=operator.revision if operator else 0,
            operator_digest=operator.digest if operator else 0,
            operator_age=self.operator_age(now),
            jobs=self.load.own,
        )
        self.link.send(beat, self._peer_addresses())

    def _peer_addresses(self) -> set[str]:
        addresses = {
            member.heartbeat.peer_address
            for member in self.members.members_by_id.values()
        }
        heard = self.members.members_by_id.keys()
        addresses.update(a for i, a in self._known_addresses.items() if i not in heard)
        if not addresses:
            # Without the store, the start-up settings may still name some peers.
            for seed in self._settings.seeds:
                addresses.add(f"{seed.rpartition(':')[0]}:{self._port}")
        addresses.discard(self.peer_address)
        return addresses

    def _hear(self, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self._hear_heartbeat(message)
        elif isinstance(message, EndpointReading):
            self._hear_endpoints(message)

    def _hear_heartbeat(self, beat: Heartbeat) -> None:
        now = self._loop.time()
        known = self.members.members_by_id.get(beat.daemon_id)
        # A restarted daemon knows nothing, though it has been known here for long.
        is_new = known is None or known.heartbeat.incarnation != beat.incarnation
        if not self.members.hear(beat, now):
            return
        if is_new:
            self._log.info("peer_met", peer=beat.daemon_id, address=beat.entry_address)
            # So that it knows us at once, and serves even if the store, which may
            # be away just now, has told it nothing yet.
            self.send_heartbeat()
            self._tell_endpoints({beat.peer_address})
        self.load.hear(beat.daemon_id, beat.jobs, now)
        self._compare_operator(beat, now)
        self.changed()

    def _hear_endpoints(self, reading: EndpointReading) -> None:
        read_at = self._loop.time() - reading.age
        if reading.view is not None:
            self._take_endpoints(reading.view, read_at)
        elif reading.digest == self._endpoint_digest:
            view = self._endpoint_view._replace(revision=reading.revision)
            self._take_endpoints(view, read_at)

    def _compare_operator(self, beat: Heartbeat, now: float) -> None:
        own = self.operator
        if own is not None and beat.operator_digest == own.digest:
            self._operator_at = max(self._operator_at, now - beat.operator_age)
            if beat.operator_revision > own.revision:
                self.operator = own._replace(revision=beat.operator_revision)
        elif beat.operator_revision > (own.revision if own else 0):
            if not self._fetching:
                self._fetching = True
                self._loop.create_task(self._fetch_operator(beat))

    async def _fetch_operator(self, beat: Heartbeat) -> None:
        try:
            reading = await self.link.fetch_operator(beat.peer_address)
        finally:
            self._fetching = False
        if reading is not None:
            read_at = self._loop.time() - reading.age
            self._take_operator(reading.view, read_at, beat.daemon_id)

    def _operator_reading(self) -> OperatorReading | None:
        if self.operator is None:
            return None
        return OperatorReading(self.operator, self.operator_age(self._loop.time()))

    def _look(self) -> None:
        now = self._loop.time()
        for daemon_id in self.members.look(now):
            self._log.warning("peer_silent", peer=daemon_id)
        self.load.forget_silent(now)
        rank = self.members.rank(now)
        policies = self._calls.policies
        if policies["endpoints"].is_due(self.registry.age(now), rank, now):
            self._calls.make(
                "endpoints", self._store.read_endpoints, self._endpoints_read
            )
        if policies["operator"].is_due(self.operator_age(now), rank, now):
            self._calls.make("operator", self._store.read_operator, self._operator_read)

    def _endpoints_read(self, view: EndpointView, read_at: float) -> None:
        self._take_endpoints(view, read_at)
        now = self._loop.time()
        is_new = self._endpoint_digest != self._told_digest
        if is_new or now - self._told_whole_at > WHOLE_READING_SECONDS:
            self._told_digest, self._told_whole_at = self._endpoint_digest, now
            self._tell_endpoints(self._peer_addresses())
        else:
            self._tell_endpoints(self._peer_addresses(), same=True)

    def _tell_endpoints(self, addresses: Iterable[str], same: bool = False) -> None:
        view = self._endpoint_view
        if view is None:
            return
        age = self.registry.age(self._loop.time())
        told = None if same else view
        digest = self._endpoint_digest
        self.link.send(EndpointReading(view.revision, age, digest, told), addresses)

    def _note_ready(self, was_ready: bool) -> None:
        """Tell the others at once whether callers may be sent here."""
        if self.ready != was_ready:
            self._log.info("ready_changed", ready=self.ready)
            self.send_heartbeat()

    def _take_endpoints(self, view: EndpointView, read_at: float) -> None:
        now = self._loop.time()
        was_ready = self.ready
        changes = self.registry.apply(view, read_at, now)
        if self.registry.read_at == read_at:
            self._endpoint_view = view
            self._endpoint_digest = view.digest
        for change in changes:
            self._log.info(
                "endpoint_changed",
                endpoint=change.endpoint_id,
                what=change.what,
                revision=view.revision,
                age=now - read_at,
            )
        self._note_ready(was_ready)
        if changes:
            self.changed()

    def _operator_read(self, view: OperatorView, read_at: float) -> None:
        before = self.operator.digest if self.operator else None
        self._take_operator(view, read_at, "store")
        if self.operator is not None and before != self.operator.digest:
            self.send_heartbeat()
        else:
            self.job_added()

    def _take_operator(self, view: OperatorView, read_at: float, source: str) -> None:
        own = self.operator
        if own is not None and view.revision < own.revision:
            return
        if own is not None and view.digest == own.digest:
            self.operator = view
            self._operator_at = max(self._operator_at, read_at)
            return
        was_ready = self.ready
        if view.document and not self._apply_document(view, source):
            return
        self._operator_at = max(self._operator_at, read_at)
        if own is None or own.domains_out != view.domains_out:
            self._log.info(
                "domains_out_changed",
                domains=",".join(sorted(view.domains_out)),
                revision=view.revision,
                source=source,
            )
        self.operator = view
        self._note_ready(was_ready)
        self.changed()

    def _apply_document(self, view: OperatorView, source: str) -> bool:
        if self.operator is not None and self.operator.document == view.document:
            return True
        try:
            configuration = self._decode(view.document)
        except InvalidConfiguration as error:
            if self._unusable_digest != view.digest:
                self._unusable_digest = view.digest
                self._log.error(
                    "configuration_unusable", revision=view.revision, error=error
                )
            return False
        version = self.table.configuration.version if self.table else 0
        if configuration.version < version:
            # Versions only grow; an older one can only be news that came late.
            return False
        self.table = RouteTable(configuration)
        self._log.info(
            "configuration_applied",
            version=configuration.version,
            before=version,
            revision=view.revision,
            source=source,
        )
        return True

    def _register(self) -> None:
        if not self.leaving:
            self._calls.make("operator", self._renew, self._registered)

    def _renew(self) -> int:
        """Renew the lease or take a new one; on the reader's thread."""
        if self._lease is not None:
            try:
                self._store.keep(self._lease)
                return self._lease
            except LeaseLapsed:
                pass  # As after an outage of the store: the key is gone with it.
        return self._store.register(
            self._settings.daemon_id, self.peer_address, LEASE_SECONDS
        )

    def _registered(self, lease: int, asked_at: float) -> None:
        if lease != self._lease:
            self._lease = lease
            self._log.info("registered", address=self.peer_address, lease=lease)

    def _read_members(self) -> None:
        self._calls.make("operator", self._store.read_members, self._take_members)

    def _take_members(self, addresses_by_id: dict[str, str], asked_at: float) -> None:
        addresses_by_id.pop(self._settings.daemon_id, None)
        if addresses_by_id != self._known_addresses:
            self._known_addresses = addresses_by_id
            self.send_heartbeat()


def _ignore(answer: object, asked_at: float) -> None:
    """Take an answer that says no more than that the call succeeded."""

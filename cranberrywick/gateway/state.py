"""What one daemon knows of the fleet, kept fresh.

Everything here runs on the event loop. The store is called through `StoreReader`
actors, peers through `PeerUpdates`.
"""

import asyncio
import random
from collections.abc import Callable
from math import inf

from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.endpoint_tracker import EndpointTracker, PeerSnapshotOutcome
from cranberrywick.gateway.messages import (
    EndpointSnapshotRequest,
    Message,
    OperatorSnapshot,
    OperatorSnapshotRequest,
    SnapshotRequest,
)
from cranberrywick.gateway.operator_tracker import OperatorTracker
from cranberrywick.gateway.peer_fetches import PeerFetches
from cranberrywick.gateway.peer_updates import DaemonStatus, PeerUpdates
from cranberrywick.gateway.registration import Registration
from cranberrywick.gateway.store_calls import StoreCalls
from cranberrywick.gateway.store_reader import Store
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog
from cranberrywick.routing.endpoint_index import EndpointPool
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.members import Heartbeat, Members
from cranberrywick.routing.model import (
    EndpointView,
    GatewayConfiguration,
    GatewaySettings,
    OperatorView,
)
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.table import RouteTable
from cranberrywick.routing.usable import (
    Restrictions,
    is_usable,
    last_resort,
    usable_until,
)

__all__ = ["FleetState"]

# How often it is looked whether knowledge has got old, at the most; a call that is
# under way is due until it is answered.
LEAST_LOOK_SECONDS = 0.05
# A daemon that starts reads the store at once. The largest configuration takes most of
# this on a narrow link; requests that come meanwhile are held.
STARTING_SECONDS = 1.0
# At the least: the rank of a daemon falls when others die, and it reads earlier then.
LONGEST_LOOK_SECONDS = 0.3
# All endpoints are fetched from a peer at most so often, the less the more there are:
# while thousands register, a peer is behind as well when its answer comes.
FETCH_AGAIN_SECONDS = 0.5
FETCH_AGAIN_SECONDS_PER_ENDPOINT = 0.0005


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
        self._ticker = ticker
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._operator = OperatorTracker(decode, log)
        self._endpoints = EndpointTracker(log)
        self.peer_updates = PeerUpdates(settings, self, log)
        self.leaving = False
        self._was_ready = asyncio.Event()
        self._starts_until = float("inf")
        self.changed: Callable[[], None] = lambda: None
        self._fetches = PeerFetches(lambda: self.peer_updates.link, log)
        self._fetch_not_before = float("-inf")
        self._rng = random.Random()
        self._calls = StoreCalls(
            settings.bounds.drain_seconds,
            lambda: self.members.count(self._loop.time()),
            log,
            self._rng,
        )
        self._registration = Registration(
            settings.daemon_id, store, self._calls, self.peer_updates, self._rng
        )

    async def start(self) -> None:
        """Begin to listen, read and tell."""
        self._starts_until = self._loop.time() + STARTING_SECONDS
        await self.peer_updates.start(self._ticker)
        self._look()
        self._registration.start(self._ticker)
        self._ticker.when_due(self._look, self._look_pause)

    async def wait_for_start(self, deadline: float) -> None:
        """Wait until requests could be served for the first time.

        No longer than a start may take and a deadline allows: what is not known by
        then may not be known for long.
        """
        if self._was_ready.is_set():
            return
        try:
            async with asyncio.timeout_at(min(deadline, self._starts_until)):
                await self._was_ready.wait()
        except TimeoutError:
            return  # The request is refused for what is not known yet.

    def leave(self) -> None:
        """Tell the others that this daemon takes no new callers."""
        self.leaving = True
        self.peer_updates.send_heartbeat()
        self._registration.end()

    @property
    def members(self) -> Members:
        """The other daemons."""
        return self.peer_updates.members

    @property
    def load(self) -> FleetLoad:
        """What the fleet has at each endpoint."""
        return self.peer_updates.load

    @property
    def registry(self) -> EndpointRegistry:
        """The endpoints that may be used."""
        return self._endpoints.registry

    @property
    def table(self) -> RouteTable | None:
        """The routes of the configuration in force; None before the first."""
        return self._operator.table

    @property
    def domains_out(self) -> frozenset[str]:
        """The failure domains that get no new work."""
        return self._operator.domains_out

    @property
    def restrictions(self) -> Restrictions:
        """What keeps endpoints from new work."""
        bounds = self._settings.bounds
        return Restrictions(
            self._operator.out_since_by_domain,
            bounds.drain_seconds,
            bounds.evacuate_seconds,
        )

    def last_resort(self, service: str) -> EndpointPool:
        """Return what a service may use while it has no other endpoint."""
        return last_resort(
            self.registry.index, service, self.restrictions, self._loop.time()
        )

    def may_send(self, endpoint_id: str, as_last_resort: bool) -> bool:
        """Whether an endpoint may be sent to in this very moment."""
        tracked = self.registry.tracked_by_id.get(endpoint_id)
        if tracked is None:
            return False
        if not as_last_resort:
            return is_usable(tracked, self.domains_out)
        return self._loop.time() < usable_until(tracked, self.restrictions)

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return (
            self.table is not None
            and bool(self.registry.tracked_by_id)
            and not self.leaving
        )

    @property
    def store_is_away(self) -> bool:
        """Whether the last call of the store got no answer."""
        return self._calls.store_is_away

    def operator_age(self, now: float) -> float:
        """Return how many seconds ago the operators' view was the newest."""
        return self._operator.age(now)

    # What PeerUpdates asks and tells

    def daemon_status(self, now: float) -> DaemonStatus:
        """Return what this daemon tells of itself."""
        return DaemonStatus(
            leaving=not self.ready,
            operator_revision=self._operator.revision,
            operator_digest=self._operator.digest,
            operator_age=self._operator.age(now),
        )

    def heartbeat_received(self, heartbeat: Heartbeat, received_at: float) -> None:
        """Compare the operators' view of a peer with this daemon's."""
        newest_at = received_at - heartbeat.operator_age
        is_newer = self._operator.compare(
            heartbeat.operator_revision, heartbeat.operator_digest, newest_at
        )
        if is_newer:
            self._fetch_operator(heartbeat.operator_revision)
        self.changed()

    def endpoints_received(self, snapshot: EndpointSnapshot) -> None:
        """Take a peer's reading of the endpoints."""
        was_ready = self.ready
        outcome = self._endpoints.apply_peer_snapshot(snapshot, self._loop.time())
        if outcome is not PeerSnapshotOutcome.OLD:
            self._calls.policies["endpoints"].arrived(snapshot.age)
        if outcome is PeerSnapshotOutcome.CHANGED:
            self._note_change(was_ready)
        elif outcome is PeerSnapshotOutcome.MISSED:
            self._fetch_endpoints_unless_read()

    def peer_joined(self, peer_address: str) -> None:
        """Tell a daemon that has just started the endpoints."""
        snapshot = self._endpoints.initial_snapshot(self._loop.time())
        if snapshot is not None:
            self.peer_updates.link.send(snapshot, [peer_address])

    def answer(self, request: SnapshotRequest) -> Message | None:
        """Return what a peer that asks is told; None while nothing is known."""
        if isinstance(request, EndpointSnapshotRequest):
            return self._endpoints.full_snapshot(self._loop.time())
        view = self._operator.view
        if view is None:
            return None
        return OperatorSnapshot(view, self._operator.age(self._loop.time()))

    def declared_rate(self, endpoint_id: str) -> float:
        """Return how many requests a second a cold endpoint takes; else infinity."""
        tracked = self.registry.tracked_by_id.get(endpoint_id)
        table = self.table
        if tracked is None or table is None or self._loop.time() >= tracked.cold_until:
            return inf
        service = table.configuration.services_by_name.get(tracked.record.service)
        return service.cold_rate if service and service.cold_rate > 0 else inf

    def _fetch_operator(self, revision: int) -> None:
        def informed() -> list[str]:
            return self.peer_updates.informed(
                lambda beat: beat.operator_revision >= revision
            )

        def take(snapshot: Message, source: str, asked_at: float) -> None:
            if isinstance(snapshot, OperatorSnapshot):
                self._take_operator(snapshot.view, asked_at - snapshot.age, source)

        self._fetches.begin(OperatorSnapshotRequest(), informed, take)

    def _fetch_endpoints_unless_read(self) -> None:
        """Fetch all endpoints, but not again and again and not beside a reading.

        Of thousands of endpoints some change with every reading; a daemon that lags
        behind would do little else.
        """
        now = self._loop.time()
        if now < self._fetch_not_before or self._calls.is_under_way(
            "endpoints", self._store.read_endpoints
        ):
            return
        known = len(self.registry.tracked_by_id)
        pause = max(FETCH_AGAIN_SECONDS, known * FETCH_AGAIN_SECONDS_PER_ENDPOINT)
        self._fetch_not_before = now + pause
        self._fetch_endpoints()

    def _fetch_endpoints(self) -> None:
        """Ask a peer for all endpoints, after news of a change was missed."""

        def informed() -> list[str]:
            return self.peer_updates.informed(lambda beat: not beat.leaving)

        def take(snapshot: Message, source: str, asked_at: float) -> None:
            if isinstance(snapshot, EndpointSnapshot):
                age = snapshot.age + self._loop.time() - asked_at
                self.endpoints_received(snapshot._replace(age=age))

        self._fetches.begin(EndpointSnapshotRequest(), informed, take)

    # Calls of the store

    def _look(self) -> None:
        now = self._loop.time()
        if self._is_due("endpoints", self.registry.age(now), now):
            self._calls.make(
                "endpoints", self._store.read_endpoints, self._endpoints_read
            )
        if self._is_due("operator", self.operator_age(now), now):
            self._calls.make("operator", self._store.read_operator, self._operator_read)

    def _is_due(self, reader: str, age: float, now: float) -> bool:
        policy = self._calls.policies[reader]
        # The first in rank reads earliest, so the rank matters only after that.
        if not policy.is_due(age, 0, now):
            return False
        return policy.is_due(age, self.members.rank(now), now)

    def _look_pause(self) -> float:
        """Return after how many seconds knowledge may have got old."""
        now = self._loop.time()
        rank = self.members.rank(now)
        policies = self._calls.policies
        due_in = min(
            policies["endpoints"].due_in(self.registry.age(now), rank, now),
            policies["operator"].due_in(self.operator_age(now), rank, now),
        )
        return min(max(LEAST_LOOK_SECONDS, due_in), LONGEST_LOOK_SECONDS)

    def _endpoints_read(self, view: EndpointView, read_at: float) -> None:
        now = self._loop.time()
        was_ready = self.ready
        taken = self._endpoints.apply_store_snapshot(view, read_at, now)
        if taken.changed:
            self._note_change(was_ready)
        if taken.snapshot is not None:
            self.peer_updates.broadcast(taken.snapshot)

    def _operator_read(self, view: OperatorView, read_at: float) -> None:
        if not self._take_operator(view, read_at, "store"):
            # So that the others know how fresh theirs is.
            self.peer_updates.job_added()

    def _take_operator(self, view: OperatorView, read_at: float, source: str) -> bool:
        was_ready = self.ready
        if not self._operator.apply(view, read_at, source):
            return False
        # Whoever has not got it yet may ask this daemon from now on.
        self.peer_updates.send_heartbeat()
        self._note_change(was_ready)
        return True

    def _note_change(self, was_ready: bool) -> None:
        """Let requests go on, and tell at once whether callers may be sent here."""
        if self.ready:
            self._was_ready.set()
        if self.ready != was_ready:
            self._log.info("ready_changed", ready=self.ready)
            self.peer_updates.send_heartbeat()
        self.changed()

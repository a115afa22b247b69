"""The state of the fleet as one daemon knows it, and how it is kept up to date.

Everything here runs on the event loop. `StoreReader` actors call the store, and
`PeerUpdates` exchanges messages with the other daemons.
"""

import asyncio
import random
from collections.abc import Callable, Set
from math import inf

from cranberrywick.gateway.endpoint_reach import EndpointReach
from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.endpoint_tracker import EndpointTracker, PeerSnapshotOutcome
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.messages import (
    EndpointSnapshotRequest,
    Message,
    OperatorSnapshot,
    SnapshotRequest,
)
from cranberrywick.gateway.operator_tracker import OperatorTracker
from cranberrywick.gateway.peer_update_listener import DaemonStatus
from cranberrywick.gateway.peer_updates import PeerUpdates
from cranberrywick.gateway.quarantine_records import QuarantineRecords
from cranberrywick.gateway.registration import Registration
from cranberrywick.gateway.snapshot_fetches import SnapshotFetches
from cranberrywick.gateway.store_calls import StoreCalls
from cranberrywick.gateway.store_history import StoreHistory
from cranberrywick.gateway.store_reader import Store
from cranberrywick.gateway.store_returns import StoreReturns
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.gateway.usable_endpoints import UsableEndpoints
from cranberrywick.logs import EventLog
from cranberrywick.routing.drain_notices import DrainNotice
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.members import Heartbeat, Members
from cranberrywick.routing.model import (
    EndpointView,
    GatewayConfiguration,
    GatewaySettings,
    OperatorView,
)
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.store_knowledge import StoreKnowledge
from cranberrywick.routing.table import RouteTable

__all__ = ["FleetState"]

# Shortest pause between two checks whether the store must be read again, in seconds. A
# reading stays due until its call is answered; without a minimum the checks would
# follow one another without a pause meanwhile.
MIN_CHECK_SECONDS = 0.05
# Longest time after the start during which requests are held until the daemon is
# ready, in seconds. A daemon that starts reads the store at once; on a narrow link the
# largest configuration takes most of this time.
STARTING_SECONDS = 1.0
# Longest pause between two checks whether the store must be read again, in seconds.
# When other daemons die, this daemon's rank falls and its readings are due earlier than
# computed at the last check.
MAX_CHECK_SECONDS = 0.3


class FleetState:
    """Keeps the configuration, the endpoints, the other daemons and their load.

    ``decode`` parses the operators' document into a configuration. ``changed`` is
    called after each change that may let waiting requests proceed.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        store: Store,
        decode: Callable[[bytes], GatewayConfiguration],
        ticker: Ticker,
        metrics: LazyMetrics,
        log: EventLog,
    ):
        self._settings = settings
        self._store = store
        self.ticker = ticker
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._history = StoreHistory(self._loop.time, metrics, log)
        self._operator = OperatorTracker(decode, log)
        self.peer_updates = PeerUpdates(settings, self, log)
        self._endpoints = EndpointTracker(log, self.peer_updates.drain_notices)
        self.usable_endpoints = UsableEndpoints(
            self._endpoints.registry, self._operator, settings.bounds, log
        )
        self.reach = EndpointReach(
            self._endpoints.registry,
            settings.forwarding_port,
            self.peer_updates.observation_changed,
            metrics,
            log,
        )
        self._returns = StoreReturns(
            self._history,
            self._operator,
            self._endpoints.registry,
            self.peer_updates.announce_draining,
            log,
        )
        self._returns.returned = self._store_returned
        self.leaving = False
        self._became_ready = asyncio.Event()
        self._start_deadline = float("inf")
        self.changed: Callable[[], None] = lambda: None
        self._fetches = SnapshotFetches(
            self.peer_updates,
            self._apply_operator_snapshot,
            self.endpoints_received,
            log,
        )
        self._rng = random.Random()
        self._calls = StoreCalls(
            settings.bounds.drain_seconds,
            lambda: self.members.count(self._loop.time()),
            log,
            self._rng,
        )
        self._registration = Registration(
            settings.daemon_id, store, self._calls, self.peer_updates, self._rng, log
        )
        self._quarantine_records = QuarantineRecords(
            store, self._calls, self.peer_updates.crashes, self.members, log
        )

    async def start(self) -> None:
        """Start to receive and send updates and to read the store."""
        self._start_deadline = self._loop.time() + STARTING_SECONDS
        await self.peer_updates.start(self.ticker)
        self._read_if_due()
        self._registration.start(self.ticker)
        self._quarantine_records.start()
        self.ticker.when_due(self._read_if_due, self._seconds_until_due)

    async def wait_for_start(self, deadline: float) -> None:
        """Wait until this daemon is ready to serve requests for the first time.

        Return at ``deadline`` or `STARTING_SECONDS` after the start at the latest: a
        daemon that is not ready by then may not become ready for long.
        """
        if self._became_ready.is_set():
            return
        try:
            async with asyncio.timeout_at(min(deadline, self._start_deadline)):
                await self._became_ready.wait()
        except TimeoutError:
            return  # The caller refuses the request because of the missing state.

    def end_start(self) -> None:
        """Let the requests go on that wait for this daemon's start: it ends."""
        self._became_ready.set()

    def leave(self) -> None:
        """Announce that this daemon accepts no new callers; end its registration."""
        self.leaving = True
        self.peer_updates.send_heartbeat()
        self._registration.end()

    @property
    def members(self) -> Members:
        """The other daemons."""
        return self.peer_updates.members

    @property
    def load(self) -> FleetLoad:
        """The jobs that the daemons of the fleet have at each endpoint."""
        return self.peer_updates.load

    def slots_in_use(self, service: str, now: float) -> int:
        """Return how many slots of a service the fleet uses; 0 if that is not known.

        It is not known while endpoints are backing off: the slots of those come back
        without a request that ends.
        """
        if self.usable_endpoints.backing_off(service):
            return 0
        endpoints = self.usable_endpoints.ready(service)
        return self.load.slots_in_use(service, endpoints, self._rng, now)

    @property
    def registry(self) -> EndpointRegistry:
        """The endpoints that are tracked."""
        return self._endpoints.registry

    @property
    def table(self) -> RouteTable | None:
        """The routes of the configuration in force; None before the first one."""
        return self._operator.table

    @property
    def domains_out(self) -> Set[str]:
        """The failure domains that operators have taken out."""
        return self._operator.domains_out

    @property
    def ready(self) -> bool:
        """Whether this daemon can serve requests."""
        return (
            self.table is not None
            and bool(self.registry.tracked_by_id)
            and not self.leaving
        )

    @property
    def store_is_unavailable(self) -> bool:
        """Whether the last call of some kind to the store got no usable answer."""
        return self._calls.store_is_unavailable

    def operator_age(self, now: float) -> float:
        """Return the seconds since the operators' view was known to be the newest."""
        return self._operator.age(now)

    # Methods that PeerUpdates calls

    def daemon_status(self, now: float) -> DaemonStatus:
        """Return the part of a heartbeat that describes this daemon's own state."""
        return DaemonStatus(
            leaving=not self.ready,
            operator_revision=self._operator.revision,
            operator_digest=self._operator.digest,
            operator_age=self._operator.age(now),
            store=self._returns.knowledge_sample(now),
            reach=self.reach.statement,
        )

    def store_knowledge(self, now: float) -> StoreKnowledge:
        """Return all that is known of the store, for a daemon that has just started."""
        return self._returns.knowledge(now)

    def heartbeat_received(self, heartbeat: Heartbeat, received_at: float) -> None:
        """Take over what a peer knows; fetch its operators' view if that is newer."""
        stated = heartbeat.store
        self._returns.receive(stated, heartbeat.daemon_id)
        newest_at = received_at - heartbeat.operator_age
        position, version = heartbeat.operator_position, stated.configuration_version
        is_newer = self._operator.compare(
            position, heartbeat.operator_digest, newest_at, version
        )
        if is_newer:
            self._fetches.fetch_operator(position, version)
        self.changed()

    def endpoints_received(self, snapshot: EndpointSnapshot) -> None:
        """Apply a peer's snapshot of the endpoints; fetch all after a missed update."""
        was_ready = self.ready
        self._returns.observe(snapshot.epoch, "peer")
        outcome = self._endpoints.apply_peer_snapshot(snapshot, self._loop.time())
        if outcome is not PeerSnapshotOutcome.OLD:
            self._calls.policies["endpoints"].arrived(snapshot.age)
        if outcome is PeerSnapshotOutcome.CHANGED:
            self._handle_change(was_ready)
        elif outcome is PeerSnapshotOutcome.MISSED:
            self._fetch_endpoints_unless_read()

    def peer_joined(self, peer_address: str) -> None:
        """Send the endpoints to a daemon that has just started."""
        snapshot = self._endpoints.initial_snapshot(self._loop.time())
        if snapshot is not None:
            self.peer_updates.link.send(snapshot, [peer_address])

    def answer(self, request: SnapshotRequest) -> Message | None:
        """Return the snapshot that a peer requests; None if there is none yet."""
        if isinstance(request, EndpointSnapshotRequest):
            return self._endpoints.full_snapshot(self._loop.time())
        view = self._operator.view
        if view is None:
            return None
        in_force = self._operator.document_in_force
        return OperatorSnapshot(
            view,
            self._operator.age(self._loop.time()),
            b"" if in_force == view.document else in_force,
        )

    def draining_announced(self, notice: DrainNotice) -> None:
        """Give an endpoint that is draining no new work from now on."""
        self.registry.apply_notice(notice)
        self.changed()

    def declared_rate(self, endpoint_id: str) -> float:
        """Return the declared limit of a cold endpoint in requests a second.

        Infinity for an endpoint that is not cold or whose service declares none.
        """
        tracked = self.registry.tracked_by_id.get(endpoint_id)
        table = self.table
        if tracked is None or table is None or self._loop.time() >= tracked.cold_until:
            return inf
        service = table.configuration.services_by_name.get(tracked.record.service)
        return service.cold_rate if service and service.cold_rate > 0 else inf

    def _store_returned(self, epoch: int) -> None:
        self.peer_updates.send_heartbeat()
        self._registration.store_returned(epoch)

    def _fetch_endpoints_unless_read(self) -> None:
        """Fetch all endpoints, unless they are just being read from the store."""
        read_endpoints = self._store.read_endpoints
        if not self._calls.is_under_way("endpoints", read_endpoints):
            self._fetches.fetch_endpoints(len(self.registry.tracked_by_id))

    # Calls to the store

    def _read_if_due(self) -> None:
        now = self._loop.time()
        if self._operator.expire(now):
            self.changed()
        if self._is_due("endpoints", self.registry.age(now), now):
            self._calls.make(
                "endpoints", self._store.read_endpoints, self._endpoints_read
            )
        if self._is_due("operator", self.operator_age(now), now):
            self._calls.make("operator", self._store.read_operator, self._operator_read)

    def _is_due(self, reader: str, age: float, now: float) -> bool:
        policy = self._calls.policies[reader]
        # A reading is due earliest for rank 0. The own rank takes longer to determine
        # and is needed only once that moment has passed.
        if not policy.is_due(age, 0, now):
            return False
        return policy.is_due(age, self.members.rank(now), now)

    def _seconds_until_due(self) -> float:
        """Return the seconds until a reading may be due, within the bounds above."""
        now = self._loop.time()
        rank = self.members.rank(now)
        policies = self._calls.policies
        due_in = min(
            policies["endpoints"].due_in(self.registry.age(now), rank, now),
            policies["operator"].due_in(self.operator_age(now), rank, now),
        )
        return min(max(MIN_CHECK_SECONDS, due_in), MAX_CHECK_SECONDS)

    def _endpoints_read(self, view: EndpointView, read_at: float) -> None:
        now = self._loop.time()
        was_ready = self.ready
        self._returns.observe(view.epoch, "store")
        known = self._endpoints.position
        if view.position < known:
            self._history.reading_ignored("endpoints", view.position, known)
        outcome = self._endpoints.apply_store_snapshot(view, read_at, now)
        if outcome.changed:
            self._handle_change(was_ready)
        if outcome.snapshot is not None:
            self.peer_updates.broadcast(outcome.snapshot)

    def _operator_read(self, view: OperatorView, read_at: float) -> None:
        self._returns.observe(view.epoch, "store")
        known = self._operator.position
        if view.position < known:
            self._history.reading_ignored("operator", view.position, known)
        if not self._apply_operator(view, read_at, "store"):
            # The next heartbeat shows the peers how recent their equal view is.
            self.peer_updates.job_added()

    def _apply_operator(self, view: OperatorView, read_at: float, source: str) -> bool:
        was_ready = self.ready
        if not self._operator.apply(view, read_at, source):
            return False
        self._operator_changed(was_ready)
        return True

    def _apply_operator_snapshot(
        self, snapshot: OperatorSnapshot, read_at: float, source: str
    ) -> None:
        view = snapshot.view
        document = snapshot.document_in_force or view.document
        self._returns.observe(view.epoch, source)
        self._apply_operator(view, read_at, source)
        was_ready = self.ready
        if document and self._operator.apply_in_force(document, view, source):
            self._operator_changed(was_ready)

    def _operator_changed(self, was_ready: bool) -> None:
        # The heartbeat shows peers that lack this view that they can fetch it here.
        self.peer_updates.send_heartbeat()
        self._handle_change(was_ready)

    def _handle_change(self, was_ready: bool) -> None:
        """Let waiting requests proceed; announce a change of readiness at once."""
        if self.ready:
            self._became_ready.set()
        if self.ready != was_ready:
            self._log.info("ready_changed", ready=self.ready)
            self.peer_updates.send_heartbeat()
        self.changed()

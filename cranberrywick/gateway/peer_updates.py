"""The updates between daemons: who is alive, and the jobs of each at endpoints.

Everything here runs on the event loop.
"""

import asyncio
import random
import time
from collections.abc import Callable
from math import inf

from cranberrywick.gateway.crash_updates import CrashUpdates
from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.fleet_link import FleetLink
from cranberrywick.gateway.heartbeat_rows import HeartbeatBatch, RelayedHeartbeat
from cranberrywick.gateway.messages import (
    Envelope,
    Message,
    PermitRequest,
    PermitResponse,
    Scope,
)
from cranberrywick.gateway.peer_update_listener import PeerUpdateListener
from cranberrywick.gateway.permits import EndpointPermits
from cranberrywick.gateway.recipients import Recipients
from cranberrywick.gateway.relaying import HeartbeatRelaying
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.drain_notices import DrainNotice, DrainNotices
from cranberrywick.routing.fleet_answers import FleetAnswers
from cranberrywick.routing.fleet_demand import FleetDemand, VmCapacity
from cranberrywick.routing.fleet_limits import FleetLimits
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.members import Heartbeat, Members, heartbeat_seconds
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.quarantine_trials import Turn
from cranberrywick.routing.relays import (
    FLUSH_SECONDS,
    JOB_UPDATE_SECONDS,
    KEEPALIVE_SECONDS,
    update_delay_seconds,
)
from cranberrywick.routing.slowdown import EndpointSlowdowns

__all__ = ["PeerUpdates"]

# Interval between two checks for silent daemons, in seconds; a tenth of the shortest
# time after which a daemon counts as silent.
SILENCE_CHECK_SECONDS = 0.2
# A daemon whose event loop is in time receives all that has come as often, in seconds.
IN_TIME_SECONDS = 1.5 * SILENCE_CHECK_SECONDS
# Longest delay of the update that a job is decoding or has ended, in seconds for each
# known daemon. In a larger fleet the update goes to more daemons, and a slot that
# counts as occupied for a moment longer costs less than a datagram to each of them.
# With relays the update costs one datagram and waits no longer than `FLUSH_SECONDS`.
ENDED_UPDATE_SECONDS_PER_MEMBER = 0.004


class PeerUpdates:
    """Exchanges updates with the other daemons.

    Keeps what the updates are merged into: the fleet's members, their load, the
    lengths of answers, and the endpoints' slowdowns, rate limits and notices.
    """

    def __init__(
        self, settings: GatewaySettings, listener: PeerUpdateListener, log: EventLog
    ):
        self._settings = settings
        self._listener = listener
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._incarnation = int(time.time() * 1000)
        self._sequence = 0
        port = settings.internal_ports[0]
        self.peer_address = f"{settings.ip}:{port}"
        self.link = FleetLink(self._receive, listener.answer, log)
        contact = settings.bounds.contact_seconds
        self.members = Members(settings.daemon_id, contact)
        self.load = FleetLoad()
        self.demand = FleetDemand()
        # Returns what the VM can bear; nothing is stated unless this is replaced.
        self.vm_capacity: Callable[[], VmCapacity] = VmCapacity
        self.slowdowns = EndpointSlowdowns()
        self.answers = FleetAnswers()
        self.drain_notices = DrainNotices()
        self.crashes = CrashUpdates(self.observation_changed, self._trial_turn, log)
        self.limits = FleetLimits(
            settings.daemon_id,
            self.members,
            self._is_leaving,
            listener.declared_rate,
        )
        self.permits = EndpointPermits(
            settings.daemon_id,
            self.limits,
            self._send_to_peers,
            log,
            lambda: self.link.receive_waiting(),
        )
        self._recipients = Recipients(
            settings, self.members, self._is_leaving, self._loop.time
        )
        self._relaying = HeartbeatRelaying(settings, self._recipients, self._send)
        # Ids of peers whose first heartbeat was received and is not logged yet.
        self._new_ids: list[str] = []
        self._next_heartbeat: asyncio.TimerHandle | None = None
        # When this daemon last had received all that its peers had sent.
        self._heard_all_at = inf

    async def start(self, ticker: Ticker) -> None:
        """Start to receive and to send updates."""
        await self.link.start(self._settings.ip, self._settings.internal_ports[0])
        self.send_heartbeat()
        ticker.every(SILENCE_CHECK_SECONDS, self._check_members)
        ticker.every(KEEPALIVE_SECONDS, self._relaying.keep_alive)

    def set_registered_addresses(self, addresses_by_id: dict[str, str]) -> None:
        """Record the daemons that are registered in the store."""
        if addresses_by_id != self._recipients.registered_addresses:
            self._recipients.registered_addresses = addresses_by_id
            self.send_heartbeat()

    @property
    def registered_addresses(self) -> dict[str, str]:
        """The addresses of the daemons that are registered in the store, by id."""
        return self._recipients.registered_addresses

    @property
    def has_received_all(self) -> bool:
        """Whether the registered daemons are known and all have sent a heartbeat."""
        recipients = self._recipients
        return bool(recipients.registered_addresses) and not recipients.unheard_peers()

    @property
    def most_members(self) -> int:
        """How many daemons may be alive, this one included."""
        return self._recipients.most_members

    def job_added(self) -> None:
        """Schedule a heartbeat within `JOB_UPDATE_SECONDS`, after a new job."""
        self._send_heartbeat_within(JOB_UPDATE_SECONDS)

    def observation_changed(self) -> None:
        """Schedule a heartbeat, as soon as for a new job, for what was observed.

        That is a changed slowdown, rate limit or number of requests that wait for a
        contended service, or a service that became unreachable or reachable.
        """
        self._send_heartbeat_within(JOB_UPDATE_SECONDS)

    def announce_draining(self, notice: DrainNotice) -> bool:
        """Record and send on an endpoint's notice; return whether it is the first."""
        now = self._loop.time()
        if not self.drain_notices.add(notice, is_own=True, now=now):
            return False
        self._listener.draining_announced(notice)
        self._send_heartbeat_within(JOB_UPDATE_SECONDS)
        return True

    def job_ended(self) -> None:
        """Schedule a heartbeat after a job has begun to decode or has ended.

        It may wait longer than after a new job; see `ENDED_UPDATE_SECONDS_PER_MEMBER`.
        """
        wait = self._recipients.known_members * ENDED_UPDATE_SECONDS_PER_MEMBER
        self._send_heartbeat_within(
            FLUSH_SECONDS if self._recipients.has_relays else wait
        )

    def send_heartbeat(self) -> None:
        """Send a heartbeat to all daemons, in a large fleet through the relays."""
        now = self._loop.time()
        self._schedule_heartbeat()
        self._sequence += 1
        demand = self.demand.statement(self.vm_capacity(), now)
        answers = self.answers.due_statement(now)
        heartbeat = self._heartbeat(now)._replace(demand=demand, answers=answers)
        recipients = self._recipients
        if not recipients.has_relays:
            self.link.send(heartbeat, recipients.peers(), recipients.direct_scope)
            return
        self.link.send(heartbeat, recipients.unheard_peers())
        relay = recipients.own_relay()
        if relay is not None:
            self.link.send(heartbeat, [relay.peer_address], Scope.FLEET)
            return
        self._relaying.forward(RelayedHeartbeat(now, heartbeat), Scope.FLEET)
        if heartbeat.leaving:
            self._relaying.flush()

    def _schedule_heartbeat(self) -> None:
        if self._next_heartbeat is not None:
            self._next_heartbeat.cancel()
        seconds = heartbeat_seconds(self._recipients.known_members)
        pause = seconds * self._rng.uniform(0.9, 1.1)
        self._next_heartbeat = self._loop.call_later(pause, self.send_heartbeat)

    def broadcast(self, message: Message) -> None:
        """Send a message to every daemon, in a large fleet through the relays."""
        recipients = self._recipients
        if not recipients.has_relays:
            self.link.send(message, recipients.peers())
            return
        near = [*recipients.domain_peers(), *recipients.unheard_peers()]
        self.link.send(message, near)
        self.link.send(message, recipients.other_relays(), Scope.DOMAIN)

    def informed_peers(self, is_informed: Callable[[Heartbeat], bool]) -> list[str]:
        """Return the addresses of peers to fetch a missed update from."""
        return self._recipients.informed_peers(is_informed)

    @property
    def delay_seconds(self) -> float:
        """The age of peers' new jobs when they are recorded here, in seconds."""
        return update_delay_seconds(self._recipients.known_members)

    def _trial_turn(self, now: float) -> Turn:
        return Turn(self.members.rank(now), 1 + len(self.members.serving(now)))

    def _is_leaving(self) -> bool:
        return self._listener.daemon_status(self._loop.time()).leaving

    def _send(self, message: Message, addresses: list[str], scope: Scope) -> None:
        self.link.send(message, addresses, scope)

    def _send_to_peers(self, message: Message, addresses: list[str]) -> None:
        self.link.send(message, addresses)

    def _heartbeat(self, now: float) -> Heartbeat:
        daemon_status = self._listener.daemon_status(now)
        return Heartbeat(
            daemon_id=self._settings.daemon_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            peer_address=self.peer_address,
            entry_address=self._settings.entry_address,
            failure_domain=self._settings.failure_domain,
            leaving=daemon_status.leaving,
            operator_revision=daemon_status.operator_revision,
            operator_digest=daemon_status.operator_digest,
            operator_age=daemon_status.operator_age,
            jobs=self.load.own,
            slow_engines=self.slowdowns.own(now),
            limits=self.limits.reports(now),
            drain_notices=self.drain_notices.recent(now),
            store=daemon_status.store,
            reach=daemon_status.reach,
            crashes=self.crashes.statement(),
        )

    def _send_heartbeat_within(self, seconds: float) -> None:
        at = self._loop.time() + seconds
        due = self._next_heartbeat
        if due is None or due.when() > at:
            if due is not None:
                due.cancel()
            self._next_heartbeat = self._loop.call_at(at, self.send_heartbeat)

    # Receiving

    def _receive(self, envelope: Envelope, source: str) -> None:
        self._handle_message(envelope, source)
        # Logged together: when a whole fleet starts, each daemon receives the first
        # heartbeats of all others within a moment.
        for listed in id_lists(self._new_ids):
            self._log.info("peer_met", peer=listed)
        self._new_ids.clear()

    def _handle_message(self, envelope: Envelope, source: str) -> None:
        now = self._loop.time()
        message, scope = envelope
        if isinstance(message, Heartbeat):
            self._receive_directly(message, scope, now)
        elif isinstance(message, HeartbeatBatch):
            self._recipients.relays.receive(message.relay_id, message.relay_domain, now)
            for relayed in message.heartbeats:
                if self._record_heartbeat(relayed.heartbeat, relayed.received_at):
                    self._relaying.forward(relayed, scope)
        elif isinstance(message, EndpointSnapshot):
            if scope is Scope.DOMAIN:
                self.link.send(message, self._recipients.domain_peers())
            age = message.age + self._waited(now)
            self._listener.endpoints_received(message._replace(age=age))
        elif isinstance(message, PermitRequest):
            self.permits.handle_request(message, source)
        elif isinstance(message, PermitResponse):
            self.permits.handle_response(message)

    def _waited(self, now: float) -> float:
        """Return how long a message may have waited for this daemon's event loop.

        It is 0 while all that comes is received as often as usual.
        """
        late = now - self._heard_all_at
        return late if late > IN_TIME_SECONDS else 0.0

    def _receive_directly(self, heartbeat: Heartbeat, scope: Scope, now: float) -> None:
        known = self.members.members_by_id.get(heartbeat.daemon_id)
        # A restarted daemon has lost its state, though its id is known here.
        is_new = known is None or known.heartbeat.incarnation != heartbeat.incarnation
        if not self._record_heartbeat(heartbeat, now):
            return
        self._relaying.forward(RelayedHeartbeat(now, heartbeat), scope)
        if is_new and self._answers_newcomers(scope):
            # The newcomer receives this daemon's state and the endpoints at once, and
            # can serve even while the store is unavailable.
            self._answer_newcomer(heartbeat.peer_address, now)
            self._listener.peer_joined(heartbeat.peer_address)

    def _answer_newcomer(self, peer_address: str, now: float) -> None:
        self._sequence += 1
        heartbeat = self._heartbeat(now)._replace(
            limits=self.limits.all_reports(now),
            drain_notices=self.drain_notices.all(),
            store=self._listener.store_knowledge(now),
            crashes=self.crashes.full_statement(),
            answers=self.answers.statement(now),
        )
        self.link.send(heartbeat, [peer_address])

    def _answers_newcomers(self, scope: Scope) -> bool:
        """Whether this daemon answers a newcomer.

        In a large fleet only the relays do, and the daemons that received the
        newcomer's heartbeat with the scope FLEET.
        """
        if scope is Scope.FLEET or not self._recipients.has_relays:
            return True
        return self._recipients.own_relay() is None

    def _record_heartbeat(self, heartbeat: Heartbeat, received_at: float) -> bool:
        daemon_id = heartbeat.daemon_id
        is_unknown = daemon_id not in self.members.members_by_id
        if not self.members.receive(heartbeat, received_at):
            return False
        if is_unknown:
            self._new_ids.append(daemon_id)
        self.load.receive(daemon_id, heartbeat.jobs, received_at)
        self.demand.receive(daemon_id, heartbeat.demand, received_at)
        self.slowdowns.receive(heartbeat.slow_engines, received_at)
        self.answers.receive(daemon_id, heartbeat.answers, received_at)
        self._receive_limits(heartbeat)
        self._receive_drain_notices(heartbeat)
        self.crashes.receive(heartbeat.crashes, daemon_id)
        self._listener.heartbeat_received(heartbeat, received_at)
        return True

    def _receive_limits(self, heartbeat: Heartbeat) -> None:
        for report in heartbeat.limits:
            change = self.limits.receive(report)
            if change is not None:
                self._log.info(
                    "endpoint_limit_changed",
                    **change.log_fields,
                    peer=heartbeat.daemon_id,
                )

    def _receive_drain_notices(self, heartbeat: Heartbeat) -> None:
        for notice in heartbeat.drain_notices:
            if self.drain_notices.add(notice, is_own=False):
                self._listener.draining_announced(notice)
                self._log.info(
                    "endpoint_draining_announced",
                    endpoint=notice.endpoint_id,
                    born=notice.born,
                    age=self._loop.time() - notice.announced_at,
                    peer=heartbeat.daemon_id,
                )

    def _check_members(self) -> None:
        # A turn of the event loop may have left the socket out, and no peer is silent
        # whose heartbeat is there.
        if self.link.receive_waiting():
            self._heard_all_at = self._loop.time()
        now = self._loop.time()
        for daemon_id in self.members.detect_silent(now):
            self._log.warning("peer_silent", peer=daemon_id)
        if self.members.was_paused:
            self._recipients.relays.discount_pause(now)
        self.load.evict_silent(now)
        self.demand.evict_silent(now)

"""The daemon of one entry VM: creates its parts and connects them."""

import json
import time

from cranberrywick.claims.store import ClaimStore
from cranberrywick.configuration.envelope import AcceptedConfiguration
from cranberrywick.configuration.operator_api import EndpointRow, OperatorApi
from cranberrywick.configuration.settings import DaemonSettings
from cranberrywick.controllers.actor import ControllerHandle
from cranberrywick.controllers.authority import ShardAuthority
from cranberrywick.controllers.configuration import ConfigurationController
from cranberrywick.controllers.endpoints import (
    LIST_SECONDS,
    LOAD_SECONDS,
    EndpointBoard,
    EndpointController,
)
from cranberrywick.controllers.fleet_versions import fetch_versions
from cranberrywick.controllers.membership import Snapshot
from cranberrywick.controllers.orders import OrderController
from cranberrywick.controllers.sweep import SWEEP_SECONDS, SweepController, owner_state
from cranberrywick.decisions.cold_start import Trouble
from cranberrywick.decisions.entries import ALONE_LIFETIME_SECONDS, DRAIN_SECONDS
from cranberrywick.decisions.orphans import Owner, OwnerState
from cranberrywick.decisions.strategies import make_strategy
from cranberrywick.dispatcher import Dispatcher
from cranberrywick.endpoints.orders import OrderSender
from cranberrywick.endpoints.relay import Relay
from cranberrywick.errors import CranberrywickError
from cranberrywick.external.budget import BudgetedKeyValueStore
from cranberrywick.external.key_value import open_key_value_store
from cranberrywick.external.vms import VmList
from cranberrywick.external.weights import WeightStore
from cranberrywick.fields import FIELD_ERRORS
from cranberrywick.filters.chain import Filter, FilterChain
from cranberrywick.filters.completion import CompletionFilter
from cranberrywick.filters.dispatch import DispatchFilter
from cranberrywick.filters.identify import IdentifyFilter
from cranberrywick.filters.record import RecordFilter
from cranberrywick.filters.replay import ReplayFilter
from cranberrywick.filters.service_call import ServiceCallFilter
from cranberrywick.front import Front
from cranberrywick.http_server import HttpServer
from cranberrywick.logs import EventLog
from cranberrywick.metrics import Metrics
from cranberrywick.model import Endpoint, EndpointKind, EndpointRefusal
from cranberrywick.observed import observe_parts
from cranberrywick.peers.messages import LeavingEndpoint
from cranberrywick.peers.node import PeerNode
from cranberrywick.reports.recorder import BurnRecorder
from cranberrywick.timers import TimerService

__all__ = ["Daemon"]

# Largest share by which an interval is made shorter or longer at random, so that
# daemons that start together do not call the platform at the same moments.
TIMER_JITTER = 0.1

# Longest wait for running requests at the end of a drain, in seconds. What still
# runs then is cut.
DRAIN_LIMIT_SECONDS = 600.0

# Interval between rounds of orders, in seconds. Orders follow changes of the
# configuration, which operators make about once an hour.
ORDER_SECONDS = 5.0


class Daemon:
    """The daemon: an HTTP server for callers and a node of the peer network.

    Several may run in one process, as in the demonstration.

    >>> daemon = Daemon(load_settings("daemon-1.json"))
    >>> daemon.start()
    >>> daemon.drain()
    >>> daemon.stop()
    """

    def __init__(self, settings: DaemonSettings):
        self._settings = settings
        self._log = EventLog(daemon=settings.daemon_id)
        self._draining = False
        self._closed = False
        self._has_others = False
        self._others_seen_at = float("-inf")
        self._metrics = Metrics(settings.daemon_id)
        self._burn = BurnRecorder(settings.daemon_id, self._daemon_addresses)
        self._timers = TimerService(seed=settings.seed)
        self._dispatcher = Dispatcher(
            make_strategy(settings.strategy, settings.seed),
            demand_rose=lambda: self._peers.demand_rose(),
        )
        self._relay = Relay()
        self._open_stores()
        self._board = EndpointBoard()
        self._stewarded_ids: frozenset[str] = frozenset()
        self._server = HttpServer(
            self._application, settings.listen, threads=settings.threads
        )
        self._peers = self._make_peer_node()
        self._endpoints = EndpointController.start(
            VmList(settings.vm_list),
            self._board,
            self._dispatcher,
            self._log,
            on_listed=self._endpoints_listed,
            on_load=self._peers.report_load,
            on_leaving=self._peers.announce_leaving,
        ).proxy()
        self._sweeper = ControllerHandle(
            SweepController, self._stewarded_engines, self._owner_state
        )
        self._orders = self._make_order_controller()
        self._front = self._make_front()
        observe_parts(
            self._metrics, self._board, self._relay, self._peers.transport.counts
        )
        self._subscribe()

    def _open_stores(self) -> None:
        platform = open_key_value_store(self._settings.key_value)
        observe = self._metrics.platform_call
        # Each of the two stores has its own budget of calls, so that a burst of
        # bookings does not delay an operator's change.
        operator_store = BudgetedKeyValueStore(platform, observe=observe)
        store = BudgetedKeyValueStore(platform, observe=observe)
        self._store = store
        self._configuration = ConfigurationController(
            operator_store, seed=self._settings.seed
        )
        self._claims = ClaimStore(store)
        self._authority = ShardAuthority(
            store, self._settings.daemon_id, seed=self._settings.seed
        )

    def _make_peer_node(self) -> PeerNode:
        return PeerNode(
            self._settings,
            self._timers,
            entry_address=self._server.address,
            usage=self._dispatcher.usage,
            authority=self._authority,
            seed=self._settings.seed,
        )

    def _make_order_controller(self) -> ControllerHandle:
        weights = WeightStore(self._settings.weight_store)
        return ControllerHandle(
            OrderController,
            OrderSender(self._store, weights, self._settings.daemon_id),
            self._configuration_in_force,
            lambda: self._board.endpoints_by_id,
            lambda: self._board.loads_by_id,
            lambda endpoint_id: endpoint_id in self._stewarded_ids,
        )

    def _make_front(self) -> Front:
        operator = OperatorApi(
            self._configuration,
            self._settings.operator_keys,
            lambda: fetch_versions(self._peers.snapshot.serving_by_id.values()),
            self._endpoint_rows,
            self._entry_domains,
        )
        return Front(
            completions=self._chain(CompletionFilter()),
            services=self._chain(ServiceCallFilter(), ReplayFilter(self._claims)),
            configuration=self._configuration_in_force,
            entries=self._entries,
            readiness=self._readiness,
            metrics_text=self._metrics.render,
            operator=operator,
            burn=self._burn.answer,
            closed=lambda: self._closed,
            log=self._log,
        )

    def _chain(self, *own_filters: Filter) -> FilterChain:
        record = RecordFilter(self._metrics, self._burn, self._log)
        dispatch = DispatchFilter(
            self._dispatcher,
            self._relay,
            self._board,
            self._format_owner,
            self._record_refusal,
        )
        return FilterChain([record, IdentifyFilter(), *own_filters, dispatch])

    def _subscribe(self) -> None:
        """Connect the parts by callbacks, each of which is short and never blocks."""
        self._configuration.on_change(self._configuration_changed)
        self._peers.on_configuration(self._configuration_from_peer)
        self._peers.on_shares(self._dispatcher.set_shares)
        self._peers.on_load(lambda load: self._endpoints.record_peer_load(load))
        self._peers.on_stewarded(self._stewarded_changed)
        # The platform's rate limits hold for the whole fleet; each daemon uses an
        # equal part.
        self._peers.on_membership(
            lambda snapshot: self._store.set_daemons(len(snapshot.members_by_id))
        )
        self._peers.on_membership(self._record_others)
        self._peers.on_leaving(self._endpoint_leaving)

    def _application(self, environ: dict, start_response: object) -> object:
        return self._front(environ, start_response)

    @property
    def address(self) -> str:
        """The address on which this daemon serves callers, as ``ip:port``."""
        return self._server.address

    @property
    def peer_address(self) -> str:
        """The address on which this daemon receives from peers, as ``ip:port``."""
        return self._peers.address

    def start(self) -> None:
        """Start every part and return, before the first configuration is loaded."""
        self._dispatcher.start()
        self._relay.start()
        self._claims.start()
        self._authority.start()
        self._configuration.start()
        every = self._timers.every
        every(LIST_SECONDS, lambda: self._endpoints.refresh_list(), TIMER_JITTER)
        every(LOAD_SECONDS, lambda: self._endpoints.refresh_loads(), TIMER_JITTER)
        every(SWEEP_SECONDS, self._sweep, TIMER_JITTER)
        every(ORDER_SECONDS, self._send_orders, TIMER_JITTER)
        self._endpoints.refresh_list()
        self._peers.start()
        self._timers.start()
        self._server.start()
        self._log.info(
            "daemon_started", address=self.address, peer_address=self.peer_address
        )

    def _configuration_in_force(self):
        current = self._configuration.current
        if current is None or current.version == 0:
            return None
        return current.configuration

    def _configuration_changed(self, accepted: AcceptedConfiguration) -> None:
        configuration = accepted.configuration
        self._endpoints.configure(configuration)
        self._burn.set_targets(configuration.targets_by_class, accepted.version)
        envelope = {"change_id": accepted.change_id, "document": accepted.document}
        self._peers.set_configuration(accepted.version, json.dumps(envelope).encode())

    def _configuration_from_peer(self, version: int, envelope: bytes) -> None:
        try:
            fields = json.loads(envelope)
            self._configuration.offer_from_peer(
                version, fields["change_id"], fields["document"]
            )
        except (CranberrywickError, *FIELD_ERRORS) as error:
            self._log.warning("configuration_from_peer_unusable", error=error)

    def _endpoints_listed(self, board: EndpointBoard) -> None:
        self._peers.set_endpoints(board.endpoints_by_id)
        seeds = [vm.peer_address for vm in board.entry_vms if vm.peer_address]
        self._peers.set_seeds(seeds)

    def _endpoint_leaving(self, leaving: LeavingEndpoint) -> None:
        self._endpoints.mark_leaving(leaving.endpoint_id, leaving.incarnation)

    def _record_refusal(self, endpoint_id: str, reason: EndpointRefusal) -> None:
        self._endpoints.record_refusal(endpoint_id, reason)
        if reason is EndpointRefusal.COLD:
            self._peers.record_trouble(endpoint_id, Trouble.COLD)

    def _daemon_addresses(self) -> list[str]:
        members = self._peers.snapshot.members_by_id.values()
        return [member.entry_address for member in members]

    def _format_owner(self, request_id: str) -> str:
        myself = self._peers.myself
        return str(Owner(myself.daemon_id, myself.incarnation, request_id))

    def _owner_state(self, owner: Owner) -> OwnerState:
        return owner_state(
            owner,
            self._peers.myself,
            self._dispatcher.request_ids,
            self._peers.snapshot.members_by_id,
        )

    def _stewarded_engines(self) -> dict[str, str]:
        """Return the addresses of the engines whose steward is this daemon, by id."""
        endpoints_by_id = self._board.endpoints_by_id
        return {
            endpoint_id: endpoints_by_id[endpoint_id].address
            for endpoint_id in self._stewarded_ids
            if endpoint_id in endpoints_by_id
            and endpoints_by_id[endpoint_id].kind is EndpointKind.ENGINE
        }

    def _stewarded_changed(self, endpoint_ids: frozenset[str]) -> None:
        self._stewarded_ids = endpoint_ids
        self._endpoints.ask_only(endpoint_ids)

    def _sweep(self) -> None:
        # A slow sweep must not let further sweeps pile up in the controller's queue;
        # the same holds for a round of orders.
        if self._sweeper.waiting == 0:
            self._sweeper.tell(SweepController.sweep)

    def _send_orders(self) -> None:
        if self._orders.waiting == 0:
            self._orders.tell(OrderController.tick)

    def _entry_domains(self) -> set[str]:
        members = self._peers.snapshot.members_by_id.values()
        return {member.failure_domain for member in members}

    def _endpoint_rows(self) -> list[EndpointRow]:
        return [self._endpoint_row(e) for e in self._board.endpoints_by_id.values()]

    def _endpoint_row(self, endpoint: Endpoint) -> EndpointRow:
        load = self._board.loads_by_id.get(endpoint.endpoint_id)
        return EndpointRow(
            endpoint_id=endpoint.endpoint_id,
            kind=endpoint.kind.value,
            address=endpoint.address,
            failure_domain=endpoint.failure_domain,
            region=endpoint.region,
            phase=load.phase.value if load else "unknown",
            models=list(load.models if load else endpoint.models),
            running=load.running if load else 0,
            waiting=load.waiting if load else 0,
        )

    def _entries(self, organisation: str) -> dict:
        domains_out = self._configuration.current.configuration.domains_out
        answer = self._peers.entries(organisation, domains_out)
        domains_by_address = {
            member.entry_address: member.failure_domain
            for member in self._peers.snapshot.members_by_id.values()
        }
        entries = [
            {"address": address, "failure_domain": domains_by_address.get(address, "")}
            for address in answer.addresses
        ]
        return {"entries": entries, "lifetime_seconds": answer.lifetime}

    def _readiness(self) -> dict:
        current = self._configuration.current
        return {
            "ready": self._configuration.ready and not self._draining,
            "configuration_version": current.version if current else 0,
        }

    def _record_others(self, snapshot: Snapshot) -> None:
        """Record until when other daemons gave this daemon's address to callers."""
        had_others = self._has_others
        own_id = self._settings.daemon_id
        self._has_others = bool(snapshot.serving_by_id.keys() - {own_id})
        if had_others or self._has_others:
            self._others_seen_at = time.monotonic()

    @property
    def _drain_wait(self) -> float:
        """Seconds for which callers may still hold this daemon's address."""
        self._record_others(self._peers.snapshot)
        left = self._others_seen_at + DRAIN_SECONDS - time.monotonic()
        return max(ALONE_LIFETIME_SECONDS, left)

    def drain(self) -> None:
        """Withdraw this daemon's address, wait, and let every request end.

        The listener stays open until the answers that hold the address have expired:
        closed earlier, it would refuse callers that were sent here a moment ago.
        Running requests are waited for, since the end of the process would cut their
        streams; the wait is at most `DRAIN_LIMIT_SECONDS`.
        """
        self._draining = True
        self._peers.leave()
        wait = self._drain_wait
        self._log.info("drain_started", wait=wait)
        time.sleep(wait)
        self._server.stop_accepting()
        self._closed = True
        idle = self._server.finish(DRAIN_LIMIT_SECONDS)
        self._log.info("drain_ended", idle=idle)

    def stop(self) -> None:
        """Stop every part at once; a planned stop calls `drain` first."""
        self._timers.stop()
        self._server.stop()
        self._claims.stop()
        self._peers.stop()
        self._sweeper.stop()
        self._orders.stop()
        self._configuration.stop()
        self._authority.stop()
        self._relay.stop()
        self._dispatcher.stop()
        self._endpoints.actor_ref.stop()
        self._metrics.close()

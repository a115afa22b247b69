"""The controller that keeps the endpoints' state current.

It joins the VM list with the configuration's endpoint kinds, asks endpoints for
their load, and tells the dispatcher what holds now.
"""

import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from pykka import ThreadingActor

from cranberrywick.configuration.document import Configuration
from cranberrywick.decisions.endpoint_phases import EndpointPhases
from cranberrywick.dispatcher import Dispatcher
from cranberrywick.endpoints.load import fetch_load
from cranberrywick.errors import CranberrywickError
from cranberrywick.external.vms import Vm, VmList, VmRole, VmState
from cranberrywick.logs import EventLog
from cranberrywick.model import Endpoint, EndpointLoad, EndpointRefusal

__all__ = ["EndpointBoard", "EndpointController"]

LIST_SECONDS = 1.0
LOAD_SECONDS = 1.0

# A quarter of what control may cost a daemon, and what one VM takes in the list.
LIST_BYTES_PER_SECOND = 5_000
LISTED_VM_BYTES = 164

# Polls run side by side, so that one endpoint that does not answer delays no other.
LOAD_THREADS = 8


class EndpointBoard:
    """What the controller has found out, for the request threads to read.

    Each attribute is replaced whole, and of ``loads_by_id`` single values, so that a
    request reads it without a lock and without waiting for the actor.
    """

    def __init__(self):
        self.endpoints_by_id: Mapping[str, Endpoint] = {}
        self.loads_by_id: dict[str, EndpointLoad] = {}
        self.entry_vms: tuple[Vm, ...] = ()


class EndpointController(ThreadingActor):
    """Keeps endpoints, their phases and their loads for one daemon."""

    # A daemon that fails to start must not be kept alive by its actors.
    use_daemon_thread = True

    def __init__(
        self,
        vm_list: VmList,
        board: EndpointBoard,
        dispatcher: Dispatcher,
        log: EventLog,
        listed: Callable[["EndpointBoard"], None] = lambda board: None,
        heard: Callable[[EndpointLoad], None] = lambda load: None,
        left: Callable[[str, int], None] = lambda endpoint_id, incarnation: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self._vm_list = vm_list
        self._board = board
        self._dispatcher = dispatcher
        self._log = log
        self._listed = listed
        self._heard = heard
        self._left = left
        self._own_to_ask: frozenset[str] = frozenset()
        self._clock = clock
        self._configuration: Configuration | None = None
        self._revision = -1
        self._read_next_at = float("-inf")
        self._told_leaving: frozenset[str] = frozenset()
        self._vms_by_id: Mapping[str, Vm] = {}
        self._phases = EndpointPhases()
        self._polling: set[str] = set()
        self._pollers = ThreadPoolExecutor(LOAD_THREADS, "load-poll")

    def on_stop(self) -> None:
        """Let go of the polling threads."""
        self._pollers.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: Any) -> Any:
        """Ignore messages that are not method calls."""

    def configure(self, configuration: Configuration) -> None:
        """Take a configuration: its endpoint kinds and failure domains out."""
        self._configuration = configuration
        self._dispatcher.set_targets(configuration.targets_by_class)
        self._dispatcher.set_domains_out(configuration.domains_out)
        self._publish()

    def refresh_list(self) -> None:
        """Read the VM list; in an outage the last list stays in force."""
        now = self._clock()
        if now < self._read_next_at:
            return
        try:
            listing = self._vm_list.read()
        except CranberrywickError as error:
            self._log.warning("vm_list_unavailable", error=error)
            return
        self._read_next_at = now + self._pause_between_reads(len(listing.vms_by_id))
        if listing.revision <= self._revision:
            # Nothing new, or a replica that lags: its older list would bring back
            # what has left.
            return
        self._revision = listing.revision
        self._vms_by_id = listing.vms_by_id
        self._publish()

    @staticmethod
    def _pause_between_reads(n_vms: int) -> float:
        # Read each second by every daemon, a list of 940 VMs would be 154 KB a
        # second each, seven times what control may cost. That some daemons read it
        # later does no harm: whoever sees a leaving endpoint there tells the others.
        return max(LIST_SECONDS, n_vms * LISTED_VM_BYTES / LIST_BYTES_PER_SECOND)

    def _publish(self) -> None:
        vms = self._vms_by_id.values()
        self._board.entry_vms = tuple(vm for vm in vms if vm.role is VmRole.ENTRY)
        if self._configuration is None:
            # The entry VMs are told even so: a daemon that starts while the
            # key-value service is out can have its configuration from them alone.
            self._listed(self._board)
            return
        endpoint_vms = [vm for vm in vms if vm.role is VmRole.ENDPOINT]
        endpoints = [self._endpoint(vm) for vm in endpoint_vms]
        self._board.endpoints_by_id = {
            endpoint.endpoint_id: endpoint
            for endpoint in endpoints
            if endpoint is not None
        }
        leaving = [vm.vm_id for vm in endpoint_vms if vm.state is VmState.LEAVING]
        self._phases.set_listed(self._board.endpoints_by_id, leaving)
        self._dispatcher.set_endpoints(self._board.endpoints_by_id)
        for endpoint_id in set(leaving) - self._told_leaving:
            self._tell(endpoint_id)
            self._left(endpoint_id, self._phases.incarnation(endpoint_id))
        self._told_leaving = frozenset(leaving)
        self._publish_phases()
        self._listed(self._board)

    def _endpoint(self, vm: Vm) -> Endpoint | None:
        kind = self._configuration.endpoint_kinds_by_name.get(vm.kind)
        if kind is None:
            self._log.warning("endpoint_kind_unknown", endpoint=vm.vm_id, kind=vm.kind)
            return None
        return Endpoint(
            endpoint_id=vm.vm_id,
            kind=kind.kind,
            address=vm.address,
            failure_domain=vm.failure_domain,
            region=vm.region,
            models=kind.models,
            service=kind.service,
            checks_fencing=kind.checks_fencing,
            slots=kind.slots,
            cold_slots=kind.cold_slots,
            prefill_tokens_per_second=kind.prefill_tokens_per_second,
            decode_tokens_per_second=kind.decode_tokens_per_second,
            cache_tokens=kind.cache_tokens,
        )

    def ask_only(self, endpoint_ids: frozenset[str]) -> None:
        """Set whose load this daemon asks for; stewards tell the others."""
        self._own_to_ask = endpoint_ids

    def refresh_loads(self) -> None:
        """Ask the endpoints that are ours to ask; answers come as `record_load`."""
        for endpoint in self._board.endpoints_by_id.values():
            endpoint_id = endpoint.endpoint_id
            if endpoint_id in self._polling or endpoint_id not in self._own_to_ask:
                continue
            self._polling.add(endpoint_id)
            self._pollers.submit(self._poll_load, endpoint, self.actor_ref.proxy())

    def _poll_load(self, endpoint: Endpoint, own_proxy: Any) -> None:
        """Ask one endpoint; runs on a polling thread, so it only tells the actor."""
        try:
            own_proxy.record_load(fetch_load(endpoint, self._clock))
        except CranberrywickError as error:
            self._log.debug(
                "load_unavailable", endpoint=endpoint.endpoint_id, error=error
            )
        finally:
            own_proxy.poll_ended(endpoint.endpoint_id)

    def poll_ended(self, endpoint_id: str) -> None:
        """Allow the next poll of an endpoint."""
        self._polling.discard(endpoint_id)

    def record_load(self, load: EndpointLoad) -> None:
        """Take a report that was asked for, and pass it on to the other daemons."""
        if self._take_load(load):
            self._heard(load)

    def record_peer_load(self, load: EndpointLoad) -> None:
        """Take a report that another daemon passed on."""
        self._take_load(load)

    def _take_load(self, load: EndpointLoad) -> bool:
        current = self._phases.record_load(load)
        if current is None or load.endpoint_id not in self._board.endpoints_by_id:
            return False
        self._dispatcher.report_load(current)
        self._publish_phase(current)
        return True

    def record_refusal(self, endpoint_id: str, reason: EndpointRefusal) -> None:
        """Take an endpoint's own word that it is leaving, and pass it on."""
        if reason is not EndpointRefusal.LEAVING:
            return
        incarnation = self._phases.incarnation(endpoint_id)
        if self.mark_leaving(endpoint_id, incarnation):
            self._left(endpoint_id, incarnation)

    def mark_leaving(self, endpoint_id: str, incarnation: int) -> bool:
        """Note that an endpoint is leaving; return whether that is news."""
        is_news = self._phases.mark_leaving(endpoint_id, incarnation)
        if is_news:
            self._log.info("endpoint_leaving", endpoint=endpoint_id)
            self._tell(endpoint_id)
        return is_news

    def _tell(self, endpoint_id: str) -> None:
        current = self._phases.current(endpoint_id)
        if current is not None:
            self._dispatcher.report_load(current)
            self._publish_phase(current)

    def _publish_phase(self, current: EndpointLoad) -> None:
        if current.endpoint_id in self._board.loads_by_id:
            # One entry is replaced in place, which readers see whole or not at all;
            # making all 620 anew for every report took 0.3% of a core.
            self._board.loads_by_id[current.endpoint_id] = current
        else:
            self._publish_phases()

    def _publish_phases(self) -> None:
        self._board.loads_by_id = {
            endpoint_id: current
            for endpoint_id in self._board.endpoints_by_id
            if (current := self._phases.current(endpoint_id)) is not None
        }

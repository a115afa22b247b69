"""The controller that keeps the endpoints' state current.

It joins the VM list with the configuration's endpoint kinds, requests the load of
endpoints, and reports the current state to the dispatcher.
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
from cranberrywick.unusable_records import UnusableRecords

__all__ = ["EndpointBoard", "EndpointController"]

# Shortest interval between two reads of the VM list, in seconds.
LIST_SECONDS = 1.0
# Interval between two rounds of load requests, in seconds.
LOAD_SECONDS = 1.0

# Most bytes per second that a daemon may spend on reading the VM list, a quarter of
# its limit for all control traffic.
LIST_BYTES_PER_SECOND = 5_000
# Size of one VM in the list, in bytes.
LISTED_VM_BYTES = 164

# Number of threads that request loads, in parallel so that an endpoint that does not
# answer delays no other.
LOAD_THREADS = 8


class EndpointBoard:
    """The endpoints' state that the controller publishes to the request threads.

    Each attribute is replaced as a whole, and so is each value of ``loads_by_id``, so
    that a request reads them without a lock and without waiting for the actor.
    """

    def __init__(self):
        self.endpoints_by_id: Mapping[str, Endpoint] = {}
        self.loads_by_id: dict[str, EndpointLoad] = {}
        self.entry_vms: tuple[Vm, ...] = ()


class EndpointController(ThreadingActor):
    """Keeps the endpoints, their phases and their loads for one daemon.

    ``on_listed`` is called with the board after each new VM list or configuration,
    ``on_load`` with each load report that this daemon has requested, unless it is
    outdated, and ``on_leaving`` with the id and incarnation of an endpoint that this
    daemon finds to be leaving.
    """

    # The actor's thread must not keep the process of a daemon running whose start
    # failed.
    use_daemon_thread = True

    def __init__(
        self,
        vm_list: VmList,
        board: EndpointBoard,
        dispatcher: Dispatcher,
        log: EventLog,
        on_listed: Callable[["EndpointBoard"], None] = lambda board: None,
        on_load: Callable[[EndpointLoad], None] = lambda load: None,
        on_leaving: Callable[[str, int], None] = lambda endpoint_id, incarnation: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self._vm_list = vm_list
        self._board = board
        self._dispatcher = dispatcher
        self._log = log
        self._on_listed = on_listed
        self._on_load = on_load
        self._on_leaving = on_leaving
        self._polled_ids: frozenset[str] = frozenset()
        self._clock = clock
        self._configuration: Configuration | None = None
        self._revision = -1
        self._next_read_at = float("-inf")
        self._announced_leaving: frozenset[str] = frozenset()
        self._vms_by_id: Mapping[str, Vm] = {}
        self._phases = EndpointPhases()
        self._unusable = UnusableRecords("vm", log)
        self._polling: set[str] = set()
        self._pollers = ThreadPoolExecutor(LOAD_THREADS, "load-poll")

    def on_stop(self) -> None:
        """Shut down the polling threads without waiting for them."""
        self._pollers.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: Any) -> Any:
        """Ignore messages that are not method calls."""

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration's targets, endpoint kinds and failure domains out."""
        self._configuration = configuration
        self._dispatcher.set_targets(configuration.targets_by_class)
        self._dispatcher.set_domains_out(configuration.domains_out)
        self._publish()

    def refresh_list(self) -> None:
        """Read the VM list if it is due; during an outage the last list stays valid."""
        now = self._clock()
        if now < self._next_read_at:
            return
        try:
            listing = self._vm_list.read()
        except CranberrywickError as error:
            self._log.warning("vm_list_unavailable", error=error)
            return
        self._next_read_at = now + self._read_interval(len(listing.vms_by_id))
        if listing.revision <= self._revision:
            # Either nothing has changed, or a replica that lags behind has answered:
            # its older list would bring back endpoints that have left.
            return
        self._revision = listing.revision
        self._unusable.record(listing.unusable_reasons_by_id, listing.revision)
        self._vms_by_id = listing.vms_by_id
        self._publish()

    @staticmethod
    def _read_interval(n_vms: int) -> float:
        # A list of 940 VMs that is read each second would cost every daemon 154 KB
        # per second, seven times its limit for control traffic. A late read does no
        # harm: the first daemon that reads that an endpoint is leaving sends this to
        # the others.
        return max(LIST_SECONDS, n_vms * LISTED_VM_BYTES / LIST_BYTES_PER_SECOND)

    def _publish(self) -> None:
        vms = self._vms_by_id.values()
        self._board.entry_vms = tuple(vm for vm in vms if vm.role is VmRole.ENTRY)
        if self._configuration is None:
            # The entry VMs are reported even without a configuration. A daemon that
            # starts during an outage of the key-value service can fetch its
            # configuration only from the daemons on these VMs.
            self._on_listed(self._board)
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
        for endpoint_id in set(leaving) - self._announced_leaving:
            self._report_current(endpoint_id)
            self._on_leaving(endpoint_id, self._phases.incarnation(endpoint_id))
        self._announced_leaving = frozenset(leaving)
        self._publish_phases()
        self._on_listed(self._board)

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
        """Replace the endpoints whose load this daemon requests.

        The stewards of the other endpoints send the loads of those.
        """
        self._polled_ids = endpoint_ids

    def refresh_loads(self) -> None:
        """Request the loads set by `ask_only`; answers arrive at `record_load`."""
        for endpoint in self._board.endpoints_by_id.values():
            endpoint_id = endpoint.endpoint_id
            if endpoint_id in self._polling or endpoint_id not in self._polled_ids:
                continue
            self._polling.add(endpoint_id)
            self._pollers.submit(self._poll_load, endpoint, self.actor_ref.proxy())

    def _poll_load(self, endpoint: Endpoint, own_proxy: Any) -> None:
        """Request the load of one endpoint and send the answer to the actor.

        Runs on a polling thread, which must not change the actor's state itself.
        """
        try:
            own_proxy.record_load(fetch_load(endpoint, self._clock))
        except CranberrywickError as error:
            self._log.debug(
                "load_unavailable", endpoint=endpoint.endpoint_id, error=error
            )
        finally:
            own_proxy.poll_ended(endpoint.endpoint_id)

    def poll_ended(self, endpoint_id: str) -> None:
        """Allow the next request to an endpoint."""
        self._polling.discard(endpoint_id)

    def record_load(self, load: EndpointLoad) -> None:
        """Apply a report that this daemon requested, and call ``on_load`` with it.

        ``on_load`` is not called for a report that is outdated or of an unknown
        endpoint.
        """
        if self._apply_load(load):
            self._on_load(load)

    def record_peer_load(self, load: EndpointLoad) -> None:
        """Apply a report that another daemon forwarded."""
        self._apply_load(load)

    def _apply_load(self, load: EndpointLoad) -> bool:
        current = self._phases.record_load(load)
        if current is None or load.endpoint_id not in self._board.endpoints_by_id:
            return False
        self._dispatcher.report_load(current)
        self._publish_phase(current)
        return True

    def record_refusal(self, endpoint_id: str, reason: EndpointRefusal) -> None:
        """Mark an endpoint as leaving that refused a request for this reason.

        The first such refusal is reported to the other daemons. Refusals for other
        reasons are ignored.
        """
        if reason is not EndpointRefusal.LEAVING:
            return
        incarnation = self._phases.incarnation(endpoint_id)
        if self.mark_leaving(endpoint_id, incarnation):
            self._on_leaving(endpoint_id, incarnation)

    def mark_leaving(self, endpoint_id: str, incarnation: int) -> bool:
        """Record that an endpoint is leaving; return False if that was known."""
        is_new = self._phases.mark_leaving(endpoint_id, incarnation)
        if is_new:
            self._log.info("endpoint_leaving", endpoint=endpoint_id)
            self._report_current(endpoint_id)
        return is_new

    def _report_current(self, endpoint_id: str) -> None:
        current = self._phases.current(endpoint_id)
        if current is not None:
            self._dispatcher.report_load(current)
            self._publish_phase(current)

    def _publish_phase(self, current: EndpointLoad) -> None:
        if current.endpoint_id in self._board.loads_by_id:
            # The entry is replaced in place, so that a reader sees either the old or
            # the new one. Copying all 620 entries for every report took 0.3% of a core.
            self._board.loads_by_id[current.endpoint_id] = current
        else:
            self._publish_phases()

    def _publish_phases(self) -> None:
        self._board.loads_by_id = {
            endpoint_id: current
            for endpoint_id in self._board.endpoints_by_id
            if (current := self._phases.current(endpoint_id)) is not None
        }

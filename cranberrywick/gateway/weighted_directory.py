"""The directory of a deployment whose VMs differ in what they can bear.

Decisions are in `cranberrywick.routing.directory_choice`; this module gives them the
daemons that serve and their capacities, states this VM's own, and logs what changed.
"""

import asyncio
import random

from cranberrywick.gateway.peer_updates import PeerUpdates
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.gateway.timer_delay import TimerDelay
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.directory_choice import (
    DirectoryChoice,
    EntryVm,
    WeightChange,
)
from cranberrywick.routing.fleet_demand import VmCapacity
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.model import GatewaySettings

__all__ = ["WeightedDirectory"]

# Precision of the stated delay, in decimal places of a second. A finer one would change
# the weights and the bytes of heartbeats all the time.
DELAY_DECIMALS = 2


class WeightedDirectory:
    """Answers callers with a choice of addresses, weighted by the VMs' capacities.

    ``peer_updates`` has the daemons and what they state; this VM's capacity is stated
    through it.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        peer_updates: PeerUpdates,
        ticker: Ticker,
        rng: random.Random,
        log: EventLog,
    ):
        self._settings = settings
        self._peer_updates = peer_updates
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._choice = DirectoryChoice(rng)
        self._timer_delay = TimerDelay(ticker)
        peer_updates.vm_capacity = self._own_capacity

    def start(self) -> None:
        """Start to measure this VM's delay."""
        self._timer_delay.start()

    def addresses(
        self, caller_ip: str, failure_domain: str, is_leaving: bool
    ) -> list[str]:
        """Return the entry addresses for a caller.

        A daemon that is leaving, or not ready yet, includes itself only if no other
        daemon is known: an address that still answers is better than none.
        """
        now = self._loop.time()
        settings = self._settings
        serving = self._peer_updates.members.serving(now)
        addresses_by_id = {
            beat.daemon_id: beat.entry_address for beat in serving if beat.entry_address
        }
        if settings.entry_address and not (is_leaving and addresses_by_id):
            addresses_by_id[settings.daemon_id] = settings.entry_address
        if self._choice.needs_update(addresses_by_id, now):
            self._update(serving, addresses_by_id, now)
        return self._choice.addresses(caller_ip, failure_domain)

    def _update(
        self, serving: list[Heartbeat], addresses_by_id: dict[str, str], now: float
    ) -> None:
        settings = self._settings
        domains_by_id = {beat.daemon_id: beat.failure_domain for beat in serving}
        domains_by_id[settings.daemon_id] = settings.failure_domain
        vms = [
            EntryVm(id, address, domains_by_id[id], self._capacity(id))
            for id, address in addresses_by_id.items()
        ]
        changes = self._choice.update(vms, now)
        if changes:
            self._log_changes(changes, len(vms))

    def _log_changes(self, changes: list[WeightChange], daemons: int) -> None:
        largest = changes[0]
        self._log.info(
            "directory_weights_changed",
            daemons=next(id_lists([change.daemon_id for change in changes])),
            count=len(changes),
            known=daemons,
            largest=largest.daemon_id,
            before=largest.before,
            after=largest.after,
            delay=self._capacity(largest.daemon_id).delay_seconds,
        )

    def _capacity(self, daemon_id: str) -> VmCapacity:
        if daemon_id == self._settings.daemon_id:
            return self._own_capacity()
        return self._peer_updates.demand.capacity(daemon_id)

    def _own_capacity(self) -> VmCapacity:
        limits = self._settings.vm_limits
        delay = round(self._timer_delay.seconds, DELAY_DECIMALS)
        return VmCapacity(limits.cores, limits.link_mbps, delay)

"""Heartbeats that a relay collects for `FLUSH_SECONDS` and forwards together."""

import asyncio
from collections.abc import Iterable

from cranberrywick.gateway.fleet_link import Send
from cranberrywick.gateway.heartbeat_rows import HeartbeatBatch, RelayedHeartbeat
from cranberrywick.gateway.messages import Scope
from cranberrywick.gateway.recipients import Recipients
from cranberrywick.routing.fleet_demand import DemandStatement
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.relays import FLUSH_SECONDS

__all__ = ["HeartbeatRelaying"]

# Largest number of heartbeats in one batch. `FleetLink` divides a batch that is too
# long for a datagram.
MAX_BATCH_HEARTBEATS = 100


class HeartbeatRelaying:
    """Forwards heartbeats to the own failure domain and to the other domains' relays.

    ``send`` sends a message to addresses, with the scope in which the receivers
    forward it further.
    """

    def __init__(self, settings: GatewaySettings, recipients: Recipients, send: Send):
        self._settings = settings
        self._recipients = recipients
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._flush: asyncio.TimerHandle | None = None
        # The newest heartbeat of each daemon that waits to be forwarded.
        self._for_domain: dict[str, RelayedHeartbeat] = {}
        self._for_others: dict[str, RelayedHeartbeat] = {}

    def forward(self, relayed: RelayedHeartbeat, scope: Scope) -> None:
        """Collect a heartbeat to forward, to the daemons that ``scope`` names."""
        if scope is not Scope.NOBODY:
            _replace(self._for_domain, relayed)
        if scope is Scope.FLEET:
            _replace(self._for_others, relayed)
        if scope is not Scope.NOBODY and self._flush is None:
            self._flush = self._loop.call_later(FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Forward the collected heartbeats at once."""
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
        domain, others = self._for_domain, self._for_others
        self._for_domain, self._for_others = {}, {}
        self._send_batches(domain, self._recipients.domain_peers(), Scope.NOBODY)
        if others:
            self._send_batches(others, self._recipients.other_relays(), Scope.DOMAIN)

    def keep_alive(self) -> None:
        """Send empty batches if this daemon is a relay and has none to forward.

        Without them the others would take the relay for silent and choose another.
        """
        recipients = self._recipients
        if not recipients.has_relays or recipients.own_relay() is not None:
            return
        if self._flush is None:
            self._send_batches({}, recipients.domain_peers(), Scope.NOBODY)
            self._send_batches({}, recipients.other_relays(), Scope.DOMAIN)

    def _send_batches(
        self,
        relayed_by_id: dict[str, RelayedHeartbeat],
        addresses: Iterable[str],
        scope: Scope,
    ) -> None:
        addresses = list(addresses)
        relayed = tuple(relayed_by_id.values())
        for start in range(0, max(1, len(relayed)), MAX_BATCH_HEARTBEATS):
            part = relayed[start : start + MAX_BATCH_HEARTBEATS]
            batch = HeartbeatBatch(
                self._settings.daemon_id, self._settings.failure_domain, part
            )
            self._send(batch, addresses, scope)


def _replace(by_id: dict[str, RelayedHeartbeat], relayed: RelayedHeartbeat) -> None:
    """Replace a daemon's heartbeat; keep its demand if the new one states none."""
    heartbeat = relayed.heartbeat
    before = by_id.get(heartbeat.daemon_id)
    if before is not None and heartbeat.demand == DemandStatement():
        same_start = before.heartbeat.incarnation == heartbeat.incarnation
        demand = before.heartbeat.demand if same_start else DemandStatement()
        relayed = relayed._replace(heartbeat=heartbeat._replace(demand=demand))
    by_id[heartbeat.daemon_id] = relayed

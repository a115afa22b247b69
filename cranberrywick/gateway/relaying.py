"""Heartbeats that a relay collects for some milliseconds and passes on."""

import asyncio
from collections.abc import Iterable

from cranberrywick.gateway.fleet_link import Send
from cranberrywick.gateway.heartbeat_rows import HeartbeatBatch, RelayedHeartbeat
from cranberrywick.gateway.messages import Scope
from cranberrywick.gateway.recipients import Recipients
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.relays import FLUSH_SECONDS

__all__ = ["HeartbeatRelaying"]

# Heartbeats in one datagram; a link divides it where they are too long for one.
MOST_IN_BATCH = 100


class HeartbeatRelaying:
    """Passes on to the own failure domain, and to the other domains' relays."""

    def __init__(self, settings: GatewaySettings, recipients: Recipients, send: Send):
        self._settings = settings
        self._recipients = recipients
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._flush: asyncio.TimerHandle | None = None
        # What waits to be passed on, by the daemon that it is of.
        self._for_domain: dict[str, RelayedHeartbeat] = {}
        self._for_others: dict[str, RelayedHeartbeat] = {}

    def pass_on(self, relayed: RelayedHeartbeat, scope: Scope) -> None:
        """Collect a heartbeat for all whom it has not reached."""
        daemon_id = relayed.heartbeat.daemon_id
        if scope is not Scope.NOBODY:
            self._for_domain[daemon_id] = relayed
        if scope is Scope.FLEET:
            self._for_others[daemon_id] = relayed
        if scope is not Scope.NOBODY and self._flush is None:
            self._flush = self._loop.call_later(FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Pass on at once what was collected."""
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
        domain, others = self._for_domain, self._for_others
        self._for_domain, self._for_others = {}, {}
        self._send_batches(domain, self._recipients.domain_peers(), Scope.NOBODY)
        if others:
            self._send_batches(others, self._recipients.other_relays(), Scope.DOMAIN)

    def keep_alive(self) -> None:
        """Say that this relay lives, where nothing else has said so lately."""
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
        for start in range(0, max(1, len(relayed)), MOST_IN_BATCH):
            part = relayed[start : start + MOST_IN_BATCH]
            batch = HeartbeatBatch(
                self._settings.daemon_id, self._settings.failure_domain, part
            )
            self._send(batch, addresses, scope)

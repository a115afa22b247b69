"""This daemon's registration in the store, and the list of registered daemons."""

import asyncio
import random
from functools import partial

from cranberrywick.external.key_value import LeaseLapsed
from cranberrywick.gateway.peer_updates import PeerUpdates
from cranberrywick.gateway.store_calls import StoreCalls
from cranberrywick.gateway.store_reader import Store
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog
from cranberrywick.routing.member_list import START_SECONDS, TURN_SECONDS, is_turn

__all__ = ["Registration"]

# Time after which a dead daemon's lease ends and it leaves the list of members, in
# seconds. Until then, daemons that read the list send heartbeats to its address in
# vain; which daemons are alive is determined by heartbeats, not by the list.
LEASE_SECONDS = 60.0
# Interval between renewals, in seconds. Two in a row may fail before the lease ends.
RENEW_SECONDS = 18.0


class Registration:
    """Keeps this daemon registered, and passes `PeerUpdates` the registered daemons."""

    def __init__(
        self,
        daemon_id: str,
        store: Store,
        calls: StoreCalls,
        peer_updates: PeerUpdates,
        rng: random.Random,
        log: EventLog,
    ):
        self._log = log
        self._daemon_id = daemon_id
        self._store = store
        self._calls = calls
        self._peer_updates = peer_updates
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._lease: int | None = None
        self._has_ended = False

    def start(self, ticker: Ticker) -> None:
        """Register this daemon, and start to read the list of members."""
        self._register()
        for seconds in START_SECONDS:
            self._loop.call_later(seconds, self._read_members_unless_all_heard)
        ticker.every(RENEW_SECONDS, self._register, jitter=0.1)
        ticker.every(TURN_SECONDS, self._read_members_if_turn, jitter=0.2)

    def end(self) -> None:
        """End this daemon's registration."""
        self._has_ended = True
        if self._lease is not None:
            self._calls.make("operator", partial(self._store.end, self._lease), _ignore)

    def _register(self) -> None:
        if not self._has_ended:
            self._calls.make("operator", self._renew, self._registered)

    def _renew(self) -> int:
        """Renew the lease or register again; called on the reader's thread."""
        if self._lease is not None:
            try:
                self._store.keep(self._lease)
                return self._lease
            except LeaseLapsed:
                pass  # As after an outage of the store; the registration is lost too.
        return self._store.register(
            self._daemon_id, self._peer_updates.peer_address, LEASE_SECONDS
        )

    def _registered(self, lease: int, requested_at: float) -> None:
        if lease != self._lease:
            self._lease = lease
            self._log.info(
                "registered", address=self._peer_updates.peer_address, lease=lease
            )

    def _read_members_unless_all_heard(self) -> None:
        if not self._peer_updates.has_received_all:
            self._read_members()

    def _read_members_if_turn(self) -> None:
        if is_turn(self._peer_updates.members.count(self._loop.time()), self._rng):
            self._read_members()

    def _read_members(self) -> None:
        self._calls.make("operator", self._store.read_members, self._record_members)

    def _record_members(
        self, addresses_by_id: dict[str, str], requested_at: float
    ) -> None:
        addresses_by_id.pop(self._daemon_id, None)
        self._peer_updates.set_registered_addresses(addresses_by_id)


def _ignore(answer: object, requested_at: float) -> None:
    """Ignore the answer of a call that has no result."""

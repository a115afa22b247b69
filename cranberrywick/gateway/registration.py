"""This daemon's registration in the store, and the list of registered daemons."""

import asyncio
import random
from functools import partial

from cranberrywick.external.key_value import LeaseLapsed
from cranberrywick.gateway.peer_updates import PeerUpdates
from cranberrywick.gateway.store_calls import StoreCalls
from cranberrywick.gateway.store_reader import Registered, Store
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog
from cranberrywick.routing.member_list import START_SECONDS, TURN_SECONDS, is_turn
from cranberrywick.routing.store_position import UNKNOWN_EPOCH

__all__ = ["Registration"]

# Time after which a dead daemon's lease ends and it leaves the list of members, in
# seconds. Until then, daemons that read the list send heartbeats to its address in
# vain; which daemons are alive is determined by heartbeats, not by the list.
LEASE_SECONDS = 60.0
# Interval between renewals, in seconds. Two in a row may fail before the lease ends.
RENEW_SECONDS = 18.0
# Time over which daemons spread their new registrations after a return of the store, in
# seconds: all hear of it at the same moment.
SPREAD_SECONDS = 0.5
# Interval between tries to register after a return of the store, in seconds.
RETRY_SECONDS = 2.0


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
        self._registered: Registered | None = None
        # The newest epoch of the store that this daemon has heard of.
        self._epoch = UNKNOWN_EPOCH
        self._next_catch_up: asyncio.TimerHandle | None = None
        self._retained_addresses: dict[str, str] = {}
        self._retained_until = float("-inf")
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
        if self._registered is not None:
            end = partial(self._store.end, self._daemon_id, self._registered)
            self._calls.make("operator", end, _ignore)

    def store_returned(self, epoch: int) -> None:
        """Register again, since the store may have lost this registration.

        The store has no list of members until all have done so; those that it showed
        before are kept meanwhile.
        """
        self._epoch = epoch
        self._retained_addresses = self._peer_updates.registered_addresses
        self._retained_until = self._loop.time() + LEASE_SECONDS
        self._catch_up_in(self._rng.uniform(0, SPREAD_SECONDS))

    def _catch_up_in(self, seconds: float) -> None:
        if self._next_catch_up is not None:
            self._next_catch_up.cancel()
        self._next_catch_up = self._loop.call_later(seconds, self._catch_up)

    def _catch_up(self) -> None:
        """Register, and try again until the registration is of the newest epoch."""
        if not self._has_ended and not self._is_current(self._registered):
            self._register()
            self._catch_up_in(RETRY_SECONDS)

    def _is_current(self, registered: Registered | None) -> bool:
        """Whether the store can't have lost this registration by a return."""
        if registered is None:
            return False
        epoch = registered.position.epoch
        return epoch == UNKNOWN_EPOCH or epoch >= self._epoch

    def _register(self) -> None:
        if not self._has_ended:
            kept = self._registered if self._is_current(self._registered) else None
            renew = partial(self._renew, kept)
            self._calls.make("operator", renew, self._record_registered)

    def _renew(self, registered: Registered | None) -> Registered:
        """Renew the lease or register again; called on the reader's thread."""
        if registered is not None:
            try:
                self._store.keep(registered)
                return registered
            except LeaseLapsed:
                pass  # As after an outage of the store; the registration is lost too.
        return self._store.register(
            self._daemon_id, self._peer_updates.peer_address, LEASE_SECONDS
        )

    def _record_registered(self, registered: Registered, requested_at: float) -> None:
        if registered != self._registered:
            self._registered = registered
            self._log.info(
                "registered",
                address=self._peer_updates.peer_address,
                lease=registered.lease,
                epoch=registered.position.epoch,
                revision=registered.position.revision,
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
        if self._loop.time() < self._retained_until:
            addresses_by_id = {**self._retained_addresses, **addresses_by_id}
        addresses_by_id.pop(self._daemon_id, None)
        self._peer_updates.set_registered_addresses(addresses_by_id)


def _ignore(answer: object, requested_at: float) -> None:
    """Ignore the answer of a call that has no result."""

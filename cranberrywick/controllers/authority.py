"""Holds the platform's leases that name this daemon steward of shards.

Only shards with an endpoint that does not bear all its slots need one. All of a
daemon's shards hang on a single lease, so that keeping them costs one call each few
seconds however many there are.
"""

import random
import threading
import time
from collections.abc import Callable

from cranberrywick.decisions.stewards import Shard
from cranberrywick.errors import PlatformUnavailable
from cranberrywick.external.key_value import (
    AmbiguousWrite,
    KeyValueStore,
    Lease,
    LeaseLapsed,
    RevisionConflict,
)
from cranberrywick.logs import EventLog

__all__ = ["ShardAuthority"]

# Three renewals may fail before the lease lapses, and it outlasts a grant of nine
# seconds at the worst moment of the first two.
LEASE_SECONDS = 20.0
KEEP_ALIVE_SECONDS = 5.0
RETRY_SECONDS = 2.0
# After an outage the stewards come back spread over this time.
RETRY_SPREAD_SECONDS = 3.0
# What the platform's clock may run fast by, and the writing of the answer take.
SAFETY = 0.95


class ShardAuthority:
    """Takes and keeps leases on a thread of its own; see `controllers.grants`.

    A lease counts from before it was asked for, so that here it ends before the
    platform gives it to another. It is never given back early: grants made under it
    may still be in force.
    """

    def __init__(
        self,
        store: KeyValueStore,
        daemon_id: str,
        seed: int | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._store = store
        self._daemon_id = daemon_id
        self._rng = random.Random(seed)
        self._clock = clock
        self._log = EventLog(daemon=daemon_id, part="authority")
        # Replaced whole; written by one thread and read by another.
        self._wanted: frozenset[Shard] = frozenset()
        self._held: frozenset[Shard] = frozenset()
        self._until = float("-inf")
        self._lease: Lease | None = None
        self._kept_at = float("-inf")
        self._wake = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="shard-authority", daemon=True
        )

    def start(self) -> None:
        """Start to take what is wanted."""
        self._thread.start()

    def stop(self) -> None:
        """Let the leases lapse."""
        self._stopping = True
        self._wake.set()
        self._thread.join()

    def want(self, shards: frozenset[Shard]) -> None:
        """Replace the shards to hold; they are taken and kept in the background."""
        if shards - self._wanted:
            self._wake.set()
        self._wanted = shards

    def until(self, shard: Shard) -> float | None:
        """Return until when the shard is held, None if it is not; never waits."""
        until = self._until
        return until if shard in self._held and self._clock() < until else None

    def _run(self) -> None:
        pause = None
        while not self._stopping:
            self._wake.wait(pause)
            self._wake.clear()
            if not self._stopping:
                pause = self._turn()

    def _turn(self) -> float | None:
        """Do what is due and return when to come back, in seconds."""
        wanted = self._wanted
        if not wanted:
            # Unrenewed it lapses, and with it the keys.
            self._forget()
            return None
        try:
            self._renew()
            missing = [shard for shard in sorted(wanted) if not self._take(shard)]
        except LeaseLapsed:
            self._forget()
            return RETRY_SECONDS
        except PlatformUnavailable as error:
            self._log.info("authority_delayed", error=error)
            return RETRY_SECONDS + self._rng.uniform(0, RETRY_SPREAD_SECONDS)
        return RETRY_SECONDS if missing else KEEP_ALIVE_SECONDS

    def _forget(self) -> None:
        self._held = frozenset()
        self._until = float("-inf")
        self._lease = None

    def _renew(self) -> None:
        now = self._clock()
        if self._lease is None or now >= self._until:
            self._forget()
            self._lease = self._store.grant_lease(LEASE_SECONDS)
            self._kept(now)
        elif now - self._kept_at >= KEEP_ALIVE_SECONDS / 2:
            self._store.keep_alive(self._lease.lease_id)
            self._kept(now)

    def _kept(self, asked_at: float) -> None:
        self._kept_at = asked_at
        self._until = asked_at + self._lease.ttl_seconds * SAFETY

    def _take(self, shard: Shard) -> bool:
        if shard in self._held:
            return True
        key = f"stewards/{shard.region}/{shard.number}"
        # Names the lease, for an earlier run of this daemon may have left a key.
        value = f"{self._daemon_id} {self._lease.lease_id}"
        try:
            self._store.put(key, value, expected_revision=0, lease=self._lease.lease_id)
        except RevisionConflict as conflict:
            if conflict.current.value != value:
                return False
        except AmbiguousWrite:
            if self._store.get(key).value != value:
                return False
        self._held = self._held | {shard}
        return True

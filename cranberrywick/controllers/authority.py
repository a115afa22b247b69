"""Holds the platform's lease that makes this daemon the only steward of its shards.

Only a shard needs it that contains an endpoint which can't serve all its slots yet,
such as a cold one. The keys of all of a daemon's shards are attached to a single lease,
so that renewing them costs one call every few seconds, whatever their number.
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

# Lifetime of a lease, in seconds. Three renewals may fail before it lapses, and when
# the second one in a row fails it still lasts as long as a grant of nine seconds.
LEASE_SECONDS = 20.0
# Interval between renewals, in seconds.
KEEP_ALIVE_SECONDS = 5.0
# Pause before the next attempt, in seconds, when the lease has lapsed, a shard is
# held by another daemon or the platform did not answer.
RETRY_SECONDS = 2.0
# Longest random addition to that pause after an outage, in seconds, so that the
# stewards do not all return at the same moment.
RETRY_SPREAD_SECONDS = 3.0
# Share of a lease's lifetime that is relied on here. The rest allows for a platform
# clock that runs fast and for the time that the platform takes to write its answer.
LEASE_SAFETY = 0.95


class ShardAuthority:
    """Acquires and renews the lease on a thread of its own.

    It is the `Authority` of `cranberrywick.controllers.grants`. A lease counts from
    before it was asked for, so that it ends here before the platform gives its shards
    to another daemon. It is never given back early, because grants made under it may
    still be in force.
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
        # Replaced as a whole, never changed: one thread writes and another reads.
        self._wanted: frozenset[Shard] = frozenset()
        self._held: frozenset[Shard] = frozenset()
        self._until = float("-inf")
        self._lease: Lease | None = None
        self._renewed_at = float("-inf")
        self._wake = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="shard-authority", daemon=True
        )

    def start(self) -> None:
        """Start the thread that acquires the wanted shards."""
        self._thread.start()

    def stop(self) -> None:
        """Stop renewing and wait for the thread; the lease lapses by itself."""
        self._stopping = True
        self._wake.set()
        self._thread.join()

    def set_wanted(self, shards: frozenset[Shard]) -> None:
        """Replace the shards to hold; they are acquired in the background."""
        if shards - self._wanted:
            self._wake.set()
        self._wanted = shards

    def held_until(self, shard: Shard) -> float | None:
        """Return until when the shard is held, in seconds on this object's clock.

        Returns None if the shard isn't held. Never waits.
        """
        until = self._until
        return until if shard in self._held and self._clock() < until else None

    def _run(self) -> None:
        pause = None
        while not self._stopping:
            self._wake.wait(pause)
            self._wake.clear()
            if not self._stopping:
                pause = self._update()

    def _update(self) -> float | None:
        """Renew the lease and acquire missing shards.

        Returns the pause until the next update in seconds, None if nothing is wanted.
        """
        wanted = self._wanted
        if not wanted:
            # Without renewal the lease lapses, and the platform deletes its keys.
            self._drop_lease()
            return None
        try:
            self._renew()
            missing = [shard for shard in sorted(wanted) if not self._acquire(shard)]
        except LeaseLapsed:
            self._drop_lease()
            return RETRY_SECONDS
        except PlatformUnavailable as error:
            self._log.info("authority_delayed", error=error)
            return RETRY_SECONDS + self._rng.uniform(0, RETRY_SPREAD_SECONDS)
        return RETRY_SECONDS if missing else KEEP_ALIVE_SECONDS

    def _drop_lease(self) -> None:
        self._held = frozenset()
        self._until = float("-inf")
        self._lease = None

    def _renew(self) -> None:
        now = self._clock()
        if self._lease is None or now >= self._until:
            self._drop_lease()
            self._lease = self._store.grant_lease(LEASE_SECONDS)
            self._record_renewal(now)
        elif now - self._renewed_at >= KEEP_ALIVE_SECONDS / 2:
            self._store.keep_alive(self._lease.lease_id)
            self._record_renewal(now)

    def _record_renewal(self, asked_at: float) -> None:
        self._renewed_at = asked_at
        self._until = asked_at + self._lease.ttl_seconds * LEASE_SAFETY

    def _acquire(self, shard: Shard) -> bool:
        if shard in self._held:
            return True
        key = f"stewards/{shard.region}/{shard.number}"
        # The value names the lease, because an earlier run of this daemon may have
        # left a key under its own lease.
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

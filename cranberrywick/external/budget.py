"""Limits one daemon to its part of the platform's call rates.

Load pattern: the platform serves some 300 writes and 2,000 reads a second for the
whole fleet, and its rates grow more slowly than the fleet. A burst of bookings at
one daemon, or all daemons retrying at the end of an outage, would use up the rates
that the others need. The platform would then answer late, every daemon would time out
and retry, and the outage would go on.

Three limits prevent this; they are computed in `cranberrywick.external.call_limits`
and `cranberrywick.token_bucket`. Each daemon uses an equal part of half of the rates;
the other half is left for the operators' own use of the service. After three failures
in a row a daemon makes no calls except single probes at random moments, so that
callers are refused at once instead of waiting for a timeout. After an outage the rate
grows from a tenth to the full rate over ten seconds.
"""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from cranberrywick.errors import CranberrywickError, PlatformUnavailable
from cranberrywick.external.call_limits import OutageGuard
from cranberrywick.external.key_value import (
    AmbiguousWrite,
    Entry,
    KeyValueStore,
    Lease,
    Listing,
    RateLimited,
    WatchAnswer,
)
from cranberrywick.token_bucket import TokenBucket

__all__ = ["BudgetedKeyValueStore", "PlatformRates"]

# Largest burst after a time without calls, in seconds of the daemon's rate.
BURST_SECONDS = 5.0
# Lower bound of the largest burst, in calls. At 320 daemons a daemon's part is below
# one write a second, and it still has to make the few calls that one request or one
# order needs together.
BURST_MINIMUM_CALLS = 8.0
# Longest wait of a call, in seconds. A call that would wait longer is refused, since
# the request that needs it has time limits of its own.
WAIT_MAXIMUM_SECONDS = 1.0

# Error types that mean that the platform did not answer. A conflict, a lapsed lease or
# a refusal by the rate limit is an answer.
FAILURE_TYPES = frozenset({PlatformUnavailable.type, AmbiguousWrite.type})

Answer = TypeVar("Answer")


class PlatformRates(NamedTuple):
    """Calls a second that the whole fleet may make: half of the platform's rates."""

    writes: float = 150.0
    reads: float = 1000.0


class BudgetedKeyValueStore(KeyValueStore):
    """Wraps a store, counts its calls and keeps them within a budget.

    A call over the budget waits up to a second; one that would have to wait longer
    is refused with `RateLimited`. In an outage a call is refused at once with
    `PlatformUnavailable`. ``calls_by_kind`` counts the calls made and
    ``refused_by_kind`` the calls refused here. ``observe`` is called with the kind,
    the outcome and the duration in seconds of each call made.

    >>> store = BudgetedKeyValueStore(open_key_value_store(urls), daemons=9)
    >>> store.get("config/current")
    >>> store.calls_by_kind
    {'get': 1}
    """

    def __init__(
        self,
        store: KeyValueStore,
        daemons: int = 1,
        rates: PlatformRates | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        seed: int | None = None,
        observe: Callable[[str, str, float], None] | None = None,
    ):
        self._store = store
        self._observe = observe or (lambda kind, outcome, seconds: None)
        self._rates = rates or PlatformRates()
        self._clock = clock
        self._sleep = sleep
        # Guards the attributes below. It is not held while a call waits or is made.
        self._lock = threading.Lock()
        self._guard = OutageGuard(random.Random(seed))
        self._daemons = daemons
        now = clock()
        self._writes = TokenBucket(1.0, BURST_MINIMUM_CALLS, now)
        self._reads = TokenBucket(1.0, BURST_MINIMUM_CALLS, now)
        self._share = 0.0
        self._apply_share(now)
        self._calls_by_kind: Counter[str] = Counter()
        self._refused_by_kind: Counter[str] = Counter()

    @property
    def calls_by_kind(self) -> dict[str, int]:
        """Calls made to the platform so far, by kind; a waiting watch is one call."""
        with self._lock:
            return dict(self._calls_by_kind)

    @property
    def refused_by_kind(self) -> dict[str, int]:
        """Calls that this budget has refused so far, by kind."""
        with self._lock:
            return dict(self._refused_by_kind)

    @property
    def in_outage(self) -> bool:
        """Whether the platform counts as unavailable."""
        return self._guard.in_outage

    def set_daemons(self, daemons: int) -> None:
        """Set the number of daemons that share the platform's rates."""
        with self._lock:
            self._daemons = max(1, daemons)
            # Makes `_apply_share` set the rates even if the share has not changed.
            self._share = 0.0
            self._apply_share(self._clock())

    def _apply_share(self, now: float) -> None:
        """Set the rates of both buckets if the share of them has changed."""
        share = self._guard.share(now)
        if share == self._share:
            return
        self._share = share
        for bucket, rate in (
            (self._writes, self._rates.writes),
            (self._reads, self._rates.reads),
        ):
            part = share * rate / self._daemons
            burst = max(BURST_MINIMUM_CALLS, part * BURST_SECONDS)
            bucket.set_rate(part, burst, now)

    def get(self, key: str) -> Entry:
        """Read one key; the answer may be stale."""
        return self._call("get", self._reads, lambda: self._store.get(key))

    def list(self, prefix: str) -> Listing:
        """Read every key under a prefix."""
        return self._call("list", self._reads, lambda: self._store.list(prefix))

    def put(
        self,
        key: str,
        value: str,
        *,
        expected_revision: int | None = None,
        lease: str | None = None,
    ) -> int:
        """Write a key of at most 1 MiB and return its revision."""
        return self._call(
            "put",
            self._writes,
            lambda: self._store.put(
                key, value, expected_revision=expected_revision, lease=lease
            ),
        )

    def delete(self, key: str, *, expected_revision: int | None = None) -> None:
        """Delete a key; deleting one that does not exist is no error."""
        self._call(
            "delete",
            self._writes,
            lambda: self._store.delete(key, expected_revision=expected_revision),
        )

    def watch(self, prefix: str, after: int, wait_seconds: float) -> WatchAnswer:
        """Wait up to ``wait_seconds`` for changes with a revision above ``after``."""
        return self._call(
            "watch", self._reads, lambda: self._store.watch(prefix, after, wait_seconds)
        )

    def grant_lease(self, ttl_seconds: float) -> Lease:
        """Create a lease of ``ttl_seconds``."""
        return self._call(
            "lease", self._writes, lambda: self._store.grant_lease(ttl_seconds)
        )

    def keep_alive(self, lease_id: str) -> Lease:
        """Renew a lease; raises `LeaseLapsed`."""
        return self._call(
            "lease", self._writes, lambda: self._store.keep_alive(lease_id)
        )

    def end_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        self._call("lease", self._writes, lambda: self._store.end_lease(lease_id))

    def _call(
        self, kind: str, bucket: TokenBucket, call: Callable[[], Answer]
    ) -> Answer:
        wait = self._admit(kind, bucket)
        if wait > 0:
            self._sleep(wait)
        started = self._clock()
        outcome = "ok"
        try:
            return call()
        except CranberrywickError as error:
            outcome = error.type
            raise
        finally:
            self._record_outcome(kind, outcome, started)

    def _record_outcome(self, kind: str, outcome: str, started: float) -> None:
        now = self._clock()
        with self._lock:
            if outcome in FAILURE_TYPES:
                self._guard.failed(now)
            elif self._guard.succeeded(now):
                # Tokens that were added during the outage are not used at its end.
                self._writes.empty(now)
                self._reads.empty(now)
        self._observe(kind, outcome, now - started)

    def _admit(self, kind: str, bucket: TokenBucket) -> float:
        """Count a call and return its wait in seconds, or raise if it is refused."""
        with self._lock:
            now = self._clock()
            if not self._guard.may_call(now):
                self._refused_by_kind[kind] += 1
                raise PlatformUnavailable(
                    "the platform is out", retry_after=self._guard.retry_after(now)
                )
            self._apply_share(now)
            wait = bucket.take(now)
            if wait > WAIT_MAXIMUM_SECONDS:
                bucket.refund()
                self._refused_by_kind[kind] += 1
                raise RateLimited("over this daemon's part", retry_after=wait)
            self._calls_by_kind[kind] += 1
            return wait

"""Retention of claims, timed by the platform's clock alone.

If a daemon's wall clock determined it, a clock that jumped a day ahead would drop
live claims, and a repeated booking would run twice. Instead, each claim carries the
id of a retention slice, which stands for the claims of about an hour. A slice is a
key in the store under a lease that lasts at least as long as the retention. When the
lease has expired and the platform has deleted the key, the claims of the slice may
be dropped.
"""

import secrets
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from cranberrywick.external.key_value import KeyValueStore

__all__ = ["RETENTION_SECONDS", "SLICE_SECONDS", "RetentionSlices"]

SLICES_PREFIX = "claim-slices/"
# Shortest time for which a claim is kept, in seconds. A caller that repeats a booking
# after an outage of a day still finds its claim.
RETENTION_SECONDS = 24 * 3600.0
# Time for which new claims use one slice, in seconds; the whole fleet creates one
# lease and one key in it.
SLICE_SECONDS = 3600.0
# Number of slice lengths that a slice's lease adds to the retention: a daemon with a
# stale list uses a slice until it reads the next one.
MARGIN_SLICES = 3
# Number of newest slices whose answers are kept for replay, for two hours at least.
RESULT_SLICES = 3
# Interval between two readings of the slices, in seconds.
REFRESH_SECONDS = 60.0


class _SliceSnapshot(NamedTuple):
    """The live slices, oldest first, at one revision of the store."""

    live: tuple[int, ...]
    store_revision: int


class RetentionSlices:
    """The retention slices whose keys the platform still has.

    ``clock`` returns monotonic seconds; ``retention_seconds`` is the shortest time
    for which a claim is kept.
    """

    def __init__(
        self,
        key_value: KeyValueStore,
        retention_seconds: float = RETENTION_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._key_value = key_value
        self._lease_seconds = retention_seconds + MARGIN_SLICES * SLICE_SECONDS
        self._clock = clock
        # Guards the attributes below. It is held during calls to the platform, so
        # that one thread refreshes while the others wait for the result.
        self._lock = threading.Lock()
        # Replaced as a whole, since it is read without the lock: the live slices of
        # one list combined with the revision of another would drop live claims.
        self._snapshot = _SliceSnapshot((), 0)
        self._newest: int | None = None
        self._newest_seen_at = 0.0
        self._refreshed_at: float | None = None

    @property
    def newest(self) -> int:
        """Id of the slice for new claims; None before the first `refresh_if_due`."""
        return self._newest

    def has_lapsed(self, slice_id: int) -> bool:
        """Return whether the retention of a slice's claims has passed.

        A slice may also be missing from a list because the list is stale and older
        than the slice; dropping its claims would let their calls run twice. A slice's
        id is the store revision that created it, so the slice has lapsed only if the
        list is of the same revision or a later one.
        """
        snapshot = self._snapshot
        return slice_id <= snapshot.store_revision and slice_id not in snapshot.live

    def keeps_results(self, slice_id: int) -> bool:
        """Return whether the results of a slice's claims are still kept."""
        snapshot = self._snapshot
        return (
            slice_id > snapshot.store_revision
            or slice_id in snapshot.live[-RESULT_SLICES:]
        )

    def refresh_if_due(self) -> None:
        """Read the slices if the last reading is `REFRESH_SECONDS` old.

        Create a slice if there is none or if the newest has been known for
        `SLICE_SECONDS`. Raises `PlatformUnavailable`.
        """
        with self._lock:
            now = self._clock()
            due = (
                self._refreshed_at is None
                or now - self._refreshed_at >= REFRESH_SECONDS
            )
            if due:
                self._refresh(now)

    def _refresh(self, now: float) -> None:
        listing = self._key_value.list(SLICES_PREFIX)
        live = tuple(sorted(entry.revision for entry in listing.entries))
        self._snapshot = _SliceSnapshot(live, listing.store_revision)
        if live and live[-1] > (self._newest or 0):
            self._newest = live[-1]
            self._newest_seen_at = now
        if self._newest is None or now - self._newest_seen_at >= SLICE_SECONDS:
            self._newest = self._create()
            self._newest_seen_at = now
        self._refreshed_at = now

    def _create(self) -> int:
        # Two daemons may each create one at the same time, which costs only a key.
        lease = self._key_value.grant_lease(self._lease_seconds)
        key = SLICES_PREFIX + secrets.token_hex(8)
        return self._key_value.put(key, "", expected_revision=0, lease=lease.lease_id)

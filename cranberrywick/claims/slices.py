"""How long claims are kept, by the platform's clock alone.

Were a daemon's wall clock to decide, one that jumped a day ahead would drop live
claims, and a repeated booking would run twice. So each claim carries the id of a
retention slice: a key in the store under a lease that lasts the retention. When
the platform has dropped the slice's key, its claims may go.
"""

import secrets
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from cranberrywick.external.key_value import KeyValueStore

__all__ = ["RETENTION_SECONDS", "SLICE_SECONDS", "RetentionSlices"]

SLICES_PREFIX = "claim-slices/"
# A caller that repeats a booking after a day's outage still meets its claim.
RETENTION_SECONDS = 24 * 3600.0
# One lease and one key an hour for the whole fleet.
SLICE_SECONDS = 3600.0
# A slice may be used until its successor is seen, by daemons whose list is stale.
MARGIN_SLICES = 3
# Answers are kept for replay in the newest slices: two hours at least.
RESULT_SLICES = 3
REFRESH_SECONDS = 60.0


class _View(NamedTuple):
    """The live slices, oldest first, at one revision of the store."""

    live: tuple[int, ...]
    store_revision: int


class RetentionSlices:
    """The slices that the platform still has.

    ``clock`` is monotonic seconds.
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
        # Guards the attributes below; held over the platform's calls, so that one
        # thread refreshes and the others wait for it.
        self._lock = threading.Lock()
        # Replaced whole, since it is read without the lock: the live slices of one
        # list with the revision of another would drop live claims.
        self._view = _View((), 0)
        self._newest: int | None = None
        self._newest_seen_at = 0.0
        self._refreshed_at: float | None = None

    @property
    def newest(self) -> int:
        """The slice for a new claim, after `refresh_if_due` has passed once."""
        return self._newest

    def has_lapsed(self, slice_id: int) -> bool:
        """Say whether the claims of a slice have passed their retention.

        A slice that is missing from a list may also be younger than a stale list;
        to drop its claims would let their calls run twice. Its id is the revision
        that made it, so it has lapsed only where the list is at least as new.
        """
        view = self._view
        return slice_id <= view.store_revision and slice_id not in view.live

    def keeps_results(self, slice_id: int) -> bool:
        """Say whether the results of a slice's claims are still kept."""
        view = self._view
        return slice_id > view.store_revision or slice_id in view.live[-RESULT_SLICES:]

    def refresh_if_due(self) -> None:
        """Read the slices when they were not read lately; make one when due."""
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
        self._view = _View(live, listing.store_revision)
        if live and live[-1] > (self._newest or 0):
            self._newest = live[-1]
            self._newest_seen_at = now
        if self._newest is None or now - self._newest_seen_at >= SLICE_SECONDS:
            self._newest = self._create()
            self._newest_seen_at = now
        self._refreshed_at = now

    def _create(self) -> int:
        # Two daemons may make one each at the same moment, which costs a key.
        lease = self._key_value.grant_lease(self._lease_seconds)
        key = SLICES_PREFIX + secrets.token_hex(8)
        return self._key_value.put(key, "", expected_revision=0, lease=lease.lease_id)

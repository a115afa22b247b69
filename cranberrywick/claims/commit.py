"""Writing a batch of claim operations to one bucket by compare-and-swap."""

import random
import time
from collections.abc import Callable, Sequence

from cranberrywick.claims.bucket import Bucket, Operation
from cranberrywick.claims.outcomes import ClaimOutcome, ClaimsFull
from cranberrywick.claims.slices import RetentionSlices
from cranberrywick.errors import PlatformUnavailable
from cranberrywick.external.key_value import (
    AmbiguousWrite,
    Entry,
    KeyValueStore,
    RevisionConflict,
)

__all__ = ["CommitUnsettled", "Committer", "Outcome"]

CLAIMS_PREFIX = "claims/"
# A batch that the platform does not settle in this time is given up.
SETTLE_SECONDS = 4.0
PAUSE_MAXIMUM_SECONDS = 0.1
# What callers are told when the platform gives no time of its own.
RETRY_AFTER_SECONDS = 2.0

Outcome = ClaimOutcome | ClaimsFull | None


class CommitUnsettled(PlatformUnavailable):
    """The batch may have been written; no answer says so."""


class Committer:
    """Applies operations to buckets in the key-value service.

    ``clock`` is monotonic seconds, ``wall_clock`` seconds since 1970.
    """

    def __init__(
        self,
        key_value: KeyValueStore,
        slices: RetentionSlices,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self._key_value = key_value
        self._slices = slices
        self._clock = clock
        self._wall_clock = wall_clock
        self._sleep = sleep
        self._random = random.Random()

    def commit(self, bucket_id: str, operations: Sequence[Operation]) -> list[Outcome]:
        """Carry out the operations in order, all in one write or none.

        Returns the outcome of each. Raises `PlatformUnavailable` when nothing was
        written and `CommitUnsettled` when that is not known.
        """
        entry = self._key_value.get(CLAIMS_PREFIX + bucket_id)
        give_up_at = self._clock() + SETTLE_SECONDS
        while True:
            bucket, outcomes = self._apply(entry, operations)
            if not bucket.changed:
                return outcomes
            current = self._swap(entry, bucket.to_text(), give_up_at)
            if current is None:
                return outcomes
            if self._clock() >= give_up_at:
                message = f"bucket {bucket_id} is contended"
                raise PlatformUnavailable(message, retry_after=RETRY_AFTER_SECONDS)
            # What holds now decides. If it carries the nonces of this batch, an
            # earlier write of it took effect and applying it again finds them.
            entry = current

    def _apply(
        self, entry: Entry, operations: Sequence[Operation]
    ) -> tuple[Bucket, list[Outcome]]:
        bucket = Bucket.parse(entry.value)
        bucket.prune(self._slices.has_lapsed, self._slices.keeps_results)
        now = self._wall_clock()
        outcomes: list[Outcome] = []
        for operation in operations:
            try:
                outcomes.append(bucket.apply(operation, now))
            except ClaimsFull as error:
                outcomes.append(error)
        return bucket, outcomes

    def _swap(self, entry: Entry, text: str, give_up_at: float) -> Entry | None:
        """Write if the key is as ``entry`` says; return what holds if it is not.

        A lost answer is settled by sending the same compare-and-swap again: only
        one of the two can take effect, and a refusal carries the true value. To
        read the key back instead would not do, since a read may be stale and the
        first write may still be on its way.
        """
        may_be_written = False
        while True:
            try:
                self._key_value.put(entry.key, text, expected_revision=entry.revision)
                return None
            except RevisionConflict as conflict:
                return conflict.current
            except AmbiguousWrite:
                may_be_written = True
            except PlatformUnavailable:
                if not may_be_written:
                    raise
            if self._clock() >= give_up_at:
                message = f"no answer says whether {entry.key} was written"
                raise CommitUnsettled(message, retry_after=RETRY_AFTER_SECONDS)
            self._sleep(self._random.uniform(0, PAUSE_MAXIMUM_SECONDS))

"""Atomic write of a batch of claim operations to one bucket."""

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

__all__ = ["CommitUnsettled", "Committer", "OperationOutcome"]

CLAIMS_PREFIX = "claims/"
# Time for which the write of a batch is repeated, in seconds; after it the batch
# fails.
SETTLE_SECONDS = 4.0
# Longest pause between two attempts to write, in seconds; the pause is random.
MAX_PAUSE_SECONDS = 0.1
# Time after which a caller may retry when the platform itself names none, in seconds.
RETRY_AFTER_SECONDS = 2.0

OperationOutcome = ClaimOutcome | ClaimsFull | None


class CommitUnsettled(PlatformUnavailable):
    """It is unknown whether the batch was written, since the answer was lost."""


class Committer:
    """Applies operations to buckets in the key-value service.

    ``clock`` returns monotonic seconds, ``wall_clock`` seconds since 1970; ``sleep``
    pauses between two attempts.
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

    def commit(
        self, bucket_id: str, operations: Sequence[Operation]
    ) -> list[OperationOutcome]:
        """Apply the operations in order in a single write; return their outcomes.

        Either all operations take effect or none does. Raises `PlatformUnavailable`
        when nothing was written, `CommitUnsettled` when that is unknown, and
        `ClaimsUnreadable`. An operation that finds its bucket full has `ClaimsFull`
        as its outcome.
        """
        entry = self._key_value.get(CLAIMS_PREFIX + bucket_id)
        give_up_at = self._clock() + SETTLE_SECONDS
        while True:
            bucket, outcomes = self._apply(entry, operations)
            if not bucket.changed:
                return outcomes
            current = self._compare_and_swap(entry, bucket.to_text(), give_up_at)
            if current is None:
                return outcomes
            if self._clock() >= give_up_at:
                message = f"bucket {bucket_id} is contended"
                raise PlatformUnavailable(message, retry_after=RETRY_AFTER_SECONDS)
            # The write was refused: apply the batch to the present value. If an
            # earlier write of this batch took effect, the value contains its nonces
            # and the operations recognise them.
            entry = current

    def _apply(
        self, entry: Entry, operations: Sequence[Operation]
    ) -> tuple[Bucket, list[OperationOutcome]]:
        bucket = Bucket.parse(entry.value)
        bucket.prune(self._slices.has_lapsed, self._slices.keeps_results)
        now = self._wall_clock()
        outcomes: list[OperationOutcome] = []
        for operation in operations:
            try:
                outcomes.append(bucket.apply(operation, now))
            except ClaimsFull as error:
                outcomes.append(error)
        return bucket, outcomes

    def _compare_and_swap(
        self, entry: Entry, text: str, give_up_at: float
    ) -> Entry | None:
        """Write if the key still has the revision of ``entry``.

        Return None if it was written, otherwise the present entry of the key.

        After a lost answer the same compare-and-swap is sent again: only one of the
        two can take effect, and a refusal carries the present value. Reading the key
        back would not decide it, since a read may be stale and the first write may
        still be in transit.
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
            self._sleep(self._random.uniform(0, MAX_PAUSE_SECONDS))

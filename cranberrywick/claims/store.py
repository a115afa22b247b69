"""At-most-once claims for calls that may not be repeated.

Before a non-idempotent call is sent, its ``Idempotency-Key`` is claimed in the
platform's key-value service by compare-and-swap. Of all daemons that try, at most
one gets `Claimed` and may send the call; no other may for as long as claims are
kept. A claim never passes to another holder, since a holder that was paused may
still send the call.

Claims that reach one bucket at the same time share a write: one thread writes for
all that wait.
"""

import hashlib
import secrets
import time
from collections.abc import Callable

from cranberrywick.claims.bucket import AcquireClaim, RecordResult, Release
from cranberrywick.claims.commit import Committer
from cranberrywick.claims.outcomes import (
    Claim,
    ClaimOutcome,
    RecordedResult,
)
from cranberrywick.claims.queue import ClaimQueue
from cranberrywick.claims.slices import SLICE_SECONDS, RetentionSlices
from cranberrywick.errors import PlatformUnavailable
from cranberrywick.external.key_value import KeyValueStore

__all__ = ["ClaimStore", "claim_digest"]

# Number of buckets, each of which is one stored value. There are few, so that
# simultaneous claims share a write, but enough that at one claim a second, kept for a
# day, a value stays well below a megabyte.
BUCKETS = 64
# Stored length of a body's digest in hexadecimal digits: 128 bits, to save space.
BODY_DIGEST_CHARACTERS = 32


def claim_digest(organisation: str, key: str) -> str:
    """Return the digest under which a key's claim is stored.

    The digest covers the organisation and its length, so that no choice of a key
    lets one organisation reach the claims of another.

    >>> claim_digest("a", "b:c") == claim_digest("a:b", "c")
    False
    """
    text = f"{len(organisation)}:{organisation}:{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class ClaimStore:
    """Claims, results and releases over the key-value service.

    ``clock`` returns monotonic seconds and ``wall_clock`` seconds since 1970;
    ``buckets`` is the number of stored values over which claims are spread. Between
    `start` and `stop` a thread writes results and releases; `flush` does so once.

    >>> claims = ClaimStore(key_value)
    >>> outcome = claims.claim("kask", "order-7", body_digest, "req-1", 30.0)
    >>> if isinstance(outcome, Claimed):
    ...     claims.record(outcome.claim, send())
    """

    def __init__(
        self,
        key_value: KeyValueStore,
        *,
        slices: RetentionSlices | None = None,
        buckets: int = BUCKETS,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self._slices = slices or RetentionSlices(key_value, clock=clock)
        committer = Committer(key_value, self._slices, clock, wall_clock, sleep)
        self._queue = ClaimQueue(committer)
        self._buckets = buckets
        self._clock = clock
        self._wall_clock = wall_clock

    def start(self) -> None:
        """Start the thread that writes results and releases."""
        self._queue.start()

    def stop(self, timeout: float = 5.0) -> None:
        """Stop the thread after a last flush; wait ``timeout`` seconds at most."""
        self._queue.stop(timeout)

    def flush(self) -> bool:
        """Write the waiting results and releases; return whether all were written."""
        return self._queue.flush()

    @property
    def backlog(self) -> int:
        """Number of results and releases that are not written yet."""
        return self._queue.backlog

    def claim(
        self,
        organisation: str,
        key: str,
        body_digest: str,
        request_id: str,
        completion_seconds: float,
    ) -> ClaimOutcome:
        """Claim a key for one call; only `Claimed` allows the call to be sent.

        After ``completion_seconds`` the outcome for others that claim the key is
        `Unknown` instead of `InProgress`, until one is recorded. Raises
        `PlatformUnavailable` and `ClaimsFull`; in both cases the call must not be
        sent, and the key can be claimed again later.
        """
        self._slices.refresh_if_due()
        slice_chosen_at = self._clock()
        digest = claim_digest(organisation, key)
        bucket_id = f"{int(digest[:8], 16) % self._buckets:04x}"
        claim = Claim(bucket_id, digest, secrets.token_hex(8))
        outcome = self._queue.write(
            AcquireClaim(
                claim,
                body_digest[:BODY_DIGEST_CHARACTERS],
                self._slices.newest,
                self._wall_clock() + completion_seconds,
                request_id,
            )
        )
        if self._clock() - slice_chosen_at >= SLICE_SECONDS:
            # This process was paused after it chose the slice, and the slice's lease
            # may end before the retention of the claim. No call was sent under the
            # claim, so it can be released.
            self.release(claim)
            raise PlatformUnavailable("claim is dated too early", retry_after=1.0)
        return outcome

    def record(self, claim: Claim, result: RecordedResult) -> None:
        """Record the answer of a claimed call, for replay to later calls.

        It is written by the next `flush` or with the next claim of its bucket.
        """
        self._queue.defer(RecordResult(claim, result))

    def record_unknown(self, claim: Claim) -> None:
        """Record that it is unknown whether a claimed call ran."""
        self._queue.defer(RecordResult(claim, None))

    def release(self, claim: Claim) -> None:
        """Delete a claim, so that the key can be claimed again.

        Only the holder may call this, and only if the call was not sent and will not
        be sent.
        """
        self._queue.defer(Release(claim))

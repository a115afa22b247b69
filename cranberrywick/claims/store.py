"""At-most-once claims for calls that may not be repeated.

Before a non-idempotent call is sent, its ``Idempotency-Key`` is claimed in the
platform's key-value service by compare-and-swap. Of any number of daemons that
try, one is told `Claimed` and may send; it alone, for as long as claims are kept.
A claim is never taken over: a holder that was paused may still act.

Claims of one bucket that come together are written together: one thread writes
for all that wait.
"""

import hashlib
import secrets
import time
from collections.abc import Callable

from cranberrywick.claims.bucket import RecordResult, Release, TakeClaim
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

# One value a bucket. Few, so that claims made together share a write; enough that
# at one claim a second, kept a day, a value stays well under a megabyte.
BUCKETS = 64
# 128 bits of a digest; what is kept for a day is kept short.
BODY_DIGEST_CHARACTERS = 32


def claim_digest(organisation: str, key: str) -> str:
    """Return what stands for a key in the store.

    The organisation is part of it, with its length, so that no choice of key lets
    one organisation meet another's claims.

    >>> claim_digest("a", "b:c") == claim_digest("a:b", "c")
    False
    """
    text = f"{len(organisation)}:{organisation}:{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class ClaimStore:
    """Claims, results and releases over the key-value service.

    ``clock`` is monotonic and ``wall_clock`` seconds since 1970. Between `start`
    and `stop` a thread writes results and releases; `flush` does so once.

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
        """Write what is left, within ``timeout`` seconds."""
        self._queue.stop(timeout)

    def flush(self) -> bool:
        """Write the results and releases that wait; say whether all were written."""
        return self._queue.flush()

    @property
    def backlog(self) -> int:
        """How many results and releases are not yet written."""
        return self._queue.backlog

    def claim(
        self,
        organisation: str,
        key: str,
        body_digest: str,
        request_id: str,
        completion_seconds: float,
    ) -> ClaimOutcome:
        """Claim a key for one call, or say why it may not run now.

        After ``completion_seconds`` an open claim counts as unknown instead of in
        progress. Raises `PlatformUnavailable` and `ClaimsFull`; in both cases the
        call must not be sent, and the key can be claimed again later.
        """
        self._slices.refresh_if_due()
        dated_at = self._clock()
        digest = claim_digest(organisation, key)
        bucket_id = f"{int(digest[:8], 16) % self._buckets:04x}"
        claim = Claim(bucket_id, digest, secrets.token_hex(8))
        outcome = self._queue.write(
            TakeClaim(
                claim,
                body_digest[:BODY_DIGEST_CHARACTERS],
                self._slices.newest,
                self._wall_clock() + completion_seconds,
                request_id,
            )
        )
        if self._clock() - dated_at >= SLICE_SECONDS:
            # This process was paused for so long that its claim would be dropped
            # before its time. Nothing was sent under it, so it can be given up.
            self.release(claim)
            raise PlatformUnavailable("claim is dated too early", retry_after=1.0)
        return outcome

    def record(self, claim: Claim, result: RecordedResult) -> None:
        """Keep the answer of a claimed call for whoever repeats it.

        It is written a little later, together with others.
        """
        self._queue.put_off(RecordResult(claim, result))

    def record_unknown(self, claim: Claim) -> None:
        """Keep that the outcome of a claimed call can't be known."""
        self._queue.put_off(RecordResult(claim, None))

    def release(self, claim: Claim) -> None:
        """Give a claim up, so that the key can be claimed again.

        Only for the holder, and only when nothing was sent and nothing will be.
        """
        self._queue.put_off(Release(claim))

"""Batched writes of claim operations, by one thread at a time for each bucket."""

import random
import threading
from collections import deque

from cranberrywick.claims.bucket import AcquireClaim, RecordResult, Release
from cranberrywick.claims.commit import Committer, CommitUnsettled
from cranberrywick.claims.outcomes import ClaimOutcome
from cranberrywick.errors import CranberrywickError
from cranberrywick.logs import EventLog

__all__ = ["ClaimQueue"]

# Largest number of claims, and of results and releases, in one write. A larger batch
# would delay its first operation.
BATCH_LIMIT = 64
# Time for which results and releases wait so that others share their write, in
# seconds.
LINGER_SECONDS = 0.05
# Largest number of results and releases that wait during an outage of the platform.
# Beyond it the oldest are dropped: their keys stay claimed with an unknown outcome,
# so that no call runs twice.
BACKLOG_LIMIT = 4096
# Longest pause after a failed flush, in seconds; pauses grow up to it, with full
# jitter.
MAX_FLUSH_PAUSE_SECONDS = 5.0

_log = EventLog(part="claims")


class _PendingClaim:
    """A claim that waits to be written; ``outcome`` is None until then."""

    def __init__(self, operation: AcquireClaim):
        self.operation = operation
        self.outcome: ClaimOutcome | CranberrywickError | None = None


class ClaimQueue:
    """Combines the operations of many threads into few writes.

    A claim is written as soon as no other write of its bucket is in progress, either
    by its own thread or in the batch of another thread. Results and releases are
    deferred: they are written with the next claim of their bucket, or by `flush`,
    which a background thread calls between `start` and `stop`.
    """

    def __init__(self, committer: Committer):
        self._committer = committer
        self._random = random.Random()
        # Guards the queues below. Notifies the threads whose claims were written and
        # the thread that flushes.
        self._changed = threading.Condition()
        self._pending_by_bucket: dict[str, deque[_PendingClaim]] = {}
        self._buckets_being_written: set[str] = set()
        self._backlog: deque[RecordResult | Release] = deque()
        self._stopping = threading.Event()
        self._flusher = threading.Thread(
            target=self._flush_until_stopped, name="claims-flush", daemon=True
        )

    def start(self) -> None:
        """Start the thread that writes deferred results and releases."""
        self._flusher.start()

    def stop(self, timeout: float) -> None:
        """Stop the thread after a last flush; wait ``timeout`` seconds at most."""
        self._stopping.set()
        with self._changed:
            self._changed.notify_all()
        if self._flusher.ident is not None:
            self._flusher.join(timeout)

    @property
    def backlog(self) -> int:
        """Number of results and releases that are not written yet."""
        return len(self._backlog)

    def defer(self, *operations: RecordResult | Release) -> None:
        """Queue results and releases, to be written with others.

        When more than `BACKLOG_LIMIT` wait, the oldest are dropped.
        """
        with self._changed:
            self._backlog.extend(operations)
            while len(self._backlog) > BACKLOG_LIMIT:
                self._backlog.popleft()
            self._changed.notify_all()

    def write(self, operation: AcquireClaim) -> ClaimOutcome:
        """Wait until a claim is written and return its outcome.

        Raises what `Committer.commit` raises, and `ClaimsFull`.
        """
        pending = _PendingClaim(operation)
        bucket_id = operation.claim.bucket_id
        with self._changed:
            self._pending_by_bucket.setdefault(bucket_id, deque()).append(pending)
        while True:
            with self._changed:
                self._changed.wait_for(
                    lambda: (
                        pending.outcome is not None
                        or bucket_id not in self._buckets_being_written
                    )
                )
                if pending.outcome is not None:
                    break
                self._buckets_being_written.add(bucket_id)
            self._write_bucket(bucket_id)
        if isinstance(pending.outcome, CranberrywickError):
            raise pending.outcome
        return pending.outcome

    def _write_bucket(self, bucket_id: str) -> bool:
        """Write the pending operations of a bucket and return whether that succeeded.

        The calling thread has added the bucket to those that are being written.
        """
        with self._changed:
            deferred = self._pop_deferred(bucket_id)
            batch = self._pop_batch(bucket_id)
        # Releases come first: a caller may be claiming a key again whose claim is
        # being released.
        operations = [*deferred, *(pending.operation for pending in batch)]
        try:
            outcomes = self._committer.commit(bucket_id, operations)
        except CranberrywickError as error:
            self._fail(bucket_id, error, deferred, batch)
            return False
        except BaseException:
            unsettled = CommitUnsettled("the write of claims broke off")
            self._fail(bucket_id, unsettled, deferred, batch)
            raise
        self._finish(bucket_id, batch, outcomes[len(deferred) :])
        return True

    def _pop_deferred(self, bucket_id: str) -> list[RecordResult | Release]:
        chosen = [op for op in self._backlog if op.claim.bucket_id == bucket_id]
        chosen = chosen[:BATCH_LIMIT]
        for operation in chosen:
            self._backlog.remove(operation)
        return chosen

    def _pop_batch(self, bucket_id: str) -> list[_PendingClaim]:
        pending = self._pending_by_bucket.get(bucket_id, deque())
        batch = [pending.popleft() for _ in range(min(BATCH_LIMIT, len(pending)))]
        if not pending:
            self._pending_by_bucket.pop(bucket_id, None)
        return batch

    def _finish(
        self,
        bucket_id: str,
        batch: list[_PendingClaim],
        outcomes: list[ClaimOutcome | CranberrywickError],
    ) -> None:
        with self._changed:
            for pending, outcome in zip(batch, outcomes, strict=True):
                pending.outcome = outcome
            self._buckets_being_written.discard(bucket_id)
            self._changed.notify_all()

    def _fail(
        self,
        bucket_id: str,
        error: CranberrywickError,
        deferred: list[RecordResult | Release],
        batch: list[_PendingClaim],
    ) -> None:
        _log.warning("claims_not_written", bucket=bucket_id, error=error)
        if isinstance(error, CommitUnsettled):
            # The claims may be in the store, although their calls will not be sent. If
            # the claims stayed, their callers could never run these calls.
            deferred = [*deferred, *(Release(w.operation.claim) for w in batch)]
        with self._changed:
            self._backlog.extendleft(reversed(deferred))
            # Claims that were queued meanwhile fail now as well, since their own
            # write would most likely meet the same failure.
            batch = [*batch, *self._pending_by_bucket.pop(bucket_id, ())]
        self._finish(bucket_id, batch, [error] * len(batch))

    def flush(self) -> bool:
        """Write the deferred operations; return whether all buckets were written."""
        with self._changed:
            bucket_ids = {operation.claim.bucket_id for operation in self._backlog}
        return all([self._flush_bucket(bucket_id) for bucket_id in sorted(bucket_ids)])

    def _flush_bucket(self, bucket_id: str) -> bool:
        with self._changed:
            self._changed.wait_for(lambda: bucket_id not in self._buckets_being_written)
            self._buckets_being_written.add(bucket_id)
        return self._write_bucket(bucket_id)

    def _flush_until_stopped(self) -> None:
        pause = LINGER_SECONDS
        while not self._stopping.is_set():
            with self._changed:
                self._changed.wait_for(lambda: self._backlog or self._stopping.is_set())
            self._stopping.wait(pause)
            if self.flush():
                pause = LINGER_SECONDS
            else:
                # Full jitter: after an outage the fleet's daemons must not all write
                # their results at the same moment.
                cap = min(2 * pause + LINGER_SECONDS, MAX_FLUSH_PAUSE_SECONDS)
                pause = self._random.uniform(LINGER_SECONDS, cap)
        self.flush()

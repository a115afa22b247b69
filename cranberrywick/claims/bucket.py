"""A bucket: claims that share one stored value, and the operations on them.

Claims made at the same time then cost one write. This module only computes;
`cranberrywick.claims.commit` reads and writes the values.
"""

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from cranberrywick.claims.outcomes import (
    AlreadyDone,
    Claim,
    Claimed,
    ClaimOutcome,
    ClaimsFull,
    ClaimsUnreadable,
    InProgress,
    KeyReused,
    RecordedResult,
    Unknown,
)
from cranberrywick.fields import FIELD_ERRORS

__all__ = ["AcquireClaim", "Bucket", "Operation", "RecordResult", "Release"]

# The store accepts values of up to 1 MiB. A bucket above the first size keeps no
# further results, one above the second accepts no further claims. The rest is room
# for the additions of one batch.
KEEP_RESULTS_BELOW_BYTES = 640 << 10
ADD_CLAIMS_BELOW_BYTES = 896 << 10
# Largest answer that is kept for replay. That of a booking has a few hundred bytes.
MAX_RESULT_BYTES = 4 << 10


class ClaimState(StrEnum):
    """State of a claimed call.

    A call is open until its outcome is recorded: done if the call is known to have
    run, otherwise unknown.
    """

    OPEN = "open"
    DONE = "done"
    UNKNOWN = "unknown"


class _Record(NamedTuple):
    nonce: str
    body_digest: str
    slice_id: int
    deadline: float
    request_id: str
    state: ClaimState = ClaimState.OPEN
    result: RecordedResult | None = None


# Positions of the retention slice and of the optional result in a stored record.
SLICE_INDEX = 2
RESULT_INDEX = 6


@dataclass(frozen=True)
class AcquireClaim:
    """Claim a key if no claim exists for it.

    After ``deadline``, in seconds of wall time, an open claim counts as unknown.
    """

    claim: Claim
    body_digest: str
    slice_id: int
    deadline: float
    request_id: str


@dataclass(frozen=True)
class RecordResult:
    """Record the outcome of a claimed call, which is unknown without a result."""

    claim: Claim
    result: RecordedResult | None


@dataclass(frozen=True)
class Release:
    """Delete a claim whose call was not sent and never will be."""

    claim: Claim


Operation = AcquireClaim | RecordResult | Release


class Bucket:
    """The claims of one stored value, by digest.

    >>> bucket = Bucket.parse(None)
    >>> operation = AcquireClaim(Claim("00", "d", "n"), "b", 1, 60.0, "req-1")
    >>> bucket.apply(operation, now=0.0)
    Claimed(claim=Claim(bucket_id='00', digest='d', nonce='n'))
    """

    def __init__(self, fields_by_digest: dict[str, list], size_bytes: int):
        # Kept as stored and decoded when needed: a batch reads only a few of thousands
        # of claims, and decoding all of them took most of a claim's processor time.
        self._fields_by_digest = fields_by_digest
        self._size_bytes = size_bytes
        self.changed = False

    @classmethod
    def parse(cls, text: str | None) -> "Bucket":
        """Return the claims in a stored value, which is None for an absent key.

        Raises `ClaimsUnreadable`.
        """
        if text is None:
            return cls({}, 0)
        try:
            stored = json.loads(text)["claims"]
            well_formed = all(map(_is_well_formed, stored.values()))
        except FIELD_ERRORS as error:
            raise ClaimsUnreadable(f"stored claims: {error!r}") from error
        if not well_formed:
            raise ClaimsUnreadable("stored claims are malformed")
        return cls(stored, len(text))

    def to_text(self) -> str:
        """Return the value to store."""
        return json.dumps({"claims": self._fields_by_digest}, separators=(",", ":"))

    @property
    def size_bytes(self) -> int:
        """Approximate length of `to_text`."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._fields_by_digest)

    def prune(
        self, has_lapsed: Callable[[int], bool], keeps_results: Callable[[int], bool]
    ) -> None:
        """Drop claims and results whose retention has passed.

        Both functions take the id of a retention slice: ``has_lapsed`` returns
        whether its claims may be dropped, ``keeps_results`` whether their results are
        still kept.
        """
        slice_ids = {fields[SLICE_INDEX] for fields in self._fields_by_digest.values()}
        lapsed = {slice_id for slice_id in slice_ids if has_lapsed(slice_id)}
        without_results = {id_ for id_ in slice_ids if not keeps_results(id_)}
        for digest, fields in list(self._fields_by_digest.items()):
            if fields[SLICE_INDEX] in lapsed:
                self._drop(digest)
            elif fields[SLICE_INDEX] in without_results and len(fields) > RESULT_INDEX:
                self._drop(digest)
                self._put(digest, fields[:RESULT_INDEX])

    def apply(self, operation: Operation, now: float) -> ClaimOutcome | None:
        """Apply one operation; ``now`` is in seconds of wall time.

        Return the outcome of an `AcquireClaim` and None for any other operation.
        Raises `ClaimsFull` and `ClaimsUnreadable`.
        """
        if isinstance(operation, AcquireClaim):
            return self._acquire(operation, now)
        record = self._read(operation.claim.digest)
        if isinstance(operation, Release):
            self._release(operation, record)
        elif record is not None and record.nonce == operation.claim.nonce:
            self._record(operation, record)
        return None

    def _acquire(self, wanted: AcquireClaim, now: float) -> ClaimOutcome:
        digest = wanted.claim.digest
        record = self._read(digest)
        if record is None:
            if self._size_bytes > ADD_CLAIMS_BELOW_BYTES:
                raise ClaimsFull("the claims' value is full", retry_after=60.0)
            record = _Record(
                wanted.claim.nonce,
                wanted.body_digest,
                wanted.slice_id,
                wanted.deadline,
                wanted.request_id,
            )
            self._put(digest, _encode(record))
            self.changed = True
            return Claimed(wanted.claim)
        if record.nonce == wanted.claim.nonce:
            # An earlier write of this claim took effect, but its answer was lost.
            return Claimed(wanted.claim)
        if record.body_digest != wanted.body_digest:
            return KeyReused()
        if record.state is ClaimState.DONE:
            return AlreadyDone(record.request_id, record.result)
        # A claim of any age stays with its holder, which may be paused and act later.
        # The deadline only determines the outcome that is returned.
        if record.state is ClaimState.UNKNOWN or now > record.deadline:
            return Unknown(record.request_id)
        return InProgress(record.request_id)

    def _record(self, operation: RecordResult, record: _Record) -> None:
        result = operation.result
        state = ClaimState.UNKNOWN if result is None else ClaimState.DONE
        if result is not None and not self._has_room_for(result):
            result = None
        self._drop(operation.claim.digest)
        recorded = record._replace(state=state, result=result)
        self._put(operation.claim.digest, _encode(recorded))
        self.changed = True

    def _has_room_for(self, result: RecordedResult) -> bool:
        return (
            len(result.body) <= MAX_RESULT_BYTES
            and self._size_bytes <= KEEP_RESULTS_BELOW_BYTES
        )

    def _release(self, operation: Release, record: _Record | None) -> None:
        # Counts as a change even if there is no record: a write of this claim may
        # still be in transit, and it is certain to be refused only after another
        # write has advanced the key's revision.
        self.changed = True
        if record is not None and record.nonce == operation.claim.nonce:
            self._drop(operation.claim.digest)

    def _read(self, digest: str) -> _Record | None:
        fields = self._fields_by_digest.get(digest)
        if fields is None:
            return None
        try:
            return _decode(fields)
        except (TypeError, ValueError) as error:
            raise ClaimsUnreadable(f"stored claim: {error!r}") from error

    def _put(self, digest: str, fields: list) -> None:
        self._fields_by_digest[digest] = fields
        self._size_bytes += _size_bytes(fields)

    def _drop(self, digest: str) -> None:
        self._size_bytes -= _size_bytes(self._fields_by_digest.pop(digest))


def _is_well_formed(fields: object) -> bool:
    """Return whether a stored claim has the fields that pruning reads."""
    return (
        isinstance(fields, list)
        and RESULT_INDEX <= len(fields) <= RESULT_INDEX + 1
        and isinstance(fields[SLICE_INDEX], int)
    )


def _size_bytes(fields: list) -> int:
    # The constant stands for the digest, its quotes and the separators.
    return len(json.dumps(fields, separators=(",", ":"))) + 36


def _encode(record: _Record) -> list:
    fields = [*record[:-2], record.state.value]
    if record.result is not None:
        body = base64.b64encode(record.result.body).decode()
        fields.append([record.result.status, record.result.content_type, body])
    return fields


def _decode(fields: list) -> _Record:
    nonce, body_digest, slice_id, deadline, request_id, state, *results = fields
    result = None
    if results:
        status, content_type, body = results[0]
        result = RecordedResult(int(status), content_type, base64.b64decode(body))
    return _Record(
        nonce,
        body_digest,
        int(slice_id),
        float(deadline),
        request_id,
        ClaimState(state),
        result,
    )

"""The claim on a key and the possible outcomes of an attempt to claim it."""

from dataclasses import dataclass
from typing import NamedTuple

from cranberrywick.errors import Overloaded, PlatformUnavailable

__all__ = [
    "AlreadyDone",
    "Claim",
    "ClaimOutcome",
    "Claimed",
    "ClaimsFull",
    "ClaimsUnreadable",
    "InProgress",
    "KeyReused",
    "RecordedResult",
    "Unknown",
]


class Claim(NamedTuple):
    """The right to run the call of one idempotency key, once.

    ``digest`` stands for the key and its organisation, ``bucket_id`` names the stored
    value that holds the claim, and ``nonce`` distinguishes this attempt from all
    others.
    """

    bucket_id: str
    digest: str
    nonce: str


class RecordedResult(NamedTuple):
    """The answer of a claimed call, replayed to later calls with the same key."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class Claimed:
    """The caller of `ClaimStore.claim` may run the call, and no other holder may."""

    claim: Claim


@dataclass(frozen=True)
class AlreadyDone:
    """The call has run already, in the request ``request_id``.

    ``result`` is None when its answer was not kept.
    """

    request_id: str
    result: RecordedResult | None


@dataclass(frozen=True)
class InProgress:
    """Another holder claimed the key and its completion time has not passed."""

    request_id: str


@dataclass(frozen=True)
class Unknown:
    """Another holder claimed the key and it is unknown whether the call ran.

    Either this outcome was recorded, or none was within the completion time.
    """

    request_id: str


@dataclass(frozen=True)
class KeyReused:
    """The key was claimed before for a request with another body."""


ClaimOutcome = Claimed | AlreadyDone | InProgress | Unknown | KeyReused


class ClaimsFull(Overloaded):
    """The bucket has no room for a claim until the retention of older ones ends."""

    type = "claims_full"


class ClaimsUnreadable(PlatformUnavailable):
    """The stored claims can't be read.

    If they were treated as absent, a claimed call could run a second time.
    """

    type = "claims_unreadable"

"""Typed values that the parts of the program pass to one another."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ClassTargets",
    "Completed",
    "Endpoint",
    "EndpointKind",
    "EndpointLoad",
    "EndpointPhase",
    "EndpointRefusal",
    "Executed",
    "Failed",
    "GiveUp",
    "NotSent",
    "Queued",
    "RefusalReason",
    "Refused",
    "Retry",
    "Send",
    "SendResult",
    "Settled",
    "Share",
    "Work",
]


class Executed(StrEnum):
    """Whether a request ran, as far as this daemon can know."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class EndpointKind(StrEnum):
    """What stands behind an endpoint's address."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointPhase(StrEnum):
    """How much new work an endpoint can take."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"
    GONE = "gone"


class EndpointRefusal(StrEnum):
    """Why an endpoint did not take a request; in every case it did not run."""

    COLD = "cold"
    LEAVING = "leaving"
    FULL = "full"
    UNREACHABLE = "unreachable"


class ClassTargets(NamedTuple):
    """What operators promise for one class of work, in seconds.

    ``attainment`` is the share of requests, between 0 and 1, that must meet
    the first-token and between-tokens targets; ``completion_seconds`` is a hard
    limit for every admitted request.
    """

    first_token_seconds: float
    completion_seconds: float
    between_tokens_seconds: float
    attainment: float


class Work(NamedTuple):
    """One request as the decisions see it.

    Times are seconds on the daemon's monotonic clock. ``prefix_keys`` are digests
    of the prompt's leading blocks, shortest prefix first; two requests that share
    the first ``n`` keys share that many blocks of prompt.
    """

    work_id: str
    organisation: str
    class_name: str
    model: str
    prompt_tokens: int
    max_output_tokens: int
    arrival: float
    first_token_deadline: float
    deadline: float
    idempotent: bool = True
    prefix_keys: tuple[str, ...] = ()
    adapter: str | None = None
    service: str | None = None


class Endpoint(NamedTuple):
    """What is known of an endpoint from the VM list and the configuration.

    ``address`` is ``host:port``. ``prefill_tokens_per_second`` and
    ``cache_tokens`` are the kind's nominal figures; outcomes correct them.
    ``slots`` is how many requests a warm endpoint runs together, ``cold_slots``
    how many a cold one bears.
    """

    endpoint_id: str
    kind: EndpointKind
    address: str
    failure_domain: str
    region: str
    models: tuple[str, ...] = ()
    service: str | None = None
    checks_fencing: bool = False
    slots: int = 8
    cold_slots: int = 1
    prefill_tokens_per_second: float = 20_000.0
    decode_tokens_per_second: float = 50.0
    cache_tokens: int = 600_000


class EndpointLoad(NamedTuple):
    """One load report of an endpoint; it describes a moment that has passed.

    ``incarnation`` grows each time the endpoint's process starts.
    ``reported_at`` is seconds on this daemon's monotonic clock, less the age
    that the report states.
    """

    endpoint_id: str
    incarnation: int
    phase: EndpointPhase
    reported_at: float
    running: int = 0
    waiting: int = 0
    prefill_tokens_waiting: int = 0
    cache_tokens_used: int = 0
    models: tuple[str, ...] = ()


class Share(NamedTuple):
    """The part of one endpoint that this daemon may use until ``expires_at``."""

    endpoint_id: str
    slots: int
    expires_at: float


class RefusalReason(StrEnum):
    """Why a request was refused before it ran."""

    CANNOT_MEET_TARGET = "cannot_meet_target"
    NO_ENDPOINT = "no_endpoint"
    ORGANISATION_OVER_SHARE = "organisation_over_share"
    DEADLINE_PASSED = "deadline_passed"
    DRAINING = "draining"
    PLATFORM_UNAVAILABLE = "platform_unavailable"


@dataclass(frozen=True)
class Queued:
    """The scheduler has taken the work and will decide on it at a later poll."""

    work_id: str


@dataclass(frozen=True)
class Refused:
    """The work did not run and will not; come back after ``retry_after`` seconds."""

    work_id: str
    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True)
class Send:
    """Send the work now. More than one endpoint means a gang, leader first.

    ``gang_tokens`` are the tokens that each member of a gang holds, in the same
    order; empty without a gang.
    """

    work_id: str
    endpoint_ids: tuple[str, ...]
    gang_tokens: tuple[int, ...] = ()


@dataclass(frozen=True)
class GiveUp:
    """Queued work that can no longer make it; the caller is told at once."""

    refused: Refused

    @property
    def work_id(self) -> str:
        """The work that is given up."""
        return self.refused.work_id


class SendResult(NamedTuple):
    """What came of one attempt at an endpoint.

    ``first_token_seconds`` and ``total_seconds`` count from the send;
    ``first_token_seconds`` is None when nothing arrived.
    ``leaving`` says that the endpoint refused because it is going away.
    """

    endpoint_id: str
    succeeded: bool
    executed: Executed
    first_token_seconds: float | None
    total_seconds: float
    output_tokens: int = 0
    leaving: bool = False
    cold: bool = False


@dataclass(frozen=True)
class Settled:
    """Nothing more will be tried for this work."""

    work_id: str


@dataclass(frozen=True)
class Retry:
    """The work is queued again and will be sent elsewhere."""

    work_id: str


@dataclass(frozen=True)
class Completed:
    """The caller received the whole answer."""

    output_tokens: int


@dataclass(frozen=True)
class Failed:
    """The request was sent and did not complete; ``executed`` says what is known."""

    error_type: str
    executed: Executed


@dataclass(frozen=True)
class NotSent:
    """The request ended before anything was sent to an endpoint."""

    error_type: str

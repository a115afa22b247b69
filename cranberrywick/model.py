"""Data types that are shared by the parts of the program."""

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
    """Whether a request ran, as far as this daemon can determine."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class EndpointKind(StrEnum):
    """What an endpoint is: an inference engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointPhase(StrEnum):
    """The phase of an endpoint, which determines how much new work it can run."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"
    GONE = "gone"


class EndpointRefusal(StrEnum):
    """Why an endpoint refused a request; the request never ran."""

    COLD = "cold"
    LEAVING = "leaving"
    FULL = "full"
    UNREACHABLE = "unreachable"


class ClassTargets(NamedTuple):
    """The targets that operators set for one class of work, in seconds.

    ``attainment`` is the share of requests, between 0 and 1, that must meet
    the first-token and between-tokens targets; ``completion_seconds`` is a hard
    limit for every admitted request.
    """

    first_token_seconds: float
    completion_seconds: float
    between_tokens_seconds: float
    attainment: float


class Work(NamedTuple):
    """One request, with what admission and placement need of it.

    Times are in seconds on the daemon's monotonic clock. ``prefix_keys`` are digests
    of the prompt's prefixes of one, two and more blocks; two requests with the same
    first ``n`` keys have the first ``n`` blocks of their prompts in common.
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
    """An endpoint as the VM list and the configuration describe it.

    ``address`` is ``host:port``. ``prefill_tokens_per_second`` and ``cache_tokens``
    are the nominal figures of the endpoint's kind, which are corrected by outcomes.
    ``slots`` is the number of requests that a warm endpoint runs at the same time,
    ``cold_slots`` the number that a cold one can run.
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
    """One load report of an endpoint, which describes a moment in the past.

    ``incarnation`` increases each time the endpoint's process starts. ``reported_at``
    is the time of that moment, in seconds on this daemon's monotonic clock: the time
    of arrival less the age that the report states.
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
    """The slots of one endpoint that this daemon may use until ``expires_at``.

    ``expires_at`` is in seconds on the daemon's monotonic clock.
    """

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
    """The scheduler has queued the work and will decide on it at a later poll."""

    work_id: str


@dataclass(frozen=True)
class Refused:
    """The work did not run and will not; retry after ``retry_after`` seconds."""

    work_id: str
    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True)
class Send:
    """The work is to be sent now; several endpoints form a gang, the leader first.

    ``gang_tokens`` are the numbers of tokens that the members of the gang hold, in the
    order of ``endpoint_ids``; it is empty without a gang.
    """

    work_id: str
    endpoint_ids: tuple[str, ...]
    gang_tokens: tuple[int, ...] = ()


@dataclass(frozen=True)
class GiveUp:
    """Queued work that can no longer meet its targets; the caller is answered now."""

    refused: Refused

    @property
    def work_id(self) -> str:
        """The id of the work that is given up."""
        return self.refused.work_id


class SendResult(NamedTuple):
    """The result of one attempt at an endpoint.

    ``first_token_seconds`` and ``total_seconds`` are measured from the send;
    ``first_token_seconds`` is None if nothing arrived. ``leaving`` and ``cold`` are
    true if the endpoint refused because it is leaving or in cold start.
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
    """The work has ended and will not be tried again."""

    work_id: str


@dataclass(frozen=True)
class Retry:
    """The work is queued again, to be sent to another endpoint."""

    work_id: str


@dataclass(frozen=True)
class Completed:
    """The caller received the whole answer."""

    output_tokens: int


@dataclass(frozen=True)
class Failed:
    """The request was sent and not completed; ``executed`` says whether it ran."""

    error_type: str
    executed: Executed


@dataclass(frozen=True)
class NotSent:
    """The request ended before anything was sent to an endpoint."""

    error_type: str

"""Exceptions that are reported to callers, operators and peers.

Each class has a stable ``type`` for the wire, an HTTP status, and a statement of
whether the request ran. The HTTP front renders a raised exception as a response.
"""

from typing import TypedDict

from cranberrywick.model import EndpointRefusal, Executed

__all__ = [
    "AmbiguousSend",
    "AnswerLost",
    "AnswerTooLong",
    "CallerGone",
    "CranberrywickError",
    "Draining",
    "EndpointFailed",
    "EndpointRefused",
    "EntryUnreachable",
    "ErrorBody",
    "IdempotencyKeyReused",
    "InvalidConfiguration",
    "InvalidRequest",
    "InvalidSettings",
    "MissingIdempotencyKey",
    "NotFound",
    "OutcomeUnknown",
    "Overloaded",
    "PayloadTooLarge",
    "PeerMessageInvalid",
    "PlatformUnavailable",
    "PromptTooLong",
    "StillRunning",
    "TimedOut",
    "Unauthorised",
    "UnknownModel",
    "UnknownService",
    "VersionConflict",
]


class ErrorBody(TypedDict):
    """The JSON object under the key ``error`` of every error response."""

    type: str
    message: str
    executed: str
    request_id: str


class CranberrywickError(Exception):
    """The base class of these exceptions; subclasses set the class attributes.

    An instance may override ``executed``, when it has better knowledge of whether the
    request ran. ``retry_after``, in seconds, is sent as ``Retry-After`` if it is set.

    >>> Overloaded("queue is longer than the target", retry_after=2.0).status
    429
    """

    type = "internal_error"
    status = 500
    executed = Executed.UNKNOWN
    # Sent to callers instead of a message that holds internals of the fleet.
    public_message: str | None = None

    def __init__(
        self,
        message: str,
        *,
        retry_after: float | None = None,
        executed: Executed | None = None,
    ):
        super().__init__(message)
        self.message = message
        self.retry_after = retry_after
        if executed is not None:
            self.executed = executed

    def body(self, request_id: str) -> ErrorBody:
        """Return the error as the JSON object that is sent to the caller."""
        return ErrorBody(
            type=self.type,
            message=self.public_message or self.message,
            executed=self.executed.value,
            request_id=request_id,
        )


class InvalidRequest(CranberrywickError):
    """The request is malformed."""

    type = "invalid_request"
    status = 400
    executed = Executed.NO


class PayloadTooLarge(InvalidRequest):
    """The body is larger than the daemon accepts."""

    type = "payload_too_large"
    status = 413


class PromptTooLong(InvalidRequest):
    """The prompt and its answer do not fit into the model's context window."""

    type = "prompt_too_long"


class MissingIdempotencyKey(InvalidRequest):
    """A call that must not run twice was made without ``Idempotency-Key``."""

    type = "missing_idempotency_key"


class IdempotencyKeyReused(InvalidRequest):
    """The ``Idempotency-Key`` was used before with another body."""

    type = "idempotency_key_reused"
    status = 422


class Unauthorised(InvalidRequest):
    """The caller's key is missing or unknown."""

    type = "unauthorised"
    status = 401


class NotFound(InvalidRequest):
    """There is no such path, call of a path, version or other named object."""

    type = "not_found"
    status = 404


class UnknownModel(InvalidRequest):
    """There is no such model or class of work."""

    type = "unknown_model"
    status = 404


class UnknownService(InvalidRequest):
    """There is no such plain service, or the service has no such call."""

    type = "unknown_service"
    status = 404


class Overloaded(CranberrywickError):
    """The request cannot meet its targets now and did not run."""

    type = "overloaded"
    status = 429
    executed = Executed.NO


class RequestQuarantined(CranberrywickError):
    """Endpoints crash under a trait of the request: a segment, or all that it holds."""

    public_message = "endpoints have crashed under requests like this one"
    type = "request_quarantined"
    status = 503
    executed = Executed.NO


class Draining(CranberrywickError):
    """This daemon is stopping; the request can be sent to another entry."""

    type = "draining"
    status = 503
    executed = Executed.NO


class PlatformUnavailable(CranberrywickError):
    """The platform's key-value service did not answer in time."""

    public_message = "the platform's key-value service gave no answer in time"
    type = "platform_unavailable"
    status = 503
    executed = Executed.NO


class EndpointRefused(CranberrywickError):
    """The endpoint refused the request; ``reason`` says why.

    ``at_fault`` is the address of another endpoint that is the cause of the refusal,
    such as a helper that leaves, and None if the endpoint itself is the cause.
    """

    type = "endpoint_refused"
    status = 503
    executed = Executed.NO

    def __init__(
        self,
        message: str,
        *,
        reason: EndpointRefusal = EndpointRefusal.FULL,
        retry_after: float | None = None,
        at_fault: str | None = None,
    ):
        super().__init__(message, retry_after=retry_after)
        self.reason = reason
        self.at_fault = at_fault

    @property
    def is_unreachable(self) -> bool:
        """Whether no connection was made, so that the request was not sent."""
        return self.reason is EndpointRefusal.UNREACHABLE


class EntryUnreachable(CranberrywickError):
    """A caller or operator could not connect to an entry, so nothing was sent."""

    type = "entry_unreachable"
    status = 503
    executed = Executed.NO


class StillRunning(CranberrywickError):
    """The same non-idempotent call is in progress; a later call gets its answer."""

    type = "still_running"
    status = 409


class TimedOut(CranberrywickError):
    """The request was sent, and then the completion time of its class passed."""

    type = "timed_out"
    status = 504


class AmbiguousSend(CranberrywickError):
    """The connection failed after the request may have reached the endpoint."""

    type = "ambiguous_send"
    status = 502


class AnswerLost(CranberrywickError):
    """The answer was cut short or belonged to another request."""

    type = "answer_lost"
    status = 502


class AnswerTooLong(AnswerLost):
    """The endpoint sent bytes that can't be an answer.

    ``bound`` names the bound that they exceed, ``received`` is how many there were of
    what it counts.
    """

    def __init__(self, bound: str, received: int):
        super().__init__(f"no answer: {bound} of {received} is beyond the bound")
        self.bound = bound
        self.received = received


class EndpointFailed(AnswerLost):
    """The endpoint ran the request and answered with an error.

    ``answer`` is that whole answer, which the caller receives if no other endpoint is
    tried.
    """

    type = "endpoint_failed"
    executed = Executed.YES

    def __init__(self, message: str, answer: object):
        super().__init__(message)
        self.answer = answer


class CallerGone(CranberrywickError):
    """The caller disconnected, or read so slowly that its answer was stopped."""

    type = "caller_gone"
    status = 499


class OutcomeUnknown(CranberrywickError):
    """The call was claimed earlier, and its outcome was never recorded."""

    type = "outcome_unknown"
    status = 409


class VersionConflict(CranberrywickError):
    """The configuration was changed in between by another operator."""

    type = "version_conflict"
    status = 409
    executed = Executed.NO


class InvalidConfiguration(CranberrywickError):
    """The configuration document is invalid; the message names the path in it."""

    type = "invalid_configuration"
    status = 400
    executed = Executed.NO


class InvalidSettings(InvalidConfiguration):
    """The daemon's settings file is invalid."""

    type = "invalid_settings"


class PeerMessageInvalid(CranberrywickError):
    """A message from the network is not a well-formed, authentic peer message."""

    type = "peer_message_invalid"
    status = 400
    executed = Executed.NO

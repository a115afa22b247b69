"""One request, the state that filters add to it, and its response."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cranberrywick.configuration.document import Configuration
from cranberrywick.metrics import TokenGaps
from cranberrywick.model import (
    ClassTargets,
    Completed,
    Failed,
    NotSent,
    RefusalReason,
    Work,
)

__all__ = ["CallerStream", "Exchange", "Outcome", "Response"]

Outcome = Completed | Failed | NotSent
Write = Callable[[bytes], object]


@dataclass
class Response:
    """The response to the caller.

    ``body`` is empty for an answer that has already been streamed.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes = b""


class CallerStream:
    """The connection to the caller, as a streamed answer is written to it.

    The status line is sent together with the first bytes of the body, so that a
    failure before them can still be answered with its own status or lead to another
    attempt. ``begin`` sends a status and headers and returns the function that
    writes the body.
    """

    def __init__(self, begin: Callable[[int, list[tuple[str, str]]], Write]):
        self._begin = begin
        self._write: Write | None = None
        self._status = 200
        self._headers: list[tuple[str, str]] = []

    @property
    def started(self) -> bool:
        """Whether anything has been sent to the caller."""
        return self._write is not None

    @property
    def channel(self) -> object | None:
        """The server's channel to the caller, which counts the bytes not yet sent."""
        return getattr(getattr(self._write, "__self__", None), "channel", None)

    def set_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Set the status and headers that are sent ahead of the first bytes."""
        self._status = status
        self._headers = headers

    def write(self, data: bytes) -> None:
        """Send bytes to the caller; raises when the caller has disconnected."""
        if self._write is None:
            self._write = self._begin(self._status, self._headers)
        self._write(data)


@dataclass
class Exchange:
    """A request on its way through the chain of filters.

    Times are seconds on the daemon's monotonic clock. ``configuration`` is the one
    in force when the request arrived, so that all filters use the same version.
    ``caller_gone`` returns whether the caller has closed its connection. The fields
    with defaults are set by the filters. ``sent`` says that the request, or part of
    it, may have been sent to an endpoint, and ``may_have_run`` that an earlier
    attempt may have run it.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers_by_name: Mapping[str, str]
    body: bytes
    arrived: float
    configuration: Configuration
    caller_gone: Callable[[], bool]
    caller: CallerStream

    organisation: str = ""
    class_name: str = ""
    targets: ClassTargets | None = None
    idempotent: bool = True
    stream: bool = False
    endpoint_path: str = ""
    endpoint_body: bytes = b""
    work: Work | None = None
    response: Response | None = None

    queued_seconds: float | None = None
    refusal: RefusalReason | None = None
    sent: bool = False
    may_have_run: bool = False
    first_token_at: float | None = None
    output_tokens: int = 0
    gaps: TokenGaps | None = None

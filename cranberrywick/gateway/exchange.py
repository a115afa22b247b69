"""What is known of one request while it is served."""

import json

from cranberrywick.errors import CranberrywickError, EndpointRefused, InvalidRequest
from cranberrywick.gateway.ingress import CallerConnection, HttpRequest
from cranberrywick.model import Executed
from cranberrywick.platform.headers import RequestMeta
from cranberrywick.routing.model import Organisation, Route, RouteKind, Service

__all__ = ["Exchange"]

# Told to callers where no failure gives a time of its own: one round of news about
# endpoints that have become free or failed.
RETRY_SECONDS = 0.3

_keys = iter(range(1, 2**62))


class Exchange:
    """One request, its caller and what has come of it so far.

    ``key`` is unique in this process; a caller's request id is only its word.
    ``tried_ids`` are the endpoints that failed it, ``sent_ids`` those that it was sent
    to, ``under_way`` whether one has it now.
    """

    def __init__(
        self, request: HttpRequest, caller: CallerConnection, meta: RequestMeta
    ):
        self.key = str(next(_keys))
        self.request = request
        self.caller = caller
        self.meta = meta
        self.route: Route | None = None
        self.organisation: Organisation | None = None
        self.service: Service | None = None
        self.priority = 0
        self.version = 0
        self.deadline = float("inf")
        self.tried_ids: set[str] = set()
        self.sent_ids: set[str] = set()
        self.under_way = False
        self.sent_at: float | None = None
        self.may_have_run = False
        self.placed_at: float | None = None
        self.first_event_at: float | None = None
        self.last_event_at: float | None = None
        self.longest_gap = 0.0
        self.predicted: float | None = None
        self.parts = 1
        self.last_resort = False
        self.helper_ids: tuple[str, ...] = ()
        self.last_event_id = meta.last_event_id
        self.weights_version: str | None = None
        self.endpoint_id = ""
        self.status = 0

    def note_sent(self, endpoint_id: str, now: float) -> None:
        """Note that the request leaves for an endpoint."""
        self.sent_at = now
        self.sent_ids.add(endpoint_id)
        self.endpoint_id = endpoint_id
        self.under_way = True

    @property
    def sent_count(self) -> int:
        """How many endpoints it was sent to."""
        return len(self.sent_ids)

    @property
    def sent_after(self) -> float | None:
        """How many seconds after its arrival it was sent last; None if it was not."""
        return None if self.sent_at is None else self.sent_at - self.request.arrived

    @property
    def answering_ids(self) -> frozenset[str] | None:
        """Which endpoints may still answer it; None for any.

        Once it was sent to as many as its route allows, those that have not failed it
        may have it again, with other helpers.
        """
        if self.sent_count < self.route.max_endpoints:
            return None
        return frozenset(self.sent_ids - self.tried_ids)

    def note_events(self, now: float) -> float | None:
        """Note that events have come; return the pause before them, if any."""
        last, self.last_event_at = self.last_event_at, now
        if last is None:
            return None
        self.longest_gap = max(self.longest_gap, now - last)
        return now - last

    @property
    def host(self) -> str:
        """The host that the caller asked for."""
        return (self.request.header(b"host") or b"").decode("latin-1")

    @property
    def path(self) -> str:
        """The path as the caller wrote it, without the query."""
        return self.request.target.partition(b"?")[0].decode("latin-1")

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.route.kind is RouteKind.STREAMING

    def failure_status(self, error: CranberrywickError) -> int:
        """Return the status for a failure.

        Statuses that promise "not run" are given only while that is known.
        """
        if isinstance(error, InvalidRequest) and not self.sent_count:
            return error.status
        may_have_run = self.may_have_run or self.under_way
        if error.executed is Executed.NO and not may_have_run:
            return 503
        return 504 if error.status == 504 else 502

    def retry_seconds(self, error: CranberrywickError) -> float:
        """Return when the caller should come back."""
        return error.retry_after or RETRY_SECONDS

    def failure_body(self, error: CranberrywickError) -> bytes:
        """Return the body that tells a caller of a failure."""
        if isinstance(error, EndpointRefused):
            error.public_message = "no endpoint took the request"
        body = error.body(self.meta.request_id)
        if self.may_have_run or self.under_way:
            body["executed"] = Executed.UNKNOWN.value
        return json.dumps({"error": body}).encode()

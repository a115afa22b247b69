"""The state of one request while it is served."""

import asyncio
import json
from collections.abc import Awaitable
from math import inf
from typing import NamedTuple

from cranberrywick.errors import CranberrywickError, EndpointRefused, InvalidRequest
from cranberrywick.gateway.caller_connection import CallerConnection
from cranberrywick.gateway.held_answers import HeldBody
from cranberrywick.gateway.http_request import HttpRequest
from cranberrywick.model import Executed
from cranberrywick.platform.headers import RequestMeta
from cranberrywick.routing.answer_lengths import AnswerOutline
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.model import (
    EndpointRecord,
    Organisation,
    Route,
    RouteKind,
    Service,
)
from cranberrywick.routing.request_traits import RequestTraits

__all__ = ["AnswerSource", "Exchange", "number_of_id"]

# Value of Retry-After where the failure sets none, in seconds. In this time daemons
# exchange updates about endpoints that became free or failed.
RETRY_SECONDS = 0.3

# Largest number of tokens of an answer that is told from a larger one.
MAX_TOKENS = 10**9
# Longest id of an event that is read as a number, in characters.
MAX_NUMBER_LENGTH = 9

_keys = iter(range(1, 2**62))


def number_of_id(event_id: str | None) -> int | None:
    """Return the number that an event's id is; None if it is another text.

    >>> number_of_id("12"), number_of_id("a-12")
    (12, None)
    """
    if not event_id or len(event_id) > MAX_NUMBER_LENGTH:
        return None
    return int(event_id) if event_id.isascii() and event_id.isdecimal() else None


class AnswerSource(NamedTuple):
    """The endpoint that gave an answer, and the request that led to it.

    ``born`` identifies the start of the endpoint, as in its record.
    """

    endpoint_id: str
    born: int
    route_name: str
    request_id: str


class Exchange:
    """One request, its caller and its attempts so far.

    ``key`` is unique in this process, which the request id of a caller need not be.
    ``sent_ids`` are the endpoints that the request was sent to, ``lost_starts`` the
    ids and the starts of those at which it was lost, ``tried_ids`` the
    endpoints that were at fault for a failed attempt, and ``unreachable_ids`` those
    that this daemon did not reach. ``unable_peer_ids`` are the peers that said that
    they can't serve it, ``failed_peer_ids`` those that failed for another reason, as
    often as each did.

    ``resumed_id`` is the id of the last event that the caller had before this daemon
    got the request. A peer that forwarded it may have sent events of it, ``has_begun``,
    and ends at ``cut_at``. Its answer ``is_withheld`` until it is whole, and it
    ``may_go_elsewhere`` if its caller can send it to another daemon.
    ``timeout`` ends it at its ``deadline`` with an error, or at ``expires_at``, when
    its time is over, once its answer has begun.
    ``traits`` are what the request has in common with others, and ``refused_for`` says
    for which one it was refused.
    ``peer_id`` is the peer of the last attempt, empty if that was direct.
    ``endpoint_id`` is the endpoint that the request was last sent to, and
    ``endpoint_born`` identifies its start. ``in_flight`` says whether an endpoint or a
    peer has the request now, ``may_have_run`` whether one that failed may have run it.

    ``answer_began_at`` is when the last attempt's first event came, None before it,
    ``event_batches`` in how many parts its events have come, and ``answer_is_framed``
    whether it states its end. ``events`` is how many events have come, which the caller
    was sent unless they are withheld, and
    ``blocked_seconds`` for how long it did not take what came. ``received_at`` is when
    the last part of an answer that is no stream came, None before it.
    ``long_answers`` is how many answers counted as without an end, and ``is_cut_short``
    says that a part of an answer that is no stream has been sent.
    ``predicted`` is the forecast time from placement to the first event,
    ``foreseen_pace`` that between two events, None if it was not known,
    ``longest_gap`` the longest pause between events, ``parts`` the number of endpoints
    that the last attempt used, helpers included. Times are in seconds, moments those of
    the event loop's clock.
    """

    may_go_elsewhere = True

    def __init__(
        self, request: HttpRequest, caller: CallerConnection, meta: RequestMeta
    ):
        self.key = str(next(_keys))
        self.request = request
        self.caller = caller
        self.meta = meta
        self.traits = RequestTraits(
            meta.segment_ids, request.method, self.host, request.target, request.body
        )
        self.route: Route | None = None
        self.organisation: Organisation | None = None
        self.service: Service | None = None
        self.priority = 0
        self.version = 0
        self.deadline = self.expires_at = inf
        self.timeout: asyncio.Timeout | None = None
        self.tried_ids: set[str] = set()
        self.sent_ids: set[str] = set()
        self.lost_starts: set[tuple[str, int]] = set()
        self.unreachable_ids: set[str] = set()
        self.unable_peer_ids: set[str] = set()
        self.failed_peer_ids: list[str] = []
        self.peer_id = ""
        self.in_flight = False
        self.sent_at: float | None = None
        self.may_have_run = False
        self.placed_at: float | None = None
        self.first_event_at: float | None = None
        self.last_event_at: float | None = None
        self.answer_began_at: float | None = None
        self.received_at: float | None = None
        self.event_batches = 0
        self.events = 0
        self.blocked_seconds = 0.0
        self._blocked_at: float | None = None
        self.long_answers = 0
        self.is_cut_short = False
        self._held_body: HeldBody | None = None
        self.answer_is_framed = True
        self.longest_gap = 0.0
        self.predicted: float | None = None
        self.foreseen_pace: float | None = None
        self.parts = 1
        self.last_resort = False
        self.helper_ids: tuple[str, ...] = ()
        self.last_event_id = self.resumed_id = meta.last_event_id
        self.has_begun = False
        self.cut_at = inf
        self.is_withheld = False
        self.weights_version: str | None = None
        self.endpoint_id = ""
        self.endpoint_born = 0
        self.refused_for = ""
        self.status = 0

    def record_sent(self, endpoint: EndpointRecord, now: float) -> None:
        """Record that the request is being sent to an endpoint."""
        self._begin_attempt(now)
        self.record_endpoint(endpoint.endpoint_id, endpoint.born)
        self.in_flight = True

    def record_forwarded(self, now: float) -> None:
        """Record that the request is being forwarded to a peer."""
        self._begin_attempt(now)
        self.predicted = None
        if self.placed_at is None:
            self.placed_at = now
        self.endpoint_id = ""
        self.in_flight = True

    def _begin_attempt(self, now: float) -> None:
        self.sent_at = now
        self.answer_began_at = self.received_at = None
        self.event_batches = 0
        if not self.caller.answer_started:
            # What was withheld of an earlier attempt's events has been dropped.
            self.events = 0
            self.last_event_at = None

    def use_whole_time(self) -> None:
        """Let an answer that begins go on until the request's time is over."""
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(self.expires_at)

    async def lift_deadline(self) -> None:
        """Let the caller take an answer that is whole, also after the deadline.

        If that passes just now, the request is cancelled here, before the answer.
        """
        if self.timeout is None:
            return
        if self.timeout.expired():
            await asyncio.sleep(0)
        else:
            self.timeout.reschedule(None)

    def hold(self, body: HeldBody | None) -> None:
        """Keep a body in place of the one that is kept of an earlier attempt."""
        if self._held_body is not None:
            self._held_body.release()
        self._held_body = body

    def record_lost(self) -> None:
        """Record that the last attempt was lost, and may have run."""
        self.in_flight = False
        self.may_have_run = True
        self.lost_starts.add((self.endpoint_id, self.endpoint_born))

    def record_endpoint(self, endpoint_id: str, born: int) -> None:
        """Record the endpoint that has the request, and its start."""
        self.sent_ids.add(endpoint_id)
        self.endpoint_id = endpoint_id
        self.endpoint_born = born

    def answer_source(self, endpoint_id: str, born: int) -> AnswerSource:
        """Return the source of an endpoint's answer to this request or for it."""
        return AnswerSource(endpoint_id, born, self.route.name, self.meta.request_id)

    @property
    def sent_count(self) -> int:
        """How many endpoints the request was sent to."""
        return len(self.sent_ids)

    @property
    def sent_after(self) -> float | None:
        """Seconds from the request's arrival to its last attempt; None before one."""
        return None if self.sent_at is None else self.sent_at - self.request.arrived

    @property
    def may_try_another(self) -> bool:
        """Whether an answer without an end may be replaced by another endpoint's.

        If that was done before, the answers to this request are just long.
        """
        is_allowed = self.sent_count < self.route.max_endpoints
        return self.route.idempotent and is_allowed and not self.long_answers

    @property
    def answering_ids(self) -> frozenset[str] | None:
        """The ids of the endpoints that the request may still be sent to; None for any.

        Once it was sent to as many endpoints as its route allows, only those of them
        that were not at fault may get it again, with other helpers.
        """
        if self.sent_count < self.route.max_endpoints:
            return None
        return frozenset(self.sent_ids - self.tried_ids)

    def record_events(self, now: float, events: int = 1) -> float | None:
        """Record that events came in; return the pause before them, in seconds.

        Returns None for the first events of the request.
        """
        last, self.last_event_at = self.last_event_at, now
        self.events += events
        if self.answer_began_at is None:
            self.answer_began_at = now
        self.event_batches += 1
        if last is None:
            return None
        self.longest_gap = max(self.longest_gap, now - last)
        return now - last

    async def await_caller(self, sending: Awaitable[None]) -> None:
        """Wait until the caller has room; that is no time of the endpoint's."""
        loop = asyncio.get_running_loop()
        self._blocked_at = loop.time()
        try:
            await sending
        finally:
            self.blocked_seconds += loop.time() - self._blocked_at
            self._blocked_at = None

    def sent_for(self, now: float) -> float | None:
        """Return for how long an endpoint has had the last attempt; None before one."""
        if self.sent_at is None:
            return None
        return (now if self.received_at is None else self.received_at) - self.sent_at

    def worked_for(self, now: float) -> float:
        """Return for how long an endpoint has worked on the last attempt.

        That leaves out the time for which the caller didn't take the answer.
        """
        until = now if self._blocked_at is None else self._blocked_at
        return self.sent_for(until) - self.blocked_seconds

    def answering_seconds(self, now: float) -> float | None:
        """Return for how long the last attempt has been answered; None before that."""
        return None if self.answer_began_at is None else now - self.answer_began_at

    def outline(self) -> AnswerOutline:
        """Return what is known of the answer before it ends."""
        prompt = self.meta.prompt
        return AnswerOutline(
            self.route.name,
            self.is_stream,
            tokens=min(prompt.output_tokens, MAX_TOKENS) if prompt else 0,
            hint=min(self.meta.length_hint or 0, MAX_TOKENS),
            events=self.events,
            resumed_at=number_of_id(self.resumed_id) or int(bool(self.resumed_id)),
            has_begun=self.caller.answer_started or self.has_begun,
            target_seconds=self.route.target_seconds,
        )

    def demand(
        self, failure_domain: str, longest_wait: float = 0.0, is_retry: bool = False
    ) -> Demand:
        """Return what the placement of the request has to meet; see `Demand`."""
        return Demand(
            request_id=self.key,
            service=self.service,
            prompt=self.meta.prompt,
            target_seconds=self.route.target_seconds,
            due_at=self.request.arrived + self.route.target_seconds,
            gap_seconds=self.route.gap_target_seconds,
            failure_domain=failure_domain,
            tried_ids=frozenset(self.tried_ids | self.unreachable_ids),
            answering_ids=self.answering_ids,
            longest_wait=longest_wait,
            organisation=self.organisation.name if self.organisation else "",
            is_retry=is_retry,
            logged_id=self.meta.request_id,
            traits=self.traits,
            answer=self.outline(),
            deadline=self.deadline,
            expires_at=self.expires_at,
            cut_at=self.cut_at,
        )

    @property
    def host(self) -> str:
        """The request's Host header, empty without one."""
        return (self.request.header(b"host") or b"").decode("latin-1")

    @property
    def path(self) -> str:
        """The request's path as the caller encoded it, without the query."""
        return self.request.target.partition(b"?")[0].decode("latin-1")

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of server-sent events."""
        return self.route.kind is RouteKind.STREAMING

    def failure_status(self, error: CranberrywickError) -> int:
        """Return the HTTP status of the error answer.

        Callers take 503 and the statuses of invalid requests to mean that the request
        has not run. They are returned only if that is certain; else 502 or 504.
        """
        if isinstance(error, InvalidRequest) and not self.sent_count:
            return error.status
        may_have_run = self.may_have_run or self.in_flight
        if error.executed is Executed.NO and not may_have_run:
            return 503
        return 504 if error.status == 504 else 502

    def retry_seconds(self, error: CranberrywickError) -> float:
        """Return after how many seconds the caller should send the request again."""
        return error.retry_after or RETRY_SECONDS

    def failure_body(self, error: CranberrywickError) -> bytes:
        """Return the JSON body of the error answer."""
        if isinstance(error, EndpointRefused):
            error.public_message = "no endpoint took the request"
        body = error.body(self.meta.request_id)
        if self.may_have_run or self.in_flight:
            body["executed"] = Executed.UNKNOWN.value
        return json.dumps({"error": body}).encode()

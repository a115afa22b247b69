"""Queue a request, send it to the endpoint that the scheduler chose, and answer it."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from cranberrywick.controllers.endpoints import EndpointBoard
from cranberrywick.decisions.gangs import GangPlan, Part
from cranberrywick.dispatcher import Dispatcher, Ticket
from cranberrywick.endpoints.client import Answer, Call, send
from cranberrywick.endpoints.gang import hold_gang
from cranberrywick.endpoints.held_bodies import HeldBodies, HeldBody
from cranberrywick.endpoints.relay import Relay
from cranberrywick.errors import (
    CallerGone,
    CranberrywickError,
    Draining,
    EndpointRefused,
    Overloaded,
    PlatformUnavailable,
    TimedOut,
)
from cranberrywick.filters.chain import Filter
from cranberrywick.filters.exchange import Exchange, Outcome, Response
from cranberrywick.metrics import TokenGaps
from cranberrywick.model import (
    Completed,
    Endpoint,
    EndpointRefusal,
    Executed,
    RefusalReason,
    Refused,
    Retry,
    Send,
    SendResult,
    Settled,
)

__all__ = ["DispatchFilter"]

# Interval between two checks whether the caller of a queued request has disconnected,
# in seconds.
CALLER_CHECK_SECONDS = 0.25

# The scheduler refuses work at its deadline. The request's thread waits this many
# seconds longer, so that the caller gets the scheduler's refusal with its Retry-After.
DECISION_GRACE_SECONDS = 0.25

# Headers of an endpoint's answer that are forwarded to the caller.
FORWARDED_HEADERS = ("content-type",)


class _Attempt(NamedTuple):
    """One attempt to send the request; ``number`` counts from 1."""

    number: int
    send: Send
    sent_at: float

    @property
    def endpoint_id(self) -> str:
        """The endpoint that answers: the leader of a gang, or the only endpoint."""
        return self.send.endpoint_ids[0]


class DispatchFilter(Filter):
    """Acquires a slot at an endpoint and releases it when the answer has ended.

    ``name_owner`` returns the owner's name under which a request reserves memory at
    endpoints. ``record_refusal`` is called with the endpoint's id and the reason
    when an endpoint refuses a request.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        relay: Relay,
        board: EndpointBoard,
        name_owner: Callable[[str], str],
        record_refusal: Callable[[str, EndpointRefusal], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._dispatcher = dispatcher
        self._relay = relay
        self._bodies = HeldBodies()
        self._board = board
        self._name_owner = name_owner
        self._record_refusal = record_refusal
        self._clock = clock

    def enter(self, exchange: Exchange) -> None:
        """Set the response, or raise the error that ended the request."""
        ticket = self._dispatcher.submit(exchange.work)
        if isinstance(ticket, Refused):
            raise self._refuse(exchange, ticket)
        try:
            exchange.response = self._serve(exchange, ticket)
        except CranberrywickError as error:
            # The error is that of the last attempt alone. If its "not run" were passed
            # on, the caller would repeat a request that an engine may have run in an
            # earlier attempt.
            if exchange.may_have_run and error.executed is Executed.NO:
                error.executed = Executed.UNKNOWN
            raise

    def leave(self, exchange: Exchange, outcome: Outcome) -> None:
        """Release the slot of a request that failed.

        The result of an attempt releases its slot. A request can end without a
        result, for example when its caller disconnects while it is queued.
        """
        if not isinstance(outcome, Completed):
            self._dispatcher.withdraw(exchange.request_id)

    def _serve(self, exchange: Exchange, ticket: Ticket) -> Response:
        number = 0
        while True:
            decision = self._await_decision(exchange, ticket)
            if number == 0:
                exchange.queued_seconds = self._clock() - exchange.arrived
            number += 1
            attempt = _Attempt(number, decision, self._clock())
            try:
                return self._send(exchange, ticket, attempt)
            except CranberrywickError as error:
                self._raise_unless_retried(exchange, ticket, attempt, error)

    def _await_decision(self, exchange: Exchange, ticket: Ticket) -> Send:
        """Wait for the scheduler's decision to send; raises on a refusal."""
        give_up_at = exchange.work.deadline + DECISION_GRACE_SECONDS
        while True:
            remaining = give_up_at - self._clock()
            decision = ticket.wait(min(CALLER_CHECK_SECONDS, remaining))
            if isinstance(decision, Refused):
                raise self._refuse(exchange, decision)
            if decision is not None:
                return decision
            if remaining <= 0:
                raise TimedOut("no endpoint was free in time", executed=Executed.NO)
            if exchange.caller_gone():
                raise CallerGone("the caller hung up", executed=Executed.NO)

    def _refuse(self, exchange: Exchange, refused: Refused) -> CranberrywickError:
        """Record why the request is refused and return the error to raise."""
        exchange.refusal = refused.reason
        if exchange.queued_seconds is None:
            exchange.queued_seconds = self._clock() - exchange.arrived
        return _refusal_error(refused)

    def _send(self, exchange: Exchange, ticket: Ticket, attempt: _Attempt) -> Response:
        with self._reserve_memory(exchange, attempt) as (endpoint, cache_id):
            call = self._build_call(exchange, attempt, cache_id)
            response = self._send_to(endpoint, exchange, call)
        # Reported after the gang's memory has been released: if it were reported
        # before, the scheduler would send the next prompt to engines whose memory
        # this one still holds.
        self._dispatcher.finished(ticket, self._success_result(exchange, attempt))
        return response

    @contextmanager
    def _reserve_memory(
        self, exchange: Exchange, attempt: _Attempt
    ) -> Iterator[tuple[Endpoint, str]]:
        """Yield the endpoint that answers and the value for its ``X-Cache-Id``.

        A gang's memory is reserved on entry and released on exit; the value names
        the reservations. It is empty for a single endpoint, which needs none.
        """
        endpoints = [self._find_endpoint(name) for name in attempt.send.endpoint_ids]
        if len(endpoints) == 1:
            yield endpoints[0], ""
            return
        leader, *helpers = [
            Part(*part)
            for part in zip(
                attempt.send.endpoint_ids, attempt.send.gang_tokens, strict=True
            )
        ]
        plan = GangPlan(leader, tuple(helpers))
        addresses_by_id = {each.endpoint_id: each.address for each in endpoints}
        remaining = exchange.work.deadline - attempt.sent_at
        owner = self._name_owner(exchange.request_id)
        with hold_gang(plan, addresses_by_id, owner, remaining) as cache_id:
            yield endpoints[0], cache_id

    def _find_endpoint(self, endpoint_id: str) -> Endpoint:
        endpoint = self._board.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            raise EndpointRefused(
                "the endpoint was taken off the VM list",
                reason=EndpointRefusal.UNREACHABLE,
            )
        return endpoint

    def _send_to(self, endpoint: Endpoint, exchange: Exchange, call: Call) -> Response:
        # Set before the first byte is sent: from here on the answer is "not run" only
        # if the error that ends this attempt says so.
        exchange.sent = True
        answer = send(endpoint.address, call)
        try:
            headers = _forwarded_headers(answer)
            if answer.check is not None:
                self._stream(exchange, answer, headers)
                body = b""
            else:
                with HeldBody(self._bodies, answer.deadline) as held:
                    answer.on_part = held.keep
                    body = b"".join(answer.chunks())
                self._record_first_token(exchange)
        finally:
            answer.close()
        exchange.output_tokens = answer.output_tokens
        return Response(answer.status, headers, body)

    def _stream(
        self, exchange: Exchange, answer: Answer, headers: list[tuple[str, str]]
    ) -> None:
        gaps = TokenGaps(exchange.targets.between_tokens_seconds)
        exchange.gaps = gaps
        exchange.caller.set_head(answer.status, headers)
        self._relay.pump(
            answer,
            exchange.caller.write,
            exchange.caller_gone,
            on_first=lambda: self._record_first_token(exchange),
            on_gap=gaps.add,
        )

    def _record_first_token(self, exchange: Exchange) -> None:
        exchange.first_token_at = self._clock()
        self._dispatcher.first_token(exchange.request_id)

    def _build_call(self, exchange: Exchange, attempt: _Attempt, cache_id: str) -> Call:
        headers = {"X-Owner": self._name_owner(exchange.request_id)}
        if cache_id:
            headers["X-Cache-Id"] = cache_id
        for name in ("content-type", "idempotency-key"):
            if name in exchange.headers_by_name:
                headers[name] = exchange.headers_by_name[name]
        return Call(
            request_id=exchange.request_id,
            attempt=attempt.number,
            method=exchange.method,
            path=exchange.endpoint_path,
            body=exchange.endpoint_body,
            headers=headers,
            remaining_seconds=exchange.work.deadline - attempt.sent_at,
            idempotent=exchange.idempotent,
            stream=exchange.stream,
            disconnected=exchange.caller_gone,
        )

    def _success_result(self, exchange: Exchange, attempt: _Attempt) -> SendResult:
        first_token_at = exchange.first_token_at or self._clock()
        return SendResult(
            endpoint_id=attempt.endpoint_id,
            succeeded=True,
            executed=Executed.YES,
            first_token_seconds=first_token_at - attempt.sent_at,
            total_seconds=self._clock() - attempt.sent_at,
            output_tokens=exchange.output_tokens,
        )

    def _raise_unless_retried(
        self,
        exchange: Exchange,
        ticket: Ticket,
        attempt: _Attempt,
        error: CranberrywickError,
    ) -> None:
        """Report a failed attempt; return if there is to be another, else raise."""
        decision = self._report_failure(exchange, ticket, attempt, error)
        if exchange.caller.started:
            # The caller has received part of the answer, which another attempt would
            # send again. `leave` withdraws the work if the scheduler has queued it for
            # another attempt.
            raise error
        if isinstance(decision, Refused):
            raise self._refuse(exchange, decision) from error
        if not isinstance(decision, Retry):
            raise error
        exchange.may_have_run |= error.executed is not Executed.NO
        exchange.sent = exchange.may_have_run
        exchange.first_token_at = None

    def _report_failure(
        self,
        exchange: Exchange,
        ticket: Ticket,
        attempt: _Attempt,
        error: CranberrywickError,
    ) -> Settled | Retry | Refused:
        reason = error.reason if isinstance(error, EndpointRefused) else None
        if reason is not None:
            self._record_refusal(attempt.endpoint_id, reason)
        result = SendResult(
            endpoint_id=attempt.endpoint_id,
            succeeded=False,
            executed=error.executed,
            first_token_seconds=None,
            total_seconds=self._clock() - attempt.sent_at,
            leaving=reason is EndpointRefusal.LEAVING,
            cold=reason is EndpointRefusal.COLD,
        )
        return self._dispatcher.finished(ticket, result)


def _forwarded_headers(answer: Answer) -> list[tuple[str, str]]:
    return [
        (name.title(), answer.headers[name])
        for name in FORWARDED_HEADERS
        if name in answer.headers
    ]


def _refusal_error(refused: Refused) -> CranberrywickError:
    """Return the error with which a refusal by the scheduler is answered."""
    failures_by_reason = {
        RefusalReason.DRAINING: Draining,
        RefusalReason.PLATFORM_UNAVAILABLE: PlatformUnavailable,
    }
    failure = failures_by_reason.get(refused.reason, Overloaded)
    message = refused.reason.value.replace("_", " ")
    return failure(message, retry_after=refused.retry_after)

"""Queue the request, send it where the scheduler says, hand back the answer."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from cranberrywick.controllers.endpoints import EndpointBoard
from cranberrywick.decisions.gangs import GangPlan, Part
from cranberrywick.dispatcher import Dispatcher, Ticket
from cranberrywick.endpoints.client import Answer, Call, send
from cranberrywick.endpoints.gang import hold_gang
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

# How often a queued request looks whether its caller has hung up.
CALLER_CHECK_SECONDS = 0.25

# The scheduler gives up on work at its deadline; the request's own thread waits a
# little longer, so that the caller gets the scheduler's answer with its Retry-After.
DECISION_GRACE_SECONDS = 0.25

# Headers of an endpoint's answer that mean something to the caller.
PASSED_HEADERS = ("content-type",)


class _Attempt(NamedTuple):
    number: int
    send: Send
    sent_at: float

    @property
    def endpoint_id(self) -> str:
        """The endpoint that answers; of a gang the leader."""
        return self.send.endpoint_ids[0]


class DispatchFilter(Filter):
    """Takes a slot at an endpoint and gives it back when the answer has ended.

    ``name_owner`` gives the name under which a request holds memory at endpoints.
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
        self._board = board
        self._name_owner = name_owner
        self._record_refusal = record_refusal
        self._clock = clock

    def enter(self, exchange: Exchange) -> None:
        """Set the response, or raise the failure that ended the request."""
        ticket = self._dispatcher.submit(exchange.work)
        if isinstance(ticket, Refused):
            raise self._refuse(exchange, ticket)
        try:
            exchange.response = self._serve(exchange, ticket)
        except CranberrywickError as error:
            # The last attempt's "not run" says nothing of those before it. Passed
            # on as it is, the caller sends again what an engine may have answered.
            if exchange.may_have_run and error.executed is Executed.NO:
                error.executed = Executed.UNKNOWN
            raise

    def leave(self, exchange: Exchange, outcome: Outcome) -> None:
        """Give the slot back where no result did, as when the caller hung up."""
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
        last_moment = exchange.work.deadline + DECISION_GRACE_SECONDS
        while True:
            remaining = last_moment - self._clock()
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
        exchange.refusal = refused.reason
        if exchange.queued_seconds is None:
            exchange.queued_seconds = self._clock() - exchange.arrived
        return _refusal(refused)

    def _send(self, exchange: Exchange, ticket: Ticket, attempt: _Attempt) -> Response:
        with self._memory(exchange, attempt) as (endpoint, cache_id):
            call = self._call(exchange, attempt, cache_id)
            response = self._send_to(endpoint, exchange, call)
        # After the gang's memory is free again: told earlier, the scheduler would
        # send the next prompt to engines that still hold this one's.
        self._dispatcher.finished(ticket, self._success(exchange, attempt))
        return response

    @contextmanager
    def _memory(
        self, exchange: Exchange, attempt: _Attempt
    ) -> Iterator[tuple[Endpoint, str]]:
        """Find the endpoint that answers and hold a gang's memory, if it is one."""
        endpoints = [self._find(name) for name in attempt.send.endpoint_ids]
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

    def _find(self, endpoint_id: str) -> Endpoint:
        endpoint = self._board.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            raise EndpointRefused(
                "the endpoint was taken off the VM list",
                reason=EndpointRefusal.UNREACHABLE,
            )
        return endpoint

    def _send_to(self, endpoint: Endpoint, exchange: Exchange, call: Call) -> Response:
        # Set before the first byte leaves: from here on nothing but the client's
        # own word "not sent" may turn into the answer "not run".
        exchange.sent = True
        answer = send(endpoint.address, call)
        try:
            headers = _passed_headers(answer)
            if answer.check is not None:
                self._stream(exchange, answer, headers)
                body = b""
            else:
                body = b"".join(answer.chunks())
                self._note_first_token(exchange)
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
            on_first=lambda: self._note_first_token(exchange),
            on_gap=gaps.add,
        )

    def _note_first_token(self, exchange: Exchange) -> None:
        exchange.first_token_at = self._clock()
        self._dispatcher.first_token(exchange.request_id)

    def _call(self, exchange: Exchange, attempt: _Attempt, cache_id: str) -> Call:
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

    def _success(self, exchange: Exchange, attempt: _Attempt) -> SendResult:
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
        answer = self._report_failure(exchange, ticket, attempt, error)
        if exchange.caller.started:
            # Bytes have gone out: another attempt would send them twice. `leave`
            # withdraws the work if the scheduler has queued it again.
            raise error
        if isinstance(answer, Refused):
            raise self._refuse(exchange, answer) from error
        if not isinstance(answer, Retry):
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


def _passed_headers(answer: Answer) -> list[tuple[str, str]]:
    return [
        (name.title(), answer.headers[name])
        for name in PASSED_HEADERS
        if name in answer.headers
    ]


def _refusal(refused: Refused) -> CranberrywickError:
    """Return the failure that tells the caller of a refusal."""
    failures_by_reason = {
        RefusalReason.DRAINING: Draining,
        RefusalReason.PLATFORM_UNAVAILABLE: PlatformUnavailable,
    }
    failure = failures_by_reason.get(refused.reason, Overloaded)
    message = refused.reason.value.replace("_", " ")
    return failure(message, retry_after=refused.retry_after)

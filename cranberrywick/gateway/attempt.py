"""One attempt: a request sent to one endpoint, its answer forwarded to the caller."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    EndpointRefused,
)
from cranberrywick.gateway.answer_forwarding import AnswerCallbacks, AnswerForwarding
from cranberrywick.gateway.endpoint_reach import EndpointReach
from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.held_answers import HeldAnswers
from cranberrywick.gateway.reservations import Reservations
from cranberrywick.gateway.upstream import EndpointAnswer, EndpointConnection
from cranberrywick.logs import EventLog
from cranberrywick.model import EndpointRefusal
from cranberrywick.platform.headers import (
    SetHeaders,
    decode_response,
    endpoint_headers,
)
from cranberrywick.platform.orders import helper_entry
from cranberrywick.routing.connect_timeout import ConnectTimeout, is_late, is_own_delay
from cranberrywick.routing.model import EndpointRecord
from cranberrywick.routing.placement import Part, Placement
from cranberrywick.routing.registry import TrackedEndpoint

__all__ = ["Attempt"]


class Attempt:
    """Sends a request to the endpoint of its placement and forwards the answer.

    ``may_send`` says whether an endpoint, given its id and whether it is used as a
    last resort, may get new work now. ``held_answers`` has the room for what is kept of
    answers. ``free_seconds`` is the longest time for which
    helpers may keep memory reserved after its last use.
    """

    def __init__(
        self,
        exchange: Exchange,
        placement: Placement,
        tracked_by_id: Mapping[str, TrackedEndpoint],
        may_send: Callable[[str, bool], bool],
        callbacks: AnswerCallbacks,
        connect_timeout: ConnectTimeout,
        reach: EndpointReach,
        held_answers: HeldAnswers,
        free_seconds: float,
        log: EventLog,
    ):
        self._connect_timeout = connect_timeout
        self._reach = reach
        self._held_answers = held_answers
        self._free_seconds = free_seconds
        self._log = log
        self._exchange = exchange
        self._placement = placement
        self._tracked_by_id = tracked_by_id
        self._may_send = may_send
        self._callbacks = callbacks
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Make the attempt; return once the caller was sent the whole answer.

        Raises `EndpointRefused` if the endpoint did not run the request,
        `AmbiguousSend` if it may have, and as `AnswerForwarding.forward` does.
        """
        tracked = self._tracked_by_id.get(self._placement.endpoint_id)
        if tracked is None:
            # The endpoint was removed from the registry after it was chosen.
            raise EndpointRefused(
                "the endpoint is gone", reason=EndpointRefusal.LEAVING
            )
        wanted = self._wanted_reservations()
        reservations = Reservations(
            wanted,
            self._free_seconds,
            self._record_order_answer,
            self._reach,
            self._log,
        )
        try:
            self._check_usable(self._placement.helpers)
            await reservations.acquire()
            await self._run(tracked.record, reservations)
        finally:
            reservations.release()

    def _wanted_reservations(self) -> list[tuple[str, str, int]]:
        return [
            (
                part.endpoint_id,
                self._tracked_by_id[part.endpoint_id].record.address,
                part.reserved_tokens,
            )
            for part in self._placement.helpers
            if part.endpoint_id in self._tracked_by_id
        ]

    async def _run(self, record: EndpointRecord, reservations: Reservations) -> None:
        exchange = self._exchange
        buffers = exchange.caller.buffers
        turns = self._held_answers.turns
        async with EndpointConnection(record.address, buffers, turns) as connection:
            await self._open(connection)
            # Checked again after connecting: an endpoint may have started to leave
            # since it was chosen, and must get no work after its bound for that.
            self._check_usable((Part(record.endpoint_id), *self._placement.helpers))
            self._send(connection, reservations)
            try:
                answer = await connection.read_head()
                forwarding = AnswerForwarding(
                    exchange, self._callbacks, self._held_answers
                )
                await forwarding.forward(connection, answer)
            except EndpointRefused:
                exchange.in_flight = False
                raise
            except (AmbiguousSend, AnswerLost):
                exchange.record_lost()
                raise
        exchange.in_flight = False

    def _record_order_answer(self, endpoint_id: str, answer: EndpointAnswer) -> None:
        tracked = self._tracked_by_id.get(endpoint_id)
        if tracked is None:
            return
        meta = decode_response(answer.status, answer.headers_by_name)
        source = self._exchange.answer_source(endpoint_id, tracked.record.born)
        self._callbacks.on_head(source, answer.status, meta)

    def _check_usable(self, parts: Iterable[Part]) -> None:
        """Raise `EndpointRefused` if one of the endpoints may not get new work.

        A helper that was removed from the registry is left out of the request instead.
        """
        for part in parts:
            tracked = self._tracked_by_id.get(part.endpoint_id)
            is_helper = part.endpoint_id != self._placement.endpoint_id
            if tracked is None and is_helper:
                continue
            if self._may_send(part.endpoint_id, self._placement.last_resort):
                continue
            raise EndpointRefused(
                f"{part.endpoint_id} may not get new work",
                reason=EndpointRefusal.LEAVING,
                at_fault=tracked.record.address if tracked else None,
            )

    async def _open(self, connection: EndpointConnection) -> None:
        """Connect; try again if the first try timed out while this daemon was busy."""
        endpoint_id = self._placement.endpoint_id
        started = self._loop.time()
        for is_last in (False, True):
            tried_at = self._loop.time()
            remaining = self._exchange.deadline - tried_at
            allowed = min(self._connect_timeout.seconds, remaining)
            try:
                await connection.open(allowed)
                break
            except EndpointRefused as error:
                waited = self._loop.time() - tried_at
                if waited >= allowed and not is_last:
                    self._connect_timeout.timed_out()
                if is_own_delay(waited, allowed) and not is_last:
                    continue
                if not is_late(waited, allowed):
                    self._reach.failed(endpoint_id, error)
                raise
        self._connect_timeout.answered(self._loop.time() - started)
        self._reach.connected(endpoint_id)

    def _send(self, connection: EndpointConnection, reservations: Reservations) -> None:
        exchange, placement = self._exchange, self._placement
        organisation = exchange.organisation
        headers = endpoint_headers(
            exchange.request.raw_headers,
            SetHeaders(
                remaining_seconds=exchange.expires_at - self._loop.time(),
                endpoint_id=placement.endpoint_id,
                organisation=organisation.name if organisation else None,
                helpers=self._helpers(reservations),
                last_event_id=exchange.last_event_id,
                weights_version=exchange.weights_version,
            ),
        )
        request = exchange.request
        data = connection.encode_request(
            request.method, request.target, headers, request.body
        )
        # The record may have changed since the endpoint was chosen.
        record = self._tracked_by_id[placement.endpoint_id].record
        exchange.record_sent(record, self._loop.time())
        exchange.predicted = placement.first_event_seconds
        exchange.parts = 1 + len(placement.helpers)
        exchange.last_resort = placement.last_resort
        exchange.helper_ids = tuple(part.endpoint_id for part in placement.helpers)
        connection.write_request(data)

    def _helpers(self, reservations: Reservations) -> tuple[str, ...]:
        """Return the helpers for the request's header, in the order of the placement.

        Endpoints use the helpers' memory in this order, so a placement lists those
        with a reservation first.
        """
        ids_by_endpoint = {r.endpoint_id: r.reservation_id for r in reservations.held}
        return tuple(
            helper_entry(
                self._tracked_by_id[part.endpoint_id].record.address,
                ids_by_endpoint.get(part.endpoint_id),
            )
            for part in self._placement.helpers
            if part.endpoint_id in self._tracked_by_id
        )

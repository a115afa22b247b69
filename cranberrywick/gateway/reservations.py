"""Memory reserved at helper endpoints for one request.

A prompt that exceeds the memory of one engine is held by several, and others may read a
part of it without holding any. All of them are named by their addresses, which another
endpoint may have taken over, so that each is asked for its id first. A reservation
expires after a short time and is renewed while it is used, so that the memory reserved
by a daemon that is killed becomes free soon. An order without an answer may still be
executed seconds later, even after the release of the same reservation. The release of
such a reservation is therefore repeated until a late order can no longer follow.
"""

import asyncio
import secrets
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cranberrywick.errors import CranberrywickError, EndpointRefused
from cranberrywick.gateway.endpoint_reach import EndpointReach
from cranberrywick.gateway.upstream import EndpointAnswer, EndpointConnection
from cranberrywick.logs import EventLog
from cranberrywick.model import EndpointRefusal
from cranberrywick.platform.orders import (
    MISDIRECTED_STATUS,
    ORDER_TARGET,
    encode_release,
    encode_reserve,
    order_headers,
)
from cranberrywick.routing.connect_timeout import is_late

__all__ = ["Reservation", "Reservations", "wait_for_releases"]

# Lifetime of a reservation, as a share of the time within which memory must be free
# after its last use. The rest allows for the time that an order takes on a slow link.
HOLD_SHARE = 0.75
# Interval between renewals, as a share of the lifetime: two renewals may fail before a
# reservation expires.
RENEW_SHARE = 0.3
# Timeout of an order, in seconds. Endpoints answer orders at once, so waiting longer
# would not help.
ORDER_TIMEOUT_SECONDS = 0.5
# How long an endpoint that only reads a part may take to confirm its id, in seconds.
# After that it is used all the same: endpoints may leave orders unanswered for a while.
CONFIRM_SECONDS = 0.1
# Longest time for its connection, in seconds: more than one that is lost once needs.
CONNECT_TIMEOUT_SECONDS = 0.4
# When a release is repeated if an order got no answer, in seconds after the first
# release. Endpoints were seen to execute such an order up to 12 seconds later.
REPEAT_RELEASE_SECONDS = (0.3, 1.5, 3.0, 6.0, 9.0, 12.0)


class Reservation(NamedTuple):
    """Memory at one endpoint, in tokens, under an id that is used only once.

    An endpoint that only reads a part holds none.
    """

    endpoint_id: str
    address: str
    reservation_id: str
    tokens: int


class Reservations:
    """The reservations of one request, and the check of its other helpers.

    ``wanted`` lists the endpoints with their address and the tokens to reserve.
    ``free_seconds`` is the longest time until memory must be free after its last use.
    ``on_answer`` is called with an endpoint's id and its answer to an order; ``reach``
    records which endpoints accept connections.

    >>> wanted = [(endpoint_id, address, tokens)]
    >>> held = Reservations(wanted, 4.0, on_answer, reach, log)
    >>> await held.acquire()
    >>> held.release()
    """

    def __init__(
        self,
        wanted: Sequence[tuple[str, str, int]],
        free_seconds: float,
        on_answer: Callable[[str, EndpointAnswer], None],
        reach: EndpointReach,
        log: EventLog,
    ):
        self._loop = asyncio.get_running_loop()
        self._log = log
        self._on_answer = on_answer
        self._reach = reach
        self._hold_seconds = HOLD_SHARE * free_seconds
        name = secrets.token_hex(6)
        helpers = [
            Reservation(endpoint_id, address, f"{name}-{index}", tokens)
            for index, (endpoint_id, address, tokens) in enumerate(wanted)
        ]
        self.held = [each for each in helpers if each.tokens]
        self._readers = [each for each in helpers if not each.tokens]
        self._misdirected_ids: set[str] = set()
        self._unanswered_ids: set[str] = set()
        self._unreachable_ids: set[str] = set()
        self._renewals: asyncio.Task | None = None

    async def acquire(self) -> None:
        """Reserve the memory at all endpoints and renew it until `release`.

        Raises `EndpointRefused` with the address of the endpoint at fault if one has
        not enough memory or does not answer, or if another one has its address.
        """
        asked_at = self._loop.time()
        agreed = await asyncio.gather(
            *(self._reserve(each) for each in self.held),
            *(self._confirm(each) for each in self._readers),
        )
        for helper, ok in zip([*self.held, *self._readers], agreed, strict=True):
            if not ok:
                raise EndpointRefused(
                    f"no memory at helper {helper.endpoint_id}, or it is gone",
                    reason=self._refusal(helper.endpoint_id),
                    at_fault=helper.address,
                )
        if not self.held:
            return
        self._renewals = self._loop.create_task(self._renew(asked_at))

    def _refusal(self, endpoint_id: str) -> EndpointRefusal:
        if endpoint_id in self._misdirected_ids:
            return EndpointRefusal.LEAVING
        if endpoint_id in self._unreachable_ids:
            return EndpointRefusal.UNREACHABLE
        return EndpointRefusal.FULL

    def release(self) -> None:
        """Release all reservations in background tasks."""
        if self._renewals is not None:
            self._renewals.cancel()
        for reservation in self.held:
            task = self._loop.create_task(self._release(reservation))
            _release_tasks.add(task)
            task.add_done_callback(_release_tasks.discard)

    async def _renew(self, asked_at: float) -> None:
        interval = RENEW_SHARE * self._hold_seconds
        while True:
            # Counted from when the last orders were sent: the lifetime runs from
            # their arrival, also while one that was lost is waited for.
            await asyncio.sleep(asked_at + interval - self._loop.time())
            asked_at = self._loop.time()
            await asyncio.gather(*(self._reserve(each) for each in self.held))

    async def _reserve(self, reservation: Reservation) -> bool:
        """Reserve or renew, and return whether the endpoint agreed."""
        body = encode_reserve(
            reservation.reservation_id, reservation.tokens, self._hold_seconds
        )
        status = await self._order(reservation, body)
        if status == 0:
            self._unanswered_ids.add(reservation.reservation_id)
        return status == 200

    async def _confirm(self, reader: Reservation) -> bool:
        """Return whether an endpoint that holds no memory may still have its address.

        It is told to release what it doesn't hold, which changes nothing.
        """
        body = encode_release(reader.reservation_id)
        await self._order(reader, body, CONFIRM_SECONDS)
        gone_ids = self._misdirected_ids | self._unreachable_ids
        return reader.endpoint_id not in gone_ids

    async def _release(self, reservation: Reservation) -> None:
        body = encode_release(reservation.reservation_id)
        status = await self._order(reservation, body)
        if status and reservation.reservation_id not in self._unanswered_ids:
            return
        waited = 0.0
        for moment in REPEAT_RELEASE_SECONDS:
            await asyncio.sleep(moment - waited)
            waited = moment
            await self._order(reservation, body)

    async def _order(
        self,
        reservation: Reservation,
        body: bytes,
        seconds: float = ORDER_TIMEOUT_SECONDS,
    ) -> int:
        """Send an order and return the HTTP status, 0 if there was no answer."""
        headers = order_headers(reservation.address, reservation.endpoint_id)
        try:
            async with asyncio.timeout(seconds):
                async with EndpointConnection(reservation.address) as connection:
                    await self._open(connection, reservation.endpoint_id)
                    await connection.send(b"POST", ORDER_TARGET, headers, body)
                    answer = await connection.read_head()
        except (CranberrywickError, TimeoutError) as error:
            self._log.warning(
                "order_unanswered",
                endpoint=reservation.endpoint_id,
                reservation=reservation.reservation_id,
                error=error,
            )
            return 0
        if answer.status == MISDIRECTED_STATUS:
            self._misdirected_ids.add(reservation.endpoint_id)
        self._on_answer(reservation.endpoint_id, answer)
        return answer.status

    async def _open(self, connection: EndpointConnection, endpoint_id: str) -> None:
        started = self._loop.time()
        try:
            await connection.open(CONNECT_TIMEOUT_SECONDS)
        except EndpointRefused as error:
            self._unreachable_ids.add(endpoint_id)
            if not is_late(self._loop.time() - started, CONNECT_TIMEOUT_SECONDS):
                self._reach.failed(endpoint_id, error)
            raise
        self._unreachable_ids.discard(endpoint_id)
        self._reach.connected(endpoint_id)


# The tasks of releases, which outlive their request. The event loop keeps only weak
# references to tasks, so without this set they could be garbage collected.
_release_tasks: set[asyncio.Task] = set()


async def wait_for_releases(seconds: float) -> None:
    """Wait until the releases under way have been answered, at most ``seconds``."""
    if _release_tasks:
        await asyncio.wait(set(_release_tasks), timeout=seconds)

"""Memory that is reserved at endpoints for one request.

A prompt above one engine's memory is held by several. A reservation runs out by
itself soon after its owner has died, and is renewed while it is used: a daemon that
is killed in the middle leaves no memory behind for longer than a renewal lasts. An
order that got no answer may be carried out seconds later, after the release; such a
reservation is released again until none can be left.
"""

import asyncio
import secrets
from collections.abc import Sequence
from typing import NamedTuple

from cranberrywick.errors import CranberrywickError, EndpointRefused
from cranberrywick.gateway.upstream import EndpointConnection
from cranberrywick.logs import EventLog
from cranberrywick.model import EndpointRefusal
from cranberrywick.platform.orders import (
    ORDER_TARGET,
    encode_release,
    encode_reserve,
)

__all__ = ["Reservation", "Reservations"]

# How long memory stays reserved for a daemon that died, as a share of the time after
# which it must be free again: the rest is room for a slow link.
HOLD_SHARE = 0.75
# A reservation is renewed after this share of it: two renewals may fail before it ends.
RENEW_SHARE = 0.3
# An endpoint answers an order at once; one that doesn't is worth no wait.
ORDER_SECONDS = 0.5
# When a release is repeated after an order without an answer: endpoints have been
# seen to carry such an order out up to twelve seconds later.
REPEAT_RELEASE_SECONDS = (0.3, 1.5, 3.0, 6.0, 9.0, 12.0)


class Reservation(NamedTuple):
    """Memory at one endpoint under an id that is never used again."""

    endpoint_id: str
    address: str
    reservation_id: str
    tokens: int


class Reservations:
    """The reservations of one request.

    ``free_seconds`` is how soon memory must be free after its last use.

    >>> held = Reservations([(endpoint_id, address, tokens)], 4.0, log)
    >>> await held.acquire()
    >>> held.release()
    """

    def __init__(
        self,
        wanted: Sequence[tuple[str, str, int]],
        free_seconds: float,
        log: EventLog,
    ):
        self._loop = asyncio.get_running_loop()
        self._log = log
        self._hold_seconds = HOLD_SHARE * free_seconds
        name = secrets.token_hex(6)
        self.held = [
            Reservation(endpoint_id, address, f"{name}-{index}", tokens)
            for index, (endpoint_id, address, tokens) in enumerate(wanted)
        ]
        self._unanswered: set[str] = set()
        self._renewals: asyncio.Task | None = None

    async def acquire(self) -> None:
        """Reserve everywhere; raises `EndpointRefused` if one has no memory."""
        if not self.held:
            return
        taken = await asyncio.gather(*(self._reserve(each) for each in self.held))
        for reservation, ok in zip(self.held, taken, strict=True):
            if not ok:
                raise EndpointRefused(
                    f"no memory at helper {reservation.endpoint_id}",
                    reason=EndpointRefusal.FULL,
                    at_fault=reservation.address,
                )
        self._renewals = self._loop.create_task(self._renew())

    def release(self) -> None:
        """Give everything back, in the background."""
        if self._renewals is not None:
            self._renewals.cancel()
        for reservation in self.held:
            task = self._loop.create_task(self._release(reservation))
            _background.add(task)
            task.add_done_callback(_background.discard)

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_SHARE * self._hold_seconds)
            await asyncio.gather(*(self._reserve(each) for each in self.held))

    async def _reserve(self, reservation: Reservation) -> bool:
        body = encode_reserve(
            reservation.reservation_id, reservation.tokens, self._hold_seconds
        )
        status = await self._order(reservation, body)
        if status == 0:
            self._unanswered.add(reservation.reservation_id)
        return status == 200

    async def _release(self, reservation: Reservation) -> None:
        body = encode_release(reservation.reservation_id)
        status = await self._order(reservation, body)
        if status and reservation.reservation_id not in self._unanswered:
            return
        waited = 0.0
        for moment in REPEAT_RELEASE_SECONDS:
            await asyncio.sleep(moment - waited)
            waited = moment
            await self._order(reservation, body)

    async def _order(self, reservation: Reservation, body: bytes) -> int:
        """Give an order and return its status, 0 without an answer."""
        headers = [
            (b"Host", reservation.address.encode()),
            (b"Content-Type", b"application/json"),
        ]
        try:
            async with asyncio.timeout(ORDER_SECONDS):
                async with EndpointConnection(reservation.address) as connection:
                    await connection.open(ORDER_SECONDS)
                    await connection.send(b"POST", ORDER_TARGET, headers, body)
                    return (await connection.read_head()).status
        except (CranberrywickError, TimeoutError) as error:
            self._log.warning(
                "order_unanswered",
                endpoint=reservation.endpoint_id,
                reservation=reservation.reservation_id,
                error=error,
            )
            return 0


# Releases go on after their request has ended; the loop keeps no strong reference.
_background: set[asyncio.Task] = set()

"""Fetches of documents from peers that have them."""

import asyncio
import random
from collections.abc import Callable, Sequence

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.fleet_link import FleetLink
from cranberrywick.gateway.messages import Message, SnapshotRequest
from cranberrywick.logs import EventLog

__all__ = ["PeerFetches"]

# A peer serves few at a time. Each who was served can serve others, so that after a
# change that all of a large fleet ask for, the next try mostly finds one that is free.
MOST_TRIES = 4
LONGEST_PAUSE_SECONDS = 0.06


class PeerFetches:
    """Makes one fetch of a kind at a time, from one peer after the other.

    >>> fetches.begin(OperatorSnapshotRequest(), informed_addresses, take_snapshot)
    """

    def __init__(self, link: Callable[[], FleetLink], log: EventLog):
        self._link = link
        self._log = log
        self._rng = random.Random()
        self._loop = asyncio.get_running_loop()
        self._running: set[type] = set()

    def begin(
        self,
        request: SnapshotRequest,
        addresses: Callable[[], Sequence[str]],
        take: Callable[[Message, str, float], None],
    ) -> None:
        """Fetch in the background, unless such a fetch is under way.

        ``addresses`` returns the peers that may be asked, anew for each try; ``take``
        gets the answer, the address that it came from and when it was asked for, which
        is the latest moment of which it certainly tells.
        """
        if type(request) in self._running:
            return
        self._running.add(type(request))
        self._loop.create_task(self._run(request, addresses, take))

    async def _run(
        self,
        request: SnapshotRequest,
        addresses: Callable[[], Sequence[str]],
        take: Callable[[Message, str, float], None],
    ) -> None:
        try:
            for number in range(1, MOST_TRIES + 1):
                known = addresses()
                if not known:
                    return
                address = self._rng.choice(known)
                asked_at = self._loop.time()
                snapshot = await self._link().fetch(address, request)
                kind = request.log_kind
                self._log.info(
                    "peer_fetched",
                    kind=kind,
                    peer=address,
                    number=number,
                    answered=snapshot is not None,
                )
                if snapshot is not None and self._take(
                    take, snapshot, address, asked_at
                ):
                    return
                await asyncio.sleep(self._rng.uniform(0, LONGEST_PAUSE_SECONDS))
        finally:
            self._running.discard(type(request))

    def _take(
        self,
        take: Callable[[Message, str, float], None],
        snapshot: Message,
        address: str,
        asked_at: float,
    ) -> bool:
        """Hand an answer over; False for one that can't be read."""
        try:
            take(snapshot, address, asked_at)
        except PeerMessageInvalid as error:
            self._log.warning("peer_answer_invalid", peer=address, error=error)
            return False
        return True

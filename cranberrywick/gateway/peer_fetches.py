"""Fetches of documents from peers that have them."""

import asyncio
import random
from collections.abc import Callable, Sequence

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.fleet_link import FleetLink
from cranberrywick.gateway.messages import Message, Wanted
from cranberrywick.logs import EventLog

__all__ = ["PeerFetches"]

# A peer serves few at a time. Each who was served can serve others, so that after a
# change that all of a large fleet ask for, the next try mostly finds one that is free.
MOST_TRIES = 4
LONGEST_PAUSE_SECONDS = 0.06


class PeerFetches:
    """Makes one fetch of a kind at a time, from one peer after the other.

    >>> fetches.begin(OperatorWanted(), informed_addresses, take_reading)
    """

    def __init__(self, link: Callable[[], FleetLink], log: EventLog):
        self._link = link
        self._log = log
        self._rng = random.Random()
        self._loop = asyncio.get_running_loop()
        self._running: set[type] = set()

    def begin(
        self,
        wanted: Wanted,
        addresses: Callable[[], Sequence[str]],
        take: Callable[[Message, str, float], None],
    ) -> None:
        """Fetch in the background, unless such a fetch is under way.

        ``addresses`` returns the peers that may be asked, anew for each try; ``take``
        gets the answer, the address that it came from and when it was asked for, which
        is the latest moment of which it certainly tells.
        """
        if type(wanted) in self._running:
            return
        self._running.add(type(wanted))
        self._loop.create_task(self._run(wanted, addresses, take))

    async def _run(
        self,
        wanted: Wanted,
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
                reading = await self._link().fetch(address, wanted)
                kind = type(wanted).__name__
                self._log.info(
                    "peer_fetched",
                    kind=kind,
                    peer=address,
                    number=number,
                    answered=reading is not None,
                )
                if reading is not None and self._take(take, reading, address, asked_at):
                    return
                await asyncio.sleep(self._rng.uniform(0, LONGEST_PAUSE_SECONDS))
        finally:
            self._running.discard(type(wanted))

    def _take(
        self,
        take: Callable[[Message, str, float], None],
        reading: Message,
        address: str,
        asked_at: float,
    ) -> bool:
        """Hand an answer over; False for one that can't be read."""
        try:
            take(reading, address, asked_at)
        except PeerMessageInvalid as error:
            self._log.warning("peer_answer_invalid", peer=address, error=error)
            return False
        return True

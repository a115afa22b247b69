"""Fetches of snapshots from the peers that have them."""

import asyncio
import random
from collections.abc import Callable, Sequence

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.fleet_link import FleetLink
from cranberrywick.gateway.messages import Message, SnapshotRequest
from cranberrywick.logs import EventLog

__all__ = ["PeerFetches"]

# Largest number of tries in a fetch, and the longest pause after a failed one, in
# seconds. A peer serves few requests at a time, but each daemon that was served can
# serve others: after a change that all of a large fleet request, the next try mostly
# finds a peer that is free.
MAX_TRIES = 4
MAX_PAUSE_SECONDS = 0.06


class PeerFetches:
    """Runs at most one fetch of each kind at a time, trying one peer after another.

    >>> fetches.begin(OperatorSnapshotRequest(), informed_addresses, apply_snapshot)
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
        apply_answer: Callable[[Message, str, float], None],
    ) -> None:
        """Start a fetch in the background, unless one of the same kind is under way.

        ``addresses`` is called for each try and returns the addresses of peers that
        may have the snapshot; if there are none, the fetch ends. ``apply_answer`` is
        called with the answer, the address that it came from and the moment of the
        request, which is the latest moment for which the answer is certain to hold. It
        may raise `PeerMessageInvalid`, which leads to another try.
        """
        if type(request) in self._running:
            return
        self._running.add(type(request))
        self._loop.create_task(self._run(request, addresses, apply_answer))

    async def _run(
        self,
        request: SnapshotRequest,
        addresses: Callable[[], Sequence[str]],
        apply_answer: Callable[[Message, str, float], None],
    ) -> None:
        try:
            for number in range(1, MAX_TRIES + 1):
                informed_addresses = addresses()
                if not informed_addresses:
                    return
                address = self._rng.choice(informed_addresses)
                requested_at = self._loop.time()
                snapshot = await self._link().fetch(address, request)
                kind = request.log_kind
                self._log.info(
                    "peer_fetched",
                    kind=kind,
                    peer=address,
                    number=number,
                    answered=snapshot is not None,
                )
                if snapshot is not None and self._apply(
                    apply_answer, snapshot, address, requested_at
                ):
                    return
                await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_SECONDS))
        finally:
            self._running.discard(type(request))

    def _apply(
        self,
        apply_answer: Callable[[Message, str, float], None],
        snapshot: Message,
        address: str,
        requested_at: float,
    ) -> bool:
        """Apply an answer; return False, and log why, for one that can't be read."""
        try:
            apply_answer(snapshot, address, requested_at)
        except PeerMessageInvalid as error:
            self._log.warning("peer_answer_invalid", peer=address, error=error)
            return False
        return True

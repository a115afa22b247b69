"""Which snapshots this daemon fetches from its peers, and from which of them."""

import asyncio
from collections.abc import Callable

from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.messages import (
    EndpointSnapshotRequest,
    Message,
    OperatorSnapshot,
    OperatorSnapshotRequest,
)
from cranberrywick.gateway.peer_fetches import PeerFetches
from cranberrywick.gateway.peer_updates import PeerUpdates
from cranberrywick.logs import EventLog
from cranberrywick.routing.store_position import StorePosition

__all__ = ["SnapshotFetches"]

# Shortest interval between two fetches of all endpoints from a peer: the larger of a
# fixed number of seconds and a number of seconds for each known endpoint. While
# thousands of endpoints register, a peer's answer is out of date when it arrives, and
# fetching more often gains nothing.
REFETCH_SECONDS = 0.5
REFETCH_SECONDS_PER_ENDPOINT = 0.0005


class SnapshotFetches:
    """Fetches what this daemon has missed.

    ``apply_operator`` is called with a snapshot, the latest moment for which it is
    certain to hold and its source; ``apply_endpoints`` with a snapshot.
    """

    def __init__(
        self,
        peer_updates: PeerUpdates,
        apply_operator: Callable[[OperatorSnapshot, float, str], None],
        apply_endpoints: Callable[[EndpointSnapshot], None],
        log: EventLog,
    ):
        self._peer_updates = peer_updates
        self._apply_operator = apply_operator
        self._apply_endpoints = apply_endpoints
        self._loop = asyncio.get_running_loop()
        self._fetches = PeerFetches(lambda: peer_updates.link, log)
        self._endpoints_not_before = float("-inf")

    def fetch_operator(self, position: StorePosition, version: int) -> None:
        """Fetch an operators' view that is no older than a position and a version."""

        def informed_peers() -> list[str]:
            return self._peer_updates.informed_peers(
                lambda beat: (
                    beat.operator_position >= position
                    and beat.store.configuration_version >= version
                )
            )

        def apply_answer(snapshot: Message, source: str, requested_at: float) -> None:
            if isinstance(snapshot, OperatorSnapshot):
                self._apply_operator(snapshot, requested_at - snapshot.age, source)

        self._fetches.begin(OperatorSnapshotRequest(), informed_peers, apply_answer)

    def fetch_endpoints(self, known: int) -> None:
        """Fetch all endpoints, unless they were fetched lately.

        ``known`` is how many endpoints this daemon tracks. Among thousands some change
        with every reading. Without a minimum interval, a daemon that lags behind would
        do little else than fetch.
        """
        now = self._loop.time()
        if now < self._endpoints_not_before:
            return
        pause = max(REFETCH_SECONDS, known * REFETCH_SECONDS_PER_ENDPOINT)
        self._endpoints_not_before = now + pause

        def informed_peers() -> list[str]:
            return self._peer_updates.informed_peers(lambda beat: not beat.leaving)

        def apply_answer(snapshot: Message, source: str, requested_at: float) -> None:
            if isinstance(snapshot, EndpointSnapshot):
                age = snapshot.age + self._loop.time() - requested_at
                self._apply_endpoints(snapshot._replace(age=age))

        self._fetches.begin(EndpointSnapshotRequest(), informed_peers, apply_answer)

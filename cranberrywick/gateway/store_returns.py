"""What happens when the store comes back from an older copy.

Whoever hears first of a new epoch, from the store or from a peer, keeps what it knows;
from then on what is read in that epoch replaces what was read before, although its
revisions are lower. See `cranberrywick.routing.store_knowledge` for what is kept.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from cranberrywick.gateway.operator_tracker import OperatorTracker
from cranberrywick.gateway.store_history import StoreHistory
from cranberrywick.logs import EventLog, id_lists
from cranberrywick.routing.drain_notices import DrainNotice
from cranberrywick.routing.registry import EndpointRegistry
from cranberrywick.routing.store_knowledge import RetainedEndpoint, StoreKnowledge

__all__ = ["StoreReturns"]

# Largest number of retained endpoints in a heartbeat, chosen at random: most daemons
# send the same ones. A daemon that starts is sent all of them.
MAX_RETAINED_IN_HEARTBEAT = 8


class StoreReturns:
    """Keeps and exchanges with peers what the store may have forgotten.

    ``announce`` sends the notice of a draining endpoint to the peers. ``returned`` is
    called with the new epoch after each return.
    """

    def __init__(
        self,
        history: StoreHistory,
        operator: OperatorTracker,
        registry: EndpointRegistry,
        announce: Callable[[DrainNotice], object],
        log: EventLog,
    ):
        self._history = history
        self._operator = operator
        self._registry = registry
        self._announce = announce
        self._log = log
        self._rng = random.Random()
        self._loop = asyncio.get_running_loop()
        self.returned: Callable[[int], None] = lambda epoch: None

    def knowledge(self, now: float) -> StoreKnowledge:
        """Return all that is known of the store, and kept although it may forget it."""
        return StoreKnowledge(
            epoch=self._history.epoch,
            operator_epoch=self._operator.position.epoch,
            configuration_version=self._operator.version,
            domains=self._operator.retained_domains,
            endpoints=self._registry.retained(now),
        )

    def knowledge_sample(self, now: float) -> StoreKnowledge:
        """Return what a heartbeat states; see `MAX_RETAINED_IN_HEARTBEAT`."""
        knowledge = self.knowledge(now)
        endpoints = knowledge.endpoints
        if len(endpoints) <= MAX_RETAINED_IN_HEARTBEAT:
            return knowledge
        sampled = self._rng.sample(endpoints, MAX_RETAINED_IN_HEARTBEAT)
        return knowledge._replace(endpoints=tuple(sampled))

    def observe(self, epoch: int, source: str) -> None:
        """Keep what is known if the store has come back from an older copy."""
        if not self._history.observe(epoch, source):
            return
        now = self._loop.time()
        self._operator.store_returned(epoch, now)
        for notice in self._registry.store_returned(now):
            self._announce(notice)
        self._log_retained(self._registry.retained(now), source)
        self.returned(epoch)

    def receive(self, stated: StoreKnowledge, peer: str) -> bool:
        """Take over what a peer states; return whether domains out are among it."""
        self.observe(stated.epoch, peer)
        if stated.epoch != self._history.epoch:
            return False
        now = self._loop.time()
        adopted = [e for e in stated.endpoints if self._registry.adopt(e, now)]
        self._log_retained(adopted, peer)
        return self._operator.adopt(stated.domains, stated.epoch, peer)

    def _log_retained(
        self,
        endpoints: Iterable[RetainedEndpoint],
        source: str,
    ) -> None:
        for listed in id_lists([endpoint.endpoint_id for endpoint in endpoints]):
            self._log.info(
                "endpoint_retained",
                endpoint=listed,
                epoch=self._history.epoch,
                source=source,
            )

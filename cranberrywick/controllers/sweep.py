"""The controller that releases engines' memory whose owner no longer exists."""

import time
from collections.abc import Callable, Container, Iterable, Mapping

from cranberrywick.controllers.actor import Controller
from cranberrywick.decisions.membership import Member, Status
from cranberrywick.decisions.orphans import Listed, OrphanTracker, Owner, OwnerState
from cranberrywick.endpoints.cancel import recent_cleanups
from cranberrywick.endpoints.holdings import list_holdings, release
from cranberrywick.errors import CranberrywickError
from cranberrywick.logs import EventLog

__all__ = ["SWEEP_SECONDS", "SweepController", "owner_state"]

# Interval between sweeps, in seconds. In each sweep an engine's steward requests three
# lists from it. At 620 engines and 320 daemons, two engines per daemon, a daemon makes
# little more than one call per second.
SWEEP_SECONDS = 5.0

_log = EventLog(part="sweep")


class SweepController(Controller):
    """Compares the items that engines list with the owners that are alive.

    ``engines`` returns the addresses of the engines that this daemon is steward of,
    by id; ``state_of`` returns what is known of an owner; ``cleanup_addresses``
    returns the addresses at which this daemon released or cancelled something
    recently. The release that a request itself sends can be lost, and its daemon can
    die before it; only the engine's list still contains every such item.
    """

    def __init__(
        self,
        engines: Callable[[], Mapping[str, str]],
        state_of: Callable[[Owner], OwnerState],
        clock: Callable[[], float] = time.monotonic,
        cleanup_addresses: Callable[[], Iterable[str]] = recent_cleanups,
    ):
        super().__init__()
        self._engines = engines
        self._cleanup_addresses = cleanup_addresses
        self._tracker = OrphanTracker(state_of)
        self._clock = clock

    def sweep(self) -> None:
        """Check the lists of every engine once; called by the timer service."""
        addresses_by_id = dict(self._engines())
        known_addresses = set(addresses_by_id.values())
        for address in self._cleanup_addresses():
            if address not in known_addresses:
                addresses_by_id[address] = address
        for endpoint_id, address in sorted(addresses_by_id.items()):
            self._sweep_engine(endpoint_id, address)

    def _sweep_engine(self, endpoint_id: str, address: str) -> None:
        try:
            listed = list_holdings(address, endpoint_id)
        except CranberrywickError as error:
            _log.warning("sweep_skipped", endpoint=endpoint_id, error=error)
            return
        for orphan in self._tracker.orphans(endpoint_id, listed, self._clock()):
            self._release(address, orphan)

    def _release(self, address: str, orphan: Listed) -> None:
        # An item whose release fails is on the engine's list again at the next sweep.
        is_released = release(address, orphan.kind, orphan.item_id)
        _log.info(
            "orphan_released" if is_released else "orphan_not_released",
            endpoint=orphan.endpoint_id,
            kind=orphan.kind.value,
            item=orphan.item_id,
            owner=orphan.owner,
        )


def owner_state(
    owner: Owner,
    myself: Member,
    live_request_ids: Container[str],
    members_by_id: Mapping[str, Member],
) -> OwnerState:
    """Return the state of an owner, by this daemon's requests and member list.

    An owner is known to be gone only if it is a request of this daemon that has
    ended, or of a daemon that has restarted since. A daemon that is recorded as dead
    may still be serving behind a partition, so its requests count as silent.
    """
    daemon = myself if owner.daemon_id == myself.daemon_id else None
    daemon = daemon or members_by_id.get(owner.daemon_id)
    if daemon is None or owner.incarnation > daemon.incarnation:
        return OwnerState.SILENT
    if owner.incarnation < daemon.incarnation:
        return OwnerState.GONE
    if daemon is myself:
        is_live = owner.request_id in live_request_ids
        return OwnerState.LIVE if is_live else OwnerState.GONE
    return OwnerState.SILENT if daemon.status is Status.DEAD else OwnerState.LIVE

"""Choice of the peer through which a request goes to an endpoint.

Load pattern: most daemons of a failure domain, or nearly all of the fleet, lose their
links to the endpoints at once. Their requests are spread evenly over the daemons that
still have theirs; a daemon that was just found unable to serve them is not asked again
by each further request, unless it is the only one left.
"""

import random
from collections.abc import Collection, Iterable, Set

from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.reachability import Reach

__all__ = ["ForwardingPeers"]

# How long a peer is passed over that did not answer or had no room, and for requests to
# a service that it could not reach, in seconds. Heartbeats tell the latter soon after.
UNUSED_SECONDS = 1.0


class ForwardingPeers:
    """Chooses among the peers that accept requests of others.

    >>> peers = ForwardingPeers(random.Random())
    >>> peers.choose(heartbeats, "pool", Reach.NONE, 7, set(), set(), now=1.0)
    Heartbeat(daemon_id='d2', ...)
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        # Until when a peer is passed over, for a service or for all (an empty name).
        self._unused_until: dict[tuple[str, str], float] = {}

    def choose(
        self,
        heartbeats: Iterable[Heartbeat],
        service: str,
        reach: Reach,
        version: int,
        excluded_ids: Set[str],
        avoided_ids: Collection[str],
        now: float,
    ) -> Heartbeat | None:
        """Return a peer that may serve a request, or None.

        ``heartbeats`` are those of the daemons that serve, and ``reach`` is this VM's
        own: if it reaches a part of the service, a peer that reaches no more is of no
        use. The peer must know at least ``version`` of the configuration. It is none of
        ``excluded_ids``, and one of ``avoided_ids``, or one that failed within the last
        second, only if this VM reaches nothing and there is no other.
        """
        able = [
            beat
            for beat in heartbeats
            if beat.reach.port
            and service not in beat.reach.unreached_services
            and beat.store.configuration_version >= version
            and beat.daemon_id not in excluded_ids
        ]
        well = [e for e in able if service not in e.reach.poorly_reached_services]
        choices = [
            beat
            for beat in well
            if beat.daemon_id not in avoided_ids
            and not self._is_unused(beat.daemon_id, service, now)
        ]
        if not choices and reach is Reach.NONE:
            # A peer that has just failed is better than none.
            choices = well or able
        return self._rng.choice(choices) if choices else None

    def failed(self, daemon_id: str, now: float) -> None:
        """Pass over a peer that did not accept a request."""
        self._unused_until[daemon_id, ""] = now + UNUSED_SECONDS

    def unreachable(self, daemon_id: str, service: str, now: float) -> None:
        """Pass over a peer, for a service of which it reached no endpoint."""
        self._unused_until[daemon_id, service] = now + UNUSED_SECONDS

    def _is_unused(self, daemon_id: str, service: str, now: float) -> bool:
        for key in ((daemon_id, ""), (daemon_id, service)):
            until = self._unused_until.get(key)
            if until is None:
                continue
            if now < until:
                return True
            del self._unused_until[key]
        return False

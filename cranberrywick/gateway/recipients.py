"""Who receives a daemon's messages: all others, or in a large fleet the relays."""

from collections import defaultdict
from collections.abc import Callable

from cranberrywick.gateway.messages import Scope
from cranberrywick.routing.members import Heartbeat, Members
from cranberrywick.routing.model import GatewaySettings
from cranberrywick.routing.relays import Relays, needs_relays

__all__ = ["Recipients"]


class Recipients:
    """Selects addresses, by which daemons are known, are alive and are relays.

    ``is_leaving`` returns whether this daemon itself accepts no callers; a leaving
    daemon is not chosen as a relay. ``clock`` returns the time in seconds.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        members: Members,
        is_leaving: Callable[[], bool],
        clock: Callable[[], float],
    ):
        self._settings = settings
        self._members = members
        self._is_leaving = is_leaving
        self._clock = clock
        self._port = settings.internal_ports[0]
        self._own_address = f"{settings.ip}:{self._port}"
        self.relays = Relays(settings.daemon_id, settings.failure_domain)
        self.registered_addresses: dict[str, str] = {}

    @property
    def known_members(self) -> int:
        """How many daemons are known, this one included."""
        return 1 + len(self._members.members_by_id)

    @property
    def most_members(self) -> int:
        """How many daemons may be alive, this one included.

        Silent daemons count: they may be alive on the other side of a network
        partition.
        """
        others = self._members.members_by_id.keys() | self.registered_addresses.keys()
        return 1 + len(others)

    @property
    def has_relays(self) -> bool:
        """Whether the fleet is large enough for relays."""
        return needs_relays(self.known_members)

    @property
    def direct_scope(self) -> Scope:
        """The scope of heartbeats that this daemon sends directly to its peers.

        A daemon that starts while the store is unavailable knows only the few daemons
        that its settings name. In a large fleet none of them may be a relay: unless
        they forward its heartbeat, it stays unknown, receives nothing and refuses its
        callers.
        """
        knows_no_peer = (
            not self._members.members_by_id and not self.registered_addresses
        )
        return Scope.FLEET if knows_no_peer else Scope.NOBODY

    def peers(self) -> set[str]:
        """Return the addresses of all other daemons that may be alive."""
        heard = self._members.members_by_id.values()
        return {m.heartbeat.peer_address for m in heard} | self.unheard_peers()

    def unheard_peers(self) -> set[str]:
        """Return the addresses of registered daemons that have sent no heartbeat yet.

        While no daemon is known, these are the seeds that the settings name.
        """
        members = self._members.members_by_id
        unheard = {a for i, a in self.registered_addresses.items() if i not in members}
        if not members and not unheard:
            # The list of members has not been read from the store, or is empty.
            for seed in self._settings.seeds:
                unheard.add(f"{seed.rpartition(':')[0]}:{self._port}")
        return unheard - {self._own_address}

    def domain_peers(self) -> list[str]:
        """Return the addresses of this failure domain's other daemons."""
        return [
            member.heartbeat.peer_address
            for member in self._members.members_by_id.values()
            if member.heartbeat.failure_domain == self._settings.failure_domain
        ]

    def own_relay(self) -> Heartbeat | None:
        """Return this failure domain's relay; None if it is this daemon."""
        now = self._clock()
        domain = self._settings.failure_domain
        alive = [b for b in self._members.alive(now) if b.failure_domain == domain]
        beats_by_id = {b.daemon_id: b for b in alive if not b.leaving}
        if not self._is_leaving():
            beats_by_id[self._settings.daemon_id] = None
        chosen = self.relays.choose(domain, list(beats_by_id), now)
        return beats_by_id.get(chosen) if chosen is not None else None

    def other_relays(self) -> list[str]:
        """Return the addresses of the other failure domains' relays."""
        now = self._clock()
        by_domain: dict[str, dict[str, Heartbeat]] = defaultdict(dict)
        for beat in self._members.alive(now):
            if beat.failure_domain != self._settings.failure_domain:
                by_domain[beat.failure_domain][beat.daemon_id] = beat
        addresses = []
        for domain, beats_by_id in by_domain.items():
            serving = [i for i, beat in beats_by_id.items() if not beat.leaving]
            chosen = self.relays.choose(domain, serving or list(beats_by_id), now)
            addresses.append(beats_by_id[chosen].peer_address)
        return addresses

    def informed_peers(self, is_informed: Callable[[Heartbeat], bool]) -> list[str]:
        """Return the addresses of peers to fetch a missed update from.

        These are the alive daemons for whose heartbeat ``is_informed`` returns True; if
        some of them are in the own failure domain, only those. They are not just its
        relay: when many daemons fetch at once, as after a start of the whole fleet,
        each daemon that has fetched can serve others.
        """
        informed_beats = [
            beat for beat in self._members.alive(self._clock()) if is_informed(beat)
        ]
        domain = self._settings.failure_domain
        near = [beat for beat in informed_beats if beat.failure_domain == domain]
        return [beat.peer_address for beat in near or informed_beats]

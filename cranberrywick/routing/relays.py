"""Through whom the daemons of a large fleet tell one another what they do.

Load pattern: every daemon has to know within moments what all others have sent where,
and which of them live. Told by everyone to everyone, the datagrams grow with the square
of the fleet, and each daemon added makes all others hear more. Here a large fleet has a
relay in each failure domain. A daemon tells its own domain's relay; that collects what
comes within some milliseconds and passes it on, to its domain and to the other domains'
relays, who do the same. A daemon then hears one datagram for each of these intervals,
however many daemons there are, and what is told crosses a domain's border once.

Nobody is appointed: each daemon takes the first by id that it hears, and whoever is
asked to pass something on does so. Two daemons that disagree lose nothing by it.

>>> relays = Relays("d7", "fd-a")
>>> relays.choose("fd-a", {"fd-a": ["d1", "d7", "d9"]}, now=0.0)
'd1'
"""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "FLUSH_SECONDS",
    "JOB_UPDATE_SECONDS",
    "KEEPALIVE_SECONDS",
    "Relays",
    "needs_relays",
    "update_delay_seconds",
]

# Up to so many daemons everyone tells everyone: one hop in place of two or three,
# for no more than a few hundred datagrams a second in the whole fleet.
MOST_DIRECT_MEMBERS = 16
# A daemon tells of a new job after this: several of one moment make one datagram.
JOB_UPDATE_SECONDS = 0.01
# How long a relay collects. The longer, the older news is where it arrives and the more
# requests are placed without it; the shorter, the more datagrams everybody reads.
FLUSH_SECONDS = 0.05
# A relay says at least so often that it lives.
KEEPALIVE_SECONDS = 0.3
# Three of them lost in a row: what its domain tells is lost for no longer than this.
SILENCE_SECONDS = 1.0


def needs_relays(members: int) -> bool:
    """Whether a fleet of this size has relays."""
    return members > MOST_DIRECT_MEMBERS


def update_delay_seconds(members: int) -> float:
    """Return how old the news of a job is when the others of a fleet hear it.

    Through two relays it waits half an interval at each, on average.
    """
    return JOB_UPDATE_SECONDS + (FLUSH_SECONDS if needs_relays(members) else 0.0)


class _Trial(NamedTuple):
    """The relay chosen for a domain, and since when it is waited for."""

    daemon_id: str
    since: float


class Relays:
    """Which daemon passes news on in each failure domain, as this daemon sees it.

    A relay that is not heard for `SILENCE_SECONDS` after it was chosen is passed over
    until it is heard again.
    """

    def __init__(self, daemon_id: str, failure_domain: str):
        self._daemon_id = daemon_id
        self._failure_domain = failure_domain
        self._trials_by_domain: dict[str, _Trial] = {}
        self._silent_ids: set[str] = set()

    def receive(self, daemon_id: str, domain: str, now: float) -> None:
        """Note that a relay has passed something on to this daemon."""
        self._silent_ids.discard(daemon_id)
        trial = self._trials_by_domain.get(domain)
        if trial is not None and trial.daemon_id == daemon_id:
            self._trials_by_domain[domain] = _Trial(daemon_id, now)

    def choose(self, domain: str, member_ids: Sequence[str], now: float) -> str | None:
        """Return the relay of a domain among its members; it may be this daemon."""
        for daemon_id in sorted(member_ids):
            if daemon_id == self._daemon_id:
                return daemon_id
            if daemon_id in self._silent_ids:
                continue
            trial = self._trials_by_domain.get(domain)
            if trial is None or trial.daemon_id != daemon_id:
                trial = self._trials_by_domain[domain] = _Trial(daemon_id, now)
            if now - trial.since <= SILENCE_SECONDS:
                return daemon_id
            self._silent_ids.add(daemon_id)
        # All of them silent: begin again, for one may have come back unheard.
        self._silent_ids.difference_update(member_ids)
        self._trials_by_domain.pop(domain, None)
        return min(member_ids, default=None)

    def discount_pause(self, now: float) -> None:
        """Wait for every relay anew, after a pause in this daemon's own run."""
        self._silent_ids.clear()
        for domain, trial in self._trials_by_domain.items():
            self._trials_by_domain[domain] = trial._replace(since=now)

"""Choice of the relays through which the daemons of a large fleet send updates.

Load pattern: every daemon needs the jobs of all others, and which of them are alive,
within a fraction of a second. If each sent its updates to all others, the datagrams
would grow with the square of the fleet, and every added daemon would make all others
receive more. Here a large fleet has a relay in each failure domain. A daemon sends its
updates to the relay of its own domain, which collects updates for some milliseconds and
forwards them to the daemons of its domain and to the relays of the other domains, which
forward them in the same way. A daemon then receives one datagram in each of these
intervals, however many daemons there are, and an update crosses the border between two
domains once.

There is no election: each daemon chooses the first daemon of the domain by id that is
not silent, and any daemon that receives updates to forward does so. If two daemons
choose different relays, no update is lost.

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

# Largest number of daemons that send updates directly to one another. One hop replaces
# two or three, at the cost of a few hundred datagrams a second in the whole fleet.
MAX_DIRECT_MEMBERS = 16
# Delay before a daemon sends an update about a new job, in seconds, so that jobs placed
# within it share one datagram.
JOB_UPDATE_SECONDS = 0.01
# Interval over which a relay collects updates, in seconds. A longer one makes updates
# older, so that more requests are placed without them; a shorter one makes every daemon
# receive more datagrams.
FLUSH_SECONDS = 0.05
# Longest interval between a relay's datagrams, in seconds, also without any updates.
KEEPALIVE_SECONDS = 0.3
# A relay is silent after this many seconds, in which three of its datagrams are
# missing. Updates of a dead relay's domain are lost for no longer than this.
SILENCE_SECONDS = 1.0


def needs_relays(members: int) -> bool:
    """Whether a fleet of this size has relays."""
    return members > MAX_DIRECT_MEMBERS


def update_delay_seconds(members: int) -> float:
    """Return the age of an update about a job on its arrival, in seconds.

    On its way through two relays it waits half a collecting interval at each, on
    average.
    """
    return JOB_UPDATE_SECONDS + (FLUSH_SECONDS if needs_relays(members) else 0.0)


class _ChosenRelay(NamedTuple):
    """The relay chosen for a domain, and when it was chosen or last received from."""

    daemon_id: str
    since: float


class Relays:
    """The relay of each failure domain, as this daemon chooses it.

    A relay that is silent for `SILENCE_SECONDS` is not chosen again until something is
    received from it.
    """

    def __init__(self, daemon_id: str, failure_domain: str):
        self._daemon_id = daemon_id
        self._failure_domain = failure_domain
        self._chosen_by_domain: dict[str, _ChosenRelay] = {}
        self._silent_ids: set[str] = set()

    def receive(self, daemon_id: str, domain: str, now: float) -> None:
        """Record that a relay has forwarded something to this daemon."""
        self._silent_ids.discard(daemon_id)
        chosen = self._chosen_by_domain.get(domain)
        if chosen is not None and chosen.daemon_id == daemon_id:
            self._chosen_by_domain[domain] = _ChosenRelay(daemon_id, now)

    def choose(self, domain: str, member_ids: Sequence[str], now: float) -> str | None:
        """Return the relay of a domain among its members; it may be this daemon.

        Return None for a domain without members.
        """
        for daemon_id in sorted(member_ids):
            if daemon_id == self._daemon_id:
                return daemon_id
            if daemon_id in self._silent_ids:
                continue
            chosen = self._chosen_by_domain.get(domain)
            if chosen is None or chosen.daemon_id != daemon_id:
                chosen = self._chosen_by_domain[domain] = _ChosenRelay(daemon_id, now)
            if now - chosen.since <= SILENCE_SECONDS:
                return daemon_id
            self._silent_ids.add(daemon_id)
        # All of them are silent. Start over, since one may work again unnoticed.
        self._silent_ids.difference_update(member_ids)
        self._chosen_by_domain.pop(domain, None)
        return min(member_ids, default=None)

    def discount_pause(self, now: float) -> None:
        """Restart all waits for relays after this daemon itself was paused."""
        self._silent_ids.clear()
        for domain, chosen in self._chosen_by_domain.items():
            self._chosen_by_domain[domain] = chosen._replace(since=now)

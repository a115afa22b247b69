"""Which daemons live, by the heartbeats heard from them.

Load pattern: daemons are killed, frozen, cut off and replaced at other addresses
while callers keep asking where to connect. Without this, callers are sent to
addresses where nobody answers, and lose a second with each.
"""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrywick.routing.load import Job

__all__ = ["Heartbeat", "Member", "Members"]

# Daemons send one at least so often.
HEARTBEAT_SECONDS = 0.4
# Five heartbeats lost in a row: a link that loses one in thirty loses five once in
# twenty million, and callers of a dead daemon are told within two seconds.
SILENCE_SECONDS = 2.0
# A member that has been silent for so long is forgotten and not written to.
FORGET_SECONDS = 60.0
# A pause in this daemon's own run, as by a freeze: what it has not heard meanwhile
# says nothing of the others.
OWN_PAUSE_SECONDS = 1.0


class Heartbeat(NamedTuple):
    """What a daemon tells of itself.

    ``incarnation`` grows with each start of the daemon and ``sequence`` with each
    heartbeat. ``operator_revision`` and ``operator_digest`` describe the operators'
    view that it holds, ``operator_age`` how many seconds ago that was the newest.
    ``jobs`` are its requests at endpoints.
    """

    daemon_id: str
    incarnation: int
    sequence: int
    peer_address: str
    entry_address: str
    failure_domain: str
    leaving: bool
    operator_revision: int
    operator_digest: int
    operator_age: float
    jobs: Sequence[Job]


class Member(NamedTuple):
    """One daemon and when it was last heard."""

    heartbeat: Heartbeat
    heard_at: float


class Members:
    """The other daemons, by id."""

    def __init__(self, daemon_id: str):
        self._daemon_id = daemon_id
        self.members_by_id: dict[str, Member] = {}
        self._looked_at = float("-inf")

    def hear(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; False for one that is older than what is known."""
        if heartbeat.daemon_id == self._daemon_id:
            return False
        known = self.members_by_id.get(heartbeat.daemon_id)
        if known is not None:
            old = known.heartbeat
            mark = (heartbeat.incarnation, heartbeat.sequence)
            if mark <= (old.incarnation, old.sequence):
                return False
        self.members_by_id[heartbeat.daemon_id] = Member(heartbeat, now)
        return True

    def look(self, now: float) -> list[str]:
        """Note that time has passed; return the members that fell silent by it."""
        paused = now - self._looked_at
        if paused > OWN_PAUSE_SECONDS and self._looked_at > float("-inf"):
            self._excuse(paused)
        before, self._looked_at = self._looked_at, now
        silent = []
        for daemon_id, member in list(self.members_by_id.items()):
            age = now - member.heard_at
            if age > FORGET_SECONDS:
                del self.members_by_id[daemon_id]
            elif age > SILENCE_SECONDS and before - member.heard_at <= SILENCE_SECONDS:
                silent.append(daemon_id)
        return silent

    def _excuse(self, seconds: float) -> None:
        for daemon_id, member in self.members_by_id.items():
            heard_at = member.heard_at + seconds
            self.members_by_id[daemon_id] = member._replace(heard_at=heard_at)

    def alive(self, now: float) -> list[Heartbeat]:
        """Return the daemons that live, as they last described themselves."""
        return [
            member.heartbeat
            for member in self.members_by_id.values()
            if now - member.heard_at <= SILENCE_SECONDS
        ]

    def serving(self, now: float) -> list[Heartbeat]:
        """Return the daemons that live and take callers."""
        return [beat for beat in self.alive(now) if not beat.leaving]

    def rank(self, now: float) -> int:
        """Return this daemon's place among those that serve, the first being 0."""
        return sum(beat.daemon_id < self._daemon_id for beat in self.serving(now))

    def count(self, now: float) -> int:
        """Return how many daemons live, this one included."""
        return 1 + len(self.alive(now))

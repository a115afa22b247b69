"""Which daemons live, by the heartbeats heard from them.

Load pattern: daemons are killed, frozen, cut off and replaced at other addresses
while callers keep asking where to connect. Without this, callers are sent to
addresses where nobody answers, and lose a second with each.
"""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrywick.routing.endpoint_limits import LimitReport
from cranberrywick.routing.load import Job
from cranberrywick.routing.relays import needs_relays
from cranberrywick.routing.slowdown import EngineSlowdown

__all__ = ["Heartbeat", "Member", "Members", "heartbeat_seconds"]

# Daemons send one at least so often; in a large fleet less often, since everybody
# hears everybody: so many seconds for each member bound what a daemon receives in a
# second, up to the longest interval.
HEARTBEAT_SECONDS = 0.4
HEARTBEAT_SECONDS_PER_MEMBER = 0.006
LONGEST_HEARTBEAT_SECONDS = 1.2
# Lost in a row: a lossy link all but never loses so many, and callers of a dead daemon
# are told within two seconds.
SILENT_HEARTBEATS = 5
# In a fleet with relays each heartbeat passes three links, any of which may lose it.
RELAYED_SILENT_HEARTBEATS = 8
# A dead daemon's address may be named three seconds longer than the deployment gives
# daemons to be in contact; one of them is kept back for callers' kept answers.
LONGEST_SILENCE_AFTER_CONTACT_SECONDS = 2.0
# A member that has been silent for so long is forgotten and not written to.
FORGET_SECONDS = 60.0
# A pause in this daemon's own run, as by a freeze: what it has not heard meanwhile
# says nothing of the others.
OWN_PAUSE_SECONDS = 1.0


class Heartbeat(NamedTuple):
    """What a daemon tells of itself.

    ``incarnation`` grows with each start of the daemon and ``sequence`` with each
    heartbeat. ``leaving`` says that no callers should be sent to it: it stops, or
    does not know enough yet to serve. ``operator_revision`` and ``operator_digest``
    describe the operators' view that it holds, ``operator_age`` how many seconds ago
    that was the newest. ``jobs`` are its requests at endpoints, ``slow_engines`` what
    its streams show of engines that are slower than declared.
    """

    @property
    def log_kind(self) -> str:
        """Stays what log lines have always named."""
        return "Heartbeat"

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
    slow_engines: Sequence[EngineSlowdown] = ()
    limits: Sequence[LimitReport] = ()


class Member(NamedTuple):
    """One daemon and when it was last heard."""

    heartbeat: Heartbeat
    received_at: float


def heartbeat_seconds(members: int) -> float:
    """Return how often a daemon of a fleet of this size sends one.

    >>> heartbeat_seconds(9), heartbeat_seconds(84)
    (0.4, 0.504)
    """
    wished = members * HEARTBEAT_SECONDS_PER_MEMBER
    return min(max(HEARTBEAT_SECONDS, wished), LONGEST_HEARTBEAT_SECONDS)


class Members:
    """The other daemons, by id.

    ``contact_seconds`` is how long the deployment gives a daemon to be in contact.
    """

    def __init__(self, daemon_id: str, contact_seconds: float):
        self._daemon_id = daemon_id
        self._longest_silence = contact_seconds + LONGEST_SILENCE_AFTER_CONTACT_SECONDS
        self.members_by_id: dict[str, Member] = {}
        self._looked_at = float("-inf")
        self.was_paused = False

    def receive(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; False for one that is older than what is known."""
        if heartbeat.daemon_id == self._daemon_id:
            return False
        known = self.members_by_id.get(heartbeat.daemon_id)
        if known is not None and self._is_old(heartbeat, known, now):
            return False
        self.members_by_id[heartbeat.daemon_id] = Member(heartbeat, now)
        return True

    def _is_old(self, heartbeat: Heartbeat, known: Member, now: float) -> bool:
        old = known.heartbeat
        if heartbeat.incarnation == old.incarnation:
            return heartbeat.sequence <= old.sequence
        # Incarnations come from the time of day, which may be set back before a
        # restart: a lower one counts once the higher one has fallen silent. Without
        # that its callers are sent elsewhere until the old one is forgotten.
        is_silent = now - known.received_at > self.silence_seconds
        return heartbeat.incarnation < old.incarnation and not is_silent

    def detect_silent(self, now: float) -> list[str]:
        """Note that time has passed; return the members that fell silent by it.

        ``was_paused`` says afterwards whether this daemon itself stood still.
        """
        paused = now - self._looked_at
        known = self._looked_at > float("-inf")
        self.was_paused = known and paused > OWN_PAUSE_SECONDS
        if self.was_paused:
            self._discount_pause(paused)
        before, self._looked_at = self._looked_at, now
        silence = self.silence_seconds
        silent = []
        for daemon_id, member in list(self.members_by_id.items()):
            age = now - member.received_at
            if age > FORGET_SECONDS:
                del self.members_by_id[daemon_id]
            elif age > silence and before - member.received_at <= silence:
                silent.append(daemon_id)
        return silent

    def _discount_pause(self, seconds: float) -> None:
        for daemon_id, member in self.members_by_id.items():
            received_at = member.received_at + seconds
            self.members_by_id[daemon_id] = member._replace(received_at=received_at)

    @property
    def silence_seconds(self) -> float:
        """How long a daemon may be silent and still counts as alive."""
        known = 1 + len(self.members_by_id)
        lost = RELAYED_SILENT_HEARTBEATS if needs_relays(known) else SILENT_HEARTBEATS
        return min(lost * heartbeat_seconds(known), self._longest_silence)

    def alive(self, now: float) -> list[Heartbeat]:
        """Return the daemons that live, as they last described themselves."""
        silence = self.silence_seconds
        return [
            member.heartbeat
            for member in self.members_by_id.values()
            if now - member.received_at <= silence
        ]

    def serving(self, now: float) -> list[Heartbeat]:
        """Return the daemons that live and take callers."""
        return [beat for beat in self.alive(now) if not beat.leaving]

    def rank(self, now: float) -> int:
        """Return this daemon's place among those that serve, the first being 0."""
        return sum(beat.daemon_id < self._daemon_id for beat in self.serving(now))

    def live_share(self, now: float) -> float:
        """Return how much of the fleet is known to live, between 0 and 1.

        Daemons that have fallen silent may live on the other side of a cut; those that
        said that they leave do not count.
        """
        alive = self.count(now)
        silence = self.silence_seconds
        silent = sum(
            now - member.received_at > silence and not member.heartbeat.leaving
            for member in self.members_by_id.values()
        )
        return alive / (alive + silent)

    def count(self, now: float) -> int:
        """Return how many daemons live, this one included."""
        return 1 + len(self.alive(now))

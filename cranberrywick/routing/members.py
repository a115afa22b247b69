"""Detection of the daemons that are alive, from the heartbeats received from them.

Load pattern: daemons are killed, frozen, cut off and replaced at other addresses while
callers keep requesting addresses to connect to. Without this module callers are sent to
addresses where no daemon answers, and lose a second with each.
"""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrywick.routing.crash_statement import CrashStatement
from cranberrywick.routing.drain_notices import DrainNotice
from cranberrywick.routing.endpoint_limits import LimitReport
from cranberrywick.routing.fleet_answers import AnswerStatement
from cranberrywick.routing.fleet_demand import DemandStatement
from cranberrywick.routing.load import Job
from cranberrywick.routing.reachability import ReachStatement
from cranberrywick.routing.relays import needs_relays
from cranberrywick.routing.slowdown import EndpointSlowdown
from cranberrywick.routing.store_knowledge import StoreKnowledge
from cranberrywick.routing.store_position import StorePosition

__all__ = ["Heartbeat", "Member", "Members", "heartbeat_seconds"]

# Interval between a daemon's heartbeats, in seconds: at least the first, at most the
# last, and between them proportional to the number of members. Every daemon receives
# the heartbeats of all others; the proportional interval bounds how many it receives in
# a second, until the longest interval is reached.
HEARTBEAT_SECONDS = 0.4
HEARTBEAT_SECONDS_PER_MEMBER = 0.006
LONGEST_HEARTBEAT_SECONDS = 1.2
# A daemon is silent after this many missing heartbeats in a row. A lossy link hardly
# ever loses as many, and callers stop receiving a dead daemon's address within two
# seconds.
SILENT_HEARTBEATS = 5
# The same number for a fleet with relays, where each heartbeat passes over three links,
# any of which may lose it.
RELAYED_SILENT_HEARTBEATS = 8
# A dead daemon's address may be given to callers for the time within which the
# deployment requires daemons to be in contact, and three seconds more. One of these is
# reserved for the answers that callers cache.
LONGEST_SILENCE_AFTER_CONTACT_SECONDS = 2.0
# A member that has been silent for this many seconds is evicted and gets no more
# messages.
EVICT_SECONDS = 60.0
# A longer interval than this between two checks, in seconds, is a pause of this daemon
# itself, such as a freeze. Heartbeats that it missed meanwhile don't count against the
# others.
OWN_PAUSE_SECONDS = 1.0


class Heartbeat(NamedTuple):
    """A daemon's regular update about itself.

    ``incarnation`` grows with each start of the daemon and ``sequence`` with each
    heartbeat. ``leaving`` says that no callers should be sent to it, since it is
    stopping or does not have all the state yet that it needs to serve.
    ``operator_revision`` and ``operator_digest`` identify the snapshot of the
    operators' settings that it holds, and ``operator_age`` is how many seconds ago that
    was the newest. ``jobs`` are its requests at endpoints, ``slow_engines`` the engines
    that its streams show to be slower than declared, ``limits`` its reports of
    endpoints' rate limits, ``drain_notices`` what endpoints have announced to it,
    ``store`` what it knows of the store, ``reach`` which endpoints it reaches,
    ``demand`` its requests for contended services and what its VM can bear,
    ``crashes`` under which prompts endpoints have crashed, and ``answers`` how long the
    answers are that it has forwarded.
    """

    @property
    def log_kind(self) -> str:
        """Name of this kind of message in log lines; stable for those who read them."""
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
    slow_engines: Sequence[EndpointSlowdown] = ()
    limits: Sequence[LimitReport] = ()
    drain_notices: Sequence[DrainNotice] = ()
    store: StoreKnowledge = StoreKnowledge()
    reach: ReachStatement = ReachStatement()
    demand: DemandStatement = DemandStatement()
    crashes: CrashStatement = CrashStatement()
    answers: AnswerStatement = AnswerStatement()

    @property
    def operator_position(self) -> StorePosition:
        """The point in the store's history at which its operators' view was read."""
        return StorePosition(self.store.operator_epoch, self.operator_revision)


class Member(NamedTuple):
    """One daemon's last heartbeat and when it was received."""

    heartbeat: Heartbeat
    received_at: float


def heartbeat_seconds(members: int) -> float:
    """Return the interval between heartbeats in a fleet of this size, in seconds.

    >>> heartbeat_seconds(9), heartbeat_seconds(84)
    (0.4, 0.504)
    """
    proportional = members * HEARTBEAT_SECONDS_PER_MEMBER
    return min(max(HEARTBEAT_SECONDS, proportional), LONGEST_HEARTBEAT_SECONDS)


class Members:
    """The other daemons, by id.

    ``contact_seconds`` is the time within which the deployment requires daemons to be
    in contact.
    """

    def __init__(self, daemon_id: str, contact_seconds: float):
        self._daemon_id = daemon_id
        self._longest_silence = contact_seconds + LONGEST_SILENCE_AFTER_CONTACT_SECONDS
        self.members_by_id: dict[str, Member] = {}
        self._checked_at = float("-inf")
        self.was_paused = False

    def receive(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return False if it is older than the one recorded."""
        if heartbeat.daemon_id == self._daemon_id:
            return False
        known = self.members_by_id.get(heartbeat.daemon_id)
        if known is not None and self._is_outdated(heartbeat, known, now):
            return False
        self.members_by_id[heartbeat.daemon_id] = Member(heartbeat, now)
        return True

    def _is_outdated(self, heartbeat: Heartbeat, known: Member, now: float) -> bool:
        old = known.heartbeat
        if heartbeat.incarnation == old.incarnation:
            return heartbeat.sequence <= old.sequence
        # Incarnations come from the time of day, which may be set back before a
        # restart: a lower one is accepted once the higher one is silent. Otherwise no
        # callers would be sent to the restarted daemon until the old incarnation is
        # evicted.
        is_silent = now - known.received_at > self.silence_seconds
        return heartbeat.incarnation < old.incarnation and not is_silent

    def detect_silent(self, now: float) -> list[str]:
        """Return the ids of members that became silent since the last call.

        Members that have been silent for long are evicted. ``was_paused`` says
        afterwards whether this daemon itself was paused since the last call.
        """
        paused = now - self._checked_at
        known = self._checked_at > float("-inf")
        self.was_paused = known and paused > OWN_PAUSE_SECONDS
        if self.was_paused:
            self._discount_pause(paused)
        before, self._checked_at = self._checked_at, now
        silence = self.silence_seconds
        silent = []
        for daemon_id, member in list(self.members_by_id.items()):
            age = now - member.received_at
            if age > EVICT_SECONDS:
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
        """Longest time without a heartbeat from a daemon that is alive, in seconds."""
        known = 1 + len(self.members_by_id)
        lost = RELAYED_SILENT_HEARTBEATS if needs_relays(known) else SILENT_HEARTBEATS
        return min(lost * heartbeat_seconds(known), self._longest_silence)

    def alive(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeats of the daemons that are alive."""
        silence = self.silence_seconds
        return [
            member.heartbeat
            for member in self.members_by_id.values()
            if now - member.received_at <= silence
        ]

    def serving(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeats of the daemons that accept callers."""
        return [beat for beat in self.alive(now) if not beat.leaving]

    def rank(self, now: float) -> int:
        """Return this daemon's position by id among the serving ones, from 0."""
        return sum(beat.daemon_id < self._daemon_id for beat in self.serving(now))

    def live_share(self, now: float) -> float:
        """Return the share of the fleet that is known to be alive, between 0 and 1.

        Silent daemons may be alive on the other side of a network partition; those
        that have announced that they are leaving are not counted.
        """
        alive = self.count(now)
        silence = self.silence_seconds
        silent = sum(
            now - member.received_at > silence and not member.heartbeat.leaving
            for member in self.members_by_id.values()
        )
        return alive / (alive + silent)

    def count(self, now: float) -> int:
        """Return how many daemons are alive, including this one."""
        return 1 + len(self.alive(now))

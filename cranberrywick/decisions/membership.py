"""Failure detection: gossip membership with probes, suspicion and refutation.

The protocol is of the SWIM family (Das, Gupta and Motivala, 2002).

Load pattern: many daemons, of which a few fail or are replaced each hour, on a
network that loses datagrams and is partitioned at times. Each daemon sends one probe
a second, to the members in a shuffled order. Both the time to detect a failure and
the cost for each daemon are then independent of the number of daemons. Heartbeats
from every daemon to every other would cost each of 320 daemons 319 messages a second
in each direction. A member that does not answer is probed through two relays, so that
one lossy path does not get a healthy daemon declared dead. If that fails as well, it
is suspect for some seconds, during which it can refute the suspicion.

Without the suspicion, a daemon that is suspended for a second leaves and rejoins, and
each change moves stewards and entry addresses. Without incarnations, a late update
about an earlier death removes a daemon that has restarted.

Figures: with a probe a second and a suspicion of three seconds, a sudden death is
detected in about five seconds, within the lifetime of a capacity lease. Each update
is sent ``3 * log2(members)`` times. Even with ten per cent of the messages lost, it
misses only one member in some thousands; the periodic exchange of whole member lists
repairs the rest.

All times are monotonic, so that a jump of the wall clock has no effect.
"""

import math
import random
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

from cranberrywick.decisions.probing import Probe, ProbeSchedule, ProbeThrough

__all__ = ["Member", "Membership", "Status"]

# Interval between two regular probes, in seconds.
PROBE_SECONDS = 1.0
# Time after which a suspect that has not refuted is declared dead, in seconds.
SUSPICION_SECONDS = 3.0
# Time for which a dead member's record is kept, in seconds, so that a late update does
# not add the member again as alive.
DEAD_RETENTION_SECONDS = 600.0
# Average number of daemons that probe a member at once after an update that it is
# suspect.
URGENT_PROBERS = 10
# Largest number of such probes that this daemon sends in one tick.
URGENT_PROBES_PER_TICK = 10
# Number of times an update is sent, as a multiple of log2 of the number of members.
RETRANSMIT_MULTIPLIER = 3
# Interval between two ticks, in seconds, from which on this process itself is taken to
# have been suspended, and not the members whose answers are overdue.
OWN_PAUSE_SECONDS = 3 * PROBE_SECONDS


class Status(IntEnum):
    """The state of a member; of two updates of equal age the higher value holds."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """The record of one daemon, set by itself or, if suspect or dead, by others.

    ``incarnation`` grows with each start of the process, ``revision`` with each
    change that the daemon makes to its own record after the start.
    """

    daemon_id: str
    incarnation: int
    revision: int
    status: Status
    peer_address: str
    entry_address: str
    failure_domain: str
    region: str

    @property
    def age_rank(self) -> tuple[int, int, int]:
        """The sort key of the updates about one daemon; the highest one holds."""
        return (self.incarnation, self.revision, int(self.status))


class Membership:
    """The members as this daemon sees them.

    >>> membership = Membership(myself, random.Random(1), now=0.0)
    >>> membership.apply_update(other, now=0.0)
    True
    >>> membership.tick(now=1.0)
    [Probe(round=1, daemon_id='e2')]
    """

    def __init__(self, myself: Member, rng: random.Random, now: float):
        self._self_id = myself.daemon_id
        self._rng = rng
        self._members_by_id = {myself.daemon_id: myself}
        self._suspected_by_id: dict[str, float] = {}
        self._dead_by_id: dict[str, float] = {}
        self._sends_left_by_id: dict[str, int] = {}
        self._urgent_ids: list[str] = []
        self._probes = ProbeSchedule(rng)
        self._last_tick = now
        self.changes = 0
        self._store(myself)

    @property
    def myself(self) -> Member:
        """This daemon's own record."""
        return self._members_by_id[self._self_id]

    @property
    def members_by_id(self) -> Mapping[str, Member]:
        """All records, including those of dead members."""
        return self._members_by_id

    @property
    def others(self) -> list[Member]:
        """The members other than this daemon that are not dead."""
        return [
            member
            for member in self._members_by_id.values()
            if member.daemon_id != self._self_id and member.status is not Status.DEAD
        ]

    def record_contact(self, daemon_id: str) -> None:
        """Record that a verified message arrived from the member itself."""
        member = self._members_by_id.get(daemon_id)
        if member is not None and member.status is Status.LEAVING:
            # A suspected member that is leaving keeps that status in its record, so it
            # receives no update to refute. Any message from it ends the suspicion.
            self._suspected_by_id.pop(daemon_id, None)

    def tick(self, now: float) -> list[Probe | ProbeThrough]:
        """Return the probes to send now and update the members' states.

        Call this several times a second.
        """
        self._discount_own_pause(now)
        actions = self._expire_pending(now)
        self._expire_suspects(now)
        self._evict_dead(now)
        return actions + self._probe_urgent(now)

    def _discount_own_pause(self, now: float) -> None:
        # After SIGSTOP or on a VM without CPU time all answers are overdue at once.
        # Without this, the daemon that was suspended would declare all others dead
        # and publish it. Dropping the pending probes is enough, since the next ones
        # detect a real death.
        gap = now - self._last_tick
        self._last_tick = now
        if gap < OWN_PAUSE_SECONDS:
            return
        self._probes.drop_pending()
        for daemon_id in self._suspected_by_id:
            self._suspected_by_id[daemon_id] += gap

    def _expire_pending(self, now: float) -> list[ProbeThrough]:
        relayed, unanswered = self._probes.overdue(self._other_ids(), now)
        for daemon_id in unanswered:
            self._suspect(daemon_id, now)
        return relayed

    def _other_ids(self) -> list[str]:
        return [member.daemon_id for member in self.others]

    def _suspect(self, daemon_id: str, now: float) -> None:
        member = self._members_by_id.get(daemon_id)
        if member is None or member.status is Status.DEAD:
            return
        self._suspected_by_id.setdefault(daemon_id, now)
        if member.status is Status.ALIVE:
            self._store(member._replace(status=Status.SUSPECT))

    def _expire_suspects(self, now: float) -> None:
        for daemon_id, since in list(self._suspected_by_id.items()):
            if now - since >= SUSPICION_SECONDS:
                self._declare_dead(daemon_id, now)

    def _declare_dead(self, daemon_id: str, now: float) -> None:
        del self._suspected_by_id[daemon_id]
        member = self._members_by_id[daemon_id]
        self._dead_by_id[daemon_id] = now
        self._store(member._replace(status=Status.DEAD))

    def _evict_dead(self, now: float) -> None:
        for daemon_id, since in list(self._dead_by_id.items()):
            if now - since >= DEAD_RETENTION_SECONDS:
                del self._dead_by_id[daemon_id]
                del self._members_by_id[daemon_id]
                self.changes += 1
                self._sends_left_by_id.pop(daemon_id, None)

    def _probe_urgent(self, now: float) -> list[Probe]:
        urgent_ids = self._urgent_ids[:URGENT_PROBES_PER_TICK]
        del self._urgent_ids[:URGENT_PROBES_PER_TICK]
        return [self._probes.start(daemon_id, now) for daemon_id in urgent_ids]

    def next_probe(self, now: float) -> Probe | None:
        """Return the probe of this second, or None without other members."""
        return self._probes.next(self._other_ids(), now)

    def answered(self, round: int, daemon_id: str) -> None:
        """Record the answer of a member to the probe of this round."""
        self._probes.answered(round, daemon_id)

    def apply_update(self, update: Member, now: float) -> bool:
        """Merge an update about a member and return whether it changed the record."""
        if update.daemon_id == self._self_id:
            return self._refute(update)
        current = self._members_by_id.get(update.daemon_id)
        if current is None and update.status is Status.DEAD:
            return False
        update = self._demote_death(update, current, now)
        if current is not None and update.age_rank <= current.age_rank:
            return False
        self._suspected_by_id.pop(update.daemon_id, None)
        self._dead_by_id.pop(update.daemon_id, None)
        if update.status is Status.SUSPECT:
            self._suspected_by_id[update.daemon_id] = now
            self._probe_soon(update.daemon_id)
        self._store(update)
        return True

    def _demote_death(
        self, update: Member, current: Member | None, now: float
    ) -> Member:
        # When a partition heals, each side receives updates from the other that its
        # own members are dead. Applied as they are, these would remove every member
        # until it has refuted, and all stewards would move twice. So an update from
        # another daemon that a member is dead only makes it a suspect here: a dead
        # member can't refute, and a live one is probed and does.
        if update.status is not Status.DEAD or current.status is Status.DEAD:
            return update
        if update.age_rank > current.age_rank:
            self._suspected_by_id.setdefault(update.daemon_id, now)
        return update._replace(status=Status.SUSPECT)

    def _probe_soon(self, daemon_id: str) -> None:
        if self._rng.random() * len(self._members_by_id) < URGENT_PROBERS:
            self._urgent_ids.append(daemon_id)

    def _refute(self, update: Member) -> bool:
        # Peers that could not reach this daemon for a while have declared it suspect
        # or dead. It stays excluded until it publishes a record that outranks theirs.
        myself = self.myself
        if update.age_rank <= myself.age_rank:
            return False
        self.raise_incarnation(update.incarnation)
        if update.incarnation == myself.incarnation:
            self._store(myself._replace(revision=update.revision + 1))
        return True

    def raise_incarnation(self, newest_known: int) -> None:
        """Raise this daemon's incarnation above the newest one that peers have.

        A daemon on a VM whose clock was set back starts with a lower incarnation than
        before, and peers would ignore all its updates as outdated.
        """
        if newest_known > self.myself.incarnation:
            self._store(self.myself._replace(incarnation=newest_known + 1, revision=0))

    def leave(self) -> None:
        """Mark this daemon as leaving, so that no new callers are sent to it."""
        myself = self.myself
        if myself.status is not Status.LEAVING:
            self._store(
                myself._replace(status=Status.LEAVING, revision=myself.revision + 1)
            )

    def _store(self, member: Member) -> None:
        self._members_by_id[member.daemon_id] = member
        self._sends_left_by_id[member.daemon_id] = self._sends_per_update()
        self.changes += 1

    def _sends_per_update(self) -> int:
        return RETRANSMIT_MULTIPLIER * math.ceil(
            math.log2(len(self._members_by_id) + 1)
        )

    def updates_for(self, daemon_id: str, limit: int) -> list[Member]:
        """Return the updates to send to this member, least often sent first.

        There are at most ``limit``, and each pending update that is returned counts as
        sent. If the member itself is suspect or dead here, its own record comes first,
        so that it can refute.
        """
        updates = []
        own_record = self._members_by_id.get(daemon_id)
        if own_record is not None and own_record.status in (
            Status.SUSPECT,
            Status.DEAD,
        ):
            updates.append(own_record)
        pending = sorted(self._sends_left_by_id.items(), key=lambda item: -item[1])
        for other_id, left in pending[: max(0, limit - len(updates))]:
            if other_id != daemon_id:
                updates.append(self._members_by_id[other_id])
            self._count_send(other_id, left)
        return updates

    def _count_send(self, daemon_id: str, left: int) -> None:
        if left <= 1:
            del self._sends_left_by_id[daemon_id]
        else:
            self._sends_left_by_id[daemon_id] = left - 1

    def merge_members(self, members: Iterable[Member], now: float) -> None:
        """Merge a peer's whole member list.

        Records that are new here are not sent on as updates, since the peer sends
        them itself. A joining daemon would otherwise send every member's record some
        twenty times.
        """
        for member in members:
            is_new = self.apply_update(member, now)
            if is_new and member.daemon_id != self._self_id:
                self._sends_left_by_id.pop(member.daemon_id, None)

"""Who is taken to be alive: gossip with probes, suspicion and refutation.

Load pattern: many daemons, of which a few fail or are replaced each hour, on a
network that loses datagrams and is cut at times. One probe a second by each daemon,
of members in a shuffled order, finds a failure in a time that does not depend on
how many daemons there are, at a cost a daemon that does not either. Heartbeats from
everyone to everyone would cost each of 320 daemons 319 messages a second both ways.
A member that does not answer is asked through two others, so that one lossy path
does not cost a healthy daemon its place, and is then suspected for some seconds,
in which it can refute.

Without the suspicion, a daemon that stands still for a second leaves and joins, and
each change moves stewards and entry addresses. Without incarnations, late news of
an earlier death takes out a daemon that has restarted.

Figures: a probe a second and a suspicion of three seconds put a sudden death about
five seconds away, within a lease of capacity. News is repeated ``3 * log2(members)``
times, which reaches all members but for one in some thousands even at ten per cent
of loss; the periodic exchange of whole lists repairs the rest.

All times are monotonic: a wall clock that jumps changes nothing here.
"""

import math
import random
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

from cranberrywick.decisions.probing import Probe, ProbeSchedule, ProbeThrough

__all__ = ["Member", "Membership", "Status"]

PROBE_SECONDS = 1.0
SUSPICION_SECONDS = 3.0
# A dead member's record is kept so that late news does not bring it back to life.
FORGET_DEAD_SECONDS = 600.0
# So many daemons on average ask a member at once when they hear it suspected.
ASKERS_OF_SUSPECT = 10
URGENT_PROBES_PER_TICK = 10
REPEATS_FACTOR = 3
# This long without a tick means that this process stood still, not the others.
PAUSE_SECONDS = 3 * PROBE_SECONDS


class Status(IntEnum):
    """What is thought of a member; of equal age the greater word wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """One daemon, as told by itself or, when suspect or dead, by others.

    ``incarnation`` grows with each start of the process, ``revision`` with each
    word the daemon says about itself since.
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
        """The order of words about one daemon: the greater one holds."""
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
        self._repeats_by_id: dict[str, int] = {}
        self._urgent: list[str] = []
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
        """Every record kept, dead ones too."""
        return self._members_by_id

    @property
    def others(self) -> list[Member]:
        """The other members that are not dead."""
        return [
            member
            for member in self._members_by_id.values()
            if member.daemon_id != self._self_id and member.status is not Status.DEAD
        ]

    def heard(self, daemon_id: str) -> None:
        """Note a verified message of the member itself."""
        member = self._members_by_id.get(daemon_id)
        if member is not None and member.status is Status.LEAVING:
            # It has no record of being suspected that it could refute.
            self._suspected_by_id.pop(daemon_id, None)

    def tick(self, now: float) -> list[Probe | ProbeThrough]:
        """Return the probes to send now; call several times a second."""
        self._forgive_own_pause(now)
        actions = self._expire_pending(now)
        self._expire_suspects(now)
        self._forget_dead(now)
        return actions + self._probe_urgent(now)

    def _forgive_own_pause(self, now: float) -> None:
        # After SIGSTOP or a starved VM every answer seems late at once. Without
        # this the daemon that stood still declares all others dead and gossips
        # it. Dropping what was pending is enough: a real death is found by the
        # next probes.
        gap = now - self._last_tick
        self._last_tick = now
        if gap < PAUSE_SECONDS:
            return
        self._probes.forget_pending()
        for daemon_id in self._suspected_by_id:
            self._suspected_by_id[daemon_id] += gap

    def _expire_pending(self, now: float) -> list[ProbeThrough]:
        through, silent = self._probes.overdue(self._other_ids(), now)
        for daemon_id in silent:
            self._suspect(daemon_id, now)
        return through

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

    def _forget_dead(self, now: float) -> None:
        for daemon_id, since in list(self._dead_by_id.items()):
            if now - since >= FORGET_DEAD_SECONDS:
                del self._dead_by_id[daemon_id]
                del self._members_by_id[daemon_id]
                self.changes += 1
                self._repeats_by_id.pop(daemon_id, None)

    def _probe_urgent(self, now: float) -> list[Probe]:
        urgent = self._urgent[:URGENT_PROBES_PER_TICK]
        del self._urgent[:URGENT_PROBES_PER_TICK]
        return [self._probes.start(daemon_id, now) for daemon_id in urgent]

    def next_probe(self, now: float) -> Probe | None:
        """Return the probe of this period, or None without other members."""
        return self._probes.next(self._other_ids(), now)

    def answered(self, round: int, daemon_id: str) -> None:
        """Settle the probe of this round."""
        self._probes.answered(round, daemon_id)

    def apply_update(self, update: Member, now: float) -> bool:
        """Take a word about a member and say whether it was newer than known."""
        if update.daemon_id == self._self_id:
            return self._refute(update)
        known = self._members_by_id.get(update.daemon_id)
        if known is None and update.status is Status.DEAD:
            return False
        update = self._doubt(update, known, now)
        if known is not None and update.age_rank <= known.age_rank:
            return False
        self._suspected_by_id.pop(update.daemon_id, None)
        self._dead_by_id.pop(update.daemon_id, None)
        if update.status is Status.SUSPECT:
            self._suspected_by_id[update.daemon_id] = now
            self._ask_urgently(update.daemon_id)
        self._store(update)
        return True

    def _doubt(self, update: Member, known: Member | None, now: float) -> Member:
        # When a partition heals, each side hears from the other that its own
        # members are dead. Believed at once, that empties the fleet until every
        # one has refuted, and all stewards move twice. So another's word of death
        # only starts a suspicion here: a dead member can't refute it, a live one
        # is asked and does.
        if update.status is not Status.DEAD or known.status is Status.DEAD:
            return update
        if update.age_rank > known.age_rank:
            self._suspected_by_id.setdefault(update.daemon_id, now)
        return update._replace(status=Status.SUSPECT)

    def _ask_urgently(self, daemon_id: str) -> None:
        if self._rng.random() * len(self._members_by_id) < ASKERS_OF_SUSPECT:
            self._urgent.append(daemon_id)

    def _refute(self, update: Member) -> bool:
        # News of this daemon's own death, by peers that could not reach it for a
        # while: without a word that outranks it, it stays out for good.
        myself = self.myself
        if update.age_rank <= myself.age_rank:
            return False
        self.raise_incarnation(update.incarnation)
        if update.incarnation == myself.incarnation:
            self._store(myself._replace(revision=update.revision + 1))
        return True

    def raise_incarnation(self, newest_known: int) -> None:
        """Go above an incarnation that peers remember of this daemon.

        A VM whose clock was set back starts with a lower incarnation than before,
        and peers would take all it says for late news.
        """
        if newest_known > self.myself.incarnation:
            self._store(self.myself._replace(incarnation=newest_known + 1, revision=0))

    def leave(self) -> None:
        """Tell that this daemon takes no new callers."""
        myself = self.myself
        if myself.status is not Status.LEAVING:
            self._store(
                myself._replace(status=Status.LEAVING, revision=myself.revision + 1)
            )

    def _store(self, member: Member) -> None:
        self._members_by_id[member.daemon_id] = member
        self._repeats_by_id[member.daemon_id] = self._repeats()
        self.changes += 1

    def _repeats(self) -> int:
        return REPEATS_FACTOR * math.ceil(math.log2(len(self._members_by_id) + 1))

    def updates_for(self, daemon_id: str, limit: int) -> list[Member]:
        """Return what to tell this member, least told first.

        What is thought ill of the member itself comes before all, so that it can
        refute.
        """
        updates = []
        about_it = self._members_by_id.get(daemon_id)
        if about_it is not None and about_it.status in (Status.SUSPECT, Status.DEAD):
            updates.append(about_it)
        untold = sorted(self._repeats_by_id.items(), key=lambda item: -item[1])
        for other_id, left in untold[: max(0, limit - len(updates))]:
            if other_id != daemon_id:
                updates.append(self._members_by_id[other_id])
            self._spend_repeat(other_id, left)
        return updates

    def _spend_repeat(self, daemon_id: str, left: int) -> None:
        if left <= 1:
            del self._repeats_by_id[daemon_id]
        else:
            self._repeats_by_id[daemon_id] = left - 1

    def merge_members(self, members: Iterable[Member], now: float) -> None:
        """Take a peer's whole list.

        What is new in it is not passed on as news: whoever gave the list does so.
        A joining daemon would otherwise repeat every member's record twenty times.
        """
        for member in members:
            is_new = self.apply_update(member, now)
            if is_new and member.daemon_id != self._self_id:
                self._repeats_by_id.pop(member.daemon_id, None)

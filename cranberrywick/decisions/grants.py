"""Handing out an endpoint's slots: the steward's side of capacity leases.

Load pattern: many daemons send to the same endpoints, in bursts, and none sees what
the others send; the endpoint's own report is late. The endpoint's steward leases its
slots to the daemons for some seconds at a time, by what each says it could use.

Without leases, each daemon acts on its own view: in the time by which reports lag,
all send to the endpoint that looked idle, and an endpoint in cold start, which bears
one request, gets one from each daemon. A counter in the platform's store would need
a write for each request or for each change of share, thousands a second.

What keeps the sum of the leases within the limit, whatever is lost, late, repeated
or restarted:

- A lease ends earlier at the holder than here: the holder counts its lifetime from
  the moment it asked, which is before the moment of the grant.
- A holder takes only the answer to its newest demand and tells in each what it
  holds, so that of one holder at most the larger of what it held and what it was
  answered is in force. That is what is counted.
- A new steward knows no leases. In its first lease lifetime it only renews what the
  holders show they hold, and grants nothing else.
- For an endpoint that does not bear all its slots, a lease of the platform names
  the steward, no grant outlives it, and nothing is renewed for another steward.
  Work that may still run under lapsed leases counts as running until a later report
  of the endpoint shows that it has ended.

Two stewards in a split view can together lease a warm endpoint's slots twice.

Figures: the lifetime of nine seconds outlasts the discovery of a dead steward
(about five seconds, at most seven seen) plus a renewal interval of three, so that
its successor renews the holders' leases before they lapse.
"""

from typing import NamedTuple

from cranberrywick.decisions.cold_start import ColdRamp, Trouble
from cranberrywick.decisions.division import divide
from cranberrywick.model import Endpoint, EndpointLoad, EndpointPhase

__all__ = [
    "LEASE_SECONDS",
    "RENEW_SECONDS",
    "DemandEntry",
    "Granted",
    "Ledger",
]

LEASE_SECONDS = 9.0
RENEW_SECONDS = 3.0
# By which two clocks may disagree over a lease, and a message may be under way.
MARGIN_SECONDS = 1.0
# The longest that work sent under a lapsed lease is held for still running if no
# report says otherwise.
LONGEST_RUN_SECONDS = 900.0
# Of what no one asks for, this part is lent in advance, so that a first request
# needs no round trip; the rest is there for a sudden demand.
SPARE_LENT = 0.5


class DemandEntry(NamedTuple):
    """What one daemon holds of one endpoint and would use.

    ``held`` are slots leased at the moment of asking, ``in_use`` requests running
    there, ``wanted`` all that it could have running there now. ``completed`` counts
    answers finished there since the daemon started; ``trouble`` is what it saw
    since its last demand, of the endpoint's run ``incarnation``; ``was_cold`` is
    whether the endpoint did not bear all its slots when it last heard.
    """

    endpoint_id: str
    wanted: int
    in_use: int
    held: int = 0
    completed: int = 0
    trouble: Trouble = Trouble.NONE
    incarnation: int = 0
    was_cold: bool = False


class Granted(NamedTuple):
    """A lease of ``slots`` for ``lifetime`` seconds from the demand's sending."""

    slots: int
    lifetime: float


NOTHING = Granted(0, 0.0)


class _Lease:
    """What one run of one daemon may hold."""

    __slots__ = (
        "completed",
        "expires_at",
        "forget_at",
        "granted",
        "held",
        "held_until",
        "in_use",
        "round",
        "wanted",
    )

    def __init__(self) -> None:
        self.round = -1
        self.granted = 0
        self.expires_at = float("-inf")
        self.held = 0
        self.held_until = float("-inf")
        self.forget_at = float("-inf")
        self.wanted = 0
        self.in_use = 0
        self.completed: int | None = None

    def in_force(self, now: float) -> int:
        """The most that the holder may think it has or have running."""
        granted = self.granted if now < self.expires_at else 0
        held = self.held if now < self.held_until else 0
        return max(granted, held, self.in_use)


class Ledger:
    """The leases of one endpoint, kept by its steward.

    >>> ledger = Ledger(endpoint, steward_since=0.0)
    >>> ledger.report(load, now=11.0)
    >>> ledger.demand("e2", 1, DemandEntry("r1", wanted=3, in_use=0), now=11.0)
    Granted(slots=3, lifetime=9.0)
    """

    def __init__(self, endpoint: Endpoint, steward_since: float):
        self._endpoint = endpoint
        self.grants_from = steward_since + LEASE_SECONDS + MARGIN_SECONDS
        self._ramp = ColdRamp(endpoint.cold_slots, endpoint.slots)
        self._leases_by_holder: dict[str, _Lease] = {}
        # The division of the slots, until a demand or the limit changes: at rest
        # it would be most of a steward's work.
        self._shares_by_holder: dict[str, int] | None = None
        self._shared_limit = -1
        self._load: EndpointLoad | None = None
        # How many requests may run that no lease in force accounts for. None until
        # a report tells, dated after the last moment a predecessor's lease could
        # have been used.
        self._unexplained: int | None = None
        self._unexplained_since = self.grants_from
        self._authority_until = float("-inf")

    @property
    def load(self) -> EndpointLoad | None:
        """The newest report, cold for as long as not all slots are borne."""
        if self._load is None or not self.needs_authority:
            return self._load
        if self._load.phase is not EndpointPhase.WARM:
            return self._load
        return self._load._replace(phase=EndpointPhase.COLD)

    @property
    def limit(self) -> int:
        """How many slots may be leased together."""
        return self._ramp.limit

    @property
    def needs_authority(self) -> bool:
        """Whether only the holder of the platform's lease may grant."""
        return not self._ramp.is_warm

    def leased(self, now: float) -> int:
        """The sum of what holders may think they have."""
        return sum(lease.in_force(now) for lease in self._leases_by_holder.values())

    def record_authority(self, authority_until: float, now: float) -> None:
        """Note that the platform's lease is held here; call at least each second.

        Reports count from the moment that the lease is first known to be held.
        """
        # Up to now another steward may have held the platform's lease and granted.
        # A report from before shows none of what was sent under those grants; taken
        # for the truth it let two stewards in turn fill a cold endpoint. Reports
        # dated from here on show all of it, for no other steward can grant now.
        if now >= self._authority_until:
            self._unexplained = None
            self._unexplained_since = max(self._unexplained_since, now + MARGIN_SECONDS)
        self._authority_until = max(self._authority_until, authority_until)

    def report(self, load: EndpointLoad, now: float) -> None:
        """Take a load report of the endpoint."""
        if self._load is not None and load.reported_at < self._load.reported_at:
            return
        self._expire(now)
        self._load = load
        running = load.running + load.waiting
        was_warm = self._ramp.is_warm
        self._ramp.report(load.incarnation, load.phase, load.reported_at, running)
        self._note_cut(was_warm, now)
        if load.reported_at >= self._unexplained_since:
            known = running if self._unexplained is None else self._unexplained
            self._unexplained = min(known, running)
        if now >= self._unexplained_since + LONGEST_RUN_SECONDS:
            self._unexplained = 0

    def _note_cut(self, was_warm: bool, now: float) -> None:
        # While it was warm nothing was counted beyond the leases in force.
        if was_warm and not self._ramp.is_warm:
            self._unexplained = None
            self._unexplained_since = max(self._unexplained_since, now + MARGIN_SECONDS)

    def demand(
        self,
        holder: str,
        round: int,
        entry: DemandEntry,
        now: float,
        authority_until: float | None = None,
    ) -> Granted | None:
        """Answer a daemon's demand; None says nothing, and what it holds stays.

        ``holder`` names one run of a daemon, ``authority_until`` is when the
        platform's lease ends, counted from before it was asked for; None without
        one.
        """
        self._expire(now)
        lease = self._lease_of(holder)
        if round <= lease.round:
            # Overtaken: the holder waits for the answer to a later one.
            return None
        self._note_demand(lease, round, entry, now)
        answer = self._decide(holder, lease, now, authority_until)
        granted = answer or NOTHING
        lease.granted = granted.slots
        lease.expires_at = now + granted.lifetime
        return answer

    def _lease_of(self, holder: str) -> _Lease:
        lease = self._leases_by_holder.get(holder)
        if lease is None:
            lease = self._leases_by_holder[holder] = _Lease()
            self._shares_by_holder = None
        return lease

    def _note_demand(
        self, lease: _Lease, round: int, entry: DemandEntry, now: float
    ) -> None:
        # What it holds it holds until then at the latest, for it was granted by us
        # before now or by a predecessor before we were steward.
        held_until = max(lease.expires_at, lease.held_until)
        if lease.round < 0:
            held_until = now + LEASE_SECONDS
        lease.round = round
        lease.forget_at = now + LEASE_SECONDS
        lease.held = entry.held
        lease.held_until = held_until
        wanted = max(entry.wanted, entry.in_use)
        if wanted != lease.wanted:
            lease.wanted = wanted
            self._shares_by_holder = None
        lease.in_use = entry.in_use
        self._note_outcomes(lease, entry, now)

    def _note_outcomes(self, lease: _Lease, entry: DemandEntry, now: float) -> None:
        if self._shows_cold(entry, now):
            in_use = sum(each.in_use for each in self._leases_by_holder.values())
            was_warm = self._ramp.is_warm
            self._ramp.cut(now, running=in_use + (self._unexplained or 0))
            self._note_cut(was_warm, now)
        elif lease.completed is not None:
            self._ramp.complete(max(0, entry.completed - lease.completed))
        lease.completed = entry.completed

    def _shows_cold(self, entry: DemandEntry, now: float) -> bool:
        if self._load is not None and entry.incarnation < self._load.incarnation:
            return False
        # A predecessor lost in mid-ramp leaves an endpoint that reports itself
        # warm and bears two slots of eight; the holders still know.
        is_heritage = entry.was_cold and now < self.grants_from
        return entry.trouble is not Trouble.NONE or is_heritage

    def _decide(
        self, holder: str, lease: _Lease, now: float, authority_until: float | None
    ) -> Granted | None:
        if self._load is None:
            return None
        if not self.needs_authority:
            return self._decide_warm(holder, lease, now)
        if authority_until is None:
            return NOTHING
        self.record_authority(authority_until, now)
        if self._unexplained is None:
            return NOTHING
        lifetime = min(LEASE_SECONDS, authority_until - now)
        if now < self.grants_from or lifetime <= 0:
            return NOTHING
        return Granted(self._slots_for(holder, lease, now), lifetime)

    def _decide_warm(self, holder: str, lease: _Lease, now: float) -> Granted | None:
        if now >= self.grants_from:
            return Granted(self._slots_for(holder, lease, now), LEASE_SECONDS)
        if lease.held == 0:
            return None
        slots = min(lease.held, max(lease.wanted, 1), self.limit)
        return Granted(slots, LEASE_SECONDS)

    def _slots_for(self, holder: str, lease: _Lease, now: float) -> int:
        others = self.leased(now) - lease.in_force(now)
        free = self.limit - others - self._reserved()
        return max(0, min(self._shares()[holder], free))

    def _reserved(self) -> int:
        # A warm endpoint queues what comes over its slots; one that is cold falls.
        return (self._unexplained or 0) if self.needs_authority else 0

    def _shares(self) -> dict[str, int]:
        limit = max(0, self.limit - self._reserved())
        if self._shares_by_holder is None or limit != self._shared_limit:
            self._shared_limit = limit
            self._shares_by_holder = divide(
                limit,
                {
                    holder: each.wanted
                    for holder, each in self._leases_by_holder.items()
                },
                0.0 if self.needs_authority else SPARE_LENT,
                self._endpoint.endpoint_id,
            )
        return self._shares_by_holder

    def over_share(self, now: float) -> dict[str, int]:
        """Return what holders that have too much should go down to."""
        if now < self.grants_from and not self.needs_authority:
            return {}
        shares = self._shares()
        return {
            holder: shares[holder]
            for holder, lease in self._leases_by_holder.items()
            if lease.in_force(now) > max(shares[holder], lease.in_use)
        }

    def is_short(self, now: float) -> bool:
        """Whether some holder has less than half of its share.

        Smaller differences wait for the renewals: at an endpoint that all want more
        of, shares change with every demand, and each would be followed by another
        round of taking back.
        """
        shares = self._shares()
        return any(
            2 * lease.in_force(now) < min(shares[holder], lease.wanted)
            for holder, lease in self._leases_by_holder.items()
        )

    def _expire(self, now: float) -> None:
        for holder, lease in list(self._leases_by_holder.items()):
            last = max(lease.expires_at, lease.held_until, lease.forget_at)
            if now >= last:
                self._lapse(holder, lease, last)

    def _lapse(self, holder: str, lease: _Lease, at: float) -> None:
        # The holder died, was cut off or stood still. What it sent before the end
        # may still run there, and only the endpoint knows.
        del self._leases_by_holder[holder]
        self._shares_by_holder = None
        sent = max(lease.granted, lease.held, lease.in_use)
        if sent and self.needs_authority:
            self._unexplained_since = max(self._unexplained_since, at + MARGIN_SECONDS)
            if self._unexplained is not None:
                self._unexplained += sent

"""Sharing out an endpoint's slots: the steward's side of capacity leases.

Load pattern: many daemons send to the same endpoints, in bursts, and none sees what
the others send; the endpoint's own load report is late. The endpoint's steward
leases its slots to the daemons for a few seconds at a time, according to how many
slots each daemon reports that it could use.

Without leases, each daemon acts on its own view: until the next report, all of them
send to the endpoint that looked idle. An endpoint in cold start, which can carry one
request, gets one from each daemon. A counter in the platform's store would need a
write for each request or for each change of a share, thousands a second.

The sum of the leases stays within the limit even if messages are lost, late or
repeated or daemons restart:

- A lease ends earlier at the holder than at the steward: the holder counts its
  lifetime from the moment it sent the demand, which is before the moment of the
  grant.
- A holder accepts only the answer to its newest demand, and each demand states what
  it holds. So at most the larger of what it held and what it was granted is in force
  for one holder, and that is what the steward counts.
- A new steward has no record of the leases in force. During its first lease lifetime
  it only renews what the holders report that they hold, and grants nothing else.
- While an endpoint can't carry load on all its slots, only the steward that the
  platform's lease names may grant, no grant outlives that lease, and leases granted
  by another steward are not renewed. Work that may still run under lapsed leases
  counts as running until a later report of the endpoint shows that it has ended.

Two stewards in a split view can together lease a warm endpoint's slots twice.

Figures: the lifetime of nine seconds outlasts the detection of a dead steward
(about five seconds, at most seven seen) plus a renewal interval of three seconds, so
that its successor renews the holders' leases before they lapse.
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

# Longest lifetime of a lease, in seconds.
LEASE_SECONDS = 9.0
# Longest interval between two demands of a holder, in seconds.
RENEW_SECONDS = 3.0
# Allowance for the difference between two clocks over a lease's lifetime and for the
# transit time of a message, in seconds.
MARGIN_SECONDS = 1.0
# Longest time for which work sent under a lapsed lease counts as still running when
# no report shows that it has ended, in seconds.
LONGEST_RUN_SECONDS = 900.0
# Share of the slots that nobody wants which is leased in advance, so that a first
# request needs no round trip. The rest is kept for a sudden rise in demand.
SPARE_LEASED_SHARE = 0.5


class DemandEntry(NamedTuple):
    """One daemon's demand for slots of one endpoint.

    ``held`` is the number of slots leased to the daemon when it sent the demand,
    ``in_use`` the number of its requests that run at the endpoint, and ``wanted``
    the number that it could have running there now. ``completed`` counts the
    answers completed there since the daemon started. ``trouble`` is what the daemon
    observed since its last demand, in the endpoint's run ``incarnation``.
    ``was_cold`` is true if the endpoint was cold by the last report that the daemon
    received from a steward, which reports it cold until all its slots may be used.
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
    """A lease of ``slots`` for ``lifetime`` seconds from the sending of the demand."""

    slots: int
    lifetime: float


NO_SLOTS = Granted(0, 0.0)


class _Lease:
    """The steward's record of what one run of one daemon may hold.

    ``granted`` is what the steward last granted, valid until ``expires_at``.
    ``held`` is what the daemon last reported, valid until ``held_until``. A record
    with no slots in force is kept until ``forget_at``.
    """

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
        """Return the most slots that the holder may count on or have in use."""
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
        # The division of the slots, cached until a demand or the limit changes.
        # Recomputed for each demand it would be most of the work of a steward whose
        # holders do not change their demands.
        self._shares_by_holder: dict[str, int] | None = None
        self._shared_limit = -1
        self._load: EndpointLoad | None = None
        # Upper bound on the requests running that no lease in force accounts for.
        # None until there is a report dated after the last moment at which a lease
        # of another steward could have been used.
        self._unaccounted: int | None = None
        self._reports_valid_from = self.grants_from
        self._authority_until = float("-inf")

    @property
    def load(self) -> EndpointLoad | None:
        """The newest load report, with phase cold while the ramp is not complete.

        An endpoint that reports itself warm may still be limited to fewer than all
        its slots; the holders then must treat it as cold. A phase other than warm
        is returned as reported. None before the first report.
        """
        if self._load is None or not self.needs_authority:
            return self._load
        if self._load.phase is not EndpointPhase.WARM:
            return self._load
        return self._load._replace(phase=EndpointPhase.COLD)

    @property
    def limit(self) -> int:
        """The most slots that may be leased at the same time."""
        return self._ramp.limit

    @property
    def needs_authority(self) -> bool:
        """Whether only the daemon that the platform's lease names may grant."""
        return not self._ramp.is_warm

    def leased(self, now: float) -> int:
        """Return the sum of the slots that the holders may count on."""
        return sum(lease.in_force(now) for lease in self._leases_by_holder.values())

    def record_authority(self, authority_until: float, now: float) -> None:
        """Record that this daemon holds the platform's lease until a given time.

        Both times are in monotonic seconds. Call this at least once a second while
        the lease is held. After a time without the lease, only reports dated after
        the first call show which work is running.
        """
        # Until now another steward may have held the platform's lease and granted
        # slots. An earlier report shows none of the work sent under those grants;
        # relying on one allowed two stewards in turn to fill a cold endpoint.
        # Reports dated from here on show all of it, since no other steward can
        # grant now.
        if now >= self._authority_until:
            self._unaccounted = None
            self._reports_valid_from = max(
                self._reports_valid_from, now + MARGIN_SECONDS
            )
        self._authority_until = max(self._authority_until, authority_until)

    def report(self, load: EndpointLoad, now: float) -> None:
        """Apply a load report of the endpoint; one older than the last is ignored."""
        if self._load is not None and load.reported_at < self._load.reported_at:
            return
        self._expire(now)
        self._load = load
        running = load.running + load.waiting
        was_warm = self._ramp.is_warm
        self._ramp.report(load.incarnation, load.phase, load.reported_at, running)
        self._reset_unaccounted_if_cut(was_warm, now)
        if load.reported_at >= self._reports_valid_from:
            previous = running if self._unaccounted is None else self._unaccounted
            self._unaccounted = min(previous, running)
        if now >= self._reports_valid_from + LONGEST_RUN_SECONDS:
            self._unaccounted = 0

    def _reset_unaccounted_if_cut(self, was_warm: bool, now: float) -> None:
        # While the endpoint was warm, work beyond the leases in force was not
        # counted, so a report from after the cut is needed.
        if was_warm and not self._ramp.is_warm:
            self._unaccounted = None
            self._reports_valid_from = max(
                self._reports_valid_from, now + MARGIN_SECONDS
            )

    def demand(
        self,
        holder: str,
        round: int,
        entry: DemandEntry,
        now: float,
        authority_until: float | None = None,
    ) -> Granted | None:
        """Return the lease granted for a demand, or None to send no answer.

        Without an answer the holder keeps what it holds until that expires.
        ``holder`` identifies one run of a daemon, and ``round`` numbers its demands;
        one that is not newer than the last gets no answer. ``authority_until`` is
        when the platform's lease ends, in monotonic seconds, counted from before the
        lease was requested; it is None if this daemon does not hold that lease.
        """
        self._expire(now)
        lease = self._lease_of(holder)
        if round <= lease.round:
            # The holder has sent a later demand and waits only for its answer.
            return None
        self._record_demand(lease, round, entry, now)
        answer = self._decide(holder, lease, now, authority_until)
        granted = answer or NO_SLOTS
        lease.granted = granted.slots
        lease.expires_at = now + granted.lifetime
        return answer

    def _lease_of(self, holder: str) -> _Lease:
        lease = self._leases_by_holder.get(holder)
        if lease is None:
            lease = self._leases_by_holder[holder] = _Lease()
            self._shares_by_holder = None
        return lease

    def _record_demand(
        self, lease: _Lease, round: int, entry: DemandEntry, now: float
    ) -> None:
        # The latest moment at which the slots that it reports can still be held:
        # they were granted by this steward, or by an earlier one before this daemon
        # became steward.
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
        self._record_outcomes(lease, entry, now)

    def _record_outcomes(self, lease: _Lease, entry: DemandEntry, now: float) -> None:
        if self._shows_cold(entry, now):
            in_use = sum(each.in_use for each in self._leases_by_holder.values())
            was_warm = self._ramp.is_warm
            self._ramp.cut(now, running=in_use + (self._unaccounted or 0))
            self._reset_unaccounted_if_cut(was_warm, now)
        elif lease.completed is not None:
            self._ramp.complete(max(0, entry.completed - lease.completed))
        lease.completed = entry.completed

    def _shows_cold(self, entry: DemandEntry, now: float) -> bool:
        if self._load is not None and entry.incarnation < self._load.incarnation:
            return False
        # If the previous steward was lost during a ramp, the endpoint reports itself
        # warm although it can carry only, for example, two of its eight slots. The
        # last report that the holders received called it cold, as their demands say.
        is_inherited_ramp = entry.was_cold and now < self.grants_from
        return entry.trouble is not Trouble.NONE or is_inherited_ramp

    def _decide(
        self, holder: str, lease: _Lease, now: float, authority_until: float | None
    ) -> Granted | None:
        if self._load is None:
            return None
        if not self.needs_authority:
            return self._decide_warm(holder, lease, now)
        if authority_until is None:
            return NO_SLOTS
        self.record_authority(authority_until, now)
        if self._unaccounted is None:
            return NO_SLOTS
        lifetime = min(LEASE_SECONDS, authority_until - now)
        if now < self.grants_from or lifetime <= 0:
            return NO_SLOTS
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
        # A warm endpoint queues the requests beyond its slots; a cold one fails.
        return (self._unaccounted or 0) if self.needs_authority else 0

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
                0.0 if self.needs_authority else SPARE_LEASED_SHARE,
                self._endpoint.endpoint_id,
            )
        return self._shares_by_holder

    def over_share(self, now: float) -> dict[str, int]:
        """Return the share of each holder that has more than its share in force."""
        if now < self.grants_from and not self.needs_authority:
            return {}
        shares = self._shares()
        return {
            holder: shares[holder]
            for holder, lease in self._leases_by_holder.items()
            if lease.in_force(now) > max(shares[holder], lease.in_use)
        }

    def is_short(self, now: float) -> bool:
        """Return whether some holder has less than half of its share.

        Smaller differences are left to the renewals. At an overloaded endpoint the
        shares change with every demand, and each change would start another round of
        asking holders to give slots back.
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
        # The holder died, was cut off or was suspended. Requests that it sent before
        # the lease ended may still be running, and only a report of the endpoint
        # shows whether they are.
        del self._leases_by_holder[holder]
        self._shares_by_holder = None
        sent = max(lease.granted, lease.held, lease.in_use)
        if sent and self.needs_authority:
            self._reports_valid_from = max(
                self._reports_valid_from, at + MARGIN_SECONDS
            )
            if self._unaccounted is not None:
                self._unaccounted += sent

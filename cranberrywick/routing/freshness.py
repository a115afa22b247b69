"""Policy for which daemon reads the store for the fleet, and when another takes over.

Load pattern: every daemon must have the state of a leaving endpoint or a new
configuration within a second or two, while each call to the store is paid for and
counts against a rate limit that grows more slowly than the fleet. If each daemon read
the store for itself, the calls would grow with the fleet; if a leader were elected, its
loss would have to be detected and agreed on. Here there is no leader: a daemon whose
snapshot is older than the age limit of its rank reads the store and broadcasts the
result. While the daemon of the first rank does so, the others' snapshots never reach
their limits.
"""

import random

__all__ = ["RefreshPolicy"]

# Interval at which the daemon of the first rank reads, in seconds. With the limits
# below even the last one has a change within about 1.3 s if all daemons before it are
# lost at once.
BASE_AGE_SECONDS = 0.45
# Difference between the age limits of successive ranks, in seconds. It is longer than a
# read of the store and its broadcast take.
RANK_STEP_SECONDS = 0.3
# Weight of the newest snapshot in the mean age at which snapshots arrive from peers.
ARRIVAL_WEIGHT = 0.25
# Upper bound of all age limits, as a share of the time after which a leaving endpoint
# must get no more work.
LAST_SHARE_OF_DRAIN = 0.6
# Pause after a failed call, in seconds: in an outage of the store the fleet as a whole
# calls it about five times a second, unless the longest pause of three seconds makes
# daemons of a larger fleet call more often.
OUTAGE_PAUSE_PER_MEMBER_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 3.0


class RefreshPolicy:
    """Decides when a daemon's snapshot is old enough for it to read the store itself.

    ``drain_seconds`` is how long a leaving endpoint may still get work. ``rng`` varies
    the pauses after failed calls.
    """

    def __init__(self, drain_seconds: float, rng: random.Random):
        self._max_age = LAST_SHARE_OF_DRAIN * drain_seconds
        self._rng = rng
        self._not_before = float("-inf")
        self._arrival_age = 0.0

    def age_limit(self, rank: int) -> float:
        """Return the snapshot's age, in seconds, at which a daemon of a rank reads.

        The first rank, 0, reads at a fixed interval. The others also allow for the time
        that its snapshots usually take to arrive, which grows with the number of
        registered endpoints.
        """
        limit = BASE_AGE_SECONDS + rank * RANK_STEP_SECONDS
        if rank:
            limit += self._arrival_age
        return min(limit, self._max_age)

    def arrived(self, age: float) -> None:
        """Record the age of a snapshot on its arrival from a peer, in seconds."""
        # Bounded, since a late one after an outage is no measure of the usual age.
        age = min(age, self._max_age)
        self._arrival_age += ARRIVAL_WEIGHT * (age - self._arrival_age)

    def is_due(self, age: float, rank: int, now: float) -> bool:
        """Whether a daemon of this rank should read now, given its snapshot's age."""
        return self.due_in(age, rank, now) <= 0

    def due_in(self, age: float, rank: int, now: float) -> float:
        """Return in how many seconds the read is due, if no snapshot arrives before."""
        return max(self._not_before - now, self.age_limit(rank) - age)

    def succeeded(self) -> None:
        """Record a successful call to the store."""
        self._not_before = float("-inf")

    def failed(self, members: int, now: float) -> float:
        """Record a failed call; return the pause before the next one, in seconds."""
        pause = min(members * OUTAGE_PAUSE_PER_MEMBER_SECONDS, LONGEST_PAUSE_SECONDS)
        pause *= self._rng.uniform(0.5, 1.5)
        self._not_before = now + pause
        return pause

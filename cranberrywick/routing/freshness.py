"""Who reads the store for the fleet, and when another takes over.

Load pattern: every daemon must know of a leaving endpoint or a new configuration
within a second or two, and each call to the store has a price and counts against a
rate that grows more slowly than the fleet. If each daemon read for itself, the
calls would grow with the fleet; if one was appointed, its loss would have to be
noticed and agreed on. Here nobody is appointed: whoever's knowledge is older than
the limit of its own rank reads, and tells all others. While the first reads, the
others' knowledge never gets old enough.
"""

import random

__all__ = ["RefreshPolicy"]

# The first in rank reads so often, in seconds; with the steps below even the last
# knows of a change within some 1.3 s, if all before it are lost at once.
BASE_AGE_SECONDS = 0.45
# Longer than an answer of the store takes to come and be passed on.
RANK_STEP_SECONDS = 0.3
# Weight of the newest reading in the mean age at which readings arrive.
ARRIVAL_WEIGHT = 0.25
# Of the time within which an endpoint that leaves must get no more work.
LAST_SHARE_OF_DRAIN = 0.6
# While the store answers nobody, the fleet as a whole asks about five times a
# second, however large it is, and a daemon at least every three seconds.
OUTAGE_PAUSE_PER_MEMBER_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 3.0


class RefreshPolicy:
    """Says when a daemon's knowledge is old enough for it to read by itself.

    ``drain_seconds`` is how long a leaving endpoint may still get work.
    """

    def __init__(self, drain_seconds: float, rng: random.Random):
        self._last = LAST_SHARE_OF_DRAIN * drain_seconds
        self._rng = rng
        self._not_before = float("-inf")
        self._arrival_age = 0.0

    def age_limit(self, rank: int) -> float:
        """Return the age, in seconds, at which the daemon of this rank reads.

        The first reads by the clock; the others wait for as long as its readings
        usually take to arrive, which is the longer the more is registered.
        """
        limit = BASE_AGE_SECONDS + rank * RANK_STEP_SECONDS
        if rank:
            limit += self._arrival_age
        return min(limit, self._last)

    def arrived(self, age: float) -> None:
        """Note how old a reading was when it came from a peer."""
        # One that comes late after an outage says nothing of what is usual.
        age = min(age, self._last)
        self._arrival_age += ARRIVAL_WEIGHT * (age - self._arrival_age)

    def is_due(self, age: float, rank: int, now: float) -> bool:
        """Whether the daemon of this rank reads now."""
        return self.due_in(age, rank, now) <= 0

    def due_in(self, age: float, rank: int, now: float) -> float:
        """Return in how many seconds that will be, if nothing is heard until then."""
        return max(self._not_before - now, self.age_limit(rank) - age)

    def succeeded(self) -> None:
        """Note an answer of the store."""
        self._not_before = float("-inf")

    def failed(self, members: int, now: float) -> float:
        """Note a call without an answer; return the pause before the next."""
        pause = min(members * OUTAGE_PAUSE_PER_MEMBER_SECONDS, LONGEST_PAUSE_SECONDS)
        pause *= self._rng.uniform(0.5, 1.5)
        self._not_before = now + pause
        return pause

"""When a daemon reads the list of registered daemons in the store.

Load pattern: hundreds of daemons start at once, and later each wants to notice others
that it has never heard of. Read by each on its own clock, the calls grow with the fleet
and are most of what it pays the store for. A daemon that joins makes itself known, and
one reader is enough to bring together groups that were cut from each other until they
forgot each other: news goes on from there. So a fleet reads the list about once a
second as a whole, whatever its size.
"""

import random

__all__ = ["START_SECONDS", "TURN_SECONDS", "is_turn"]

# A daemon that starts reads the list after these, until all on it have been heard.
START_SECONDS = (0.3, 1.0, 2.0, 4.0)

# A daemon of a small fleet reads the list so often.
TURN_SECONDS = 10.0
# Fleet-wide, while daemons are many.
READS_PER_SECOND = 1.0


def is_turn(members: int, rng: random.Random) -> bool:
    """Whether this daemon reads the list now; asked each `TURN_SECONDS`.

    >>> is_turn(9, random.Random())
    True
    """
    return rng.random() * members < READS_PER_SECOND * TURN_SECONDS

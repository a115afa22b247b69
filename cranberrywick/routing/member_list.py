"""Schedule by which a daemon reads the list of registered daemons in the store.

Load pattern: hundreds of daemons start at once, and later each has to detect others
that it has never received a message from. If each read the list at a fixed interval,
the calls would grow with the fleet and make up most of the store's cost. They are
seldom needed: a daemon that joins sends messages to the others itself, and if a network
partition lasted until its sides had evicted each other, one reader is enough to bring
them together, since the members are passed on in messages. A fleet therefore reads the
list about once a second altogether, whatever its size.
"""

import random

__all__ = ["START_SECONDS", "TURN_SECONDS", "is_turn"]

# Seconds after its start at which a daemon reads the list, until it has received
# messages from all daemons on it.
START_SECONDS = (0.3, 1.0, 2.0, 4.0)

# Interval at which a daemon of a small fleet reads the list, in seconds.
TURN_SECONDS = 10.0
# Rate at which the daemons of a large fleet read the list, all together.
READS_PER_SECOND = 1.0


def is_turn(members: int, rng: random.Random) -> bool:
    """Whether this daemon reads the list now; called every `TURN_SECONDS`.

    >>> is_turn(9, random.Random())
    True
    """
    return rng.random() * members < READS_PER_SECOND * TURN_SECONDS

"""The order of what daemons have read from the store, also after it lost changes.

Load pattern: the store is lost and comes back from a copy some seconds old. Its
revisions go back and are given out again, for other changes. If the revision alone
ordered readings, daemons would ignore all of them until the store has made as many
changes as it lost: endpoints leave, keys are revoked and failure domains are taken out
meanwhile, unnoticed. With each return the store's epoch rises by one, so that epoch and
revision together never go back.
"""

from typing import NamedTuple

__all__ = ["UNKNOWN_EPOCH", "StorePosition"]

# The epoch of a store, or of a peer's message, that states none.
UNKNOWN_EPOCH = -1


class StorePosition(NamedTuple):
    """A point in the store's history; a later one is greater.

    >>> StorePosition(epoch=2, revision=31) > StorePosition(epoch=1, revision=33)
    True
    """

    epoch: int
    revision: int

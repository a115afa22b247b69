"""Which addresses callers are told to use."""

import random
from collections.abc import Sequence

from cranberrywick.routing.members import Heartbeat

__all__ = ["ANSWER_SECONDS", "choose_addresses"]

# How long callers may keep an answer. Some keep it three times as long, so that a
# daemon which leaves has no new callers after three seconds.
ANSWER_SECONDS = 1
# Callers take no more.
MAX_ADDRESSES = 64


def choose_addresses(
    serving: Sequence[Heartbeat], own: str, leaving: bool, rng: random.Random
) -> list[str]:
    """Return the entry addresses of the daemons that live and take callers.

    ``own`` is this daemon's address, empty if it takes none. A daemon that is
    leaving, or not ready yet, names itself only where nobody else is known: an
    address that still answers is better than none.
    """
    addresses = [beat.entry_address for beat in serving if beat.entry_address]
    if own and not leaving:
        addresses.append(own)
    if not addresses and own:
        return [own]
    if len(addresses) > MAX_ADDRESSES:
        addresses = rng.sample(addresses, MAX_ADDRESSES)
    return sorted(addresses)

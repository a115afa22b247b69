"""The addresses that callers receive to connect to."""

import random
from collections.abc import Sequence

from cranberrywick.routing.members import Heartbeat

__all__ = ["ANSWER_SECONDS", "choose_addresses"]

# How long callers may cache an answer, in seconds. Some cache it three times as long,
# so that a leaving daemon has no new callers after three seconds.
ANSWER_SECONDS = 1
# Largest number of addresses that callers accept.
MAX_ADDRESSES = 64


def choose_addresses(
    serving: Sequence[Heartbeat], own: str, leaving: bool, rng: random.Random
) -> list[str]:
    """Return the entry addresses of the daemons that are alive and accept callers.

    ``own`` is this daemon's address, empty if it accepts no callers. A daemon that is
    leaving, or not ready yet, includes itself only if no other daemon is known: an
    address that still answers is better than none. Of too many addresses a random
    sample is returned.
    """
    addresses = [beat.entry_address for beat in serving if beat.entry_address]
    if own and not leaving:
        addresses.append(own)
    if not addresses and own:
        return [own]
    if len(addresses) > MAX_ADDRESSES:
        addresses = rng.sample(addresses, MAX_ADDRESSES)
    return sorted(addresses)

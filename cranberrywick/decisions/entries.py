"""The choice of the entry addresses that a caller is given, and of their lifetime.

Load pattern: there is no load balancer in front of the daemons. Callers request
addresses from any daemon, use the answer for its lifetime and connect by themselves.
Organisations send the same long prefixes again and again. VMs and whole failure domains
leave at short notice. Each organisation is assigned a few daemons by rendezvous
hashing, so that its prompts reach the daemons whose endpoints have its prefixes cached
and its load is spread over several failure domains. The number is a parameter, so that
a large organisation can be given more daemons.

Without this, every caller would keep the first address it received, and nothing would
move it away from a VM that is about to leave. Random addresses would spread the load as
well, but each daemon would receive some requests of every organisation, and the
endpoints that it uses would have to cache every organisation's prefixes.

Figures: of three entries in three failure domains, two remain after the loss of any
one domain. With a lifetime of twenty seconds, a drain lasts at least that time and a
margin, and each caller requests addresses once in twenty seconds. The lifetime is
shortened at random by up to a quarter, so that callers which started together do not
all return at the same time.
"""

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cranberrywick.decisions.membership import Member, Status
from cranberrywick.rendezvous import rendezvous_order

__all__ = [
    "ALONE_LIFETIME_SECONDS",
    "DRAIN_SECONDS",
    "EntryAnswer",
    "choose_entries",
]

# Number of addresses in an answer.
ENTRIES = 3
# Longest lifetime of an answer, in seconds.
LIFETIME_SECONDS = 20.0
# Largest part by which a lifetime is shortened at random.
LIFETIME_SPREAD = 0.25
# Shortest time for which a daemon serves after its leaving notice, in seconds. A peer
# that had not received the notice may still give its address, which callers then use
# for the lifetime of the answer.
DRAIN_SECONDS = LIFETIME_SECONDS + 5.0
# Longest lifetime of an answer while there is no choice of daemons, in seconds. It is
# short, since other daemons may be found soon.
ALONE_LIFETIME_SECONDS = 5.0


class EntryAnswer(NamedTuple):
    """Addresses to connect to, best first, for ``lifetime`` seconds."""

    addresses: tuple[str, ...]
    lifetime: float


def choose_entries(
    organisation: str,
    region: str,
    members_by_id: Mapping[str, Member],
    domains_out: frozenset[str],
    rng: random.Random,
    entries: int = ENTRIES,
) -> EntryAnswer:
    """Return the entries for an organisation whose callers are nearest to ``region``.

    Daemons that are leaving, dead or in a failure domain that is taken out are omitted,
    and suspects come last. If no daemon is left, those that may still answer are
    returned, since a caller without an address could not send anything. Every daemon
    with the same members returns the same daemons for an organisation, and a member
    that joins or leaves changes at most one address. ``rng`` chooses which of the first
    two comes first, and shortens the lifetime.
    """
    usable = _usable(members_by_id.values(), domains_out)
    by_id = {member.daemon_id: member for member in usable}
    order = [by_id[id] for id in rendezvous_order(f"entry\0{organisation}", by_id)]
    order.sort(key=lambda m: (m.status is Status.SUSPECT, m.region != region))
    chosen = _spread_over_domains(order, entries)
    _swap_first_two(chosen, rng)
    lifetime = LIFETIME_SECONDS if len(by_id) > 1 else ALONE_LIFETIME_SECONDS
    return EntryAnswer(
        tuple(member.entry_address for member in chosen),
        lifetime * (1 - rng.uniform(0, LIFETIME_SPREAD)),
    )


def _usable(members: Iterable[Member], domains_out: frozenset[str]) -> list[Member]:
    living = [member for member in members if member.status is not Status.DEAD]
    staying = [member for member in living if member.status is not Status.LEAVING]
    inside = [m for m in staying if m.failure_domain not in domains_out]
    return inside or staying or living


def _spread_over_domains(order: list[Member], entries: int) -> list[Member]:
    """Return the first members in order, at first at most one per failure domain.

    A domain is used again only if the others have no members left.
    """
    chosen: list[Member] = []
    left = list(order)
    while left and len(chosen) < entries:
        domains = {member.failure_domain for member in chosen}
        fresh = [member for member in left if member.failure_domain not in domains]
        member = (fresh or left)[0]
        chosen.append(member)
        left.remove(member)
    return chosen


def _swap_first_two(chosen: list[Member], rng: random.Random) -> None:
    # A caller connects to the first address. If that were always the same one, all
    # requests of a large organisation would go to one daemon. The first two are
    # swapped at random, so that both receive its prefixes; a suspect is not moved up.
    if len(chosen) > 1 and chosen[1].status is not Status.SUSPECT:
        if rng.random() < 0.5:
            chosen[0], chosen[1] = chosen[1], chosen[0]

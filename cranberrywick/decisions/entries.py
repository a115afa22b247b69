"""Which entry addresses a caller is given, and for how long.

Load pattern: there is no balancer before the daemons. Callers ask any daemon for
addresses, keep the answer for its lifetime and connect on their own; organisations
send the same long prefixes again and again; VMs and whole failure domains leave at
short notice. Each organisation gets a few daemons of its own by rendezvous hashing,
so that its prompts meet where its prefixes are cached and its load spreads over
several failure domains; with more daemons a large one can be given more.

Without this every caller would use the first address it learned, and nothing would
bring it away from a VM that is about to go. Addresses at random would spread load
as well, but each daemon then sees a little of every organisation, and the endpoints
that each daemon uses cache every organisation's prefixes.

Figures: three entries in three failure domains survive the loss of any one. A
lifetime of twenty seconds bounds how long a drain waits (the lifetime and the
margin) at one call in twenty seconds for each caller. It is shortened at random by
up to a quarter, so that callers who started together do not all come back at once.
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

ENTRIES = 3
LIFETIME_SECONDS = 20.0
LIFETIME_SPREAD = 0.25
# From its leaving notice a daemon keeps serving at least so long: an answer given
# just before by a peer that had not heard yet is still in use for its lifetime.
DRAIN_SECONDS = LIFETIME_SECONDS + 5.0
# While none but this daemon is known the answer is worth little.
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
    """Return entries for an organisation whose callers are nearest to ``region``.

    Daemons that are leaving, dead or in a failure domain taken out are left out;
    suspects come last. Where that leaves none, all that may still answer are given:
    a caller without an address has nowhere to turn. The same organisation gets the
    same daemons from every daemon with the same view, and a member that comes or
    goes changes one address at most.
    """
    usable = _usable(members_by_id.values(), domains_out)
    by_id = {member.daemon_id: member for member in usable}
    order = [by_id[id] for id in rendezvous_order(f"entry\0{organisation}", by_id)]
    order.sort(key=lambda m: (m.status is Status.SUSPECT, m.region != region))
    chosen = _spread_over_domains(order, entries)
    _swap_for_balance(chosen, rng)
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
    """Take members in order, each failure domain once before any twice."""
    chosen: list[Member] = []
    left = list(order)
    while left and len(chosen) < entries:
        domains = {member.failure_domain for member in chosen}
        fresh = [member for member in left if member.failure_domain not in domains]
        member = (fresh or left)[0]
        chosen.append(member)
        left.remove(member)
    return chosen


def _swap_for_balance(chosen: list[Member], rng: random.Random) -> None:
    # A caller connects to the first. Always the same first would give a large
    # organisation one daemon; the first two take turns, and both keep its prefixes.
    # A suspect stays last.
    if len(chosen) > 1 and chosen[1].status is not Status.SUSPECT:
        if rng.random() < 0.5:
            chosen[0], chosen[1] = chosen[1], chosen[0]

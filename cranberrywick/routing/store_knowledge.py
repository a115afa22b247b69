"""What daemons keep of the store's content after it came back from an older copy.

Load pattern: endpoints leave, turn cold or are removed and failure domains are taken
out while the store is about to be lost. It comes back seconds later from a copy that
holds none of this until operators and endpoints have written it again, and readings of
the copy look new. If they replaced what daemons knew, endpoints would get requests that
no longer serve, or that can't bear them; daemons that start meanwhile know nothing
else.

What was known is therefore kept until the store shows it again, for a limited time:
operators and endpoints may have changed their mind in what was lost. Daemons send each
other what they keep. Each entry is taken over once for an epoch, with the time that is
left of it, so that daemons can't extend it by sending it back and forth.
"""

from collections.abc import Iterable, Mapping, Set
from math import inf
from typing import NamedTuple

from cranberrywick.routing.endpoint_index import TrackedEndpoint
from cranberrywick.routing.store_position import UNKNOWN_EPOCH

__all__ = [
    "RetainedDomain",
    "RetainedDomains",
    "RetainedEndpoint",
    "RetainedEndpoints",
    "StoreKnowledge",
]

# How long a domain stays out that the store no longer shows as such, in seconds. The
# platform names no time after which operators have written again what was lost.
RETAIN_DOMAIN_SECONDS = 30.0
# How long an endpoint that was gone gets no requests if its record is there again, in
# seconds: two until its owner has removed it again, and three heartbeats of endpoints
# until the record of one that has crashed expires.
RETAIN_GONE_SECONDS = 6.0
# How old the removal of an endpoint may be for its record to reappear, in seconds. The
# copy is some seconds old, and the outage adds to that.
DEPARTED_SECONDS = 120.0
# Largest number of endpoints that are kept and sent to peers, the latest first.
MAX_ENDPOINTS = 200


class RetainedDomain(NamedTuple):
    """A failure domain that stays out until a moment.

    ``known_at`` is the last moment at which it was known to be out.
    """

    domain: str
    until: float
    known_at: float


class RetainedEndpoint(NamedTuple):
    """A start of an endpoint that gets no requests, or counts as cold, until a moment.

    ``born`` identifies the start, as in its record. Minus infinity stands for never.
    """

    endpoint_id: str
    born: int
    unused_until: float
    cold_until: float = -inf

    @property
    def until(self) -> float:
        """The moment after which nothing is kept about it."""
        return max(self.unused_until, self.cold_until)


class StoreKnowledge(NamedTuple):
    """What a daemon states in its heartbeats about the store.

    ``epoch`` is the newest that it knows, ``operator_epoch`` that of its operators'
    view, and ``configuration_version`` the version in force. ``domains`` and
    ``endpoints`` are what it keeps although the store does not show it.
    """

    epoch: int = UNKNOWN_EPOCH
    operator_epoch: int = UNKNOWN_EPOCH
    configuration_version: int = 0
    domains: tuple[RetainedDomain, ...] = ()
    endpoints: tuple[RetainedEndpoint, ...] = ()


class RetainedDomains:
    """The failure domains that stay out although the store does not show them so.

    >>> domains = RetainedDomains()
    >>> domains.store_returned({"b"}, known_at=9.5, now=10.0)
    >>> domains.names
    frozenset({'b'})
    >>> domains.shown({"b"})
    >>> domains.names
    frozenset()
    """

    def __init__(self) -> None:
        self._entries_by_domain: dict[str, RetainedDomain] = {}
        self._known_at = -inf
        # Domains of this epoch that the store has shown as out or that were kept.
        self._settled: set[str] = set()

    @property
    def names(self) -> frozenset[str]:
        """The names of the domains."""
        return frozenset(self._entries_by_domain)

    @property
    def entries(self) -> tuple[RetainedDomain, ...]:
        """The domains, each with the moment until which it stays out."""
        return tuple(self._entries_by_domain.values())

    def store_returned(
        self, domains_out: Set[str], known_at: float, now: float
    ) -> None:
        """Keep the domains that were out when the store came back.

        ``known_at`` is the last moment at which they were known to be the ones.
        """
        until = now + RETAIN_DOMAIN_SECONDS
        self._entries_by_domain = {
            domain: RetainedDomain(domain, until, known_at) for domain in domains_out
        }
        self._known_at = known_at
        self._settled = set(domains_out)

    def shown(self, domains_out: Iterable[str]) -> None:
        """Record that the store shows these domains as out in this epoch."""
        for domain in domains_out:
            self._settled.add(domain)
            self._entries_by_domain.pop(domain, None)

    def adopt(self, entry: RetainedDomain) -> bool:
        """Keep a domain as a peer does; return whether this is news.

        It is not if this daemon knew later than the peer that the domain was in use.
        """
        if entry.domain in self._settled or entry.known_at <= self._known_at:
            return False
        self._settled.add(entry.domain)
        self._entries_by_domain[entry.domain] = entry
        return True

    def expire(self, now: float) -> bool:
        """Remove the domains whose time is over; return whether there were any."""
        entries = self._entries_by_domain.values()
        over = [entry.domain for entry in entries if entry.until <= now]
        for domain in over:
            del self._entries_by_domain[domain]
        return bool(over)


class RetainedEndpoints:
    """What is kept of endpoints: which had departed, and which were cold."""

    def __init__(self) -> None:
        # When each start of an endpoint was removed, the latest last.
        self._departed_at_by_start: dict[tuple[str, int], float] = {}
        self._retained_by_start: dict[tuple[str, int], RetainedEndpoint] = {}
        self._settled: set[tuple[str, int]] = set()

    def departed(self, endpoint_id: str, born: int, now: float) -> None:
        """Record that an endpoint's record was removed from the store."""
        self._departed_at_by_start.pop((endpoint_id, born), None)
        self._departed_at_by_start[endpoint_id, born] = now
        for start, departed_at in list(self._departed_at_by_start.items()):
            is_old = now - departed_at > DEPARTED_SECONDS
            if not is_old and len(self._departed_at_by_start) <= MAX_ENDPOINTS:
                break
            del self._departed_at_by_start[start]

    def departed_ids(self, since: float) -> set[str]:
        """Return the endpoints whose records were removed after a moment."""
        return {
            endpoint_id
            for (endpoint_id, _), at in self._departed_at_by_start.items()
            if at > since
        }

    def appeared(self, endpoint_id: str, born: int) -> None:
        """Record that the store shows an endpoint's record, in the same epoch."""
        self._departed_at_by_start.pop((endpoint_id, born), None)

    def store_returned(
        self, tracked_by_id: Mapping[str, TrackedEndpoint], now: float
    ) -> list[RetainedEndpoint]:
        """Keep what is known of endpoints when the store comes back; return it."""
        # Those that an earlier copy showed again count as gone still.
        gone_starts = [
            start
            for start, kept in self._retained_by_start.items()
            if kept.unused_until > now
        ]
        gone_starts += [
            start
            for start, departed_at in self._departed_at_by_start.items()
            if now - departed_at <= DEPARTED_SECONDS
        ]
        unused_until = now + RETAIN_GONE_SECONDS
        retained = [
            RetainedEndpoint(*start, unused_until)
            for start in gone_starts[-MAX_ENDPOINTS:]
        ]
        retained += [
            RetainedEndpoint(
                tracked.endpoint_id, tracked.record.born, -inf, tracked.cold_until
            )
            for tracked in tracked_by_id.values()
            if tracked.cold_until > now
        ]
        self._retained_by_start = {
            (each.endpoint_id, each.born): each for each in retained[-MAX_ENDPOINTS:]
        }
        self._settled = set(self._retained_by_start)
        return retained

    def adopt(self, endpoint: RetainedEndpoint) -> bool:
        """Keep what a peer keeps of an endpoint; return whether this is news."""
        start = endpoint.endpoint_id, endpoint.born
        if start in self._settled or len(self._settled) >= 2 * MAX_ENDPOINTS:
            return False
        self._settled.add(start)
        self._retained_by_start[start] = endpoint
        return True

    def cold_until(self, endpoint_id: str, born: int) -> float:
        """Return until when a start counts as cold; minus infinity if it is not.

        A later start that is cold counts too: the record is that of a copy.
        """
        return max(
            (
                kept.cold_until
                for (each_id, kept_born), kept in self._retained_by_start.items()
                if each_id == endpoint_id and kept_born >= born
            ),
            default=-inf,
        )

    def entries(self, now: float) -> tuple[RetainedEndpoint, ...]:
        """Return what is still kept; entries whose time is over are removed."""
        for start, endpoint in list(self._retained_by_start.items()):
            if endpoint.until <= now:
                del self._retained_by_start[start]
        return tuple(self._retained_by_start.values())

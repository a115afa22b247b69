"""How many bytes a daemon holds for its connections, and which of them it closes.

Load pattern: many callers read their answers slowly or not at all, and endpoints read
requests slowly, beside callers and endpoints that are quick. What the daemon holds for
the slow ones counts as its memory, and a process above its VM's memory is killed, with
all its requests. A VM has 200 to 552 MB, and a daemon's process takes about 30 MB.
"""

from collections.abc import Callable
from typing import NamedTuple

__all__ = ["BufferLedger", "BufferLimits", "Holding"]

# Memory that the process itself needs, in bytes: twice what it takes when idle. The
# metrics library is loaded later, and each connection has objects of its own.
PROCESS_BYTES = 60_000_000
# Part of the rest that the budget gets. The other half is for copies: of a body while
# its parts are joined, and of what is unsent while a buffer grows.
BUDGET_SHARE = 0.5
# Smallest budget, in bytes: a body of the longest default length fits.
MIN_BUDGET_BYTES = 6_000_000
# Part of the budget that all connections share. The rest is only for connections that
# hold no more than their own part, so that quick callers are served in any case.
SHARED_SHARE = 0.75
# A connection's own part of the budget: some 270 kB on the smallest VM, while streams
# and whole answers have a few kB.
PART_SHARE = 1 / 256
# How many bytes are newly held until connections are looked at again, as a part of the
# shared bytes. A look costs time in proportion to the number of connections.
CHECK_SHARE = 1 / 64
# A connection with unread bytes counts as slow after this time, in seconds.
SLOW_SECONDS = 1.0
# Shortest time between two looks at all connections for bodies that seem not to fit, in
# seconds. A look takes some 10 ms for 1,500 connections, and each refused body would
# cause one.
REFRESH_SECONDS = 0.05
# Weight of the unread bytes of other connections when they are compared. Just after a
# write a quick caller has as many unread bytes as a slow one with an answer of equal
# length, or some more.
QUICK_WEIGHT = 0.5


class BufferLimits(NamedTuple):
    """Limits of the held bytes: of all, of those that are shared, of one's own part."""

    budget: int
    shared: int
    part: int

    @classmethod
    def of_memory(cls, memory_bytes: int) -> "BufferLimits":
        """Return the limits for a VM with this memory.

        >>> BufferLimits.of_memory(200_000_000)
        BufferLimits(budget=70000000, shared=52500000, part=273437)
        """
        rest = BUDGET_SHARE * (memory_bytes - PROCESS_BYTES)
        budget = max(int(rest), MIN_BUDGET_BYTES)
        return cls(budget, int(budget * SHARED_SHARE), int(budget * PART_SHARE))


class Holding(NamedTuple):
    """What is held for one connection, in bytes.

    ``kept`` are request bodies and whole answers, ``unread`` are bytes written to the
    connection and not yet sent, some of them since ``unread_since``.
    """

    kept: int = 0
    unread: int = 0
    unread_since: float = float("inf")

    @property
    def held(self) -> int:
        """All bytes held for the connection."""
        return self.kept + self.unread


_NOTHING = Holding()


class BufferLedger:
    """Counts what is held for each connection, and chooses the connections to close.

    Unread bytes are stated after each write. They become fewer without notice, so that
    the count is an upper bound until ``read_unread``, which returns the unread bytes of
    a connection, is called for each. That happens only if the count seems to exceed a
    limit.

    >>> ledger = BufferLedger(BufferLimits.of_memory(200_000_000), unread_by_id.get)
    >>> ledger.admits("caller-1", 4_000_000, now=10.0)
    True
    >>> ledger.keep("caller-1", 4_000_000)
    >>> ledger.take_excess(now=10.0)
    []
    """

    def __init__(self, limits: BufferLimits, read_unread: Callable[[str], int]):
        self.limits = limits
        self._read_unread = read_unread
        self._holdings_by_id: dict[str, Holding] = {}
        self._held = 0
        self._check_step = int(limits.shared * CHECK_SHARE)
        # Bytes that came to be held since connections were looked at.
        self._grown = 0
        self._refreshed_at = float("-inf")

    @property
    def held(self) -> int:
        """An upper bound of the bytes held for all connections."""
        return self._held

    @property
    def holders(self) -> int:
        """For how many connections bytes are held."""
        return len(self._holdings_by_id)

    def admits(self, connection_id: str, kept: int, now: float) -> bool:
        """Return whether so many bytes of a request may be kept for a connection.

        Shortly after all connections were looked at, the upper bound decides.
        """
        if self._has_room(connection_id, kept):
            return True
        if now - self._refreshed_at < REFRESH_SECONDS:
            return False
        self._refreshed_at = now
        self.refresh()
        return self._has_room(connection_id, kept)

    def _has_room(self, connection_id: str, kept: int) -> bool:
        before = self._holdings_by_id.get(connection_id, _NOTHING)
        after = before._replace(kept=kept)
        is_own_part = after.held <= self.limits.part
        limit = self.limits.budget if is_own_part else self.limits.shared
        more = after.held - before.held
        return more <= 0 or self._held + more <= limit

    def keep(self, connection_id: str, kept: int) -> None:
        """Record how many bytes of requests and answers are kept for a connection."""
        holding = self._holdings_by_id.get(connection_id, _NOTHING)
        self._set(connection_id, holding._replace(kept=kept))

    def record_unread(self, connection_id: str, unread: int, now: float) -> None:
        """Record how many bytes a connection has not read."""
        holding = self._holdings_by_id.get(connection_id, _NOTHING)
        if not unread and not holding.unread:
            return
        since = min(holding.unread_since, now) if unread else float("inf")
        self._set(connection_id, Holding(holding.kept, unread, since))

    def remove(self, connection_id: str) -> Holding:
        """Record that a connection is closed; return what was held for it."""
        holding = self._holdings_by_id.get(connection_id, _NOTHING)
        self._set(connection_id, _NOTHING)
        return holding

    def refresh(self) -> None:
        """Count the unread bytes of all connections anew."""
        for connection_id, holding in list(self._holdings_by_id.items()):
            if holding.unread:
                unread = self._read_unread(connection_id)
                self.record_unread(connection_id, unread, holding.unread_since)

    def take_excess(self, now: float) -> list[tuple[str, Holding]]:
        """Remove and return the connections to close, in this order.

        Above the shared bytes these are slow connections with more unread bytes than
        their own part. Above the budget they are also those that are not slow, then
        slow connections with fewer unread bytes, and at last those for which the most
        is kept. The one with the most unread bytes comes
        first, among equals the one with bytes unread for the longest time; the bytes of
        connections that are not slow count less.
        """
        if self._held <= self.limits.shared or self._grown <= self._check_step:
            return []
        self._grown = 0
        self.refresh()
        slow_since = now - SLOW_SECONDS

        def by_unread(entry: tuple[str, Holding]) -> tuple[float, float]:
            since = entry[1].unread_since
            weight = 1.0 if since <= slow_since else QUICK_WEIGHT
            return -weight * entry[1].unread, since

        shared, budget, part = self.limits.shared, self.limits.budget, self.limits.part
        # Bodies are admitted up to the shared bytes, and just after the write to a
        # quick endpoint nearly a whole body counts as unread, too.
        is_above_budget = self._held > budget
        taken = self._take(
            shared,
            by_unread,
            lambda each: (
                each.unread > part
                and (is_above_budget or each.unread_since <= slow_since)
            ),
        )
        taken += self._take(
            budget, by_unread, lambda each: each.unread_since <= slow_since
        )
        taken += self._take(budget, _by_held, lambda each: each.held > part)
        return taken

    def _take(
        self,
        limit: int,
        order: Callable[[tuple[str, Holding]], tuple[float, float]],
        may_close: Callable[[Holding], bool],
    ) -> list[tuple[str, Holding]]:
        """Remove and return connections, in order, until the limit is met."""
        taken = []
        if self._held > limit:
            candidates = (
                each for each in self._holdings_by_id.items() if may_close(each[1])
            )
            for connection_id, holding in sorted(candidates, key=order):
                if self._held <= limit:
                    break
                taken.append((connection_id, holding))
                self.remove(connection_id)
        return taken

    def _set(self, connection_id: str, holding: Holding) -> None:
        before = self._holdings_by_id.pop(connection_id, _NOTHING)
        if holding.held:
            self._holdings_by_id[connection_id] = holding
        self._held += holding.held - before.held
        self._grown += max(0, holding.held - before.held)


def _by_held(entry: tuple[str, Holding]) -> tuple[float, float]:
    return -entry[1].held, entry[1].unread_since

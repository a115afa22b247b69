"""The order of the probes, and which of them are overdue.

Load pattern: members fail one at a time, and the network loses datagrams. Members are
probed in a shuffled order, one pass after another, so that the time until a member is
probed is at most two passes. A member that does not answer is probed through two
relays, so that a single lossy path does not get a healthy daemon declared dead.
Without that, two daemons that can't reach each other declare each other dead.

Figures: the timeout of half a second is some hundred times the transit time between
failure domains, and several times the longest pause of a busy process that was seen.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["Probe", "ProbeSchedule", "ProbeThrough"]

# Time to wait for the answer to a probe, direct or through relays, in seconds.
ACK_TIMEOUT_SECONDS = 0.5
# Number of relays through which a member is probed that did not answer directly.
RELAYS_PER_PROBE = 2


class Probe(NamedTuple):
    """A ping to a member, which an answer with the same round settles."""

    round: int
    daemon_id: str


class ProbeThrough(NamedTuple):
    """A request to ``relay`` to ping the member ``daemon_id``."""

    round: int
    relay: str
    daemon_id: str


class _PendingProbe(NamedTuple):
    round: int
    daemon_id: str
    deadline: float
    is_indirect: bool


class ProbeSchedule:
    """Chooses the members to probe and keeps the probes that are unanswered."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._order: list[str] = []
        self._pending: list[_PendingProbe] = []
        self._round = 0

    def next(self, member_ids: Sequence[str], now: float) -> Probe | None:
        """Start and return the next regular probe, or None without members."""
        for _ in range(2):
            while self._order:
                daemon_id = self._order.pop()
                if daemon_id in member_ids:
                    return self.start(daemon_id, now)
            self._order = list(member_ids)
            self._rng.shuffle(self._order)
        return None

    def start(self, daemon_id: str, now: float) -> Probe:
        """Start and return a probe of this member; ``now`` is in monotonic seconds."""
        self._round += 1
        self._pending.append(
            _PendingProbe(self._round, daemon_id, now + ACK_TIMEOUT_SECONDS, False)
        )
        return Probe(self._round, daemon_id)

    def answered(self, round: int, daemon_id: str) -> None:
        """Record the answer of a member to the probe of this round."""
        self._pending = [
            probe
            for probe in self._pending
            if (probe.round, probe.daemon_id) != (round, daemon_id)
        ]

    def drop_pending(self) -> None:
        """Drop all unanswered probes."""
        self._pending.clear()

    def overdue(
        self, member_ids: Sequence[str], now: float
    ) -> tuple[list[ProbeThrough], list[str]]:
        """Return the probes to send through relays, and the members without an answer.

        The first are for members that did not answer a direct probe in time, the
        second are members that did not answer through relays either.
        """
        overdue = [probe for probe in self._pending if probe.deadline <= now]
        self._pending = [probe for probe in self._pending if probe.deadline > now]
        through = []
        unanswered_ids = []
        for probe in overdue:
            if probe.is_indirect:
                unanswered_ids.append(probe.daemon_id)
                continue
            through += self._probes_through_relays(probe, member_ids)
            self._pending.append(
                probe._replace(deadline=now + ACK_TIMEOUT_SECONDS, is_indirect=True)
            )
        return through, unanswered_ids

    def _probes_through_relays(
        self, probe: _PendingProbe, member_ids: Sequence[str]
    ) -> list[ProbeThrough]:
        relays = [each for each in member_ids if each != probe.daemon_id]
        chosen = self._rng.sample(relays, min(RELAYS_PER_PROBE, len(relays)))
        return [ProbeThrough(probe.round, relay, probe.daemon_id) for relay in chosen]

"""Divide prompts that exceed one engine's memory among a gang of engines.

Load pattern: the longest prompts need more than twice one engine's memory. Several
engines hold a part each; one of them, the leader, generates the answer and reads the
others' parts by cache export and import.

Without it: if memory were not reserved all or nothing, two such prompts could each
hold one of the two engines that both need, and neither could proceed (deadlock). If a
reservation were not released on every path, each failure would leave an engine with
less memory, until it could serve nothing.

Grounds: ``FREE_SHARE`` leaves a tenth of the memory that a report shows as free,
because a report is about a second old and other daemons send requests meanwhile. A
gang has at most ``MAX_MEMBERS`` engines: the longest prompts need three, and with each
further engine there is one more whose failure loses the answer.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Candidate",
    "GangPlan",
    "GangReservation",
    "Held",
    "HoldKind",
    "Part",
    "Step",
    "plan_gang",
]

FREE_SHARE = 0.9
MAX_MEMBERS = 6


class Candidate(NamedTuple):
    """An engine that may join a gang, with the free tokens of its cache."""

    endpoint_id: str
    failure_domain: str
    free_tokens: int


class Part(NamedTuple):
    """The tokens of one request that one engine holds."""

    endpoint_id: str
    tokens: int


class GangPlan(NamedTuple):
    """Which engine holds how many tokens of a request.

    The leader's part includes the whole output.
    """

    leader: Part
    helpers: tuple[Part, ...]

    @property
    def endpoint_ids(self) -> tuple[str, ...]:
        """The members, leader first."""
        return (self.leader.endpoint_id, *(part.endpoint_id for part in self.helpers))


def plan_gang(
    prompt_tokens: int, output_tokens: int, candidates: Iterable[Candidate]
) -> GangPlan | None:
    """Return the smallest gang that can hold a request, or None.

    All members are in one failure domain: the answer is lost if any member is, so a
    second domain would only add a further way to lose it.

    >>> engines = [Candidate(f"e{n}", "a", 1000) for n in range(3)]
    >>> plan_gang(1500, 100, engines).endpoint_ids
    ('e0', 'e1')
    """
    by_domain: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        by_domain.setdefault(candidate.failure_domain, []).append(candidate)
    plans = [
        _plan_in_domain(prompt_tokens, output_tokens, members)
        for _, members in sorted(by_domain.items())
    ]
    found = [plan for plan in plans if plan is not None]
    return min(found, key=lambda plan: len(plan.helpers), default=None)


def _plan_in_domain(
    prompt_tokens: int, output_tokens: int, members: list[Candidate]
) -> GangPlan | None:
    by_free_tokens = sorted(
        members, key=lambda member: (-member.free_tokens, member.endpoint_id)
    )
    parts: list[Part] = []
    left = prompt_tokens + output_tokens
    for candidate in by_free_tokens[:MAX_MEMBERS]:
        tokens = min(int(candidate.free_tokens * FREE_SHARE), left)
        if tokens <= 0:
            break
        parts.append(Part(candidate.endpoint_id, tokens))
        left -= tokens
        if left == 0:
            break
    if left > 0 or parts[0].tokens < output_tokens:
        return None
    return GangPlan(parts[0], tuple(parts[1:]))


class HoldKind(StrEnum):
    """The kind of a reservation, by the name under which engines list it."""

    EXPORT = "exports"
    IMPORT = "imports"


class Step(NamedTuple):
    """One reservation to make.

    ``source`` is the export that an import reads; it is None for a reservation that
    takes memory.
    """

    endpoint_id: str
    kind: HoldKind
    tokens: int
    source: "Held | None" = None


class Held(NamedTuple):
    """One reservation that an engine holds, or may hold.

    ``reservation_id`` is None if the engine's answer was lost. Then the engine may
    hold the reservation or not, and whatever it lists for this owner has to be
    released.
    """

    endpoint_id: str
    kind: HoldKind
    tokens: int
    reservation_id: str | None


class GangReservation:
    """The reservations of a plan: the next one to make, and those to release.

    Memory is reserved in the order of the engines' ids, which is the same for all
    daemons. Of two gangs that need the same engines, the one that reserves the first
    shared engine gets the others too, so they never deadlock with one engine each. The
    leader's imports of the other parts take no memory and come last.

    >>> reservation = GangReservation(plan)
    >>> while step := reservation.next_step():
    ...     reservation.taken(reserve(step))
    """

    def __init__(self, plan: GangPlan):
        own = Step(plan.leader.endpoint_id, HoldKind.IMPORT, plan.leader.tokens)
        exports = [
            Step(part.endpoint_id, HoldKind.EXPORT, part.tokens)
            for part in plan.helpers
        ]
        self._leader_id = plan.leader.endpoint_id
        self._steps = sorted([own, *exports])
        self._held: list[Held] = []
        self._failed = False

    @property
    def held(self) -> tuple[Held, ...]:
        """What the engines hold or may hold, in the order of reservation."""
        return tuple(self._held)

    @property
    def complete(self) -> bool:
        """Whether every reservation is held, so that the request may be sent."""
        return not self._failed and self.next_step() is None

    @property
    def import_ids(self) -> tuple[str, ...]:
        """The ids of the leader's imports, which the request has to name."""
        return tuple(
            held.reservation_id or ""
            for held in self._held
            if held.kind is HoldKind.IMPORT
        )

    def next_step(self) -> Step | None:
        """Return the next reservation to make, or None after the last or a failure."""
        if self._failed:
            return None
        taken = len(self._held)
        if taken < len(self._steps):
            return self._steps[taken]
        exports = [held for held in self._held if held.kind is HoldKind.EXPORT]
        linked = taken - len(self._steps)
        if linked == len(exports):
            return None
        source = exports[linked]
        return Step(self._leader_id, HoldKind.IMPORT, source.tokens, source)

    def taken(self, reservation_id: str) -> None:
        """Record that the engine holds the reservation of the current step.

        Raise `ValueError` if there is no current step.
        """
        self._record(reservation_id)

    def refused(self) -> None:
        """Record that the engine refused the current step; the gang has failed."""
        self._failed = True

    def unknown(self) -> None:
        """Record that the answer to the current step was lost; the gang has failed.

        The reservation has to be released, since the engine may hold it.
        """
        self._record(None)
        self._failed = True

    def to_release(self) -> tuple[Held, ...]:
        """Return the reservations to release, the latest first."""
        return tuple(reversed(self._held))

    def released(self, held: Held) -> None:
        """Record that the engine no longer holds this reservation."""
        self._failed = True
        self._held.remove(held)

    def _record(self, reservation_id: str | None) -> None:
        step = self.next_step()
        if step is None:
            raise ValueError("no reservation is being made")
        held = Held(step.endpoint_id, step.kind, step.tokens, reservation_id)
        self._held.append(held)

"""Prompts that need more memory than one engine has: who holds which part.

Load pattern: the longest prompts need more than twice one engine's memory. Several
engines hold a part each; one of them, the leader, generates and reaches the others'
parts by cache export and import.

Without a plan that is all or nothing, two such prompts each take one engine of the
two that both need, and neither can go on while both hold memory. Without giving
back on every path, each failure leaves an engine smaller until it serves nothing.

Grounds for the figures: ``FREE_SHARE`` leaves a tenth of what a report calls free,
for a report is about a second old and other daemons send meanwhile. A gang has at
most ``MAX_MEMBERS`` engines: the longest prompts need three, and each engine more
is one more whose failure loses the answer.
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
    """An engine that may join a gang; ``free_tokens`` of its cache are free."""

    endpoint_id: str
    failure_domain: str
    free_tokens: int


class Part(NamedTuple):
    """The tokens of one request that one engine holds."""

    endpoint_id: str
    tokens: int


class GangPlan(NamedTuple):
    """The leader holds its part of the prompt and the whole output."""

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

    All members are in one failure domain: the loss of any member loses the answer,
    so that a second domain only adds a second way to lose it.

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
    """What is held at an engine."""

    EXPORT = "exports"
    IMPORT = "imports"


class Step(NamedTuple):
    """One reservation to make; ``source`` is the export that an import reads."""

    endpoint_id: str
    kind: HoldKind
    tokens: int
    source: "Held | None" = None


class Held(NamedTuple):
    """One reservation; ``reservation_id`` is None when its answer was lost.

    Then the engine may hold it or not, and whatever it lists for this owner has to
    be given back.
    """

    endpoint_id: str
    kind: HoldKind
    tokens: int
    reservation_id: str | None


class GangReservation:
    """Takes a plan's reservations one by one, and knows what to give back.

    What takes memory is reserved in the order of the engines' ids, which is the
    same for all daemons: of two gangs that want the same engines the one that gets
    the first shared one gets the others too, so that they never hold one each. The
    leader's imports of the others' parts take no memory and come last.

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
        """What is held or may be, in the order in which it was taken."""
        return tuple(self._held)

    @property
    def complete(self) -> bool:
        """Whether everything is held, so that the request may be sent."""
        return not self._failed and self.next_step() is None

    @property
    def import_ids(self) -> tuple[str, ...]:
        """The leader's imports, to be named in the request."""
        return tuple(
            held.reservation_id or ""
            for held in self._held
            if held.kind is HoldKind.IMPORT
        )

    def next_step(self) -> Step | None:
        """Return the next reservation to make; None after the last or a failure."""
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
        """Note that the engine holds the step's reservation."""
        self._record(reservation_id)

    def refused(self) -> None:
        """Note that the engine holds nothing for the step; the gang has failed."""
        self._failed = True

    def unknown(self) -> None:
        """Note that the answer was lost: held or not, it has to be given back."""
        self._record(None)
        self._failed = True

    def to_release(self) -> tuple[Held, ...]:
        """Return what has to be given back, last taken first."""
        return tuple(reversed(self._held))

    def released(self, held: Held) -> None:
        """Note that the engine holds it no more."""
        self._failed = True
        self._held.remove(held)

    def _record(self, reservation_id: str | None) -> None:
        step = self.next_step()
        if step is None:
            raise ValueError("no reservation is being made")
        held = Held(step.endpoint_id, step.kind, step.tokens, reservation_id)
        self._held.append(held)

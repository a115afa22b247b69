"""How many events an answer may have: what earlier ones show, and what is stated.

Load pattern: answers of one route differ in length by two orders of magnitude, and
those that have ended first are the short ones. A daemon that has to promise the end of
an answer needs a bound that hardly any exceeds, not the length that most have.

Answers are kept by route and by how many tokens their requests allow, since an answer
that may become longer than all before it isn't bounded by them. The bound is the least
of those that hold: the tokens that the request allows, since an event has at least one;
the events that the engine makes of so many tokens, as it declares; and what earlier
answers had, also in relation to the lengths that their callers expected.
"""

from collections import deque
from collections.abc import Iterable
from functools import reduce
from math import ceil, inf, sqrt
from typing import NamedTuple

__all__ = [
    "AnswerLengths",
    "AnswerOutline",
    "LengthBound",
    "LengthStatement",
    "LengthTraits",
    "Tail",
]

# Number of answers of a group that are kept.
KEPT_ANSWERS = 256
# Largest number of groups. The one without an answer for longest is forgotten first.
MAX_GROUPS = 200
# Least number of answers from which a bound is derived.
MIN_ANSWERS = 16
# Least number of answers, on all routes, from which it is known that no answer has more
# events than its engine declares.
MIN_DECLARED_ANSWERS = 32
# The share of a sample that doesn't exceed its usual value.
USUAL_QUANTILE = 0.9
# A bound from a sample of ``n`` is raised by this much divided by ``n``.
SMALL_SAMPLE_RAISE = 16.0
# As long as fewer answers have ended than this many times those that run, the ended
# ones are the short ones.
MIN_ENDED_PER_RUNNING = 3


class AnswerOutline(NamedTuple):
    """What is known of an answer before it ends.

    ``tokens`` is the largest number of tokens that the request allows, ``hint`` the
    number that its caller expects; 0 if they are not stated. ``events`` is how many
    events the caller was sent, and ``resumed_at`` the number of the last one that it
    had before. An answer that ``has_begun`` can't be replaced by an error.
    """

    route: str = ""
    is_stream: bool = False
    tokens: int = 0
    hint: int = 0
    events: int = 0
    resumed_at: int = 0
    has_begun: bool = False
    target_seconds: float = 0.0

    @property
    def size(self) -> int:
        """The group of the answer: how many binary digits its tokens have."""
        return self.tokens.bit_length()


class Tail(NamedTuple):
    """The upper end of a sample: its size, its largest and its usual value.

    Nine in ten values are no larger than the ``usual`` one.

    >>> Tail.of([1.0] * 9 + [2.0])
    Tail(count=10, most=2.0, usual=1.0)
    """

    count: int = 0
    most: float = 0.0
    usual: float = 0.0

    @classmethod
    def of(cls, values: Iterable[float]) -> "Tail":
        """Return the tail of these values."""
        ordered = sorted(values)
        if not ordered:
            return cls()
        usual = ordered[ceil(USUAL_QUANTILE * len(ordered)) - 1]
        return cls(len(ordered), ordered[-1], usual)

    def merge(self, other: "Tail") -> "Tail":
        """Return the tail of both samples, its usual value by their sizes."""
        count = self.count + other.count
        if not count:
            return Tail(0, max(self.most, other.most), 0.0)
        usual = (self.count * self.usual + other.count * other.usual) / count
        return Tail(count, max(self.most, other.most), usual)

    def bound(self) -> float | None:
        """Return what hardly any further value exceeds; None for too small a sample.

        The longer the tail of the sample is, the further it goes on beyond the largest
        value.

        >>> round(Tail(256, 89.0, 80.0).bound(), 1)
        99.7
        """
        if self.count < MIN_ANSWERS or self.usual <= 0:
            return None
        beyond = sqrt(max(1.0, self.most / self.usual))
        return self.most * beyond * (1 + SMALL_SAMPLE_RAISE / self.count)


class LengthTraits(NamedTuple):
    """What all answers of a group have in common.

    They have no more events than tokens, and no more than the engine declares to make
    of so many tokens; and the ids of their events are their numbers.
    """

    within_tokens: bool = True
    within_declared: bool = True
    is_numbered: bool = True

    def merge(self, other: "LengthTraits") -> "LengthTraits":
        """Return what the answers of both have in common."""
        return LengthTraits(*(a and b for a, b in zip(self, other, strict=True)))


class LengthStatement(NamedTuple):
    """What a daemon knows of the answers of one route and size."""

    route: str
    size: int
    events: Tail
    events_per_hint: Tail = Tail()
    traits: LengthTraits = LengthTraits()

    def merge(self, other: "LengthStatement") -> "LengthStatement":
        """Return what both show of this one's route and size."""
        return self._replace(
            events=self.events.merge(other.events),
            events_per_hint=self.events_per_hint.merge(other.events_per_hint),
            traits=self.traits.merge(other.traits),
        )


class LengthBound(NamedTuple):
    """The largest number of further events of an answer, and where it is known from.

    ``basis`` is "tokens", "declared", "answers" or "hint", or "unknown" where
    ``events`` is infinite. ``answers`` is how many like it are known, and ``longest``
    how many events the longest of them has had so far.
    """

    events: float
    basis: str
    answers: int
    longest: int

    @property
    def is_learned(self) -> bool:
        """Whether the bound is more than what the request allows."""
        return self.basis == "declared" or self.answers >= MIN_ANSWERS


class _Answer(NamedTuple):
    events: int
    hint: int


class _Group:
    """The last answers of one route and size that have ended here."""

    def __init__(self) -> None:
        self.answers: deque[_Answer] = deque(maxlen=KEPT_ANSWERS)
        self.ended = 0
        self.traits = LengthTraits()

    def statement(self, route: str, size: int, running: int) -> LengthStatement:
        """Return what the group shows while so many answers of it run."""
        events = Tail.of(each.events for each in self.answers)
        per_hint = Tail.of(
            each.events / each.hint for each in self.answers if each.hint
        )
        if self.ended < MIN_ENDED_PER_RUNNING * running:
            events, per_hint = events._replace(count=0), per_hint._replace(count=0)
        return LengthStatement(route, size, events, per_hint, self.traits)


class AnswerLengths:
    """The lengths of streams, from those that have ended here.

    >>> lengths = AnswerLengths()
    >>> outline = AnswerOutline("drafts", is_stream=True, tokens=400)
    >>> for events in range(1, 41):
    ...     lengths.record(outline._replace(events=events), events, stride=51)
    >>> round(lengths.bound(outline, 51, [], []).events)
    59
    """

    def __init__(self) -> None:
        self._groups: dict[tuple[str, int], _Group] = {}

    def record(self, outline: AnswerOutline, last_id: int | None, stride: int) -> None:
        """Record an answer that has ended; ``outline`` has all of its events.

        ``last_id`` is the id of its last event, None if that is no number. An engine
        makes an event of ``stride`` tokens; 0 if it declares nothing.
        """
        number = outline.resumed_at + outline.events
        is_numbered = last_id == number
        if not outline.events or (outline.resumed_at and not is_numbered):
            return  # It isn't known how many events it has as a whole.
        key = outline.route, outline.size
        group = self._groups.pop(key, None)
        if group is None:
            group = _Group()
            if len(self._groups) >= MAX_GROUPS:
                del self._groups[next(iter(self._groups))]
        self._groups[key] = group
        group.answers.append(_Answer(number, outline.hint))
        group.ended += 1
        traits = _traits(outline, number, stride)._replace(is_numbered=is_numbered)
        group.traits = group.traits.merge(traits)

    def statements(
        self, running: Iterable[AnswerOutline] = ()
    ) -> tuple[LengthStatement, ...]:
        """Return what the answers show that have ended here, the last ones first."""
        running = list(running)
        return tuple(
            group.statement(
                route, size, sum((r.route, r.size) == (route, size) for r in running)
            )
            for (route, size), group in reversed(self._groups.items())
        )

    def bound(
        self,
        outline: AnswerOutline,
        stride: int,
        running: Iterable[AnswerOutline],
        stated: Iterable[LengthStatement],
    ) -> LengthBound:
        """Return how many further events an answer has at most.

        ``running`` are the answers that are being forwarded here, which may become
        longer than those that have ended; ``stated`` is what peers know.
        """
        running = list(running)
        stated = [*stated, *self.statements(running)]
        all_running = [_traits(each, _number(each), stride) for each in running]
        is_declared = _is_declared(stated, all_running)
        of_route = [each for each in stated if each.route == outline.route]
        running = [each for each in running if each.route == outline.route]
        known = _merged(outline, [e for e in of_route if e.size == outline.size])
        if known.events.count < MIN_ANSWERS:
            # Answers that may become longer are a bound for those that may not.
            known = _merged(outline, [e for e in of_route if e.size >= outline.size])
        alike = [each for each in running if each.size == outline.size]
        known = _with_running(known, alike)
        whole = _merged(outline, of_route)
        traits = [_traits(each, _number(each), stride) for each in running]
        whole = whole._replace(traits=reduce(LengthTraits.merge, traits, whole.traits))
        events, basis = min(
            _bounds(outline, known, whole, stride if is_declared else 0),
            default=(inf, "unknown"),
        )
        done = outline.events
        if whole.traits.is_numbered:
            done += outline.resumed_at
        answers = known.events.count
        longest = round(known.events.most)
        return LengthBound(max(1.0, events - done), basis, answers, longest)


def _number(outline: AnswerOutline) -> int:
    return outline.resumed_at + outline.events


def _traits(outline: AnswerOutline, number: int, stride: int) -> LengthTraits:
    """Return what an answer shows that has got to its event of this number."""
    return LengthTraits(
        not outline.tokens or number <= outline.tokens,
        not (stride and outline.tokens) or number <= ceil(outline.tokens / stride),
    )


def _with_running(
    known: LengthStatement, running: Iterable[AnswerOutline]
) -> LengthStatement:
    """Return a statement whose largest values are no less than what runs shows."""
    most, per_hint = known.events.most, known.events_per_hint.most
    for each in running:
        most = max(most, _number(each))
        if each.hint:
            per_hint = max(per_hint, _number(each) / each.hint)
    return known._replace(
        events=known.events._replace(most=most),
        events_per_hint=known.events_per_hint._replace(most=per_hint),
    )


def _is_declared(
    stated: Iterable[LengthStatement], running: Iterable[LengthTraits]
) -> bool:
    """Whether engines make no more events of an answer's tokens than they declare.

    That is known from answers on all routes, and none may have had more.
    """
    answers = 0
    for each in stated:
        if not each.traits.within_declared:
            return False
        answers += each.events.count
    return answers >= MIN_DECLARED_ANSWERS and all(t.within_declared for t in running)


def _merged(
    outline: AnswerOutline, statements: Iterable[LengthStatement]
) -> LengthStatement:
    merged = LengthStatement(outline.route, outline.size, Tail())
    for each in statements:
        merged = merged.merge(each)
    return merged


def _bounds(
    outline: AnswerOutline, known: LengthStatement, whole: LengthStatement, stride: int
) -> Iterable[tuple[float, str]]:
    """Yield the bounds that hold for the events of an answer, each with its basis.

    ``known`` is what is known of answers like it, ``whole`` of all of its route.
    ``stride`` is 0 if what engines declare is no bound.
    """
    if outline.tokens and whole.traits.within_tokens:
        yield outline.tokens, "tokens"
    if outline.tokens and stride:
        yield ceil(outline.tokens / stride), "declared"
    by_answers = known.events.bound()
    if by_answers is not None:
        yield by_answers, "answers"
    by_hint = known.events_per_hint.bound()
    if outline.hint and by_hint is not None:
        yield outline.hint * by_hint, "hint"

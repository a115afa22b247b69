"""How many events an answer may have: what earlier ones show, and what is stated.

Load pattern: answers of one route differ in length by two orders of magnitude, and
those that have ended first are the short ones. A daemon that has to promise the end of
an answer needs a bound that hardly any exceeds, not the length that most have.

Answers are kept by route and by how many tokens their requests allow, since an answer
that may become longer than all before it isn't bounded by them, and by the length that
their callers expected. The bound is the least of those that hold: the tokens that the
request allows, since an event has at least one; the events that the engine makes of so
many tokens, as it declares; and what earlier answers had, all of them or those of which
callers expected about as much.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from functools import reduce
from math import ceil, inf, sqrt
from typing import NamedTuple

__all__ = [
    "AnswerLengths",
    "AnswerOutline",
    "KnownLengths",
    "LengthBound",
    "LengthStatement",
    "LengthTraits",
    "Tail",
    "bound_length",
]

# Number of answers of a group that are kept: of a route, with as many tokens and a hint
# of the same size.
KEPT_ANSWERS = 256
# Largest number of groups. The one without an answer for longest is forgotten first.
MAX_GROUPS = 200
# Least number of answers from which a bound is derived.
MIN_ANSWERS = 16
# Least number of answers, on all routes, from which it is known that no answer has more
# events than its engine declares.
MIN_DECLARED_ANSWERS = 32
# An answer that has just as many shows as much of it as this many that have fewer.
FILLED_WEIGHT = 8
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
        """How many binary digits the number of its tokens has."""
        return self.tokens.bit_length()

    @property
    def hint_size(self) -> int:
        """How many binary digits its hint has; 0 without one."""
        return self.hint.bit_length()


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
    """What a daemon knows of the answers of one route, size and size of hint."""

    route: str
    size: int
    hint_size: int
    events: Tail
    traits: LengthTraits = LengthTraits()


class KnownLengths:
    """What is known of the lengths of answers, by route.

    ``within_declared`` says that none of these answers, on all routes, had more events
    than its engine declares to make of its tokens; ``filled`` of them had as many.
    """

    def __init__(self, statements: Iterable[LengthStatement], filled: int = 0):
        self._by_route: dict[str, list[LengthStatement]] = defaultdict(list)
        self.answers = 0
        self.filled = filled
        self.within_declared = True
        for each in statements:
            self._by_route[each.route].append(each)
            self.answers += each.events.count
            self.within_declared &= each.traits.within_declared

    def of_route(self, route: str) -> list[LengthStatement]:
        """Return what is known of the answers of a route."""
        return self._by_route.get(route, [])


class LengthBound(NamedTuple):
    """The largest number of further events of an answer, and where it is known from.

    ``basis`` is "tokens", "declared", "answers" or "hint", or "unknown" where
    ``events`` is infinite. ``answers`` is how many like it are known, and ``longest``
    how many events the longest of them has had so far. ``declared`` is how many the
    engine declares to make at most, 0 if it declares nothing.
    """

    events: float
    basis: str
    answers: int
    longest: int
    declared: int = 0


class _Answer(NamedTuple):
    events: int
    traits: LengthTraits


class _Group:
    """The last answers of one route, size and size of hint that have ended here."""

    def __init__(self) -> None:
        self._answers: deque[_Answer] = deque(maxlen=KEPT_ANSWERS)
        self._known: tuple[Tail, LengthTraits] | None = None
        self.ended = 0

    def record(self, answer: _Answer) -> None:
        """Record an answer that has ended."""
        self._answers.append(answer)
        self._known = None
        self.ended += 1

    @property
    def known(self) -> tuple[Tail, LengthTraits]:
        """The tail of the lengths, and what the answers have in common."""
        if self._known is None:
            tail = Tail.of(each.events for each in self._answers)
            by_trait = zip(*(each.traits for each in self._answers), strict=True)
            self._known = tail, LengthTraits(*map(all, by_trait))
        return self._known


_Key = tuple[str, int, int]


class AnswerLengths:
    """The lengths of streams, from those that have ended here.

    ``version`` changes with each of them, ``filled`` counts those that had as many
    events as their engine declares.

    >>> lengths = AnswerLengths()
    >>> outline = AnswerOutline("drafts", is_stream=True, tokens=400)
    >>> for events in range(1, 41):
    ...     lengths.record(outline._replace(events=events), events, stride=51)
    >>> known = KnownLengths(lengths.statements())
    >>> round(bound_length(outline, 51, [], [known]).events)
    59
    """

    def __init__(self) -> None:
        self._groups: dict[_Key, _Group] = {}
        self.version = 0
        self.filled = 0

    def record(self, outline: AnswerOutline, last_id: int | None, stride: int) -> None:
        """Record an answer that has ended; ``outline`` has all of its events.

        ``last_id`` is the id of its last event, None if that is no number. An engine
        makes an event of ``stride`` tokens; 0 if it declares nothing. The rest of a
        resumed answer shows nothing of whole ones.
        """
        if not outline.events or outline.resumed_at:
            return
        key = _key(outline)
        group = self._groups.pop(key, None)
        if group is None:
            group = _Group()
            if len(self._groups) >= MAX_GROUPS:
                del self._groups[next(iter(self._groups))]
        self._groups[key] = group
        is_numbered = last_id == outline.events
        traits = _traits(outline, stride)._replace(is_numbered=is_numbered)
        group.record(_Answer(outline.events, traits))
        self.version += 1
        self.filled += outline.events == _declared_events(outline, stride)

    def statements(
        self, running: Iterable[AnswerOutline] = ()
    ) -> tuple[LengthStatement, ...]:
        """Return what the answers show that have ended here, the last ones first.

        While too many are ``running`` compared with them, their number is 0.
        """
        running_by_key = Counter(_key(each) for each in running)
        statements = []
        for key, group in reversed(self._groups.items()):
            tail, traits = group.known
            if group.ended < MIN_ENDED_PER_RUNNING * running_by_key[key]:
                tail = tail._replace(count=0)
            statements.append(LengthStatement(*key, tail, traits))
        return tuple(statements)


def bound_length(
    outline: AnswerOutline,
    stride: int,
    running: Iterable[AnswerOutline],
    known: Iterable[KnownLengths],
) -> LengthBound:
    """Return how many further events an answer has at most.

    ``running`` are the answers that are being forwarded here from their beginning,
    which may become longer than those that have ended; ``known`` is what this daemon
    and its peers know.
    """
    known = list(known)
    of_route = [s for each in known for s in each.of_route(outline.route)]
    alike = [each for each in of_route if each.size == outline.size]
    if sum(each.events.count for each in alike) < MIN_ANSWERS:
        # Answers that may become longer are a bound for those that may not.
        alike = [each for each in of_route if each.size >= outline.size]
    hinted = [each for each in alike if each.hint_size == outline.hint_size]
    runs = [r for r in running if (r.route, r.size) == (outline.route, outline.size)]
    tail = _tail(alike, runs)
    hinted_runs = [each for each in runs if each.hint_size == outline.hint_size]
    hint_tail = _tail(hinted, hinted_runs) if outline.hint else Tail()
    traits = reduce(LengthTraits.merge, (s.traits for s in of_route), LengthTraits())
    is_within = all(each.events <= each.tokens for each in runs if each.tokens)
    bounds = list(_learned(tail, hint_tail))
    if outline.tokens and traits.within_tokens and is_within:
        bounds.append((outline.tokens, "tokens"))
    declared = _declared_events(outline, stride)
    if declared and _is_declared(known, running, stride):
        bounds.append((declared, "declared"))
    events, basis = min(bounds, default=(inf, "unknown"))
    done = outline.events
    answers = sum(each.events.count for each in of_route)
    if traits.is_numbered and answers >= MIN_ANSWERS:
        done += outline.resumed_at
    longest = round(tail.most)
    return LengthBound(max(1.0, events - done), basis, tail.count, longest, declared)


def _key(outline: AnswerOutline) -> _Key:
    return outline.route, outline.size, outline.hint_size


def _declared_events(outline: AnswerOutline, stride: int) -> int:
    """Return how many events an engine declares to make at most; 0 if it doesn't."""
    return ceil(outline.tokens / stride) if stride else 0


def _traits(outline: AnswerOutline, stride: int) -> LengthTraits:
    """Return what an answer shows that has so many events."""
    declared = _declared_events(outline, stride)
    return LengthTraits(
        not outline.tokens or outline.events <= outline.tokens,
        not declared or outline.events <= declared,
    )


def _tail(
    statements: Iterable[LengthStatement], running: Iterable[AnswerOutline]
) -> Tail:
    """Return the tail of answers, no shorter than those that run."""
    tail = reduce(Tail.merge, (each.events for each in statements), Tail())
    longest = max((each.events for each in running), default=0)
    return tail._replace(most=max(tail.most, longest))


def _learned(tail: Tail, hint_tail: Tail) -> Iterable[tuple[float, str]]:
    """Yield the bounds that follow from earlier answers, each with its basis."""
    by_answers, by_hint = tail.bound(), hint_tail.bound()
    if by_answers is not None:
        yield by_answers, "answers"
    if by_hint is not None:
        yield by_hint, "hint"


def _is_declared(
    known: Iterable[KnownLengths], running: Iterable[AnswerOutline], stride: int
) -> bool:
    """Whether engines are known to make no more events than they declare."""
    shown = sum(each.answers + FILLED_WEIGHT * each.filled for each in known)
    if shown < MIN_DECLARED_ANSWERS:
        return False
    is_within = all(each.within_declared for each in known)
    return is_within and all(_traits(r, stride).within_declared for r in running)

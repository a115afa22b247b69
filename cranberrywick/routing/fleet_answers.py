"""When an answer that is placed now has ended at the latest, as far as anybody knows.

Load pattern: a daemon that will end in some seconds gets a request. If it refuses what
would have ended in time, its callers lose a try, or all of them where every daemon
stops; if it serves what doesn't, they get a part of an answer. The forecast therefore
has a bound for each of its parts: how many events there may be, how fast they follow
one another now, and by how much answers took longer lately than was foreseen. What a
daemon hasn't seen itself, since it has just started or gets few such requests, its
peers state.
"""

from collections import deque
from collections.abc import Callable
from heapq import nlargest
from math import inf
from typing import NamedTuple

from cranberrywick.routing.answer_lengths import (
    MIN_ANSWERS,
    AnswerLengths,
    AnswerOutline,
    KnownLengths,
    LengthBound,
    LengthStatement,
    bound_length,
)
from cranberrywick.routing.answer_pace import AnswerPaces
from cranberrywick.routing.engine_model import prefill_time
from cranberrywick.routing.model import EngineProfile

__all__ = [
    "AnswerStatement",
    "NO_READING",
    "FinishForecast",
    "FleetAnswers",
    "PaceStatement",
    "PromptReading",
]

# A call that has run for longer than those that have ended, or of which few have, may
# take this many times as long.
UNKNOWN_CALL_FACTOR = 2.0
# How long the first call of a route may take, in seconds, if its target is longer. If
# it takes longer, those after it are expected to.
UNKNOWN_CALL_SECONDS = 1.0
# Factor by which an answer may take longer than foreseen, and the time that it takes in
# this daemon itself, in seconds.
SLACK = 1.1
OVERHEAD_SECONDS = 0.05
# For how long an answer that took longer than foreseen counts, in seconds, and by how
# many seconds at most. Longer ones have met a fault, which others need not.
OVERRUN_SECONDS = 10.0
MAX_OVERRUN_SECONDS = 3.0
# For how long the longest prompt of a service is expected to come again, in seconds.
PROMPT_SECONDS = 30.0
# Number of calls of a route, and of overruns of a service, that are kept.
KEPT_TIMES = 64
# Largest number of names by which times are kept. The one that has been without an
# answer for longest is forgotten first.
MAX_NAMES = 500
# Largest number of bounds that are kept until something else becomes known.
MAX_BOUNDS = 1000
# Interval at which a daemon states what it knows again, in seconds.
RESTATE_SECONDS = 5.0
# For how long what a peer stated about lengths is used, in seconds; it holds also when
# the peer has ended. Its paces are used for as long as own ones.
KEPT_SECONDS = 300.0
PACE_SECONDS = 10.0
# Largest number of groups of answers, and of services, that a daemon states.
MAX_STATED_LENGTHS = 32
MAX_STATED_PACES = 8


class PaceStatement(NamedTuple):
    """The slowest pace of a service's endpoints, in seconds for each event."""

    service: str
    seconds: float


class AnswerStatement(NamedTuple):
    """What a daemon states to its peers about the answers that it has forwarded."""

    lengths: tuple[LengthStatement, ...] = ()
    paces: tuple[PaceStatement, ...] = ()


class FinishForecast(NamedTuple):
    """When an answer has ended at the latest, in seconds from now.

    ``events`` is how many it has at most from now on, ``pace`` the seconds between two,
    ``overrun`` the seconds by which others took longer lately than was foreseen;
    ``basis`` and ``answers`` are those of `LengthBound`.
    """

    seconds: float
    first_event: float
    events: float
    pace: float
    overrun: float
    basis: str
    answers: int


class PromptReading(NamedTuple):
    """What a prompt that an engine reads costs the streams beside it, in seconds.

    ``event_seconds`` is by how much an event takes longer meanwhile, ``seconds`` what
    it costs at most.
    """

    seconds: float = 0.0
    event_seconds: float = 0.0

    @classmethod
    def of_prompt(cls, engine: EngineProfile, tokens: int) -> "PromptReading":
        """Return what a prompt of so many tokens costs."""
        chunk = min(engine.chunk_tokens, tokens)
        pairs = chunk * tokens * engine.pair_seconds
        event_seconds = chunk / engine.prefill_rate + pairs
        return cls(prefill_time(engine, tokens), event_seconds)


NO_READING = PromptReading()
_NOTHING = AnswerStatement()


class _Stated(NamedTuple):
    statement: AnswerStatement
    at: float


class _Own(NamedTuple):
    """What this daemon knew at a version of its lengths while these streams ran."""

    known: KnownLengths
    version: int
    of: list[AnswerOutline]


class _Overrun(NamedTuple):
    seconds: float
    at: float


class FleetAnswers:
    """What this daemon and its peers know of the answers of endpoints.

    >>> answers = FleetAnswers()
    >>> outline = AnswerOutline("lookup", target_seconds=0.3)
    >>> answers.forecast(outline, "desk", 0, 0.0, 0.05, now=10.0).seconds
    0.38
    """

    def __init__(self) -> None:
        # Returns the streams that are being forwarded here, of any length.
        self.running: Callable[[], list[AnswerOutline]] = list
        # Returns, by route, for how long the oldest call has been at its endpoint.
        self.running_calls: Callable[[], dict[str, float]] = dict
        self._lengths = AnswerLengths()
        self.paces = AnswerPaces()
        self._calls_by_route: dict[str, deque[float]] = {}
        self._overruns_by_service: dict[str, deque[_Overrun]] = {}
        # The length of a prompt, and when it came.
        self._prompts_by_service: dict[str, tuple[int, float]] = {}
        self._stated_by_daemon: dict[str, _Stated] = {}
        # Derived from what is known, None after changes.
        self._own: _Own | None = None
        self._stated: KnownLengths | None = None
        self._bounds: dict[tuple[AnswerOutline, int], LengthBound] = {}
        self._stated_at = float("-inf")

    def record_call(self, route: str, seconds: float) -> None:
        """Record for how long a call was at its endpoint."""
        _append(self._calls_by_route, route, seconds)

    def record_prompt(self, service: str, tokens: int, now: float) -> None:
        """Record a prompt that an endpoint of a service will read."""
        longest, at = self._prompts_by_service.get(service, (0, now))
        if tokens >= longest or now - at > PROMPT_SECONDS:
            self._prompts_by_service[service] = tokens, now

    def longest_prompt(self, service: str, now: float) -> int:
        """Return the length of the longest prompt lately, in tokens."""
        longest, at = self._prompts_by_service.get(service, (0, now))
        return longest if now - at <= PROMPT_SECONDS else 0

    def record_stream(
        self, outline: AnswerOutline, last_id: int | None, stride: int
    ) -> None:
        """Record a stream that has ended; see `AnswerLengths.record`."""
        self._lengths.record(outline, last_id, stride)

    def record_overrun(
        self, service: str, foreseen: float, seconds: float, now: float
    ) -> None:
        """Record that an answer took so long in place of the seconds foreseen.

        That is to its end, or to its first event.
        """
        overrun = _Overrun(seconds - SLACK * foreseen, now)
        _append(self._overruns_by_service, service, overrun)

    def statement(self, now: float) -> AnswerStatement:
        """Return what this daemon knows itself."""
        lengths = self._lengths.statements(self.running())
        paces = self.paces.slowest_by_service(now).items()
        return AnswerStatement(
            lengths[:MAX_STATED_LENGTHS],
            tuple(PaceStatement(*each) for each in paces)[:MAX_STATED_PACES],
        )

    def due_statement(self, now: float) -> AnswerStatement:
        """Return what a heartbeat to all daemons states now; mostly it is nothing."""
        if now - self._stated_at < RESTATE_SECONDS:
            return _NOTHING
        self._stated_at = now
        return self.statement(now)

    def receive(self, daemon_id: str, statement: AnswerStatement, now: float) -> None:
        """Record what a peer states, unless it states nothing."""
        if statement.lengths or statement.paces:
            self._stated_by_daemon[daemon_id] = _Stated(statement, now)
            self._stated = None

    def forget(self, now: float) -> None:
        """Drop what peers have stated too long ago."""
        for daemon_id, stated in list(self._stated_by_daemon.items()):
            if now - stated.at > KEPT_SECONDS:
                del self._stated_by_daemon[daemon_id]
                self._stated = None

    def forecast(
        self,
        outline: AnswerOutline,
        service: str,
        stride: int,
        first_event: float,
        pace: float,
        now: float,
        unknown_seconds: float = inf,
        reading: PromptReading = NO_READING,
    ) -> FinishForecast:
        """Return when an answer has ended at the latest.

        Its first event is expected after ``first_event`` seconds, and then one each
        ``pace`` seconds. An engine makes an event of ``stride`` tokens, 0 if it doesn't
        say. ``reading`` is what a prompt costs a stream that is read meanwhile.

        If ``unknown_seconds`` are given, a stream is expected to take no longer from
        its first event on than that, or than the longest so far, or than its engine
        declares, in place of what hardly any exceeds.
        """
        if outline.is_stream:
            bound = self._bound(outline, stride)
            rest = _rest_seconds(bound, pace, unknown_seconds)
            rest += min(reading.seconds, bound.events * reading.event_seconds)
            events, basis, answers = bound.events, bound.basis, bound.answers
        else:
            rest, answers = self._call_seconds(outline)
            events, basis = 0, "answers" if answers >= MIN_ANSWERS else "target"
        overrun = self.overrun_seconds(service, now)
        seconds = SLACK * (first_event + rest) + OVERHEAD_SECONDS + overrun
        return FinishForecast(
            seconds, first_event, events, pace, overrun, basis, answers
        )

    def pace(self, endpoint_id: str, service: str, now: float) -> float | None:
        """Return the seconds between two events at an endpoint; None if unknown.

        Where this daemon has no stream at it, it is the slowest of its service.
        """
        own = self.paces.at(endpoint_id, now)
        if own is not None:
            return own
        known = self.paces.of_service(service, now) + self._stated_paces(service, now)
        return max(known, default=None)

    def least_pace(self, service: str, now: float) -> float | None:
        """Return the fastest known pace of a service's endpoints."""
        known = self.paces.of_service(service, now) + self._stated_paces(service, now)
        return min(known, default=None)

    def overrun_seconds(self, service: str, now: float) -> float:
        """Return by how much answers took longer lately than was foreseen."""
        overruns = self._overruns_by_service.get(service, ())
        recent = [each for each in overruns if now - each.at <= OVERRUN_SECONDS]
        # One alone may have met a fault that others don't.
        longest = nlargest(2, (each.seconds for each in recent))
        return min(max(0.0, longest[-1]), MAX_OVERRUN_SECONDS) if longest[1:] else 0.0

    def _bound(self, outline: AnswerOutline, stride: int) -> LengthBound:
        running = self.running()
        own = self._own
        if own is None or own.version != self._lengths.version or own.of != running:
            statements = self._lengths.statements(running)
            known = KnownLengths(statements, self._lengths.filled)
            own = self._own = _Own(known, self._lengths.version, running)
            self._bounds.clear()
        if self._stated is None:
            stated = self._stated_by_daemon.values()
            lengths = (each for peer in stated for each in peer.statement.lengths)
            self._stated = KnownLengths(lengths)
            self._bounds.clear()
        # The same is asked for each request that waits, again and again.
        bound = self._bounds.get((outline, stride))
        if bound is None:
            whole = [each for each in running if not each.resumed_at]
            bound = bound_length(outline, stride, whole, [own.known, self._stated])
            if len(self._bounds) < MAX_BOUNDS:
                self._bounds[outline, stride] = bound
        return bound

    def _stated_paces(self, service: str, now: float) -> list[float]:
        return [
            pace.seconds
            for peer in self._stated_by_daemon.values()
            if now - peer.at <= PACE_SECONDS
            for pace in peer.statement.paces
            if pace.service == service
        ]

    def _call_seconds(self, outline: AnswerOutline) -> tuple[float, int]:
        """Return how long a call takes at most, and from how many that is known."""
        calls = self._calls_by_route.get(outline.route, ())
        longest = max(calls, default=0.0)
        age = self.running_calls().get(outline.route, 0.0)
        if len(calls) < MIN_ANSWERS:
            longest = UNKNOWN_CALL_FACTOR * max(longest, age)
            unknown = min(outline.target_seconds, UNKNOWN_CALL_SECONDS)
            longest = max(longest, unknown / (1 + len(calls)))
        elif age > longest:
            # They have begun to take longer than those that have ended.
            longest = UNKNOWN_CALL_FACTOR * age
        return longest, len(calls)


def _rest_seconds(bound: LengthBound, pace: float, unknown_seconds: float) -> float:
    """Return how long a stream takes at most from its first event on."""
    expected = max(unknown_seconds, max(bound.longest, bound.declared) * pace)
    return min(bound.events * pace, expected)


def _append(values_by_name: dict[str, deque], name: str, value: object) -> None:
    values = values_by_name.pop(name, None)
    if values is None:
        values = deque(maxlen=KEPT_TIMES)
        if len(values_by_name) >= MAX_NAMES:
            del values_by_name[next(iter(values_by_name))]
    values.append(value)
    values_by_name[name] = values

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
from typing import NamedTuple

from cranberrywick.routing.answer_lengths import (
    MIN_ANSWERS,
    AnswerLengths,
    AnswerOutline,
    LengthBound,
    LengthStatement,
)
from cranberrywick.routing.answer_pace import AnswerPaces

__all__ = [
    "AnswerStatement",
    "FinishForecast",
    "FleetAnswers",
    "PaceStatement",
]

# How long a stream may take from its first event on while too few are known, in
# seconds.
UNKNOWN_STREAM_SECONDS = 5.0
# A stream that nobody knows may become this many times as long as the longest so far.
UNKNOWN_LENGTH_FACTOR = 2.0
# Factor by which an answer may take longer than foreseen, and the time that it takes in
# this daemon itself, in seconds.
SLACK = 1.1
OVERHEAD_SECONDS = 0.05
# For how long an answer that took longer than foreseen counts, in seconds, and by how
# many seconds at most. Longer ones have met a fault, which others need not.
OVERRUN_SECONDS = 10.0
MAX_OVERRUN_SECONDS = 3.0
# Number of calls of a route, and of overruns of a service, that are kept.
KEPT_TIMES = 64
# Largest number of names by which times are kept. The one that has been without an
# answer for longest is forgotten first.
MAX_NAMES = 500
# Interval at which a daemon states what it knows again, in seconds.
RESTATE_SECONDS = 5.0
# For how long what a peer stated about lengths is used, in seconds; it holds also when
# the peer has ended. Its paces are used for as long as own ones.
KEPT_SECONDS = 300.0
PACE_SECONDS = 10.0
# Largest number of routes and sizes, and of services, that a daemon states.
MAX_STATED_LENGTHS = 16
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


_NOTHING = AnswerStatement()


class _Stated(NamedTuple):
    statement: AnswerStatement
    at: float


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
        self._lengths = AnswerLengths()
        self.paces = AnswerPaces()
        self._calls_by_route: dict[str, deque[float]] = {}
        self._overruns_by_service: dict[str, deque[_Overrun]] = {}
        self._stated_by_daemon: dict[str, _Stated] = {}
        self._stated_at = float("-inf")

    def record_call(self, route: str, seconds: float) -> None:
        """Record for how long a call was at its endpoint."""
        _append(self._calls_by_route, route, seconds)

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
        stated = self._lengths.statements(self.running())
        lengths = [each for each in stated if each.events.count]
        paces = self.paces.slowest_by_service(now).items()
        return AnswerStatement(
            tuple(lengths[:MAX_STATED_LENGTHS]),
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

    def forget(self, now: float) -> None:
        """Drop what peers have stated too long ago."""
        for daemon_id, stated in list(self._stated_by_daemon.items()):
            if now - stated.at > KEPT_SECONDS:
                del self._stated_by_daemon[daemon_id]

    def forecast(
        self,
        outline: AnswerOutline,
        service: str,
        stride: int,
        first_event: float,
        pace: float,
        now: float,
    ) -> FinishForecast:
        """Return when an answer has ended at the latest.

        Its first event is expected after ``first_event`` seconds, and then one each
        ``pace`` seconds. An engine makes an event of ``stride`` tokens, 0 if it doesn't
        say.
        """
        if outline.is_stream:
            bound = self._lengths.bound(
                outline, stride, self.running(), self._stated_lengths()
            )
            rest = _rest_seconds(bound, pace)
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
        longest = max((each.seconds for each in recent), default=0.0)
        return min(max(0.0, longest), MAX_OVERRUN_SECONDS)

    def _stated_lengths(self) -> list[LengthStatement]:
        stated = self._stated_by_daemon.values()
        return [each for peer in stated for each in peer.statement.lengths]

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
        if len(calls) < MIN_ANSWERS:
            longest = max(longest, outline.target_seconds)
        return longest, len(calls)


def _rest_seconds(bound: LengthBound, pace: float) -> float:
    """Return how long a stream takes at most from its first event on."""
    if bound.is_learned:
        return bound.events * pace
    unknown = UNKNOWN_LENGTH_FACTOR * bound.longest * pace
    return min(bound.events * pace, max(UNKNOWN_STREAM_SECONDS, unknown))


def _append(values_by_name: dict[str, deque], name: str, value: object) -> None:
    values = values_by_name.pop(name, None)
    if values is None:
        values = deque(maxlen=KEPT_TIMES)
        if len(values_by_name) >= MAX_NAMES:
            del values_by_name[next(iter(values_by_name))]
    values.append(value)
    values_by_name[name] = values

"""Detection of endpoints that are slower than declared.

Load pattern: an endpoint becomes several times slower for some seconds, which neither
its record nor its health shows. If it were treated as fast as the others, it would look
idle, get its share of all requests and make each of them late. An engine's streams show
the slowdown: the time between two events is one pass, whose minimum is declared. At a
plain endpoint it shows in calls that take longer than their whole target. Each daemon
sends its observations to the others, since each has requests at few endpoints only.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    "EndpointSlowdown",
    "EndpointSlowdowns",
    "LatePauses",
    "StreamPauses",
    "call_slowdown",
]

# Number of pauses in a row that must all be too long: one or two may be caused by the
# prefill of a prompt.
MIN_PAUSES = 3
# A daemon that is late for less than this counts as in time, in seconds.
LATE_SECONDS = 0.5
# How many times the longest of some late pauses they have to last together, so that
# their mean is that of the endpoint.
LATE_PAUSES_FACTOR = 4.0
# An engine counts as slow from this many times the declared pass on. One that is full
# of answers with long contexts takes about 1.3 times as long and is not slow.
SLOW_FACTOR = 2.0
# For how many seconds an observation is sent to others and makes short prompts avoid
# the engine. Streams that continue renew it; without any, short prompts try the engine
# again.
HOLD_SECONDS = 2.0
# For how many seconds it makes long prompts avoid the engine, unless the engine was
# observed to be fast since. A long prompt that tries a slow engine costs about ten
# times as much as a short one.
LONG_HOLD_SECONDS = 15.0


class EndpointSlowdown(NamedTuple):
    """How many times as long as declared an endpoint takes."""

    endpoint_id: str
    slowdown: float


class StreamPauses:
    """The last pauses of one stream.

    ``pass_seconds`` is the shortest pass that the engine's profile declares.

    >>> pauses = StreamPauses(0.05)
    >>> [pauses.record(0.25) for _ in range(3)]
    [None, None, 5.0]
    """

    def __init__(self, pass_seconds: float):
        self._pass_seconds = pass_seconds
        self._pauses: deque[float] = deque(maxlen=MIN_PAUSES)

    def record(self, seconds: float) -> float | None:
        """Record a pause in seconds; return the slowdown, None after too few pauses."""
        self._pauses.append(seconds)
        if len(self._pauses) < MIN_PAUSES or self._pass_seconds <= 0:
            return None
        return max(1.0, min(self._pauses) / self._pass_seconds)


class LatePauses:
    """The pauses of one stream that this daemon's own lateness has changed.

    Each may be too long, or too short, by the time for which the daemon was late, but
    their sum is wrong by no more than that.

    >>> pauses = LatePauses()
    >>> [pauses.record(0.6, events=3) for _ in range(4)]
    [None, None, None, (2.4, 12)]
    """

    def __init__(self) -> None:
        self._seconds = self._longest = 0.0
        self._events = 0

    def record(self, seconds: float, events: int) -> tuple[float, int] | None:
        """Record a pause in seconds and how many events came after it.

        Returns the sums of both once their ratio shows how fast the endpoint is.
        """
        if not self._events and seconds < LATE_SECONDS:
            # The daemon was late before the stream's first event was seen.
            return None
        self._seconds += seconds
        self._events += events
        self._longest = max(self._longest, seconds)
        if self._seconds < LATE_PAUSES_FACTOR * self._longest:
            return None
        sums = self._seconds, self._events
        self._seconds = self._longest = 0.0
        self._events = 0
        return sums


def call_slowdown(seconds: float, target_seconds: float) -> float:
    """Return the slowdown of an endpoint that a plain call shows.

    It is 1 for a call within its target, since calls differ in length. For a longer one
    it is at least SLOW_FACTOR, so that the endpoint counts as slow.

    >>> call_slowdown(0.06, 0.3), call_slowdown(0.6, 0.3)
    (1.0, 4.0)
    """
    return SLOW_FACTOR * seconds / target_seconds if seconds > target_seconds else 1.0


class _Observation(NamedTuple):
    slowdown: float
    seen_at: float


class EndpointSlowdowns:
    """The last slowdowns of endpoints that were slow, observed here and by peers."""

    def __init__(self) -> None:
        self._own_by_id: dict[str, _Observation] = {}
        self._received_by_id: dict[str, _Observation] = {}

    def observe(self, endpoint_id: str, slowdown: float, now: float) -> bool:
        """Record an observation; return whether the endpoint turned slow or fast."""
        was_slow = self.slowdown(endpoint_id, now, is_long=True) >= SLOW_FACTOR
        is_slow = slowdown >= SLOW_FACTOR
        if is_slow or was_slow:
            self._own_by_id[endpoint_id] = _Observation(
                slowdown if is_slow else 1.0, now
            )
        return is_slow != was_slow

    def receive(self, slowdowns: Iterable[EndpointSlowdown], seen_at: float) -> None:
        """Record a peer's observations, unless newer ones are known."""
        for endpoint_id, slowdown in slowdowns:
            known = self._received_by_id.get(endpoint_id)
            if known is None or known.seen_at < seen_at:
                self._received_by_id[endpoint_id] = _Observation(slowdown, seen_at)

    def slowdown(self, endpoint_id: str, now: float, is_long: bool) -> float:
        """Return how many times as long as declared an endpoint takes; 1 by default.

        ``is_long`` says that the request is a long prompt, for which an observation
        holds longer.
        """
        seen = (self._own_by_id.get(endpoint_id), self._received_by_id.get(endpoint_id))
        last = max(filter(None, seen), key=lambda s: s.seen_at, default=None)
        hold = LONG_HOLD_SECONDS if is_long else HOLD_SECONDS
        return last.slowdown if last and now - last.seen_at <= hold else 1.0

    def own(self, now: float) -> list[EndpointSlowdown]:
        """Return this daemon's own recent observations, which it sends to the others.

        Expired observations are removed.
        """
        for slowdowns in (self._own_by_id, self._received_by_id):
            for endpoint_id, seen in list(slowdowns.items()):
                if now - seen.seen_at > LONG_HOLD_SECONDS:
                    del slowdowns[endpoint_id]
        return [
            EndpointSlowdown(endpoint_id, seen.slowdown)
            for endpoint_id, seen in self._own_by_id.items()
            if now - seen.seen_at <= HOLD_SECONDS
        ]

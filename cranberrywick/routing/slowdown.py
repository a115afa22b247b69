"""Which endpoints are slower than they should be.

Load pattern: an endpoint turns several times slower for some seconds, while its record
and its health say nothing of it. Taken for as fast as the others it looks idle, so that
it gets its share of all requests and makes each of them late. An engine shows it by the
streams that it writes: between events lies one pass, whose length at least is declared.
A plain endpoint shows it by calls that take longer than their whole target. What a
daemon sees there it tells the others, each of which has requests at few endpoints only.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["EngineSlowdown", "EngineSlowdowns", "StreamPauses", "call_slowdown"]

# Pauses in a row that must all be too long: one or two can be a prompt being read.
PAUSES = 3
# From so many times the declared pass on, an engine counts as slow: full of answers
# with long contexts, it takes some 1.3 times as long.
SLOW_FACTOR = 2.0
# For how long an observation is told, and keeps short prompts away. Streams that go on
# renew it; after them short prompts try a slow engine again.
HOLD_SECONDS = 2.0
# For how long it keeps long prompts away, unless the engine was seen to be fast since:
# a long prompt that tries it costs some ten times what a short one does.
LONG_HOLD_SECONDS = 15.0


class EngineSlowdown(NamedTuple):
    """How many times as long as declared an engine takes."""

    endpoint_id: str
    slowdown: float


class StreamPauses:
    """The last pauses of one stream; ``pass_seconds`` is the least that is declared.

    >>> pauses = StreamPauses(0.05)
    >>> [pauses.record(0.25) for _ in range(3)]
    [None, None, 5.0]
    """

    def __init__(self, pass_seconds: float):
        self._pass_seconds = pass_seconds
        self._pauses: deque[float] = deque(maxlen=PAUSES)

    def record(self, seconds: float) -> float | None:
        """Note a pause; return the pace by now, None while too few are known."""
        self._pauses.append(seconds)
        if len(self._pauses) < PAUSES or self._pass_seconds <= 0:
            return None
        return max(1.0, min(self._pauses) / self._pass_seconds)


def call_slowdown(seconds: float, target_seconds: float) -> float:
    """Return how many times as long as it should a plain call took.

    Up to its target it says nothing: calls differ. Beyond it, the endpoint is slow.

    >>> call_slowdown(0.06, 0.3), call_slowdown(0.6, 0.3)
    (1.0, 4.0)
    """
    return SLOW_FACTOR * seconds / target_seconds if seconds > target_seconds else 1.0


class _Observation(NamedTuple):
    slowdown: float
    seen_at: float


class EngineSlowdowns:
    """The last paces of engines that were slow, as seen here and by peers."""

    def __init__(self) -> None:
        self._own: dict[str, _Observation] = {}
        self._heard: dict[str, _Observation] = {}

    def observe(self, endpoint_id: str, slowdown: float, now: float) -> bool:
        """Note what a stream shows; True if it changes what is believed."""
        was_slow = self.slowdown(endpoint_id, now, is_long=True) >= SLOW_FACTOR
        is_slow = slowdown >= SLOW_FACTOR
        if is_slow or was_slow:
            self._own[endpoint_id] = _Observation(slowdown if is_slow else 1.0, now)
        return is_slow != was_slow

    def receive(self, slowdowns: Iterable[EngineSlowdown], seen_at: float) -> None:
        """Take what a peer has seen."""
        for endpoint_id, slowdown in slowdowns:
            known = self._heard.get(endpoint_id)
            if known is None or known.seen_at < seen_at:
                self._heard[endpoint_id] = _Observation(slowdown, seen_at)

    def slowdown(self, endpoint_id: str, now: float, is_long: bool) -> float:
        """Return how many times as long as declared an engine takes; 1 by default.

        ``is_long`` says whether it is asked for a long prompt, which trusts a slow
        engine later than a short one.
        """
        seen = (self._own.get(endpoint_id), self._heard.get(endpoint_id))
        last = max(filter(None, seen), key=lambda s: s.seen_at, default=None)
        hold = LONG_HOLD_SECONDS if is_long else HOLD_SECONDS
        return last.slowdown if last and now - last.seen_at <= hold else 1.0

    def own(self, now: float) -> list[EngineSlowdown]:
        """Return what this daemon has seen lately itself, to be told to the others."""
        for slowdowns in (self._own, self._heard):
            for endpoint_id, seen in list(slowdowns.items()):
                if now - seen.seen_at > LONG_HOLD_SECONDS:
                    del slowdowns[endpoint_id]
        return [
            EngineSlowdown(endpoint_id, seen.slowdown)
            for endpoint_id, seen in self._own.items()
            if now - seen.seen_at <= HOLD_SECONDS
        ]

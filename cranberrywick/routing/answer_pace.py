"""How fast the events of answers follow one another, at each endpoint.

Load pattern: an engine becomes slower while it decodes, by other answers, by the
prompts that it reads beside them, or for no stated reason. A stream that was expected
to end in time doesn't any more, and those that are sent to it later don't either. The
pause between events shows this at once; the times of whole answers show it only after
the slow ones have ended.
"""

from collections import deque
from collections.abc import Iterable

__all__ = ["AnswerPaces"]

# The weight of one event in the mean pause.
EVENT_WEIGHT = 1 / 16
# Number of pauses in a row of which the shortest counts, if it is above the mean.
LAST_PAUSES = 3
# Least number of events from which the pace of an endpoint is taken.
MIN_EVENTS = 4
# For how long a pace is known, in seconds. After that an endpoint may have changed.
KNOWN_SECONDS = 10.0
# Largest number of endpoints whose pace is kept. The one that has been without an event
# for longest is forgotten first.
MAX_ENDPOINTS = 500


class _Pace:
    """The pauses at one endpoint."""

    def __init__(self, service: str):
        self.service = service
        self.mean = 0.0
        self.events = 0
        self.seen_at = 0.0
        self.last: deque[float] = deque(maxlen=LAST_PAUSES)

    def record(self, seconds: float, events: int, now: float) -> None:
        """Record that so many events came, so long after the ones before them."""
        pause = seconds / events
        # The first pauses count alike; later ones have their weight.
        weight = max(events / (self.events + events), 1 - (1 - EVENT_WEIGHT) ** events)
        self.mean += weight * (pause - self.mean)
        self.events += events
        self.seen_at = now
        self.last.append(pause)

    @property
    def seconds(self) -> float:
        """The mean pause, or the least of the last ones if that is longer."""
        is_full = len(self.last) == LAST_PAUSES
        return max(self.mean, min(self.last)) if is_full else self.mean


class AnswerPaces:
    """The seconds from one event to the next, as the streams of this daemon show them.

    >>> paces = AnswerPaces()
    >>> paces.record("e1", "drafting", seconds=0.2, events=4, now=10.0)
    >>> paces.at("e1", now=11.0)
    0.05
    """

    def __init__(self) -> None:
        self._by_endpoint: dict[str, _Pace] = {}

    def record(
        self, endpoint_id: str, service: str, seconds: float, events: int, now: float
    ) -> None:
        """Record that events came ``seconds`` after the ones before them."""
        pace = self._by_endpoint.pop(endpoint_id, None)
        if pace is None or pace.service != service:
            pace = _Pace(service)
            if len(self._by_endpoint) >= MAX_ENDPOINTS:
                del self._by_endpoint[next(iter(self._by_endpoint))]
        pace.record(seconds, events, now)
        self._by_endpoint[endpoint_id] = pace

    def at(self, endpoint_id: str, now: float) -> float | None:
        """Return the pace of an endpoint in seconds; None if it isn't known."""
        pace = self._by_endpoint.get(endpoint_id)
        return pace.seconds if pace is not None and _is_known(pace, now) else None

    def of_service(self, service: str, now: float) -> list[float]:
        """Return the known paces of a service's endpoints, in seconds."""
        known = _known(self._by_endpoint.values(), now)
        return [pace.seconds for pace in known if pace.service == service]

    def slowest_by_service(self, now: float) -> dict[str, float]:
        """Return the slowest known pace of each service, in seconds."""
        slowest: dict[str, float] = {}
        for pace in _known(self._by_endpoint.values(), now):
            slowest[pace.service] = max(slowest.get(pace.service, 0.0), pace.seconds)
        return slowest


def _known(paces: Iterable[_Pace], now: float) -> Iterable[_Pace]:
    return (pace for pace in paces if _is_known(pace, now))


def _is_known(pace: _Pace, now: float) -> bool:
    return pace.events >= MIN_EVENTS and now - pace.seen_at <= KNOWN_SECONDS

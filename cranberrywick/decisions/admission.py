"""Take what can be finished in time; refuse the rest at once and say when to return.

Load pattern: twice, or ten times, what the fleet can do.

Without it: the queue grows until everything in it is late, the fleet works only
for callers who have given up, and what finishes in time falls towards nothing.

How: the wait is predicted from the engine time queued ahead, not from a count of
requests, over the rate at which the endpoints drain it. Work ahead is what is
queued that is no longer and no less urgent; an organisation that alone has a long
queue waits behind its own, and the others are not refused for it. What could not
make its targets is refused at arrival, and what can no longer make them is given up
in the queue the moment that is known.

The refused are told to return when the queue will have drained below what they can
wait for, plus a random part of the time that the fleet needs for all who were
refused lately: so they come back spread over the time in which they can be served.

Grounds: predictions are corrected by the waits that came true, by at most a factor
of four; the drain rate is that of the last ten seconds or what the endpoints should
reach. A request is admitted for four fifths of the time it has, since a queue kept
at exactly the target gives up whatever arrives with bad luck.
"""

from math import ceil, exp, log, log2
from random import Random
from typing import NamedTuple

from cranberrywick.decisions.isolation import BANDS

__all__ = ["Admission", "EndpointCounts", "WaitKind", "wait_kind"]

USABLE_SLACK_SHARE = 0.8
CORRECTION_RATE = 0.1
MAX_CORRECTION_FACTOR = 4.0
# Waits shorter than this say nothing about the drain rate.
MIN_WAIT_SECONDS = 0.05
DRAIN_WINDOW_SECONDS = 10.0
REFUSED_WINDOW_SECONDS = 10.0
MIN_DRAIN_SHARE = 0.1
MIN_DRAIN_RATE = 0.1
ROUNDING_SECONDS = 1e-6
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0
OVERLOAD_HOLD_SECONDS = 5.0


class EndpointCounts(NamedTuple):
    """How many endpoints drain the queue: all, and those that take one band.

    With several daemons this one's part of them, so not whole numbers.
    """

    total: float
    for_band: float


class WaitKind(NamedTuple):
    """What decides how long work waits: its length and its slack.

    ``urgency`` is the doubling of seconds that its slack at arrival falls in.
    Work waits behind what is no longer and no less urgent than itself.
    """

    band: int
    urgency: int


def wait_kind(band: int, slack: float) -> WaitKind:
    """Return the kind of work in ``band`` with ``slack`` seconds to spare.

    >>> wait_kind(0, slack=1.5)
    WaitKind(band=0, urgency=1)
    """
    return WaitKind(band, ceil(log2(max(slack, 1.0))))


def _seconds_at_or_ahead(
    kind: WaitKind, seconds_by_kind: dict[WaitKind, float]
) -> float:
    return sum(
        seconds
        for other, seconds in seconds_by_kind.items()
        if other.band <= kind.band and other.urgency <= kind.urgency
    )


class Admission:
    """Predicts waits in one pool from what is queued there."""

    def __init__(self, random: Random):
        self._random = random
        self._queued_by_organisation: dict[str, dict[WaitKind, float]] = {}
        self._served_by_band = [0.0] * BANDS
        self._log_correction_by_kind: dict[WaitKind, float] = {}
        self._served_updated_at = 0.0
        self._refused_seconds = 0.0
        self._refused_updated_at = 0.0
        self._overloaded_at = float("-inf")

    def record_queued(self, organisation: str, kind: WaitKind, seconds: float) -> None:
        """Count work that joins the queue, in seconds of engine time."""
        by_kind = self._queued_by_organisation.setdefault(organisation, {})
        by_kind[kind] = by_kind.get(kind, 0.0) + seconds

    def record_dequeued(
        self, organisation: str, kind: WaitKind, seconds: float
    ) -> None:
        """Count work that leaves the queue, served or not."""
        by_kind = self._queued_by_organisation[organisation]
        by_kind[kind] -= seconds
        if by_kind[kind] < ROUNDING_SECONDS:
            del by_kind[kind]
        if not by_kind:
            del self._queued_by_organisation[organisation]

    def record_served(self, band: int, seconds: float, now: float) -> None:
        """Count work that is sent to an endpoint."""
        self._decay_served(now)
        self._served_by_band[band] += seconds

    def record_wait(self, kind: WaitKind, predicted: float, actual: float) -> None:
        """Correct the next predictions by a wait that came true."""
        if max(predicted, actual) < MIN_WAIT_SECONDS:
            return
        ratio = max(actual, MIN_WAIT_SECONDS) / max(predicted, MIN_WAIT_SECONDS)
        limit = log(MAX_CORRECTION_FACTOR)
        step = max(-limit, min(limit, log(ratio)))
        corrected = self._log_correction_by_kind.get(kind, 0.0) + CORRECTION_RATE * step
        self._log_correction_by_kind[kind] = max(-limit, min(limit, corrected))

    def predicted_wait(
        self,
        organisation: str,
        kind: WaitKind,
        seconds: float,
        endpoints: EndpointCounts,
        now: float,
    ) -> float:
        """Return the seconds that new work would wait before it is sent."""
        ahead = self._engine_seconds_ahead(organisation, kind, seconds)
        correction = exp(self._log_correction_by_kind.get(kind, 0.0))
        return ahead / self._drain_rate(kind.band, endpoints, now) * correction

    def _engine_seconds_ahead(
        self, organisation: str, kind: WaitKind, seconds: float
    ) -> float:
        """Return the engine time that fair order serves before new work.

        Until an organisation's own work is done, each other one is served at most
        as much.
        """
        own_by_kind = self._queued_by_organisation.get(organisation, {})
        own = _seconds_at_or_ahead(kind, own_by_kind)
        most = own + seconds
        others = sum(
            min(most, _seconds_at_or_ahead(kind, by_kind))
            for name, by_kind in self._queued_by_organisation.items()
            if name != organisation
        )
        return own + others

    def _drain_rate(self, band: int, endpoints: EndpointCounts, now: float) -> float:
        """Return the engine seconds a second that are left for this band.

        Shorter bands go first, so what they have been taking is not available.
        """
        self._decay_served(now)
        shorter = sum(self._served_by_band[:band]) / DRAIN_WINDOW_SECONDS
        left = min(endpoints.for_band, endpoints.total - shorter)
        return max(left, endpoints.for_band * MIN_DRAIN_SHARE, MIN_DRAIN_RATE)

    def _decay_served(self, now: float) -> None:
        factor = exp(-(now - self._served_updated_at) / DRAIN_WINDOW_SECONDS)
        self._served_by_band = [served * factor for served in self._served_by_band]
        self._served_updated_at = now

    def allows(self, wait: float, slack: float) -> bool:
        """Whether work with ``slack`` seconds to spare may wait this long."""
        return wait <= MIN_WAIT_SECONDS or wait <= slack * USABLE_SLACK_SHARE

    def refuse(
        self, wait: float, slack: float, seconds: float, endpoints: float, now: float
    ) -> float:
        """Count a refusal and return the seconds after which to come back."""
        self._overloaded_at = now
        factor = exp(-(now - self._refused_updated_at) / REFUSED_WINDOW_SECONDS)
        self._refused_seconds = self._refused_seconds * factor + seconds
        self._refused_updated_at = now
        drained = max(MIN_RETRY_SECONDS, wait - slack * USABLE_SLACK_SHARE)
        spread = max(
            MIN_RETRY_SECONDS,
            self._refused_seconds / max(MIN_DRAIN_RATE, endpoints),
        )
        wanted = drained + spread * self._random.random()
        return min(MAX_RETRY_SECONDS * (0.5 + self._random.random()), wanted)

    def is_overloaded(self, now: float) -> bool:
        """Whether work was refused for want of capacity a moment ago."""
        return now - self._overloaded_at < OVERLOAD_HOLD_SECONDS

"""Admit work that can be finished in time; refuse the rest with a time to retry.

Load pattern: twice, or ten times, the capacity of the fleet.

Without it: the queue grows until everything in it is late, the fleet works only
for callers who have given up, and the share of work finished in time falls towards
zero.

How: the predicted wait is the engine time queued ahead (not the number of requests)
divided by the rate at which the endpoints drain it. Queued work counts as ahead of a
new request if it is neither longer nor less urgent than the request. If only one
organisation has a long queue, its new work waits behind its own, and the others are
not refused because of it. Work that cannot meet its targets is refused at arrival,
and queued work is given up as soon as it can no longer meet them.

A refused caller is asked to retry after the queue will have drained enough for the
caller's targets, plus a random part of the time that the fleet needs for all recently
refused work. Retries are thereby spread over the time in which they can be served.

Grounds: predictions are corrected by the observed waits, by at most a factor of four.
The drain rate is the number of endpoints that take the band, or, if that is less, all
endpoints minus those that shorter bands kept busy during the last ten seconds. A
request is admitted if its predicted wait is at most four fifths of its slack, because
a queue kept exactly at the target gives up every request that waits a little longer
than predicted.
"""

from math import ceil, exp, log, log2
from random import Random
from typing import NamedTuple

from cranberrywick.decisions.isolation import BANDS

__all__ = ["Admission", "EndpointCounts", "WaitKind", "wait_kind"]

# Longest predicted wait that is admitted, as a share of the request's slack.
USABLE_SLACK_SHARE = 0.8
# Weight of one observed wait in the moving average of the correction.
CORRECTION_RATE = 0.1
MAX_CORRECTION_FACTOR = 4.0
# Waits shorter than this many seconds say nothing about the drain rate.
MIN_WAIT_SECONDS = 0.05
# Time constants, in seconds, of the averages of served and of refused work.
DRAIN_WINDOW_SECONDS = 10.0
REFUSED_WINDOW_SECONDS = 10.0
# Lower bounds of the drain rate: as a share of the endpoints that take the band, and
# in engine seconds per second.
MIN_DRAIN_SHARE = 0.1
MIN_DRAIN_RATE = 0.1
# Queued engine time, in seconds, below which only rounding errors are left of it.
ROUNDING_SECONDS = 1e-6
# Bounds, in seconds, of the time after which a refused caller is asked to retry. The
# upper one is multiplied by a random factor between 0.5 and 1.5.
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0
# Time in seconds for which the pool counts as overloaded after a refusal.
OVERLOAD_HOLD_SECONDS = 5.0


class EndpointCounts(NamedTuple):
    """The number of endpoints that drain the queue: in total, and for one band.

    With several daemons these are this daemon's shares, so not whole numbers.
    """

    total: float
    for_band: float


class WaitKind(NamedTuple):
    """The properties that decide how long work waits: its band and its urgency.

    ``urgency`` is the logarithm to base 2 of the slack at arrival in seconds, rounded
    up; 0 is most urgent. Work waits behind work whose band and urgency are both at
    most its own.
    """

    band: int
    urgency: int


def wait_kind(band: int, slack: float) -> WaitKind:
    """Return the kind of work in ``band`` that has to start within ``slack`` seconds.

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
    """Predicts how long new work would wait in one pool.

    It keeps the queued engine time by organisation and kind, and the observed waits.
    """

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
        """Add work that joins the queue, in seconds of engine time."""
        by_kind = self._queued_by_organisation.setdefault(organisation, {})
        by_kind[kind] = by_kind.get(kind, 0.0) + seconds

    def record_dequeued(
        self, organisation: str, kind: WaitKind, seconds: float
    ) -> None:
        """Subtract work that leaves the queue, served or not."""
        by_kind = self._queued_by_organisation[organisation]
        by_kind[kind] -= seconds
        if by_kind[kind] < ROUNDING_SECONDS:
            del by_kind[kind]
        if not by_kind:
            del self._queued_by_organisation[organisation]

    def record_served(self, band: int, seconds: float, now: float) -> None:
        """Add work that is sent to an endpoint, in seconds of engine time."""
        self._decay_served(now)
        self._served_by_band[band] += seconds

    def record_wait(self, kind: WaitKind, predicted: float, actual: float) -> None:
        """Correct later predictions for this kind by an observed wait, in seconds."""
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
        """Return the time in seconds that new work would wait before it is sent.

        ``seconds`` is the engine time that the new work itself needs.
        """
        ahead = self._engine_seconds_ahead(organisation, kind, seconds)
        correction = exp(self._log_correction_by_kind.get(kind, 0.0))
        return ahead / self._drain_rate(kind.band, endpoints, now) * correction

    def _engine_seconds_ahead(
        self, organisation: str, kind: WaitKind, seconds: float
    ) -> float:
        """Return the seconds of engine time that are served before new work.

        Until the work that the organisation has queued is done, and the new work with
        it, fair queueing serves each other organisation at most the same amount.
        """
        own_by_kind = self._queued_by_organisation.get(organisation, {})
        own = _seconds_at_or_ahead(kind, own_by_kind)
        limit = own + seconds
        others = sum(
            min(limit, _seconds_at_or_ahead(kind, by_kind))
            for name, by_kind in self._queued_by_organisation.items()
            if name != organisation
        )
        return own + others

    def _drain_rate(self, band: int, endpoints: EndpointCounts, now: float) -> float:
        """Return the engine seconds per second that are available to this band.

        Shorter bands are served first, so the engine time that they have recently
        used is not available.
        """
        self._decay_served(now)
        shorter = sum(self._served_by_band[:band]) / DRAIN_WINDOW_SECONDS
        available = min(endpoints.for_band, endpoints.total - shorter)
        return max(available, endpoints.for_band * MIN_DRAIN_SHARE, MIN_DRAIN_RATE)

    def _decay_served(self, now: float) -> None:
        factor = exp(-(now - self._served_updated_at) / DRAIN_WINDOW_SECONDS)
        self._served_by_band = [served * factor for served in self._served_by_band]
        self._served_updated_at = now

    def allows(self, wait: float, slack: float) -> bool:
        """Whether work with this slack may be admitted; both are in seconds."""
        return wait <= MIN_WAIT_SECONDS or wait <= slack * USABLE_SLACK_SHARE

    def refuse(
        self, wait: float, slack: float, seconds: float, endpoints: float, now: float
    ) -> float:
        """Record a refusal and return the time in seconds after which to retry."""
        self._overloaded_at = now
        factor = exp(-(now - self._refused_updated_at) / REFUSED_WINDOW_SECONDS)
        self._refused_seconds = self._refused_seconds * factor + seconds
        self._refused_updated_at = now
        drained = max(MIN_RETRY_SECONDS, wait - slack * USABLE_SLACK_SHARE)
        spread = max(
            MIN_RETRY_SECONDS,
            self._refused_seconds / max(MIN_DRAIN_RATE, endpoints),
        )
        retry_seconds = drained + spread * self._random.random()
        return min(MAX_RETRY_SECONDS * (0.5 + self._random.random()), retry_seconds)

    def is_overloaded(self, now: float) -> bool:
        """Whether work was refused for lack of capacity in the last few seconds."""
        return now - self._overloaded_at < OVERLOAD_HOLD_SECONDS

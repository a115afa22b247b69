"""Burn rate of each class's error budget, from request counts in time buckets.

The error budget is the share of requests that may miss a target: one minus the
class's ``attainment``. A burn rate of 1 spends the budget exactly; a burn rate of
14.4 for an hour spends 2 % of a 30-day budget. An alert compares two windows, which
separates a short spike from a lasting fault: the short window shows that the fault
is still going on, the long window that it costs a relevant part of the budget.

Load pattern: one class gets a few requests a minute and another thousands a second,
on daemons that start and stop at any time. Without a bounded number of buckets, a
busy daemon would have to store every request. With a single average since the start
of the daemon, an hour of misses would hardly change the average of many days.

Choice of the figures: the windows are the usual pairs for burn-rate alerts (5
minutes with 1 hour, 30 minutes with 6 hours, 3 days for slow leaks). Fine buckets of
30 seconds limit the error of the 5-minute window to a tenth of its length; coarse
buckets of 15 minutes limit that of the 3-day window to a three-hundredth. The two
ring buffers together hold 1,010 buckets; with three objectives, two 8-byte counts
for each and the bucket's number, a class takes 60 KB (`sys.getsizeof`).

The module reads no clock and takes no lock. Times are seconds on any one monotonic
clock, which the caller passes in.
"""

import math
from array import array
from collections.abc import Mapping
from enum import IntEnum, StrEnum
from typing import NamedTuple

from cranberrywick.model import ClassTargets

__all__ = [
    "STEP_COUNT",
    "STEP_SECONDS",
    "WINDOWS_SECONDS",
    "Alert",
    "BurnCounters",
    "Counts",
    "EndedRequest",
    "Objective",
    "alert_level",
    "burn_rate",
]

WINDOWS_SECONDS = {
    "5m": 300.0,
    "30m": 1_800.0,
    "1h": 3_600.0,
    "6h": 21_600.0,
    "3d": 259_200.0,
}
FINE_BUCKET_SECONDS = 30.0
FINE_BUCKETS = 720
COARSE_BUCKET_SECONDS = 900.0
COARSE_BUCKETS = 288
# Length of a step in plots over time, in seconds, and the number of steps: 6 hours.
STEP_SECONDS = 300.0
STEP_COUNT = 72


# Rules of a long window, a short window and the burn rate that both must reach. These
# rates spend 2 % of a 30-day budget in 1 hour, 5 % in 6 hours, 10 % in 3 days.
PAGE_RULES = (("1h", "5m", 14.4), ("6h", "30m", 6.0))
TICKET_RULES = (("3d", "6h", 1.0),)
# Fewest requests in the long window that can raise an alert. At an attainment of
# 0.95, a single miss among 20 requests already spends the budget exactly.
MIN_REQUESTS_FOR_ALERT = 20


class Alert(StrEnum):
    """How urgently an operator should look at a burn rate."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


class Objective(IntEnum):
    """A target of a class; the value is the index of its counts within a bucket."""

    FIRST_TOKEN = 0
    BETWEEN_TOKENS = 1
    COMPLETION = 2

    @property
    def label(self) -> str:
        """The objective's name in reports."""
        return self.name.lower()


class Counts(NamedTuple):
    """Numbers of requests that met a target and that missed it."""

    good: int
    bad: int

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum of both pairs of counts."""
        return Counts(self.good + other.good, self.bad + other.bad)


class EndedRequest(NamedTuple):
    """The result of a request that did not fail through the caller's own fault.

    ``completed_seconds`` is the time from arrival to the end of a complete answer,
    None when the request was refused, failed or timed out. A refusal spends the
    budget too; otherwise a daemon that refuses everything would seem to meet all
    targets. ``first_token_seconds`` is None for a refusal, which never reached the
    wait for a token, and infinite for a failure before the first token. ``gaps`` is
    the number of gaps between events of the stream, ``late_gaps`` the number of
    those above the target.
    """

    class_name: str
    completed_seconds: float | None
    first_token_seconds: float | None = None
    gaps: int = 0
    late_gaps: int = 0


def burn_rate(counts: Counts, attainment: float) -> float | None:
    """Return how many times faster than allowed the error budget is spent.

    Return None when no request was counted, and infinity when the class allows no
    miss and there was one.

    >>> burn_rate(Counts(good=90, bad=10), attainment=0.95)
    2.0
    """
    total = counts.good + counts.bad
    if total == 0:
        return None
    budget = 1.0 - attainment
    if budget <= 0.0:
        return math.inf if counts.bad else 0.0
    return round(counts.bad / total / budget, 3)


def alert_level(counts_by_window: Mapping[str, Counts], attainment: float) -> Alert:
    """Return the most urgent alert whose rule matches the counts of the windows."""

    def fires(rule: tuple[str, str, float]) -> bool:
        long_window, short_window, limit = rule
        long_counts = counts_by_window[long_window]
        if long_counts.good + long_counts.bad < MIN_REQUESTS_FOR_ALERT:
            return False
        rates = (
            burn_rate(long_counts, attainment),
            burn_rate(counts_by_window[short_window], attainment),
        )
        return all(rate is not None and rate >= limit for rate in rates)

    if any(map(fires, PAGE_RULES)):
        return Alert.PAGE
    if any(map(fires, TICKET_RULES)):
        return Alert.TICKET
    return Alert.NONE


class BurnCounters:
    """Request counts of one daemon, by class, objective and time.

    ``started_at`` is the time at which the daemon began to count.
    """

    def __init__(self, started_at: float):
        self._started_at = started_at
        self._targets_by_class: dict[str, ClassTargets] = {}
        self._history_by_class: dict[str, _ClassHistory] = {}

    @property
    def targets_by_class(self) -> Mapping[str, ClassTargets]:
        """The classes' targets in force."""
        return self._targets_by_class

    def set_targets(self, targets_by_class: Mapping[str, ClassTargets]) -> None:
        """Replace the targets; the counts of a class that was removed are dropped.

        Counts made under earlier targets stay: a request is judged by the targets
        that were in force when it ended. Memory is bounded by the number of classes
        in force.
        """
        self._targets_by_class = dict(targets_by_class)
        for class_name in list(self._history_by_class):
            if class_name not in self._targets_by_class:
                del self._history_by_class[class_name]

    def add(self, request: EndedRequest, now: float) -> None:
        """Count a request that ended at ``now``; ignore one of an unknown class."""
        targets = self._targets_by_class.get(request.class_name)
        if targets is None:
            return
        history = self._history_by_class.get(request.class_name)
        if history is None:
            history = _ClassHistory()
            self._history_by_class[request.class_name] = history
        for objective, met in _judge_objectives(request, targets):
            history.add(objective, met, now)

    def observed_seconds(self, window_seconds: float, now: float) -> float:
        """Return for how many seconds of the window this daemon has been running."""
        return min(window_seconds, now - self._started_at)

    def counts(
        self, class_name: str, objective: Objective, window_seconds: float, now: float
    ) -> Counts:
        """Return the counts of a class in the window that ends at ``now``."""
        history = self._history_by_class.get(class_name)
        if history is None:
            return Counts(0, 0)
        return history.counts(objective, now - window_seconds, now)

    def steps(self, class_name: str, objective: Objective, now: float) -> list[Counts]:
        """Return the counts of the `STEP_COUNT` steps up to ``now``, oldest first."""
        history = self._history_by_class.get(class_name)
        if history is None:
            return [Counts(0, 0)] * STEP_COUNT
        ends = [now - STEP_SECONDS * ago for ago in reversed(range(STEP_COUNT))]
        return [history.counts(objective, end - STEP_SECONDS, end) for end in ends]


def _judge_objectives(
    request: EndedRequest, targets: ClassTargets
) -> list[tuple[Objective, bool]]:
    """Return which objectives the request counts for, and whether it met each.

    For the gaps between tokens, ``attainment`` also applies within a stream: the
    stream meets the target when that share of its gaps does. The mean gap would hide
    stalls, and judging by the longest gap alone would make nearly every long answer
    a miss.
    """
    completed = request.completed_seconds
    done_in_time = completed is not None and completed <= targets.completion_seconds
    results = [(Objective.COMPLETION, done_in_time)]
    if request.first_token_seconds is not None:
        first_token_in_time = request.first_token_seconds <= targets.first_token_seconds
        results.append((Objective.FIRST_TOKEN, first_token_in_time))
    if request.gaps:
        allowed = (1.0 - targets.attainment) * request.gaps
        results.append((Objective.BETWEEN_TOKENS, request.late_gaps <= allowed))
    return results


class _ClassHistory:
    """Counts of one class: fine buckets for up to six hours, coarse ones for longer."""

    def __init__(self):
        self._fine = _RingBuffer(FINE_BUCKET_SECONDS, FINE_BUCKETS)
        self._coarse = _RingBuffer(COARSE_BUCKET_SECONDS, COARSE_BUCKETS)

    def add(self, objective: Objective, met: bool, now: float) -> None:
        """Count one result."""
        self._fine.add(objective, met, now)
        self._coarse.add(objective, met, now)

    def counts(self, objective: Objective, after: float, until: float) -> Counts:
        """Return the counts between two times, in seconds on the caller's clock."""
        fits_fine_buckets = until - after <= FINE_BUCKET_SECONDS * FINE_BUCKETS
        ring_buffer = self._fine if fits_fine_buckets else self._coarse
        return ring_buffer.counts(objective, after, until)


class _RingBuffer:
    """Ring buffer of counts in time buckets; the oldest bucket is overwritten."""

    _FIELDS = 2 * len(Objective)

    def __init__(self, bucket_seconds: float, buckets: int):
        self._bucket_seconds = bucket_seconds
        # One more than the window's length, as the window may begin within a bucket.
        self._slot_count = buckets + 1
        self._counts = array("Q", bytes(8 * self._FIELDS * self._slot_count))
        # Number of the time bucket in each slot; -1 if the slot is empty. A slot whose
        # number is not the wanted one is skipped, so that a daemon without requests
        # does not report the counts of last week.
        self._bucket_number_by_slot = array("q", [-1] * self._slot_count)

    def add(self, objective: Objective, met: bool, now: float) -> None:
        """Count one result in the bucket that contains ``now``."""
        bucket_number = int(now // self._bucket_seconds)
        slot = bucket_number % self._slot_count
        start = slot * self._FIELDS
        if self._bucket_number_by_slot[slot] != bucket_number:
            self._bucket_number_by_slot[slot] = bucket_number
            self._counts[start : start + self._FIELDS] = array("Q", [0] * self._FIELDS)
        self._counts[start + 2 * objective + (0 if met else 1)] += 1

    def counts(self, objective: Objective, after: float, until: float) -> Counts:
        """Return the sum of the buckets after that of ``after`` up to ``until``'s."""
        first = int(after // self._bucket_seconds) + 1
        last = int(until // self._bucket_seconds)
        good = bad = 0
        for bucket_number in range(max(first, last - self._slot_count + 1), last + 1):
            slot = bucket_number % self._slot_count
            if self._bucket_number_by_slot[slot] == bucket_number:
                start = slot * self._FIELDS + 2 * objective
                good += self._counts[start]
                bad += self._counts[start + 1]
        return Counts(good, bad)

"""Slow start of an endpoint: its limit grows with the work that it completes.

Load pattern: an endpoint starts, or turns cold again without warning, while the
fleet has work for it. A cold endpoint can carry only little load and fails under its
full load. While it reports itself cold, it gets its cold slots and no more. Once it
reports itself warm, its limit doubles each time as many requests have completed as
the limit allows at once. If the limit grew with time instead, an endpoint that
answers nothing would be filled up.

Without the ramp, all daemons that waited for capacity send at the first warm report.
Many long prompts fill the endpoint's caches at once, and it turns cold or fails again.

Figures: doubling takes eight rounds of completed work from one slot to 256, and each
step adds at most as much work as the endpoint has just completed. Two first tokens in
a row that take four times as long as usual are more than queueing in a batch explains
at the loads that admission allows. A single one is not, since one long prompt ahead in
the batch has the same effect.
"""

from enum import IntEnum
from typing import NamedTuple

from cranberrywick.model import EndpointPhase

__all__ = ["ColdRamp", "FirstTokenWatch", "Trouble"]

# Factor by which the limit grows in each round of completed work.
GROWTH_FACTOR = 2
# Ratio to the baseline from which on a first token counts as a jump.
JUMP_FACTOR = 4.0
# Number of successive jumps that show an endpoint to be cold.
JUMPS_UNTIL_COLD = 2
# First-token time up to which nothing counts as a jump, in seconds: it harms no target.
MIN_JUMP_SECONDS = 0.5
# Weight of a new ratio in the moving average that is the baseline.
BASELINE_WEIGHT = 0.1
# Number of first tokens needed before the baseline is used.
MIN_BASELINE_RESULTS = 8


class Trouble(IntEnum):
    """What a daemon observed at an endpoint since its last demand."""

    NONE = 0
    COLD = 1
    SLOW_FIRST_TOKEN = 2


class ColdRamp:
    """The number of slots of one endpoint that may be used now.

    >>> ramp = ColdRamp(cold_slots=1, slots=8)
    >>> ramp.report(1, EndpointPhase.WARM, reported_at=0.0)
    >>> ramp.limit
    8
    >>> ramp.report(2, EndpointPhase.COLD, reported_at=5.0)
    >>> ramp.limit
    1
    """

    def __init__(self, cold_slots: int, slots: int):
        self._cold_slots = min(cold_slots, slots)
        self._slots = slots
        self._incarnation: int | None = None
        self._phase: EndpointPhase | None = None
        self._limit = 0
        self._completed = 0
        self._completions_to_skip = 0
        self._cut_at = float("-inf")

    @property
    def limit(self) -> int:
        """The number of requests that may run at once; 0 before the first report."""
        return self._limit

    @property
    def is_warm(self) -> bool:
        """Whether all of the endpoint's slots may be used."""
        return self._limit >= self._slots

    def report(
        self,
        incarnation: int,
        phase: EndpointPhase,
        reported_at: float,
        running: int = 0,
    ) -> None:
        """Apply a report of the endpoint.

        It is ignored if its incarnation is outdated, or if it dates from before the
        last cut in the same one. ``running`` counts the requests that run or wait.
        """
        if self._incarnation is not None and incarnation < self._incarnation:
            return
        if reported_at < self._cut_at and incarnation == self._incarnation:
            return
        # A cut before the first report comes from the demands of holders that
        # reported the endpoint cold to a new steward.
        is_first = self._incarnation is None and self._cut_at == float("-inf")
        if self._incarnation not in (None, incarnation):
            self.cut(reported_at, running)
        if phase is EndpointPhase.COLD and self._phase is not EndpointPhase.COLD:
            self.cut(reported_at, running)
        self._incarnation = incarnation
        self._apply_phase(phase, is_first)

    def _apply_phase(self, phase: EndpointPhase, is_first: bool) -> None:
        if phase in (EndpointPhase.LEAVING, EndpointPhase.GONE):
            self._limit = 0
        elif phase is EndpointPhase.COLD:
            self._limit = self._cold_slots
        elif is_first:
            # A new steward doesn't restart the ramp of a warm endpoint. Otherwise
            # each change of steward would remove the endpoint's capacity.
            self._limit = self._slots
        elif self._limit == 0:
            self._limit = self._cold_slots
        self._phase = phase

    def cut(self, at: float, running: int = 0) -> None:
        """Return to the cold slots, since the endpoint is cold or suddenly slow.

        The ``running`` requests were sent before the cut, and their completion doesn't
        show what the endpoint can carry now. So the next ``running`` completions are
        not counted, nor is any other until the endpoint reports itself warm in a
        report dated after ``at``, in monotonic seconds.
        """
        self._limit = min(self._limit or self._cold_slots, self._cold_slots)
        self._phase = None
        self._completed = 0
        self._completions_to_skip = running
        self._cut_at = max(self._cut_at, at)

    def complete(self, number: int) -> None:
        """Count requests completed since the last call; raise the limit if due."""
        skipped = min(number, self._completions_to_skip)
        self._completions_to_skip -= skipped
        if self._phase is not EndpointPhase.WARM or self.is_warm:
            return
        self._completed += number - skipped
        if self._limit and self._completed >= self._limit:
            self._completed = 0
            self._limit = min(self._slots, self._limit * GROWTH_FACTOR)


class _Baseline(NamedTuple):
    """The average ratio of seen to expected time, and the jumps in a row."""

    usual_ratio: float
    results: int
    jumps: int


class FirstTokenWatch:
    """Detects from first-token times that an endpoint has turned cold.

    The expected time of each first token comes from the cost estimate for its prompt.
    The baseline of an endpoint is the moving average of the ratio of the time seen to
    the time expected.
    """

    def __init__(self) -> None:
        self._baseline_by_endpoint: dict[str, _Baseline] = {}

    def observe(self, endpoint_id: str, expected: float, seen: float) -> Trouble:
        """Record one first-token time and return the trouble that it shows.

        ``expected`` and ``seen`` are in seconds.
        """
        ratio = seen / max(expected, 1e-3)
        baseline = self._baseline_by_endpoint.get(endpoint_id, _Baseline(ratio, 0, 0))
        if self._is_jump(baseline, ratio, seen):
            baseline = baseline._replace(jumps=baseline.jumps + 1)
            self._baseline_by_endpoint[endpoint_id] = baseline
            return self._trouble_after(baseline)
        average = baseline.usual_ratio + BASELINE_WEIGHT * (
            ratio - baseline.usual_ratio
        )
        self._baseline_by_endpoint[endpoint_id] = _Baseline(
            average, baseline.results + 1, 0
        )
        return Trouble.NONE

    @staticmethod
    def _is_jump(baseline: _Baseline, ratio: float, seen: float) -> bool:
        return (
            baseline.results >= MIN_BASELINE_RESULTS
            and seen > MIN_JUMP_SECONDS
            and ratio > JUMP_FACTOR * baseline.usual_ratio
        )

    @staticmethod
    def _trouble_after(baseline: _Baseline) -> Trouble:
        if baseline.jumps < JUMPS_UNTIL_COLD:
            return Trouble.NONE
        return Trouble.SLOW_FIRST_TOKEN

    def forget(self, endpoint_id: str) -> None:
        """Drop the baseline of an endpoint, after a cut or for a new incarnation."""
        self._baseline_by_endpoint.pop(endpoint_id, None)

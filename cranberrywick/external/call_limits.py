"""Decides during and after an outage whether a call to the platform may be made.

This is plain computation: the time is an argument, and nothing here locks or waits.
"""

import random

__all__ = ["OutageGuard"]

# Failures in a row that count as an outage; one or two happen when a node restarts.
OUTAGE_FAILURES = 3
# The longest pause between two probes grows from the lower to the upper bound, in
# seconds.
PROBE_MINIMUM_SECONDS = 0.5
PROBE_MAXIMUM_SECONDS = 10.0
# After an outage the rate grows linearly from this share to the full rate, over this
# many seconds.
RAMP_SECONDS = 10.0
RAMP_START_SHARE = 0.1


class OutageGuard:
    """Decides whether a call may be made, from the outcomes of the last calls.

    It acts as a circuit breaker: in an outage only probes are allowed, and afterwards
    `share` limits the rate. Times are seconds on the caller's monotonic clock.
    """

    def __init__(self, rng: random.Random):
        self._random = rng
        self._failures = 0
        self._probe_at = 0.0
        self._outage_ended_at: float | None = None

    @property
    def in_outage(self) -> bool:
        """Whether only probes are allowed."""
        return self._failures >= OUTAGE_FAILURES

    def may_call(self, now: float) -> bool:
        """Return whether a call may be made; in an outage True allows one probe."""
        if not self.in_outage:
            return True
        if now < self._probe_at:
            return False
        self._schedule_probe(now)
        return True

    def retry_after(self, now: float) -> float:
        """Return the seconds until the next probe."""
        return max(0.0, self._probe_at - now)

    def failed(self, now: float) -> None:
        """Record a call without an answer."""
        self._failures += 1
        if self.in_outage:
            self._schedule_probe(now)

    def succeeded(self, now: float) -> bool:
        """Record an answer; return whether it ends an outage."""
        ends_outage = self.in_outage
        if ends_outage:
            self._outage_ended_at = now
        self._failures = 0
        return ends_outage

    def share(self, now: float) -> float:
        """Return the share of the rate that may be used, below 1 after an outage."""
        if self._outage_ended_at is None:
            return 1.0
        progress = (now - self._outage_ended_at) / RAMP_SECONDS
        return min(
            1.0, RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * max(0.0, progress)
        )

    def _schedule_probe(self, now: float) -> None:
        # Exponential backoff with full jitter: daemons that noticed the outage at the
        # same moment probe at different moments.
        doublings = min(self._failures - OUTAGE_FAILURES, 10)
        cap = min(PROBE_MINIMUM_SECONDS * 2**doublings, PROBE_MAXIMUM_SECONDS)
        pause = self._random.uniform(PROBE_MINIMUM_SECONDS / 2, cap)
        self._probe_at = now + pause

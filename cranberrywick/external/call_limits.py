"""Whether a call to the platform may be made now: a guard in outages.

Plain computation: the time is an argument, nothing here locks or waits.
"""

import random

__all__ = ["OutageGuard"]

# Failures in a row that make an outage; one or two happen when a node restarts.
OUTAGE_FAILURES = 3
PROBE_MINIMUM_SECONDS = 0.5
PROBE_MAXIMUM_SECONDS = 10.0
# How the rate comes back after an outage.
RETURN_SECONDS = 10.0
RETURN_SHARE = 0.1


class OutageGuard:
    """Tells whether a call may be made, from how the last ones went."""

    def __init__(self, rng: random.Random):
        self._random = rng
        self._failures = 0
        self._probe_at = 0.0
        self._returned_at: float | None = None

    @property
    def in_outage(self) -> bool:
        """Whether only probes are let through."""
        return self._failures >= OUTAGE_FAILURES

    def may_call(self, now: float) -> bool:
        """Say whether a call may be made; in an outage a yes is the one probe."""
        if not self.in_outage:
            return True
        if now < self._probe_at:
            return False
        self._plan_probe(now)
        return True

    def retry_after(self, now: float) -> float:
        """Return the seconds until the next probe."""
        return max(0.0, self._probe_at - now)

    def failed(self, now: float) -> None:
        """Note a call without an answer."""
        self._failures += 1
        if self.in_outage:
            self._plan_probe(now)

    def succeeded(self, now: float) -> bool:
        """Note an answer; say whether it ends an outage."""
        ends_outage = self.in_outage
        if ends_outage:
            self._returned_at = now
        self._failures = 0
        return ends_outage

    def share(self, now: float) -> float:
        """Return the part of the rate that may be used, after an outage less."""
        if self._returned_at is None:
            return 1.0
        passed = (now - self._returned_at) / RETURN_SECONDS
        return min(1.0, RETURN_SHARE + (1.0 - RETURN_SHARE) * max(0.0, passed))

    def _plan_probe(self, now: float) -> None:
        # Full jitter: daemons that met the outage together probe apart.
        doublings = min(self._failures - OUTAGE_FAILURES, 10)
        cap = min(PROBE_MINIMUM_SECONDS * 2**doublings, PROBE_MAXIMUM_SECONDS)
        pause = self._random.uniform(PROBE_MINIMUM_SECONDS / 2, cap)
        self._probe_at = now + pause

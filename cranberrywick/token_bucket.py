"""A token bucket without a clock or waiting: each method is given the time."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Limits calls to ``rate`` a second, with up to ``burst`` calls at once.

    ``now`` is a time in seconds, always on the same clock. The number of tokens may be
    negative: then that many calls have been taken and still have to wait.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0, now=0.0)
    >>> bucket.take(0.0), bucket.take(0.0)
    (0.0, 0.5)
    """

    def __init__(self, rate: float, burst: float, now: float):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate, in calls a second, and the burst."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def empty(self, now: float) -> None:
        """Keep at most one token, so that no burst can follow."""
        self._tokens = min(self._tokens, 1.0)
        self._refilled_at = now

    def take(self, now: float) -> float:
        """Take one token and return the seconds to wait before the call is made."""
        self._refill(now)
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self._rate)

    def wait_seconds(self, now: float) -> float:
        """Return the seconds that the next call would have to wait."""
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._rate)

    def cancel_waiting(self) -> None:
        """Undo the `take` of every call that still has to wait."""
        self._tokens = max(0.0, self._tokens)

    def refund(self) -> None:
        """Undo one `take` whose call will not be made."""
        self._tokens += 1.0

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now

"""A rate with bursts, as plain computation: the time is an argument."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Lets through ``rate`` calls a second, and a burst after a quiet time.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0, now=0.0)
    >>> bucket.take(0.0), bucket.take(0.0)
    (0.0, 0.5)
    """

    def __init__(self, rate: float, burst: float, now: float):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Go on at another rate."""
        self._fill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def empty(self, now: float) -> None:
        """Drop what a quiet time has saved up."""
        self._tokens = min(self._tokens, 1.0)
        self._filled_at = now

    def take(self, now: float) -> float:
        """Take one call and return the seconds to wait before it is made."""
        self._fill(now)
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self._rate)

    def wait_seconds(self, now: float) -> float:
        """Return how long the next call would have to wait."""
        self._fill(now)
        return max(0.0, (1.0 - self._tokens) / self._rate)

    def cancel_waiting(self) -> None:
        """Undo the calls that still have to wait."""
        self._tokens = max(0.0, self._tokens)

    def refund(self) -> None:
        """Undo a `take` whose call is not made after all."""
        self._tokens += 1.0

    def _fill(self, now: float) -> None:
        earned = max(0.0, now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now

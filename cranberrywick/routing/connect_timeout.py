"""How long a connection to an endpoint is waited for.

Load pattern: endpoints go dark, or are cut off, while their records still say that they
are ready. Nothing answers a connection there, and a request with a target of some
hundred milliseconds spends it waiting. What is usual is known from the connections that
were answered, so that an unusual wait is noticed after a few of them; where connections
take longer, as on a busy VM, the timeout grows with them.

The estimate is the one of TCP's retransmission timer: mean and mean deviation, both
smoothed.

>>> timeout = ConnectTimeout()
>>> timeout.seconds
0.25
>>> timeout.answered(0.004)
>>> timeout.seconds
0.05
"""

__all__ = ["ConnectTimeout", "is_own_delay"]

LEAST_SECONDS = 0.05
# A lost packet is sent again after a second: another endpoint is quicker than that.
MOST_SECONDS = 0.25
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# A timeout that is noticed too late by more than this share of itself tells of a daemon
# that was busy meanwhile; the connection may stand.
OWN_DELAY_SHARE = 0.5
# An estimate that is too low would fail every connection and never learn better.
BACKOFF = 2


def is_own_delay(waited: float, allowed: float) -> bool:
    """Whether a connection timed out since this daemon itself was held up.

    >>> is_own_delay(0.051, allowed=0.05), is_own_delay(0.2, allowed=0.05)
    (False, True)
    """
    return waited > (1 + OWN_DELAY_SHARE) * allowed


class ConnectTimeout:
    """Learns how long connections take."""

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0
        self._backoff = 1

    @property
    def seconds(self) -> float:
        """How long to wait for the next connection."""
        if self._mean is None:
            return MOST_SECONDS
        usual = self._mean + DEVIATIONS * self._deviation
        return min(self._backoff * max(LEAST_SECONDS, usual), MOST_SECONDS)

    def answered(self, seconds: float) -> None:
        """Note how long a connection took."""
        self._backoff = 1
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        error = seconds - self._mean
        self._mean += MEAN_WEIGHT * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)

    def timed_out(self) -> None:
        """Note a connection that was given up."""
        self._backoff = min(
            self._backoff * BACKOFF, round(MOST_SECONDS / LEAST_SECONDS)
        )

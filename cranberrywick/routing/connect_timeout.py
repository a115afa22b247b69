"""Adaptive timeout for connections to endpoints.

Load pattern: endpoints stop answering or are cut off from the network while their
records still say that they are ready. A connection there is never accepted, and a
request with a target of a few hundred milliseconds spends all of it waiting. The
timeout is estimated from the connections that were accepted, so that after a few of
them an unusually long wait is recognised; where connections take longer, as on a busy
VM, the timeout grows with them.

The estimate is that of TCP's retransmission timer (RFC 6298): the smoothed mean plus a
multiple of the smoothed mean deviation.

>>> timeout = ConnectTimeout()
>>> timeout.seconds
0.25
>>> timeout.answered(0.004)
>>> timeout.seconds
0.05
"""

__all__ = ["ConnectTimeout", "is_late", "is_own_delay"]

# Bounds of the timeout, in seconds.
MIN_SECONDS = 0.05
# TCP sends a lost packet again after one second; trying another endpoint is quicker.
MAX_SECONDS = 0.25
# Weights of the newest connection in the two means, as in RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
# Number of mean deviations by which the timeout exceeds the mean.
DEVIATIONS = 4
# If a timeout is handled later than due by more than this share of itself, the daemon
# was busy in the meantime, and the connection may have been accepted.
OWN_DELAY_SHARE = 0.5
# The same for a timeout that is handled a little late, as on any busy VM.
LATE_SHARE = 0.1
# Factor by which the timeout grows with each timeout in a row. Without it, an estimate
# that is too low fails every connection and is never corrected, since only accepted
# connections change it.
BACKOFF = 2


def is_own_delay(waited: float, allowed: float) -> bool:
    """Whether a connection timed out because this daemon itself was delayed.

    ``waited`` is the time since the connection began and ``allowed`` the timeout, both
    in seconds.

    >>> is_own_delay(0.051, allowed=0.05), is_own_delay(0.2, allowed=0.05)
    (False, True)
    """
    return waited > (1 + OWN_DELAY_SHARE) * allowed


def is_late(waited: float, allowed: float) -> bool:
    """Whether a timeout was handled later than due, if not as late as an own delay.

    The connection may have been accepted meanwhile, so that its timeout says nothing
    about the link. Arguments as for `is_own_delay`.

    >>> is_late(0.051, allowed=0.05), is_late(0.06, allowed=0.05)
    (False, True)
    """
    return waited > (1 + LATE_SHARE) * allowed


class ConnectTimeout:
    """Estimates the timeout from the durations of earlier connections."""

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0
        self._backoff = 1

    @property
    def seconds(self) -> float:
        """Timeout of the next connection, in seconds."""
        if self._mean is None:
            return MAX_SECONDS
        usual = self._mean + DEVIATIONS * self._deviation
        return min(self._backoff * max(MIN_SECONDS, usual), MAX_SECONDS)

    def answered(self, seconds: float) -> None:
        """Record an accepted connection and how many seconds it took."""
        self._backoff = 1
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        error = seconds - self._mean
        self._mean += MEAN_WEIGHT * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)

    def timed_out(self) -> None:
        """Record a connection that timed out."""
        self._backoff = min(self._backoff * BACKOFF, round(MAX_SECONDS / MIN_SECONDS))

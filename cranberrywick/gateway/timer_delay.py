"""How late this daemon's timers fire: a measure of how overloaded its VM is.

Load pattern: VMs are uneven, and some get less processor time than they are said to
have. Everything on the event loop of such a daemon is late by about the same time, so
one timer shows the delay of all requests without a cost for each.
"""

import asyncio
from math import exp

from cranberrywick.gateway.ticker import Ticker

__all__ = ["TimerDelay"]

# Interval at which the lateness is measured, in seconds.
MEASURE_SECONDS = 0.1
# Time constant of the mean, in seconds. It covers several heartbeats, so that callers
# don't move to and fro with each short pause of a VM.
SMOOTHING_SECONDS = 2.0
# Largest lateness that is counted, in seconds. A process that was suspended for a
# minute would otherwise count as overloaded for longer than callers need to leave it.
MAX_LATENESS_SECONDS = 1.0


class TimerDelay:
    """The mean lateness of a timer over the last seconds.

    >>> delay = TimerDelay(ticker)
    >>> delay.start()
    >>> delay.seconds
    0.002
    """

    def __init__(self, ticker: Ticker):
        self._ticker = ticker
        self._loop = asyncio.get_running_loop()
        self._measured_at = 0.0
        self.seconds = 0.0

    def start(self) -> None:
        """Start to measure."""
        self._measured_at = self._loop.time()
        self._ticker.every(MEASURE_SECONDS, self._measure)

    def _measure(self) -> None:
        now = self._loop.time()
        lateness = now - self._measured_at - MEASURE_SECONDS
        self._measured_at = now
        lateness = min(max(0.0, lateness), MAX_LATENESS_SECONDS)
        # Weighed by the time that a sample stands for: one late timer takes as long as
        # many that are on time.
        elapsed = MEASURE_SECONDS + lateness
        weight = 1 - exp(-elapsed / SMOOTHING_SECONDS)
        self.seconds += weight * (lateness - self.seconds)

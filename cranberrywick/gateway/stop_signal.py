"""The signal that tells a daemon to stop, and the moment at which it came."""

import asyncio
import signal
from collections.abc import Callable

from cranberrywick.gateway.ticker import Ticker
from cranberrywick.routing.drain_window import SignalMoment

__all__ = ["StopSignal"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Notes when the first of the signals to stop came.

    A process that is suspended sees a signal only when it goes on, and a busy event
    loop handles it only when its turn is over. ``ticker`` knows when the process ran.

    >>> stop_signal = StopSignal(ticker)
    >>> stop_signal.listen(ask_to_stop)
    """

    def __init__(self, ticker: Ticker):
        self._ticker = ticker
        self._loop = asyncio.get_running_loop()
        self._moment: SignalMoment | None = None

    def listen(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` on the event loop at each signal from now on."""
        for number in STOP_SIGNALS:
            self._loop.add_signal_handler(number, callback)
            # The loop's handler wakes it, and does nothing else. This one runs at once,
            # in the middle of a turn, too.
            signal.signal(number, lambda *_: self.moment())
            signal.siginterrupt(number, False)

    def moment(self) -> SignalMoment:
        """Return when the signal came; that is noted at the first call."""
        if self._moment is None:
            self._moment = self._ticker.signal_moment(self._loop.time())
        return self._moment

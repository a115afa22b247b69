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
        """Call ``callback`` on the event loop at each signal from now on.

        It is called in the next turn, however many sockets are ready before the one by
        which a signal wakes the loop.
        """

        def handle(*_: object) -> None:
            self.moment()
            if not self._loop.is_closed():
                self._loop.call_soon_threadsafe(callback)

        for number in STOP_SIGNALS:
            # The loop's handler only wakes it. The other one runs at once, in the
            # middle of a turn, too.
            self._loop.add_signal_handler(number, lambda: None)
            signal.signal(number, handle)
            signal.siginterrupt(number, False)

    def moment(self) -> SignalMoment:
        """Return when the signal came; that is noted at the first call."""
        if self._moment is None:
            self._moment = self._ticker.signal_moment(self._loop.time())
        return self._moment

"""The requests that a stopping daemon still has, and when it has none."""

import asyncio
from collections.abc import Callable, Sequence

from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.loop_lag import LoopLag
from cranberrywick.logs import EventLog

__all__ = ["IDLE_POLL_SECONDS", "ServedRequests"]

# Interval at which a stopping daemon checks whether requests are left, in seconds.
IDLE_POLL_SECONDS = 0.02
# How often in a row it finds none before it ends. A process that was suspended has to
# accept connections and to read from them first.
IDLE_POLLS = 3


class ServedRequests:
    """Looks for requests of callers and of peers, here and in the kernel."""

    def __init__(self, ingresses: Sequence[Ingress], lag: LoopLag, log: EventLog):
        self._ingresses = ingresses
        self._lag = lag
        self._log = log

    @property
    def busy(self) -> int:
        """How many requests are being read or served, or have an unsent answer."""
        return sum(ingress.busy for ingress in self._ingresses)

    @property
    def is_idle(self) -> bool:
        """Whether a look finds no request."""
        try:
            return not any(each.unread or each.busy for each in self._ingresses)
        except Exception as error:
            self._log.error("stop_step_failed", step="look", error=error)
            return False

    async def wait_until_idle(
        self, earliest: float, latest: Callable[[], float]
    ) -> bool:
        """Wait until no request is left, from ``earliest`` to what ``latest`` returns.

        Returns whether none is left, right after the last look, so that what is done
        next meets what it saw.
        """
        loop = asyncio.get_running_loop()
        idle_polls = 0
        while loop.time() < latest():
            is_idle = loop.time() >= earliest and self.is_idle
            idle_polls = idle_polls + 1 if is_idle else 0
            if idle_polls == IDLE_POLLS:
                return True
            await asyncio.sleep(IDLE_POLL_SECONDS)
        return False

    def record_end(self, unanswered: int) -> None:
        """Log what is left as the connections are closed.

        A close resets a connection with unread bytes, and its caller may lose an answer
        that was sent before.
        """
        self._log.info(
            "gateway_stopped",
            busy=self.busy,
            unanswered=unanswered,
            unread=sum(ingress.unread for ingress in self._ingresses),
            unsent=sum(ingress.unsent for ingress in self._ingresses),
            lag=self._lag.timer_seconds,
            turn=self._lag.turn_seconds,
        )

"""The graceful stop of the gateway: what it does from a signal to its end."""

import asyncio
from collections.abc import Callable, Sequence

from cranberrywick.gateway.drain import Drain
from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.last_phase import LastPhase
from cranberrywick.gateway.loop_lag import LoopLag
from cranberrywick.gateway.peer_requests import PeerRequests
from cranberrywick.gateway.reservations import wait_for_releases
from cranberrywick.gateway.served_requests import IDLE_POLL_SECONDS, ServedRequests
from cranberrywick.gateway.state import FleetState
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.gateway.waiting import WaitingRequests
from cranberrywick.logs import EventLog
from cranberrywick.routing.directory import ANSWER_SECONDS
from cranberrywick.routing.drain_window import DrainWindow, SignalMoment

__all__ = ["GracefulStop"]

# Shortest time for which a stopping daemon goes on serving, in seconds. Some callers
# use an answer of the directory three times as long as it says, and some are just
# connecting.
LEAVE_SECONDS = 3 * ANSWER_SECONDS + 0.2
# Longest time for answers of the daemon itself, for what the kernel takes of unsent
# answers, and for releases of memory at endpoints, once the connections are closed, in
# seconds.
CLOSE_SECONDS = 0.1
# Most turns of the event loop in which a connection that was accepted is read, and a
# request that was given up gets its error.
SETTLE_TURNS = 8
# Longest time in which the last requests without an answer get an error, in seconds.
REST_SECONDS = 0.05


class GracefulStop:
    """Lets a daemon end within the grace period, with an answer to each request.

    ``ingress`` has the requests of callers, ``peer_requests`` those of peers, and
    ``internal`` are the ingresses whose requests the daemon answers itself.

    >>> stop = GracefulStop(state, ingress, peer_requests, internal, drain, waiting,
    ...                     lag, ticker, log)
    >>> await stop.run(signalled, grace_seconds=8.0)
    """

    def __init__(
        self,
        state: FleetState,
        ingress: Ingress,
        peer_requests: PeerRequests,
        internal: Sequence[Ingress],
        drain: Drain,
        waiting: WaitingRequests,
        lag: LoopLag,
        ticker: Ticker,
        log: EventLog,
    ):
        self._state = state
        self._served = (ingress, peer_requests.ingress)
        self._refusers = ((ingress, drain), (peer_requests.ingress, peer_requests))
        self._requests = ServedRequests(self._served, lag, log)
        self._internal = internal
        self._drain = drain
        self._waiting = waiting
        self._lag = lag
        self._ticker = ticker
        self._log = log

    async def run(self, signalled: SignalMoment, grace_seconds: float) -> None:
        """Leave the directory, serve until no request is left, and close.

        A request that can't be finished within the grace period is refused as soon as
        that is known; the others are answered by its end, if only with an error.
        """
        window = DrainWindow.of_grace(signalled, grace_seconds)
        earliest = signalled.latest + LEAVE_SECONDS
        phase = LastPhase(self._refusers, self._lag, window, self._step, self._log)
        self._step(self._begin_drain, signalled, window)
        unanswered = await self._serve_rest(earliest, phase)
        # What was accepted before is read and served; nothing new comes.
        for ingress in self._served:
            self._step(ingress.stop_listening)
        await self._settle(phase)
        unanswered = max(unanswered, await self._serve_rest(earliest, phase))
        # From the last look on nothing else runs until all connections are closed, or
        # nothing more is read from them.
        self._step(phase.refuse_rest)
        if self._requests.busy:
            await self._answer_rest()
            await self._serve_begun(window.cut_at)
        self._step(self._requests.record_end, unanswered)
        await self._close()

    async def _settle(self, phase: LastPhase) -> None:
        """Let what was accepted be read, and what was given up be answered.

        Else these turns only bring more of the answers that run, and are left out if
        the process would be killed for them.
        """
        for _ in range(SETTLE_TURNS):
            is_needed = phase.is_refusing or any(
                each.accepting or each.unanswered for each in self._served
            )
            if not is_needed and not phase.has_turn:
                break
            await asyncio.sleep(0)

    async def _serve_rest(self, earliest: float, phase: LastPhase) -> int:
        """Serve until no request is left, or until connections have to be closed.

        Returns how many requests had no answer when the time for it was over.
        """
        if await self._requests.wait_until_idle(earliest, phase.refuse_from):
            return 0
        phase.end_intake()
        if await self._requests.wait_until_idle(
            earliest, lambda: phase.answer_by(self._drain.unanswered)
        ):
            return 0
        unanswered = self._drain.unanswered
        self._give_up_unanswered()
        await self._requests.wait_until_idle(earliest, phase.close_at)
        return unanswered

    def _step(self, step: Callable[..., object], *arguments: object) -> None:
        """Take a step of the stop; one that fails doesn't keep the others from theirs.

        Without the rest of the stop, requests that have nothing to do with the failure
        would be dropped.
        """
        try:
            step(*arguments)
        except Exception as error:
            self._log.error("stop_step_failed", step=step.__qualname__, error=error)

    def _begin_drain(self, signalled: SignalMoment, window: DrainWindow) -> None:
        """Refuse what can't be finished, and let no more callers come."""
        self._step(self._drain.begin, window)
        self._step(self._waiting.begin_drain)
        for ingress in (*self._served, *self._internal):
            self._step(ingress.drain)
        self._step(self._state.leave)
        now = asyncio.get_running_loop().time()
        self._log.info(
            "drain_started",
            busy=self._requests.busy,
            waiting=len(self._waiting),
            grace=window.close_at - now,
            uncertain=signalled.latest - signalled.earliest,
            delay=now - signalled.latest,
            lag=self._lag.timer_seconds,
            turn=self._lag.turn_seconds,
        )

    def _give_up_unanswered(self) -> None:
        """End the requests whose answers have not begun, and refuse half read ones."""
        self._step(self._state.end_start)
        self._step(self._drain.end_unanswered)
        for ingress, requests in self._refusers:
            self._step(ingress.refuse_unread, requests.refuse_unread)

    async def _answer_rest(self) -> None:
        """Answer what has been read, if only with an error; read nothing more."""
        loop = asyncio.get_running_loop()
        latest = loop.time() + REST_SECONDS
        for ingress in self._served:
            self._step(ingress.stop_reading)
        self._give_up_unanswered()
        while loop.time() < latest and any(each.unanswered for each in self._served):
            await asyncio.sleep(REST_SECONDS / 10)

    async def _serve_begun(self, latest: float) -> None:
        """Go on with the answers that have begun; close all other connections."""
        loop = asyncio.get_running_loop()
        seconds = latest - loop.time()
        if seconds > 0:
            self._log.info("drain_prolonged", busy=self._requests.busy, seconds=seconds)
        while loop.time() < latest and self._requests.busy:
            for ingress in self._served:
                self._step(ingress.close)
            await asyncio.sleep(IDLE_POLL_SECONDS)

    async def _hand_over_unsent(self) -> None:
        """Wait until the kernel has what callers haven't read, if it has room for it.

        What is left in this process is lost with it.
        """
        loop = asyncio.get_running_loop()
        latest = loop.time() + CLOSE_SECONDS
        while loop.time() < latest and any(each.unsent for each in self._served):
            await asyncio.sleep(CLOSE_SECONDS / 10)

    async def _close(self) -> None:
        """Close the connections, and end all that outlives a request.

        Requests that are left are cancelled here and not by the end of the event loop,
        so that the memory that they have reserved at endpoints is released.
        """
        for ingress in (*self._served, *self._internal):
            self._step(ingress.close)
        tasks = [task for ingress in self._served for task in ingress.tasks]
        for task in tasks:
            task.cancel()
        tasks += [task for ingress in self._internal for task in ingress.tasks]
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_SECONDS)
        await self._hand_over_unsent()
        await wait_for_releases(CLOSE_SECONDS)
        self._step(self._state.reach.stop)
        self._step(self._ticker.stop)
        self._step(self._state.peer_updates.link.close)

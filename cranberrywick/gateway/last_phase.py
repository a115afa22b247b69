"""When a stopping daemon takes in no more requests, and gives up those that it has.

The moments of its window hold for an event loop that is in time. One that lags begins
earlier, by its lag and by the time that it needs for what is there. Once the intake has
ended, nothing is read any more that would have to be answered: listeners are closed,
what has come is refused, and idle connections are closed. Answers go on.
"""

import asyncio
from collections.abc import Callable, Sequence
from math import inf
from typing import Protocol

from cranberrywick.gateway.caller_connection import RefuseUnread
from cranberrywick.gateway.ingress import Ingress
from cranberrywick.gateway.loop_lag import LoopLag
from cranberrywick.gateway.turn_limit import EVENTS_PER_TURN
from cranberrywick.logs import EventLog
from cranberrywick.routing.drain_window import (
    ANSWER_MARGIN_SECONDS,
    STOP_MARGIN_SECONDS,
    DrainWindow,
)

__all__ = ["LastPhase"]

# Longest time by which the end of the window is brought forward, in seconds.
MAX_EARLIER_SECONDS = 2.0
# Lag for which the window leaves time anyway, in seconds.
COVERED_SECONDS = ANSWER_MARGIN_SECONDS / 2
# Turns of the event loop from the close of the connections to the end of the process,
# and the time that they may take, in seconds.
CLOSE_TURNS = 4
CLOSE_SECONDS = STOP_MARGIN_SECONDS * 3 / 4
# Connections that are refused or closed in one turn of the event loop, so that answers
# go on. That takes no longer than to serve half as many requests.
STEPS_PER_TURN = 2 * EVENTS_PER_TURN

Step = Callable[[], None]


class Refuser(Protocol):
    """What refuses the requests of one ingress."""

    refuse_late: RefuseUnread


class LastPhase:
    """The moments of the end, by the lag of the event loop so far.

    ``refusers`` has each ingress with what refuses its requests; ``take`` calls a step,
    and is to go on if that fails.

    >>> phase = LastPhase(((ingress, drain),), lag, window, take, log)
    >>> phase.refuse_from(), phase.answer_by(unanswered=3)
    (107.2, 107.35)
    """

    def __init__(
        self,
        refusers: Sequence[tuple[Ingress, Refuser]],
        lag: LoopLag,
        window: DrainWindow,
        take: Callable[[Step], None],
        log: EventLog,
    ):
        self._refusers = refusers
        self._lag = lag
        self._window = window
        self._take = take
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._has_ended = False
        self._is_refusing = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_refusing(self) -> bool:
        """Whether the end of the intake has begun and is not over."""
        return self._is_refusing

    @property
    def has_turn(self) -> bool:
        """Whether the process can end in time if the loop takes one more turn."""
        needed = (CLOSE_TURNS + 1) * self._lag.expected_turn_seconds
        return self._loop.time() + needed < self._window.close_at + CLOSE_SECONDS

    def refuse_from(self) -> float:
        """Return when the intake ends; from then on all that is read is refused.

        The moment is that of this call's knowledge, and the past once it is over.
        """
        if self._has_ended:
            return -inf
        ingresses = [ingress for ingress, _ in self._refusers]
        connections = sum(len(each.connections) + each.waiting for each in ingresses)
        moment = self._window.answer_by - self._needed(connections / STEPS_PER_TURN)
        for ingress, refuser in self._refusers:
            ingress.refuse_from(moment, refuser.refuse_late, self.end_intake)
        # A task that waits for the moment would go on a turn later.
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(moment, self.end_intake)
        return moment

    def answer_by(self, unanswered: int) -> float:
        """Return when the requests without an answer get an error."""
        return self._window.answer_by - self._needed(unanswered / EVENTS_PER_TURN)

    def close_at(self) -> float:
        """Return when the connections are closed, with the answers that run."""
        return self._window.close_at

    def _needed(self, turns: float) -> float:
        """Return for how much longer than foreseen so many turns of the loop take."""
        turn = self._lag.expected_turn_seconds
        needed = self._lag.expected_timer_seconds + turns * turn
        return min(max(0.0, needed - COVERED_SECONDS), MAX_EARLIER_SECONDS)

    def end_intake(self) -> None:
        """Take nothing more in, from the next turn of the event loop on."""
        if not self._has_ended:
            self._has_ended = self._is_refusing = True
            self._loop.call_soon(self._end_intake)

    def refuse_rest(self) -> None:
        """Refuse what has come since the last look, and close what is idle.

        Each connection is read right before it is closed: the process may not have run
        for a time since it looked.
        """
        self._has_ended = True
        for step in self._refusal_steps():
            self._take(step)

    def _refusal_steps(self) -> list[Step]:
        for ingress, refuser in self._refusers:
            ingress.refuse_from(-inf, refuser.refuse_late, self.end_intake)
        return [
            step for ingress, _ in self._refusers for step in ingress.intake_steps()
        ]

    def _end_intake(self) -> None:
        for ingress, _ in self._refusers:
            # Those who are refused come back while the listeners are open.
            self._take(ingress.accept_waiting)
            self._take(ingress.stop_listening)
        steps = self._refusal_steps()
        self._log.info(
            "intake_ended",
            connections=len(steps),
            early=self._window.answer_by - self._loop.time(),
            lag=self._lag.expected_timer_seconds,
            turn=self._lag.expected_turn_seconds,
        )
        self._take_some(steps)

    def _take_some(self, steps: list[Step]) -> None:
        for step in steps[:STEPS_PER_TURN]:
            self._take(step)
        self._is_refusing = len(steps) > STEPS_PER_TURN
        if self._is_refusing:
            self._loop.call_soon(self._take_some, steps[STEPS_PER_TURN:])

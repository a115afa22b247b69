"""When a stopping daemon expects the answers of requests to end.

Load pattern: a daemon that will end in some seconds gets requests that take from a
fraction of a second to minutes. What can't be whole in time is refused at once, while
its caller can still go elsewhere; the end of what is sent is sure in another way, see
`cranberrywick.gateway.drain`.
"""

from math import inf
from typing import NamedTuple

from cranberrywick.gateway.exchange import Exchange
from cranberrywick.gateway.state import FleetState
from cranberrywick.routing.demand import (
    Demand,
    declared_pace,
    min_first_event_seconds,
)
from cranberrywick.routing.fleet_answers import (
    NO_READING,
    FinishForecast,
    PromptReading,
)

__all__ = ["AnswerForecasts", "ExpectedAnswer"]


class ExpectedAnswer(NamedTuple):
    """When an answer is expected to end, and whether it is withheld until then."""

    forecast: FinishForecast
    is_withheld: bool

    def log_fields(self, demand: Demand) -> dict[str, object]:
        """Return what a decision about a request was made from."""
        forecast = self.forecast
        return {
            "needed": forecast.seconds,
            "withheld": self.is_withheld,
            "first_event": forecast.first_event,
            "events": forecast.events,
            "pace": forecast.pace,
            "overrun": forecast.overrun,
            "basis": forecast.basis,
            "answers_known": forecast.answers,
            "output_tokens": demand.answer.tokens,
            "hint": demand.answer.hint,
        }


class AnswerForecasts:
    """Forecasts of answers from what this daemon and its peers know.

    >>> forecasts = AnswerForecasts(state)
    >>> first_event, pace = forecasts.least(demand, now)
    >>> forecasts.forecast(demand, first_event, pace, now).seconds
    0.38
    """

    def __init__(self, state: FleetState):
        self._state = state

    def record_prompt(self, exchange: Exchange, now: float) -> None:
        """Record the prompt of a request, which its engine will read."""
        prompt, service = exchange.meta.prompt, exchange.service
        if prompt is not None and service is not None and service.engine:
            self._state.peer_updates.answers.record_prompt(
                service.name, prompt.prompt_tokens, now
            )

    def forecast(
        self,
        demand: Demand,
        first_event: float,
        pace: float,
        now: float,
        unknown_seconds: float = inf,
        is_late: bool = False,
    ) -> FinishForecast:
        """Return when an answer has ended; see `FleetAnswers.forecast`.

        A late stream may be held up by the longest prompt lately. An early one has time
        enough for that.
        """
        engine = demand.service.engine
        return self._state.peer_updates.answers.forecast(
            demand.answer,
            demand.service.name,
            engine.stride if engine else 0,
            first_event,
            pace,
            now,
            unknown_seconds,
            self._reading(demand, now) if is_late else NO_READING,
        )

    def least(self, demand: Demand, now: float) -> tuple[float, float]:
        """Return the least time to a first event, and the pace, if endpoints idle."""
        service = demand.service
        endpoints = len(self._state.usable_endpoints.ready(service.name))
        pace = self._state.peer_updates.answers.least_pace(service.name, now)
        first_event = min_first_event_seconds(demand, endpoints)
        return first_event, pace or declared_pace(demand)

    def pace(self, demand: Demand, endpoint_id: str, now: float) -> float:
        """Return the seconds between the events of an answer at an endpoint."""
        updates = self._state.peer_updates
        engine = demand.service.engine
        own = updates.answers.paces.at(endpoint_id, now)
        pace = updates.answers.pace(endpoint_id, demand.service.name, now)
        if pace is None:
            pace = declared_pace(demand)
        if engine is not None:
            # What was seen longer ago counts only where there is nothing newer.
            is_old = own is None
            slowdown = updates.slowdowns.slowdown(endpoint_id, now, is_long=is_old)
            pace = max(pace, slowdown * engine.stride * engine.step_seconds)
        return pace

    def _reading(self, demand: Demand, now: float) -> PromptReading:
        """Return what a prompt costs a stream that its engine reads meanwhile."""
        engine = demand.service.engine
        if engine is None:
            return NO_READING
        service = demand.service.name
        tokens = self._state.peer_updates.answers.longest_prompt(service, now)
        for tracked in self._state.usable_endpoints.ready(service):
            jobs = self._state.load.at(tracked.endpoint_id)
            tokens = max([tokens, *(job.held_tokens for job in jobs)])
        return PromptReading.of_prompt(engine, tokens)

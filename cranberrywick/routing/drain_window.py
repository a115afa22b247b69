"""What a stopping daemon can still serve in the time that it has left.

Load pattern: a daemon is told to stop while requests wait in it for room at the
endpoints. Some of them get their turn before its end, and others can't; those are
refused as soon as that is known, while their callers can still go to another daemon.
"""

from collections import deque
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from cranberrywick.routing.admission_forecast import forecast_slot, is_unservable
from cranberrywick.routing.demand import Demand
from cranberrywick.routing.endpoint_index import EndpointPool
from cranberrywick.routing.engine_model import forecast
from cranberrywick.routing.load import FleetLoad
from cranberrywick.routing.model import EngineProfile

__all__ = [
    "AnswerTimes",
    "DrainWindow",
    "finish_seconds",
    "gets_no_turn",
    "seconds_until_room",
]

# Part of the time allowed for a stop that is left for closing, in seconds.
STOP_MARGIN_SECONDS = 0.4
# How long before the connections are closed the last requests without an answer get
# an error, in seconds, so that hundreds of them can be written.
ANSWER_MARGIN_SECONDS = 0.25
# Time that a request takes in this daemon itself, in seconds.
OVERHEAD_SECONDS = 0.05
# Factor by which an answer may take longer than usual and still be whole.
ANSWER_SLACK = 1.1
# The usual time of an answer while none is known, in seconds.
UNKNOWN_ANSWER_SECONDS = 0.2
# Number of answers of a route, and of a service, from which times are estimated.
RECENT_ANSWERS = 16
# The share of them that took no longer than the usual time.
USUAL_QUANTILE = 0.9
# Largest number of routes or services whose answers are kept. The one that has been
# without an answer for longest is forgotten first.
MAX_NAMES = 500


class DrainWindow(NamedTuple):
    """When a stopping daemon ends; moments of the event loop's clock.

    By ``answer_by`` every request has its answer, or an error in its place, and at
    ``close_at`` the connections are closed.

    >>> DrainWindow.of_grace(100.0, grace_seconds=8.0)
    DrainWindow(answer_by=107.35, close_at=107.6)
    """

    answer_by: float
    close_at: float

    @classmethod
    def of_grace(cls, signalled_at: float, grace_seconds: float) -> "DrainWindow":
        """Return the window of a daemon that is killed after ``grace_seconds``."""
        close_at = signalled_at + max(0.0, grace_seconds - STOP_MARGIN_SECONDS)
        return cls(max(signalled_at, close_at - ANSWER_MARGIN_SECONDS), close_at)


class AnswerTimes:
    """How long answers take, from the last ones of each route and service.

    >>> times = AnswerTimes()
    >>> times.record("grant-lookup", "desk", answer_seconds=0.2, held_seconds=0.2)
    >>> times.usual("grant-lookup")
    0.2
    """

    def __init__(self) -> None:
        self._answers_by_route: dict[str, deque[float]] = {}
        self._held_by_service: dict[str, deque[float]] = {}

    def record(
        self, route: str, service: str, answer_seconds: float, held_seconds: float
    ) -> None:
        """Record an answer.

        ``held_seconds`` is the time from the send to the answer's end.
        ``answer_seconds`` is the same for a call, and the time from the first event to
        the end for a prompt.
        """
        _append(self._answers_by_route, route, answer_seconds)
        _append(self._held_by_service, service, held_seconds)

    def usual(self, route: str) -> float:
        """Return the seconds that most answers of a route take."""
        answers = sorted(self._answers_by_route.get(route, ()))
        if not answers:
            return UNKNOWN_ANSWER_SECONDS
        return answers[ceil(USUAL_QUANTILE * len(answers)) - 1]

    def count(self, route: str) -> int:
        """Return how many answers of a route are known."""
        return len(self._answers_by_route.get(route, ()))

    def mean_held(self, service: str) -> float:
        """Return the mean time from send to end in seconds; 0 if none is known."""
        held = self._held_by_service.get(service)
        return sum(held) / len(held) if held else 0.0


def _append(times_by_name: dict[str, deque[float]], name: str, seconds: float) -> None:
    times = times_by_name.pop(name, None)
    if times is None:
        times = deque(maxlen=RECENT_ANSWERS)
        if len(times_by_name) >= MAX_NAMES:
            del times_by_name[next(iter(times_by_name))]
    times.append(seconds)
    times_by_name[name] = times


def finish_seconds(demand: Demand, first_event_seconds: float) -> float:
    """Return how long a request that is placed now takes to its end, in seconds.

    ``first_event_seconds`` is the time until its first event.
    """
    answer_seconds = ANSWER_SLACK * demand.answer_seconds
    return first_event_seconds + answer_seconds + OVERHEAD_SECONDS


def gets_no_turn(
    demand: Demand,
    ahead: int,
    endpoints: EndpointPool,
    load: FleetLoad,
    mean_held: float,
    last_start: float,
    now: float,
) -> bool:
    """Whether a waiting request can't be placed by ``last_start``, as far as known.

    ``ahead`` is how many requests for the service are before it in this daemon's queue,
    ``mean_held`` the mean time in seconds for which one holds its slot.
    """
    left = last_start - now
    if left <= 0 or seconds_until_room(demand, endpoints, load, now) > left:
        return True
    taken = sum(
        not job.helper for tracked in endpoints for job in load.at(tracked.endpoint_id)
    )
    if taken < sum(tracked.record.slots for tracked in endpoints):
        return False  # It waits for something else, such as memory.
    slot = forecast_slot(ahead, taken, mean_held)
    return slot is not None and is_unservable(slot, left, 0.0)


def seconds_until_room(
    demand: Demand, endpoints: Iterable, load: FleetLoad, now: float
) -> float:
    """Return the least time in seconds until endpoints have memory for a request.

    Prompts that are being decoded may free theirs at any moment, others not before
    their prefill is over. It is 0 for a request without a prompt, and where the
    endpoints are too few, since others may still become usable.
    """
    engine, prompt = demand.service.engine, demand.prompt
    if engine is None or prompt is None:
        return 0.0
    holders = ceil(prompt.total / engine.memory_tokens)
    least = prompt.total - ceil(prompt.total / holders) * (holders - 1)
    waits = sorted(
        _seconds_until_free(engine, least, load, tracked.endpoint_id, now)
        for tracked in endpoints
        if tracked.endpoint_id not in demand.tried_ids
    )
    return waits[holders - 1] if len(waits) >= holders else 0.0


def _seconds_until_free(
    engine: EngineProfile, tokens: int, load: FleetLoad, endpoint_id: str, now: float
) -> float:
    jobs = load.at(endpoint_id)
    pending = forecast(engine, jobs, now).pending
    free = engine.memory_tokens - sum(each.job.held_tokens for each in pending)
    wait = 0.0
    for job, ready_in in pending:
        if free >= tokens:
            break
        free += job.held_tokens
        wait = ready_in
    return wait

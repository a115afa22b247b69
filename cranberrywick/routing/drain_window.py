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
    "DrainWindow",
    "HeldTimes",
    "SignalMoment",
    "gets_no_turn",
    "seconds_until_room",
]

# Part of the time allowed for a stop that is left for closing, in seconds.
STOP_MARGIN_SECONDS = 0.4
# How long before the connections are closed the last requests without an answer get
# an error, in seconds, so that hundreds of them can be written.
ANSWER_MARGIN_SECONDS = 0.25
# For how long after the signal a stream is forwarded event by event if it is expected
# to end in time, in seconds. What is sent later may not be cut in the last sixth.
EARLY_SECONDS = 3.0
# Part of the time allowed for a stop after which an answer that has begun may be cut.
CUT_SHARE = 5 / 6
# By how much earlier requests are late than they have to be, in seconds: an order to
# stop may take that long from the operator to the process.
LATE_MARGIN_SECONDS = 0.5
# Longest time between the moment at which a signal counts as sent and that at which the
# process sees it, in seconds: for the way of an order to the VM and back.
SIGNAL_DELAY_SECONDS = 0.05
# Number of requests of a service from which the time that they hold a slot is known.
RECENT_REQUESTS = 16
# Largest number of services of which it is kept. The one that has been without a
# request for longest is forgotten first.
MAX_SERVICES = 500


class SignalMoment(NamedTuple):
    """Between which moments of the event loop's clock a signal came.

    A process that was suspended, or not scheduled, can't know it more closely.
    """

    earliest: float
    latest: float


class DrainWindow(NamedTuple):
    """When a stopping daemon ends; moments of the event loop's clock.

    By ``answer_by`` every request has its answer, or an error in its place, and at
    ``close_at`` the connections are closed, but for those with an answer that has
    begun: that is cut at ``cut_at``. From ``late_from`` on no answer is begun that only
    a forecast says will end by ``close_at``. ``signalled_at`` is the earliest moment
    of the signal.

    >>> window = DrainWindow.of_grace(SignalMoment(98.0, 100.0), grace_seconds=6.0)
    >>> window.answer_by, window.close_at, window.late_from, window.cut_at
    (103.35, 103.6, 100.5, 105.05)
    """

    answer_by: float
    close_at: float
    late_from: float = float("inf")
    cut_at: float = float("inf")
    signalled_at: float = float("-inf")

    @classmethod
    def of_grace(cls, signalled: SignalMoment, grace_seconds: float) -> "DrainWindow":
        """Return the window of a daemon that is killed after ``grace_seconds``.

        What must not come too late counts from the earliest moment of the signal, and a
        cut, which must not come too early, from the latest one. The process may be
        killed before that, which cuts the same answers, and later.
        """
        earliest, latest = signalled
        close_at = earliest + max(0.0, grace_seconds - STOP_MARGIN_SECONDS)
        answer_by = max(earliest, close_at - ANSWER_MARGIN_SECONDS)
        late_from = earliest + EARLY_SECONDS - LATE_MARGIN_SECONDS
        cut_at = latest + grace_seconds * CUT_SHARE + SIGNAL_DELAY_SECONDS
        return cls(answer_by, close_at, late_from, max(close_at, cut_at), earliest)


class HeldTimes:
    """How long requests hold their slots, from the last ones of each service.

    >>> times = HeldTimes()
    >>> times.record("desk", 0.2)
    >>> times.mean("desk")
    0.2
    """

    def __init__(self) -> None:
        self._held_by_service: dict[str, deque[float]] = {}

    def record(self, service: str, seconds: float) -> None:
        """Record the time from a request's send to the end of its answer."""
        held = self._held_by_service.pop(service, None)
        if held is None:
            held = deque(maxlen=RECENT_REQUESTS)
            if len(self._held_by_service) >= MAX_SERVICES:
                del self._held_by_service[next(iter(self._held_by_service))]
        held.append(seconds)
        self._held_by_service[service] = held

    def mean(self, service: str) -> float:
        """Return the mean time in seconds; 0 if none is known."""
        held = self._held_by_service.get(service)
        return sum(held) / len(held) if held else 0.0


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

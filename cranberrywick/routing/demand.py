"""The requirements of a request, and whether the endpoints could ever meet them."""

from math import ceil, inf
from operator import attrgetter
from typing import NamedTuple

from cranberrywick.routing.answer_lengths import AnswerOutline
from cranberrywick.routing.endpoint_index import EndpointPool
from cranberrywick.routing.engine_model import prefill_time
from cranberrywick.routing.model import PromptSize, Service
from cranberrywick.routing.request_traits import RequestTraits

__all__ = [
    "PART_CHOICES",
    "Demand",
    "fits_fleet",
    "may_answer",
    "declared_pace",
    "min_first_event_seconds",
    "seconds_until_fits",
]

# The numbers of parts into which a prompt may be divided. An endpoint accepts at most
# 16 helpers.
PART_CHOICES = (1, 2, 3, 4, 6, 8, 12, 16)


class Demand(NamedTuple):
    """The requirements of a request that its placement has to meet.

    ``prompt`` is None for a request without one. ``target_seconds`` is the target for
    the first event, ``due_at`` the latest time at which that is on time, and
    ``gap_seconds`` the longest pause between events that is on time.
    ``failure_domain`` is that of the daemon. ``tried_ids`` are the endpoints that have
    failed the request. Only those in ``answering_ids`` may answer it, though others may
    help; None allows all. It waits up to ``longest_wait`` seconds for the permit that
    an endpoint with a rate limit requires, or for the end of a backoff.
    ``answer`` is what is known of its answer. The request's own time is over at its
    ``deadline`` if that has not begun then, else at ``expires_at``, and ``cut_at`` is
    when the daemon that forwarded it here ends; infinity if it doesn't.
    ``is_retry`` says that it had a placement before.
    ``organisation`` is the name of the one that sent it, empty if there is none.
    ``request_id`` is unique in the daemon, ``logged_id`` the id in the caller's header.
    ``traits`` are what the request has in common with others.
    """

    request_id: str
    service: Service
    prompt: PromptSize | None
    target_seconds: float
    due_at: float
    gap_seconds: float
    failure_domain: str
    tried_ids: frozenset[str] = frozenset()
    answering_ids: frozenset[str] | None = None
    longest_wait: float = 0.0
    organisation: str = ""
    is_retry: bool = False
    logged_id: str = ""
    traits: RequestTraits | None = None
    answer: AnswerOutline = AnswerOutline()
    deadline: float = inf
    expires_at: float = inf
    cut_at: float = inf


def may_answer(demand: Demand, endpoint_id: str) -> bool:
    """Whether the request allows an endpoint to answer it, and not only to help."""
    return demand.answering_ids is None or endpoint_id in demand.answering_ids


def fits_fleet(demand: Demand, usable: EndpointPool) -> bool:
    """Whether these endpoints could hold the request if they had no other jobs.

    A request that does not fit won't fit later either, so it is refused at once.
    """
    tried = sum(usable.get(endpoint_id) is not None for endpoint_id in demand.tried_ids)
    untried = len(usable) - tried
    if untried <= 0 or not _has_answering_endpoint(demand, usable):
        return False
    engine = demand.service.engine
    if engine is None or demand.prompt is None:
        return True
    holders = ceil(demand.prompt.total / engine.memory_tokens)
    return holders <= min(untried, PART_CHOICES[-1])


def seconds_until_fits(
    demand: Demand, usable: EndpointPool, backing_off: EndpointPool, now: float
) -> float | None:
    """Return in how many seconds enough backoffs have ended to hold the request.

    Return None if all of these endpoints together could not hold it either.
    """
    if not fits_fleet(demand, EndpointPool.of([*usable, *backing_off])):
        return None
    available = list(usable)
    for tracked in sorted(backing_off, key=attrgetter("backoff_until")):
        available.append(tracked)
        if fits_fleet(demand, EndpointPool.of(available)):
            return max(0.0, tracked.backoff_until - now)
    return None


def min_first_event_seconds(demand: Demand, endpoints: int = PART_CHOICES[-1]) -> float:
    """Return the shortest time to the first event, in seconds, at idle ``endpoints``.

    It is 0 for a request without a prompt.
    """
    engine = demand.service.engine
    if engine is None or demand.prompt is None:
        return 0.0
    parts = max(1, min(endpoints, PART_CHOICES[-1]))
    return prefill_time(engine, demand.prompt.prompt_tokens, parts)


def declared_pace(demand: Demand) -> float:
    """Return the seconds between events at an engine that is full, as it declares."""
    engine = demand.service.engine
    if engine is None:
        return demand.gap_seconds
    jobs = engine.slots * engine.writer_seconds
    context = engine.memory_tokens * engine.context_seconds
    return engine.stride * (engine.step_seconds + jobs + context)


def _has_answering_endpoint(demand: Demand, usable: EndpointPool) -> bool:
    if demand.answering_ids is None:
        return True
    untried_ids = demand.answering_ids - demand.tried_ids
    return any(usable.get(endpoint_id) is not None for endpoint_id in untried_ids)

"""Choice among endpoints with rate limits, and when to refuse a request.

Load pattern: some or all endpoints of a service state rate limits while callers send
more requests. A request that waits for a permit while another endpoint is idle is late
without need; one that waits for a permit which comes too late is refused seconds later
than necessary.
"""

from collections.abc import Iterable, Sequence

from cranberrywick.routing.candidates import Candidate, LimitWait
from cranberrywick.routing.demand import Demand, may_answer
from cranberrywick.routing.endpoint_index import TrackedEndpoint

__all__ = ["limited_seconds", "within_limits"]

# Longest wait for a permit, in seconds, while some endpoint has no wait.
SHORT_WAIT_SECONDS = 0.02
# If every endpoint has a wait, those whose wait exceeds the shortest one by at most
# this many seconds count as equally good.
SOON_SECONDS = 0.1


def within_limits(demand: Demand, candidates: Sequence[Candidate]) -> Demand | None:
    """Return the demand, restricted to endpoints whose limits allow the request.

    These are the ones without a wait or, if all have one, those with the shortest. The
    ``longest_wait`` of the result is how many seconds the request should wait for a
    permit there. Return None if every permit would come too late.
    """
    shortest = min(SHORT_WAIT_SECONDS, demand.longest_wait)
    if not any(each.limit_wait for each in candidates):
        return demand._replace(longest_wait=shortest)
    answering = [each for each in candidates if may_answer(demand, each.endpoint_id)]
    soonest = min((each.limit_wait for each in answering), default=0.0)
    if soonest > demand.longest_wait:
        return None
    latest = soonest + SOON_SECONDS if soonest else 0.0
    answering_ids = (
        each.endpoint_id for each in answering if each.limit_wait <= latest
    )
    return demand._replace(
        answering_ids=frozenset(answering_ids),
        longest_wait=demand.longest_wait if soonest else shortest,
    )


def limited_seconds(
    demand: Demand, usable: Iterable[TrackedEndpoint], limit_wait: LimitWait, now: float
) -> float | None:
    """Return in how many seconds the limits allow a request, if that is too late.

    Return None if some endpoint that may answer it has a wait that the request can
    afford, or none, or if there is no such endpoint at all.
    """
    waits = []
    for tracked in usable:
        endpoint_id = tracked.endpoint_id
        if endpoint_id in demand.tried_ids or not may_answer(demand, endpoint_id):
            continue
        wait = limit_wait(endpoint_id, now)
        if wait <= demand.longest_wait:
            return None
        waits.append(wait)
    return min(waits, default=None)

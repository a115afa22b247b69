"""Which endpoints with rate limits a request goes to, and when it is refused.

Load pattern: some or all endpoints of a service name rate limits while callers want
more. A request that waits for a permit while another endpoint is idle is late for
nothing; one that waits in vain for any of them is refused seconds too late.
"""

from collections.abc import Iterable, Sequence

from cranberrywick.routing.candidates import Candidate, LimitWait
from cranberrywick.routing.demand import Demand, may_answer
from cranberrywick.routing.endpoint_index import TrackedEndpoint

__all__ = ["limited_seconds", "within_limits"]

# While another endpoint may take a request at once, no permit is waited for longer.
SHORT_WAIT_SECONDS = 0.02
# Of endpoints that a request has to wait for, those within this of the soonest are
# equally good.
SOON_SECONDS = 0.1


def within_limits(demand: Demand, candidates: Sequence[Candidate]) -> Demand | None:
    """Return the request, to be answered only by endpoints whose limits allow it.

    Those that take it now go first, then those that take it soonest. Its
    ``longest_wait`` is how long it should wait for a permit there. None if every
    permit would come too late.
    """
    shortest = min(SHORT_WAIT_SECONDS, demand.longest_wait)
    if not any(each.limit_wait for each in candidates):
        return demand._replace(longest_wait=shortest)
    able = [each for each in candidates if may_answer(demand, each.endpoint_id)]
    soonest = min((each.limit_wait for each in able), default=0.0)
    if soonest > demand.longest_wait:
        return None
    latest = soonest + SOON_SECONDS if soonest else 0.0
    answering_ids = (each.endpoint_id for each in able if each.limit_wait <= latest)
    return demand._replace(
        answering_ids=frozenset(answering_ids),
        longest_wait=demand.longest_wait if soonest else shortest,
    )


def limited_seconds(
    demand: Demand, usable: Iterable[TrackedEndpoint], limit_wait: LimitWait, now: float
) -> float | None:
    """Return when limits let a request go, if they alone keep it back for too long.

    None where an endpoint may answer it that has no limit, or takes it in time.
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

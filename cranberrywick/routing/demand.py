"""What a request needs of the endpoints, and whether they could ever give it."""

from math import ceil
from typing import NamedTuple

from cranberrywick.routing.endpoint_index import EndpointPool
from cranberrywick.routing.engine_model import prefill_time
from cranberrywick.routing.model import PromptSize, Service

__all__ = ["PART_CHOICES", "Demand", "fits_fleet", "least_seconds", "may_answer"]

# Into how many parts a prompt may be divided. An endpoint takes at most 16 helpers.
PART_CHOICES = (1, 2, 3, 4, 6, 8, 12, 16)


class Demand(NamedTuple):
    """What a request needs of the decision.

    ``due_at`` is the moment until which its first event is on time. ``tried_ids``
    are the endpoints that have failed it, ``answering_ids`` the only ones that may
    answer it, if not any; others may still help. It waits up to ``longest_wait``
    seconds for a permit to be sent to an endpoint with a rate limit.
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


def may_answer(demand: Demand, endpoint_id: str) -> bool:
    """Whether an endpoint may be the one that answers."""
    return demand.answering_ids is None or endpoint_id in demand.answering_ids


def fits_fleet(demand: Demand, usable: EndpointPool) -> bool:
    """Whether these endpoints could hold the request if they had nothing else.

    What does not fit will not fit later either: its caller is told at once.
    """
    tried = sum(usable.get(endpoint_id) is not None for endpoint_id in demand.tried_ids)
    left = len(usable) - tried
    if left <= 0 or not _has_answering(demand, usable):
        return False
    engine = demand.service.engine
    if engine is None or demand.prompt is None:
        return True
    holders = ceil(demand.prompt.total / engine.memory_tokens)
    return holders <= min(left, PART_CHOICES[-1])


def least_seconds(demand: Demand) -> float:
    """Return how long a request takes at least, at endpoints that do nothing else."""
    engine = demand.service.engine
    if engine is None or demand.prompt is None:
        return 0.0
    return prefill_time(engine, demand.prompt.prompt_tokens, PART_CHOICES[-1])


def _has_answering(demand: Demand, usable: EndpointPool) -> bool:
    if demand.answering_ids is None:
        return True
    left_ids = demand.answering_ids - demand.tried_ids
    return any(usable.get(endpoint_id) is not None for endpoint_id in left_ids)

"""Baselines that the default strategy is compared with.

Both baselines serve in arrival order, queue every request until its deadline, and
ignore the length of prompts, as a general-purpose proxy does. The benchmarks run them
beside the default strategy so that figures from the same run can be compared.
"""

from collections import deque
from collections.abc import Mapping

from cranberrywick.decisions.strategy import Strategy, register_strategy
from cranberrywick.model import (
    ClassTargets,
    Endpoint,
    EndpointLoad,
    EndpointPhase,
    GiveUp,
    Queued,
    RefusalReason,
    Refused,
    Retry,
    Send,
    SendResult,
    Settled,
    Share,
    Work,
)

__all__ = ["ArrivalOrder", "LeastOutstanding", "RoundRobin"]

# Retry time, in seconds, for every refused caller: like a general-purpose proxy, a
# baseline does not estimate how fast its queue drains.
RETRY_AFTER_SECONDS = 1.0


class ArrivalOrder(Strategy):
    """Serves in arrival order; subclasses choose the endpoint in `_choose`."""

    def __init__(self, seed: int):
        super().__init__(seed)
        self._queue: deque[Work] = deque()
        self._work_by_id: dict[str, Work] = {}
        self._endpoint_by_work: dict[str, str] = {}
        self._outstanding_by_endpoint: dict[str, int] = {}
        self._endpoints_by_id: dict[str, Endpoint] = {}
        self._domains_out: frozenset[str] = frozenset()
        self._closed: set[str] = set()

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Queue the work regardless of the load."""
        self._queue.append(work)
        self._work_by_id[work.work_id] = work
        return Queued(work.work_id)

    def poll(self, now: float) -> list[Send | GiveUp]:
        """Send from the head of the queue while an endpoint has a free slot.

        Work at the head whose deadline has passed is given up.
        """
        actions: list[Send | GiveUp] = []
        while self._queue:
            work = self._queue[0]
            if work.work_id not in self._work_by_id:
                self._queue.popleft()
            elif now >= work.deadline:
                self._queue.popleft()
                actions.append(self._give_up(work))
            else:
                free = self._free_endpoints(work)
                if not free:
                    break
                self._queue.popleft()
                actions.append(self._send(work, self._choose(free)))
        return actions

    def _give_up(self, work: Work) -> GiveUp:
        del self._work_by_id[work.work_id]
        refused = Refused(
            work.work_id, RefusalReason.DEADLINE_PASSED, RETRY_AFTER_SECONDS
        )
        return GiveUp(refused)

    def _free_endpoints(self, work: Work) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._endpoints_by_id.values()
            if self._serves(endpoint, work)
            and self._outstanding_by_endpoint.get(endpoint.endpoint_id, 0)
            < endpoint.slots
        ]

    def _serves(self, endpoint: Endpoint, work: Work) -> bool:
        if endpoint.endpoint_id in self._closed:
            return False
        if endpoint.failure_domain in self._domains_out:
            return False
        if work.service is not None:
            return endpoint.service == work.service
        return work.model in endpoint.models

    def _choose(self, free: list[Endpoint]) -> Endpoint:
        raise NotImplementedError

    def _send(self, work: Work, endpoint: Endpoint) -> Send:
        count = self._outstanding_by_endpoint.get(endpoint.endpoint_id, 0)
        self._outstanding_by_endpoint[endpoint.endpoint_id] = count + 1
        self._endpoint_by_work[work.work_id] = endpoint.endpoint_id
        return Send(work.work_id, (endpoint.endpoint_id,))

    def next_wake(self, now: float) -> float | None:
        """Return the deadline of the head of the queue, or None if it is empty."""
        return self._queue[0].deadline if self._queue else None

    def first_token(self, work_id: str, now: float) -> None:
        """Do nothing: a baseline does not use first tokens."""

    def finished(
        self, work_id: str, result: SendResult, now: float
    ) -> Settled | Retry | Refused:
        """Release the slot and return `Settled`; a baseline never retries."""
        self.withdraw(work_id, now)
        return Settled(work_id)

    def withdraw(self, work_id: str, now: float) -> None:
        """Remove the work, queued or sent, and release its slot."""
        self._work_by_id.pop(work_id, None)
        endpoint_id = self._endpoint_by_work.pop(work_id, None)
        if endpoint_id is not None:
            self._outstanding_by_endpoint[endpoint_id] -= 1

    def set_endpoints(
        self, endpoints_by_id: Mapping[str, Endpoint], now: float
    ) -> None:
        """Replace the known endpoints."""
        self._endpoints_by_id = dict(endpoints_by_id)

    def set_targets(self, targets_by_class: Mapping[str, ClassTargets]) -> None:
        """Do nothing: a baseline has no targets."""

    def set_domains_out(self, domains: frozenset[str], now: float) -> None:
        """Replace the failure domains that take no new work."""
        self._domains_out = domains

    def set_shares(self, shares_by_endpoint: Mapping[str, Share], now: float) -> None:
        """Do nothing: a baseline does not coordinate with other daemons."""

    def report_load(self, load: EndpointLoad, now: float) -> None:
        """Stop sending to an endpoint while its reports say that it is leaving."""
        if load.phase in (EndpointPhase.LEAVING, EndpointPhase.GONE):
            self._closed.add(load.endpoint_id)
        else:
            self._closed.discard(load.endpoint_id)


@register_strategy("round-robin")
class RoundRobin(ArrivalOrder):
    """Serves in arrival order, each request at the next endpoint in order of id."""

    def __init__(self, seed: int):
        super().__init__(seed)
        self._last_endpoint = ""

    def _choose(self, free: list[Endpoint]) -> Endpoint:
        in_order = sorted(free, key=lambda endpoint: endpoint.endpoint_id)
        later = [e for e in in_order if e.endpoint_id > self._last_endpoint]
        chosen = later[0] if later else in_order[0]
        self._last_endpoint = chosen.endpoint_id
        return chosen


@register_strategy("least-outstanding")
class LeastOutstanding(ArrivalOrder):
    """Serves in arrival order at the endpoint with the fewest outstanding requests.

    Only the requests of this daemon are counted.
    """

    def _choose(self, free: list[Endpoint]) -> Endpoint:
        def outstanding(endpoint: Endpoint) -> tuple[int, str]:
            count = self._outstanding_by_endpoint.get(endpoint.endpoint_id, 0)
            return (count, endpoint.endpoint_id)

        return min(free, key=outstanding)

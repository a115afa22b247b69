"""The daemon's scheduler: the strategy, its lock and the waiting requests."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from math import ceil

from cranberrywick.decisions.leases import Usage
from cranberrywick.decisions.strategy import Strategy
from cranberrywick.model import (
    ClassTargets,
    Endpoint,
    EndpointLoad,
    GiveUp,
    Refused,
    Retry,
    Send,
    SendResult,
    Settled,
    Share,
    Work,
)

__all__ = ["Dispatcher", "Ticket"]

# Slots requested at every endpoint beyond those needed now, so that the next request
# finds a slot without waiting for a round trip to the steward.
SPARE_SLOTS = 1

# Shortest wait between two polls, in seconds. Without it a strategy whose next wake
# time has already passed would keep the thread in a busy loop.
MIN_POLL_INTERVAL_SECONDS = 0.005


class Ticket:
    """A queued request, on which the request's thread waits for a decision."""

    def __init__(self, work: Work):
        self.work = work
        self._decided = threading.Event()
        self._decision: Send | Refused | None = None

    def decide(self, decision: Send | Refused) -> None:
        """Set the decision and wake the waiting thread."""
        self._decision = decision
        self._decided.set()

    def wait(self, seconds: float) -> Send | Refused | None:
        """Wait at most ``seconds`` and return the decision, or None without one."""
        if not self._decided.wait(max(0.0, seconds)):
            return None
        return self._decision

    @property
    def is_decided(self) -> bool:
        """Whether a decision has been made since the last `reset`."""
        return self._decided.is_set()

    def reset(self) -> None:
        """Clear the last decision, before another attempt."""
        self._decided.clear()
        self._decision = None


class Dispatcher:
    """Serialises access to a `Strategy` and wakes requests when it decides.

    Every public method holds the lock for the length of one decision and makes no
    network call meanwhile. ``demand_rose`` is called, without the lock, when a
    request has to wait for a slot.
    """

    def __init__(
        self,
        strategy: Strategy,
        demand_rose: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._demand_rose = demand_rose
        self._strategy = strategy
        self._clock = clock
        self._lock = threading.Lock()
        self._tickets_by_work: dict[str, Ticket] = {}
        self._endpoint_by_work: dict[str, str] = {}
        self._completed_by_endpoint: Counter[str] = Counter()
        self._endpoint_ids: tuple[str, ...] = ()
        self._poll_needed = threading.Condition(self._lock)
        self._stopped = False
        self._thread = threading.Thread(
            target=self._poll_when_due, name="dispatcher", daemon=True
        )

    def start(self) -> None:
        """Start the thread that polls the strategy when nothing else happens."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling; requests that still wait keep their own deadlines."""
        with self._lock:
            self._stopped = True
            self._poll_needed.notify()
        self._thread.join()

    @property
    def request_ids(self) -> frozenset[str]:
        """The requests that are queued or sent now."""
        with self._lock:
            return frozenset(self._tickets_by_work)

    def usage(self) -> dict[str, Usage]:
        """Return this daemon's use of each endpoint and its demand, for the stewards.

        A queued request needs one slot at any endpoint that serves it. The number of
        queued requests is therefore divided evenly over the endpoints, so that the
        slots asked for add up to those needed, apart from `SPARE_SLOTS`.
        """
        with self._lock:
            in_use = Counter(self._endpoint_by_work.values())
            queued = len(self._tickets_by_work) - len(self._endpoint_by_work)
            n_endpoints = max(1, len(self._endpoint_ids))
            wanted_each = ceil(queued / n_endpoints) + SPARE_SLOTS
            return {
                endpoint_id: Usage(
                    wanted=in_use[endpoint_id] + wanted_each,
                    in_use=in_use[endpoint_id],
                    completed=self._completed_by_endpoint[endpoint_id],
                )
                for endpoint_id in self._endpoint_ids
            }

    def submit(self, work: Work) -> Ticket | Refused:
        """Offer work to the strategy; return a `Ticket` if it is queued."""
        with self._lock:
            now = self._clock()
            answer = self._strategy.offer(work, now)
            if isinstance(answer, Refused):
                return answer
            ticket = Ticket(work)
            self._tickets_by_work[work.work_id] = ticket
            self._poll(now)
        if not ticket.is_decided:
            # Demand is otherwise sent to the stewards at the next regular round, for
            # which the first request for an endpoint should not have to wait.
            self._demand_rose()
        return ticket

    def first_token(self, work_id: str) -> None:
        """Record the first token of sent work; its endpoint may now get the next."""
        self._change(lambda now: self._strategy.first_token(work_id, now))

    def finished(self, ticket: Ticket, result: SendResult) -> Settled | Retry | Refused:
        """Record the end of an attempt; after `Retry`, wait on the ticket again."""
        with self._lock:
            now = self._clock()
            ticket.reset()
            self._endpoint_by_work.pop(ticket.work.work_id, None)
            if result.succeeded:
                self._completed_by_endpoint[result.endpoint_id] += 1
            answer = self._strategy.finished(ticket.work.work_id, result, now)
            if not isinstance(answer, Retry):
                self._tickets_by_work.pop(ticket.work.work_id, None)
            self._poll(now)
            return answer

    def withdraw(self, work_id: str) -> None:
        """Remove work whose request has ended without a result."""
        with self._lock:
            now = self._clock()
            self._endpoint_by_work.pop(work_id, None)
            if self._tickets_by_work.pop(work_id, None) is not None:
                self._strategy.withdraw(work_id, now)
                self._poll(now)

    def set_endpoints(self, endpoints_by_id: Mapping[str, Endpoint]) -> None:
        """Replace the set of endpoints."""
        self._endpoint_ids = tuple(endpoints_by_id)
        self._change(lambda now: self._strategy.set_endpoints(endpoints_by_id, now))

    def set_targets(self, targets_by_class: Mapping[str, ClassTargets]) -> None:
        """Replace the classes' targets."""
        self._change(lambda now: self._strategy.set_targets(targets_by_class))

    def set_domains_out(self, domains: frozenset[str]) -> None:
        """Replace the failure domains that get no new work."""
        self._change(lambda now: self._strategy.set_domains_out(domains, now))

    def set_shares(self, shares_by_endpoint: Mapping[str, Share]) -> None:
        """Replace this daemon's share of each endpoint."""
        self._change(lambda now: self._strategy.set_shares(shares_by_endpoint, now))

    def report_load(self, load: EndpointLoad) -> None:
        """Record one load report."""
        self._change(lambda now: self._strategy.report_load(load, now))

    def _change(self, change: Callable[[float], None]) -> None:
        with self._lock:
            now = self._clock()
            change(now)
            self._poll(now)

    def _poll(self, now: float) -> None:
        """Pass the strategy's decisions to the tickets; the caller holds the lock."""
        for action in self._strategy.poll(now):
            if isinstance(action, GiveUp):
                ticket = self._tickets_by_work.pop(action.work_id, None)
                decision: Send | Refused = action.refused
            else:
                ticket = self._tickets_by_work.get(action.work_id)
                decision = action
                if ticket is not None:
                    self._endpoint_by_work[action.work_id] = action.endpoint_ids[0]
            if ticket is not None:
                ticket.decide(decision)
        self._poll_needed.notify()

    def _poll_when_due(self) -> None:
        with self._lock:
            while not self._stopped:
                now = self._clock()
                wake_at = self._strategy.next_wake(now)
                if wake_at is not None and wake_at <= now:
                    self._poll(now)
                    wake_at = self._strategy.next_wake(now)
                self._poll_needed.wait(self._wait_seconds(wake_at, now))

    def _wait_seconds(self, wake_at: float | None, now: float) -> float | None:
        if wake_at is None:
            return None
        return max(MIN_POLL_INTERVAL_SECONDS, wake_at - now)

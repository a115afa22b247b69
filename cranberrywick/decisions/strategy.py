"""The interface between the daemon and the strategy that schedules requests.

A strategy is a plain object. Its methods are called with each event and its time, and
`Strategy.poll` returns the actions to carry out. A strategy holds no lock and starts no
thread: the daemon calls it under one lock, the benchmarks under a virtual clock.
Strategies are registered by name, so that the daemon and the benchmarks create the
default strategy and the baselines in the same way:

>>> strategy = STRATEGIES["least-outstanding"](seed=1)
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping

from cranberrywick.model import (
    ClassTargets,
    Endpoint,
    EndpointLoad,
    GiveUp,
    Queued,
    Refused,
    Retry,
    Send,
    SendResult,
    Settled,
    Share,
    Work,
)

__all__ = ["STRATEGIES", "Strategy", "register_strategy"]

STRATEGIES: dict[str, type["Strategy"]] = {}


def register_strategy(name: str) -> Callable[[type["Strategy"]], type["Strategy"]]:
    """Return a decorator that makes a strategy available under ``name``."""

    def register(strategy: type["Strategy"]) -> type["Strategy"]:
        STRATEGIES[name] = strategy
        return strategy

    return register


class Strategy(ABC):
    """Decides which requests wait, which are refused, and where and when they are sent.

    All times are in seconds on one monotonic clock that the calling code supplies.
    """

    def __init__(self, seed: int):
        self.seed = seed

    @abstractmethod
    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Queue or refuse newly arrived work."""

    @abstractmethod
    def poll(self, now: float) -> list[Send | GiveUp]:
        """Return the actions to carry out now.

        Call it after every event and at the time that `next_wake` returns.
        """

    @abstractmethod
    def next_wake(self, now: float) -> float | None:
        """Return when to call `poll` if no event comes before, or None for never."""

    @abstractmethod
    def first_token(self, work_id: str, now: float) -> None:
        """Record that the first token of sent work has arrived."""

    @abstractmethod
    def finished(
        self, work_id: str, result: SendResult, now: float
    ) -> Settled | Retry | Refused:
        """Record the end of an attempt and return whether another will be made.

        `Refused` is returned only if the work did not run and is not attempted again.
        """

    @abstractmethod
    def withdraw(self, work_id: str, now: float) -> None:
        """Remove work whose caller has disconnected, queued or sent."""

    @abstractmethod
    def set_endpoints(
        self, endpoints_by_id: Mapping[str, Endpoint], now: float
    ) -> None:
        """Replace the known endpoints.

        Work at an endpoint that is no longer listed counts until it ends.
        """

    @abstractmethod
    def set_targets(self, targets_by_class: Mapping[str, ClassTargets]) -> None:
        """Replace the classes' targets."""

    @abstractmethod
    def set_domains_out(self, domains: frozenset[str], now: float) -> None:
        """Replace the failure domains that take no new work."""

    @abstractmethod
    def set_shares(self, shares_by_endpoint: Mapping[str, Share], now: float) -> None:
        """Replace what this daemon may use of each endpoint."""

    @abstractmethod
    def report_load(self, load: EndpointLoad, now: float) -> None:
        """Apply one load report, which may be late or repeated."""

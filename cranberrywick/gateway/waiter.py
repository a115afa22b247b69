"""A request that has no placement yet."""

import asyncio
from typing import NamedTuple

from cranberrywick.routing.demand import Demand

__all__ = ["Waiter"]


class Waiter(NamedTuple):
    """A request that has no placement yet; moments are of the event loop's clock."""

    demand: Demand
    priority: int
    arrived_at: float
    due_at: float
    deadline: float
    placement_future: asyncio.Future

    @property
    def service(self) -> str:
        """The name of the service that the request is for."""
        return self.demand.service.name

    @property
    def request_arrived_at(self) -> float:
        """When the request reached this daemon, also in its second attempt."""
        return self.due_at - self.demand.target_seconds

    @property
    def longest_first_event_seconds(self) -> float:
        """The longest time from arrival to a first event that is still of use.

        That is the target, or the time until the deadline if that is shorter.
        """
        return min(self.due_at, self.deadline) - self.request_arrived_at

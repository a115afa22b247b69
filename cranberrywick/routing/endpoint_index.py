"""Index of endpoints by service and failure domain, for sampling in constant time.

Load pattern: thousands of endpoints and hundreds of requests a second. If each request
iterated over all endpoints of its service, its cost would grow with the fleet; with
this index a random sample of bounded size costs the same among eighty endpoints as
among three thousand, and a change of an endpoint costs one replacement.
"""

from collections.abc import Iterator, Sequence, Set
from typing import NamedTuple, overload

from cranberrywick.routing.model import EndpointRecord

__all__ = ["EndpointIndex", "EndpointPool", "TrackedEndpoint"]


class TrackedEndpoint(NamedTuple):
    """A registered endpoint, and until when it is cold.

    ``missing_since`` is set while its record is missing after an outage of the store.
    ``ready_until_known`` is the last time at which an endpoint that is draining was
    known not to be; minus infinity if it was never known to be ready.
    ``drain_announced_at`` is the time of the first answer in which it announced that it
    is draining, None without one. ``backoff_until`` is the end of the time in which it
    wants no requests, minus infinity if there is none.
    """

    record: EndpointRecord
    cold_until: float
    missing_since: float | None = None
    ready_until_known: float = float("-inf")
    drain_announced_at: float | None = None
    backoff_until: float = float("-inf")

    @property
    def is_draining(self) -> bool:
        """Whether its record or one of its answers says that it is draining."""
        return self.record.draining or self.drain_announced_at is not None

    @property
    def is_backing_off(self) -> bool:
        """Whether it has asked for a time without requests that hasn't ended."""
        return self.backoff_until > float("-inf")

    @property
    def endpoint_id(self) -> str:
        """The endpoint's id."""
        return self.record.endpoint_id


class EndpointPool(Sequence[TrackedEndpoint]):
    """A sequence of endpoints to sample from, in no particular order.

    It is a view: it copies nothing and shows the endpoints as they are when it is read.

    >>> pool = EndpointPool.of([first, second])
    >>> rng.sample(pool, 1)
    """

    def __init__(self, groups: Sequence["_Group"]):
        self._groups = [group for group in groups if group]

    def __len__(self) -> int:
        """Return the number of endpoints."""
        return sum(map(len, self._groups))

    @overload
    def __getitem__(self, index: int) -> TrackedEndpoint: ...

    @overload
    def __getitem__(self, index: slice) -> list[TrackedEndpoint]: ...

    def __getitem__(self, index):
        """Return the endpoint at a position, or those of a slice."""
        if isinstance(index, slice):
            return list(self)[index]
        position = index if index >= 0 else len(self) + index
        for group in self._groups:
            if 0 <= position < len(group):
                return group.at(position)
            position -= len(group)
        raise IndexError(index)

    def __iter__(self) -> Iterator[TrackedEndpoint]:
        """Yield each endpoint once."""
        for group in self._groups:
            yield from group

    def get(self, endpoint_id: str) -> TrackedEndpoint | None:
        """Return an endpoint of the pool by id, or None."""
        for group in self._groups:
            tracked = group.get(endpoint_id)
            if tracked is not None:
                return tracked
        return None

    @classmethod
    def of(cls, tracked_endpoints: Sequence[TrackedEndpoint]) -> "EndpointPool":
        """Return a pool of just these endpoints."""
        group = _Group()
        for tracked in tracked_endpoints:
            group.put(tracked)
        return cls([group])


class EndpointIndex:
    """Endpoints by service, failure domain, and whether they drain or back off."""

    def __init__(self) -> None:
        self._groups_by_service: dict[str, dict[_GroupKey, _Group]] = {}

    def put(self, tracked: TrackedEndpoint, before: TrackedEndpoint | None) -> None:
        """Add an endpoint, or replace its earlier state ``before``."""
        if before is not None and _key(before) != _key(tracked):
            self.remove(before)
        groups = self._groups_by_service.setdefault(tracked.record.service, {})
        groups.setdefault(_key(tracked), _Group()).put(tracked)

    def remove(self, tracked: TrackedEndpoint) -> None:
        """Remove an endpoint."""
        self._groups_by_service[tracked.record.service][_key(tracked)].remove(tracked)

    def of_service(self, service: str) -> EndpointPool:
        """Return all endpoints of a service."""
        return self._pool(service, lambda key: True)

    def ready(self, service: str, domains_out: Set[str]) -> EndpointPool:
        """Return the endpoints of a service that may get new work."""
        return self._pool(
            service,
            lambda key: key.is_in_use(domains_out) and not key.backing_off,
        )

    def backing_off(self, service: str, domains_out: Set[str]) -> EndpointPool:
        """Return those that may get new work once their backoff has ended."""
        return self._pool(
            service, lambda key: key.is_in_use(domains_out) and key.backing_off
        )

    def others(self, service: str, domains_out: Set[str]) -> EndpointPool:
        """Return a service's endpoints that are draining or in a domain taken out."""
        return self._pool(service, lambda key: not key.is_in_use(domains_out))

    def _pool(self, service, is_wanted) -> EndpointPool:
        groups = self._groups_by_service.get(service, {})
        return EndpointPool([g for key, g in groups.items() if is_wanted(key)])


class _GroupKey(NamedTuple):
    service: str
    failure_domain: str
    draining: bool
    backing_off: bool

    def is_in_use(self, domains_out: Set[str]) -> bool:
        return not self.draining and self.failure_domain not in domains_out


def _key(tracked: TrackedEndpoint) -> _GroupKey:
    record = tracked.record
    return _GroupKey(
        record.service,
        record.failure_domain,
        tracked.is_draining,
        tracked.is_backing_off,
    )


class _Group:
    """Endpoints by id that can also be read by position, for random sampling.

    Removal moves the last endpoint to the free position, so that it takes constant
    time.
    """

    def __init__(self) -> None:
        self._tracked_endpoints: list[TrackedEndpoint] = []
        self._positions_by_id: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._tracked_endpoints)

    def __iter__(self) -> Iterator[TrackedEndpoint]:
        return iter(self._tracked_endpoints)

    def at(self, position: int) -> TrackedEndpoint:
        return self._tracked_endpoints[position]

    def get(self, endpoint_id: str) -> TrackedEndpoint | None:
        position = self._positions_by_id.get(endpoint_id)
        return None if position is None else self._tracked_endpoints[position]

    def put(self, tracked: TrackedEndpoint) -> None:
        position = self._positions_by_id.get(tracked.endpoint_id)
        if position is None:
            self._positions_by_id[tracked.endpoint_id] = len(self._tracked_endpoints)
            self._tracked_endpoints.append(tracked)
        else:
            self._tracked_endpoints[position] = tracked

    def remove(self, tracked: TrackedEndpoint) -> None:
        position = self._positions_by_id.pop(tracked.endpoint_id)
        last = self._tracked_endpoints.pop()
        if last.endpoint_id != tracked.endpoint_id:
            self._tracked_endpoints[position] = last
            self._positions_by_id[last.endpoint_id] = position

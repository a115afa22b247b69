"""The jobs of the whole fleet at each endpoint, as far as known here.

Load pattern: several daemons place prompts on the same engines without a common queue.
Without this module each chooses an engine that looks idle to it, and three long prompts
meet on one engine while others are free. Every daemon broadcasts its jobs as soon as
they change; such an update is a few milliseconds old when it is received, while a
request runs for a second or more.
"""

import random
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cranberrywick.routing.endpoint_index import EndpointPool

__all__ = ["FleetLoad", "Job"]

# For how many seconds the jobs of a silent daemon still count: if it is dead, its
# requests at the endpoints end within about this time.
OWNER_SILENCE_SECONDS = 3.0
# For how many seconds the counts of placements and of slots in use are cached.
COUNT_CACHE_SECONDS = 0.1
# Most endpoints at which slots in use are counted; a count at 3,000 takes 8 ms. While
# requests wait, nearly all slots are used, so that endpoints differ little.
MAX_COUNTED_ENDPOINTS = 80


class Job(NamedTuple):
    """One request, or a helper's part of one, at an endpoint.

    ``held_tokens`` is the engine memory that it occupies, in tokens, and
    ``prefill_seconds`` its prefill time there. ``first_event_at`` is when the prefill
    is expected to end; ``decoding`` says that it has ended. ``helper`` marks a part of
    a prompt that another endpoint answers, ``joint`` any part of a prompt that several
    endpoints read. The prompt's first event is on time until ``due_at``, and a pause
    between events up to ``gap_seconds``; ``value`` is the loss if the answer is late,
    in units of the shortest request's loss. Times are readings of the clock of the
    process that holds the job.
    """

    endpoint_id: str
    held_tokens: int
    prefill_seconds: float
    started_at: float
    first_event_at: float
    due_at: float = float("inf")
    decoding: bool = False
    helper: bool = False
    joint: bool = False
    gap_seconds: float = float("inf")
    value: float = 1.0


class FleetLoad:
    """The jobs of this daemon and of its peers, by endpoint.

    The index by endpoint is built when it is next read, since a daemon of a large fleet
    receives hundreds of heartbeats a second and places few requests.
    """

    def __init__(self) -> None:
        self._own_by_request: dict[str, tuple[Job, ...]] = {}
        self._peers: dict[str, tuple[float, tuple[Job, ...]]] = {}
        # None if jobs have changed since the index was built.
        self._jobs_by_endpoint: dict[str, list[Job]] | None = None
        self._counted_at = float("-inf")
        self._placed = 0
        # The numbers of slots in use by service, each with the moment of its count.
        self._slots_by_service: dict[str, tuple[float, int]] = {}

    def put(self, request_id: str, jobs: Sequence[Job]) -> None:
        """Replace the jobs of one of this daemon's requests."""
        self._own_by_request[request_id] = tuple(jobs)
        self._jobs_by_endpoint = None

    def drop(self, request_id: str) -> None:
        """Remove the jobs of a request that has ended."""
        if self._own_by_request.pop(request_id, None):
            self._jobs_by_endpoint = None

    def jobs_of(self, request_id: str) -> tuple[Job, ...]:
        """Return the jobs of one of this daemon's requests."""
        return self._own_by_request.get(request_id, ())

    @property
    def own(self) -> list[Job]:
        """This daemon's jobs, which it sends to the others."""
        return [job for jobs in self._own_by_request.values() for job in jobs]

    def receive(self, daemon_id: str, jobs: Iterable[Job], now: float) -> None:
        """Replace the jobs of a peer."""
        _, before = self._peers.get(daemon_id, (now, ()))
        after = tuple(jobs)
        self._peers[daemon_id] = (now, after)
        if before or after:
            self._jobs_by_endpoint = None

    def evict_silent(self, now: float) -> None:
        """Remove the jobs of peers that have been silent for too long."""
        for daemon_id, (received_at, _) in list(self._peers.items()):
            if now - received_at > OWNER_SILENCE_SECONDS:
                del self._peers[daemon_id]
                self._jobs_by_endpoint = None

    def placed_each_second(self, now: float) -> float:
        """Return how many requests the fleet places in a second, as far as known.

        Known jobs that started within the last second are counted. Requests that have
        ended since are not among them: the rate is too low if answers are short.
        """
        if not 0 <= now - self._counted_at < COUNT_CACHE_SECONDS:
            self._counted_at = now
            self._placed = sum(
                now - job.started_at < 1.0 and not job.helper
                for jobs in self._indexed().values()
                for job in jobs
            )
        return self._placed

    def slots_in_use(
        self, service: str, endpoints: EndpointPool, rng: random.Random, now: float
    ) -> int:
        """Return how many slots of a service the fleet uses, as far as known.

        ``endpoints`` are those of the service that get requests. Each request counts
        once, whatever helpers it has. With more than `MAX_COUNTED_ENDPOINTS` the number
        is estimated from a sample. It may be `COUNT_CACHE_SECONDS` old.
        """
        counted_at, slots = self._slots_by_service.get(service, (float("-inf"), 0))
        if 0 <= now - counted_at < COUNT_CACHE_SECONDS:
            return slots
        known = len(endpoints)
        is_sampled = known > MAX_COUNTED_ENDPOINTS
        counted = rng.sample(endpoints, MAX_COUNTED_ENDPOINTS) if is_sampled else None
        slots = sum(
            not job.helper
            for tracked in counted or endpoints
            for job in self.at(tracked.endpoint_id)
        )
        if is_sampled:
            slots = round(slots * known / MAX_COUNTED_ENDPOINTS)
        self._slots_by_service[service] = now, slots
        return slots

    def at(self, endpoint_id: str) -> Sequence[Job]:
        """Return the jobs at an endpoint."""
        return self._indexed().get(endpoint_id, ())

    def prefill_seconds_at(self, endpoint_id: str) -> float:
        """Return the prefill time of the waiting jobs at an endpoint, in seconds."""
        jobs = self.at(endpoint_id)
        return sum(job.prefill_seconds for job in jobs if not job.decoding)

    def _indexed(self) -> Mapping[str, list[Job]]:
        if self._jobs_by_endpoint is None:
            index = self._jobs_by_endpoint = defaultdict(list)
            for jobs in self._own_by_request.values():
                for job in jobs:
                    index[job.endpoint_id].append(job)
            for _, jobs in self._peers.values():
                for job in jobs:
                    index[job.endpoint_id].append(job)
        return self._jobs_by_endpoint

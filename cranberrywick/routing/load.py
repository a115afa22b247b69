"""What the whole fleet has at each endpoint, as far as it is known here.

Load pattern: several daemons place prompts on the same engines without a common
queue. Without this, each takes the engine that looks idle to it, and three long
prompts meet on one engine while others are free. Every daemon tells all others
what it has at endpoints, at once when that changes; the news is a few milliseconds
old, while a request runs for a second or more.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

__all__ = ["FleetLoad", "Job"]

# Endpoint time that is not free again after its owner fell silent: what a dead
# daemon had there ends within about this, and then its jobs count no longer.
OWNER_SILENCE_SECONDS = 3.0
# The count of all jobs of the last second is good for a tenth of it.
COUNT_AGAIN_SECONDS = 0.1


class Job(NamedTuple):
    """One request, or a helper's part of one, at an endpoint.

    ``held_tokens`` is the engine memory that it takes there, ``prefill_seconds`` how
    long the engine reads for it. ``first_event_at`` is when that is expected to have
    ended; ``decoding`` says that it has. ``helper`` marks a part of a prompt that
    another endpoint answers, ``joint`` any part of a prompt that several read. The
    prompt's first event is on time until ``due_at`` and a pause between events up to
    ``gap_seconds``; ``value`` is what is lost when it is late, in requests of the
    shortest kind. Moments are on the clock of whoever holds the value.
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

    The index by endpoint is made when it is asked for. A large fleet's daemon hears
    hundreds of heartbeats a second and places a few requests.
    """

    def __init__(self) -> None:
        self._own_by_request: dict[str, tuple[Job, ...]] = {}
        self._peers: dict[str, tuple[float, tuple[Job, ...]]] = {}
        # None when something has changed since it was made.
        self._jobs_by_endpoint: dict[str, list[Job]] | None = None
        self._counted_at = float("-inf")
        self._placed = 0

    def put(self, request_id: str, jobs: Sequence[Job]) -> None:
        """Replace what one of our requests has at endpoints."""
        self._own_by_request[request_id] = tuple(jobs)
        self._jobs_by_endpoint = None

    def drop(self, request_id: str) -> None:
        """Forget a request that has ended."""
        if self._own_by_request.pop(request_id, None):
            self._jobs_by_endpoint = None

    def jobs_of(self, request_id: str) -> tuple[Job, ...]:
        """Return what one of our requests has at endpoints."""
        return self._own_by_request.get(request_id, ())

    @property
    def own(self) -> list[Job]:
        """This daemon's jobs, to be told to the others."""
        return [job for jobs in self._own_by_request.values() for job in jobs]

    def receive(self, daemon_id: str, jobs: Iterable[Job], now: float) -> None:
        """Replace what a peer has at endpoints."""
        _, before = self._peers.get(daemon_id, (now, ()))
        after = tuple(jobs)
        self._peers[daemon_id] = (now, after)
        if before or after:
            self._jobs_by_endpoint = None

    def evict_silent(self, now: float) -> None:
        """Drop the jobs of peers that have not been heard for long."""
        for daemon_id, (received_at, _) in list(self._peers.items()):
            if now - received_at > OWNER_SILENCE_SECONDS:
                del self._peers[daemon_id]
                self._jobs_by_endpoint = None

    def placed_each_second(self, now: float) -> float:
        """Return how many requests the fleet places in a second, as far as known.

        Counted over the last second; requests that have ended since are missed, which
        makes it too low where answers are short.
        """
        if not 0 <= now - self._counted_at < COUNT_AGAIN_SECONDS:
            self._counted_at = now
            self._placed = sum(
                now - job.started_at < 1.0 and not job.helper
                for jobs in self._indexed().values()
                for job in jobs
            )
        return self._placed

    def at(self, endpoint_id: str) -> Sequence[Job]:
        """Return the jobs at an endpoint."""
        return self._indexed().get(endpoint_id, ())

    def prefill_seconds_at(self, endpoint_id: str) -> float:
        """Return how many seconds of reading an endpoint has been given."""
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

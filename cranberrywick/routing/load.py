"""What the whole fleet has at each endpoint, as far as it is known here.

Load pattern: several daemons place prompts on the same engines without a common
queue. Without this, each takes the engine that looks idle to it, and three long
prompts meet on one engine while others are free. Every daemon tells all others
what it has at endpoints, at once when that changes; the news is a few milliseconds
old, while a request runs for a second or more.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

__all__ = ["FleetLoad", "Job"]

# Endpoint time that is not free again after its owner fell silent: what a dead
# daemon had there ends within about this, and then its jobs count no longer.
OWNER_SILENCE_SECONDS = 3.0


class Job(NamedTuple):
    """One request, or a helper's part of one, at an endpoint.

    ``first_event_at`` is when its reading is expected to end; ``writing`` says that
    it has. Moments are on the clock of whoever holds the value.
    """

    endpoint_id: str
    prompt_tokens: int
    output_tokens: int
    started_at: float
    first_event_at: float
    writing: bool
    helper: bool

    def later(self, seconds: float) -> "Job":
        """Return the same job on a clock that is ``seconds`` ahead."""
        return self._replace(
            started_at=self.started_at + seconds,
            first_event_at=self.first_event_at + seconds,
        )


class FleetLoad:
    """The jobs of this daemon and of its peers, by endpoint."""

    def __init__(self) -> None:
        self._own_by_key: dict[tuple[str, int], Job] = {}
        self._peers: dict[str, tuple[float, tuple[Job, ...]]] = {}
        self._by_endpoint: dict[str, list[Job]] | None = None
        self.version = 0

    def _changed(self) -> None:
        self._by_endpoint = None
        self.version += 1

    def put(self, request_id: str, jobs: Sequence[Job]) -> None:
        """Replace what one of our requests has at endpoints."""
        self.drop(request_id)
        for index, job in enumerate(jobs):
            self._own_by_key[request_id, index] = job
        self._changed()

    def drop(self, request_id: str) -> None:
        """Forget a request that has ended."""
        index = 0
        while self._own_by_key.pop((request_id, index), None) is not None:
            index += 1
        self._changed()

    def jobs_of(self, request_id: str) -> list[Job]:
        """Return what one of our requests has at endpoints."""
        jobs = []
        while (request_id, len(jobs)) in self._own_by_key:
            jobs.append(self._own_by_key[request_id, len(jobs)])
        return jobs

    @property
    def own(self) -> list[Job]:
        """This daemon's jobs, to be told to the others."""
        return list(self._own_by_key.values())

    def hear(self, daemon_id: str, jobs: Iterable[Job], now: float) -> None:
        """Replace what a peer has at endpoints."""
        self._peers[daemon_id] = (now, tuple(jobs))
        self._changed()

    def forget_silent(self, now: float) -> None:
        """Drop the jobs of peers that have not been heard for long."""
        for daemon_id, (heard_at, _) in list(self._peers.items()):
            if now - heard_at > OWNER_SILENCE_SECONDS:
                del self._peers[daemon_id]
                self._changed()

    def at(self, endpoint_id: str) -> Sequence[Job]:
        """Return the jobs at an endpoint."""
        if self._by_endpoint is None:
            self._by_endpoint = self._index()
        return self._by_endpoint.get(endpoint_id, ())

    def _index(self) -> dict[str, list[Job]]:
        by_endpoint: dict[str, list[Job]] = defaultdict(list)
        for job in self._own_by_key.values():
            by_endpoint[job.endpoint_id].append(job)
        for _, jobs in self._peers.values():
            for job in jobs:
                by_endpoint[job.endpoint_id].append(job)
        return dict(by_endpoint)

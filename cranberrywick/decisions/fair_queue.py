"""Whom to serve next: least slack first, fair between organisations.

Load pattern: ten organisations, a few of them large, one of which now and then
sends ten times its usual work; and short and long prompts whose targets differ a
hundredfold.

Without it: in arrival order one organisation's batch stands before everybody
else's single request, and a summary that is due in a second waits behind a review
that is due in three minutes. Least slack alone is worse under a hot caller, since
whoever asks for the most urgent class gets everything.

How: start-time fair queueing over organisations decides who may be served, least
slack decides which of them is. In each lane each organisation has a tag, the engine
time it has been given. An organisation that comes back to a lane starts at the least
tag of those that wait there, so that an unused share is free to the others and is
not saved up. Those within `ALLOWANCE_SECONDS` of the least tag are served by slack;
one that is further ahead waits until the others have caught up or have nothing left
(work-conserving).

Grounds: the allowance is the engine time of a few summaries. It bounds how far an
organisation can get ahead to that plus its one largest request; with zero, slack
would hardly ever decide.
"""

from collections.abc import Container, Hashable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple

from cranberrywick.model import Work

__all__ = ["FairQueue", "QueuedWork"]

# Engine time by which an organisation may be ahead of the others that wait.
ALLOWANCE_SECONDS = 2.0
# Rebuild a heap when stale entries outnumber live ones by this much.
MAX_STALE_RATIO = 4
MIN_STALE_ENTRIES = 64


class QueuedWork(NamedTuple):
    """Work that waits.

    Two works may share a ``lane`` when any endpoint that can take the one can
    take the other. ``latest_start`` is the last moment at which it can still make
    its targets, ``cost_seconds`` the engine time it is charged.
    """

    work: Work
    lane: Hashable
    latest_start: float
    cost_seconds: float


class _Waiting:
    """One organisation's work in one lane."""

    def __init__(self, tag: float):
        self.tag = tag
        # Changes with the tag and the head: entries under an older one are stale.
        # Drawn from the lane's counter, so that it never comes again.
        self.version = -1
        self.by_slack: list[tuple[float, int, str]] = []


class _Entry(NamedTuple):
    """An organisation in one of a lane's heaps; ``key`` is its tag or its slack."""

    key: float
    version: int
    organisation: str


class _Lane:
    """A fair queue of its own: organisations, by tag and by slack of their heads."""

    def __init__(self) -> None:
        self.size = 0
        self.waiting_by_organisation: dict[str, _Waiting] = {}
        # Tags outlive the work, until nobody waits in the lane.
        self.tags_by_organisation: dict[str, float] = {}
        # All that wait; those of them within the allowance; the rest of them.
        self.by_tag: list[_Entry] = []
        self.eligible: list[_Entry] = []
        self.ineligible: list[_Entry] = []
        self._order = count()

    def push(self, queued: QueuedWork) -> None:
        name = queued.work.organisation
        waiting = self.waiting_by_organisation.get(name)
        if waiting is None:
            tag = max(self.tags_by_organisation.get(name, 0.0), self.least_tag())
            waiting = self.waiting_by_organisation[name] = _Waiting(tag)
        entry = (queued.latest_start, next(self._order), queued.work.work_id)
        heappush(waiting.by_slack, entry)
        self.size += 1
        if waiting.by_slack[0] is entry:
            self.replace_entries(name)

    def replace_entries(self, name: str) -> None:
        """Replace the organisation's entries after its tag or its head changed."""
        waiting = self.waiting_by_organisation[name]
        waiting.version = next(self._order)
        entry = _Entry(waiting.tag, waiting.version, name)
        heappush(self.by_tag, entry)
        heappush(self.ineligible, entry)
        if len(self.by_tag) > MIN_STALE_ENTRIES + MAX_STALE_RATIO * self.size:
            self._drop_stale()

    def _drop_stale(self) -> None:
        for heap in (self.by_tag, self.eligible, self.ineligible):
            heap[:] = [entry for entry in heap if self._is_current(entry)]
            heapify(heap)

    def _is_current(self, entry: _Entry) -> bool:
        waiting = self.waiting_by_organisation.get(entry.organisation)
        return waiting is not None and waiting.version == entry.version

    def _first_current(self, heap: list[_Entry]) -> _Entry | None:
        while heap and not self._is_current(heap[0]):
            heappop(heap)
        return heap[0] if heap else None

    def least_tag(self) -> float:
        """Return the least tag of the organisations that wait here."""
        first = self._first_current(self.by_tag)
        return first.key if first is not None else 0.0

    def head(self) -> str:
        """Return the work to serve next; there must be some."""
        limit = self.least_tag() + ALLOWANCE_SECONDS
        while (entry := self._first_current(self.ineligible)) and entry.key <= limit:
            heappop(self.ineligible)
            waiting = self.waiting_by_organisation[entry.organisation]
            heappush(self.eligible, entry._replace(key=waiting.by_slack[0][0]))
        chosen = self._first_current(self.eligible)
        return self.waiting_by_organisation[chosen.organisation].by_slack[0][2]

    def dequeue(
        self, queued: QueuedWork, charge: float, queued_ids: Container[str]
    ) -> None:
        """Forget one work and charge its organisation."""
        name = queued.work.organisation
        waiting = self.waiting_by_organisation[name]
        waiting.tag += charge
        self.tags_by_organisation[name] = waiting.tag
        self.size -= 1
        while waiting.by_slack and waiting.by_slack[0][2] not in queued_ids:
            heappop(waiting.by_slack)
        if waiting.by_slack:
            self.replace_entries(name)
        else:
            del self.waiting_by_organisation[name]


class FairQueue:
    """A queue with one lane for each kind of endpoint that work can go to.

    >>> queue = FairQueue()
    >>> queue.push(QueuedWork(work, lane="drafting", latest_start=4.0, cost_seconds=1))
    >>> queue.pop(queue.head("drafting").work.work_id)
    """

    def __init__(self) -> None:
        self._queued_by_id: dict[str, QueuedWork] = {}
        self._lanes_by_key: dict[Hashable, _Lane] = {}

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._queued_by_id

    def lanes(self) -> list[Hashable]:
        """Return the lanes that have work."""
        return list(self._lanes_by_key)

    def push(self, queued: QueuedWork) -> None:
        """Add work; a work id may be queued only once."""
        work_id = queued.work.work_id
        if work_id in self._queued_by_id:
            raise ValueError(f"{work_id} is queued already")
        self._queued_by_id[work_id] = queued
        self._lanes_by_key.setdefault(queued.lane, _Lane()).push(queued)

    def head(self, lane: Hashable) -> QueuedWork | None:
        """Return the work to serve next in ``lane``, without taking it."""
        found = self._lanes_by_key.get(lane)
        return None if found is None else self._queued_by_id[found.head()]

    def pop(self, work_id: str) -> QueuedWork:
        """Take work to serve it; its organisation is charged its cost."""
        queued = self._queued_by_id.pop(work_id)
        self._dequeue(queued, queued.cost_seconds)
        return queued

    def remove(self, work_id: str) -> QueuedWork | None:
        """Take work that will not be served; nobody is charged."""
        queued = self._queued_by_id.pop(work_id, None)
        if queued is not None:
            self._dequeue(queued, 0.0)
        return queued

    def _dequeue(self, queued: QueuedWork, charge: float) -> None:
        lane = self._lanes_by_key[queued.lane]
        lane.dequeue(queued, charge, self._queued_by_id)
        if not lane.size:
            # With nobody waiting all start equal again.
            del self._lanes_by_key[queued.lane]

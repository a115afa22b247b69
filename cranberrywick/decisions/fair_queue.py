"""Order queued work by slack, with a fair share for each organisation.

Load pattern: ten organisations, a few of them large, one of which now and then
sends ten times its usual work; and short and long prompts whose targets differ a
hundredfold.

Without it: in arrival order, one organisation's batch is served before every other
organisation's single request, and a summary that is due in a second waits behind a
review that is due in three minutes. Ordering by least slack alone is worse when one
organisation is hot, since the one that asks for the most urgent class gets all the
engine time.

How: start-time fair queueing decides which organisations are eligible, and the least
slack decides which of these is served. In each lane, each organisation has a tag: the
engine time it has received. An organisation that returns to a lane starts at its
earlier tag or, if that is higher, at the lowest tag of those that wait there, so an
unused share goes to the others and cannot be saved up. Organisations within
`ALLOWANCE_SECONDS` of the lowest tag are eligible. One that is further ahead waits
until the others have caught up or have no work left, so the queue never withholds
work from a free endpoint (work-conserving).

Grounds: the allowance is the engine time of a few summaries. An organisation can get
ahead of the others by at most the allowance plus its largest request. With an
allowance of zero, slack would hardly ever decide.
"""

from collections.abc import Container, Hashable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple

from cranberrywick.model import Work

__all__ = ["FairQueue", "QueuedWork"]

# Engine time, in seconds, by which an eligible organisation may be ahead of the lowest
# tag in its lane.
ALLOWANCE_SECONDS = 2.0
# Stale entries are dropped once the heap of tags exceeds `MIN_STALE_ENTRIES` plus
# `MAX_STALE_RATIO` entries for each queued request.
MAX_STALE_RATIO = 4
MIN_STALE_ENTRIES = 64


class QueuedWork(NamedTuple):
    """One queued request.

    Requests may share a ``lane`` if every endpoint that can take one of them can take
    the others. ``latest_start`` is the latest time, in seconds, at which the request
    can be sent and still meet its targets. ``cost_seconds`` is the engine time that
    its organisation is charged for it.
    """

    work: Work
    lane: Hashable
    latest_start: float
    cost_seconds: float


class _Waiting:
    """The queued work of one organisation in one lane."""

    def __init__(self, tag: float):
        self.tag = tag
        # Changes whenever the tag or the head does; heap entries with an older version
        # are stale. It comes from the lane's counter, so that no version recurs.
        self.version = -1
        self.by_slack: list[tuple[float, int, str]] = []


class _Entry(NamedTuple):
    """An organisation's entry in one of a lane's heaps.

    ``key`` is the organisation's tag or the latest start of its head.
    """

    key: float
    version: int
    organisation: str


class _Lane:
    """The fair queue of one lane: its organisations, by tag and by slack of the head.

    An organisation's head is its request with the earliest latest start.
    """

    def __init__(self) -> None:
        self.size = 0
        self.waiting_by_organisation: dict[str, _Waiting] = {}
        # An organisation's tag is kept when it has no work left, until the lane is
        # empty.
        self.tags_by_organisation: dict[str, float] = {}
        # Heaps of the organisations that wait: all of them by tag, the eligible ones by
        # latest start, and the others by tag.
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
        """Replace the organisation's heap entries after its tag or head changed."""
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
        """Return the lowest tag of the organisations that wait here, or 0."""
        first = self._first_current(self.by_tag)
        return first.key if first is not None else 0.0

    def head(self) -> str:
        """Return the id of the work to serve next; the lane must not be empty."""
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
        """Remove one request and charge its organisation ``charge`` seconds."""
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
    """A queue with a lane for each set of endpoints that work can be sent to.

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
        """Add work; raise `ValueError` if its work id is queued already."""
        work_id = queued.work.work_id
        if work_id in self._queued_by_id:
            raise ValueError(f"{work_id} is queued already")
        self._queued_by_id[work_id] = queued
        self._lanes_by_key.setdefault(queued.lane, _Lane()).push(queued)

    def head(self, lane: Hashable) -> QueuedWork | None:
        """Return the work to serve next in ``lane``, without removing it.

        Return None if the lane has no work.
        """
        lane_queue = self._lanes_by_key.get(lane)
        return None if lane_queue is None else self._queued_by_id[lane_queue.head()]

    def pop(self, work_id: str) -> QueuedWork:
        """Remove and return work to be served; its organisation is charged its cost."""
        queued = self._queued_by_id.pop(work_id)
        self._dequeue(queued, queued.cost_seconds)
        return queued

    def remove(self, work_id: str) -> QueuedWork | None:
        """Remove and return work that will not be served, without any charge.

        Return None if the work is not queued.
        """
        queued = self._queued_by_id.pop(work_id, None)
        if queued is not None:
            self._dequeue(queued, 0.0)
        return queued

    def _dequeue(self, queued: QueuedWork, charge: float) -> None:
        lane = self._lanes_by_key[queued.lane]
        lane.dequeue(queued, charge, self._queued_by_id)
        if not lane.size:
            # This drops the tags too: in an empty lane all organisations are equal.
            del self._lanes_by_key[queued.lane]

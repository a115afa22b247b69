"""What a daemon knows of crashes, and of the segments that are quarantined for them.

What each daemon has seen of crashes and answers is merged from all of them, so that all
draw the same conclusion from it; see `cranberrywick.routing.segment_judgement`. A
daemon that has missed crashes, or has just started, takes over the conclusion itself
from its peers and from the store.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from math import inf
from typing import NamedTuple

from cranberrywick.routing.crash_statement import (
    EVIDENCE_SECONDS,
    NOTHING_STATED,
    CrashStatement,
    EndpointCrash,
    SegmentAnswer,
    SegmentQuarantine,
)
from cranberrywick.routing.segment_judgement import Suspicion, judge, suspicions

__all__ = ["SETTLE_SECONDS", "SegmentCrashes"]

# How long a daemon states a crash that it has seen, or an answer, in seconds. This
# covers several heartbeats of the largest fleets, any of which may be lost.
REPORT_SECONDS = 10.0
# Least time between two answers to a segment of which the later one is stated, too.
RESTATE_SECONDS = 1.0
# How long a conclusion must have held before it is in force here, and before it is
# stated, in seconds. Until then it may rest on a part of what the peers have seen.
SETTLE_SECONDS = 0.05
STATE_SECONDS = 0.5
# How long a quarantine that peers state holds here without being stated again, in
# seconds. A daemon that has lost contact meanwhile has not received the crashes.
ADOPTED_SECONDS = 15.0
# The same for one that the store has on record, in seconds. The record is read again
# before that.
RESTORED_SECONDS = 90.0
# Bounds of what is kept: crashes, prompts of each and their segments, segments that
# were answered, and crashes in one statement.
MAX_CRASHES = 256
MAX_PROMPTS = 64
MAX_SEGMENTS = 256
MAX_ANSWERED = 4096
MAX_STATED_CRASHES = 32


class _Adopted(NamedTuple):
    quarantine: SegmentQuarantine
    until: float


class _Stated(NamedTuple):
    """An answer that this daemon states, and since when."""

    answered_at: float
    since: float


class SegmentCrashes:
    """The crashes and answers that are known here, and what follows from them.

    >>> crashes = SegmentCrashes()
    >>> for at in (1.0, 2.0, 3.0):
    ...     crash = EndpointCrash(f"e{at}", 1, at, (("first", "bad"),))
    ...     _ = crashes.add(crash, now=at)
    >>> crashes.find(("first", "bad", "own"), now=4.0).segment_id
    'bad'
    >>> crashes.find(("first", "good", "own"), now=4.0) is None
    True
    """

    def __init__(self) -> None:
        self._crashes_by_start: dict[tuple[str, int], EndpointCrash] = {}
        # When this daemon last added something to a crash.
        self._seen_at_by_start: dict[tuple[str, int], float] = {}
        # The segments of all known crashes.
        self._suspect_ids: set[str] = set()
        self._own_answers_by_id: OrderedDict[str, float] = OrderedDict()
        self._peer_answers_by_id: dict[str, float] = {}
        self._stated_by_id: dict[str, _Stated] = {}
        self._judged_by_id: dict[str, SegmentQuarantine] = {}
        self._judged_since_by_id: dict[str, float] = {}
        self._adopted_by_id: dict[str, _Adopted] = {}
        # When the record in the store was first read.
        self._restored_at_by_id: dict[str, float] = {}

    # Observations of this daemon

    def add(self, crash: EndpointCrash, now: float) -> bool:
        """Record a crash that this daemon has seen; return whether it is news."""
        if not self._merge(crash):
            return False
        self._seen_at_by_start[crash.endpoint_id, crash.born] = now
        self._judge(now)
        self._state_answers(crash.segment_ids, now)
        return True

    def has_crashed(self, endpoint_id: str, born: int) -> bool:
        """Whether a start of an endpoint is known to have crashed."""
        return (endpoint_id, born) in self._crashes_by_start

    def answered(self, segment_ids: Sequence[str], now: float) -> bool:
        """Record an answer which shows that its prompt crashes no endpoint.

        ``segment_ids`` are all of the prompt's segments. Returns whether the peers are
        to be told, since one of the segments was at a crash.
        """
        shared_ids = segment_ids[:-1]
        for segment_id in shared_ids:
            self._own_answers_by_id[segment_id] = now
            self._own_answers_by_id.move_to_end(segment_id)
        while len(self._own_answers_by_id) > MAX_ANSWERED:
            self._own_answers_by_id.popitem(last=False)
        accused_ids = [
            each
            for each in shared_ids
            if each in self._suspect_ids or each in self._adopted_by_id
        ]
        if not self._state_answers(accused_ids, now):
            return False
        self._judge(now)
        return True

    # Exchange with peers and the store

    def statement(self, now: float) -> CrashStatement:
        """Return what this daemon states with its heartbeat."""
        if not self._crashes_by_start and not self._stated_by_id:
            return NOTHING_STATED
        seen = self._seen_at_by_start.items()
        starts = [start for start, at in seen if now - at <= REPORT_SECONDS]
        stated_ids = [
            segment_id
            for segment_id, stated in self._stated_by_id.items()
            if now - stated.since <= REPORT_SECONDS
        ]
        return CrashStatement(
            self._stated_crashes(starts),
            self._answers(stated_ids),
            self._stated_quarantines(now),
        )

    def full_statement(self, now: float) -> CrashStatement:
        """Return all that is known, for a daemon that has just started."""
        if not self._crashes_by_start:
            return NOTHING_STATED
        known_ids = [each for each in self._suspect_ids if self._is_answered(each)]
        crashes = self._stated_crashes(list(self._crashes_by_start))
        return CrashStatement(
            crashes, self._answers(known_ids), self._stated_quarantines(now)
        )

    def receive(self, statement: CrashStatement, now: float) -> bool:
        """Merge a peer's statement; return whether the peers are to be told something.

        That is an answer that they don't know of.
        """
        if statement == NOTHING_STATED:
            return False
        accused_ids: set[str] = set()
        is_changed = False
        for crash in statement.crashes:
            if self._merge(crash):
                accused_ids |= crash.segment_ids
        for segment_id, at in statement.answers:
            if at > self._peer_answers_by_id.get(segment_id, -inf) + RESTATE_SECONDS:
                self._peer_answers_by_id[segment_id] = at
                is_changed = True
        for quarantine in statement.quarantines:
            if self._adopt(quarantine, now + ADOPTED_SECONDS):
                accused_ids.add(quarantine.segment_id)
        if accused_ids or is_changed:
            self._judge(now)
        return self._state_answers(accused_ids, now)

    def restore(self, segment_ids: Iterable[str], now: float) -> None:
        """Quarantine the segments that the store has on record.

        They are released after `RESTORED_SECONDS` unless this is called again.
        """
        self._restored_at_by_id = {
            each: self._restored_at_by_id.get(each, now) for each in segment_ids
        }
        for segment_id, restored_at in self._restored_at_by_id.items():
            quarantine = SegmentQuarantine(segment_id, restored_at)
            self._adopt(quarantine, now + RESTORED_SECONDS)
        self._judge(now)

    # Conclusions

    def judged_by_id(self, now: float) -> dict[str, SegmentQuarantine]:
        """Return the quarantines that follow from known crashes, by their segments."""
        return {
            segment_id: quarantine
            for segment_id, quarantine in self._judged_by_id.items()
            if self._is_in_force(quarantine, now)
        }

    def suspicions(self) -> list[Suspicion]:
        """Return what the known crashes count against, most crashes first."""
        return suspicions(self._crashes_by_start.values(), self._answered_at)

    def is_unsettled(self, now: float) -> bool:
        """Whether there is a conclusion that has not held for long enough yet."""
        unsettled = now - SETTLE_SECONDS
        return any(since > unsettled for since in self._judged_since_by_id.values())

    def adopted_ids(self, now: float) -> list[str]:
        """Return the segments in quarantine only since a peer or the store says so."""
        judged_by_id = self.judged_by_id(now)
        return [
            segment_id
            for segment_id, (_, until) in self._adopted_by_id.items()
            if until > now and segment_id not in judged_by_id
        ]

    def find(self, segment_ids: Sequence[str], now: float) -> SegmentQuarantine | None:
        """Return the quarantine that a prompt with these segments falls under."""
        if not self._judged_by_id and not self._adopted_by_id:
            return None
        for segment_id in segment_ids[:-1]:
            judged = self._judged_by_id.get(segment_id)
            if judged is not None and self._is_in_force(judged, now):
                return judged
            adopted = self._adopted_by_id.get(segment_id)
            if adopted is not None and adopted.until > now:
                return adopted.quarantine
        return None

    def forget(self, now: float) -> None:
        """Remove what counts no longer."""
        for start, crash in list(self._crashes_by_start.items()):
            if now - crash.at > EVIDENCE_SECONDS:
                self._remove(start)
        self._judge(now)
        accused_ids = self._suspect_ids | self._adopted_by_id.keys()
        for known in (self._peer_answers_by_id, self._stated_by_id):
            for segment_id in known.keys() - accused_ids:
                del known[segment_id]

    def _is_in_force(self, judged: SegmentQuarantine, now: float) -> bool:
        since = self._judged_since_by_id[judged.segment_id]
        return since <= now - SETTLE_SECONDS and judged.ends_at > now

    def _stated_quarantines(self, now: float) -> tuple[SegmentQuarantine, ...]:
        return tuple(
            quarantine
            for segment_id, quarantine in self.judged_by_id(now).items()
            if self._judged_since_by_id[segment_id] <= now - STATE_SECONDS
        )

    def _stated_crashes(
        self, starts: Sequence[tuple[str, int]]
    ) -> tuple[EndpointCrash, ...]:
        return tuple(
            self._crashes_by_start[start] for start in starts[-MAX_STATED_CRASHES:]
        )

    def _answers(self, segment_ids: Iterable[str]) -> tuple[SegmentAnswer, ...]:
        return tuple(
            SegmentAnswer(each, self._answered_at(each)) for each in segment_ids
        )

    def _merge(self, crash: EndpointCrash) -> bool:
        """Add a crash or its unknown prompts; return whether there are any."""
        start = crash.endpoint_id, crash.born
        # The first observation sets the time: rounding on the way to and from peers
        # would otherwise change it again and again.
        known = self._crashes_by_start.get(start, crash._replace(prompts=()))
        prompts = _bounded(known.prompts + crash.prompts)
        if prompts == known.prompts:
            return False
        self._crashes_by_start[start] = known._replace(prompts=prompts)
        while len(self._crashes_by_start) > MAX_CRASHES:
            self._remove(next(iter(self._crashes_by_start)))
        return True

    def _remove(self, start: tuple[str, int]) -> None:
        del self._crashes_by_start[start]
        self._seen_at_by_start.pop(start, None)

    def _adopt(self, quarantine: SegmentQuarantine, until: float) -> bool:
        """Take over a quarantine; return whether it is news here.

        `_judge` drops it if an answer is known that the one who states it doesn't know.
        """
        known = self._adopted_by_id.get(quarantine.segment_id)
        if known is not None:
            until = max(until, known.until)
        adopted = quarantine._replace(crashes=0)
        self._adopted_by_id[quarantine.segment_id] = _Adopted(adopted, until)
        return known is None

    def _state_answers(self, segment_ids: Iterable[str], now: float) -> bool:
        """State this daemon's answers that the peers don't know of, if there are any.

        Returns whether there are.
        """
        tells = False
        for segment_id in segment_ids:
            at = self._own_answers_by_id.get(segment_id)
            if at is None:
                continue
            stated = self._stated_by_id.get(segment_id, _NEVER_STATED)
            known_at = self._peer_answers_by_id.get(segment_id, -inf)
            if now - stated.since <= REPORT_SECONDS:
                known_at = max(known_at, stated.answered_at)
            if at > known_at + RESTATE_SECONDS:
                self._stated_by_id[segment_id] = _Stated(at, now)
                tells = True
        return tells

    def _answered_at(self, segment_id: str) -> float:
        return max(
            self._own_answers_by_id.get(segment_id, -inf),
            self._peer_answers_by_id.get(segment_id, -inf),
        )

    def _is_answered(self, segment_id: str) -> bool:
        return self._answered_at(segment_id) > -inf

    def _judge(self, now: float) -> None:
        """Conclude which segments are to be quarantined."""
        crashes = list(self._crashes_by_start.values())
        self._suspect_ids = set().union(*(each.segment_ids for each in crashes))
        self._adopted_by_id = {
            segment_id: adopted
            for segment_id, adopted in self._adopted_by_id.items()
            if adopted.until > now
            and self._answered_at(segment_id) <= adopted.quarantine.last_crash_at
        }
        judged_by_id = judge(crashes, self._answered_at)
        self._judged_by_id = judged_by_id
        self._judged_since_by_id = {
            each: self._judged_since_by_id.get(each, now) for each in judged_by_id
        }


def _bounded(prompts: Iterable[tuple[str, ...]]) -> tuple[tuple[str, ...], ...]:
    """Return the different prompts, as far as the bounds admit them."""
    kept: dict[tuple[str, ...], None] = {}
    left = MAX_SEGMENTS
    for prompt in prompts:
        if prompt not in kept and len(prompt) <= left and len(kept) < MAX_PROMPTS:
            kept[prompt] = None
            left -= len(prompt)
    return tuple(kept)


_NEVER_STATED = _Stated(-inf, -inf)

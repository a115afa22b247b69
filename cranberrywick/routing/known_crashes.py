"""What a daemon knows of crashes, and of the traits that are quarantined for them.

What each daemon has seen of crashes and answers is merged from all of them, so that all
draw the same conclusion from it; see `cranberrywick.routing.crash_judgement`. A
daemon that has missed crashes, or has just started, takes over the conclusion itself
from its peers and from the store.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from math import inf
from typing import NamedTuple

from cranberrywick.routing.crash_judgement import (
    Suspicion,
    judge,
    suspicions,
)
from cranberrywick.routing.crash_statement import (
    EVIDENCE_SECONDS,
    NOTHING_STATED,
    ROUNDING_SECONDS,
    CrashStatement,
    EndpointCrash,
    Quarantine,
    TraitAnswer,
    adds_to,
    merge_lost,
)
from cranberrywick.routing.request_traits import (
    RequestTraits,
    is_narrow,
    request_head,
)

__all__ = ["SETTLE_SECONDS", "KnownCrashes"]

# How long a daemon states a crash that it has seen, or an answer, in seconds. This
# covers several heartbeats of the largest fleets, any of which may be lost.
REPORT_SECONDS = 10.0
# Least time between two answers to a trait of which the later one is stated, too.
RESTATE_SECONDS = 1.0
# How long a conclusion on a shared trait must have held before it is in force here, and
# any one before it is stated, in seconds. Until then it may rest on a part of what the
# peers have seen.
SETTLE_SECONDS = 0.05
STATE_SECONDS = 0.5
# How long a quarantine that peers state holds here without being stated again, in
# seconds. A daemon that has lost contact meanwhile has not received the crashes.
ADOPTED_SECONDS = 15.0
# The same for one that the store has on record, in seconds. The record is read again
# before that.
RESTORED_SECONDS = 90.0
# Bounds of what is kept: crashes, and traits that were answered.
MAX_CRASHES = 256
MAX_ANSWERED = 4096
# Bounds of one statement, which has to fit into a datagram with all else that a
# heartbeat states: crashes and their traits, answers and quarantines.
MAX_STATED_CRASHES = 32
MAX_STATED_TRAITS = 400
MAX_STATED_ANSWERS = 200
MAX_STATED_QUARANTINES = 100


class _Adopted(NamedTuple):
    quarantine: Quarantine
    until: float


class _Stated(NamedTuple):
    """An answer that this daemon states, and since when."""

    answered_at: float
    since: float


class KnownCrashes:
    """The crashes and answers that are known here, and what follows from them.

    >>> from cranberrywick.routing.crash_statement import LostRequest
    >>> crashes = KnownCrashes()
    >>> for at in (1.0, 2.0, 3.0):
    ...     lost = LostRequest(("first", "bad", f"own/{at}"), sent_for=0.1)
    ...     _ = crashes.add(EndpointCrash(f"e{at}", 1, at, (lost,)), now=at)
    >>> bad = RequestTraits(("first", "bad", "7"), b"POST", "host", b"/", b"")
    >>> [each.trait_id for each in crashes.find(bad, now=4.0)]
    ['bad']
    """

    def __init__(self) -> None:
        self._crashes_by_start: dict[tuple[str, int], EndpointCrash] = {}
        # How often they have changed.
        self.changes = 0
        # When this daemon last added something to a crash.
        self._seen_at_by_start: dict[tuple[str, int], float] = {}
        # The traits of all known crashes; these and the adopted ones; and the heads of
        # those that have one.
        self._suspect_ids: set[str] = set()
        self._accused_ids: set[str] = set()
        self._heads: set[str] = set()
        self._own_answers_by_id: OrderedDict[str, float] = OrderedDict()
        self._peer_answers_by_id: dict[str, float] = {}
        self._stated_by_id: dict[str, _Stated] = {}
        self._judged_by_id: dict[str, Quarantine] = {}
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
        self._state_answers(crash.trait_ids, now)
        return True

    def has_crashed(self, endpoint_id: str, born: int) -> bool:
        """Whether a start of an endpoint is known to have crashed."""
        return (endpoint_id, born) in self._crashes_by_start

    def answered(self, traits: RequestTraits, is_whole: bool, now: float) -> bool:
        """Record an answer which shows that its request crashes no endpoint.

        Until the answer ``is_whole``, it doesn't show that for the request's content.
        Returns whether the peers are to be told, since one of the traits was at a
        crash.
        """
        accused_ids = traits.among(self._accused_ids, self._heads)
        if not is_whole:
            accused_ids = [each for each in accused_ids if each != traits.content]
        for trait_id in (*traits.shared, *accused_ids):
            self._own_answers_by_id[trait_id] = now
            self._own_answers_by_id.move_to_end(trait_id)
        while len(self._own_answers_by_id) > MAX_ANSWERED:
            self._own_answers_by_id.popitem(last=False)
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
            trait_id
            for trait_id, stated in self._stated_by_id.items()
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
                accused_ids |= crash.trait_ids
        for trait_id, at in statement.answers:
            known_at = self._peer_answers_by_id.get(trait_id, -inf)
            self._peer_answers_by_id[trait_id] = max(at, known_at)
            is_changed |= self._is_news(trait_id, at, known_at)
        for quarantine in statement.quarantines:
            if self._adopt(quarantine, now + ADOPTED_SECONDS):
                accused_ids.add(quarantine.trait_id)
        if accused_ids or is_changed:
            self._judge(now)
        return self._state_answers(accused_ids, now)

    def restore(self, trait_ids: Iterable[str], now: float) -> None:
        """Quarantine the traits that the store has on record.

        They are released after `RESTORED_SECONDS` unless this is called again.
        """
        self._restored_at_by_id = {
            each: self._restored_at_by_id.get(each, now) for each in trait_ids
        }
        for trait_id, restored_at in self._restored_at_by_id.items():
            quarantine = Quarantine(trait_id, restored_at)
            self._adopt(quarantine, now + RESTORED_SECONDS)
        self._judge(now)

    # Conclusions

    def judged_by_id(self, now: float) -> dict[str, Quarantine]:
        """Return the quarantines that follow from known crashes, by their traits."""
        return {
            trait_id: quarantine
            for trait_id, quarantine in self._judged_by_id.items()
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
        """Return the traits in quarantine only since a peer or the store says so."""
        judged_by_id = self.judged_by_id(now)
        return [
            trait_id
            for trait_id, (_, until) in self._adopted_by_id.items()
            if until > now and trait_id not in judged_by_id
        ]

    def find(self, traits: RequestTraits, now: float) -> list[Quarantine]:
        """Return the quarantines that a request with these traits falls under."""
        if not self._judged_by_id and not self._adopted_by_id:
            return []
        found = []
        for trait_id in traits.among(self._judged_by_id, self._heads):
            judged = self._judged_by_id[trait_id]
            if self._is_in_force(judged, now):
                found.append(judged)
        judged_ids = {each.trait_id for each in found}
        for trait_id in traits.among(self._adopted_by_id, self._heads):
            adopted = self._adopted_by_id[trait_id]
            if adopted.until > now and trait_id not in judged_ids:
                found.append(adopted.quarantine)
        return found

    def forget(self, now: float) -> None:
        """Remove what counts no longer."""
        for start, crash in list(self._crashes_by_start.items()):
            if now - crash.at > EVIDENCE_SECONDS:
                self._remove(start)
        self._judge(now)
        for known in (self._peer_answers_by_id, self._stated_by_id):
            for trait_id in known.keys() - self._accused_ids:
                del known[trait_id]

    def _is_in_force(self, judged: Quarantine, now: float) -> bool:
        since = self._judged_since_by_id[judged.trait_id]
        # Nobody else is refused for what is one request's own.
        settled = since if is_narrow(judged.trait_id) else since + SETTLE_SECONDS
        return settled <= now < judged.ends_at

    def _stated_quarantines(self, now: float) -> tuple[Quarantine, ...]:
        stated = [
            quarantine
            for trait_id, quarantine in self.judged_by_id(now).items()
            if self._judged_since_by_id[trait_id] <= now - STATE_SECONDS
        ]
        return tuple(stated[:MAX_STATED_QUARANTINES])

    def _stated_crashes(
        self, starts: Sequence[tuple[str, int]]
    ) -> tuple[EndpointCrash, ...]:
        """Return the last crashes, as many as one statement may have."""
        crashes: list[EndpointCrash] = []
        left = MAX_STATED_TRAITS
        for start in reversed(starts[-MAX_STATED_CRASHES:]):
            crash = self._crashes_by_start[start]
            left -= sum(len(each.traits) for each in crash.lost)
            if left < 0 and crashes:
                break
            crashes.append(crash)
        return tuple(reversed(crashes))

    def _answers(self, trait_ids: Iterable[str]) -> tuple[TraitAnswer, ...]:
        """Return the last answers, as many as one statement may have."""
        answers = [TraitAnswer(each, self._answered_at(each)) for each in trait_ids]
        answers.sort(key=lambda answer: answer.at)
        return tuple(answers[-MAX_STATED_ANSWERS:])

    def _merge(self, crash: EndpointCrash) -> bool:
        """Add a crash or its unknown requests; return whether there are any."""
        start = crash.endpoint_id, crash.born
        known = self._crashes_by_start.get(start, crash._replace(lost=()))
        # What comes late from a peer makes a crash seem later than it was. Rounding
        # would change it again and again.
        is_earlier = crash.at < known.at - ROUNDING_SECONDS
        if not is_earlier and all(each in known.lost for each in crash.lost):
            return False  # Stated again, as it is with each heartbeat.
        lost = merge_lost(known.lost + crash.lost)
        if not is_earlier and not adds_to(known.lost, lost):
            return False
        self.changes += 1
        at = crash.at if is_earlier else known.at
        self._crashes_by_start[start] = known._replace(at=at, lost=lost)
        while len(self._crashes_by_start) > MAX_CRASHES:
            self._remove(next(iter(self._crashes_by_start)))
        return True

    def _remove(self, start: tuple[str, int]) -> None:
        del self._crashes_by_start[start]
        self._seen_at_by_start.pop(start, None)

    def _adopt(self, quarantine: Quarantine, until: float) -> bool:
        """Take over a quarantine; return whether it is news here.

        `_judge` drops it if an answer is known that the one who states it doesn't know.
        """
        known = self._adopted_by_id.get(quarantine.trait_id)
        if known is not None:
            until = max(until, known.until)
        adopted = quarantine._replace(crashes=0)
        self._adopted_by_id[quarantine.trait_id] = _Adopted(adopted, until)
        return known is None

    def _state_answers(self, trait_ids: Iterable[str], now: float) -> bool:
        """State this daemon's answers that the peers don't know of, if there are any.

        Returns whether there are.
        """
        tells = False
        for trait_id in trait_ids:
            at = self._own_answers_by_id.get(trait_id)
            if at is None:
                continue
            stated = self._stated_by_id.get(trait_id, _NEVER_STATED)
            known_at = self._peer_answers_by_id.get(trait_id, -inf)
            if now - stated.since <= REPORT_SECONDS:
                known_at = max(known_at, stated.answered_at)
            if self._is_news(trait_id, at, known_at):
                self._stated_by_id[trait_id] = _Stated(at, now)
                tells = True
        return tells

    def _is_news(self, trait_id: str, at: float, known_at: float) -> bool:
        """Whether an answer matters to daemons that know of an earlier one."""
        quarantine = self._judged_by_id.get(trait_id)
        if quarantine is None and trait_id in self._adopted_by_id:
            quarantine = self._adopted_by_id[trait_id].quarantine
        if quarantine is not None and known_at <= quarantine.last_crash_at < at:
            return True  # It ends the quarantine.
        return at > known_at + RESTATE_SECONDS

    def _answered_at(self, trait_id: str) -> float:
        return max(
            self._own_answers_by_id.get(trait_id, -inf),
            self._peer_answers_by_id.get(trait_id, -inf),
        )

    def _is_answered(self, trait_id: str) -> bool:
        return self._answered_at(trait_id) > -inf

    def _judge(self, now: float) -> None:
        """Conclude which traits are to be quarantined."""
        crashes = list(self._crashes_by_start.values())
        self._suspect_ids = set().union(*(each.trait_ids for each in crashes))
        self._adopted_by_id = {
            trait_id: adopted
            for trait_id, adopted in self._adopted_by_id.items()
            if adopted.until > now
            and self._answered_at(trait_id) <= adopted.quarantine.last_crash_at
        }
        self._accused_ids = self._suspect_ids | self._adopted_by_id.keys()
        self._heads = {request_head(each) for each in self._accused_ids} - {None}
        judged_by_id = judge(crashes, self._answered_at)
        self._judged_by_id = judged_by_id
        self._judged_since_by_id = {
            each: self._judged_since_by_id.get(each, now) for each in judged_by_id
        }


_NEVER_STATED = _Stated(-inf, -inf)

"""The judgement which segments of prompts crash the endpoints that answer them.

Load pattern: every endpoint that begins to answer a prompt with some segment crashes,
whatever else the prompt holds. Such a request fails as if its endpoint had failed, so
it is sent to another one, and so are all that are like it. Each daemon sees some of the
crashes, and at each of them prompts that were only there at the same time. Without this
module such prompts are sent on until most endpoints are gone.

A segment is judged to be the cause if prompts with it were at several crashes and none
has been answered in whole since. Of several such segments, the one that is at most
crashes comes first, and of those the one that stands last in its prompts, which the
fewest other prompts share; crashes that it explains don't count against the others any
more.
"""

from collections.abc import Callable, Iterable
from math import inf
from typing import NamedTuple

from cranberrywick.routing.crash_statement import EndpointCrash, SegmentQuarantine

__all__ = ["Suspicion", "judge", "suspicions"]

# Number of separate crashes after which a segment is quarantined, if no prompt with it
# has been answered yet, and if one has: then since the last answer.
CRASHES_WITHOUT_ANSWER = 3
CRASHES_SINCE_ANSWER = 6
# Crashes that follow within this time, in seconds, count as one: a failure domain that
# loses its power ends many endpoints at once.
COINCIDENCE_SECONDS = 0.1


class Suspicion(NamedTuple):
    """A segment at crashes since its last answer, and how many of them don't coincide.

    A segment is quarantined for ``needed`` separate crashes.
    """

    segment_id: str
    crashes: int
    separate: int
    needed: int


def suspicions(
    crashes: Iterable[EndpointCrash], answered_at: Callable[[str], float]
) -> list[Suspicion]:
    """Return the segments at crashes since their last answers, most crashes first.

    >>> crashes = [EndpointCrash("e1", 1, 1.0, (("first", "bad"),))]
    >>> suspicions(crashes, {"first": 2.0, "bad": 0.5}.__getitem__)
    [Suspicion(segment_id='bad', crashes=1, separate=1, needed=6)]
    """
    times_by_id: dict[str, list[float]] = {}
    for crash in sorted(crashes, key=lambda crash: crash.at):
        for segment_id in crash.segment_ids:
            if crash.at > answered_at(segment_id):
                times_by_id.setdefault(segment_id, []).append(crash.at)
    found = []
    for segment_id, times in times_by_id.items():
        is_answered = answered_at(segment_id) > -inf
        needed = CRASHES_SINCE_ANSWER if is_answered else CRASHES_WITHOUT_ANSWER
        found.append(Suspicion(segment_id, len(times), _separate(times), needed))
    return sorted(found, key=lambda each: (-each.crashes, each.segment_id))


def judge(
    crashes: Iterable[EndpointCrash], answered_at: Callable[[str], float]
) -> dict[str, SegmentQuarantine]:
    """Return the quarantines that follow from these crashes, by their segments.

    ``answered_at`` returns when a prompt with a segment was last answered in whole,
    minus infinity if none was.

    >>> crashes = [
    ...     EndpointCrash(f"e{at}", 1, at, (("first", "bad"), ("first", "good")))
    ...     for at in (1.0, 2.0, 3.0)
    ... ]
    >>> list(judge(crashes, {"bad": -inf, "first": 0.5, "good": 2.5}.__getitem__))
    ['bad']
    """
    unexplained = sorted(crashes, key=lambda crash: crash.at)
    judged_by_id: dict[str, SegmentQuarantine] = {}
    while True:
        cause = _most_likely_cause(unexplained, answered_at)
        if cause is None:
            return judged_by_id
        judged_by_id[cause.segment_id] = cause
        unexplained = [
            crash for crash in unexplained if cause.segment_id not in crash.segment_ids
        ]


def _most_likely_cause(
    crashes: Iterable[EndpointCrash], answered_at: Callable[[str], float]
) -> SegmentQuarantine | None:
    times_by_id: dict[str, list[float]] = {}
    depth_by_id: dict[str, int] = {}
    for crash in crashes:
        for segment_id in crash.segment_ids:
            if crash.at > answered_at(segment_id):
                times_by_id.setdefault(segment_id, []).append(crash.at)
        for prompt in crash.prompts:
            for depth, segment_id in enumerate(prompt):
                known = depth_by_id.get(segment_id, 0)
                depth_by_id[segment_id] = max(known, depth)
    ranks_by_id = {}
    for segment_id, times in times_by_id.items():
        is_answered = answered_at(segment_id) > -inf
        least = CRASHES_SINCE_ANSWER if is_answered else CRASHES_WITHOUT_ANSWER
        if _separate(times) >= least:
            # The id decides between equals, so that all daemons agree.
            ranks_by_id[segment_id] = (len(times), depth_by_id[segment_id], segment_id)
    if not ranks_by_id:
        return None
    worst = max(ranks_by_id, key=ranks_by_id.__getitem__)
    times = times_by_id[worst]
    return SegmentQuarantine(worst, times[-1], len(times))


def _separate(times: Iterable[float]) -> int:
    """Return how many of these times, in ascending order, don't coincide."""
    number, last = 0, -inf
    for at in times:
        if at - last >= COINCIDENCE_SECONDS:
            number, last = number + 1, at
    return number

"""When a model engine will answer, predicted from what it declares of itself.

An engine works in passes. While answers are being written, a pass makes ``stride``
steps for all of them, and between the steps it reads up to a chunk of a waiting
prompt each: what a writer notices as a pause is the whole pass. So a long prompt
holds up every answer at its engine for as long as its reading takes, and a new
prompt's first event comes with the end of the pass that has read it.

>>> read_seconds(profile, prompt_tokens=154_000, parts=4)
0.763
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cranberrywick.routing.load import Job
from cranberrywick.routing.model import EngineProfile

__all__ = ["DELAY_PRICE", "EngineForecast", "forecast", "read_seconds"]

# A new prompt waits for the end of the pass that is running: half of one on average.
RUNNING_PASS_SHARE = 0.5
# A pause this close to what is still on time is counted as too long: prediction and
# delivery are off by some milliseconds.
GAP_MARGIN = 0.9
# What a second costs by which a helper's part delays a prompt that waits to be read, in
# shares of its value, whether or not it is late by that. Without it nothing spares a
# prompt that is late already: parts of others overtook it one after the other, for ten
# seconds and more. By the experiment in ``cranberrywick.bench.prompts`` with many long
# prompts, six seeds of 30 s, it raises their share on time from 0.88 to 0.94.
DELAY_PRICE = 0.05


def read_seconds(profile: EngineProfile, prompt_tokens: int, parts: int = 1) -> float:
    """Return how long one of ``parts`` even parts of a prompt is read alone.

    Each token is compared with every one before it; the parts share these pairs.
    """
    pairs = prompt_tokens * prompt_tokens / 2
    whole = prompt_tokens / profile.read_rate + pairs * profile.pair_seconds
    return whole / parts


class EngineForecast(NamedTuple):
    """An engine's near future, in seconds from now.

    ``pass_seconds`` is what the steps of one pass take for the answers being
    written, ``reading_seconds`` how long it still reads what it has, and
    ``helper_seconds`` the same for the parts of others' prompts alone: these are
    read ahead of the engine's own prompts. ``pace`` is how many times as long as
    declared the engine takes, ``least_pause`` the shortest time between two events of
    an answer.
    """

    now: float
    pace: float
    least_pause: float
    pass_seconds: float
    reading_seconds: float
    helper_seconds: float
    jobs: Sequence[Job]

    def first_event(self, own_reading: float, helper: bool = False) -> float:
        """Return when a prompt with so much reading would be read here.

        A helper's part goes ahead of other reading, but not of the pass that runs:
        with answers being written, that one reads most of what waits.
        """
        overtakes = helper and not self.pass_seconds
        before = self.helper_seconds if overtakes else self.reading_seconds
        steps = (1 + RUNNING_PASS_SHARE) * self.pass_seconds
        return before + self.pace * own_reading + steps

    def breaks(self, gap_seconds: float) -> bool:
        """Whether every answer here has longer pauses than this."""
        return self.least_pause > GAP_MARGIN * gap_seconds

    def harm(self, reading: float, helper: bool = False) -> float:
        """Return the value of the requests here that more reading makes late."""
        seconds = self.pace * reading
        return sum(self._harm(job, seconds, helper) for job in self.jobs)

    def _harm(self, job: Job, reading: float, helper: bool) -> float:
        if job.helper:
            return 0.0
        if not job.writing and helper:
            # Parts that came after it are read before it, so that what its owner
            # expected no longer holds: the whole backlog counts.
            read_at = max(job.first_event_at, self.now + self.reading_seconds)
            is_lost = read_at <= job.due_at < read_at + reading
            return job.value * (is_lost + DELAY_PRICE * reading)
        pause = self.pass_seconds + self.reading_seconds
        if not job.writing:
            # What is read before its own first event is no pause of it.
            pause -= max(0.0, job.first_event_at - self.now)
        is_lost = pause <= GAP_MARGIN * job.gap_seconds < pause + reading
        return job.value * is_lost


def forecast(
    profile: EngineProfile, jobs: Sequence[Job], now: float, pace: float = 1.0
) -> EngineForecast:
    """Return what is to come at an engine with these jobs."""
    pending = [job for job in jobs if not job.writing]
    return EngineForecast(
        now=now,
        pace=pace,
        least_pause=pace * profile.stride * profile.step_seconds,
        pass_seconds=pace * _pass_seconds(profile, jobs),
        reading_seconds=_backlog(pending, now),
        helper_seconds=_backlog([job for job in pending if job.helper], now),
        jobs=jobs,
    )


def _backlog(pending: Sequence[Job], now: float) -> float:
    """Return how long these are still read, one after the other."""
    if not pending:
        return 0.0
    since = now - min(job.started_at for job in pending)
    work = sum(job.reading_seconds for job in pending) - since
    last = max(job.first_event_at for job in pending) - now
    return max(0.0, work, last)


def _pass_seconds(profile: EngineProfile, jobs: Iterable[Job]) -> float:
    writers = 0
    context = 0
    for job in jobs:
        if job.writing:
            writers += 1
            context += job.held_tokens
    if not writers:
        return 0.0
    own = writers * profile.writer_seconds + context * profile.context_seconds
    return profile.stride * (profile.step_seconds + own)

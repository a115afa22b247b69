"""When a model engine will answer, predicted from what it declares of itself.

An engine works in passes. While answers are being written, a pass makes ``stride``
steps for all of them, and between the steps it reads up to a chunk of a waiting
prompt each: what a writer notices as a pause is the whole pass. So a long prompt
holds up every answer at its engine for as long as its reading takes, and a new
prompt's first event comes with the end of the pass that has read it.

Prompts that one engine reads alone are read as they came. Parts of prompts that
several engines read go ahead of those, and the last that came goes first: each later
one delays all that still wait, by the whole of its reading. A forecast that takes them
for read as they came is off by seconds in a burst of long prompts.

>>> prefill_time(profile, prompt_tokens=154_000, parts=4)
0.763
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cranberrywick.routing.load import Job
from cranberrywick.routing.model import EngineProfile

__all__ = ["DELAY_PRICE", "EngineForecast", "forecast", "prefill_time"]

# A new prompt waits for the end of the pass that is running: half of one on average.
RUNNING_PASS_SHARE = 0.5
# A pause this close to what is still on time is counted as too long: prediction and
# delivery are off by some milliseconds.
GAP_MARGIN = 0.9
# What a second costs by which a part delays a prompt that waits to be read, in shares
# of its value, whether or not it is late by that. Without it nothing spares a prompt
# that is late already: parts of others overtake it one after the other, for ten seconds
# and more.
DELAY_PRICE = 0.05


def prefill_time(profile: EngineProfile, prompt_tokens: int, parts: int = 1) -> float:
    """Return how long one of ``parts`` even parts of a prompt is read alone.

    Each token is compared with every one before it; the parts share these pairs.
    """
    pairs = prompt_tokens * prompt_tokens / 2
    whole = prompt_tokens / profile.prefill_rate + pairs * profile.pair_seconds
    return whole / parts


class Pending(NamedTuple):
    """A reading that has not ended, and in how many seconds it does."""

    job: Job
    ready_in: float


class _Unread(NamedTuple):
    """A job and the seconds that its engine has still to read for it."""

    job: Job
    seconds: float


class EngineForecast(NamedTuple):
    """An engine's near future, in seconds from now.

    ``pass_seconds`` is what the steps of one pass take for the answers being
    written, ``prefill_seconds`` how long it still reads what it has. ``slowdown`` is
    how many times as long as declared the engine takes, ``least_pause`` the shortest
    time between two events of an answer.
    """

    now: float
    slowdown: float
    least_pause: float
    pass_seconds: float
    prefill_seconds: float
    pending: Sequence[Pending]
    decoding: Sequence[Job]

    def _overtakes(self, joint: bool) -> bool:
        """Whether a new part would be read before what waits here."""
        return joint and not self.pass_seconds

    def first_event(self, own_reading: float, joint: bool = False) -> float:
        """Return when a prompt with so much reading would be read here.

        A part of a ``joint`` prompt goes ahead of other reading, but not of the pass
        that runs: with answers being written, that one reads most of what waits.
        """
        before = 0.0 if self._overtakes(joint) else self.prefill_seconds
        # Even at an engine that writes nothing yet, the first event comes after a pass.
        steps = max(self.pass_seconds, self.least_pause)
        running = RUNNING_PASS_SHARE * self.pass_seconds
        return before + self.slowdown * own_reading + running + steps

    def breaks(self, gap_seconds: float, joint: bool = False) -> bool:
        """Whether an answer that begins here now has a longer pause than this.

        A joint prompt's first event comes before what its part has overtaken: all of
        that is then read in the first pause of its answer.
        """
        pause = self.least_pause
        if self._overtakes(joint):
            pause += self.prefill_seconds
        return pause > GAP_MARGIN * gap_seconds

    def interference(self, reading: float, joint: bool = False) -> float:
        """Return the value of the requests here that more reading makes late."""
        seconds = self.slowdown * reading
        pause = self.pass_seconds + self.prefill_seconds
        cost = sum(_broken(job, pause, seconds) for job in self.decoding)
        for job, ready_in in self.pending:
            if joint:
                cost += self._overtaking_cost(job, ready_in, seconds)
            elif not job.helper:
                # What is read before its own first event is no pause of it.
                cost += _broken(job, pause - ready_in, seconds)
        return cost

    def _overtaking_cost(self, job: Job, ready_in: float, reading: float) -> float:
        """Return what it costs to be read before a prompt that waits here."""
        read_at = max(job.first_event_at, self.now + ready_in)
        is_lost = read_at <= job.due_at < self.now + ready_in + reading
        return job.value * (is_lost + DELAY_PRICE * reading)


def _broken(job: Job, pause: float, reading: float) -> float:
    """Return the value of an answer that so much reading gives too long a pause."""
    is_lost = pause <= GAP_MARGIN * job.gap_seconds < pause + reading
    return job.value * is_lost


def forecast(
    profile: EngineProfile, jobs: Sequence[Job], now: float, slowdown: float = 1.0
) -> EngineForecast:
    """Return what is to come at an engine with these jobs."""
    pending, prefill_seconds = _pending(jobs, now)
    return EngineForecast(
        now=now,
        slowdown=slowdown,
        least_pause=slowdown * profile.stride * profile.step_seconds,
        pass_seconds=slowdown * _pass_seconds(profile, jobs),
        prefill_seconds=prefill_seconds,
        pending=pending,
        decoding=[job for job in jobs if job.decoding and not job.helper],
    )


def _pending(jobs: Sequence[Job], now: float) -> tuple[list[Pending], float]:
    """Return what is still read, in the order in which that ends, and for how long."""
    waiting = [job for job in jobs if not job.decoding]
    if not waiting:
        return [], 0.0
    waiting.sort(key=lambda job: job.started_at)
    # Parts are a stack, whose last is read next; prompts that are read here alone
    # stand in line, whose first is next.
    stack: list[_Unread] = []
    line: list[_Unread] = []
    read_until = waiting[0].started_at
    for job in waiting:
        _read(stack, line, job.started_at - read_until)
        read_until = max(read_until, job.started_at)
        (stack if job.joint else line).append(_Unread(job, job.prefill_seconds))
    _read(stack, line, now - read_until)
    pending, total = [], 0.0
    for job, seconds in [*reversed(stack), *line]:
        total += seconds
        pending.append(Pending(job, total))
    return pending, total


def _read(stack: list[_Unread], line: list[_Unread], seconds: float) -> None:
    """Let an engine read for so long."""
    while seconds > 0 and (stack or line):
        queue, index = (stack, -1) if stack else (line, 0)
        unread = queue[index]
        if unread.seconds > seconds:
            queue[index] = unread._replace(seconds=unread.seconds - seconds)
            return
        seconds -= unread.seconds
        queue.pop(index)


def _pass_seconds(profile: EngineProfile, jobs: Iterable[Job]) -> float:
    writers = 0
    context = 0
    for job in jobs:
        if job.decoding:
            writers += 1
            context += job.held_tokens
    if not writers:
        return 0.0
    own = writers * profile.writer_seconds + context * profile.context_seconds
    return profile.stride * (profile.step_seconds + own)

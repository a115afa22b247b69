"""Prediction of when a model engine answers, from the profile that it declares.

An engine works in passes. While it decodes answers, a pass makes ``stride`` steps for
all of them, and with each step it reads up to one chunk of a waiting prompt. The pause
between two events of an answer is the length of the whole pass. A long prompt therefore
delays every answer at its engine for as long as its prefill takes, and the first event
of a new prompt is sent at the end of the pass that finishes its prefill.

Prompts that one engine reads alone are read in the order of their arrival. Parts of
joint prompts, which several engines read, are read before those, the latest arrival
first: each new part delays everything that still waits by its whole prefill time. A
forecast that assumed the order of arrival for them was off by seconds in a burst of
long prompts.

>>> prefill_time(profile, prompt_tokens=154_000, parts=4)
0.763
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cranberrywick.routing.load import Job
from cranberrywick.routing.model import EngineProfile

__all__ = ["DELAY_PRICE", "EngineForecast", "forecast", "prefill_time"]

# A new prompt waits for the end of the running pass, which takes half of a pass on
# average.
RUNNING_PASS_SHARE = 0.5
# A predicted pause above this share of its target counts as too long, since prediction
# and delivery vary by some milliseconds.
GAP_MARGIN = 0.9
# Price of delaying a waiting prompt by one second, as a share of its value, whether or
# not the delay makes it late. Without this price nothing protects a prompt that is late
# already: parts of other prompts overtook it one after another, for ten seconds and
# more.
DELAY_PRICE = 0.05


def prefill_time(profile: EngineProfile, prompt_tokens: int, parts: int = 1) -> float:
    """Return the seconds that an idle engine needs for one of ``parts`` equal parts.

    Attention compares each token with all earlier ones; the parts divide these pairs
    equally as well.
    """
    pairs = prompt_tokens * prompt_tokens / 2
    whole = prompt_tokens / profile.prefill_rate + pairs * profile.pair_seconds
    return whole / parts


class Pending(NamedTuple):
    """A job whose prefill has not ended, and the seconds until it does."""

    job: Job
    ready_in: float


class _UnfinishedPrefill(NamedTuple):
    """A job and the seconds of prefill that its engine still has to do for it."""

    job: Job
    seconds: float


class EngineForecast(NamedTuple):
    """What an engine will do for its present jobs; times are in seconds from ``now``.

    ``pass_seconds`` is how long the steps of one pass take for the answers being
    decoded, ``prefill_seconds`` the prefill that remains for all jobs. ``slowdown`` is
    how many times as long as declared the engine takes, ``min_pause`` the shortest
    time between two events of an answer.
    """

    now: float
    slowdown: float
    min_pause: float
    pass_seconds: float
    prefill_seconds: float
    pending: Sequence[Pending]
    decoding: Sequence[Job]

    def _overtakes(self, joint: bool) -> bool:
        """Whether a new part is read before everything that waits at this engine."""
        return joint and not self.pass_seconds

    def first_event(self, own_prefill: float, joint: bool = False) -> float:
        """Return in how many seconds a prompt placed here now has its first event.

        ``own_prefill`` is the prefill time that it adds, in seconds as declared. A part
        of a ``joint`` prompt is read before other waiting prompts, but not before the
        end of the running pass, which reads most of them if answers are being decoded.
        """
        before = 0.0 if self._overtakes(joint) else self.prefill_seconds
        # Even at an engine that decodes nothing yet, the first event follows a pass.
        steps = max(self.pass_seconds, self.min_pause)
        running = RUNNING_PASS_SHARE * self.pass_seconds
        return before + self.slowdown * own_prefill + running + steps

    def exceeds_gap(self, gap_seconds: float, joint: bool = False) -> bool:
        """Whether an answer that begins here now has a pause longer than its target.

        ``gap_seconds`` is that target. The first event of a joint prompt precedes the
        prefill that its part has overtaken, all of which then falls into the first
        pause of its answer.
        """
        pause = self.min_pause
        if self._overtakes(joint):
            pause += self.prefill_seconds
        return pause > GAP_MARGIN * gap_seconds

    def interference(self, prefill: float, joint: bool = False) -> float:
        """Return the price of an additional prefill for the requests at this engine.

        That is the value of those that it makes late and, where a part of a ``joint``
        prompt overtakes others, the price of their delay. ``prefill`` is its length in
        seconds as declared.
        """
        seconds = self.slowdown * prefill
        pause = self.pass_seconds + self.prefill_seconds
        cost = sum(_value_if_gap_missed(job, pause, seconds) for job in self.decoding)
        for job, ready_in in self.pending:
            if joint:
                cost += self._overtaking_cost(job, ready_in, seconds)
            elif not job.helper:
                # Prefill that precedes its own first event causes no pause in its
                # answer.
                cost += _value_if_gap_missed(job, pause - ready_in, seconds)
        return cost

    def _overtaking_cost(self, job: Job, ready_in: float, prefill: float) -> float:
        """Return the price of overtaking a prompt that waits here."""
        read_at = max(job.first_event_at, self.now + ready_in)
        becomes_late = read_at <= job.due_at < self.now + ready_in + prefill
        return job.value * (becomes_late + DELAY_PRICE * prefill)


def _value_if_gap_missed(job: Job, pause: float, prefill: float) -> float:
    """Return the answer's value if ``prefill`` more seconds make its pause too long.

    It is zero if the pause is too long already, or still within its target.
    """
    becomes_late = pause <= GAP_MARGIN * job.gap_seconds < pause + prefill
    return job.value * becomes_late


def forecast(
    profile: EngineProfile, jobs: Sequence[Job], now: float, slowdown: float = 1.0
) -> EngineForecast:
    """Return the forecast for an engine with these jobs."""
    pending, prefill_seconds = _pending(jobs, now)
    return EngineForecast(
        now=now,
        slowdown=slowdown,
        min_pause=slowdown * profile.stride * profile.step_seconds,
        pass_seconds=slowdown * _pass_seconds(profile, jobs),
        prefill_seconds=prefill_seconds,
        pending=pending,
        decoding=[job for job in jobs if job.decoding and not job.helper],
    )


def _pending(jobs: Sequence[Job], now: float) -> tuple[list[Pending], float]:
    """Return the unfinished prefills in the order of their ends, and their total time.

    The time is in seconds.
    """
    waiting = [job for job in jobs if not job.decoding]
    if not waiting:
        return [], 0.0
    waiting.sort(key=lambda job: job.started_at)
    # Parts of joint prompts form a stack; prompts that are read here alone form a queue
    # that is read while the stack is empty.
    stack: list[_UnfinishedPrefill] = []
    queue: list[_UnfinishedPrefill] = []
    read_until = waiting[0].started_at
    for job in waiting:
        _advance_prefill(stack, queue, job.started_at - read_until)
        read_until = max(read_until, job.started_at)
        (stack if job.joint else queue).append(
            _UnfinishedPrefill(job, job.prefill_seconds)
        )
    _advance_prefill(stack, queue, now - read_until)
    pending, total = [], 0.0
    for job, seconds in [*reversed(stack), *queue]:
        total += seconds
        pending.append(Pending(job, total))
    return pending, total


def _advance_prefill(
    stack: list[_UnfinishedPrefill], queue: list[_UnfinishedPrefill], seconds: float
) -> None:
    """Advance the engine's prefill by a number of seconds."""
    while seconds > 0 and (stack or queue):
        source, index = (stack, -1) if stack else (queue, 0)
        unfinished = source[index]
        if unfinished.seconds > seconds:
            source[index] = unfinished._replace(seconds=unfinished.seconds - seconds)
            return
        seconds -= unfinished.seconds
        source.pop(index)


def _pass_seconds(profile: EngineProfile, jobs: Iterable[Job]) -> float:
    answers = 0
    context_tokens = 0
    for job in jobs:
        if job.decoding:
            answers += 1
            context_tokens += job.held_tokens
    if not answers:
        return 0.0
    extra = answers * profile.writer_seconds + context_tokens * profile.context_seconds
    return profile.stride * (profile.step_seconds + extra)

"""When a model engine will answer, predicted from what it declares of itself.

An engine works in passes. A pass reads a chunk of one waiting prompt and, if answers
are being written, makes a number of steps for all of them. So a prompt's first token
comes after what is read before it, its own reading, and the steps of the passes that
its reading takes.

>>> size = PromptSize(prompt_tokens=154_000, output_tokens=800)
>>> read_seconds(profile, size.prompt_tokens, parts=4)
0.763
"""

from collections.abc import Iterable
from math import ceil

from cranberrywick.routing.load import Job
from cranberrywick.routing.model import EngineProfile

__all__ = ["first_event_seconds", "read_seconds", "step_seconds", "waiting_seconds"]


def read_seconds(profile: EngineProfile, prompt_tokens: int, parts: int = 1) -> float:
    """Return how long one of ``parts`` even parts of a prompt is read alone.

    Each token is compared with every one before it; the parts share these pairs.
    """
    pairs = prompt_tokens * prompt_tokens / 2
    whole = prompt_tokens / profile.read_rate + pairs * profile.pair_seconds
    return whole / parts


def step_seconds(profile: EngineProfile, jobs: Iterable[Job]) -> float:
    """Return how long one step for all running answers takes; 0 without any."""
    writers = 0
    context = 0.0
    for job in jobs:
        if job.writing and not job.helper:
            writers += 1
            context += job.prompt_tokens + job.output_tokens / 2
    if not writers:
        return 0.0
    own = writers * profile.writer_seconds + context * profile.context_seconds
    return profile.step_seconds + own


def waiting_seconds(jobs: Iterable[Job], now: float) -> float:
    """Return how long the engine still reads what it has."""
    return max(
        (job.first_event_at - now for job in jobs if not job.writing), default=0.0
    )


def first_event_seconds(
    profile: EngineProfile,
    jobs: Iterable[Job],
    prompt_tokens: int,
    parts: int,
    now: float,
) -> float:
    """Return when the first event of a new prompt would come, in seconds from now."""
    jobs = list(jobs)
    passes = ceil(prompt_tokens / parts / profile.chunk_tokens)
    steps = passes * profile.stride * step_seconds(profile, jobs)
    own = read_seconds(profile, prompt_tokens, parts) + steps
    return max(0.0, waiting_seconds(jobs, now)) + own

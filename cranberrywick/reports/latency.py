"""Latency of answered requests, read from daemons' logs.

First-token latencies are grouped by the length of the prompt. Those of short prompts
are also grouped by how many tokens of longer prompts arrived in the same second; the
difference between these two groups shows how much long prompts slow down short ones.
Calls without a prompt are grouped by endpoint.

>>> report = latency_of(lines)
>>> report.by_length["under 8,000"].p95
0.153
"""

from collections import defaultdict
from collections.abc import Hashable, Iterable, Mapping, Sequence
from statistics import quantiles
from typing import NamedTuple

from cranberrywick.reports.log_lines import LogLine
from cranberrywick.reports.losses import REQUEST_ENDED, arrival_time

__all__ = ["Latency", "LatencyReport", "latency_of", "length_name"]

# Exclusive upper bound, in tokens, of each group of prompt lengths, by its name.
UPPER_BOUND_BY_LENGTH = {
    "under 8,000": 8_000,
    "8,000 to 30,000": 30_000,
    "30,000 to 100,000": 100_000,
    "100,000 and more": float("inf"),
}
SHORT_LENGTH, *LONGER_LENGTHS = UPPER_BOUND_BY_LENGTH


class Latency(NamedTuple):
    """Latencies of a group of requests, in seconds.

    They are times from a request's arrival to the first event of its stream, or to
    the end of a call that is not a stream. ``count`` is the number of requests,
    ``late`` the number of those answered after their target.
    """

    count: int
    late: int
    p50: float
    p95: float
    p99: float


class LatencyReport(NamedTuple):
    """Latencies by prompt length, of short prompts by long work, and by endpoint."""

    by_length: Mapping[str, Latency]
    short_by_long_work: Mapping[str, Latency]
    calls_by_endpoint: Mapping[str, Latency]


class _Answer(NamedTuple):
    second: int
    tokens: float
    endpoint: str
    seconds: float
    target: float


def latency_of(lines: Iterable[LogLine]) -> LatencyReport:
    """Return the latencies of the requests that these lines describe."""
    ended = (line for line in lines if line.event == REQUEST_ENDED)
    answers = [answer for answer in map(_parse_answer, ended) if answer is not None]
    prompts = [answer for answer in answers if answer.tokens]
    calls = [answer for answer in answers if not answer.tokens]
    by_length = _latency_by_key(
        (length_name(prompt.tokens), prompt) for prompt in prompts
    )
    return LatencyReport(
        {name: by_length[name] for name in UPPER_BOUND_BY_LENGTH if name in by_length},
        _latency_by_key(_group_short_by_long_work(prompts)),
        _latency_by_key((call.endpoint, call) for call in calls),
    )


def _parse_answer(line: LogLine) -> _Answer | None:
    if line.fields.get("outcome") != "completed" or not line.fields.get("route"):
        return None
    answered_seconds = line.number("first_event") or line.number("seconds")
    if answered_seconds is None:
        return None
    return _Answer(
        int(arrival_time(line)),
        line.number("tokens") or 0.0,
        line.fields.get("endpoint", ""),
        answered_seconds,
        line.number("target") or float("inf"),
    )


def length_name(tokens: float) -> str:
    """Return the name of the group of prompts of this length.

    >>> length_name(5000)
    'under 8,000'
    """
    return next(name for name, bound in UPPER_BOUND_BY_LENGTH.items() if tokens < bound)


def _group_short_by_long_work(
    prompts: Sequence[_Answer],
) -> Iterable[tuple[str, _Answer]]:
    """Yield each short prompt with the name of its group.

    The seconds in which short prompts arrived are sorted by the tokens of longer
    prompts that arrived in the same second; the upper half counts as much long work.
    """
    long_tokens_by_second: dict[int, float] = defaultdict(float)
    short = [answer for answer in prompts if length_name(answer.tokens) == SHORT_LENGTH]
    for answer in prompts:
        long_tokens_by_second[answer.second] += answer.tokens * (
            length_name(answer.tokens) in LONGER_LENGTHS
        )
    seconds = sorted(
        {answer.second for answer in short}, key=long_tokens_by_second.__getitem__
    )
    busy_seconds = set(seconds[len(seconds) // 2 :])
    for answer in short:
        yield (
            "much long work" if answer.second in busy_seconds else "little long work",
            answer,
        )


def _latency_by_key(keyed_answers: Iterable[tuple[Hashable, _Answer]]) -> dict:
    answers_by_key: dict[Hashable, list[_Answer]] = defaultdict(list)
    for key, answer in keyed_answers:
        answers_by_key[key].append(answer)
    return {key: _summarize(group) for key, group in sorted(answers_by_key.items())}


def _summarize(group: Sequence[_Answer]) -> Latency:
    seconds = [answer.seconds for answer in group]
    # Values are doubled because quantiles() needs at least two, and a group may hold
    # only one.
    percentiles = quantiles([*seconds, *seconds], n=100, method="inclusive")
    late = sum(answer.seconds > answer.target for answer in group)
    return Latency(len(group), late, percentiles[49], percentiles[94], percentiles[98])

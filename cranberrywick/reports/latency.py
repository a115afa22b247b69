"""How soon requests were answered, from daemons' logs.

First tokens are grouped by the length of the prompt, and those of short prompts also by
how much long work arrived in the same second: what short requests lose beside long ones
shows as the difference. Calls without a prompt are grouped by endpoint.

>>> report = latency_of(lines)
>>> report.by_length["under 8,000"].p95
0.153
"""

from collections import defaultdict
from collections.abc import Hashable, Iterable, Mapping, Sequence
from statistics import quantiles
from typing import NamedTuple

from cranberrywick.reports.log_lines import LogLine
from cranberrywick.reports.losses import REQUEST_ENDED, arrived_at

__all__ = ["Latency", "LatencyReport", "latency_of"]

# Bounds of prompt lengths, in tokens.
LENGTHS = {
    "under 8,000": 8_000,
    "8,000 to 30,000": 30_000,
    "30,000 to 100,000": 100_000,
    "100,000 and more": float("inf"),
}
SHORT, *LONGER = LENGTHS


class Latency(NamedTuple):
    """Seconds to the first token, or of a whole call.

    ``late`` counts those that came after their target.
    """

    count: int
    late: int
    p50: float
    p95: float
    p99: float


class LatencyReport(NamedTuple):
    """First tokens by length, of short prompts by neighbours, and calls by endpoint."""

    by_length: Mapping[str, Latency]
    short_by_neighbours: Mapping[str, Latency]
    calls_by_endpoint: Mapping[str, Latency]


class _Answer(NamedTuple):
    second: int
    tokens: float
    endpoint: str
    seconds: float
    target: float


def latency_of(lines: Iterable[LogLine]) -> LatencyReport:
    """Return how soon the requests of these lines were answered."""
    ended = (line for line in lines if line.event == REQUEST_ENDED)
    answers = [answer for answer in map(_answer, ended) if answer is not None]
    prompts = [answer for answer in answers if answer.tokens]
    calls = [answer for answer in answers if not answer.tokens]
    by_length = _grouped((_length(each.tokens), each) for each in prompts)
    return LatencyReport(
        {name: by_length[name] for name in LENGTHS if name in by_length},
        _grouped(_short_by_neighbours(prompts)),
        _grouped((each.endpoint, each) for each in calls),
    )


def _answer(line: LogLine) -> _Answer | None:
    if line.fields.get("outcome") != "completed" or not line.fields.get("route"):
        return None
    came = line.number("first_event") or line.number("seconds")
    if came is None:
        return None
    return _Answer(
        int(arrived_at(line)),
        line.number("tokens") or 0.0,
        line.fields.get("endpoint", ""),
        came,
        line.number("target") or float("inf"),
    )


def _length(tokens: float) -> str:
    return next(name for name, bound in LENGTHS.items() if tokens < bound)


def _short_by_neighbours(
    prompts: Sequence[_Answer],
) -> Iterable[tuple[str, _Answer]]:
    """Yield short prompts, half of the seconds that have any as the busier ones."""
    long_tokens: dict[int, float] = defaultdict(float)
    short = [each for each in prompts if _length(each.tokens) == SHORT]
    for each in prompts:
        long_tokens[each.second] += each.tokens * (_length(each.tokens) in LONGER)
    seconds = sorted({each.second for each in short}, key=long_tokens.__getitem__)
    busy = set(seconds[len(seconds) // 2 :])
    for each in short:
        yield "much long work" if each.second in busy else "little long work", each


def _grouped(keyed: Iterable[tuple[Hashable, _Answer]]) -> dict:
    groups: dict[Hashable, list[_Answer]] = defaultdict(list)
    for key, answer in keyed:
        groups[key].append(answer)
    return {key: _latency(group) for key, group in sorted(groups.items())}


def _latency(group: Sequence[_Answer]) -> Latency:
    seconds = [each.seconds for each in group]
    cuts = quantiles([*seconds, *seconds], n=100, method="inclusive")
    late = sum(each.seconds > each.target for each in group)
    return Latency(len(group), late, cuts[49], cuts[94], cuts[98])

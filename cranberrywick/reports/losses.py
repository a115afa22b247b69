"""Where requests were lost: by cause, kind, size and moment, from daemons' logs.

Each `request_ended` line says what was foreseen and what came. What was lost is counted
in worth: a request's share of its route's worth by its size, all of it where there was
no answer and a part where it came late.

>>> report = losses_of(lines, Weights({"captions": 1.3}, late_share=0.25))
>>> report.by_cause[Cause.PAUSED].lost
19.2
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from enum import StrEnum
from typing import NamedTuple

from cranberrywick.reports.log_lines import LogLine

__all__ = [
    "NOT_OWED",
    "REQUEST_ENDED",
    "Cause",
    "LossReport",
    "Lost",
    "Request",
    "Weights",
    "arrived_at",
    "losses_of",
]

REQUEST_ENDED = "request_ended"
# A first event foreseen after more than this share of its target was late by choice.
FORESEEN_SHARE = 0.7
# Waiting for a place for longer than this share of the target is what made it late.
WAITED_SHARE = 0.5
# A prompt's weight by its size, as callers count it: a fixed part, the rest in
# proportion to the mean of its route, and no more than so many times the mean.
FIXED_WEIGHT = 0.3
LARGEST_WEIGHT = 4.0
# Ids that are named for each cause.
MOST_EXAMPLES = 3


class Cause(StrEnum):
    """Why a request was lost or late."""

    ON_TIME = "on time"
    FORESEEN = "late, foreseen"
    UNFORESEEN = "late, not foreseen"
    WAITED = "late, waited for a place"
    REPEATED = "late, after another attempt"
    PAUSED = "pause above the limit"
    REFUSED = "refused"
    BROKEN_OFF = "broken off"
    FAILED = "failed"
    CALLER_GONE = "caller gone"
    LEFT_EARLY = "caller left early"
    NOT_ALLOWED = "not allowed"


# What no daemon could have served: the configuration forbade it, or the caller left
# while everything was still on time.
NOT_OWED = (Cause.NOT_ALLOWED, Cause.LEFT_EARLY)


class Request(NamedTuple):
    """What became of one request."""

    request_id: str
    route: str
    tokens: float
    arrived: float
    cause: Cause
    worth: float
    lost: float


class Lost(NamedTuple):
    """The requests of one cause, or of one kind and cause."""

    count: int
    worth: float
    lost: float
    examples: tuple[str, ...]


class Weights(NamedTuple):
    """What a route's request is worth (1 if not named), and the share kept if late."""

    worth_by_route: Mapping[str, float]
    late_share: float = 0.25


class LossReport(NamedTuple):
    """All requests, and sums over them."""

    requests: Sequence[Request]
    by_cause: Mapping[Cause, Lost]
    by_route: Mapping[tuple[str, Cause], Lost]
    by_second: Mapping[int, Mapping[Cause, float]]

    @property
    def owed(self) -> float:
        """The worth of all requests but those of `NOT_OWED`."""
        owed = (r for r in self.requests if r.cause not in NOT_OWED)
        return sum(request.worth for request in owed)

    @property
    def lost(self) -> float:
        """What of it was lost."""
        return sum(request.lost for request in self.requests)


def losses_of(lines: Iterable[LogLine], weights: Weights) -> LossReport:
    """Return where the requests of these lines were lost."""
    ended = [line for line in lines if line.event == REQUEST_ENDED]
    means = _mean_tokens(ended)
    requests = [_request(line, weights, means) for line in ended if _route(line)]
    requests.sort(key=lambda request: request.arrived)
    by_second: dict[int, dict[Cause, float]] = defaultdict(lambda: defaultdict(float))
    for request in requests:
        by_second[int(request.arrived)][request.cause] += request.lost
    return LossReport(
        requests,
        _grouped((request.cause, request) for request in requests),
        _grouped(((r.route, r.cause), r) for r in requests),
        by_second,
    )


def _route(line: LogLine) -> str:
    return line.fields.get("route", "")


def _mean_tokens(ended: Sequence[LogLine]) -> dict[str, float]:
    tokens_by_route: dict[str, list[float]] = defaultdict(list)
    for line in ended:
        tokens = line.number("tokens")
        if tokens:
            tokens_by_route[_route(line)].append(tokens)
    return {route: sum(all_) / len(all_) for route, all_ in tokens_by_route.items()}


def _request(
    line: LogLine, weights: Weights, mean_by_route: Mapping[str, float]
) -> Request:
    route = _route(line)
    tokens = line.number("tokens") or 0.0
    worth = weights.worth_by_route.get(route, 1.0)
    if tokens:
        size = tokens / mean_by_route[route]
        worth *= min(LARGEST_WEIGHT, FIXED_WEIGHT + (1 - FIXED_WEIGHT) * size)
    cause = _cause(line)
    lost = worth * _lost_share(cause, weights.late_share)
    return Request(
        line.fields.get("request_id", ""),
        route,
        tokens,
        arrived_at(line),
        cause,
        worth,
        lost,
    )


def arrived_at(line: LogLine) -> float:
    """Return when the request of such a line arrived, in seconds of the epoch."""
    try:
        ended_at = datetime.fromisoformat(line.fields["time"]).timestamp()
    except (KeyError, ValueError):
        return 0.0
    return ended_at - (line.number("seconds") or 0.0)


def _lost_share(cause: Cause, late_share: float) -> float:
    if cause is Cause.ON_TIME or cause in NOT_OWED:
        return 0.0
    if cause in (Cause.REFUSED, Cause.BROKEN_OFF, Cause.FAILED, Cause.CALLER_GONE):
        return 1.0
    return 1.0 - late_share


def _cause(line: LogLine) -> Cause:
    outcome = line.fields.get("outcome")
    if outcome == "completed":
        return _cause_of_completed(line)
    if outcome == "caller_gone":
        return _cause_of_left(line)
    status = line.number("status") or 0
    if status in (429, 503):
        return Cause.REFUSED
    if 400 <= status < 500:
        return Cause.NOT_ALLOWED
    began = line.number("first_event") is not None
    return Cause.BROKEN_OFF if began else Cause.FAILED


def _cause_of_left(line: LogLine) -> Cause:
    target = line.number("target") or float("inf")
    came = line.number("first_event") or line.number("seconds") or 0.0
    gap_limit = line.number("gap_target") or float("inf")
    is_late = came > target or (line.number("longest_gap") or 0.0) > gap_limit
    return Cause.CALLER_GONE if is_late else Cause.LEFT_EARLY


def _cause_of_completed(line: LogLine) -> Cause:
    target = line.number("target") or float("inf")
    # A stream is judged by its first event, a call by its end.
    came = line.number("first_event") or line.number("seconds") or 0.0
    if came > target:
        return _cause_of_late(line, target)
    gap_limit = line.number("gap_target")
    if gap_limit and (line.number("longest_gap") or 0.0) > gap_limit:
        return Cause.PAUSED
    return Cause.ON_TIME


def _cause_of_late(line: LogLine, target: float) -> Cause:
    waited = line.number("waited") or 0.0
    if (line.number("sent") or 0) > 1:
        return Cause.REPEATED
    if waited > WAITED_SHARE * target:
        return Cause.WAITED
    foreseen = waited + (line.number("predicted") or 0.0)
    return Cause.FORESEEN if foreseen > FORESEEN_SHARE * target else Cause.UNFORESEEN


def _grouped(keyed: Iterable[tuple]) -> dict:
    """Return the sums of requests by their keys, most lost first."""
    requests_by_key: dict[object, list[Request]] = defaultdict(list)
    for key, request in keyed:
        requests_by_key[key].append(request)
    sums = {
        key: Lost(
            len(group),
            sum(request.worth for request in group),
            sum(request.lost for request in group),
            _examples(group),
        )
        for key, group in requests_by_key.items()
    }
    return dict(sorted(sums.items(), key=lambda item: -item[1].lost))


def _examples(group: Sequence[Request]) -> tuple[str, ...]:
    dearest = sorted(group, key=lambda request: -request.lost)
    return tuple(request.request_id for request in dearest[:MOST_EXAMPLES])

"""Worth of lost requests by cause, route and second, read from daemons' logs.

Each `request_ended` line holds the predicted and the measured times of a request.
Losses are counted in worth: a request has the worth of its route, scaled by the size
of its prompt. All of it is lost when there was no whole answer, and a part of it when
the answer was late or paused for too long. A request whose cause is in `NOT_OWED`
loses nothing.

Lines without a route are not counted: they are of requests that no route matched, or
that came before the first configuration. Operators also probe daemons on routes that
they have just added or are about to remove. Such a probe is logged like a caller's
request on a public route, so these routes are left out by name only.

>>> report = losses_of(lines, Weights({"captions": 1.3}, late_share=0.25))
>>> report.by_cause[Cause.PAUSED].lost
19.2
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import datetime
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from cranberrywick.reports.log_lines import LogLine

__all__ = [
    "NOT_OWED",
    "REQUEST_ENDED",
    "Cause",
    "LossReport",
    "LossSum",
    "Request",
    "Weights",
    "arrival_time",
    "losses_of",
]

REQUEST_ENDED = "request_ended"
# A late request counts as foreseen when the time it waited plus the predicted time of
# the first event exceeded this share of its target: the delay was accepted on sending.
PREDICTED_LATE_SHARE = 0.7
# A late request that waited for a free place longer than this share of its target
# counts as late because of the wait.
WAITED_SHARE = 0.5
# Weight of a prompt by its size, as callers compute it: a fixed part, plus the rest
# times the ratio of its tokens to the mean of its route, up to a largest weight.
FIXED_SIZE_WEIGHT = 0.3
MAX_SIZE_WEIGHT = 4.0
# Most request ids that are listed for each cause.
MAX_EXAMPLES = 3


class Cause(StrEnum):
    """Why a request was lost or late, or that it was on time."""

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


# Causes of requests that the service did not have to answer: the configuration forbade
# the request, or the caller left while everything was still on time.
NOT_OWED = (Cause.NOT_ALLOWED, Cause.LEFT_EARLY)


class Request(NamedTuple):
    """The result of one request.

    ``arrived`` is in seconds of the epoch, ``tokens`` the length of the prompt.
    ``daemon``, ``priority`` and ``organisation`` are as logged, empty if they are not.
    """

    request_id: str
    route: str
    tokens: float
    arrived: float
    cause: Cause
    worth: float
    lost: float
    daemon: str = ""
    priority: str = ""
    organisation: str = ""


class LossSum(NamedTuple):
    """Sums over the requests of one cause, or of one route and cause."""

    count: int
    worth: float
    lost: float
    examples: tuple[str, ...]


class Weights(NamedTuple):
    """Weights by which losses are counted.

    ``worth_by_route`` is the worth of a route's request of mean size, 1 for routes
    not in it. ``late_share`` is the share of its worth, from 0 to 1, that a late
    answer keeps.
    """

    worth_by_route: Mapping[str, float]
    late_share: float = 0.25


class LossReport(NamedTuple):
    """All requests, sorted by arrival, and the sums over them.

    ``left_out`` is how many requests on routes were not to be counted.
    ``anonymous_by_route`` has the number of requests on each counted route of which
    none names an organisation or a number of tokens: such routes may be probes.
    """

    requests: Sequence[Request]
    by_cause: Mapping[Cause, LossSum]
    by_route: Mapping[tuple[str, Cause], LossSum]
    by_second: Mapping[int, Mapping[Cause, float]]
    left_out: int = 0
    anonymous_by_route: Mapping[str, int] = MappingProxyType({})

    @property
    def owed(self) -> float:
        """The worth of all requests except those whose cause is in `NOT_OWED`."""
        owed = (r for r in self.requests if r.cause not in NOT_OWED)
        return sum(request.worth for request in owed)

    @property
    def lost(self) -> float:
        """The worth lost over all requests."""
        return sum(request.lost for request in self.requests)


def losses_of(
    lines: Iterable[LogLine],
    weights: Weights,
    routes_left_out: Collection[str] = (),
) -> LossReport:
    """Return the losses of the requests that these lines describe.

    Requests on ``routes_left_out``, such as operators' probes, are not counted.
    """
    routed = [line for line in lines if line.event == REQUEST_ENDED and _route(line)]
    ended = [line for line in routed if _route(line) not in routes_left_out]
    mean_by_route = _mean_tokens_by_route(ended)
    requests = [_weigh_request(line, weights, mean_by_route) for line in ended]
    requests.sort(key=lambda request: request.arrived)
    by_second: dict[int, dict[Cause, float]] = defaultdict(lambda: defaultdict(float))
    for request in requests:
        by_second[int(request.arrived)][request.cause] += request.lost
    return LossReport(
        requests,
        _sum_by_key((request.cause, request) for request in requests),
        _sum_by_key(((r.route, r.cause), r) for r in requests),
        by_second,
        len(routed) - len(ended),
        _anonymous_by_route(requests),
    )


def _anonymous_by_route(requests: Sequence[Request]) -> dict[str, int]:
    counts = Counter(request.route for request in requests)
    named = {r.route for r in requests if r.organisation or r.tokens}
    return {route: count for route, count in counts.items() if route not in named}


def _route(line: LogLine) -> str:
    return line.fields.get("route", "")


def _mean_tokens_by_route(ended: Sequence[LogLine]) -> dict[str, float]:
    tokens_by_route: dict[str, list[float]] = defaultdict(list)
    for line in ended:
        tokens = line.number("tokens")
        if tokens:
            tokens_by_route[_route(line)].append(tokens)
    return {
        route: sum(counts) / len(counts) for route, counts in tokens_by_route.items()
    }


def _weigh_request(
    line: LogLine, weights: Weights, mean_by_route: Mapping[str, float]
) -> Request:
    route = _route(line)
    tokens = line.number("tokens") or 0.0
    worth = weights.worth_by_route.get(route, 1.0)
    if tokens:
        relative_size = tokens / mean_by_route[route]
        worth *= min(
            MAX_SIZE_WEIGHT, FIXED_SIZE_WEIGHT + (1 - FIXED_SIZE_WEIGHT) * relative_size
        )
    cause = _cause(line)
    lost = worth * _lost_share(cause, weights.late_share)
    return Request(
        line.fields.get("request_id", ""),
        route,
        tokens,
        arrival_time(line),
        cause,
        worth,
        lost,
        line.fields.get("daemon", ""),
        line.fields.get("priority", ""),
        line.fields.get("organisation", ""),
    )


def arrival_time(line: LogLine) -> float:
    """Return when a `request_ended` line's request arrived, in seconds of the epoch."""
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
        return _cause_of_abandoned(line)
    status = line.number("status") or 0
    if status in (429, 503):
        return Cause.REFUSED
    if 400 <= status < 500:
        return Cause.NOT_ALLOWED
    began = line.number("first_event") is not None
    return Cause.BROKEN_OFF if began else Cause.FAILED


def _cause_of_abandoned(line: LogLine) -> Cause:
    target = line.number("target") or float("inf")
    answered_seconds = line.number("first_event") or line.number("seconds") or 0.0
    gap_limit = line.number("gap_target") or float("inf")
    is_late = (
        answered_seconds > target or (line.number("longest_gap") or 0.0) > gap_limit
    )
    return Cause.CALLER_GONE if is_late else Cause.LEFT_EARLY


def _cause_of_completed(line: LogLine) -> Cause:
    target = line.number("target") or float("inf")
    # A stream is judged by its first event, any other call by its end.
    answered_seconds = line.number("first_event") or line.number("seconds") or 0.0
    if answered_seconds > target:
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
    predicted_seconds = waited + (line.number("predicted") or 0.0)
    return (
        Cause.FORESEEN
        if predicted_seconds > PREDICTED_LATE_SHARE * target
        else Cause.UNFORESEEN
    )


def _sum_by_key(keyed_requests: Iterable[tuple]) -> dict:
    """Return the sums of the requests of each key, largest loss first."""
    requests_by_key: dict[object, list[Request]] = defaultdict(list)
    for key, request in keyed_requests:
        requests_by_key[key].append(request)
    sums = {
        key: LossSum(
            len(group),
            sum(request.worth for request in group),
            sum(request.lost for request in group),
            _examples(group),
        )
        for key, group in requests_by_key.items()
    }
    return dict(sorted(sums.items(), key=lambda item: -item[1].lost))


def _examples(group: Sequence[Request]) -> tuple[str, ...]:
    largest_losses = sorted(group, key=lambda request: -request.lost)
    return tuple(request.request_id for request in largest_losses[:MAX_EXAMPLES])

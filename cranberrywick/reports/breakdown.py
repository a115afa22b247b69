"""Outcomes of requests by priority, organisation, failure domain or prompt length.

>>> counts_by_group(report.requests, Grouping.PRIORITY)
{'0': OutcomeCounts(on_time=412, late=9, refused=0, lost=1)}
"""

import re
from collections import defaultdict
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import NamedTuple

from cranberrywick.reports.latency import length_name
from cranberrywick.reports.losses import NOT_OWED, Cause, Request

__all__ = ["Grouping", "OutcomeCounts", "counts_by_group"]

# Name of the group of requests whose lines don't tell theirs.
UNKNOWN = "unknown"

_LATE = (
    Cause.FORESEEN,
    Cause.UNFORESEEN,
    Cause.WAITED,
    Cause.REPEATED,
    Cause.PAUSED,
)


class Grouping(StrEnum):
    """What the requests of a group have in common."""

    PRIORITY = "priority"
    ORGANISATION = "organisation"
    FAILURE_DOMAIN = "failure-domain"
    LENGTH = "length"


class OutcomeCounts(NamedTuple):
    """How many requests of a group were on time, late, refused and lost.

    A pause above the limit counts as late. ``lost`` are those without a whole answer,
    but for refused ones.
    """

    on_time: int
    late: int
    refused: int
    lost: int

    @property
    def requests(self) -> int:
        """All requests of the group."""
        return sum(self)


def counts_by_group(
    requests: Iterable[Request],
    grouping: Grouping,
    domain_pattern: re.Pattern[str] | None = None,
) -> dict[str, OutcomeCounts]:
    """Return the outcomes of each group, except for requests that were not owed.

    Groups are sorted by name, prompt lengths by length. The first group of
    ``domain_pattern`` finds the failure domain in the name of a daemon.
    """
    group_of = _group_of(grouping, domain_pattern)
    causes_by_group: dict[str, list[Cause]] = defaultdict(list)
    for request in sorted(requests, key=lambda request: request.tokens):
        if request.cause not in NOT_OWED:
            causes_by_group[group_of(request)].append(request.cause)
    groups = list(causes_by_group)
    if grouping is not Grouping.LENGTH:
        groups.sort()
    return {group: _count(causes_by_group[group]) for group in groups}


def _group_of(
    grouping: Grouping, domain_pattern: re.Pattern[str] | None
) -> Callable[[Request], str]:
    match grouping:
        case Grouping.PRIORITY:
            return lambda request: request.priority or UNKNOWN
        case Grouping.ORGANISATION:
            return lambda request: request.organisation or "none"
        case Grouping.LENGTH:
            return lambda request: (
                length_name(request.tokens) if request.tokens else "no prompt"
            )
        case Grouping.FAILURE_DOMAIN:
            return lambda request: _domain(request.daemon, domain_pattern)


def _domain(daemon: str, pattern: re.Pattern[str] | None) -> str:
    found = pattern.search(daemon) if pattern else None
    return (found.group(1) if found else None) or UNKNOWN


def _count(causes: list[Cause]) -> OutcomeCounts:
    on_time = causes.count(Cause.ON_TIME)
    late = sum(cause in _LATE for cause in causes)
    refused = causes.count(Cause.REFUSED)
    return OutcomeCounts(on_time, late, refused, len(causes) - on_time - late - refused)

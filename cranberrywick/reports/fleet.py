"""Merge the burn counts of all daemons into one report for the fleet."""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple, TypedDict

from cranberrywick.reports.burn import (
    STEP_COUNT,
    WINDOWS_SECONDS,
    Counts,
    Objective,
    alert_level,
    burn_rate,
)
from cranberrywick.reports.recorder import BurnAnswer, ClassAnswer

__all__ = ["BurnReport", "ClassReport", "SilentDaemon", "WindowReport", "merge"]


class SilentDaemon(NamedTuple):
    """A daemon that gave no usable answer, and the reason."""

    address: str
    reason: str


class WindowReport(TypedDict):
    """One objective over one window; ``burn`` is None when no request was counted.

    An infinite burn rate, of a class that allows no miss, is written as the string
    "infinite", because JSON has no number for it.
    """

    good: int
    bad: int
    burn: float | str | None


class ClassReport(TypedDict):
    """One class; alerts, windows and steps are keyed by the objective's label."""

    attainment: float
    targets_seconds: dict[str, float]
    alerts: dict[str, str]
    windows: dict[str, dict[str, WindowReport]]
    steps: dict[str, list[list[int]]]


class BurnReport(TypedDict):
    """The burn of the whole fleet.

    ``coverage`` is, by window, the share of it during which the daemons that
    answered have been running. It is below 1 after a daemon was replaced, because
    the counts of the earlier one are lost.
    """

    daemons: list[str]
    silent: list[dict[str, str]]
    configuration_versions: list[int]
    coverage: dict[str, float]
    classes: dict[str, ClassReport]


def merge(answers: Sequence[BurnAnswer], silent: Iterable[SilentDaemon]) -> BurnReport:
    """Return a report with the sum of all daemons' counts.

    The targets and the list of classes come from the newest configuration among the
    answers. During the seconds that a change takes to reach all daemons, some of
    them still count by the older targets.
    """
    versions = sorted({answer["configuration_version"] for answer in answers})
    newest = max(
        answers, key=lambda answer: answer["configuration_version"], default=None
    )
    class_names = sorted(newest["classes"]) if newest else []
    return BurnReport(
        daemons=sorted(answer["daemon_id"] for answer in answers),
        silent=[daemon._asdict() for daemon in silent],
        configuration_versions=versions,
        coverage={window: _coverage(answers, window) for window in WINDOWS_SECONDS},
        classes={
            name: _merge_class(
                newest["classes"][name], _answers_for_class(name, answers)
            )
            for name in class_names
        },
    )


def _coverage(answers: Sequence[BurnAnswer], window: str) -> float:
    if not answers:
        return 0.0
    observed = sum(answer["observed_seconds"][window] for answer in answers)
    return round(observed / (WINDOWS_SECONDS[window] * len(answers)), 4)


def _answers_for_class(name: str, answers: Sequence[BurnAnswer]) -> list[ClassAnswer]:
    return [answer["classes"][name] for answer in answers if name in answer["classes"]]


def _merge_class(newest: ClassAnswer, answers: list[ClassAnswer]) -> ClassReport:
    counts = {
        objective.label: {
            window: _sum_counts(
                answer["windows"][window][objective.label] for answer in answers
            )
            for window in WINDOWS_SECONDS
        }
        for objective in Objective
    }
    attainment = newest["attainment"]
    return ClassReport(
        attainment=attainment,
        targets_seconds=newest["targets_seconds"],
        alerts={
            label: alert_level(by_window, attainment).value
            for label, by_window in counts.items()
        },
        windows={
            label: {
                window: _window_report(total, attainment)
                for window, total in by_window.items()
            }
            for label, by_window in counts.items()
        },
        steps={
            objective.label: [
                [
                    *_sum_counts(
                        answer["steps"][objective.label][step] for answer in answers
                    )
                ]
                for step in range(STEP_COUNT)
            ]
            for objective in Objective
        },
    )


def _sum_counts(pairs: Iterable[Sequence[int]]) -> Counts:
    total = Counts(0, 0)
    for good, bad in pairs:
        total = total.plus(Counts(good, bad))
    return total


def _window_report(counts: Counts, attainment: float) -> WindowReport:
    burn = burn_rate(counts, attainment)
    if burn == math.inf:
        burn = "infinite"
    return WindowReport(good=counts.good, bad=counts.bad, burn=burn)

"""A daemon's own counts of how requests of each class met their targets.

>>> recorder = BurnRecorder("e1")
>>> recorder.set_targets(targets_by_class, configuration_version=3)
>>> recorder.add(EndedRequest("grants", completed_seconds=2.0))
>>> recorder.answer()["daemon_id"]
'e1'
"""

import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import TypedDict

from cranberrywick.model import ClassTargets
from cranberrywick.reports.burn import (
    WINDOWS_SECONDS,
    BurnCounters,
    EndedRequest,
    Objective,
)

__all__ = ["BurnAnswer", "BurnRecorder", "ClassAnswer"]


class ClassAnswer(TypedDict):
    """Counts of one class in a daemon's answer; each pair is ``[good, bad]``."""

    attainment: float
    targets_seconds: dict[str, float]
    windows: dict[str, dict[str, list[int]]]
    steps: dict[str, list[list[int]]]


class BurnAnswer(TypedDict):
    """The body of the answer to ``GET /operator/v1/burn``.

    ``addresses`` lists all daemons in this one's member list, including those that
    callers are not sent to: a daemon in a failure domain that was taken out of
    service has counts too. ``observed_seconds`` is, by window, for how many
    seconds of it the daemon has been running.
    """

    daemon_id: str
    addresses: list[str]
    configuration_version: int
    observed_seconds: dict[str, float]
    classes: dict[str, ClassAnswer]


class BurnRecorder:
    """Burn counters that are safe to share between request threads.

    ``addresses`` returns the addresses of all daemons in the member list, each as
    ``host:port``; ``clock`` returns seconds on a monotonic clock.
    """

    def __init__(
        self,
        daemon_id: str,
        addresses: Callable[[], Iterable[str]] = tuple,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._daemon_id = daemon_id
        self._addresses = addresses
        self._clock = clock
        self._configuration_version = 0
        self._counters = BurnCounters(clock())
        # Held only while counters are read or written, never during other work.
        self._lock = threading.Lock()

    def set_targets(
        self, targets_by_class: Mapping[str, ClassTargets], configuration_version: int
    ) -> None:
        """Replace the classes' targets, unless the version is older than the last."""
        with self._lock:
            if configuration_version >= self._configuration_version:
                self._configuration_version = configuration_version
                self._counters.set_targets(targets_by_class)

    def add(self, request: EndedRequest) -> None:
        """Count a request that has just ended."""
        with self._lock:
            self._counters.add(request, self._clock())

    def answer(self) -> BurnAnswer:
        """Return this daemon's counts, for ``GET /operator/v1/burn``."""
        addresses = sorted(self._addresses())
        with self._lock:
            now = self._clock()
            return BurnAnswer(
                daemon_id=self._daemon_id,
                addresses=addresses,
                configuration_version=self._configuration_version,
                observed_seconds={
                    name: round(self._counters.observed_seconds(seconds, now), 1)
                    for name, seconds in WINDOWS_SECONDS.items()
                },
                classes={
                    name: self._class_answer(name, targets, now)
                    for name, targets in self._counters.targets_by_class.items()
                },
            )

    def _class_answer(
        self, name: str, targets: ClassTargets, now: float
    ) -> ClassAnswer:
        return ClassAnswer(
            attainment=targets.attainment,
            targets_seconds={
                Objective.FIRST_TOKEN.label: targets.first_token_seconds,
                Objective.BETWEEN_TOKENS.label: targets.between_tokens_seconds,
                Objective.COMPLETION.label: targets.completion_seconds,
            },
            windows={
                window: {
                    objective.label: [
                        *self._counters.counts(name, objective, seconds, now)
                    ]
                    for objective in Objective
                }
                for window, seconds in WINDOWS_SECONDS.items()
            },
            steps={
                objective.label: [
                    [*c] for c in self._counters.steps(name, objective, now)
                ]
                for objective in Objective
            },
        )

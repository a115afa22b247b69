"""Record how each request ended: in metrics, the error budget and the log."""

import time
from collections.abc import Callable
from math import inf

from cranberrywick.errors import (
    CallerGone,
    InvalidRequest,
    OutcomeUnknown,
    StillRunning,
)
from cranberrywick.filters.chain import Filter
from cranberrywick.filters.exchange import Exchange, Outcome
from cranberrywick.logs import EventLog
from cranberrywick.metrics import Metrics
from cranberrywick.model import Completed, Failed, NotSent
from cranberrywick.reports.burn import EndedRequest
from cranberrywick.reports.recorder import BurnRecorder

__all__ = ["RecordFilter"]

# The class in metrics and logs of a request that ended before its class was known.
UNKNOWN_CLASS = "none"

# Types of failures that don't count against the error budget: those that the caller
# caused, and repetitions of a call whose first run is counted on its own. Otherwise a
# single client program with a bug would raise alerts about a service that meets its
# targets.
FAILURES_OUTSIDE_BUDGET = frozenset(
    failure.type
    for failure in (
        InvalidRequest,
        *InvalidRequest.__subclasses__(),
        CallerGone,
        OutcomeUnknown,
        StillRunning,
    )
)


class RecordFilter(Filter):
    """The outermost filter; it records the end of every request, refused or not."""

    def __init__(
        self,
        metrics: Metrics,
        burn: BurnRecorder,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._metrics = metrics
        self._burn = burn
        self._log = log
        self._clock = clock

    def leave(self, exchange: Exchange, outcome: Outcome) -> None:
        """Log the end of a request and add it to the metrics and the error budget."""
        seconds = self._clock() - exchange.arrived
        class_name = exchange.class_name or UNKNOWN_CLASS
        name = _outcome_name(outcome)
        self._metrics.request_ended(class_name, name, seconds)
        if exchange.first_token_at is not None and exchange.work is not None:
            self._metrics.first_token(
                class_name,
                exchange.work.prompt_tokens,
                exchange.first_token_at - exchange.arrived,
            )
        if exchange.queued_seconds is not None:
            self._metrics.queue_wait(class_name, exchange.queued_seconds)
        if exchange.refusal is not None:
            self._metrics.refused(class_name, exchange.refusal)
        if exchange.gaps is not None:
            self._metrics.gaps_counted(class_name, exchange.gaps)
        if exchange.work is not None and name not in FAILURES_OUTSIDE_BUDGET:
            self._burn.add(_ended_request(exchange, outcome, seconds))
        if isinstance(outcome, Completed):
            self._metrics.output_tokens(class_name, outcome.output_tokens)
        self._log.info(
            "request_ended",
            request_id=exchange.request_id,
            organisation=exchange.organisation,
            class_name=class_name,
            outcome=name,
            sent=not isinstance(outcome, NotSent),
            seconds=seconds,
        )


def _outcome_name(outcome: Outcome) -> str:
    return "completed" if isinstance(outcome, Completed) else outcome.error_type


def _ended_request(
    exchange: Exchange, outcome: Outcome, seconds: float
) -> EndedRequest:
    first_token_seconds = None
    if exchange.first_token_at is not None:
        first_token_seconds = exchange.first_token_at - exchange.arrived
    elif isinstance(outcome, Failed):
        # The request was sent and its first token never came.
        first_token_seconds = inf
    gaps = exchange.gaps
    return EndedRequest(
        class_name=exchange.class_name,
        completed_seconds=seconds if isinstance(outcome, Completed) else None,
        first_token_seconds=first_token_seconds,
        gaps=gaps.total if gaps is not None else 0,
        late_gaps=gaps.late if gaps is not None else 0,
    )

"""The guarantees that a soak run checks, from what callers and endpoints saw."""

from collections.abc import Sequence
from typing import NamedTuple

from cut_fleet import CutFleet
from endpoint_promises import (
    MOST_IN_BACKOFF,
    Disturbance,
    TimedCall,
    late_at_draining,
    most_in_backoff,
)
from gateway_fleet import Answer, Fleet
from soak_store import RecordedDrain, late_at_recorded_drain

STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 9))
# Statuses that mean that a request has not run and will not run later.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Length of the window in which an endpoint's requests are counted, in seconds.
LIMIT_WINDOW_SECONDS = 4.0
# Time from the first answer that names a limit until it is checked, in seconds.
LIMIT_BINDS_SECONDS = 3.0


class Limit(NamedTuple):
    """A rate, in requests per second, that an endpoint named, and from when to when."""

    endpoint_id: str
    rate: float
    named_at: float
    ended_at: float


class Drain(NamedTuple):
    """A time in which an endpoint announced draining, before it started again."""

    endpoint_id: str
    begun_at: float
    ended_at: float


class SoakRecord:
    """What happened in a run: requests, statements of endpoints, disturbances."""

    def __init__(self) -> None:
        self.calls: list[TimedCall] = []
        self.limits: list[Limit] = []
        self.drains: list[Drain] = []
        self.recorded_drains: list[RecordedDrain] = []
        self.disturbances: list[Disturbance] = []

    def broken_promises(self, fleet: CutFleet) -> list[str]:
        """Return a line for each guarantee that was broken."""
        lines = [_excess(fleet, limit) for limit in self.limits]
        lines += [self._late_at_draining(fleet, drain) for drain in self.drains]
        lines += [self._late_at_recorded(fleet, each) for each in self.recorded_drains]
        lines += [self._in_backoff(fleet, each) for each in fleet.endpoints]
        return [line for line in lines if line] + _broken_calls(fleet, self.calls)

    def _late_at_draining(self, fleet: CutFleet, drain: Drain) -> str:
        """Return a line about late requests at a draining endpoint, else empty."""
        endpoint = fleet.endpoints[drain.endpoint_id]
        late = late_at_draining(
            endpoint,
            self.calls,
            drain.begun_at,
            drain.ended_at,
            self.disturbances,
            fleet.names_by_ip,
        )
        return f"{drain.endpoint_id}: {late} requests while draining" if late else ""

    def _late_at_recorded(self, fleet: Fleet, drain: RecordedDrain) -> str:
        """Return a line about requests after the bound of a drain, else empty."""
        late = late_at_recorded_drain(fleet, self.calls, drain, self.disturbances)
        return f"{drain.endpoint_id}: {late} requests while it drained" if late else ""

    def _in_backoff(self, fleet: CutFleet, endpoint_id: str) -> str:
        """Return a line about requests in an endpoint's backoff, else empty."""
        gateways_by_request = {call.request_id: call.gateway for call in self.calls}
        restarted_at = [
            drain.ended_at
            for drain in (*self.drains, *self.recorded_drains)
            if drain.endpoint_id == endpoint_id
        ]
        most = most_in_backoff(
            fleet.endpoints[endpoint_id],
            gateways_by_request,
            restarted_at,
            self.disturbances,
            fleet.names_by_ip,
        )
        return f"{endpoint_id}: {most} in a backoff" if most > MOST_IN_BACKOFF else ""


def _broken_calls(fleet: Fleet, calls: Sequence[TimedCall]) -> list[str]:
    broken = []
    for call in calls:
        runs = fleet.runs(call.request_id)
        if call.kind == "books" and runs > 1:
            broken.append(f"{call.request_id} ran {runs} times")
        answer = call.answer
        if answer is None or not answer.status:
            continue
        if call.kind == "books" and answer.status in NOT_RUN_STATUSES and runs:
            broken.append(f"{call.request_id}: {answer.status}, but it ran")
        if answer.status == 200 and not _is_own(call, answer):
            broken.append(f"{call.request_id}: {answer.body[:60]!r}")
    return broken


def _excess(fleet: Fleet, limit: Limit) -> str:
    """Return a line about an endpoint that got too many requests, else empty."""
    times = [
        at
        for at in fleet.endpoints[limit.endpoint_id].arrived_at
        if limit.named_at + LIMIT_BINDS_SECONDS <= at < limit.ended_at
    ]
    most = max(
        sum(first <= at < first + LIMIT_WINDOW_SECONDS for at in times)
        for first in times or [0.0]
    )
    allowed = 1.5 * limit.rate * LIMIT_WINDOW_SECONDS + 5
    if most <= allowed:
        return ""
    return f"{limit.endpoint_id}: {most} requests at {limit.rate} a second"


def _is_own(call: TimedCall, answer: Answer) -> bool:
    if call.kind == "prompts":
        whole = answer.body == STREAM
        return whole if answer.whole else STREAM.startswith(answer.body)
    expected = f"answer to {call.request_id}".encode()
    return answer.body == expected if answer.whole else True

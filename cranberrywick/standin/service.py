"""A stand-in for a plain service, which books slots and ignores idempotency keys.

It runs a repeated call again. ``GET /bookings`` returns how often each
``Idempotency-Key`` ran, so that a test detects a call that ran twice. In addition to
the faults of every stand-in (see `cranberrywick.standin.server`) it has these kinds:

========== ============================================================
cross      answer with another request's ``request_id`` and ``attempt``
refuse     answer 503 with ``reason`` cold, leaving or full; do not run
cut        run, then close the connection in the middle of the answer
die        end the process at once
========== ============================================================
"""

import json
import os
import threading
from collections import Counter
from collections.abc import Iterator

import click

from cranberrywick.model import EndpointPhase
from cranberrywick.standin.server import (
    Answer,
    BrokenAnswer,
    Request,
    RunningStandIn,
    StandIn,
    json_answer,
    serve,
)
from cranberrywick.standin.server import start as start_standin

__all__ = ["ServiceStandIn", "service_command", "start"]


class ServiceStandIn(StandIn):
    """A service that counts the calls it ran, by key and by method and path."""

    def __init__(self):
        super().__init__()
        self._lock = threading.Lock()  # guards the counters
        self._runs_by_key: Counter[str] = Counter()
        self._runs_by_call: Counter[str] = Counter()
        self._number = 0
        self.phase = EndpointPhase.WARM

    @property
    def runs_by_key(self) -> dict[str, int]:
        """How often each ``Idempotency-Key`` ran."""
        with self._lock:
            return dict(self._runs_by_key)

    @property
    def runs_by_call(self) -> dict[str, int]:
        """How often each ``METHOD /PATH`` ran."""
        with self._lock:
            return dict(self._runs_by_call)

    def handle(self, request: Request) -> Answer:
        """Run a call, or answer with the load or the counters."""
        if request.path == "/v1/load":
            return json_answer(200, self._load())
        if request.path == "/bookings":
            by_key, by_call = self.runs_by_key, self.runs_by_call
            return json_answer(200, {"by_key": by_key, "by_call": by_call})
        if self.faults.take("die", request.path):
            os._exit(1)
        if refuse := self.faults.take("refuse", request.path):
            return refusal(request, refuse.details["reason"])
        if self.phase == EndpointPhase.LEAVING:
            return refusal(request, "leaving")
        return self._run(request)

    def _run(self, request: Request) -> Answer:
        key = request.headers.get("idempotency-key", "")
        with self._lock:
            self._number += 1
            number = self._number
            self._runs_by_key[key] += 1
            self._runs_by_call[f"{request.method} {request.path}"] += 1
        body = {"booking": number, "key": key, "received": received(request.body)}
        echoed = echo_headers(request)
        if cross := self.faults.take("cross", request.path):
            echoed = other_headers(cross.details)
        if self.faults.take("cut", request.path):
            return Answer(200, _cut_body(), (("Content-Length", "1000"), *echoed))
        return json_answer(200, body, *echoed)

    def _load(self) -> dict:
        return {
            "endpoint_id": "",
            "incarnation": 1,
            "phase": self.phase.value,
            "age_seconds": 0.0,
            "running": 0,
            "waiting": 0,
            "prefill_tokens_waiting": 0,
            "cache_tokens_used": 0,
            "models": [],
        }


def _cut_body() -> Iterator[bytes]:
    yield b'{"booking": '
    raise BrokenAnswer


def received(body: bytes) -> object:
    """Return the decoded JSON body, or its length when it is not JSON."""
    try:
        return json.loads(body)
    except ValueError:
        return {"bytes": len(body)}


def echo_headers(request: Request) -> tuple[tuple[str, str], ...]:
    """Return answer headers with the request's own id and attempt."""
    return (
        ("X-Request-Id", request.headers.get("x-request-id", "")),
        ("X-Attempt", request.headers.get("x-attempt", "")),
    )


def other_headers(details: dict) -> tuple[tuple[str, str], ...]:
    """Return answer headers with another request's id and attempt.

    They are those in ``details`` of the fault ``cross``, or defaults.
    """
    return (
        ("X-Request-Id", str(details.get("request_id", "another"))),
        ("X-Attempt", str(details.get("attempt", 1))),
    )


def refusal(request: Request, reason: str, retry_after: int = 1) -> Answer:
    """Return the 503 answer to a request that was not run.

    ``retry_after`` is in seconds.
    """
    return json_answer(
        503,
        {"error": {"type": reason}},
        ("Retry-After", str(retry_after)),
        *echo_headers(request),
    )


def start(listen: str = "127.0.0.1:0") -> RunningStandIn:
    """Serve a new service on a thread of this process and return it."""
    return start_standin(ServiceStandIn(), listen)


@click.command("service")
@click.option("--listen", default="127.0.0.1:0", show_default=True)
def service_command(listen: str) -> None:
    """Run a stand-in for a plain service, such as a booking service.

    Example: cranberrywick standin service --listen 127.0.0.1:9100
    """
    serve(ServiceStandIn(), listen)


if __name__ == "__main__":
    service_command()

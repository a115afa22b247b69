"""Functions that create the values used in the tests of the decision modules."""

from itertools import count

from cranberrywick.model import (
    ClassTargets,
    Endpoint,
    EndpointKind,
    EndpointLoad,
    EndpointPhase,
    Executed,
    SendResult,
    Work,
)

__all__ = ["MODEL", "TARGETS", "make_endpoint", "make_load", "make_result", "make_work"]

MODEL = "drafting"
TARGETS = {
    "summary": ClassTargets(2.0, 60.0, 0.06, 0.95),
    "review": ClassTargets(180.0, 420.0, 0.06, 0.95),
}
_numbers = count()


def make_endpoint(endpoint_id="e0", domain="d0", **changes) -> Endpoint:
    """Return an engine with four slots that prefills 10,000 tokens per second."""
    values = {
        "kind": EndpointKind.ENGINE,
        "address": "127.0.0.1:1",
        "region": "r0",
        "models": (MODEL,),
        "prefill_tokens_per_second": 10_000.0,
        "slots": 4,
    }
    return Endpoint(endpoint_id, failure_domain=domain, **{**values, **changes})


def make_work(work_id=None, tokens=1_000, arrival=0.0, **changes) -> Work:
    """Return a request due to start answering 2 s and to end 60 s after ``arrival``."""
    values = {
        "organisation": "o0",
        "class_name": "summary",
        "model": MODEL,
        "max_output_tokens": 100,
        "first_token_deadline": arrival + 2.0,
        "deadline": arrival + 60.0,
    }
    work_id = work_id or f"w{next(_numbers)}"
    return Work(work_id, prompt_tokens=tokens, arrival=arrival, **{**values, **changes})


def make_load(endpoint_id="e0", at=0.0, **changes) -> EndpointLoad:
    """Return a load report of a warm endpoint without any requests."""
    values = {"incarnation": 1, "phase": EndpointPhase.WARM}
    return EndpointLoad(endpoint_id, reported_at=at, **{**values, **changes})


def make_result(endpoint_id="e0", **changes) -> SendResult:
    """Return a successful result: first token after 0.1 s, answer complete at 0.5 s."""
    values = {
        "succeeded": True,
        "executed": Executed.YES,
        "first_token_seconds": 0.1,
        "total_seconds": 0.5,
        "output_tokens": 20,
    }
    return SendResult(endpoint_id, **{**values, **changes})

"""Run a call that is not idempotent at most once, and answer its repetitions."""

from hashlib import sha256

from cranberrywick.claims.outcomes import (
    AlreadyDone,
    Claim,
    Claimed,
    InProgress,
    KeyReused,
    RecordedResult,
)
from cranberrywick.claims.store import ClaimStore
from cranberrywick.errors import IdempotencyKeyReused, OutcomeUnknown, StillRunning
from cranberrywick.filters.chain import Filter
from cranberrywick.filters.exchange import Exchange, Outcome, Response
from cranberrywick.model import Completed, Executed, NotSent

__all__ = ["ReplayFilter"]

# Seconds after which a caller may repeat a call that is still running: by then most
# calls of plain services have ended.
STILL_RUNNING_RETRY_SECONDS = 1.0


class ReplayFilter(Filter):
    """Claims the call's ``Idempotency-Key`` before anything is sent.

    Without a claim, a call that gets no answer and is repeated at another entry takes
    effect twice (a booking is made two times): neither daemon can see that the other
    has sent it. With a claim, the second daemon finds it in the platform's key-value
    service and answers from it. A claim never changes its owner, so that a daemon that
    was paused can go on and is still the only one to send.
    """

    def __init__(self, claims: ClaimStore):
        self._claims = claims
        self._claims_by_request: dict[str, Claim] = {}

    def enter(self, exchange: Exchange) -> None:
        """Claim the key, or answer with the outcome of the call that has claimed it.

        Raises `IdempotencyKeyReused` when that was another call, `StillRunning`
        while the call runs, and `OutcomeUnknown` when its outcome is not known.
        """
        if exchange.idempotent:
            return
        outcome = self._claims.claim(
            exchange.organisation,
            exchange.headers_by_name["idempotency-key"],
            _call_digest(exchange),
            exchange.request_id,
            exchange.targets.completion_seconds,
        )
        if isinstance(outcome, Claimed):
            self._claims_by_request[exchange.request_id] = outcome.claim
        elif isinstance(outcome, KeyReused):
            raise IdempotencyKeyReused("the key was used before with another call")
        elif isinstance(outcome, InProgress):
            raise StillRunning(
                f"request {outcome.request_id} has this key and is running",
                retry_after=STILL_RUNNING_RETRY_SECONDS,
            )
        elif isinstance(outcome, AlreadyDone):
            exchange.response = _replayed(outcome)
        else:
            raise OutcomeUnknown(
                f"request {outcome.request_id} had this key; its outcome is not known"
            )

    def leave(self, exchange: Exchange, outcome: Outcome) -> None:
        """Record the outcome of the call, or release the claim if it did not run."""
        claim = self._claims_by_request.pop(exchange.request_id, None)
        if claim is None:
            return
        if isinstance(outcome, Completed):
            self._claims.record(claim, _recorded(exchange.response))
        elif _did_not_run(outcome):
            self._claims.release(claim)
        else:
            self._claims.record_unknown(claim)


def _call_digest(exchange: Exchange) -> str:
    """Return the SHA-256, in hex, of the call's method, path, query and body."""
    head = f"{exchange.method} {exchange.path}?{exchange.query}\n".encode()
    return sha256(head + exchange.body).hexdigest()


def _replayed(done: AlreadyDone) -> Response:
    """Return the recorded response; raises `OutcomeUnknown` if it was not kept."""
    if done.result is None:
        raise OutcomeUnknown(
            f"request {done.request_id} ran; its answer was not kept",
            executed=Executed.YES,
        )
    headers = [
        ("Content-Type", done.result.content_type),
        ("Content-Length", str(len(done.result.body))),
        ("Idempotency-Replayed", "true"),
    ]
    return Response(done.result.status, headers, done.result.body)


def _recorded(response: Response) -> RecordedResult:
    content_type = dict(response.headers).get("Content-Type", "")
    return RecordedResult(response.status, content_type, response.body)


def _did_not_run(outcome: Outcome) -> bool:
    return isinstance(outcome, NotSent) or outcome.executed is Executed.NO

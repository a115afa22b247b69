"""A stand-in for the platform's weight store, which limits the rate of reads."""

import math
import threading
import time
from collections.abc import Callable

from cranberrywick.standin.server import (
    Answer,
    Request,
    RunningStandIn,
    StandIn,
    json_answer,
    serve,
    start,
)

__all__ = ["WeightStoreStandIn", "main", "start_weight_store"]

MODELS_PATH = "/v1/models/"
# Rate and burst of the token bucket. They suffice for the demo; a test of the limit
# passes its own.
READS_PER_SECOND = 2.0
BURST_READS = 4.0
# Size answered for every model, in bytes.
MODEL_BYTES = 16 << 30


class WeightStoreStandIn(StandIn):
    """Answers with the size of any version of any model, within a rate limit.

    ``clock`` returns seconds and refills the token bucket; a test can pass its own.
    """

    def __init__(
        self,
        reads_per_second: float = READS_PER_SECOND,
        burst: float = BURST_READS,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self._clock = clock
        self._reads_per_second = reads_per_second
        self._burst = burst
        # Guards the token bucket.
        self._lock = threading.Lock()
        self._tokens = burst
        self._filled_at = clock()

    def handle(self, request: Request) -> Answer:
        """Answer ``GET /v1/models/NAME/VERSION``, with 429 above the rate limit."""
        if not request.path.startswith(MODELS_PATH):
            return json_answer(404, {"error": "no such call"})
        wait = self._consume_token()
        if wait > 0:
            retry_after = ("Retry-After", str(math.ceil(wait)))
            return json_answer(429, {"error": "rate"}, retry_after)
        return json_answer(200, {"bytes": MODEL_BYTES})

    def _consume_token(self) -> float:
        """Remove a token from the bucket and return 0.

        When there is none, return the seconds until there is one.
        """
        with self._lock:
            now = self._clock()
            filled = (now - self._filled_at) * self._reads_per_second
            self._tokens = min(self._burst, self._tokens + filled)
            self._filled_at = now
            if self._tokens < 1:
                return (1 - self._tokens) / self._reads_per_second
            self._tokens -= 1
            return 0.0


def start_weight_store(listen: str = "127.0.0.1:0") -> RunningStandIn:
    """Run a new stand-in on a thread of this process and return it."""
    return start(WeightStoreStandIn(), listen)


def main(listen: str) -> None:
    """Run the stand-in as a process until SIGTERM or SIGINT."""
    serve(WeightStoreStandIn(), listen)

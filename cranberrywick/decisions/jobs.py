"""The scheduler's record of one request, from its offer to its end."""

from cranberrywick.decisions.admission import WaitKind
from cranberrywick.decisions.fair_queue import QueuedWork
from cranberrywick.decisions.placement import Choice
from cranberrywick.decisions.retries import Attempts
from cranberrywick.model import Work

__all__ = ["Job"]


class Job:
    """A request that is queued or has been sent.

    ``endpoint_id`` is the endpoint of the running attempt (the leader's for a gang), or
    None while the request is queued. ``choice`` is the latest placement.
    ``predicted_wait`` is in seconds, ``queued_at`` is when it was last queued.
    """

    def __init__(
        self, queued: QueuedWork, kind: WaitKind, predicted_wait: float, now: float
    ):
        self.queued = queued
        self.kind = kind
        self.predicted_wait = predicted_wait
        self.queued_at = now
        self.endpoint_id: str | None = None
        self.choice: Choice | None = None
        self.attempts = Attempts()

    @property
    def work(self) -> Work:
        """The request itself."""
        return self.queued.work

"""Claim stores whose writes to the key-value stand-in can be lost or delayed."""

from cranberrywick.claims.slices import RetentionSlices
from cranberrywick.claims.store import ClaimStore
from cranberrywick.external.exchange import no_answer_error
from cranberrywick.standin.kv import InProcessKeyValueStore


class Clock:
    """A clock in seconds that advances only when `advance` is called."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now

    def advance(self, seconds):
        self.now += seconds


class LossyKeyValueStore(InProcessKeyValueStore):
    """A key-value store whose next writes of claims end as ``write_outcomes`` lists.

    ``done`` is a normal write. ``lost`` is never executed. ``unanswered`` is executed,
    but its answer is lost. ``delayed`` is executed when `deliver` is called; until
    then it is like ``lost``. Writes after the last listed one are normal.
    """

    def __init__(self, standin):
        super().__init__(standin)
        self.write_outcomes = []
        self.delayed = []

    def _call(self, method, path, query=None, fields=None, extra=0.0):
        if method != "PUT" or "/claims/" not in path or not self.write_outcomes:
            return super()._call(method, path, query, fields, extra)
        outcome = self.write_outcomes.pop(0)
        if outcome == "delayed":
            self.delayed.append((path, fields))
        elif outcome != "lost":
            reply = super()._call(method, path, query, fields, extra)
            if outcome == "done":
                return reply
        raise no_answer_error(method, outcome)

    def deliver(self):
        """Execute the delayed writes now, in their order."""
        for path, fields in self.delayed:
            super()._call("PUT", path, None, fields)
        self.delayed.clear()


class Daemon:
    """A claim store with its own connection to the stand-in.

    Its pauses between two attempts to write advance the clock by a second; a test can
    have ``on_next_pause`` called in one.
    """

    def __init__(self, standin, clock, wall_clock=None):
        self.clock = clock
        self.key_value = LossyKeyValueStore(standin)
        # Called once, in the next pause between two attempts to write.
        self.on_next_pause = None
        self.claims = ClaimStore(
            self.key_value,
            slices=RetentionSlices(self.key_value, clock=clock),
            buckets=1,
            clock=clock,
            wall_clock=wall_clock or clock,
            sleep=self._sleep,
        )

    def _sleep(self, seconds):
        self.clock.advance(1.0)
        on_next_pause, self.on_next_pause = self.on_next_pause, None
        if on_next_pause is not None:
            on_next_pause()

    def claim(self, key="order-7", body="body", organisation="kask", request_id="r"):
        """Claim a key for a call with a completion time of 30 s."""
        return self.claims.claim(organisation, key, body, request_id, 30.0)

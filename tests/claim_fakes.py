"""A network between claim stores and the key-value stand-in that loses and delays."""

from cranberrywick.claims.slices import RetentionSlices
from cranberrywick.claims.store import ClaimStore
from cranberrywick.external.exchange import no_answer_error
from cranberrywick.standin.kv import InProcessKeyValueStore


class Clock:
    """Seconds that pass when a test says so, or when something sleeps."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now

    def advance(self, seconds):
        self.now += seconds


class LossyKeyValueStore(InProcessKeyValueStore):
    """Writes of claims meet the fates in ``fates``, then go through.

    ``lost`` is never done; ``unanswered`` is done, its answer lost; ``delayed`` is
    done when `deliver` is called, and looks lost until then.
    """

    def __init__(self, standin):
        super().__init__(standin)
        self.fates = []
        self.delayed = []

    def _call(self, method, path, query=None, fields=None, extra=0.0):
        if method != "PUT" or "/claims/" not in path or not self.fates:
            return super()._call(method, path, query, fields, extra)
        fate = self.fates.pop(0)
        if fate == "delayed":
            self.delayed.append((path, fields))
        elif fate != "lost":
            reply = super()._call(method, path, query, fields, extra)
            if fate == "done":
                return reply
        raise no_answer_error(method, fate)

    def deliver(self):
        """Let the delayed writes arrive now."""
        for path, fields in self.delayed:
            super()._call("PUT", path, None, fields)
        self.delayed.clear()


class Daemon:
    """A claim store with its own network, whose pauses a test can use."""

    def __init__(self, standin, clock, wall_clock=None):
        self.clock = clock
        self.key_value = LossyKeyValueStore(standin)
        # Called once, at the next pause between two tries.
        self.meanwhile = None
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
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is not None:
            meanwhile()

    def claim(self, key="order-7", body="body", organisation="kask", request_id="r"):
        """Claim with a completion time of 30 s."""
        return self.claims.claim(organisation, key, body, request_id, 30.0)

"""Claims under random sequences of lost and delayed writes, stale reads and crashes.

Guards against a call that is sent twice under one key: two daemons both take
themselves for the holder of its claim, because a write or its answer was lost, a
delayed write was executed later, a read was stale, or a daemon crashed.
"""

from collections import Counter

from claim_fakes import Clock, Daemon
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrywick.claims.outcomes import Claimed, RecordedResult
from cranberrywick.errors import CranberrywickError
from cranberrywick.standin.kv import KeyValueStandIn

DAEMONS = st.integers(0, 2)
KEYS = st.sampled_from(["k1", "k2"])
WRITE_OUTCOMES = st.lists(
    st.sampled_from(["done", "lost", "unanswered", "delayed"]), max_size=8
)
RESULT = RecordedResult(200, "text/plain", b"done")


class ClaimMachine(RuleBasedStateMachine):
    """Three daemons claim two keys of one bucket while writes are lost or delayed.

    A daemon that gets `Claimed` sends the call, such as a booking, at once, unless
    the rule releases the claim. A call that is sent is only counted. Reads may also
    be stale, and daemons crash.
    """

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.standin = KeyValueStandIn(self.clock)
        self.daemons = [Daemon(self.standin, self.clock) for _ in range(3)]
        self.stores = [daemon.key_value for daemon in self.daemons]
        self.calls_sent_by_key = Counter()
        self.holders = []

    def _claim(self, index, key, send):
        daemon = self.daemons[index]
        try:
            outcome = daemon.claim(key)
        except CranberrywickError:
            return
        if not isinstance(outcome, Claimed):
            return
        if send:
            self.calls_sent_by_key[key] += 1
            self.holders.append((daemon, outcome.claim))
        else:
            daemon.claims.release(outcome.claim)

    @rule(index=DAEMONS, key=KEYS, write_outcomes=WRITE_OUTCOMES, send=st.booleans())
    def claim(self, index, key, write_outcomes, send):
        self.daemons[index].key_value.write_outcomes = write_outcomes
        self._claim(index, key, send)
        self.daemons[index].key_value.write_outcomes = []

    @rule(
        index=DAEMONS,
        step=st.integers(1, 2),
        key=KEYS,
        write_outcomes=WRITE_OUTCOMES,
        other_write_outcomes=WRITE_OUTCOMES,
        deliver=st.booleans(),
    )
    def claim_while_another_claims(
        self, index, step, key, write_outcomes, other_write_outcomes, deliver
    ):
        other = (index + step) % 3
        daemon = self.daemons[index]

        def on_next_pause():
            self.daemons[other].key_value.write_outcomes = other_write_outcomes
            self._claim(other, key, send=True)
            self.daemons[other].key_value.write_outcomes = []
            if deliver:
                self.deliver()

        daemon.on_next_pause = on_next_pause
        daemon.key_value.write_outcomes = ["lost", *write_outcomes]
        self._claim(index, key, send=True)
        daemon.key_value.write_outcomes = []
        daemon.on_next_pause = None

    @rule(index=DAEMONS, write_outcomes=WRITE_OUTCOMES)
    def flush(self, index, write_outcomes):
        self.daemons[index].key_value.write_outcomes = write_outcomes
        self.daemons[index].claims.flush()
        self.daemons[index].key_value.write_outcomes = []

    @rule()
    def record(self):
        for daemon, claim in self.holders:
            daemon.claims.record(claim, RESULT)

    @rule()
    def deliver(self):
        for store in self.stores:
            store.deliver()

    @rule(index=DAEMONS)
    def crash(self, index):
        self.daemons[index] = Daemon(self.standin, self.clock)
        self.stores.append(self.daemons[index].key_value)

    @rule(stale=st.booleans())
    def change_staleness(self, stale):
        self.standin.faults.clear("stale_reads")
        if stale:
            self.standin.freeze_reads()

    @rule(seconds=st.floats(0, 100))
    def advance_clock(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def no_call_is_sent_twice(self):
        assert all(calls_sent <= 1 for calls_sent in self.calls_sent_by_key.values()), (
            self.calls_sent_by_key
        )


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(max_examples=150, stateful_step_count=25)

"""State machine tests of the invariants of the queue, the budget and the scheduler.

They guard against requests that are lost, served twice or starved, retries beyond the
budget, and endpoints that get more requests than they have slots.
"""

from random import Random

from decisions_support import (
    MODEL,
    TARGETS,
    make_endpoint,
    make_load,
    make_result,
    make_work,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cranberrywick.decisions.fair_queue import (
    ALLOWANCE_SECONDS,
    FairQueue,
    QueuedWork,
)
from cranberrywick.decisions.retries import (
    EARNED_PER_SUCCESS,
    INITIAL_BUDGET,
    MAX_ATTEMPTS,
    RetryBudget,
)
from cranberrywick.decisions.strategies import make_strategy
from cranberrywick.model import (
    EndpointPhase,
    Executed,
    GiveUp,
    Queued,
    Refused,
    Retry,
    Send,
)

ORGANISATIONS = st.sampled_from(["a", "b", "c"])
LANES = st.sampled_from([0, 1])
COSTS = st.sampled_from([0.1, 1.0, 10.0])
LARGEST_COST = 10.0


class FairQueueMachine(RuleBasedStateMachine):
    """Work is neither lost, served twice nor starved; lanes with work have a head."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue()
        self.queued_by_id = {}
        self.served = set()
        self.count = 0
        # By organisation, other organisation and lane: the engine seconds that the
        # first was served there while both had queued work, since the other was last
        # served.
        self.served_seconds_by_pair = {}

    @rule(
        organisation=ORGANISATIONS,
        lane=LANES,
        cost=COSTS,
        start=st.integers(0, 50),
        number=st.integers(1, 10),
    )
    def push(self, organisation, lane, cost, start, number):
        for _ in range(number):
            self.count += 1
            work = make_work(f"w{self.count}", organisation=organisation)
            queued = QueuedWork(work, lane, float(start), cost)
            self.queue.push(queued)
            self.queued_by_id[work.work_id] = queued

    @rule(lane=LANES, number=st.integers(1, 10))
    def serve(self, lane, number):
        for _ in range(number):
            self.serve_one(lane)

    def serve_one(self, lane):
        waiting = self.waiting(lane)
        head = self.queue.head(lane)
        assert (head is not None) == bool(waiting)
        if head is None:
            return
        work_id = head.work.work_id
        assert work_id in self.queued_by_id and work_id not in self.served
        before = set(waiting)
        assert self.queue.pop(work_id) == head
        self.served.add(work_id)
        del self.queued_by_id[work_id]
        self.record_served_seconds(head, lane, before)
        self.only_pairs_that_both_wait_are_recorded()

    def record_served_seconds(self, head, lane, before):
        name = head.work.organisation
        for other in before - {name}:
            pair = (name, other, lane)
            self.served_seconds_by_pair[pair] = self.served_seconds_by_pair.get(
                pair, 0
            ) + (head.cost_seconds)
            # This organisation is served now, so the sum for the reversed pair starts
            # again.
            self.served_seconds_by_pair.pop((other, name, lane), None)
            # One organisation may join at the lowest tag while the other is at most an
            # allowance and a largest request ahead, and may then get as far ahead
            # itself. Hence the factor of two.
            limit = 2 * (ALLOWANCE_SECONDS + LARGEST_COST)
            assert self.served_seconds_by_pair[pair] <= limit

    @precondition(lambda self: self.queued_by_id)
    @rule(data=st.data())
    def give_up(self, data):
        work_id = data.draw(st.sampled_from(sorted(self.queued_by_id)))
        assert self.queue.remove(work_id) == self.queued_by_id.pop(work_id)
        assert self.queue.remove(work_id) is None

    def waiting(self, lane):
        found = {}
        for queued in self.queued_by_id.values():
            if queued.lane == lane:
                found.setdefault(queued.work.organisation, []).append(queued)
        return found

    @invariant()
    def nothing_is_lost(self):
        assert len(self.queue) == len(self.queued_by_id)
        assert set(self.queue.lanes()) == {
            queued.lane for queued in self.queued_by_id.values()
        }

    @invariant()
    def only_pairs_that_both_wait_are_recorded(self):
        for pair in list(self.served_seconds_by_pair):
            name, other, lane = pair
            waiting = self.waiting(lane)
            if name not in waiting or other not in waiting:
                del self.served_seconds_by_pair[pair]


class RetryBudgetMachine(RuleBasedStateMachine):
    """Retries never exceed the earned budget, and none is made under overload."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget()
        self.successes = 0
        self.retries = 0

    @rule(number=st.integers(1, 50))
    def succeed(self, number):
        for _ in range(number):
            self.budget.earn()
        self.successes += number

    @rule(overloaded=st.booleans(), number=st.integers(1, 20))
    def retry(self, overloaded, number):
        allowed = sum(self.budget.take(overloaded) for _ in range(number))
        assert not (overloaded and allowed)
        self.retries += allowed

    @invariant()
    def retries_never_exceed_the_earned_budget(self):
        earned = INITIAL_BUDGET + self.successes * EARNED_PER_SUCCESS
        assert self.retries <= earned + 1e-6
        assert self.budget.remaining >= 0


class SchedulerMachine(RuleBasedStateMachine):
    """Each request gets exactly one final answer, and slots are never exceeded."""

    @initialize(seed=st.integers(0, 9))
    def set_up(self, seed):
        self.now = 0.0
        self.random = Random(seed)
        self.scheduler = make_strategy("cranberrywick", seed)
        self.scheduler.set_targets(TARGETS)
        self.endpoints = {
            f"e{i}": make_endpoint(f"e{i}", f"d{i % 2}", slots=2) for i in range(4)
        }
        self.scheduler.set_endpoints(self.endpoints, self.now)
        self.cold = set()
        self.leaving = set()
        self.incarnations = dict.fromkeys(self.endpoints, 1)
        self.domains_out = frozenset()
        self.open = {}
        self.sent = {}
        self.runs = {}
        self.count = 0
        for endpoint_id in self.endpoints:
            self.scheduler.report_load(make_load(endpoint_id, at=0.0), self.now)

    def poll(self):
        for action in self.scheduler.poll(self.now):
            assert action.work_id in self.open
            assert action.work_id not in self.sent
            if isinstance(action, GiveUp):
                del self.open[action.work_id]
            else:
                self.record_send(action)
        wake = self.scheduler.next_wake(self.now)
        assert wake is None or wake > self.now
        assert wake is not None or not self.open

    def record_send(self, action: Send):
        work = self.open[action.work_id]
        endpoint_id = action.endpoint_ids[0]
        assert self.endpoints[endpoint_id].failure_domain not in self.domains_out
        assert endpoint_id not in self.leaving
        held = sum(other == endpoint_id for other in self.sent.values())
        assert held < (1 if endpoint_id in self.cold else 2)
        assert self.now < work.deadline
        self.sent[action.work_id] = endpoint_id

    @rule(
        organisation=ORGANISATIONS,
        tokens=st.sampled_from([1_000, 8_000, 100_000]),
        idempotent=st.booleans(),
    )
    def offer(self, organisation, tokens, idempotent):
        self.count += 1
        work = make_work(
            f"w{self.count}",
            tokens=tokens,
            arrival=self.now,
            organisation=organisation,
            idempotent=idempotent,
            model=MODEL,
        )
        answer = self.scheduler.offer(work, self.now)
        if isinstance(answer, Queued):
            self.open[work.work_id] = work
        else:
            assert isinstance(answer, Refused) and answer.retry_after > 0
        self.poll()

    @rule(seconds=st.sampled_from([0.01, 0.3, 3.0, 20.0]))
    def wait(self, seconds):
        self.now += seconds
        self.poll()

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), kind=st.sampled_from(["answer", "no", "unknown", "cold"]))
    def end_attempt(self, data, kind):
        work_id = data.draw(st.sampled_from(sorted(self.sent)))
        work, endpoint_id = self.open[work_id], self.sent.pop(work_id)
        executed = {"answer": Executed.YES, "unknown": Executed.UNKNOWN}.get(
            kind, Executed.NO
        )
        if kind == "answer":
            self.scheduler.first_token(work_id, self.now)
        if kind == "cold":
            self.cold.add(endpoint_id)
        self.runs[work_id] = self.runs.get(work_id, 0) + (executed is not Executed.NO)
        assert work.idempotent or self.runs[work_id] <= 1
        result = make_result(
            endpoint_id,
            succeeded=kind == "answer",
            executed=executed,
            first_token_seconds=0.1 if kind == "answer" else None,
            cold=kind == "cold",
        )
        answer = self.scheduler.finished(work_id, result, self.now)
        if not isinstance(answer, Retry):
            del self.open[work_id]
        if isinstance(answer, Refused):
            assert not self.runs[work_id]
        self.check_attempt_limit(work_id, answer)
        self.poll()

    def check_attempt_limit(self, work_id, answer):
        if isinstance(answer, Retry):
            key = f"{work_id} retries"
            self.runs[key] = self.runs.get(key, 0) + 1
            assert self.runs[key] < MAX_ATTEMPTS

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def caller_disconnects(self, data):
        work_id = data.draw(st.sampled_from(sorted(self.open)))
        self.scheduler.withdraw(work_id, self.now)
        del self.open[work_id]
        self.sent.pop(work_id, None)
        self.poll()

    @rule(domains=st.sampled_from([frozenset(), frozenset({"d0"})]))
    def operators_take_domains_out(self, domains):
        self.domains_out = domains
        self.scheduler.set_domains_out(domains, self.now)
        self.poll()

    @rule(index=st.integers(0, 3), phase=st.sampled_from(list(EndpointPhase)[:3]))
    def endpoint_reports(self, index, phase):
        endpoint_id = f"e{index}"
        if endpoint_id in self.leaving and phase is not EndpointPhase.LEAVING:
            self.incarnations[endpoint_id] += 1
            self.leaving.discard(endpoint_id)
        self.now += 0.001
        load = make_load(
            endpoint_id,
            at=self.now,
            phase=phase,
            incarnation=self.incarnations[endpoint_id],
        )
        self.cold.discard(endpoint_id)
        if phase is EndpointPhase.LEAVING:
            self.leaving.add(endpoint_id)
        if phase is EndpointPhase.COLD:
            self.cold.add(endpoint_id)
        self.scheduler.report_load(load, self.now)
        self.poll()


MACHINE_SETTINGS = settings(max_examples=60, stateful_step_count=50, deadline=None)
TestFairQueue = FairQueueMachine.TestCase
TestFairQueue.settings = MACHINE_SETTINGS
TestRetryBudget = RetryBudgetMachine.TestCase
TestRetryBudget.settings = MACHINE_SETTINGS
TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = MACHINE_SETTINGS

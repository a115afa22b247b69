"""Tests of the whole scheduler through the strategy interface.

Guards against work that waits in vain, is late though it could be on time, or goes to
an endpoint that may not have it.
"""

from decisions_support import (
    TARGETS,
    make_endpoint,
    make_load,
    make_result,
    make_work,
)

from cranberrywick.decisions.fair_queue import FairQueue, QueuedWork
from cranberrywick.decisions.strategies import make_strategy
from cranberrywick.model import (
    EndpointKind,
    EndpointPhase,
    Executed,
    GiveUp,
    RefusalReason,
    Refused,
    Retry,
    Send,
    Settled,
)


def make_scheduler(number=3, **changes):
    """Return a scheduler whose endpoints have all reported that they are warm."""
    scheduler = make_strategy("cranberrywick", seed=1)
    scheduler.set_targets(TARGETS)
    endpoints = {
        f"e{i}": make_endpoint(f"e{i}", f"d{i}", **changes) for i in range(number)
    }
    scheduler.set_endpoints(endpoints, 0.0)
    for endpoint_id in endpoints:
        scheduler.report_load(make_load(endpoint_id), 0.0)
    return scheduler


def offer_all(scheduler, works, now=0.0):
    answers = [scheduler.offer(work, now) for work in works]
    return answers, scheduler.poll(now)


def test_endless_urgent_work_of_one_organisation_does_not_starve_another():
    """By slack alone, a hot organisation's urgent work would always be served first.

    Its work is always due before the other organisation's. Once it is ahead by the
    allowance, the other organisation gets every second unit of engine time.
    """
    queue = FairQueue()
    for index in range(200):
        hot = make_work(f"h{index}", organisation="hot")
        queue.push(QueuedWork(hot, "lane", latest_start=1.0, cost_seconds=1.0))
    for index in range(20):
        other = make_work(f"o{index}", organisation="other")
        queue.push(QueuedWork(other, "lane", latest_start=90.0, cost_seconds=1.0))
    served = [queue.pop(queue.head("lane").work.work_id) for _ in range(40)]
    others = [q for q in served if q.work.organisation == "other"]
    assert 17 <= len(others) <= 20


def test_an_unused_share_is_not_saved_up():
    """A returning organisation must not get all endpoints for as long as it was idle.

    One organisation is served while another has no work. When the other returns, both
    get the same share.
    """
    queue = FairQueue()
    for index in range(100):
        busy = make_work(f"b{index}", organisation="busy")
        queue.push(QueuedWork(busy, "lane", latest_start=1.0, cost_seconds=1.0))
    for _ in range(50):
        queue.pop(queue.head("lane").work.work_id)
    for index in range(50):
        back = make_work(f"r{index}", organisation="back")
        queue.push(QueuedWork(back, "lane", latest_start=0.0, cost_seconds=1.0))
    served = [queue.pop(queue.head("lane").work.work_id) for _ in range(20)]
    assert 9 <= sum(q.work.organisation == "back" for q in served) <= 12


def test_work_is_queued_until_an_endpoint_is_about_to_become_free():
    """Work sent too early waits at one endpoint even if another becomes free first.

    There are three endpoints and four prompts of half a second each. The fourth prompt
    is sent only when one of the others has its first token.
    """
    scheduler = make_scheduler()
    works = [make_work(f"w{i}", tokens=5_000) for i in range(4)]
    _, actions = offer_all(scheduler, works)
    assert len(actions) == 3
    assert len({action.endpoint_ids for action in actions}) == 3
    scheduler.first_token(actions[0].work_id, 0.5)
    (last,) = scheduler.poll(0.5)
    assert last.endpoint_ids == actions[0].endpoint_ids


def test_work_that_cannot_meet_its_target_is_refused_at_arrival():
    """Work that is admitted behind too long a queue is late when it is served.

    The queue holds more work than the fleet can do in two seconds, so prompts that
    must start within two seconds are refused at once, each with its own retry time.
    """
    scheduler = make_scheduler(number=1)
    works = [make_work(f"w{i}", tokens=5_000, organisation="o") for i in range(20)]
    answers, _ = offer_all(scheduler, works)
    refused = [answer for answer in answers if isinstance(answer, Refused)]
    assert len(refused) >= 15
    assert all(answer.reason == RefusalReason.CANNOT_MEET_TARGET for answer in refused)
    assert len({answer.retry_after for answer in refused}) == len(refused)


def test_queued_work_is_given_up_when_its_latest_start_passes():
    """A caller must not wait until the deadline for a refusal that is certain before.

    A long prefill occupies the endpoint for longer than predicted. The next prompt's
    latest start passes while it is queued, and it is given up then, not at its
    deadline a minute later.
    """
    scheduler = make_scheduler(number=1)
    _, actions = offer_all(scheduler, [make_work("long", 15_000, deadline=400.0)])
    assert isinstance(actions[0], Send)
    offer_all(scheduler, [make_work("next", 1_000)])
    now = 0.0
    while not (actions := scheduler.poll(now)):
        now = scheduler.next_wake(now)
    (given_up,) = actions
    assert isinstance(given_up, GiveUp) and given_up.work_id == "next"
    assert 1.5 < now < 2.0
    assert scheduler.next_wake(now) is not None


def test_a_prompt_too_long_for_its_first_token_target_may_use_its_completion_time():
    scheduler = make_scheduler(number=1)
    _, actions = offer_all(scheduler, [make_work(tokens=100_000)])
    assert isinstance(actions[0], Send)


def test_a_failed_attempt_goes_to_another_failure_domain():
    scheduler = make_scheduler()
    _, (send,) = offer_all(scheduler, [make_work("w")])
    failed = make_result(
        send.endpoint_ids[0],
        succeeded=False,
        executed=Executed.UNKNOWN,
        first_token_seconds=None,
    )
    assert isinstance(scheduler.finished("w", failed, 0.1), Retry)
    (again,) = scheduler.poll(0.1)
    assert again.endpoint_ids != send.endpoint_ids


def test_a_call_that_may_have_run_is_not_repeated():
    scheduler = make_scheduler()
    _, (send,) = offer_all(scheduler, [make_work("w", idempotent=False)])
    failed = make_result(
        send.endpoint_ids[0],
        succeeded=False,
        executed=Executed.UNKNOWN,
        first_token_seconds=None,
    )
    assert isinstance(scheduler.finished("w", failed, 0.1), Settled)
    assert scheduler.poll(0.1) == []


def test_retries_stop_when_the_budget_is_spent():
    """Without a budget, failures multiply the load.

    Every attempt fails. Ten retries are made; after that each failure is final.
    """
    scheduler = make_scheduler(slots=100)
    retries = 0
    for index in range(40):
        now = index * 1.0
        for endpoint_id in ("e0", "e1", "e2"):
            scheduler.report_load(make_load(endpoint_id, at=now), now)
        _, actions = offer_all(scheduler, [make_work(f"w{index}", arrival=now)], now)
        while actions:
            failed = make_result(
                actions[0].endpoint_ids[0],
                succeeded=False,
                executed=Executed.NO,
                first_token_seconds=None,
            )
            answer = scheduler.finished(actions[0].work_id, failed, now)
            retries += isinstance(answer, Retry)
            actions = scheduler.poll(now)
    assert retries == 10


def test_queued_work_is_not_sent_to_a_domain_that_was_taken_out():
    """The domain is taken out while work is queued, so it is checked at the send."""
    scheduler = make_scheduler(number=2)
    works = [make_work(f"w{i}", tokens=5_000) for i in range(3)]
    offer_all(scheduler, works)
    scheduler.set_domains_out(frozenset({"d0"}), 0.1)
    for index in range(2):
        scheduler.first_token(f"w{index}", 0.5)
    (send,) = scheduler.poll(0.5)
    assert send.endpoint_ids == ("e1",)


def test_an_endpoint_that_refuses_as_cold_or_leaving_gets_no_more_work():
    scheduler = make_scheduler(number=2, cold_slots=0)
    for flag, work_id in (({"cold": True}, "a"), ({"leaving": True}, "b")):
        _, (send,) = offer_all(scheduler, [make_work(work_id)])
        refused = make_result(
            send.endpoint_ids[0],
            succeeded=False,
            executed=Executed.NO,
            first_token_seconds=None,
            **flag,
        )
        scheduler.finished(work_id, refused, 0.1)
        scheduler.withdraw(work_id, 0.1)
        scheduler.poll(0.1)
    _, actions = offer_all(scheduler, [make_work("c")], 0.2)
    sent = [action for action in actions if isinstance(action, Send)]
    assert sent == []


def test_plain_services_are_limited_by_slots_alone():
    scheduler = make_strategy("cranberrywick", seed=1)
    service = make_endpoint(
        "s0", kind=EndpointKind.SERVICE, models=(), service="booking", slots=2
    )
    scheduler.set_endpoints({"s0": service}, 0.0)
    scheduler.report_load(make_load("s0"), 0.0)
    works = [
        make_work(f"w{i}", tokens=0, service="booking", model="") for i in range(3)
    ]
    _, actions = offer_all(scheduler, works)
    assert len(actions) == 2
    scheduler.finished(actions[0].work_id, make_result("s0", output_tokens=0), 0.1)
    assert len(scheduler.poll(0.1)) == 1


def test_an_unknown_model_has_no_endpoint():
    answer = make_scheduler().offer(make_work(model="other"), 0.0)
    assert answer.reason == RefusalReason.NO_ENDPOINT


def test_work_at_an_endpoint_no_longer_listed_counts_until_it_ends():
    scheduler = make_scheduler(number=1)
    offer_all(scheduler, [make_work("w")])
    scheduler.set_endpoints({}, 0.1)
    assert isinstance(scheduler.finished("w", make_result("e0"), 0.2), Settled)
    assert scheduler.next_wake(0.2) is None


def test_a_warm_report_made_before_a_cold_refusal_is_ignored():
    """A late report must not reopen an endpoint that has become cold since.

    The endpoint refuses a request as cold. After that a report arrives that was made
    before the refusal and says that the endpoint is warm.
    """
    scheduler = make_scheduler(number=1, cold_slots=0)
    _, (send,) = offer_all(scheduler, [make_work("w", idempotent=False)])
    refused = make_result(
        "e0",
        succeeded=False,
        executed=Executed.NO,
        first_token_seconds=None,
        cold=True,
    )
    scheduler.finished("w", refused, 5.0)
    scheduler.withdraw("w", 5.0)
    scheduler.report_load(make_load("e0", at=4.0), 5.1)
    _, actions = offer_all(scheduler, [make_work("x", arrival=5.1)], 5.1)
    assert actions == []
    scheduler.report_load(make_load("e0", at=5.2, phase=EndpointPhase.WARM), 5.3)
    assert isinstance(scheduler.poll(5.3)[0], Send)


def test_an_ejected_endpoint_is_used_if_no_other_is_left():
    """Work must not wait for the next probe while the only engine left is idle.

    One of two engines is ejected as slow, then the other one leaves. A slow answer is
    better than none, so the next sweep readmits the ejected engine.
    """
    scheduler = make_scheduler(number=2)
    for index in range(2):
        scheduler._slow.observe("e0", f"s{index}", 9.0, 0.1, peers=2, now=0.0)
    assert not scheduler._slow.admits("e0")
    scheduler.report_load(make_load("e1", at=1.0, phase=EndpointPhase.LEAVING), 1.0)

    scheduler.offer(make_work("w1", arrival=2.0), 2.0)

    assert scheduler.poll(3.1) == [Send("w1", ("e0",))]


def test_work_that_no_fleet_can_finish_in_time_does_not_count_as_load():
    """A lone organisation was refused as over its share.

    It repeatedly sent work that no endpoint can finish within the targets of its
    class. When that counted as load, the organisation was marked hot and the fleet
    overloaded. The targets are the cause, and every refusal has to say so.
    """
    scheduler = make_scheduler()
    for second in range(30):
        now = float(second)
        work = make_work(arrival=now, first_token_deadline=now, deadline=now + 0.001)
        refused = scheduler.offer(work, now)
        scheduler.poll(now)
        assert refused.reason is RefusalReason.CANNOT_MEET_TARGET


def test_a_prompt_above_one_memory_gets_a_gang_and_delays_no_later_work():
    """Two engines of one domain together have the memory for the prompt.

    While one of them is occupied, the prompt waits, and a shorter prompt that arrived
    later is sent. When there is memory, the prompt is sent to both engines, and their
    memory counts as used until it ends.
    """
    scheduler = make_strategy("cranberrywick", seed=1)
    scheduler.set_targets(TARGETS)
    engines = {f"e{i}": make_endpoint(f"e{i}", cache_tokens=100_000) for i in range(2)}
    scheduler.set_endpoints(engines, 0.0)
    for endpoint_id in engines:
        scheduler.report_load(make_load(endpoint_id), 0.0)
    late = {"first_token_deadline": 200.0, "deadline": 400.0}
    _, (first,) = offer_all(scheduler, [make_work("first", 60_000, **late)])
    _, actions = offer_all(
        scheduler,
        [make_work("gang", 150_000, **late), make_work("behind", 60_000, **late)],
    )
    assert [action.work_id for action in actions] == ["behind"]
    for work_id, send in (("first", first), ("behind", actions[0])):
        scheduler.first_token(work_id, 6.0)
        scheduler.finished(work_id, make_result(send.endpoint_ids[0]), 7.0)
    (gang,) = scheduler.poll(7.0)
    assert set(gang.endpoint_ids) == {"e0", "e1"}
    _, actions = offer_all(scheduler, [make_work("last", 60_000, **late)], 7.0)
    assert actions == []
    scheduler.withdraw("gang", 8.0)
    assert len(scheduler.poll(8.0)) == 1


def test_a_prompt_that_no_gang_could_hold_is_refused_at_once():
    scheduler = make_scheduler(cache_tokens=100_000)
    answer = scheduler.offer(make_work(tokens=150_000), 0.0)
    assert answer.reason == RefusalReason.NO_ENDPOINT

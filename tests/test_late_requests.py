"""Requests that come to a gateway after the signal, while nobody else serves.

Guards against calls that are refused although they are sure to end, and streams that
are sent although a long prompt may hold them up until the end.
"""

import pytest
from gateway_fleet import wait_for
from stopping_fleet import GRACE_SECONDS, running_stopping_fleet, waiting_at_stop

from cranberrywick.routing.answer_lengths import AnswerOutline
from cranberrywick.routing.fleet_answers import FleetAnswers, PromptReading
from cranberrywick.routing.model import EngineProfile

CALL = AnswerOutline("lookup", target_seconds=18.0)
STREAM = AnswerOutline("drafts", is_stream=True, tokens=4000)
# The engine of the example deployment.
ENGINE = EngineProfile(
    8, 315_000, 51, 0.00085, 4.25e-6, 2.85e-9, 177_000.0, 1.84e-10, 2048, 11_000.0
)
# A gateway serves for three seconds at least; calls come one by one until then.
SEND_SECONDS, SENT_CALLS = 0.1, 30


def call_seconds(answers, outline=CALL):
    return answers.forecast(outline, "desk", 0, 0.0, 0.0, 10.0).seconds


def test_the_first_call_of_a_route_needs_no_more_than_a_second():
    """Guards against calls that are refused for a target that no answer takes."""
    answers = FleetAnswers()
    assert call_seconds(answers) < 1.2
    answers.record_call("lookup", 0.05)
    assert call_seconds(answers) < 0.7
    quick = CALL._replace(target_seconds=0.3)
    assert call_seconds(FleetAnswers(), quick) < 0.4


@pytest.mark.parametrize("known", [0, 4, 40])
def test_calls_that_run_show_how_long_others_take(known):
    """Guards against calls that are sent since only those that have ended count."""
    answers = FleetAnswers()
    for _ in range(known):
        answers.record_call("lookup", 0.05)
    answers.running_calls = lambda: {"lookup": 3.0}
    assert call_seconds(answers) > 6.0
    assert call_seconds(answers, CALL._replace(route="other")) < 1.2


def test_a_long_prompt_that_may_be_read_meanwhile_counts():
    """Guards against streams that are cut as their engine reads a long prompt."""
    answers = FleetAnswers()
    for _ in range(40):
        answers.record_stream(STREAM._replace(events=20), 20, 51)

    def seconds(pace, tokens):
        reading = PromptReading.of_prompt(ENGINE, tokens)
        return answers.forecast(
            STREAM, "pool", 51, 0.0, pace, 10.0, reading=reading
        ).seconds

    # An event takes 0.07 s longer while 154,000 tokens are read, which takes 3 s.
    assert seconds(0.05, 154_000) - seconds(0.05, 0) == pytest.approx(2.5, abs=0.4)
    assert seconds(0.5, 154_000) - seconds(0.5, 0) == pytest.approx(2.5, abs=0.4)
    assert seconds(0.05, 5_000) - seconds(0.05, 0) < 0.05


def test_a_long_prompt_is_expected_again_for_a_while():
    """Guards against prompts that are forgotten between two of a caller."""
    answers = FleetAnswers()
    answers.record_prompt("pool", 154_000, 10.0)
    answers.record_prompt("pool", 5_000, 20.0)
    assert answers.longest_prompt("pool", 39.0) == 154_000
    answers.record_prompt("pool", 6_000, 41.0)
    assert answers.longest_prompt("pool", 42.0) == 6_000
    assert answers.longest_prompt("desk", 42.0) == 0


def long_target(fleet, work_seconds):
    """Let calls have a target of 18 s."""
    version = fleet.reconfigure({"targetLatencyMs": 18_000})
    for gateway in fleet.gateways:
        wait_for(lambda each=gateway: f"version={version}" in each.log, "the target")
    fleet.endpoints["desk-1"].work_seconds = work_seconds


def test_quick_calls_are_served_until_the_end_though_nothing_is_known(tmp_path):
    """Guards against refusals of calls that are sure to end."""
    with running_stopping_fleet(tmp_path, slots=8) as fleet:
        (gateway,) = fleet.gateways
        long_target(fleet, 0.05)
        signalled_at = fleet.stop(gateway)
        calls = fleet.send_reads(gateway, SENT_CALLS, SEND_SECONDS, signalled_at)
        statuses = [call.answer().status for call in calls]
        assert statuses == [200] * SENT_CALLS
        assert gateway.process.wait(GRACE_SECONDS) == 0


def test_calls_that_wait_are_served_though_nothing_is_known(tmp_path):
    """Guards against refusals of calls whose turn is sure to come."""
    with running_stopping_fleet(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        long_target(fleet, 0.3)
        calls = [fleet.send(gateway, "GET", f"/reads/{n}") for n in range(10)]
        fleet.wait_until_seen(gateway)
        fleet.stop(gateway)
        assert [call.answer().status for call in calls] == [200] * 10
        assert waiting_at_stop(gateway) >= 8

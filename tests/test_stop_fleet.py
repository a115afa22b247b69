"""Gateways that are told to stop answer each request that they have read.

Guards against requests that are dropped without an answer, refused although their turn
comes, run after their refusal, or held until their callers have no time left.
"""

import signal
import time

import pytest
from gateway_fleet import wait_for
from stopping_fleet import (
    GRACE_SECONDS,
    outcomes,
    running_stopping_fleet,
    waiting_at_stop,
)


def check_refused(fleet, gateway, callers, signalled_at, longest_retry=1.0):
    """Assert that requests which waited were refused truthfully and in time.

    Another gateway serves, so callers may return after ``longest_retry`` seconds.
    """
    for caller in callers:
        answer = caller.answer()
        assert (answer.status, answer.whole) == (503, True)
        assert 0 < float(answer.headers["retry-after"]) < longest_retry
        assert answer.headers["connection"] == "close"
        assert b'"executed": "no"' in answer.body
        assert caller.ended_at - signalled_at < GRACE_SECONDS - 0.4
    assert gateway.process.wait(GRACE_SECONDS) == 0
    assert time.monotonic() - signalled_at < GRACE_SECONDS
    assert not any(fleet.runs(caller.request_id) for caller in callers)
    assert "daemon_stopped" not in outcomes(gateway)


def occupied_with_waiting(fleet, gateway):
    """Let a gateway's requests of each kind wait; return these and the others."""
    occupying = [fleet.occupy(gateway, prefix) for prefix in ("reads", "prompts")]
    waiting = fleet.send_each_kind(gateway)
    fleet.wait_until_seen(gateway)
    return waiting, occupying


@pytest.mark.parametrize(
    "numbers",
    [
        (signal.SIGTERM,),
        (signal.SIGINT,),
        (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT),
    ],
)
def test_requests_that_wait_at_a_stop_get_a_refusal(tmp_path, numbers):
    """Guards against waiting requests that are dropped as a stopped gateway ends."""
    with running_stopping_fleet(tmp_path, gateways=2) as fleet:
        gateway, _ = fleet.gateways
        waiting, occupying = occupied_with_waiting(fleet, gateway)
        signalled_at = fleet.stop(gateway, numbers[0])
        for number in numbers[1:]:
            time.sleep(1.0)
            fleet.stop(gateway, number)
        check_refused(fleet, gateway, waiting, signalled_at)
        assert waiting_at_stop(gateway) == 6
        # The endpoints still have these, which may have run.
        assert [caller.answer().status for caller in occupying] == [502, 502]


def test_a_prompt_whose_turn_comes_too_late_is_refused_at_once(tmp_path):
    """Guards against prompts held until the end behind one that is read for longer."""
    with running_stopping_fleet(tmp_path, gateways=2) as fleet:
        gateway, _ = fleet.gateways
        waiting, _ = occupied_with_waiting(fleet, gateway)
        signalled_at = fleet.stop(gateway)
        check_refused(fleet, gateway, waiting, signalled_at)
        assert all(caller.ended_at - signalled_at < 1.0 for caller in waiting[-2:])


def test_waiting_requests_are_refused_while_the_store_is_away(tmp_path):
    """Guards against a stop that depends on the store."""
    with running_stopping_fleet(tmp_path, gateways=2) as fleet:
        gateway, _ = fleet.gateways
        waiting, _ = occupied_with_waiting(fleet, gateway)
        fleet.store.modes_by_listener[gateway.name] = "silent"
        signalled_at = fleet.stop(gateway)
        check_refused(fleet, gateway, waiting, signalled_at)


@pytest.mark.parametrize("frozen_after", [1.0, 4.3])
def test_waiting_requests_are_refused_after_a_freeze(tmp_path, frozen_after):
    """Guards against a freeze in the grace period, after which nothing is answered."""
    with running_stopping_fleet(tmp_path, gateways=2) as fleet:
        gateway, _ = fleet.gateways
        waiting, _ = occupied_with_waiting(fleet, gateway)
        signalled_at = fleet.stop(gateway)
        time.sleep(frozen_after)
        fleet.stop(gateway, signal.SIGSTOP)
        time.sleep(3.0)
        fleet.stop(gateway, signal.SIGCONT)
        # A gateway that wakes may have heard of no peer yet.
        check_refused(fleet, gateway, waiting, signalled_at, longest_retry=2.0)


def test_a_signal_during_a_freeze_counts_from_when_it_was_sent(tmp_path):
    """Guards against a gateway that is killed, since it noticed the signal late."""
    with running_stopping_fleet(tmp_path, gateways=2) as fleet:
        gateway, _ = fleet.gateways
        waiting, _ = occupied_with_waiting(fleet, gateway)
        fleet.stop(gateway, signal.SIGSTOP)
        time.sleep(0.5)
        signalled_at = fleet.stop(gateway)
        time.sleep(3.0)
        fleet.stop(gateway, signal.SIGCONT)
        check_refused(fleet, gateway, waiting, signalled_at, longest_retry=2.0)


def test_three_gateways_that_stop_at_once_refuse_what_waits(tmp_path):
    """Guards against requests that are dropped when no other gateway can serve them."""
    with running_stopping_fleet(tmp_path, gateways=3) as fleet:
        first, *others = fleet.gateways
        callers_by_name = {first.name: occupied_with_waiting(fleet, first)[0]}
        time.sleep(0.5)
        for gateway in others:
            callers_by_name[gateway.name] = fleet.send_each_kind(gateway)
            fleet.wait_until_seen(gateway)
        signalled_at = [fleet.stop(gateway) for gateway in fleet.gateways][0]
        for gateway in fleet.gateways:
            waiting = callers_by_name[gateway.name]
            for caller in waiting:
                answer = caller.answer()
                assert (answer.status, answer.whole) == (503, True)
                # Nobody serves before a gateway has started again.
                assert float(answer.headers["retry-after"]) >= 1.0
                assert caller.ended_at - signalled_at < GRACE_SECONDS - 0.4
            assert gateway.process.wait(GRACE_SECONDS) == 0
            assert not any(fleet.runs(caller.request_id) for caller in waiting)


def test_requests_whose_turn_comes_are_served(tmp_path):
    """Guards against a stop that refuses what it could serve until its end."""
    with running_stopping_fleet(tmp_path, gateways=2, slots=2) as fleet:
        gateway, _ = fleet.gateways
        fleet.endpoints["desk-1"].work_seconds = 0.5
        waiting = [fleet.send(gateway, "GET", f"/reads/{n}") for n in range(10)]
        waiting += [fleet.send(gateway, "POST", f"/books/{n}") for n in range(10)]
        fleet.wait_until_seen(gateway)
        fleet.stop(gateway)
        assert [caller.answer().status for caller in waiting] == [200] * 20
        assert all(fleet.runs(caller.request_id) == 1 for caller in waiting)
        assert gateway.process.wait(GRACE_SECONDS) == 0


def test_hundreds_of_waiting_requests_are_answered_in_time(tmp_path):
    """Guards against a stop that takes too long since much waits.

    One endpoint serves four requests a second. Those that can't get their turn are
    refused at the signal, most others are served.
    """
    with running_stopping_fleet(tmp_path, gateways=2, slots=2) as fleet:
        gateway, _ = fleet.gateways
        fleet.endpoints["desk-1"].work_seconds = 0.5
        callers = [fleet.send(gateway, "POST", f"/books/{n}") for n in range(300)]
        fleet.wait_until_seen(gateway)
        # The gateway learns how long such calls take.
        wait_for(lambda: outcomes(gateway).count("completed") >= 4, "first answers")
        signalled_at = fleet.stop(gateway)
        statuses = [caller.answer().status for caller in callers]
        assert gateway.process.wait(GRACE_SECONDS) == 0
        assert time.monotonic() - signalled_at < GRACE_SECONDS
        assert set(statuses) <= {200, 502, 503}
        # At most those that the endpoint still had at the end.
        assert statuses.count(502) <= 2
        for caller, status in zip(callers, statuses, strict=True):
            assert fleet.runs(caller.request_id) == (status != 503)
        # Of some 28 turns within the grace period at least 20 are used.
        assert statuses.count(200) >= 20
        refused = [each for each in callers if each.answer().status == 503]
        soon = [each for each in refused if each.ended_at - signalled_at < 3.0]
        assert len(soon) >= 200
        times = {each.answer().headers["retry-after"] for each in soon}
        assert max(map(float, times)) - min(map(float, times)) > 1.0

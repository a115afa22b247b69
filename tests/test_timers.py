"""The timer service with a clock that the tests control.

Guards against callbacks that are lost, repeated too often or stopped by another one's
failure.
"""

import threading

import logbook
import pytest

from cranberrywick.timers import TimerService


class Clock:
    """A clock that shows the same time until a test sets another."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def timers(clock):
    return TimerService(clock=clock, seed=1)


def test_runs_in_order_of_time_and_then_of_subscription(timers):
    ran = []
    timers.after(2.0, lambda: ran.append("late"))
    timers.after(1.0, lambda: ran.append("first"))
    timers.after(1.0, lambda: ran.append("second"))

    assert timers.run_due(101.0) == 102.0
    assert ran == ["first", "second"]
    assert timers.run_due(102.0) is None
    assert ran == ["first", "second", "late"]


def test_interval_repeats_without_drift(timers):
    ran = []
    timers.every(1.0, lambda: ran.append(None))

    assert timers.run_due(101.3) == 102.0
    assert timers.run_due(102.0) == 103.0
    assert len(ran) == 2


def test_jitter_stays_within_its_share(timers):
    timers.every(10.0, lambda: None, jitter=0.2)
    due = timers.run_due(100.0)
    for _ in range(50):
        following = timers.run_due(due)
        assert 8.0 <= following - due <= 12.0
        due = following


def test_pause_is_not_made_up_for(timers):
    """Runs missed during a pause of the process are skipped.

    After a minute of SIGSTOP, a heartbeat with an interval of one second runs once and
    then every second again. Sixty heartbeats at once would load peers and the platform
    without new content.
    """
    ran = []
    timers.every(1.0, lambda: ran.append(None))
    assert timers.run_due(160.0) == 161.0
    assert len(ran) == 1


def test_failing_callback_is_logged_and_stops_no_other(timers):
    """An exception in one callback does not keep the others from running.

    The callback that is due next still runs, the failing one runs again after its
    interval, and each failure is logged.
    """
    ran = []

    def fail():
        raise RuntimeError("boom")

    timers.every(1.0, fail)
    timers.every(1.0, lambda: ran.append(None))
    with logbook.TestHandler().applicationbound() as logs:
        timers.run_due(101.0)
        timers.run_due(102.0)
    assert len(ran) == 2
    assert [record.message for record in logs.records] == ["timer_callback_failed"] * 2


def test_cancelled_subscription_does_not_run_again(timers):
    ran = []

    def run_once():
        ran.append(None)
        subscription.cancel()

    subscription = timers.every(1.0, run_once)
    timers.run_due(101.0)
    timers.run_due(102.0)
    assert len(ran) == 1
    assert timers.run_due(103.0) is None


def test_thread_wakes_for_a_subscription_made_while_it_waits():
    timers = TimerService()
    timers.after(3600.0, lambda: None)
    timers.start()
    ran = threading.Event()
    timers.after(0.0, ran.set)
    assert ran.wait(30.0)
    timers.stop()


def test_stop_from_a_callback_ends_the_thread():
    timers = TimerService()
    timers.after(0.0, timers.stop)
    timers.start()
    timers._thread.join(30.0)
    assert not timers._thread.is_alive()


@pytest.mark.parametrize("seconds, jitter", [(0.0, 0.0), (-1.0, 0.0), (1.0, 1.0)])
def test_impossible_interval_is_refused(timers, seconds, jitter):
    with pytest.raises(ValueError):
        timers.every(seconds, lambda: None, jitter=jitter)

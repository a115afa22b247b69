"""The measured lag of the event loop."""

import asyncio
import time
from typing import NamedTuple

import pytest

from cranberrywick.bench.virtual_time import run_in_virtual_time, suspend_loop
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.loop_lag import RECENT_SECONDS, LoopLag
from cranberrywick.gateway.processor_time import busy_seconds
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog


def run_measured(scene, busy=lambda: 0.0):
    """Run a coroutine function with a started measurement; return its result."""

    async def main():
        ticker = Ticker(EventLog())
        lag = LoopLag(ticker, busy)
        lag.start()
        result = await scene(lag)
        ticker.stop()
        return result

    return run_in_virtual_time(main())


class Clocks(NamedTuple):
    """What `busy_seconds` returned, and between which moments it was called."""

    began_at: float
    busy: float
    ended_at: float


def read_clocks():
    return Clocks(time.monotonic(), busy_seconds(), time.monotonic())


def test_a_late_timer_counts_for_some_seconds():
    """Guards against promises by the clock that take the loop for punctual."""

    async def scene(lag):
        await asyncio.sleep(0.25)
        on_time = lag.timer_seconds
        suspend_loop(0.8)
        during = lag.timer_seconds
        await asyncio.sleep(1.0)
        after = lag.timer_seconds
        await asyncio.sleep(RECENT_SECONDS)
        return on_time, during, after, lag.timer_seconds

    on_time, during, after, later = run_measured(scene)
    assert on_time == pytest.approx(0.0, abs=1e-6)
    # It was due at some time within the 0.8 s, also before it has fired.
    assert 0.7 <= during <= after <= 0.8
    assert later == pytest.approx(0.0, abs=1e-6)


def test_a_long_turn_is_measured():
    """Guards against a loop that counts as punctual while each turn takes long."""

    async def scene(lag):
        async def work():
            while True:
                await asyncio.sleep(0)
                suspend_loop(0.04)

        worker = asyncio.create_task(work())
        await asyncio.sleep(0.5)
        worker.cancel()
        return lag.turn_seconds

    assert run_measured(scene) >= 0.04


def test_a_single_suspension_is_not_expected_again():
    """Guards against a stop that ends early since its process was suspended once."""

    async def scene(lag):
        await asyncio.sleep(0.25)
        suspend_loop(2.0)
        during = lag.expected_timer_seconds
        await asyncio.sleep(0.5)
        assert lag.timer_seconds > 1.8
        return during, lag.expected_timer_seconds

    assert run_measured(scene) == pytest.approx((0.0, 0.0), abs=1e-6)


def test_a_turn_that_was_suspended_is_not_expected_again():
    """Guards against the same where the suspension came within a measured turn."""

    async def scene(lag):
        await asyncio.sleep(0.25)
        lag._begin_turn()
        suspend_loop(1.0)
        await asyncio.sleep(0)
        assert lag.turn_seconds >= 1.0
        return lag.expected_turn_seconds

    assert run_measured(scene) == pytest.approx(0.0, abs=1e-6)


@pytest.mark.parametrize("measure", ["timer", "turn"])
def test_a_loop_that_is_short_of_processor_is_expected_to_be_late_again(measure):
    """Guards against a busy loop that is taken for a suspended process."""

    async def scene(lag):
        await asyncio.sleep(0.25)
        if measure == "turn":
            lag._begin_turn()
        suspend_loop(1.0)
        during = lag.expected_timer_seconds
        await asyncio.sleep(0.1)
        return during, lag.expected_timer_seconds, lag.expected_turn_seconds

    def busy():
        return 0.5 * asyncio.get_running_loop().time()

    during, timer, turn = run_measured(scene, busy)
    assert 0.5 <= during == timer <= 0.6
    assert turn == (0.5 if measure == "turn" else 0.0)


def test_what_a_thread_runs_counts_as_busy_and_what_it_sleeps_does_not():
    """Guards against suspensions and lack of processor taken for one another."""
    before_run = read_clocks()
    while time.monotonic() - before_run.ended_at < 0.2:
        pass
    after_run = read_clocks()
    time.sleep(0.5)
    after_sleep = read_clocks()
    # Also between two clocks, and as it wakes, the thread may wait for a processor.
    ran = after_run.busy - before_run.busy
    assert ran >= after_run.began_at - before_run.ended_at - 0.05
    assert ran <= after_run.ended_at - before_run.began_at + 0.05
    slept = after_sleep.busy - after_run.busy
    waited = after_sleep.ended_at - after_run.began_at - 0.5
    assert slept < 0.2 + waited


def test_all_time_counts_where_the_kernel_does_not_tell(monkeypatch, tmp_path):
    """Guards against lack of processor that is overlooked on other kernels."""
    path = tmp_path / "schedstat"
    monkeypatch.setattr("cranberrywick.gateway.processor_time.SCHEDULER_PATH", path)
    for text in (None, "", "0 0 0"):
        if text is not None:
            path.write_text(text)
        began_at = busy_seconds()
        time.sleep(0.05)
        assert busy_seconds() - began_at >= 0.05


@pytest.mark.parametrize("told", [(False, True), (True, False)])
def test_a_lateness_counts_if_the_kernel_told_only_at_one_end_of_it(told):
    """Guards against lack of processor that is overlooked without free descriptors."""
    clocks = iter([5.0 if each else 1000.0 for each in told])

    async def scene(lag):
        await asyncio.sleep(0.05)
        suspend_loop(1.0)
        return lag.expected_timer_seconds

    assert run_measured(scene, lambda: next(clocks)) == pytest.approx(0.95)


def test_a_lateness_that_comes_again_is_expected():
    """Guards against a loop that counts as punctual though it is late repeatedly."""

    async def scene(lag):
        for seconds in (0.7, 0.9):
            await asyncio.sleep(0.25)
            suspend_loop(seconds)
        await asyncio.sleep(1.0)
        soon = lag.expected_timer_seconds
        await asyncio.sleep(RECENT_SECONDS)
        return soon, lag.expected_timer_seconds

    soon, later = run_measured(scene)
    assert 0.6 <= soon <= 0.7
    assert later == pytest.approx(0.0, abs=1e-6)


def test_the_lag_is_a_metric():
    """Guards against a VM short of processor time that no metric shows."""

    async def main():
        metrics = LazyMetrics("e1")
        metrics.observe_loop_lag(lambda: {"timer": 0.25, "turn": 0.125})
        return (await metrics.render()).body

    body = asyncio.run(main()).decode()
    assert 'cranberrywick_loop_lag_seconds{kind="timer"} 0.25' in body
    assert 'cranberrywick_loop_lag_seconds{kind="turn"} 0.125' in body

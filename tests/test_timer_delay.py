"""The measured delay of a daemon's timers."""

import asyncio

import pytest

from cranberrywick.bench.virtual_time import run_in_virtual_time, suspend_loop
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.gateway.timer_delay import TimerDelay
from cranberrywick.logs import EventLog


def measure(*steps):
    """Return the delay after each step: times late by some seconds, and how often."""

    async def main():
        ticker = Ticker(EventLog())
        delay = TimerDelay(ticker)
        delay.start()
        found = []
        for lateness, times in steps:
            for _ in range(times):
                await asyncio.sleep(0.1)
                suspend_loop(lateness)
            found.append(delay.seconds)
        ticker.stop()
        return found

    return run_in_virtual_time(main())


def test_a_vm_that_is_always_late_is_measured_and_recovers():
    """Guards against a slow VM that isn't noticed, or counts as slow for ever."""
    on_time, late, recovered = measure((0.0, 50), (0.5, 30), (0.0, 150))
    assert on_time == pytest.approx(0.0, abs=1e-6)
    assert late == pytest.approx(0.5, rel=0.1)
    assert recovered < 0.01


def test_a_single_pause_counts_for_a_moment_only():
    """Guards against callers that leave a VM since it was suspended for a minute."""
    paused, later = measure((60.0, 2), (0.0, 100))
    assert paused < 1.0
    assert later < 0.02

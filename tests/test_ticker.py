"""Repeating timers on the event loop.

Guards against callbacks that are called too late, or never again after a failure.
"""

import asyncio

import pytest

from cranberrywick.bench.virtual_time import run_in_virtual_time, suspend_loop
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog


def calls_within(seconds, subscribe):
    """Return the moments at which the callback was called."""
    moments = []

    async def main():
        loop = asyncio.get_running_loop()
        ticker = Ticker(EventLog())
        subscribe(ticker, lambda: moments.append(round(loop.time(), 6)))
        await asyncio.sleep(seconds)
        ticker.stop()

    run_in_virtual_time(main())
    return moments


def test_a_callback_is_called_when_it_is_due():
    pauses = iter([0.3, 0.05, 1.0, 9.0])
    moments = calls_within(
        3.0, lambda ticker, callback: ticker.when_due(callback, lambda: next(pauses))
    )
    assert moments == [0.3, 0.35, 1.35]


def test_a_failing_callback_is_called_again():
    """Guards against a lapse of what a timer renews, after one failed call."""
    moments = calls_within(
        1.0,
        lambda ticker, callback: ticker.every(0.3, lambda: (callback(), 1 / 0)),
    )
    assert moments == [0.3, 0.6, 0.9]


def test_a_signal_after_a_suspension_may_have_come_within_it():
    """Guards against a signal that counts from when a frozen process noticed it."""

    async def main():
        loop = asyncio.get_running_loop()
        ticker = Ticker(EventLog())
        assert ticker.signal_moment(loop.time()) == (loop.time(), loop.time())
        ticker.every(0.3, lambda: None)
        await asyncio.sleep(1.0)
        began = loop.time()
        suspend_loop(3.0)
        earliest, latest = ticker.signal_moment(loop.time())
        assert began - 0.3 <= earliest <= began
        assert latest == loop.time() == began + 3.0
        ticker.stop()

    run_in_virtual_time(main())


@pytest.mark.parametrize("sees_event", [False, True])
def test_a_signal_right_after_a_suspension_may_have_come_within_it(sees_event):
    """Guards against a signal that another thread took, and saw after the loop ran."""

    async def main():
        loop = asyncio.get_running_loop()
        ticker = Ticker(EventLog())
        ticker.every(0.3, lambda: None)
        await asyncio.sleep(1.0)
        began = loop.time()
        suspend_loop(3.0)
        if sees_event:
            ticker.running_since(began, loop.time())
        else:
            await asyncio.sleep(0.01)
        earliest, latest = ticker.signal_moment(loop.time() + 0.05)
        assert began - 0.3 <= earliest <= began
        assert latest >= began + 3.0
        assert ticker.signal_moment(loop.time() + 0.15).earliest >= began + 3.0
        ticker.stop()

    run_in_virtual_time(main())


def test_a_suspension_is_no_time_in_which_the_process_ran():
    """Guards against endpoints that count as slow after this process was frozen."""

    async def main():
        loop = asyncio.get_running_loop()
        ticker = Ticker(EventLog())
        ticker.every(0.3, lambda: None)
        await asyncio.sleep(1.0)
        began = loop.time()
        assert ticker.running_since(0.5, began) == 0.5
        suspend_loop(3.0)
        # Before a timer has fired again, what came meanwhile is seen at once.
        resumed_at = loop.time()
        assert ticker.running_since(began, resumed_at) > resumed_at
        assert ticker.running_since(resumed_at, resumed_at) > resumed_at
        await asyncio.sleep(1.0)
        now = loop.time()
        assert began + 3.0 < ticker.running_since(began, now) < began + 3.5
        assert ticker.running_since(now, now) == now
        ticker.stop()

    run_in_virtual_time(main())


def test_a_turn_in_which_many_events_are_seen_is_no_pace():
    """Guards against a busy loop whose lag is taken for an endpoint's pace."""

    async def main():
        loop = asyncio.get_running_loop()
        ticker = Ticker(EventLog())
        ticker.every(0.3, lambda: None)
        await asyncio.sleep(1.0)
        began = loop.time()
        for _ in range(8):
            suspend_loop(0.1)
            ticker.running_since(loop.time(), loop.time())
        assert ticker.running_since(began, loop.time()) > began + 0.5
        assert ticker.signal_moment(loop.time() + 0.1).earliest == loop.time()
        ticker.stop()

    run_in_virtual_time(main())

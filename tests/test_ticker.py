"""Timers of the event loop."""

import asyncio

from cranberrywick.bench.virtual_time import run_in_virtual_time
from cranberrywick.gateway.ticker import Ticker
from cranberrywick.logs import EventLog


def calls_within(seconds, subscribe):
    """Return the moments of a subscriber's calls."""
    moments = []

    async def main():
        loop = asyncio.get_running_loop()
        ticker = Ticker(EventLog())
        subscribe(ticker, lambda: moments.append(round(loop.time(), 6)))
        await asyncio.sleep(seconds)
        ticker.stop()

    run_in_virtual_time(main())
    return moments


def test_a_subscriber_is_called_when_it_is_due():
    pauses = iter([0.3, 0.05, 1.0, 9.0])
    moments = calls_within(
        3.0, lambda ticker, act: ticker.when_due(act, lambda: next(pauses))
    )
    assert moments == [0.3, 0.35, 1.35]


def test_a_subscriber_that_fails_is_called_again():
    """What a timer renews lapses some time later if the timer dies of one failure."""
    moments = calls_within(
        1.0,
        lambda ticker, act: ticker.every(0.3, lambda: (act(), 1 / 0)),
    )
    assert moments == [0.3, 0.6, 0.9]

"""An event loop in virtual time, which advances as soon as the loop is idle."""

import asyncio
import selectors
from collections.abc import Coroutine

__all__ = ["run_in_virtual_time", "suspend_loop", "virtual_loop"]


class _Selector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._clock = _Selector()
        super().__init__(self._clock)

    def time(self):
        return self._clock.now

    def advance(self, seconds):
        self._clock.now += seconds


def virtual_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop in virtual time, for tests that run it step by step."""
    return _Loop()


def suspend_loop(seconds: float) -> None:
    """Advance the running loop's time by ``seconds`` without running anything.

    This simulates a process that is suspended.
    """
    asyncio.get_running_loop().advance(seconds)


def run_in_virtual_time(main: Coroutine):
    """Run a coroutine in virtual time, without waiting, and return its result."""
    loop = virtual_loop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()

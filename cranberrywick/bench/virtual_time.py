"""An event loop whose time goes on by itself as soon as nothing is left to do."""

import asyncio
import selectors
from collections.abc import Coroutine

__all__ = ["run_in_virtual_time", "stand_still", "virtual_loop"]


class _Selector(selectors.SelectSelector):
    """Advances the loop's time in place of waiting."""

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

    def skip(self, seconds):
        self._clock.now += seconds


def virtual_loop() -> asyncio.AbstractEventLoop:
    """Return a loop whose time is virtual, to be run step by step."""
    return _Loop()


def stand_still(seconds: float) -> None:
    """Let time pass while nothing on the running loop does, as in a freeze."""
    asyncio.get_running_loop().skip(seconds)


def run_in_virtual_time(main: Coroutine):
    """Run a coroutine to its end; a minute of its time takes no minute."""
    loop = virtual_loop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()

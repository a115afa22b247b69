"""An event loop whose turns have a bound, so that its timers are in time.

Load pattern: hundreds of connections have something to read at the same time. asyncio
handles all of them before it looks at its timers again.
"""

import asyncio
import selectors

__all__ = ["EVENTS_PER_TURN", "new_event_loop"]

# Most sockets that one turn of the event loop handles.
EVENTS_PER_TURN = 32

Events = list[tuple[selectors.SelectorKey, int]]


class _BoundedSelector(selectors.DefaultSelector):
    """A selector that returns some of the ready sockets, each of them in its turn."""

    def __init__(self) -> None:
        super().__init__()
        self._turn = 0
        # In which turn each descriptor was last returned beside others that were not.
        self._turn_by_fd: dict[int, int] = {}

    def select(self, timeout: float | None = None) -> Events:
        ready = super().select(timeout)
        if len(ready) <= EVENTS_PER_TURN:
            return ready
        # Sockets that are left out are still ready at the next call, and come before
        # those that are not.
        ready.sort(key=self._last_turn)
        del ready[EVENTS_PER_TURN:]
        self._turn += 1
        self._turn_by_fd.update((key.fd, self._turn) for key, _ in ready)
        return ready

    def _last_turn(self, event: tuple[selectors.SelectorKey, int]) -> int:
        return self._turn_by_fd.get(event[0].fd, 0)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop with bounded turns."""
    return asyncio.SelectorEventLoop(_BoundedSelector())

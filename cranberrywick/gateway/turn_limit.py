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
        self._first = 0

    def select(self, timeout: float | None = None) -> Events:
        ready = super().select(timeout)
        if len(ready) <= EVENTS_PER_TURN:
            return ready
        # Sockets that are left out are still ready at the next call.
        first = self._first % len(ready)
        self._first = first + EVENTS_PER_TURN
        return (ready[first:] + ready[:first])[:EVENTS_PER_TURN]


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop with bounded turns."""
    return asyncio.SelectorEventLoop(_BoundedSelector())

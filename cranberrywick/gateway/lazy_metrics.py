"""Metrics of a gateway, whose library is loaded when they are first read.

Load pattern: all daemons lose power at once, and until the first has started again
callers find nobody. Loading the metrics library is a quarter of a start, and nobody
reads metrics in its first second. Until then notes wait here.
"""

import asyncio
from collections.abc import Callable
from operator import methodcaller
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cranberrywick.metrics import Metrics

__all__ = ["LazyMetrics", "Rendered"]

# Notes that wait; with so many the library is loaded though nobody reads. Some hundred
# bytes each.
MAX_PENDING = 2_000


class Rendered(NamedTuple):
    """Metrics as text, and the type of that."""

    body: bytes
    content_type: str


class LazyMetrics:
    """Takes what `Metrics` takes, on the event loop, and passes it on later.

    >>> metrics = LazyMetrics("e1")
    >>> metrics.queue_wait("grants", 0.02)
    >>> (await metrics.render()).body.startswith(b"# HELP")
    True
    """

    def __init__(self, daemon_id: str):
        self._daemon_id = daemon_id
        self._metrics: Metrics | None = None
        self._pending: list[Callable[[Metrics], None]] = []
        self._loading: asyncio.Task[Metrics] | None = None

    def request_ended(self, class_name: str, outcome: str, seconds: float) -> None:
        """Count a request that ended; ``outcome`` is "completed" or an error's type."""
        self._record(methodcaller("request_ended", class_name, outcome, seconds))

    def first_token(self, class_name: str, prompt_tokens: int, seconds: float) -> None:
        """Note the time from arrival to the first token."""
        self._record(methodcaller("first_token", class_name, prompt_tokens, seconds))

    def queue_wait(self, class_name: str, seconds: float) -> None:
        """Note how long a request waited before it was sent or refused."""
        self._record(methodcaller("queue_wait", class_name, seconds))

    def limit_named(self, class_name: str) -> None:
        """Count an answer in which an endpoint named a rate limit."""
        self._record(methodcaller("limit_named", class_name))

    def permit_asked(self, class_name: str, granted: bool, seconds: float) -> None:
        """Note a request that needed a permit, and how long it waited for it."""
        self._record(methodcaller("permit_asked", class_name, granted, seconds))

    async def render(self) -> Rendered:
        """Return all that was noted."""
        metrics = await self._load()
        return Rendered(metrics.render(), metrics.content_type)

    def _record(self, note: Callable[["Metrics"], None]) -> None:
        if self._metrics is not None:
            note(self._metrics)
            return
        self._pending.append(note)
        if len(self._pending) >= MAX_PENDING:
            self._load()

    def _load(self) -> asyncio.Task["Metrics"]:
        """Return what loads the library; it is loaded once."""
        if self._loading is None:
            loop = asyncio.get_running_loop()
            self._loading = loop.create_task(self._make())
        return self._loading

    async def _make(self) -> "Metrics":
        # On a thread of its own: requests go on meanwhile.
        metrics = await asyncio.to_thread(_import_metrics, self._daemon_id)
        for note in self._pending:
            note(metrics)
        self._pending.clear()
        self._metrics = metrics
        return metrics


def _import_metrics(daemon_id: str) -> "Metrics":
    from cranberrywick.metrics import Metrics  # Late: see above.

    return Metrics(daemon_id)

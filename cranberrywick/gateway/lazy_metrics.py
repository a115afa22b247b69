"""Metrics of a gateway, whose library is loaded when they are first read.

Load pattern: all daemons lose power at once, and until the first has started again no
caller is served. Loading the metrics library takes a quarter of a daemon's start, and
metrics are not read in its first second. Measurements are kept here until the library
is loaded.
"""

import asyncio
from collections.abc import Callable
from operator import methodcaller
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cranberrywick.gateway.log_output import BoundedOutput
    from cranberrywick.metrics import Metrics

__all__ = ["LazyMetrics", "Rendered"]

# Most measurements that are kept, of some hundred bytes each. At this number the
# library is loaded even if the metrics are not read.
MAX_PENDING = 2_000


class Rendered(NamedTuple):
    """Metrics as text, and the value of its Content-Type header."""

    body: bytes
    content_type: str


class LazyMetrics:
    """Records what `Metrics` records; keeps it until the library is loaded.

    Its methods are called on the event loop.

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
        """Record the time from arrival to the first token, in seconds."""
        self._record(methodcaller("first_token", class_name, prompt_tokens, seconds))

    def queue_wait(self, class_name: str, seconds: float) -> None:
        """Record the time, in seconds, until a request was sent or refused."""
        self._record(methodcaller("queue_wait", class_name, seconds))

    def limit_named(self, class_name: str) -> None:
        """Count an answer in which an endpoint named a rate limit."""
        self._record(methodcaller("limit_named", class_name))

    def draining_announced(self, class_name: str) -> None:
        """Count an answer in which an endpoint announced that it is draining."""
        self._record(methodcaller("draining_announced", class_name))

    def backoff_requested(self, class_name: str) -> None:
        """Count a refusal in which an endpoint requested a backoff."""
        self._record(methodcaller("backoff_requested", class_name))

    def header_unread(self, name: str) -> None:
        """Count an answer header that has no effect; called once for each name."""
        self._record(methodcaller("header_unread", name))

    def request_forwarded(self, outcome: str) -> None:
        """Count a request that was forwarded to a peer, by how that ended."""
        self._record(methodcaller("request_forwarded", outcome))

    def endpoint_connected(self, outcome: str) -> None:
        """Count a connection to an endpoint; ``outcome`` is "accepted" or "failed"."""
        self._record(methodcaller("endpoint_connected", outcome))

    def endpoint_crashed(self) -> None:
        """Count a crash of an endpoint that answered a request."""
        self._record(methodcaller("endpoint_crashed"))

    def observe_quarantines(self, read: Callable[[], dict[str, float]]) -> None:
        """Publish the number of quarantined traits; ``read`` returns it by source."""
        description = "Traits of requests under which endpoints crash."
        self._record(
            methodcaller(
                "observe_gauge", "quarantined_traits", description, "source", read
            )
        )

    def store_epoch_changed(self) -> None:
        """Count a return of the store with a new epoch."""
        self._record(methodcaller("store_epoch_changed"))

    def store_reading_ignored(self, reader: str) -> None:
        """Count a reading of the store that had no effect, as an older one."""
        self._record(methodcaller("store_reading_ignored", reader))

    def permit_asked(self, class_name: str, granted: bool, seconds: float) -> None:
        """Record a request that needed a permit, and its wait for that, in seconds."""
        self._record(methodcaller("permit_asked", class_name, granted, seconds))

    def request_deferred(self, service: str, reason: str) -> None:
        """Count a request that is deferred for more urgent ones."""
        self._record(methodcaller("request_deferred", service, reason))

    def deferral_ended(self, service: str, reason: str, seconds: float) -> None:
        """Record for how many seconds a request was deferred, by how that ended."""
        self._record(methodcaller("deferral_ended", service, reason, seconds))

    def cut_for_memory(self, peer: str) -> None:
        """Count a connection that was cut; ``peer`` is "caller" or "endpoint"."""
        self._record(methodcaller("cut_for_memory", peer))

    def body_refused_for_memory(self) -> None:
        """Count a request whose body was refused for lack of memory."""
        self._record(methodcaller("body_refused_for_memory"))

    def observe_held_bytes(self, read: Callable[[], dict[str, float]]) -> None:
        """Publish the bytes held for connections; ``read`` returns them."""
        description = "Bytes held for callers and endpoints."
        self._record(
            methodcaller("observe_gauge", "held_bytes", description, "kind", read)
        )

    def observe_answers(
        self,
        read_held: Callable[[], dict[str, float]],
        read_long: Callable[[], dict[str, float]],
    ) -> None:
        """Publish what is kept of answers, and how many had no end.

        ``read_held`` returns bytes, ``read_long`` counts by the exceeded bound.
        """
        held = ("held_answer_bytes", "Bytes of answers that are kept.", "kind")
        self._record(methodcaller("observe_gauge", *held, read_held))
        long = ("answers_too_long", "Answers that exceeded a bound.", "bound")
        self._record(methodcaller("observe_counter", *long, read_long))

    def observe_log(self, output: "BoundedOutput") -> None:
        """Publish how far the log's output is behind, and the dropped lines."""
        backlog = ("log_backlog", "Log lines that are not written yet.", "unit")

        def read() -> dict[str, float]:
            return output.backlog()._asdict()

        self._record(methodcaller("observe_gauge", *backlog, read))
        dropped = ("log_lines_dropped", "Log lines that were dropped.", "level")
        self._record(methodcaller("observe_counter", *dropped, output.dropped))

    def observe_loop_lag(self, read: Callable[[], dict[str, float]]) -> None:
        """Publish how far the event loop lags; ``read`` returns seconds by kind."""
        description = "Lag of the event loop lately, in seconds."
        self._record(
            methodcaller("observe_gauge", "loop_lag_seconds", description, "kind", read)
        )

    def refused_early(self, service: str) -> None:
        """Count a request that was refused since its forecast was far too late."""
        self._record(methodcaller("refused_early", service))

    def drain_decided(self, decision: str) -> None:
        """Count a decision of a stopping daemon: "sent", or why it refused."""
        self._record(methodcaller("drain_decided", decision))

    def slot_forecast_error(self, service: str, seconds: float) -> None:
        """Record by how many seconds a wait for a slot exceeded its forecast."""
        self._record(methodcaller("slot_forecast_error", service, seconds))

    def organisation_over_share(self, service: str) -> None:
        """Count an organisation that is newly above its share of a service."""
        self._record(methodcaller("organisation_over_share", service))

    async def render(self) -> Rendered:
        """Return all metrics as text, after loading the library if necessary."""
        # A reader that leaves doesn't end the loading for all others.
        metrics = await asyncio.shield(self._start_loading())
        return Rendered(metrics.render(), metrics.content_type)

    def _record(self, recording: Callable[["Metrics"], None]) -> None:
        if self._metrics is not None:
            _apply(recording, self._metrics)
            return
        self._pending.append(recording)
        if len(self._pending) >= MAX_PENDING:
            self._start_loading()

    def _start_loading(self) -> asyncio.Task["Metrics"]:
        """Return the task that loads the library; it is started again if it failed."""
        if self._loading is None or (self._loading.done() and self._metrics is None):
            loop = asyncio.get_running_loop()
            self._loading = loop.create_task(self._create_metrics())
        return self._loading

    async def _create_metrics(self) -> "Metrics":
        # In another thread, so that the event loop goes on serving requests.
        metrics = await asyncio.to_thread(_import_metrics, self._daemon_id)
        for recording in self._pending:
            _apply(recording, metrics)
        self._pending.clear()
        self._metrics = metrics
        return metrics


def _apply(recording: Callable[["Metrics"], None], metrics: "Metrics") -> None:
    """Record a measurement; what it measures doesn't fail if that fails."""
    try:
        recording(metrics)
    except Exception as error:
        context = {"message": "a measurement was not recorded", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)


def _import_metrics(daemon_id: str) -> "Metrics":
    from cranberrywick.metrics import Metrics  # Loaded late: see the module's head.

    return Metrics(daemon_id)

"""Metrics of one daemon, collected by OpenTelemetry and served as Prometheus text.

>>> metrics = Metrics("e1")
>>> metrics.first_token("grants", prompt_tokens=1_800, seconds=0.4)
>>> metrics.render().startswith(b"# HELP")
True

Each daemon creates its own instance with its own registry. Nothing is global, since
several daemons run in one process in the demonstration and the tests. Values of labels
come from the operators' configuration or from enumerations. An organisation is never a
label: a time series for each of thousands would be the daemon's largest state.
"""

import threading
from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping
from itertools import accumulate

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import Histogram, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from cranberrywick.model import RefusalReason

__all__ = ["CONTENT_TYPE", "Metrics", "TokenGaps", "prompt_length_group"]

CONTENT_TYPE = CONTENT_TYPE_LATEST

# Returns values by the value of a label; called at each scrape.
ReadValues = Callable[[], Mapping[str, float]]

# Upper bounds of the prompt-length groups, in tokens. At the design size one prompt in
# fifty is longer than 100,000 tokens, so that is a bound; the others divide the rest
# of the range from a thousand to a million in steps of about a power of ten.
PROMPT_LENGTH_BOUNDS = (2_000, 10_000, 100_000, 1_000_000)
PROMPT_LENGTH_GROUPS = ("to_2k", "to_10k", "to_100k", "to_1m", "over_1m")

# Upper bounds of the histograms' buckets, in seconds. A histogram gives the exact share
# of values up to a bound, and only an estimate between two bounds. The targets of the
# design size are therefore bounds themselves (first token within 1.7 s, 61 ms between
# tokens). The others grow by a factor of about 1.5 to 2, so that a percentile read from
# the buckets is off by no more than that factor.
FIRST_TOKEN_BOUNDS_SECONDS = (
    *(0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 4.0, 8.0),
    *(15.0, 30.0, 60.0, 120.0, 300.0),
)
TOKEN_GAP_BOUNDS_SECONDS = (
    *(0.005, 0.01, 0.02, 0.03, 0.045, 0.061, 0.08, 0.12),
    *(0.25, 0.5, 1.0, 2.0, 5.0),
)
# The range of waits follows from the first-token target, that of calls from the
# platform's time-outs.
QUEUE_WAIT_BOUNDS_SECONDS = (0.001, 0.01, 0.05, 0.2, 0.5, 1.0, 1.7, 4.0, 15.0, 60.0)
PLATFORM_CALL_BOUNDS_SECONDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0, 10.0)
COMPLETION_BOUNDS_SECONDS = (
    *(0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0),
    *(60.0, 120.0, 300.0, 600.0, 1800.0, 3600.0),
)


def prompt_length_group(prompt_tokens: int) -> str:
    """Return the label of the group to which a prompt of this length belongs.

    >>> prompt_length_group(150_000)
    'to_1m'
    """
    return PROMPT_LENGTH_GROUPS[bisect_left(PROMPT_LENGTH_BOUNDS, prompt_tokens)]


class TokenGaps:
    """The gaps between the events of one stream, counted by length.

    The relay adds each gap and, at the end of the stream, passes the counts to
    `Metrics.gaps_counted`. Recording a value by OpenTelemetry takes about 8 µs, and at
    the design size a daemon relays thousands of events a second; adding to a list of
    counts takes a fraction of that. An instance is used by one thread only.
    """

    __slots__ = ("counts", "late", "target_seconds")

    def __init__(self, target_seconds: float):
        self.target_seconds = target_seconds
        self.counts = [0] * (len(TOKEN_GAP_BOUNDS_SECONDS) + 1)
        self.late = 0

    def add(self, seconds: float) -> None:
        """Count one gap, whose length is given in seconds."""
        self.counts[bisect_left(TOKEN_GAP_BOUNDS_SECONDS, seconds)] += 1
        if seconds > self.target_seconds:
            self.late += 1

    @property
    def total(self) -> int:
        """The number of gaps counted."""
        return sum(self.counts)


class Metrics:
    """The metrics of one daemon; every method may be called by any thread."""

    content_type = CONTENT_TYPE

    def __init__(self, daemon_id: str):
        self._registry = CollectorRegistry()
        self._provider = MeterProvider(
            metric_readers=[
                PrometheusMetricReader(
                    prefix="cranberrywick",
                    registry=self._registry,
                    scope_info_enabled=False,
                )
            ],
            resource=Resource(
                {"service.name": "cranberrywick", "service.instance.id": daemon_id}
            ),
            shutdown_on_exit=False,
        )
        # Guards `_gap_counts_by_class`: streams add to the counts, a scrape reads them.
        self._gaps_lock = threading.Lock()
        self._gap_counts_by_class: dict[str, list[int]] = {}
        self._meter = self._provider.get_meter("cranberrywick")
        self._create_counters()
        self._create_histograms()
        self._create_observable_counters()

    def _create_counters(self) -> None:
        counter = self._meter.create_counter
        self._requests = counter("requests", description="Requests ended, by outcome.")
        self._refusals = counter("refusals", description="Requests that did not run.")
        self._output_tokens = counter("output_tokens", description="Tokens relayed.")
        self._limited_answers = counter(
            "limited_answers", description="Answers that named a rate limit."
        )
        self._draining_answers = counter(
            "draining_answers", description="Answers of endpoints that are draining."
        )
        self._backoff_answers = counter(
            "backoff_answers", description="Refusals that requested a backoff."
        )
        self._unread_headers = counter(
            "unread_headers", description="Names of answer headers without effect."
        )
        self._endpoint_connections = counter(
            "endpoint_connections", description="Connections to endpoints, by outcome."
        )
        self._forwarded_requests = counter(
            "forwarded_requests", description="Requests forwarded to peers, by outcome."
        )
        self._endpoint_crashes = counter(
            "endpoint_crashes", description="Crashes of endpoints under requests."
        )
        self._store_epochs = counter(
            "store_epoch_changes", description="New epochs of the store."
        )
        self._early_refusals = counter(
            "early_refusals", description="Requests refused for a forecast, by service."
        )
        self._drain_decisions = counter(
            "drain_decisions", description="Decisions of a stopping daemon, by kind."
        )
        self._ignored_readings = counter(
            "store_readings_ignored", description="Readings without effect, as older."
        )
        self._deferred_requests = counter(
            "deferred_requests", description="Requests deferred, by reason."
        )
        self._memory_cuts = counter(
            "memory_cuts", description="Connections cut for lack of memory, by peer."
        )
        self._refused_bodies = counter(
            "refused_bodies", description="Bodies refused for lack of memory."
        )

        self._over_share = counter(
            "organisations_over_share",
            description="Times that an organisation was newly above its share.",
        )

    def _create_histograms(self) -> None:
        self._completion = self._histogram(
            "completion",
            "Time from arrival to the end of the answer.",
            COMPLETION_BOUNDS_SECONDS,
        )
        self._first_token = self._histogram(
            "first_token",
            "Time from arrival to the first token, by prompt length.",
            FIRST_TOKEN_BOUNDS_SECONDS,
        )
        self._queue_wait = self._histogram(
            "queue_wait",
            "Time from arrival to the send or the refusal.",
            QUEUE_WAIT_BOUNDS_SECONDS,
        )
        self._permit_wait = self._histogram(
            "permit_wait",
            "Time that a request waited for a permit of a rate-limited endpoint.",
            QUEUE_WAIT_BOUNDS_SECONDS,
        )
        self._deferrals = self._histogram(
            "deferral",
            "Time for which a request was deferred for more urgent ones.",
            QUEUE_WAIT_BOUNDS_SECONDS,
        )
        self._slot_forecast_error = self._histogram(
            "slot_forecast_error",
            "Difference of a wait for a slot from its forecast, by its direction.",
            QUEUE_WAIT_BOUNDS_SECONDS,
        )
        self._platform_calls = self._histogram(
            "platform_call",
            "Calls to the platform's services.",
            PLATFORM_CALL_BOUNDS_SECONDS,
        )

    def _histogram(
        self, name: str, description: str, bounds_seconds: tuple[float, ...]
    ) -> Histogram:
        return self._meter.create_histogram(
            name,
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=bounds_seconds,
        )

    def _create_observable_counters(self) -> None:
        # The counter has the form of a histogram's buckets, each of which counts the
        # gaps up to its bound ``le`` in seconds, so that the usual percentile query
        # works on it.
        self._meter.create_observable_counter(
            "token_gaps",
            [self._observe_token_gaps],
            description="Gaps between a stream's events, up to le seconds.",
        )

    def request_ended(self, class_name: str, outcome: str, seconds: float) -> None:
        """Count a request that ended ``seconds`` after its arrival.

        ``outcome`` is "completed" or the type of an error.
        """
        labels = {"class": class_name, "outcome": outcome}
        self._requests.add(1, labels)
        self._completion.record(seconds, labels)

    def first_token(self, class_name: str, prompt_tokens: int, seconds: float) -> None:
        """Record the time from a request's arrival to the first token."""
        group = prompt_length_group(prompt_tokens)
        self._first_token.record(seconds, {"class": class_name, "prompt_length": group})

    def output_tokens(self, class_name: str, tokens: int) -> None:
        """Count the tokens of an answer."""
        self._output_tokens.add(tokens, {"class": class_name})

    def queue_wait(self, class_name: str, seconds: float) -> None:
        """Record the time that a request waited until it was sent or refused."""
        self._queue_wait.record(seconds, {"class": class_name})

    def refused(self, class_name: str, reason: RefusalReason) -> None:
        """Count a request that did not run."""
        self._refusals.add(1, {"class": class_name, "reason": reason.value})

    def limit_named(self, class_name: str) -> None:
        """Count an answer in which an endpoint named a rate limit."""
        self._limited_answers.add(1, {"class": class_name})

    def draining_announced(self, class_name: str) -> None:
        """Count an answer in which an endpoint announced that it is draining."""
        self._draining_answers.add(1, {"class": class_name})

    def backoff_requested(self, class_name: str) -> None:
        """Count a refusal in which an endpoint requested a backoff."""
        self._backoff_answers.add(1, {"class": class_name})

    def header_unread(self, name: str) -> None:
        """Count an answer header that has no effect; called once for each name."""
        self._unread_headers.add(1, {"header": name})

    def request_forwarded(self, outcome: str) -> None:
        """Count a request that was forwarded to a peer, by how that ended."""
        self._forwarded_requests.add(1, {"outcome": outcome})

    def endpoint_connected(self, outcome: str) -> None:
        """Count a connection to an endpoint; ``outcome`` is "accepted" or "failed"."""
        self._endpoint_connections.add(1, {"outcome": outcome})

    def endpoint_crashed(self) -> None:
        """Count a crash of an endpoint that answered a request."""
        self._endpoint_crashes.add(1)

    def store_epoch_changed(self) -> None:
        """Count a return of the store with a new epoch."""
        self._store_epochs.add(1)

    def store_reading_ignored(self, reader: str) -> None:
        """Count a reading of the store that had no effect, as an older one."""
        self._ignored_readings.add(1, {"reader": reader})

    def permit_asked(self, class_name: str, granted: bool, seconds: float) -> None:
        """Record a request that needed a permit, and the time it waited for it."""
        outcome = "granted" if granted else "refused"
        self._permit_wait.record(seconds, {"class": class_name, "outcome": outcome})

    def request_deferred(self, service: str, reason: str) -> None:
        """Count a request that is deferred for more urgent ones."""
        self._deferred_requests.add(1, {"service": service, "reason": reason})

    def deferral_ended(self, service: str, reason: str, seconds: float) -> None:
        """Record the time for which a request was deferred, by how that ended."""
        self._deferrals.record(seconds, {"service": service, "reason": reason})

    def cut_for_memory(self, peer: str) -> None:
        """Count a connection that was cut; ``peer`` is "caller" or "endpoint"."""
        self._memory_cuts.add(1, {"peer": peer})

    def body_refused_for_memory(self) -> None:
        """Count a request whose body was refused for lack of memory."""
        self._refused_bodies.add(1)

    def refused_early(self, service: str) -> None:
        """Count a request that was refused since its forecast was far too late."""
        self._early_refusals.add(1, {"service": service})

    def drain_decided(self, decision: str) -> None:
        """Count a decision of a stopping daemon: "sent", or why it refused."""
        self._drain_decisions.add(1, {"decision": decision})

    def slot_forecast_error(self, service: str, seconds: float) -> None:
        """Record by how many seconds a wait for a slot exceeded its forecast.

        A histogram holds no negative values, so a label has the sign.
        """
        direction = "longer" if seconds > 0 else "shorter"
        labels = {"service": service, "direction": direction}
        self._slot_forecast_error.record(abs(seconds), labels)

    def organisation_over_share(self, service: str) -> None:
        """Count an organisation that is newly above its share of a service."""
        self._over_share.add(1, {"service": service})

    def gaps_counted(self, class_name: str, gaps: TokenGaps) -> None:
        """Add the gaps of one stream to the counts of its class."""
        with self._gaps_lock:
            totals = self._gap_counts_by_class.setdefault(
                class_name, [0] * len(gaps.counts)
            )
            for index, number in enumerate(gaps.counts):
                totals[index] += number

    def _observe_token_gaps(self, options: CallbackOptions) -> Iterable[Observation]:
        with self._gaps_lock:
            copies = {name: [*c] for name, c in self._gap_counts_by_class.items()}
        bounds = (*map(str, TOKEN_GAP_BOUNDS_SECONDS), "+Inf")
        for class_name, counts in copies.items():
            for bound, up_to in zip(bounds, accumulate(counts), strict=True):
                yield Observation(up_to, {"class": class_name, "le": bound})

    def platform_call(self, kind: str, outcome: str, seconds: float) -> None:
        """Record one call to the platform, such as kind "get" with outcome "ok"."""
        self._platform_calls.record(seconds, {"kind": kind, "outcome": outcome})

    def observe_counter(
        self, name: str, description: str, label: str, read: ReadValues
    ) -> None:
        """Publish counts kept by another part.

        ``read`` returns the counts by the value of ``label``, at each scrape.
        """
        self._meter.create_observable_counter(
            name, [_make_observe_callback(label, read)], description=description
        )

    def observe_gauge(
        self, name: str, description: str, label: str, read: ReadValues
    ) -> None:
        """Publish current values of another part.

        ``read`` returns the values by the value of ``label``, at each scrape.
        """
        self._meter.create_observable_gauge(
            name, [_make_observe_callback(label, read)], description=description
        )

    def render(self) -> bytes:
        """Return every metric in Prometheus text form, for ``GET /metrics``."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Stop collecting; values recorded later are dropped."""
        self._provider.shutdown()


def _make_observe_callback(
    label: str, read: ReadValues
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(value, {label: name}) for name, value in read().items()]

    return observe

"""Values that the gateway's decisions take and give.

All times are seconds. A moment is a reading of one monotonic clock that the caller
supplies; it means nothing in another process.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

__all__ = [
    "BoundsSettings",
    "EndpointDelta",
    "EndpointRecord",
    "EndpointView",
    "EngineProfile",
    "GatewayConfiguration",
    "GatewaySettings",
    "OperatorView",
    "Organisation",
    "PromptSize",
    "RequestLimits",
    "Route",
    "RouteKind",
    "Service",
]


class RouteKind(StrEnum):
    """What a repeated request would do."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class Route(NamedTuple):
    """Where the requests under one host and path prefix go, and their targets.

    ``timeout_seconds`` is the longest that a caller is kept, ``target_seconds``
    when an answer (of a stream, its first event) is on time, and
    ``gap_target_seconds`` the longest pause between events that is still on time.
    ``max_endpoints`` bounds how many endpoints one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    weights_by_service: tuple[tuple[str, float], ...]
    timeout_seconds: float
    target_seconds: float
    gap_target_seconds: float
    priority: int
    max_endpoints: int
    public: bool
    resumable: bool

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE


class EngineProfile(NamedTuple):
    """How a model engine spends its time, as its service declares it.

    A step writes one token for each running answer and takes ``step_seconds``
    plus, for each answer, ``writer_seconds`` and ``context_seconds`` for each token
    of its context. Reading takes ``1 / prefill_rate`` a token and ``pair_seconds`` for
    each pair of a token and an earlier one, ``chunk_tokens`` at a time. A pass
    with running answers makes ``stride`` steps. ``usual_prompt_tokens`` is the mean
    length of a prompt.
    """

    slots: int
    memory_tokens: int
    stride: int
    step_seconds: float
    writer_seconds: float
    context_seconds: float
    prefill_rate: float
    pair_seconds: float
    chunk_tokens: int
    usual_prompt_tokens: float


class Service(NamedTuple):
    """A set of endpoints of one kind; ``engine`` is None for a plain service.

    A cold endpoint bears ``cold_rate`` requests a second from the whole fleet.
    """

    name: str
    cold_seconds: float
    cold_rate: float
    engine: EngineProfile | None


class RequestLimits(NamedTuple):
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class Organisation(NamedTuple):
    """Who a key belongs to; a priority of None leaves the route's in force."""

    name: str
    priority: int | None


class GatewayConfiguration(NamedTuple):
    """One version of what operators decided; versions only grow."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    limits: RequestLimits
    organisations_by_key: Mapping[str, Organisation] | None


class EndpointRecord(NamedTuple):
    """One registered endpoint; ``cold_seconds`` counts from the record's reading."""

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_seconds: float
    born: int


class PromptSize(NamedTuple):
    """How long a prompt is and how long its answer may get, in tokens."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Tokens of engine memory that the request needs in the end."""
        return self.prompt_tokens + self.output_tokens


class BoundsSettings(NamedTuple):
    """Limits that the deployment sets for how the fleet behaves.

    A daemon that is lost must be noticed some seconds after ``contact_seconds``; an
    endpoint that leaves gets new work for up to ``drain_seconds``; a daemon that is
    told to stop has ``grace_seconds``. Second tries within ``retry_window_seconds``
    are at most ``retry_ratio`` of the requests and ``retry_slack`` more. Memory at an
    engine must be free again ``free_seconds`` after its last use. An endpoint of a
    failure domain that is taken out gets new work for up to ``evacuate_seconds``.
    """

    contact_seconds: float
    drain_seconds: float
    grace_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    free_seconds: float
    evacuate_seconds: float


class GatewaySettings(NamedTuple):
    """What one daemon is told at its start.

    ``entry_address`` takes callers, ``directory_address`` tells them where to
    connect, ``ready_address`` answers health checks; each may be empty.
    """

    daemon_id: str
    ip: str
    failure_domain: str
    entry_address: str
    directory_address: str
    ready_address: str
    internal_ports: tuple[int, int]
    metrics_address: str
    store_address: str
    seeds: tuple[str, ...]
    bounds: BoundsSettings


class EndpointDelta(NamedTuple):
    """What leads from one view of the endpoints to another."""

    changed: tuple[EndpointRecord, ...]
    gone_ids: tuple[str, ...]


class EndpointView(NamedTuple):
    """Every registered endpoint at one revision of the store.

    ``unusable_ids`` are records that could not be read as an endpoint. Two views with
    the same ``digest`` say the same, but for how long endpoints stay cold.
    """

    revision: int
    records_by_id: Mapping[str, EndpointRecord]
    unusable_ids: tuple[str, ...] = ()

    @property
    def digest(self) -> int:
        """A hash of what the records say."""
        return _digest(0, self.records_by_id.values())

    def delta_from(self, base: "EndpointView") -> EndpointDelta:
        """Return what has changed since another view."""
        before, after = base.records_by_id, self.records_by_id
        if before is after:
            return EndpointDelta((), ())
        return EndpointDelta(
            tuple(r for i, r in after.items() if before.get(i) != r),
            tuple(i for i in before if i not in after),
        )

    def with_delta(self, delta: EndpointDelta, revision: int) -> "EndpointView":
        """Return the view that a delta leads to."""
        records = dict(self.records_by_id)
        for endpoint_id in delta.gone_ids:
            records.pop(endpoint_id, None)
        records.update((record.endpoint_id, record) for record in delta.changed)
        return self._replace(revision=revision, records_by_id=records)

    def digest_with_delta(self, delta: EndpointDelta, digest: int) -> int:
        """Return the digest after a delta, given this view's."""
        before = self.records_by_id
        replaced = [before.get(record.endpoint_id) for record in delta.changed]
        replaced += [before.get(endpoint_id) for endpoint_id in delta.gone_ids]
        digest = _digest(digest, filter(None, replaced))
        return _digest(digest, delta.changed)


def _digest(digest: int, records: Iterable[EndpointRecord]) -> int:
    """Return a digest with records added, or taken out if they were in it."""
    for record in records:
        lasting = record._replace(cold_seconds=float(record.cold_seconds > 0))
        hashed = blake2b(repr(lasting).encode(), digest_size=8)
        digest ^= int.from_bytes(hashed.digest(), "big")
    return digest


class OperatorView(NamedTuple):
    """What operators have written, as of one revision of the store.

    ``document`` is the configuration as it lies in the store, empty before the
    first one. Two views with the same ``digest`` say the same: revisions alone
    can't tell, for a deletion leaves no item behind that would carry one.
    """

    revision: int
    document: bytes
    domains_out: frozenset[str]
    digest: int

    @classmethod
    def of(
        cls, revision: int, document: bytes, domains_out: frozenset[str]
    ) -> "OperatorView":
        """Return a view with its digest."""
        hashed = blake2b(document, digest_size=8)
        for domain in sorted(domains_out):
            hashed.update(b"\0" + domain.encode())
        digest = int.from_bytes(hashed.digest(), "big")
        return cls(revision, document, domains_out, digest)

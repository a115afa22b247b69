"""Value types of the gateway's routing decisions.

All durations are in seconds. A point in time is a reading of a monotonic clock that the
caller supplies; it is meaningless in another process.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from hashlib import blake2b
from types import MappingProxyType
from typing import NamedTuple

from cranberrywick.routing.store_position import UNKNOWN_EPOCH, StorePosition

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
    "UnusableEntries",
    "VmLimits",
]


class RouteKind(StrEnum):
    """Whether a request may be repeated; `Route.idempotent` gives the rule."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class Route(NamedTuple):
    """The services for requests under one host and path prefix, and their targets.

    ``timeout_seconds`` is the longest time that a caller waits, ``target_seconds`` the
    time within which an answer (of a stream, its first event) is on time, and
    ``gap_target_seconds`` the longest pause between events that is on time.
    ``max_endpoints`` is the largest number of endpoints to which one request may be
    sent. ``resumable`` says that a stream can be continued at another endpoint.
    Requests on a route that isn't usable are refused: its entry can't be read.
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
    is_usable: bool = True

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have been executed can be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE


class EngineProfile(NamedTuple):
    """The speed and size of a model engine, as its service declares them.

    The engine decodes up to ``slots`` answers at once and holds ``memory_tokens``
    tokens. A step decodes one token for each running answer and takes ``step_seconds``
    plus, for each answer, ``writer_seconds`` and ``context_seconds`` for each token of
    its context. Prefill takes ``1 / prefill_rate`` seconds for each token and
    ``pair_seconds`` for each pair of a token and an earlier one; it is done in chunks
    of ``chunk_tokens``. A pass with running answers makes ``stride`` steps.
    ``usual_prompt_tokens`` is the mean length of a prompt.
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

    An endpoint is cold for ``cold_seconds`` after its start, and accepts ``cold_rate``
    requests a second from the whole fleet during that time.
    """

    name: str
    cold_seconds: float
    cold_rate: float
    engine: EngineProfile | None


class RequestLimits(NamedTuple):
    """The largest request of a caller, in bytes, and the longest times, in seconds."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class Organisation(NamedTuple):
    """The owner of a key; with a priority of None the route's priority applies."""

    name: str
    priority: int | None


class UnusableEntries(NamedTuple):
    """What of a configuration can't be read.

    ``reasons`` has a line for each entry; the requests for the ``services`` and with
    the ``keys`` of such entries are refused.
    """

    reasons: tuple[str, ...] = ()
    services: frozenset[str] = frozenset()
    keys: frozenset[str] = frozenset()


class GatewayConfiguration(NamedTuple):
    """One version of the operators' configuration; versions only grow."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    limits: RequestLimits
    organisations_by_key: Mapping[str, Organisation] | None
    unusable: UnusableEntries = UnusableEntries()


class EndpointRecord(NamedTuple):
    """One registered endpoint.

    ``cold_seconds`` is how long it stays cold after the record was read from the store.
    ``born`` changes with each restart, and ``draining`` says that the endpoint is
    leaving.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_seconds: float
    born: int


class PromptSize(NamedTuple):
    """The length of a prompt and the largest length of its answer, in tokens."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Engine memory that the request needs at its end, in tokens."""
        return self.prompt_tokens + self.output_tokens


class BoundsSettings(NamedTuple):
    """Bounds that the deployment sets for the behaviour of the fleet.

    A lost daemon must be detected within a few seconds more than ``contact_seconds``. A
    leaving endpoint gets new work for at most ``drain_seconds``. A daemon that is
    ordered to stop has ``grace_seconds`` to do so. Retries within
    ``retry_window_seconds`` are at most ``retry_ratio`` of the requests, plus
    ``retry_slack``. Memory at an engine must be free again ``free_seconds`` after its
    last use. An endpoint of a failure domain that is taken out gets new work for at
    most ``evacuate_seconds``.
    """

    contact_seconds: float
    drain_seconds: float
    grace_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    free_seconds: float
    evacuate_seconds: float


class VmLimits(NamedTuple):
    """What a daemon's VM has: processor cores, memory in bytes, and its link.

    A value of zero is unknown.
    """

    cores: float = 0.0
    memory_bytes: int = 0
    link_mbps: float = 0.0


class GatewaySettings(NamedTuple):
    """Settings of one daemon, read at its start.

    ``entry_address`` accepts callers, ``directory_address`` answers with the addresses
    that callers may connect to, and ``ready_address`` answers health checks; each may
    be empty. ``pressure`` says that the deployment asks daemons to protect themselves
    from what they are given: callers and endpoints may read slowly, and VMs differ in
    what they can bear.
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
    pressure: bool = False
    vm_limits: VmLimits = VmLimits()

    @property
    def forwarding_port(self) -> int:
        """The port for requests that peers forward; 0 if there are too few ports."""
        first, last = self.internal_ports
        return first + 1 if first + 1 < last else 0


class EndpointDelta(NamedTuple):
    """The difference between two snapshots of the endpoints."""

    changed: tuple[EndpointRecord, ...]
    gone_ids: tuple[str, ...]


class EndpointView(NamedTuple):
    """A snapshot of all registered endpoints at one revision of the store.

    ``epoch`` is the store's, `UNKNOWN_EPOCH` if it states none.
    ``unusable_reasons_by_id`` says of records that describe no usable endpoint why.
    Two snapshots with the same ``digest`` are equal, except for how long endpoints stay
    cold.
    """

    revision: int
    records_by_id: Mapping[str, EndpointRecord]
    unusable_reasons_by_id: Mapping[str, str] = MappingProxyType({})
    epoch: int = UNKNOWN_EPOCH

    @property
    def position(self) -> StorePosition:
        """The point in the store's history at which it was read."""
        return StorePosition(self.epoch, self.revision)

    @property
    def digest(self) -> int:
        """A hash of the records, apart from how long endpoints stay cold."""
        return _digest(0, self.records_by_id.values())

    def delta_from(self, base: "EndpointView") -> EndpointDelta:
        """Return the changes since another snapshot."""
        before, after = base.records_by_id, self.records_by_id
        if before is after:
            return EndpointDelta((), ())
        return EndpointDelta(
            tuple(r for i, r in after.items() if before.get(i) != r),
            tuple(i for i in before if i not in after),
        )

    def with_delta(self, delta: EndpointDelta, revision: int) -> "EndpointView":
        """Return the snapshot that results from applying a delta."""
        records = dict(self.records_by_id)
        for endpoint_id in delta.gone_ids:
            records.pop(endpoint_id, None)
        records.update((record.endpoint_id, record) for record in delta.changed)
        return self._replace(revision=revision, records_by_id=records)

    def digest_with_delta(self, delta: EndpointDelta, digest: int) -> int:
        """Return the digest after a delta, given the digest of this snapshot."""
        before = self.records_by_id
        replaced = [before.get(record.endpoint_id) for record in delta.changed]
        replaced += [before.get(endpoint_id) for endpoint_id in delta.gone_ids]
        digest = _digest(digest, filter(None, replaced))
        return _digest(digest, delta.changed)


def _digest(digest: int, records: Iterable[EndpointRecord]) -> int:
    """Return a digest with records added, or removed if it contains them already."""
    for record in records:
        lasting = record._replace(cold_seconds=float(record.cold_seconds > 0))
        hashed = blake2b(repr(lasting).encode(), digest_size=8)
        digest ^= int.from_bytes(hashed.digest(), "big")
    return digest


class OperatorView(NamedTuple):
    """A snapshot of the operators' settings at one revision of the store.

    ``epoch`` is the store's, `UNKNOWN_EPOCH` if it states none.
    ``document`` is the configuration as stored, empty before the first one.
    ``domains_out`` are the failure domains that are taken out. Two snapshots with the
    same ``digest`` are equal. Revisions can't show this, since a deletion leaves no
    item behind that would have a revision.
    """

    revision: int
    document: bytes
    domains_out: frozenset[str]
    digest: int
    epoch: int = UNKNOWN_EPOCH

    @property
    def position(self) -> StorePosition:
        """The point in the store's history at which it was read."""
        return StorePosition(self.epoch, self.revision)

    @classmethod
    def of(
        cls,
        revision: int,
        document: bytes,
        domains_out: frozenset[str],
        epoch: int = UNKNOWN_EPOCH,
    ) -> "OperatorView":
        """Return a snapshot with its digest computed."""
        hashed = blake2b(document, digest_size=8)
        for domain in sorted(domains_out):
            hashed.update(b"\0" + domain.encode())
        digest = int.from_bytes(hashed.digest(), "big")
        return cls(revision, document, domains_out, digest, epoch)

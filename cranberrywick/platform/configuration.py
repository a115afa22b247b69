"""Decoding of the operators' configuration.

An entry that can't be read makes only what it names unusable, and the rest of the
configuration applies: requests on a route, for a service or with a key of such an entry
are refused as not run. They are not taken for unknown ones, which callers don't repeat,
nor sent where a route with a shorter prefix leads.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from cranberrywick.errors import InvalidConfiguration
from cranberrywick.fields import (
    boolean,
    integer,
    mapping,
    mappings,
    name,
    number,
    string,
)
from cranberrywick.platform.documents import decode_object
from cranberrywick.routing.model import (
    EngineProfile,
    GatewayConfiguration,
    Organisation,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    UnusableEntries,
)

__all__ = ["decode_configuration"]

# Levels of a document down to the fields of an engine, which are read one by one.
ENTRY_LEVELS = 4
# Largest count of anything in a configuration, and longest time, in milliseconds.
MAX_COUNT = 2**31 - 1
MAX_MS = 1e12
# Shortest target for an answer, in milliseconds: latenesses are multiples of it.
MIN_TARGET_MS = 1.0
# Slowest reading of prompts, in tokens a second.
MIN_PREFILL_RATE = 1e-3
# The limits of requests where the configuration states none that can be read.
DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES = 16_384, 4_194_304
DEFAULT_HEADER_MS, DEFAULT_IDLE_MS = 3000, 15_000
# Priority of a route that states none.
DEFAULT_PRIORITY = 5

_Entry = TypeVar("_Entry")


def decode_configuration(value: bytes) -> GatewayConfiguration:
    """Return the operators' configuration from the value of its key.

    Raises `InvalidConfiguration` for a document without a version, or without lists of
    entries.
    """
    fields = decode_object(value, ENTRY_LEVELS)
    reasons: list[str] = []
    unusable_names: set[str] = set()
    version = integer(fields, "version", least=0)
    routes = _decode_entries(fields, "routes", _decode_route, _refuse_route, reasons)
    services = _decode_entries(
        fields,
        "services",
        _decode_service,
        lambda row: unusable_names.add(string(row, "name")),
        reasons,
    )
    organisations = unusable_keys = None
    if "tenants" in fields:
        organisations, unusable_keys = _decode_organisations(fields, reasons)
    return GatewayConfiguration(
        version=version,
        routes=tuple(routes),
        services_by_name={service.name: service for service in services},
        limits=_decode_limits(fields, reasons),
        organisations_by_key=organisations,
        unusable=UnusableEntries(
            tuple(reasons),
            frozenset(unusable_names),
            frozenset(unusable_keys or ()),
        ),
    )


def _decode_entries(
    fields: Mapping[str, Any],
    key: str,
    decode: Callable[[Mapping[str, Any]], _Entry],
    replace: Callable[[Mapping[str, Any]], _Entry | None],
    reasons: list[str],
) -> list[_Entry]:
    """Return the entries of a list; the reason of each unusable one is added.

    ``replace`` may return an entry in place of one that is unusable.
    """
    entries = []
    for index, row in enumerate(_rows(fields, key)):
        try:
            if not isinstance(row, dict):
                raise InvalidConfiguration("not an object")
            entries.append(decode(row))
        except InvalidConfiguration as error:
            reasons.append(f"{key}[{index}]: {error.message}")
            try:
                replacement = replace(row) if isinstance(row, dict) else None
            except InvalidConfiguration:
                continue  # It names nothing that a request could ask for.
            if replacement is not None:
                entries.append(replacement)
    return entries


def _rows(fields: Mapping[str, Any], key: str) -> list[Any]:
    rows = fields.get(key)
    if rows is None:
        return []
    if not isinstance(rows, list):
        raise InvalidConfiguration(f"{key} is not a list")
    return rows


def _decode_limits(fields: Mapping[str, Any], reasons: list[str]) -> RequestLimits:
    limits = fields.get("limits")
    if not isinstance(limits, dict):
        if limits is not None:
            reasons.append("limits: not an object")
        limits = {}

    def limit(key: str, default: int, most: float) -> float:
        try:
            return number(limits, key, default, least=1, most=most)
        except InvalidConfiguration as error:
            reasons.append(f"limits: {error.message}")
            return default

    return RequestLimits(
        header_bytes=int(limit("maxHeaderBytes", DEFAULT_HEADER_BYTES, MAX_COUNT)),
        body_bytes=int(limit("maxBodyBytes", DEFAULT_BODY_BYTES, MAX_COUNT)),
        header_seconds=limit("headerTimeoutMs", DEFAULT_HEADER_MS, MAX_MS) / 1000,
        idle_seconds=limit("idleTimeoutMs", DEFAULT_IDLE_MS, MAX_MS) / 1000,
    )


def _decode_route(row: Mapping[str, Any]) -> Route:
    timeout = number(row, "timeoutMs", least=0, most=MAX_MS)
    return Route(
        name=_decode_route_name(row),
        host=string(row, "host").lower(),
        prefix=string(row, "prefix"),
        kind=_decode_kind(row),
        weights_by_service=_decode_split(row),
        timeout_seconds=timeout / 1000,
        target_seconds=max(
            MIN_TARGET_MS, number(row, "targetLatencyMs", timeout, 0, MAX_MS)
        )
        / 1000,
        gap_target_seconds=number(row, "gapAimMs", 1000, 0, MAX_MS) / 1000,
        priority=integer(row, "priority", DEFAULT_PRIORITY, 0, MAX_COUNT),
        max_endpoints=integer(row, "maxAttempts", 1, 0, MAX_COUNT),
        public=boolean(row, "public"),
        resumable=boolean(row, "streamResume"),
    )


def _refuse_route(row: Mapping[str, Any]) -> Route:
    """Return a route whose requests are refused, in place of an unusable one."""
    return Route(
        name="",
        host=string(row, "host").lower(),
        prefix=string(row, "prefix"),
        kind=RouteKind.UNSAFE,
        weights_by_service=(),
        timeout_seconds=0.0,
        target_seconds=0.0,
        gap_target_seconds=0.0,
        priority=DEFAULT_PRIORITY,
        max_endpoints=1,
        public=True,
        resumable=False,
        is_usable=False,
    )


def _decode_route_name(row: Mapping[str, Any]) -> str:
    """Return what logs and metrics call a route; nothing else depends on it."""
    try:
        return name(row, "name", "")
    except InvalidConfiguration:
        return ""


def _decode_kind(row: Mapping[str, Any]) -> RouteKind:
    try:
        return RouteKind(string(row, "kind"))
    except ValueError:
        # Requests of an unknown kind may not be safe to repeat, so they never are.
        return RouteKind.UNSAFE


def _decode_split(row: Mapping[str, Any]) -> tuple[tuple[str, float], ...]:
    split = mappings(row, "trafficSplit")
    if split:
        return tuple((name(s, "service"), number(s, "weight", 1)) for s in split)
    return ((name(row, "service"), 1.0),)


def _decode_service(row: Mapping[str, Any]) -> Service:
    engine = mapping(row, "engine")
    return Service(
        name=name(row, "name"),
        cold_seconds=number(row, "coldStartS", 0, 0),
        cold_rate=number(row, "coldPerS", 0, 0),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(row: Mapping[str, Any]) -> EngineProfile:
    usual = mapping(row, "usual")
    return EngineProfile(
        slots=integer(row, "slots", 8, 1, MAX_COUNT),
        memory_tokens=integer(row, "kvCapacity", None, 1, MAX_COUNT),
        stride=integer(row, "stride", 1, 1, MAX_COUNT),
        step_seconds=number(row, "step_ms", None, 0, MAX_MS) / 1000,
        writer_seconds=number(row, "per_seq_ms", 0, 0, MAX_MS) / 1000,
        # The document gives milliseconds per thousand tokens.
        context_seconds=number(row, "context_per_k", 0, 0, MAX_MS) / 1000 / 1000,
        prefill_rate=number(row, "read_per_s", None, MIN_PREFILL_RATE),
        # The document gives milliseconds per million pairs of tokens.
        pair_seconds=number(row, "pairs_per_m", 0, 0, MAX_MS) / 1000 / 1e6,
        chunk_tokens=integer(row, "chunk", 2048, 1, MAX_COUNT),
        usual_prompt_tokens=max(1.0, number(usual, "prompt", 10_000)),
    )


def _decode_organisations(
    fields: Mapping[str, Any], reasons: list[str]
) -> tuple[dict[str, Organisation], set[str]]:
    """Return the organisations by key, and the keys of those that are unusable."""
    by_key: dict[str, Organisation] = {}
    unusable_keys: set[str] = set()
    for index, row in enumerate(_rows(fields, "tenants")):
        try:
            keys = _decode_keys(row, f"tenants[{index}]", reasons)
        except InvalidConfiguration as error:
            reasons.append(f"tenants[{index}]: {error.message}")
            continue
        priority = _decode_priority(row, f"tenants[{index}]", reasons)
        try:
            organisation = Organisation(name(row, "name"), priority)
        except InvalidConfiguration as error:
            reasons.append(f"tenants[{index}]: {error.message}")
            unusable_keys.update(keys)
            continue
        by_key.update(dict.fromkeys(keys, organisation))
    return by_key, unusable_keys - by_key.keys()


def _decode_priority(
    row: Mapping[str, Any], entry: str, reasons: list[str]
) -> int | None:
    """Return an organisation's priority; None leaves it to the routes."""
    if row.get("priority") is None:
        return None
    try:
        return integer(row, "priority", None, 0, MAX_COUNT)
    except InvalidConfiguration as error:
        reasons.append(f"{entry}: {error.message}")
        return None


def _decode_keys(row: Any, entry: str, reasons: list[str]) -> list[str]:
    if not isinstance(row, dict):
        raise InvalidConfiguration("not an object")
    keys = row.get("apiKeys") or []
    if not isinstance(keys, list):
        raise InvalidConfiguration("apiKeys is not a list")
    # A key of digits alone may be written as a number.
    texts = [str(key) for key in keys if isinstance(key, str) or type(key) is int]
    if len(texts) < len(keys):
        reasons.append(f"{entry}: a key is not a string")
    return texts

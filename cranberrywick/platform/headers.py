"""The platform's headers: their names, and decoding and encoding of their values."""

import re
from collections.abc import Iterable, Mapping
from math import ceil, inf, isfinite
from typing import NamedTuple

from cranberrywick.routing.model import PromptSize

__all__ = [
    "AUTHORIZATION",
    "HOP_BY_HOP",
    "REQUEST_ID",
    "RequestMeta",
    "ResponseMeta",
    "SetHeaders",
    "decode_request",
    "decode_response",
    "end_to_end_headers",
    "endpoint_headers",
    "failure_headers",
]

REQUEST_ID = b"cranberrywick-request-id"
AUTHORIZATION = b"authorization"
DEADLINE = b"cranberrywick-deadline-ms"
TOKEN_COUNT = b"cranberrywick-token-count"
PREFIX = b"cranberrywick-prefix-hash"
LENGTH_HINT = b"cranberrywick-length-hint"
LAST_EVENT_ID = b"last-event-id"
EXPECT_INSTANCE = b"cranberrywick-expect-instance"
EXPECT_VERSION = b"cranberrywick-expect-version"
TENANT = b"cranberrywick-tenant"
PRIORITY = b"cranberrywick-request-priority"
HELPERS = b"cranberrywick-helpers"
NOT_EXECUTED = b"cranberrywick-not-executed"
SEAL = b"cranberrywick-response-seal"
LOAD = b"cranberrywick-server-load"
RATE_LIMIT = b"server-limit"
DRAINING = b"server-leaving"
RETRY_AFTER = b"retry-after"
WEIGHTS_VERSION = b"cranberrywick-weights-version"
AT_FAULT = b"at-server"

# Headers that apply to a single connection and are never forwarded.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# Headers that the gateway sets itself; values that a caller sends are dropped.
_SET_BY_GATEWAY = frozenset(
    (
        AUTHORIZATION,
        DEADLINE,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        TENANT,
        PRIORITY,
        HELPERS,
        LAST_EVENT_ID,
    )
)


# Headers of answers that the gateway decodes or that carry no state of the endpoint.
_READ_IN_ANSWERS = HOP_BY_HOP | frozenset(
    (
        REQUEST_ID,
        NOT_EXECUTED,
        SEAL,
        LOAD,
        RATE_LIMIT,
        DRAINING,
        RETRY_AFTER,
        WEIGHTS_VERSION,
        AT_FAULT,
        b"age",
        b"cache-control",
        b"content-encoding",
        b"content-language",
        b"content-length",
        b"content-type",
        b"cranberrywick-instance-id",
        b"date",
        b"etag",
        b"expires",
        b"last-modified",
        b"location",
        b"server",
        b"vary",
    )
)
_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]+)?")
# Bounds of what is read of a caller's list of segments. Ids are at most 64 bits on
# the platform.
MAX_SEGMENTS = 64
MAX_SEGMENT_ID_CHARACTERS = 32
# Largest number of tokens that is read, in digits.
MAX_NUMBER_DIGITS = 12


class RequestMeta(NamedTuple):
    """The decoded headers of a caller's request.

    Missing and unreadable values are None; a missing ``request_id`` is empty.
    ``segment_ids`` are the parts of the prompt in their order, empty if they are not
    stated. All but the last one may be shared with other requests. ``length_hint`` is
    the number of tokens that the caller expects of the answer.
    """

    request_id: str
    key: str | None
    deadline_seconds: float | None
    prompt: PromptSize | None
    last_event_id: str | None
    segment_ids: tuple[str, ...] = ()
    length_hint: int | None = None


class ResponseMeta(NamedTuple):
    """The decoded headers of an endpoint's answer.

    ``not_executed`` says that the endpoint did not run the request; ``sealed`` marks
    an answer of the endpoint itself, not of something in between. ``running`` and
    ``waiting`` count its requests at the time of the answer, -1 if not stated.
    ``rate_limit`` is how many requests a second it accepts at present from all daemons
    together: infinity without a limit, None if the answer does not state it.
    ``at_fault`` is the address of the endpoint that caused a refusal. ``draining`` says
    that the endpoint is about to stop, and ``backoff_seconds`` for how long it wants no
    requests from this daemon, None if it does not ask for that. ``unread_names`` are
    the headers that are unknown or have a malformed value.
    """

    request_id: str | None
    not_executed: bool
    sealed: bool
    running: int
    waiting: int
    weights_version: str | None
    at_fault: str | None
    rate_limit: float | None
    draining: bool
    backoff_seconds: float | None
    unread_names: frozenset[str]


class SetHeaders(NamedTuple):
    """The headers that the gateway adds to a caller's own for an endpoint.

    ``remaining_seconds`` is the time left until the request's deadline.
    ``endpoint_id`` names the endpoint that is meant, so that another one that has
    taken over the address refuses the request. ``helpers`` are entries of
    `cranberrywick.platform.orders.helper_entry`: an address and, if there is one, the
    reservation that its part of the prompt may use.
    """

    remaining_seconds: float
    endpoint_id: str
    organisation: str | None
    priority: int | None = None
    helpers: tuple[str, ...] = ()
    last_event_id: str | None = None
    weights_version: str | None = None


def decode_request(headers: Iterable[tuple[bytes, bytes]]) -> RequestMeta:
    """Decode a caller's headers, whose names must be in lower case."""
    by_name = dict(headers)
    return RequestMeta(
        request_id=_decode_text(by_name.get(REQUEST_ID)) or "",
        key=_decode_key(by_name.get(AUTHORIZATION)),
        deadline_seconds=_decode_milliseconds(by_name.get(DEADLINE)),
        prompt=_decode_prompt(by_name.get(TOKEN_COUNT)),
        last_event_id=_decode_text(by_name.get(LAST_EVENT_ID)),
        segment_ids=_decode_segments(by_name.get(PREFIX)),
        length_hint=_decode_number(by_name.get(LENGTH_HINT)),
    )


def decode_response(status: int, headers: Mapping[bytes, bytes]) -> ResponseMeta:
    """Decode the headers of an endpoint's answer; names must be in lower case."""
    # An endpoint refuses a request for another instance with status 421, without the
    # header.
    not_executed = NOT_EXECUTED in headers or status == 421
    running, waiting = _decode_load(headers.get(LOAD))
    rate_limit = _decode_rate_limit(status, headers)
    backoff_seconds = _decode_backoff(status, headers)
    unread_names = headers.keys() - _READ_IN_ANSWERS
    if RATE_LIMIT in headers and rate_limit is None and status != 421:
        unread_names.add(RATE_LIMIT)
    if RETRY_AFTER in headers and backoff_seconds is None and status == 503:
        unread_names.add(RETRY_AFTER)
    if headers.get(DRAINING, b"1") != b"1":
        unread_names.add(DRAINING)
    return ResponseMeta(
        request_id=_decode_text(headers.get(REQUEST_ID)),
        not_executed=not_executed,
        sealed=SEAL in headers,
        running=running,
        waiting=waiting,
        weights_version=_decode_text(headers.get(WEIGHTS_VERSION)),
        at_fault=_decode_text(headers.get(AT_FAULT)),
        rate_limit=rate_limit,
        # With status 421, it is another endpoint that has taken over the address.
        draining=headers.get(DRAINING) == b"1" and status != 421,
        backoff_seconds=backoff_seconds,
        unread_names=frozenset(map(_decode_text, unread_names)),
    )


def end_to_end_headers(
    raw: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the headers that concern more than one connection, without the length."""
    dropped = HOP_BY_HOP | _named_by_connection(raw) | {b"content-length"}
    return [(name, value) for name, value in raw if name.lower() not in dropped]


def endpoint_headers(
    raw: Iterable[tuple[bytes, bytes]], own: SetHeaders
) -> list[tuple[bytes, bytes]]:
    """Return the headers for an endpoint: the caller's without its key, and ``own``."""
    forwarded = [
        (name, value)
        for name, value in end_to_end_headers(raw)
        if name.lower() not in _SET_BY_GATEWAY
    ]
    milliseconds = max(1, ceil(own.remaining_seconds * 1000))
    forwarded.append((b"Cranberrywick-Deadline-Ms", str(milliseconds).encode()))
    forwarded.append((b"Cranberrywick-Expect-Instance", own.endpoint_id.encode()))
    if own.organisation is not None:
        forwarded.append((b"Cranberrywick-Tenant", own.organisation.encode()))
    if own.priority is not None:
        forwarded.append((b"Cranberrywick-Request-Priority", b"%d" % own.priority))
    if own.helpers:
        forwarded.append((b"Cranberrywick-Helpers", ",".join(own.helpers).encode()))
    if own.last_event_id is not None:
        forwarded.append((b"Last-Event-Id", own.last_event_id.encode()))
    if own.weights_version is not None:
        forwarded.append(
            (b"Cranberrywick-Expect-Version", own.weights_version.encode())
        )
    return forwarded


def failure_headers(
    request_id: str, retry_seconds: float | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that the gateway itself gives."""
    headers = [(b"Content-Type", b"application/json")]
    if request_id:
        headers.append((b"Cranberrywick-Request-Id", request_id.encode("latin-1")))
    if retry_seconds is not None:
        # Callers accept fractions of a second. Three decimals, rounded up, never name
        # a time that is too early.
        seconds = ceil(retry_seconds * 1000) / 1000
        headers.append((b"Retry-After", f"{seconds:g}".encode()))
    return headers


def _named_by_connection(raw: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    named: set[bytes] = set()
    for name, value in raw:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    # A caller can't have these removed by listing them in its Connection header.
    return frozenset(named - {REQUEST_ID, TOKEN_COUNT, b"host", b"content-type"})


def _decode_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _decode_key(value: bytes | None) -> str | None:
    scheme, _, key = (_decode_text(value) or "").partition(" ")
    return key.strip() if scheme.lower() == "token" and key.strip() else None


def _decode_milliseconds(value: bytes | None) -> float | None:
    try:
        milliseconds = float(value) if value is not None else None
    except ValueError:
        return None
    if milliseconds is None or not 0 <= milliseconds < 1e12:
        return None
    return milliseconds / 1000


def _decode_prompt(value: bytes | None) -> PromptSize | None:
    prompt, _, output = (value or b"").partition(b",")
    prompt_tokens = _decode_number(prompt)
    if prompt_tokens is None:
        return None
    return PromptSize(prompt_tokens, _decode_number(output) or 0)


def _decode_number(value: bytes | None) -> int | None:
    """Return a whole number of at most `MAX_NUMBER_DIGITS`; None for another text."""
    digits = (value or b"").strip()
    if not digits.isdigit() or len(digits) > MAX_NUMBER_DIGITS:
        return None
    return int(digits)


def _decode_segments(value: bytes | None) -> tuple[str, ...]:
    """Return the ids of a list of ``ID:TOKENS`` entries, empty if one is malformed."""
    entries = (_decode_text(value) or "").split(",", MAX_SEGMENTS)[:MAX_SEGMENTS]
    ids = tuple(entry.partition(":")[0].strip() for entry in entries)
    if all(each and len(each) <= MAX_SEGMENT_ID_CHARACTERS for each in ids):
        return ids
    return ()


def _decode_load(value: bytes | None) -> tuple[int, int]:
    running, waiting = map(_decode_number, ((value or b"").split(b",", 2) + [b""])[:2])
    if running is None or waiting is None:
        return -1, -1
    return running, waiting


def _decode_rate_limit(status: int, headers: Mapping[bytes, bytes]) -> float | None:
    if status == 421:
        return None  # The limit is that of another endpoint, now at this address.
    value = headers.get(RATE_LIMIT)
    if value is None:
        # Without the header, only the endpoint's own answer shows that it has no limit.
        return inf if SEAL in headers else None
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if isfinite(rate) and rate >= 0 else None


def _decode_backoff(status: int, headers: Mapping[bytes, bytes]) -> float | None:
    value = headers.get(RETRY_AFTER)
    if status != 503 or value is None or not _DECIMAL.fullmatch(value.strip()):
        return None
    seconds = float(value)
    return seconds if isfinite(seconds) else None

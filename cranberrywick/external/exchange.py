"""JSON calls to the platform's services over HTTP, without retries."""

import json
import math
import threading
import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple
from urllib.parse import urlencode

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from cranberrywick.errors import PlatformUnavailable
from cranberrywick.external.bounded_http import bounded_pool_manager
from cranberrywick.external.readable_json import load_readable

__all__ = [
    "AmbiguousWrite",
    "PlatformClient",
    "RateLimited",
    "Reply",
    "no_answer_error",
]

# Time limits of a call, in seconds. The services answer within milliseconds; a second
# without an answer is an outage.
CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 2.0
# Seconds after which a caller may retry, where the platform names no time itself.
RETRY_AFTER_SECONDS = 2.0
# Longest answer that is read, in bytes: a listing holds several values of up to 1 MiB,
# and no valid answer is longer than this.
ANSWER_LIMIT_BYTES = 32 << 20
# How much of it is read at once, in bytes.
PART_BYTES = 65_536
CONNECTIONS_PER_SERVICE = 8


class AmbiguousWrite(PlatformUnavailable):
    """A write to the platform may or may not have taken effect.

    ``executed`` is still "no": it is about the caller's request, which is not sent
    to an endpoint before the platform's answer is known.
    """

    type = "platform_write_unknown"


class RateLimited(PlatformUnavailable):
    """The platform refused a call because of its rate limit; nothing was done."""

    type = "platform_rate_limited"


class Reply(NamedTuple):
    """A decoded answer: the HTTP status, the JSON object of the body, the headers."""

    status: int
    fields: dict
    headers: Mapping[str, str] = MappingProxyType({})


class PlatformClient:
    """Client of one of the platform's services, at any of its addresses.

    Retries and redirects are switched off: a repeated write could take effect twice,
    and only the code that makes the call knows how to find out whether the first did.
    An answer longer than ``answer_limit`` bytes counts as none.
    """

    def __init__(
        self,
        urls: tuple[str, ...],
        read_timeout: float = READ_TIMEOUT_SECONDS,
        answer_limit: int = ANSWER_LIMIT_BYTES,
    ):
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._read_timeout = read_timeout
        self._answer_limit = answer_limit
        self._pool = bounded_pool_manager(
            maxsize=CONNECTIONS_PER_SERVICE, retries=False, block=False
        )
        # Guards the index of the address that is tried first.
        self._lock = threading.Lock()
        self._preferred = 0

    def call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        fields: dict | None = None,
        extra_seconds: float = 0.0,
    ) -> Reply:
        """Make one call and return its answer, with any status below 500 except 429.

        Another address is tried only where no connection was made. ``extra_seconds``
        is added to the read timeout, for a watch that waits. Raises
        `PlatformUnavailable` when nothing was done, `RateLimited` on status 429, and
        `AmbiguousWrite` when a call other than GET may have taken effect.
        """
        target = path
        if query:
            # A key that is no valid text is asked for as the service gave it.
            target += f"?{urlencode(query, errors='surrogatepass')}"
        body = json.dumps(fields).encode() if fields is not None else None
        first = self._preferred
        for step in range(len(self._urls)):
            index = (first + step) % len(self._urls)
            try:
                reply = self._call_one(
                    self._urls[index], method, target, body, extra_seconds
                )
            except _NotReached as error:
                last_error = error
                continue
            with self._lock:
                self._preferred = index
            return reply
        raise PlatformUnavailable(str(last_error), retry_after=RETRY_AFTER_SECONDS)

    def _call_one(
        self, url: str, method: str, target: str, body: bytes | None, extra: float
    ) -> Reply:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=self._read_timeout + extra
        )
        try:
            response = self._pool.request(
                method,
                url + target,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
            )
            data = self._read(response, time.monotonic() + self._read_timeout + extra)
        except NewConnectionError as error:
            raise _NotReached(f"{url}: {error}") from error
        except (HTTPError, OSError) as error:
            raise no_answer_error(method, f"{url}: {error}") from error
        return _decode(method, url, response, data)

    def _read(self, response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
        """Return a body; raises `HTTPError` if it is too long or comes too slowly."""
        data = bytearray()
        try:
            while part := response.read1(PART_BYTES):
                data += part
                if len(data) > self._answer_limit:
                    raise HTTPError(f"over {self._answer_limit} bytes")
                if time.monotonic() > deadline:
                    raise HTTPError("the answer did not end in time")
        except BaseException:
            response.close()  # What is left of it belongs to no other call.
            raise
        response.release_conn()
        return bytes(data)


class _NotReached(Exception):
    """No connection was made: nothing was sent, so another address may be tried."""


def no_answer_error(method: str, message: str) -> PlatformUnavailable:
    """Return the error for a call that was sent and got no usable answer."""
    kind = PlatformUnavailable if method == "GET" else AmbiguousWrite
    return kind(message, retry_after=RETRY_AFTER_SECONDS)


def _decode(
    method: str, url: str, response: urllib3.BaseHTTPResponse, data: bytes
) -> Reply:
    status = response.status
    if status == 429:
        wait = _retry_after(response.headers.get("Retry-After"))
        raise RateLimited(f"{url}: rate limit", retry_after=wait)
    if status >= 500:
        raise no_answer_error(method, f"{url}: status {status}")
    try:
        fields = load_readable(data)
    except ValueError as error:
        raise no_answer_error(method, f"{url}: answer is not JSON") from error
    if not isinstance(fields, dict):
        raise no_answer_error(method, f"{url}: answer is not a JSON object")
    return Reply(status, fields, response.headers)


def _retry_after(header: str | None) -> float:
    try:
        seconds = float(header or RETRY_AFTER_SECONDS)
    except ValueError:
        return RETRY_AFTER_SECONDS
    # float() accepts "nan" and "inf", with which a caller would never retry.
    return seconds if 0 <= seconds and math.isfinite(seconds) else RETRY_AFTER_SECONDS

"""JSON calls to the platform's services over HTTP, each tried once."""

import json
import math
import threading
from typing import NamedTuple
from urllib.parse import urlencode

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from cranberrywick.errors import PlatformUnavailable

__all__ = ["AmbiguousWrite", "Exchange", "RateLimited", "Reply", "no_answer_error"]

# The service answers in milliseconds; a second without an answer is an outage.
CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 2.0
# What callers are told when the platform gives no time of its own.
RETRY_AFTER_SECONDS = 2.0
# A listing holds several values of up to 1 MiB; anything larger is nonsense.
ANSWER_LIMIT_BYTES = 32 << 20
CONNECTIONS_PER_SERVICE = 8


class AmbiguousWrite(PlatformUnavailable):
    """A write to the platform may or may not have taken effect.

    ``executed`` stays "no": it speaks of the caller's request, which is sent only
    after the platform's answer is known.
    """

    type = "platform_write_unknown"


class RateLimited(PlatformUnavailable):
    """The platform refused a call because of its rate limit; nothing was done."""

    type = "platform_rate_limited"


class Reply(NamedTuple):
    """A decoded answer; ``fields`` is a JSON object."""

    status: int
    fields: dict


class Exchange:
    """Calls one of the platform's services, at any of its addresses.

    Retrying and redirecting are switched off: a repeated write could take effect
    twice, and whoever called knows better how to settle it.
    """

    def __init__(
        self, urls: tuple[str, ...], read_timeout: float = READ_TIMEOUT_SECONDS
    ):
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._read_timeout = read_timeout
        self._pool = urllib3.PoolManager(
            maxsize=CONNECTIONS_PER_SERVICE, retries=False, block=False
        )
        # Guards which address is tried first.
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
        """Make one call and return its answer, whatever its status below 500.

        ``extra_seconds`` is added to the read timeout, for a watch that waits.
        Raises `PlatformUnavailable` when nothing was done, `AmbiguousWrite` when
        a call other than GET may have been done.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        body = json.dumps(fields).encode() if fields is not None else None
        first = self._preferred
        for step in range(len(self._urls)):
            index = (first + step) % len(self._urls)
            try:
                reply = self._call_one(
                    self._urls[index], method, target, body, extra_seconds
                )
            except _NotReached as error:
                last = error
                continue
            with self._lock:
                self._preferred = index
            return reply
        raise PlatformUnavailable(str(last), retry_after=RETRY_AFTER_SECONDS)

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
            data = response.read(ANSWER_LIMIT_BYTES)
            response.release_conn()
        except NewConnectionError as error:
            raise _NotReached(f"{url}: {error}") from error
        except (HTTPError, OSError) as error:
            raise no_answer_error(method, f"{url}: {error}") from error
        return _decode(method, url, response, data)


class _NotReached(Exception):
    """No connection: nothing was sent, so another address may be tried."""


def no_answer_error(method: str, message: str) -> PlatformUnavailable:
    """Return the failure of a call that was sent and not answered usefully."""
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
        fields = json.loads(data)
    except ValueError as error:
        raise no_answer_error(method, f"{url}: answer is not JSON") from error
    if not isinstance(fields, dict):
        raise no_answer_error(method, f"{url}: answer is not a JSON object")
    return Reply(status, fields)


def _retry_after(header: str | None) -> float:
    try:
        seconds = float(header or RETRY_AFTER_SECONDS)
    except ValueError:
        return RETRY_AFTER_SECONDS
    # "nan" and "inf" are numbers to float(), and would stop a caller for good.
    return seconds if 0 <= seconds and math.isfinite(seconds) else RETRY_AFTER_SECONDS

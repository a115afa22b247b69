"""A client of the service that follows the rules for callers in docs/CALLERS.md.

>>> caller = Caller(["http://127.0.0.1:8080"], key="…")
>>> caller.complete("drafter", "Summarise this call.", max_tokens=64)
Answered(…)

It requests the addresses of the entries, keeps them for their lifetime, connects to
one of them, and sends a request again only when it certainly did not run.
"""

import json
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from urllib3 import BaseHTTPResponse, Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.util import parse_url

from cranberrywick.cli.answers import (
    REQUEST_ID_HEADER,
    read_body,
    read_error,
    read_stream,
)
from cranberrywick.errors import (
    AmbiguousSend,
    AnswerLost,
    CranberrywickError,
    Draining,
    EntryUnreachable,
    StillRunning,
)
from cranberrywick.external.bounded_http import BoundedPool
from cranberrywick.model import Executed

__all__ = ["Answered", "Caller", "Failed", "Outcome", "Refused", "Rejected"]

ENTRIES_PATH = "/v1/entries"
COMPLETIONS_PATH = "/v1/chat/completions"
SERVICES_PATH = "/v1/services"
CONNECT_TIMEOUT_SECONDS = 3.0
# Longer than the target of any class: the service itself ends a request at its limit.
READ_TIMEOUT_SECONDS = 3_600.0
# Delay before a retry, in seconds, where the answer has no Retry-After.
DEFAULT_RETRY_SECONDS = 1.0

# Statuses after which the same request, sent again unchanged, gets the same answer.
REJECTION_STATUSES = frozenset({400, 401, 404, 413, 422})
# Types of failures that concern a single entry, so that another entry may be tried at
# once. Any other refusal holds for the fleet, and trying each entry in turn would
# multiply the load on it.
SINGLE_ENTRY_FAILURES = frozenset({Draining.type, EntryUnreachable.type})


@dataclass(frozen=True)
class Answered:
    """The whole answer arrived. Times are seconds since the caller's first attempt."""

    entry: str
    request_id: str
    text: str
    first_token_seconds: float
    total_seconds: float
    output_tokens: int | None = None
    attempts: int = 1


@dataclass(frozen=True)
class Refused:
    """The request did not run; it may be sent again later."""

    error: CranberrywickError
    attempts: int = 1


@dataclass(frozen=True)
class Rejected:
    """The request did not run and will not until it is changed."""

    error: CranberrywickError
    attempts: int = 1


@dataclass(frozen=True)
class Failed:
    """The request ran or may have run, and there is no whole answer."""

    error: CranberrywickError
    attempts: int = 1


Outcome = Answered | Refused | Rejected | Failed


class _Call(NamedTuple):
    """One HTTP request; its answer is read as a stream if ``on_text`` is given."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = {}
    on_text: Callable[[str], None] | None = None


class Caller:
    """Client that sends requests to the fleet that ``entry_urls`` belong to.

    ``patience_seconds`` is for how long a request that did not run is tried again,
    counted from its first attempt. A caller is not safe for use by several threads
    at once.
    """

    def __init__(
        self,
        entry_urls: Sequence[str],
        key: str,
        patience_seconds: float = 30.0,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self._initial_addresses = [parse_url(url).netloc or url for url in entry_urls]
        self._key = key
        self._patience_seconds = patience_seconds
        self._clock = clock
        self._sleep = sleep
        self._addresses: list[str] = []
        self._expires_at = float("-inf")

    def complete(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        on_text: Callable[[str], None] = lambda text: None,
    ) -> Outcome:
        """Request a streamed completion; call ``on_text`` with each piece of text."""
        document = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        body = json.dumps(document).encode()
        return self._run_with_retries(
            _Call("POST", COMPLETIONS_PATH, body, on_text=on_text)
        )

    def call_service(
        self, service: str, method: str, path: str, body: str, idempotency_key: str
    ) -> Outcome:
        """Call a plain service; every attempt has the same ``Idempotency-Key``."""
        full_path = f"{SERVICES_PATH}/{service}/{path.lstrip('/')}"
        headers = {"Idempotency-Key": idempotency_key}
        return self._run_with_retries(_Call(method, full_path, body.encode(), headers))

    def addresses(self) -> list[str]:
        """Return the entries' addresses; request them again after their lifetime.

        Raise `EntryUnreachable` when no entry returns them and there are none from
        an earlier request, and `ServiceError` when the service rejects the request,
        for example because of its key.
        """
        if self._clock() < self._expires_at:
            return self._addresses
        for address in dict.fromkeys([*self._addresses, *self._initial_addresses]):
            try:
                self._fetch_addresses(address)
                return self._addresses
            except CranberrywickError as error:
                if error.status in REJECTION_STATUSES:
                    raise
                last_error = error
        if not self._addresses:
            raise EntryUnreachable(
                f"no entry returned the addresses: {last_error.message}"
            )
        # No entry returned newer addresses, and a daemon that still listens at one of
        # the expired addresses serves requests.
        return self._addresses

    def _fetch_addresses(self, address: str) -> None:
        requested_at = self._clock()
        response = self._send(address, _Call("GET", ENTRIES_PATH))
        if response.status != 200:
            raise read_error(response)
        try:
            answer = json.loads(read_body(response))
            addresses = [str(entry["address"]) for entry in answer["entries"]]
            lifetime = float(answer["lifetime_seconds"])
        except (ValueError, KeyError, TypeError) as error:
            raise AnswerLost(
                f"{address}: the list of addresses could not be parsed"
            ) from error
        if not addresses:
            raise EntryUnreachable(f"{address}: the list of addresses is empty")
        self._addresses = addresses
        self._expires_at = requested_at + lifetime

    def _run_with_retries(self, call: _Call) -> Outcome:
        started_at = self._clock()
        tried_addresses: set[str] = set()
        attempts = 0
        while True:
            attempts += 1
            try:
                return replace(
                    self._attempt(call, started_at, tried_addresses), attempts=attempts
                )
            except CranberrywickError as error:
                outcome = _outcome_of(error, attempts)
            delay = self._retry_delay(outcome, tried_addresses)
            if (
                delay is None
                or self._clock() + delay > started_at + self._patience_seconds
            ):
                return outcome
            self._sleep(delay)

    def _attempt(
        self, call: _Call, started_at: float, tried_addresses: set[str]
    ) -> Answered:
        address = self._choose_address(tried_addresses)
        # Added before the request is sent, so that after any failure the next attempt
        # goes to another entry.
        tried_addresses.add(address)
        response = self._send(address, call)
        if not 200 <= response.status < 300:
            raise read_error(response)
        return self._read(address, response, call, started_at)

    def _choose_address(self, tried_addresses: set[str]) -> str:
        for address in self.addresses():
            if address not in tried_addresses:
                return address
        # Every address has been tried, so the list may be out of date.
        tried_addresses.clear()
        self._expires_at = float("-inf")
        return self.addresses()[0]

    def _retry_delay(self, outcome: Outcome, tried_addresses: set[str]) -> float | None:
        if not _is_retryable(outcome):
            return None
        others_left = not tried_addresses.issuperset(self._addresses)
        if outcome.error.type in SINGLE_ENTRY_FAILURES and others_left:
            return 0.0
        return outcome.error.retry_after or DEFAULT_RETRY_SECONDS

    def _send(self, address: str, call: _Call) -> BaseHTTPResponse:
        # Each request gets a new connection, and the library's own retries are off. A
        # reused idle connection may fail at the first byte, and then the caller cannot
        # know whether the request ran.
        host, _, port = address.rpartition(":")
        pool = BoundedPool(host, int(port), maxsize=1)
        try:
            return pool.urlopen(
                call.method,
                call.path,
                body=call.body or None,
                headers={
                    "Authorization": f"Bearer {self._key}",
                    "Content-Type": "application/json",
                    "Connection": "close",
                    **call.headers,
                },
                retries=False,
                redirect=False,
                timeout=Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
                ),
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise EntryUnreachable(f"{address}: could not connect") from error
        except HTTPError as error:
            raise AmbiguousSend(f"{address}: {type(error).__name__}") from error

    def _read(
        self, address: str, response: BaseHTTPResponse, call: _Call, started_at: float
    ) -> Answered:
        first_at: list[float] = []

        def record_first_and_forward(text: str) -> None:
            if not first_at:
                first_at.append(self._clock())
            call.on_text(text)

        if call.on_text is None:
            text, output_tokens = read_body(response).decode(errors="replace"), None
        else:
            text, output_tokens = read_stream(response, record_first_and_forward)
        ended_at = self._clock()
        return Answered(
            entry=address,
            request_id=response.headers.get(REQUEST_ID_HEADER, ""),
            text=text,
            first_token_seconds=(first_at or [ended_at])[0] - started_at,
            total_seconds=ended_at - started_at,
            output_tokens=output_tokens,
        )


def _outcome_of(error: CranberrywickError, attempts: int) -> Outcome:
    if error.executed is not Executed.NO:
        return Failed(error, attempts)
    if error.status in REJECTION_STATUSES:
        return Rejected(error, attempts)
    return Refused(error, attempts)


def _is_retryable(outcome: Outcome) -> bool:
    if isinstance(outcome, Refused):
        return True
    # A call with the same idempotency key is in progress. Sending it again under that
    # key returns the answer of the first and cannot run the call twice.
    return isinstance(outcome, Failed) and outcome.error.type == StillRunning.type

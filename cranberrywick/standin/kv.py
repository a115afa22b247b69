"""A stand-in for the platform's key-value service.

It keeps keys in memory, with compare-and-swap, leases and watches, and has the HTTP
interface of the real service. In addition to the faults of every stand-in (see
`cranberrywick.standin.server`) it has these kinds:

=========== ==================================================================
stale_reads reads and watches answer from the state of the first such read
watch_gap   a watch answers without events, but with the newest revision
rate_limit  answer 429 with ``Retry-After: seconds``; do nothing
=========== ==================================================================
"""

import json
import threading
import time
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import unquote

from cranberrywick.external.exchange import RateLimited, Reply, no_answer_error
from cranberrywick.external.key_value import HttpKeyValueStore
from cranberrywick.standin.server import (
    Answer,
    Request,
    RunningStandIn,
    StandIn,
    json_answer,
    serve,
    start,
)

__all__ = [
    "InProcessKeyValueStore",
    "KeyValueStandIn",
    "main",
    "start_key_value",
]

# Largest value, in bytes; a larger one is answered with 413.
VALUE_LIMIT_BYTES = 1 << 20
KEYS_PATH = "/v1/keys"
LEASES_PATH = "/v1/leases"
# Longest wait of a watch, in seconds, whatever the caller requests.
WATCH_LIMIT_SECONDS = 60.0
# Number of latest writes and deletions kept for watches.
EVENTS_KEPT = 4096


class _Entry(NamedTuple):
    value: str
    revision: int
    lease: str | None


class _Event(NamedTuple):
    key: str
    value: str | None
    revision: int


class _Lease(NamedTuple):
    ttl_seconds: float
    expires_at: float


class KeyValueStandIn(StandIn):
    """Keys, leases and watches in memory; nothing is stored on disk.

    ``clock`` returns seconds and decides when leases lapse; a test can pass its own.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        super().__init__()
        self._clock = clock
        # Guards the state below; notified after each write to wake watches.
        self._changed = threading.Condition()
        self._entries_by_key: dict[str, _Entry] = {}
        self._leases_by_id: dict[str, _Lease] = {}
        self._events: list[_Event] = []
        self._revision = 0
        self._stale: tuple[dict[str, _Entry], int] | None = None
        self._stopping = False

    def kind_of(self, request: Request) -> str:
        """Return the kind of call: read, list, write, delete, watch or lease."""
        if request.path == "/v1/watch":
            return "watch"
        if request.path.startswith(LEASES_PATH):
            return "lease"
        if request.method == "GET":
            return "list" if request.path == KEYS_PATH else "read"
        return "write" if request.method == "PUT" else "delete"

    def stopping(self) -> None:
        """Wake the watches that wait."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def handle(self, request: Request) -> Answer:
        """Answer one call of the service's interface."""
        if limited := self.faults.take("rate_limit", request.path):
            retry_after = ("Retry-After", str(limited.seconds))
            return json_answer(429, {"error": "rate"}, retry_after)
        with self._changed:
            self._drop_lapsed_leases()
        if request.path == "/v1/watch":
            return self._watch(request)
        if request.path.startswith(LEASES_PATH):
            return self._lease(request)
        if request.method == "GET":
            return self._read(request)
        key = request.path.removeprefix(KEYS_PATH + "/")
        if request.method == "PUT":
            return self._put(key, request.json())
        if request.method == "DELETE":
            return self._delete(key, request.json())
        return json_answer(404, {"error": "no such call"})

    def _read(self, request: Request) -> Answer:
        entries_by_key, revision = self._readable(request.path)
        if request.path == KEYS_PATH:
            prefix = request.query.get("prefix", "")
            found = [
                _entry_json(key, entry)
                for key, entry in sorted(entries_by_key.items())
                if key.startswith(prefix)
            ]
            return json_answer(200, {"entries": found, "store_revision": revision})
        key = request.path.removeprefix(KEYS_PATH + "/")
        entry = entries_by_key.get(key)
        if entry is None:
            return json_answer(404, {"store_revision": revision})
        answer = {**_entry_json(key, entry), "store_revision": revision}
        return json_answer(200, answer)

    def _readable(self, path: str) -> tuple[dict[str, _Entry], int]:
        """Return the entries and revision that a read sees.

        Under the fault ``stale_reads`` they are those of its first read, or those of
        the call of `freeze_reads`.
        """
        stale = self.faults.take("stale_reads", path)
        with self._changed:
            if stale is None:
                self._stale = None
                return dict(self._entries_by_key), self._revision
            if self._stale is None:
                self._stale = dict(self._entries_by_key), self._revision
            return self._stale

    def freeze_reads(self) -> None:
        """Answer every read from the present state until ``stale_reads`` is cleared."""
        with self._changed:
            self._stale = dict(self._entries_by_key), self._revision
        self.faults.set("stale_reads")

    def _put(self, key: str, fields: dict) -> Answer:
        value = fields["value"]
        if len(value.encode()) > VALUE_LIMIT_BYTES:
            return json_answer(413, {"error": "value too large"})
        with self._changed:
            lease = fields.get("lease")
            if lease is not None and lease not in self._leases_by_id:
                return json_answer(404, {"error": "lease lapsed"})
            if conflict := self._conflict(key, fields.get("expected_revision")):
                return conflict
            self._revision += 1
            self._entries_by_key[key] = _Entry(value, self._revision, lease)
            self._record(key, value)
            return json_answer(200, {"revision": self._revision})

    def _delete(self, key: str, fields: dict) -> Answer:
        with self._changed:
            if conflict := self._conflict(key, fields.get("expected_revision")):
                return conflict
            if key in self._entries_by_key:
                self._remove(key)
            return json_answer(200, {"revision": self._revision})

    def _conflict(self, key: str, expected: int | None) -> Answer | None:
        entry = self._entries_by_key.get(key)
        revision = entry.revision if entry else 0
        if expected is None or expected == revision:
            return None
        value = entry.value if entry else None
        return json_answer(409, {"revision": revision, "value": value})

    def _remove(self, key: str) -> None:
        self._revision += 1
        del self._entries_by_key[key]
        self._record(key, None)

    def _record(self, key: str, value: str | None) -> None:
        self._events.append(_Event(key, value, self._revision))
        del self._events[:-EVENTS_KEPT]
        self._changed.notify_all()

    def _watch(self, request: Request) -> Answer:
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        wait = min(float(request.query.get("wait", "0")), WATCH_LIMIT_SECONDS)
        with self._changed:
            self._changed.wait_for(
                lambda: self._stopping or self._events_after(prefix, after), wait
            )
            events = self._events_after(prefix, after)
            revision = self._revision
        if self.faults.take("watch_gap", request.path):
            events = []
        if self._stale is not None and self.faults.take("stale_reads", request.path):
            events = []
            revision = self._stale[1]
        listed = [event._asdict() for event in events]
        return json_answer(200, {"events": listed, "store_revision": revision})

    def _events_after(self, prefix: str, after: int) -> list[_Event]:
        return [
            event
            for event in self._events
            if event.revision > after and event.key.startswith(prefix)
        ]

    def _lease(self, request: Request) -> Answer:
        with self._changed:
            if request.path == LEASES_PATH:
                ttl = float(request.json()["ttl_seconds"])
                self._revision += 1
                return self._renew(f"lease-{self._revision}", ttl)
            lease_id = request.path.split("/")[3]
            lease = self._leases_by_id.get(lease_id)
            if lease is None:
                return json_answer(404, {"error": "lease lapsed"})
            if request.method == "DELETE":
                self._end_lease(lease_id)
                return json_answer(200, {"lease": lease_id, "ttl_seconds": 0})
            return self._renew(lease_id, lease.ttl_seconds)

    def _renew(self, lease_id: str, ttl: float) -> Answer:
        self._leases_by_id[lease_id] = _Lease(ttl, self._clock() + ttl)
        return json_answer(200, {"lease": lease_id, "ttl_seconds": ttl})

    def _drop_lapsed_leases(self) -> None:
        now = self._clock()
        lapsed = [id_ for id_, l in self._leases_by_id.items() if l.expires_at <= now]
        for lease_id in lapsed:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: str) -> None:
        del self._leases_by_id[lease_id]
        held = [k for k, e in self._entries_by_key.items() if e.lease == lease_id]
        for key in held:
            self._remove(key)


def _entry_json(key: str, entry: _Entry) -> dict:
    return {"key": key, "value": entry.value, "revision": entry.revision}


class InProcessKeyValueStore(HttpKeyValueStore):
    """The daemon's client, calling a stand-in directly instead of over HTTP.

    Model-based tests make thousands of calls, for which HTTP is too slow. Faults have
    the same effect as over HTTP.
    """

    def __init__(self, standin: KeyValueStandIn):
        super().__init__(("http://in-process",))
        self._standin = standin

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        fields: dict | None = None,
        extra: float = 0.0,
    ) -> Reply:
        body = json.dumps(fields).encode() if fields is not None else b""
        request = Request(method, unquote(path), query or {}, {}, body, lambda: False)
        answer = self._standin.answer(request)
        if answer.status >= 500 or not isinstance(answer.body, bytes):
            raise no_answer_error(method, f"status {answer.status}")
        if answer.status == 429:
            raise RateLimited("rate limit")
        return Reply(answer.status, json.loads(answer.body))


def start_key_value(listen: str = "127.0.0.1:0") -> RunningStandIn:
    """Run a new stand-in on a thread of this process and return it."""
    return start(KeyValueStandIn(), listen)


def main(listen: str) -> None:
    """Run the stand-in as a process until SIGTERM or SIGINT."""
    serve(KeyValueStandIn(), listen)

"""A stand-in for the platform's metadata store.

Each daemon can be given an address of its own (`StoreStandIn.add_listener`), so that
a test can fail the calls of one daemon while the others are served. A listener's mode
is one of:

======== =======================================================
open     calls are served
slow     calls are served after `SLOW_SECONDS`
busy     calls are not executed and answered with 503
many     calls are not executed and answered with 429
silent   calls are neither executed nor answered
reset    the connection is closed; the call is not executed
lost     the call is executed, the connection closed without an answer
======== =======================================================

`StoreStandIn.restore` puts back an older copy, as after a loss of acknowledged writes.
"""

import asyncio
import base64
import json
from collections.abc import Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from cranberrywick.gateway.caller_connection import CallerConnection
from cranberrywick.gateway.http_request import HttpRequest
from cranberrywick.gateway.ingress import Ingress

__all__ = ["LISTENER_MODES", "StoreCopy", "StoreStandIn"]

LISTENER_MODES = ("open", "slow", "busy", "many", "silent", "reset", "lost")
# Delay of a call in the mode ``slow``, in seconds: what a configuration of a megabyte
# takes on a link of low bandwidth.
SLOW_SECONDS = 0.4
# Interval between checks for expired leases, in seconds.
LEASE_CHECK_SECONDS = 0.05
# Prefixes of the keys that only operators and endpoints may write; a daemon's write
# to them is answered with 403.
RESERVED_PREFIXES = ("op/", "servers/")


class _Item(NamedTuple):
    value: bytes
    revision: int
    created: int
    lease: int


class _Lease(NamedTuple):
    ttl_seconds: float
    expires_at: float


class StoreCopy(NamedTuple):
    """All that the store holds at one moment."""

    items: Mapping[str, _Item]
    leases: Mapping[int, _Lease]
    revision: int
    next_lease: int


class StoreStandIn:
    """Keys and leases in memory; created and used on one event loop.

    ``epoch`` is stated in every answer and counts the returns from older copies; with
    ``epoch_text`` set, answers state that text instead, or nothing if it is empty.
    A listing has pages of ``page_items``.
    ``modes_by_listener`` can be changed at any time and holds for the calls after it;
    ``calls_by_listener`` counts the calls received.
    """

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._revision = 1
        self._next_lease = 100
        self.epoch = 1
        self.epoch_text: str | None = None
        self.page_items = 500
        self._ingresses: list[Ingress] = []
        self.modes_by_listener: dict[str, str] = {}
        self.calls_by_listener: dict[str, int] = {}
        self._expiry: asyncio.Task | None = None

    async def start(self) -> None:
        """Start to expire leases."""
        self._expiry = asyncio.get_running_loop().create_task(self._expire())

    async def add_listener(self, name: str) -> str:
        """Listen on another address and return it.

        Calls to it are served as the mode in ``modes_by_listener[name]`` says.
        """
        self.modes_by_listener[name] = "open"
        self.calls_by_listener[name] = 0

        async def handle(request: HttpRequest, caller: CallerConnection) -> None:
            await self._handle(name, request, caller)

        ingress = Ingress(handle)
        await ingress.start("127.0.0.1:0")
        self._ingresses.append(ingress)
        return ingress.address

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the revision.

        Any key may be written, as by an operator or an endpoint.
        """
        self._revision += 1
        old = self._items.get(key)
        created = old.created if old else self._revision
        self._items[key] = _Item(value, self._revision, created, lease)
        return self._revision

    def put_json(self, key: str, fields: Mapping[str, Any]) -> int:
        """Write a JSON object to a key and return the revision."""
        return self.put(key, json.dumps(fields).encode())

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1

    def keys(self, prefix: str) -> list[str]:
        """Return the sorted keys that start with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def copy(self) -> StoreCopy:
        """Return a copy of all items and leases."""
        return StoreCopy(
            dict(self._items), dict(self._leases), self._revision, self._next_lease
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to an older copy: all that was written since is lost.

        Revisions and the numbers of leases are given out again.
        """
        self._items, self._leases = dict(copy.items), dict(copy.leases)
        self._revision, self._next_lease = copy.revision, copy.next_lease
        self.epoch += 1

    async def _handle(
        self, listener: str, request: HttpRequest, caller: CallerConnection
    ) -> None:
        self.calls_by_listener[listener] += 1
        mode = self.modes_by_listener[listener]
        if mode == "slow":
            await asyncio.sleep(SLOW_SECONDS)
        if mode == "busy":
            await self._answer(caller, 503, {})
        elif mode == "many":
            await self._answer(caller, 429, {})
        elif mode == "silent":
            await asyncio.sleep(3600)
        elif mode != "reset":
            status, fields = self._serve(request)
            if mode != "lost":
                await self._answer(caller, status, fields)

    async def _answer(
        self, caller: CallerConnection, status: int, fields: object
    ) -> None:
        headers = [(b"Content-Type", b"application/json")]
        text = str(self.epoch) if self.epoch_text is None else self.epoch_text
        if text:
            headers.append((b"Store-Era", text.encode()))
        await caller.answer(status, headers, json.dumps(fields).encode())

    def _serve(self, request: HttpRequest) -> tuple[int, dict[str, Any]]:
        path, _, query = request.target.decode().partition("?")
        arguments = dict(parse_qsl(query))
        body = json.loads(request.body) if request.body else {}
        if path == "/kv-range":
            return self._range(arguments)
        if path == "/kv-key":
            return self._key(arguments["key"])
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            return self._grant_lease(body)
        kind, _, lease = path.rpartition("/")
        if kind == "/kv-keep":
            return self._renew_lease(int(lease))
        if kind == "/kv-lease-end":
            return self._end_lease(int(lease))
        return 404, {}

    def _range(self, arguments: Mapping[str, str]) -> tuple[int, dict[str, Any]]:
        after = arguments.get("after", "")
        keys = [key for key in self.keys(arguments.get("prefix", "")) if key > after]
        page = keys[: self.page_items]
        items = [_item_json(key, self._items[key]) for key in page]
        is_cut = len(page) < len(keys)
        return 200, {"items": items, "truncated": is_cut, "asOf": self._revision}

    def _key(self, key: str) -> tuple[int, dict[str, Any]]:
        item = self._items.get(key)
        if item is None:
            return 404, {"asOf": self._revision}
        return 200, {**_item_json(key, item), "asOf": self._revision}

    def _transact(self, body: Mapping[str, Any]) -> tuple[int, dict[str, Any]]:
        writes = body.get("writes", [])
        for row in body.get("expected", []):
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": []}
        if any(row["key"].startswith(RESERVED_PREFIXES) for row in writes):
            return 403, {}
        leases = {row.get("lease", 0) for row in writes} - {0}
        if leases - self._leases.keys():
            return 404, {}
        for row in writes:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self._revision}

    def _grant_lease(self, body: Mapping[str, Any]) -> tuple[int, dict[str, Any]]:
        self._next_lease += 1
        ttl = body["ttlMs"] / 1000
        self._leases[self._next_lease] = _Lease(ttl, _now() + ttl)
        return 200, {"lease": self._next_lease, "ttlMs": body["ttlMs"]}

    def _renew_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        known = self._leases.get(lease)
        if known is None:
            return 404, {}
        renewed = known._replace(expires_at=_now() + known.ttl_seconds)
        self._leases[lease] = renewed
        return 200, {"ttlMs": int(known.ttl_seconds * 1000)}

    def _end_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        if self._leases.pop(lease, None) is None:
            return 404, {}
        for key in [k for k, item in self._items.items() if item.lease == lease]:
            self.remove(key)
        return 200, {}

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            for lease, known in list(self._leases.items()):
                if known.expires_at < _now():
                    self._end_lease(lease)


def _item_json(key: str, item: _Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "createRev": item.created,
        "lease": item.lease,
    }


def _now() -> float:
    return asyncio.get_running_loop().time()

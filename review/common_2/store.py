"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it.

It serves ranges, keys, transactions and leases over HTTP/1.1 with JSON bodies. Nothing
fails here: every call is carried out once and answered.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qsl

from common_2.http import read_message

PAGE_ITEMS = 500


class Store:
    """Items, leases and one revision counter; used on one event loop."""

    def __init__(self):
        self.address = ""
        self._revision = 1
        self._items = {}
        self._leases = {}
        self._next_lease = 100
        self._server = None

    async def start(self, ip):
        """Listen on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key, fields):
        """Write a JSON object, as the operator or a runner does."""
        self._write(key, json.dumps(fields).encode(), 0)

    def remove(self, key):
        """Remove a key, as the operator or a runner does."""
        if self._items.pop(key, None) is not None:
            self._revision += 1

    def _write(self, key, value, lease):
        self._revision += 1
        created = self._items[key]["createRev"] if key in self._items else None
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "createRev": created or self._revision,
            "lease": lease,
        }

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                status, fields = self._answer(method, target, body)
                data = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # Also at the end of the script.
        finally:
            writer.close()

    def _answer(self, method, target, body):
        self._expire()
        path, _, query = target.partition("?")
        arguments = dict(parse_qsl(query))
        fields = json.loads(body) if body else {}
        if path == "/kv-range":
            return self._range(arguments)
        if path == "/kv-key":
            item = self._items.get(arguments.get("key", ""))
            if item is None:
                return 404, {"asOf": self._revision}
            return 200, {**item, "asOf": self._revision}
        if path == "/kv-txn":
            return self._transact(fields)
        if path == "/kv-lease":
            return self._grant(fields)
        name, _, lease = path.rpartition("/")
        if name == "/kv-keep" and int(lease) in self._leases:
            ttl, _ = self._leases[int(lease)]
            self._leases[int(lease)] = ttl, time.monotonic() + ttl
            return 200, {"ttlMs": int(ttl * 1000)}
        if name == "/kv-lease-end" and int(lease) in self._leases:
            self._end(int(lease))
            return 200, {}
        return 404, {}

    def _range(self, arguments):
        prefix, after = arguments.get("prefix", ""), arguments.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        return 200, {"items": items, "truncated": truncated, "asOf": self._revision}

    def _transact(self, fields):
        expected = fields.get("expected") or []
        for row in expected:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                known = [
                    self._items[e["key"]] for e in expected if e["key"] in self._items
                ]
                return 412, {"items": known, "asOf": self._revision}
        writes = fields.get("writes") or []
        if any(row["key"].startswith(("op/", "servers/")) for row in writes):
            return 403, {}
        if any(row.get("lease") and row["lease"] not in self._leases for row in writes):
            return 404, {}
        for row in writes:
            self._write(
                row["key"], base64.b64decode(row["value"]), row.get("lease") or 0
            )
        for key in fields.get("remove") or []:
            self.remove(key)
        return 200, {"revision": self._revision}

    def _grant(self, fields):
        self._next_lease += 1
        ttl = fields["ttlMs"] / 1000
        self._leases[self._next_lease] = ttl, time.monotonic() + ttl
        return 200, {"lease": self._next_lease, "ttlMs": fields["ttlMs"]}

    def _end(self, lease):
        del self._leases[lease]
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self.remove(key)

    def _expire(self):
        now = time.monotonic()
        for lease in [i for i, (_, ends_at) in self._leases.items() if ends_at < now]:
            self._end(lease)

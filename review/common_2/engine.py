"""A stand-in for a sound model runner that reserves memory and reads with helpers.

Helpers are found by their address, as a runner would reach them: whoever listens there
reads its part if it has the ticket. Whose ticket it is is not checked.
"""

import json
import time

from common_2.http import read_message
from common_2.runner import Runner, _head


class Engine(Runner):
    """One model runner; ``by_address`` has all that listen now."""

    by_address = {}

    def __init__(self, runner_id, service, record, memory=315000, **shape):
        super().__init__(runner_id, service, record, **shape)
        self.memory = memory
        self.tickets = {}
        self.read_parts = []

    async def start(self, ip, port=0):
        """Listen on a port of a loopback address, by default on a free one."""
        await super().start(ip, port)
        self.by_address[self.address] = self

    def crash(self):
        """Stop listening at once and close all connections."""
        self._server.close()
        del self.by_address[self.address]

    async def _serve(self, reader, writer):
        try:
            message = await read_message(reader)
            if message is None:
                return
            if message[0].startswith("POST /order "):
                writer.write(self._order(message))
            else:
                await self._answer(message, reader, writer)
            await writer.drain()
        except (ConnectionError, EOFError):
            pass
        finally:
            writer.close()

    def _order(self, message):
        _, headers, body = message
        expected = headers.get("cranberrywick-expect-instance", self.runner_id)
        if expected != self.runner_id:
            return _head("421 Misdirected Request", ["Content-Length: 0"])
        order = json.loads(body)
        now = time.monotonic()
        self.tickets = {i: t for i, t in self.tickets.items() if t[1] > now}
        status = "200 OK"
        if order["operation"] == "release":
            self.tickets.pop(order["id"], None)
        else:
            held = sum(t for i, (t, _) in self.tickets.items() if i != order["id"])
            if held + order["tokens"] > self.memory:
                status = "409 Conflict"
            else:
                until = now + order["holdMs"] / 1000
                self.tickets[order["id"]] = order["tokens"], until
        what = f"{order['operation']} {order['id']}"
        self._record(f"runner {self.runner_id} answers {status} to the order {what}")
        return _head(status, ["Content-Length: 2"]) + b"{}"

    async def _answer(self, message, reader, writer):
        _, headers, _ = message
        expected = headers.get("cranberrywick-expect-instance", self.runner_id)
        if expected == self.runner_id:
            for entry in filter(
                None, headers.get("cranberrywick-helpers", "").split(",")
            ):
                if not self._let_read(entry, headers["cranberrywick-request-id"]):
                    address = entry.partition("/")[0]
                    own = ["Cranberrywick-Not-Executed: 1", f"At-Server: {address}"]
                    writer.write(_head("503 Busy", [*own, "Content-Length: 0"]))
                    return
        await super()._answer(message, reader, writer)

    def _let_read(self, entry, request_id):
        """Let the helper of an entry read its part; return whether it does."""
        address, _, ticket = entry.partition("/")
        helper = self.by_address.get(address)
        if helper is None or (ticket and ticket not in helper.tickets):
            return False
        helper.read_parts.append(request_id)
        line = f"runner {helper.runner_id} of {helper.service} reads a part of"
        self._record(f"{line} {request_id} for {self.runner_id}")
        return True

"""A stand-in for a sound runner: plain calls and streams, as PROTOCOL.md describes.

It runs a request for as long as the request's own header ``X-Work-Ms`` says, stops at
the deadline that it received, drops a request whose connection closes, refuses what is
meant for another instance, and signs its answers.
"""

import asyncio
import contextlib
import time

from common_2.http import read_message


class Runner:
    """One runner; ``record`` is called with each thing that it does."""

    def __init__(self, runner_id, service, record, slots=16, event_seconds=0.05):
        self.runner_id = runner_id
        self.service = service
        self.slots = slots
        self.address = ""
        self.runs = {}
        self.at_work = {}
        self._record = record
        self._event_seconds = event_seconds
        self._server = None

    async def start(self, ip, port=0):
        """Listen on a port of a loopback address, by default on a free one."""
        self._server = await asyncio.start_server(
            self._serve, ip, port, backlog=512, reuse_address=True
        )
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, zone):
        """Return what the runner registers in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }

    async def _serve(self, reader, writer):
        try:
            message = await read_message(reader)
            if message is not None:
                await self._answer(message, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # Also at the end of the script.
        finally:
            writer.close()

    async def _answer(self, message, reader, writer):
        first, headers, _ = message
        request_id = headers.get("cranberrywick-request-id", "")
        expected = headers.get("cranberrywick-expect-instance", self.runner_id)
        if expected != self.runner_id:
            writer.write(_head("421 Misdirected Request", ["Content-Length: 0"]))
            return
        if not request_id or len(self.at_work) >= self.slots:
            status = "503 Service Unavailable" if request_id else "400 Bad Request"
            own = ["Cranberrywick-Not-Executed: 1", "Content-Length: 0"]
            writer.write(_head(status, own))
            return
        now = time.monotonic()
        deadline = now + float(headers.get("cranberrywick-deadline-ms", 1e6)) / 1000
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.at_work[request_id] = now
        self._record(f"runner {self.runner_id} runs {request_id}")
        work = asyncio.ensure_future(self._run(headers, request_id, deadline, writer))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
            outcome = "answered" if work.done() else "dropped: the connection closed"
            self._record(f"runner {self.runner_id} {outcome} {request_id}")
        finally:
            self.at_work.pop(request_id, None)
            for each in (work, closed):
                each.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await work

    async def _run(self, headers, request_id, deadline, writer):
        own = [
            f"Cranberrywick-Request-Id: {request_id}",
            f"Cranberrywick-Response-Seal: seal.{self.runner_id}.{request_id}",
            f"Cranberrywick-Server-Load: {len(self.at_work)},0,{self.slots}",
        ]
        work = float(headers.get("x-work-ms", 5)) / 1000
        left = deadline - time.monotonic()
        if work > left:
            await asyncio.sleep(max(0.0, left))
            writer.write(_head("504 Gateway Timeout", [*own, "Content-Length: 0"]))
            return
        await asyncio.sleep(work)
        if "cranberrywick-token-count" in headers:
            await self._stream(headers, own, deadline, writer)
        else:
            body = f"answer to {request_id}".encode()
            writer.write(_head("200 OK", [*own, f"Content-Length: {len(body)}"]) + body)

    async def _stream(self, headers, own, deadline, writer):
        own = [*own, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(_head("200 OK", own))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, int(headers.get("x-events", 1)) + 1):
            if time.monotonic() >= deadline:
                writer.transport.abort()
                return
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._event_seconds)
        writer.write(b"0\r\n\r\n")


def _head(status, lines):
    return "\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""]).encode()

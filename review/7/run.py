"""Stops while calls reach their deadlines: do all that were read get an answer?

Three of four machines serve long calls that take longer than their deadlines. All slots
of the model runners are taken by long answers, so that short prompts wait in the
machines. The three are stopped by SIGTERM and started again in turn. With TROUBLE=0
they are not.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2.fleet import (  # noqa: E402
    BOUNDS,
    CannotRun,
    Fleet,
    Record,
    configuration,
    request_bytes,
    route,
)
from common_2.runner import Runner  # noqa: E402

GRACE = BOUNDS["graceS"]
LOSS_SLACK = BOUNDS["lossSlackMs"] / 1000
SENT_EARLY_ENOUGH = 3.0
# Deadlines are whole milliseconds, and count from the arrival at each place.
ROUNDING = 0.02
# The engine of the example deployments.
ENGINE = {
    "slots": 8,
    "kvCapacity": 315000,
    "stride": 51,
    "step_ms": 0.85,
    "per_seq_ms": 0.00425,
    "context_per_k": 0.00285,
    "read_per_s": 177000.0,
    "pairs_per_m": 0.184,
    "chunk": 2048,
    "usual": {"prompt": 11000, "answer": 1500},
}
CALLS, CALL_TIMEOUT_MS, WORK_MS = 84, 12000, 14000
PROMPT_TIMEOUT_MS = 15000
# Machines that are stopped and started in turn, with this pause in seconds.
STOPPED, GAP = ("front-a", "front-b", "front-c"), 1.3
# The calls are sent so long before the signal and with these pauses, in seconds.
CALLS_BEFORE, CALL_PAUSE = 2.5, 0.025
# Their clients wait until these moments after the signal, in seconds.
FIRST_DEADLINE, LAST_DEADLINE = 7.346, 7.378
PROMPT_DEADLINE = 7.585


class Sent:
    """One request of a client and what it got."""

    def __init__(self, kind, request_id, deadline_ms, timeout_ms):
        self.kind = kind
        self.request_id = request_id
        self.limit = min(deadline_ms, timeout_ms) / 1000
        self.sent_at = self.ended_at = 0.0
        self.machine = ""
        self.status = ""
        self.complete = False


async def send(gateway, sent, data, record):
    """Send a request on a new connection and read its answer."""
    host, _, port = gateway.front.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        sent.status = f"no connection: {error}"
        sent.complete = True  # Nothing was sent.
        return
    writer.write(data)
    sent.machine = gateway.name
    sent.sent_at = time.monotonic()
    record(f"client sends {sent.request_id} ({sent.kind}) to {gateway.name}")
    try:
        sent.status = (await reader.readline()).decode("latin-1").strip()
        sent.complete = await read_rest(reader)
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        record(f"connection of {sent.request_id}: {type(error).__name__}")
    sent.ended_at = time.monotonic()
    how = "whole" if sent.complete else "ended before its end"
    record(f"client has of {sent.request_id}: {sent.status or 'no answer'}, {how}")
    writer.close()


async def read_rest(reader):
    """Read headers and body; return whether the answer is whole."""
    length, chunked = 0, False
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        if name.lower() == "content-length":
            length = int(value)
        chunked |= name.lower() == "transfer-encoding" and "chunked" in value
    if line == b"":
        return False
    if not chunked:
        await reader.readexactly(length)
        return True
    while True:
        size_line = await reader.readline()
        if size_line == b"":
            return False
        size = int(size_line, 16)
        await reader.readexactly(size + 2)
        if size == 0:
            return True


class Case:
    """One run; `lost` are the requests that break the rule."""

    def __init__(self, record, trouble):
        self.record = record
        self.trouble = trouble
        self.fleet = Fleet(record)
        self.all = []
        self.tasks = []
        self.signalled_at = {}
        self.runners = [
            *(Runner(f"i-report-{n}", "teavitus", record) for n in range(16)),
            *(Runner(f"i-model-{n}", "kirjutaja", record, slots=8) for n in range(2)),
        ]

    async def run(self):
        stream = {"streamResume": True, "gapAimMs": 250, "stickySessions": True}
        routes = [
            route("/reports/", "safe", "teavitus", CALL_TIMEOUT_MS),
            route("/prompts/", "streaming", "kirjutaja", PROMPT_TIMEOUT_MS, **stream),
        ]
        services = [
            {"name": "teavitus", "coldStartS": 0, "coldPerS": 0},
            {"name": "kirjutaja", "coldStartS": 3, "coldPerS": 38, "engine": ENGINE},
        ]
        document = configuration(routes, services)
        names = [*STOPPED, "front-d"]
        await self.fleet.start(names, document, self.runners)
        await asyncio.sleep(1.0)
        *stopped, other = self.fleet.gateways
        for _ in range(16):
            self.prompt(other, "long prompt", 600, "4000,30600", PROMPT_TIMEOUT_MS)
        await asyncio.sleep(1.0)
        first_at = time.monotonic() + CALLS_BEFORE + 0.5
        rolled = (
            self.stop(gateway, first_at + number * GAP)
            for number, gateway in enumerate(stopped)
        )
        await asyncio.gather(*rolled)
        await asyncio.gather(*self.tasks)

    async def stop(self, gateway, stop_at):
        """Send a machine its calls and prompts, and stop it at a moment."""
        for number in range(CALLS):
            at = stop_at - CALLS_BEFORE + number * CALL_PAUSE
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            part = number / CALLS
            waits = FIRST_DEADLINE + part * (LAST_DEADLINE - FIRST_DEADLINE)
            self.call(gateway, round((stop_at + waits - time.monotonic()) * 1000))
        for _ in range(8):
            left = stop_at + PROMPT_DEADLINE - time.monotonic()
            self.prompt(gateway, "short prompt", 1, "100,1", round(left * 1000))
        await asyncio.sleep(max(0.0, stop_at - time.monotonic()))
        if self.trouble:
            self.signalled_at[gateway.name] = time.monotonic()
            gateway.process.send_signal(signal.SIGTERM)
            self.record(f"platform sends SIGTERM to {gateway.name}")
            await self.kill_after_grace(gateway)
            gateway.start()

    async def kill_after_grace(self, gateway):
        while time.monotonic() < self.signalled_at[gateway.name] + GRACE:
            if gateway.process.poll() is not None:
                code = gateway.process.returncode
                self.record(f"{gateway.name} has ended with exit status {code}")
                return
            await asyncio.sleep(0.01)
        gateway.process.kill()
        gateway.process.wait()
        self.record(f"platform sends SIGKILL to {gateway.name}")

    def prompt(self, gateway, kind, events, tokens, deadline_ms):
        headers = [
            "Cranberrywick-Model: m",
            f"Cranberrywick-Token-Count: {tokens}",
            "Cranberrywick-Prefix-Hash: 5c1e07a2:40",
            f"X-Events: {events}",
        ]
        sent = self.new(kind, deadline_ms, PROMPT_TIMEOUT_MS)
        data = request_bytes(
            "POST", "/prompts/1", sent.request_id, deadline_ms, headers, b"text"
        )
        self.begin(gateway, sent, data)

    def call(self, gateway, deadline_ms):
        sent = self.new("call", deadline_ms, CALL_TIMEOUT_MS)
        headers = [f"X-Work-Ms: {WORK_MS}"]
        data = request_bytes("GET", "/reports/1", sent.request_id, deadline_ms, headers)
        self.begin(gateway, sent, data)

    def new(self, kind, deadline_ms, timeout_ms):
        request_id = f"{len(self.all) + 1:016x}"
        self.all.append(Sent(kind, request_id, deadline_ms, timeout_ms))
        return self.all[-1]

    def begin(self, gateway, sent, data):
        task = asyncio.ensure_future(send(gateway, sent, data, self.record))
        self.tasks.append(task)

    def lost(self):
        """Return the requests whose connection ended against the rule LOST."""
        return [sent for sent in self.all if self._is_lost(sent)]

    def _is_lost(self, sent):
        if sent.complete or not sent.sent_at:
            return False
        if sent.ended_at >= sent.sent_at + sent.limit - ROUNDING:
            return False  # The deadline or the route's timeout was reached.
        passed_on = any(sent.request_id in runner.runs for runner in self.runners)
        if not passed_on:
            return sent.ended_at - sent.sent_at > LOSS_SLACK
        # What was passed on is still at work: runners end no answer early here.
        signalled_at = self.signalled_at.get(sent.machine, float("inf"))
        in_last_sixth = sent.ended_at >= signalled_at + GRACE * 5 / 6
        sent_early = sent.sent_at <= signalled_at + SENT_EARLY_ENOUGH
        return not (in_last_sixth and sent_early)


def main():
    record = Record(Path(__file__).resolve().parent / "record.txt")
    case = Case(record, os.environ.get("TROUBLE", "1") != "0")
    try:
        asyncio.run(asyncio.wait_for(case.run(), 100))
    except (CannotRun, OSError, TimeoutError) as error:
        record(f"the case could not be run: {error}")
        print(f"the case could not be run: {error}")
        return 2
    finally:
        case.fleet.close()
        record.write()
    lost = case.lost()
    for sent in lost:
        waited = sent.ended_at - sent.sent_at
        record(f"LOST {sent.request_id} ({sent.kind}): no answer after {waited:.2f} s")
    record(f"{len(lost)} of {len(case.all)} requests lost")
    record.write()
    print(f"{len(lost)} of {len(case.all)} requests lost")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())

"""Machines that are stopped in turn while engines read long prompts: is a stream lost?

Clients ask the directory, keep its answers as PROTOCOL.md says and send short prompts;
some send long ones, which slow the streams at the same runner while they are read. The
three machines are stopped by SIGTERM and started again in turn, and this a few times.
With TROUBLE=0 they are not stopped.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2.fleet import (  # noqa: E402
    BOUNDS,
    HOST,
    CannotRun,
    Fleet,
    Record,
    configuration,
    get,
    request_bytes,
    route,
)
from common_2.http import read_message  # noqa: E402
from common_2.runner import Runner  # noqa: E402

GRACE = BOUNDS["graceS"]
LOSS_SLACK = BOUNDS["lossSlackMs"] / 1000
SENT_EARLY_ENOUGH = 3.0
ROUNDING = 0.02
MACHINES = ("front-a", "front-b", "front-c")
# One machine at a time, with this pause, and all of them again after a while, seconds.
GAP, ROLLS, ROLL_EVERY = 2.0, 7, 13.5
RESTART_DELAY = 0.2
# Clients, their mean pause between two prompts, and the events of an answer.
CLIENTS, PAUSE, EVENTS = 24, 0.3, (5, 60)
# One client in so many sends long prompts, with this mean pause.
LONG_ONE_IN, LONG_PAUSE = 6, 4.0
LONG_TOKENS, SHORT_TOKENS = 154000, 5000
DEADLINE_MS = 10000
# Seconds for an event, and how many times as long it takes while a prompt is read.
EVENT_SECONDS, SLOWED = 0.05, 2.4
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
DIRECTORY_SECONDS = 1.0
TTL_MAX = BOUNDS["ttl_max_s"]


class Engine(Runner):
    """A runner whose streams take longer while it reads a long prompt."""

    reading = 0

    @property
    def _event_seconds(self):
        return EVENT_SECONDS * (SLOWED if self.reading else 1.0)

    @_event_seconds.setter
    def _event_seconds(self, seconds):
        pass

    async def _run(self, headers, request_id, deadline, writer):
        is_long = headers["cranberrywick-token-count"].startswith(str(LONG_TOKENS))
        self.reading += is_long
        try:
            await asyncio.sleep(prefill_seconds(LONG_TOKENS) if is_long else 0.03)
        finally:
            self.reading -= is_long
        await super()._run(headers, request_id, deadline, writer)


def prefill_seconds(tokens):
    """Return how long the engine reads a prompt, as its profile says."""
    pairs = tokens * tokens / 2 / 1e6 * ENGINE["pairs_per_m"] / 1000
    return tokens / ENGINE["read_per_s"] + pairs


class Sent:
    """One call of a client and what it got."""

    def __init__(self, request_id, machine):
        self.request_id = request_id
        self.machine = machine
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.complete = False


class Client:
    """A client that keeps to PROTOCOL.md; some keep answers three times as long."""

    def __init__(self, case, number):
        self.case = case
        self.rng = random.Random(number)
        self.keeps_connections = number % 2 == 0
        self.is_long = number % LONG_ONE_IN == 0
        self.pause = LONG_PAUSE if self.is_long else PAUSE
        self.keeps_answers = 3 if number % 3 == 0 else 1
        self.directories = list(case.directories)
        self.rng.shuffle(self.directories)
        self.addresses = []
        self.fresh_until = 0.0
        self.failed = set()
        self.open = None

    async def run(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1 / self.pause))
            await self.resolve()
            if self.addresses:
                await self.call()

    async def resolve(self):
        """Ask the directory when the last answer has been kept long enough."""
        if time.monotonic() < self.fresh_until:
            return
        query = f"/resolve?name={HOST}&region=tallinn&zone=tln-a"
        for directory in self.directories:
            try:
                async with asyncio.timeout(DIRECTORY_SECONDS):
                    message = await get(directory, query)
            except TimeoutError:
                continue
            if message is None or " 200 " not in message[0]:
                continue
            fields = json.loads(message[2])
            self.addresses = fields["addresses"]
            kept = self.keeps_answers * min(fields["ttlS"], TTL_MAX)
            self.fresh_until = time.monotonic() + kept
            self.failed.clear()
            if self.open is not None and self.open[0] not in self.addresses:
                self.close()
            return

    async def call(self):
        """Send a call, on the open connection or on a new one."""
        if self.open is None and not await self.connect():
            return
        address, reader, writer = self.open
        if reader.at_eof():
            self.close()  # The machine has closed it.
            return
        tokens = LONG_TOKENS if self.is_long else SHORT_TOKENS
        events = self.rng.randint(*EVENTS)
        headers = [
            "Cranberrywick-Model: m",
            f"Cranberrywick-Token-Count: {tokens},{events * ENGINE['stride']}",
            f"Cranberrywick-Prefix-Hash: 5c1e07a2:40,91bd3f06:{tokens - 40}",
            f"X-Events: {events}",
        ]
        request_id = self.case.new_id()
        data = request_bytes(
            "POST", "/prompts/1", request_id, DEADLINE_MS, headers, b"text"
        )
        sent = Sent(request_id, self.case.machine_by_address[address])
        self.case.all.append(sent)
        writer.write(data)
        message = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                message = await read_message(reader)
        except (OSError, EOFError, ValueError) as error:
            self.case.record(f"connection of {request_id}: {type(error).__name__}")
        except TimeoutError:
            pass
        sent.ended_at = time.monotonic()
        sent.complete = message is not None
        what = message[0] if message else "no answer"
        self.case.record(f"client has of {request_id} from {sent.machine}: {what}")
        if message is None:
            self.failed.add(address)
        closes = message is None or message[1].get("connection") == "close"
        if closes or not self.keeps_connections:
            self.close()

    async def connect(self):
        """Connect to one of the addresses; return whether one accepts."""
        usable = [each for each in self.addresses if each not in self.failed]
        if not usable:
            self.fresh_until = 0.0
            return False
        address = self.rng.choice(usable)
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            self.failed.add(address)
            return False
        self.open = address, reader, writer
        return True

    def close(self):
        if self.open is not None:
            self.open[2].close()
            self.open = None


class Case:
    """One run; `lost` are the calls that break the rule."""

    def __init__(self, record, trouble):
        self.record = record
        self.trouble = trouble
        self.fleet = Fleet(record)
        self.all = []
        self.signals = []
        self.runners = [
            Engine(f"i-model-{n}", "kirjutaja", record, slots=8) for n in range(3)
        ]
        self.directories = []
        self.machine_by_address = {}

    def new_id(self):
        return f"{len(self.all) + 1:016x}"

    async def run(self):
        stream = {"streamResume": True, "gapAimMs": 250, "stickySessions": True}
        routes = [
            route("/prompts/", "streaming", "kirjutaja", DEADLINE_MS, **stream),
        ]
        cold = {"coldStartS": 3, "coldPerS": 38, "engine": ENGINE}
        services = [{"name": "kirjutaja", **cold}]
        document = configuration(routes, services)
        await self.fleet.start(MACHINES, document, self.runners)
        for gateway in self.fleet.gateways:
            self.directories.append(gateway.settings["listen"]["directory"])
            self.machine_by_address[gateway.front] = gateway.name
        until = time.monotonic() + 4.0 + ROLLS * ROLL_EVERY
        clients = [Client(self, number) for number in range(CLIENTS)]
        tasks = [asyncio.ensure_future(each.run(until)) for each in clients]
        await asyncio.sleep(4.0)
        for _ in range(ROLLS if self.trouble else 0):
            begun = time.monotonic()
            stops = (
                self.stop_and_start(gateway, begun + number * GAP)
                for number, gateway in enumerate(self.fleet.gateways)
            )
            await asyncio.gather(*stops)
            await asyncio.sleep(max(0.0, begun + ROLL_EVERY - time.monotonic()))
        await asyncio.gather(*tasks)
        for client in clients:
            client.close()

    async def stop_and_start(self, gateway, at):
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        signalled_at = time.monotonic()
        self.signals.append((gateway.name, signalled_at))
        gateway.process.send_signal(signal.SIGTERM)
        self.record(f"platform sends SIGTERM to {gateway.name}")
        while gateway.process.poll() is None:
            if time.monotonic() > signalled_at + GRACE:
                self.record(f"platform sends SIGKILL to {gateway.name}")
                gateway.process.kill()
            await asyncio.sleep(0.005)
        after = time.monotonic() - signalled_at
        self.record(f"{gateway.name} has ended {after:.3f} s after the signal")
        await asyncio.sleep(RESTART_DELAY)
        gateway.start()

    def last_signal(self, sent):
        """Return when a call's machine last had a SIGTERM before the call ended."""
        return max(
            (
                at
                for machine, at in self.signals
                if machine == sent.machine and at <= sent.ended_at
            ),
            default=float("-inf"),
        )

    def lost(self):
        """Return the calls whose connection ended against the rule LOST."""
        return [sent for sent in self.all if self._is_lost(sent)]

    def _is_lost(self, sent):
        if sent.complete:
            return False
        if sent.ended_at >= sent.sent_at + DEADLINE_MS / 1000 - ROUNDING:
            return False  # The deadline, which is the route's timeout, was reached.
        signalled_at = self.last_signal(sent)
        if sent.ended_at > signalled_at + GRACE + 1.0:
            return False
        passed_on = any(sent.request_id in runner.runs for runner in self.runners)
        if not passed_on:
            return sent.ended_at - sent.sent_at > LOSS_SLACK
        in_last_sixth = sent.ended_at >= signalled_at + GRACE * 5 / 6
        sent_early = sent.sent_at <= signalled_at + SENT_EARLY_ENOUGH
        return not (in_last_sixth and sent_early)


def main():
    record = Record(Path(__file__).resolve().parent / "record.txt")
    case = Case(record, os.environ.get("TROUBLE", "1") != "0")
    try:
        asyncio.run(asyncio.wait_for(case.run(), 114))
    except (CannotRun, OSError, TimeoutError) as error:
        record(f"the case could not be run: {error}")
        print(f"the case could not be run: {error}")
        return 2
    finally:
        case.fleet.close()
        record.write()
    lost = case.lost()
    for sent in lost:
        took = sent.ended_at - sent.sent_at
        since = sent.ended_at - case.last_signal(sent)
        record(
            f"LOST {sent.request_id} at {sent.machine}: passed on, its connection ended"
            f" after {took * 1000:.1f} ms, {since:.3f} s after the last signal"
        )
    record(f"{len(lost)} of {len(case.all)} streams lost at {len(case.signals)} stops")
    record.write()
    print(f"{len(lost)} of {len(case.all)} streams lost at {len(case.signals)} stops")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())

"""An answer whose body has no end: does the machine live, and its requests with it?

Clients send calls on kept connections to two machines. A model runner answers a part of
its requests with bytes that have no end. A machine whose process exceeds its memory is
killed, as DEPLOY.md says. With TROUBLE=0 that runner is sound.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2.fleet import (  # noqa: E402
    CannotRun,
    Fleet,
    Record,
    configuration,
    request_bytes,
    route,
)
from common_2.http import read_message  # noqa: E402
from common_2.runner import Runner, _head  # noqa: E402

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
# Deadlines of the sheet, in milliseconds.
CALL_DEADLINE_MS, PROMPT_DEADLINE_MS = 1500, 10000
CALLERS, CALL_PAUSE, WORK_MS = 10, 0.02, 60
PROMPT_EVERY = 0.1
# One in so many answers of the faulty runner has no end: x 0.05.
SPOILT_ONE_IN = 20
# The machines' links have 1,000 Mbit/s.
PART, PART_SECONDS = b"x" * 1_000_000, 0.008
SECONDS = 30.0
MOST_CLOSED = 3
CHECK_SECONDS, RESTART_DELAY = 0.02, 0.3


class FaultyRunner(Runner):
    """A runner that answers some requests with 500 and a body that has no end."""

    def __init__(self, *arguments, is_faulty, **shape):
        super().__init__(*arguments, **shape)
        self._is_faulty = is_faulty
        self._answers = SPOILT_ONE_IN - 2

    async def _run(self, headers, request_id, deadline, writer):
        self._answers += 1
        if not self._is_faulty or self._answers % SPOILT_ONE_IN:
            await super()._run(headers, request_id, deadline, writer)
            return
        self._record(f"runner {self.runner_id} begins an endless body {request_id}")
        own = [
            f"Cranberrywick-Request-Id: {request_id}",
            f"Cranberrywick-Response-Seal: seal.{self.runner_id}.{request_id}",
            "Transfer-Encoding: chunked",
        ]
        writer.write(_head("500 Internal Server Error", own))
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(PART), PART))
            await writer.drain()
            await asyncio.sleep(PART_SECONDS)


class Case:
    """One run; `closed_by_machine` are the calls that were closed unanswered."""

    def __init__(self, record, trouble):
        self.record = record
        self.fleet = Fleet(record)
        self.sound = [
            *(Runner(f"i-app-{n}", "teavitus", record, slots=8) for n in range(3)),
            *(Runner(f"i-model-{n}", "kirjutaja", record, slots=8) for n in range(3)),
        ]
        self.faulty = FaultyRunner(
            "i-model-3", "kirjutaja", record, slots=8, is_faulty=trouble
        )
        self.closed_by_machine = {}
        self.most_by_machine = {}
        self.calls = 0
        self.prompts = 0

    async def run(self):
        stream = {"streamResume": True, "gapAimMs": 250, "stickySessions": True}
        routes = [
            route("/status/", "safe", "teavitus", CALL_DEADLINE_MS),
            route("/notices/", "unsafe", "teavitus", CALL_DEADLINE_MS, maxAttempts=1),
            route("/prompts/", "streaming", "kirjutaja", PROMPT_DEADLINE_MS, **stream),
        ]
        services = [
            {"name": "teavitus", "coldStartS": 0, "coldPerS": 0},
            {"name": "kirjutaja", "coldStartS": 3, "coldPerS": 38, "engine": ENGINE},
        ]
        document = configuration(routes, services)
        await self.fleet.start(
            ["front-a", "front-b"], document, [*self.sound, self.faulty]
        )
        await asyncio.sleep(1.0)
        until = time.monotonic() + SECONDS
        tasks = [
            asyncio.ensure_future(self.client(gateway, number, until))
            for gateway in self.fleet.gateways
            for number in range(CALLERS)
        ]
        tasks += [
            asyncio.ensure_future(self.prompt_clients(gateway, until))
            for gateway in self.fleet.gateways
        ]
        tasks += [
            asyncio.ensure_future(self.platform(gateway, until))
            for gateway in self.fleet.gateways
        ]
        await asyncio.gather(*tasks)

    async def platform(self, gateway, until):
        """End a process that exceeds its memory, and start it again."""
        limit = gateway.settings["limits"]["memoryMb"]
        while time.monotonic() < until:
            await asyncio.sleep(CHECK_SECONDS)
            used = memory_mb(gateway.process.pid)
            most = max(used, self.most_by_machine.get(gateway.name, 0.0))
            self.most_by_machine[gateway.name] = most
            if used <= limit:
                continue
            gateway.process.kill()
            gateway.process.wait()
            what = f"{gateway.name} has {used:.0f} MB of {limit} and is killed"
            self.record(f"platform: {what}")
            await asyncio.sleep(RESTART_DELAY)
            gateway.start()

    async def client(self, gateway, number, until):
        """Send calls on a connection that is kept; connect again when it is closed."""
        while time.monotonic() < until:
            connection = await connect(gateway)
            if connection is None:
                await asyncio.sleep(0.2)
                continue
            served = 0
            while time.monotonic() < until:
                await asyncio.sleep(CALL_PAUSE)
                if not await self.call(gateway, number, served, *connection):
                    break
                served += 1
            connection[1].close()

    async def call(self, gateway, number, served, reader, writer):
        """Send a call; return whether its connection can be used again."""
        if reader.at_eof():
            return False
        self.calls += 1
        request_id = f"{self.calls:016x}"
        method, path = (("GET", "/status/1"), ("POST", "/notices/1"))[number % 2]
        headers = [f"X-Work-Ms: {WORK_MS}"]
        writer.write(request_bytes(method, path, request_id, CALL_DEADLINE_MS, headers))
        message = None
        try:
            async with asyncio.timeout(CALL_DEADLINE_MS / 1000):
                message = await read_message(reader)
        except TimeoutError:
            return False
        except (OSError, EOFError, ValueError):
            pass
        if message is not None:
            return message[1].get("connection") != "close"
        self.record(f"client has of {request_id} from {gateway.name}: no answer")
        passed_on = any(request_id in runner.runs for runner in self.sound)
        if served and passed_on:
            self.closed_by_machine.setdefault(gateway.name, []).append(request_id)
        return False

    async def prompt_clients(self, gateway, until):
        """Send prompts, each on a new connection."""
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(self.prompt(gateway)))
            await asyncio.sleep(PROMPT_EVERY)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def prompt(self, gateway):
        connection = await connect(gateway)
        if connection is None:
            return
        self.prompts += 1
        headers = [
            "Cranberrywick-Model: m",
            "Cranberrywick-Token-Count: 5000,300",
            "Cranberrywick-Prefix-Hash: 5c1e07a2:40,91bd3f06:4960",
            "X-Events: 15",
        ]
        request_id = f"{self.prompts + 2**32:016x}"
        reader, writer = connection
        data = request_bytes(
            "POST", "/prompts/1", request_id, PROMPT_DEADLINE_MS, headers, b"text"
        )
        writer.write(data)
        try:
            await read_message(reader)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()


async def connect(gateway):
    host, _, port = gateway.front.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            return await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return None


def memory_mb(process_id):
    """Return the memory that a process holds, 0 if it has ended."""
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return 0.0
    held = (int(line.split()[1]) for line in lines if line.startswith("VmRSS"))
    return next(held, 0) / 1000


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
    for machine, most in sorted(case.most_by_machine.items()):
        record(f"{machine} held up to {most:.0f} MB")
    closed = {m: len(ids) for m, ids in case.closed_by_machine.items()}
    broken = any(number > MOST_CLOSED for number in closed.values())
    summary = f"calls at sound runners closed without an answer: {closed or 'none'}"
    record(f"{summary}, of {case.calls}")
    record.write()
    print(f"{summary}, of {case.calls}; {case.most_by_machine}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

"""Gateways that are told to stop while they are short of processor time.

    python tests/busy_stops.py --rounds 3 --callers 160 --busy 5 --program .

All gateways share one core with processes that are busy in spells. Callers keep their
connections, go on using a gateway until it refuses to be connected to, and come back
`RETURN_SECONDS` after a refusal, whatever that says. The gateways are told to stop in
series or together, and killed at the end of the grace period. A request is lost if it
was sent whole and its connection ends without a whole answer, though an endpoint ran it
or its caller waited for over `LOSS_SECONDS`; unless its endpoint was at work on it in
the last sixth of the grace period, and it was sent early. ``--program`` is the root of
the source tree that the gateways run from.
"""

import asyncio
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from typing import NamedTuple

import click
from gateway_fleet import configuration, request_bytes, wait_for
from stop_series import SeriesFleet

from cranberrywick.standin.platform.endpoint import EndpointStandIn

GRACE_SECONDS = 8.0
# A request that nobody ran crosses the close, unless its caller waited for longer.
LOSS_SECONDS = 0.2
# A stream may be cut from this moment on, in seconds from the signal, if it was sent
# by `EARLY_SECONDS`.
CUT_SECONDS, EARLY_SECONDS = GRACE_SECONDS * 5 / 6, 3.0
# When callers send their next request, in seconds after an answer.
RETURN_SECONDS = 0.1
# For how long callers load the gateways before the first signal, and time between two
# signals, in seconds.
SERVED_SECONDS, GAP_SECONDS = 3.0, 1.5
# The longest spell in which a process is busy, and its longest pause, in seconds.
BUSY_SECONDS, PAUSE_SECONDS = 2.0, 0.5
WORK_SECONDS, EVENT_SECONDS, MOST_EVENTS = 0.06, 0.05, 60
SCENES = ("series", "together")
# Log lines that are shown of a gateway that was killed.
LAST_LINES = 8

BUSY_PROCESS = f"""
import random, time
rng = random.Random()
while True:
    until = time.monotonic() + rng.uniform(0.0, {BUSY_SECONDS})
    while time.monotonic() < until:
        pass
    time.sleep(rng.uniform(0.0, {PAUSE_SECONDS}))
"""


class Sent(NamedTuple):
    """A request and its answer; moments are those of the monotonic clock.

    ``status`` is 0 without a whole head.
    """

    request_id: str
    gateway: str
    sent_at: float
    ended_at: float
    status: int
    whole: bool


class Stop(NamedTuple):
    """A gateway was told to stop at ``at``, and ended with ``status``."""

    at: float
    ended_at: float
    status: int


class _Work(set):
    """The requests that an endpoint works on; ``ended_at`` is when each ended."""

    def __init__(self) -> None:
        super().__init__()
        self.ended_at: dict[str, float] = {}

    def discard(self, request_id: str) -> None:
        self.ended_at[request_id] = time.monotonic()
        super().discard(request_id)


class BusyFleet(SeriesFleet):
    """A fleet whose gateways share one core with busy processes."""

    core = 0

    def share_core(self) -> None:
        """Move the gateways, with all their threads, to the core."""
        for gateway in self.gateways:
            for thread in Path(f"/proc/{gateway.process.pid}/task").iterdir():
                os.sched_setaffinity(int(thread.name), {self.core})

    def add_endpoint(self, *arguments: object, **shape: object) -> EndpointStandIn:
        endpoint = super().add_endpoint(*arguments, **shape)
        endpoint.at_work = _Work()
        return endpoint

    @contextmanager
    def busy_processes(self, number: int) -> Iterator[None]:
        """Keep the gateways' core busy."""
        processes = [
            subprocess.Popen([sys.executable, "-c", BUSY_PROCESS])
            for _ in range(number)
        ]
        try:
            for process in processes:
                os.sched_setaffinity(process.pid, {self.core})
            yield
        finally:
            for process in processes:
                process.kill()
                process.wait()


class BusyCaller:
    """Sends calls and streams to one gateway after another."""

    def __init__(self, stops: "BusyStops", number: int, rng: random.Random):
        self._stops = stops
        self._rng = rng
        self._gateways = stops.fleet.gateways
        self._gateway = self._gateways[number % len(self._gateways)]
        self._connection: socket.socket | None = None

    async def run(self) -> None:
        """Send until all gateways are gone."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        while not self._stops.is_over:
            if self._connection is None and not await self._connect(loop):
                await asyncio.sleep(RETURN_SECONDS)
                continue
            await self._send(loop)
            await asyncio.sleep(RETURN_SECONDS * self._rng.uniform(0.5, 1.5))
        self._close()

    async def _connect(self, loop) -> bool:
        host, _, port = self._gateway.front.rpartition(":")
        self._connection = socket.socket()
        self._connection.setblocking(False)
        try:
            async with asyncio.timeout(1.0):
                await loop.sock_connect(self._connection, (host, int(port)))
        except (OSError, TimeoutError):
            self._close()
            self._gateway = self._rng.choice(self._gateways)
            return False
        return True

    async def _send(self, loop) -> None:
        if self._has_ended():
            self._close()
            return
        request_id = self._stops.new_id()
        try:
            await loop.sock_sendall(self._connection, self._request(request_id))
        except OSError:
            self._close()  # It was not sent whole.
            return
        sent_at = time.monotonic()
        status, whole, closes = await read_answer(loop, self._connection)
        self._stops.sent.append(
            Sent(
                request_id,
                self._gateway.name,
                sent_at,
                time.monotonic(),
                status,
                whole,
            )
        )
        if closes or not whole:
            self._close()

    def _request(self, request_id: str) -> bytes:
        headers = {"Cranberrywick-Deadline-Ms": "20000"}
        if self._rng.random() < 0.5:
            return request_bytes("POST", "/books/1", b"{}", headers, request_id)
        headers |= {
            "Cranberrywick-Model": "m",
            "Cranberrywick-Token-Count": "2000,400",
            "Cranberrywick-Prefix-Hash": f"{self._rng.getrandbits(32):08x}:2000",
            "X-Events": str(self._rng.randint(1, MOST_EVENTS)),
        }
        return request_bytes("POST", "/prompts/1", b"", headers, request_id)

    def _has_ended(self) -> bool:
        """Whether the gateway has closed the connection."""
        try:
            return self._connection.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def read_answer(loop, connection) -> tuple[int, bool, bool]:
    """Return an answer's status, whether it is whole, and whether it is the last."""
    data, status, closes = b"", 0, False
    try:
        while b"\r\n\r\n" not in data:
            part = await loop.sock_recv(connection, 65536)
            if not part:
                return 0, False, True
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        lines = head.lower().split(b"\r\n")
        closes = b"connection: close" in lines
        lengths = [x for x in lines if x.startswith(b"content-length:")]
        end = int(lengths[0].partition(b":")[2]) if lengths else None
        while not (body.endswith(b"0\r\n\r\n") if end is None else len(body) >= end):
            part = await loop.sock_recv(connection, 65536)
            if not part:
                return status, False, True
            body += part
    except OSError:
        return status, False, True
    return status, True, closes


class BusyStops:
    """One round: all gateways are stopped once."""

    def __init__(self, fleet: BusyFleet, scene: str, rng: random.Random):
        self.fleet, self._scene, self._rng = fleet, scene, rng
        self.sent: list[Sent] = []
        self.stops: dict[str, Stop] = {}
        self.is_over = False
        self._ids = count(1)

    def new_id(self) -> str:
        """Return a request id that was not used before."""
        return f"request-{next(self._ids)}"

    async def run(self, callers: int) -> None:
        """Let callers send while all gateways are stopped."""
        tasks = [
            asyncio.create_task(
                BusyCaller(self, number, random.Random(self._rng.random())).run()
            )
            for number in range(callers)
        ]
        await asyncio.sleep(SERVED_SECONDS)
        gap = 0.0 if self._scene == "together" else GAP_SECONDS
        numbers = range(len(self.fleet.gateways))
        await asyncio.gather(*(self._stop(n, n * gap) for n in numbers))
        self.is_over = True
        await asyncio.gather(*tasks)

    async def _stop(self, number: int, after: float) -> None:
        await asyncio.sleep(after)
        gateway = self.fleet.gateways[number]
        at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        while gateway.process.poll() is None:
            if time.monotonic() - at >= GRACE_SECONDS:
                gateway.process.kill()
            await asyncio.sleep(0.005)
        status = gateway.process.returncode
        self.stops[gateway.name] = Stop(at, time.monotonic(), status)

    def is_lost(self, sent: Sent) -> bool:
        """Whether a request had to be answered and was not."""
        waited = sent.ended_at - sent.sent_at
        runs = self.fleet.runs(sent.request_id)
        if sent.whole or not (runs or waited > LOSS_SECONDS):
            return False
        stop = self.stops[sent.gateway]
        ended_at = max(
            endpoint.at_work.ended_at.get(sent.request_id, 0.0)
            for endpoint in self.fleet.endpoints.values()
        )
        is_early = sent.sent_at - stop.at <= EARLY_SECONDS
        return not (runs and is_early and ended_at - stop.at >= CUT_SECONDS)

    @property
    def lost(self) -> list[Sent]:
        """The requests that were lost."""
        return [each for each in self.sent if self.is_lost(each)]

    @property
    def killed(self) -> int:
        """How many gateways did not end by themselves."""
        return sum(stop.status != 0 for stop in self.stops.values())

    def describe_killed(self) -> str:
        """Return when the gateways that were killed ended, and their last log lines."""
        lines = []
        for gateway in self.fleet.gateways:
            stop = self.stops[gateway.name]
            if stop.status != 0:
                seconds = stop.ended_at - stop.at
                lines.append(f"{gateway.name} {stop.status} after {seconds:.2f} s")
                lines += gateway.log.splitlines()[-LAST_LINES:]
        return "\n".join(lines)

    def describe(self, sent: Sent) -> str:
        """Return a line that tells what became of a lost request."""
        at = self.stops[sent.gateway].at
        return (
            f"{sent.request_id} {sent.gateway}: sent {sent.sent_at - at:.3f}, ended "
            f"{sent.ended_at - at:.3f} s after the signal, status {sent.status}, "
            f"runs {self.fleet.runs(sent.request_id)}"
        )

    def summary(self) -> str:
        """Return how many requests were served, refused and lost."""
        sent = [each for each in self.sent if each.sent_at > self._at(each)]
        refused = sum(each.status == 503 and each.whole for each in sent)
        served = sum(each.status == 200 and each.whole for each in sent)
        statuses = dict(sorted(Counter(each.status for each in sent).items()))
        ends = sorted(s.ended_at - s.at for s in self.stops.values())
        return (
            f"after the signals: sent {len(sent)}, served {served}, refused {refused}, "
            f"statuses {statuses}; lost {len(self.lost)} of {len(self.sent)}; killed "
            f"{self.killed}; ended after {', '.join(f'{end:.2f}' for end in ends)} s"
        )

    def _at(self, sent: Sent) -> float:
        return self.stops[sent.gateway].at


@contextmanager
def busy_stops(
    path: Path,
    callers: int,
    busy: int,
    gateways: int = 3,
    scene: str = "series",
    seed: int = 1,
    program: Path = Path(),
) -> Iterator[BusyStops]:
    """Run one round of a scene; the fleet exists until the end of the block."""
    cores = os.sched_getaffinity(0)
    core = idlest_core(cores)
    # Callers and endpoints are in time.
    os.sched_setaffinity(0, cores - {core} or cores)
    fleet = BusyFleet(path)
    fleet.program, fleet.core = program.resolve(), core
    try:
        fleet.configure(slow_configuration())
        for number in range(8):
            fleet.add_endpoint(f"desk-{number}", "desk", work_seconds=WORK_SECONDS)
        for number in range(4):
            fleet.add_endpoint(
                f"engine-{number}",
                "pool",
                work_seconds=WORK_SECONDS,
                event_seconds=EVENT_SECONDS,
            )
        for number in range(gateways):
            fleet.start_gateway(f"gateway-{number}", wait=False)
        for gateway in fleet.gateways:
            fleet.wait_ready(gateway)
        wait_for(
            lambda: all(len(fleet.addresses(g)) == gateways for g in fleet.gateways),
            "the gateways to know one another",
        )
        fleet.share_core()
        stops = BusyStops(fleet, scene, random.Random(seed))
        with fleet.busy_processes(busy):
            asyncio.run(stops.run(callers))
        yield stops
    finally:
        fleet.close()
        os.sched_setaffinity(0, cores)


def idlest_core(cores: set[int]) -> int:
    """Return the core that other processes need least."""

    def idle_ticks() -> dict[int, int]:
        rows = [line.split() for line in Path("/proc/stat").read_text().splitlines()]
        names = {f"cpu{core}": core for core in cores}
        return {names[row[0]]: int(row[4]) for row in rows if row[0] in names}

    before = idle_ticks()
    time.sleep(0.5)
    after = idle_ticks()
    return max(cores, key=lambda core: after[core] - before[core])


def slow_configuration() -> dict:
    """Return a configuration whose routes leave requests enough time."""
    fields = configuration()
    fields["routes"] = [{**each, "timeoutMs": 20_000} for each in fields["routes"]]
    fields["limits"] = {**fields["limits"], "idleTimeoutMs": 15_000}
    return fields


@click.command()
@click.option("--callers", default=160, show_default=True)
@click.option("--busy", default=5, show_default=True, help="Number of busy processes.")
@click.option("--gateways", default=3, show_default=True)
@click.option("--scene", type=click.Choice(SCENES), default="series")
@click.option("--rounds", default=3, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--program", type=click.Path(path_type=Path), default=Path())
def main(callers, busy, gateways, scene, rounds, seed, program) -> None:
    """Run a scene; exits with 1 if a request was lost or a gateway killed."""
    failed = False
    for number in range(rounds):
        with (
            tempfile.TemporaryDirectory() as path,
            busy_stops(
                Path(path), callers, busy, gateways, scene, seed + number, program
            ) as stops,
        ):
            for sent in stops.lost:
                click.echo(f"lost: {stops.describe(sent)}")
            click.echo(f"{scene} seed {seed + number}: {stops.summary()}")
            if stops.killed:
                click.echo(stops.describe_killed())
            for gateway in stops.fleet.gateways:
                for line in gateway.log.splitlines():
                    if re.search("event=(intake_ended|gateway_stopped)", line):
                        click.echo(line)
            failed |= bool(stops.lost or stops.killed)
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()

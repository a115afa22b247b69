"""A randomized soak test: real gateways under faults, checked against guarantees.

    python tests/gateway_soak.py --seeds 50 --seconds 20

Each seed starts three gateways, or as many as ``--gateways`` says, as processes, with
a proxy in front of each endpoint. Callers send requests continuously while faults
follow one another and overlap: processes are killed, stopped, paused and restarted;
connections are delayed, blocked in one or both directions, or reset; the store refuses
gateways; endpoints fail or name rate limits; operators change the configuration. The
answers that callers received are compared with what the endpoints ran:

- a request that must not run twice ran at most once;
- a request that was refused as not run has not run, and does not run later;
- a successful answer is complete and belongs to its request;
- an endpoint that names a rate limit gets no more requests from all gateways together
  than it allows.
"""

import asyncio
import random
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import click
from gateway_fleet import (
    PROMPT_HEADERS,
    Answer,
    Fleet,
    configuration,
    running_gateways,
    wait_for,
)

STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 9))
# Statuses that mean that a request has not run and will not run later.
NOT_RUN_STATUSES = (408, 421, 429, 503)
CALLERS = 6
# About the mean interval between two faults, in seconds.
FAULT_GAP_SECONDS = 0.5
# Longest duration of a fault, in seconds; rate limits last for `LIMIT_SECONDS`.
LONGEST_FAULT_SECONDS = 3.0
# Within this time after the last fault all gateways must serve again, in seconds.
RECOVERY_SECONDS = 20.0
# Rates that endpoints name, in requests per second.
LIMITS = (0.5, 1.0, 3.0)
# How long an endpoint names a rate limit, in seconds.
LIMIT_SECONDS = 8.0
# Length of the window in which an endpoint's requests are counted, in seconds.
LIMIT_WINDOW_SECONDS = 4.0
# Time from the first answer that names a limit until it is checked, in seconds.
LIMIT_BINDS_SECONDS = 3.0
BEHAVIOURS = ("failing", "full", "reset", "hang", "twice", "other", "short", "cut")


class Proxy:
    """Forwards the bytes of connections to an endpoint, with the fault of its mode.

    ``delay`` delays each piece by 0.05 s, ``silent`` forwards nothing, ``one_way``
    forwards nothing from the endpoint, and ``reset`` closes the open connections.
    """

    MODES = ("delay", "silent", "one_way", "reset")

    def __init__(self, target: str):
        self._target = target
        self.mode = "open"
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        if mode == "reset":
            for writer in self._writers:
                writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            upstream, onward = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, onward}
        try:
            ways = (
                self._pass(reader, onward, "silent"),
                self._pass(upstream, writer, "one_way"),
            )
            await asyncio.gather(*ways)
        finally:
            self._writers -= {writer, onward}
            writer.close()
            onward.close()

    async def _pass(self, reader, writer, blocked_by: str) -> None:
        while True:
            try:
                data = await reader.read(65536)
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                while self.mode in ("silent", blocked_by):
                    await asyncio.sleep(0.05)
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
            except OSError:
                writer.transport.abort()
                return


class Call(NamedTuple):
    """One request of a caller and its answer, None if there was none."""

    request_id: str
    kind: str
    answer: Answer | None


class Limit(NamedTuple):
    """A rate, in requests per second, that an endpoint named, and from when to when."""

    endpoint_id: str
    rate: float
    named_at: float
    ended_at: float


class Soak:
    """The run of one seed."""

    def __init__(self, fleet: Fleet, seed: int):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.calls: list[Call] = []
        self.proxies: dict[str, Proxy] = {}
        self._stopping = threading.Event()
        self._undo: list[tuple[float, Callable[[], None]]] = []
        self._version = 100
        self.faults: list[str] = []
        self.limits: list[Limit] = []
        # Ids of the processes that the soak has killed or stopped, and names of
        # the gateways whose process ended without that.
        self._ended_by_soak: set[int] = set()
        self._ended_by_themselves: list[str] = []

    def prepare(self) -> None:
        """Start a proxy for each endpoint and register its address."""
        for endpoint_id, endpoint in self.fleet.endpoints.items():
            proxy = Proxy(endpoint.address)
            self.fleet.await_on_loop(proxy.start())
            self.proxies[endpoint_id] = proxy
            self.register(endpoint_id)

    def register(self, endpoint_id: str, **fields: object) -> None:
        service = "desk" if endpoint_id.startswith("desk") else "pool"
        address = self.proxies[endpoint_id].address
        self.fleet.register(endpoint_id, service, address=address, **fields)

    def run(self, seconds: float) -> None:
        """Send requests and cause faults for ``seconds``, then wait for recovery.

        Fails if not all gateways serve again within `RECOVERY_SECONDS` after the last
        fault was undone.
        """
        callers = [
            threading.Thread(target=self._send_requests, args=(random.Random(number),))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self.rng.uniform(0.1, 2 * FAULT_GAP_SECONDS))
            self._undo_due(time.monotonic())
            self._cause_fault()
        self._undo_due(float("inf"))
        self._stopping.set()
        for caller in callers:
            caller.join()
        deadline = time.monotonic() + RECOVERY_SECONDS
        for number, gateway in enumerate(list(self.fleet.gateways)):
            wait_for(lambda n=number: self._serves_again(n), f"{gateway.name} to serve")
        assert time.monotonic() < deadline, "it took too long to serve again"

    def check(self) -> list[str]:
        """Return a line for each guarantee that was broken."""
        broken = [f"{name} ended by itself" for name in self._ended_by_themselves]
        broken += filter(None, map(self._excess, self.limits))
        for call in self.calls:
            runs = self.fleet.runs(call.request_id)
            if call.kind == "books" and runs > 1:
                broken.append(f"{call.request_id} ran {runs} times")
            answer = call.answer
            if answer is None or not answer.status:
                continue
            if call.kind == "books" and answer.status in NOT_RUN_STATUSES and runs:
                broken.append(f"{call.request_id}: {answer.status}, but it ran")
            if answer.status == 200 and not self._is_own(call, answer):
                broken.append(f"{call.request_id}: {answer.body[:60]!r}")
        return broken

    def _excess(self, limit: Limit) -> str:
        """Return a line about an endpoint that got too many requests, else empty."""
        times = [
            at
            for at in self.fleet.endpoints[limit.endpoint_id].arrived_at
            if limit.named_at + LIMIT_BINDS_SECONDS <= at < limit.ended_at
        ]
        most = max(
            sum(first <= at < first + LIMIT_WINDOW_SECONDS for at in times)
            for first in times or [0.0]
        )
        allowed = 1.5 * limit.rate * LIMIT_WINDOW_SECONDS + 5
        if most <= allowed:
            return ""
        return f"{limit.endpoint_id}: {most} requests at {limit.rate} a second"

    def _is_own(self, call: Call, answer: Answer) -> bool:
        if call.kind == "prompts":
            whole = answer.body == STREAM
            return whole if answer.whole else STREAM.startswith(answer.body)
        expected = f"answer to {call.request_id}".encode()
        return answer.body == expected if answer.whole else True

    def _send_requests(self, rng: random.Random) -> None:
        while not self._stopping.is_set():
            kind = rng.choice(("reads", "books", "prompts"))
            headers = dict(PROMPT_HEADERS) if kind == "prompts" else {}
            headers["Cranberrywick-Deadline-Ms"] = "2000"
            request_id = self.fleet.new_id()
            gateway = rng.choice(self.fleet.gateways)
            method = "GET" if kind == "reads" else "POST"
            try:
                answer = self.fleet.call(
                    gateway, method, f"/{kind}/1", b"", headers, request_id, 6.0
                )
            except (OSError, ValueError, IndexError):
                answer = None  # No connection, or it ended within the head.
            self.calls.append(Call(request_id, kind, answer))
            time.sleep(rng.uniform(0.0, 0.05))

    def _serves_again(self, number: int) -> bool:
        # A gateway that got SIGTERM may end only now, after the last fault.
        self._restart_dead()
        return self._serves(self.fleet.gateways[number])

    def _serves(self, gateway) -> bool:
        try:
            return self.fleet.call(gateway, "GET", "/reads/1").status == 200
        except (OSError, ValueError, IndexError):
            return False

    def _cause_fault(self) -> None:
        fault_methods = (
            self._kill,
            self._stop,
            self._pause,
            self._fail_link,
            self._fail_store,
            self._fail_endpoint,
            self._limit_endpoint,
            self._drain,
            self._reconfigure,
            self._take_out,
        )
        cause_fault = self.rng.choice(fault_methods)
        self.faults.append(cause_fault.__name__)
        cause_fault()

    def _undo_later(self, undo: Callable[[], None]) -> None:
        lasts = self.rng.uniform(0.3, LONGEST_FAULT_SECONDS)
        self._undo.append((time.monotonic() + lasts, undo))

    def _undo_due(self, now: float) -> None:
        for entry in sorted(self._undo, key=lambda each: each[0]):
            if entry[0] <= now:
                self._undo.remove(entry)
                entry[1]()

    def _kill(self) -> None:
        gateway = self.rng.choice(self.fleet.gateways)
        self._ended_by_soak.add(gateway.process.pid)
        gateway.process.kill()
        gateway.process.wait()
        self._undo_later(self._restart_dead)

    def _stop(self) -> None:
        process = self.rng.choice(self.fleet.gateways).process
        self._ended_by_soak.add(process.pid)
        process.send_signal(signal.SIGTERM)
        self._undo_later(self._restart_dead)

    def _pause(self) -> None:
        process = self.rng.choice(self.fleet.gateways).process
        process.send_signal(signal.SIGSTOP)
        self._undo_later(lambda: process.send_signal(signal.SIGCONT))

    def _restart_dead(self) -> None:
        for number, gateway in enumerate(self.fleet.gateways):
            if gateway.process.poll() is not None:
                if gateway.process.pid not in self._ended_by_soak:
                    self._ended_by_themselves.append(gateway.name)
                self.fleet.gateways[number] = self.fleet.restart(gateway)

    def _fail_link(self) -> None:
        proxy = self.rng.choice(list(self.proxies.values()))
        self.fleet.on_loop(proxy.set_mode, self.rng.choice(Proxy.MODES))
        self._undo_later(lambda: self.fleet.on_loop(proxy.set_mode, "open"))

    def _fail_store(self) -> None:
        doors = self.fleet.store.modes_by_listener
        name = self.rng.choice(list(doors))
        doors[name] = self.rng.choice(("busy", "many", "silent", "reset", "lost"))
        self._undo_later(lambda: doors.update({name: "open"}))

    def _fail_endpoint(self) -> None:
        endpoint = self.rng.choice(list(self.fleet.endpoints.values()))
        endpoint.behaviour = self.rng.choice(BEHAVIOURS)

        def recover() -> None:
            endpoint.behaviour = "well"

        self._undo_later(recover)

    def _limit_endpoint(self) -> None:
        endpoint = self.rng.choice(list(self.fleet.endpoints.values()))
        rate = self.rng.choice(LIMITS)
        if endpoint.rate_limit is not None:
            return
        endpoint.rate_limit, endpoint.limit_named_at = rate, None

        def end() -> None:
            endpoint.rate_limit = None
            if endpoint.limit_named_at is not None:
                now = self.fleet.on_loop(self.fleet.loop.time)
                limit = Limit(endpoint.endpoint_id, rate, endpoint.limit_named_at, now)
                self.limits.append(limit)

        self._undo.append((time.monotonic() + LIMIT_SECONDS, end))

    def _drain(self) -> None:
        endpoint_id = self.rng.choice(list(self.fleet.endpoints))
        self.register(endpoint_id, state="draining")
        self._undo_later(lambda: self.register(endpoint_id))

    def _reconfigure(self) -> None:
        self._version += self.rng.randint(1, 5)
        self.fleet.configure(configuration(self._version))

    def _take_out(self) -> None:
        store = self.fleet.store
        self.fleet.on_loop(store.put_json, "op/evacuate/b", {})
        self._undo_later(lambda: self.fleet.on_loop(store.remove, "op/evacuate/b"))


def run_seed(seed: int, seconds: float, gateways: int = 3) -> tuple[Soak, list[str]]:
    """Run one seed; return the run and the guarantees that were broken."""
    path = Path(tempfile.mkdtemp(prefix="soak-"))
    with running_gateways(path, gateways=gateways) as fleet:
        soak = Soak(fleet, seed)
        soak.prepare()
        soak.run(seconds)
        return soak, soak.check()


@click.command()
@click.option("--seeds", default=5, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--gateways", default=3, show_default=True)
def main(seeds: int, first: int, seconds: float, gateways: int) -> None:
    """Run seeds one after the other; exit 1 if a guarantee was broken."""
    failed = 0
    for seed in range(first, first + seeds):
        soak, broken = run_seed(seed, seconds, gateways)
        answered = sum(bool(c.answer and c.answer.status) for c in soak.calls)
        click.echo(
            f"seed {seed}: {len(soak.calls)} calls, {answered} answered, "
            f"{len(soak.faults)} faults, {len(broken)} promises broken"
        )
        for line in broken:
            click.echo(f"  {line}")
        failed += bool(broken)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

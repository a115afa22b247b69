"""A randomized soak test: real gateways under faults, checked against guarantees.

    python tests/gateway_soak.py --seeds 50 --seconds 20

Each seed starts three gateways, or as many as ``--gateways`` says, as processes, with
a proxy in front of each endpoint. Callers send requests continuously while faults
follow one another and overlap: processes are killed, stopped, paused and restarted;
connections are delayed, blocked in one or both directions, or reset; the store refuses
gateways or comes back from an older copy; gateways lose their links to all endpoints,
one, some or all of them; endpoints fail, name rate limits, announce
draining and start again, or ask for time; operators change the configuration. Some
callers ask for long answers and pause before they read them. The answers that callers
received are compared with what the endpoints received and ran:

- a request that must not run twice ran at most once;
- a request that was refused as not run has not run, and does not run later;
- a successful answer is complete and belongs to its request;
- an endpoint that names a rate limit gets no more requests from all gateways together
  than it allows;
- an endpoint that announces draining gets none of the requests that callers send later
  than the bound to gateways that have passed the announcement on;
- an endpoint whose record says that it is draining gets no requests later than the
  bound from gateways that are undisturbed, also if the store has forgotten it;
- an endpoint that asks a gateway for a time without requests gets two at most in it;
- once all callers have left, no gateway holds bytes for them.
"""

import random
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import click
from cut_fleet import MODES, CutFleet
from endpoint_promises import Disturbance, TimedCall
from fault_proxy import Proxy
from gateway_fleet import (
    PROMPT_HEADERS,
    Answer,
    Gateway,
    configuration,
    read_answer,
    request_bytes,
    running_gateways,
    wait_for,
)
from soak_promises import Drain, Limit, SoakRecord
from soak_store import RecordedDrain, SoakStore

CALLERS = 6
# Share of the requests whose caller pauses before it reads, how long at most, in
# seconds, and by how many bytes the answer or each of its events is longer. The
# caller's receive buffer is small, so that the gateway holds the answer meanwhile.
SLOW_SHARE = 0.2
LONGEST_READ_PAUSE_SECONDS = 3.5
SLOW_PADDING_BYTES = 20_000
SLOW_BUFFER_BYTES = 4096
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
# Share of the faults after which an endpoint announces draining or asks for time.
STATEMENT_SHARE = 0.3
# Values of Retry-After with which endpoints ask for a time without requests.
RETRY_AFTERS = ("0.3", "1", "2.5", "4", "4", "6", "-1", "soon", "1e999")
MOST_REFUSALS = 3
# Share of the faults after which the store comes back from an older copy, and the
# longest time until what it lost is written again, in seconds.
RETURN_SHARE = 0.12
# Share of the faults after which gateways lose their links to endpoints, and for how
# long at most, in seconds.
CUT_SHARE = 0.2
LONGEST_CUT_SECONDS = 5.0
LONGEST_FORGOTTEN_SECONDS = 2.0
# How long an endpoint announces draining before it starts again, in seconds.
LONGEST_DRAIN_SECONDS = 6.0
# Least time between the start of an endpoint and its next announcement, in seconds. A
# gateway that has not read the new start yet takes the announcement for the former's.
MIN_LIFE_SECONDS = LONGEST_FAULT_SECONDS + 2.0
BEHAVIOURS = ("failing", "full", "reset", "hang", "twice", "other", "short", "cut")


class SoakFleet(CutFleet):
    """A fleet whose gateways limit what they hold for slow callers."""

    settings = {"contracts": ["pressure"], "limits": {"memoryMb": 200}}


class Soak:
    """The run of one seed."""

    def __init__(self, fleet: CutFleet, seed: int):
        self.fleet = fleet
        self.rng = random.Random(seed)
        # Apart from the faults', so that a seed's faults stay the same.
        self._statement_rng = random.Random(f"statements {seed}")
        self._return_rng = random.Random(f"returns {seed}")
        self._cut_rng = random.Random(f"cuts {seed}")
        self._store = SoakStore(fleet, self._return_rng)
        self.record = SoakRecord()
        self.proxies: dict[str, Proxy] = {}
        self._stopping = threading.Event()
        self._undo: list[tuple[float, Callable[[], None]]] = []
        self._version = 100
        self.faults: list[str] = []
        self._born_by_id = dict.fromkeys(fleet.endpoints, 1)
        # When endpoints began to announce draining, and when their records did.
        self._announced_at_by_id: dict[str, float] = {}
        self._drained_at_by_id: dict[str, float] = {}
        self._started_at_by_id = dict.fromkeys(fleet.endpoints, float("-inf"))
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
        born = self._born_by_id[endpoint_id]
        self.fleet.register(endpoint_id, service, address=address, born=born, **fields)

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
            self._make_statement()
            self._return_store()
            self._cut_gateways()
        self._undo_due(float("inf"))
        self._stopping.set()
        for caller in callers:
            caller.join()
        deadline = time.monotonic() + RECOVERY_SECONDS
        for number, gateway in enumerate(list(self.fleet.gateways)):
            wait_for(lambda n=number: self._serves_again(n), f"{gateway.name} to serve")
            wait_for(lambda g=gateway: g.held_bytes == 0, f"{gateway.name} to be empty")
        assert time.monotonic() < deadline, "it took too long to serve again"

    def check(self) -> list[str]:
        """Return a line for each guarantee that was broken."""
        broken = [f"{name} ended by itself" for name in self._ended_by_themselves]
        return broken + self.record.broken_promises(self.fleet)

    def _send_requests(self, rng: random.Random) -> None:
        while not self._stopping.is_set():
            kind = rng.choice(("reads", "books", "prompts"))
            headers = dict(PROMPT_HEADERS) if kind == "prompts" else {}
            headers["Cranberrywick-Deadline-Ms"] = "2000"
            request_id = self.fleet.new_id()
            target = f"/{kind}/1"
            sent_at = self.fleet.loop.time()
            gateway = rng.choice(self.fleet.gateways)
            method = "GET" if kind == "reads" else "POST"
            try:
                pause = None
                if rng.random() < SLOW_SHARE:
                    pause = rng.uniform(0.0, LONGEST_READ_PAUSE_SECONDS)
                answer = self._call(gateway, method, target, headers, request_id, pause)
            except (OSError, ValueError, IndexError):
                answer = None  # No connection, or it ended within the head.
            answered_at = self.fleet.loop.time()
            self.record.calls.append(
                TimedCall(
                    gateway.name, request_id, target, sent_at, answer, answered_at
                )
            )
            time.sleep(rng.uniform(0.0, 0.05))

    def _call(
        self,
        gateway: Gateway,
        method: str,
        target: str,
        headers: dict[str, str],
        request_id: str,
        pause: float | None,
    ) -> Answer:
        """Send a request and return the answer, read after ``pause`` seconds if set."""
        if pause is None:
            return self.fleet.call(
                gateway, method, target, b"", headers, request_id, 6.0
            )
        headers["X-Padding"] = str(SLOW_PADDING_BYTES)
        with self.fleet.connect(gateway, SLOW_BUFFER_BYTES) as connection:
            connection.sendall(request_bytes(method, target, b"", headers, request_id))
            time.sleep(pause)
            connection.settimeout(6.0)
            answer = read_answer(connection)
        # No other part of an answer has a dot.
        return answer._replace(body=answer.body.replace(b".", b""))

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

    def _make_statement(self) -> None:
        """Let an endpoint announce draining or ask for time, at random."""
        rng = self._statement_rng
        if rng.random() < STATEMENT_SHARE:
            rng.choice((self._announce_draining, self._request_backoffs))()

    def _return_store(self) -> None:
        """Put the store back to an older copy, at random; save one otherwise."""
        rng = self._return_rng
        if rng.random() >= RETURN_SHARE or not self._store.has_copies:
            self._store.save()
            return
        begun_at = self.fleet.loop.time()
        self._store.go_back()

        def write_again() -> None:
            self._store.write_again()
            now = self.fleet.loop.time()
            self.record.disturbances.append(Disturbance("store", begun_at, now))

        lasts = rng.uniform(0.0, LONGEST_FORGOTTEN_SECONDS)
        self._undo.append((time.monotonic() + lasts, write_again))

    def _cut_gateways(self) -> None:
        """Cut one gateway, some or all from the endpoints of a service, or from all."""
        rng = self._cut_rng
        if rng.random() >= CUT_SHARE:
            return
        number = rng.choice((1, 1, 2, len(self.fleet.gateways)))
        mode = rng.choice(MODES)
        services = rng.choice((("desk", "engine"), ("desk", "engine"), ("desk",)))
        endpoint_ids = [e for e in self.fleet.endpoints if e.startswith(services)]
        lasts_until = time.monotonic() + rng.uniform(0.3, LONGEST_CUT_SECONDS)
        self.faults.append(f"cut {mode}")
        for gateway in rng.sample(self.fleet.gateways, number):
            self.fleet.cut(gateway, mode, endpoint_ids)

            def restore(gateway: Gateway = gateway) -> None:
                self.fleet.restore(gateway)

            self._undo.append((lasts_until, restore))

    def _undo_later(self, undo: Callable[[], None]) -> None:
        lasts = self.rng.uniform(0.3, LONGEST_FAULT_SECONDS)
        self._undo.append((time.monotonic() + lasts, undo))

    def _disturb_later(self, name: str, begun_at: float) -> None:
        """Record at the end of the fault, undone last, that it disturbed ``name``."""

        def record() -> None:
            now = self.fleet.loop.time()
            self.record.disturbances.append(Disturbance(name, begun_at, now))

        lasts_until = self._undo[-1][0]
        self._undo.append((lasts_until, record))

    def _undo_due(self, now: float) -> None:
        for entry in sorted(self._undo, key=lambda each: each[0]):
            if entry[0] <= now:
                self._undo.remove(entry)
                entry[1]()

    def _kill(self) -> None:
        gateway = self.rng.choice(self.fleet.gateways)
        self._ended_by_soak.add(gateway.process.pid)
        begun_at = self.fleet.loop.time()
        gateway.process.kill()
        gateway.process.wait()
        self._undo_later(self._restart_dead)
        self._disturb_later(gateway.name, begun_at)

    def _stop(self) -> None:
        gateway = self.rng.choice(self.fleet.gateways)
        self._ended_by_soak.add(gateway.process.pid)
        begun_at = self.fleet.loop.time()
        gateway.process.send_signal(signal.SIGTERM)
        self._undo_later(self._restart_dead)
        self._disturb_later(gateway.name, begun_at)

    def _pause(self) -> None:
        gateway = self.rng.choice(self.fleet.gateways)
        begun_at = self.fleet.loop.time()
        gateway.process.send_signal(signal.SIGSTOP)
        self._undo_later(lambda: gateway.process.send_signal(signal.SIGCONT))
        self._disturb_later(gateway.name, begun_at)

    def _restart_dead(self) -> None:
        for number, gateway in enumerate(self.fleet.gateways):
            if gateway.process.poll() is not None:
                if gateway.process.pid not in self._ended_by_soak:
                    self._ended_by_themselves.append(gateway.name)
                self.fleet.gateways[number] = self.fleet.restart(gateway)
                now = self.fleet.loop.time()
                self.record.disturbances.append(Disturbance(gateway.name, now, now))

    def _fail_link(self) -> None:
        endpoint_id, proxy = self.rng.choice(list(self.proxies.items()))
        begun_at = self.fleet.loop.time()
        self.fleet.on_loop(proxy.set_mode, self.rng.choice(Proxy.MODES))
        self._undo_later(lambda: self.fleet.on_loop(proxy.set_mode, "open"))
        self._disturb_later(endpoint_id, begun_at)

    def _fail_store(self) -> None:
        doors = self.fleet.store.modes_by_listener
        name = self.rng.choice(list(doors))
        begun_at = self.fleet.loop.time()
        doors[name] = self.rng.choice(("busy", "many", "silent", "reset", "lost"))
        self._undo_later(lambda: doors.update({name: "open"}))
        self._disturb_later(name, begun_at)

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
                self.record.limits.append(limit)

        self._undo.append((time.monotonic() + LIMIT_SECONDS, end))

    def _announce_draining(self) -> None:
        endpoint_id = self._statement_rng.choice(list(self.fleet.endpoints))
        endpoint = self.fleet.endpoints[endpoint_id]
        now = self.fleet.loop.time()
        lived = now - self._started_at_by_id[endpoint_id]
        if endpoint.draining or lived < MIN_LIFE_SECONDS:
            return
        endpoint.draining = True
        self._announced_at_by_id[endpoint_id] = now

        def start_again() -> None:
            # Unless it has started again for another reason.
            if self._announced_at_by_id.get(endpoint_id) == now:
                self._start_again(endpoint_id)

        lasts = self._statement_rng.uniform(2.0, LONGEST_DRAIN_SECONDS)
        self._undo.append((time.monotonic() + lasts, start_again))

    def _start_again(self, endpoint_id: str) -> None:
        """Register an endpoint as one that has just started."""
        now = self.fleet.loop.time()
        self.fleet.endpoints[endpoint_id].draining = False
        announced_at = self._announced_at_by_id.pop(endpoint_id, None)
        if announced_at is not None:
            self.record.drains.append(Drain(endpoint_id, announced_at, now))
        drained_at = self._drained_at_by_id.pop(endpoint_id, None)
        if drained_at is not None:
            drain = RecordedDrain(endpoint_id, drained_at, now)
            self.record.recorded_drains.append(drain)
        self._born_by_id[endpoint_id] += 1
        self._started_at_by_id[endpoint_id] = now
        self.register(endpoint_id)

    def _request_backoffs(self) -> None:
        endpoint = self._statement_rng.choice(list(self.fleet.endpoints.values()))
        refusals = self._statement_rng.randint(1, MOST_REFUSALS)
        endpoint.retry_afters += self._statement_rng.choices(RETRY_AFTERS, k=refusals)

    def _drain(self) -> None:
        endpoint_id = self.rng.choice(list(self.fleet.endpoints))
        self.register(endpoint_id, state="draining")
        self._drained_at_by_id.setdefault(endpoint_id, self.fleet.loop.time())
        self._undo_later(lambda: self._start_again(endpoint_id))

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
    with running_gateways(path, gateways, SoakFleet) as fleet:
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
        answered = sum(bool(c.answer and c.answer.status) for c in soak.record.calls)
        click.echo(
            f"seed {seed}: {len(soak.record.calls)} calls, {answered} answered, "
            f"{len(soak.faults)} faults, {len(broken)} promises broken"
        )
        for line in broken:
            click.echo(f"  {line}")
        failed += bool(broken)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

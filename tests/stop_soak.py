"""Random stops of gateways under random load, checked against what callers receive.

    python tests/stop_soak.py --seeds 50 --first 100

Each seed starts gateways with few slots behind them, and tells some or all of them to
stop while requests arrive, wait and run. Signals are repeated, gateways freeze, the
store falls silent, a failure domain is taken out and the configuration changes around
it. Callers use new connections, kept ones, pipelines and slow bodies. Checked are:

- a request that a gateway has read is answered before the gateway ends;
- a stream that was sent after the signal is whole, or refused before it runs, unless
  its gateway was frozen meanwhile;
- another answer that has begun is cut only at the end of the grace period, or at its
  deadline;
- a request that was refused as not run has not run, and no unsafe one ran twice;
- each gateway ends by itself within its grace period, or is killed at its end if it
  saw its signal so late that its streams may not have been cut before.
"""

import random
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGINT, SIGSTOP, SIGTERM
from typing import NamedTuple

import click
from gateway_fleet import Answer, Gateway, read_answer, request_bytes
from soak_promises import NOT_RUN_STATUSES
from stop_stalls import may_be_killed, wait_or_kill
from stopping_fleet import (
    GRACE_SECONDS,
    WAITING_PROMPT,
    StoppingFleet,
    running_stopping_fleet,
)

# When requests are sent, in seconds from the first signal.
FIRST_SECONDS, LAST_SECONDS = -1.5, 7.5
# Requests sent so shortly before the end of a gateway, in seconds, cross its close.
CROSSING_SECONDS = 0.5
# Answers that have begun are cut this long before the end of the grace period at the
# earliest, in seconds.
CUT_SECONDS = 0.7
# The deadline of each request, in seconds. Few wait as long at gateways that go on.
DEADLINE_SECONDS = 25.0


class Sent(NamedTuple):
    """A request, when its first and its last byte were sent, and its answer's end."""

    gateway: str
    kind: str
    request_id: str
    begun_at: float
    sent_at: float
    answer: Answer
    ended_at: float


class StopSoak:
    """One run; `run` returns a line for each guarantee that was broken."""

    def __init__(self, seed: int, fleet: StoppingFleet):
        self._rng = random.Random(seed)
        self._fleet = fleet
        self._sent: list[Sent] = []
        self._signalled_at: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}
        # When gateways went on after they had been frozen.
        self._woken_at: dict[str, float] = {}
        # When gateways went on that had been frozen at their signals.
        self._seen_at: dict[str, float] = {}
        self._threads: list[threading.Thread] = []
        self._began = 0.0

    def run(self) -> list[str]:
        """Send the requests, stop the gateways and compare."""
        rng, fleet = self._rng, self._fleet
        for endpoint_id, endpoint in fleet.endpoints.items():
            is_engine = endpoint_id.startswith("engine")
            endpoint.work_seconds = rng.uniform(0.02, 2.0)
            endpoint.event_seconds = rng.uniform(0.01, 0.5) if is_engine else 0.01
        self._began = time.monotonic() - FIRST_SECONDS
        for _ in range(rng.randint(20, 120)):
            self._start(
                rng.uniform(FIRST_SECONDS, LAST_SECONDS),
                rng.choice((self._new, self._new, self._kept, self._slow_body)),
                rng.choice(fleet.gateways),
                random.Random(rng.random()),
            )
        stopping = rng.sample(fleet.gateways, rng.randint(1, len(fleet.gateways)))
        for gateway in stopping:
            at = rng.choice((0.0, 0.0, rng.uniform(0.0, 2.0)))
            self._start(at, self._stop, gateway, random.Random(rng.random()))
        for fault in (self._silence_store, self._take_domain_out, self._reconfigure):
            if rng.random() < 0.5:
                self._start(rng.uniform(-1.0, 6.0), fault)
        for thread in self._threads:
            thread.join()
        return self._broken(stopping)

    def _start(self, at: float, action: Callable, *arguments: object) -> None:
        def run():
            time.sleep(max(0.0, self._began + at - time.monotonic()))
            action(*arguments)

        self._threads.append(threading.Thread(target=run, daemon=True))
        self._threads[-1].start()

    def _stop(self, gateway: Gateway, rng: random.Random) -> None:
        frozen_first = rng.random() < 0.15
        if frozen_first:
            self._fleet.stop(gateway, SIGSTOP)
            time.sleep(0.1)
        first = rng.choice((SIGTERM, SIGINT))
        self._signalled_at[gateway.name] = self._fleet.stop(gateway, first)
        if frozen_first:
            time.sleep(rng.uniform(0.7, 3.0))
            self._woken_at[gateway.name] = self._fleet.stop(gateway, SIGCONT)
            self._seen_at[gateway.name] = self._woken_at[gateway.name]
        for number in rng.choices((SIGTERM, SIGINT, SIGHUP), k=rng.randint(0, 3)):
            time.sleep(rng.uniform(0.0, 1.0))
            gateway.process.send_signal(number)
        if rng.random() < 0.3:
            time.sleep(rng.uniform(0.0, 1.0))
            gateway.process.send_signal(SIGSTOP)
            time.sleep(rng.uniform(0.2, 2.0))
            self._woken_at[gateway.name] = self._fleet.stop(gateway, SIGCONT)
        killed_at = self._signalled_at[gateway.name] + GRACE_SECONDS
        self._ended_at[gateway.name] = wait_or_kill(gateway, killed_at)

    def _silence_store(self) -> None:
        for gateway in self._fleet.gateways:
            self._fleet.store.modes_by_listener[gateway.name] = "silent"

    def _take_domain_out(self) -> None:
        self._fleet.on_loop(self._fleet.store.put_json, "op/evacuate/a", {})

    def _reconfigure(self) -> None:
        self._fleet.reconfigure()

    def _new(self, gateway: Gateway, rng: random.Random) -> None:
        self._exchange(gateway, [self._request(rng)], rng)

    def _kept(self, gateway: Gateway, rng: random.Random) -> None:
        requests = [self._request(rng) for _ in range(rng.randint(2, 3))]
        self._exchange(gateway, requests, rng, pipelined=rng.random() < 0.4)

    def _slow_body(self, gateway: Gateway, rng: random.Random) -> None:
        self._exchange(gateway, [self._request(rng)], rng, body_pause=rng.random() * 4)

    def _request(self, rng: random.Random) -> tuple[str, str, bytes]:
        kind = rng.choice(("reads", "books", "prompts"))
        headers = WAITING_PROMPT if kind == "prompts" else {}
        deadline_ms = str(round(1000 * DEADLINE_SECONDS))
        headers = {**headers, "Cranberrywick-Deadline-Ms": deadline_ms}
        if kind == "prompts":
            headers["X-Events"] = str(rng.choice((1, 3, 8, 8, 20, 60)))
        request_id = self._fleet.new_id()
        method = "GET" if kind == "reads" else "POST"
        body = b"" if kind == "reads" else b"b" * 1000
        data = request_bytes(method, f"/{kind}/1", body, headers, request_id)
        return kind, request_id, data

    def _exchange(self, gateway, requests, rng, pipelined=False, body_pause=0.0):
        """Send requests on one connection and record what becomes of each."""
        try:
            connection = self._fleet.connect(gateway)
        except OSError:
            return
        with connection:
            connection.settimeout(40.0)
            receiving = _ByteByByte(connection)
            begun_at = sent_at = time.monotonic()
            if pipelined:
                whole = b"".join(data for *_, data in requests)
                if not _send(connection, whole):
                    return
                sent_at = time.monotonic()
            for kind, request_id, data in requests:
                if not pipelined:
                    begun_at = time.monotonic()
                    if body_pause:
                        _send(connection, data[:-500])
                        time.sleep(body_pause)
                        data = data[-500:]
                    if not _send(connection, data):
                        return
                    sent_at = time.monotonic()
                answer = _receive(receiving)
                now = time.monotonic()
                sent = Sent(
                    gateway.name, kind, request_id, begun_at, sent_at, answer, now
                )
                self._sent.append(sent)
                if not answer.whole or answer.headers.get("connection") == "close":
                    return
                time.sleep(0.0 if pipelined else rng.uniform(0.0, 1.0))

    def _broken(self, stopping: list[Gateway]) -> list[str]:
        lines = []
        for gateway in stopping:
            took = self._ended_at[gateway.name] - self._signalled_at[gateway.name]
            code = gateway.process.returncode
            seen_at = self._seen_at.get(gateway.name, 0.0)
            late = max(0.0, seen_at - self._signalled_at[gateway.name])
            if code != 0 and not may_be_killed(late):
                lines.append(f"{gateway.name} ended with {code} after {took:.2f} s")
        for sent in self._sent:
            lines += self._broken_by(sent)
        return lines

    def _broken_by(self, sent: Sent) -> list[str]:
        lines = []
        answer, runs = sent.answer, self._fleet.runs(sent.request_id)
        ended_at = self._ended_at.get(sent.gateway, float("inf"))
        signalled_at = self._signalled_at.get(sent.gateway, float("inf"))
        is_crossing = sent.sent_at > ended_at - CROSSING_SECONDS
        what = f"{sent.request_id} ({sent.kind}, {sent.gateway}), sent "
        what += f"{sent.sent_at - signalled_at:.2f} s after the signal, "
        if answer.status == 0 and not is_crossing:
            lines.append(what + "was not answered")
        elif answer.status and not answer.whole:
            stop_cuts_at = signalled_at + GRACE_SECONDS - CUT_SECONDS
            woken_at = self._woken_at.get(sent.gateway, signalled_at)
            if sent.sent_at > max(signalled_at, woken_at):
                stop_cuts_at = float("inf")
            # The deadline counts from the head of a request.
            deadline = sent.begun_at + DEADLINE_SECONDS - 0.1
            if sent.ended_at < min(stop_cuts_at, deadline):
                lines.append(what + f"was cut after {sent.ended_at - signalled_at:.2f}")
        if answer.status in NOT_RUN_STATUSES and runs:
            lines.append(what + f"got {answer.status} and ran {runs} times")
        if sent.kind == "books" and runs > 1:
            lines.append(what + f"ran {runs} times")
        return lines

    @property
    def statuses(self) -> dict[int, int]:
        """How many requests had each status; 0 for those without one."""
        statuses = sorted(each.answer.status for each in self._sent)
        return {status: statuses.count(status) for status in statuses}


class _ByteByByte:
    """Gives an answer's bytes out one by one, so that those of the next one stay."""

    def __init__(self, connection):
        self._connection = connection
        self._received = b""

    def recv(self, size: int) -> bytes:
        if not self._received:
            self._received = self._connection.recv(size)
        first, self._received = self._received[:1], self._received[1:]
        return first


def _send(connection, data: bytes) -> bool:
    try:
        connection.sendall(data)
    except OSError:
        return False
    return True


def _receive(connection) -> Answer:
    try:
        return read_answer(connection)
    except (OSError, ValueError, IndexError):
        return Answer(0, {}, b"", whole=False)


def run_seed(seed: int, path: Path) -> tuple[list[str], dict[int, int]]:
    """Run one seed; return the broken guarantees and the statuses."""
    rng = random.Random(f"fleet {seed}")
    with running_stopping_fleet(
        path,
        gateways=rng.randint(1, 4),
        desks=rng.randint(1, 3),
        slots=rng.randint(1, 4),
    ) as fleet:
        soak = StopSoak(seed, fleet)
        return soak.run(), soak.statuses


@click.command()
@click.option("--seeds", default=50, show_default=True)
@click.option("--first", default=1, show_default=True)
def main(seeds: int, first: int) -> None:
    """Run seeds one after another; exits with 1 if a guarantee was broken."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as path:
            broken, statuses = run_seed(seed, Path(path))
        failed += bool(broken)
        click.echo(f"seed {seed}: {statuses} {'; '.join(broken) or 'ok'}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()

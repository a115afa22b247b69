"""Gateways that are stopped in series, and what becomes of each call around it.

    python tests/stop_series.py --rounds 8 --scene series --program .

Callers ask the directory, keep its answers and their connections as the platform's do,
and send short calls that may not run twice. All gateways are stopped, one a second or
all at once, and started again, while endpoints end or not. A call is lost if an
endpoint ran it, or its caller waited for over `LOSS_SECONDS`, and its connection ended
without a whole answer, though its endpoint and its deadline allowed one. For each call
without a whole answer the log of its gateway tells what ended it. ``--program`` is the
root of the source tree that the gateways run from.
"""

import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from datetime import datetime
from itertools import count
from pathlib import Path
from typing import NamedTuple

import click
from directory_callers import DEADLINE_SECONDS, DirectoryCaller, Sent
from gateway_fleet import Fleet, configuration, wait_for

GRACE_SECONDS = 8.0
# A call that nobody ran crosses the close, unless its caller waited for longer.
LOSS_SECONDS = 0.2
# Time between the stops of two gateways, from the end of one to its next start, and
# between two series, in seconds.
GAP_SECONDS, RESTART_SECONDS, SERIES_SECONDS = 1.0, 0.2, 9.0
SCENES = ("series", "together", "endpoints")


class Stop(NamedTuple):
    """A gateway was told to stop at ``at``, and had ended at ``ended_at``."""

    gateway: str
    at: float
    ended_at: float
    status: int


class SeriesFleet(Fleet):
    """A fleet whose gateways run from the source tree ``program``."""

    program = Path()

    def start_process(self, settings: Path, log: Path) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-m", "cranberrywick", "gateway"],
            cwd=self.program,
            env={
                **os.environ,
                "CRANBERRYWICK_CONFIG": str(settings),
                "PYTHONPATH": str(self.program),
            },
            stdout=log.open("a"),
            stderr=subprocess.STDOUT,
        )


class StopSeries:
    """One run; ``sent`` has the calls, ``stops`` the stops."""

    def __init__(self, fleet: SeriesFleet, scene: str, rng: random.Random):
        self.fleet, self._scene, self._rng = fleet, scene, rng
        self.sent: list[Sent] = []
        self.stops: list[Stop] = []
        self.name_by_address = {each.front: each.name for each in fleet.gateways}
        self._ids = count(1)
        self._desks = count(100)
        # The requests that endpoints had as they ended.
        self.ended_at_work: set[str] = set()
        # What `describe` returns for lost calls, and for others without a whole answer,
        # and what `summary` does, once the run is over.
        self.lines: list[str] = []
        self.others: list[str] = []
        self.line = ""

    def new_id(self) -> str:
        """Return a request id that was not used before."""
        return f"call-{next(self._ids)}"

    def run(self, rounds: int, callers: int, pause: float) -> None:
        """Let callers send while all gateways are stopped ``rounds`` times."""
        until = time.monotonic() + 3.0 + rounds * SERIES_SECONDS
        threads = [
            threading.Thread(target=DirectoryCaller(self, n, pause).run, args=(until,))
            for n in range(callers)
        ]
        for thread in threads:
            thread.start()
        time.sleep(3.0)
        for _ in range(rounds):
            began = time.monotonic()
            gap = 0.0 if self._scene == "together" else GAP_SECONDS
            stops = [
                threading.Thread(target=self._stop, args=(index, index * gap))
                for index in range(len(self.fleet.gateways))
            ]
            if self._scene == "endpoints":
                stops.append(threading.Thread(target=self._replace_endpoints))
            for thread in stops:
                thread.start()
            for thread in stops:
                thread.join()
            time.sleep(max(0.0, began + SERIES_SECONDS - time.monotonic()))
        for thread in threads:
            thread.join()

    def _stop(self, index: int, after: float) -> None:
        time.sleep(after)
        gateway = self.fleet.gateways[index]
        at = time.time()
        gateway.process.send_signal(signal.SIGTERM)
        try:
            status = gateway.process.wait(GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            gateway.process.kill()
            status = gateway.process.wait()
        self.stops.append(Stop(gateway.name, at, time.time(), status))
        time.sleep(RESTART_SECONDS)
        self.fleet.gateways[index] = self.fleet.restart(gateway)
        # A process that is still starting ends at a signal at once.
        self.fleet.wait_ready(self.fleet.gateways[index])

    def _replace_endpoints(self) -> None:
        """End endpoints, at once or after they have announced it, and add others."""
        for _ in range(4):
            time.sleep(self._rng.uniform(0.5, 1.5))
            fleet = self.fleet
            endpoint_id = next(iter(fleet.endpoints))
            fleet.add_endpoint(f"desk-{next(self._desks)}", "desk", work_seconds=0.06)
            if self._rng.random() < 0.5:
                fleet.register(endpoint_id, "desk", state="draining")
                time.sleep(0.5)
            self.ended_at_work |= fleet.on_loop(self._crash, endpoint_id)
            fleet.on_loop(fleet.store.remove, f"servers/{endpoint_id}")

    def _crash(self, endpoint_id: str) -> set[str]:
        endpoint = self.fleet.endpoints[endpoint_id]
        at_work = set(endpoint.at_work)
        endpoint.crash()
        # Its runs still count.
        self.fleet.endpoints[endpoint_id] = self.fleet.endpoints.pop(endpoint_id)
        return at_work

    @property
    def lost(self) -> list[Sent]:
        """The calls that were lost."""
        return [each for each in self.sent if self._is_lost(each)]

    @property
    def unanswered(self) -> list[Sent]:
        """The calls without a whole answer that don't count as lost."""
        unanswered = [each for each in self.sent if not each.answer.whole]
        return [each for each in unanswered if not self._is_lost(each)]

    def _is_lost(self, sent: Sent) -> bool:
        waited = sent.ended_at - sent.sent_at
        is_late = waited > DEADLINE_SECONDS - 0.05
        if sent.answer.whole or is_late or sent.request_id in self.ended_at_work:
            return False
        return bool(self.fleet.runs(sent.request_id)) or waited > LOSS_SECONDS

    def describe(self, sent: Sent) -> str:
        """Return a line that tells what became of a lost call, by its gateway's log."""
        log = (self.fleet.path / f"{sent.gateway}.log").read_text()
        stops = [each for each in self.stops if each.gateway == sent.gateway]
        stop = max(
            (each for each in stops if each.at < sent.ended_at),
            key=lambda each: each.at,
            default=None,
        )
        signalled_at = stop.at if stop else float("nan")
        lines = [
            line
            for line in log.splitlines()
            if f"request_id={sent.request_id} " in line
        ]
        events = [
            f"{_event(line)}@{_moment(line) - signalled_at:.3f}"
            + "".join(
                f" {name}={value}"
                for name, value in re.findall(
                    r'(outcome|status|error|next|peer|endpoint)=("[^"]*"|\S+)', line
                )
            )
            for line in lines
        ]
        stopped = [
            _moment(line) - signalled_at
            for line in log.splitlines()
            if "event=gateway_stopped" in line and _moment(line) > signalled_at
        ]
        return (
            f"{sent.request_id} {sent.gateway} earlier={sent.earlier} "
            f"sent {sent.sent_at - signalled_at:.3f} s after the signal, "
            f"{sent.end} after {sent.ended_at - sent.sent_at:.3f} s, "
            f"runs={self.fleet.runs(sent.request_id)}; "
            f"gateway_stopped at {stopped[0] if stopped else float('nan'):.3f}, "
            f"process ended at {stop.ended_at - signalled_at if stop else 0:.3f} with "
            f"{stop.status if stop else None}; {'; '.join(events) or 'no line'}"
        )

    def summary(self) -> str:
        """Return how many calls had each status, of all and around the stops."""
        around = [each for each in self.sent if self._is_around_stop(each)]
        parts = []
        for name, calls in (("all", self.sent), ("around stops", around)):
            statuses = Counter(each.answer.status for each in calls)
            parts.append(f"{name}: {len(calls)} sent, {dict(sorted(statuses.items()))}")
        codes = Counter(stop.status for stop in self.stops)
        longest = max((stop.ended_at - stop.at for stop in self.stops), default=0.0)
        parts.append(
            f"{len(self.stops)} stops, exit {dict(codes)}, max {longest:.2f} s"
        )
        parts.append(f"lost {len(self.lost)}")
        return "; ".join(parts)

    def _is_around_stop(self, sent: Sent) -> bool:
        return any(
            stop.gateway == sent.gateway and stop.at <= sent.sent_at <= stop.ended_at
            for stop in self.stops
        )


def _event(line: str) -> str:
    return re.search(r"event=(\S+)", line)[1]


def _moment(line: str) -> float:
    return datetime.fromisoformat(re.search(r"time=(\S+)", line)[1]).timestamp()


def run_series(
    path: Path,
    scene: str,
    rounds: int,
    callers: int,
    pause: float,
    program: Path,
    seed: int = 1,
    gateways: int = 3,
) -> StopSeries:
    """Run a fleet through a scene and return what became of the calls."""
    fleet = SeriesFleet(path)
    fleet.program = program.resolve()
    try:
        fleet.configure(configuration())
        for number in (1, 2, 3):
            fleet.add_endpoint(f"desk-{number}", "desk", work_seconds=0.06)
        for number in range(gateways):
            fleet.start_gateway(f"gateway-{number}", wait=False)
        for gateway in fleet.gateways:
            fleet.wait_ready(gateway)
        wait_for(
            lambda: all(len(fleet.addresses(g)) == gateways for g in fleet.gateways),
            "the gateways to know one another",
        )
        series = StopSeries(fleet, scene, random.Random(seed))
        series.run(rounds, callers, pause)
        series.lines = [series.describe(each) for each in series.lost]
        series.others = [series.describe(each) for each in series.unanswered]
        series.line = series.summary()
        return series
    finally:
        fleet.close()


@click.command()
@click.option("--scene", type=click.Choice(SCENES), default="series")
@click.option("--rounds", default=8, show_default=True)
@click.option("--callers", default=60, show_default=True)
@click.option("--pause", default=1.5, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--program", type=click.Path(path_type=Path), default=Path())
def main(scene, rounds, callers, pause, seed, program) -> None:
    """Run a scene; exits with 1 if a call was lost."""
    with tempfile.TemporaryDirectory() as path:
        series = run_series(Path(path), scene, rounds, callers, pause, program, seed)
        for line in series.lines:
            click.echo(f"lost: {line}")
        for line in series.others:
            click.echo(f"unanswered: {line}")
        click.echo(f"{scene}: {series.line}")
    raise SystemExit(1 if series.lines else 0)


if __name__ == "__main__":
    main()

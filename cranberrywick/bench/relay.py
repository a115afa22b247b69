"""Compare streams through the relay with direct streams, in one run.

Source, relay and caller are separate processes. For each number of streams the table
has, in milliseconds, the time to the first token and the delay of events (from the
time when an event was due at the source to the time when the caller had read it),
direct, relayed and the difference; then the relay's processor time for each event and
its memory for each stream.

    python -m cranberrywick.bench.relay --streams 10,100,300
"""

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import click

from cranberrywick.bench.relay_caller import call_streams
from cranberrywick.bench.relay_daemon import serve_relay
from cranberrywick.bench.relay_product import serve_daemon
from cranberrywick.bench.relay_source import serve_source

__all__ = ["main"]

# Interval between the events of a stream, in seconds.
EVENT_INTERVAL_SECONDS = 0.06
# Units of /proc/PID/stat and /proc/PID/statm.
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Run(NamedTuple):
    """What the caller measured in one run.

    ``first`` has the times to the first token and ``delays`` those of events, in
    milliseconds; ``whole`` is the number of streams received to their end.
    """

    first: list[float]
    delays: list[float]
    whole: int


class Cost(NamedTuple):
    """Processor time and memory of the relay while all streams were running."""

    cpu_ms_per_event: float
    kilobytes_per_stream: float


@click.group(invoke_without_command=True)
@click.option("--streams", default="10,100,300,1000", show_default=True)
@click.option("--seconds", default=10.0, show_default=True, help="Length of a stream.")
@click.option("--mode", "modes", multiple=True, default=("relay",), show_default=True)
@click.pass_context
def main(
    context: click.Context, streams: str, seconds: float, modes: tuple[str, ...]
) -> None:
    """Print the table.

    Modes are relay (the HTTP server and the daemon's relay alone), daemon (the whole
    daemon), plain (a thread for each stream) and plain-lookahead-0 (as plain, without
    the server reading ahead for a disconnect).
    """
    if context.invoked_subcommand:
        return
    click.echo(_HEADER)
    for count in (int(part) for part in streams.split(",")):
        events = int((seconds + count * 0.012) / EVENT_INTERVAL_SECONDS)
        with _child("source", "--events", events) as source:
            direct, _ = _run(source.address, count, None)
            for mode in modes:
                with _child("relay", "--source", source.address, "--mode", mode) as up:
                    relayed, cost = _run(up.address, count, up)
                click.echo(_row(mode, count, direct, relayed, cost))


@main.command("source")
@click.option("--events", type=int, required=True)
def source_command(events: int) -> None:
    """Run the source."""
    serve_source(events, EVENT_INTERVAL_SECONDS)


@main.command("relay")
@click.option("--source", required=True)
@click.option("--mode", default="relay")
def relay_command(source: str, mode: str) -> None:
    """Run the relay."""
    if mode == "daemon":
        serve_daemon(source)
    else:
        serve_relay(source, mode)


@main.command("caller")
@click.argument("address")
@click.argument("streams", type=int)
def caller_command(address: str, streams: int) -> None:
    """Run the caller."""
    call_streams(address, streams)


class _Child:
    """A process of this benchmark, started from this module's command line."""

    def __init__(self, *arguments: object):
        command = [sys.executable, "-m", "cranberrywick.bench.relay"]
        command += [str(argument) for argument in arguments]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.address = ""

    def cpu_seconds(self) -> float:
        with open(f"/proc/{self.process.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_bytes(self) -> int:
        with open(f"/proc/{self.process.pid}/statm") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES


@contextmanager
def _child(*arguments: object) -> Iterator[_Child]:
    child = _Child(*arguments)
    try:
        child.address = child.process.stdout.readline().split()[1]
        yield child
    finally:
        child.process.kill()
        child.process.wait()


def _run(address: str, streams: int, relay: _Child | None) -> tuple[Run, Cost | None]:
    idle_bytes = relay.resident_bytes() if relay else 0
    caller = _Child("caller", address, streams)
    caller.process.stdout.readline()
    cost = _measure_cost(relay, streams, idle_bytes) if relay else None
    seen = json.loads(caller.process.stdout.readline())
    caller.process.wait()
    run = Run(
        [1000 * each for each in seen["first"]],
        [1000 * each for each in seen["delays"]],
        seen["whole"],
    )
    return run, cost


def _measure_cost(relay: _Child, streams: int, idle_bytes: int) -> Cost:
    time.sleep(1.0)
    before, started = relay.cpu_seconds(), time.monotonic()
    time.sleep(5.0)
    spent, elapsed = relay.cpu_seconds() - before, time.monotonic() - started
    events = streams * elapsed / EVENT_INTERVAL_SECONDS
    memory = relay.resident_bytes() - idle_bytes
    return Cost(1000 * spent / events, memory / streams / 1024)


_HEADER = (
    "| mode | streams | first token direct p50 / p95 | relayed p50 / p95 | added p95 "
    "| event direct p50 / p95 | relayed p50 / p95 | added p95 "
    "| CPU an event | memory a stream | whole |\n" + "| --- " * 11 + "|"
)


def _row(mode: str, streams: int, direct: Run, relayed: Run, cost: Cost) -> str:
    cells = [mode, str(streams)]
    for name in ("first", "delays"):
        fast, slow = getattr(direct, name), getattr(relayed, name)
        cells.append(f"{_percentile(fast, 50):.2f} / {_percentile(fast, 95):.2f} ms")
        cells.append(f"{_percentile(slow, 50):.2f} / {_percentile(slow, 95):.2f} ms")
        added = _percentile(slow, 95) - _percentile(fast, 95)
        cells.append(f"{added:.2f} ms")
    cells.append(f"{cost.cpu_ms_per_event:.3f} ms")
    cells.append(f"{cost.kilobytes_per_stream:.0f} KB")
    cells.append(f"{relayed.whole}/{streams}")
    return "| " + " | ".join(cells) + " |"


def _percentile(values: list[float], percent: int) -> float:
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) * percent // 100, len(ordered) - 1)]


if __name__ == "__main__":
    main()

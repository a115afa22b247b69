"""Gateways that are suspended beside their signals to stop, for tests.

    python tests/stop_stalls.py --seeds 4 --first 1 --stall 1.5

A stall is a suspension by SIGSTOP. Callers keep sending streams of up to ten seconds
to each gateway until it is gone; as on the platform, it is killed at the end of the
grace period. What became of each stream is compared with what a stop may do to it:

- one that runs is cut no earlier than in the last sixth of the grace period, and only
  if it was sent no later than `LAST_CUT_SECONDS` after the signal;
- each other request that was read has its answer before the end of the grace period.
"""

import random
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from signal import SIGCONT, SIGSTOP, SIGTERM
from subprocess import TimeoutExpired
from typing import NamedTuple

import click
from gateway_fleet import Gateway
from stopping_fleet import GRACE_SECONDS, StoppingFleet, running_stopping_fleet
from stream_stops import (
    CUT_SECONDS,
    EVENT_SECONDS,
    Stream,
    StreamCallers,
    quicken_engines,
    stream_headers,
)

# A running stream may be cut from then on, in seconds after the signal.
FIRST_CUT_SECONDS = GRACE_SECONDS * 5 / 6
# A stream that was sent later is not cut, in seconds after the signal.
LAST_CUT_SECONDS = 3.0
# A request that no endpoint runs may cross the close, in seconds.
LOSS_SECONDS = 0.2
# What a gateway may need to close beside the last sixth, in seconds.
CLOSE_SECONDS = 0.3
# How much longer than usual the engines' events take, and the longest stream of each,
# in seconds.
PACES = (1.5, 4.0, 4.5, 5.0)
LONGEST_SECONDS = 10.0


class Stall(NamedTuple):
    """A suspension for ``seconds``, which begins at ``begins_at`` from the signal."""

    begins_at: float
    seconds: float

    @property
    def ends_at(self) -> float:
        """When the process goes on, in seconds from the signal."""
        return self.begins_at + self.seconds


class StalledStop(NamedTuple):
    """The stop of one gateway: its name, its streams, and when and how it ended.

    ``ended_at`` is in seconds from the signal; ``status`` is the process's.
    """

    gateway: str
    stalls: Sequence[Stall]
    streams: Sequence[Stream]
    ended_at: float
    status: int

    @property
    def faults(self) -> list[str]:
        """A line for each promise that was broken."""
        faults = [str(each) for each in self.streams if self._is_lost(each)]
        faults += [
            f"{each} after the grace period"
            for each in self.streams
            if each.is_refused and each.ended_at > GRACE_SECONDS
        ]
        if self.status and not self._may_be_killed:
            faults.append(f"{self.gateway} ended with {self.status}")
        return faults

    def _is_lost(self, stream: Stream) -> bool:
        """Whether a stream ended without a whole answer, as it may not.

        One that no endpoint runs may cross the close of its connection, which comes at
        the gateway's end, or before that if a stall hides when the signal came.
        """
        if stream.answer.whole:
            return False
        if stream.runs == 0:
            begins_at = min([0.0, *(each.begins_at for each in self.stalls)])
            closes_at = min(stream.gone_at, begins_at + GRACE_SECONDS - CUT_SECONDS)
            waited = stream.ended_at - stream.sent_at
            return waited > LOSS_SECONDS or stream.sent_at < closes_at - LOSS_SECONDS
        return stream.sent_at > LAST_CUT_SECONDS or stream.ended_at < FIRST_CUT_SECONDS

    @property
    def _may_be_killed(self) -> bool:
        """Whether the signal is seen so late that a kill is no fault."""
        ends = [each.ends_at for each in self.stalls if each.begins_at <= 0]
        return may_be_killed(max([0.0, *ends]))

    def __str__(self) -> str:
        counts = Counter(
            "served" if each.is_served else "refused" if each.is_refused else "cut"
            for each in self.streams
        )
        return (
            f"{self.gateway}, {self.stalls}: {len(self.streams)} sent, "
            f"{counts['served']} served, {counts['refused']} refused, "
            f"{counts['cut']} neither, lost {sum(map(self._is_lost, self.streams))}; "
            f"ended at {self.ended_at:.2f} with {self.status}"
        )


def may_be_killed(seen_at: float) -> bool:
    """Whether the last sixth may seem to begin so late that a kill comes before.

    A signal that is seen only when a stall ends, ``seen_at`` seconds after it, may have
    come just then.
    """
    return seen_at + FIRST_CUT_SECONDS + CLOSE_SECONDS > GRACE_SECONDS


def play(
    stalls: Sequence[Sequence[Stall]],
    seed: int,
    path: Path,
    served: float = 5.0,
    callers: int = 20,
    gap: float = 0.0,
    going_on: int = 0,
) -> list[StalledStop]:
    """Stop one gateway for each sequence of stalls, ``gap`` seconds apart.

    Each has so many ``callers``; ``going_on`` more gateways don't stop.
    """
    rng = random.Random(seed)

    def draw(rng: random.Random) -> dict[str, str]:
        most = int(LONGEST_SECONDS / (EVENT_SECONDS * max(PACES)))
        return stream_headers(rng.randint(rng.choice((1, most - 4)), most))

    with running_stopping_fleet(path, gateways=len(stalls) + going_on) as fleet:
        quicken_engines(fleet, len(PACES))
        for number, pace in enumerate(rng.sample(PACES, len(PACES)), start=1):
            fleet.endpoints[f"engine-{number}"].event_seconds = EVENT_SECONDS * pace
            fleet.register(f"engine-{number}", "pool", slots=callers)
        stopping = fleet.gateways[: len(stalls)]
        sending = StreamCallers(fleet, draw, seed)
        for gateway in stopping:
            sending.start(gateway, callers)
        first = time.monotonic() + served
        signalled_at, ended_at = {}, {}

        def run(gateway: Gateway, own: Sequence[Stall], due: float) -> None:
            signalled_at[gateway.name] = _stop(fleet, gateway, own, due)
            killed_at = signalled_at[gateway.name] + GRACE_SECONDS
            ended_at[gateway.name] = wait_or_kill(gateway, killed_at)

        threads = [
            threading.Thread(target=run, args=(gateway, own, first + number * gap))
            for number, (gateway, own) in enumerate(zip(stopping, stalls, strict=True))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        streams = sending.streams(signalled_at, killed=True)
        return [
            StalledStop(
                each.name,
                own,
                [stream for stream in streams if stream.gateway == each.name],
                ended_at[each.name] - signalled_at[each.name],
                each.process.returncode,
            )
            for each, own in zip(stopping, stalls, strict=True)
        ]


def _stop(
    fleet: StoppingFleet, gateway: Gateway, stalls: Sequence[Stall], due: float
) -> float:
    """Stall a gateway and tell it to stop at the moment ``due``; return the signal's.

    At the same moment the signal comes before a stall's end and after its beginning.
    """
    order = {SIGSTOP: 0, SIGTERM: 1, SIGCONT: 2}
    steps = [(0.0, SIGTERM)]
    for stall in stalls:
        steps += [(stall.begins_at, SIGSTOP), (stall.ends_at, SIGCONT)]
    moments = {}
    for after, number in sorted(steps, key=lambda step: (step[0], order[step[1]])):
        time.sleep(max(0.0, due + after - time.monotonic()))
        moments[number] = fleet.stop(gateway, number)
    return moments[SIGTERM]


def wait_or_kill(gateway: Gateway, killed_at: float) -> float:
    """Kill a gateway at a moment if it has not ended; return when it had."""
    try:
        gateway.process.wait(max(0.0, killed_at - time.monotonic()))
    except TimeoutExpired:
        gateway.process.kill()
        gateway.process.wait()
    return time.monotonic()


def beside_the_signal(seconds: float) -> list[list[Stall]]:
    """Return stalls of a length: the signal comes at its beginning, or by its end."""
    ends = (seconds, 0.05, 0.0, -0.03)
    return [[Stall(end - seconds, seconds)] for end in ends]


@click.command()
@click.option("--seeds", default=4, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--stall", default=1.5, show_default=True)
@click.option("--gap", default=0.0, show_default=True)
@click.option("--callers", default=20, show_default=True)
@click.option("--going-on", default=0, show_default=True)
def main(seeds, first, stall, gap, callers, going_on) -> None:
    """Stop four gateways a seed; exits with 1 if a promise was broken."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as path:
            stops = play(
                beside_the_signal(stall),
                seed,
                Path(path),
                callers=callers,
                gap=gap,
                going_on=going_on,
            )
        for stop in stops:
            failed += bool(stop.faults)
            click.echo(f"seed {seed}: {stop}")
            for fault in stop.faults:
                click.echo(f"  {fault}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()

"""Gateways that are told to stop while callers go on sending them streams, for tests.

    python tests/stream_stops.py --runs 5 --served 15

Callers use one gateway until it is gone: each sends one stream after another, on
connections that it keeps. Streams have very unlike lengths. What became of each stream
is compared with what a stop may do to it:

- a stream that was sent after the signal is whole, or refused before it ran;
- a stream that was sent before it is cut only at the end of the grace period.
"""

import random
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import contextmanager
from pathlib import Path
from signal import SIGTERM
from typing import NamedTuple

import click
from gateway_fleet import POLL_SECONDS, Answer, Gateway, read_answer, request_bytes
from stopping_fleet import (
    DEADLINE,
    GRACE_SECONDS,
    StoppingFleet,
    running_stopping_fleet,
)

from cranberrywick.standin.platform.demo import ENGINE

# The pause between two events of a stream, in seconds.
EVENT_SECONDS = 0.05
# The largest number of events of a stream.
MOST_EVENTS = 89
# What each stream states as the largest number of its tokens, unless it is another.
STATED_TOKENS = 400
# A request that is sent so shortly before the end of a gateway, in seconds, and that no
# endpoint runs, crosses its close.
CROSSING_SECONDS = 0.3
# A stream is cut no earlier than this long before the end of the grace period, in
# seconds.
CUT_SECONDS = 0.7
# Callers have ended so long after the signal, in seconds.
GONE_SECONDS = GRACE_SECONDS + 30.0
# Longest time from the send of a stream to its refusal, in seconds.
REFUSAL_SECONDS = 0.2

Draw = Callable[[random.Random], dict[str, str]]


def unlike_lengths(rng: random.Random) -> dict[str, str]:
    """Return the headers of a stream whose length nothing states."""
    return stream_headers(rng.randint(1, MOST_EVENTS))


def stated_lengths(rng: random.Random) -> dict[str, str]:
    """Return the headers of a stream that states how long it may become."""
    events = rng.randint(1, MOST_EVENTS)
    return stream_headers(events, rng.randint(events, events + 5))


def declared_lengths(rng: random.Random) -> dict[str, str]:
    """Return the headers of a stream with as many events as engines declare."""
    events = rng.randint(1, MOST_EVENTS)
    return stream_headers(events, events * ENGINE["stride"])


def stream_headers(events: int, tokens: int = STATED_TOKENS) -> dict[str, str]:
    """Return the headers of a stream with so many events and at most ``tokens``."""
    return {
        "Cranberrywick-Model": "m",
        "Cranberrywick-Token-Count": f"2000,{tokens}",
        "Cranberrywick-Prefix-Hash": f"{random.getrandbits(32):08x}:2000",
        "Cranberrywick-Deadline-Ms": "20000",
        "X-Events": str(events),
    }


DRAWS: dict[str, Draw] = {
    "unlike": unlike_lengths,
    "stated": stated_lengths,
    "declared": declared_lengths,
}


class Stream(NamedTuple):
    """A stream that was sent to a gateway, and what came back.

    ``sent_at``, ``ended_at`` and ``gone_at``, when the gateway had ended, are in
    seconds from the signal; ``events`` is how many events it has, ``runs`` how often an
    endpoint ran it.
    """

    gateway: str
    request_id: str
    events: int
    sent_at: float
    ended_at: float
    gone_at: float
    answer: Answer
    runs: int

    @property
    def is_served(self) -> bool:
        """Whether it was served whole."""
        return self.answer.status == 200 and self.answer.whole

    @property
    def is_refused(self) -> bool:
        """Whether it was refused."""
        return self.answer.status == 503 and self.answer.whole

    @property
    def is_lost(self) -> bool:
        """Whether it ended without an answer or in the middle of one, as it may not."""
        if self.answer.whole:
            return False
        if self.answer.status == 0:
            return self.runs > 0 or self.sent_at < self.gone_at - CROSSING_SECONDS
        return self.sent_at > 0 or self.ended_at < GRACE_SECONDS - CUT_SECONDS

    @property
    def is_refused_in_vain(self) -> bool:
        """Whether it was refused and would have been whole at the usual pace."""
        ends_at = self.sent_at + (self.events + 2) * EVENT_SECONDS
        return self.is_refused and ends_at < GRACE_SECONDS - CUT_SECONDS

    def __str__(self) -> str:
        return (
            f"{self.request_id} at {self.gateway}: {self.events} events, sent "
            f"{self.sent_at:.2f} s after the signal, ended {self.ended_at:.2f} s after "
            f"it, status {self.answer.status}, whole {self.answer.whole}"
        )


class StreamCallers:
    """Callers that send streams to gateways until these are gone.

    ``draw`` returns the headers of the next stream.
    """

    def __init__(self, fleet: StoppingFleet, draw: Draw, seed: int):
        self._fleet = fleet
        self._draw = draw
        self._rng = random.Random(seed)
        self._sent: list[tuple[str, str, int, float, float, Answer]] = []
        self._threads: list[threading.Thread] = []
        self._gone_at: dict[str, float] = {}

    def start(self, gateway: Gateway, callers: int, prefix: str = "prompts") -> None:
        """Start callers of a gateway."""
        watch = threading.Thread(target=self._wait_for_end, args=(gateway,))
        watch.daemon = True
        watch.start()
        for _ in range(callers):
            rng = random.Random(self._rng.random())
            thread = threading.Thread(
                target=self._use, args=(gateway, rng, prefix), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def streams(
        self, signalled_at: dict[str, float], killed: bool = False
    ) -> list[Stream]:
        """Wait for the gateways' ends and for the callers; return all streams.

        ``signalled_at`` has the moment of each gateway's signal. Gateways have to end
        by themselves, unless some are ``killed``.
        """
        while len(self._gone_at) < len(signalled_at):
            time.sleep(POLL_SECONDS)
        processes = {each.name: each.process for each in self._fleet.gateways}
        assert killed or all(processes[name].returncode == 0 for name in signalled_at)
        for thread in self._threads:
            thread.join(GONE_SECONDS)
        return [
            Stream(
                name,
                request_id,
                events,
                sent_at - signalled_at[name],
                ended_at - signalled_at[name],
                self._gone_at[name] - signalled_at[name],
                answer,
                self._fleet.runs(request_id),
            )
            for name, request_id, events, sent_at, ended_at, answer in self._sent
        ]

    def _wait_for_end(self, gateway: Gateway) -> None:
        """Note when a gateway ends: others may get their signals after that."""
        while gateway.process.poll() is None:
            time.sleep(POLL_SECONDS)
        self._gone_at[gateway.name] = time.monotonic()

    def _use(self, gateway: Gateway, rng: random.Random, prefix: str) -> None:
        connection = None
        while True:
            time.sleep(rng.uniform(0.0, 0.1))
            try:
                connection = connection or self._fleet.connect(gateway)
            except OSError:
                return
            answer = self._send(connection, gateway, rng, prefix)
            if not answer.whole or answer.headers.get("connection") == "close":
                connection.close()
                connection = None
            if answer.whole and answer.status != 200:
                time.sleep(float(answer.headers.get("retry-after", 0.1)))

    def _send(self, connection, gateway, rng, prefix) -> Answer:
        headers = self._draw(rng)
        request_id = self._fleet.new_id()
        data = request_bytes("POST", f"/{prefix}/1", b"", headers, request_id)
        sent_at = time.monotonic()
        try:
            connection.sendall(data)
            answer = read_answer(connection)
        except (OSError, ValueError, IndexError):
            answer = Answer(0, {}, b"", whole=False)
        ended_at = time.monotonic()
        events = int(headers["X-Events"])
        self._sent.append((gateway.name, request_id, events, sent_at, ended_at, answer))
        return answer


class StopScene(NamedTuple):
    """Gateways that serve streams for a time and are told to stop.

    ``served_seconds`` is for how long they serve before the signal; while it is
    negative, the first streams come so long after it. ``stopping`` of the ``gateways``
    get the signal, ``gap_seconds`` apart, and only these get streams.
    """

    gateways: int = 2
    stopping: int = 1
    served_seconds: float = 15.0
    callers: int = 12
    engines: int = 4
    gap_seconds: float = 0.0
    draw: Draw = unlike_lengths


def play(scene: StopScene, seed: int, path: Path) -> list[Stream]:
    """Play a scene; return the streams that were sent."""
    with running_stopping_fleet(path, gateways=scene.gateways) as fleet:
        quicken_engines(fleet, scene.engines)
        callers = StreamCallers(fleet, scene.draw, seed)
        stopping = fleet.gateways[: scene.stopping]
        if scene.served_seconds > 0:
            for gateway in stopping:
                callers.start(gateway, scene.callers)
            time.sleep(scene.served_seconds)
        signalled_at = {}
        for gateway in stopping:
            signalled_at[gateway.name] = fleet.stop(gateway, SIGTERM)
            time.sleep(scene.gap_seconds)
        if scene.served_seconds <= 0:
            time.sleep(-scene.served_seconds)
            for gateway in stopping:
                callers.start(gateway, scene.callers)
        return callers.streams(signalled_at)


def quicken_engines(fleet: StoppingFleet, engines: int) -> None:
    """Let the fleet have so many engines, which begin their answers at once."""
    for number in range(2, engines + 1):
        fleet.add_endpoint(f"engine-{number}", "pool")
    for endpoint_id, endpoint in fleet.endpoints.items():
        if endpoint_id.startswith("engine"):
            endpoint.work_seconds = 0.02
            endpoint.event_seconds = EVENT_SECONDS
    for gateway in fleet.gateways:
        wait_until_known(gateway, f"engine-{engines}")


def wait_until_known(gateway: Gateway, endpoint_id: str) -> None:
    """Wait until a gateway's log names an endpoint."""
    until = time.monotonic() + 30
    while endpoint_id not in gateway.log:
        assert time.monotonic() < until, f"{endpoint_id} is not known"
        time.sleep(0.02)


@contextmanager
def quick_fleet(path, gateways=2):
    """Run gateways before two engines with an event each 50 ms, and a quick desk."""
    with running_stopping_fleet(path, gateways=gateways, slots=8) as fleet:
        quicken_engines(fleet, 2)
        fleet.endpoints["desk-1"].work_seconds = 0.02
        fleet.unfinished = []
        yield fleet


def send_stream(fleet, gateway, events, tokens=400, hint=None, prefix="prompts"):
    """Send a stream with so many events, which states how long it may become."""
    headers = stream_headers(events, tokens)
    if hint is not None:
        headers["Cranberrywick-Length-Hint"] = str(hint)
    return fleet.send(gateway, "POST", f"/{prefix}/1", headers)


def serve(fleet, gateway, lengths, **fields):
    """Let a gateway serve streams of these lengths, all at once."""
    callers = [send_stream(fleet, gateway, events, **fields) for events in lengths]
    assert all(caller.answer().status == 200 for caller in callers)


def stop_and_wait(fleet, gateway, seconds):
    """Tell a gateway to stop; return when the signal was sent, so long after it.

    A gateway without requests would end before; one that it reads keeps it.
    """
    data = request_bytes("POST", "/books/1", b"body", DEADLINE, fleet.new_id())
    connection = fleet.connect(gateway)
    connection.sendall(data[:-1])
    fleet.wait_until_seen(gateway)
    signalled_at = fleet.stop(gateway)
    fleet.unfinished.append(connection)
    time.sleep(seconds)
    return signalled_at


def stop_all_and_wait(fleet, gateway, seconds):
    """Tell all gateways to stop, so that none serves what another one refuses.

    Returns when the signal of ``gateway`` was sent, so long after it.
    """
    for other in fleet.gateways:
        if other is not gateway:
            fleet.stop(other)
    return stop_and_wait(fleet, gateway, seconds)


def check_whole_or_refused(fleet, callers):
    """Assert that streams were whole, or refused before they ran; return the whole."""
    whole = 0
    for caller in callers:
        answer = caller.answer()
        assert answer.whole, f"{caller.request_id} was cut"
        assert answer.status in (200, 503)
        assert fleet.runs(caller.request_id) == (answer.status == 200)
        whole += answer.status == 200
    return whole


def check_refused_at_once(fleet, callers):
    """Assert that each stream was refused soon after it was sent, and before it ran."""
    assert check_whole_or_refused(fleet, callers) == 0
    longest = max(caller.ended_at - caller.sent_at for caller in callers)
    assert longest < REFUSAL_SECONDS


def check_ended(gateway, signalled_at):
    """Assert that a gateway ends by itself within its grace period."""
    assert gateway.process.wait(GRACE_SECONDS) == 0
    assert time.monotonic() - signalled_at < GRACE_SECONDS


def summary(streams: Sequence[Stream]) -> str:
    """Return a line about what became of streams."""
    late = [each for each in streams if each.sent_at > 0]
    counts = Counter(
        "served" if each.is_served else "refused" if each.is_refused else "failed"
        for each in late
    )
    lost = [each for each in streams if each.is_lost]
    in_vain = sum(each.is_refused_in_vain for each in late)
    return (
        f"{len(streams)} streams, {len(late)} after the signal: "
        f"{counts['served']} served, {counts['refused']} refused ({in_vain} in vain), "
        f"{counts['failed']} neither; {len(lost)} lost"
    )


@click.command()
@click.option("--runs", default=5, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--served", default=15.0, show_default=True)
@click.option("--gateways", default=2, show_default=True)
@click.option("--stopping", default=1, show_default=True)
@click.option("--callers", default=12, show_default=True)
@click.option("--lengths", type=click.Choice(list(DRAWS)), default="unlike")
def main(runs, first, served, gateways, stopping, callers, lengths) -> None:
    """Play a scene some times; exits with 1 if a stream was lost."""
    scene = StopScene(gateways, stopping, served, callers, draw=DRAWS[lengths])
    failed = 0
    for seed in range(first, first + runs):
        with tempfile.TemporaryDirectory() as path:
            streams = play(scene, seed, Path(path))
        lost = [each for each in streams if each.is_lost]
        failed += bool(lost)
        click.echo(f"seed {seed}: {summary(streams)}")
        for each in lost:
            click.echo(f"  {each}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()

"""Gateways that are stopped in turn while short of processor, under streams.

    python tests/late_stops.py --stops 6 --gap 8 --busy 1 --seed 1

All gateways run on one core, beside busy processes, or are suspended now and then.
Callers send streams in the ways that HTTP allows: on kept and on new connections, with
a body in chunks or after 100 (Continue), and read them at once or slowly. Endpoints
change their pace all the time. A stream that ends without a whole answer is lost unless
its endpoint or its deadline ended it, or its endpoint still worked on it in the last
sixth of the grace period and it was sent no later than 3 s after the signal.
"""

import asyncio
import contextlib
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter, defaultdict
from pathlib import Path

import click
from gateway_fleet import Fleet, Gateway, configuration, route, wait_for
from late_callers import DEADLINE_SECONDS, MOST_EVENTS, WAYS, Caller, Sent

from cranberrywick.standin.platform.endpoint import EndpointStandIn

GRACE_SECONDS = 8.0
# Rule LOST: a stream sent by the first may be cut while its endpoint works on it after
# the second, in seconds from the signal.
EXCUSED_SENT_SECONDS, EXCUSED_WORK_SECONDS = 3.0, GRACE_SECONDS * 5 / 6
# Rule LOST: a request that nobody ran may be cut so soon after its last byte.
LOSS_SECONDS = 0.2
# The usual pause between two events, in seconds, and the largest slowdown of it.
EVENT_SECONDS, SLOWEST = 0.043, 8.0
# For how long a gateway is suspended at least, and the mean pause between two times, in
# seconds.
STALL_SECONDS, STALL_PAUSE_SECONDS = 0.2, 0.3
# Which of the usable cores the gateways run on, if there are so many.
CORE = 2
BUSY = """
import random, time
while True:
    until = time.monotonic() + random.uniform(0.2, 1.0)
    while time.monotonic() < until:
        pass
    time.sleep(random.uniform(0.2, 1.0))
"""


class TimedEndpoint(EndpointStandIn):
    """An engine that knows when it worked on each request.

    ``ended_at`` has the moments by request id, ``whole_ids`` what ended by itself.
    """

    def __init__(self, endpoint_id: str, **shape: object):
        super().__init__(endpoint_id, **shape)
        self.ended_at: dict[str, float] = {}
        self.whole_ids: set[str] = set()

    async def _run(self, http, seen, writer) -> None:
        request_id = seen.headers["cranberrywick-request-id"]
        try:
            await super()._run(http, seen, writer)
            self.whole_ids.add(request_id)
        finally:
            self.ended_at[request_id] = time.monotonic()


class LateStops:
    """One run; ``sent`` has the streams, ``stops`` the signals of each gateway."""

    def __init__(
        self, fleet: Fleet, core: int, seed: int, slowest: float, is_stated: bool
    ):
        self.fleet, self.core, self._rng = fleet, core, random.Random(seed)
        self._slowest, self._is_stated = slowest, is_stated
        self.sent: list[Sent] = []
        self.signalled_at: dict[str, list[float]] = defaultdict(list)
        self.ends: list[tuple[str, float, int]] = []
        self.ready_seconds: list[float] = []
        self._closed: set[str] = set()
        self._number = 0

    def new_id(self) -> str:
        """Return a request id that was not used before."""
        self._number += 1
        return f"stream-{self._number}"

    def stated(self, events: int) -> int:
        """Return how many events a stream says that it has at most."""
        return events if self._is_stated else MOST_EVENTS

    def open_gateways(self) -> list[Gateway]:
        """Return the gateways that callers have the addresses of."""
        return [each for each in self.fleet.gateways if each.name not in self._closed]

    def play(self, stops: int, gap: float, callers: int, stall: float) -> None:
        """Stop gateways in turn while callers send streams."""
        until = time.monotonic() + 10.0 + stops * gap + GRACE_SECONDS
        thread = threading.Thread(target=self._run_callers, args=(callers, until))
        thread.start()
        pace = threading.Thread(target=self._change_paces, args=(until,), daemon=True)
        pace.start()
        if stall:
            stalls = threading.Thread(target=self._stall, args=(until, stall))
            stalls.daemon = True
            stalls.start()
        time.sleep(8.0)
        ends = []
        for number in range(stops):
            ends.append(threading.Thread(target=self._stop, args=(number,)))
            ends[-1].start()
            time.sleep(gap)
        for end in (*ends, thread):
            end.join()

    def _run_callers(self, callers: int, until: float) -> None:
        async def run() -> None:
            ways = [WAYS[n % len(WAYS)] for n in range(callers)]
            await asyncio.gather(
                self._probe(until),
                *(
                    Caller(self, way, random.Random(f"{n} {self._rng.random()}")).run(
                        until
                    )
                    for n, way in enumerate(ways)
                ),
            )

        asyncio.run(run())

    async def _probe(self, until: float) -> None:
        """Ask gateways whether they are ready; keep how long each answer took."""
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            gateway = self._rng.choice(self.fleet.gateways)
            host, _, port = gateway.ready.rpartition(":")
            began_at = time.monotonic()
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
                await reader.readline()
                writer.close()
            except OSError:
                continue
            self.ready_seconds.append(time.monotonic() - began_at)

    def _stall(self, until: float, longest: float) -> None:
        """Suspend gateways now and then, as a busy machine lets them wait."""
        rng = random.Random(self._rng.random())
        while time.monotonic() < until:
            time.sleep(rng.uniform(0.0, 2 * STALL_PAUSE_SECONDS))
            gateway = rng.choice(self.fleet.gateways)
            gateway.process.send_signal(signal.SIGSTOP)
            time.sleep(rng.uniform(STALL_SECONDS, longest))
            gateway.process.send_signal(signal.SIGCONT)

    def _change_paces(self, until: float) -> None:
        rng = random.Random(self._rng.random())
        while time.monotonic() < until:
            endpoint = rng.choice(list(self.fleet.endpoints.values()))
            slowdown = self._slowest ** rng.random() ** 2
            endpoint.event_seconds = EVENT_SECONDS * slowdown
            time.sleep(rng.uniform(0.1, 0.6))

    def _stop(self, number: int) -> None:
        index = number % len(self.fleet.gateways)
        gateway = self.fleet.gateways[index]
        at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        self.signalled_at[gateway.name].append(at)
        # The directory leaves it out soon; some callers use an older answer.
        time.sleep(0.5 if number % 2 else 2.5)
        self._closed.add(gateway.name)
        try:
            status = gateway.process.wait(at + GRACE_SECONDS - time.monotonic())
        except subprocess.TimeoutExpired:
            gateway.process.kill()
            status = gateway.process.wait()
        self.ends.append((gateway.name, time.monotonic() - at, status))
        self.fleet.gateways[index] = self.fleet.restart(gateway)
        os.sched_setaffinity(self.fleet.gateways[index].process.pid, {self.core})
        self.fleet.wait_ready(self.fleet.gateways[index])
        self._closed.discard(gateway.name)

    def moment(self, sent: Sent) -> float | None:
        """Return the signal around which a stream was sent or ended; None for none."""
        for at in self.signalled_at[sent.gateway]:
            if sent.began_at < at + GRACE_SECONDS + 1 and sent.ended_at > at:
                return at
        return None

    def is_lost(self, sent: Sent) -> bool:
        """Whether a stream ended as rule LOST forbids."""
        at = self.moment(sent)
        if sent.whole or at is None:
            return False
        if sent.ended_at - sent.began_at > DEADLINE_SECONDS - 0.2:
            return False
        worked = [
            endpoint.ended_at.get(sent.request_id)
            for endpoint in self.fleet.endpoints.values()
        ]
        worked_until = max((each for each in worked if each), default=None)
        if worked_until is None:
            return sent.ended_at - sent.sent_at > LOSS_SECONDS
        is_early = sent.sent_at - at <= EXCUSED_SENT_SECONDS
        return not (is_early and worked_until - at >= EXCUSED_WORK_SECONDS)

    def describe(self, sent: Sent) -> str:
        """Return a line about a lost stream."""
        at = self.moment(sent)
        request_id = sent.request_id
        runs = [
            f"{endpoint.endpoint_id} until {endpoint.ended_at[request_id] - at:.3f}"
            f" whole={request_id in endpoint.whole_ids}"
            for endpoint in self.fleet.endpoints.values()
            if request_id in endpoint.ended_at
        ]
        log = (self.fleet.path / f"{sent.gateway}.log").read_text().splitlines()
        lines = [each for each in log if f"request_id={request_id} " in each]
        return (
            f"lost: {request_id} {sent.way} at {sent.gateway}: sent "
            f"{sent.sent_at - at:.3f}, ended {sent.ended_at - at:.3f}, status "
            f"{sent.status}; {'; '.join(runs) or 'not run'}"
            + "".join(f"\n    {line[:600]}" for line in lines)
        )

    @property
    def lost(self) -> list[Sent]:
        """The streams that were lost."""
        return [each for each in self.sent if self.is_lost(each)]

    def summary(self) -> str:
        """Return what became of all streams, and of those around the stops."""
        around = [each for each in self.sent if self.moment(each) is not None]
        after = [each for each in around if each.sent_at > self.moment(each)]
        parts = []
        for name, streams in (("all", self.sent), ("sent after a signal", after)):
            counts = Counter(
                "cut" if not each.whole else each.status for each in streams
            )
            parts.append(f"{name} {len(streams)}: {dict(counts)}")
        late = sorted(round(each, 2) for _, each, _ in self.ends)
        codes = Counter(each for _, _, each in self.ends)
        ways = Counter(each.way for each in self.lost)
        lags = sorted(self.ready_seconds)
        lag = [round(lags[int(len(lags) * share)], 2) for share in (0.5, 0.9, 0.99)]
        return "; ".join(
            [
                *parts,
                f"ends {late} {dict(codes)}",
                f"lag {lag}",
                f"lost {len(self.lost)} {dict(ways)}",
            ]
        )


@contextlib.contextmanager
def busy_core(core: int, processes: int):
    """Run processes that keep a core busy in spells."""
    busy = [subprocess.Popen([sys.executable, "-c", BUSY]) for _ in range(processes)]
    try:
        for each in busy:
            os.sched_setaffinity(each.pid, {core})
        yield
    finally:
        for each in busy:
            each.kill()
            each.wait()


def play_late_stops(
    path: Path,
    stops: int,
    gap: float,
    busy: int,
    seed: int = 1,
    callers: int = 45,
    gateways: int = 3,
    engines: int = 6,
    slowest: float = SLOWEST,
    is_stated: bool = False,
    stall: float = 0.0,
) -> LateStops:
    """Play a scene and return what became of the streams."""
    cores = sorted(os.sched_getaffinity(0))
    core = cores[min(CORE, len(cores) - 1)]
    fleet = Fleet(path)
    try:
        fields = configuration()
        stream = {"streamResume": True, "gapAimMs": 250, "stickySessions": True}
        timeout = {"timeoutMs": round(DEADLINE_SECONDS * 1000)}
        fields["routes"].pop()
        fields["routes"].append(
            route("prompts", "streaming", "pool", **stream, **timeout)
        )
        fleet.configure(fields)
        for number in range(engines):
            endpoint = TimedEndpoint(f"engine-{number}", work_seconds=0.05)
            endpoint.event_seconds = EVENT_SECONDS
            fleet.await_on_loop(endpoint.start())
            fleet.endpoints[endpoint.endpoint_id] = endpoint
            fleet.register(endpoint.endpoint_id, "pool")
        for number in range(gateways):
            gateway = fleet.start_gateway(f"gateway-{number}", wait=False)
            os.sched_setaffinity(gateway.process.pid, {core})
        for gateway in fleet.gateways:
            fleet.wait_ready(gateway)
        wait_for(
            lambda: all(len(fleet.addresses(g)) == gateways for g in fleet.gateways),
            "the gateways to know one another",
        )
        scene = LateStops(fleet, core, seed, slowest, is_stated)
        with busy_core(core, busy):
            scene.play(stops, gap, callers, stall)
        return scene
    finally:
        fleet.close()


@click.command()
@click.option("--stops", default=6, show_default=True)
@click.option("--gap", default=8.0, show_default=True)
@click.option("--busy", default=1, show_default=True)
@click.option("--callers", default=45, show_default=True)
@click.option("--gateways", default=3, show_default=True)
@click.option("--engines", default=6, show_default=True)
@click.option("--slowest", default=SLOWEST, show_default=True)
@click.option("--stated", is_flag=True, help="Streams state how many events they have.")
@click.option("--stall", default=0.0, help="Gateways are suspended for so long.")
@click.option("--seed", default=1, show_default=True)
def main(
    stops, gap, busy, callers, gateways, engines, slowest, stated, stall, seed
) -> None:
    """Play a scene; exits with 1 if a stream was lost."""
    with tempfile.TemporaryDirectory() as path:
        scene = play_late_stops(
            Path(path),
            stops,
            gap,
            busy,
            seed,
            callers,
            gateways,
            engines,
            slowest,
            stated,
            stall,
        )
        for sent in scene.lost:
            click.echo(scene.describe(sent))
        click.echo(f"seed {seed}: {scene.summary()}")
    raise SystemExit(1 if scene.lost else 0)


if __name__ == "__main__":
    main()

"""Gateways that are stopped while their endpoints become slow, or fall silent.

    python tests/slow_stops.py --stops 3 --slow-at 4 --factor 7.25 --stay --seed 1

Endpoints keep their pace until some seconds after each signal, so that all forecasts
say that late streams end in time, and take several times as long from then on. Callers
go on sending streams, or calls, to a gateway until it is gone, or until it refuses
them. What counts as lost is what `late_stops` counts.
"""

import asyncio
import random
import shutil
import subprocess
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from signal import SIGTERM
from typing import NamedTuple

import click
from cut_fleet import CutFleet
from gateway_fleet import Fleet, Gateway, configuration, route, wait_for
from late_callers import DEADLINE_SECONDS, WAYS
from late_stops import (
    EXCUSED_SENT_SECONDS,
    GRACE_SECONDS,
    LateStops,
    TimedEndpoint,
)
from slow_callers import CALL_SECONDS, Sent, SlowCaller

# The usual pause between two events, and the time of a call or a prefill, in seconds.
EVENT_SECONDS, WORK_SECONDS = 0.05, 0.05
# How long a call takes at a slow endpoint, in seconds.
SLOW_CALL_SECONDS = (1.5, 5.0)
# Callers go on for so long after the end of the last grace period, in seconds.
AFTER_SECONDS = 1.0
# Requests that are sent so long after the signal are late, in seconds.
LATE_SECONDS = EXCUSED_SENT_SECONDS
# Callers who are refused then try for so much longer.
RETURN_SECONDS = 10.0
PACE_POLL_SECONDS = 0.01
# The ways of late_callers that take no time of their own.
OWN_WAYS = [each for each in WAYS if each in ("kept", "new", "chunked")]
LENGTHS = ("same", "short", "long", "unlike")
SHARES = ("one", "some", "all")


class SlowScene(NamedTuple):
    """What is played.

    Gateways are stopped ``gap`` seconds apart, after ``served_seconds`` of requests;
    if that is negative, the first requests come so long after the first signal.
    ``slow_at`` seconds after each signal and until the end of its grace period,
    endpoints take ``factor`` times as long, or, if ``is_silent``, send nothing until
    the gateways have ended; ``slow_share`` says how many of them. The ``cut`` first
    gateways reach no endpoint. Of the callers, ``calls`` send calls. An event has
    ``padding`` bytes.
    """

    stops: int = 3
    gap: float = 11.5
    gateways: int = 3
    callers: int = 45
    calls: int = 0
    engines: int = 6
    events: int = 10
    lengths: str = "same"
    is_stated: bool = False
    stays: bool = True
    served_seconds: float = 8.0
    slow_at: float = 4.0
    factor: float = 7.25
    slow_share: str = "all"
    is_silent: bool = False
    cut: int = 0
    padding: int = 120


class SlowStops(LateStops):
    """One run of a scene; ``sent`` has the requests."""

    def __init__(self, fleet: Fleet, scene: SlowScene, seed: int):
        super().__init__(fleet, 0, seed, scene.factor, scene.is_stated)
        self._scene = scene
        self.stays, self.padding = scene.stays, scene.padding
        self._stopping: set[str] = set()
        self._until = float("inf")
        # Number of callers who were refused last.
        self.unserved = 0

    def pick(self, rng: random.Random, avoided: str | None) -> Gateway:
        """Return a gateway that the directory has, if there is any, or another one."""
        others = [each for each in self.fleet.gateways if each.name != avoided]
        listed = [each for each in others if each.name not in self._stopping]
        return rng.choice(listed or others or self.fleet.gateways)

    def gateway(self, name: str) -> Gateway:
        """Return the gateway of a name."""
        return next(each for each in self.fleet.gateways if each.name == name)

    def draw_events(self, rng: random.Random) -> int:
        """Return how many events a stream has."""
        events = self._scene.events
        if self._scene.lengths == "short":
            return rng.randint(1, events)
        if self._scene.lengths == "long":
            return rng.randint(events, 3 * events)
        if self._scene.lengths == "unlike":
            return 1 + round(rng.expovariate(1 / events))
        return events

    def play(self) -> None:
        """Stop gateways while callers send and endpoints become slow."""
        scene = self._scene
        callers = threading.Thread(target=self._run_all_callers)
        pace = threading.Thread(target=self._change_paces, daemon=True)
        pace.start()
        if scene.served_seconds > 0:
            callers.start()
            time.sleep(scene.served_seconds)
        ends = []
        for number in range(scene.stops):
            ends.append(threading.Thread(target=self._stop, args=(number,)))
            ends[-1].start()
            if number == 0 and scene.served_seconds <= 0:
                time.sleep(-scene.served_seconds)
                callers.start()
            if number < scene.stops - 1:
                time.sleep(scene.gap)
        self._until = time.monotonic() + GRACE_SECONDS + AFTER_SECONDS
        for end in (*ends, callers):
            end.join()

    def _run_all_callers(self) -> None:
        async def run() -> None:
            gateways = self.fleet.gateways
            async with asyncio.TaskGroup() as group:
                for n in range(self._scene.callers):
                    caller = SlowCaller(
                        self,
                        OWN_WAYS[n % len(OWN_WAYS)],
                        random.Random(f"{n} {self._rng.random()}"),
                        "call" if n < self._scene.calls else "stream",
                        gateways[n % len(gateways)],
                    )
                    group.create_task(caller.run(self._is_over))

        asyncio.run(run())

    def _is_over(self, is_refused: bool) -> bool:
        """Whether a caller ends; those that are refused try for longer."""
        extra = RETURN_SECONDS if is_refused else 0.0
        return time.monotonic() > self._until + extra

    def _slow_ones(self) -> set[str]:
        ids = sorted(self.fleet.endpoints)
        kept = {"one": 1, "some": max(1, round(len(ids) * 0.3)), "all": len(ids)}
        return set(self._rng.sample(ids, kept[self._scene.slow_share]))

    def _change_paces(self) -> None:
        scene, rng = self._scene, random.Random(self._rng.random())
        slow = self._slow_ones()
        while (now := time.monotonic()) < self._until:
            signals = [at for each in [*self.signalled_at.values()] for at in each]
            is_slow = any(scene.slow_at <= now - at < GRACE_SECONDS for at in signals)
            for endpoint_id, endpoint in self.fleet.endpoints.items():
                endpoint.event_seconds = EVENT_SECONDS
                endpoint.work_seconds = WORK_SECONDS
                if not is_slow or endpoint_id not in slow:
                    continue
                if scene.is_silent:
                    until = max(signals) + GRACE_SECONDS + AFTER_SECONDS
                    endpoint.event_seconds = endpoint.work_seconds = until - now
                else:
                    endpoint.event_seconds *= scene.factor
                    if endpoint_id.startswith("desk"):
                        endpoint.work_seconds = rng.uniform(*SLOW_CALL_SECONDS)
            time.sleep(PACE_POLL_SECONDS)

    def _stop(self, number: int) -> None:
        index = number % len(self.fleet.gateways)
        gateway = self.fleet.gateways[index]
        at = time.monotonic()
        gateway.process.send_signal(SIGTERM)
        self.signalled_at[gateway.name].append(at)
        self._stopping.add(gateway.name)
        try:
            status = gateway.process.wait(at + GRACE_SECONDS - time.monotonic())
        except subprocess.TimeoutExpired:
            gateway.process.kill()
            status = gateway.process.wait()
        self.ends.append((gateway.name, time.monotonic() - at, status))
        self.fleet.gateways[index] = self.fleet.restart(gateway)
        self.fleet.wait_ready(self.fleet.gateways[index])
        self._stopping.discard(gateway.name)

    def is_lost(self, sent: Sent) -> bool:
        is_over = sent.kind != "stream" and (
            sent.ended_at - sent.began_at > CALL_SECONDS - 0.2
        )
        return not is_over and super().is_lost(sent)

    def describe(self, sent: Sent) -> str:
        """Return lines about a lost request, also of the peers that ran it."""
        peers = [
            f"\n    {gateway.name}: {line[:600]}"
            for gateway in self.fleet.gateways
            if gateway.name != sent.gateway
            for line in gateway.log.splitlines()
            if f"request_id={sent.request_id} " in line
        ]
        return super().describe(sent) + "".join(peers)

    def late(self) -> list[Sent]:
        """The requests that were sent to a gateway between its signal and its end."""
        ends = [(name, seconds) for name, seconds, _ in self.ends]
        late = []
        for sent in self.sent:
            at = self.moment(sent)
            if at is not None and any(
                name == sent.gateway and at < sent.sent_at < at + seconds
                for name, seconds in ends
            ):
                late.append(sent)
        return late

    @property
    def breaches(self) -> list[str]:
        """What a stop may never do, a line each; empty if all is well."""
        return [
            *(self.describe(each) for each in self.lost),
            *(f"{each} was refused and run" for each in self.run_after_refusal),
            *(f"{each} was run twice" for each in self.run_twice),
            *(
                f"{name} ended after {seconds:.2f} s with {status}"
                for name, seconds, status in self.ends
                if status
            ),
        ]

    @property
    def run_after_refusal(self) -> list[str]:
        """The requests that were refused and that an endpoint ran."""
        refused = [each.request_id for each in self.sent if each.status == 503]
        return [each for each in refused if self.fleet.runs(each)]

    @property
    def run_twice(self) -> list[str]:
        """The calls that may not run twice and did."""
        books = [each.request_id for each in self.sent if each.kind == "book"]
        return [each for each in books if self.fleet.runs(each) > 1]

    def summary(self) -> str:
        late = self.late()
        counts = Counter(
            "served"
            if each.is_served
            else "cut"
            if not each.whole
            else "refused"
            if each.status == 503
            else f"error {each.status}"
            for each in late
        )
        served = [each for each in late if each.is_served]
        last = [
            each for each in late if each.sent_at > self.moment(each) + LATE_SECONDS
        ]
        last_served = [each for each in last if each.is_served]
        returns = [each for each in self.sent if each.is_served and each.refused_at]
        codes = Counter(status for _, _, status in self.ends)
        ends = ", ".join(f"{seconds:.1f}" for _, seconds, _ in self.ends)
        return "; ".join(
            [
                f"lost {len(self.lost)}",
                f"sent {len(self.sent)}, after a signal {len(late)} {dict(counts)}, "
                f"late {len(last)}, served {len(last_served)}",
                "refused until served "
                + _spread(each.ended_at - each.refused_at for each in returns)
                + f", never {self.unserved}",
                "until first event "
                + _spread(each.first_at - each.refused_at for each in returns),
                "sent to first event "
                + _spread(each.first_at - each.sent_at for each in served)
                + ", of late ones "
                + _spread(each.first_at - each.sent_at for each in last_served),
                f"ends {ends} {dict(codes)}",
                f"run after 503 {len(self.run_after_refusal)}",
                f"run twice {len(self.run_twice)}",
            ]
        )


def _spread(seconds: Iterable[float]) -> str:
    """Return the number of some times, and their median, 90 % and longest."""
    ordered = sorted(seconds)
    if not ordered:
        return "none"
    median, most = (ordered[int(len(ordered) * share)] for share in (0.5, 0.9))
    return f"{len(ordered)}: {median:.2f} {most:.2f} {ordered[-1]:.2f}"


def play_slow_stops(path: Path, scene: SlowScene, seed: int) -> SlowStops:
    """Play a scene and return what became of the requests."""
    fleet = CutFleet(path)
    try:
        fields = configuration()
        stream = {"streamResume": True, "gapAimMs": 250, "stickySessions": True}
        timeout = {"timeoutMs": round(DEADLINE_SECONDS * 1000)}
        fields["routes"].pop()
        fields["routes"].append(
            route("prompts", "streaming", "pool", **stream, **timeout)
        )
        fleet.configure(fields)
        desks = scene.engines // 2 if scene.calls else 0
        engines = scene.engines if scene.calls < scene.callers else 0
        ids = [*(f"desk-{n}" for n in range(desks))]
        ids += [*(f"engine-{n}" for n in range(engines))]
        for endpoint_id in ids:
            endpoint = TimedEndpoint(endpoint_id, work_seconds=WORK_SECONDS)
            endpoint.event_seconds = EVENT_SECONDS
            fleet.await_on_loop(endpoint.start())
            fleet.endpoints[endpoint_id] = endpoint
            service = "desk" if endpoint_id.startswith("desk") else "pool"
            fleet.register(endpoint_id, service, slots=16)
        for number in range(scene.gateways):
            fleet.start_gateway(f"gateway-{number}", wait=False)
        for gateway in fleet.gateways:
            fleet.wait_ready(gateway)
        wait_for(
            lambda: all(
                len(fleet.addresses(g)) == scene.gateways for g in fleet.gateways
            ),
            "the gateways to know one another",
        )
        for gateway in fleet.gateways[: scene.cut]:
            fleet.cut(gateway, "refuse")
        stops = SlowStops(fleet, scene, seed)
        stops.play()
        return stops
    finally:
        fleet.close()


@click.command()
@click.option("--stops", default=3, show_default=True)
@click.option("--gap", default=11.5, show_default=True)
@click.option("--gateways", default=3, show_default=True)
@click.option("--callers", default=45, show_default=True)
@click.option("--calls", default=0, show_default=True, help="Callers who send calls.")
@click.option("--engines", default=6, show_default=True)
@click.option("--events", default=10, show_default=True)
@click.option("--lengths", type=click.Choice(LENGTHS), default="same")
@click.option("--stated", "is_stated", is_flag=True, help="Streams state their length.")
@click.option("--stay/--leave", "stays", default=False)
@click.option("--served", "served_seconds", default=8.0, show_default=True)
@click.option("--slow-at", default=4.0, show_default=True)
@click.option("--factor", default=7.25, show_default=True)
@click.option("--slow-share", type=click.Choice(SHARES), default="all")
@click.option("--silent", "is_silent", is_flag=True, help="Slow ones send nothing.")
@click.option("--cut", default=0, help="Gateways that reach no endpoint.")
@click.option("--padding", default=120, show_default=True)
@click.option("--fresh", is_flag=True, help="The first requests follow the signal.")
@click.option("--seed", default=1, show_default=True)
@click.option("--keep", type=click.Path(path_type=Path), help="Where logs are kept.")
def main(seed, fresh, keep, **fields) -> None:
    """Play a scene; exits with 1 if a stop did what it may not."""
    if fresh:
        fields["served_seconds"] = -0.1
    with tempfile.TemporaryDirectory() as path:
        stops = play_slow_stops(Path(path), SlowScene(**fields), seed)
        for line in stops.breaches:
            click.echo(line)
        click.echo(f"seed {seed}: {stops.summary()}")
        if keep is not None:
            shutil.copytree(path, keep, dirs_exist_ok=True)
    raise SystemExit(1 if stops.breaches else 0)


if __name__ == "__main__":
    main()

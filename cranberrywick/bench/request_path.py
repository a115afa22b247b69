"""Measure what a request and an endpoint's change cost a daemon, by size of the fleet.

    python -m cranberrywick.bench.request_path

prints milliseconds of processor time for placing each kind of prompt and a plain call,
for the decision whether a placed prompt is deferred, for one endpoint's change received
from a peer, for all endpoints received at a start and for the log line of a request.
Nothing here uses a network.
"""

import io
import random
from collections.abc import Callable
from time import process_time
from typing import NamedTuple

import click

from cranberrywick.bench.prompt_engines import KINDS, PROFILE
from cranberrywick.gateway.deferrals import Deferrals
from cranberrywick.gateway.endpoint_tracker import EndpointTracker
from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.waiter import Waiter
from cranberrywick.logs import EventLog, make_handler
from cranberrywick.routing.demand import Demand, fits_fleet
from cranberrywick.routing.fleet_demand import (
    DemandStatement,
    FleetDemand,
    RankDemand,
    ServiceDemand,
)
from cranberrywick.routing.health import EndpointHealth
from cranberrywick.routing.load import FleetLoad, Job
from cranberrywick.routing.model import (
    EndpointDelta,
    EndpointRecord,
    EndpointView,
    PromptSize,
    Service,
)
from cranberrywick.routing.placement import Placement, Placer
from cranberrywick.routing.relays import update_delay_seconds
from cranberrywick.routing.slowdown import EndpointSlowdowns

__all__ = ["Fleet", "measure"]

ENGINES = Service("engines", 0.0, 0.0, PROFILE)
CALLS = Service("calls", 0.0, 0.0, None)
DOMAINS = ("fd-a", "fd-b", "fd-c")
# Number of endpoints of the plain service for each engine.
CALL_ENDPOINTS_PER_ENGINE = 0.08
JOBS_PER_ENGINE = 2.5
# Time of the measurement on the daemons' clocks, in seconds.
NOW = 100.0


class Fleet(NamedTuple):
    """Numbers of daemons and engines."""

    daemons: int
    engines: int


FLEETS = (Fleet(22, 18), Fleet(67, 78), Fleet(195, 135), Fleet(300, 3000))


def _record(name: str, service: str, number: int) -> EndpointRecord:
    domain = DOMAINS[number % len(DOMAINS)]
    address = f"10.{number % 200}.{number // 200}.1:80"
    return EndpointRecord(name, service, address, domain, 12, False, 0.0, 1)


def _view(fleet: Fleet) -> EndpointView:
    calls = max(3, round(fleet.engines * CALL_ENDPOINTS_PER_ENGINE))
    records = [_record(f"e{n}", ENGINES.name, n) for n in range(fleet.engines)]
    records += [_record(f"c{n}", CALLS.name, n) for n in range(calls)]
    return EndpointView(1, {record.endpoint_id: record for record in records})


def _load(fleet: Fleet, rng: random.Random) -> FleetLoad:
    """Return a load of jobs of all daemons, most of them for short prompts."""
    load = FleetLoad()
    per_daemon = max(1, round(JOBS_PER_ENGINE * fleet.engines / fleet.daemons))
    for daemon in range(fleet.daemons):
        jobs = [
            Job(
                f"e{rng.randrange(fleet.engines)}",
                *(rng.choice((5_000, 5_000, 5_000, 45_000)), 0.03),
                *(NOW - rng.random(), NOW + 0.05, NOW + 0.3),
                decoding=rng.random() < 0.7,
                gap_seconds=0.25,
            )
            for _ in range(per_daemon)
        ]
        load.receive(f"d{daemon}", jobs, NOW)
    return load


def _mean_milliseconds(callback: Callable[[], object], times: int) -> float:
    started = process_time()
    for _ in range(times):
        callback()
    return (process_time() - started) / times * 1000


def measure(fleet: Fleet, times: int) -> dict[str, float]:
    """Return milliseconds of processor time by activity, the mean of ``times`` runs.

    The endpoints of a start are applied once.
    """
    rng = random.Random(1)
    view = _view(fleet)
    tracker = EndpointTracker(EventLog())
    figures = {}
    whole = EndpointTracker(EventLog())
    whole.apply_store_snapshot(view, NOW - 2.0, NOW - 2.0)
    snapshot = whole.full_snapshot(NOW - 1.0)
    figures["all endpoints at a start"] = _mean_milliseconds(
        lambda: tracker.apply_peer_snapshot(snapshot, NOW - 1.0), 1
    )
    placer = Placer(
        _load(fleet, rng),
        EndpointHealth(),
        EndpointSlowdowns(),
        rng,
        lambda: update_delay_seconds(fleet.daemons),
    )

    def place(service: Service, prompt: PromptSize | None, target: float) -> None:
        pool = tracker.registry.index.ready(service.name, frozenset())
        demand = Demand(
            *("r", service, prompt, target, NOW + target, 0.25, "fd-a"),
        )
        fits_fleet(demand, pool)
        placer.place(demand, pool, NOW)

    for kind in KINDS:
        size = PromptSize(int(kind.prompt_tokens), 500)
        figures[f"placement, {kind.name}"] = _mean_milliseconds(
            lambda size=size, kind=kind: place(ENGINES, size, kind.target_seconds),
            times,
        )
    figures["placement, plain call"] = _mean_milliseconds(
        lambda: place(CALLS, None, 0.3), times
    )
    figures["a deferral's decision"] = _decision(fleet, times)
    figures["one endpoint's change"] = _changes(tracker, view, times)
    figures["a request's log line"] = _log_line(times)
    return figures


def _decision(fleet: Fleet, times: int) -> float:
    """Return milliseconds to decide that a prompt of the least urgent rank starts.

    Every daemon states its demand of each rank.
    """
    targets_by_rank = {rank: kind.target_seconds for rank, kind in enumerate(KINDS)}
    demand = FleetDemand()
    stated = tuple(RankDemand(rank, 0, 0.1) for rank in targets_by_rank)
    services = (ServiceDemand(ENGINES.name, stated),)
    for number in range(fleet.daemons):
        demand.receive(f"d{number}", DemandStatement(services=services), NOW)
    deferrals = Deferrals(demand, LazyMetrics("d1"), EventLog(daemon="d1"))
    rank, target = max(targets_by_rank.items())
    request = Demand("r", ENGINES, None, target, NOW + target, 1.0, "fd-a")
    waiter = Waiter(request, rank, NOW, NOW + target, NOW + 10.0, None)
    placement = Placement("e1", (), 0.1, ())
    return _mean_milliseconds(
        lambda: deferrals.may_start(waiter, placement, targets_by_rank, NOW),
        times,
    )


def _changes(tracker: EndpointTracker, view: EndpointView, times: int) -> float:
    """Return milliseconds to apply a peer's snapshot in which one endpoint changed.

    The endpoints start or end draining in turn.
    """
    sender = EndpointTracker(EventLog())
    sender.apply_store_snapshot(view, NOW - 1.0, NOW - 1.0)
    snapshots = []
    for number in range(times):
        name = f"e{number % 18}"
        draining = not view.records_by_id[name].draining
        record = view.records_by_id[name]._replace(draining=draining)
        view = view.with_delta(EndpointDelta((record,), ()), view.revision + 1)
        at = NOW + number * 0.1
        snapshots.append((sender.apply_store_snapshot(view, at, at).snapshot, at))
    pending = iter(snapshots)
    return _mean_milliseconds(
        lambda: tracker.apply_peer_snapshot(*next(pending)), times
    )


def _log_line(times: int) -> float:
    log = EventLog(daemon="d1")
    with make_handler("info", io.StringIO()).applicationbound():
        return _mean_milliseconds(
            lambda: log.info(
                "request_ended",
                request_id="9a5bb11edc41e672",
                route="captions",
                outcome="completed",
                status=200,
                endpoint="i-5ed0fb4115",
                seconds=0.58,
                first_event=0.105,
                target=0.32,
                tokens=5000,
            ),
            times,
        )


@click.command()
@click.option("--times", default=200, show_default=True)
def main(times: int) -> None:
    """Print milliseconds of processor time by activity and size of the fleet."""
    by_fleet = {fleet: measure(fleet, times) for fleet in FLEETS}
    sizes = [f"{fleet.daemons}/{fleet.engines}" for fleet in FLEETS]
    click.echo(f"{'daemons/engines':<28}" + "".join(f"{size:>10}" for size in sizes))
    for activity in by_fleet[FLEETS[0]]:
        row = (f"{by_fleet[fleet][activity]:>10.3f}" for fleet in FLEETS)
        click.echo(f"{activity:<28}" + "".join(row))


if __name__ == "__main__":
    main()

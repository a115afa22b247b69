"""Scenarios of the scheduling benchmark: functions that return a row of figures.

A scenario runs one strategy with one seed. Arrivals depend on the seed alone, so that
all strategies get the same ones. Figures are measured at the callers. A scenario's
doc comment is the title of its table.
"""

from collections.abc import Callable, Iterable
from functools import cache

from cranberrywick.bench.arrivals import (
    SHORT_PROMPT_TOKENS,
    Arrival,
    arrivals,
    capacity_per_second,
    endpoints,
)
from cranberrywick.bench.daemons import Daemons
from cranberrywick.bench.run import Received, Run
from cranberrywick.decisions.strategies import make_strategy

__all__ = ["HIGHER_IS_BETTER", "SCENARIOS", "Row", "Scenario", "percentile"]

Row = dict[str, float]
Scenario = Callable[[str, int], Row]
SCENARIOS: dict[str, Scenario] = {}

# Figures of which a higher value is better; of all others a lower one is.
HIGHER_IS_BETTER = frozenset(
    {
        "useful engine time",
        "in time per s",
        "long in time",
        "others in time",
        "useful, one alone over ten",
        "share 30-80 s after repair",
    }
)

ENGINES = 16
DOMAIN = "domain-1"
HOT_ORGANISATION = "organisation-0009"
SLOW_ENGINE = "engine-003"
SLOWDOWN = 10.0
WARM_UP_SECONDS = 60.0
FAULT_SECONDS = 60.0
REPAIR_SECONDS = 120.0


def scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Return a decorator that registers a scenario in `SCENARIOS` under ``name``."""

    def register(function: Scenario) -> Scenario:
        SCENARIOS[name] = function
        return function

    return register


def percentile(values: Iterable[float], share: float) -> float:
    """Return the smallest value that ``share`` (0 to 1) of the values do not exceed.

    Without values, return NaN.
    """
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@cache
def _capacity() -> float:
    return capacity_per_second(ENGINES, arrivals(0, 20.0, 5_000.0))


def _mix(seed: int, load: float, seconds: float, **options) -> list[Arrival]:
    return arrivals(seed, load * _capacity(), seconds, **options)


def _run(
    strategy: str,
    seed: int,
    found: list[Arrival],
    faults=(),
    daemons: int = 1,
    with_leases: bool = False,
) -> Run:
    in_order = sorted(found, key=lambda arrival: arrival.work.arrival)
    if daemons == 1:
        decides = make_strategy(strategy, seed)
    else:
        decides = Daemons(strategy, daemons, seed, with_leases)
    run = Run(decides, endpoints(ENGINES), in_order, faults)
    run.start()
    return run


def _is_short(received: Received) -> bool:
    return received.work.prompt_tokens <= SHORT_PROMPT_TOKENS


def _short_p95(
    received: Iterable[Received], since: float, until: float = float("inf")
) -> float:
    """Return the 95th percentile of the time to the first token of short prompts.

    It is in seconds, over the prompts that arrived from ``since`` until ``until``.
    """
    return percentile(
        (
            one.first_token_seconds
            for one in received
            if one.first_token_seconds is not None
            and _is_short(one)
            and since <= one.work.arrival < until
        ),
        0.95,
    )


def _share(received: list[Received], outcome: str) -> float:
    if not received:
        return float("nan")
    return sum(one.outcome == outcome for one in received) / len(received)


def _in_time_of_admitted(received: list[Received]) -> float:
    admitted = [one for one in received if one.outcome != "refused"]
    if not admitted:
        return float("nan")
    return sum(one.in_time for one in admitted) / len(admitted)


def _useful_share(run: Run, since: float, until: float) -> float:
    """Return the share of engine time spent on prefill for answers in time."""
    in_time = {one.work.work_id for one in run.received if one.in_time}
    useful = sum(
        max(0.0, min(until, prefill.ended_at) - max(since, prefill.began_at))
        for engine in run.engines_by_id.values()
        for work_id, prefill in engine.prefills_by_work.items()
        if work_id in in_time
    )
    return useful / (ENGINES * (until - since))


def _slowdown(strategy: str, seed: int, load: float) -> Row:
    found = _mix(seed, load, 360.0)
    shorts = [a for a in found if a.work.prompt_tokens <= SHORT_PROMPT_TOKENS]
    # All strategies are compared with the best result for short prompts alone.
    alone = min(
        _short_p95(_run(name, seed, shorts).received, WARM_UP_SECONDS)
        for name in ("least-outstanding", "cranberrywick")
    )
    received = _run(strategy, seed, found).received
    shared = _short_p95(received, WARM_UP_SECONDS)
    longs = [one for one in received if not _is_short(one)]
    return {
        "alone p95 s": alone,
        "shared p95 s": shared,
        "slowdown": shared / alone,
        "refused": _share(received, "refused"),
        "long refused": _share(longs, "refused"),
        "long in time": _in_time_of_admitted(longs),
        "missed": _share(received, "missed"),
    }


@scenario("shorts-70")
def shorts_at_70(strategy: str, seed: int) -> Row:
    """Short prompts with long ones at 70% load, against short ones alone."""
    return _slowdown(strategy, seed, 0.7)


@scenario("shorts-90")
def shorts_at_90(strategy: str, seed: int) -> Row:
    """Short prompts with long ones at 90% load, against short ones alone."""
    return _slowdown(strategy, seed, 0.9)


def _overload(strategy: str, seed: int, load: float) -> Row:
    since, until = 30.0, 150.0
    run = _run(strategy, seed, _mix(seed, load, until))
    received = run.received
    admitted = [one for one in received if one.outcome != "refused"]
    late = sum(not one.in_time for one in admitted)
    return {
        "useful engine time": _useful_share(run, since, until),
        "in time per s": sum(one.in_time for one in received) / until,
        "refused": _share(received, "refused"),
        "given up in queue": sum(
            one.outcome == "refused" and one.total_seconds > 0 for one in received
        )
        / len(received),
        "missed of admitted": _share(admitted, "missed"),
        "late of admitted": late / max(1, len(admitted)),
    }


@scenario("overload-2x")
def overload_2(strategy: str, seed: int) -> Row:
    """Twice what the fleet can do, for 150 s."""
    return _overload(strategy, seed, 2.0)


@scenario("overload-10x")
def overload_10(strategy: str, seed: int) -> Row:
    """Ten times what the fleet can do, for 150 s."""
    return _overload(strategy, seed, 10.0)


@scenario("hot-organisation")
def hot_organisation(strategy: str, seed: int) -> Row:
    """At 60% load one organisation adds ten times its tenth of the fleet."""
    since, until = 30.0, 150.0
    base = _mix(seed, 0.6, until)
    others = [a for a in base if a.work.organisation != HOT_ORGANISATION]
    hot = _mix(seed, 1.0, until, prefix="h", only_organisation=HOT_ORGANISATION)
    ten = _mix(seed, 1.5, until)
    one = [a._replace(work=a.work._replace(organisation=HOT_ORGANISATION)) for a in ten]
    without = _run(strategy, seed, others).received
    with_hot = [
        one
        for one in _run(strategy, seed, others + hot).received
        if one.work.organisation != HOT_ORGANISATION
    ]
    p95_without = _short_p95(without, since)
    p95_with = _short_p95(with_hot, since)
    return {
        "others p95 without s": p95_without,
        "others p95 with s": p95_with,
        "others ratio": p95_with / p95_without,
        "others refused": _share(with_hot, "refused"),
        "others refused without": _share(without, "refused"),
        "others in time": _in_time_of_admitted(with_hot),
        "useful, one alone over ten": _useful_share(
            _run(strategy, seed, one), since, until
        )
        / _useful_share(_run(strategy, seed, ten), since, until),
    }


@scenario("burst")
def burst(strategy: str, seed: int) -> Row:
    """Half load; ten times that from 60 s to 70 s."""
    rate = 0.5 * _capacity()
    found = arrivals(seed, lambda t: 10 * rate if 60.0 <= t < 70.0 else rate, 200.0)
    received = _run(strategy, seed, found).received
    steady = _short_p95(received, 20.0, 60.0)
    windows = [_short_p95(received, t, t + 10.0) for t in range(75, 195, 10)]
    return {
        "steady p95 s": steady,
        "during ratio": _short_p95(received, 60.0, 70.0) / steady,
        "5-15 s after ratio": windows[0] / steady,
        "worst later ratio": max(windows[1:]) / steady,
        "refused": _share(received, "refused"),
        "missed": _share(received, "missed"),
    }


@scenario("slow-endpoint")
def slow_endpoint(strategy: str, seed: int) -> Row:
    """At 60% load one engine is ten times slower from 60 s to 120 s."""
    faults = [
        (FAULT_SECONDS, lambda run: run.set_slowdown(SLOW_ENGINE, SLOWDOWN)),
        (REPAIR_SECONDS, lambda run: run.set_slowdown(SLOW_ENGINE, 1.0)),
    ]
    run = _run(strategy, seed, _mix(seed, 0.6, 200.0), faults)
    return {
        "share 10-60 s after": _sends_share(run, 70.0, 120.0, {SLOW_ENGINE}),
        "share 30-80 s after repair": _sends_share(run, 150.0, 200.0, {SLOW_ENGINE}),
        "p95 before s": _short_p95(run.received, 20.0, 60.0),
        "p95 10-60 s after": _short_p95(run.received, 70.0, 120.0),
        "refused": _share(run.received, "refused"),
        "missed": _share(run.received, "missed"),
    }


def _sends_share(run: Run, since: float, until: float, ids: set[str]) -> float:
    sent = [send for send in run.sends if since <= send.time < until]
    if not sent:
        return float("nan")
    return sum(send.endpoint_id in ids for send in sent) / len(sent)


def _domain_row(run: Run) -> Row:
    received = run.received
    before = _short_p95(received, 20.0, FAULT_SECONDS)
    ids = set(run.endpoints_in(DOMAIN))
    while_out = [
        send
        for send in run.sends
        if FAULT_SECONDS + 3.0 <= send.time < REPAIR_SECONDS and send.endpoint_id in ids
    ]
    return {
        "p95 before s": before,
        "out ratio": _short_p95(received, FAULT_SECONDS, REPAIR_SECONDS) / before,
        "back ratio": _short_p95(received, REPAIR_SECONDS, 200.0) / before,
        "sent there after 3 s": len(while_out),
        "refused": _share(received, "refused"),
        "failed": sum(one.outcome == "failed" for one in received),
        "missed": sum(one.outcome == "missed" for one in received),
        "ran twice": run.not_idempotent_run_twice(),
        "cold overruns": sum(e.cold_overruns for e in run.engines_by_id.values()),
    }


@scenario("domain-by-order")
def domain_by_order(strategy: str, seed: int) -> Row:
    """At 50% load operators take a failure domain out from 60 s to 120 s."""
    faults = [
        (FAULT_SECONDS, lambda run: run.set_domains_out(frozenset({DOMAIN}))),
        (REPAIR_SECONDS, lambda run: run.set_domains_out(frozenset())),
    ]
    return _domain_row(_run(strategy, seed, _mix(seed, 0.5, 200.0), faults))


@scenario("domain-death")
def domain_death(strategy: str, seed: int) -> Row:
    """At 50% load a failure domain dies at 60 s and starts again, cold, at 120 s."""
    faults = [
        (FAULT_SECONDS, lambda run: run.kill(run.endpoints_in(DOMAIN))),
        (REPAIR_SECONDS, lambda run: run.restart(run.endpoints_in(DOMAIN))),
    ]
    return _domain_row(_run(strategy, seed, _mix(seed, 0.5, 200.0), faults))


def _nine_daemons(strategy: str, seed: int, with_leases: bool) -> Row:
    faults = [
        (FAULT_SECONDS, lambda run: run.kill(run.endpoints_in(DOMAIN))),
        (REPAIR_SECONDS, lambda run: run.restart(run.endpoints_in(DOMAIN))),
    ]
    found = _mix(seed, 0.5, 200.0)
    return _domain_row(_run(strategy, seed, found, faults, 9, with_leases))


@scenario("nine-daemons")
def nine_daemons(strategy: str, seed: int) -> Row:
    """As domain-death, but nine daemons that share nothing but late reports."""
    return _nine_daemons(strategy, seed, with_leases=False)


@scenario("nine-daemons-leases")
def nine_daemons_with_leases(strategy: str, seed: int) -> Row:
    """As nine-daemons, with slots leased by each endpoint's ledger."""
    return _nine_daemons(strategy, seed, with_leases=True)

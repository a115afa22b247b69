"""Measure the time of one decision, by size of the fleet and number of organisations.

The strategy runs against simulated engines at a load above their capacity, so that
there is a queue, and each of its calls is timed.
"""

import gc
import time
from collections import defaultdict
from statistics import mean
from typing import NamedTuple

from cranberrywick.bench.arrivals import arrivals, capacity_per_second, endpoints
from cranberrywick.bench.run import Run
from cranberrywick.decisions.strategies import make_strategy
from cranberrywick.decisions.strategy import Strategy

__all__ = ["CallCost", "measure"]

# Arrival rate as a multiple of the fleet's capacity.
LOAD = 1.2
# Approximate number of requests of a run; the same for all sizes of the fleet.
REQUESTS = 6_000
# Methods of the strategy that are timed.
TIMED = ("offer", "poll", "first_token", "finished", "report_load", "next_wake")


class CallCost(NamedTuple):
    """Duration of one kind of call, in microseconds."""

    mean: float
    percentile_99: float
    largest: float


class _TimedStrategy:
    """Passes calls on to a strategy and records the duration of each."""

    def __init__(self, strategy: Strategy):
        self._strategy = strategy
        self.microseconds_by_call: dict[str, list[float]] = defaultdict(list)

    def __getattr__(self, name: str):
        call = getattr(self._strategy, name)
        if name not in TIMED:
            return call
        times = self.microseconds_by_call[name]

        def timed(*arguments):
            began = time.perf_counter_ns()
            answer = call(*arguments)
            times.append((time.perf_counter_ns() - began) / 1_000)
            return answer

        return timed


def measure(
    strategy: str, number_of_endpoints: int, organisations: int, seed: int = 0
) -> dict[str, CallCost]:
    """Return the cost of each kind of call, by the name of the method."""
    sample = arrivals(0, 20.0, 5_000.0)
    rate = LOAD * capacity_per_second(number_of_endpoints, sample)
    found = arrivals(seed, rate, REQUESTS / rate, organisations)
    timed = _TimedStrategy(make_strategy(strategy, seed))
    # Otherwise the collection of the benchmark's own objects would count as time of
    # the strategy.
    gc.disable()
    Run(timed, endpoints(number_of_endpoints), found).start()
    gc.enable()
    return {name: _cost(times) for name, times in timed.microseconds_by_call.items()}


def _cost(times: list[float]) -> CallCost:
    ordered = sorted(times)
    return CallCost(mean(ordered), ordered[int(0.99 * len(ordered))], ordered[-1])

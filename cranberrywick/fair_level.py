"""Max-min fair shares of a capacity, for both cores."""

from collections.abc import Iterable

__all__ = ["fair_level"]


def fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share of ``capacity``, or infinity if all demands fit.

    >>> fair_level([1.0, 2.0, 20.0], capacity=10.0)
    7.0
    """
    ordered = sorted(demands)
    remaining = capacity
    for index, demand in enumerate(ordered):
        share = remaining / (len(ordered) - index)
        if demand >= share:
            return share
        remaining -= demand
    return float("inf")

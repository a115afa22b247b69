"""Markdown tables of the figures: median over the seeds and worst seed."""

from collections.abc import Mapping, Sequence
from statistics import median

from cranberrywick.bench.decision_cost import CallCost
from cranberrywick.bench.scenarios import HIGHER_IS_BETTER, Row

__all__ = ["cost_table", "scenario_table"]


def scenario_table(title: str, rows_by_strategy: Mapping[str, Sequence[Row]]) -> str:
    """Return the table of one scenario, with a column for each strategy."""
    names = list(rows_by_strategy)
    lines = [f"### {title}", "", _line(["median (worst seed)", *names])]
    lines.append(_line(["---"] + ["---:"] * len(names)))
    for figure in rows_by_strategy[names[0]][0]:
        cells = [_cell(figure, rows_by_strategy[name]) for name in names]
        lines.append(_line([figure, *cells]))
    return "\n".join(lines)


def cost_table(costs_by_size: Mapping[tuple[int, int], Mapping[str, CallCost]]) -> str:
    """Return the table of the cost of calls, in microseconds.

    ``costs_by_size`` has the cost of each call, by endpoints and organisations; a cell
    has the mean, the 99th percentile and the largest.
    """
    calls = list(next(iter(costs_by_size.values())))
    lines = [
        "### Microseconds a call: mean / 99 in 100 / largest",
        "",
        _line(["endpoints, organisations", *calls]),
        _line(["---"] + ["---:"] * len(calls)),
    ]
    for (endpoints, organisations), costs in costs_by_size.items():
        cells = [
            f"{cost.mean:.0f} / {cost.percentile_99:.0f} / {cost.largest:.0f}"
            for cost in costs.values()
        ]
        lines.append(_line([f"{endpoints}, {organisations}", *cells]))
    return "\n".join(lines)


def _cell(figure: str, rows: Sequence[Row]) -> str:
    values = [row[figure] for row in rows]
    worst = min(values) if figure in HIGHER_IS_BETTER else max(values)
    return f"{median(values):.3g} ({worst:.3g})"


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"

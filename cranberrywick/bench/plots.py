"""Plots of the scenarios, as self-contained SVG files."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from statistics import median

from pygal import Bar, Config

from cranberrywick.bench.scenarios import Row

__all__ = ["write_plots"]

Results = Mapping[str, Mapping[str, Sequence[Row]]]

# Scenarios of each plot.
SLOWDOWN = ("shorts-70", "shorts-90")
OVERLOAD = ("overload-2x", "overload-10x")


def write_plots(results: Results, folder: Path) -> list[Path]:
    """Write the plots whose scenarios are in ``results`` and return their files.

    ``results`` has the rows of each strategy, by scenario and strategy.
    """
    plots = (
        (
            "slowdown",
            SLOWDOWN,
            "slowdown",
            "Short prompts' slowdown by long ones",
            True,
        ),
        (
            "useful",
            OVERLOAD,
            "useful engine time",
            "Useful share under overload",
            False,
        ),
    )
    written = []
    for name, scenarios, figure, title, is_logarithmic in plots:
        found = [scenario for scenario in scenarios if scenario in results]
        if found:
            path = folder / f"{name}.svg"
            _write(path, results, found, figure, title, is_logarithmic)
            written.append(path)
    return written


def _write(
    path: Path,
    results: Results,
    scenarios: Sequence[str],
    figure: str,
    title: str,
    is_logarithmic: bool,
) -> None:
    # By default pygal refers to scripts on another host, which fail offline.
    config = Config(js=[], logarithmic=is_logarithmic, print_values=True)
    chart = Bar(config, title=f"{title} (median of the seeds)")
    chart.value_formatter = lambda value: f"{value:.3g}"
    chart.x_labels = list(scenarios)
    for strategy in results[scenarios[0]]:
        values = [
            median(row[figure] for row in results[scenario][strategy])
            for scenario in scenarios
        ]
        chart.add(strategy, values)
    chart.render_to_file(str(path))

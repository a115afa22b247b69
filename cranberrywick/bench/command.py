"""Command line of the scheduling benchmark."""

import time
from multiprocessing import Pool
from pathlib import Path

import click

from cranberrywick.bench.decision_cost import measure
from cranberrywick.bench.plots import write_plots
from cranberrywick.bench.scenarios import SCENARIOS, Row
from cranberrywick.bench.tables import cost_table, scenario_table

__all__ = ["main"]

STRATEGY_NAMES = ("round-robin", "least-outstanding", "cranberrywick")
COST = "cost"
# Endpoints and organisations of each run that measures the cost of a decision.
SIZES = ((16, 10), (16, 2_100), (620, 10), (620, 2_100))

Job = tuple[str, str, int]


def _run_job(job: Job) -> Row:
    scenario, strategy, seed = job
    return SCENARIOS[scenario](strategy, seed)


@click.command()
@click.option(
    "--scenario",
    "names",
    multiple=True,
    type=click.Choice([*SCENARIOS, COST]),
    help="Only this one; may be given more than once.",
)
@click.option("--seeds", default=10, show_default=True, help="Runs of each.")
@click.option("--processes", default=3, show_default=True)
@click.option(
    "--plots",
    type=click.Path(file_okay=False, path_type=Path),
    help="Write plots into this folder.",
)
def main(
    names: tuple[str, ...], seeds: int, processes: int, plots: Path | None
) -> None:
    """Measure the decisions against the baselines, by what callers receive.

    Every strategy gets the same arrivals for the same seed. For example
    ``python -m cranberrywick.bench --scenario shorts-90 --seeds 3``.
    """
    chosen = names or (*SCENARIOS, COST)
    began = time.monotonic()
    results = _run_all([name for name in chosen if name != COST], seeds, processes)
    for name, rows_by_strategy in results.items():
        title = f"{name}: {SCENARIOS[name].__doc__}"
        click.echo(scenario_table(title, rows_by_strategy) + "\n")
    if COST in chosen:
        costs = {size: measure("cranberrywick", *size) for size in SIZES}
        click.echo(cost_table(costs) + "\n")
    if plots is not None:
        plots.mkdir(parents=True, exist_ok=True)
        for path in write_plots(results, plots):
            click.echo(f"wrote {path}")
    click.echo(f"{seeds} seeds, {time.monotonic() - began:.0f} s")


def _run_all(
    names: list[str], seeds: int, processes: int
) -> dict[str, dict[str, list[Row]]]:
    jobs = [
        (name, strategy, seed)
        for name in names
        for strategy in STRATEGY_NAMES
        for seed in range(seeds)
    ]
    results: dict[str, dict[str, list[Row]]] = {}
    with Pool(processes) as pool:
        # `imap` yields each result as it comes, in order, so that the bar advances.
        with click.progressbar(
            pool.imap(_run_job, jobs), len(jobs), file=_stderr()
        ) as bar:
            for (name, strategy, _), row in zip(jobs, bar, strict=True):
                results.setdefault(name, {}).setdefault(strategy, []).append(row)
    return results


def _stderr():
    return click.get_text_stream("stderr")

"""``cranberrywick report``: reports on error budgets, lost requests and latency."""

import json
import re
import sys
from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path

import click

from cranberrywick.errors import CranberrywickError
from cranberrywick.reports.breakdown import Grouping, counts_by_group
from cranberrywick.reports.gather import gather_burn
from cranberrywick.reports.latency import latency_of
from cranberrywick.reports.latency_table import render_latency
from cranberrywick.reports.log_lines import LogLine, UnreadableLine, read_lines
from cranberrywick.reports.loss_table import render_losses, write_loss_plot
from cranberrywick.reports.losses import Weights, losses_of
from cranberrywick.reports.page import render_page
from cranberrywick.reports.table import render_table

__all__ = ["report"]

EXIT_PARTIAL = 3
EXIT_NO_ANSWER = 4
# Share of its worth that a late answer still has for its caller, by default.
DEFAULT_LATE_SHARE = 0.25


def _compile_domain_pattern(
    context: click.Context, parameter: click.Parameter, value: str | None
) -> re.Pattern[str] | None:
    if value is None:
        return None
    try:
        pattern = re.compile(value)
    except re.error as error:
        raise click.BadParameter(f"{value!r}: {error}") from None
    if not pattern.groups:
        raise click.BadParameter(f"{value!r} has no group for the failure domain")
    return pattern


@click.group()
def report() -> None:
    """Report how well the fleet meets its targets."""


@report.command()
@click.option(
    "--entry",
    "--daemon",
    "entries",
    multiple=True,
    required=True,
    envvar="CRANBERRYWICK_DAEMONS",
    help="Any daemon, as http://HOST:PORT; repeat it, the first that answers is used.",
)
@click.option(
    "--key",
    "--operator-key",
    "key",
    required=True,
    envvar="CRANBERRYWICK_OPERATOR_KEY",
    help="An operator's key; better given in CRANBERRYWICK_OPERATOR_KEY.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")
@click.option(
    "--html",
    "html_file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write one self-contained page with plots to this file.",
)
def burn(
    entries: tuple[str, ...], key: str, as_json: bool, html_file: Path | None
) -> None:
    """Show how fast each class spends its error budget, from all daemons.

    A burn of 1 spends the budget exactly; "-" means that no request was counted.

    \b
    Example:
      cranberrywick report burn --entry http://127.0.0.1:8080 --html burn.html

    \b
    Exit codes:
      0  every daemon answered
      2  the command line is wrong
      3  the report is made, but some daemons did not answer
      4  no daemon answered, or the key was refused
    """
    try:
        answer = gather_burn(entries, key)
    except CranberrywickError as error:
        click.echo(f"error: {error.type}: {error.message}", err=True)
        sys.exit(EXIT_NO_ANSWER)
    if html_file is not None:
        html_file.write_text(render_page(answer, datetime.now(UTC)), encoding="utf-8")
    click.echo(
        json.dumps(answer, indent=2) if as_json else render_table(answer), nl=as_json
    )
    if not answer["daemons"]:
        sys.exit(EXIT_NO_ANSWER)
    if answer["silent"]:
        sys.exit(EXIT_PARTIAL)


@report.command()
@click.argument(
    "logs", nargs=-1, required=True, type=click.File(encoding="utf-8", errors="replace")
)
@click.option(
    "--worth",
    "worths",
    multiple=True,
    help="ROUTE=WORTH; a route that is not named has worth 1.",
)
@click.option(
    "--late-share",
    default=DEFAULT_LATE_SHARE,
    show_default=True,
    help="Share of its worth that a late answer keeps.",
)
@click.option(
    "--without-route",
    "routes_left_out",
    multiple=True,
    metavar="ROUTE",
    help="Don't count requests on this route, such as operators' probes; repeat it.",
)
@click.option(
    "--by",
    "groupings",
    multiple=True,
    type=click.Choice([grouping.value for grouping in Grouping]),
    help="Also show requests on time, late, refused and lost by this; repeat it.",
)
@click.option(
    "--domain-pattern",
    callback=_compile_domain_pattern,
    metavar="REGEX",
    help="Its first group is the failure domain in the name of a daemon.",
)
@click.option(
    "--served",
    type=click.FloatRange(0, 1),
    help="Share of the worth that callers counted as served.",
)
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write a plot of each second to this SVG file.",
)
def losses(
    logs: tuple[Iterable[str], ...],
    worths: tuple[str, ...],
    late_share: float,
    routes_left_out: tuple[str, ...],
    groupings: tuple[str, ...],
    domain_pattern: re.Pattern[str] | None,
    served: float | None,
    plot: Path | None,
) -> None:
    """Show how many requests were lost and why, from daemons' logs.

    With --served, also show the share that would have been served if every request
    that reached a daemon had been on time.

    \b
    Example:
      cranberrywick report losses gateway-*.log --worth captions=1.3 --plot hour.svg
      cranberrywick report losses gateway-*.log --by priority \\
        --by failure-domain --domain-pattern '^front-([a-z]+)-' --without-route probe

    \b
    Exit codes:
      0  the report is made
      2  the command line is wrong
      3  the report is made, but some lines held no event
      4  no line describes a request
    """
    if Grouping.FAILURE_DOMAIN in groupings and domain_pattern is None:
        raise click.UsageError("--by failure-domain needs --domain-pattern")
    lines, unreadable = _read_logs(logs)
    weights = Weights(_worth_by_route(worths), late_share)
    loss_report = losses_of(lines, weights, routes_left_out)
    breakdowns = {
        name: counts_by_group(loss_report.requests, Grouping(name), domain_pattern)
        for name in groupings
    }
    click.echo(render_losses(loss_report, unreadable, served, breakdowns), nl=False)
    if not loss_report.requests:
        sys.exit(EXIT_NO_ANSWER)
    if plot is not None:
        write_loss_plot(loss_report, plot)
    if unreadable:
        sys.exit(EXIT_PARTIAL)


@report.command()
@click.argument(
    "logs", nargs=-1, required=True, type=click.File(encoding="utf-8", errors="replace")
)
def latency(logs: tuple[Iterable[str], ...]) -> None:
    """Show how soon requests were answered, from daemons' logs.

    Times to the first token are shown by length of prompt, those of short prompts
    also by how much long work arrived in the same second, and calls by endpoint.

    \b
    Example:
      cranberrywick report latency gateway-*.log

    \b
    Exit codes:
      0  the report is made
      2  the command line is wrong
      3  the report is made, but some lines held no event
      4  no line describes an answer
    """
    lines, unreadable = _read_logs(logs)
    latency_report = latency_of(lines)
    click.echo(render_latency(latency_report, unreadable), nl=False)
    if not (latency_report.by_length or latency_report.calls_by_endpoint):
        sys.exit(EXIT_NO_ANSWER)
    if unreadable:
        sys.exit(EXIT_PARTIAL)


def _read_logs(
    logs: Iterable[Iterable[str]],
) -> tuple[list[LogLine], list[UnreadableLine]]:
    lines: list[LogLine] = []
    unreadable: list[UnreadableLine] = []
    for log in logs:
        for line in read_lines(getattr(log, "name", "-"), log):
            if isinstance(line, LogLine):
                lines.append(line)
            elif line is not None:
                unreadable.append(line)
    return lines, unreadable


def _worth_by_route(worths: tuple[str, ...]) -> dict[str, float]:
    worth_by_route = {}
    for assignment in worths:
        route, _, worth = assignment.rpartition("=")
        try:
            worth_by_route[route] = float(worth)
        except ValueError:
            raise click.BadParameter(f"{assignment!r} is not ROUTE=WORTH") from None
    return worth_by_route

"""Format a loss report as plain text, and plot the losses over time."""

from collections.abc import Mapping, Sequence
from heapq import nlargest
from operator import itemgetter
from pathlib import Path
from types import MappingProxyType

from pygal import Config, StackedBar

from cranberrywick.reports.breakdown import OutcomeCounts
from cranberrywick.reports.log_lines import UnreadableLine
from cranberrywick.reports.losses import Cause, LossReport, LossSum

__all__ = ["render_losses", "unreadable_lines", "write_loss_plot"]

# Most unreadable lines that a report lists.
MAX_UNREADABLE_LISTED = 5
# Most routes that a report lists as possible probes.
MAX_ROUTES_LISTED = 10
SECONDS_BETWEEN_LABELS = 5


def render_losses(
    report: LossReport,
    unreadable: Sequence[UnreadableLine],
    served: float | None,
    breakdowns: Mapping[str, Mapping[str, OutcomeCounts]] = MappingProxyType({}),
) -> str:
    """Return the report as lines of text.

    ``served`` is the share of the worth, from 0 to 1, that callers counted as served;
    with it, the text also states the share that was within reach of the daemons.
    ``breakdowns`` are further tables, by the name of what their groups share.
    """
    lines = [_row("cause", "requests", "worth", "lost", "examples")]
    lines += [_loss_row(str(cause), lost) for cause, lost in report.by_cause.items()]
    lines += ["", _row("route: cause", "requests", "worth", "lost", "examples")]
    lines += [
        _loss_row(f"{route}: {cause}", lost)
        for (route, cause), lost in report.by_route.items()
        if lost.lost
    ]
    for name, groups in breakdowns.items():
        lines += ["", *_breakdown_rows(name, groups)]
    lines += ["", *_totals(report, served), *_uncounted(report)]
    lines += unreadable_lines(unreadable)
    return "\n".join(lines) + "\n"


def unreadable_lines(unreadable: Sequence[UnreadableLine]) -> list[str]:
    """Return the note of a report on unreadable lines, empty if there were none."""
    if not unreadable:
        return []
    named = ", ".join(
        f"{line.source}:{line.number}" for line in unreadable[:MAX_UNREADABLE_LISTED]
    )
    return [f"lines that hold no event: {len(unreadable)} ({named})"]


def _row(name: str, count: str, worth: str, lost: str, examples: str) -> str:
    return f"{name:<40} {count:>8} {worth:>9} {lost:>9}  {examples}"


def _loss_row(name: str, lost: LossSum) -> str:
    examples = " ".join(lost.examples) if lost.lost else ""
    return _row(
        name, str(lost.count), f"{lost.worth:.1f}", f"{lost.lost:.1f}", examples
    )


def _totals(report: LossReport, served: float | None) -> list[str]:
    if not report.owed:
        return ["no request that was allowed"]
    share = report.lost / report.owed
    lines = [f"owed {report.owed:.1f}, lost {report.lost:.1f} ({share:.3f})"]
    if served is not None:
        # What callers lost and no daemon logged never reached a daemon.
        reachable = min(1.0, served + share)
        lines.append(
            f"callers were served {served:.3f}; had all that reached a daemon been "
            f"on time: {reachable:.3f}; never reached one: {1 - reachable:.3f}"
        )
    return lines


def _breakdown_rows(
    name: str, counts_by_group: Mapping[str, OutcomeCounts]
) -> list[str]:
    rows = [
        (group, counts.requests, *counts) for group, counts in counts_by_group.items()
    ]
    return [
        f"{group:<40} {requests:>8} {on_time:>9} {late:>9} {refused:>9} {lost:>9}"
        for group, requests, on_time, late, refused, lost in [
            (name, "requests", "on time", "late", "refused", "lost"),
            *rows,
        ]
    ]


def _uncounted(report: LossReport) -> list[str]:
    lines = []
    if report.left_out:
        lines.append(f"requests on routes that were left out: {report.left_out}")
    if report.anonymous_by_route:
        most = nlargest(
            MAX_ROUTES_LISTED, report.anonymous_by_route.items(), key=itemgetter(1)
        )
        listed = ", ".join(f"{route} {count}" for route, count in most)
        lines.append(
            "routes without an organisation or a token count, which may be probes "
            f"(--without-route): {len(report.anonymous_by_route)} ({listed})"
        )
    return lines


def write_loss_plot(report: LossReport, path: Path) -> None:
    """Write an SVG plot of the worth lost in each second of arrival, by cause."""
    seconds = range(min(report.by_second), max(report.by_second) + 1)
    config = Config(js=[], x_labels_major_every=SECONDS_BETWEEN_LABELS)
    chart = StackedBar(config, title="Worth lost by the second of arrival")
    chart.show_minor_x_labels = False
    chart.x_labels = [str(second - seconds.start) for second in seconds]
    for cause in Cause:
        values = [report.by_second.get(s, {}).get(cause, 0.0) for s in seconds]
        if any(values):
            chart.add(str(cause), values)
    chart.render_to_file(str(path))

"""A latency report as text."""

from collections.abc import Mapping, Sequence

from cranberrywick.reports.latency import Latency, LatencyReport
from cranberrywick.reports.log_lines import Unreadable
from cranberrywick.reports.loss_table import unreadable_lines

__all__ = ["render_latency"]


def render_latency(report: LatencyReport, unreadable: Sequence[Unreadable]) -> str:
    """Return the report as lines, times in seconds."""
    tables = {
        "first token by prompt length": report.by_length,
        "first token of short prompts": report.short_by_neighbours,
        "calls by endpoint": report.calls_by_endpoint,
    }
    lines: list[str] = []
    for title, latencies in tables.items():
        lines += [*_table(title, latencies), ""]
    lines += unreadable_lines(unreadable)
    return "\n".join(lines) + "\n"


def _table(title: str, latencies: Mapping[str, Latency]) -> list[str]:
    head = _row(title, "answers", "late", "p50", "p95", "p99")
    return [head] + [
        _row(name, str(each.count), str(each.late), *map(_seconds, each[2:]))
        for name, each in latencies.items()
    ]


def _seconds(value: float) -> str:
    return f"{value:.3f}"


def _row(name: str, *columns: str) -> str:
    return f"{name:<32}" + "".join(f" {column:>8}" for column in columns)

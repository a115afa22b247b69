"""Format a latency report as plain text."""

from collections.abc import Mapping, Sequence

from cranberrywick.reports.latency import Latency, LatencyReport
from cranberrywick.reports.log_lines import UnreadableLine
from cranberrywick.reports.loss_table import unreadable_lines

__all__ = ["render_latency"]


def render_latency(report: LatencyReport, unreadable: Sequence[UnreadableLine]) -> str:
    """Return the report as lines of text, with times in seconds."""
    tables = {
        "first token by prompt length": report.by_length,
        "first token of short prompts": report.short_by_long_work,
        "calls by endpoint": report.calls_by_endpoint,
    }
    lines: list[str] = []
    for title, latencies in tables.items():
        lines += [*_table(title, latencies), ""]
    lines += unreadable_lines(unreadable)
    return "\n".join(lines) + "\n"


def _table(title: str, latencies: Mapping[str, Latency]) -> list[str]:
    header = _row(title, "answers", "late", "p50", "p95", "p99")
    return [header] + [
        _row(
            name,
            str(latency.count),
            str(latency.late),
            *map(_format_seconds, latency[2:]),
        )
        for name, latency in latencies.items()
    ]


def _format_seconds(value: float) -> str:
    return f"{value:.3f}"


def _row(name: str, *columns: str) -> str:
    return f"{name:<32}" + "".join(f" {column:>8}" for column in columns)

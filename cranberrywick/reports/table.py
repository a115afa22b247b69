"""Format a burn report as plain text."""

from cranberrywick.reports.burn import WINDOWS_SECONDS, Objective
from cranberrywick.reports.fleet import BurnReport, ClassReport

__all__ = ["format_burn", "render_table", "report_notes"]

# Share of a window below which a note says that its figures cover only a part of it.
FULL_COVERAGE = 0.99


def render_table(report: BurnReport) -> str:
    """Return the report as text for a terminal, with a final newline."""
    lines = [_header(), *_rows(report), "", *report_notes(report)]
    return "\n".join(lines) + "\n"


def format_burn(burn: float | str | None) -> str:
    """Return a burn rate as text, "-" when no request was counted."""
    if burn is None:
        return "-"
    return burn if isinstance(burn, str) else f"{burn:.2f}"


def _header() -> str:
    return _line("class", "objective", "target", WINDOWS_SECONDS, "alert")


def _line(class_name, objective, target, values, alert) -> str:
    cells = "".join(f"{value:>9}" for value in values)
    return f"{class_name:<16} {objective:<15} {target:>9}{cells}  {alert}"


def _rows(report: BurnReport) -> list[str]:
    return [
        _row(name, answer, objective.label)
        for name, answer in report["classes"].items()
        for objective in Objective
    ]


def _row(name: str, answer: ClassReport, label: str) -> str:
    burns = [
        format_burn(window["burn"]) for window in answer["windows"][label].values()
    ]
    target = f"{answer['targets_seconds'][label]:g} s"
    return _line(name, label, target, burns, answer["alerts"][label])


def report_notes(report: BurnReport) -> list[str]:
    """Return the notes below the table: who answered and what limits the figures."""
    notes = [f"daemons that answered: {', '.join(report['daemons']) or 'none'}"]
    notes += [
        f"did not answer: {daemon['address']} ({daemon['reason']})"
        for daemon in report["silent"]
    ]
    if len(report["configuration_versions"]) > 1:
        versions = ", ".join(map(str, report["configuration_versions"]))
        notes.append(f"configuration versions differ: {versions}")
    partly_observed = [
        f"{window} {share:.0%}"
        for window, share in report["coverage"].items()
        if share < FULL_COVERAGE
    ]
    if partly_observed:
        notes.append(f"part of the window that was seen: {', '.join(partly_observed)}")
    return notes

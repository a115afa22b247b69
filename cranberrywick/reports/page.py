"""Render a burn report as one self-contained HTML page with plots."""

from datetime import datetime
from html import escape
from importlib.resources import files
from string import Template

import pygal
from pygal.style import Style

from cranberrywick.reports.burn import (
    STEP_COUNT,
    STEP_SECONDS,
    WINDOWS_SECONDS,
    Counts,
    Objective,
    burn_rate,
)
from cranberrywick.reports.fleet import BurnReport, ClassReport
from cranberrywick.reports.table import format_burn, report_notes

__all__ = ["render_page"]

# Burn rate at which plots are cut off, since an axis cannot show an infinite one. It is
# above the limit of every alert rule.
PLOT_CEILING = 100.0
# Labels on the time axis are an hour apart.
STEPS_BETWEEN_LABELS = 12

_STYLE = Style(background="transparent", plot_background="transparent")


def render_page(report: BurnReport, made_at: datetime) -> str:
    """Return the page as HTML; it loads nothing from other addresses."""
    template = Template(
        files("cranberrywick.reports").joinpath("page.html").read_text()
    )
    return template.substitute(
        made_at=escape(made_at.isoformat(timespec="seconds")),
        notes="\n".join(f"<li>{escape(note)}</li>" for note in report_notes(report)),
        window_headers="".join(f"<th>{window}</th>" for window in WINDOWS_SECONDS),
        rows="\n".join(_rows(report)),
        plots="\n".join(
            _class_plots(name, answer) for name, answer in report["classes"].items()
        ),
    )


def _rows(report: BurnReport) -> list[str]:
    return [
        _row(name, answer, objective.label)
        for name, answer in report["classes"].items()
        for objective in Objective
    ]


def _row(name: str, answer: ClassReport, label: str) -> str:
    cells = [name, label, f"{answer['targets_seconds'][label]:g} s"]
    cells += [
        format_burn(window["burn"]) for window in answer["windows"][label].values()
    ]
    cells.append(answer["alerts"][label])
    cells_html = "".join(f"<td>{escape(cell)}</td>" for cell in cells)
    return f'<tr class="{escape(answer["alerts"][label])}">{cells_html}</tr>'


def _class_plots(name: str, answer: ClassReport) -> str:
    charts = (_window_chart(answer), _history_chart(answer))
    images = "".join(f"<figure>{_svg(chart)}</figure>" for chart in charts)
    return f'<h2>{escape(name)}</h2>\n<div class="plots">{images}</div>'


def _window_chart(answer: ClassReport) -> pygal.Bar:
    chart = _chart(pygal.Bar, "Burn by window")
    chart.x_labels = list(WINDOWS_SECONDS)
    for objective in Objective:
        windows = answer["windows"][objective.label].values()
        chart.add(
            objective.label, [_to_plot_value(window["burn"]) for window in windows]
        )
    return chart


def _history_chart(answer: ClassReport) -> pygal.Line:
    chart = _chart(pygal.Line, "Burn over the last six hours")
    chart.x_labels = [_hours_ago(step) for step in range(STEP_COUNT)]
    chart.x_labels_major_every = STEPS_BETWEEN_LABELS
    chart.show_minor_x_labels = False
    for objective in Objective:
        steps = answer["steps"][objective.label]
        rates = [burn_rate(Counts(*step), answer["attainment"]) for step in steps]
        chart.add(objective.label, [_to_plot_value(rate) for rate in rates])
    return chart


def _chart(chart_class: type[pygal.Graph], title: str) -> pygal.Graph:
    # By default, pygal links a script on its project's site. The page would then not
    # be self-contained, and would show no numbers on a network without that site.
    return chart_class(
        js=(),
        style=_STYLE,
        title=title,
        width=640,
        height=360,
        legend_at_bottom=True,
        print_values=False,
        include_x_axis=True,
    )


def _svg(chart: pygal.Graph) -> str:
    return chart.render(is_unicode=True, disable_xml_declaration=True)


def _hours_ago(step: int) -> str:
    return f"-{(STEP_COUNT - step) * STEP_SECONDS / 3600:g} h"


def _to_plot_value(burn: float | str | None) -> float | None:
    if burn is None:
        return None
    return PLOT_CEILING if isinstance(burn, str) else min(burn, PLOT_CEILING)

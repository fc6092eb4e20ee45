"""Charts of the burn report as inline SVG; needs the extra ``plots``."""

from __future__ import annotations

import importlib
import io
from typing import Any
from typing import TYPE_CHECKING

import logbook

from verbenastream.process.reports import counters

if TYPE_CHECKING:
    from verbenastream.process.reports import report as reports

LOG = logbook.Logger(__name__)

_DAY_S = 86_400.0
# Distinct also in greyscale and for readers with a colour deficiency.
_COLOURS_BY_CAUSE = {
    counters.Cause.UNPLANNED: '#c1272d',
    counters.Cause.MAINTENANCE: '#0f62a8',
    counters.Cause.MOVE: '#e8a33d',
    counters.Cause.OVERLOAD: '#6b6b6b',
}
_ROW_HEIGHT_IN = 1.5
_WIDTH_IN = 10.0


def render_svg(report: reports.BurnReport) -> str | None:
    """Return the charts, or None without matplotlib or services."""
    if not report.services:
        return None
    try:
        figures = importlib.import_module('matplotlib.figure')
    except ImportError:
        LOG.info('matplotlib is not installed, the report has no charts')
        return None
    count = len(report.services)
    figure = figures.Figure(
        figsize=(_WIDTH_IN, _ROW_HEIGHT_IN * count + 1.0),
        layout='constrained',
    )
    rows = figure.subplots(count, 2, squeeze=False, sharex='col')
    for axes, service in zip(rows, report.services, strict=True):
        _budget(axes[0], service, report.generated_at)
        _bad(axes[1], service, report.generated_at)
    rows[0][0].set_title('budget left (%)', fontsize=10)
    rows[0][1].set_title('bad requests per hour by cause', fontsize=10)
    for axes in rows[-1]:
        axes.set_xlabel('days before the report')
    handles, labels = rows[0][1].get_legend_handles_labels()
    figure.legend(handles, labels, loc='outside lower center', ncols=4)
    return _svg(figure)


def _days(service: reports.ServiceBurn, now: float) -> list[float]:
    return [(hour.at - now) / _DAY_S for hour in service.hours]


def _budget(axes: Any, service: reports.ServiceBurn, now: float) -> None:
    left = []
    bad = 0
    for hour in service.hours:
        bad += sum(hour.bad_by_cause.values())
        share = bad / service.budget_requests if service.budget_requests else 1
        left.append(100.0 * (1.0 - share))
    axes.plot(_days(service, now), left, color='#222222', linewidth=1.2)
    axes.axhline(0.0, color='#c1272d', linewidth=0.8)
    axes.set_ylim(min(-5.0, *left, 0.0), 105.0)
    axes.set_ylabel(
        service.service, fontsize=8, rotation=0, ha='right', va='center'
    )
    axes.tick_params(labelsize=8)


def _bad(axes: Any, service: reports.ServiceBurn, now: float) -> None:
    days = _days(service, now)
    below = [0] * len(days)
    for cause, colour in _COLOURS_BY_CAUSE.items():
        counts = [
            hour.bad_by_cause.get(cause.value, 0) for hour in service.hours
        ]
        axes.bar(
            days,
            counts,
            width=1 / 24,
            align='edge',
            bottom=below,
            color=colour,
            label=cause.value,
        )
        below = [low + count for low, count in zip(below, counts, strict=True)]
    axes.set_ylim(0, max([1, *below]) * 1.05)
    axes.tick_params(labelsize=8)


def _svg(figure: Any) -> str:
    output = io.StringIO()
    figure.savefig(output, format='svg', metadata={'Date': None})
    text = output.getvalue()
    # The XML prologue is not allowed inside an HTML page.
    return text[text.index('<svg') :]

"""Draws the charts of the burn report as SVG; needs the extra ``plots``."""

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

_HOUR_S = 3_600.0
_DAY_S = 86_400.0
# Longer spans have one bar per day: 672 hourly bars per service are too thin
# to see and need megabytes.
_MAX_HOURLY_S = 3 * _DAY_S
# Distinguishable in greyscale and with colour vision deficiency.
_COLOURS_BY_CAUSE = {
    counters.Cause.UNPLANNED.value: '#c1272d',
    counters.Cause.MAINTENANCE.value: '#0f62a8',
    counters.Cause.MOVE.value: '#e8a33d',
    counters.Cause.OVERLOAD.value: '#6b6b6b',
}
_ROW_HEIGHT_IN = 1.5
_WIDTH_IN = 10.0


def render_svg(report: reports.BurnReport) -> str | None:
    """Return the charts, None if there is no matplotlib or no service."""
    if not report.services:
        return None
    try:
        matplotlib = importlib.import_module('matplotlib')
        figure_module = importlib.import_module('matplotlib.figure')
    except ImportError:
        LOG.info('matplotlib is not installed, the report has no charts')
        return None
    count = len(report.services)
    figure = figure_module.Figure(
        figsize=(_WIDTH_IN, _ROW_HEIGHT_IN * count + 1.0),
        layout='constrained',
    )
    rows = figure.subplots(count, 2, squeeze=False, sharex='col')
    for axes, service in zip(rows, report.services, strict=True):
        _plot_remaining_budget(axes[0], service, report.generated_at)
        _plot_bad_requests(axes[1], service, report.generated_at)
    daily = any(_bar_width_s(burn) == _DAY_S for burn in report.services)
    unit = 'day' if daily else 'hour'
    rows[0][0].set_title('budget left (%)', fontsize=10)
    rows[0][1].set_title(f'bad requests per {unit} by cause', fontsize=10)
    for axes in rows[-1]:
        axes.set_xlabel('days before the report')
    handles, labels = rows[0][1].get_legend_handles_labels()
    figure.legend(handles, labels, loc='outside lower center', ncols=4)
    return _to_svg(figure, matplotlib)


def _days_from_report(service: reports.ServiceBurn, now: float) -> list[float]:
    return [(hour.at - now) / _DAY_S for hour in service.hours]


def _plot_remaining_budget(
    axes: Any, service: reports.ServiceBurn, now: float
) -> None:
    remaining_percent = []
    bad = 0
    for hour in service.hours:
        bad += sum(hour.bad_by_cause.values())
        share = bad / service.budget_requests if service.budget_requests else 1
        remaining_percent.append(100.0 * (1.0 - share))
    axes.plot(
        _days_from_report(service, now),
        remaining_percent,
        color='#222222',
        linewidth=1.2,
    )
    axes.axhline(0.0, color='#c1272d', linewidth=0.8)
    axes.set_ylim(min(-5.0, *remaining_percent, 0.0), 105.0)
    axes.set_ylabel(
        service.service, fontsize=8, rotation=0, ha='right', va='center'
    )
    axes.tick_params(labelsize=8)


def _plot_bad_requests(
    axes: Any, service: reports.ServiceBurn, now: float
) -> None:
    width_s = _bar_width_s(service)
    counts_by_bar: dict[float, dict[str, int]] = {}
    for hour in service.hours:
        start = hour.at - hour.at % width_s
        counts = counts_by_bar.setdefault(start, {})
        for cause, count in hour.bad_by_cause.items():
            counts[cause] = counts.get(cause, 0) + count
    days = [(start - now) / _DAY_S for start in counts_by_bar]
    bar_bottoms = [0] * len(days)
    for cause, colour in _COLOURS_BY_CAUSE.items():
        heights = [counts.get(cause, 0) for counts in counts_by_bar.values()]
        axes.bar(
            days,
            heights,
            width=0.85 * width_s / _DAY_S,
            align='edge',
            bottom=bar_bottoms,
            color=colour,
            label=cause,
        )
        bar_bottoms = [
            previous + count
            for previous, count in zip(bar_bottoms, heights, strict=True)
        ]
    axes.set_ylim(0, max([1, *bar_bottoms]) * 1.05)
    axes.tick_params(labelsize=8)


def _bar_width_s(service: reports.ServiceBurn) -> float:
    hours = service.hours
    if hours and hours[-1].at - hours[0].at > _MAX_HOURLY_S:
        return _DAY_S
    return _HOUR_S


def _to_svg(figure: Any, matplotlib: Any) -> str:
    output = io.StringIO()
    # Text is not converted to paths, so it can be searched and the page has
    # half the size.
    with matplotlib.rc_context({'svg.fonttype': 'none'}):
        figure.savefig(output, format='svg', metadata={'Date': None})
    text = output.getvalue()
    # The XML prologue is not allowed inside an HTML page.
    return text[text.index('<svg') :]

"""Renders the burn report as a self-contained HTML page."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING

from verbenastream.process.reports import plots
from verbenastream.process.reports import text

if TYPE_CHECKING:
    from verbenastream.process.reports import report as reports

_HEADERS = (
    'service',
    'target',
    'budget spent',
    'burn 5 min',
    'burn 1 h',
    'burn 6 h',
    'burn 3 d',
    'forecast',
    'short wait p99',
    'moves',
)
_STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto;
       max-width: 72em; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: .3em .7em; border-bottom: 1px solid #ddd;
         text-align: left; }
td + td { font-variant-numeric: tabular-nums; }
svg { max-width: 100%; height: auto; }
.note { color: #666; }
"""


def render_html(report: reports.BurnReport) -> str:
    """Return the page, with charts if matplotlib is installed."""
    moment = text.format_time(report.generated_at)
    parts = [
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
        f'<title>Service-level burn {moment}</title>',
        f'<style>{_STYLE}</style></head><body>',
        '<h1>Service-level burn</h1>',
        f'<p class="note">{moment}, budgets over 28 days, '
        f'{text.format_duration(report.recorded_s)} recorded. A burn rate of '
        '1 spends exactly the budget in 28 days.</p>',
        _render_table(report),
        plots.render_svg(report)
        or '<p class="note">Install the extra "plots" for charts.</p>',
        '<h2>What spent it</h2>',
        *(_render_causes(service) for service in report.services),
        _render_fleet(report.fleet),
        '</body></html>',
    ]
    return '\n'.join(parts) + '\n'


def _render_table(report: reports.BurnReport) -> str:
    header = ''.join(f'<th>{name}</th>' for name in _HEADERS)
    rows = [
        '<tr>'
        + ''.join(f'<td>{html.escape(str(cell))}</td>' for cell in row)
        + '</tr>'
        for row in text.table_rows(report)
    ]
    return f'<table><tr>{header}</tr>{"".join(rows)}</table>'


def _render_causes(service: reports.ServiceBurn) -> str:
    items = [
        f'<li>{cause.cause}: {cause.bad} ({cause.share:.0%})'
        + ''.join(f'<br>{html.escape(event)}' for event in cause.events)
        + '</li>'
        for cause in service.causes
        if cause.bad
    ]
    name = html.escape(service.service)
    if not items:
        return f'<h3>{name}</h3><p>No bad request.</p>'
    return (
        f'<h3>{name}</h3><p>{service.bad} bad of '
        f'{service.good + service.bad}.</p><ul>{"".join(items)}</ul>'
    )


def _render_fleet(fleet: reports.FleetFigures) -> str:
    return (
        '<h2>Fleet</h2><table>'
        f'<tr><td>instances</td><td>{fleet.instances}</td></tr>'
        f'<tr><td>held in reserve</td><td>{fleet.buffer_instances:g}, '
        f'{fleet.buffer_instance_hours:.1f} instance hours</td></tr>'
        f'<tr><td>moves</td><td>{fleet.moves}</td></tr>'
        '<tr><td>latest roll-out</td>'
        f'<td>{text.format_duration(fleet.rollout_s)}</td></tr></table>'
    )

"""Renders the burn report as text and as JSON."""

from __future__ import annotations

import datetime
import json
import textwrap
from typing import Any

from verbenastream.process.reports import report as reports
from verbenastream import wire

_MINUTE_S = 60.0
_HOUR_S = 3_600.0
_DAY_S = 86_400.0
_COLUMNS = 79


def format_duration(seconds: float | None) -> str:
    """Return a duration in the largest suitable unit, ``-`` for None."""
    if seconds is None:
        return '-'
    if seconds < 1.0:
        return f'{seconds * 1e3:.0f} ms'
    for unit, name in ((_DAY_S, 'd'), (_HOUR_S, 'h'), (_MINUTE_S, 'min')):
        if seconds >= 2 * unit:
            return f'{seconds / unit:.1f} {name}'
    return f'{seconds:.1f} s'


def format_share(value: float | None) -> str:
    """Return a share as a percentage; None means no budget."""
    return 'no budget' if value is None else f'{value * 100:.1f}%'


def format_rate(value: float | None) -> str:
    """Return a burn rate; None means no budget."""
    return 'none' if value is None else f'{value:.2f}'


def format_forecast(service: reports.ServiceBurn) -> str:
    """Return when the budget will be spent, for the report."""
    if service.exhausted_in_s is None:
        return 'not spent at the rate of the last 6 h'
    if service.exhausted_in_s == 0.0:
        return 'spent'
    return (
        f'spent in {format_duration(service.exhausted_in_s)} at the rate of '
        'the last 6 h'
    )


def format_time(seconds: float) -> str:
    """Return a Unix time as text in UTC."""
    utc_time = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return utc_time.strftime('%Y-%m-%d %H:%M UTC')


def render_json(report: reports.BurnReport) -> str:
    """Return the report as indented JSON."""
    decoded = json.loads(wire.encode(report))
    return json.dumps(decoded, indent=2, ensure_ascii=False) + '\n'


def render_text(report: reports.BurnReport) -> str:
    """Return the report as text for a terminal, 79 columns wide."""
    lines = [
        f'Service-level burn, {format_time(report.generated_at)}, budgets '
        f'over 28 days, {format_duration(report.recorded_s)} recorded',
        '',
        *_table_lines(report),
    ]
    for service in report.services:
        lines.extend(_service_lines(service))
    lines.extend(_fleet_lines(report.fleet))
    wrapped = [
        textwrap.fill(line, _COLUMNS, subsequent_indent='    ')
        for line in lines
    ]
    return '\n'.join(wrapped) + '\n'


def _table_lines(report: reports.BurnReport) -> list[str]:
    header = (
        f'{"service":<25}{"target":>8}{"spent":>10}{"5 min":>8}{"1 h":>8}'
        f'{"6 h":>8}{"3 d":>8}'
    )
    lines = [header]
    for service in report.services:
        rates = ''.join(
            f'{format_rate(window.burn_rate):>8}' for window in service.windows
        )
        lines.append(
            f'{service.service:<25.25}{service.availability:>8.3%}'
            f'{format_share(service.spent):>10}{rates}'
        )
    return [*lines, '']


def _service_lines(service: reports.ServiceBurn) -> list[str]:
    lines = [
        f'{service.service}: {service.bad} bad of '
        f'{service.good + service.bad}, budget '
        f'{service.budget_requests:.0f} over 28 days, '
        f'{format_forecast(service)}',
        '  short work waits '
        f'{format_duration(service.short_wait_p50_s)} (p50), '
        f'{format_duration(service.short_wait_p99_s)} (p99); '
        f'moves {service.moves}',
    ]
    for cause in service.causes:
        if not cause.bad:
            continue
        event_labels = '; '.join(cause.events) or 'no event recorded'
        lines.append(
            f'  {cause.cause}: {cause.bad} ({cause.share:.0%}), {event_labels}'
        )
    return lines


def _fleet_lines(fleet: reports.FleetFigures) -> list[str]:
    return [
        '',
        f'fleet: {fleet.instances} instances, '
        f'{fleet.buffer_instances:g} held in reserve '
        f'({fleet.buffer_instance_hours:.1f} instance hours), '
        f'{fleet.moves} moves, latest roll-out '
        f'{format_duration(fleet.rollout_s)}',
    ]


def table_rows(report: reports.BurnReport) -> list[list[Any]]:
    """Return the cells of the table, for the HTML page."""
    return [
        [
            service.service,
            f'{service.availability:.3%}',
            format_share(service.spent),
            *(format_rate(window.burn_rate) for window in service.windows),
            format_forecast(service),
            format_duration(service.short_wait_p99_s),
            service.moves,
        ]
        for service in report.services
    ]

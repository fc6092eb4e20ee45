"""The burn report as text and as JSON."""

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


def duration(seconds: float | None) -> str:
    """Return a duration in its largest fitting unit, ``-`` for None."""
    if seconds is None:
        return '-'
    if seconds < 1.0:
        return f'{seconds * 1e3:.0f} ms'
    for unit, name in ((_DAY_S, 'd'), (_HOUR_S, 'h'), (_MINUTE_S, 'min')):
        if seconds >= 2 * unit:
            return f'{seconds / unit:.1f} {name}'
    return f'{seconds:.1f} s'


def share(value: float | None) -> str:
    """Return a share as a percentage; a service without budget has none."""
    return 'no budget' if value is None else f'{value * 100:.1f}%'


def rate(value: float | None) -> str:
    return 'none' if value is None else f'{value:.2f}'


def forecast(service: reports.ServiceBurn) -> str:
    """Return the forecast as a sentence."""
    if service.exhausted_in_s is None:
        return 'not spent at the rate of the last 6 h'
    if service.exhausted_in_s == 0.0:
        return 'spent'
    return (
        f'spent in {duration(service.exhausted_in_s)} at the rate of the '
        'last 6 h'
    )


def moment(seconds: float) -> str:
    found = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return found.strftime('%Y-%m-%d %H:%M UTC')


def render_json(report: reports.BurnReport) -> str:
    """Return the report as indented JSON."""
    plain = json.loads(wire.encode(report))
    return json.dumps(plain, indent=2, ensure_ascii=False) + '\n'


def render_text(report: reports.BurnReport) -> str:
    """Return the report as text for a terminal, 79 columns wide."""
    lines = [
        f'Service-level burn, {moment(report.generated_at)}, budgets over '
        f'28 days, {duration(report.recorded_s)} recorded',
        '',
        *_table(report),
    ]
    for service in report.services:
        lines.extend(_causes(service))
    lines.extend(_fleet(report.fleet))
    wrapped = [
        textwrap.fill(line, _COLUMNS, subsequent_indent='    ')
        for line in lines
    ]
    return '\n'.join(wrapped) + '\n'


def _table(report: reports.BurnReport) -> list[str]:
    header = (
        f'{"service":<25}{"target":>8}{"spent":>10}{"5 min":>8}{"1 h":>8}'
        f'{"6 h":>8}{"3 d":>8}'
    )
    lines = [header]
    for service in report.services:
        rates = ''.join(
            f'{rate(window.burn_rate):>8}' for window in service.windows
        )
        lines.append(
            f'{service.service:<25.25}{service.availability:>8.3%}'
            f'{share(service.spent):>10}{rates}'
        )
    return [*lines, '']


def _causes(service: reports.ServiceBurn) -> list[str]:
    lines = [
        f'{service.service}: {service.bad} bad of '
        f'{service.good + service.bad}, budget '
        f'{service.budget_requests:.0f} over 28 days, {forecast(service)}',
        f'  short work waits {duration(service.short_wait_p50_s)} (p50), '
        f'{duration(service.short_wait_p99_s)} (p99); moves {service.moves}',
    ]
    for cause in service.causes:
        if not cause.bad:
            continue
        named = '; '.join(cause.events) or 'no event recorded'
        lines.append(
            f'  {cause.cause}: {cause.bad} ({cause.share:.0%}), {named}'
        )
    return lines


def _fleet(fleet: reports.FleetFigures) -> list[str]:
    return [
        '',
        f'fleet: {fleet.instances} instances, '
        f'{fleet.buffer_instances:g} held in reserve '
        f'({fleet.buffer_instance_hours:.1f} instance hours), '
        f'{fleet.moves} moves, latest roll-out {duration(fleet.rollout_s)}',
    ]


def table_rows(report: reports.BurnReport) -> list[list[Any]]:
    """Return the cells of the table, for the HTML page."""
    return [
        [
            service.service,
            f'{service.availability:.3%}',
            share(service.spent),
            *(rate(window.burn_rate) for window in service.windows),
            forecast(service),
            duration(service.short_wait_p99_s),
            service.moves,
        ]
        for service in report.services
    ]

"""Configures logging: one line of JSON or text per record."""

from __future__ import annotations

import sys
from typing import Any
from typing import TYPE_CHECKING

import logbook

from verbenastream.process import log_limits
from verbenastream.process import settings
from verbenastream import wire

if TYPE_CHECKING:
    from collections.abc import Mapping

_LOGBOOK_LEVELS = {
    settings.LogLevel.DEBUG: logbook.DEBUG,
    settings.LogLevel.INFO: logbook.INFO,
    settings.LogLevel.WARNING: logbook.WARNING,
    settings.LogLevel.ERROR: logbook.ERROR,
}


def install(
    config: settings.Logging, process: str, stdout: bool = False
) -> None:
    """Send all log records of this process to standard error.

    With ``stdout`` they go to standard output instead, limited in volume and
    without blocking.

    ``process`` is the process id in each JSON record. Callers pass structured
    values in ``extra``::

        LOG.info('revision applied', extra={'revision': 3})
    """
    level = _LOGBOOK_LEVELS[config.level]
    formatter: Any = _format_text
    if config.format is settings.LogFormat.JSON:
        formatter = _json_formatter(process)
    handler: logbook.Handler
    if stdout:
        handler = log_limits.BoundedHandler(
            sys.stdout.fileno(), level, formatter
        )
    else:
        handler = logbook.StreamHandler(sys.stderr, level=level)
        handler.formatter = formatter
    handler.push_application()


def _json_formatter(process: str) -> Any:
    def format_record(record: logbook.LogRecord, handler: Any) -> str:
        line = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
            'process': process,
            'logger': record.channel,
            'message': record.message,
        }
        line.update(_extra_values(record))
        return wire.encode(line).decode()

    return format_record


def _format_text(record: logbook.LogRecord, handler: Any) -> str:
    extra = ' '.join(
        f'{key}={value}' for key, value in _extra_values(record).items()
    )
    time = record.time.strftime('%H:%M:%S.%f')[:-3]
    return (
        f'{time} {record.level_name} {record.channel}: {record.message}'
        f' {extra}'
    ).rstrip()


def _extra_values(record: logbook.LogRecord) -> Mapping[str, Any]:
    return {
        key: value
        if isinstance(value, (int, float, str, bool, type(None)))
        else str(value)
        for key, value in record.extra.items()
    }

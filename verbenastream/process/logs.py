"""Structured logs: one JSON line or one line of text per record."""

from __future__ import annotations

import sys
from typing import Any
from typing import TextIO
from typing import TYPE_CHECKING

import logbook

from verbenastream.process import settings
from verbenastream import wire

if TYPE_CHECKING:
    from collections.abc import Mapping

_LEVELS_BY_SETTING = {
    settings.LogLevel.DEBUG: logbook.DEBUG,
    settings.LogLevel.INFO: logbook.INFO,
    settings.LogLevel.WARNING: logbook.WARNING,
    settings.LogLevel.ERROR: logbook.ERROR,
}


def install(
    config: settings.Logging, process: str, stream: TextIO = sys.stderr
) -> None:
    """Send all log records of this process to ``stream``.

    ``process`` is the id that each JSON record carries. Records pass
    structured values in ``extra``::

        LOG.info('revision applied', extra={'revision': 3})
    """
    handler = logbook.StreamHandler(
        stream, level=_LEVELS_BY_SETTING[config.level]
    )
    match config.format:
        case settings.LogFormat.JSON:
            handler.formatter = _json_formatter(process)
        case settings.LogFormat.TEXT:
            handler.formatter = _format_text
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
        line.update(_extra(record))
        return wire.encode(line).decode()

    return format_record


def _format_text(record: logbook.LogRecord, handler: Any) -> str:
    extra = ' '.join(f'{key}={value}' for key, value in _extra(record).items())
    time = record.time.strftime('%H:%M:%S.%f')[:-3]
    return (
        f'{time} {record.level_name} {record.channel}: {record.message}'
        f' {extra}'
    ).rstrip()


def _extra(record: logbook.LogRecord) -> Mapping[str, Any]:
    return {
        key: value
        if isinstance(value, (int, float, str, bool, type(None)))
        else str(value)
        for key, value in record.extra.items()
    }

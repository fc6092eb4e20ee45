"""The command ``verbenastream report burn``."""

from __future__ import annotations

import enum
import pathlib
import sys

import cyclopts

from verbenastream.process.client import exit_codes
from verbenastream.process.client import options
from verbenastream.process.client import transport
from verbenastream.process import reports
from verbenastream.process import traces

report = cyclopts.App(name='report', help='Reports of the deployment.')

_DEFAULT_CONNECTION = options.Connection()


class ReportFormat(enum.Enum):
    """Output formats of the burn report."""

    TEXT = 'text'
    JSON = 'json'
    HTML = 'html'


@report.command
def burn(
    *,
    format: ReportFormat = ReportFormat.TEXT,
    output: pathlib.Path | None = None,
    trace: pathlib.Path | None = None,
    connection: options.Connection = _DEFAULT_CONNECTION,
) -> int:
    """Show what each service spent of its availability budget.

    Example: verbenastream report burn --format html --output burn.html
    --control 10.0.0.1:8002

    Parameters
    ----------
    format
        Text, JSON or a self-contained HTML page.
    output
        Write to this file instead of standard output.
    trace
        Report on a recorded trace instead of the running deployment.
    """
    if trace is not None:
        header, events = traces.read(trace)
        burn_report = traces.TraceBurn(header).report(events)
    else:
        burn_report = transport.run(
            connection.target(),
            transport.Call('GET', '/v1/report/burn'),
            reports.BurnReport,
        )
    if connection.json:
        format = ReportFormat.JSON
    match format:
        case ReportFormat.JSON:
            text = reports.render_json(burn_report)
        case ReportFormat.HTML:
            text = reports.render_html(burn_report)
        case ReportFormat.TEXT:
            text = reports.render_text(burn_report)
    if output is None:
        sys.stdout.write(text.rstrip('\n') + '\n')
    else:
        output.write_text(text)
    return exit_codes.ExitCode.OK

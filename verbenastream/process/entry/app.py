"""Command line of verbenastream-entry."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import Annotated

import cyclopts

from verbenastream import errors
from verbenastream.process.entry import daemon
from verbenastream.process import logs
from verbenastream.process import settings

app = cyclopts.App(
    name='verbenastream-entry',
    help='Serve callers on one entry instance.',
)


@app.default
def run(
    *,
    settings_file: Annotated[
        pathlib.Path, cyclopts.Parameter(name='--settings')
    ],
) -> None:
    """Serve until SIGTERM, then finish the open requests and exit with 0.

    Example: verbenastream-entry --settings entry-1.json

    Parameters
    ----------
    settings_file
        JSON settings of this process; see docs/configuration.md.
    """
    config = settings.load(settings_file, settings.EntrySettings)
    logs.install(config.logging, config.id)
    asyncio.run(daemon.Daemon.from_config(config).run())


def main() -> None:
    """Run the daemon; exit with 2 for invalid settings."""
    try:
        app()
    except errors.InvalidInputGroup as group:
        for problem in group.problems:
            print(problem, file=sys.stderr)
        sys.exit(2)
    except errors.VerbenastreamError as error:
        print(error, file=sys.stderr)
        sys.exit(2)

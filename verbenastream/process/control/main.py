"""Command line of verbenastream-control."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import Annotated

import cyclopts

from verbenastream import errors
from verbenastream.process.control import daemon
from verbenastream.process import logs
from verbenastream.process import settings

_EXIT_INVALID_SETTINGS = 3
_EXIT_CANNOT_START = 4

_SETTINGS_FLAG = cyclopts.Parameter(name='--settings')

app = cyclopts.App(
    name='verbenastream-control', help='Runs one control process.'
)


@app.default
def run(*, file: Annotated[pathlib.Path, _SETTINGS_FLAG]) -> None:
    """Run a control process until SIGTERM or SIGINT.

    Example: verbenastream-control --settings /etc/verbenastream/control.json

    Parameters
    ----------
    file
        Path of the JSON settings file of this process.
    """
    sys.exit(start(file))


def start(path: pathlib.Path) -> int:
    """Run the process and return its exit code.

    The code is 0 after an orderly stop; exit-codes.md lists the others.
    """
    try:
        config = settings.load(path, settings.ControlSettings)
    except (errors.InvalidInputGroup, settings.SettingsFileError) as error:
        print(daemon.startup_error_text(error), file=sys.stderr)
        return _EXIT_INVALID_SETTINGS
    logs.install(config.logging, config.id)
    try:
        asyncio.run(daemon.run(config))
    except (errors.VerbenastreamError, OSError) as error:
        print(f'cannot start: {error}', file=sys.stderr)
        return _EXIT_CANNOT_START
    return 0


def main() -> None:
    """Entry point of the installed command."""
    app()

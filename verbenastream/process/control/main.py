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

_INVALID_SETTINGS = 3
_CANNOT_START = 4

_SETTINGS = cyclopts.Parameter(name='--settings')

app = cyclopts.App(
    name='verbenastream-control', help='Runs one control process.'
)


@app.default
def run(*, file: Annotated[pathlib.Path, _SETTINGS]) -> None:
    """Run until SIGTERM.

    Example: verbenastream-control --settings /etc/verbenastream/control.json

    Parameters
    ----------
    file
        Path of the JSON settings file of this process.
    """
    sys.exit(start(file))


def start(path: pathlib.Path) -> int:
    """Return 0 after an orderly stop, else an exit code of exit-codes.md."""
    try:
        config = settings.load(path, settings.ControlSettings)
    except (errors.InvalidInputGroup, settings.SettingsFileError) as error:
        print(daemon.describe(error), file=sys.stderr)
        return _INVALID_SETTINGS
    logs.install(config.logging, config.id)
    try:
        asyncio.run(daemon.run(config))
    except (errors.VerbenastreamError, OSError) as error:
        print(f'cannot start: {error}', file=sys.stderr)
        return _CANNOT_START
    return 0


def main() -> None:
    """Entry point of the installed command."""
    app()

"""Command-line client of verbenastream."""

from __future__ import annotations

from verbenastream.process.client.app import main
from verbenastream.process.client.app import run
from verbenastream.process.client.exit_codes import ExitCode

__all__ = [
    'ExitCode',
    'main',
    'run',
]

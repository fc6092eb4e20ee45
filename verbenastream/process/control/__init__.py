"""The daemon of the control process, verbenastream-control."""

from __future__ import annotations

from verbenastream.process.control.daemon import ControlDaemon
from verbenastream.process.control.main import main

__all__ = [
    'ControlDaemon',
    'main',
]

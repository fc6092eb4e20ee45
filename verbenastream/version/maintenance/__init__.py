"""Maintenance: windows, admission, drains, notices and roll-outs."""

from __future__ import annotations

from verbenastream.version.maintenance.admission import Admission
from verbenastream.version.maintenance.drain import escalate
from verbenastream.version.maintenance.drain import take_noticed
from verbenastream.version.maintenance.schedule import PERIOD_S

__all__ = [
    'PERIOD_S',
    'Admission',
    'escalate',
    'take_noticed',
]

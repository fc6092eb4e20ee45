"""Maintenance: windows, admission, drains, notices and roll-outs."""

from __future__ import annotations

from verbenastream.version.maintenance.admission import Admission
from verbenastream.version.maintenance.drain import escalate
from verbenastream.version.maintenance.drain import take_noticed
from verbenastream.version.maintenance.rollouts import Rollout
from verbenastream.version.maintenance.rollouts import RolloutCore
from verbenastream.version.maintenance.rollouts import RolloutKind
from verbenastream.version.maintenance.rollouts import RolloutStatus
from verbenastream.version.maintenance.schedule import PERIOD_S

__all__ = [
    'PERIOD_S',
    'Admission',
    'Rollout',
    'RolloutCore',
    'RolloutKind',
    'RolloutStatus',
    'escalate',
    'take_noticed',
]

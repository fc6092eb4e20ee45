"""Maintenance windows, admission, drains, platform notices and roll-outs."""

from __future__ import annotations

from verbenastream.version.maintenance.admission import Admission
from verbenastream.version.maintenance.drain import advance_maintenance
from verbenastream.version.maintenance.drain import drain_for_notices
from verbenastream.version.maintenance.rollouts import Rollout
from verbenastream.version.maintenance.rollouts import RolloutCore
from verbenastream.version.maintenance.rollouts import RolloutKind
from verbenastream.version.maintenance.rollouts import RolloutStatus
from verbenastream.version.maintenance.schedule import MAINTENANCE_PERIOD_S

__all__ = [
    'MAINTENANCE_PERIOD_S',
    'Admission',
    'Rollout',
    'RolloutCore',
    'RolloutKind',
    'RolloutStatus',
    'advance_maintenance',
    'drain_for_notices',
]

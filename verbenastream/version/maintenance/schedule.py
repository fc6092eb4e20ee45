"""Computes when instances are due for maintenance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenastream.version.maintenance import windows

if TYPE_CHECKING:
    from verbenastream.version.documents import schema

DAY_S = 86_400.0
# Every instance is maintained once in four weeks.
MAINTENANCE_PERIOD_S = 28 * DAY_S
# Maintenance pauses after failures and losses and while a budget burns fast;
# a week absorbs these pauses.
PAUSE_SLACK_S = 7 * DAY_S
# Instances usually return from maintenance within this time.
TYPICAL_RETURN_S = 600.0


def expected_downtime_s(policy: schema.MaintenancePolicy) -> float:
    """Return the time that one instance is unavailable, drain included.

    The drain is assumed to take its whole timeout.
    """
    return policy.drain_timeout_s + TYPICAL_RETURN_S


def min_age_s(policy: schema.MaintenancePolicy, instances: int) -> float:
    """Return the minimum time between two maintenances of an instance.

    The maintenance of all ``instances`` of a pool takes a whole number of
    weeks, given its windows. It starts early enough to end, with the slack,
    within the period, so that pools with few windows start earlier.
    """
    open_s = windows.open_s_per_week(policy)
    if not open_s:
        return MAINTENANCE_PERIOD_S
    rounds = math.ceil(instances / policy.max_unavailable)
    weeks = math.ceil(rounds * expected_downtime_s(policy) / open_s)
    return max(0.0, MAINTENANCE_PERIOD_S - PAUSE_SLACK_S - weeks * 7 * DAY_S)

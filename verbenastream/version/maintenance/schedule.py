"""When an instance is due for maintenance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenastream.version.maintenance import windows

if TYPE_CHECKING:
    from verbenastream.version.documents import schema

DAY_S = 86_400.0
# Every instance is maintained once in four weeks.
PERIOD_S = 28 * DAY_S
# Waves pause on failures, burns and losses; a week absorbs these pauses.
SLACK_S = 7 * DAY_S
# An instance that is down for maintenance is usually back within this time.
TYPICAL_RETURN_S = 600.0


def expected_s(policy: schema.MaintenancePolicy) -> float:
    """Return how long one instance is away when the drain takes its limit."""
    return policy.drain_timeout_s + TYPICAL_RETURN_S


def earliest_age_s(policy: schema.MaintenancePolicy, instances: int) -> float:
    """Return the time since the last maintenance after which one may start.

    A wave over ``instances`` needs whole weeks of windows; with the slack it
    ends before the period does. Pools with rare windows start earlier.
    """
    open_s = windows.open_s_per_week(policy)
    if not open_s:
        return PERIOD_S
    rounds = math.ceil(instances / policy.max_unavailable)
    weeks = math.ceil(rounds * expected_s(policy) / open_s)
    return max(0.0, PERIOD_S - SLACK_S - weeks * 7 * DAY_S)

"""Pool sizes, buffers and moves."""

from __future__ import annotations

from verbenastream.version.planning.plan import Action
from verbenastream.version.planning.plan import ActionKind
from verbenastream.version.planning.plan import apply_transition
from verbenastream.version.planning.plan import Explanation
from verbenastream.version.planning.plan import InvalidTransitionError
from verbenastream.version.planning.plan import Plan
from verbenastream.version.planning.plan import Reason
from verbenastream.version.planning.plan import StaleTransitionError
from verbenastream.version.planning.plan import Transition
from verbenastream.version.planning.planner import Planner
from verbenastream.version.planning.state import BudgetSpent
from verbenastream.version.planning.state import DataCentrePresence
from verbenastream.version.planning.state import Demand
from verbenastream.version.planning.state import FleetState
from verbenastream.version.planning.state import Notice

__all__ = [
    'Action',
    'ActionKind',
    'BudgetSpent',
    'DataCentrePresence',
    'Demand',
    'Explanation',
    'FleetState',
    'InvalidTransitionError',
    'Notice',
    'Plan',
    'Planner',
    'Reason',
    'StaleTransitionError',
    'Transition',
    'apply_transition',
]

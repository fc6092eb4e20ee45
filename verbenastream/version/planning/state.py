"""Input of the planner: the committed state and what was observed."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.version.documents import schema
from verbenastream.version import fleet

BUDGET_PERIOD_S = 28 * 86_400.0


class Demand(msgspec.Struct, frozen=True):
    """Demand on one service in instances kept busy.

    ``now`` is the last measured value; ``lasting`` is its mean over an
    hour, which a burst of some seconds hardly changes.
    """

    now: float = 0.0
    lasting: float = 0.0


class BudgetSpent(msgspec.Struct, frozen=True):
    """Seconds of full unavailability that a service spent in 28 days.

    ``fast_burn`` is set while the budget is spent so fast that it would be
    exhausted within hours.
    """

    unplanned_s: float = 0.0
    maintenance_s: float = 0.0
    moves_s: float = 0.0
    overload_s: float = 0.0
    fast_burn: bool = False

    @property
    def total_s(self) -> float:
        return (
            self.unplanned_s
            + self.maintenance_s
            + self.moves_s
            + self.overload_s
        )


class PresencePicture(msgspec.Struct, frozen=True):
    """Instances that the entries of one data centre report as missing."""

    missing: frozenset[ids.InstanceId] = frozenset()


class Notice(msgspec.Struct, frozen=True):
    """Announcement by the platform that instances will be taken down.

    ``down_at`` and ``until`` are in seconds on the clock of ``now``. Racks
    and single instances can be named; a rack is (data centre, rack).
    """

    id: str
    down_at: float
    until: float
    racks: tuple[tuple[ids.DataCentreId, ids.RackId], ...] = ()
    instances: tuple[ids.InstanceId, ...] = ()

    def covers(self, record: fleet.InstanceRecord) -> bool:
        return (
            record.id in self.instances
            or (record.data_centre, record.rack) in self.racks
        )


class FleetState(msgspec.Struct, frozen=True):
    """Everything that a plan depends on.

    ``presence_by_data_centre`` is keyed by the observing data centre and
    holds an entry only for data centres whose entries report.
    ``returned`` are lost instances that announce themselves again and
    instances in maintenance that do so under a new incarnation. ``drained``
    are draining instances that run nothing. ``moves`` are the times of the
    moves of the last hour.
    """

    instances_by_id: dict[ids.InstanceId, fleet.InstanceRecord]
    documents_by_service: dict[ids.ServiceId, schema.Document]
    demand_by_service: dict[ids.ServiceId, Demand] = {}
    spent_by_service: dict[ids.ServiceId, BudgetSpent] = {}
    notices: tuple[Notice, ...] = ()
    presence_by_data_centre: dict[ids.DataCentreId, PresencePicture] = {}
    returned: frozenset[ids.InstanceId] = frozenset()
    drained: frozenset[ids.InstanceId] = frozenset()
    moves: tuple[float, ...] = ()

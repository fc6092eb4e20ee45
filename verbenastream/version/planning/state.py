"""Input of the planner: committed and observed state of the fleet."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.version.documents import schema
from verbenastream.version import fleet

BUDGET_PERIOD_S = 28 * 86_400.0


class Demand(msgspec.Struct, frozen=True):
    """Demand on one service, as the number of busy instances.

    ``now`` is the latest measurement. ``lasting`` is the mean over an hour,
    which a burst of a few seconds hardly affects.
    """

    now: float = 0.0
    lasting: float = 0.0


class BudgetSpent(msgspec.Struct, frozen=True):
    """Availability budget that a service consumed in the last 28 days.

    The fields give seconds of full unavailability by cause. ``fast_burn`` is
    set while the burn rate would exhaust the budget within hours.
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


class DataCentrePresence(msgspec.Struct, frozen=True):
    """Presence as seen by the entries of one data centre.

    ``missing`` are the instances that they report as missing.
    """

    missing: frozenset[ids.InstanceId] = frozenset()


class Notice(msgspec.Struct, frozen=True):
    """Announcement by the platform that it will take instances down.

    The instances are down from ``down_at`` to ``until``, in Unix time. They
    are named one by one or by rack, as a pair of data centre and rack.
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
    """All input that a plan depends on.

    ``presence_by_data_centre`` is keyed by the observing data centre and
    contains only data centres whose entries report. ``returned`` contains
    lost instances that announce themselves again, and instances in
    maintenance that announce themselves under a new incarnation. ``drained``
    contains draining instances that run no work. ``moves`` lists the times
    of the moves within the last hour.
    """

    instances_by_id: dict[ids.InstanceId, fleet.InstanceRecord]
    documents_by_service: dict[ids.ServiceId, schema.Document]
    demand_by_service: dict[ids.ServiceId, Demand] = {}
    spent_by_service: dict[ids.ServiceId, BudgetSpent] = {}
    notices: tuple[Notice, ...] = ()
    presence_by_data_centre: dict[ids.DataCentreId, DataCentrePresence] = {}
    returned: frozenset[ids.InstanceId] = frozenset()
    drained: frozenset[ids.InstanceId] = frozenset()
    moves: tuple[float, ...] = ()

"""Admits instances to maintenance while every commitment holds."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.maintenance import schedule
from verbenastream.version.maintenance import windows
from verbenastream.version.planning import assignment
from verbenastream.version.planning import index as planning_index
from verbenastream.version.planning import plan as planning_plan

if TYPE_CHECKING:
    from verbenastream.version.planning import draft as planning_draft
    from verbenastream.version.planning import requirements
    from verbenastream.version.planning import reserve
    from verbenastream.version.planning import state as planning_state

_S = fleet.InstanceState
_R = planning_plan.Reason

# One instance that does not return is an accident; two within an hour point
# at the maintenance itself. It resumes when the hour has passed.
MAX_FAILED_RETURNS = 2
FAILED_RETURN_PERIOD_S = 3_600.0


class Admission:
    """One pass over the due instances of one group of data centres.

    Reserve instances go first and then stand in for serving ones, so that
    one move per serving instance is enough. While an instance of the group
    is lost, half of the reserve stays untouched for the next failure.
    """

    def __init__(
        self,
        draft: planning_draft.Draft,
        state: planning_state.FleetState,
        group: reserve.Group,
        size: reserve.Reserve,
    ) -> None:
        self.refused_by_pool: dict[ids.PoolId, str] = {}
        self._draft = draft
        self._index = draft.index
        self._state = state
        self._group = group
        self._to_spare = size.kept + size.free
        if self._has_losses():
            self._to_spare -= size.wanted // 2
        self._taken_by_pool: dict[ids.PoolId, list[planning_index.RackKey]] = (
            collections.defaultdict(list)
        )
        self._earliest_age_s = min(
            (
                schedule.earliest_age_s(item.document.maintenance, item.target)
                for item in group.pools
            ),
            default=schedule.PERIOD_S,
        )

    def run(self) -> None:
        due = self._due()
        if not due:
            return
        pause = self._pause()
        if pause is not None:
            for item in self._group.pools:
                self.refused_by_pool[item.pool] = f'maintenance: {pause}'
            return
        self._count_taken()
        for record in due:
            if record.state is _S.IDLE and self._to_spare > 0:
                self._draft.change(
                    record.id, _S.IN_MAINTENANCE, None, _R.MAINTENANCE
                )
                self._to_spare -= 1
        self._take_serving(due)
        self._report_overdue(due)

    def _has_losses(self) -> bool:
        return any(
            self._index.records_by_id[instance].data_centre
            in self._group.data_centres
            for instance in self._index.ids_by_state[_S.LOST]
        )

    def _due(self) -> list[fleet.InstanceRecord]:
        """Return the due instances, longest without maintenance first."""
        before = self._draft.now - self._earliest_age_s
        found = []
        for data_centre in sorted(self._group.data_centres):
            for key in self._index.by_maintenance(data_centre):
                record = self._index.records_by_id[key]
                if record.maintained_at > before:
                    break
                if record.state in (_S.IDLE, _S.SERVING):
                    found.append(record)
        return sorted(
            found,
            key=lambda record: (
                record.maintained_at,
                planning_index.rack_of(record),
                record.id,
            ),
        )

    def _pause(self) -> str | None:
        failed = 0
        for instance in self._index.ids_by_state[_S.LOST]:
            record = self._index.records_by_id[instance]
            if (
                record.reason == _R.NOT_RETURNED.value
                and record.since > self._draft.now - FAILED_RETURN_PERIOD_S
                and record.data_centre in self._group.data_centres
            ):
                failed += 1
        if failed >= MAX_FAILED_RETURNS:
            return f'{failed} instances did not return within the last hour'
        for item in self._group.pools:
            spent = self._state.spent_by_service.get(
                ids.ServiceId(item.document.service)
            )
            if spent is not None and spent.fast_burn:
                return f'{item.pool} burns its budget fast'
        return None

    def _count_taken(self) -> None:
        """Find the racks of what each pool already has in maintenance."""
        for state in (_S.DRAINING, _S.IN_MAINTENANCE):
            for instance in self._index.ids_by_state[state]:
                record = self._index.records_by_id[instance]
                pool = record.pool or record.last_pool
                if pool is not None and record.reason in (
                    _R.MAINTENANCE.value,
                    _R.NOTICE.value,
                ):
                    self._taken_by_pool[pool].append(
                        planning_index.rack_of(record)
                    )

    def _take_serving(self, due: list[fleet.InstanceRecord]) -> None:
        open_pools = {
            item.pool: item
            for item in self._group.pools
            if self._is_open(item)
        }
        for record in due:
            if not open_pools:
                return
            if record.state is not _S.SERVING or record.pool is None:
                continue
            item = open_pools.get(record.pool)
            if item is None or record.maintained_at > (
                self._draft.now
                - schedule.earliest_age_s(
                    item.document.maintenance, item.target
                )
            ):
                continue
            rack = planning_index.rack_of(record)
            taken = self._taken_by_pool[item.pool]
            if any(other != rack for other in taken):
                continue
            refusal = self._take(item, record)
            if refusal is not None:
                self.refused_by_pool[item.pool] = (
                    f'maintenance of {record.id}: {refusal}'
                )
                del open_pools[item.pool]
                continue
            taken.append(rack)
            if len(taken) >= item.document.maintenance.max_unavailable:
                del open_pools[item.pool]

    def _is_open(self, item: requirements.Requirement) -> bool:
        policy = item.document.maintenance
        taken = self._taken_by_pool[item.pool]
        if len(taken) >= policy.max_unavailable:
            return False
        if item.budget_left_s <= 0:
            self.refused_by_pool[item.pool] = (
                'maintenance: the availability budget is spent'
            )
            return False
        left = windows.remaining_s(policy, self._draft.now)
        if left < schedule.expected_s(policy):
            opens = windows.opens_in_s(policy, self._draft.now)
            self.refused_by_pool[item.pool] = 'maintenance: ' + (
                'the document has no window'
                if opens is None
                else 'the window is closed or too short for a drain and '
                'a reboot'
            )
            return False
        return True

    def _take(
        self, item: requirements.Requirement, record: fleet.InstanceRecord
    ) -> str | None:
        """Replace and drain one instance, or return why that cannot be."""
        mark = self._draft.mark
        serving = len(self._index.serving_by_pool[item.pool])
        stand_in = None
        if serving <= item.wanted:
            if self._to_spare > 0:
                stand_in = assignment.best_idle(
                    self._index, item, self._draft.now - self._earliest_age_s
                )
            if stand_in is not None:
                self._draft.change(
                    stand_in, _S.SERVING, item.pool, _R.MAINTENANCE
                )
        self._draft.change(record.id, _S.DRAINING, item.pool, _R.MAINTENANCE)
        if assignment.exposed(self._index, item):
            self._draft.undo_to(mark)
            if stand_in is None:
                return 'no idle instance can stand in'
            return (
                'the pool would be under its commitment after the loss of '
                'one more rack'
            )
        if stand_in is not None:
            self._to_spare -= 1
        return None

    def _report_overdue(self, due: list[fleet.InstanceRecord]) -> None:
        before = self._draft.now - schedule.PERIOD_S
        overdue = [
            record for record in due if 0.0 < record.maintained_at < before
        ]
        if overdue:
            self._draft.reports.append(
                f'{len(overdue)} instances are overdue for maintenance, '
                f'first {overdue[0].id}; see the refusals of their pools'
            )

"""Selects instances for maintenance without breaking a commitment."""

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

_State = fleet.InstanceState
_Reason = planning_plan.Reason

# One instance that does not return may be a coincidence; two within an hour
# suggest that the maintenance itself is the cause. Maintenance resumes after
# the hour.
MAX_FAILED_RETURNS = 2
FAILED_RETURN_PERIOD_S = 3_600.0


class Admission:
    """Starts maintenance for the due instances of a group of data centres.

    Idle instances are maintained first and then replace serving ones, so
    that each serving instance causes only one move. While an instance of the
    group is lost, half of the reserve is kept for the next failure.
    """

    def __init__(
        self,
        draft: planning_draft.Draft,
        state: planning_state.FleetState,
        group: reserve.DataCentreGroup,
        group_reserve: reserve.Reserve,
    ) -> None:
        self.refusals_by_pool: dict[ids.PoolId, str] = {}
        self._draft = draft
        self._index = draft.index
        self._state = state
        self._group = group
        self._available_idle = group_reserve.kept + group_reserve.free
        if self._has_losses():
            self._available_idle -= group_reserve.wanted // 2
        self._unavailable_racks_by_pool: dict[
            ids.PoolId, list[planning_index.RackKey]
        ] = collections.defaultdict(list)
        self._min_age_s = min(
            (
                schedule.min_age_s(
                    requirement.document.maintenance, requirement.target
                )
                for requirement in group.pools
            ),
            default=schedule.MAINTENANCE_PERIOD_S,
        )

    def run(self) -> None:
        due = self._due_records()
        if not due:
            return
        pause_reason = self._pause_reason()
        if pause_reason is not None:
            for requirement in self._group.pools:
                self.refusals_by_pool[requirement.pool] = (
                    f'maintenance: {pause_reason}'
                )
            return
        self._collect_unavailable()
        for record in due:
            if record.state is _State.IDLE and self._available_idle > 0:
                self._draft.add_transition(
                    record.id, _State.IN_MAINTENANCE, None, _Reason.MAINTENANCE
                )
                self._available_idle -= 1
        self._drain_serving(due)
        self._report_overdue(due)

    def _has_losses(self) -> bool:
        return any(
            self._index.records_by_id[instance].data_centre
            in self._group.data_centres
            for instance in self._index.ids_by_state[_State.LOST]
        )

    def _due_records(self) -> list[fleet.InstanceRecord]:
        """Return the due instances, the least recently maintained first."""
        due_before = self._draft.now - self._min_age_s
        due = []
        for data_centre in sorted(self._group.data_centres):
            for key in self._index.ids_by_maintenance_age(data_centre):
                record = self._index.records_by_id[key]
                if record.maintained_at > due_before:
                    break
                if record.state in (_State.IDLE, _State.SERVING):
                    due.append(record)
        return sorted(
            due,
            key=lambda record: (
                record.maintained_at,
                planning_index.rack_of(record),
                record.id,
            ),
        )

    def _pause_reason(self) -> str | None:
        """Return why maintenance pauses in this group, or None."""
        failed_returns = 0
        for instance in self._index.ids_by_state[_State.LOST]:
            record = self._index.records_by_id[instance]
            if (
                record.reason == _Reason.NOT_RETURNED.value
                and record.since > self._draft.now - FAILED_RETURN_PERIOD_S
                and record.data_centre in self._group.data_centres
            ):
                failed_returns += 1
        if failed_returns >= MAX_FAILED_RETURNS:
            return (
                f'{failed_returns} instances did not return within the last '
                'hour'
            )
        for requirement in self._group.pools:
            spent = self._state.spent_by_service.get(
                ids.ServiceId(requirement.document.service)
            )
            if spent is not None and spent.fast_burn:
                return f'{requirement.pool} burns its budget fast'
        return None

    def _collect_unavailable(self) -> None:
        """Collect the racks of instances that are already in maintenance."""
        for state in (_State.DRAINING, _State.IN_MAINTENANCE):
            for instance in self._index.ids_by_state[state]:
                record = self._index.records_by_id[instance]
                pool = record.pool or record.last_pool
                if pool is not None and record.reason in (
                    _Reason.MAINTENANCE.value,
                    _Reason.NOTICE.value,
                ):
                    self._unavailable_racks_by_pool[pool].append(
                        planning_index.rack_of(record)
                    )

    def _drain_serving(self, due: list[fleet.InstanceRecord]) -> None:
        """Drain due serving instances, per pool in one rack at a time."""
        drainable_by_pool = {
            requirement.pool: requirement
            for requirement in self._group.pools
            if self._may_drain(requirement)
        }
        for record in due:
            if not drainable_by_pool:
                return
            if record.state is not _State.SERVING or record.pool is None:
                continue
            requirement = drainable_by_pool.get(record.pool)
            if requirement is None or record.maintained_at > (
                self._draft.now
                - schedule.min_age_s(
                    requirement.document.maintenance, requirement.target
                )
            ):
                continue
            rack = planning_index.rack_of(record)
            unavailable_racks = self._unavailable_racks_by_pool[
                requirement.pool
            ]
            if any(other != rack for other in unavailable_racks):
                continue
            refusal = self._drain_with_replacement(requirement, record)
            if refusal is not None:
                self.refusals_by_pool[requirement.pool] = (
                    f'maintenance of {record.id}: {refusal}'
                )
                del drainable_by_pool[requirement.pool]
                continue
            unavailable_racks.append(rack)
            if (
                len(unavailable_racks)
                >= requirement.document.maintenance.max_unavailable
            ):
                del drainable_by_pool[requirement.pool]

    def _may_drain(self, requirement: requirements.Requirement) -> bool:
        """Return whether a pool may drain another instance now.

        A refusal is recorded for the budget and the windows only.
        """
        policy = requirement.document.maintenance
        unavailable_racks = self._unavailable_racks_by_pool[requirement.pool]
        if len(unavailable_racks) >= policy.max_unavailable:
            return False
        if requirement.budget_left_s <= 0:
            self.refusals_by_pool[requirement.pool] = (
                'maintenance: the availability budget is spent'
            )
            return False
        window_left_s = windows.remaining_s(policy, self._draft.now)
        if window_left_s < schedule.expected_downtime_s(policy):
            opens_in_s = windows.opens_in_s(policy, self._draft.now)
            self.refusals_by_pool[requirement.pool] = 'maintenance: ' + (
                'the document has no window'
                if opens_in_s is None
                else 'the window is closed or too short for a drain and '
                'a reboot'
            )
            return False
        return True

    def _drain_with_replacement(
        self,
        requirement: requirements.Requirement,
        record: fleet.InstanceRecord,
    ) -> str | None:
        """Replace and drain an instance, or return why this is impossible."""
        savepoint = self._draft.savepoint
        serving_count = len(self._index.serving_by_pool[requirement.pool])
        replacement = None
        if serving_count <= requirement.wanted:
            if self._available_idle > 0:
                replacement = assignment.choose_idle_instance(
                    self._index, requirement, self._draft.now - self._min_age_s
                )
            if replacement is not None:
                self._draft.add_transition(
                    replacement,
                    _State.SERVING,
                    requirement.pool,
                    _Reason.MAINTENANCE,
                )
        self._draft.add_transition(
            record.id, _State.DRAINING, requirement.pool, _Reason.MAINTENANCE
        )
        if assignment.rack_loss_deficit(self._index, requirement):
            self._draft.rollback_to(savepoint)
            if replacement is None:
                return 'no idle instance can stand in'
            return (
                'the pool would be below its commitment after the loss of '
                'one more rack'
            )
        if replacement is not None:
            self._available_idle -= 1
        return None

    def _report_overdue(self, due: list[fleet.InstanceRecord]) -> None:
        due_before = self._draft.now - schedule.MAINTENANCE_PERIOD_S
        overdue = [
            record for record in due if 0.0 < record.maintained_at < due_before
        ]
        if overdue:
            self._draft.reports.append(
                f'{len(overdue)} instances are overdue for maintenance, '
                f'first {overdue[0].id}; see the refusals of their pools'
            )

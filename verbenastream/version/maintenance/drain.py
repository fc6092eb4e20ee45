"""Handles drains that time out, platform notices and missing returns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version.documents import schema
from verbenastream.version import fleet
from verbenastream.version.planning import plan as planning_plan

if TYPE_CHECKING:
    from verbenastream.version.planning import draft as planning_draft
    from verbenastream.version.planning import state as planning_state

_State = fleet.InstanceState
_Reason = planning_plan.Reason
_ActionKind = planning_plan.ActionKind

# A reboot with a firmware update takes up to 15 minutes; after twice that
# time the instance is replaced.
RETURN_TIMEOUT_S = 1_800.0
# Notices usually arrive ten minutes ahead. After an earlier notice the
# instances keep serving until this long before they are taken down.
NOTICE_LEAD_S = 900.0
# Time that a checkpoint needs before the instance is taken down.
CHECKPOINT_LEAD_S = 60.0


def drain_for_notices(
    draft: planning_draft.Draft, state: planning_state.FleetState
) -> None:
    """Drain the instances that the platform will take down soon."""
    for notice in state.notices:
        if draft.now >= notice.until:
            continue
        covered = [
            record
            for record in draft.index.records_by_id.values()
            if notice.covers(record)
        ]
        for record in sorted(covered, key=lambda record: record.id):
            lead_s = max(
                NOTICE_LEAD_S,
                _drain_timeout_s(state, record) + CHECKPOINT_LEAD_S,
            )
            if draft.now < notice.down_at - lead_s:
                continue
            if record.state is _State.IDLE:
                draft.add_transition(
                    record.id, _State.IN_MAINTENANCE, None, _Reason.NOTICE
                )
            elif record.state is _State.SERVING:
                draft.add_transition(
                    record.id, _State.DRAINING, record.pool, _Reason.NOTICE
                )


def advance_maintenance(
    draft: planning_draft.Draft, state: planning_state.FleetState
) -> None:
    """Advance drains and maintenance that have started.

    Moves drained instances into maintenance, escalates drains past their
    deadline and gives up instances that did not return in time.
    """
    index = draft.index
    for instance in sorted(index.ids_by_state[_State.DRAINING]):
        _escalate_drain(draft, state, index.records_by_id[instance])
    for instance in sorted(index.ids_by_state[_State.IN_MAINTENANCE]):
        _check_return(draft, state, index.records_by_id[instance])


def _escalate_drain(
    draft: planning_draft.Draft,
    state: planning_state.FleetState,
    record: fleet.InstanceRecord,
) -> None:
    notice = _next_notice(state, record, draft.now)
    for_maintenance = record.reason in (
        _Reason.MAINTENANCE.value,
        _Reason.NOTICE.value,
    )
    reason = _Reason.NOTICE if notice is not None else _Reason.MAINTENANCE
    if record.id in state.drained:
        if for_maintenance:
            draft.add_transition(
                record.id, _State.IN_MAINTENANCE, None, reason
            )
        return
    if notice is not None and draft.now >= notice.down_at:
        draft.add_transition(
            record.id, _State.IN_MAINTENANCE, None, _Reason.NOTICE
        )
        return
    policy = _maintenance_policy(state, record)
    if policy is None:
        return
    escalation = policy.escalation
    deadline = record.since + policy.drain_timeout_s
    if notice is not None:
        deadline = min(deadline, notice.down_at - CHECKPOINT_LEAD_S)
        if escalation is schema.DrainEscalation.WAIT:
            escalation = schema.DrainEscalation.CHECKPOINT
    if draft.now < deadline:
        return
    match escalation:
        case schema.DrainEscalation.WAIT:
            late_s = draft.now - deadline
            draft.reports.append(
                f'instance {record.id} of {record.pool} still runs work '
                f'{late_s:.0f} s after its drain timeout; its document waits '
                'for the work to end'
            )
        case schema.DrainEscalation.CHECKPOINT:
            draft.add_action(_ActionKind.CHECKPOINT, record.id)
        case schema.DrainEscalation.STOP:
            draft.add_action(_ActionKind.STOP, record.id)


def _check_return(
    draft: planning_draft.Draft,
    state: planning_state.FleetState,
    record: fleet.InstanceRecord,
) -> None:
    if record.id in state.returned:
        return
    if _next_notice(state, record, draft.now) is not None:
        return
    notice_ends = [
        notice.until for notice in state.notices if notice.covers(record)
    ]
    deadline = max([record.since, *notice_ends]) + RETURN_TIMEOUT_S
    if draft.now >= deadline:
        draft.add_transition(
            record.id, _State.LOST, None, _Reason.NOT_RETURNED
        )
        draft.reports.append(
            f'instance {record.id} did not return from maintenance within '
            f'{RETURN_TIMEOUT_S:.0f} s and is replaced; check the machine'
        )
    elif record.reason == _Reason.MAINTENANCE.value:
        draft.add_action(_ActionKind.REBOOT, record.id)


def _next_notice(
    state: planning_state.FleetState,
    record: fleet.InstanceRecord,
    now: float,
) -> planning_state.Notice | None:
    """Return the earliest notice for the instance that has not ended."""
    return min(
        (
            notice
            for notice in state.notices
            if now < notice.until and notice.covers(record)
        ),
        key=lambda notice: notice.down_at,
        default=None,
    )


def _maintenance_policy(
    state: planning_state.FleetState, record: fleet.InstanceRecord
) -> schema.MaintenancePolicy | None:
    if record.pool is None:
        return None
    document = state.documents_by_service.get(ids.ServiceId(record.pool))
    return document.maintenance if document is not None else None


def _drain_timeout_s(
    state: planning_state.FleetState, record: fleet.InstanceRecord
) -> float:
    policy = _maintenance_policy(state, record)
    return policy.drain_timeout_s if policy is not None else 0.0

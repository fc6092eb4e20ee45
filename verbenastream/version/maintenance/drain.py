"""Drains that outlive their limit, notices, and missing returns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version.documents import schema
from verbenastream.version import fleet
from verbenastream.version.planning import plan as planning_plan

if TYPE_CHECKING:
    from verbenastream.version.planning import draft as planning_draft
    from verbenastream.version.planning import state as planning_state

_S = fleet.InstanceState
_R = planning_plan.Reason
_A = planning_plan.ActionKind

# A reboot with a firmware update takes up to a quarter of an hour; after
# twice that time the instance is replaced.
RETURN_LIMIT_S = 1_800.0
# A platform notice usually comes ten minutes ahead. With an earlier notice
# the instances keep serving until then.
NOTICE_LEAD_S = 900.0
# What a checkpoint needs before the instance goes down.
CHECKPOINT_S = 60.0


def take_noticed(
    draft: planning_draft.Draft, state: planning_state.FleetState
) -> None:
    """Drain what a platform notice will take down soon."""
    for notice in state.notices:
        if draft.now >= notice.until:
            continue
        covered = [
            record
            for record in draft.index.records_by_id.values()
            if notice.covers(record)
        ]
        for record in sorted(covered, key=lambda record: record.id):
            lead = max(NOTICE_LEAD_S, _limit(state, record) + CHECKPOINT_S)
            if draft.now < notice.down_at - lead:
                continue
            if record.state is _S.IDLE:
                draft.change(record.id, _S.IN_MAINTENANCE, None, _R.NOTICE)
            elif record.state is _S.SERVING:
                draft.change(record.id, _S.DRAINING, record.pool, _R.NOTICE)


def escalate(
    draft: planning_draft.Draft, state: planning_state.FleetState
) -> None:
    """Take drained instances, escalate late drains, replace late returns."""
    index = draft.index
    for instance in sorted(index.ids_by_state[_S.DRAINING]):
        _escalate_drain(draft, state, index.records_by_id[instance])
    for instance in sorted(index.ids_by_state[_S.IN_MAINTENANCE]):
        _check_return(draft, state, index.records_by_id[instance])


def _escalate_drain(
    draft: planning_draft.Draft,
    state: planning_state.FleetState,
    record: fleet.InstanceRecord,
) -> None:
    notice = _notice(state, record, draft.now)
    taken = record.reason in (_R.MAINTENANCE.value, _R.NOTICE.value)
    reason = _R.NOTICE if notice is not None else _R.MAINTENANCE
    if record.id in state.drained:
        if taken:
            draft.change(record.id, _S.IN_MAINTENANCE, None, reason)
        return
    if notice is not None and draft.now >= notice.down_at:
        draft.change(record.id, _S.IN_MAINTENANCE, None, _R.NOTICE)
        return
    policy = _policy(state, record)
    if policy is None:
        return
    escalation = policy.escalation
    limit = record.since + policy.drain_timeout_s
    if notice is not None:
        limit = min(limit, notice.down_at - CHECKPOINT_S)
        if escalation is schema.DrainEscalation.WAIT:
            escalation = schema.DrainEscalation.CHECKPOINT
    if draft.now < limit:
        return
    match escalation:
        case schema.DrainEscalation.WAIT:
            late = draft.now - limit
            draft.reports.append(
                f'instance {record.id} of {record.pool} still runs work '
                f'{late:.0f} s after its drain timeout; the document waits'
            )
        case schema.DrainEscalation.CHECKPOINT:
            draft.act(_A.CHECKPOINT, record.id)
        case schema.DrainEscalation.STOP:
            draft.act(_A.STOP, record.id)


def _check_return(
    draft: planning_draft.Draft,
    state: planning_state.FleetState,
    record: fleet.InstanceRecord,
) -> None:
    if record.id in state.returned:
        return
    if _notice(state, record, draft.now) is not None:
        return
    ended_at = [
        notice.until for notice in state.notices if notice.covers(record)
    ]
    limit = max([record.since, *ended_at]) + RETURN_LIMIT_S
    if draft.now >= limit:
        draft.change(record.id, _S.LOST, None, _R.NOT_RETURNED)
        draft.reports.append(
            f'instance {record.id} did not return from maintenance within '
            f'{RETURN_LIMIT_S:.0f} s and is replaced; check the machine'
        )
    elif record.reason == _R.MAINTENANCE.value:
        draft.act(_A.REBOOT, record.id)


def _notice(
    state: planning_state.FleetState,
    record: fleet.InstanceRecord,
    now: float,
) -> planning_state.Notice | None:
    """Return the notice in effect that takes ``record`` down first."""
    return min(
        (
            notice
            for notice in state.notices
            if now < notice.until and notice.covers(record)
        ),
        key=lambda notice: notice.down_at,
        default=None,
    )


def _policy(
    state: planning_state.FleetState, record: fleet.InstanceRecord
) -> schema.MaintenancePolicy | None:
    if record.pool is None:
        return None
    document = state.documents_by_service.get(ids.ServiceId(record.pool))
    return document.maintenance if document is not None else None


def _limit(
    state: planning_state.FleetState, record: fleet.InstanceRecord
) -> float:
    policy = _policy(state, record)
    return policy.drain_timeout_s if policy is not None else 0.0

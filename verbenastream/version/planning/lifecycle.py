"""Lifecycle transitions that follow directly from the observed state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.planning import plan as planning_plan

if TYPE_CHECKING:
    from verbenastream.version.planning import draft as planning_draft
    from verbenastream.version.planning import losses
    from verbenastream.version.planning import state as planning_state

_State = fleet.InstanceState
_Reason = planning_plan.Reason
# Drains with these reasons end in maintenance; after all other drains the
# instance becomes idle.
MAINTENANCE_REASONS = frozenset(
    {_Reason.MAINTENANCE.value, _Reason.NOTICE.value}
)


def advance(
    draft: planning_draft.Draft,
    state: planning_state.FleetState,
    detected: losses.Losses,
) -> None:
    """Add the transitions that need no choice between instances.

    Marks lost instances, releases drained ones, admits new and returning
    ones, and drains the pools of removed services.
    """
    index = draft.index
    for instance in detected.lost:
        draft.add_transition(instance, _State.LOST, None, _Reason.LOST)
    for instance in sorted(
        index.ids_by_state[_State.DRAINING] & state.drained
    ):
        if index.records_by_id[instance].reason not in MAINTENANCE_REASONS:
            draft.add_transition(instance, _State.IDLE, None, _Reason.RELEASED)
    for instance in sorted(index.ids_by_state[_State.RETURNING]):
        draft.add_transition(instance, _State.IDLE, None, _Reason.RETURNED)
    for instance in sorted(index.ids_by_state[_State.ANNOUNCED]):
        draft.add_transition(instance, _State.IDLE, None, _Reason.ANNOUNCED)
    unavailable = (
        index.ids_by_state[_State.LOST]
        | index.ids_by_state[_State.IN_MAINTENANCE]
    )
    missing = frozenset[ids.InstanceId]().union(
        *(view.missing for view in state.presence_by_data_centre.values())
    )
    for instance in sorted((unavailable & state.returned) - missing):
        if not _has_active_notice(draft, state, instance):
            draft.add_transition(
                instance, _State.RETURNING, None, _Reason.RETURNED
            )
    for pool in sorted(index.serving_by_pool):
        if pool not in state.documents_by_service:
            for instance in sorted(index.serving_by_pool[pool]):
                draft.add_transition(
                    instance, _State.DRAINING, pool, _Reason.SERVICE_REMOVED
                )


def _has_active_notice(
    draft: planning_draft.Draft,
    state: planning_state.FleetState,
    instance: ids.InstanceId,
) -> bool:
    """Return whether a platform notice for the instance has not ended.

    Such an instance still announces itself until the platform takes it down,
    which must not be mistaken for its return.
    """
    record = draft.index.records_by_id[instance]
    return any(
        draft.now < notice.until and notice.covers(record)
        for notice in state.notices
    )

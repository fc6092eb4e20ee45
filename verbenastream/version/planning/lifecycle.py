"""Steps of the instance lifecycle that need no choice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.planning import plan as planning_plan

if TYPE_CHECKING:
    from verbenastream.version.planning import draft as planning_draft
    from verbenastream.version.planning import losses
    from verbenastream.version.planning import state as planning_state

_S = fleet.InstanceState
_R = planning_plan.Reason
# Drains with these reasons end in maintenance, all others in the reserve.
TAKEN = frozenset({_R.MAINTENANCE.value, _R.NOTICE.value})


def advance(
    draft: planning_draft.Draft,
    state: planning_state.FleetState,
    found: losses.Losses,
) -> None:
    """Mark losses, release drained instances, take in new ones."""
    index = draft.index
    for instance in found.lost:
        draft.change(instance, _S.LOST, None, _R.LOST)
    for instance in sorted(index.ids_by_state[_S.DRAINING] & state.drained):
        if index.records_by_id[instance].reason not in TAKEN:
            draft.change(instance, _S.IDLE, None, _R.RELEASED)
    for instance in sorted(index.ids_by_state[_S.RETURNING]):
        draft.change(instance, _S.IDLE, None, _R.RETURNED)
    for instance in sorted(index.ids_by_state[_S.ANNOUNCED]):
        draft.change(instance, _S.IDLE, None, _R.ANNOUNCED)
    away = index.ids_by_state[_S.LOST] | index.ids_by_state[_S.IN_MAINTENANCE]
    missing = frozenset[ids.InstanceId]().union(
        *(
            picture.missing
            for picture in state.presence_by_data_centre.values()
        )
    )
    for instance in sorted((away & state.returned) - missing):
        if not _under_notice(draft, state, instance):
            draft.change(instance, _S.RETURNING, None, _R.RETURNED)
    for pool in sorted(index.serving_by_pool):
        if pool not in state.documents_by_service:
            for instance in sorted(index.serving_by_pool[pool]):
                draft.change(instance, _S.DRAINING, pool, _R.SERVICE_REMOVED)


def _under_notice(
    draft: planning_draft.Draft,
    state: planning_state.FleetState,
    instance: ids.InstanceId,
) -> bool:
    """Whether the platform still holds the instance down.

    Such an instance announces itself until it is taken down, which is not
    a return.
    """
    record = draft.index.records_by_id[instance]
    return any(
        draft.now < notice.until and notice.covers(record)
        for notice in state.notices
    )

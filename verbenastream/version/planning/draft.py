"""A plan under construction: the index with the transitions so far."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.planning import plan as planning_plan

if TYPE_CHECKING:
    from verbenastream.version.planning import index as planning_index


class Draft:
    """Applies each chosen transition to the index at once.

    Later choices of the same plan see the effect of earlier ones. ``undo``
    puts the index back to the committed records.
    """

    def __init__(self, index: planning_index.FleetIndex, now: float) -> None:
        self.index = index
        self.now = now
        self.transitions: list[planning_plan.Transition] = []
        self._committed: list[fleet.InstanceRecord] = []

    def change(
        self,
        instance: ids.InstanceId,
        state: fleet.InstanceState,
        pool: ids.PoolId | None,
        reason: planning_plan.Reason,
    ) -> None:
        record = self.index.records_by_id[instance]
        transition = planning_plan.Transition(
            instance=instance,
            expected_epoch=record.epoch,
            state=state,
            pool=pool,
            reason=reason,
            at=self.now,
        )
        self._committed.append(record)
        self.index.put(planning_plan.apply_transition(record, transition))
        self.transitions.append(transition)

    def undo(self) -> None:
        for record in reversed(self._committed):
            self.index.put(record)
        self._committed.clear()

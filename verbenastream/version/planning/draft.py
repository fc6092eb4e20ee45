"""A plan under construction: the index with the transitions so far."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.planning import index as planning_index
from verbenastream.version.planning import plan as planning_plan


class Draft:
    """Applies each chosen transition to the index at once.

    Later choices of the same plan see the effect of earlier ones.
    ``undo_to`` puts the index back to an earlier ``mark``; the mark 0 is
    the committed state.
    """

    def __init__(self, index: planning_index.FleetIndex, now: float) -> None:
        self.index = index
        self.now = now
        self.actions: list[planning_plan.Action] = []
        self.reports: list[str] = []
        self._transitions: list[planning_plan.Transition] = []
        self._replaced: list[fleet.InstanceRecord] = []

    @property
    def mark(self) -> int:
        return len(self._transitions)

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
        changed = planning_plan.apply_transition(record, transition)
        self.index.put(changed)
        self._replaced.append(record)
        self._transitions.append(transition)

    def act(
        self, kind: planning_plan.ActionKind, instance: ids.InstanceId
    ) -> None:
        epoch = self.index.records_by_id[instance].epoch
        self.actions.append(planning_plan.Action(kind, instance, epoch))

    def undo_to(self, mark: int) -> None:
        while len(self._replaced) > mark:
            self.index.put(self._replaced.pop())
            self._transitions.pop()

    def ordered(self) -> tuple[planning_plan.Transition, ...]:
        """Return the transitions with the drains last.

        A stand-in joins a pool before the instance that it replaces starts
        to drain, so that the pool is not short between the two commits.
        """
        drains = fleet.InstanceState.DRAINING
        return tuple(
            sorted(self._transitions, key=lambda item: item.state is drains)
        )

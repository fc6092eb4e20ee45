"""Plan under construction."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.planning import index as planning_index
from verbenastream.version.planning import plan as planning_plan


class Draft:
    """Collects transitions and applies each one to the index immediately.

    Later decisions of the same plan thus see the effect of earlier ones.
    ``rollback_to`` restores the index to an earlier ``savepoint``; savepoint
    0 is the committed state.
    """

    def __init__(self, index: planning_index.FleetIndex, now: float) -> None:
        self.index = index
        self.now = now
        self.actions: list[planning_plan.Action] = []
        self.reports: list[str] = []
        self._transitions: list[planning_plan.Transition] = []
        self._previous_records: list[fleet.InstanceRecord] = []

    @property
    def savepoint(self) -> int:
        return len(self._transitions)

    def add_transition(
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
        self._previous_records.append(record)
        self._transitions.append(transition)

    def add_action(
        self, kind: planning_plan.ActionKind, instance: ids.InstanceId
    ) -> None:
        epoch = self.index.records_by_id[instance].epoch
        self.actions.append(planning_plan.Action(kind, instance, epoch))

    def rollback_to(self, savepoint: int) -> None:
        while len(self._previous_records) > savepoint:
            self.index.put(self._previous_records.pop())
            self._transitions.pop()

    def ordered_transitions(self) -> tuple[planning_plan.Transition, ...]:
        """Return the transitions, those that start drains last.

        A replacement joins the pool before the replaced instance starts to
        drain, so that the pool is not short between the two commits.
        """
        draining = fleet.InstanceState.DRAINING
        return tuple(
            sorted(
                self._transitions,
                key=lambda transition: transition.state is draining,
            )
        )

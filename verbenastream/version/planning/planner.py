"""Plans the pool of every instance from the committed state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.planning import draft as planning_draft
from verbenastream.version.planning import explanations
from verbenastream.version.planning import index as planning_index
from verbenastream.version.planning import lifecycle
from verbenastream.version.planning import losses
from verbenastream.version.planning import plan as planning_plan
from verbenastream.version.planning import requirements
from verbenastream.version.planning import reserve
from verbenastream.version.planning import sizing
from verbenastream.version.planning import state as planning_state

if TYPE_CHECKING:
    from verbenastream.process.settings import schema as settings


class Planner:
    """Proposes transitions; the same state always gives the same plan.

    The index only saves work between calls: a new planner returns the same
    plan. Proposing the transitions and planning again ends in a plan without
    transitions.
    """

    def __init__(self, weights: settings.Weights) -> None:
        self._weights = weights
        self._index = planning_index.FleetIndex()

    @classmethod
    def from_config(cls, weights: settings.Weights) -> Planner:
        return cls(weights)

    def plan(
        self, state: planning_state.FleetState, now: float
    ) -> planning_plan.Plan:
        """Return the transitions that are due at ``now`` (seconds)."""
        self._index.update(state.instances_by_id)
        found = losses.detect(state)
        draft = planning_draft.Draft(self._index, now)
        try:
            if found.suspended is not None:
                return self._suspended(state, found.suspended)
            return self._plan(state, found, draft)
        finally:
            draft.undo()

    def _suspended(
        self, state: planning_state.FleetState, reason: str
    ) -> planning_plan.Plan:
        required = self._required(state)
        return planning_plan.Plan(
            transitions=(),
            explanations_by_pool={
                item.pool: explanations.explain(
                    self._index, item, refused=[reason]
                )
                for item in required
            },
            suspended=reason,
            reserve=len(self._index.ids_by_state[fleet.InstanceState.IDLE]),
        )

    def _plan(
        self,
        state: planning_state.FleetState,
        found: losses.Losses,
        draft: planning_draft.Draft,
    ) -> planning_plan.Plan:
        lifecycle.advance(draft, state, found)
        required = self._required(state)
        pools = sizing.PoolSizing(draft, required, self._weights, state.moves)
        pools.run()
        kept = wanted = free = 0
        for group in reserve.groups(required):
            size = reserve.size(group, self._index, self._idle(group))
            kept += size.kept
            wanted += size.wanted
            free += size.free
            pools.explain_reserve(group, size)
        return planning_plan.Plan(
            transitions=tuple(draft.transitions),
            explanations_by_pool={
                item.pool: explanations.explain(
                    self._index,
                    item,
                    pools.notes_by_pool[item.pool],
                    pools.refused_by_pool[item.pool],
                )
                for item in required
            },
            reserve=kept,
            reserve_wanted=wanted,
            free=free,
        )

    def _required(
        self, state: planning_state.FleetState
    ) -> list[requirements.Requirement]:
        racks_by_data_centre: dict[str, int] = {}
        for rack, size in self._index.size_by_rack.items():
            if size:
                racks_by_data_centre[rack.data_centre] = (
                    racks_by_data_centre.get(rack.data_centre, 0) + 1
                )
        found = []
        for service in sorted(state.documents_by_service):
            document = state.documents_by_service[service]
            found.append(
                requirements.requirement(
                    document,
                    state.demand_by_service.get(
                        service, planning_state.Demand()
                    ),
                    state.spent_by_service.get(
                        service, planning_state.BudgetSpent()
                    ),
                    sum(
                        racks_by_data_centre.get(name, 0)
                        for name in set(document.data_centres)
                    ),
                    len(self._index.serving_by_pool[document.pool]),
                )
            )
        return found

    def _idle(self, group: reserve.Group) -> dict[planning_index.RackKey, int]:
        return {
            rack: len(idle)
            for rack, idle in self._index.idle_by_rack.items()
            if ids.DataCentreId(rack.data_centre) in group.data_centres
        }

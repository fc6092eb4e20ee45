"""Plans the pool of every instance from the committed state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import maintenance
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
    transitions. ``now`` is Unix time in seconds, as maintenance windows are
    in UTC.
    """

    def __init__(self, weights: settings.Weights) -> None:
        self._margins = requirements.Margins.from_weights(weights)
        self._index = planning_index.FleetIndex()

    @classmethod
    def from_config(cls, weights: settings.Weights) -> Planner:
        return cls(weights)

    def plan(
        self, state: planning_state.FleetState, now: float
    ) -> planning_plan.Plan:
        """Return the transitions that are due at ``now``."""
        self._index.update(state.instances_by_id)
        found = losses.detect(state)
        draft = planning_draft.Draft(self._index, now)
        try:
            if found.suspended is not None:
                return self._suspended(state, found.suspended)
            return self._plan(state, found, draft)
        finally:
            draft.undo_to(0)

    def _suspended(
        self, state: planning_state.FleetState, reason: str
    ) -> planning_plan.Plan:
        return planning_plan.Plan(
            transitions=(),
            explanations_by_pool={
                item.pool: explanations.explain(
                    self._index, item, refused=[reason]
                )
                for item in self._required(state)
            },
            suspended=reason,
        )

    def _plan(
        self,
        state: planning_state.FleetState,
        found: losses.Losses,
        draft: planning_draft.Draft,
    ) -> planning_plan.Plan:
        # Before any new drain: ``drained`` is about the committed ones.
        maintenance.escalate(draft, state)
        lifecycle.advance(draft, state, found)
        maintenance.take_noticed(draft, state)
        required = self._required(state)
        pools = sizing.PoolSizing(draft, required, state.moves)
        pools.run()
        groups = reserve.groups(required)
        sizes = [reserve.size(group, self._index) for group in groups]
        for group, size in zip(groups, sizes):
            complete, note = explanations.explain_reserve(group, size)
            for item in group.pools:
                if complete:
                    pools.notes_by_pool[item.pool].append(note)
                else:
                    pools.refused_by_pool[item.pool].append(note)
            admission = maintenance.Admission(draft, state, group, size)
            admission.run()
            for pool, refusal in admission.refused_by_pool.items():
                pools.refused_by_pool[pool].append(refusal)
        return planning_plan.Plan(
            transitions=draft.ordered(),
            explanations_by_pool={
                item.pool: explanations.explain(
                    self._index,
                    item,
                    pools.notes_by_pool[item.pool],
                    pools.refused_by_pool[item.pool],
                )
                for item in required
            },
            reserve=sum(size.kept for size in sizes),
            reserve_wanted=sum(size.wanted for size in sizes),
            free=sum(size.free for size in sizes),
            actions=tuple(draft.actions),
            reports=tuple(draft.reports),
        )

    def _required(
        self, state: planning_state.FleetState
    ) -> list[requirements.Requirement]:
        no_demand = planning_state.Demand()
        nothing_spent = planning_state.BudgetSpent()
        racks_by_data_centre = self._index.racks_by_data_centre
        return [
            requirements.requirement(
                document,
                state.demand_by_service.get(service, no_demand),
                state.spent_by_service.get(service, nothing_spent),
                sum(
                    racks_by_data_centre[ids.DataCentreId(name)]
                    for name in set(document.data_centres)
                ),
                len(self._index.serving_by_pool[document.pool]),
                self._margins,
            )
            for service, document in sorted(state.documents_by_service.items())
        ]

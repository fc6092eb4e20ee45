"""Plans the assignment of instances to pools."""

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
    """Proposes transitions from the committed and observed state.

    Planning is deterministic: the index that is kept between calls only saves
    work, and a new planner returns the same plan for the same state. Applying
    the transitions and planning again converges to a plan without
    transitions. ``now`` is Unix time in seconds, because maintenance windows
    are in UTC.
    """

    def __init__(self, weights: settings.Weights) -> None:
        self._hysteresis = requirements.DemandHysteresis.from_weights(weights)
        self._index = planning_index.FleetIndex()

    @classmethod
    def from_config(cls, weights: settings.Weights) -> Planner:
        return cls(weights)

    def plan(
        self, state: planning_state.FleetState, now: float
    ) -> planning_plan.Plan:
        """Return the transitions that are due at ``now``."""
        self._index.update(state.instances_by_id)
        detected = losses.detect(state)
        draft = planning_draft.Draft(self._index, now)
        try:
            if detected.suspended is not None:
                return self._suspended_plan(state, detected.suspended)
            return self._build_plan(state, detected, draft)
        finally:
            draft.rollback_to(0)

    def _suspended_plan(
        self, state: planning_state.FleetState, reason: str
    ) -> planning_plan.Plan:
        return planning_plan.Plan(
            transitions=(),
            explanations_by_pool={
                requirement.pool: explanations.explain(
                    self._index, requirement, refusals=[reason]
                )
                for requirement in self._requirements(state)
            },
            suspended=reason,
        )

    def _build_plan(
        self,
        state: planning_state.FleetState,
        detected: losses.Losses,
        draft: planning_draft.Draft,
    ) -> planning_plan.Plan:
        # Runs before any drain is added, because ``drained`` describes the
        # committed drains only.
        maintenance.advance_maintenance(draft, state)
        lifecycle.advance(draft, state, detected)
        maintenance.drain_for_notices(draft, state)
        pool_requirements = self._requirements(state)
        pool_sizing = sizing.PoolSizing(draft, pool_requirements, state.moves)
        pool_sizing.run()
        groups = reserve.connected_groups(pool_requirements)
        reserves = [
            reserve.compute_reserve(group, self._index) for group in groups
        ]
        for group, group_reserve in zip(groups, reserves):
            complete, sentence = explanations.explain_reserve(
                group, group_reserve
            )
            for requirement in group.pools:
                if complete:
                    pool_sizing.decisions_by_pool[requirement.pool].append(
                        sentence
                    )
                else:
                    pool_sizing.refusals_by_pool[requirement.pool].append(
                        sentence
                    )
            admission = maintenance.Admission(
                draft, state, group, group_reserve
            )
            admission.run()
            for pool, refusal in admission.refusals_by_pool.items():
                pool_sizing.refusals_by_pool[pool].append(refusal)
        return planning_plan.Plan(
            transitions=draft.ordered_transitions(),
            explanations_by_pool={
                requirement.pool: explanations.explain(
                    self._index,
                    requirement,
                    pool_sizing.decisions_by_pool[requirement.pool],
                    pool_sizing.refusals_by_pool[requirement.pool],
                )
                for requirement in pool_requirements
            },
            reserve=sum(group_reserve.kept for group_reserve in reserves),
            reserve_wanted=sum(
                group_reserve.wanted for group_reserve in reserves
            ),
            free=sum(group_reserve.free for group_reserve in reserves),
            actions=tuple(draft.actions),
            reports=tuple(draft.reports),
        )

    def _requirements(
        self, state: planning_state.FleetState
    ) -> list[requirements.Requirement]:
        no_demand = planning_state.Demand()
        no_budget_spent = planning_state.BudgetSpent()
        racks_by_data_centre = self._index.racks_by_data_centre
        return [
            requirements.compute_requirement(
                document,
                state.demand_by_service.get(service, no_demand),
                state.spent_by_service.get(service, no_budget_spent),
                sum(
                    racks_by_data_centre[ids.DataCentreId(name)]
                    for name in set(document.data_centres)
                ),
                len(self._index.serving_by_pool[document.pool]),
                self._hysteresis,
            )
            for service, document in sorted(state.documents_by_service.items())
        ]

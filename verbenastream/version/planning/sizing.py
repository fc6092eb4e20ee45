"""Resizes pools and spreads them over racks with few moves."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.planning import assignment
from verbenastream.version.planning import plan as planning_plan
from verbenastream.version.planning import reserve

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenastream.version.planning import draft as planning_draft
    from verbenastream.version.planning import requirements

_State = fleet.InstanceState
_Reason = planning_plan.Reason

# Most lost instances return within two minutes after a restart. Until then
# the headroom covers them and no reserve instance is assigned.
RESTART_GRACE_S = 120.0
MOVE_LIMIT_PERIOD_S = 3_600.0
# Share of the fleet that may be moved per period. The capacity of a moved
# instance is unavailable for up to the drain timeout; 2% per hour still allow
# the whole fleet to be rearranged within about two days.
MAX_MOVE_SHARE = 0.02
# Lets small fleets move instances as well.
MIN_MOVE_LIMIT = 4


class PoolSizing:
    """Resizes the pools of a draft in one pass.

    The order is: pools below their commitment, headroom, the spread over
    racks, surplus instances, and last lasting demand, which is only given
    instances that the reserve does not need.
    """

    def __init__(
        self,
        draft: planning_draft.Draft,
        pool_requirements: Sequence[requirements.Requirement],
        moves: Sequence[float],
    ) -> None:
        self.decisions_by_pool: dict[ids.PoolId, list[str]] = (
            collections.defaultdict(list)
        )
        self.refusals_by_pool: dict[ids.PoolId, list[str]] = (
            collections.defaultdict(list)
        )
        self._draft = draft
        self._index = draft.index
        self._requirements = pool_requirements
        move_limit = max(
            MIN_MOVE_LIMIT,
            int(MAX_MOVE_SHARE * len(self._index.records_by_id)),
        )
        recent_moves = [
            at for at in moves if at > draft.now - MOVE_LIMIT_PERIOD_S
        ]
        self._moves_left = max(0, move_limit - len(recent_moves))
        self._restarting_by_pool = self._count_restarting()

    def run(self) -> None:
        self._assign_idle(
            {
                requirement.pool: requirement.need
                for requirement in self._requirements
            },
            _Reason.COMMITMENT,
        )
        self._assign_idle(
            {
                requirement.pool: requirement.target
                - self._restarting_by_pool[requirement.pool]
                for requirement in sorted(
                    self._requirements,
                    key=lambda requirement: requirement.spare,
                )
            },
            _Reason.HEADROOM,
        )
        self._drain_donors()
        for requirement in self._requirements:
            if requirement.retention_reason is not None:
                self.decisions_by_pool[requirement.pool].append(
                    requirement.retention_reason
                )
            self._improve_spread(requirement)
            self._release_surplus(requirement)
        if any(
            requirement.wanted > self._serving(requirement.pool)
            for requirement in self._requirements
        ):
            for group in reserve.connected_groups(self._requirements):
                self._grow_for_demand(group)

    def _count_restarting(self) -> collections.Counter[ids.PoolId]:
        """Count, by pool, the lost instances that are probably restarting."""
        restarting_by_pool: collections.Counter[ids.PoolId] = (
            collections.Counter()
        )
        for state in (_State.LOST, _State.RETURNING):
            for instance in self._index.ids_by_state[state]:
                record = self._index.records_by_id[instance]
                if (
                    record.last_pool is not None
                    and record.reason
                    in (_Reason.LOST.value, _Reason.RETURNED.value)
                    and record.since > self._draft.now - RESTART_GRACE_S
                ):
                    restarting_by_pool[record.last_pool] += 1
        return restarting_by_pool

    def _serving(self, pool: ids.PoolId) -> int:
        return len(self._index.serving_by_pool[pool])

    def _assign_idle(
        self,
        sizes_by_pool: dict[ids.PoolId, int],
        reason: planning_plan.Reason,
    ) -> None:
        """Assign idle instances, the least filled pool first."""
        short_pools = {
            requirement.pool: requirement
            for requirement in self._requirements
            if self._serving(requirement.pool)
            < sizes_by_pool[requirement.pool]
        }
        while short_pools:
            pool = min(
                short_pools,
                key=lambda pool: (
                    self._serving(pool) / sizes_by_pool[pool],
                    pool,
                ),
            )
            requirement = short_pools[pool]
            instance = assignment.choose_idle_instance(
                self._index, requirement
            )
            if instance is None:
                missing = sizes_by_pool[pool] - self._serving(pool)
                self.refusals_by_pool[pool].append(
                    f'{missing} more for {reason.value}: no idle instance in '
                    f'{", ".join(sorted(requirement.data_centres))}'
                )
                del short_pools[pool]
                continue
            self._draft.add_transition(instance, _State.SERVING, pool, reason)
            if self._serving(pool) >= sizes_by_pool[pool]:
                del short_pools[pool]

    def _drain_donors(self) -> None:
        """Drain instances of other pools for pools below their target.

        Instances that already drain are counted, so that one shortage does
        not drain another instance with each plan. Spare pools are filled only
        up to their commitment, because their headroom belongs to the reserve.
        """
        draining = len(self._index.ids_by_state[_State.DRAINING])
        for requirement in self._requirements:
            missing = requirement.target - self._serving(requirement.pool)
            if requirement.spare:
                missing = requirement.need - self._serving(requirement.pool)
            for _ in range(
                missing - self._restarting_by_pool[requirement.pool]
            ):
                if draining > 0:
                    draining -= 1
                else:
                    self._drain_donor(requirement)

    def _drain_donor(self, requirement: requirements.Requirement) -> None:
        """Drain an instance of the pool with the largest surplus.

        Pools release instances down to their target, spare pools down to
        their commitment.
        """
        donors = sorted(
            (
                donor
                for donor in self._requirements
                if donor.pool != requirement.pool
                and donor.data_centres & requirement.data_centres
                and self._serving(donor.pool)
                > (donor.need if donor.spare else donor.target)
            ),
            key=lambda donor: (
                donor.target - self._serving(donor.pool),
                donor.pool,
            ),
        )
        if not donors:
            return
        donor = donors[0]
        instance = assignment.choose_instance_to_drain(self._index, donor)
        self._draft.add_transition(
            instance, _State.DRAINING, donor.pool, _Reason.COMMITMENT
        )
        self.decisions_by_pool[donor.pool].append(
            f'{instance} drains for {requirement.pool}, which is short of '
            'instances'
        )

    def _improve_spread(self, requirement: requirements.Requirement) -> None:
        """Move one instance of the pool to a rack that improves its spread.

        The move is made only if the loss of one rack would leave the pool
        below its commitment.
        """
        before = assignment.rack_loss_deficit(self._index, requirement)
        if not before or self._serving(requirement.pool) < requirement.target:
            return
        instance = assignment.choose_idle_instance(self._index, requirement)
        if instance is None:
            self._add_refusal(
                requirement, 'a better spread over racks: no idle instance'
            )
            return
        if not self._moves_left:
            self._add_move_limit_refusal(
                requirement, 'a better spread over racks'
            )
            return
        savepoint = self._draft.savepoint
        self._draft.add_transition(
            instance, _State.SERVING, requirement.pool, _Reason.SPREAD
        )
        leaving = assignment.choose_instance_to_drain(self._index, requirement)
        self._draft.add_transition(
            leaving, _State.DRAINING, requirement.pool, _Reason.SPREAD
        )
        if assignment.rack_loss_deficit(self._index, requirement) < before:
            self._moves_left -= 1
            return
        self._draft.rollback_to(savepoint)
        self._add_refusal(
            requirement, 'a better spread over racks: no other rack helps'
        )

    def _release_surplus(self, requirement: requirements.Requirement) -> None:
        while self._serving(requirement.pool) > requirement.wanted:
            if not self._moves_left:
                self._add_move_limit_refusal(
                    requirement, 'release of the surplus'
                )
                return
            self._moves_left -= 1
            instance = assignment.choose_instance_to_drain(
                self._index, requirement
            )
            self._draft.add_transition(
                instance, _State.DRAINING, requirement.pool, _Reason.SURPLUS
            )

    def _grow_for_demand(self, group: reserve.DataCentreGroup) -> None:
        """Assign idle instances that the reserve does not need."""
        for requirement in sorted(
            group.pools,
            key=lambda requirement: (
                self._serving(requirement.pool) / requirement.wanted
            ),
        ):
            restarting = self._restarting_by_pool[requirement.pool]
            while (
                self._serving(requirement.pool) + restarting
                < requirement.wanted
            ):
                instance = assignment.choose_idle_instance(
                    self._index, requirement
                )
                missing = requirement.wanted - self._serving(requirement.pool)
                if instance is None or not self._moves_left:
                    self._add_refusal(
                        requirement, f'{missing} more for lasting demand'
                    )
                    break
                savepoint = self._draft.savepoint
                self._draft.add_transition(
                    instance,
                    _State.SERVING,
                    requirement.pool,
                    _Reason.LASTING_DEMAND,
                )
                group_reserve = reserve.compute_reserve(group, self._index)
                if group_reserve.kept < group_reserve.wanted:
                    self._draft.rollback_to(savepoint)
                    self._add_refusal(
                        requirement,
                        f'{missing} more for lasting demand: the rest is the '
                        f'reserve against {group_reserve.cause}',
                    )
                    break
                self._moves_left -= 1

    def _add_refusal(
        self, requirement: requirements.Requirement, refusal: str
    ) -> None:
        self.refusals_by_pool[requirement.pool].append(refusal)

    def _add_move_limit_refusal(
        self, requirement: requirements.Requirement, change: str
    ) -> None:
        self._add_refusal(
            requirement, f'{change}: the limit of moves per hour is reached'
        )

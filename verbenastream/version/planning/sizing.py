"""Brings each pool to its size, spread over racks, with few moves."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.planning import assignment
from verbenastream.version.planning import plan as planning_plan

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenastream.process.settings import schema as settings
    from verbenastream.version.planning import draft as planning_draft
    from verbenastream.version.planning import requirements
    from verbenastream.version.planning import reserve

_S = fleet.InstanceState
_R = planning_plan.Reason

MOVE_PERIOD_S = 3_600.0
# Each move drains an instance, so its capacity is away for up to the drain
# timeout. A fiftieth of the fleet per hour still reshapes it within two days.
MOVE_SHARE = 0.02
MIN_MOVES = 4


class PoolSizing:
    """One pass over the pools of a draft.

    Pools under their commitment come first, then headroom, then the spread
    over racks, then surpluses.
    """

    def __init__(
        self,
        draft: planning_draft.Draft,
        required: Sequence[requirements.Requirement],
        weights: settings.Weights,
        moves: Sequence[float],
    ) -> None:
        self.notes_by_pool: dict[ids.PoolId, list[str]] = (
            collections.defaultdict(list)
        )
        self.refused_by_pool: dict[ids.PoolId, list[str]] = (
            collections.defaultdict(list)
        )
        self._draft = draft
        self._index = draft.index
        self._required = required
        self._weights = weights
        limit = max(
            MIN_MOVES, int(MOVE_SHARE * len(self._index.records_by_id))
        )
        recent = [at for at in moves if at > draft.now - MOVE_PERIOD_S]
        self._moves_left = max(0, limit - len(recent))

    def run(self) -> None:
        self._fill(
            {item.pool: item.need for item in self._required}, _R.COMMITMENT
        )
        self._borrow()
        self._fill(
            {item.pool: item.target for item in self._required}, _R.HEADROOM
        )
        for item in self._required:
            self._spread(item)
            self._shrink(item)

    def explain_reserve(
        self, group: reserve.Group, size: reserve.Reserve
    ) -> None:
        """Note for each pool of ``group`` how the shared reserve stands."""
        note = (
            f'{size.kept} of {size.wanted} shared reserve instances in '
            f'{", ".join(sorted(group.data_centres))}: {size.cause}'
        )
        for item in group.pools:
            if size.kept < size.wanted:
                self.refused_by_pool[item.pool].append(note)
            else:
                self.notes_by_pool[item.pool].append(note)

    def _serving(self, pool: ids.PoolId) -> int:
        return len(self._index.serving_by_pool[pool])

    def _fill(
        self,
        sizes_by_pool: dict[ids.PoolId, int],
        reason: planning_plan.Reason,
    ) -> None:
        """Assign idle instances, the relatively shortest pool first."""
        open_pools = {
            item.pool: item
            for item in self._required
            if self._serving(item.pool) < sizes_by_pool[item.pool]
        }
        while open_pools:
            pool = min(
                open_pools,
                key=lambda pool: (
                    self._serving(pool) / sizes_by_pool[pool],
                    pool,
                ),
            )
            item = open_pools[pool]
            instance = assignment.best_idle(self._index, item)
            if instance is None:
                lack = sizes_by_pool[pool] - self._serving(pool)
                self.refused_by_pool[pool].append(
                    f'{lack} more for {reason.value}: no idle instance in '
                    f'{", ".join(sorted(item.data_centres))}'
                )
                del open_pools[pool]
                continue
            cause = _R.LASTING_DEMAND if item.demand else reason
            self._draft.change(instance, _S.SERVING, pool, cause)
            if self._serving(pool) >= sizes_by_pool[pool]:
                del open_pools[pool]

    def _borrow(self) -> None:
        """Drain instances of spare pools for pools under their commitment.

        What drains already on the way to the reserve is counted, so that a
        shortage does not drain one more instance at each plan.
        """
        on_the_way = len(self._index.ids_by_state[_S.DRAINING])
        spares = [item for item in self._required if item.spare]
        for item in self._required:
            lack = item.need - self._serving(item.pool)
            for _ in range(lack):
                if on_the_way > 0:
                    on_the_way -= 1
                    continue
                self._borrow_one(item, spares)

    def _borrow_one(
        self,
        item: requirements.Requirement,
        spares: Sequence[requirements.Requirement],
    ) -> None:
        for spare in spares:
            if (
                spare.pool != item.pool
                and spare.data_centres & item.data_centres
                and self._serving(spare.pool) > spare.need
            ):
                instance = assignment.worst_serving(self._index, spare)
                self._draft.change(
                    instance, _S.DRAINING, spare.pool, _R.COMMITMENT
                )
                self.notes_by_pool[spare.pool].append(
                    f'{instance} drains for {item.pool}, which is under '
                    'its commitment'
                )
                return

    def _spread(self, item: requirements.Requirement) -> None:
        """Add an instance in a better rack; ``_shrink`` then removes one."""
        before = assignment.exposed(self._index, item)
        if not before or self._serving(item.pool) > item.target:
            return
        instance = assignment.best_idle(self._index, item)
        if instance is None:
            self.refused_by_pool[item.pool].append(
                'a better spread over racks: no idle instance'
            )
            return
        if not self._moves_left:
            self._refuse_move(item, 'a better spread over racks')
            return
        record = self._index.records_by_id[instance]
        in_pool = self._index.serving_by_pool_rack[item.pool]
        fullest = max(in_pool.values(), default=0)
        here = in_pool[
            next(
                rack
                for rack in self._index.idle_by_rack
                if rack.rack == record.rack
                and rack.data_centre == record.data_centre
            )
        ]
        misplaced = any(
            rack.data_centre not in item.data_centres for rack in in_pool
        )
        if here + 1 < fullest or misplaced:
            self._draft.change(instance, _S.SERVING, item.pool, _R.SPREAD)

    def _shrink(self, item: requirements.Requirement) -> None:
        while self._serving(item.pool) > item.target:
            if not self._moves_left:
                self._refuse_move(item, 'release of the surplus')
                return
            self._moves_left -= 1
            instance = assignment.worst_serving(self._index, item)
            self._draft.change(instance, _S.DRAINING, item.pool, _R.SURPLUS)

    def _refuse_move(
        self, item: requirements.Requirement, wanted: str
    ) -> None:
        self.refused_by_pool[item.pool].append(
            f'{wanted}: the limit of moves per hour is reached'
        )

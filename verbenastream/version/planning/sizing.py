"""Brings each pool to its size, spread over racks, with few moves."""

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

_S = fleet.InstanceState
_R = planning_plan.Reason

# Most lost instances restart and are back within two minutes. Until then
# the headroom stands in for them and the reserve is not moved.
RESTART_S = 120.0
MOVE_PERIOD_S = 3_600.0
# Each move drains an instance, so its capacity is away for up to the drain
# timeout. A fiftieth of the fleet per hour still reshapes it within two days.
MOVE_SHARE = 0.02
MIN_MOVES = 4


class PoolSizing:
    """One pass over the pools of a draft.

    Pools under their commitment come first, then headroom, then the spread
    over racks, then surpluses, and lasting demand last, from what is free.
    """

    def __init__(
        self,
        draft: planning_draft.Draft,
        required: Sequence[requirements.Requirement],
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
        limit = max(
            MIN_MOVES, int(MOVE_SHARE * len(self._index.records_by_id))
        )
        recent = [at for at in moves if at > draft.now - MOVE_PERIOD_S]
        self._moves_left = max(0, limit - len(recent))
        self._restarting_by_pool = self._restarting()

    def run(self) -> None:
        self._fill(
            {item.pool: item.need for item in self._required}, _R.COMMITMENT
        )
        self._fill(
            {
                item.pool: item.target - self._restarting_by_pool[item.pool]
                for item in sorted(self._required, key=lambda item: item.spare)
            },
            _R.HEADROOM,
        )
        self._borrow()
        for item in self._required:
            if item.held is not None:
                self.notes_by_pool[item.pool].append(item.held)
            self._spread(item)
            self._shrink(item)
        if any(
            item.wanted > self._serving(item.pool) for item in self._required
        ):
            for group in reserve.groups(self._required):
                self._follow_demand(group)

    def _restarting(self) -> collections.Counter[ids.PoolId]:
        """Count by pool the lost instances that are probably restarting."""
        found: collections.Counter[ids.PoolId] = collections.Counter()
        for state in (_S.LOST, _S.RETURNING):
            for instance in self._index.ids_by_state[state]:
                record = self._index.records_by_id[instance]
                if (
                    record.last_pool is not None
                    and record.reason in (_R.LOST.value, _R.RETURNED.value)
                    and record.since > self._draft.now - RESTART_S
                ):
                    found[record.last_pool] += 1
        return found

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
            self._draft.change(instance, _S.SERVING, pool, reason)
            if self._serving(pool) >= sizes_by_pool[pool]:
                del open_pools[pool]

    def _borrow(self) -> None:
        """Drain instances elsewhere for pools short of their target.

        What drains already on the way to the reserve is counted, so that a
        shortage does not drain one more instance at each plan. A spare pool
        gives its headroom, since it is part of the reserve.
        """
        on_the_way = len(self._index.ids_by_state[_S.DRAINING])
        for item in self._required:
            lack = item.target - self._serving(item.pool)
            if item.spare:
                lack = item.need - self._serving(item.pool)
            for _ in range(lack - self._restarting_by_pool[item.pool]):
                if on_the_way > 0:
                    on_the_way -= 1
                else:
                    self._borrow_one(item)

    def _borrow_one(self, item: requirements.Requirement) -> None:
        """Take from a pool above its target, then from a spare pool."""
        donors = sorted(
            (
                donor
                for donor in self._required
                if donor.pool != item.pool
                and donor.data_centres & item.data_centres
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
        instance = assignment.worst_serving(self._index, donor)
        self._draft.change(instance, _S.DRAINING, donor.pool, _R.COMMITMENT)
        self.notes_by_pool[donor.pool].append(
            f'{instance} drains for {item.pool}, which is short of instances'
        )

    def _spread(self, item: requirements.Requirement) -> None:
        """Add an instance in a better rack; ``_shrink`` then removes one.

        Only a spread that leaves the pool under its commitment after the
        loss of a rack is worth a move.
        """
        before = assignment.exposed(self._index, item)
        if not before or self._serving(item.pool) < item.target:
            return
        instance = assignment.best_idle(self._index, item)
        if instance is None:
            self._refuse(item, 'a better spread over racks: no idle instance')
            return
        if not self._moves_left:
            self._refuse_move(item, 'a better spread over racks')
            return
        mark = self._draft.mark
        self._draft.change(instance, _S.SERVING, item.pool, _R.SPREAD)
        leaving = assignment.worst_serving(self._index, item)
        self._draft.change(leaving, _S.DRAINING, item.pool, _R.SPREAD)
        if assignment.exposed(self._index, item) < before:
            self._moves_left -= 1
            return
        self._draft.undo_to(mark)
        self._refuse(item, 'a better spread over racks: no other rack helps')

    def _shrink(self, item: requirements.Requirement) -> None:
        while self._serving(item.pool) > item.wanted:
            if not self._moves_left:
                self._refuse_move(item, 'release of the surplus')
                return
            self._moves_left -= 1
            instance = assignment.worst_serving(self._index, item)
            self._draft.change(instance, _S.DRAINING, item.pool, _R.SURPLUS)

    def _follow_demand(self, group: reserve.Group) -> None:
        """Give free instances, not the reserve, to lasting demand."""
        for item in sorted(
            group.pools,
            key=lambda item: self._serving(item.pool) / item.wanted,
        ):
            restarting = self._restarting_by_pool[item.pool]
            while self._serving(item.pool) + restarting < item.wanted:
                instance = assignment.best_idle(self._index, item)
                lack = item.wanted - self._serving(item.pool)
                if instance is None or not self._moves_left:
                    self._refuse(item, f'{lack} more for lasting demand')
                    break
                mark = self._draft.mark
                self._draft.change(
                    instance, _S.SERVING, item.pool, _R.LASTING_DEMAND
                )
                size = reserve.size(group, self._index)
                if size.kept < size.wanted:
                    self._draft.undo_to(mark)
                    self._refuse(
                        item,
                        f'{lack} more for lasting demand: the rest is the '
                        f'reserve against {size.cause}',
                    )
                    break
                self._moves_left -= 1

    def _refuse(self, item: requirements.Requirement, what: str) -> None:
        self.refused_by_pool[item.pool].append(what)

    def _refuse_move(
        self, item: requirements.Requirement, wanted: str
    ) -> None:
        self._refuse(item, f'{wanted}: the limit of moves per hour is reached')

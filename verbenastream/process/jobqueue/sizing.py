"""How many instances each pool has: fetches for load, parks the idle.

Demand turns from pool to pool within seconds. A move costs about as much as
a second of an instance in a pool, so an instance that has nothing to do is
worth keeping only for a short time.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import demand
from verbenastream.process.jobqueue import instances

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.jobqueue import state as states

# An idle worker is parked after this long. Parking and fetching it again cost
# about two seconds of an instance, and demand stays away for longer.
_PARK_AFTER_S = 0.6
# A pool gives an idle worker to a loaded one sooner than to the spare pool.
_LEND_AFTER_S = 0.3
# A pool keeps this part more than its work needs before it lends or parks.
_KEEP_SHARE = 1.25
# An instance that was called for counts as on its way for this long.
_ARRIVAL_S = 4.0
# Work that comes to an empty pool would wait for a move, and lasting tasks
# need a second worker when one is lost or taken.
_MIN_OPEN_WORKERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Ask the platform to move ``instance`` to ``pool``."""

    instance: ids.InstanceId
    pool: ids.PoolId
    worker: ids.WorkerId | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    """An instance that was called for."""

    pool: ids.PoolId
    called_at: float


class PoolSizer:
    """Moves instances between pools and the spare pools."""

    def __init__(
        self,
        state: states.JobQueueState,
        dispatcher: dispatchers.Dispatcher,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._meter = demand.DemandMeter(state, dispatcher)
        self._arriving_by_id: dict[ids.InstanceId, _Arrival] = {}
        self._impossible: set[tuple[ids.InstanceId, ids.PoolId]] = set()

    def arriving(self) -> set[ids.InstanceId]:
        """Instances that are being moved."""
        return set(self._arriving_by_id)

    def note_impossible(
        self, instance: ids.InstanceId, pool: ids.PoolId
    ) -> None:
        """The platform says that ``pool`` cannot take ``instance``."""
        self._impossible.add((instance, pool))
        self._arriving_by_id.pop(instance, None)

    def note_failed(self, instance: ids.InstanceId) -> None:
        """The platform did not move ``instance``."""
        self._arriving_by_id.pop(instance, None)

    def is_idle(self) -> bool:
        """Whether there is no spare pool and so nothing to move."""
        return not self._spare_pools()

    def _spare_pools(self) -> list[ids.PoolId]:
        return [
            pool.id for pool in self._state.pools_by_id.values() if pool.spare
        ]

    def plan(
        self,
        listing: instances.Listing,
        reserved: set[ids.InstanceId],
        now: float,
    ) -> list[Move]:
        """Return the moves to make; ``reserved`` instances stay put."""
        self._drop_arrived(listing, now)
        load_by_pool = self._meter.measure(reserved, now)
        moves = self._fetch(load_by_pool, listing, reserved, now)
        moves += self._park(load_by_pool, now)
        for move in moves:
            self._arriving_by_id[move.instance] = _Arrival(move.pool, now)
        return moves

    def _drop_arrived(self, listing: instances.Listing, now: float) -> None:
        """Forget calls whose instance is there: up, or with a worker."""
        there = {
            (worker.beat.instance, worker.pool)
            for worker in self._dispatcher.workers_by_id.values()
        }
        spare_pools = self._spare_pools()
        for id, arrival in list(self._arriving_by_id.items()):
            row = listing.by_id.get(id)
            parked = (
                arrival.pool in spare_pools
                and row is not None
                and row.pool == arrival.pool
                and row.state is instances.InstanceState.UP
                and listing.asked_at > arrival.called_at
            )
            if parked or now > arrival.called_at + _ARRIVAL_S:
                del self._arriving_by_id[id]
            elif (id, arrival.pool) in there:
                del self._arriving_by_id[id]

    # Fetching.

    def _fetch(
        self,
        load_by_pool: dict[ids.PoolId, demand.PoolLoad],
        listing: instances.Listing,
        reserved: set[ids.InstanceId],
        now: float,
    ) -> list[Move]:
        spare = self._spare_instances(listing, reserved)
        moves: list[Move] = []
        by_need = sorted(
            load_by_pool.items(), key=lambda item: -item[1].needed
        )
        for pool, load in by_need:
            wanted = self._wanted(pool, load, listing)
            while wanted > 0:
                move = self._from_spare(pool, spare) or self._from_idle(
                    pool, load_by_pool, now
                )
                if move is None:
                    break
                moves.append(move)
                wanted -= 1
        return moves

    def _wanted(
        self,
        pool: ids.PoolId,
        load: demand.PoolLoad,
        listing: instances.Listing,
    ) -> int:
        """How many more instances the work of a pool is worth."""
        if load.size is None and not listing.by_id:
            return 0
        coming = sum(
            arrival.pool == pool for arrival in self._arriving_by_id.values()
        )
        there = load.open_workers + coming
        return max(
            0, _MIN_OPEN_WORKERS - there, math.ceil(load.needed - there)
        )

    def _spare_instances(
        self, listing: instances.Listing, reserved: set[ids.InstanceId]
    ) -> list[ids.InstanceId]:
        spare_pools = set(self._spare_pools())
        return [
            row.id
            for row in listing.by_id.values()
            if row.pool in spare_pools
            and row.state is instances.InstanceState.UP
            and row.id not in reserved
            and row.id not in self._arriving_by_id
        ]

    def _from_spare(
        self, pool: ids.PoolId, spare: list[ids.InstanceId]
    ) -> Move | None:
        for id in spare:
            if (id, pool) not in self._impossible:
                spare.remove(id)
                return Move(id, pool, None)
        return None

    def _from_idle(
        self,
        pool: ids.PoolId,
        load_by_pool: dict[ids.PoolId, demand.PoolLoad],
        now: float,
    ) -> Move | None:
        for other, load in load_by_pool.items():
            if other == pool:
                continue
            move = self._release_one(other, load, pool, _LEND_AFTER_S, now)
            if move is not None:
                return move
        return None

    # Parking.

    def _park(
        self, load_by_pool: dict[ids.PoolId, demand.PoolLoad], now: float
    ) -> list[Move]:
        spare_pools = self._spare_pools()
        if not spare_pools:
            return []
        moves = []
        for pool, load in load_by_pool.items():
            while True:
                move = self._release_one(
                    pool, load, spare_pools[0], _PARK_AFTER_S, now
                )
                if move is None:
                    break
                moves.append(move)
        return moves

    def _release_one(
        self,
        pool: ids.PoolId,
        load: demand.PoolLoad,
        target: ids.PoolId,
        idle_s: float,
        now: float,
    ) -> Move | None:
        if load.open_workers <= _MIN_OPEN_WORKERS:
            return None
        for worker in load.idle:
            if load.open_workers - 1 < load.needed * _KEEP_SHARE:
                return None
            instance = worker.beat.instance
            if (
                self._meter.idle_s(worker, now) >= idle_s
                and (instance, target) not in self._impossible
                and instance not in self._arriving_by_id
            ):
                load.idle.remove(worker)
                load.open_workers -= 1
                return Move(instance, target, worker.id)
        return None

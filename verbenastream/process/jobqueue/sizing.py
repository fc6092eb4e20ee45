"""Autoscaling of pools: adds instances under load, releases idle ones.

The load shifts between pools within seconds. A move costs about as much as
one instance running in a pool for one second, so an idle instance is kept in
its pool only for a short time.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import demand
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import requirements
from verbenastream.process.jobqueue import waiting

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# Idle time after which an instance moves to the spare pool. Moving it there
# and back costs about two instance-seconds, and low load usually lasts longer.
_IDLE_BEFORE_SPARE_S = 0.6
# Idle time after which an instance moves to a pool that needs it.
_IDLE_BEFORE_LOADED_POOL_S = 0.3
# A pool keeps this multiple of the workers that its load needs.
_HEADROOM_FACTOR = 1.25
# An instance counts towards its new pool for this long after the move call.
_MOVE_TIMEOUT_S = 4.0
# Work arriving in an empty pool would wait for a move, and long-running tasks
# need a second worker when one is lost or taken down.
_MIN_OPEN_WORKERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A move of ``instance`` to ``pool``; ``worker`` currently runs on it."""

    instance: ids.InstanceId
    pool: ids.PoolId
    worker: ids.WorkerId | None


_SpecialTasks = dict[requirements.Requirement, list[waiting.UnassignedTasks]]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingMove:
    """A move that was requested and is not known to be complete.

    ``worker`` runs on the instance and gets no tasks until the move fails.
    """

    pool: ids.PoolId
    called_at: float
    worker: ids.WorkerId | None


class PoolSizer:
    """Plans moves of instances between pools, including spare pools."""

    def __init__(
        self,
        state: states.JobQueueState,
        dispatcher: dispatchers.Dispatcher,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._demand_meter = demand.DemandMeter(state, dispatcher)
        self._pending_by_id: dict[ids.InstanceId, _PendingMove] = {}
        self._impossible_moves: set[tuple[ids.InstanceId, ids.PoolId]] = set()

    def moving_instances(self) -> set[ids.InstanceId]:
        """Return the instances that are being moved."""
        return set(self._pending_by_id)

    def record_impossible(
        self, instance: ids.InstanceId, pool: ids.PoolId
    ) -> None:
        """Record that ``pool`` cannot accept ``instance``."""
        self._impossible_moves.add((instance, pool))
        self.record_failed(instance)

    def record_failed(self, instance: ids.InstanceId) -> None:
        """Record that a move was not executed; it may be planned again."""
        pending = self._pending_by_id.pop(instance, None)
        if pending is not None:
            self._open_worker(pending)

    def _open_worker(self, pending: _PendingMove) -> None:
        worker = self._dispatcher.find_worker(pending.worker)
        if worker is not None:
            worker.is_being_taken_down = False

    def is_idle(self) -> bool:
        """Whether no moves are planned because no spare pool exists."""
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
        """Return the moves to make; ``reserved`` instances are not moved."""
        self._drop_completed_moves(listing, now)
        scheduler = self._dispatcher.scheduler
        unassigned = list(
            scheduler.waiting.unassigned(scheduler.worker_by_task)
        )
        special_tasks = self._special_tasks(unassigned, listing, reserved, now)
        load_by_pool = self._demand_meter.measure(
            [
                tasks
                for tasks in unassigned
                if requirements.Requirement.from_step(tasks.pool, tasks.step)
                not in special_tasks
            ],
            reserved,
            special_tasks,
            now,
        )
        moves = self._plan_special(
            special_tasks, load_by_pool, listing, reserved, now
        )
        self._record_planned(moves, now)
        others = self._plan_to_loaded_pools(
            load_by_pool, listing, reserved, now
        )
        others += self._plan_to_spare(load_by_pool, now)
        self._record_planned(others, now)
        return moves + others

    def _record_planned(self, moves: list[Move], now: float) -> None:
        for move in moves:
            self._pending_by_id[move.instance] = _PendingMove(
                move.pool, now, move.worker
            )

    def _drop_completed_moves(
        self, listing: instances.Listing, now: float
    ) -> None:
        """Remove pending moves that are complete or have timed out.

        A move is complete when a worker of the new pool runs on the instance,
        or, for a spare pool, when the platform lists the instance there. It
        has timed out when a later list still shows the worker on the
        instance, which then gets tasks again.
        """
        present = {
            (worker.heartbeat.instance, worker.pool)
            for worker in self._dispatcher.workers_by_id.values()
        }
        spare_pools = self._spare_pools()
        for id, pending in list(self._pending_by_id.items()):
            row = listing.by_id.get(id)
            is_in_spare_pool = (
                pending.pool in spare_pools
                and row is not None
                and row.pool == pending.pool
                and row.state is instances.InstanceState.UP
                and listing.requested_at > pending.called_at
            )
            if is_in_spare_pool or (id, pending.pool) in present:
                del self._pending_by_id[id]
            elif now > pending.called_at + _MOVE_TIMEOUT_S:
                if row is None or row.worker not in ('', pending.worker):
                    del self._pending_by_id[id]
                elif listing.requested_at > (
                    pending.called_at + _MOVE_TIMEOUT_S
                ):
                    self.record_failed(id)

    # Instances of a special kind or size.

    def _special_tasks(
        self,
        unassigned: list[waiting.UnassignedTasks],
        listing: instances.Listing,
        reserved: set[ids.InstanceId],
        now: float,
    ) -> _SpecialTasks:
        return requirements.find_special_tasks(
            unassigned,
            self._open_workers(now),
            [
                listing.by_id[id]
                for id in self._spare_instances(listing, reserved)
            ],
        )

    def _open_workers(self, now: float) -> list[workers.Worker]:
        return [
            worker
            for worker in self._dispatcher.workers_by_id.values()
            if worker.is_open and worker.lease_until >= now
        ]

    def _plan_special(
        self,
        special_tasks: _SpecialTasks,
        load_by_pool: dict[ids.PoolId, demand.PoolLoad],
        listing: instances.Listing,
        reserved: set[ids.InstanceId],
        now: float,
    ) -> list[Move]:
        """Plan moves for tasks that few workers of their pool can run."""
        moves: list[Move] = []
        for requirement, tasks in special_tasks.items():
            suitable = [
                row
                for row in listing.by_id.values()
                if requirement.is_met_by_instance(row)
            ]
            if not suitable or requirement.pool not in load_by_pool:
                continue
            planned_ids = {move.instance for move in moves}
            spare_instances = [
                id
                for id in self._spare_instances(listing, reserved)
                if id not in planned_ids
                and requirement.is_met_by_instance(listing.by_id[id])
            ]
            missing = requirements.needed_workers(
                tasks, suitable[0].capacity, demand.BACKLOG_DRAIN_S
            ) - self._expected_workers(requirement, suitable, moves, now)
            for _ in range(math.ceil(missing)):
                move = self._plan_from_spare(
                    requirement.pool, spare_instances
                ) or self._plan_from_idle(
                    requirement.pool,
                    load_by_pool,
                    now,
                    requirement.is_met_by_worker,
                )
                if move is None:
                    break
                moves.append(move)
        return moves

    def _expected_workers(
        self,
        requirement: requirements.Requirement,
        suitable: list[instances.Instance],
        moves: list[Move],
        now: float,
    ) -> int:
        """Return how many suitable workers the pool has or gets."""
        present = sum(
            worker.pool == requirement.pool
            and requirement.is_met_by_worker(worker)
            for worker in self._open_workers(now)
        )
        arriving = sum(
            self._is_moving_to(row.id, requirement.pool, moves)
            for row in suitable
        )
        return present + arriving

    def _is_moving_to(
        self, id: ids.InstanceId, pool: ids.PoolId, moves: list[Move]
    ) -> bool:
        pending = self._pending_by_id.get(id)
        if pending is not None:
            return pending.pool == pool
        return any(move.instance == id and move.pool == pool for move in moves)

    # Scaling up.

    def _plan_to_loaded_pools(
        self,
        load_by_pool: dict[ids.PoolId, demand.PoolLoad],
        listing: instances.Listing,
        reserved: set[ids.InstanceId],
        now: float,
    ) -> list[Move]:
        spare_instances = self._spare_instances(listing, reserved)
        moves: list[Move] = []
        pools_by_demand = sorted(
            load_by_pool.items(), key=lambda item: -item[1].needed_workers
        )
        for pool, load in pools_by_demand:
            missing = self._missing_instances(pool, load, listing)
            while missing > 0:
                move = self._plan_from_spare(
                    pool, spare_instances
                ) or self._plan_from_idle(pool, load_by_pool, now)
                if move is None:
                    break
                moves.append(move)
                missing -= 1
        return moves

    def _missing_instances(
        self,
        pool: ids.PoolId,
        load: demand.PoolLoad,
        listing: instances.Listing,
    ) -> int:
        """Return how many more instances the pool needs."""
        if load.worker_capacity is None and not listing.by_id:
            return 0
        arriving = sum(
            move.pool == pool for move in self._pending_by_id.values()
        )
        expected = load.open_workers + arriving
        return max(
            0,
            _min_open_workers(load) - expected,
            math.ceil(load.needed_workers - expected),
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
            and row.id not in self._pending_by_id
        ]

    def _plan_from_spare(
        self, pool: ids.PoolId, spare_instances: list[ids.InstanceId]
    ) -> Move | None:
        for id in spare_instances:
            if (id, pool) not in self._impossible_moves:
                spare_instances.remove(id)
                return Move(id, pool, None)
        return None

    def _plan_from_idle(
        self,
        pool: ids.PoolId,
        load_by_pool: dict[ids.PoolId, demand.PoolLoad],
        now: float,
        suits: Callable[[workers.Worker], bool] = lambda worker: True,
    ) -> Move | None:
        for other_pool, load in load_by_pool.items():
            if other_pool == pool:
                continue
            move = self._plan_idle_move(
                other_pool, load, pool, _IDLE_BEFORE_LOADED_POOL_S, now, suits
            )
            if move is not None:
                return move
        return None

    # Scaling down.

    def _plan_to_spare(
        self, load_by_pool: dict[ids.PoolId, demand.PoolLoad], now: float
    ) -> list[Move]:
        spare_pools = self._spare_pools()
        if not spare_pools:
            return []
        moves = []
        for pool, load in load_by_pool.items():
            while True:
                move = self._plan_idle_move(
                    pool, load, spare_pools[0], _IDLE_BEFORE_SPARE_S, now
                )
                if move is None:
                    break
                moves.append(move)
        return moves

    def _plan_idle_move(
        self,
        pool: ids.PoolId,
        load: demand.PoolLoad,
        destination: ids.PoolId,
        min_idle_s: float,
        now: float,
        suits: Callable[[workers.Worker], bool] = lambda worker: True,
    ) -> Move | None:
        """Plan to move an idle instance if the pool can do without it."""
        if load.open_workers <= _min_open_workers(load):
            return None
        for worker in load.idle_workers:
            if load.open_workers - 1 < load.needed_workers * _HEADROOM_FACTOR:
                return None
            instance = worker.heartbeat.instance
            if (
                suits(worker)
                and self._demand_meter.idle_s(worker, now) >= min_idle_s
                and (instance, destination) not in self._impossible_moves
                and instance not in self._pending_by_id
            ):
                load.idle_workers.remove(worker)
                load.open_workers -= 1
                # No task may start on it while the move is committed.
                worker.is_being_taken_down = True
                return Move(instance, destination, worker.id)
        return None


def _min_open_workers(load: demand.PoolLoad) -> int:
    return max(_MIN_OPEN_WORKERS, load.spread_workers)

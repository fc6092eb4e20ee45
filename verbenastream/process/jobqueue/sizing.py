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
from verbenastream.process.jobqueue import constraints
from verbenastream.process.jobqueue import demand
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import pending_moves

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import waiting
    from verbenastream.process.jobqueue import workers

# Idle time after which an instance moves to the spare pool. Moving it there
# and back costs about two instance-seconds, and low load usually lasts longer.
_IDLE_BEFORE_SPARE_S = 0.6
# Idle time after which an instance moves to a pool that needs it.
_IDLE_BEFORE_LOADED_POOL_S = 0.3
# A pool keeps this multiple of the workers that its load needs.
_HEADROOM_FACTOR = 1.25
# Work arriving in an empty pool would wait for a move, and long-running tasks
# need a second worker when one is lost or taken down.
_MIN_OPEN_WORKERS = 2


@dataclasses.dataclass(slots=True)
class _Plan:
    """What one plan is based on, and the moves that it makes.

    ``spare`` are the instances of spare pools that may still be moved.
    """

    listing: instances.Listing
    load_by_pool: dict[ids.PoolId, demand.PoolLoad]
    spare: dict[ids.InstanceId, instances.Instance]
    open_workers: list[workers.Worker]
    now: float
    moves: list[pending_moves.Move] = dataclasses.field(default_factory=list)


class PoolSizer:
    """Plans moves of instances between pools, including spare pools."""

    def __init__(
        self,
        state: states.JobQueueState,
        dispatcher: dispatchers.Dispatcher,
        max_call_delay_s: float = 0.0,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._demand_meter = demand.DemandMeter(state, dispatcher)
        self._pending = pending_moves.PendingMoves(
            dispatcher, max_call_delay_s
        )
        self._impossible_moves: set[tuple[ids.InstanceId, ids.PoolId]] = set()

    def moving_instances(self) -> set[ids.InstanceId]:
        """Return the instances that are being moved."""
        return self._pending.instance_ids()

    def record_impossible(
        self, instance: ids.InstanceId, pool: ids.PoolId
    ) -> None:
        """Record that ``pool`` cannot accept ``instance``."""
        self._impossible_moves.add((instance, pool))
        self._pending.record_failed(instance)

    def record_failed(self, instance: ids.InstanceId) -> None:
        """Record that a move was not executed; it may be planned again."""
        self._pending.record_failed(instance)

    def record_unanswered(self, instance: ids.InstanceId, now: float) -> None:
        """Record a move of which nobody knows whether it was executed."""
        self._pending.record_unanswered(instance, now)

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
    ) -> list[pending_moves.Move]:
        """Return the moves to make; ``reserved`` instances are not moved."""
        self._pending.drop_completed(listing, self._spare_pools(), now)
        spare = self._spare_instances(listing, reserved)
        open_workers = [
            worker
            for worker in self._dispatcher.workers_by_id.values()
            if worker.is_open
            and worker.lease_until >= now
            and not self._dispatcher.is_doubtful(worker)
        ]
        scheduler = self._dispatcher.scheduler
        split = constraints.split_tasks(
            scheduler.waiting.unassigned(scheduler.worker_by_task),
            open_workers,
            spare.values(),
        )
        load_by_pool = self._demand_meter.measure(split, reserved, now)
        plan = _Plan(listing, load_by_pool, spare, open_workers, now)
        for constraint, tasks in split.constrained.items():
            self._plan_for_constraint(constraint, tasks, plan)
        self._plan_to_loaded_pools(plan)
        self._plan_to_spare(plan)
        return plan.moves

    def _add_move(self, move: pending_moves.Move, plan: _Plan) -> None:
        self._pending.add(move, plan.now)
        plan.spare.pop(move.instance, None)
        plan.moves.append(move)

    def _spare_instances(
        self, listing: instances.Listing, reserved: set[ids.InstanceId]
    ) -> dict[ids.InstanceId, instances.Instance]:
        spare_pools = set(self._spare_pools())
        return {
            row.id: row
            for row in listing.by_id.values()
            if row.pool in spare_pools
            and row.state is instances.InstanceState.UP
            and row.id not in reserved
            and row.id not in self._pending
        }

    # Scaling up.

    def _plan_for_constraint(
        self,
        constraint: constraints.Constraint,
        tasks: list[waiting.UnassignedTasks],
        plan: _Plan,
    ) -> None:
        """Plan moves for tasks that not all workers of their pool can run."""
        suitable = {
            row.id: row
            for row in plan.listing.by_id.values()
            if constraint.is_met_by_instance(row)
        }
        if not suitable or constraint.pool not in plan.load_by_pool:
            return
        needed = constraints.needed_workers(
            tasks,
            next(iter(suitable.values())).capacity,
            demand.BACKLOG_DRAIN_S,
        )
        present = sum(
            worker.pool == constraint.pool
            and constraint.is_met_by_worker(worker)
            for worker in plan.open_workers
        )
        arriving = len(self._pending.arriving(constraint.pool) & set(suitable))
        for _ in range(math.ceil(needed - present - arriving)):
            is_planned = self._plan_from_spare(
                constraint.pool, plan, constraint.is_met_by_instance
            ) or self._plan_from_idle(
                constraint.pool, plan, constraint.is_met_by_worker
            )
            if not is_planned:
                return

    def _plan_to_loaded_pools(self, plan: _Plan) -> None:
        pools_by_demand = sorted(
            plan.load_by_pool.items(), key=lambda item: -item[1].needed_workers
        )
        for pool, load in pools_by_demand:
            for _ in range(self._missing_instances(pool, load, plan)):
                if not (
                    self._plan_from_spare(pool, plan)
                    or self._plan_from_idle(pool, plan)
                ):
                    break

    def _missing_instances(
        self, pool: ids.PoolId, load: demand.PoolLoad, plan: _Plan
    ) -> int:
        """Return how many more instances the pool needs."""
        if load.worker_capacity is None and not plan.listing.by_id:
            return 0
        expected = load.open_workers + len(self._pending.arriving(pool))
        return max(
            0,
            _min_open_workers(load) - expected,
            math.ceil(load.needed_workers - expected),
        )

    def _plan_from_spare(
        self,
        pool: ids.PoolId,
        plan: _Plan,
        suits: Callable[[instances.Instance], bool] = lambda instance: True,
    ) -> bool:
        """Plan to move a spare instance; return False if there is none."""
        for id, instance in plan.spare.items():
            if (id, pool) not in self._impossible_moves and suits(instance):
                self._add_move(pending_moves.Move(id, pool, None), plan)
                return True
        return False

    def _plan_from_idle(
        self,
        pool: ids.PoolId,
        plan: _Plan,
        suits: Callable[[workers.Worker], bool] = lambda worker: True,
    ) -> bool:
        """Plan to move an idle instance of another pool, if there is one."""
        return any(
            self._plan_idle_move(
                other_pool, pool, _IDLE_BEFORE_LOADED_POOL_S, plan, suits
            )
            for other_pool in plan.load_by_pool
            if other_pool != pool
        )

    # Scaling down.

    def _plan_to_spare(self, plan: _Plan) -> None:
        for spare_pool in self._spare_pools()[:1]:
            for pool in plan.load_by_pool:
                while self._plan_idle_move(
                    pool, spare_pool, _IDLE_BEFORE_SPARE_S, plan
                ):
                    pass

    def _plan_idle_move(
        self,
        pool: ids.PoolId,
        destination: ids.PoolId,
        min_idle_s: float,
        plan: _Plan,
        suits: Callable[[workers.Worker], bool] = lambda worker: True,
    ) -> bool:
        """Plan to move an idle instance if the pool can do without it."""
        load = plan.load_by_pool[pool]
        if (
            load.open_workers <= _min_open_workers(load)
            or load.open_workers - 1 < load.needed_workers * _HEADROOM_FACTOR
        ):
            return False
        for worker in load.idle_workers:
            instance = worker.heartbeat.instance
            if (
                suits(worker)
                and self._demand_meter.idle_s(worker, plan.now) >= min_idle_s
                and (instance, destination) not in self._impossible_moves
                and instance not in self._pending
            ):
                load.idle_workers.remove(worker)
                load.open_workers -= 1
                move = pending_moves.Move(instance, destination, worker.id)
                self._add_move(move, plan)
                return True
        return False


def _min_open_workers(load: demand.PoolLoad) -> int:
    return max(_MIN_OPEN_WORKERS, load.spread_workers)

"""Estimates how many workers each pool needs from its load and arrivals."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import logbook

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import constraints
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import waiting
    from verbenastream.process.jobqueue import workers

LOG = logbook.Logger(__name__)

_LOG_INTERVAL_S = 1.0
# Waiting work should be finished within this time, besides new work.
BACKLOG_DRAIN_S = 1.0
# Work is expected to arrive at the current rate for this long.
_ARRIVAL_HORIZON_S = 1.5
# Time constant of the exponential average of the arrival rate.
_RATE_TIME_CONSTANT_S = 0.6


@dataclasses.dataclass(slots=True)
class PoolLoad:
    """Load of a pool at one time.

    ``worker_capacity`` is the mean capacity of a worker, None if no worker is
    known. The demand is given in workers of this capacity.
    """

    worker_capacity: model.Resources | None = None
    open_workers: int = 0
    # Workers that all long-running tasks need, including the waiting ones.
    long_running_workers: float = 0.0
    # Worker-seconds of the other waiting tasks.
    waiting_worker_s: float = 0.0
    # Workers for the long-running, waiting and expected tasks together.
    needed_workers: float = 0.0
    # Over how many workers the tasks of one long-running step must be spread.
    spread_workers: int = 0
    idle_workers: list[workers.Worker] = dataclasses.field(
        default_factory=list
    )


class DemandMeter:
    """Measures the load of all pools except spare pools."""

    def __init__(
        self,
        state: states.JobQueueState,
        dispatcher: dispatchers.Dispatcher,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._idle_since_by_worker: dict[ids.WorkerId, float] = {}
        # Core-seconds of work that arrive per second.
        self._arrival_rate_by_pool: dict[ids.PoolId, float] = {}
        self._worker_capacity_by_pool: dict[ids.PoolId, model.Resources] = {}
        self._measured_at: float | None = None
        self._logged_at = -math.inf

    def idle_s(self, worker: workers.Worker, now: float) -> float:
        """Return for how many seconds ``worker`` has had no work."""
        return now - self._idle_since_by_worker.get(worker.id, now)

    def measure(
        self,
        waiting_tasks: constraints.SplitTasks,
        reserved: set[ids.InstanceId],
        now: float,
    ) -> dict[ids.PoolId, PoolLoad]:
        """Return the load by pool; ``reserved`` instances are never idle.

        Constrained tasks that wait, and arrivals like them, do not count.
        """
        load_by_pool = {
            pool.id: PoolLoad()
            for pool in self._state.pools_by_id.values()
            if not pool.spare
        }
        self._count_workers(load_by_pool, reserved, now)
        self._update_rates(waiting_tasks.constrained, now)
        self._add_long_running(load_by_pool)
        self._add_spread(load_by_pool)
        _add_waiting(load_by_pool, waiting_tasks.unconstrained)
        for pool, load in load_by_pool.items():
            arriving_s = (
                self._arrival_rate_by_pool.get(pool, 0.0) * _ARRIVAL_HORIZON_S
            )
            if (
                load.worker_capacity is not None
                and load.worker_capacity.millicores
            ):
                arriving_s /= load.worker_capacity.millicores / 1000
            load.needed_workers = load.long_running_workers + (
                load.waiting_worker_s + arriving_s
            ) / (_ARRIVAL_HORIZON_S + BACKLOG_DRAIN_S)
        self._log(load_by_pool, now)
        return load_by_pool

    def _count_workers(
        self,
        load_by_pool: dict[ids.PoolId, PoolLoad],
        reserved: set[ids.InstanceId],
        now: float,
    ) -> None:
        idle_since = {}
        capacities_by_pool: dict[ids.PoolId, list[model.Resources]] = {}
        for worker in self._dispatcher.workers_by_id.values():
            load = load_by_pool.get(worker.pool)
            if load is None or not worker.is_open or worker.lease_until < now:
                continue
            if self._dispatcher.is_doubtful(worker):
                # It does no work, so others have to.
                continue
            load.open_workers += 1
            capacities = capacities_by_pool.setdefault(worker.pool, [])
            capacities.append(worker.heartbeat.capacity)
            if not self._has_no_work(worker):
                continue
            since = self._idle_since_by_worker.get(worker.id, now)
            idle_since[worker.id] = since
            if (
                worker.heartbeat.instance
                and worker.heartbeat.instance not in reserved
            ):
                load.idle_workers.append(worker)
        self._idle_since_by_worker = idle_since
        for pool, capacities in capacities_by_pool.items():
            self._worker_capacity_by_pool[pool] = capacity.mean_capacity(
                capacities
            )
        # A pool without workers is assumed to have those of another pool.
        default_capacity = next(
            iter(self._worker_capacity_by_pool.values()), None
        )
        for pool, load in load_by_pool.items():
            load.worker_capacity = self._worker_capacity_by_pool.get(
                pool, default_capacity
            )

    def _has_no_work(self, worker: workers.Worker) -> bool:
        return not (
            worker.heartbeat.running
            or worker.assigned_by_task
            or worker.starting_by_task
            or self._state.runs_by_worker.get(worker.id)
        )

    def _update_rates(
        self, excluded: Container[constraints.Constraint], now: float
    ) -> None:
        """Include the arrivals since the last call in the arrival rates."""
        arrivals = self._dispatcher.scheduler.waiting.pop_arrivals()
        core_s_by_pool: dict[ids.PoolId, float] = {}
        for constraint, core_s in arrivals.items():
            if constraint not in excluded:
                pool = constraint.pool
                core_s_by_pool[pool] = core_s_by_pool.get(pool, 0.0) + core_s
        if self._measured_at is not None:
            elapsed = max(1e-3, now - self._measured_at)
            decay = math.exp(-elapsed / _RATE_TIME_CONSTANT_S)
            for pool in {*self._arrival_rate_by_pool, *core_s_by_pool}:
                rate = self._arrival_rate_by_pool.get(pool, 0.0)
                new_rate = core_s_by_pool.get(pool, 0.0) / elapsed
                self._arrival_rate_by_pool[pool] = rate * decay + new_rate * (
                    1 - decay
                )
        self._measured_at = now

    def _add_long_running(
        self, load_by_pool: dict[ids.PoolId, PoolLoad]
    ) -> None:
        """Add the running long-running tasks.

        Other runs end soon and do not count.
        """
        for runs in self._state.runs_by_worker.values():
            for key, _ in runs:
                job = self._state.open_jobs.get(key.job)
                if job is None or job.spec is None:
                    continue
                step = job.spec.steps[key.step]
                load = load_by_pool.get(job.pool)
                if (
                    step.long_running
                    and load is not None
                    and load.worker_capacity
                ):
                    load.long_running_workers += capacity.worker_share(
                        step, load.worker_capacity
                    )

    def _add_spread(self, load_by_pool: dict[ids.PoolId, PoolLoad]) -> None:
        """Add the limits of long-running steps on the tasks of a worker."""
        for job in self._state.open_jobs.values():
            load = load_by_pool.get(job.pool)
            if load is None or job.spec is None:
                continue
            for step in job.spec.steps:
                if step.long_running and step.per_worker:
                    load.spread_workers = max(
                        load.spread_workers,
                        math.ceil(step.count / step.per_worker),
                    )

    def _log(
        self, load_by_pool: dict[ids.PoolId, PoolLoad], now: float
    ) -> None:
        """Log the load that determines the pool sizes, once per second."""
        if now < self._logged_at + _LOG_INTERVAL_S:
            return
        self._logged_at = now
        for pool, load in load_by_pool.items():
            LOG.info(
                'pool load',
                extra={
                    'pool': pool,
                    'workers': load.open_workers,
                    'idle_workers': len(load.idle_workers),
                    'needed': round(load.needed_workers, 1),
                    'lasting': round(load.long_running_workers, 1),
                    'waiting_worker_s': round(load.waiting_worker_s, 1),
                },
            )


def _add_waiting(
    load_by_pool: dict[ids.PoolId, PoolLoad],
    unassigned: Iterable[waiting.UnassignedTasks],
) -> None:
    """Add the waiting tasks."""
    for tasks in unassigned:
        load = load_by_pool.get(tasks.pool)
        if load is None or load.worker_capacity is None:
            continue
        needed = tasks.count * capacity.worker_share(
            tasks.step, load.worker_capacity
        )
        if tasks.step.long_running:
            load.long_running_workers += needed
        elif not tasks.step.best_effort:
            load.waiting_worker_s += needed * tasks.run_time_s

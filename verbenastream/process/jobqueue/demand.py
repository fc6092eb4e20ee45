"""How many workers the work of each pool needs, from load and arrivals."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import logbook

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

LOG = logbook.Logger(__name__)

_LOG_INTERVAL_S = 1.0
# Waiting work should be done within this time, beside what arrives.
_DRAIN_S = 1.0
# Work goes on arriving at the present rate for about this long.
_LOOK_AHEAD_S = 1.5
# Time constant of the rate at which work arrives.
_RATE_WINDOW_S = 0.6


@dataclasses.dataclass(slots=True)
class PoolLoad:
    """State of one pool in one pass.

    ``size`` is the mean capacity of a worker, None if no worker is known.
    All demand is in workers of that size.
    """

    size: model.Need | None = None
    open_workers: int = 0
    # Workers that the lasting tasks need, those that wait included.
    lasting: float = 0.0
    # Worker-seconds of other work that waits.
    waiting_s: float = 0.0
    # Workers that all waiting, arriving and lasting work is worth.
    needed: float = 0.0
    idle: list[workers.Worker] = dataclasses.field(default_factory=list)


class DemandMeter:
    """Measures the load of the pools that are not spare."""

    def __init__(
        self,
        state: states.JobQueueState,
        dispatcher: dispatchers.Dispatcher,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._idle_since_by_worker: dict[ids.WorkerId, float] = {}
        # Core-seconds of work that arrive each second.
        self._rate_by_pool: dict[ids.PoolId, float] = {}
        self._size_by_pool: dict[ids.PoolId, model.Need] = {}
        self._measured_at: float | None = None
        self._logged_at = -math.inf

    def idle_s(self, worker: workers.Worker, now: float) -> float:
        """How long ``worker`` has had nothing to do, in seconds."""
        return now - self._idle_since_by_worker.get(worker.id, now)

    def measure(
        self, reserved: set[ids.InstanceId], now: float
    ) -> dict[ids.PoolId, PoolLoad]:
        """Return the load by pool; ``reserved`` instances are not idle."""
        load_by_pool = {
            pool.id: PoolLoad()
            for pool in self._state.pools_by_id.values()
            if not pool.spare
        }
        self._count_workers(load_by_pool, reserved, now)
        self._update_rates(now)
        self._add_running(load_by_pool)
        self._add_waiting(load_by_pool)
        for pool, load in load_by_pool.items():
            arriving_s = self._rate_by_pool.get(pool, 0.0) * _LOOK_AHEAD_S
            if load.size is not None and load.size.millicores:
                arriving_s /= load.size.millicores / 1000
            load.needed = load.lasting + (load.waiting_s + arriving_s) / (
                _LOOK_AHEAD_S + _DRAIN_S
            )
        self._log(load_by_pool, now)
        return load_by_pool

    def _count_workers(
        self,
        load_by_pool: dict[ids.PoolId, PoolLoad],
        reserved: set[ids.InstanceId],
        now: float,
    ) -> None:
        idle_since = {}
        rooms_by_pool: dict[ids.PoolId, list[model.Need]] = {}
        for worker in self._dispatcher.workers_by_id.values():
            load = load_by_pool.get(worker.pool)
            if load is None or not worker.is_open or worker.lease_until < now:
                continue
            load.open_workers += 1
            rooms = rooms_by_pool.setdefault(worker.pool, [])
            rooms.append(worker.beat.capacity)
            if not self._is_empty(worker):
                continue
            since = self._idle_since_by_worker.get(worker.id, now)
            idle_since[worker.id] = since
            if worker.beat.instance and worker.beat.instance not in reserved:
                load.idle.append(worker)
        self._idle_since_by_worker = idle_since
        for pool, rooms in rooms_by_pool.items():
            self._size_by_pool[pool] = capacity.mean(rooms)
        # A pool without a worker is taken to be like the others.
        known = next(iter(self._size_by_pool.values()), None)
        for pool, load in load_by_pool.items():
            load.size = self._size_by_pool.get(pool, known)

    def _is_empty(self, worker: workers.Worker) -> bool:
        return not (
            worker.beat.running
            or worker.assigned_by_task
            or worker.starting_by_task
            or self._state.runs_by_worker.get(worker.id)
        )

    def _update_rates(self, now: float) -> None:
        """Decay the arrival rates and add what came since the last pass."""
        arrived = self._dispatcher.scheduler.waiting.take_arrivals()
        if self._measured_at is not None:
            elapsed = max(1e-3, now - self._measured_at)
            kept = math.exp(-elapsed / _RATE_WINDOW_S)
            for pool in {*self._rate_by_pool, *arrived}:
                rate = self._rate_by_pool.get(pool, 0.0)
                new = arrived.get(pool, 0.0) / elapsed
                self._rate_by_pool[pool] = rate * kept + new * (1 - kept)
        self._measured_at = now

    def _add_running(self, load_by_pool: dict[ids.PoolId, PoolLoad]) -> None:
        """Add the lasting tasks that run; other runs end soon."""
        for runs in self._state.runs_by_worker.values():
            for key, _ in runs:
                job = self._state.open_jobs.get(key.job)
                if job is None or job.spec is None:
                    continue
                step = job.spec.steps[key.step]
                load = load_by_pool.get(job.pool)
                if step.lasting and load is not None and load.size:
                    load.lasting += capacity.share(step, load.size)

    def _add_waiting(self, load_by_pool: dict[ids.PoolId, PoolLoad]) -> None:
        scheduler = self._dispatcher.scheduler
        for item in scheduler.waiting.unplaced(scheduler.worker_by_task):
            load = load_by_pool.get(item.pool)
            if load is None or load.size is None:
                continue
            needed = item.count * capacity.share(item.step, load.size)
            if item.step.lasting:
                load.lasting += needed
            elif not item.step.fills:
                load.waiting_s += needed * item.seconds

    def _log(
        self, load_by_pool: dict[ids.PoolId, PoolLoad], now: float
    ) -> None:
        """Say once a second what the sizes of the pools depend on."""
        if now < self._logged_at + _LOG_INTERVAL_S:
            return
        self._logged_at = now
        for pool, load in load_by_pool.items():
            LOG.info(
                'pool load',
                extra={
                    'pool': pool,
                    'workers': load.open_workers,
                    'idle_workers': len(load.idle),
                    'needed': round(load.needed, 1),
                    'lasting': round(load.lasting, 1),
                    'waiting_worker_s': round(load.waiting_s, 1),
                },
            )

"""How many instances each pool has: fetches for load, parks the idle.

Demand turns from pool to pool within seconds. A move costs about as much as
a second of an instance in a pool, so an instance that has nothing to do is
worth keeping only for a short time.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import logbook

from verbenastream import ids
from verbenastream.process.jobqueue import instances

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

LOG = logbook.Logger(__name__)

_LOG_INTERVAL_S = 1.0
# An idle worker is parked after this long. Parking and fetching it again cost
# about two seconds of an instance, and demand stays away for longer.
_PARK_AFTER_S = 0.6
# A pool gives an idle worker to a loaded one sooner than to the spare pool.
_LEND_AFTER_S = 0.3
# Waiting work should be done within this time, beside what arrives.
_DRAIN_S = 1.0
# Work goes on arriving at the present rate for about this long.
_LOOK_AHEAD_S = 1.5
# Time constant of the rate at which work arrives.
_RATE_WINDOW_S = 1.2
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


@dataclasses.dataclass(slots=True)
class _Load:
    """State of one pool in one pass."""

    open_workers: int = 0
    millicores: int = 0
    waiting_core_s: float = 0.0
    # Cores that lasting tasks hold.
    lasting: float = 0.0
    # Cores that waiting and arriving work is worth.
    needed: float = 0.0
    idle: list[workers.Worker] = dataclasses.field(default_factory=list)


class PoolSizer:
    """Moves instances between pools and the spare pools."""

    def __init__(
        self,
        state: states.JobQueueState,
        dispatcher: dispatchers.Dispatcher,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._idle_since_by_worker: dict[ids.WorkerId, float] = {}
        self._arriving_by_id: dict[ids.InstanceId, _Arrival] = {}
        self._rate_by_pool: dict[ids.PoolId, float] = {}
        self._measured_at: float | None = None
        self._logged_at = float('-inf')
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
        load_by_pool = self._measure(reserved, now)
        self._log_loads(load_by_pool, now)
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

    def _log_loads(
        self, load_by_pool: dict[ids.PoolId, _Load], now: float
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
                    'cores': load.millicores / 1000,
                    'idle_workers': len(load.idle),
                    'needed_cores': round(load.needed, 1),
                    'lasting_cores': round(load.lasting, 1),
                    'waiting_core_s': round(load.waiting_core_s, 1),
                },
            )

    def _measure(
        self, reserved: set[ids.InstanceId], now: float
    ) -> dict[ids.PoolId, _Load]:
        load_by_pool = {
            pool.id: _Load()
            for pool in self._state.pools_by_id.values()
            if not pool.spare
        }
        idle_since = {}
        for worker in self._dispatcher.workers_by_id.values():
            load = load_by_pool.get(worker.pool)
            if load is None or not worker.is_open or worker.lease_until < now:
                continue
            load.open_workers += 1
            load.millicores += worker.beat.capacity.millicores
            load.lasting += self._lasting_cores(worker)
            if not self._is_empty(worker):
                continue
            since = self._idle_since_by_worker.get(worker.id, now)
            idle_since[worker.id] = since
            if worker.beat.instance and worker.beat.instance not in reserved:
                load.idle.append(worker)
        self._idle_since_by_worker = idle_since
        self._update_rates(now)
        backlog = self._dispatcher.scheduler.backlog()
        for pool, load in load_by_pool.items():
            load.waiting_core_s = backlog.get(pool, 0.0)
            load.needed = load.lasting + (
                load.waiting_core_s
                + self._rate_by_pool.get(pool, 0.0) * _LOOK_AHEAD_S
            ) / (_LOOK_AHEAD_S + _DRAIN_S)
        return load_by_pool

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

    def _lasting_cores(self, worker: workers.Worker) -> float:
        total = 0
        for key, _ in self._state.runs_by_worker.get(worker.id, ()):
            job = self._state.open_jobs.get(key.job)
            if job is not None and job.spec is not None:
                step = job.spec.steps[key.step]
                if step.lasting and not step.fills:
                    total += step.need.millicores
        return total / 1000

    def _is_empty(self, worker: workers.Worker) -> bool:
        return not (
            worker.beat.running
            or worker.assigned_by_task
            or worker.starting_by_task
            or self._state.runs_by_worker.get(worker.id)
        )

    def _idle_s(self, worker: workers.Worker, now: float) -> float:
        return now - self._idle_since_by_worker.get(worker.id, now)

    # Fetching.

    def _fetch(
        self,
        load_by_pool: dict[ids.PoolId, _Load],
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
        self, pool: ids.PoolId, load: _Load, listing: instances.Listing
    ) -> int:
        """How many more instances the waiting work of a pool is worth."""
        size = load.millicores // max(1, load.open_workers)
        if not size:
            sizes = [row.millicores for row in listing.by_id.values()]
            size = max(sizes, default=0)
        if not size:
            return 0
        coming = sum(
            arrival.pool == pool for arrival in self._arriving_by_id.values()
        )
        cores = (load.millicores + coming * size) / 1000
        missing = _MIN_OPEN_WORKERS - load.open_workers - coming
        return max(
            0, missing, math.ceil((load.needed - cores) / (size / 1000))
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
        load_by_pool: dict[ids.PoolId, _Load],
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
        self, load_by_pool: dict[ids.PoolId, _Load], now: float
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
        load: _Load,
        target: ids.PoolId,
        idle_s: float,
        now: float,
    ) -> Move | None:
        if load.open_workers <= _MIN_OPEN_WORKERS:
            return None
        for worker in load.idle:
            left = load.millicores - worker.beat.capacity.millicores
            if left / 1000 < load.needed * _KEEP_SHARE:
                return None
            instance = worker.beat.instance
            if (
                self._idle_s(worker, now) >= idle_s
                and (instance, target) not in self._impossible
                and instance not in self._arriving_by_id
            ):
                load.idle.remove(worker)
                load.open_workers -= 1
                load.millicores -= worker.beat.capacity.millicores
                return Move(instance, target, worker.id)
        return None

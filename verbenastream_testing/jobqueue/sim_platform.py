"""A platform on virtual time whose calls are lost, late or repeated."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import random
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import instances

if TYPE_CHECKING:
    from verbenastream_testing.jobqueue import sim_worker

_MAINTENANCE_S = 2.0
_MOVE_S = 1.5
# The client gives a call up after this time.
_TIMEOUT_S = 2.0
# A call that was given up is executed at most this much later.
_MAX_DELAY_S = 2.5


class CallFault(enum.Enum):
    """What happens to one call that changes an instance."""

    NONE = 'none'
    LOST_BEFORE = 'lost before it is executed'
    LOST_AFTER = 'executed, and the answer is lost'
    FAILED_AFTER = 'executed, and answered with an error'
    LATE = 'executed after the client has given up'
    LIMITED = 'refused by the rate limit'


@dataclasses.dataclass(slots=True)
class _SimInstance:
    worker: sim_worker.SimWorker
    state: instances.InstanceState = instances.InstanceState.UP
    # Waves for which its maintenance has begun.
    waves: set[int] = dataclasses.field(default_factory=set)
    # The wave for which it is down.
    wave: int | None = None
    # The spare pool that it is in, where it is off.
    spare_pool: ids.PoolId | None = None

    @property
    def is_up(self) -> bool:
        """Whether it can be moved or maintained."""
        return self.state is instances.InstanceState.UP and (
            self.spare_pool is not None or self.worker.is_up
        )


class SimPlatform:
    """Lists and maintains instances; implements ``InstancePlatform``.

    ``violations`` are maintenances that began beyond the limit of their wave.
    ``keeps_id`` tells whether the worker after a maintenance has the id of the
    one before.
    """

    def __init__(
        self,
        rng: random.Random,
        draw_fault: Callable[[], CallFault],
        replace: Callable[[sim_worker.SimWorker], sim_worker.SimWorker],
    ) -> None:
        self._rng = rng
        self._draw_fault = draw_fault
        self._replace = replace
        self._at_once_by_wave: dict[int, int] = {}
        self._members_by_wave: dict[int, set[ids.InstanceId]] = {}
        self._by_id: dict[ids.InstanceId, _SimInstance] = {}
        # Waves whose request was answered.
        self.accepted_waves: set[int] = set()
        self.violations: list[str] = []
        self.call_count = 0
        self.move_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, worker: sim_worker.SimWorker) -> None:
        """Add the instance that ``worker`` runs on."""
        self._by_id[worker.instance] = _SimInstance(worker)

    def instance_ids(self) -> tuple[ids.InstanceId, ...]:
        """Return all instances."""
        return tuple(self._by_id)

    def is_down(self, id: ids.InstanceId) -> bool:
        """Whether the instance is being changed, or is off."""
        instance = self._by_id[id]
        return (
            instance.state is not instances.InstanceState.UP
            or instance.spare_pool is not None
        )

    def add_wave(
        self, wave: int, members: tuple[ids.InstanceId, ...], at_once: int
    ) -> None:
        """Add a wave, before the leader is asked to carry it out."""
        self._members_by_wave[wave] = set(members)
        self._at_once_by_wave[wave] = at_once

    def missing(self) -> list[str]:
        """Return the members of accepted waves that were not maintained."""
        return [
            f'MIXED: {id} was not maintained for wave {wave}'
            for wave, members in self._members_by_wave.items()
            if wave in self.accepted_waves
            for id in sorted(members)
            if wave not in self._by_id[id].waves
        ]

    async def list_instances(
        self, names_pool: Callable[[ids.PoolId], bool]
    ) -> instances.Listing | None:
        """Return the instances as they are at the time of the request."""
        requested_at = clock.boot_time()
        rows = [self._row(id) for id in self._by_id]
        await asyncio.sleep(self._rng.uniform(0.001, 0.05))
        return instances.Listing.from_rows(requested_at, rows, names_pool)

    def _row(self, id: ids.InstanceId) -> instances.Instance:
        instance = self._by_id[id]
        worker = instance.worker
        state = instance.state
        if state is instances.InstanceState.UP and not instance.is_up:
            state = instances.InstanceState.DOWN
        is_up = worker.is_up and instance.is_up
        return instances.Instance(
            id,
            instance.spare_pool or worker.pool,
            state,
            ids.DataCentreId('dc-1'),
            ids.RackId(worker.rack),
            worker.capacity,
            frozenset({'a', worker.rack}),
            worker.name if is_up else ids.WorkerId(''),
        )

    async def start_maintenance(
        self,
        instance: ids.InstanceId,
        wave: int,
        caller: instances.FencedCaller,
    ) -> instances.CallOutcome:
        """Carry out a call, with the fault that is drawn for it."""
        return await self._call(lambda: self._begin(instance, wave), caller)

    async def _call(
        self,
        begin: Callable[[], instances.CallOutcome],
        caller: instances.FencedCaller,
    ) -> instances.CallOutcome:
        outcomes = instances.CallOutcome
        if not caller.is_permitted():
            return outcomes.NOT_SENT
        self.call_count += 1
        await asyncio.sleep(0.002)
        match self._draw_fault():
            case CallFault.LOST_BEFORE:
                return outcomes.UNKNOWN
            case CallFault.LOST_AFTER:
                begin()
                await asyncio.sleep(self._rng.choice((0.0, _TIMEOUT_S)))
                return outcomes.UNKNOWN
            case CallFault.FAILED_AFTER:
                begin()
                return outcomes.UNKNOWN
            case CallFault.LATE:
                delay_s = _TIMEOUT_S + self._rng.uniform(0.0, _MAX_DELAY_S)
                self._spawn(_begin_later(begin, delay_s))
                await asyncio.sleep(_TIMEOUT_S)
                return outcomes.UNKNOWN
            case CallFault.LIMITED:
                return outcomes.LIMITED
        return begin()

    async def move(
        self,
        instance: ids.InstanceId,
        pool: ids.PoolId,
        caller: instances.FencedCaller,
    ) -> instances.CallOutcome:
        """Carry out a move, with the fault that is drawn for it."""
        return await self._call(
            lambda: self._begin_move(instance, pool), caller
        )

    def _begin_move(
        self, id: ids.InstanceId, pool: ids.PoolId
    ) -> instances.CallOutcome:
        """Begin a move unless it is done or the instance is busy."""
        outcomes = instances.CallOutcome
        instance = self._by_id[id]
        if not instance.is_up:
            return outcomes.BUSY
        if pool == (instance.spare_pool or instance.worker.pool):
            return outcomes.DONE
        self.move_count += 1
        instance.state = instances.InstanceState.MOVING
        instance.worker.crash()
        self._spawn(self._arrive(instance, pool))
        return outcomes.DONE

    async def _arrive(self, instance: _SimInstance, pool: ids.PoolId) -> None:
        await asyncio.sleep(_MOVE_S)
        instance.state = instances.InstanceState.UP
        instance.spare_pool = None
        if pool != instance.worker.pool:
            instance.spare_pool = pool
            return
        instance.worker = self._replace(instance.worker)
        instance.worker.start()

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _begin(self, id: ids.InstanceId, wave: int) -> instances.CallOutcome:
        """Begin a maintenance unless it has begun or the instance is busy."""
        outcomes = instances.CallOutcome
        if id not in self._members_by_wave.get(wave, ()):
            return outcomes.NOT_IN_WAVE
        instance = self._by_id[id]
        if not instance.is_up:
            return outcomes.BUSY
        if wave in instance.waves:
            return outcomes.DONE
        down = [
            other_id
            for other_id, other in self._by_id.items()
            if other.wave == wave
        ]
        if len(down) >= self._at_once_by_wave[wave]:
            self.violations.append(
                f'LIMIT: {id} is taken down for wave {wave} beside {down}'
            )
        instance.waves.add(wave)
        instance.wave = wave
        instance.state = instances.InstanceState.MAINTENANCE
        instance.worker.crash()
        self._spawn(self._return(instance))
        return outcomes.DONE

    async def _return(self, instance: _SimInstance) -> None:
        await asyncio.sleep(_MAINTENANCE_S)
        instance.wave = None
        instance.state = instances.InstanceState.UP
        if instance.spare_pool is None:
            instance.worker = self._replace(instance.worker)
            instance.worker.start()


async def _begin_later(
    begin: Callable[[], instances.CallOutcome], delay_s: float
) -> None:
    await asyncio.sleep(delay_s)
    begin()

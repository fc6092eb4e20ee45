"""Schedules with tasks that crash the workers that start them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import enum

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import state as states
from verbenastream_testing.jobqueue import schedule
from verbenastream_testing.jobqueue import sim_worker
from verbenastream_testing.jobqueue import virtual_loop

_JOB_COUNT = 40
_JOB_INTERVAL_S = 0.25
# Each such job has one task that crashes its workers.
_CRASHING_JOB_NUMBERS = (4, 12, 20)
_CRASHING_POSITION = 1
_RESTART_S = 3.0
_LISTING_INTERVAL_S = 0.5
_LEADER_CHANGE_INTERVAL_S = 9.0
_SERIES_DURATION_S = 24.0


class CrashingStep(enum.Enum):
    """Kind of the step whose task crashes its workers."""

    PLAIN = 'plain'
    LONG_RUNNING = 'long-running'
    GANG = 'gang'


class Restart(enum.Enum):
    """How the processes of crashed workers come back."""

    # Under a new id; the platform lists the instance as down until then.
    NEW_ID = 'a new id'
    # Under a new id, while the platform does not answer.
    NEW_ID_UNLISTED = 'a new id, unlisted'
    # Under the id that they had, without a list of the platform.
    SAME_ID = 'the same id'


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What crashes, and what happens besides.

    A crashing task ends its worker ``delay_s`` after each start. At each of
    the times ``outages_s`` the workers of the first rack crash by themselves.
    From the first crash of the ``series`` on, ``series_count`` workers that
    are chosen at random crash by themselves at the same moment every
    ``series_interval_s``. The ``lasting_jobs`` are long-running jobs without a
    crashing task.
    """

    delay_s: float = 0.01
    step: CrashingStep = CrashingStep.PLAIN
    restart: Restart = Restart.NEW_ID
    crashing_jobs: tuple[int, ...] = _CRASHING_JOB_NUMBERS
    changes_leader: bool = False
    outages_s: tuple[float, ...] = ()
    series_count: int = 0
    series_interval_s: float = 2.2
    lasting_jobs: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The phases of the jobs at the end, and what the checker reported.

    ``restartable`` are the crashing tasks that may be started again,
    ``given_up`` are the tasks of lasting jobs, and those beside a crashing
    task in its job, that are not started any more, ``away`` those that do not
    run at the end.
    """

    violations: tuple[str, ...]
    phase_by_crashing_job: dict[ids.JobId, model.JobPhase]
    phase_by_other_job: dict[ids.JobId, model.JobPhase]
    crashes: int
    restartable: tuple[model.TaskKey, ...] = ()
    given_up: tuple[model.TaskKey, ...] = ()
    away: tuple[model.TaskKey, ...] = ()


class CrashSchedule(schedule.Schedule):
    """A deployment on virtual time in which workers crash as ``plan`` says."""

    def __init__(self, seed: int, plan: Plan) -> None:
        super().__init__(seed, with_faults=False)
        self._plan = plan
        self._crashing_tasks: set[model.TaskKey] = set()
        self._crashes = 0
        self._down_instances: set[ids.InstanceId] = set()
        self._has_ended = False

    async def play(self) -> Result:
        """Run the traffic and the crashes; return what has become of it."""
        activities = [asyncio.create_task(self._list_instances())]
        if self._plan.changes_leader:
            activities.append(asyncio.create_task(self._change_leaders()))
        if self._plan.series_count:
            activities.append(asyncio.create_task(self._crash_in_series()))
        for at in self._plan.outages_s:
            activities.append(asyncio.create_task(self._crash_rack(at)))
        result = await self.run()
        # A commit that ends at the same moment hides a cancellation.
        self._has_ended = True
        for task in activities:
            task.cancel()
        await asyncio.gather(*activities, return_exceptions=True)
        assert self.log.leader is not None
        crashing_jobs = {key.job for key in self._crashing_tasks}
        phases = {
            job.id: job.phase
            for job in self.log.leader.state.jobs_by_id.values()
        }
        return Result(
            result.violations,
            {id: phases[id] for id in crashing_jobs},
            {id: phases[id] for id in phases if id not in crashing_jobs},
            self._crashes,
            tuple(self._restartable_tasks()),
            tuple(self._lasting_tasks(model.TaskPhase.FAILED)),
            tuple(self._lasting_tasks(model.TaskPhase.WAITING)),
        )

    def _restartable_tasks(self) -> Iterator[model.TaskKey]:
        assert self.log.leader is not None
        open_jobs = self.log.leader.state.open_jobs
        for key in sorted(self._crashing_tasks):
            job = open_jobs.get(key.job)
            task = None if job is None else job.task(key)
            if task is not None and task.phase is not model.TaskPhase.FAILED:
                yield key

    def _lasting_tasks(
        self, phase: model.TaskPhase
    ) -> Iterator[model.TaskKey]:
        """Yield the sound long-running tasks in ``phase``."""
        assert self.log.leader is not None
        for job in self.log.leader.state.jobs_by_id.values():
            assert job.spec is not None
            for key, task in states.each_task(job):
                if key in self._crashing_tasks or task.phase is not phase:
                    continue
                if job.spec.steps[key.step].long_running:
                    yield key

    def start_worker(self, name: str, rack: str) -> sim_worker.SimWorker:
        """Start a worker that crashes under a crashing task."""
        worker = super().start_worker(name, rack)
        worker.on_started = lambda key: self._on_started(worker, key)
        return worker

    async def _submit_jobs(self) -> None:
        for number in range(1, _JOB_COUNT + 1):
            await asyncio.sleep(_JOB_INTERVAL_S)
            job_id = ids.JobId(f'{number:016x}')
            spec = self._spec(number)
            self.checker.record_submission(job_id, spec)
            if number in self._plan.crashing_jobs:
                self._crashing_tasks.add(
                    model.TaskKey(job_id, 0, 0, _CRASHING_POSITION)
                )
            asyncio.create_task(self._submit_spec(job_id, spec))

    async def _submit_spec(
        self, job_id: ids.JobId, spec: model.JobSpec
    ) -> None:
        if await self.call(
            lambda service: service.submit(job_id, schedule.QUEUE, spec)
        ):
            self.accepted.add(job_id)

    def _spec(self, number: int) -> model.JobSpec:
        step = model.Step(
            self.rng.randint(2, 6),
            model.Resources(self.rng.randint(500, 1500), 500),
            estimate_s=self.rng.uniform(0.4, 1.5),
        )
        if number in self._plan.lasting_jobs:
            step = model.Step(
                3, step.need, long_running=True, max_unavailable=1
            )
        elif number in self._plan.crashing_jobs:
            match self._plan.step:
                case CrashingStep.LONG_RUNNING:
                    step = model.Step(
                        2,
                        step.need,
                        long_running=True,
                        max_unavailable=1,
                    )
                case CrashingStep.GANG:
                    step = model.Step(
                        step.count, step.need, step.estimate_s, gang=True
                    )
        return model.JobSpec('spec', (step,))

    # Crashes.

    def _on_started(
        self, worker: sim_worker.SimWorker, key: model.TaskKey
    ) -> None:
        if key in self._crashing_tasks:
            asyncio.create_task(self._crash_under(worker, key))

    async def _crash_under(
        self, worker: sim_worker.SimWorker, key: model.TaskKey
    ) -> None:
        await asyncio.sleep(self._plan.delay_s)
        if worker.is_running(key):
            self.checker.record_crash(key)
            await self._crash(worker)

    async def _crash_rack(self, at: float) -> None:
        await asyncio.sleep(at)
        await asyncio.gather(
            *(
                self._crash(worker)
                for worker in list(self.workers)
                if worker.rack == 'rack-0'
            )
        )

    async def _crash_in_series(self) -> None:
        end = clock.boot_time() + _SERIES_DURATION_S
        while clock.boot_time() < end:
            await asyncio.sleep(self._plan.series_interval_s)
            count = min(self._plan.series_count, len(self.workers))
            for worker in self.rng.sample(self.workers, count):
                asyncio.create_task(self._crash(worker))

    async def _crash(self, worker: sim_worker.SimWorker) -> None:
        self._crashes += 1
        worker.crash()
        if self._plan.restart is Restart.SAME_ID:
            await asyncio.sleep(_RESTART_S)
            worker.start()
            return
        self.workers.remove(worker)
        self._down_instances.add(worker.instance)
        await asyncio.sleep(_RESTART_S)
        self._down_instances.discard(worker.instance)
        next_worker = self.start_worker(
            f'{worker.name}-{self._crashes}', worker.rack
        )
        next_worker.replace(worker)

    async def _list_instances(self) -> None:
        """Tell the leader which instances are down, as the platform would."""
        while not self._has_ended:
            await asyncio.sleep(_LISTING_INTERVAL_S)
            if self._plan.restart is not Restart.NEW_ID:
                continue
            listing = instances.Listing(
                clock.boot_time(),
                {row.id: row for row in self._rows()},
            )
            for service in self.services:
                with contextlib.suppress(errors.JobQueueError):
                    await service.end_lost_workers(listing, None)

    def _rows(self) -> list[instances.Instance]:
        up = [
            (worker.instance, instances.InstanceState.UP, worker.name)
            for worker in self.workers
        ]
        down = [
            (id, instances.InstanceState.DOWN, ids.WorkerId(''))
            for id in sorted(self._down_instances)
        ]
        return [
            instances.Instance(
                id,
                schedule.POOL,
                state,
                ids.DataCentreId('dc-1'),
                ids.RackId('rack-0'),
                model.Resources(16_000, 65_536, 0),
                worker=worker,
            )
            for id, state, worker in up + down
        ]

    async def _change_leaders(self) -> None:
        while True:
            await asyncio.sleep(_LEADER_CHANGE_INTERVAL_S)
            await self._change_leader()


def play(seed: int, plan: Plan) -> Result:
    """Run a schedule on virtual time."""
    return virtual_loop.run(_play(seed, plan))


async def _play(seed: int, plan: Plan) -> Result:
    return await CrashSchedule(seed, plan).play()

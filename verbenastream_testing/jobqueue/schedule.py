"""Seeded fault schedules for the leaders of a job queue."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import itertools
import random

import msgspec

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import workers
from verbenastream.process import metrics
from verbenastream.process.node import config as configs
from verbenastream.process.node import duties
from verbenastream.process.node import service as services
from verbenastream_testing.jobqueue import rules
from verbenastream_testing.jobqueue import shared_log
from verbenastream_testing.jobqueue import sim_gangs
from verbenastream_testing.jobqueue import sim_platform
from verbenastream_testing.jobqueue import sim_worker
from verbenastream_testing.jobqueue import virtual_loop

POOL = ids.PoolId('pool-a')
QUEUE = model.Queue(
    ids.QueueId('queue-a'),
    'host.example',
    '/a/',
    POOL,
    max_attempts=3,
    stretch=1.6,
    objective_s=3.6,
    timeout_s=3.0,
)
_SPARE_POOL = ids.PoolId('pool-s')
_WORKER_COUNT = 6
_RACK_COUNT = 3
_REPLICA_COUNT = 3
_TRAFFIC_DURATION_S = 20.0
# Periodic jobs leave more work for the time after the faults.
_COMPLETION_TIME_S = {
    'plain': 25.0,
    'mixed': 60.0,
    'maintenance': 60.0,
    'moves': 60.0,
    'unplaceable': 25.0,
}
_QUIET_S = 3.0
# Share of the calls to the platform that fail while there are faults.
_CALL_FAULT_SHARE = 0.6


class Workload(enum.Enum):
    """Which jobs the callers of a schedule submit."""

    PLAIN = 'plain'
    # Also gangs, periodic jobs and tasks that must run on one rack.
    MIXED = 'mixed'
    # Plain jobs beside maintenance waves whose calls to the platform fail.
    MAINTENANCE = 'maintenance'
    # The same, and idle instances move to a spare pool and back.
    MOVES = 'moves'
    # Plain jobs beside long-running ones that miss a worker that is lost.
    UNPLACEABLE = 'unplaceable'


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a schedule.

    ``violations`` are broken rules, ``unfinished`` accepted jobs that did not
    end.
    """

    seed: int
    violations: tuple[str, ...]
    unfinished: tuple[str, ...]
    jobs: int
    starts: int


class Schedule:
    """A deployment on virtual time with faults drawn from ``seed``."""

    def __init__(
        self,
        seed: int,
        with_faults: bool = True,
        workload: Workload = Workload.PLAIN,
    ) -> None:
        self.seed = seed
        self.workload = workload
        self.gangs = sim_gangs.SimGangs()
        self.rng = random.Random(seed)
        self.with_faults = with_faults
        self.checker = rules.RuleChecker()
        self.log = shared_log.SharedLog(self.rng)
        self.replicas = [
            shared_log.LogReplica(self.log, f'r{position}')
            for position in range(_REPLICA_COUNT)
        ]
        self.services = [
            services.JobService(
                replica.state, replica, configs.JobLimits(), metrics.Metrics()
            )
            for replica in self.replicas
        ]
        self.workers: list[sim_worker.SimWorker] = []
        self.platform = sim_platform.SimPlatform(
            self.rng, self._draw_call_fault, self._replace_worker
        )
        self.disconnected: set[ids.WorkerId] = set()
        self.accepted: set[ids.JobId] = set()
        self.loss_probability = 0.0
        self._controllers: list[asyncio.Task[None]] = []
        self._replacement_count = 0

    async def run(self) -> Result:
        """Run traffic and faults, end the faults and wait for the jobs."""
        self.log.elect(self.replicas[0])
        for service in self.services:
            service.start()
        await asyncio.sleep(0.1)
        await self.call(
            lambda service: service.configure(
                model.Configuration(1, (QUEUE,), self._pools(), '{}')
            )
        )
        for position in range(_WORKER_COUNT):
            self.start_worker(f'w{position}', f'rack-{position // 2}')
        activities = [asyncio.create_task(self._submit_jobs())]
        if self.with_faults:
            activities.append(asyncio.create_task(self._inject_faults()))
        if self.workload in (Workload.MAINTENANCE, Workload.MOVES):
            self._start_controllers()
            activities.append(asyncio.create_task(self._request_waves()))
        if self.workload is Workload.UNPLACEABLE:
            activities.append(asyncio.create_task(self._lose_worker()))
        await asyncio.sleep(_TRAFFIC_DURATION_S)
        for task in activities:
            task.cancel()
        await asyncio.gather(*activities, return_exceptions=True)
        await self._end_faults()
        await asyncio.sleep(_COMPLETION_TIME_S[self.workload.value])
        return self._result()

    def _pools(self) -> tuple[model.Pool, ...]:
        if self.workload is Workload.MOVES:
            return (model.Pool(POOL), model.Pool(_SPARE_POOL, spare=True))
        return (model.Pool(POOL),)

    def start_worker(self, name: str, rack: str) -> sim_worker.SimWorker:
        """Start a new worker."""
        worker = sim_worker.SimWorker(
            name,
            POOL,
            rack,
            self,
            self.checker,
            random.Random(self.rng.random()),
            self.gangs,
        )
        self.workers.append(worker)
        self.platform.add(worker)
        worker.start()
        return worker

    # Maintenance.

    def _start_controllers(self) -> None:
        for replica, service in zip(self.replicas, self.services):
            controller = duties.InstanceController(
                service, self.platform, replica.name, _QUIET_S
            )
            self._controllers.append(asyncio.create_task(controller.run()))

    async def _request_waves(self) -> None:
        """Request waves that overlap; an instance may be in two of them."""
        for number in itertools.count(1):
            known = self.platform.instance_ids()
            members = tuple(self.rng.sample(known, self.rng.randint(2, 4)))
            at_once = self.rng.randint(1, 2)
            self.platform.add_wave(number, members, at_once)
            wave = commands.RequestWave(
                number,
                members,
                self.rng.uniform(5.0, 20.0),
                at_once,
                clock.unix_time(),
            )
            await self.call(lambda service: service.request_wave(wave))
            self.platform.accepted_waves.add(number)
            await asyncio.sleep(self.rng.uniform(4.0, 10.0))

    def _draw_call_fault(self) -> sim_platform.CallFault:
        if not self.with_faults or self.rng.random() >= _CALL_FAULT_SHARE:
            return sim_platform.CallFault.NONE
        return self.rng.choice(list(sim_platform.CallFault))

    def _replace_worker(
        self, worker: sim_worker.SimWorker
    ) -> sim_worker.SimWorker:
        """Return the worker after a maintenance, under its old id or not."""
        if self.rng.random() < 0.5:
            return worker
        self._replacement_count += 1
        successor = sim_worker.SimWorker(
            f'w{_WORKER_COUNT + self._replacement_count}',
            POOL,
            worker.rack,
            self,
            self.checker,
            random.Random(self.rng.random()),
            self.gangs,
        )
        successor.replace(worker)
        self.workers[self.workers.index(worker)] = successor
        return successor

    def _result(self) -> Result:
        leader = self.log.leader
        assert leader is not None
        leader.catch_up()
        unfinished = []
        for job_id in sorted(self.accepted):
            job = leader.state.jobs_by_id.get(job_id)
            if job is None:
                unfinished.append(f'LOST: {job_id} is not known')
            elif job.phase not in model.ENDED_PHASES and not _is_long_running(
                job
            ):
                unfinished.append(f'LOST: {job_id} is {job.phase.value}')
        return Result(
            self.seed,
            (*self.checker.violations, *self.platform.violations),
            (*unfinished, *self.platform.missing()),
            len(self.accepted),
            self.checker.starts,
        )

    # The network between workers, callers and leaders.

    async def send_heartbeat(
        self, beat: workers.Heartbeat
    ) -> workers.Orders | None:
        """Deliver a heartbeat to the leader, or lose it or its answer."""
        if (
            beat.worker in self.disconnected
            or self.rng.random() < self.loss_probability
        ):
            await asyncio.sleep(10.0)
        await asyncio.sleep(self._delay())
        for service in self._in_random_order():
            try:
                orders = await service.answer_heartbeat(beat)
            except errors.JobQueueError:
                continue
            await asyncio.sleep(self._delay())
            if (
                beat.worker in self.disconnected
                or self.rng.random() < self.loss_probability
            ):
                await asyncio.sleep(10.0)
            return orders
        return None

    def _delay(self) -> float:
        if self.with_faults and self.rng.random() < 0.02:
            return self.rng.uniform(0.2, 2.0)
        return 0.002

    def _in_random_order(self) -> list[services.JobService]:
        return self.rng.sample(self.services, len(self.services))

    async def call(self, call_service: object) -> object | None:
        """Repeat a call at all nodes until one of them answers."""
        for _ in range(40):
            for service in self._in_random_order():
                try:
                    return await call_service(service)  # type: ignore
                except errors.JobQueueError:
                    continue
            await asyncio.sleep(0.25)
        return None

    # Traffic.

    async def _submit_jobs(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(4.0))
            number += 1
            job_id = ids.JobId(f'{number:016x}')
            asyncio.create_task(self._submit(job_id))

    async def _submit_unplaceable(self) -> None:
        """Submit long-running jobs that need each of the workers."""
        for number in range(1, self.rng.randint(4, 9)):
            job_id = ids.JobId(f'{number:08x}{0:08x}')
            spec = model.JobSpec('spec', (_tight_step(self.rng),))
            self.checker.record_submission(job_id, spec)
            if await self.call(
                lambda service: service.submit(job_id, QUEUE, spec)
            ):
                self.accepted.add(job_id)

    async def _lose_worker(self) -> None:
        """Lose a worker for good once the long-running jobs have begun."""
        await self._submit_unplaceable()
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        lost = self.rng.choice(self.workers)
        self.workers.remove(lost)
        lost.crash()

    async def _submit(self, job_id: ids.JobId) -> None:
        spec = random_spec(self.rng)
        if self.workload is Workload.MIXED:
            spec = _mix(self.rng, spec)
        self.checker.record_submission(job_id, spec)
        if await self.call(
            lambda service: service.submit(job_id, QUEUE, spec)
        ):
            self.accepted.add(job_id)
        if self.rng.random() < 0.1:
            await asyncio.sleep(self.rng.uniform(0.0, 3.0))
            if await self.call(lambda service: service.cancel(job_id, QUEUE)):
                self.checker.cancelled_at_by_id[job_id] = clock.boot_time()

    # Faults.

    async def _inject_faults(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))
            inject_fault = self.rng.choice(
                (
                    self._change_leader,
                    self._change_leader,
                    self._disconnect_worker,
                    self._crash_worker,
                    self._make_runs_fail,
                    self._lose_messages,
                    self._slow_down_disk,
                )
            )
            asyncio.create_task(inject_fault())

    async def _change_leader(self) -> None:
        old = self.log.leader
        term = self.log.term
        assert old is not None
        old.disconnect()
        await asyncio.sleep(shared_log.LEASE_S + self.rng.uniform(0.05, 1.0))
        # The same replica may have been elected again meanwhile.
        if self.log.term == term:
            others = [item for item in self.replicas if item is not old]
            self.log.elect(self.rng.choice(others))

    async def _disconnect_worker(self) -> None:
        worker = self.rng.choice(self.workers)
        self.disconnected.add(worker.name)
        await asyncio.sleep(self.rng.uniform(0.5, 9.0))
        self.disconnected.discard(worker.name)

    async def _crash_worker(self) -> None:
        worker = self.rng.choice(self.workers)
        worker.crash()
        await asyncio.sleep(self.rng.uniform(0.0, 5.0))
        # A maintenance starts the worker, or its successor, at its end.
        if worker in self.workers and not self.platform.is_down(
            worker.instance
        ):
            worker.start()

    async def _make_runs_fail(self) -> None:
        worker = self.rng.choice(self.workers)
        worker.failing = True
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        worker.failing = False

    async def _lose_messages(self) -> None:
        self.loss_probability = 0.2
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.loss_probability = 0.0

    async def _slow_down_disk(self) -> None:
        self.log.extra_sync_s = self.rng.uniform(0.05, 1.5)
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        self.log.extra_sync_s = 0.0

    async def _end_faults(self) -> None:
        self.with_faults = False
        self.disconnected.clear()
        self.loss_probability = 0.0
        self.log.extra_sync_s = 0.0
        for worker in self.workers:
            worker.failing = False
        leader = None
        # A change of the leader that has begun may still elect another one,
        # which must not go on beside the last one.
        while leader is not self.log.leader:
            leader = self.log.leader
            assert leader is not None
            leader.disconnect()
            await asyncio.sleep(2 * shared_log.LEASE_S)
        self.log.elect(self.rng.choice(self.replicas))


def _is_long_running(job: model.Job) -> bool:
    return job.spec is not None and any(
        step.long_running for step in job.spec.steps
    )


def random_spec(rng: random.Random) -> model.JobSpec:
    """Return a job of one to three steps, rarely one long-running step."""
    if rng.random() < 0.03:
        step = model.Step(
            rng.randint(2, 4),
            model.Resources(1000, 1000),
            long_running=True,
            max_unavailable=1,
        )
        return model.JobSpec('spec', (step,))
    steps = []
    for position in range(rng.randint(1, 3)):
        steps.append(
            model.Step(
                rng.randint(1, 6),
                model.Resources(
                    rng.randint(200, 4000), rng.randint(100, 9000)
                ),
                estimate_s=rng.uniform(0.2, 2.0),
                after=(position - 1,) if position else (),
                per_worker=rng.choice((0, 0, 2)),
                speculative=rng.random() < 0.2,
            )
        )
    return model.JobSpec('spec', tuple(steps))


def _tight_step(rng: random.Random) -> model.Step:
    """Return a step that fits only on all workers together."""
    step = model.Step(
        _WORKER_COUNT,
        model.Resources(rng.randint(100, 800), 100),
        long_running=True,
        per_worker=1,
        max_unavailable=1,
    )
    match rng.randrange(3):
        case 0:
            # A gang that loses a worker never comes together again.
            return msgspec.structs.replace(step, gang=True)
        case 1:
            # Two of the workers are on the rack, if none of them is lost.
            rack = f'rack-{rng.randrange(_RACK_COUNT)}'
            return msgspec.structs.replace(step, count=2, label=rack)
    return step


def _mix(rng: random.Random, spec: model.JobSpec) -> model.JobSpec:
    """Return ``spec`` with some gangs, labels and occurrences."""
    if any(step.long_running for step in spec.steps):
        return spec
    steps = []
    for step in spec.steps:
        kind = rng.random()
        if kind < 0.4:
            step = msgspec.structs.replace(
                step, gang=True, speculative=False, per_worker=0
            )
        elif kind < 0.6:
            rack = f'rack-{rng.randrange(_RACK_COUNT)}'
            step = msgspec.structs.replace(step, label=rack, per_worker=0)
        steps.append(step)
    spec = msgspec.structs.replace(spec, steps=tuple(steps))
    if rng.random() < 0.2:
        spec = msgspec.structs.replace(
            spec,
            occurrences=rng.randint(2, 4),
            first_at_s=clock.unix_time() + rng.uniform(0.0, 3.0),
            interval_s=rng.uniform(0.5, 4.0),
        )
    return spec


def play(
    seed: int,
    with_faults: bool = True,
    workload: Workload = Workload.PLAIN,
) -> Result:
    """Run a schedule on virtual time.

    ::

        result = play(seed=7)
        assert not result.violations
    """
    return virtual_loop.run(_play(seed, with_faults, workload))


async def _play(seed: int, with_faults: bool, workload: Workload) -> Result:
    return await Schedule(seed, with_faults, workload).run()

"""Replicated state of the job queue: applies the commands of the log."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import enum
import heapq
from typing import Any

import msgspec

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import crashes
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import step_counts
from verbenastream.process.jobqueue import waves
from verbenastream import wire

# How long clients can query a job after its end.
DEFAULT_RETENTION_S = 150.0
# Bounds the time of a submission, which removes expired jobs.
_MAX_REMOVALS = 4
# More pools than any deployment removes while workers of them exist.
_MAX_REMOVED_POOLS = 256


class CommandResult(enum.Enum):
    """Result of a submission or a cancellation.

    ``KNOWN`` means that the command had no effect: the job was submitted
    before, or the job to cancel has already ended. ``UNKNOWN`` is the result
    of cancelling a job whose submission has not arrived yet.
    """

    NEW = 'new'
    KNOWN = 'known'
    NO_QUEUE = 'no_queue'
    UNKNOWN = 'unknown'


class _Snapshot(msgspec.Struct):
    """Content of a snapshot of the state."""

    configuration: model.Configuration | None
    jobs: list[model.Job]
    book: waves.MaintenanceWaves
    retention_s: float = msgspec.field(name='keep_s')
    latest_command_at: float = msgspec.field(default=0.0, name='latest_at')
    last_call_at_by_id: dict[str, float] = msgspec.field(
        default_factory=dict, name='called_at_by_id'
    )
    removed_pools: list[ids.PoolId] = []


class JobQueueState:
    """Jobs, configuration and maintenance waves, identical on all replicas.

    ``apply`` takes one encoded command of the log and returns its result::

        state = JobQueueState()
        version = state.apply(index, commands.encode(configure))
    """

    def __init__(self, retention_s: float = DEFAULT_RETENTION_S) -> None:
        self.retention_s = retention_s
        # Called with each applied command; a leader updates its scheduler.
        self.on_applied: Callable[[commands.Command], None] | None = None
        self._reset(_Snapshot(None, [], waves.MaintenanceWaves(), retention_s))

    def _reset(self, snapshot: _Snapshot) -> None:
        self.configuration = snapshot.configuration
        self.jobs_by_id = {job.id: job for job in snapshot.jobs}
        self.waves = snapshot.book
        # Highest time of any applied command, by the clock of its leader.
        self.latest_command_at = snapshot.latest_command_at
        # When the platform was last asked to move or take down an instance.
        self.last_call_at_by_id = dict(snapshot.last_call_at_by_id)
        # Pools of earlier configurations, the one removed last at the end.
        self.removed_pools = list(snapshot.removed_pools)
        self.queues_by_id: dict[ids.QueueId, model.Queue] = {}
        self.pools_by_id: dict[ids.PoolId, model.Pool] = {}
        # Runs that may be in progress.
        self.runs_by_worker: dict[
            ids.WorkerId, dict[tuple[model.TaskKey, int], model.Run]
        ] = {}
        self.running_counts = step_counts.StepCounts()
        self.open_jobs: dict[ids.JobId, model.Job] = {}
        self._undone_by_job: dict[ids.JobId, int] = {}
        # Tasks of open jobs that may have crashed a worker.
        self.suspects_by_key: dict[model.TaskKey, model.Task] = {}
        # A heap of the ended jobs with the time of their end. Its order does
        # not depend on the history, so that all replicas remove the same jobs.
        self._ended_jobs: list[tuple[float, ids.JobId]] = []
        self._index_configuration()
        for job in self.jobs_by_id.values():
            self._index_job(job)

    def _index_configuration(self) -> None:
        if self.configuration is None:
            return
        self.queues_by_id = {
            queue.id: queue for queue in self.configuration.queues
        }
        self.pools_by_id = {pool.id: pool for pool in self.configuration.pools}

    def _index_job(self, job: model.Job) -> None:
        if job.phase in model.ENDED_PHASES:
            heapq.heappush(self._ended_jobs, (job.ended_at, job.id))
        else:
            self._open_job(job)
        for key, task in each_task(job):
            for run in task.live_runs:
                self._add_run(key, run)
            self._index_suspect(job, key, task)

    def _open_job(self, job: model.Job) -> None:
        self.open_jobs[job.id] = job
        self._undone_by_job[job.id] = job.undone_count()

    def _index_suspect(
        self, job: model.Job, key: model.TaskKey, task: model.Task
    ) -> None:
        if (
            job.id in self.open_jobs
            and task.phase
            not in (model.TaskPhase.DONE, model.TaskPhase.FAILED)
            and crashes.is_suspect(task)
        ):
            self.suspects_by_key[key] = task

    def _add_run(self, key: model.TaskKey, run: model.Run) -> None:
        runs = self.runs_by_worker.setdefault(run.worker, {})
        runs[key, run.number] = run
        self.running_counts.add(key, run.worker)

    # Interface of a replicated state machine.

    def apply(self, index: ids.LogIndex, payload: bytes) -> Any:
        """Apply one encoded command and return its result."""
        command = commands.decode(payload)
        self.latest_command_at = max(self.latest_command_at, command.at)
        result = self._apply(command)
        if self.on_applied is not None:
            self.on_applied(command)
        return result

    def _apply(self, command: commands.Command) -> Any:
        match command:
            case commands.Configure():
                return self._configure(command)
            case commands.Submit():
                return self._submit(command)
            case commands.Cancel():
                return self._cancel(command)
            case commands.StartTasks():
                return [self._start(start) for start in command.starts]
            case commands.EndRuns():
                return self._end_runs(command)
            case commands.RequestWave():
                return self.waves.add(command)
            case commands.BeginMaintenance():
                self.last_call_at_by_id[command.instance] = command.at
                return self.waves.begin_maintenance(command)
            case commands.BeginMoves():
                for instance in command.instances:
                    self.last_call_at_by_id[instance] = command.at
                return None
            case commands.RecordMaintenancePhase():
                return self.waves.record_phase(command)

    def recently_called(self, within_s: float) -> set[ids.InstanceId]:
        """Return the instances that were moved or taken down recently.

        The ``within_s`` seconds end at the time of the latest command, so
        that the clocks of different leaders are not compared.
        """
        since = self.latest_command_at - within_s
        return {
            ids.InstanceId(name)
            for name, at in self.last_call_at_by_id.items()
            if at >= since
        }

    def snapshot(self) -> bytes:
        """Return the encoded state, as ``restore`` expects it."""
        return wire.encode(
            _Snapshot(
                self.configuration,
                list(self.jobs_by_id.values()),
                self.waves,
                self.retention_s,
                self.latest_command_at,
                self.last_call_at_by_id,
                self.removed_pools,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with the content of a snapshot."""
        self._reset(wire.decode(data, _Snapshot))

    # Configuration.

    def _configure(self, command: commands.Configure) -> int:
        """Apply a newer version; return the version now in force."""
        current = self.configuration
        if current is None or command.configuration.version > current.version:
            self.configuration = command.configuration
            earlier_pools = self.pools_by_id
            self._index_configuration()
            self._update_removed_pools(earlier_pools)
            for job in self.open_jobs.values():
                queue = self.queues_by_id.get(job.queue)
                if queue is not None:
                    job.pool = queue.pool
                    job.max_attempts = queue.max_attempts
        assert self.configuration is not None
        return self.configuration.version

    def _update_removed_pools(self, earlier: Iterable[ids.PoolId]) -> None:
        removed = [
            pool
            for pool in (*self.removed_pools, *earlier)
            if pool not in self.pools_by_id
        ]
        self.removed_pools = list(dict.fromkeys(removed))[-_MAX_REMOVED_POOLS:]

    def names_pool(self, pool: ids.PoolId) -> bool:
        """Whether the configuration, or an earlier one, names ``pool``.

        Workers and instances of a pool that was removed still exist. Without
        any configuration, nothing is known about the names of pools.
        """
        return (
            self.configuration is None
            or pool in self.pools_by_id
            or pool in self.removed_pools
        )

    # Submission and cancellation.

    def _submit(self, command: commands.Submit) -> CommandResult:
        if command.job in self.jobs_by_id:
            return CommandResult.KNOWN
        queue = self.queues_by_id.get(command.queue)
        if queue is None:
            return CommandResult.NO_QUEUE
        self._remove_expired_jobs(command.at)
        steps = command.spec.steps
        occurrence_count = command.spec.occurrence_count
        job = model.Job(
            command.job,
            queue.id,
            queue.pool,
            command.at,
            command.spec,
            queue.max_attempts,
            tasks=[
                [[model.Task() for _ in range(step.count)] for step in steps]
                for _ in range(occurrence_count)
            ],
            done=[[0] * len(steps) for _ in range(occurrence_count)],
        )
        self.jobs_by_id[job.id] = job
        self._open_job(job)
        return CommandResult.NEW

    def _cancel(self, command: commands.Cancel) -> CommandResult:
        """Cancel a job.

        A job that is not known yet is stored as cancelled, so that a late
        submission of it does not run.
        """
        job = self.jobs_by_id.get(command.job)
        if job is None:
            job = model.Job(
                command.job, command.queue, ids.PoolId(''), command.at, None
            )
            self.jobs_by_id[job.id] = job
            self._end_job(job, model.JobPhase.CANCELLED, command.at)
            return CommandResult.UNKNOWN
        if job.phase in model.ENDED_PHASES:
            return CommandResult.KNOWN
        self._end_job(job, model.JobPhase.CANCELLED, command.at)
        return CommandResult.NEW

    def _end_job(
        self, job: model.Job, phase: model.JobPhase, at: float
    ) -> None:
        job.phase = phase
        job.ended_at = at
        self.open_jobs.pop(job.id, None)
        self._undone_by_job.pop(job.id, None)
        for key in [key for key in self.suspects_by_key if key.job == job.id]:
            del self.suspects_by_key[key]
        heapq.heappush(self._ended_jobs, (at, job.id))

    def _remove_expired_jobs(self, at: float) -> None:
        """Remove the jobs whose retention time ended first, a few at a time.

        A job with runs that may be in progress is kept until they have ended.
        """
        kept = []
        for _ in range(_MAX_REMOVALS):
            if not self._ended_jobs:
                break
            ended_at, job_id = self._ended_jobs[0]
            if ended_at + self.retention_s >= at:
                break
            ended = heapq.heappop(self._ended_jobs)
            job = self.jobs_by_id[job_id]
            if any(task.live_runs for _, task in each_task(job)):
                kept.append(ended)
            else:
                del self.jobs_by_id[job_id]
        for ended in kept:
            heapq.heappush(self._ended_jobs, ended)

    # Runs.

    def _start(self, start: commands.Start) -> int:
        """Return the number of the new run, 0 if the start is refused."""
        job = self.open_jobs.get(start.task.job)
        if job is None or job.spec is None:
            return 0
        task = job.task(start.task)
        if task is None or not self._may_start(job, start, task):
            return 0
        number = max(task.last_run_number + 1, start.gang_run)
        run = model.Run(
            number,
            start.worker,
            start.incarnation,
            start.heartbeat_sequence,
            self.latest_command_at,
        )
        task.last_run_number = number
        task.phase = model.TaskPhase.RUNNING
        task.live_runs = (*task.live_runs, run)
        self._add_run(start.task, run)
        job.phase = model.JobPhase.RUNNING
        return number

    def _may_start(
        self, job: model.Job, start: commands.Start, task: model.Task
    ) -> bool:
        assert job.spec is not None
        key = start.task
        step = job.spec.steps[key.step]
        if task.phase in (model.TaskPhase.DONE, model.TaskPhase.FAILED):
            return False
        if task.live_runs and not step.speculative:
            return False
        if any(run.worker == start.worker for run in task.live_runs):
            return False
        if step.per_worker:
            running = self.running_counts.by_worker(key)
            if running.get(start.worker, 0) >= step.per_worker:
                return False
        return job.dependencies_done(key.occurrence, key.step)

    def _end_runs(self, command: commands.EndRuns) -> None:
        for end in command.ends:
            self._end_run(end, command.at)
        removed = set()
        for key, number in command.lost:
            job = self.jobs_by_id.get(key.job)
            task = None if job is None else job.task(key)
            if task is not None and self._remove_run(key, task, number):
                removed.add((key, number))
        if command.crash is not None:
            for key, _ in command.crash.cleared:
                self._clear_suspicion(key)
            suspects = set(command.crash.suspects)
            for key, number in command.crash.runs:
                if (key, number) in removed:
                    self._count_crash(
                        key,
                        number,
                        (key, number) in suspects,
                        command.crash.is_singled_out,
                        command.at,
                    )

    def _count_crash(
        self,
        key: model.TaskKey,
        number: int,
        is_suspected: bool,
        is_singled_out: bool,
        at: float,
    ) -> None:
        """Count a crash; end the job of a task that crashes its workers."""
        job = self.open_jobs.get(key.job)
        task = None if job is None else job.task(key)
        if job is None or job.spec is None or task is None:
            return
        if task.phase in (model.TaskPhase.DONE, model.TaskPhase.FAILED):
            return
        is_gang = job.spec.steps[key.step].gang
        if is_gang and task.last_crashed_run >= number:
            # Another member has counted this run for the whole gang.
            return
        members = job.siblings(key) if is_gang else {key: task}
        crashes.count_crash(
            members.values(), number, is_suspected, is_singled_out
        )
        if crashes.is_crashing(task, job.spec.steps[key.step]):
            self._give_up(job, key, members, at)
            return
        for member_key, member in members.items():
            self._index_suspect(job, member_key, member)

    def _give_up(
        self,
        job: model.Job,
        key: model.TaskKey,
        members: dict[model.TaskKey, model.Task],
        at: float,
    ) -> None:
        """Start a task, or the tasks of a gang, no more.

        The job ends as failed, unless the step is long-running: its other
        tasks do their work and go on.
        """
        assert job.spec is not None
        for member_key, member in members.items():
            member.phase = model.TaskPhase.FAILED
            self.suspects_by_key.pop(member_key, None)
        if not job.spec.steps[key.step].long_running or not any(
            task.phase in (model.TaskPhase.WAITING, model.TaskPhase.RUNNING)
            for _, task in each_task(job)
        ):
            self._end_job(job, model.JobPhase.FAILED, at)

    def _clear_suspicion(self, key: model.TaskKey) -> None:
        job = self.open_jobs.get(key.job)
        task = None if job is None else job.task(key)
        if job is None or job.spec is None or task is None:
            return
        if not task.crashes or task.phase is model.TaskPhase.FAILED:
            return
        is_gang = job.spec.steps[key.step].gang
        members = job.siblings(key) if is_gang else {key: task}
        crashes.clear(members.values())
        for member_key in members:
            self.suspects_by_key.pop(member_key, None)

    def _end_run(self, end: commands.RunEnd, at: float) -> None:
        """Apply the end of a run; ignore it if the run was declared lost."""
        job = self.jobs_by_id.get(end.task.job)
        task = None if job is None else job.task(end.task)
        if job is None or task is None:
            return
        if not self._remove_run(end.task, task, end.run):
            return
        if job.spec is None:
            return
        step = job.spec.steps[end.task.step]
        if end.checkpoint and end.checkpoint != task.checkpoint:
            self._store_checkpoint(job, end, task)
        if job.phase in model.ENDED_PHASES or step.long_running:
            return
        match end.kind:
            case model.EndKind.DONE:
                # The tasks of a gang share the end of a run.
                members = (
                    job.siblings(end.task) if step.gang else {end.task: task}
                )
                for key, member in members.items():
                    self._remove_run(key, member, end.run)
                    self._mark_done(job, key, member, at)
            case model.EndKind.FAILED if step.gang:
                if task.last_failed_run < end.run:
                    members = job.siblings(end.task)
                    self._count_gang_failure(job, members, end.run, at)
            case model.EndKind.FAILED:
                self._count_failure(job, task, at)

    @staticmethod
    def _store_checkpoint(
        job: model.Job, end: commands.RunEnd, task: model.Task
    ) -> None:
        """Store a checkpoint, which the tasks of a gang share."""
        assert job.spec is not None
        key = end.task
        members = [task]
        if job.spec.steps[key.step].gang:
            members = job.tasks[key.occurrence][key.step]
        for member in members:
            member.checkpoint = end.checkpoint

    def _remove_run(
        self, key: model.TaskKey, task: model.Task, number: int
    ) -> bool:
        """Remove a run; return False if it was not in progress."""
        live = tuple(run for run in task.live_runs if run.number != number)
        if len(live) == len(task.live_runs):
            return False
        for run in task.live_runs:
            if run.number == number:
                runs = self.runs_by_worker[run.worker]
                del runs[key, number]
                self.running_counts.remove(key, run.worker)
                if not runs:
                    del self.runs_by_worker[run.worker]
        task.live_runs = live
        if not live and task.phase is model.TaskPhase.RUNNING:
            task.phase = model.TaskPhase.WAITING
        return True

    def _mark_done(
        self, job: model.Job, key: model.TaskKey, task: model.Task, at: float
    ) -> None:
        if task.phase is model.TaskPhase.DONE:
            return
        task.phase = model.TaskPhase.DONE
        self.suspects_by_key.pop(key, None)
        job.done[key.occurrence][key.step] += 1
        self._undone_by_job[job.id] -= 1
        if not self._undone_by_job[job.id]:
            self._end_job(job, model.JobPhase.COMPLETED, at)

    def _count_gang_failure(
        self,
        job: model.Job,
        members: dict[model.TaskKey, model.Task],
        run: int,
        at: float,
    ) -> None:
        """Count a failed run once, however many members report it."""
        for member in members.values():
            if member.last_failed_run < run:
                member.last_failed_run = run
                self._count_failure(job, member, at)

    def _count_failure(
        self, job: model.Job, task: model.Task, at: float
    ) -> None:
        task.failures += 1
        if (
            task.phase is model.TaskPhase.DONE
            or task.failures < job.max_attempts
        ):
            return
        task.phase = model.TaskPhase.FAILED
        if job.phase is not model.JobPhase.FAILED:
            self._end_job(job, model.JobPhase.FAILED, at)


def each_task(job: model.Job) -> Iterator[tuple[model.TaskKey, model.Task]]:
    """Yield the tasks of ``job`` with their keys."""
    for occurrence, steps in enumerate(job.tasks):
        for step, tasks in enumerate(steps):
            for index, task in enumerate(tasks):
                yield model.TaskKey(job.id, occurrence, step, index), task

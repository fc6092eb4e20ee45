"""Replicated state of the job queue: applies the commands of the log."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import enum
from typing import Any

import msgspec

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import waves
from verbenastream import wire

# Callers may ask for a job this long after its end.
DEFAULT_KEEP_S = 150.0


class Accepted(enum.Enum):
    """Result of a submission or a cancellation."""

    NEW = 'new'
    KNOWN = 'known'
    NO_QUEUE = 'no_queue'
    UNKNOWN = 'unknown'


class _Image(msgspec.Struct):
    """Everything that a snapshot holds."""

    configuration: model.Configuration | None
    jobs: list[model.Job]
    book: waves.WaveBook
    keep_s: float
    latest_at: float = 0.0
    called_at_by_id: dict[str, float] = {}


class JobQueueState:
    """Jobs, configuration and waves; the same on all replicas.

    ``apply`` takes one encoded command of the log and returns its result::

        state = JobQueueState()
        version = state.apply(index, wire.encode(configure))
    """

    def __init__(self, keep_s: float = DEFAULT_KEEP_S) -> None:
        self.keep_s = keep_s
        # Told of each applied command; the leader's decisions follow it.
        self.on_applied: Callable[[commands.Command], None] | None = None
        self._reset(_Image(None, [], waves.WaveBook(), keep_s))

    def _reset(self, image: _Image) -> None:
        self.configuration = image.configuration
        self.jobs_by_id = {job.id: job for job in image.jobs}
        self.book = image.book
        # The latest time that a command carried, at the leader of then.
        self.latest_at = image.latest_at
        # When the platform was last told to change an instance.
        self.called_at_by_id = dict(image.called_at_by_id)
        self.queues_by_id: dict[ids.QueueId, model.Queue] = {}
        self.pools_by_id: dict[ids.PoolId, model.Pool] = {}
        # Runs that may be under way, by worker.
        self.runs_by_worker: dict[
            ids.WorkerId, dict[tuple[model.TaskKey, int], model.Run]
        ] = {}
        self.open_jobs: dict[ids.JobId, model.Job] = {}
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
        if job.phase not in model.OVER:
            self.open_jobs[job.id] = job
        for key, task in each_task(job):
            for run in task.live:
                self._runs_of(run.worker)[key, run.number] = run

    def _runs_of(
        self, worker: ids.WorkerId
    ) -> dict[tuple[model.TaskKey, int], model.Run]:
        return self.runs_by_worker.setdefault(worker, {})

    # The interface of a state machine.

    def apply(self, index: ids.LogIndex, payload: bytes) -> Any:
        """Apply one encoded command and return its result."""
        command = wire.decode(payload, commands.Command)  # type: ignore
        self.latest_at = max(self.latest_at, command.at)
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
                return self.book.request(command)
            case commands.BeginUpkeep():
                self.called_at_by_id[command.instance] = command.at
                return self.book.begin(command)
            case commands.BeginMoves():
                for instance in command.instances:
                    self.called_at_by_id[instance] = command.at
                return None
            case commands.NoteUpkeep():
                return self.book.note(command)

    def called_lately(self, within_s: float) -> set[ids.InstanceId]:
        """Instances that the platform was told to change shortly before.

        Time is counted back from the latest command, so that clocks of
        different leaders are not compared.
        """
        since = self.latest_at - within_s
        return {
            ids.InstanceId(name)
            for name, at in self.called_at_by_id.items()
            if at >= since
        }

    def snapshot(self) -> bytes:
        """Return everything that ``restore`` needs."""
        return wire.encode(
            _Image(
                self.configuration,
                list(self.jobs_by_id.values()),
                self.book,
                self.keep_s,
                self.latest_at,
                self.called_at_by_id,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self._reset(wire.decode(data, _Image))

    # Configuration.

    def _configure(self, command: commands.Configure) -> int:
        """Take a higher version; return the version in force."""
        current = self.configuration
        if current is None or command.configuration.version > current.version:
            self.configuration = command.configuration
            self._index_configuration()
            for job in self.open_jobs.values():
                queue = self.queues_by_id.get(job.queue)
                if queue is not None:
                    job.pool = queue.pool
                    job.max_attempts = queue.max_attempts
        assert self.configuration is not None
        return self.configuration.version

    # Submission and cancellation.

    def _submit(self, command: commands.Submit) -> Accepted:
        if command.job in self.jobs_by_id:
            return Accepted.KNOWN
        queue = self.queues_by_id.get(command.queue)
        if queue is None:
            return Accepted.NO_QUEUE
        self._forget_old(command.at)
        steps = command.spec.steps
        rounds = command.spec.rounds
        job = model.Job(
            command.job,
            queue.id,
            queue.pool,
            command.at,
            command.spec,
            queue.max_attempts,
            tasks=[
                [[model.Task() for _ in range(step.count)] for step in steps]
                for _ in range(rounds)
            ],
            done=[[0] * len(steps) for _ in range(rounds)],
        )
        self.jobs_by_id[job.id] = job
        self.open_jobs[job.id] = job
        return Accepted.NEW

    def _cancel(self, command: commands.Cancel) -> Accepted:
        """End a job; one that is not known yet never runs."""
        job = self.jobs_by_id.get(command.job)
        if job is None:
            job = model.Job(
                command.job, command.queue, ids.PoolId(''), command.at, None
            )
            self.jobs_by_id[job.id] = job
            self._finish(job, model.JobPhase.CANCELLED, command.at)
            return Accepted.UNKNOWN
        if job.phase in model.OVER:
            return Accepted.KNOWN
        self._finish(job, model.JobPhase.CANCELLED, command.at)
        return Accepted.NEW

    def _finish(
        self, job: model.Job, phase: model.JobPhase, at: float
    ) -> None:
        job.phase = phase
        job.over_at = at
        self.open_jobs.pop(job.id, None)

    def _forget_old(self, at: float) -> None:
        """Drop jobs whose callers no longer ask; the oldest come first."""
        for job in list(self.jobs_by_id.values())[:4]:
            if job.phase in model.OVER and job.over_at + self.keep_s < at:
                if not any(task.live for _, task in each_task(job)):
                    del self.jobs_by_id[job.id]

    # Runs.

    def _start(self, start: commands.Start) -> int:
        """Return the number of the run, 0 if the task must not start."""
        job = self.open_jobs.get(start.task.job)
        if job is None or job.spec is None:
            return 0
        task = job.task(start.task)
        if task is None or not self._may_start(job, start, task):
            return 0
        number = max(task.runs + 1, start.gang_run)
        run = model.Run(number, start.worker, start.born, start.beat)
        task.runs = number
        task.phase = model.TaskPhase.RUNNING
        task.live = (*task.live, run)
        self._runs_of(start.worker)[start.task, number] = run
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
        if task.live and not step.speculative:
            return False
        if any(run.worker == start.worker for run in task.live):
            return False
        if step.per_worker:
            tasks = job.tasks[key.occurrence][key.step]
            if self._count_on(tasks, start.worker) >= step.per_worker:
                return False
        return job.step_is_open(key.occurrence, key.step)

    @staticmethod
    def _count_on(tasks: list[model.Task], worker: ids.WorkerId) -> int:
        return sum(
            any(run.worker == worker for run in task.live) for task in tasks
        )

    def _end_runs(self, command: commands.EndRuns) -> None:
        for end in command.ends:
            self._end_run(end, command.at)
        for key, number in command.lost:
            job = self.jobs_by_id.get(key.job)
            task = None if job is None else job.task(key)
            if task is not None:
                self._drop_run(key, task, number)

    def _end_run(self, end: commands.RunEnd, at: float) -> None:
        """Take note of an end; one of a run given up before is ignored."""
        job = self.jobs_by_id.get(end.task.job)
        task = None if job is None else job.task(end.task)
        if job is None or task is None:
            return
        if not self._drop_run(end.task, task, end.run):
            return
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if job.phase in model.OVER or job.spec is None:
            return
        step = job.spec.steps[end.task.step]
        match end.kind:
            case model.EndKind.DONE if not step.lasting:
                self._note_done(job, end.task, task, at)
            case model.EndKind.FAILED if not step.lasting:
                self._note_failure(job, task, at)

    def _drop_run(
        self, key: model.TaskKey, task: model.Task, number: int
    ) -> bool:
        """Remove a run; False if it was not under way."""
        live = tuple(run for run in task.live if run.number != number)
        if len(live) == len(task.live):
            return False
        for run in task.live:
            if run.number == number:
                runs = self._runs_of(run.worker)
                runs.pop((key, number), None)
                if not runs:
                    del self.runs_by_worker[run.worker]
        task.live = live
        if not live and task.phase is model.TaskPhase.RUNNING:
            task.phase = model.TaskPhase.WAITING
        return True

    def _note_done(
        self, job: model.Job, key: model.TaskKey, task: model.Task, at: float
    ) -> None:
        if task.phase is model.TaskPhase.DONE:
            return
        task.phase = model.TaskPhase.DONE
        job.done[key.occurrence][key.step] += 1
        if job.is_done():
            self._finish(job, model.JobPhase.COMPLETED, at)

    def _note_failure(
        self, job: model.Job, task: model.Task, at: float
    ) -> None:
        task.failures += 1
        if (
            task.phase is model.TaskPhase.DONE
            or task.failures < job.max_attempts
        ):
            return
        task.phase = model.TaskPhase.FAILED
        self._finish(job, model.JobPhase.FAILED, at)


def each_task(job: model.Job) -> Iterator[tuple[model.TaskKey, model.Task]]:
    """Iterate over the tasks of ``job`` with their keys."""
    for occurrence, steps in enumerate(job.tasks):
        for step, tasks in enumerate(steps):
            for index, task in enumerate(tasks):
                yield model.TaskKey(job.id, occurrence, step, index), task

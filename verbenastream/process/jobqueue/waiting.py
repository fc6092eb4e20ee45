"""Jobs with tasks that are ready to start, and their scheduling order."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import constraints
from verbenastream.process.jobqueue import durations
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Iterator

    from verbenastream.process.jobqueue import state as states


@dataclasses.dataclass(slots=True)
class WaitingJob:
    """A job with its tasks that are ready to start.

    ``due_at`` is the deadline in Unix time, of the first occurrence with
    waiting tasks if the job is periodic.
    """

    job: model.Job
    due_at: float
    critical_path_s: float
    priority: int
    is_long_running: bool
    tasks: list[model.TaskKey]
    # When the next occurrence becomes due, None if all of them are due.
    next_due_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UnassignedTasks:
    """``count`` waiting tasks of a step, with the expected time of each."""

    pool: ids.PoolId
    step: model.Step
    count: int
    run_time_s: float


class WaitingJobs:
    """Index of the waiting jobs by pool, kept up to date with the log.

    Applied commands mark jobs as changed, and ``update`` indexes these again.
    It returns the pools with new waiting tasks and the ended jobs::

        waiting.on_command_applied(command)
        pools, ended_jobs = waiting.update(unix_time)
    """

    def __init__(self, state: states.JobQueueState) -> None:
        self._state = state
        self.by_pool: dict[ids.PoolId, dict[ids.JobId, WaitingJob]] = {}
        self._pool_by_job: dict[ids.JobId, ids.PoolId] = {}
        # A dictionary keeps the order, so that decisions are deterministic.
        self._changed: dict[ids.JobId, None] = dict.fromkeys(state.open_jobs)
        self._arrived_core_s: dict[constraints.Constraint, float] = {}
        self.durations = durations.Durations()

    def on_command_applied(self, command: commands.Command) -> None:
        """Mark the jobs that an applied command changed."""
        match command:
            case commands.Submit(job=job):
                if job not in self._changed:
                    self._changed[job] = None
                    self._count_arrival(job)
            case commands.Cancel(job=job):
                self._changed[job] = None
            case commands.StartTasks(starts=starts):
                self._changed.update(
                    dict.fromkeys(start.task.job for start in starts)
                )
            case commands.EndRuns(ends=ends, lost=lost):
                self._changed.update(
                    dict.fromkeys(end.task.job for end in ends)
                )
                self._changed.update(dict.fromkeys(key.job for key, _ in lost))
            case commands.Configure():
                self._changed.update(dict.fromkeys(self._state.open_jobs))

    @property
    def has_changes(self) -> bool:
        """Whether there are jobs to be indexed again."""
        return bool(self._changed)

    def is_changed(self, job: ids.JobId) -> bool:
        """Whether ``job`` is to be indexed again."""
        return job in self._changed

    def mark_changed(self, job: ids.JobId) -> None:
        """Mark ``job`` to be indexed again by the next ``update``."""
        self._changed[job] = None

    def update(
        self, unix_time: float, is_over: Callable[[], bool] = lambda: False
    ) -> tuple[set[ids.PoolId], dict[ids.JobId, None]]:
        """Index the changed jobs again, at least one, until ``is_over``.

        Returns the pools with tasks that were not waiting before, and the
        jobs that have ended.
        """
        self._mark_due(unix_time)
        pools_with_new_tasks: set[ids.PoolId] = set()
        ended_jobs: dict[ids.JobId, None] = {}
        for job_id in list(self._changed):
            del self._changed[job_id]
            previous = self._remove(job_id)
            job = self._state.open_jobs.get(job_id)
            if job is None or job.spec is None:
                ended_jobs[job_id] = None
                continue
            waiting = self._build_waiting_job(job, unix_time)
            if not waiting.tasks and waiting.next_due_at is None:
                continue
            self.by_pool.setdefault(job.pool, {})[job_id] = waiting
            self._pool_by_job[job_id] = job.pool
            if previous is None or not set(previous.tasks).issuperset(
                waiting.tasks
            ):
                pools_with_new_tasks.add(job.pool)
            if is_over():
                break
        return pools_with_new_tasks, ended_jobs

    def _remove(self, job_id: ids.JobId) -> WaitingJob | None:
        pool = self._pool_by_job.pop(job_id, None)
        if pool is None:
            return None
        return self.by_pool[pool].pop(job_id, None)

    def _mark_due(self, unix_time: float) -> None:
        for waiting_by_job in self.by_pool.values():
            for job_id, waiting in waiting_by_job.items():
                due_at = waiting.next_due_at
                if due_at is not None and due_at <= unix_time:
                    self._changed[job_id] = None

    def _build_waiting_job(
        self, job: model.Job, unix_time: float
    ) -> WaitingJob:
        assert job.spec is not None
        queue = self._state.queues_by_id.get(job.queue)
        spec = job.spec
        tasks: list[model.TaskKey] = []
        next_due_at = None
        requested_at = job.submitted_at
        for occurrence in range(spec.occurrence_count):
            due_at = spec.first_at_s + occurrence * spec.interval_s
            if spec.occurrences and due_at > unix_time:
                next_due_at = due_at
                break
            ready = _ready_tasks(job, occurrence)
            if spec.occurrences and ready and not tasks:
                requested_at = due_at
            tasks.extend(ready)
        critical_path_s = critical_path_length_s(spec)
        objective_s = 0.0 if queue is None else queue.objective_s
        stretch = 1.0 if queue is None else queue.stretch
        return WaitingJob(
            job,
            requested_at + stretch * critical_path_s + objective_s,
            critical_path_s,
            0 if queue is None else queue.priority,
            any(step.long_running for step in spec.steps),
            tasks,
            next_due_at,
        )

    # Amount of work.

    def _count_arrival(self, job_id: ids.JobId) -> None:
        job = self._state.open_jobs.get(job_id)
        if job is None or job.spec is None:
            return
        arrived = self._arrived_core_s
        for step in job.spec.steps:
            if step.long_running or step.best_effort:
                continue
            constraint = constraints.Constraint.from_step(job.pool, step)
            core_s = (
                step.count
                * step.need.millicores
                / 1000
                * self.durations.mean_s(job.queue, step.estimate_s)
            )
            arrived[constraint] = arrived.get(constraint, 0.0) + core_s

    def pop_arrivals(self) -> dict[constraints.Constraint, float]:
        """Return the core-seconds submitted since the last call."""
        arrived, self._arrived_core_s = self._arrived_core_s, {}
        return arrived

    def unassigned(
        self, assigned: Container[model.TaskKey]
    ) -> Iterator[UnassignedTasks]:
        """Yield the waiting tasks that are not in ``assigned``, by step."""
        for pool, waiting_by_job in self.by_pool.items():
            for waiting in waiting_by_job.values():
                spec = waiting.job.spec
                assert spec is not None
                count_by_step = collections.Counter(
                    key.step for key in _unassigned_keys(waiting, assigned)
                )
                for position, count in count_by_step.items():
                    step = spec.steps[position]
                    run_time_s = self.durations.mean_s(
                        waiting.job.queue, step.estimate_s
                    )
                    yield UnassignedTasks(pool, step, count, run_time_s)

    def pools_with_unassigned_tasks(
        self, assigned: Container[model.TaskKey]
    ) -> set[ids.PoolId]:
        """Return the pools with waiting tasks that are not in ``assigned``."""
        return {
            pool
            for pool, waiting_by_job in self.by_pool.items()
            if any(
                True
                for waiting in waiting_by_job.values()
                for _ in _unassigned_keys(waiting, assigned)
            )
        }


def sort_key(waiting: WaitingJob, unix_time: float) -> tuple[float, ...]:
    """Return the sort key of the scheduling order.

    Long-running jobs come first, then jobs that can still meet their
    deadline. Among them the order is by priority, then by the latest start
    that would still meet the deadline.
    """
    is_late = unix_time > waiting.due_at
    return (
        not waiting.is_long_running,
        is_late,
        waiting.priority,
        waiting.due_at - waiting.critical_path_s,
    )


def critical_path_length_s(spec: model.JobSpec) -> float:
    """Return the length of the critical path of a job in seconds.

    It is the largest sum of estimates along a chain of dependencies.
    """
    ends: list[float] = []
    for step in spec.steps:
        begin = max((ends[i] for i in step.after), default=0.0)
        ends.append(begin + step.estimate_s)
    return max(ends, default=0.0)


def _ready_tasks(job: model.Job, occurrence: int) -> list[model.TaskKey]:
    assert job.spec is not None
    keys = []
    for step in range(len(job.spec.steps)):
        if not job.dependencies_done(occurrence, step):
            continue
        for index, task in enumerate(job.tasks[occurrence][step]):
            if task.phase is model.TaskPhase.WAITING:
                keys.append(model.TaskKey(job.id, occurrence, step, index))
    return keys


def _unassigned_keys(
    waiting: WaitingJob, assigned: Container[model.TaskKey]
) -> Iterator[model.TaskKey]:
    """Yield the waiting tasks that are not assigned.

    Tasks that have started since the last ``update`` are left out.
    """
    for key in waiting.tasks:
        if key not in assigned:
            task = waiting.job.task(key)
            if task is not None and task.phase is model.TaskPhase.WAITING:
                yield key

"""The jobs with tasks that may start, and the order in which they do."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import durations
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterator

    from verbenastream.process.jobqueue import state as states


@dataclasses.dataclass(slots=True)
class Waiting:
    """The tasks of one job that may start now."""

    job: model.Job
    due_at: float
    chain_s: float
    priority: int
    lasting: bool
    tasks: list[model.TaskKey]
    # When the next occurrence becomes due, None if all are.
    next_due_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unplaced:
    """``count`` tasks of one step that wait; each runs for ``seconds``."""

    pool: ids.PoolId
    step: model.Step
    count: int
    seconds: float


class WaitingJobs:
    """Follows the log: which jobs have tasks to start, by pool.

    ``update`` says which pools have tasks to start that were not there
    before::

        waiting.note(command)
        changes = waiting.update(wall)
    """

    def __init__(self, state: states.JobQueueState) -> None:
        self._state = state
        self.by_pool: dict[ids.PoolId, dict[ids.JobId, Waiting]] = {}
        self._pool_by_job: dict[ids.JobId, ids.PoolId] = {}
        # Ordered, so that equal events give equal decisions.
        self._changed: dict[ids.JobId, None] = dict.fromkeys(state.open_jobs)
        self._arrived_core_s_by_pool: dict[ids.PoolId, float] = {}
        self.durations = durations.Durations()

    def note(self, command: commands.Command) -> None:
        """Remember which jobs an applied command changed."""
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

    def mark(self, job: ids.JobId) -> None:
        """Look at ``job`` again with the next update."""
        self._changed[job] = None

    def update(self, wall: float) -> tuple[set[ids.PoolId], list[ids.JobId]]:
        """Apply what changed.

        Returns the pools with tasks that were not waiting before, and the
        jobs that are over.
        """
        self._mark_due(wall)
        changed, self._changed = self._changed, {}
        grown: set[ids.PoolId] = set()
        over = []
        for job_id in changed:
            known = self._remove(job_id)
            job = self._state.open_jobs.get(job_id)
            if job is None or job.spec is None:
                over.append(job_id)
                continue
            waiting = self._waiting_of(job, wall)
            if not waiting.tasks and waiting.next_due_at is None:
                continue
            self.by_pool.setdefault(job.pool, {})[job_id] = waiting
            self._pool_by_job[job_id] = job.pool
            if known is None or not set(waiting.tasks) <= set(known.tasks):
                grown.add(job.pool)
        return grown, over

    def _remove(self, job_id: ids.JobId) -> Waiting | None:
        pool = self._pool_by_job.pop(job_id, None)
        if pool is None:
            return None
        return self.by_pool[pool].pop(job_id, None)

    def _mark_due(self, wall: float) -> None:
        for waiting_by_job in self.by_pool.values():
            for job_id, waiting in waiting_by_job.items():
                due_at = waiting.next_due_at
                if due_at is not None and due_at <= wall:
                    self._changed[job_id] = None

    def _waiting_of(self, job: model.Job, wall: float) -> Waiting:
        assert job.spec is not None
        queue = self._state.queues_by_id.get(job.queue)
        spec = job.spec
        tasks = []
        next_due_at = None
        for occurrence in range(spec.rounds):
            due_at = spec.first_at_s + occurrence * spec.interval_s
            if spec.occurrences and due_at > wall:
                next_due_at = due_at
                break
            tasks.extend(_startable(job, occurrence))
        chain_s = longest_chain_s(spec)
        objective_s = 0.0 if queue is None else queue.objective_s
        stretch = 1.0 if queue is None else queue.stretch
        return Waiting(
            job,
            job.submitted_at + stretch * chain_s + objective_s,
            chain_s,
            0 if queue is None else queue.priority,
            any(step.lasting for step in spec.steps),
            tasks,
            next_due_at,
        )

    # How much work there is.

    def _count_arrival(self, job_id: ids.JobId) -> None:
        job = self._state.open_jobs.get(job_id)
        if job is None or job.spec is None:
            return
        core_s = sum(
            step.count
            * step.need.millicores
            / 1000
            * self.durations.mean_s(job.queue, step.estimate_s)
            for step in job.spec.steps
            if not (step.lasting or step.fills)
        )
        arrived = self._arrived_core_s_by_pool
        arrived[job.pool] = arrived.get(job.pool, 0.0) + core_s

    def take_arrivals(self) -> dict[ids.PoolId, float]:
        """Return core-seconds of work submitted since the last call."""
        arrived, self._arrived_core_s_by_pool = (
            self._arrived_core_s_by_pool,
            {},
        )
        return arrived

    def unplaced(self, placed: Container[model.TaskKey]) -> Iterator[Unplaced]:
        """Yield the waiting tasks beside ``placed`` ones, by step."""
        for pool, waiting_by_job in self.by_pool.items():
            for waiting in waiting_by_job.values():
                spec = waiting.job.spec
                assert spec is not None
                count_by_step = collections.Counter(
                    key.step for key in _unplaced(waiting, placed)
                )
                for position, count in count_by_step.items():
                    step = spec.steps[position]
                    seconds = self.durations.mean_s(
                        waiting.job.queue, step.estimate_s
                    )
                    yield Unplaced(pool, step, count, seconds)

    def pools_behind(
        self, placed: Container[model.TaskKey]
    ) -> set[ids.PoolId]:
        """Return the pools with waiting tasks beside ``placed`` ones."""
        return {
            pool
            for pool, waiting_by_job in self.by_pool.items()
            if any(
                True
                for waiting in waiting_by_job.values()
                for _ in _unplaced(waiting, placed)
            )
        }


def rank(waiting: Waiting, wall: float) -> tuple[float, ...]:
    """Order of jobs: lasting work, then what can still be in time.

    Of those the higher priority comes first, then the one whose start can be
    put off the least.
    """
    late = wall > waiting.due_at
    return (
        not waiting.lasting,
        late,
        waiting.priority,
        waiting.due_at - waiting.chain_s,
    )


def longest_chain_s(spec: model.JobSpec) -> float:
    """Longest sum of estimates along the dependencies, in seconds."""
    ends: list[float] = []
    for step in spec.steps:
        begin = max((ends[i] for i in step.after), default=0.0)
        ends.append(begin + step.estimate_s)
    return max(ends, default=0.0)


def _startable(job: model.Job, occurrence: int) -> list[model.TaskKey]:
    assert job.spec is not None
    found = []
    for step in range(len(job.spec.steps)):
        if not job.step_is_open(occurrence, step):
            continue
        for index, task in enumerate(job.tasks[occurrence][step]):
            if task.phase is model.TaskPhase.WAITING:
                found.append(model.TaskKey(job.id, occurrence, step, index))
    return found


def _unplaced(
    waiting: Waiting, placed: Container[model.TaskKey]
) -> Iterator[model.TaskKey]:
    """Yield what still waits; starts since the last update are left out."""
    for key in waiting.tasks:
        if key not in placed:
            task = waiting.job.task(key)
            if task is not None and task.phase is model.TaskPhase.WAITING:
                yield key

"""Attributes crashes of workers to the tasks that ran on them.

A worker that crashes reports nothing, so which of its tasks ended it is
inferred. The first crash makes the tasks suspect that had just started. A
suspect then starts alone, or with a few other suspects if there are many, and
nothing starts beside it until it has survived for its isolation time. The
crashes that follow single it out. A task that was singled out repeatedly is
given up.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from verbenastream import ids
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# Most tasks that crash their worker do so right after their start.
_RECENT_START_S = 0.25
# A task that has run for longer does not count beside an isolated suspect.
_EARLY_CRASH_S = 1.0
# A task that crashes its worker later is suspect after this many crashes.
_MAX_UNSUSPICIOUS_CRASHES = 1
# One crash of an isolated suspect may be a coincidence.
_MAX_ISOLATED_CRASHES = 2
# How long a suspect is isolated after its first crash. The time grows with
# each crash, for tasks that do not crash their worker at once.
_FIRST_ISOLATION_S = 0.5
_ISOLATION_GROWTH = 2.0
# How many suspects of one crash may be isolated together if there are more
# than workers to isolate them on.
_MAX_GROUP_SIZE = 4
# Over its life, a long-running task meets crashes that it has not caused.
_LONG_RUNNING_PROBATION_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was lost in a crash.

    ``survived_s`` is how long the worker is known to have lived after the
    start, None if this leader knows nothing about the worker.
    """

    key: model.TaskKey
    number: int
    task: model.Task
    step: model.Step
    survived_s: float | None


def is_suspect(task: model.Task) -> bool:
    """Whether the task may have crashed a worker."""
    return (
        task.suspected_crashes > 0 or task.crashes > _MAX_UNSUSPICIOUS_CRASHES
    )


def is_crashing(task: model.Task) -> bool:
    """Whether the task is given up because it crashes its workers."""
    return task.isolated_crashes >= _MAX_ISOLATED_CRASHES


def isolation_s(task: model.Task) -> float:
    """Return how long nothing starts beside the task, 0 if not suspect."""
    if not is_suspect(task):
        return 0.0
    return _FIRST_ISOLATION_S * _ISOLATION_GROWTH ** (task.crashes - 1)


def unit(key: model.TaskKey, step: model.Step) -> model.TaskKey:
    """Return the key that stands for what is isolated together.

    The tasks of a gang only work together, so they are one unit.
    """
    return key._replace(position=0) if step.gang else key


def report(lost_runs: Iterable[LostRun]) -> commands.CrashReport | None:
    """Return which lost runs count as crashed and which are suspect.

    Example: of a run that began a minute ago and one that began just now,
    both count, and the second is the suspect. If an isolated suspect was among
    them, those that have survived for longer do not count.
    """
    counted = [
        run
        for run in lost_runs
        if not run.step.long_running
        or (run.survived_s or 0.0) < _LONG_RUNNING_PROBATION_S
    ]
    isolated = [run for run in counted if _is_isolated(run)]
    suspects = [run for run in counted if run in isolated or _is_recent(run)]
    if isolated:
        counted = [
            run
            for run in counted
            if run in suspects or (run.survived_s or 0.0) < _EARLY_CRASH_S
        ]
    elif len(counted) == 1:
        suspects = counted
    if not counted:
        return None
    units = {unit(run.key, run.step) for run in suspects}
    return commands.CrashReport(
        tuple((run.key, run.number) for run in counted),
        tuple((run.key, run.number) for run in suspects),
        bool(isolated) and len(units) == 1,
    )


def _is_isolated(run: LostRun) -> bool:
    return (run.survived_s or 0.0) < isolation_s(run.task)


def _is_recent(run: LostRun) -> bool:
    return run.survived_s is not None and run.survived_s < _RECENT_START_S


def count_crash(
    members: Iterable[model.Task],
    run: int,
    is_suspected: bool,
    is_singled_out: bool,
) -> None:
    """Count a crash for a task, or for all tasks of a gang.

    A run of a gang counts once, however many of its workers crash.
    """
    for task in members:
        if task.last_crashed_run < run:
            task.last_crashed_run = run
            task.crashes += 1
            task.suspected_crashes += is_suspected
            task.isolated_crashes += is_suspected and is_singled_out


class Isolation:
    """Decides which workers may start a task while there are suspects.

    ``worker_by_task`` holds the assignments that have not started yet::

        isolation = Isolation(state, workers_by_id, worker_by_task)
        candidates = isolation.permitted(job, key, candidates)
    """

    def __init__(
        self,
        state: states.JobQueueState,
        workers_by_id: Mapping[ids.WorkerId, workers.Worker],
        worker_by_task: Mapping[model.TaskKey, ids.WorkerId],
    ) -> None:
        self._state = state
        self._workers_by_id = workers_by_id
        self._worker_by_task = worker_by_task

    @property
    def is_needed(self) -> bool:
        """Whether there are any suspects."""
        return bool(self._state.suspects_by_key)

    def is_suspect(self, key: model.TaskKey) -> bool:
        """Whether the task with this key is suspect."""
        return key in self._state.suspects_by_key

    def permitted(
        self,
        job: model.Job,
        key: model.TaskKey,
        candidates: list[workers.Worker],
    ) -> list[workers.Worker]:
        """Return the candidates that may start the task.

        For a suspect, workers on which nothing has started just now come
        first, and only these after its second crash; among them the emptiest
        comes first.
        """
        if not self.is_needed:
            return candidates
        assert job.spec is not None
        units_by_worker = self._isolated_units()
        own_unit = unit(key, job.spec.steps[key.step])
        if not self.is_suspect(key):
            return [
                worker
                for worker in candidates
                if worker.id not in units_by_worker
            ]
        limit = self._max_isolated_workers(job.pool)
        group_size = self._group_size(key, limit)
        # A gang that has begun to be assigned may need more workers.
        may_isolate_another = (
            any(own_unit in units for units in units_by_worker.values())
            or self._count_isolated(job.pool, units_by_worker) < limit
        )
        permitted = [
            worker
            for worker in candidates
            if self._may_join(
                own_unit,
                units_by_worker.get(worker.id, set()),
                group_size,
                may_isolate_another,
            )
        ]
        has_recent_by_worker = {
            worker.id: self._has_recent_start(worker, own_unit)
            for worker in permitted
        }
        if not self._may_share(key):
            permitted = [
                worker
                for worker in permitted
                if not has_recent_by_worker[worker.id]
            ]
        return sorted(
            permitted,
            key=lambda worker: (
                has_recent_by_worker[worker.id],
                self._task_count(worker),
            ),
        )

    def _may_join(
        self,
        own_unit: model.TaskKey,
        units: set[model.TaskKey],
        group_size: int,
        may_isolate_another: bool,
    ) -> bool:
        """Whether a suspect may start beside the isolated ``units``."""
        others = units - {own_unit}
        if not others:
            return may_isolate_another or own_unit in units
        return len(others) < group_size and all(map(self._may_share, others))

    def _may_share(self, key: model.TaskKey) -> bool:
        """Whether other suspects may start beside this one.

        After a second crash it is isolated alone.
        """
        return self._state.suspects_by_key[key].crashes <= 1

    def _group_size(self, key: model.TaskKey, limit: int) -> int:
        """Return how many suspects may be isolated together."""
        if not self._may_share(key):
            return 1
        count = sum(map(self._may_share, self._state.suspects_by_key))
        return min(_MAX_GROUP_SIZE, math.ceil(count / limit))

    def _max_isolated_workers(self, pool: ids.PoolId) -> int:
        """Return a limit that lets other tasks of the pool still start."""
        open_workers = sum(
            worker.pool == pool and worker.is_open
            for worker in self._workers_by_id.values()
        )
        return max(1, open_workers // 2)

    def _count_isolated(
        self,
        pool: ids.PoolId,
        units_by_worker: Mapping[ids.WorkerId, set[model.TaskKey]],
    ) -> int:
        return sum(
            self._workers_by_id[id].pool == pool
            for id in units_by_worker
            if id in self._workers_by_id
        )

    def _isolated_units(self) -> dict[ids.WorkerId, set[model.TaskKey]]:
        """Return the suspects beside which nothing starts, by worker."""
        units_by_worker: dict[ids.WorkerId, set[model.TaskKey]] = {}
        for key, task in self._state.suspects_by_key.items():
            worker_ids = {
                run.worker
                for run in task.live_runs
                if self._survived_s(key, run) < isolation_s(task)
            }
            assigned = self._worker_by_task.get(key)
            if assigned is not None:
                worker_ids.add(assigned)
            for worker_id in worker_ids:
                units = units_by_worker.setdefault(worker_id, set())
                units.add(self._unit(key))
        return units_by_worker

    def _survived_s(self, key: model.TaskKey, run: model.Run) -> float:
        worker = self._workers_by_id.get(run.worker)
        return 0.0 if worker is None else worker.survived_s(key, run.number)

    def _has_recent_start(
        self, worker: workers.Worker, own_unit: model.TaskKey
    ) -> bool:
        """Whether another task has just started on the worker, or is to."""
        recent = {*worker.assigned_by_task, *worker.starting_by_task}
        recent.update(
            key
            for key, number in self._state.runs_by_worker.get(worker.id, ())
            if worker.survived_s(key, number) < _RECENT_START_S
        )
        return any(self._unit(key) != own_unit for key in recent)

    def _unit(self, key: model.TaskKey) -> model.TaskKey:
        job = self._state.jobs_by_id.get(key.job)
        if job is None or job.spec is None:
            return key
        return unit(key, job.spec.steps[key.step])

    def _task_count(self, worker: workers.Worker) -> int:
        return (
            len(self._state.runs_by_worker.get(worker.id, ()))
            + len(worker.assigned_by_task)
            + len(worker.starting_by_task)
        )

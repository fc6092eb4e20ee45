"""Keeps tasks that may have crashed a worker away from other tasks.

A suspect starts alone, or with a few other suspects if there are many, and
nothing starts beside it until it has survived for its isolation time.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import crashes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenastream import ids
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# How many suspects of one crash may be isolated together if there are more
# than workers to isolate them on.
_MAX_GROUP_SIZE = 4


class Isolation:
    """Decides which workers may start a task while there are suspects.

    ``worker_by_task`` holds the assignments that have not started yet::

        isolation = Isolation(state, workers_by_id, worker_by_task)
        for group in isolation.choices(job, key, candidates):
            worker = capacity.choose_worker(group, ...)
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
        # What one pass computes once; assignments only add to it.
        self._units_by_worker: dict[ids.WorkerId, set[model.TaskKey]] | None
        self._units_by_worker = None
        self._recent_by_worker: dict[ids.WorkerId, set[model.TaskKey]] = {}
        self._sharing_count = 0

    def start_pass(self) -> None:
        """Prepare for an assignment pass at a later time."""
        self.forget()

    def forget(self) -> None:
        """Compute everything again, as an assignment was revoked."""
        self._units_by_worker = None
        self._recent_by_worker = {}

    def record_assignment(
        self, key: model.TaskKey, worker: workers.Worker
    ) -> None:
        """Take an assignment into account that has just been made."""
        if not self.is_needed or self._units_by_worker is None:
            return
        unit = self._unit(key)
        if self.is_suspect(key):
            self._units_by_worker.setdefault(worker.id, set()).add(unit)
        recent = self._recent_by_worker.get(worker.id)
        if recent is not None:
            recent.add(unit)

    def may_follow(self, key: model.TaskKey, worker: workers.Worker) -> bool:
        """Whether a task may start where another of its step just did.

        A suspect is always compared with all workers.
        """
        if not self.is_needed:
            return True
        return not self.is_suspect(key) and worker.id not in (
            self._isolated_units()
        )

    @property
    def is_needed(self) -> bool:
        """Whether there are any suspects."""
        return bool(self._state.suspects_by_key)

    def is_suspect(self, key: model.TaskKey) -> bool:
        """Whether the task with this key is suspect."""
        return key in self._state.suspects_by_key

    def choices(
        self,
        job: model.Job,
        key: model.TaskKey,
        candidates: list[workers.Worker],
    ) -> list[list[workers.Worker]]:
        """Return the candidates that may start the task, the best group first.

        For a suspect, each is a group: workers on which nothing has started
        just now come first, and only these after its second crash; among them
        the emptiest comes first.
        """
        if not self.is_needed:
            return [candidates]
        assert job.spec is not None
        if not self.is_suspect(key):
            return [self._not_isolated(candidates)]
        own_unit = crashes.unit(key, job.spec.steps[key.step])
        permitted = self._permitted(job, key, candidates, 0)
        has_recent_by_worker = {
            worker.id: self._has_recent_start(worker, own_unit)
            for worker in permitted
        }
        if not self.may_share(key):
            permitted = [
                worker
                for worker in permitted
                if not has_recent_by_worker[worker.id]
            ]
        permitted.sort(
            key=lambda worker: (
                has_recent_by_worker[worker.id],
                self._task_count(worker),
            )
        )
        return [[worker] for worker in permitted]

    def permitted_later(
        self,
        job: model.Job,
        key: model.TaskKey,
        candidates: list[workers.Worker],
        reserved_count: int,
    ) -> list[workers.Worker]:
        """Return the candidates that may start the task after recent starts.

        ``reserved_count`` workers are kept for other suspects alone, and
        count as isolated.
        """
        if not self.is_needed:
            return candidates
        if not self.is_suspect(key):
            return self._not_isolated(candidates)
        return self._permitted(job, key, candidates, reserved_count)

    def _not_isolated(
        self, candidates: list[workers.Worker]
    ) -> list[workers.Worker]:
        units_by_worker = self._isolated_units()
        return [
            worker for worker in candidates if worker.id not in units_by_worker
        ]

    def _permitted(
        self,
        job: model.Job,
        key: model.TaskKey,
        candidates: list[workers.Worker],
        reserved_count: int,
    ) -> list[workers.Worker]:
        """Return the candidates that may isolate a suspect."""
        assert job.spec is not None
        own_unit = crashes.unit(key, job.spec.steps[key.step])
        units_by_worker = self._isolated_units()
        limit = self._max_isolated_workers(job.pool)
        group_size = self._group_size(key, limit)
        isolated = self._count_isolated(job.pool, units_by_worker)
        # A gang that has begun to be assigned may need more workers.
        may_isolate_another = (
            any(own_unit in units for units in units_by_worker.values())
            or isolated + reserved_count < limit
        )
        return [
            worker
            for worker in candidates
            if self._may_join(
                own_unit,
                units_by_worker.get(worker.id, set()),
                group_size,
                may_isolate_another,
            )
        ]

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
        return len(others) < group_size and all(map(self.may_share, others))

    def may_share(self, key: model.TaskKey) -> bool:
        """Whether other suspects may start beside this one.

        After a second crash it is isolated alone.
        """
        task = self._state.suspects_by_key.get(key)
        return task is None or task.crashes <= 1

    def _group_size(self, key: model.TaskKey, limit: int) -> int:
        """Return how many suspects may be isolated together."""
        if not self.may_share(key):
            return 1
        return min(_MAX_GROUP_SIZE, math.ceil(self._sharing_count / limit))

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
        if self._units_by_worker is not None:
            return self._units_by_worker
        self._sharing_count = sum(
            map(self.may_share, self._state.suspects_by_key)
        )
        units_by_worker: dict[ids.WorkerId, set[model.TaskKey]] = {}
        self._units_by_worker = units_by_worker
        for key, task in self._state.suspects_by_key.items():
            worker_ids = {
                run.worker
                for run in task.live_runs
                if self._survived_s(key, run) < crashes.isolation_s(task)
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
        recent = self._recent_by_worker.get(worker.id)
        if recent is None:
            recent = self._recent_units(worker)
            self._recent_by_worker[worker.id] = recent
        return len(recent) > (own_unit in recent)

    def _recent_units(self, worker: workers.Worker) -> set[model.TaskKey]:
        recent = {*worker.assigned_by_task, *worker.starting_by_task}
        recent.update(
            key
            for key, number in self._state.runs_by_worker.get(worker.id, ())
            if worker.survived_s(key, number) < crashes.RECENT_START_S
        )
        return {self._unit(key) for key in recent}

    def _unit(self, key: model.TaskKey) -> model.TaskKey:
        job = self._state.jobs_by_id.get(key.job)
        if job is None or job.spec is None:
            return key
        return crashes.unit(key, job.spec.steps[key.step])

    def _task_count(self, worker: workers.Worker) -> int:
        return (
            len(self._state.runs_by_worker.get(worker.id, ()))
            + len(worker.assigned_by_task)
            + len(worker.starting_by_task)
        )

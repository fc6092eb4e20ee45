"""Counts the tasks of a step that run or are assigned, by location."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import step_counts

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from verbenastream import ids
    from verbenastream.process.jobqueue import commands
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers


class Siblings:
    """Adds the assigned tasks to the running ones that the state counts.

    An assigned task counts until its start is applied, from when on the state
    counts it, or until its assignment is revoked::

        siblings = Siblings(state, workers_by_id)
        siblings.add(key, worker)
        siblings.counts(key).count_by_worker
    """

    def __init__(
        self,
        state: states.JobQueueState,
        workers_by_id: Mapping[ids.WorkerId, workers.Worker],
    ) -> None:
        self._state = state
        self._workers_by_id = workers_by_id
        self._assigned = step_counts.StepCounts()
        self._worker_by_task: dict[model.TaskKey, ids.WorkerId] = {}

    def add(self, key: model.TaskKey, worker: ids.WorkerId) -> None:
        """Count a task that has been assigned to ``worker``."""
        self.remove(key)
        self._worker_by_task[key] = worker
        self._assigned.add(key, worker)

    def remove(self, key: model.TaskKey) -> None:
        """Do not count the assignment of a task any more, if it was."""
        worker = self._worker_by_task.pop(key, None)
        if worker is not None:
            self._assigned.remove(key, worker)

    def on_started(self, starts: Iterable[commands.Start]) -> None:
        """Leave the tasks of applied starts to the state."""
        for start in starts:
            self.remove(start.task)

    def count_on(self, key: model.TaskKey, worker: ids.WorkerId) -> int:
        """Return how many tasks of the step of ``key`` are on ``worker``."""
        running = self._state.running_counts.by_worker(key)
        assigned = self._assigned.by_worker(key)
        return running.get(worker, 0) + assigned.get(worker, 0)

    def counts(self, key: model.TaskKey) -> capacity.SiblingCounts:
        """Return how many tasks of the step of ``key`` are where."""
        by_worker = dict(self._state.running_counts.by_worker(key))
        for worker_id, count in self._assigned.by_worker(key).items():
            by_worker[worker_id] = by_worker.get(worker_id, 0) + count
        by_rack: dict[ids.RackId, int] = {}
        for worker_id, count in by_worker.items():
            worker = self._workers_by_id.get(worker_id)
            if worker is not None:
                rack = worker.heartbeat.rack
                by_rack[rack] = by_rack.get(rack, 0) + count
        return capacity.SiblingCounts(by_worker, by_rack)

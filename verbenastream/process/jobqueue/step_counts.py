"""Counts the tasks of each step by worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenastream import ids
    from verbenastream.process.jobqueue import model

# Job, occurrence and position of a step.
StepId = tuple['ids.JobId', int, int]

_NO_COUNTS: dict['ids.WorkerId', int] = {}


def step_id(key: model.TaskKey) -> StepId:
    """Return what identifies the step and the occurrence of a task."""
    return (key.job, key.occurrence, key.step)


class StepCounts:
    """How many tasks of a step are on a worker, kept up to date.

    A step with thousands of tasks is never counted as a whole::

        counts = StepCounts()
        counts.add(key, worker)
        counts.by_worker(key)  # {worker: 1}
        counts.remove(key, worker)
    """

    def __init__(self) -> None:
        self._count_by_step: dict[StepId, dict[ids.WorkerId, int]] = {}

    def by_worker(self, key: model.TaskKey) -> Mapping[ids.WorkerId, int]:
        """Return the counts of the step of ``key`` by worker, without 0."""
        return self._count_by_step.get(step_id(key), _NO_COUNTS)

    def add(self, key: model.TaskKey, worker: ids.WorkerId) -> None:
        """Count one more task of the step of ``key`` on ``worker``."""
        counts = self._count_by_step.setdefault(step_id(key), {})
        counts[worker] = counts.get(worker, 0) + 1

    def remove(self, key: model.TaskKey, worker: ids.WorkerId) -> None:
        """Count one task less; it must have been added."""
        counts = self._count_by_step[step_id(key)]
        counts[worker] -= 1
        if not counts[worker]:
            del counts[worker]
        if not counts:
            del self._count_by_step[step_id(key)]

"""Finds waiting tasks that not every worker of their pool can run."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import capacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream import ids
    from verbenastream.process.jobqueue import instances
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import waiting
    from verbenastream.process.jobqueue import workers


@dataclasses.dataclass(frozen=True, slots=True)
class Constraint:
    """What a worker of ``pool`` must have for a task; no label if empty."""

    pool: ids.PoolId
    label: str
    need: model.Resources

    @classmethod
    def from_step(cls, pool: ids.PoolId, step: model.Step) -> Constraint:
        """Return the constraint of the tasks of ``step``."""
        return cls(pool, step.label, capacity.reservation(step))

    def is_met_by(
        self, available: model.Resources, labels: frozenset[str]
    ) -> bool:
        """Whether an idle worker with these properties can run the task."""
        has_label = not self.label or self.label in labels
        return has_label and capacity.fits(self.need, available)

    def is_met_by_instance(self, instance: instances.Instance) -> bool:
        """Whether a worker on ``instance`` could run the task."""
        return self.is_met_by(instance.capacity, instance.labels)

    def is_met_by_worker(self, worker: workers.Worker) -> bool:
        """Whether ``worker`` can run the task when it is idle."""
        heartbeat = worker.heartbeat
        return self.is_met_by(heartbeat.capacity, heartbeat.labels)


@dataclasses.dataclass(slots=True)
class SplitTasks:
    """Waiting tasks, split by whether all workers of their pool can run them.

    The ``constrained`` ones need a worker that not every worker equals.
    """

    unconstrained: list[waiting.UnassignedTasks] = dataclasses.field(
        default_factory=list
    )
    constrained: dict[Constraint, list[waiting.UnassignedTasks]] = (
        dataclasses.field(default_factory=dict)
    )


def split_tasks(
    unassigned: Iterable[waiting.UnassignedTasks],
    open_workers: Iterable[workers.Worker],
    spare: Iterable[instances.Instance],
) -> SplitTasks:
    """Split the tasks by what the open workers of their pool can run.

    If the pool has none, the ``spare`` instances count instead, as one of
    them will be moved to it. Workers of equal capacity and labels are
    compared once, as there are few kinds of them::

        split = split_tasks(unassigned, open_workers, spare)
    """
    kinds_by_pool = collections.defaultdict(set)
    for worker in open_workers:
        heartbeat = worker.heartbeat
        kinds_by_pool[worker.pool].add((heartbeat.capacity, heartbeat.labels))
    spare_kinds = {(row.capacity, row.labels) for row in spare}
    split = SplitTasks()
    for tasks in unassigned:
        constraint = Constraint.from_step(tasks.pool, tasks.step)
        kinds = kinds_by_pool.get(tasks.pool, spare_kinds)
        if all(constraint.is_met_by(*kind) for kind in kinds):
            split.unconstrained.append(tasks)
        else:
            split.constrained.setdefault(constraint, []).append(tasks)
    return split


def needed_workers(
    constrained_tasks: Iterable[waiting.UnassignedTasks],
    worker_capacity: model.Resources,
    drain_s: float,
) -> float:
    """Return how many workers finish the tasks within ``drain_s`` seconds."""
    total = 0.0
    for tasks in constrained_tasks:
        share = capacity.worker_share(tasks.step, worker_capacity)
        duration = 1.0
        if not tasks.step.long_running:
            duration = tasks.run_time_s / drain_s
        total += tasks.count * share * duration
    return total

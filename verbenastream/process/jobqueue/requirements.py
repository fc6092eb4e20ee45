"""Finds waiting tasks that not every worker of their pool can run."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import capacity

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from verbenastream import ids
    from verbenastream.process.jobqueue import instances
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import waiting
    from verbenastream.process.jobqueue import workers


@dataclasses.dataclass(frozen=True, slots=True)
class Requirement:
    """What a worker of ``pool`` must have for a task; no label if empty."""

    pool: ids.PoolId
    label: str
    need: model.Resources

    @classmethod
    def from_step(cls, pool: ids.PoolId, step: model.Step) -> Requirement:
        """Return the requirement of the tasks of ``step``."""
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


def find_special_tasks(
    unassigned: Iterable[waiting.UnassignedTasks],
    open_workers: Iterable[workers.Worker],
    spare: Sequence[instances.Instance],
) -> dict[Requirement, list[waiting.UnassignedTasks]]:
    """Return the tasks that only some open workers of their pool can run.

    If the pool has none, the ``spare`` instances count instead, as one of
    them will be moved to it::

        tasks_by_requirement = find_special_tasks(unassigned, open, spare)
    """
    workers_by_pool = collections.defaultdict(list)
    for worker in open_workers:
        workers_by_pool[worker.pool].append(worker)
    tasks_by_requirement = collections.defaultdict(list)
    for tasks in unassigned:
        requirement = Requirement.from_step(tasks.pool, tasks.step)
        pool_workers = workers_by_pool.get(tasks.pool)
        if pool_workers:
            is_special = not all(
                map(requirement.is_met_by_worker, pool_workers)
            )
        else:
            is_special = not all(map(requirement.is_met_by_instance, spare))
        if is_special:
            tasks_by_requirement[requirement].append(tasks)
    return dict(tasks_by_requirement)


def needed_workers(
    special_tasks: Iterable[waiting.UnassignedTasks],
    worker_capacity: model.Resources,
    drain_s: float,
) -> float:
    """Return how many workers finish the tasks within ``drain_s`` seconds."""
    total = 0.0
    for tasks in special_tasks:
        share = capacity.worker_share(tasks.step, worker_capacity)
        duration = 1.0
        if not tasks.step.long_running:
            duration = tasks.run_time_s / drain_s
        total += tasks.count * share * duration
    return total

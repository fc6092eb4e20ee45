"""Computes the free capacity of workers and selects one for a task."""

from __future__ import annotations

import dataclasses
import sys
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# Up to two long-running tasks of a step are placed on the same worker. This
# halves the number of instances that a pool needs at low load, and the loss of
# an instance affects at most two tasks of a step.
_SIBLINGS_PER_WORKER = 2


def reservation(step: model.Step) -> model.Resources:
    """Return the capacity that a task of ``step`` reserves on a worker.

    A best-effort task reserves no cores: it uses those that are idle.
    """
    if step.best_effort:
        return model.Resources(0, step.need.memory_mb, step.need.accelerators)
    return step.need


def fits(need: model.Resources, available: model.Resources) -> bool:
    """Whether ``need`` is at most ``available`` for every resource."""
    return (
        need.millicores <= available.millicores
        and need.memory_mb <= available.memory_mb
        and need.accelerators <= available.accelerators
    )


def count_fitting(need: model.Resources, available: model.Resources) -> int:
    """Return how many times ``need`` fits into ``available``.

    That is without limit, ``sys.maxsize``, if it is nothing.
    """
    return min(
        (
            max(0, free // wanted)
            for wanted, free in (
                (need.millicores, available.millicores),
                (need.memory_mb, available.memory_mb),
                (need.accelerators, available.accelerators),
            )
            if wanted
        ),
        default=sys.maxsize,
    )


def subtract(total: model.Resources, used: model.Resources) -> model.Resources:
    """Return ``total`` minus ``used``; values may be negative."""
    return model.Resources(
        total.millicores - used.millicores,
        total.memory_mb - used.memory_mb,
        total.accelerators - used.accelerators,
    )


def add(first: model.Resources, second: model.Resources) -> model.Resources:
    """Return the sum of both for every resource."""
    return model.Resources(
        first.millicores + second.millicores,
        first.memory_mb + second.memory_mb,
        first.accelerators + second.accelerators,
    )


def multiply(need: model.Resources, count: int) -> model.Resources:
    """Return what ``count`` tasks need together."""
    return model.Resources(
        need.millicores * count,
        need.memory_mb * count,
        need.accelerators * count,
    )


def max_per_resource(capacities: Iterable[model.Resources]) -> model.Resources:
    """Return the maximum of each resource over ``capacities``.

    It is an upper bound: a task that does not fit into it fits nowhere.
    """
    millicores = memory_mb = accelerators = 0
    for available in capacities:
        millicores = max(millicores, available.millicores)
        memory_mb = max(memory_mb, available.memory_mb)
        accelerators = max(accelerators, available.accelerators)
    return model.Resources(millicores, memory_mb, accelerators)


def mean_capacity(capacities: list[model.Resources]) -> model.Resources:
    """Return the mean of ``capacities``, which must not be empty."""
    return model.Resources(
        sum(available.millicores for available in capacities)
        // len(capacities),
        sum(available.memory_mb for available in capacities)
        // len(capacities),
        sum(available.accelerators for available in capacities)
        // len(capacities),
    )


def worker_share(step: model.Step, worker_capacity: model.Resources) -> float:
    """Return the share of a worker that a task of ``step`` occupies.

    It is one divided by the number of such tasks that fit on the worker. If a
    task needs 0.4 of a worker, two fit, so that each occupies half of it::

        step = model.Step(1, model.Resources(400, 0))
        worker_share(step, model.Resources(1000, 0))  # 0.5
    """
    need = reservation(step)
    if not any((need.millicores, need.memory_mb, need.accelerators)):
        return 0.0
    tasks_per_worker = count_fitting(need, worker_capacity)
    if not tasks_per_worker:
        # The task does not fit on such a worker.
        return 1.0 if any((need.millicores, need.memory_mb)) else 0.0
    return 1 / tasks_per_worker


@dataclasses.dataclass(slots=True)
class Usage:
    """What a worker has left, kept until its tasks change.

    ``beside_long_running`` is what is free once all finite tasks have ended.
    ``counted_tasks`` are the runs that were counted, without assignments.
    """

    free: model.Resources
    beside_long_running: model.Resources
    counted_tasks: set[model.TaskKey]

    def take(self, need: model.Resources, step: model.Step | None) -> None:
        """Count one more task; ``step`` is None if it is not known."""
        self.free = subtract(self.free, need)
        if step is not None and step.long_running:
            self.beside_long_running = subtract(self.beside_long_running, need)


def free_capacity(
    worker: workers.Worker, state: states.JobQueueState
) -> model.Resources:
    """Return the capacity of ``worker`` without its runs and assignments.

    A run that was declared lost or is being stopped still counts while the
    worker lists it, because it uses resources until it has ended.
    """
    return _usage(worker, state).free


def capacity_beside_long_running(
    worker: workers.Worker, state: states.JobQueueState
) -> model.Resources:
    """Return what is free on ``worker`` once all finite tasks have ended."""
    return _usage(worker, state).beside_long_running


def _usage(worker: workers.Worker, state: states.JobQueueState) -> Usage:
    usage = worker.cached_usage
    if usage is not None:
        return usage
    counted_tasks = {row.task for row in worker.heartbeat.running}
    counted_tasks.update(
        key for key, _ in state.runs_by_worker.get(worker.id, ())
    )
    total = worker.heartbeat.capacity
    usage = Usage(total, total, counted_tasks)
    for key in counted_tasks:
        step = step_of(key, state)
        if step is not None:
            usage.take(reservation(step), step)
    for assignment in _assignments(worker):
        if assignment.task not in counted_tasks:
            usage.take(assignment.need, step_of(assignment.task, state))
    worker.cached_usage = usage
    return usage


def _assignments(worker: workers.Worker) -> Iterable[workers.Assignment]:
    return (
        *worker.assigned_by_task.values(),
        *worker.starting_by_task.values(),
    )


def step_of(
    key: model.TaskKey, state: states.JobQueueState
) -> model.Step | None:
    """Return the step of a task, None if it is not known."""
    job = state.jobs_by_id.get(key.job)
    if job is None or job.spec is None or key.step >= len(job.spec.steps):
        return None
    return job.spec.steps[key.step]


def tasks_on(
    worker: workers.Worker, state: states.JobQueueState
) -> set[model.TaskKey]:
    """Return the tasks that take capacity on ``worker``."""
    assigned = {assignment.task for assignment in _assignments(worker)}
    return assigned | _usage(worker, state).counted_tasks


def reserve(
    worker: workers.Worker,
    assignment: workers.Assignment,
    state: states.JobQueueState,
) -> None:
    """Reduce the free capacity of ``worker`` by a new assignment.

    It takes the same time however many tasks the worker has.
    """
    usage = worker.cached_usage
    if usage is None:
        _usage(worker, state)
    elif assignment.task not in usage.counted_tasks:
        usage.take(assignment.need, step_of(assignment.task, state))


@dataclasses.dataclass(frozen=True, slots=True)
class SiblingCounts:
    """Numbers of tasks of the same step and occurrence by location."""

    count_by_worker: dict[ids.WorkerId, int]
    count_by_rack: dict[ids.RackId, int]


def choose_worker(
    candidates: Iterable[workers.Worker],
    step: model.Step,
    siblings: SiblingCounts,
    free_capacity_of: Callable[[workers.Worker], model.Resources],
) -> workers.Worker | None:
    """Return the best worker on which a task of ``step`` fits, None without.

    A long-running task is placed so that the loss of a worker or a rack
    affects few tasks of its step. Any other task prefers the rack of its
    data, then the racks of its siblings if the step is rack-local, then the
    worker with the least free cores (best fit). Among equal workers one whose
    heartbeat is waiting for a response comes first, as it can start the task
    immediately.
    """
    need = reservation(step)
    best = None
    best_key: tuple[float, ...] | None = None
    for worker in candidates:
        if step.label and step.label not in worker.heartbeat.labels:
            continue
        available = free_capacity_of(worker)
        if not fits(need, available):
            continue
        siblings_on_worker = siblings.count_by_worker.get(worker.id, 0)
        if step.per_worker and siblings_on_worker >= step.per_worker:
            continue
        is_far_from_data = (
            bool(step.data_rack) and step.data_rack != worker.heartbeat.rack
        )
        if step.long_running:
            key: tuple[float, ...] = (
                siblings_on_worker // _SIBLINGS_PER_WORKER,
                worker.due_for_maintenance,
                not siblings_on_worker,
                siblings.count_by_rack.get(worker.heartbeat.rack, 0),
                not worker.has_waiting_heartbeat,
                -available.millicores,
            )
        else:
            is_on_other_rack = 0
            if step.rack_local and siblings.count_by_rack:
                is_on_other_rack = (
                    worker.heartbeat.rack not in siblings.count_by_rack
                )
            key = (
                is_far_from_data,
                is_on_other_rack,
                worker.due_for_maintenance,
                available.millicores,
                not worker.has_waiting_heartbeat,
            )
        if best_key is None or key < best_key:
            best = worker
            best_key = key
    return best

"""Free capacity of workers and the choice among them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# Lasting tasks of a step share a worker in pairs: the pool needs half as many
# instances in quiet times, and the loss of one takes two tasks at most.
_SIBLINGS_TOGETHER = 2


def reserved(step: model.Step) -> model.Need:
    """What a task of ``step`` takes from a worker's capacity.

    A step that fills runs on cores that others leave free.
    """
    if step.fills:
        return model.Need(0, step.need.memory_mb, step.need.accelerators)
    return step.need


def fits(need: model.Need, room: model.Need) -> bool:
    """Whether ``room`` holds ``need`` in every resource."""
    return (
        need.millicores <= room.millicores
        and need.memory_mb <= room.memory_mb
        and need.accelerators <= room.accelerators
    )


def subtract(left: model.Need, right: model.Need) -> model.Need:
    """Return what is left of ``left``; values may be negative."""
    return model.Need(
        left.millicores - right.millicores,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
    )


def largest(rooms: Iterable[model.Need]) -> model.Need:
    """Return the most of each resource that any of ``rooms`` has.

    No task fits anywhere that does not fit into this bound.
    """
    millicores = memory_mb = accelerators = 0
    for room in rooms:
        millicores = max(millicores, room.millicores)
        memory_mb = max(memory_mb, room.memory_mb)
        accelerators = max(accelerators, room.accelerators)
    return model.Need(millicores, memory_mb, accelerators)


def mean(rooms: list[model.Need]) -> model.Need:
    """Return the mean of at least one capacity."""
    return model.Need(
        sum(room.millicores for room in rooms) // len(rooms),
        sum(room.memory_mb for room in rooms) // len(rooms),
        sum(room.accelerators for room in rooms) // len(rooms),
    )


def share(step: model.Step, size: model.Need) -> float:
    """Part of a worker of ``size`` that one task of ``step`` takes.

    Tasks are not divided: of tasks that need 0.4 of a worker each, two fit,
    so each takes half of it::

        share(model.Step(1, model.Need(400, 0)), model.Need(1000, 0))  # 0.5
    """
    need = reserved(step)
    fit = min(
        (
            room // wanted
            for wanted, room in (
                (need.millicores, size.millicores),
                (need.memory_mb, size.memory_mb),
                (need.accelerators, size.accelerators),
            )
            if wanted
        ),
        default=0,
    )
    if not fit:
        # Fits nowhere, or needs nothing.
        return 1.0 if any((need.millicores, need.memory_mb)) else 0.0
    return 1 / fit


def free_room(
    worker: workers.Worker, state: states.JobQueueState
) -> model.Need:
    """Capacity of ``worker`` that no run and no assignment holds.

    Runs that the worker still lists count although they were given up or
    are being stopped: their room is free once their end is listed.
    """
    if worker.free is not None:
        return worker.free
    room = worker.beat.capacity
    held = {row.task for row in worker.beat.running}
    held.update(key for key, _ in state.runs_by_worker.get(worker.id, ()))
    for key in held:
        job = state.jobs_by_id.get(key.job)
        if job is not None and job.spec is not None:
            if key.step < len(job.spec.steps):
                room = subtract(room, reserved(job.spec.steps[key.step]))
    for assignment in (
        *worker.assigned_by_task.values(),
        *worker.starting_by_task.values(),
    ):
        if assignment.task not in held:
            room = subtract(room, assignment.need)
    worker.free = room
    return room


@dataclasses.dataclass(frozen=True, slots=True)
class Siblings:
    """Tasks of the same step and occurrence, counted by place."""

    by_worker: dict[ids.WorkerId, int]
    by_rack: dict[ids.RackId, int]


def choose(
    candidates: Iterable[workers.Worker],
    step: model.Step,
    siblings: Siblings,
    room_of: Callable[[workers.Worker], model.Need],
) -> workers.Worker | None:
    """Return the best of the workers that have room for a task of ``step``.

    A lasting task goes where a lost rack or instance takes the fewest of its
    siblings; any other goes to a worker that waits for orders, near its
    data, where it leaves the least room unused.
    """
    need = reserved(step)
    best = None
    best_key: tuple[float, ...] | None = None
    for worker in candidates:
        if step.label and step.label not in worker.beat.labels:
            continue
        room = room_of(worker)
        if not fits(need, room):
            continue
        here = siblings.by_worker.get(worker.id, 0)
        if step.per_worker and here >= step.per_worker:
            continue
        far = bool(step.data_rack) and step.data_rack != worker.beat.rack
        if step.lasting:
            key: tuple[float, ...] = (
                here // _SIBLINGS_TOGETHER,
                worker.due_for_upkeep,
                not here,
                siblings.by_rack.get(worker.beat.rack, 0),
                not worker.held,
                -room.millicores,
            )
        else:
            apart = 0
            if step.rack_local and siblings.by_rack:
                apart = worker.beat.rack not in siblings.by_rack
            key = (
                far,
                apart,
                worker.due_for_upkeep,
                room.millicores,
                not worker.held,
            )
        if best_key is None or key < best_key:
            best = worker
            best_key = key
    return best

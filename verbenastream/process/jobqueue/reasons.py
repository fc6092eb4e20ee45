"""Why the tasks of a job wait, as an operator reads it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.jobqueue import state as states


def waiting_reasons(
    job: model.Job,
    state: states.JobQueueState,
    dispatcher: dispatchers.Dispatcher,
    wall: float,
) -> list[str]:
    """Return one line for each step of ``job`` that has not ended.

    Example: ``step 1: 3 of 8 tasks wait: no worker has room for 4.1 cores,
    the most free is 2.0``. A job that is over has no reasons.
    """
    if job.spec is None or job.phase in model.OVER:
        return []
    lines = []
    for occurrence in range(job.spec.rounds):
        due_at = job.spec.first_at_s + occurrence * job.spec.interval_s
        if job.spec.occurrences and due_at > wall:
            lines.append(
                f'occurrence {occurrence}: due in {due_at - wall:.1f} s'
            )
            break
        for position in range(len(job.spec.steps)):
            line = _step_line(job, occurrence, position, state, dispatcher)
            if line:
                lines.append(line)
    return lines


def _step_line(
    job: model.Job,
    occurrence: int,
    position: int,
    state: states.JobQueueState,
    dispatcher: dispatchers.Dispatcher,
) -> str:
    assert job.spec is not None
    step = job.spec.steps[position]
    tasks = job.tasks[occurrence][position]
    waiting = [
        model.TaskKey(job.id, occurrence, position, index)
        for index, task in enumerate(tasks)
        if task.phase is model.TaskPhase.WAITING
    ]
    running = sum(task.phase is model.TaskPhase.RUNNING for task in tasks)
    name = f'step {position}'
    if job.spec.occurrences:
        name = f'occurrence {occurrence}, {name}'
    if not waiting:
        return (
            f'{name}: {running} of {step.count} tasks run' if running else ''
        )
    placed = dispatcher.scheduler.worker_by_task
    if not job.step_is_open(occurrence, position):
        reason = f'steps {", ".join(map(str, step.after))} have not ended'
    elif all(key in placed for key in waiting):
        reason = 'their workers start them with the next answer'
    else:
        reason = _room_reason(job, step, state, dispatcher)
    return f'{name}: {len(waiting)} of {step.count} tasks wait: {reason}'


def _room_reason(
    job: model.Job,
    step: model.Step,
    state: states.JobQueueState,
    dispatcher: dispatchers.Dispatcher,
) -> str:
    open_workers = [
        worker
        for worker in dispatcher.workers_by_id.values()
        if worker.pool == job.pool and worker.is_open
    ]
    if not open_workers:
        return f'pool {job.pool} has no open worker'
    if step.label and not any(
        step.label in worker.beat.labels for worker in open_workers
    ):
        return f'no open worker has the label {step.label}'
    need = capacity.reserved(step)
    rooms = [capacity.free_room(worker, state) for worker in open_workers]
    if any(capacity.fits(need, room) for room in rooms):
        queue = state.queues_by_id.get(job.queue)
        if queue is not None and queue.advice is not None:
            return 'the policy service has allowed no worker with room'
        return 'room is kept for other work or was freed just now'
    most = capacity.largest(rooms)
    return (
        f'none of {len(open_workers)} workers has room for '
        f'{need.millicores / 1000:g} cores and {need.memory_mb} MB; the most '
        f'free is {most.millicores / 1000:g} cores and {most.memory_mb} MB'
    )

"""Explains to operators why the tasks of a job are waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import crashes
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import state as states

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import dispatcher as dispatchers


def waiting_reasons(
    job: model.Job,
    state: states.JobQueueState,
    dispatcher: dispatchers.Dispatcher,
    unix_time: float,
) -> list[str]:
    """Return one line for each step of ``job`` that has not ended.

    Example: ``step 1: 3 of 8 tasks wait: none of 4 workers has room for 4.1
    cores and 100 MB; the most free is 2 cores and 900 MB``. Tasks that were
    given up because they crash their workers come first; an ended job has no
    other reasons.
    """
    if job.spec is None:
        return []
    lines = [
        f'step {key.step}, task {key.position}: given up after '
        f'{task.crashes} workers crashed while it ran'
        for key, task in states.each_task(job)
        if task.phase is model.TaskPhase.FAILED
        and crashes.is_crashing(task, job.spec.steps[key.step])
    ]
    if job.phase in model.ENDED_PHASES:
        return lines
    for occurrence in range(job.spec.occurrence_count):
        due_at = job.spec.first_at_s + occurrence * job.spec.interval_s
        if job.spec.occurrences and due_at > unix_time:
            lines.append(
                f'occurrence {occurrence}: due in {due_at - unix_time:.1f} s'
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
    assigned = dispatcher.scheduler.worker_by_task
    if not job.dependencies_done(occurrence, position):
        reason = f'steps {", ".join(map(str, step.after))} have not ended'
    elif all(key in assigned for key in waiting):
        reason = 'their workers start them with the next heartbeat response'
    else:
        reason = _capacity_reason(job, step, state, dispatcher)
        reason += _reservation_text(waiting, step, dispatcher)
    suspects = sum(key in state.suspects_by_key for key in waiting)
    if suspects:
        reason += (
            f'; {suspects} of them may have crashed a worker and start only '
            f'away from other tasks'
        )
    return f'{name}: {len(waiting)} of {step.count} tasks wait: {reason}'


def _reservation_text(
    waiting: list[model.TaskKey],
    step: model.Step,
    dispatcher: dispatchers.Dispatcher,
) -> str:
    """Return which workers are reserved, or why none is; empty if neither."""
    planner = dispatcher.scheduler.planner
    units = dict.fromkeys(crashes.unit(key, step) for key in waiting)
    reserved = [
        f'worker {reservation.worker} is reserved for task {unit.position}'
        for unit in units
        for reservation in planner.reservations.by_unit.get(unit, ())
    ]
    if reserved:
        return f'; {", ".join(reserved)}'
    obstacles = sorted(item.value for item in planner.obstacles(waiting[0]))
    if obstacles:
        return (
            f'; the end of other tasks does not help ({", ".join(obstacles)})'
        )
    return ''


def _capacity_reason(
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
        step.label in worker.heartbeat.labels for worker in open_workers
    ):
        return f'no open worker has the label {step.label}'
    need = capacity.reservation(step)
    free_capacities = [
        capacity.free_capacity(worker, state) for worker in open_workers
    ]
    if any(capacity.fits(need, free) for free in free_capacities):
        queue = state.queues_by_id.get(job.queue)
        if queue is not None and queue.policy_timings is not None:
            return 'the policy service permits no worker with room'
        return 'free capacity is kept for other jobs or was freed just now'
    largest = capacity.max_per_resource(free_capacities)
    return (
        f'none of {len(open_workers)} workers has room for '
        f'{need.millicores / 1000:g} cores and {need.memory_mb} MB; the most '
        f'free is {largest.millicores / 1000:g} cores '
        f'and {largest.memory_mb} MB'
    )

"""Steps for the cost and the completeness of assignment under load."""

from __future__ import annotations

import unittest.mock

import behave

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import sizing
from verbenastream.process.jobqueue import workers
from verbenastream_testing.jobqueue import leader as leaders


def _full_worker_step():
    return model.Step(1, model.Resources(16_000, 100), 1.0)


def _job_id(number):
    return ids.JobId(f'{number:016x}')


@behave.given('a leader with {count:d} full workers and {jobs:d} waiting jobs')
@behave.given('a leader with {count:d} full worker and {jobs:d} waiting job')
def step_full(context, count, jobs):
    context.leader = leader = leaders.Leader(count)
    for number in range(count):
        leader.submit(_full_worker_step(), job=_job_id(number))
    for worker in list(leader.running_by_worker):
        assert len(leader.give_orders(worker)) == 1
        leader.report_runs(worker)
    for number in range(jobs):
        leader.submit(_full_worker_step(), job=_job_id(count + number))
    # The first pass checks all tasks and workers; later ones only what
    # changed since.
    leader.dispatcher.assign(leader.now, leader.now)


@behave.when('one of the full workers sends a heartbeat')
def step_heartbeat(context):
    leader = context.leader
    leader.beat(ids.WorkerId('w7'))
    with unittest.mock.patch.object(
        capacity, 'fits', wraps=capacity.fits
    ) as fits:
        assert not leader.dispatcher.assign(leader.now, leader.now)
    context.comparisons = fits.call_count


@behave.then(
    'fewer than {limit:d} comparisons of a task with a worker were made'
)
def step_comparisons(context, limit):
    assert context.comparisons < limit, context.comparisons


@behave.when('the sizes of pools are planned')
def step_plan_sizes(context):
    leader = context.leader
    sizer = sizing.PoolSizer(leader.state, leader.dispatcher)
    listing = instances.Listing(leader.now, {})
    with unittest.mock.patch.object(
        capacity, 'fits', wraps=capacity.fits
    ) as fits:
        sizer.plan(listing, set(), leader.now)
    context.comparisons = fits.call_count
    assert context.comparisons > 0


@behave.when('an assignment of another worker is withdrawn')
def step_withdraw_assignment(context):
    leader = context.leader
    leader.running_by_worker[ids.WorkerId('w5')] = ()
    runs = leader.state.runs_by_worker[ids.WorkerId('w5')]
    leader.apply(commands.EndRuns((), tuple(runs), leader.now))
    leader.beat(ids.WorkerId('w5'))
    [assigned_worker] = leader.dispatcher.assign(leader.now, leader.now)
    [key] = leader.dispatcher.workers_by_id[assigned_worker].assigned_by_task
    leader.dispatcher.scheduler.unassign(key)
    context.expected_worker = assigned_worker


@behave.then('the next pass assigns the free capacity to a waiting task')
def step_assigned_again(context):
    leader = context.leader
    assigned_workers = leader.dispatcher.assign(leader.now, leader.now)
    assert list(assigned_workers) == [context.expected_worker], (
        assigned_workers
    )


@behave.when('its run ends and another pass comes before the end is committed')
def step_end_before_commit(context):
    leader = context.leader
    worker = ids.WorkerId('w0')
    [(key, number)] = leader.state.runs_by_worker[worker]
    leader.running_by_worker[worker] = ()
    leader.ended = (workers.EndReport(1, key, number, model.EndKind.DONE),)
    heartbeat, _ = leader.beat(worker)
    command = leader.dispatcher.find_ended_runs(
        heartbeat, leader.now, leader.now
    )
    assert not leader.dispatcher.assign(leader.now, leader.now)
    leader.apply(command)
    leader.dispatcher.acknowledge(heartbeat)


@behave.then('the waiting task is assigned once the end is committed')
def step_assigned(context):
    leader = context.leader
    assigned_workers = leader.dispatcher.assign(leader.now, leader.now)
    assert list(assigned_workers) == [ids.WorkerId('w0')], assigned_workers


@behave.given('a leader with {count:d} workers of which one has become silent')
def step_silent_worker(context, count):
    context.leader = leaders.Leader(count)


@behave.when(
    'a job of {count:d} tasks that need a whole worker each is submitted'
)
def step_submit_whole(context, count):
    leader = context.leader
    step = model.Step(count, model.Resources(16_000, 100), 1.0)
    leader.submit(step)
    leader.dispatcher.assign(leader.now, leader.now)
    assert len(leader.dispatcher.scheduler.worker_by_task) == count


@behave.then(
    'the task assigned to the silent worker is assigned again after 2 s'
)
def step_assigned_elsewhere(context):
    leader = context.leader
    silent = ids.WorkerId('w0')
    [task] = leader.dispatcher.workers_by_id[silent].assigned_by_task
    other = ids.WorkerId('w1')
    leader.now += 2.1
    leader.give_orders(other)
    leader.report_runs(other)
    leader.dispatcher.find_expired_runs(leader.now, leader.now)
    assert task not in leader.dispatcher.scheduler.worker_by_task
    runs = leader.state.runs_by_worker[other]
    leader.running_by_worker[other] = ()
    leader.apply(commands.EndRuns((), tuple(runs), leader.now))
    leader.beat(other)
    leader.dispatcher.assign(leader.now, leader.now)
    workers_by_task = leader.dispatcher.scheduler.worker_by_task
    assert workers_by_task.get(task) == other, workers_by_task

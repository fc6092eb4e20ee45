"""Steps for the cost and the completeness of assignment under load."""

from __future__ import annotations

import unittest.mock

import behave

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import workers
from verbenastream_testing.jobqueue import leader as leaders


def _whole_worker():
    return model.Step(1, model.Need(16_000, 100), 1.0)


def _job(number):
    return ids.JobId(f'{number:016x}')


@behave.given('a leader with {count:d} full workers and {jobs:d} waiting jobs')
@behave.given('a leader with {count:d} full worker and {jobs:d} waiting job')
def step_full(context, count, jobs):
    context.leader = leader = leaders.Leader(count)
    for number in range(count):
        leader.submit(_whole_worker(), job=_job(number))
    for worker in list(leader.running_by_worker):
        assert len(leader.give_orders(worker)) == 1
        leader.report_runs(worker)
    for number in range(jobs):
        leader.submit(_whole_worker(), job=_job(count + number))
    # The first pass is complete; the next ones follow what changes.
    leader.dispatcher.assign(leader.now, leader.now)


@behave.when('one of the full workers reports')
def step_report(context):
    leader = context.leader
    leader.beat(ids.WorkerId('w7'))
    with unittest.mock.patch.object(
        capacity, 'fits', wraps=capacity.fits
    ) as compared:
        assert not leader.dispatcher.assign(leader.now, leader.now)
    context.comparisons = compared.call_count


@behave.then(
    'fewer than {limit:d} comparisons of a task with a worker were made'
)
def step_comparisons(context, limit):
    assert context.comparisons < limit, context.comparisons


@behave.when('an assignment of another worker is taken back')
def step_take_back(context):
    leader = context.leader
    leader.running_by_worker[ids.WorkerId('w5')] = ()
    ended = leader.state.runs_by_worker[ids.WorkerId('w5')]
    lost = commands.EndRuns((), tuple(ended), leader.now)
    leader.apply(lost)
    leader.beat(ids.WorkerId('w5'))
    [given] = leader.dispatcher.assign(leader.now, leader.now)
    [key] = leader.dispatcher.workers_by_id[given].assigned_by_task
    leader.dispatcher.scheduler.unassign(key)
    context.expected = given


@behave.then('the next pass gives the room to a waiting task')
def step_given_again(context):
    leader = context.leader
    woken = leader.dispatcher.assign(leader.now, leader.now)
    assert list(woken) == [context.expected], woken


@behave.when(
    'its run ends and another pass comes before the log holds the end'
)
def step_end(context):
    leader = context.leader
    name = ids.WorkerId('w0')
    [(key, number)] = leader.state.runs_by_worker[name]
    leader.running_by_worker[name] = ()
    leader.ended = (workers.EndReport(1, key, number, model.EndKind.DONE),)
    beat, _ = leader.beat(name)
    command = leader.dispatcher.reported(beat, leader.now, leader.now)
    assert not leader.dispatcher.assign(leader.now, leader.now)
    leader.apply(command)
    leader.dispatcher.acknowledge(beat)


@behave.then('the waiting task is assigned once the log holds it')
def step_assigned(context):
    leader = context.leader
    woken = leader.dispatcher.assign(leader.now, leader.now)
    assert list(woken) == [ids.WorkerId('w0')], woken

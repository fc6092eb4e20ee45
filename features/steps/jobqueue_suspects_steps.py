"""Steps with tasks that are suspected of having crashed a worker."""

from __future__ import annotations

import dataclasses

import behave

from verbenastream.process.jobqueue import model
from verbenastream_testing.jobqueue import busy_pool
from verbenastream_testing.jobqueue import leader as leaders

_KEY = model.TaskKey(leaders.JOB, 0, 0, 0)
_STEP_S = 0.5


@behave.when('every fourth job has such a task')
def step_every_fourth(context):
    context.plan = dataclasses.replace(
        context.plan, crashing_jobs=tuple(range(4, 40, 4))
    )


@behave.given('a submitted gang of {count:d} tasks that each fill a worker')
def step_gang(context, count):
    context.leader.submit(
        model.Step(count, leaders.CAPACITY, estimate_s=1.0, gang=True)
    )


def _incarnation(leader, worker):
    return leader.dispatcher.workers_by_id[worker].incarnation


def _crash(leader, worker_id):
    """Let a worker crash and return under its id."""
    worker = leader.dispatcher.workers_by_id[worker_id]
    leader.running_by_worker[worker_id] = ()
    beat, _ = leader.beat(worker_id, worker.incarnation + 1)
    leader.apply(
        leader.dispatcher.find_ended_runs(beat, leader.now, leader.now)
    )


def _report_runs(leader, worker):
    leader.report_runs(worker, incarnation=_incarnation(leader, worker))


def _give_orders(leader):
    """Answer a heartbeat of each worker; return how many tasks it starts."""
    return sum(
        len(leader.give_orders(worker, _incarnation(leader, worker)))
        for worker in leader.running_by_worker
    )


@behave.when('all its workers have crashed once at its start')
def step_crash_gang(context):
    leader = context.leader
    assert _give_orders(leader) + _give_orders(leader) == 4
    for worker in list(leader.state.runs_by_worker):
        _crash(leader, worker)
    assert leader.state.suspects_by_key


@behave.then('the gang starts again within 10 s')
def step_gang_starts(context):
    leader = context.leader
    started = 0
    for _ in range(20):
        leader.now += _STEP_S
        for worker in leader.running_by_worker:
            leader.beat(worker, _incarnation(leader, worker))
        started += _give_orders(leader)
    assert started == 4, started


@behave.given('a pool of {count:d} workers that small tasks keep full')
def step_busy_pool(context, count):
    context.pool = busy_pool.BusyPool(count)


@behave.when(
    'a {kind} task of {cores:d} cores under which {crashes:d} workers crashed '
    'is waiting'
)
def step_suspect(context, kind, cores, crashes):
    step = model.Step(
        1,
        model.Resources(1000 * cores, 100),
        1.0,
        long_running=kind == 'long-running',
    )
    context.pool.submit_crashed(step, crashes)


@behave.then('it starts within 10 s')
def step_starts(context):
    waited_s = context.pool.time_to_start_s(_KEY, limit_s=10.0)
    assert waited_s is not None, context.pool.started_count


@behave.given('a long-running task that was suspect in one crash')
def step_long_running(context):
    leader = context.leader
    leader.submit(
        model.Step(1, model.Resources(1000, 100), 1.0, long_running=True)
    )
    _give_orders(leader)
    _crash(leader, next(iter(leader.state.runs_by_worker)))
    assert leader.state.suspects_by_key[_KEY].crashes == 1


@behave.when(
    '{count:d} times the leader changes after 60 s and the worker of the task '
    'crashes'
)
def step_late_crashes(context, count):
    leader = context.leader
    for _ in range(count):
        for second in range(60):
            leader.now += 1.0
            for worker in leader.running_by_worker:
                _report_runs(leader, worker)
            if second == 0:
                assert _give_orders(leader) == 1
        numbers = {
            worker: _incarnation(leader, worker)
            for worker in leader.running_by_worker
        }
        leader.start_dispatcher()
        for worker, number in numbers.items():
            leader.report_runs(worker, incarnation=number)
        _crash(leader, next(iter(leader.state.runs_by_worker)))


@behave.then('its job has not failed')
def step_not_failed(context):
    job = context.leader.state.jobs_by_id[leaders.JOB]
    assert job.phase is model.JobPhase.RUNNING, job

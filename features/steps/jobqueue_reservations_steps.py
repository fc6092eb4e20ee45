"""Steps with workers that are reserved for waiting long-running tasks."""

from __future__ import annotations

import re

import behave
import logbook

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import reasons
from verbenastream_testing.jobqueue import leader as leaders
from verbenastream_testing.jobqueue import stream_pool

_OTHER_POOL = ids.PoolId('pool-b')
_OTHER_QUEUE = ids.QueueId('queue-b')
_POLICY_QUEUE = ids.QueueId('queue-c')
_SMALL_TASKS = stream_pool.Stream(
    4.0, 8, model.Resources(1900, 3900), 1.8, 1.8
)
# More than eight workers can run.
_DENSE_STREAM = stream_pool.Stream(
    14.0, 4, model.Resources(1000, 1000), 1.2, 4.2
)
_OTHER_POOL_STREAM = stream_pool.Stream(
    1.0, 4, model.Resources(1000, 1000), 1.0, 1.0, _OTHER_QUEUE
)
_LONG_RUNNING_STEPS = {
    'a task of 15.5 cores': model.Step(
        1, model.Resources(15_500, 100), long_running=True
    ),
    '3 tasks of 15.5 cores': model.Step(
        3, model.Resources(15_500, 100), long_running=True
    ),
    '4 tasks of 7 cores': model.Step(
        4, model.Resources(7000, 100), long_running=True
    ),
    'a task of nearly all memory': model.Step(
        1, model.Resources(100, 64_000), long_running=True
    ),
    'a gang of 2 tasks of 15.5 cores': model.Step(
        2, model.Resources(15_500, 100), gang=True, long_running=True
    ),
}
_SMALL_NEED = model.Resources(50, 100)


def _configuration():
    """Return queues for two pools, and one whose tasks need a ticket."""
    queues = [
        model.Queue(id, 'h', f'/{id}/', pool, max_attempts=3, objective_s=3.0)
        for id, pool in (
            (leaders.QUEUE, leaders.POOL),
            (_OTHER_QUEUE, _OTHER_POOL),
        )
    ]
    queues.append(
        model.Queue(
            _POLICY_QUEUE,
            'h',
            '/c/',
            leaders.POOL,
            policy_timings=model.PolicyTimings(0.1, 0.01, 10.0),
        )
    )
    pools = (model.Pool(leaders.POOL), model.Pool(_OTHER_POOL))
    return model.Configuration(2, tuple(queues), pools, '2')


@behave.given('a pool of {count:d} workers')
def step_pool(context, count):
    context.pool = stream_pool.StreamPool(count, context.seed)
    context.pool.leader.apply(commands.Configure(_configuration(), 0.0))
    context.streams = ()
    context.is_cancelled = False
    context.log = []


@behave.given('a pool of {count:d} workers of which one is lost')
def step_pool_with_loss(context, count):
    step_pool(context, count)
    context.pool.lose(context.pool.worker_ids[-1])


@behave.given('a pool of {count:d} workers and another one of {others:d}')
def step_two_pools(context, count, others):
    step_pool(context, count)
    for number in range(others):
        worker = ids.WorkerId(f'x{number}')
        context.pool.leader.pool_by_worker[worker] = _OTHER_POOL
        context.pool.add(worker)


# Tasks that cannot be placed.


@behave.given('{count:d} long-running jobs that wait for a limit per worker')
def step_limit(context, count):
    pool = context.pool
    step = model.Step(
        len(pool.worker_ids) + 1,
        _SMALL_NEED,
        per_worker=1,
        long_running=True,
        max_unavailable=1,
    )
    _submit_waiting(context, step, count)


@behave.given(
    '{count:d} long-running jobs that wait for a label of the lost worker'
)
def step_label(context, count):
    step = model.Step(1, _SMALL_NEED, label='kind-b', long_running=True)
    _submit_waiting(context, step, count)


@behave.given(
    '{count:d} long-running jobs that wait for cores that other tasks keep'
)
def step_cores(context, count):
    pool = context.pool
    base = model.Step(
        len(pool.worker_ids),
        model.Resources(400, 100),
        per_worker=1,
        long_running=True,
    )
    pool.submit(base)
    pool.advance(0.5, *context.streams)
    step = model.Step(1, model.Resources(15_800, 100), long_running=True)
    _submit_waiting(context, step, count)


@behave.given(
    '{count:d} long-running jobs that wait for a gang larger than the pool'
)
def step_large_gang(context, count):
    step = model.Step(
        len(context.pool.worker_ids) + 1,
        _SMALL_NEED,
        per_worker=1,
        gang=True,
        long_running=True,
    )
    _submit_waiting(context, step, count)


@behave.given(
    '{count:d} long-running jobs that wait for tickets that nobody gets'
)
def step_tickets(context, count):
    step = model.Step(1, _SMALL_NEED, long_running=True)
    _submit_waiting(context, step, count, _POLICY_QUEUE)


@behave.given('{count:d} long-running jobs that wait for their isolation')
def step_isolation(context, count):
    step = model.Step(1, model.Resources(1000, 100), long_running=True)
    pool = context.pool
    state = pool.leader.state
    for _ in range(count):
        task = state.jobs_by_id[pool.submit(step)].tasks[0][0][0]
        task.crashes = 2
        task.suspected_crashes = 1
    state.restore(state.snapshot())


def _submit_waiting(context, step, count, queue=leaders.QUEUE):
    context.waiting_jobs = [
        context.pool.submit(step, queue) for _ in range(count)
    ]
    _advance_with_log(context, 1.0)


def _advance_with_log(context, seconds):
    handler = logbook.TestHandler(level=logbook.INFO)
    with handler.applicationbound():
        context.pool.advance(seconds, *context.streams)
    context.log += [
        (record.message, dict(record.extra)) for record in handler.records
    ]


# Tasks that can be placed.


@behave.given('{count:d} long-running jobs of {what}')
def step_long_running(context, count, what):
    pool = context.pool
    step = _LONG_RUNNING_STEPS[what]
    context.jobs = [pool.submit(step) for _ in range(count)]
    context.keys = [key for job in context.jobs for key in pool.tasks(job)]
    # Room for it may come only later.
    pool.time_to_start_s(context.keys, 1.0)


@behave.given('a stream of small tasks that asks for more than the pool holds')
def step_stream(context):
    context.streams = (_DENSE_STREAM,)
    context.pool.advance(8.0, _DENSE_STREAM)


@behave.given('a task of 1 core that runs for {run_s:d} s')
def step_long_task(context, run_s):
    step = model.Step(1, model.Resources(1000, 100), estimate_s=float(run_s))
    context.pool.submit(step, run_time_s=float(run_s))
    context.pool.advance(0.5)


@behave.when('the workers of the first of these jobs are lost')
def step_lose(context):
    pool = context.pool
    keys = set(pool.tasks(context.jobs[0]))
    lost = {
        running.worker
        for run, running in pool.running.items()
        if run[0] in keys
    }
    assert lost, 'the tasks do not run'
    for worker in sorted(lost):
        pool.lose(worker)
    context.lost_worker = min(lost)


@behave.when('jobs of 8 small tasks arrive for {duration_s:d} s')
def step_small_tasks(context, duration_s):
    context.pool.advance(float(duration_s), _SMALL_TASKS)


@behave.then(
    'no small job stands still for 3 s beside room for two of its tasks'
)
def step_no_standstill(context):
    context.pool.advance(14.0)
    assert not context.pool.standstills, context.pool.standstills


@behave.then('all small jobs have ended 14 s later')
def step_small_ended(context):
    assert not context.pool.open_stream_jobs()


@behave.then('its tasks run again within {bound:g} s')
def step_run_again(context, bound):
    pool = context.pool
    keys = [] if context.is_cancelled else context.keys
    waited_s = pool.time_to_start_s(keys, bound + 0.1, *context.streams)
    assert waited_s is not None, _why(context)


def _why(context):
    pool = context.pool
    return {worker: pool.free(worker) for worker in pool.worker_ids}


@behave.then('the long-running task runs when {seconds:d} s have passed')
def step_runs_later(context, seconds):
    context.pool.advance(max(0.0, 100.0 + seconds - context.pool.now))
    assert set(context.keys) <= {key for key, _ in context.pool.running}


# Changes while a worker is reserved.


def _reserved_worker(context):
    reservations = context.pool.leader.dispatcher.scheduler.reservations
    return reservations.by_unit[context.keys[0]][0].worker


@behave.when('{seconds:d} s later the leader changes')
def step_change_leader(context, seconds):
    context.pool.advance(float(seconds), *context.streams)
    context.pool.change_leader()


@behave.when('{seconds:d} s later the lost worker comes back')
def step_come_back(context, seconds):
    context.pool.advance(float(seconds), *context.streams)
    context.pool.add(context.lost_worker)


@behave.when('{seconds:d} s later a new worker joins')
def step_join(context, seconds):
    context.pool.advance(float(seconds), *context.streams)
    context.pool.add(ids.WorkerId('w-new'))


@behave.when('{seconds:d} s later the reserved worker restarts')
def step_restart(context, seconds):
    context.pool.advance(float(seconds), *context.streams)
    context.pool.restart(_reserved_worker(context))


@behave.when('{seconds:d} s later the reserved worker is lost')
def step_lose_reserved(context, seconds):
    context.pool.advance(float(seconds), *context.streams)
    context.pool.lose(_reserved_worker(context))


@behave.when('{seconds:d} s later the reserved worker is closed')
def step_close_reserved(context, seconds):
    context.pool.advance(float(seconds), *context.streams)
    workers_by_id = context.pool.leader.dispatcher.workers_by_id
    workers_by_id[_reserved_worker(context)].closed_for_maintenance = True


@behave.when('{seconds:d} s later its job is cancelled')
def step_cancel(context, seconds):
    pool = context.pool
    pool.advance(float(seconds), *context.streams)
    assert _reserved_worker(context)
    pool.leader.apply(
        commands.Cancel(context.jobs[0], leaders.QUEUE, pool.now)
    )
    context.is_cancelled = True
    pool.advance(0.1, *context.streams)


@behave.when('{seconds:d} s later the small tasks of the reserved worker hang')
def step_hang(context, seconds):
    context.pool.advance(float(seconds), *context.streams)
    context.pool.hanging_workers.add(_reserved_worker(context))


@behave.then('no worker is reserved any more')
def step_none_reserved(context):
    reservations = context.pool.leader.dispatcher.scheduler.reservations
    assert not reservations.by_unit, reservations.by_unit


@behave.when(
    'a long-running gang of {count:d} tasks of {cores:d} core is assigned'
)
def step_assign_gang(context, count, cores):
    step = model.Step(
        count,
        model.Resources(1000 * cores, 100),
        gang=True,
        long_running=True,
    )
    job = context.pool.submit(step)
    keys = context.pool.tasks(job)
    assert context.pool.time_to_start_s(keys, 1.0) is not None


@behave.when('jobs of the other pool arrive for {seconds:d} s')
def step_other_pool(context, seconds):
    pool = context.pool
    begin = pool.now
    count = len(pool.stream_jobs)
    pool.advance(float(seconds), *context.streams, _OTHER_POOL_STREAM)
    context.other_jobs = [
        job
        for job in pool.stream_jobs[count:]
        if pool.leader.state.jobs_by_id[job].queue == _OTHER_QUEUE
    ]
    assert len(context.other_jobs) >= seconds and pool.now > begin


@behave.then('all jobs of the other pool began within {bound:g} s')
def step_other_began(context, bound):
    pool = context.pool
    for job in context.other_jobs:
        submitted_at = pool.leader.state.jobs_by_id[job].submitted_at
        started_at = pool.started_at_by_task[pool.tasks(job)[0]]
        assert started_at - submitted_at <= bound


# What operators see.


@behave.when('{seconds:d} s pass')
def step_pass(context, seconds):
    _advance_with_log(context, float(seconds))


def _reasons(context, job_id):
    leader = context.pool.leader
    job = leader.state.jobs_by_id[job_id]
    return reasons.waiting_reasons(
        job, leader.state, leader.dispatcher, leader.now
    )


@behave.then('the reasons of the first job name the reserved worker')
def step_reason_reserved(context):
    expected = f'worker {_reserved_worker(context)} is reserved for task 0'
    lines = _reasons(context, context.jobs[0])
    assert expected in lines[0], lines


@behave.then('the log has "worker reserved" for it')
def step_log_reserved(context):
    rows = [
        extra
        for message, extra in context.log
        if message == 'worker reserved'
        and extra['task'] == f'{context.jobs[0]}.0.0.0'
    ]
    assert rows[-1]['worker'] == _reserved_worker(context), rows
    assert rows[-1]['room_in_s'] > 0.0, rows


@behave.then('the reasons of the last job name "{text}"')
def step_reason_obstacle(context, text):
    lines = _reasons(context, context.waiting_jobs[-1])
    assert f'the end of other tasks does not help ({text})' in lines[0], lines


@behave.then('the log has "no worker is reserved" for the last job')
def step_log_obstacle(context):
    job = context.waiting_jobs[-1]
    rows = [row for row in context.log if row[0] == 'no worker is reserved']
    assert [row[1]['task'].split('.')[0] for row in rows] == [job], rows
    assert rows[0][1]['obstacles'] == 'limit per worker', rows


# Forecasts.

_LOADS = {
    'a finite task of 4 cores': ((4, 5.0, 3.0),),
    'two finite tasks of 4 and 6 cores': ((4, 5.0, 3.0), (6, 8.0, 3.0)),
    'finite tasks that end together': ((4, 5.0, 3.0), (6, 5.0, 3.0)),
    'an overdue finite task of 4 cores': ((4, 5.0, 6.0),),
    'a long-running task of 4 cores': ((4, None, 3.0),),
}
_LABELLED = 'with the label of another'
_LIMITED = 'with its limit reached'


@behave.given('a worker of 16 cores with {load}')
def step_load(context, load):
    """Start tasks; each has cores, an estimate and the time it has run."""
    step_pool(context, 1)
    pool = context.pool
    rows = sorted(_LOADS[load], key=lambda row: -row[2])
    for cores, estimate_s, age_s in rows:
        need = model.Resources(1000 * cores, 100)
        if estimate_s is None:
            step = model.Step(3, need, per_worker=1, long_running=True)
            context.limited = pool.submit(step)
        else:
            step = model.Step(1, need, estimate_s=estimate_s)
            pool.submit(step, run_time_s=60.0)
    pool.hanging_workers.update(pool.worker_ids)
    # The second heartbeat lists what the first one has started.
    pool.advance(0.1)
    pool.leader.now += rows[0][2]
    pool.leader.beat_all()


@behave.when('a long-running task of {cores:d} cores {extra} waits')
def step_forecast(context, cores, extra):
    leader = context.pool.leader
    need = model.Resources(1000 * cores, 100)
    label = 'kind-b' if extra == _LABELLED else ''
    step = model.Step(1, need, label=label, long_running=True)
    if extra == _LIMITED:
        job = context.limited
        step = leader.state.jobs_by_id[job].spec.steps[0]
    else:
        job = context.pool.submit(step)
    key = context.pool.tasks(job)[-1]
    worker = leader.dispatcher.workers_by_id[ids.WorkerId('w0')]
    context.forecast = leader.dispatcher.scheduler.forecasts.forecast(
        worker, key, step, leader.now
    )


@behave.then('the forecast of room on the worker is "{expected}"')
def step_forecast_is(context, expected):
    match = re.fullmatch(r'room in (\d+) s', expected)
    if match:
        assert context.forecast.room_in_s is not None, context.forecast
        assert abs(context.forecast.room_in_s - int(match[1])) < 0.2, (
            context.forecast
        )
    else:
        assert context.forecast.obstacle.value == expected, context.forecast

"""Steps for workers and writers on which starts have no effect."""

from __future__ import annotations

import behave

from verbenastream import ids
from verbenastream.process.jobqueue import model
from verbenastream_testing.jobqueue import idle_writers
from verbenastream_testing.jobqueue import leader as leaders

_NEED = model.Resources(1000, 100)
_KINDS = {
    'finite': {},
    'lasting': {'long_running': True, 'max_unavailable': 1},
    'gang': {'gang': True},
    'near its data': {'data_rack': 'rack-1'},
    'one per worker': {'per_worker': 1},
}


@behave.given('a pool of {workers:d} workers and {writers:d} idle writers')
@behave.given('a pool of {workers:d} workers and {writers:d} idle writer')
def step_pool(context, workers, writers):
    _add_pool(context, workers, writers, 2000)


@behave.given(
    'a pool of {workers:d} workers and {writers:d} larger idle writers'
)
@behave.given(
    'a pool of {workers:d} workers and {writers:d} larger idle writer'
)
def step_larger(context, workers, writers):
    _add_pool(context, workers, writers, 64_000)


@behave.given('a pool of {workers:d} workers and {writers:d} reborn writer')
@behave.given('a pool of {workers:d} workers and {writers:d} reborn writers')
def step_reborn(context, workers, writers):
    """Add writers whose every heartbeat is that of a new incarnation."""
    _add_pool(context, workers, writers, 2000, is_reborn=True)


def _add_pool(context, workers, writers, millicores, is_reborn=False):
    context.pool = pool = idle_writers.Pool()
    for position in range(workers):
        pool.add(f'w{position}', 4000)
    for position in range(writers):
        pool.add(f'x{position}', millicores, True, is_reborn)
    pool.run_for(2.0)


def _submit(context, kind, count, job=leaders.JOB, need=_NEED):
    step = model.Step(count, need, 1.0, **_KINDS[kind])
    context.submitted_at = context.pool.leader.now
    return context.pool.leader.submit(step, job=job)


@behave.when('a job of {count:d} "{kind}" tasks is submitted')
def step_submit(context, count, kind):
    _submit(context, kind, count)
    context.count = count


@behave.then('each of its tasks begins within {bound_s:g} s')
def step_begins(context, bound_s):
    context.pool.run_for(bound_s)
    began = context.pool.began_at_by_task
    assert len(began) == context.count, (began, context.pool.starts)


@behave.then('no writer gets a task twice')
def step_once(context):
    for name in context.pool.senders_by_name:
        if name.startswith('x'):
            keys = [key for _, key in context.pool.starts_on(name)]
            assert len(keys) == len(set(keys)), (name, keys)


@behave.when('a job of one task is submitted each second for {duration_s:d} s')
def step_stream(context, duration_s):
    for number in range(duration_s):
        _submit(context, 'finite', 1, ids.JobId(f'{number:016x}'))
        context.pool.run_for(1.0)
    context.count = duration_s
    context.stream_ends_at = context.pool.leader.now


@behave.then('each writer got at most {limit:d} starts')
def step_few_starts(context, limit):
    for name in context.pool.senders_by_name:
        if name.startswith('x'):
            starts = context.pool.starts_on(name)
            assert len(starts) <= limit, starts


@behave.then('all of these tasks have begun within {bound_s:g} s of the last')
def step_all_begun(context, bound_s):
    context.pool.run_for(bound_s)
    assert len(context.pool.began_at_by_task) == context.count


_LARGE_NEED = model.Resources(32_000, 1)


@behave.when('a job that is larger than the workers is submitted')
def step_submit_large(context):
    _submit(context, 'finite', 1, need=_LARGE_NEED)


@behave.then('each writer got at most {limit:d} starts within {bound_s:g} s')
def step_few_starts_within(context, limit, bound_s):
    context.pool.run_for(bound_s)
    step_few_starts(context, limit)


@behave.then('a job larger than the workers is refused')
def step_refused(context):
    spec = model.JobSpec('s', (model.Step(1, _LARGE_NEED),))
    try:
        context.pool.leader.dispatcher.check_size(leaders.POOL, spec)
    except Exception as error:
        assert 'more than any' in str(error), error
    else:
        raise AssertionError('the job was accepted')


@behave.when(
    'the responses to one worker arrive too late for {duration_s:g} s'
)
def step_late(context, duration_s):
    context.pool.senders_by_name['w0'].is_late = True
    _submit(context, 'finite', 30)
    context.pool.run_for(duration_s)
    context.late_starts = len(context.pool.starts_on('w0'))


@behave.when(
    'they arrive in time again and a job for all workers is submitted'
)
def step_in_time(context):
    context.pool.senders_by_name['w0'].is_late = False
    context.pool.began_at_by_task.clear()
    _submit(context, 'finite', 60, ids.JobId('f' * 16))
    context.count = 60


@behave.then('that worker runs tasks again within {bound_s:g} s')
def step_runs_again(context, bound_s):
    context.pool.run_for(bound_s)
    count = len(context.pool.starts_on('w0')) - context.late_starts
    assert count > 1, context.pool.starts_on('w0')


@behave.then('it has got a start at each of its heartbeats')
def step_last_worker(context):
    starts = context.pool.starts_on('w0')
    assert len(starts) >= 5, starts


@behave.then('no job has failed')
def step_none_failed(context):
    jobs = context.pool.leader.state.jobs_by_id.values()
    failed = [job for job in jobs if job.phase is model.JobPhase.FAILED]
    assert not failed, failed

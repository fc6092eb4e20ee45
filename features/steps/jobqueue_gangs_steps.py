"""Steps for gangs, periodic jobs and the removal of ended jobs."""

from __future__ import annotations

import behave

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import waiting as waiting_jobs
from verbenastream import wire
from verbenastream_testing.jobqueue import leader as leaders

_MEMBER_COUNT = 3
_OTHER_JOB = ids.JobId('00000000000000bb')
_ENDS = model.EndKind


def _member(position):
    return model.TaskKey(leaders.JOB, 0, 0, position)


def _job(context):
    return context.leader.state.jobs_by_id[leaders.JOB]


def _start_gang(leader):
    """Start all members; return the checkpoint of each start order."""
    leader.beat_all()
    leader.dispatcher.assign(leader.now, leader.now)
    checkpoints = []
    for worker in leader.running_by_worker:
        beat, _ = leader.beat(worker)
        started = leader.dispatcher.build_start_command(beat, leader.now)
        assert started is not None, worker
        numbers = leader.apply(started)
        leader.dispatcher.finish_starts(started)
        orders = leader.dispatcher.build_orders(
            beat, started, numbers, 1, leader.now
        )
        checkpoints += [start.checkpoint for start in orders.starts]
    return checkpoints


def _end_run(leader, ends):
    """End the current run of all members; ``ends`` by position."""
    [tasks] = leader.state.jobs_by_id[leaders.JOB].tasks[0]
    run_ends = []
    for position, task in enumerate(tasks):
        [run] = task.live_runs
        kind, checkpoint = ends.get(position, (_ENDS.BROKEN, ''))
        key = _member(position)
        run_ends.append(commands.RunEnd(key, run.number, kind, checkpoint))
    for end in run_ends:
        leader.apply(commands.EndRuns((end,), (), leader.now))


@behave.given('a leader with 3 workers to which a gang of 3 tasks is assigned')
def step_assigned_gang(context):
    context.leader = leader = leaders.Leader(_MEMBER_COUNT)
    # Each member needs a whole worker.
    step = model.Step(_MEMBER_COUNT, leaders.CAPACITY, 1.0, gang=True)
    leader.submit(step)
    leader.dispatcher.assign(leader.now, leader.now)


@behave.given('a leader with 3 workers that run a gang of 3 tasks')
def step_running_gang(context):
    step_assigned_gang(context)
    assert len(_start_gang(context.leader)) == _MEMBER_COUNT


@behave.when(
    'one member reports that it is done and the other workers are lost'
)
def step_one_done(context):
    leader = context.leader
    lost = tuple(
        (_member(position), task.live_runs[0].number)
        for position, task in enumerate(_job(context).tasks[0][0])
        if position
    )
    end = commands.RunEnd(_member(0), 1, _ENDS.DONE, '')
    leader.apply(commands.EndRuns((end,), (), leader.now))
    leader.apply(commands.EndRuns((), lost, leader.now))


@behave.then('the job is completed and no task waits')
def step_completed(context):
    job = _job(context)
    assert job.phase is model.JobPhase.COMPLETED, job.phase
    assert not context.leader.state.runs_by_worker
    leader = context.leader
    assert not leader.dispatcher.assign(leader.now, leader.now)


@behave.when('the members fail in these runs')
def step_members_fail(context):
    leader = context.leader
    for row in context.table:
        failed = {
            int(position): (_ENDS.FAILED, '')
            for position in row['failed members'].split()
        }
        _end_run(leader, failed)
        if _job(context).phase not in model.ENDED_PHASES:
            leader.now += 0.5
            assert len(_start_gang(leader)) == _MEMBER_COUNT


@behave.then('the gang runs again')
def step_runs_again(context):
    assert _job(context).phase is model.JobPhase.RUNNING
    numbers = [task.live_runs[0].number for task in _job(context).tasks[0][0]]
    assert numbers == [3, 3, 3], numbers


@behave.then('the job has failed')
def step_failed(context):
    assert _job(context).phase is model.JobPhase.FAILED, _job(context).phase


@behave.when('the run is stopped and two members report a checkpoint')
def step_checkpoints(context):
    stopped = {
        0: (_ENDS.STOPPED, 'first'),
        1: (_ENDS.STOPPED, 'second'),
        2: (_ENDS.STOPPED, ''),
    }
    _end_run(context.leader, stopped)


@behave.then('all members resume from the last reported checkpoint')
def step_same_checkpoint(context):
    context.leader.now += 0.5
    checkpoints = _start_gang(context.leader)
    assert checkpoints == ['second'] * _MEMBER_COUNT, checkpoints


@behave.when('one of the workers drains')
def step_drains(context):
    dispatcher = context.leader.dispatcher
    worker = next(iter(dispatcher.workers_by_id.values()))
    assert worker.assigned_by_task
    worker.closed_for_maintenance = True
    dispatcher.scheduler.unassign_worker(worker)


@behave.then('no member of the gang is assigned')
def step_none_assigned(context):
    dispatcher = context.leader.dispatcher
    assigned = [
        worker.id
        for worker in dispatcher.workers_by_id.values()
        if worker.assigned_by_task
    ]
    assert not assigned, assigned
    assert not dispatcher.scheduler.worker_by_task


@behave.when('the second occurrence of a job becomes due after 60 s')
def step_second_occurrence(context):
    leader = context.leader
    step = model.Step(1, leaders.CAPACITY, 1.0)
    spec = model.JobSpec('spec', (step,), 2, leader.now, 60.0)
    leader.submit_spec(spec)
    [(key, run)] = leader.give_orders(ids.WorkerId('w0'))
    end = commands.RunEnd(key, run, _ENDS.DONE, '')
    leader.apply(commands.EndRuns((end,), (), leader.now))
    leader.now += 60.5
    leader.submit(step, job=_OTHER_JOB)


@behave.then('it comes before a job that was submitted later')
def step_order(context):
    leader = context.leader
    waiting = leader.dispatcher.scheduler.waiting
    waiting.update(leader.now)
    order = sorted(
        waiting.by_pool[leaders.POOL].values(),
        key=lambda item: waiting_jobs.sort_key(item, leader.now),
    )
    job_ids = [item.job.id for item in order]
    assert job_ids == [leaders.JOB, _OTHER_JOB], job_ids


@behave.given('5 long-running jobs')
def step_long_running_jobs(context):
    for number in range(5):
        step = model.Step(1, leaders.CAPACITY, long_running=True)
        context.leader.submit(step, job=ids.JobId(f'lasting-{number}'))


@behave.when('100 jobs are submitted and cancelled, one every 10 s')
def step_many_jobs(context):
    leader = context.leader
    for number in range(100):
        job_id = ids.JobId(f'{number:016x}')
        leader.submit(model.Step(1, leaders.CAPACITY, 1.0), job=job_id)
        leader.apply(commands.Cancel(job_id, leaders.QUEUE, leader.now))
        leader.now += 10.0


@behave.then('at most {count:d} jobs are kept')
def step_kept(context, count):
    kept = len(context.leader.state.jobs_by_id)
    assert kept <= count, kept


@behave.then('a replica restored from a snapshot removes the same jobs')
def step_same_removed(context):
    leader = context.leader
    restored = states.JobQueueState()
    restored.restore(leader.state.snapshot())
    step = model.Step(1, leaders.CAPACITY, 1.0)
    for number in range(4):
        leader.now += 50.0
        command = commands.Submit(
            ids.JobId(f'later-{number}'),
            leaders.QUEUE,
            model.JobSpec('spec', (step,)),
            leader.now,
        )
        for state in (leader.state, restored):
            state.apply(ids.LogIndex(1000 + number), wire.encode(command))
        assert leader.state.jobs_by_id.keys() == restored.jobs_by_id.keys()

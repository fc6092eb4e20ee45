"""Steps that play schedules with tasks that crash their workers."""

from __future__ import annotations

import dataclasses

import behave

from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import reasons
from verbenastream import wire
from verbenastream_testing.jobqueue import crashing
from verbenastream_testing.jobqueue import leader as leaders

_SEEDS = range(4)


@behave.when('{kind} tasks crash their workers {delay_s:g} s after each start')
def step_crashing_tasks(context, kind, delay_s):
    context.plan = crashing.Plan(
        delay_s=delay_s, step=crashing.CrashingStep(kind)
    )


@behave.when('the workers return under {id}')
def step_restart(context, id):
    context.plan = dataclasses.replace(
        context.plan, restart=crashing.Restart(id)
    )


@behave.when('the leader changes every 9 s')
def step_change_leader(context):
    context.plan = dataclasses.replace(context.plan, changes_leader=True)


@behave.when('the workers of one rack crash at 3, 7 and 12 s')
def step_outages(context):
    plan = getattr(context, 'plan', crashing.Plan(crashing_jobs=()))
    context.plan = dataclasses.replace(plan, outages_s=(3.0, 7.0, 12.0))


def _play(context):
    if not hasattr(context, 'results'):
        context.results = [
            crashing.play(seed, context.plan) for seed in _SEEDS
        ]
    return context.results


@behave.then('such a task starts at most twice after three crashes')
def step_budget(context):
    for result in _play(context):
        assert result.crashes, 'no worker crashed'
        assert not result.violations, result.violations[:3]


@behave.then('all jobs are completed')
@behave.then(
    'each job with such a task has failed and all others are completed'
)
def step_phases(context):
    for seed, result in zip(_SEEDS, _play(context)):
        for job, phase in result.phase_by_crashing_job.items():
            assert phase is model.JobPhase.FAILED, (seed, job, phase)
        for job, phase in result.phase_by_other_job.items():
            assert phase is model.JobPhase.COMPLETED, (seed, job, phase)
        assert not result.violations, result.violations[:3]


_KEY = model.TaskKey(leaders.JOB, 0, 0, 0)


def _start_all(leader, worker='w0'):
    leader.give_orders(worker)
    leader.report_runs(worker, percent=10.0)


def _end_worker(leader, worker):
    reason = leader.dispatcher.ended_workers.reason(worker)
    command = leader.dispatcher.ended_workers.find_runs(
        worker, reason, leader.now
    )
    leader.apply(command)
    leader.dispatcher.remove_worker(worker)


@behave.when('the worker has started them and {event}')
def step_event(context, event):
    leader = context.leader
    _start_all(leader)
    worker = leader.dispatcher.workers_by_id['w0']
    assert len(leader.state.runs_by_worker['w0']) == 2
    match event:
        case 'ends while it drains':
            worker.heartbeat = dataclasses.replace(
                worker.heartbeat, draining=True
            )
        case 'ends while it shuts down':
            worker.shutdown_announced_at = leader.now
        case 'ends while its instance is taken down':
            worker.is_being_taken_down = True
        case 'ends after a call of the leader before':
            leader.apply(commands.BeginMoves(('m-w0',), leader.now))
            leader.sequence += 10
            leader.start_dispatcher()
            leader.beat('w0')
            worker = leader.dispatcher.workers_by_id['w0']
        case 'returns under its id':
            leader.running_by_worker['w0'] = ()
            _report(leader, leader.beat('w0', incarnation=2)[0])
            return
        case 'does not list them':
            leader.running_by_worker['w0'] = ()
            _report(leader, leader.beat('w0')[0])
            return
        case 'its lease expires':
            leader.now += 30.0
            leader.apply(
                leader.dispatcher.find_expired_runs(leader.now, leader.now)
            )
            return
        case 'an earlier build reports them lost':
            runs = tuple(leader.state.runs_by_worker['w0'])
            command = commands.EndRuns((), runs, leader.now)
            assert b'crash' not in wire.encode(command)
            leader.apply(command)
            return
    _end_worker(leader, worker)


def _report(leader, heartbeat):
    leader.apply(
        leader.dispatcher.find_ended_runs(heartbeat, leader.now, leader.now)
    )


@behave.then('{count:d} crashes are counted for each task')
def step_crashes(context, count):
    state = context.leader.state
    for task in state.jobs_by_id[leaders.JOB].tasks[0][0]:
        assert not task.live_runs, task
        assert task.crashes == count, task


@behave.when('two workers have crashed under the task')
def step_two_crashes(context):
    leader = context.leader
    for worker in ('w0', 'w1'):
        # The next leader knows of the crash from the log only.
        leader.start_dispatcher()
        _start_all(leader, worker)
        _end_worker(leader, leader.dispatcher.workers_by_id[worker])


@behave.then('2 crashes are counted, and one more ends the job as failed')
def step_given_up(context):
    leader = context.leader
    leader.state = context.restored
    assert list(leader.state.suspects_by_key) == [_KEY]
    assert leader.state.suspects_by_key[_KEY].crashes == 2
    leader.start_dispatcher()
    _start_all(leader, 'w2')
    _end_worker(leader, leader.dispatcher.workers_by_id['w2'])
    job = leader.state.jobs_by_id[leaders.JOB]
    assert job.phase is model.JobPhase.FAILED, job
    assert not leader.state.suspects_by_key


@behave.then('the client is told how many workers crashed')
def step_crash_reason(context):
    leader = context.leader
    [line] = reasons.waiting_reasons(
        leader.state.jobs_by_id[leaders.JOB],
        leader.state,
        leader.dispatcher,
        leader.now,
    )
    assert '3 workers crashed' in line, line


def _set_capacity(leader, millicores):
    leader.capacity_by_worker['w0'] = model.Resources(millicores, 65_536)
    leader.beat('w0')


@behave.when('the worker runs 8 of them and its capacity shrinks to 4 cores')
def step_shrink_loaded(context):
    leader = context.leader
    _set_capacity(leader, 8000)
    _start_all(leader)
    assert len(leader.state.runs_by_worker['w0']) == 8
    _set_capacity(leader, 16_000)
    leader.dispatcher.assign(leader.now, leader.now)
    worker = leader.dispatcher.workers_by_id['w0']
    assert len(worker.assigned_by_task) == 2
    _set_capacity(leader, 4000)


@behave.when('its capacity {change} to {cores:d} cores')
def step_capacity(context, change, cores):
    _set_capacity(context.leader, 1000 * cores)


@behave.then('it is given no task and has -4 cores free')
def step_over_capacity(context):
    leader = context.leader
    assert not leader.give_orders('w0')
    worker = leader.dispatcher.workers_by_id['w0']
    free = capacity.free_capacity(worker, leader.state)
    assert free.millicores == -4000, free


@behave.then('it is given the other tasks')
def step_grown(context):
    assert len(context.leader.give_orders('w0')) == 2


@behave.then('a job with a task of {cores:d} cores is accepted')
def step_accepted(context, cores):
    step = model.Step(1, model.Resources(1000 * cores, 100), 1.0)
    spec = model.JobSpec('spec', (step,))
    context.leader.dispatcher.check_size(leaders.POOL, spec)

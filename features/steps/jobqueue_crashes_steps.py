"""Steps that play schedules with tasks that crash their workers."""

from __future__ import annotations

import dataclasses

import behave

from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import crashes
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


@behave.then(
    'such tasks are not started any more and the others of their jobs run'
)
def step_siblings_run(context):
    for seed, result in zip(_SEEDS, _play(context)):
        for job, phase in result.phase_by_crashing_job.items():
            assert phase is model.JobPhase.RUNNING, (seed, job, phase)
        for job, phase in result.phase_by_other_job.items():
            assert phase is model.JobPhase.COMPLETED, (seed, job, phase)
        assert not result.restartable, (seed, result.restartable)
        assert not result.given_up, (seed, result.given_up)
        assert not result.away, (seed, result.away)


@behave.given(
    'a long-running job of {count:d} tasks of which {limit:d} may be '
    'unavailable'
)
def step_long_running_job(context, count, limit):
    leader = context.leader
    leader.submit(
        model.Step(
            count,
            model.Resources(1300, 4800),
            long_running=True,
            max_unavailable=limit,
        )
    )
    _start_everywhere(leader)
    assert leader.count_runs() == count


def _start_everywhere(leader):
    """Answer a heartbeat of each worker; return the runs told to stop."""
    stops = []
    for worker in leader.running_by_worker:
        known = leader.dispatcher.workers_by_id[worker]
        leader.give_orders(worker, known.incarnation)
        leader.report_runs(worker, incarnation=known.incarnation)
        heartbeat, _ = leader.beat(worker, known.incarnation)
        orders = leader.dispatcher.build_orders(
            heartbeat, None, [], 1, leader.now
        )
        stops += orders.stops
    return stops


@behave.when(
    '{count:d} times the worker of its first task crashes {age:g} s after the '
    'start'
)
def step_crash_first(context, count, age):
    leader = context.leader
    context.stops = []
    for _ in range(count):
        end = leader.now + age
        while leader.now < end:
            leader.now += 0.5
            context.stops += _start_everywhere(leader)
        for run in leader.state.jobs_by_id[leaders.JOB].task(_KEY).live_runs:
            worker = leader.dispatcher.workers_by_id[run.worker]
            leader.running_by_worker[run.worker] = ()
            beat, _ = leader.beat(run.worker, worker.incarnation + 1)
            leader.apply(
                leader.dispatcher.find_ended_runs(beat, leader.now, leader.now)
            )
        context.stops += _start_everywhere(leader)


@behave.then('none of its other tasks was stopped and its job is running')
def step_none_stopped(context):
    job = context.leader.state.jobs_by_id[leaders.JOB]
    assert job.phase is model.JobPhase.RUNNING, job.phase
    assert not context.stops, context.stops
    running = [bool(task.live_runs) for task in job.tasks[0][0]]
    assert all(running[1:]), running


_SURROUNDINGS = {
    'alone': crashes.Surroundings(0, 0.0),
    'and one more at the same moment': crashes.Surroundings(1, 0.0),
    'and two more at the same moment': crashes.Surroundings(2, 0.0),
    'while a worker crashes every 12 s': crashes.Surroundings(0, 1 / 12),
}


@behave.given('a long-running task under which {count:d} workers crashed')
def step_crashed_task(context, count):
    context.leader = leader = leaders.Leader(1)
    leader.submit(model.Step(1, model.Resources(1000, 100), long_running=True))
    _start_everywhere(leader)
    context.task = leader.state.jobs_by_id[leaders.JOB].task(_KEY)
    context.task.crashes = count


@behave.when('a worker crashes under it after {age:g} s, {surroundings}')
def step_crash_surrounded(context, age, surroundings):
    leader = context.leader
    job = leader.state.jobs_by_id[leaders.JOB]
    [run] = context.task.live_runs
    lost = crashes.LostRun(
        _KEY, run.number, context.task, job.spec.steps[0], age
    )
    report = crashes.report([lost], _SURROUNDINGS[surroundings])
    leader.apply(
        commands.EndRuns((), ((_KEY, run.number),), leader.now, report)
    )


@behave.then('{count:d} crashes are counted for it')
def step_counted(context, count):
    assert context.task.crashes == count, context.task


@behave.when(
    'one worker crashes every {interval:g} s under 18 long-running tasks'
)
def step_series(context, interval):
    context.plan = crashing.Plan(
        crashing_jobs=(),
        lasting_jobs=(2, 4, 6, 8, 10, 12),
        series_count=1,
        series_interval_s=interval,
    )


@behave.then('no sound long-running task is away at the end')
def step_none_away(context):
    for seed, result in zip(_SEEDS, _play(context)):
        assert not result.away, (seed, result.away)
        assert not result.violations, (seed, result.violations[:3])


@behave.then('none was given up')
def step_none_given_up(context):
    for seed, result in zip(_SEEDS, _play(context)):
        assert not result.given_up, (seed, result.given_up)

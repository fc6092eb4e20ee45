"""Steps for the replicated state and the dispatcher of the job queue."""

from __future__ import annotations

import random

import behave

from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import dispatcher as dispatchers
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import upkeep
from verbenastream.process.jobqueue import workers
from verbenastream_testing.jobqueue import leader as leaders

_POOL = leaders.POOL
_SPARE = leaders.SPARE_POOL
_QUEUE = leaders.QUEUE
_JOB = leaders.JOB
_CAPACITY = leaders.CAPACITY


def _step(count=1, millicores=1000, **fields):
    return model.Step(count, model.Resources(millicores, 100), 1.0, **fields)


@behave.given('a leader with {count:d} worker')
@behave.given('a leader with {count:d} workers')
def step_leader(context, count):
    context.leader = leaders.Leader(count)


@behave.given('a leader with {count:d} workers and a spare pool')
def step_leader_spare(context, count):
    context.leader = leaders.Leader(count, spare=True)


@behave.given('a submitted job of {count:d} tasks')
@behave.given('a submitted job of {count:d} task')
def step_submit(context, count):
    context.leader.submit(_step(count))


@behave.given('a submitted job of 1 speculative task')
def step_submit_speculative(context):
    context.leader.submit(_step(speculative=True))


@behave.when(
    'the assigned worker is answered before the log applies the start'
)
def step_slow_log(context):
    leader = context.leader
    leader.dispatcher.assign(leader.now, leader.now)
    worker = next(
        worker
        for worker in leader.dispatcher.workers_by_id.values()
        if worker.assigned_by_task
    )
    context.start_command = leader.dispatcher.build_start_command(
        worker.heartbeat, leader.now
    )
    context.chosen = worker.id
    leader.now += 0.1
    leader.beat_all()
    leader.dispatcher.assign(leader.now, leader.now)


@behave.then('no other worker gets the task')
def step_not_assigned(context):
    leader = context.leader
    assert len(context.start_command.starts) == 1
    for worker in leader.dispatcher.workers_by_id.values():
        assert not worker.assigned_by_task, worker.id
    assert leader.apply(context.start_command) == [1]


@behave.given('a submitted job of 3 tasks with at most 2 per worker')
def step_submit_limit_per_worker(context):
    context.leader.submit(_step(3, per_worker=2))


@behave.when('the log is asked to start all of them on one worker')
def step_start_all(context):
    starts = tuple(
        commands.Start(model.TaskKey(_JOB, 0, 0, index), 'w0', 1, 5)
        for index in range(3)
    )
    context.numbers = context.leader.apply(commands.StartTasks(starts, 0.0))


@behave.then('it allows 2 starts')
def step_two_starts(context):
    assert context.numbers == [1, 1, 0], context.numbers


@behave.when('the log is asked to start a task that has completed')
def step_start_ended(context):
    leader = context.leader
    key = model.TaskKey(_JOB, 0, 0, 0)
    start = commands.StartTasks((commands.Start(key, 'w0', 1, 5),), 0.0)
    assert leader.apply(start) == [1]
    end = commands.RunEnd(key, 1, model.EndKind.DONE)
    leader.apply(commands.EndRuns((end,), (), 0.0))
    context.numbers = leader.apply(start)


@behave.then('it allows no start')
def step_no_start(context):
    assert context.numbers == [0], context.numbers


@behave.given('a long-running job with 2 available tasks on one worker')
def step_long_running(context):
    leader = context.leader
    leader.submit(_step(2, long_running=True, max_unavailable=1))
    leader.dispatcher.assign(leader.now, leader.now)
    context.worker = next(
        worker.id
        for worker in leader.dispatcher.workers_by_id.values()
        if worker.assigned_by_task
    )
    assert len(leader.give_orders(context.worker)) == 2
    leader.report_runs(context.worker)


@behave.then('that worker may not be taken down, but one task may be stopped')
def step_may_stop_one(context):
    leader = context.leader
    availability = leader.availability()
    key = model.TaskKey(_JOB, 0, 0, 0)
    assert not availability.may_take_down(context.worker, leader.now)
    assert availability.may_stop_run(key, leader.now)


@behave.when('one task has ended and is starting again')
def step_restart_one(context):
    leader = context.leader
    key = model.TaskKey(_JOB, 0, 0, 0)
    stopped = commands.RunEnd(key, 1, model.EndKind.STOPPED)
    leader.apply(commands.EndRuns((stopped,), (), leader.now))
    start = commands.Start(key, context.worker, 1, leader.sequence)
    assert leader.apply(commands.StartTasks((start,), leader.now)) == [2]
    other = model.TaskKey(_JOB, 0, 0, 1)
    leader.running_by_worker[context.worker] = (
        workers.RunReport(key, 2, '', 10.0),
        workers.RunReport(other, 1, '', 100.0),
    )
    leader.beat(context.worker)


@behave.then('the other task may not be stopped')
def step_may_not_stop(context):
    leader = context.leader
    key = model.TaskKey(_JOB, 0, 0, 1)
    assert not leader.availability().may_stop_run(key, leader.now)


@behave.given(
    'a leader with 1 worker full of short tasks and one more worker full'
)
def step_workers_full(context):
    context.leader = leaders.Leader(2)
    context.jobs = 0
    context.running = []
    for _ in range(64):
        _submit_short(context)
    _start_assigned(context)


def _submit_short(context):
    context.jobs += 1
    context.leader.submit(_step(), job=ids.JobId(f'{context.jobs:016x}'))


def _start_assigned(context):
    leader = context.leader
    for worker in leader.running_by_worker:
        context.running += leader.give_orders(worker)
        leader.report_runs(worker, percent=50.0)


@behave.given('a long-running job that needs 4 cores')
def step_long_running_large(context):
    context.leader.submit(_step(1, 4000, long_running=True, max_unavailable=1))


@behave.when('short tasks end one by one while more wait')
def step_end_short_tasks(context):
    leader = context.leader
    context.ended_before_start = None
    for ended_count in range(40):
        key, number = context.running.pop(0)
        end = commands.RunEnd(key, number, model.EndKind.DONE)
        leader.apply(commands.EndRuns((end,), (), leader.now))
        for worker in leader.running_by_worker:
            leader.report_runs(worker, percent=50.0)
        _submit_short(context)
        _start_assigned(context)
        if any(key.job == _JOB for key, _ in context.running):
            context.ended_before_start = ended_count
            return


@behave.then('the long-running task starts before the last short task ends')
def step_long_running_started(context):
    assert context.ended_before_start is not None


@behave.when('a job is cancelled and then submitted')
def step_cancel_first(context):
    leader = context.leader
    context.result = leader.apply(commands.Cancel(_JOB, _QUEUE, leader.now))
    leader.submit(_step(2))


@behave.then('it is one cancelled job without waiting tasks')
def step_cancelled(context):
    leader = context.leader
    assert context.result is states.CommandResult.UNKNOWN
    job = leader.state.jobs_by_id[_JOB]
    assert job.phase is model.JobPhase.CANCELLED
    assert not leader.dispatcher.assign(leader.now, leader.now)


@behave.when('the job is submitted again after its end')
def step_submit_again(context):
    leader = context.leader
    for worker in leader.running_by_worker:
        for key, number in leader.give_orders(worker):
            end = commands.RunEnd(key, number, model.EndKind.DONE)
            leader.apply(commands.EndRuns((end,), (), leader.now))
    context.result = leader.submit(_step(2))


@behave.then('it is still completed')
def step_completed(context):
    assert context.result is states.CommandResult.KNOWN
    job = context.leader.state.jobs_by_id[_JOB]
    assert job.phase is model.JobPhase.COMPLETED, job.phase


@behave.when('versions 7, 5 and 7 with other content are submitted')
def step_versions(context):
    for version, objective_s in ((7, 1.0), (5, 2.0), (7, 3.0)):
        configuration = leaders.configuration(version, objective_s)
        context.version = context.leader.apply(
            commands.Configure(configuration, 0.0)
        )


@behave.then('version 7 with its first content is in force')
def step_version_in_force(context):
    assert context.version == 7
    queue = context.leader.state.queues_by_id[_QUEUE]
    assert queue.objective_s == 1.0


@behave.given('a wave of 2 instances')
def step_wave(context):
    context.leader.apply(
        commands.RequestWave(3, ('m-w0', 'm-w1'), 20.0, 1, 0.0)
    )
    context.leader.give_orders('w0')


@behave.when('the state is restored from its snapshot')
def step_restore(context):
    context.restored = states.JobQueueState()
    context.restored.restore(context.leader.state.snapshot())


@behave.then('jobs, runs, configuration and waves are the same')
def step_restored_equal(context):
    state = context.leader.state
    assert state.runs_by_worker
    assert context.restored.runs_by_worker == state.runs_by_worker
    assert context.restored.jobs_by_id == state.jobs_by_id
    assert context.restored.configuration == state.configuration
    assert context.restored.waves == state.waves
    assert context.restored.open_jobs == state.open_jobs


@behave.when('a heartbeat of an earlier incarnation of a worker arrives late')
def step_earlier_incarnation(context):
    leader = context.leader
    leader.beat('w0', incarnation=5)
    context.verdict = leader.beat('w0', incarnation=4)[1]


@behave.then('the heartbeat is stale and the newer incarnation is kept')
def step_stale(context):
    assert context.verdict is dispatchers.HeartbeatStatus.STALE
    assert context.leader.dispatcher.workers_by_id['w0'].incarnation == 5


@behave.given('a serving task and a filling task on one worker')
def step_shared_worker(context):
    leader = context.leader
    leader.submit(
        _step(1, long_running=True, tail_target_ms=100),
        _step(1, best_effort=True, long_running=True),
    )
    starts = tuple(
        commands.Start(model.TaskKey(_JOB, 0, step, 0), 'w0', 1, 1)
        for step in (0, 1)
    )
    leader.apply(commands.StartTasks(starts, leader.now))


def _report_tail_latency(context, tail_ms):
    leader = context.leader
    leader.report_runs('w0', measurements_by_step={0: tail_ms})
    worker = leader.dispatcher.workers_by_id['w0']
    return leader.dispatcher.pacer.update(worker)


@behave.when('the tail latency is above its target')
def step_tail_high(context):
    context.paces = _report_tail_latency(context, 130.0)


@behave.then('the filling task gets a pace of 0')
def step_pace_zero(context):
    assert context.paces == ((model.TaskKey(_JOB, 0, 1, 0), 1, 0),)


@behave.when('the tail latency is far below its target for some reports')
def step_tail_low(context):
    for _ in range(8):
        context.paces = _report_tail_latency(context, 20.0)


@behave.then('the filling task returns to its full pace')
def step_full_pace(context):
    assert [pace for _, _, pace in context.paces] == [100]


@behave.given(
    'a wave of 4 instances, one of them with a worker that has not reported'
)
def step_wave_unreported(context):
    context.leader.apply(
        commands.RequestWave(
            4, ('m-w0', 'm-w1', 'm-silent', 'm-off'), 30.0, 4, 100.0
        )
    )


def _plan_wave(context):
    leader = context.leader
    listed = [
        instances.Instance(
            ids.InstanceId(name),
            _SPARE if name == 'm-off' else _POOL,
            instances.InstanceState.UP,
            ids.DataCentreId('dc-1'),
            ids.RackId('rack-1'),
            _CAPACITY,
        )
        for name in ('m-w0', 'm-w1', 'm-silent', 'm-off')
    ]
    listing = instances.Listing(leader.now, {row.id: row for row in listed})
    planner = upkeep.MaintenancePlanner(leader.state, leader.dispatcher)
    context.taken = {
        action.instance
        for action in planner.plan(listing, set(), leader.now, leader.now)
        if isinstance(action, upkeep.TakeDown)
    }


@behave.when('the wave is planned at once')
def step_plan_at_once(context):
    _plan_wave(context)


@behave.then('only the spare instance and idle workers are taken')
def step_only_idle_taken(context):
    assert 'm-off' in context.taken
    assert 'm-silent' not in context.taken, context.taken


@behave.when('the wave is planned 7 seconds later')
def step_plan_later(context):
    context.leader.now += 7.0
    context.leader.beat_all()
    _plan_wave(context)


@behave.then('the instance of the worker that has not reported is taken too')
def step_unreported_taken(context):
    assert 'm-silent' in context.taken, context.taken


@behave.given('a leader with 3 workers whose queue has a policy')
def step_leader_policy(context):
    context.leader = leaders.Leader(3)
    queue = model.Queue(
        _QUEUE,
        'h',
        '/a/',
        _POOL,
        policy_timings=model.PolicyTimings(0.1, 0.02, 3.0),
    )
    configuration = model.Configuration(2, (queue,), (model.Pool(_POOL),), '2')
    context.leader.apply(commands.Configure(configuration, 0.0))


@behave.then('no task is assigned and the policy is asked about 3 workers')
@behave.then('the policy is asked about 3 workers again')
def step_asked(context):
    leader = context.leader
    assert not leader.dispatcher.assign(leader.now, leader.now)
    context.question = leader.dispatcher.scheduler.next_ticket_request(
        leader.now, leader.now
    )
    assert len(context.question.workers) == 3, context.question


@behave.when('the policy allows worker w1 only')
def step_allow_one(context):
    leader = context.leader
    leader.dispatcher.scheduler.record_answer(
        context.question, {'w1': 'ticket-1'}, leader.now
    )


@behave.when('the policy does not answer for 2 seconds')
def step_no_answer(context):
    leader = context.leader
    leader.dispatcher.scheduler.record_answer(
        context.question, None, leader.now
    )
    leader.now += 2.0
    leader.beat_all()


@behave.then('both tasks start on w1 with its ticket')
def step_start_with_ticket(context):
    leader = context.leader
    assert not leader.give_orders('w0')
    heartbeat, _ = leader.beat('w1')
    command = leader.dispatcher.build_start_command(heartbeat, leader.now)
    numbers = leader.apply(command)
    leader.dispatcher.finish_starts(command)
    orders = leader.dispatcher.build_orders(
        heartbeat, command, numbers, 1, leader.now
    )
    assert [start.ticket for start in orders.starts] == ['ticket-1'] * 2


@behave.then('the policy is not asked about the others again')
def step_not_asked(context):
    leader = context.leader
    leader.now += 2.0
    leader.beat_all()
    scheduler = leader.dispatcher.scheduler
    assert scheduler.next_ticket_request(leader.now, leader.now) is None


@behave.when('a job with a task of {cores:d} cores is submitted')
def step_submit_large(context, cores):
    leader = context.leader
    spec = model.JobSpec('spec', (_step(1, cores * 1000),))
    try:
        context.refusal = leader.dispatcher.check_size(_POOL, spec)
    except errors.NeverRunsError as error:
        context.refusal = str(error)


@behave.then('it is refused with the reason "{reason}"')
def step_refused(context, reason):
    assert reason in context.refusal, context.refusal


@behave.when('a configuration with a source of 4 MiB is applied')
def step_configure_largest(context):
    rng = random.Random(1)
    queues = []
    source = []
    source_bytes = 0
    while source_bytes < 4 * 2**20:
        name = f'r-{rng.randrange(36**8):x}'
        prefix = f'/{rng.randrange(36**8):x}/'
        pool = ids.PoolId(f'pool-{rng.randrange(1000)}')
        queues.append(
            model.Queue(
                ids.QueueId(name), 'h.example', prefix, pool, 1, 3, 1.6, 3.6
            )
        )
        source.append(
            '{"Name":"%s","Host":"h.example","PathPrefix":"%s","Kind":'
            '"non_idempotent","TimeoutMs":3000,"SloMs":3600,"Priority":1,'
            '"Service":"%s","MaxAttempts":3,"Stretch":1.6},'
            % (name, prefix, pool)
        )
        source_bytes += len(source[-1])
    context.configuration = model.Configuration(
        1, tuple(queues), (), ''.join(source)
    )
    command = commands.Configure(context.configuration, 1.0)
    context.payload = commands.encode(command)
    context.state = states.JobQueueState()
    context.state.apply(ids.LogIndex(1), context.payload)


@behave.then('its command is smaller than what the log accepts')
def step_command_small(context):
    limit = agreement.Limits().max_command_bytes
    assert len(context.payload) <= limit, len(context.payload)


@behave.then('the configuration is in force as it was sent')
def step_configuration_same(context):
    assert context.state.configuration == context.configuration

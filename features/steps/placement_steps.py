"""Steps for placement; the core runs without a platform."""

from __future__ import annotations

import behave
from hypothesis import stateful
from hypothesis import strategies

from bench import placement_replay
from features import planning_world
from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version import placement
from verbenastream.version.placement import actions
from verbenastream.version.placement import corrections
from verbenastream.version.placement import events
from verbenastream.version.placement import leases


def _worker(position):
    return fleet.InstanceRecord(
        id=ids.InstanceId(f'worker-{position}'),
        data_centre=ids.DataCentreId('mx-1'),
        rack=ids.RackId(f'rack-{position}'),
        address='127.0.0.1',
        port=10_000 + position,
        resources=fleet.Resources(32.0, 64.0),
    )


def _job(name, cores=4.0, memory=4.0, team='plot', kind='a', **fields):
    need = fleet.Resources(cores, memory)
    return placement.Job(name, team, kind, need, **fields)


class CoreSimulation:
    """A placement core on virtual time; ``log`` has all its actions."""

    def __init__(self, workers=4):
        self.core = placement.PlacementCore()
        self.now = 0.0
        self.log = []
        for position in range(workers):
            self.handle(events.WorkerJoined(_worker(position)))

    def handle(self, event):
        new_actions = self.core.handle(event, self.now)
        self.log.extend(new_actions)
        return new_actions

    def starts(self):
        """Return the leases in the order in which they were granted."""
        start_by_lease = {}
        for action in self.log:
            if isinstance(action, actions.Start):
                start_by_lease.setdefault(action.lease, action)
        return list(start_by_lease.values())

    def answers(self):
        return {
            action.job: action
            for action in self.log
            if isinstance(action, actions.Answer)
        }

    def run(self, job):
        """Submit a job and confirm its start; return the start."""
        self.handle(events.Submitted(job))
        start = self.starts()[-1]
        assert start.job.id == job.id
        self.handle(events.Started(start.lease))
        return start

    def wait(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            self.handle(events.Tick())


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Plays workers that obey their leases, and messages in any order.

    ``running`` has the start of each lease whose task runs; a worker stops a
    task by itself when its lease has expired. ``refused`` has the leases for
    which workers accept no start any more.
    """

    def __init__(self):
        super().__init__()
        self.simulation = CoreSimulation(3)
        self.submitted = 0
        self.seen = 0
        self.running = {}
        self.refused = set()

    def sent_action(self, position):
        """Return one of the starts, stops and fences sent so far."""
        sent = [
            action
            for action in self.simulation.log
            if isinstance(action, (actions.Start, actions.Stop, actions.Fence))
        ]
        return sent[position % len(sent)] if sent else None

    @stateful.rule(restartable=strategies.booleans())
    def submit(self, restartable):
        self.submitted += 1
        job = _job(
            f'job-{self.submitted}', 10.0, 10.0, restartable=restartable
        )
        self.simulation.handle(events.Submitted(job))

    @stateful.rule(position=strategies.integers(0, 200))
    def deliver(self, position):
        action = self.sent_action(position)
        match action:
            case actions.Start(lease=lease) if lease not in self.refused:
                job = action.job.id
                others = [
                    key
                    for key in self.running
                    if key.rsplit('.', 1)[0] == job and key != lease
                ]
                # A worker refuses a start whose lease has expired.
                if self.simulation.now < self.lease_expiry(lease):
                    assert not others, (lease, others)
                    self.running[lease] = action
                    self.simulation.handle(events.Started(lease))
            case actions.Stop(lease=lease, instance=instance):
                self.end(lease, instance, placement.Result.STOPPED)
            case actions.Fence(lease=lease):
                self.refused.add(lease)
                self.running.pop(lease, None)
                self.simulation.handle(events.Fenced(lease))

    def lease_expiry(self, lease):
        record = self.simulation.core.lease(lease)
        return record.renewed_at + leases.LEASE_S if record else 0.0

    def end(self, lease, instance, result):
        self.refused.add(lease)
        self.running.pop(lease, None)
        self.simulation.handle(events.Ended(lease, instance, result))

    @stateful.rule(
        position=strategies.integers(0, 20),
        result=strategies.sampled_from(
            (placement.Result.DONE, placement.Result.FAILED)
        ),
    )
    def finish(self, position, result):
        if self.running:
            lease = sorted(self.running)[position % len(self.running)]
            self.end(lease, self.running[lease].instance, result)

    @stateful.rule(worker=strategies.integers(0, 2))
    def lose_contact(self, worker):
        self.simulation.handle(events.WorkerUnreachable(f'worker-{worker}'))

    @stateful.rule(worker=strategies.integers(0, 2))
    def rejoin(self, worker):
        self.simulation.handle(events.WorkerJoined(_worker(worker)))

    @stateful.rule(number=strategies.integers(1, 30))
    def cancel(self, number):
        self.simulation.handle(events.Cancelled((f'job-{number}',)))

    @stateful.rule(seconds=strategies.sampled_from((0.4, 6.0, 40.0)))
    def wait(self, seconds):
        expiries = {lease: self.lease_expiry(lease) for lease in self.running}
        self.simulation.wait(seconds)
        for lease, expiry in expiries.items():
            if expiry <= self.simulation.now:
                self.refused.add(lease)
                self.running.pop(lease, None)

    @stateful.invariant()
    def one_answer_each(self):
        answered = [
            action.job
            for action in self.simulation.log
            if isinstance(action, actions.Answer)
        ]
        assert len(set(answered)) == len(answered), answered

    @stateful.invariant()
    def one_lease_runs(self):
        jobs = [lease.rsplit('.', 1)[0] for lease in self.running]
        assert len(set(jobs)) == len(jobs), sorted(self.running)

    @stateful.invariant()
    def no_second_run(self):
        """Check that work that must not run twice is started only once."""
        counts = {}
        for start in self.simulation.starts():
            if not start.job.restartable:
                counts[start.job.id] = counts.get(start.job.id, 0) + 1
        assert all(count == 1 for count in counts.values()), counts


@behave.given('a placement core with 4 workers of 32 cores and 64 GB')
def step_core(context):
    context.simulation = CoreSimulation()


@behave.when('a job asks for {cores:g} cores and {memory:g} GB')
def step_large(context, cores, memory):
    context.simulation.handle(events.Submitted(_job('job', cores, memory)))


@behave.then('the job is refused at once and the answer names "{text}"')
def step_refused(context, text):
    answer = context.simulation.answers()['job']
    assert answer.outcome is placement.Outcome.REFUSED
    assert text in answer.detail, answer.detail


@behave.given('a running job on a worker')
def step_running(context):
    context.start = context.simulation.run(_job('job'))


@behave.given('a running job on a worker that must not run twice')
def step_running_once(context):
    context.start = context.simulation.run(_job('job', restartable=False))


@behave.when('that worker becomes unreachable')
def step_unreachable(context):
    context.unreachable_at = context.simulation.now
    context.simulation.handle(events.WorkerUnreachable(context.start.instance))


@behave.then('the job does not start anywhere else')
def step_not_started(context):
    context.simulation.wait(5.0)
    assert len(context.simulation.starts()) == 1
    fences = [
        a for a in context.simulation.log if isinstance(a, actions.Fence)
    ]
    assert fences and fences[0].lease == context.start.lease


@behave.when('the platform confirms the fence')
def step_fenced(context):
    context.simulation.handle(events.Fenced(context.start.lease))


@behave.then('the job starts on another worker')
def step_started(context):
    first, second = context.simulation.starts()
    assert second.instance != first.instance
    assert second.token > first.token


@behave.then('the job starts on another worker only after its lease has ended')
def step_after_lease(context):
    context.simulation.wait(leases.LEASE_S)
    assert len(context.simulation.starts()) == 1
    context.simulation.wait(2.0)
    assert len(context.simulation.starts()) == 2


@behave.then('the job is answered as {outcome:w}')
def step_answered(context, outcome):
    answered = context.simulation.answers()['job'].outcome
    assert answered is placement.Outcome(outcome), answered


@behave.when('one worker fails every job it starts')
def step_broken(context):
    simulation = context.simulation
    for position in range(20):
        simulation.handle(events.Submitted(_job(f'job-{position}', 17.0, 1.0)))
        for start in simulation.starts():
            if start.instance == 'worker-0':
                simulation.handle(events.Started(start.lease))
                simulation.handle(
                    events.Ended(
                        start.lease, start.instance, placement.Result.FAILED
                    )
                )


@behave.then('it is blocked after 3 jobs and gets no more work while idle')
def step_blocked(context):
    log = context.simulation.log
    (block,) = [a for a in log if isinstance(a, actions.Block)]
    assert block.instance == 'worker-0'
    starts = [
        s for s in context.simulation.starts() if s.instance == 'worker-0'
    ]
    assert len(starts) == 3, starts
    counts = context.simulation.core.counts()
    assert (counts.leases, counts.waiting) == (3, 17), counts


@behave.when('3 jobs fail on 2 workers each')
def step_fails_everywhere(context):
    simulation = context.simulation
    for position in range(3):
        simulation.handle(events.Submitted(_job(f'job-{position}')))
        for _ in range(2):
            start = simulation.starts()[-1]
            simulation.handle(
                events.Ended(
                    start.lease, start.instance, placement.Result.FAILED
                )
            )


@behave.then('these jobs are answered as failed and no worker is blocked')
def step_none_blocked(context):
    answers = context.simulation.answers()
    assert len(answers) == 3
    for answer in answers.values():
        assert answer.outcome is placement.Outcome.FAILED
    assert not [
        a for a in context.simulation.log if isinstance(a, actions.Block)
    ]
    assert len(context.simulation.starts()) == 6


@behave.given('batch jobs on every core')
def step_full(context):
    for position in range(16):
        job = _job(
            f'batch-{position}', 8.0, 8.0, priority=placement.Priority.BATCH
        )
        context.simulation.run(job)


@behave.when('an urgent job is submitted')
def step_urgent(context):
    job = _job('job', 4.0, 4.0, priority=placement.Priority.URGENT)
    context.actions = context.simulation.handle(events.Submitted(job))


@behave.then('it starts at once and a batch job is throttled')
def step_urgent_started(context):
    kinds = [type(action) for action in context.actions]
    assert kinds == [actions.Throttle, actions.Start], context.actions


@behave.when('the urgent job ends')
def step_urgent_ends(context):
    start = context.simulation.starts()[-1]
    context.actions = context.simulation.handle(
        events.Ended(start.lease, start.instance, placement.Result.DONE)
    )


@behave.then('the batch job gets its cores back')
def step_unthrottled(context):
    calls = [a for a in context.actions if isinstance(a, actions.Throttle)]
    assert [call.cores for call in calls] == [8.0], context.actions


@behave.given('batch jobs that hold all memory')
def step_full_memory(context):
    for position in range(8):
        job = _job(
            f'batch-{position}', 2.0, 28.8, priority=placement.Priority.BATCH
        )
        context.simulation.run(job)


@behave.when('an urgent job of 8 GB waits for one second')
def step_urgent_memory(context):
    job = _job('job', 2.0, 8.0, priority=placement.Priority.URGENT)
    context.simulation.handle(events.Submitted(job))
    context.simulation.wait(1.0)


def _stopped(context):
    return {
        (action.lease, action.instance)
        for action in context.simulation.log
        if isinstance(action, actions.Stop)
    }


@behave.then('one batch job is stopped')
def step_one_stopped(context):
    assert len(_stopped(context)) == 1, _stopped(context)


@behave.when('the stopped batch job has ended')
def step_batch_ended(context):
    ((lease, context.instance),) = _stopped(context)
    context.simulation.handle(
        events.Ended(lease, context.instance, placement.Result.STOPPED)
    )


@behave.then('the urgent job starts on that worker')
def step_urgent_there(context):
    start = next(s for s in context.simulation.starts() if s.job.id == 'job')
    assert start.instance == context.instance, start


@behave.when(
    'a job for a whole worker waits behind a steady stream of small jobs'
)
def step_large_waits(context):
    simulation = context.simulation
    for position in range(64):
        simulation.run(_job(f'first-{position}', 2.0, 2.0))
    simulation.handle(events.Submitted(_job('large', 32.0, 32.0)))
    for second in range(300):
        # Each small job runs for 31 to 60 s; two new ones start each second.
        for start in simulation.starts():
            name, lease = start.job.id, simulation.core.lease(start.lease)
            if lease is None or name == 'large':
                continue
            simulation.handle(events.Started(start.lease))
            if (
                simulation.now - lease.granted_at
                >= 60.0 - _name_sum(name) % 30
            ):
                simulation.handle(
                    events.Ended(
                        start.lease, start.instance, placement.Result.DONE
                    )
                )
        simulation.handle(events.Submitted(_job(f'next-{second}', 2.0, 2.0)))
        simulation.handle(events.Submitted(_job(f'more-{second}', 2.0, 2.0)))
        simulation.wait(1.0)
        if any(start.job.id == 'large' for start in simulation.starts()):
            return


def _name_sum(name):
    """Return a number that spreads the ends of the jobs over time."""
    return sum(name.encode())


@behave.then('it starts within 5 minutes')
def step_large_started(context):
    assert any(s.job.id == 'large' for s in context.simulation.starts())


@behave.given('128 cores are busy')
def step_busy(context):
    for position in range(16):
        context.simulation.run(_job(f'busy-{position}', 8.0, 8.0, 'audit'))


@behave.when('another team submits one job and all cores become free')
def step_other_team(context):
    simulation = context.simulation
    simulation.handle(events.Submitted(_job('other', 4.0, 4.0, 'audit')))
    for start in simulation.starts():
        simulation.handle(
            events.Ended(start.lease, start.instance, placement.Result.DONE)
        )
    simulation.wait(1.0)


@behave.then('the job of the other team starts')
def step_other_started(context):
    assert any(s.job.id == 'other' for s in context.simulation.starts())


@behave.given(
    'a large job that keeps to its declaration beside one that does not'
)
def step_two_jobs(context):
    context.large = context.simulation.run(_job('large', 4.0, 40.0))
    context.small = context.simulation.run(_job('small', 4.0, 4.0))
    assert context.large.instance == context.small.instance


def _report_memory(context, measured_at):
    usage = {
        context.large.lease: placement.Usage(4.0, 40.0),
        context.small.lease: placement.Usage(4.0, 23.0),
    }
    return context.simulation.handle(
        events.UsageReported(context.large.instance, measured_at, usage)
    )


@behave.when('the worker reports that its memory is exhausted')
def step_memory_exhausted(context):
    context.simulation.now = 10.0
    context.actions = _report_memory(context, 9.5)


@behave.then('only the job that exceeds its declaration is stopped')
def step_excessive_task(context):
    stops = [a for a in context.actions if isinstance(a, actions.Stop)]
    assert [stop.lease for stop in stops] == [context.small.lease], stops


@behave.given('a job of 8 cores that uses 40')
def step_excessive_cores(context):
    context.start = context.simulation.run(_job('job', 8.0, 4.0))


def _report_cores(context, now, measured_at):
    context.simulation.now = now
    usage = {context.start.lease: placement.Usage(40.0, 4.0)}
    return context.simulation.handle(
        events.UsageReported(context.start.instance, measured_at, usage)
    )


@behave.then('the first report throttles it to 8 cores')
def step_first_report(context):
    (call,) = _report_cores(context, 10.0, 9.5)
    assert isinstance(call, actions.Throttle) and call.cores == 8.0, call


@behave.then('a report from before the throttle changes nothing')
def step_delayed_report(context):
    assert not _report_cores(context, 10.3, 9.9)


@behave.then('a later report that shows no effect throttles it again')
def step_throttled_again(context):
    (call,) = _report_cores(context, 12.0, 11.5)
    assert isinstance(call, actions.Throttle) and call.cores == 8.0, call


@behave.given('jobs of a kind that use a third of what they declare')
def step_kind(context):
    context.corrections = corrections.Corrections()
    for position in range(100):
        job = _job(f'job-{position}', 6.0, 6.0)
        context.corrections.add_sample(job, placement.Usage(2.0, 2.0))


@behave.then('the next job of that kind is charged with less than half')
def step_corrected(context):
    need = context.corrections.expected_need(_job('next', 6.0, 6.0))
    assert 2.0 <= need.cores < 3.0, need
    assert 2.0 <= need.memory_gb < 3.0, need


@behave.then('a job of another kind is charged as declared')
def step_uncorrected(context):
    need = context.corrections.expected_need(_job('next', 6.0, 6.0, kind='b'))
    assert need == fleet.Resources(6.0, 6.0), need


@behave.given('team "{team}" has a quota of {cores:g} cores and {memory:g} GB')
def step_quota(context, team, cores, memory):
    quota = fleet.Resources(cores, memory)
    context.simulation.handle(events.QuotaChanged(team, quota))


@behave.when(
    'team "{team}" submits {count:d} jobs of {cores:g} cores and {memory:g} GB'
)
def step_team_submits(context, team, count, cores, memory):
    for position in range(count):
        job = _job(f'job-{position}', cores, memory, team)
        context.simulation.handle(events.Submitted(job))


@behave.then('{run:d} jobs run and {wait:d} wait')
def step_run_and_wait(context, run, wait):
    context.simulation.wait(1.0)
    counts = context.simulation.core.counts()
    assert (counts.leases, counts.waiting) == (run, wait), counts


@behave.when('1000 jobs are submitted and cancelled in one wave')
def step_wave_cancelled(context):
    simulation = context.simulation
    names = [f'job-{position}' for position in range(1_000)]
    for name in names:
        simulation.handle(events.Submitted(_job(name)))
    for action in simulation.handle(events.Cancelled(tuple(names))):
        if isinstance(action, actions.Stop):
            simulation.handle(
                events.Ended(
                    action.lease, action.instance, placement.Result.STOPPED
                )
            )
    assert len(simulation.answers()) == 1_000


@behave.then('nothing waits, no lease is held and nothing is charged')
def step_nothing_charged(context):
    counts = context.simulation.core.counts()
    assert (counts.waiting, counts.leases) == (0, 0), counts
    assert counts.granted == fleet.Resources(0.0, 0.0), counts
    used = context.simulation.core.quotas.used('plot')
    assert used == fleet.Resources(0.0, 0.0), used


@behave.given(
    'placement replays with partitioned and broken workers for '
    'seeds {first:d} to {last:d}'
)
def step_replays(context, first, last):
    load = placement_replay.Load(
        workers=12,
        teams=4,
        jobs=150,
        seconds=120.0,
        partitions=4,
        broken_workers=1,
        cancelled_at_once=30,
    )
    context.outcomes = [
        placement_replay.Replay(load, seed).run()
        for seed in range(first, last + 1)
    ]


@behave.then('no job ran twice at once and each job got one answer')
def step_no_violation(context):
    for outcome in context.outcomes:
        assert not outcome.violations, outcome.violations
        assert len(outcome.answers) == outcome.submitted
        assert not outcome.counts.leases


@behave.then('a state machine of lease events finds no job that runs twice')
def step_lease_machine(context):
    planning_world.run_machine(LeaseMachine, 40, 40)

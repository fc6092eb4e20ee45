"""Steps for the changes of instances that the leader makes."""

from __future__ import annotations

import asyncio
from unittest import mock

import behave

from verbenastream import ids
from verbenastream.process import background
from verbenastream.process import clock
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import waves
from verbenastream.process.jobqueue import workers
from verbenastream.process import metrics
from verbenastream.process.node import config
from verbenastream.process.node import duties
from verbenastream.process.node import service as services
from verbenastream_testing.jobqueue import leader as leaders
from verbenastream_testing import local_replicator

_OUTCOMES = instances.CallOutcome
_QUIET_S = 3.0


class _Platform:
    """Records the calls; answers them with ``outcome``."""

    def __init__(self):
        self.calls = []
        self.down_ids = set()
        self.missing_ids = set()
        self.failed_ids = set()
        self.worker_by_id = {}
        self.has_unreadable_rows = False
        self.outcome = _OUTCOMES.UNKNOWN
        self.on_call = lambda: None

    async def list_instances(self):
        by_id = {
            name: instances.Instance(
                ids.InstanceId(name),
                ids.PoolId('p'),
                self._state(name),
                'z',
                'r',
                1000,
                ids.WorkerId(self.worker_by_id.get(name, '')),
            )
            for name in ('m-1', 'm-2')
            if name not in self.missing_ids
        }
        return instances.Listing(
            clock.boot_time(), by_id, self.has_unreadable_rows
        )

    def _state(self, name):
        if name in self.down_ids:
            return instances.InstanceState.MAINTENANCE
        if name in self.failed_ids:
            return instances.InstanceState.DOWN
        return instances.InstanceState.UP

    async def start_maintenance(self, instance, wave, caller):
        self.on_call()
        self.calls.append((instance, caller.fence, caller.is_permitted()))
        return self.outcome

    async def move(self, instance, pool, caller):
        raise AssertionError('no instance has to move')


class _World:
    """One leader on a clock that the steps move."""

    def __init__(self):
        self.now = 1000.0
        self.replica = local_replicator.LocalReplicator('n1', None)
        self.platform = _Platform()
        self.state = services.states.JobQueueState()
        self.replica._machine = self.state
        self.start_leader()

    def start_leader(self):
        self.service = services.JobService(
            self.state,
            self.replica,
            config.JobLimits(max_hold_s=6.0),
            metrics.Metrics(),
        )
        self.controller = duties.InstanceController(
            self.service, self.platform, 'n1', _QUIET_S
        )

    async def plan(self):
        await self.service.leader.update()
        await self.controller._plan_changes()


def _run(context, work):
    with (
        mock.patch.object(clock, 'boot_time', lambda: context.world.now),
        mock.patch.object(clock, 'unix_time', lambda: context.world.now),
    ):
        return context.loop.run_until_complete(work)


def _plan_for(context, duration_s):
    end = context.world.now + duration_s
    while context.world.now < end:
        context.world.now += 0.5
        _run(context, context.world.plan())


@behave.given('a leader with a wave of 2 instances, one at a time')
def step_leader(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.world = _World()
    _run(context, context.world.plan())
    # Longer than an unknown worker may take to report.
    context.world.now += 10.0
    wave = commands.RequestWave(
        1, (ids.InstanceId('m-1'), ids.InstanceId('m-2')), 60.0, 1, 1010.0
    )
    _run(context, context.world.service.request_wave(wave))


@behave.when('the platform executes the first call without an answer')
def step_unknown(context):
    _plan_for(context, 0.5)
    assert [call[0] for call in context.world.platform.calls] == ['m-1']
    context.world.platform.down_ids = {'m-1'}


@behave.when('it answers "{outcome}" to the repeated call')
def step_repeated(context, outcome):
    context.world.platform.outcome = _OUTCOMES(outcome)
    _plan_for(context, 1.0)


@behave.then('no call for the other instance is sent')
def step_no_other(context):
    called = {call[0] for call in context.world.platform.calls}
    assert called == {'m-1'}, context.world.platform.calls
    assert len(context.world.platform.calls) > 1


@behave.then('the first instance is down for the wave')
def step_down(context):
    wave = context.world.state.waves.waves_by_number[1]
    down = (waves.MaintenancePhase.TAKEN, waves.MaintenancePhase.RETURNED)
    assert wave.phases_by_id['m-1'] in down, wave


@behave.when('the list lacks the first instance and has {rows} rows')
def step_missing(context, rows):
    platform = context.world.platform
    platform.missing_ids = {'m-1'}
    platform.has_unreadable_rows = rows == 'unreadable'
    platform.outcome = _OUTCOMES.BUSY
    _plan_for(context, 2.0)


@behave.then('the first instance is "{phase}" in the wave')
def step_phase(context, phase):
    wave = context.world.state.waves.waves_by_number[1]
    assert wave.phases_by_id['m-1'].value == phase, wave


@behave.when('another leader takes over {delay_s:d} seconds later')
def step_take_over(context, delay_s):
    _plan_for(context, delay_s)
    # Any later command ends the time that counts from the first call.
    wave = commands.RequestWave(2, (), 60.0, 1, context.world.now)
    _run(context, context.world.service.request_wave(wave))
    context.world.replica.term += 1
    context.world.start_leader()
    context.world.platform.calls.clear()


@behave.then('it sends no call for {duration_s:d} seconds')
def step_quiet(context, duration_s):
    _plan_for(context, duration_s)
    assert not context.world.platform.calls, context.world.platform.calls


@behave.then('then it repeats the call for the first instance')
def step_repeats(context):
    _plan_for(context, 1.0)
    calls = context.world.platform.calls
    assert calls and calls[0][:2] == ('m-1', 2), calls


@behave.when('it loses its lease when the call is about to be sent')
def step_lease_lost(context):
    world = context.world
    world.platform.on_call = lambda: setattr(world.replica, 'leads', False)
    _plan_for(context, 0.5)


@behave.then('the call is not permitted')
def step_not_permitted(context):
    assert context.world.platform.calls == [('m-1', 1, False)]


@behave.given('a background task that fails at its first start')
def step_failing_task(context):
    context.starts = 0

    async def start():
        context.starts += 1
        if context.starts == 1:
            raise KeyError('unexpected')
        await asyncio.Event().wait()

    context.start = start


@behave.when('it runs for a second')
def step_run_task(context):
    async def run():
        task = asyncio.create_task(
            background.run_forever('test', context.start)
        )
        await asyncio.sleep(1.0)
        assert not task.done()
        task.cancel()

    asyncio.run(run())


@behave.then('it has been started again')
def step_started_again(context):
    assert context.starts == 2, context.starts


# Workers that end without a word.

_WORKER = ids.WorkerId('w-1')


def _heartbeat(sequence):
    return workers.Heartbeat(
        worker=_WORKER,
        incarnation=1,
        sequence=sequence,
        pool=leaders.POOL,
        data_centre=ids.DataCentreId('dc-1'),
        instance=ids.InstanceId('m-1'),
        rack=ids.RackId('rack-1'),
        labels=frozenset(),
        capacity=leaders.CAPACITY,
        draining=False,
        leaves_in_s=None,
        running=(),
        ended=(),
    )


@behave.given('a leader without waves and a worker that runs a task')
def step_running_task(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.world = world = _World()
    _run(context, world.plan())
    service = world.service
    _run(
        context,
        service.propose(commands.Configure(leaders.configuration(), 0.0)),
    )
    spec = model.JobSpec('spec', (model.Step(1, leaders.CAPACITY, 1.0),))
    command = commands.Submit(leaders.JOB, leaders.QUEUE, spec, world.now)
    _run(context, service.propose(command))
    # The first answer only grants a lease.
    _run(context, service.answer_heartbeat(_heartbeat(1)))
    orders = _run(context, service.answer_heartbeat(_heartbeat(2)))
    assert len(orders.starts) == 1, orders


def _running_tasks(context):
    return len(context.world.state.runs_by_worker.get(_WORKER, ()))


@behave.when('the platform lists its instance as {state} {age_s:g} s later')
def step_listed(context, state, age_s):
    platform = context.world.platform
    match state:
        case 'down':
            platform.failed_ids = {'m-1'}
        case 'up with another worker':
            platform.worker_by_id = {'m-1': 'w-2'}
        case 'up with this worker':
            platform.worker_by_id = {'m-1': _WORKER}
        case 'missing':
            platform.missing_ids = {'m-1'}
    context.world.now += age_s
    _run(context, context.world.plan())


@behave.then('its task {verdict}')
def step_verdict(context, verdict):
    expected = {'runs on': 1, 'waits for another worker': 0}
    assert _running_tasks(context) == expected[verdict]

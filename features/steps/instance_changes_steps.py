"""Steps for the changes of instances that the leader makes."""

from __future__ import annotations

import asyncio
from unittest import mock

import behave

from verbenastream import ids
from verbenastream.process import background
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import waves
from verbenastream_testing.jobqueue import leader_service

_OUTCOMES = instances.CallOutcome


@behave.given('a leader with a wave of 2 instances, one at a time')
def step_leader(context):
    context.leader = leader_service.LeaderService()
    context.add_cleanup(context.leader.loop.close)
    context.leader.plan()
    # Longer than an unknown worker may take to report.
    context.leader.now += 10.0
    wave = commands.RequestWave(
        1, (ids.InstanceId('m-1'), ids.InstanceId('m-2')), 60.0, 1, 1010.0
    )
    context.leader.run(context.leader.service.request_wave(wave))


@behave.when('the platform executes the first call without an answer')
def step_unknown(context):
    context.leader.plan_for(0.5)
    assert [call[0] for call in context.leader.platform.calls] == ['m-1']
    context.leader.platform.down_ids = {'m-1'}


@behave.when('it answers "{outcome}" to the repeated call')
def step_repeated(context, outcome):
    context.leader.platform.outcome = _OUTCOMES(outcome)
    context.leader.plan_for(1.0)


@behave.when('the platform answers "{outcome}" to all calls for {time_s:g} s')
def step_answers(context, outcome, time_s):
    context.leader.platform.outcome = _OUTCOMES(outcome)
    context.leader.plan_for(time_s)


@behave.when('the platform answers no call for {time_s:g} s')
def step_no_answers(context, time_s):
    step_answers(context, 'unknown', time_s)
    # A call for another instance would not be sent by the same leader.
    called = {call[0] for call in context.leader.platform.calls}
    assert called == {'m-1'}, called


@behave.then('both instances have been called')
def step_both_called(context):
    called = {call[0] for call in context.leader.platform.calls}
    assert called == {'m-1', 'm-2'}, called


@behave.when(
    'it answers "busy" from then on while the first instance is {state}'
)
def step_busy(context, state):
    context.leader.platform.outcome = _OUTCOMES.BUSY
    if state == 'down':
        context.leader.platform.failed_ids = {'m-1'}


@behave.then('no call for the other instance is sent within {time_s:g} s')
def step_no_other_within(context, time_s):
    context.leader.plan_for(time_s)
    step_no_other(context)


@behave.then('the other instance has been called {time_s:g} s later')
def step_other_called(context, time_s):
    context.leader.plan_for(time_s)
    step_both_called(context)


@behave.when('it answers "{outcome}" to a call and the log commits no answer')
def step_answer_not_recorded(context, outcome):
    leader = context.leader
    leader.platform.outcome = _OUTCOMES(outcome)
    leader.platform.calls.clear()
    propose = leader.service.propose

    async def fail(command, *arguments):
        if isinstance(command, commands.RecordMaintenancePhase):
            raise errors.OutcomeUnknownError('no majority', 'Repeat it.')
        return await propose(command, *arguments)

    with mock.patch.object(leader.service, 'propose', fail):
        try:
            leader.plan_for(0.5)
        except errors.OutcomeUnknownError:
            pass
    [[context.called, *_]] = leader.platform.calls
    leader.platform.down_ids = {context.called}
    leader.platform.outcome = _OUTCOMES.BUSY


@behave.then('no call for another instance is sent while that one is down')
def step_no_other_call(context):
    leader = context.leader
    # A list that is older than the call shows the instance as up.
    for _ in range(20):
        leader.now += 0.1
        leader.plan()
    called = {call[0] for call in leader.platform.calls}
    assert called == {context.called}, leader.platform.calls


@behave.when('the first instance leaves the fleet without further answers')
def step_leaves(context):
    context.leader.platform.missing_ids = {'m-1'}


@behave.then('the first instance is "{phase}" in the wave within {time_s:g} s')
def step_phase_within(context, phase, time_s):
    context.leader.plan_for(time_s)
    step_phase(context, phase)


@behave.when('another leader takes over {count:d} times')
def step_take_over_again(context, count):
    leader = context.leader
    for _ in range(count):
        leader.replica.term += 1
        leader.start_leader()
        leader.plan_for(5.0)


@behave.then('no call for the other instance is sent while the first is down')
def step_no_other_while_down(context):
    step_no_other_within(context, 5.0)


@behave.given('a second wave of the first instance')
def step_second_wave(context):
    leader = context.leader
    wave = commands.RequestWave(
        2, (ids.InstanceId('m-1'),), 60.0, 1, leader.now
    )
    leader.run(leader.service.request_wave(wave))


@behave.then('the first instance has only been called for one wave')
def step_one_wave(context):
    begun = [
        wave.number
        for wave in context.leader.state.waves.waves_by_number.values()
        if wave.phases_by_id['m-1'] is not waves.MaintenancePhase.WAITING
    ]
    assert len(begun) == 1, begun


@behave.when('both waves go on')
def step_both_go_on(context):
    context.leader.platform.outcome = _OUTCOMES.DONE


@behave.then('each of them is completed within {time_s:g} s')
def step_all_completed(context, time_s):
    context.leader.plan_for(time_s)
    found = context.leader.state.waves.waves_by_number
    assert all(wave.completed for wave in found.values()), found


@behave.then('no call for the other instance is sent')
def step_no_other(context):
    called = {call[0] for call in context.leader.platform.calls}
    assert called == {'m-1'}, context.leader.platform.calls
    assert len(context.leader.platform.calls) > 1


@behave.then('the first instance is down for the wave')
def step_down(context):
    wave = context.leader.state.waves.waves_by_number[1]
    down = (waves.MaintenancePhase.TAKEN, waves.MaintenancePhase.RETURNED)
    assert wave.phases_by_id['m-1'] in down, wave


@behave.when('the list lacks the first instance and has {rows} rows')
def step_missing(context, rows):
    platform = context.leader.platform
    platform.missing_ids = {'m-1'}
    platform.has_unreadable_rows = rows == 'unreadable'
    unreadable = {'its unreadable': 'm-1', 'other unreadable': 'm-8'}
    if rows in unreadable:
        platform.unreadable_ids = {unreadable[rows]}
    platform.outcome = _OUTCOMES.BUSY
    context.leader.plan_for(2.0)


@behave.then('the first instance is "{phase}" in the wave')
def step_phase(context, phase):
    wave = context.leader.state.waves.waves_by_number[1]
    assert wave.phases_by_id['m-1'].value == phase, wave


@behave.when('the first instance is missing from {lists}')
def step_missing_from(context, lists):
    context.leader.platform.outcome = _OUTCOMES.BUSY
    missing_by_list = [{'m-1'}]
    if lists == 'two lists with a whole one between':
        missing_by_list += [set(), {'m-1'}]
    for missing in missing_by_list:
        _plan_with_new_list(context.leader, missing)


def _plan_with_new_list(leader, missing):
    leader.platform.missing_ids = missing
    # A list is used for less than a second.
    leader.now += 1.0
    leader.plan()


@behave.when('another instance joins and a wave for it is requested')
def step_join(context):
    leader = context.leader
    leader.platform.outcome = _OUTCOMES.BUSY
    leader.plan_for(2.0)
    leader.platform.names += ('m-3',)
    wave = commands.RequestWave(
        2, (ids.InstanceId('m-3'),), 60.0, 1, leader.now
    )
    leader.run(leader.service.request_wave(wave))
    context.phases = []
    for _ in range(20):
        leader.now += 0.1
        leader.plan()
        wave = leader.state.waves.waves_by_number[2]
        context.phases.append(wave.phases_by_id['m-3'].value)


@behave.then('it is not "{phase}" in its wave')
def step_not_phase(context, phase):
    assert phase not in context.phases, context.phases


@behave.when('another leader takes over {delay_s:d} seconds later')
def step_take_over(context, delay_s):
    context.leader.plan_for(delay_s)
    # Any later command ends the time that counts from the first call.
    wave = commands.RequestWave(2, (), 60.0, 1, context.leader.now)
    context.leader.run(context.leader.service.request_wave(wave))
    context.leader.replica.term += 1
    context.leader.start_leader()
    context.leader.platform.calls.clear()


@behave.then('it sends no call for {duration_s:d} seconds')
def step_quiet(context, duration_s):
    context.leader.plan_for(duration_s)
    assert not context.leader.platform.calls, context.leader.platform.calls


@behave.then('then it repeats the call for the first instance')
def step_repeats(context):
    context.leader.plan_for(1.0)
    calls = context.leader.platform.calls
    assert calls and calls[0][:2] == ('m-1', 2), calls


@behave.when('it loses its lease when the call is about to be sent')
def step_lease_lost(context):
    leader = context.leader
    leader.platform.on_call = lambda: setattr(leader.replica, 'leads', False)
    context.leader.plan_for(0.5)


@behave.then('the call is not permitted')
def step_not_permitted(context):
    assert context.leader.platform.calls == [('m-1', 1, False)]


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

"""Steps for workers that are silent, or whose reports cannot be committed."""

from __future__ import annotations

import asyncio
import dataclasses
from unittest import mock

import behave

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import lost_workers
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import workers
from verbenastream_testing.jobqueue import leader as leaders
from verbenastream_testing.jobqueue import leader_service

_WORKER = ids.WorkerId('w-1')


def _heartbeat(sequence, incarnation=1):
    return leaders.heartbeat(_WORKER, 'm-1', sequence, incarnation)


@behave.given('a leader without waves and a worker that runs a task')
def step_running_task(context):
    context.leader = leader = leader_service.LeaderService()
    context.add_cleanup(leader.loop.close)
    leader.plan()
    service = leader.service
    context.leader.run(
        service.propose(commands.Configure(leaders.configuration(), 0.0)),
    )
    spec = model.JobSpec('spec', (model.Step(1, leaders.CAPACITY, 1.0),))
    command = commands.Submit(leaders.JOB, leaders.QUEUE, spec, leader.now)
    context.leader.run(service.propose(command))
    # The first answer only grants a lease.
    context.leader.run(service.answer_heartbeat(_heartbeat(1)))
    orders = context.leader.run(service.answer_heartbeat(_heartbeat(2)))
    assert len(orders.starts) == 1, orders


@behave.given('another worker that has sent no heartbeat for {age_s:g} s')
def step_other_worker_silent(context, age_s):
    leader = context.leader
    heartbeat = leaders.heartbeat('w-0', 'm-2', 1)
    leader.run(leader.service.answer_heartbeat(heartbeat))
    leader.now += age_s


@behave.when('the worker reports its task')
def step_task_reported(context):
    leader = context.leader
    [(key, number)] = leader.state.runs_by_worker[_WORKER]
    running = (workers.RunReport(key, number),)
    heartbeat = dataclasses.replace(_heartbeat(3), running=running)
    leader.run(leader.service.answer_heartbeat(heartbeat))


def _running_tasks(context):
    return len(context.leader.state.runs_by_worker.get(_WORKER, ()))


@behave.when('the platform lists its instance as {state} {age_s:g} s later')
def step_listed(context, state, age_s):
    platform = context.leader.platform
    platform.missing_ids = set()
    platform.has_unreadable_rows = False
    match state:
        case 'down':
            platform.failed_ids = {'m-1'}
        case 'up with another worker':
            platform.worker_by_id = {'m-1': 'w-2'}
        case 'up with this worker':
            platform.worker_by_id = {'m-1': _WORKER}
        case 'missing':
            platform.missing_ids = {'m-1'}
        case 'missing or unreadable':
            platform.missing_ids = {'m-1'}
            platform.has_unreadable_rows = True
    context.leader.now += age_s
    context.leader.plan()


@behave.when('the platform also lists its instance in {pool} as {state}')
def step_second_row(context, pool, state):
    platform = context.leader.platform
    platform.worker_by_id = {'m-1': _WORKER}
    pool_id = {'its pool': leaders.POOL, 'an unknown pool': 'other'}[pool]
    platform.other_rows = [
        instances.Instance(
            ids.InstanceId('m-1'),
            ids.PoolId(pool_id),
            instances.InstanceState(state),
            'z',
            'r',
            leaders.CAPACITY,
            worker=ids.WorkerId('w-8'),
        )
    ]
    context.leader.now += 2.5
    context.leader.plan()


_SENDERS = {
    'an earlier worker': ('w-0', 0),
    'an earlier worker with its id': (_WORKER, 0),
    'a later worker': ('w-2', 2),
}


@behave.when('a heartbeat of {sender} arrives for its instance')
def step_other_life(context, sender):
    name, incarnation = _SENDERS[sender]
    leader = context.leader
    leader.now += 1.0
    heartbeat = leaders.heartbeat(name, 'm-1', 9, incarnation)
    leader.run(leader.service.answer_heartbeat(heartbeat))


@behave.then('the leader knows {workers_known} on the instance')
def step_known(context, workers_known):
    known = context.leader.service.dispatcher.workers_by_id
    expected = {'the worker': _WORKER, 'the sender': 'w-2'}[workers_known]
    assert list(known) == [expected], known


def _running_heartbeat(leader, sequence):
    runs = leader.state.runs_by_worker[_WORKER]
    running = tuple(workers.RunReport(key, run) for key, run in runs)
    return dataclasses.replace(_heartbeat(sequence), running=running)


@behave.when('a new leader hears of {senders}')
def step_new_leader_hears(context, senders):
    leader = context.leader
    leader.now += 1.0
    leader.replica.term += 1
    leader.start_leader()
    context.senders = senders.removeprefix('only ').split(', then ')
    leader.plan()


@behave.when('a wave of its instance is due while the list shows the worker')
def step_due_wave(context):
    leader = context.leader
    leader.platform.worker_by_id = {'m-1': _WORKER}
    wave = commands.RequestWave(
        1, (ids.InstanceId('m-1'),), 60.0, 1, leader.now
    )
    leader.run(leader.service.request_wave(wave))
    # A new leader takes no instance down while it may not know its worker.
    leader.now += 8.0
    for sender in context.senders:
        if sender == 'the worker':
            heartbeat = _running_heartbeat(leader, 12)
        else:
            heartbeat = leaders.heartbeat('w-0', 'm-1', 9, 0)
        leader.run(leader.service.answer_heartbeat(heartbeat))


@behave.then('the instance is not taken down within {duration_s:g} s')
def step_not_taken_down(context, duration_s):
    leader = context.leader
    end = leader.now + duration_s
    while leader.now < end:
        leader.now += 0.2
        leader.plan()
    assert not leader.platform.calls, leader.platform.calls


@behave.when('a call to maintain its instance is answered as done')
def step_maintained(context):
    leader = context.leader
    leader.platform.outcome = instances.CallOutcome.DONE
    leader.platform.worker_by_id = {'m-1': _WORKER}
    # So soon that the task is not waited for.
    wave = commands.RequestWave(
        1, (ids.InstanceId('m-1'),), 1.0, 1, leader.now
    )
    leader.run(leader.service.request_wave(wave))
    context.sequence = 3
    # Longer than an unknown worker may take to report.
    for _ in range(20):
        _advance(context)
        if leader.platform.calls:
            break
    assert leader.platform.calls


def _advance(context, sends_heartbeat=True):
    leader = context.leader
    leader.now += 0.1
    if sends_heartbeat and leader.state.runs_by_worker.get(_WORKER):
        context.sequence += 1
        heartbeat = _running_heartbeat(leader, context.sequence)
        leader.run(leader.service.answer_heartbeat(heartbeat))
    leader.plan()


@behave.when('the list then shows the instance as {state} for {time_s:g} s')
def step_list_shows(context, state, time_s):
    leader = context.leader
    match state:
        case 'in maintenance':
            leader.platform.down_ids = {'m-1'}
        case 'up with another worker':
            leader.platform.worker_by_id = {'m-1': 'w-2'}
    end = leader.now + time_s
    while leader.now < end - 0.05:
        _advance(context, state == 'up with this worker')


@behave.when('the worker announces its shutdown')
def step_announced(context):
    async def announce():
        context.leader.service.stop_assigning_to(_WORKER)

    context.leader.run(announce())


@behave.then('it may get tasks again')
def step_open(context):
    worker = context.leader.service.dispatcher.find_worker(_WORKER)
    assert worker.is_open


@behave.then('its task {verdict}')
def step_verdict(context, verdict):
    expected = {'runs on': 1, 'waits for another worker': 0}
    assert _running_tasks(context) == expected[verdict]


@behave.when('its next process starts the task again under the same id')
def step_next_process(context):
    leader = context.leader
    context.earlier = leader.service.dispatcher.find_worker(_WORKER)
    for sequence in (1, 2):
        heartbeat = _heartbeat(sequence, incarnation=2)
        leader.run(leader.service.answer_heartbeat(heartbeat))
    assert _running_tasks(context) == 1


@behave.when('the platform answers that the earlier process was taken down')
def step_taken_down(context):
    leader = context.leader
    leader.run(
        leader.service.remove_worker(
            context.earlier, lost_workers.LossReason.TAKEN_DOWN
        )
    )


@behave.when('the log commits nothing while the worker reports an end')
def step_no_commit(context):
    leader = context.leader
    leader.now += 1.0
    [(key, number)] = leader.state.runs_by_worker[_WORKER]
    ended = workers.EndReport(1, key, number, model.EndKind.DONE)
    heartbeat = dataclasses.replace(_heartbeat(3), ended=(ended,))

    async def propose(data):
        await asyncio.Event().wait()

    with mock.patch.object(leader.replica, 'propose', propose):
        context.orders = context.leader.run(
            leader.service.answer_heartbeat(heartbeat)
        )


@behave.then('the answer renews its lease and acknowledges nothing')
def step_lease_renewed(context):
    orders = context.orders
    assert orders is not None and orders.lease_s > 0.0, orders
    assert orders.acknowledged == 0 and not orders.starts, orders
    worker = context.leader.service.dispatcher.workers_by_id[_WORKER]
    assert worker.lease_until > context.leader.now + 5.0, worker.lease_until

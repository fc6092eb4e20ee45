"""Steps for work that goes on while instances or processes are lost."""

from __future__ import annotations

import asyncio
import time

import behave

from verbenastream.process.control import messages
from verbenastream_testing import attempts
from verbenastream_testing import caller_ledger
from verbenastream_testing import load
from verbenastream_testing import samples
from verbenastream_testing import target_settings
from verbenastream_testing import trial

_SERVICE, _ = trial.SAMPLE.services
_TARGET_FAULTS = {
    'fail every request': target_settings.Fault.FAIL,
    'accept and never answer': target_settings.Fault.HANG,
    'answer slowly': target_settings.Fault.SLOW,
    'truncate its responses': target_settings.Fault.TRUNCATE,
    'misreport running work': target_settings.Fault.MISREPORT_RUNNING,
}


@behave.when('the platform reboots "{first}" and "{second}" in turn')
def step_reboot_in_turn(context, first, second):
    async def drain_and_reboot(name):
        await context.trial.operator.notice(
            messages.NoticeRequest(
                id=f'take-{name}', in_s=20.0, for_s=30.0, instances=(name,)
            )
        )

        async def drained():
            state = await context.cluster.target_state(name)
            return not state['pool'] and not state['running']

        await context.trial.until(f'{name} is drained', drained)
        context.drained.append(name)
        await context.cluster.reboot(name)

    async def act():
        await context.trial.wait_answered(50)
        for name in (first, second):
            await drain_and_reboot(name)

    context.drained = []
    context.world.run(act())


@behave.then('both were drained before they went down')
def step_both_drained(context):
    assert len(context.drained) == 2, context.drained


@behave.when('"{first}" and "{second}" are killed together')
def step_kill_rack(context, first, second):
    context.world.run(context.trial.wait_answered(60))
    context.killed = (first, second)
    for name in context.killed:
        context.cluster.kill(name)


@behave.when('they return and "{third}" is killed')
def step_return_and_kill(context, third):
    async def act():
        for name in context.killed:
            context.cluster.start_target(name)
        await context.cluster.processes.wait_ready(context.killed, 20.0)

    context.world.run(act())
    context.cluster.kill(third)


@behave.when('{count:d} requests are sent while each target has its fault')
def step_each_fault(context, count):
    async def act():
        for row in context.table:
            name = row['target']
            behaviour = target_settings.Behaviour(_TARGET_FAULTS[row['fault']])
            await context.cluster.set_behaviour(name, behaviour)
            await context.trial.run_load(trial.Load(count, 100.0))
            healthy = target_settings.Behaviour()
            await context.cluster.set_behaviour(name, healthy)

    context.world.run(act())


@behave.when('{count:d} callers send work of 2 s and all cancel')
def step_cancel_all(context, count):
    async def act():
        customer = trial.SAMPLE.customers[0]
        session = await context.world.session()
        urls = list(context.cluster.balancer.urls_by_entry.values())

        async def call(number):
            work = load.Work(
                f'wave-{number}',
                0.0,
                _SERVICE,
                trial.SAMPLE.short_operation,
                customer,
                samples.caller_key(customer),
                2_000.0,
            )
            url = urls[number % len(urls)]
            await attempts.send(
                session, url, work, f'wave-{number}.0', time.monotonic(), 30.0
            )

        tasks = [
            asyncio.ensure_future(call(number)) for number in range(count)
        ]
        await context.trial.until('work runs', lambda: _any_running(context))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.world.run(act())


async def _any_running(context):
    states = [
        await context.cluster.target_state(name)
        for name in context.cluster.layout.targets_by_id
    ]
    return any(state['running'] for state in states)


@behave.then('the targets are idle and new work is answered')
def step_idle_and_answered(context):
    async def act():
        await context.cluster.wait_idle()
        await context.trial.run_load(trial.Load(60, 100.0))

    context.world.run(act())
    assert not context.trial.unanswered()


@behave.when('two control processes are killed and the leases have expired')
def step_majority_lost(context):
    async def act():
        leader = await context.trial.operator.leader()
        others = [
            name
            for name in context.cluster.layout.controls_by_id
            if name != leader
        ]
        for name in (leader, others[0]):
            context.cluster.kill(name)
        # Leases last 2 s. After that the entries have to coordinate among
        # themselves.
        await asyncio.sleep(2.5)

    context.world.run(act())


@behave.then(
    'unkeyed work is answered and keyed work gets the outcome not-run'
)
def step_without_control(context):
    async def answered():
        return (
            await _send_one(context, keyed=False)
            is caller_ledger.AttemptOutcome.RAN
        )

    async def send_keyed():
        return await _send_one(context, keyed=True)

    context.world.run(context.trial.until('unkeyed work runs', answered))
    told = context.world.run(send_keyed())
    assert told is caller_ledger.AttemptOutcome.NOT_RUN, told


async def _send_one(context, keyed):
    """Send one request to entry-1; return what the caller is told."""
    customer = trial.SAMPLE.customers[0]
    session = await context.world.session()
    context.sent_count = getattr(context, 'sent_count', 0) + 1
    name = f'alone-{context.sent_count}'
    operation = trial.SAMPLE.short_operation
    if keyed:
        operation = trial.SAMPLE.billed_operation
    work = load.Work(
        name,
        0.0,
        _SERVICE,
        operation,
        customer,
        samples.caller_key(customer),
        1.0,
        key=name if keyed else None,
    )
    url = context.cluster.layout.caller_url('entry-1')
    tag = f'{name}.0'
    context.trial.ledger.add(
        caller_ledger.Sent(
            tag, name, 0.0, 'entry-1', _SERVICE, operation, customer, True
        )
    )
    answer = await attempts.send(
        session, url, work, tag, time.monotonic(), 10.0
    )
    context.trial.ledger.add(answer)
    return answer.outcome


@behave.when('every process in data centre "{name}" is killed')
def step_kill_data_centre(context, name):
    context.world.run(context.trial.wait_answered(60))
    for member in context.cluster.processes_in(name):
        context.cluster.kill(member)


@behave.when('every process in data centre "{name}" starts again')
def step_start_data_centre(context, name):
    layout = context.cluster.layout
    context.returned = context.cluster.processes_in(name)
    for member in context.returned:
        if member in layout.controls_by_id:
            context.cluster.start_control(member)
        elif member in layout.entries_by_id:
            context.cluster.start_entry(member)
        else:
            context.cluster.start_target(member)


@behave.then('its entry becomes ready and a new document comes into force')
def step_data_centre_returned(context):
    async def act():
        await context.cluster.processes.wait_ready(context.returned, 30.0)
        await context.trial.submit_without(
            _SERVICE, trial.SAMPLE.long_operation
        )
        await context.trial.wait_in_force(_SERVICE)

    context.world.run(act())

"""Steps for documents in force, pools and availability under faults."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import behave

from verbenastream.process.control import messages
from verbenastream_testing import attempts
from verbenastream_testing import caller_ledger
from verbenastream_testing import faults
from verbenastream_testing import load
from verbenastream_testing import run_ledger
from verbenastream_testing import samples
from verbenastream_testing import target_settings
from verbenastream_testing import trial
from verbenastream_testing import world as worlds

_SERVICE, _SPARE = trial.SAMPLE.services
_WITHDRAWN_CUSTOMER = trial.SAMPLE.customers[0]
# A leaving target may get work for this long.
_LEAVING_LIMIT_S = 3.0
# More at a time than one instance has slots for, so that all get some.
_SPREAD_LOAD = trial.Load(60, 300.0, run_ms=150.0)
_LINK_FAULTS = {
    'all links': faults.SILENT,
    'lost requests': faults.LOST_REQUESTS,
    'lost answers': faults.LOST_ANSWERS,
}
_TARGET_FAULTS = {
    'fail every request': target_settings.Fault.FAIL,
    'accept and never answer': target_settings.Fault.HANG,
    'answer slowly': target_settings.Fault.SLOW,
    'truncate its responses': target_settings.Fault.TRUNCATE,
    'misreport running work': target_settings.Fault.MISREPORT_RUNNING,
}
_REMOVED_OPERATION = trial.SAMPLE.long_operation


def _without_operation(document):
    operations = dict(document.operations)
    del operations[_REMOVED_OPERATION]
    return operations


async def _submit_second(context):
    document = samples.document(trial.SAMPLE, _SERVICE, instances=2)
    await context.trial.submit(
        _SERVICE, instances=2, operations=_without_operation(document)
    )


@behave.when('a second revision is accepted and the control leader is killed')
def step_second_and_kill(context):
    async def act():
        leader = await context.trial.operator.leader()
        await _submit_second(context)
        context.cluster.kill(leader)

    context.world.run(act())


@behave.when('a second revision is accepted')
def step_second_revision(context):
    context.world.run(_submit_second(context))


@behave.then('the second revision is in force')
def step_second_in_force(context):
    context.world.run(context.trial.wait_in_force(_SERVICE))


async def _status_at(
    context, entry, operation, customer=trial.SAMPLE.customers[0]
):
    """Return the status that an entry answers, None if it does not."""
    url = context.cluster.layout.caller_url(entry)
    session = await context.world.session()
    headers = {'Authorization': f'Bearer {samples.caller_key(customer)}'}
    try:
        async with session.post(
            f'{url}/call/{_SERVICE}/{operation}',
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=5.0),
        ) as answer:
            return answer.status
    except (aiohttp.ClientError, asyncio.TimeoutError):
        return None


@behave.then('no entry serves the first revision')
def step_first_not_served(context):
    async def ask():
        for entry in context.cluster.layout.entries_by_id:
            status = await _status_at(context, entry, _REMOVED_OPERATION)
            # 200 would be an answer under the first revision. An entry that
            # is cut off may refuse, but must not serve.
            assert status in (404, 503, None), (entry, status)

    context.world.run(ask())


async def _cut_off(context, role, links):
    leader = await context.trial.operator.leader()
    name = leader
    if role == 'follower':
        controls = context.cluster.layout.controls_by_id
        name = next(control for control in controls if control != leader)
    party = faults.Party(name)
    for link in ((party, faults.ANY), (faults.ANY, party)):
        context.cluster.links.set(*link, _LINK_FAULTS[links])


async def _check_cut(context, role, links, removes):
    """Cut a process off, submit a revision and check what entries serve.

    The revision removes the operation, or adds it again if ``removes`` is
    false.
    """
    await _cut_off(context, role, links)
    if removes:
        await _submit_second(context)
    else:
        await context.trial.submit(_SERVICE, instances=2)
    await context.trial.wait_in_force(_SERVICE)
    outdated_status = 200 if removes else 404
    for healed in (False, True):
        if healed:
            context.cluster.links.heal()
            await context.trial.until(
                'all replicas agree', lambda: _all_agree(context)
            )
        for entry in context.cluster.layout.entries_by_id:
            status = await _status_at(context, entry, _REMOVED_OPERATION)
            assert status != outdated_status, (role, links, entry, status)


@behave.then(
    'after each cut a new revision is in force and no entry serves the old'
)
def step_each_cut(context):
    removes = True
    for row in context.table:
        context.world.run(
            _check_cut(context, row['role'], row['links'], removes)
        )
        removes = not removes


async def _applied_index(context, name):
    """Return the highest index that a control process has applied."""
    session = await context.world.session()
    url = context.cluster.layout.control_url(name)
    async with session.get(f'{url}/metrics') as answer:
        for line in (await answer.text()).splitlines():
            if line.startswith('verbenastream_control_view_index '):
                return float(line.split()[1])
    return None


async def _all_agree(context):
    indices = {
        await _applied_index(context, name)
        for name in context.cluster.layout.controls_by_id
    }
    return len(indices) == 1 and None not in indices


@behave.when(
    '{count:d} operators submit under the same base revision and each '
    'resends twice'
)
def step_operators(context, count):
    async def operate(number):
        document = samples.document(
            trial.SAMPLE, _SERVICE, instances=2, headroom=0.01 * number
        )
        return [
            await context.trial.operator.submit(document, 1, f'op-{number}')
            for _ in range(3)
        ]

    async def act():
        return await asyncio.gather(
            *(operate(number) for number in range(count))
        )

    context.answers = context.world.run(act())


@behave.then(
    'exactly {accepted:d} is accepted and {conflicts:d} get a conflict with '
    'the difference'
)
def step_one_accepted(context, accepted, conflicts):
    first_answers = [answers[0] for answers in context.answers]
    statuses = [status for status, _ in first_answers]
    assert statuses.count(200) == accepted, statuses
    assert statuses.count(409) == conflicts, statuses
    for status, answer in first_answers:
        if status == 409:
            assert answer['result']['difference'], answer


@behave.then('each resend got the first answer')
def step_resends(context):
    for answers in context.answers:
        assert all(answer == answers[0] for answer in answers), answers


@behave.when('a control follower and "{entry}" are killed')
def step_kill_follower(context, entry):
    async def act():
        leader = await context.trial.operator.leader()
        controls = context.cluster.layout.controls_by_id
        context.follower = next(
            control for control in controls if control != leader
        )

    context.world.run(act())
    context.entry = entry
    context.cluster.kill(context.follower)
    context.cluster.kill(entry)


@behave.when('{count:d} revisions are submitted')
def step_submit_revisions(context, count):
    async def act():
        for number in range(count - 1):
            await context.trial.submit(
                _SERVICE, instances=2, headroom=0.001 * (number % 100)
            )
        await _submit_second(context)

    context.world.run(act())


@behave.when('both start again')
def step_both_start(context):
    context.cluster.start_control(context.follower)
    context.cluster.start_entry(context.entry)


@behave.then('both apply the last revision')
def step_both_apply(context):
    async def applied():
        return (
            await _status_at(context, context.entry, _REMOVED_OPERATION) == 404
        )

    async def ready():
        await context.cluster.processes.wait_ready([context.follower], 20.0)

    context.world.run(ready())
    context.world.run(context.trial.until('the entry applies', applied))
    context.world.run(
        context.trial.until('all replicas agree', lambda: _all_agree(context))
    )


@behave.then('the killed follower and one other replica form a majority')
def step_majority_with_follower(context):
    async def act():
        context.cluster.kill(await context.trial.operator.leader())
        await context.trial.submit(_SERVICE, instances=2)

    context.world.run(act())


@behave.when(
    'the key of a customer is withdrawn and the target "{target}" leaves'
)
def step_withdraw_key(context, target):
    async def act():
        document = samples.document(trial.SAMPLE, _SERVICE, instances=2)
        customers = dict(document.customers)
        del customers[_WITHDRAWN_CUSTOMER]
        await context.trial.submit(_SERVICE, instances=2, customers=customers)
        await context.cluster.leave(target)
        await context.trial.wait_in_force(_SERVICE)
        # No new work may arrive after this time.
        await asyncio.sleep(_LEAVING_LIMIT_S)
        context.left_at = time.monotonic()

    context.world.run(act())


@behave.when('all control processes and entries are killed and start again')
def step_restart_all(context):
    layout = context.cluster.layout
    for name in (*layout.controls_by_id, *layout.entries_by_id):
        context.cluster.kill(name)
    for name in layout.controls_by_id:
        context.cluster.start_control(name)
    for name in layout.entries_by_id:
        context.cluster.start_entry(name)


async def _accepting_entries(context, customer):
    statuses = {
        entry: await _status_at(context, entry, _REMOVED_OPERATION, customer)
        for entry in context.cluster.layout.entries_by_id
    }
    return {entry for entry, status in statuses.items() if status == 200}


@behave.then(
    'every entry accepts the key of another customer within {limit_s:g} s'
)
def step_other_key(context, limit_s):
    entries = set(context.cluster.layout.entries_by_id)
    other = trial.SAMPLE.customers[1]

    async def all_accept():
        return await _accepting_entries(context, other) == entries

    async def act():
        await worlds.until('all entries accept', all_accept, limit_s)

    context.world.run(act())


@behave.then('no entry accepts the withdrawn key for {duration_s:g} s')
def step_withdrawn_key(context, duration_s):
    async def act():
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            accepting = await _accepting_entries(context, _WITHDRAWN_CUSTOMER)
            assert not accepting, accepting
            await asyncio.sleep(0.1)

    context.world.run(act())


@behave.then('"{target}" has started no work since')
def step_no_work_since(context, target):
    late = [
        event
        for event in context.cluster.runs()
        if event.kind is run_ledger.RunEventKind.START
        and event.instance == target
        and event.at > context.left_at
    ]
    assert not late, late


@behave.when('a document asks for data centres that do not exist')
def step_unknown_data_centres(context):
    document = samples.document(
        trial.SAMPLE, _SERVICE, instances=2, data_centres=('nowhere-1',)
    )
    context.answer = context.world.run(
        context.trial.operator.submit(document, 1)
    )


@behave.then('it is accepted with a warning that names them')
def step_accepted_with_warning(context):
    # Instances may still be starting up to 30 s after a change of the fleet,
    # so the document is not rejected.
    status, answer = context.answer
    assert status == 200, context.answer
    assert any('nowhere-1' in warning for warning in answer['warnings']), (
        answer
    )


async def _pools(context):
    return await context.cluster.pools()


@behave.when('an instance changes pools while the control leader is killed')
def step_change_pool(context):
    async def act():
        await context.trial.wait_answered(60)
        await context.trial.until(
            'every instance runs work of its pool',
            lambda: _all_run_work(context),
        )
        before = await _pools(context)
        for service, count in ((_SPARE, 1), (_SERVICE, 4)):
            await context.trial.submit(service, instances=count)
        context.cluster.kill(await context.trial.operator.leader())

        async def moved():
            now = await _pools(context)
            return any(
                pool == _SERVICE and before.get(name, pool) != pool
                for name, pool in now.items()
            )

        await context.trial.until('an instance has moved', moved)

        async def ran_both_pools():
            await context.trial.run_load(_SPREAD_LOAD)
            return _any_ran_both_pools(context)

        await context.trial.until(
            'it runs work of its new pool', ran_both_pools
        )

    context.world.run(act())


async def _all_run_work(context):
    """Whether any instance that moves will have run work of its old pool."""
    await context.trial.run_load(_SPREAD_LOAD)
    pools_by_instance = _pools_by_instance(context)
    return all(
        pool in pools_by_instance.get(name, ())
        for name, pool in (await _pools(context)).items()
    )


def _pools_by_instance(context):
    """Return the pools of which each instance has started work."""
    pools_by_instance = {}
    for event in context.cluster.runs():
        if event.kind is run_ledger.RunEventKind.START:
            pools_by_instance.setdefault(event.instance, set()).add(event.pool)
    return pools_by_instance


def _any_ran_both_pools(context):
    return any(
        len(pools) == 2 for pools in _pools_by_instance(context).values()
    )


@behave.then('an instance ran work of both pools')
def step_both_pools(context):
    assert _any_ran_both_pools(context)


@behave.when(
    'a serving target is paused until it was replaced and then resumed'
)
def step_replace_paused_target(context):
    async def act():
        await context.trial.wait_answered(60)
        name = sorted(await _pools(context))[0]
        context.cluster.pause(name)

        async def lost():
            status = await context.trial.operator.status()
            return status.instances_by_state.get('lost', 0) == 1

        await context.trial.until(f'{name} counts as lost', lost)
        context.cluster.resume(name)

    context.world.run(act())


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
        await _submit_second(context)
        await context.trial.wait_in_force(_SERVICE)

    context.world.run(act())


@behave.when('each message to control is delivered twice')
def step_deliver_twice(context):
    async def act():
        links = context.cluster.links
        controls = context.cluster.layout.controls_by_id
        duplicate = faults.LinkFaults(forward=faults.Faults(duplicate=True))
        # The proxy duplicates a connection from its first byte or not at all,
        # so open connections are closed first.
        close = faults.LinkFaults(forward=faults.Faults(close_after_bytes=1))
        for fault in (close, duplicate):
            for name in controls:
                links.set(faults.ANY, faults.Party(name), fault)
            await asyncio.sleep(0.6)

    context.world.run(act())

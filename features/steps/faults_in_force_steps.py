"""Steps for documents in force and keys under faults."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import behave

from verbenastream_testing import faults
from verbenastream_testing import run_ledger
from verbenastream_testing import samples
from verbenastream_testing import trial
from verbenastream_testing import world as worlds

_SERVICE, _ = trial.SAMPLE.services
_WITHDRAWN_CUSTOMER = trial.SAMPLE.customers[0]
# A leaving target may get work for this long.
_LEAVING_LIMIT_S = 3.0
_LINK_FAULTS = {
    'all links': faults.SILENT,
    'lost requests': faults.LOST_REQUESTS,
    'lost answers': faults.LOST_ANSWERS,
}
_REMOVED_OPERATION = trial.SAMPLE.long_operation


async def _submit_second(context):
    await context.trial.submit_without(_SERVICE, _REMOVED_OPERATION)


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

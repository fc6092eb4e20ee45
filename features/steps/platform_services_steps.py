"""Steps for the clients of the platform's services."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

from aiohttp import web
import behave

from verbenastream import ids
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import permissions

_PLATFORM_FOLDER = str(
    pathlib.Path(__file__).parent.parent.parent / 'platform'
)
if _PLATFORM_FOLDER not in sys.path:
    sys.path.append(_PLATFORM_FOLDER)

from verbena_platform import advice  # noqa: E402
from verbena_platform import machines  # noqa: E402

_HOST = '127.0.0.1'
_CLOSED_PORT = 1


async def _answer(behaviour, request):
    if behaviour == 'closes the connection':
        request.transport.abort()
        return web.Response()
    if behaviour == 'malformed rows':
        return web.Response(body=_ROWS.encode())
    if isinstance(behaviour, list):
        page = int(request.query.get('PageToken', '0'))
        token = str(page + 1) if page + 1 < len(behaviour) else ''
        return web.json_response(
            {
                'Machines': behaviour[page],
                'NextToken': token,
                'Good': [['w-1', 'ticket']],
            }
        )
    if isinstance(behaviour, bytes):
        return web.Response(body=behaviour)
    if behaviour in _UNREADABLE_ROWS:
        return web.Response(body=_rows_with(_UNREADABLE_ROWS[behaviour]))
    _, status, *malformed = behaviour.split()
    body = b'{"' if malformed else b'{}'
    return web.Response(status=int(status), body=body)


async def _with_service(behaviour, call):
    """Return what ``call`` returns for the address of the service."""
    if behaviour == 'does not listen':
        return await call(f'{_HOST}:{_CLOSED_PORT}')
    app = web.Application()

    async def answer(request):
        return await _answer(behaviour, request)

    app.router.add_route('*', '/{path:.*}', answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, _HOST, 0)
    await site.start()
    try:
        port = runner.addresses[0][1]
        return await call(f'{_HOST}:{port}')
    finally:
        await runner.cleanup()


@behave.given('a service that {behaviour}')
def step_service(context, behaviour):
    context.behaviour = behaviour


@behave.when('an instance is moved')
def step_move(context):
    async def call(address):
        client = machines.MachinesClient(address)
        try:
            return await client.move(
                ids.InstanceId('m-1'),
                ids.PoolId('pool-a'),
                instances.FencedCaller('node-1', 7),
            )
        finally:
            await client.close()

    context.outcome = asyncio.run(_with_service(context.behaviour, call))


@behave.then('the outcome is "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome.value == outcome, context.outcome


@behave.when('the instances are listed and the policy is asked')
def step_ask(context):
    async def call(address):
        machines_client = machines.MachinesClient(address)
        advice_client = advice.AdviceClient(address)
        step = permissions.StepKey(ids.JobId('j'), 0, 0)
        question = permissions.TicketRequest(step, (ids.WorkerId('w'),), 1.0)
        try:
            return (
                await machines_client.list_instances(lambda pool: pool == 'p'),
                await advice_client.request_tickets(question),
            )
        finally:
            await machines_client.close()
            await advice_client.close()

    context.answers = asyncio.run(_with_service(context.behaviour, call))


@behave.then('there is neither a list nor an answer')
def step_neither(context):
    assert context.answers == (None, None), context.answers


def _row(machine='m-1', **fields):
    """Return a whole row of the list of machines."""
    row = {
        'Machine': machine,
        'Pool': 'p',
        'State': 'up',
        'Zone': 'z',
        'Labels': ['a', 'r1'],
        'Capacity': {'Cpu': 16000, 'MemMb': 1000, 'Gpu': 0},
        'Id': 'w-1',
    }
    return {**row, **fields}


_ROWS = json.dumps(
    {
        'Machines': [_row(5), _row('m-0', State='lost'), 'm-9', _row()],
        'Good': [['w', 5], 'w-9', ['w-1', 'ticket']],
    }
)


_UNREADABLE_ROWS = {
    '5000 nested lists': b'[' * 5000 + b']' * 5000,
    '100000 nested objects': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'a valid row around 5000 nested lists': (
        b'{"Machine":"m-8","Pool":"p","State":"up","Other":"]\\"",'
        b'"More":' + b'[' * 5000 + b']' * 5000 + b'}'
    ),
    'an escape of half a character': (
        b'{"Machine":"\\ud800","Pool":"p","State":"up"}'
    ),
    'a string of bytes that are not UTF-8': (
        b'{"Machine":"\xff","Pool":"p","State":"up"}'
    ),
    'a number that JSON does not have': (
        b'{"Machine":"m-8","Pool":"p","State":"up","Capacity":{"Cpu":NaN}}'
    ),
}


def _rows_with(row):
    return (
        b'{"Machines":[%b,%b],"Good":[["w-1","ticket"],%b],"NextToken":""}'
        % (row, json.dumps(_row()).encode(), row)
    )


async def _with_answer(body, call):
    """Run ``call`` with the address of a service that answers ``body``."""
    paths = []

    async def answer(request):
        paths.append(request.path)
        return web.Response(body=body.encode())

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, _HOST, 0).start()
    try:
        await call(f'{_HOST}:{runner.addresses[0][1]}')
    finally:
        await runner.cleanup()
    return paths


@behave.given('a service whose lists have malformed rows')
def step_malformed_rows(context):
    context.behaviour = 'malformed rows'


@behave.given('a service whose lists have a row with {content}')
def step_unreadable_row(context, content):
    context.behaviour = content


@behave.given(
    'a service whose lists have an instance with {cores} thousandths'
)
def step_odd_capacity(context, cores):
    row = json.dumps(_row('m-8', Capacity={'Cpu': 0.5, 'MemMb': 1, 'Gpu': 0}))
    context.behaviour = _rows_with(
        row.replace('0.5', cores).encode(),
    )


@behave.then('the valid rows are used')
def step_valid_rows(context):
    listing, tickets = context.answers
    assert listing is not None and list(listing.by_id) == ['m-1'], listing
    assert listing.has_unreadable_rows
    assert tickets == {'w-1': 'ticket'}, tickets


@behave.then('the valid rows are used and "{id}" counts as unreadable')
def step_unreadable_id(context, id):
    listing, tickets = context.answers
    assert listing is not None and list(listing.by_id) == ['m-1'], listing
    assert not listing.has_unreadable_rows, listing
    assert listing.unreadable_ids == {id}, listing
    assert tickets == {'w-1': 'ticket'}, tickets


@behave.given('a policy that was asked about one worker')
def step_asked(context):
    step = permissions.StepKey(ids.JobId('j'), 0, 0)
    context.request = permissions.TicketRequest(
        step, (ids.WorkerId('w-1'),), 10.0
    )
    context.permissions = permissions.Permissions()


@behave.when('it answers with tickets for that worker and for another one')
def step_unknown_ticket(context):
    tickets = {ids.WorkerId('w-1'): 'a', ids.WorkerId('w-8'): 'b'}
    context.permissions.record_answer(context.request, tickets, 1.0)


@behave.then('only that worker has a ticket')
def step_one_ticket(context):
    found = [
        context.permissions.ticket(context.request.step, worker, 1.0)
        for worker in (ids.WorkerId('w-1'), ids.WorkerId('w-8'))
    ]
    assert found == ['a', None], found


_ODD_VALUES = {
    'a null Id': {'Id': None},
    'a null Zone': {'Zone': None},
    'a list as Pool': {'Pool': ['p']},
    'a Cpu of "1"': {'Capacity': {'Cpu': '1', 'MemMb': 1, 'Gpu': 0}},
    'an unknown pool': {'Pool': 'other'},
    'an unknown state': {'State': 'gone'},
}


def _odd_row(machine, odd):
    """Return a row that says that the machine is down, without a worker."""
    row = _row(machine, State='down', Id='')
    if odd in _ODD_VALUES:
        return {**row, **_ODD_VALUES[odd]}
    del row[odd.removeprefix('no ')]
    return row


@behave.given('a listed instance and {place} a row of it with {odd}')
def step_odd_row(context, place, odd):
    row, odd_row = _row(), _odd_row('m-1', odd)
    context.behaviour = {
        'before it': [[odd_row, row]],
        'after it': [[row, odd_row]],
        'on the next page': [[row], [odd_row]],
    }[place]


@behave.then('the row of the platform holds')
def step_row_holds(context):
    listing, _ = context.answers
    [instance] = listing.by_id.values()
    assert instance.worker == 'w-1', instance
    assert instance.state is instances.InstanceState.UP, instance
    assert not listing.has_unreadable_rows, listing


@behave.given('a list with only a row of "{machine}" with {odd}')
def step_only_odd_row(context, machine, odd):
    context.behaviour = [[_row(), _odd_row(machine, odd)]]


_STATES_BY_ROWS = {
    'the same': ('up', 'up'),
    'up and then down': ('up', 'down'),
    'up and then in upkeep': ('up', 'upkeep'),
}


@behave.given('a list with "{machine}" twice {place}, {rows}')
def step_listed_twice(context, machine, place, rows):
    first, second = (
        _row(machine, State=state) for state in _STATES_BY_ROWS[rows]
    )
    context.behaviour = {
        'on one page': [[first, second]],
        'on two pages': [[first], [second]],
    }[place]


@behave.then('"{machine}" is listed')
def step_listed(context, machine):
    listing, _ = context.answers
    assert list(listing.by_id) == [machine], listing


@behave.then('"{machine}" is unreadable')
def step_unreadable(context, machine):
    listing, _ = context.answers
    assert not listing.by_id and listing.may_include(machine), listing


@behave.given('a service with a record of its calls')
def step_recording_service(context):
    context.calls = []


@behave.when('an instance is moved with a permission that ends {moment}')
def step_move_without_permission(context, moment):
    async def call(address):
        client = machines.MachinesClient(address)
        permitted = [True]

        async def move():
            return await client.move(
                ids.InstanceId('m-1'),
                ids.PoolId('pool-a'),
                instances.FencedCaller('node-1', 7, lambda: permitted[0]),
            )

        try:
            if moment == 'before the second call':
                assert await move() is instances.CallOutcome.DONE
            permitted[0] = False
            context.outcome = await move()
        finally:
            await client.close()

    context.paths = asyncio.run(_with_answer('{}', call))
    context.expected_calls = int(moment == 'before the second call')


@behave.then('the outcome is "not_sent" and the service got no call')
def step_not_sent(context):
    assert context.outcome is instances.CallOutcome.NOT_SENT, context.outcome
    assert len(context.paths) == context.expected_calls, context.paths

"""Steps for the adapter in platform/."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import re
import subprocess
import sys
import tempfile

from aiohttp import web
import behave

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import sizing
from verbenastream.process.jobqueue import workers
from verbenastream.process import metrics
from verbenastream.process.node import config
from verbenastream.process.node import messages
from verbenastream.process.node import service
from verbenastream.process import settings
from verbenastream_testing import local_replicator

_ROOT = pathlib.Path(__file__).parent.parent.parent
_PLATFORM_FOLDER = str(_ROOT / 'platform')
if _PLATFORM_FOLDER not in sys.path:
    sys.path.append(_PLATFORM_FOLDER)

from verbena_platform import api  # noqa: E402
from verbena_platform import main  # noqa: E402
from verbena_platform import settings as platform_settings  # noqa: E402
from verbena_platform import workers as worker_messages  # noqa: E402

# Names that only the platform's documentation uses. Ordinary words such as
# Version or Zone are left out, as the product may use them as well.
_WIRE_NAMES = (
    'PathPrefix',
    'SloMs',
    'HoldMs',
    'SeenUpto',
    'RetryMs',
    'DependsOn',
    'EstMs',
    'MemMb',
    'MaxPerServer',
    'LongRunning',
    'MayMiss',
    'DataRack',
    'RackLocal',
    'AdmissionCheck',
    'HeartbeatAddr',
    'Duty-Holder',
    'Fencing-Token',
    'wave-start',
    'machine-upkeep',
    'PortRange',
    'InTolerance',
    'VERBENASTREAM_CONFIG',
)


@behave.when("a program in the repository's root imports platform")
def step_import_platform(context):
    code = 'import platform; print(platform.python_version())'
    context.run = subprocess.run(
        [sys.executable, '-c', code],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


@behave.then("it gets the standard library's module")
def step_standard_module(context):
    assert re.match(r'\d+\.\d+', context.run.stdout), context.run.stderr


@behave.when('the sources outside platform/ are searched for wire names')
def step_search(context):
    context.occurrences = []
    for folder in ('verbenastream', 'verbenastream_testing', 'bench'):
        for path in (_ROOT / folder).rglob('*.py'):
            text = path.read_text()
            for name in _WIRE_NAMES:
                if name in text:
                    context.occurrences.append(f'{path.name}: {name}')


@behave.then('none is found')
def step_none_found(context):
    assert not context.occurrences, context.occurrences


def _route(**fields):
    route = {
        'Name': 'r-a',
        'Host': 'h',
        'PathPrefix': '/a/',
        'Service': 's',
        'TimeoutMs': 3000,
    }
    return {**route, **fields}


def _configuration(version=1, routes=None):
    return json.dumps(
        {
            'Version': version,
            'Routes': routes or [_route()],
            'Services': [{'Name': 's', 'Other': 5}],
            'Limits': {'MaxBodyBytes': 20_000},
        }
    ).encode()


def _job(spec='text', **fields):
    step = {'Count': 2, 'Cpu': 500, 'MemMb': 256, **fields}
    return json.dumps({'Spec': spec, 'Steps': [step]}).encode()


def _heartbeat(**fields):
    heartbeat = {
        'Service': 's',
        'Addr': '10.0.0.1:1',
        'Zone': 'z',
        'Version': 'v1',
        'Slots': 8,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Seq': 1,
        'born': 5,
        'Capacity': {'Cpu': 16000, 'MemMb': 1000, 'Gpu': 0},
        'Labels': ['a', 'r1'],
        'Machine': 'm-1',
        'Running': [['00000000000000aa.0.0.0', 1, 'x', 41, 7]],
        'Ended': [],
    }
    return json.dumps({**heartbeat, **fields}).encode()


_BODIES = {
    'nothing': b'',
    'no JSON': b'\xff{',
    'a job': _job(),
    'a job without steps': b'{"Spec":"x","Steps":[]}',
    'a step without count': b'{"Spec":"x","Steps":[{"Cpu":5}]}',
    'a step after itself': _job(DependsOn=[0]),
    'a negative need': _job(Cpu=-1),
    'a need of 400 digits': _job(Cpu=10**400),
    'an estimate that sums to infinity': _job(
        Count=15_000, Cpu=16_000, EstMs=1e308
    ),
    'an estimate below 0': _job(EstMs=-1),
    'a very long spec': _job('x' * 4001),
    'far too many tasks': _job(Count=10**7),
    'more than the limit': b' ' * 20_001,
    'a heartbeat': _heartbeat(),
    'a heartbeat in no known state': _heartbeat(State='lost'),
    'a heartbeat without a pool': _heartbeat(Service=None),
    'a heartbeat with broken rows': _heartbeat(Running=[['x']]),
    'an unknown service': _configuration(2, [_route(Service='t')]),
    'two routes with one prefix': _configuration(
        2, [_route(), _route(Name='r-b')]
    ),
    'a timeout of 0': _configuration(2, [_route(TimeoutMs=0)]),
    'a truncated configuration': _configuration(2)[:-30],
    'a configuration': _configuration(2),
}


async def _open_api(is_configured=True):
    replica = local_replicator.LocalReplicator('n1', None)
    limits = config.JobLimits()
    state = service.states.JobQueueState()
    replica._machine = state
    jobs = service.JobService(state, replica, limits, metrics.Metrics())
    await jobs.leader.update()
    platform_api = api.PlatformApi(jobs, '10.0.0.9:1')
    if is_configured:
        await platform_api.handle(_call('PUT', '/config', _configuration()))
    return platform_api, replica


def _call(method, path, body=b''):
    front = path.startswith(('/a/', '/none/'))
    listener = api.FRONT if front else api.CONTROL
    return messages.RelayedCall(listener, method, 'h', path, body)


def _get_api(context):
    if not hasattr(context, 'platform_api'):
        context.loop = asyncio.new_event_loop()
        context.platform_api, context.replica = (
            context.loop.run_until_complete(_open_api())
        )
        context.add_cleanup(context.loop.close)
    return context.platform_api


def _handle(context, method, path, body=b''):
    platform_api = _get_api(context)
    return context.loop.run_until_complete(
        platform_api.handle(_call(method, path, body))
    )


@behave.given('a leader that sizes its pools')
def step_sizing_leader(context):
    jobs = _get_api(context)._service
    context.sizer = sizing.PoolSizer(jobs.state, jobs.dispatcher)
    _size_pools(context, 0.0)


def _size_pools(context, after_s):
    body = _heartbeat(Running=[], Machine='m-9', Seq=int(after_s) + 1)
    assert _handle(context, 'PUT', '/instances/i-9', body).status == 200
    now = clock.boot_time() + after_s
    context.sizer.plan(instances.Listing(now, {}), set(), now)


@behave.then('the leader still sizes its pools')
def step_pools_sized(context):
    _size_pools(context, 1.0)


@behave.when('the leader gets {method} {path} with {body}')
def step_call(context, method, path, body):
    context.reply = _handle(context, method, path, _BODIES[body])


@behave.then('it answers {status:d}')
def step_status(context, status):
    assert context.reply.status == status, context.reply


@behave.then('the answer is the text that was sent')
def step_same_text(context):
    assert context.reply.status == 200
    assert context.reply.body == _BODIES['a configuration']


@behave.given('a node that has lost its leadership')
def step_lost_leadership(context):
    _get_api(context)
    context.replica.leads = False


@behave.when('it gets a read of a job, a queue and the configuration')
def step_reads(context):
    context.replies = [
        _handle(context, 'GET', path)
        for path in ('/a/00000000000000cd', '/a/', '/config', '/wave-get/1')
    ]


@behave.then('each is left to the leader')
def step_left_to_leader(context):
    assert context.replies == [None] * 4, context.replies


@behave.when('orders with a start, a stop and a pace are encoded')
def step_encode_orders(context):
    key = model.TaskKey(ids.JobId('00000000000000aa'), 0, 1, 2)
    orders = workers.Orders(
        4.0,
        7,
        58,
        (workers.StartOrder(key, 3, 'text', 'cp'),),
        ((key, 2),),
        ((key, 2, 40),),
        0.2,
    )
    context.answer = json.loads(worker_messages.encode(orders, '10.0.0.9:1'))


@behave.then('the answer has the documented rows')
def step_rows(context):
    name = '00000000000000aa.0.1.2'
    assert context.answer == {
        'HeartbeatAddr': '10.0.0.9:1',
        'HoldMs': 4000,
        'Fence': 7,
        'SeenUpto': 58,
        'Start': [[name, 3, 'text', 'cp']],
        'Stop': [[name, 2]],
        'Pace': [[name, 2, 40]],
        'RetryMs': 200,
    }


_SETTINGS = {
    'no JSON': b'\xff{',
    '5000 nested lists': b'{"Other":%b%b}' % (b'[' * 5000, b']' * 5000),
}


@behave.when('a settings file with {content} is read')
def step_read_settings(context, content):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'local.json'
        path.write_bytes(_SETTINGS[content])
        try:
            platform_settings.PlatformSettings.load(path)
        except Exception as error:
            context.error = error


@behave.then('it is rejected with the error that the node reports')
def step_settings_rejected(context):
    assert isinstance(context.error, ValueError), repr(context.error)


# Damaged bodies.

_WAVE = {'Wave': 1, 'Machines': ['m-1'], 'DeadlineS': 20, 'UpperBound': 1}
_DAMAGED = {
    'heartbeats': ('PUT', '/instances/i-1', _heartbeat()),
    'jobs': ('POST', '/a/00000000000000ab', _job(EstMs=900, DependsOn=[])),
    'configurations': ('PUT', '/config', _configuration(2)),
    'maintenance waves': ('POST', '/wave-start', json.dumps(_WAVE).encode()),
}
_VALUES = (
    None,
    True,
    -1,
    0,
    2**31,
    2**63,
    10**400,
    -(10**400),
    0.5,
    -1e308,
    1e308,
    '',
    'x' * 5000,
    '\ud83d\ude00',
    'nan',
    'inf',
    [],
    {},
    [[]],
    [None],
    {'a': [1]},
)


def _paths(value, prefix=()):
    """Yield the paths of all values in a decoded JSON document."""
    yield prefix
    children = []
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        yield from _paths(child, (*prefix, key))


def _replace(value, path, replacement):
    if not path:
        return replacement
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = _replace(copy[path[0]], path[1:], replacement)
    return copy


def _damage(rng, body):
    kind = rng.randrange(10)
    if kind == 0:
        return body[: rng.randrange(len(body))]
    if kind == 1:
        position = rng.randrange(len(body))
        return body[:position] + rng.randbytes(3) + body[position + 1 :]
    if kind == 2:
        return b'[' * 50_000
    document = json.loads(body)
    for _ in range(rng.randint(1, 3)):
        path = rng.choice(list(_paths(document)))
        document = _replace(document, path, rng.choice(_VALUES))
        if not isinstance(document, (dict, list)):
            break
    return json.dumps(document).encode()


@behave.when('{count:d} damaged {kind} reach the leader')
def step_damaged(context, count, kind):
    method, path, body = _DAMAGED[kind]
    rng = random.Random(context.seed)
    context.statuses = {}
    for number in range(count):
        damaged = _damage(rng, body)
        own_path = path
        if kind == 'jobs':
            own_path = f'/a/{number:016x}'
        try:
            reply = _handle(context, method, own_path, damaged)
        except Exception as error:
            raise AssertionError(f'{error!r} for {damaged[:300]}') from error
        context.statuses.setdefault(reply.status, damaged[:300])


@behave.then('each gets an answer that is not an internal error')
def step_no_internal_error(context):
    assert set(context.statuses) <= {200, 400, 404, 413, 429}, context.statuses
    assert 400 in context.statuses, context.statuses


@behave.then('a job and a heartbeat of another worker are handled as usual')
def step_handled_as_usual(context):
    reply = _handle(context, 'PUT', '/config', _configuration(2**60))
    assert reply.status == 200, reply
    body = _heartbeat(Running=[], Machine='m-9', Labels=['a', 'r9'])
    assert _handle(context, 'PUT', '/instances/i-9', body).status == 200
    assert _handle(context, 'POST', f'/a/{"f" * 16}', _job()).status == 200
    body = _heartbeat(Running=[], Machine='m-9', Seq=2)
    reply = _handle(context, 'PUT', '/instances/i-9', body)
    assert reply.status == 200 and b'HoldMs' in reply.body, reply
    assert _handle(context, 'GET', f'/a/{"f" * 16}').status == 200


_RUNNING_JOB = '0' * 15 + '7'


@behave.given('a worker that runs the two tasks of a job')
def step_two_tasks(context):
    body = _heartbeat(Running=[])
    assert _handle(context, 'PUT', '/instances/i-1', body).status == 200
    path = f'/a/{_RUNNING_JOB}'
    assert _handle(context, 'POST', path, _job(Count=2)).status == 200
    body = _heartbeat(Running=[], Seq=2)
    reply = _handle(context, 'PUT', '/instances/i-1', body)
    assert len(json.loads(reply.body)['Start']) == 2, reply


@behave.when('a heartbeat under its id lists the end of {name}')
def step_list_end(context, name):
    name = name.replace('JOB', _RUNNING_JOB).replace('9x400', '9' * 400)
    row = [1, name, 1, 'done', '']
    running = [[f'{_RUNNING_JOB}.0.0.{i}', 1, '', 5] for i in range(2)]
    body = _heartbeat(Running=running, Ended=[row], Seq=3)
    if name == '5000 nested lists':
        body = body.replace(
            json.dumps(name).encode(), b'[' * 5000 + b']' * 5000
        )
    context.reply = _handle(context, 'PUT', '/instances/i-1', body)


@behave.then('it is rejected and no task is done')
def step_not_done(context):
    jobs = context.platform_api._service.state.jobs_by_id
    phases = [task.phase for task in jobs[_RUNNING_JOB].tasks[0][0]]
    assert model.TaskPhase.DONE not in phases, phases
    assert context.reply.status == 400, context.reply


@behave.given('a worker that runs a task')
def step_worker_with_run(context):
    body = _heartbeat(Running=[])
    assert _handle(context, 'PUT', '/instances/i-1', body).status == 200
    path = f'/a/{_RUNNING_JOB}'
    assert _handle(context, 'POST', path, _job(Count=1)).status == 200
    body = _heartbeat(Running=[], Seq=2)
    reply = _handle(context, 'PUT', '/instances/i-1', body)
    assert json.loads(reply.body)['Start'], reply


class _LeaderClient:
    """Passes calls to an API in this process."""

    def __init__(self, platform_api):
        self._platform_api = platform_api

    async def call_raw(self, peer, path, body, timeout_s):
        call = messages.decode_relayed(body, messages.RelayedCall)
        reply = await self._platform_api.handle(call)
        return messages.encode_relayed(reply)


@behave.given('a node that leads')
def step_leading_node(context):
    _open_node(context, leads=True)


@behave.given('a node that passes calls to a leader')
def step_passing_node(context):
    _open_node(context, leads=False)


def _open_node(context, leads):
    config = platform_settings.PlatformSettings(
        'n1', '127.0.0.1', 'z', 'r', platform_settings._Listen(), (7060, 7061)
    )
    node = main.PlatformNode(config, pathlib.Path(__file__))
    directory = node.node.directory
    directory.leader = directory.own_peer
    if leads:
        node.node.relay.handler = _get_api(context).handle
    else:
        directory.leader = settings.Peer('127.0.0.2', 7060)
        node.node.relay._client = _LeaderClient(_get_api(context))
    context.node = node


@behave.when('it gets a call with a host that is not UTF-8')
def step_odd_host(context):
    context.status = context.loop.run_until_complete(
        _send_odd_host(context.node._application(api.FRONT))
    )


async def _send_odd_host(app):
    """Return the status line of the answer."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    try:
        reader, writer = await asyncio.open_connection(*runner.addresses[0])
        writer.write(b'GET /a/00000000000000ab HTTP/1.1\r\nHost: \xff\r\n\r\n')
        status = await reader.readline()
        writer.close()
        return status
    finally:
        await runner.cleanup()


@behave.then('the call is answered with {status:d}')
def step_call_status(context, status):
    assert f' {status} '.encode() in context.status, context.status


_ODD_FIELDS = {
    'the port 65536': {'Addr': '10.0.0.1:65536'},
    'the port 0': {'Addr': '10.0.0.1:0'},
    'the port -1': {'Addr': '10.0.0.1:-1'},
    'a port of 40 digits': {'Addr': '10.0.0.1:' + '9' * 40},
    'a port that is no number': {'Addr': '10.0.0.1:http'},
    'an address without a host': {'Addr': ':80'},
    'an empty address': {'Addr': ''},
    'a number of slots of 31 digits': {'Slots': 10**30},
    'a clock of 1e308': {'ClockMs': 1e308},
    'a version that is a list': {'Version': ['v1']},
    'a start in 287396': {'born': 2**53},
    'a sequence of 16 digits': {'born': 5, 'Seq': 2**53 - 1},
    'an end number of 16 digits': {
        'born': 5,
        'Seq': 3,
        'Ended': [[2**53 - 1, 'f' * 16 + '.0.0.0', 1, 'done', '']],
    },
}


def _without(body, path):
    """Return the JSON document ``body`` without one field."""
    document = json.loads(body)
    *parents, name = path.split('.')
    container = document
    for parent in parents:
        container = container[parent]
    del container[name]
    return json.dumps(document).encode()


def _with_value(body, path, value):
    return json.dumps(
        _replace(json.loads(body), tuple(path.split('.')), value)
    ).encode()


_DAMAGES = {
    'missing': _without,
    'null': lambda body, path: _with_value(body, path, None),
    'of another type': lambda body, path: _with_value(body, path, {'a': []}),
}


@behave.when('heartbeats of others have the field {field} {damage}')
def step_incomplete_heartbeats(context, field, damage):
    """Send one under the id of the worker and one under another id."""
    damaged = _DAMAGES[damage]
    own = _heartbeat(Running=[], Seq=9, born=9)
    context.reply = _handle(
        context, 'PUT', '/instances/i-1', damaged(own, field)
    )
    body = damaged(_heartbeat(Running=[], Machine='m-8'), field)
    context.other_reply = _handle(context, 'PUT', '/instances/i-8', body)


@behave.then('both are rejected and the run of the worker goes on')
def step_both_rejected(context):
    assert context.other_reply.status == 400, context.other_reply
    step_rejected(context)


@behave.when('a heartbeat of another worker lacks only {field}')
def step_optional_field(context, field):
    body = _heartbeat(Running=[], Machine='m-8', ClockMs=5, RemainingMs=5)
    context.reply = _handle(
        context, 'PUT', '/instances/i-8', _without(body, field)
    )


@behave.then('it is answered with a lease')
def step_has_lease(context):
    assert context.reply.status == 200, context.reply
    assert b'HoldMs' in context.reply.body, context.reply


@behave.when('a heartbeat under its id has the {rows} row {row}')
def step_short_row(context, rows, row):
    body = _heartbeat(
        **{'Running': [], 'Ended': [], rows: [json.loads(row)]}, Seq=3
    )
    context.reply = _handle(context, 'PUT', '/instances/i-1', body)


@behave.when('a worker of a platform without machines sends its heartbeat')
def step_no_machines(context):
    platform_api = _get_api(context)
    without = api.PlatformApi(
        platform_api._service, '10.0.0.9:1', has_instances=False
    )
    body = _without(_heartbeat(Running=[]), 'Machine')
    context.reply = context.loop.run_until_complete(
        without.handle(_call('PUT', '/instances/i-8', body))
    )


@behave.when('a heartbeat under its id arrives with {change}')
def step_foreign_heartbeat(context, change):
    if change == 'a service that is not configured':
        body = _heartbeat(Running=[], Seq=1, born=9, Service='other')
    elif change == 'another service and a lower age':
        body = _heartbeat(Running=[], Seq=9, born=4, Service='other')
    elif change == 'another service and a lower Seq':
        body = _heartbeat(Running=[], Seq=1, Service='other')
    elif change == 'another service and the same age':
        body = _heartbeat(Running=[], Seq=9, Service='other')
    elif change == '5000 nested lists':
        body = _heartbeat(Running=[], born=9)[:-1] + b',"Other":%b%b}' % (
            b'[' * 5000,
            b']' * 5000,
        )
    else:
        odd = {'Running': [], 'born': 9, **_ODD_FIELDS[change]}
        body = _heartbeat(**odd)
    context.reply = _handle(context, 'PUT', '/instances/i-1', body)


@behave.when('the next leader takes over')
def step_another_leader(context):
    context.platform_api._service._create_dispatcher()


@behave.when('the node reads a snapshot')
def step_read_snapshot(context):
    state = context.platform_api._service.state
    state.restore(state.snapshot())
    step_another_leader(context)


@behave.when('nothing else happens')
def step_nothing(context):
    pass


@behave.when('a configuration {change} the pool of the worker')
def step_change_pool(context, change):
    service_name = {'removes': 'other', 'keeps': 's'}[change]
    configuration = json.loads(
        _configuration(5, [_route(Service=service_name)])
    )
    configuration['Services'] = [{'Name': service_name}]
    body = json.dumps(configuration).encode()
    assert _handle(context, 'PUT', '/config', body).status == 200


@behave.given('a leader without a configuration')
def step_unconfigured(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.platform_api, context.replica = context.loop.run_until_complete(
        _open_api(is_configured=False)
    )


@behave.when('a writer sends a heartbeat under the id of a worker')
def step_early_writer(context):
    body = _heartbeat(Running=[], born=9, Service='other')
    _handle(context, 'PUT', '/instances/i-1', body)


@behave.when('the first configuration arrives')
def step_first_configuration(context):
    reply = _handle(context, 'PUT', '/config', _configuration())
    assert reply.status == 200, reply


@behave.then('the heartbeat of the worker is answered with a lease')
def step_worker_has_lease(context):
    context.reply = _handle(
        context, 'PUT', '/instances/i-1', _heartbeat(Running=[])
    )
    step_has_lease(context)


@behave.then('it is rejected and the run of the worker goes on')
def step_rejected(context):
    assert context.reply.status == 400, context.reply
    step_run_goes_on(context)


@behave.then('the run of the worker goes on')
def step_run_goes_on(context):
    rows = [[f'{_RUNNING_JOB}.0.0.0', 1, '', 5]]
    body = _heartbeat(Running=rows, Seq=3)
    reply = _handle(context, 'PUT', '/instances/i-1', body)
    answer = json.loads(reply.body)
    assert 'HoldMs' in answer and 'Stop' not in answer, answer

"""Steps for the fake target, the fault proxy, load and verdict."""

from __future__ import annotations

import asyncio
import random

from aiohttp import web
import behave

from verbenastream.process import settings
from verbenastream_testing import attempts
from verbenastream_testing import balancer
from verbenastream_testing import caller_ledger
from verbenastream_testing import fake_target
from verbenastream_testing import fault_proxy
from verbenastream_testing import faults
from verbenastream_testing import latency
from verbenastream_testing import load
from verbenastream_testing import pass_through
from verbenastream_testing import run_ledger
from verbenastream_testing import target_settings
from verbenastream_testing import verdict
from verbenastream_testing import world

_PORT = 8000
_CUT_AT_BYTE = 300
_LINK_FAULTS = {
    'no fault': faults.HEALTHY,
    'cut forward': faults.LinkFaults(
        forward=faults.Faults(close_after_bytes=_CUT_AT_BYTE)
    ),
    'reset backward': faults.LinkFaults(
        backward=faults.Faults(reset_after_bytes=_CUT_AT_BYTE)
    ),
    'duplicate': faults.LinkFaults(forward=faults.Faults(duplicate=True)),
    'lost requests': faults.LOST_REQUESTS,
    'lost answers': faults.LOST_ANSWERS,
}
_RAN = caller_ledger.AttemptOutcome.RAN


async def _start_target(context):
    entry_stub = pass_through.PassThrough([])
    entry, address = context.world.address(), context.world.address()
    await context.world.serve(entry_stub.application(), entry, _PORT)
    config = target_settings.TargetSettings(
        id='worker-1',
        incarnation=1,
        data_centre='mx-1',
        rack='mx-1-rack-1',
        address=address,
        port=_PORT,
        deployment=settings.Deployment('test', '0' * 64),
        entries=(target_settings.EntryAddress('mx-1', entry, _PORT),),
        ledger=str(context.world.folder / 'worker-1.jsonl'),
    )
    target = fake_target.FakeTarget.from_config(config)
    context.world.on_close(target.announcer.close)
    await context.world.serve(target.application(), address, _PORT)
    assert await target.announcer.announce() == 1
    context.entry_stub, context.target = entry_stub, target
    context.url = f'http://{address}:{_PORT}'
    context.statuses = []


async def _request(context, pool, epoch, run_ms=0):
    session = await context.world.session()
    headers = {
        fake_target.POOL_HEADER: pool,
        fake_target.EPOCH_HEADER: str(epoch),
        fake_target.TAG_HEADER: f'tag-{len(context.statuses)}',
        fake_target.RUN_MS_HEADER: str(run_ms),
    }
    url = f'{context.url}/call/a/b'
    async with session.post(url, headers=headers, data=b'body') as answer:
        context.statuses.append(answer.status)
        return await answer.read()


@behave.given(
    'a fake target that was assigned to pool "{pool}" at epoch {epoch:d}'
)
def step_target(context, pool, epoch):
    context.world.run(_start_target(context))


@behave.when('a request comes for pool "{pool}" at epoch {epoch:d}')
def step_request(context, pool, epoch):
    context.world.run(_request(context, pool, epoch))


@behave.then('the first ran and the others were rejected with 409')
def step_first_ran(context):
    assert context.statuses == [200, 409, 409], context.statuses
    path = context.world.folder / 'worker-1.jsonl'
    recorded = [
        (event.kind.value, event.tag) for event in run_ledger.read_runs(path)
    ]
    assert recorded == [
        ('start', 'tag-0'),
        ('end', 'tag-0'),
        ('rejected', 'tag-1'),
        ('rejected', 'tag-2'),
    ], recorded


@behave.when('it leaves while a request runs')
def step_leaves(context):
    async def leave():
        running = asyncio.create_task(
            _request(context, pass_through.POOL, 1, run_ms=200)
        )

        async def started():
            return context.target.ledger.running == 1

        await world.until('the request runs', started)
        await context.target.leave()
        context.body = await running

    context.world.run(leave())


@behave.then('it announces that it leaves with 1 running')
def step_announces_leaving(context):
    last = context.entry_stub.announcements[-1]
    assert last.leaving and last.running == 1, last


@behave.then('the request is answered completely')
def step_answered_completely(context):
    assert context.body == b'tag-0\nbody', context.body


class _Echo:
    """Keeps all bytes that it receives and sends them back."""

    def __init__(self):
        self.received = bytearray()

    async def serve(self, reader, writer):
        while data := await reader.read(65_536):
            self.received += data
            writer.write(data)
        writer.close()


async def _start_proxy(context):
    context.echo = _Echo()
    upstream, listen = context.world.address(), context.world.address()
    server = await asyncio.start_server(context.echo.serve, upstream, _PORT)
    context.links = faults.Links()
    proxy = fault_proxy.FaultProxy(
        faults.Party('echo'),
        (listen, _PORT),
        (upstream, _PORT),
        context.links,
        context.seed,
    )
    await proxy.start()
    context.world.on_close(proxy.stop)
    context.proxy_address = listen
    context.world.on_close(_close_later(server))


def _close_later(server):
    async def close():
        server.close()

    return close


async def _send(context, data):
    reader, writer = await asyncio.open_connection(
        context.proxy_address, _PORT
    )
    writer.write(data)
    context.reader, context.writer = reader, writer


_STAYS_OPEN = 'and it stays open'


async def _read_back(context, count, end=_STAYS_OPEN):
    """Read ``count`` bytes; return them and how the connection ends.

    An expected end is awaited for 20 s. If the connection should stay open,
    a short wait is enough: it may miss a fault of the proxy, but it never
    fails for a correct one.
    """
    data = b''
    end_timeout_s = 0.3 if end == _STAYS_OPEN else 20.0
    end = _STAYS_OPEN
    try:
        async with asyncio.timeout(20.0):
            while len(data) < count:
                chunk = await context.reader.read(count - len(data))
                if not chunk:
                    return data, 'and it closes'
                data += chunk
        async with asyncio.timeout(end_timeout_s):
            if not await context.reader.read(1):
                end = 'and it closes'
    except TimeoutError:
        pass
    except ConnectionResetError:
        end = 'and it resets'
    return data, end


@behave.given('an echo server behind the fault proxy')
def step_echo(context):
    context.world.run(_start_proxy(context))


@behave.when('1000 bytes are sent while the link has {fault}')
def step_send_bytes(context, fault):
    context.links.set(faults.ANY, faults.ANY, _LINK_FAULTS[fault])
    # The header is complete, so that the proxy does not wait for the rest.
    context.payload = b'POST / HTTP/1.1\r\n\r\n'.ljust(1000, b'x')
    context.world.run(_send(context, context.payload))


@behave.then('{forward:d} bytes reach the server and {back:d} come back {end}')
def step_bytes(context, forward, back, end):
    async def observe():
        data_and_end = await _read_back(context, back, end)

        async def arrived():
            return len(context.echo.received) == forward

        await world.until(f'{forward} bytes arrive', arrived)
        return data_and_end

    data, actual_end = context.world.run(observe())
    assert len(data) == back, len(data)
    assert actual_end == end, actual_end


@behave.when('the link heals')
def step_heals(context):
    context.links.heal()


@behave.then('all 1000 bytes come back')
def step_all_back(context):
    data = context.world.run(context.reader.readexactly(1000))
    assert data == context.payload


@behave.given('the link from "{source}" is silent')
def step_silent(context, source):
    context.links.set(
        faults.Party(source), faults.Party('echo'), faults.SILENT
    )


@behave.when('"{first}" and "{second}" each send a message')
def step_two_messages(context, first, second):
    for name in (first, second):
        message = (
            f'POST / HTTP/1.1\r\nVerbenastream-Sender: {name}\r\n\r\n'
        ).encode()
        context.world.run(_send(context, message))
    context.sent = message


@behave.then('only the message of "{source}" reaches the server')
def step_only_one_message(context, source):
    data, _ = context.world.run(_read_back(context, len(context.sent)))
    assert source.encode() in data
    assert bytes(context.echo.received) == context.sent


@behave.when('two schedules of 50 changes are drawn from one seed')
def step_schedules(context):
    context.pairs = [
        (faults.Party(f'control-{a}'), faults.Party(f'control-{b}'))
        for a in range(3)
        for b in range(3)
        if a != b
    ]
    context.schedules = [
        faults.random_schedule(
            random.Random(context.seed), context.pairs, 10.0, 50
        )
        for _ in range(2)
    ]


@behave.then('they are equal and every link ends healthy')
def step_schedules_equal(context):
    first, second = context.schedules
    assert first == second
    links = faults.Links()
    for change in first:
        links.set(change.source, change.destination, change.faults)
    for pair in context.pairs:
        assert links.between(*pair) == faults.HEALTHY, pair


@behave.given(
    'an entry that answers the first request after the last has arrived'
)
def step_stalling_entry(context):
    context.all_arrived = asyncio.Event()
    context.arrived_count = 0

    async def answer(request):
        context.arrived_count += 1
        if context.arrived_count == 5:
            context.all_arrived.set()
        await context.all_arrived.wait()
        tag = request.headers[fake_target.TAG_HEADER]
        return web.Response(
            text=f'{tag}\n', headers={attempts.OUTCOME_HEADER: 'ran'}
        )

    async def ready(request):
        return web.Response()

    app = web.Application()
    app.router.add_post('/call/{path:.*}', answer)
    app.router.add_get('/readyz', ready)
    address = context.world.address()
    context.world.run(context.world.serve(app, address, _PORT))
    context.entry_url = f'http://{address}:{_PORT}'


@behave.when('{count:d} requests are planned for the same time')
def step_plan(context, count):
    async def run():
        session = await context.world.session()
        entries = balancer.Balancer({'entry-1': context.entry_url})
        await entries.start(session)
        context.world.on_close(entries.stop)
        context.run = load.LoadRun(caller_ledger.CallerLedger(), entries)
        plan = [
            load.Work(f'work-{number}', 0.0, 'a', 'b', 'c', 'k', 0.0)
            for number in range(count)
        ]
        await context.run.run(plan, session)

    context.world.run(run())


@behave.then(
    'all {count:d} are answered and each latency counts from its planned time'
)
def step_all_answered(context, count):
    ledger = context.run.ledger
    assert len(ledger.answers_by_tag) == count
    planned = {sent.at for sent in ledger.sent_by_tag.values()}
    assert len(planned) == 1, planned
    for answer in ledger.answers_by_tag.values():
        assert answer.outcome is _RAN and answer.intact, answer


def _sent(tag, work, key=None):
    return caller_ledger.Sent(tag, work, 0.0, 'e', 's', 'o', 'c', True, key)


def _answer(tag, told=_RAN, intact=True):
    status = 200 if told is _RAN else 503
    return caller_ledger.Answer(tag, told, status, 0.1, intact)


def _run_start(tag, running=1, instance='worker-1', pool='a'):
    return run_ledger.RunEvent(
        run_ledger.RunEventKind.START, 0.0, instance, tag, running, pool
    )


_NOT_RUN = caller_ledger.AttemptOutcome.NOT_RUN
_VIOLATIONS = {
    'a sent request without an answer': [_sent('x.0', 'x')],
    'an answer to work that no target ran': [
        _sent('x.0', 'x'),
        _answer('x.0'),
    ],
    'a keyed request that two targets ran': [
        _sent('x.0', 'x', 'key'),
        _answer('x.0'),
        _run_start('x.0'),
        _run_start('x.0', instance='worker-2'),
    ],
    'a repeat of a key that ran again': [
        _sent('x.0', 'x', 'key'),
        _answer('x.0', caller_ledger.AttemptOutcome.UNKNOWN),
        _run_start('x.0'),
        _sent('x.1', 'x', 'key'),
        _answer('x.1'),
        _run_start('x.1'),
    ],
    'a run of work that was told not-run': [
        _sent('x.0', 'x'),
        _answer('x.0', _NOT_RUN),
        _run_start('x.0'),
    ],
    'an answer that belongs to another request': [
        _sent('x.0', 'x'),
        _answer('x.0', intact=False),
        _run_start('x.0'),
    ],
    'nine running on one target': [
        _sent('x.0', 'x'),
        _answer('x.0'),
        _run_start('x.0', running=9),
    ],
    'work of two pools at once on one target': [
        _sent('x.0', 'x'),
        _answer('x.0'),
        _run_start('x.0', running=2, pool='b'),
    ],
}


@behave.given('the ledgers of {count:d} good requests')
def step_good_requests(context, count):
    context.callers = caller_ledger.CallerLedger()
    context.runs = []
    for number in range(count):
        context.callers.add(_sent(f'w{number}.0', f'w{number}', 'key'))
        context.callers.add(_answer(f'w{number}.0'))
        context.runs.append(_run_start(f'w{number}.0', running=8))


@behave.when('the ledgers also hold {violation}')
def step_violation(context, violation):
    for record in _VIOLATIONS[violation]:
        if isinstance(record, run_ledger.RunEvent):
            context.runs.append(record)
        else:
            context.callers.add(record)


@behave.then('the verdict names exactly 1 {kind}')
def step_verdict(context, kind):
    result = verdict.evaluate(context.callers, context.runs)
    kinds = ('lost', 'run_twice', 'false_not_run', 'mixed_up', 'overrun')
    kinds = (*kinds, 'two_pools')
    counts = {name: len(getattr(result, name)) for name in kinds}
    assert counts == {name: int(name == kind) for name in kinds}, counts
    assert not result.passed


@behave.given('two latency histograms of separate runs')
def step_histograms(context):
    context.fast, context.slow = latency.Histogram(), latency.Histogram()
    for _ in range(99):
        context.fast.record(0.001)
    for _ in range(101):
        context.slow.record(1.0)


@behave.when('they are encoded, decoded and merged')
def step_merge(context):
    context.merged = latency.Histogram.decode(context.fast.encode())
    context.merged.merge(latency.Histogram.decode(context.slow.encode()))


@behave.then('the merged quantiles are those of all durations')
def step_quantiles(context):
    assert context.merged.count == 200
    assert abs(context.merged.quantile_s(0.49) - 0.001) < 1e-5
    assert abs(context.merged.quantile_s(0.51) - 1.0) < 1e-2


@behave.then('an alternating comparison swaps the order in each round')
def step_alternating(context):
    order = []

    async def measure(name, value):
        order.append(name)
        return value

    comparison = context.world.run(
        latency.compare_in_turn(
            lambda: measure('a', 2.0), lambda: measure('b', 3.0), rounds=3
        )
    )
    assert ''.join(order) == 'abbaab', order
    assert (comparison.ratio, comparison.low, comparison.high) == (
        1.5,
        1.5,
        1.5,
    )


@behave.given('the folder of a scenario with a log file')
def step_scenario_folder(context):
    context.other_world = world.World()
    (context.other_world.folder / 'first.log').write_text('first')


@behave.when('the folder is copied twice with another content')
def step_copy_folder(context):
    context.copy = context.world.folder / 'failed' / 'scenario'
    folder = context.other_world.folder
    context.other_world.copy_folder(context.copy)
    (folder / 'first.log').rename(folder / 'second.log')
    context.other_world.copy_folder(context.copy)
    context.other_world.close()


@behave.then('the copy has the last content after the folder is removed')
def step_copied(context):
    names = [path.name for path in context.copy.iterdir()]
    assert names == ['second.log'], names

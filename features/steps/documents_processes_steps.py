"""Steps for documents on real control processes with their disks."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import shutil
import tempfile

import aiohttp
import behave
import msgspec

from verbenastream.connection import peers
from verbenastream.process import membership
from verbenastream.process import settings
from verbenastream.version import documents
from verbenastream_testing import deployment
from verbenastream_testing import operator_client
from verbenastream_testing import samples
from verbenastream_testing import supervisor

_SERVICE = 'tariff-coding'
_READY_S = 30.0


def _document(number):
    return msgspec.structs.replace(
        samples.document(samples.MEXICO, _SERVICE),
        limits=documents.RequestLimits(max_waiting=number),
    )


class _World:
    """Control processes, and entries that note the revisions they apply."""

    def __init__(self, folder):
        self.loop = asyncio.new_event_loop()
        self.layout = deployment.LoopbackDeployment.from_config(
            samples.MEXICO, deployment.Size(3, 3, 0), pathlib.Path(folder)
        )
        self.processes = supervisor.Supervisor(pathlib.Path(folder, 'logs'))
        self.session = None
        self.operator = None
        self.tasks = []
        self.revisions_by_entry = {}

    def do(self, work):
        return self.loop.run_until_complete(work)

    async def start(self):
        self.layout.write()
        for name in self.layout.controls_by_id:
            self.start_control(name)
        await self.wait_ready()
        self.session = aiohttp.ClientSession()
        self.operator = operator_client.OperatorClient(
            self.layout, self.session
        )
        for name in self.layout.entries_by_id:
            self.tasks.append(asyncio.create_task(self._renew(name)))

    def start_control(self, name):
        self.processes.start(
            name,
            'verbenastream.process.control',
            ['--settings', str(self.layout.settings_file(name))],
            self.layout.control_url(name),
        )

    async def wait_ready(self):
        await self.processes.wait_ready(
            list(self.layout.controls_by_id), _READY_S
        )

    async def _renew(self, name):
        client = peers.PeerClient.from_config(
            self.layout.deployment, name, settings.TlsOff.OFF
        )
        record = membership.EntryRecord(name, 1, 'mx-1', '127.0.0.1', 8001)
        view = membership.EntryView()
        applied = self.revisions_by_entry.setdefault(name, [])
        controls = list(self.layout.control_peers().values())
        try:
            while True:
                request = membership.RenewRequest(
                    record, view.index, view.digest()
                )
                try:
                    reply = await client.call(
                        controls[0],
                        '/v1/entries/renew',
                        request,
                        membership.RenewReply,
                        timeout_s=2.0,
                    )
                    view.apply(reply)
                    applied.append(view.revisions_by_service.get(_SERVICE, 0))
                except peers.PeerError:
                    controls.append(controls.pop(0))
                    await asyncio.sleep(0.02)
        finally:
            await client.close()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.session.close()

    def close(self):
        self.do(self.stop())
        self.processes.end_all()
        self.loop.close()

    async def submit(self, number, base, submission=None):
        return await self.operator.submit(
            _document(number), base, submission or f'submission-{number}'
        )

    async def history(self):
        _, answer = await self.operator.call('GET', f'/v1/history/{_SERVICE}')
        return answer['items']


@behave.given('3 control processes on disk and 3 renewing entries')
def step_processes(context):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    context.control_world = _World(folder)
    stack.callback(context.control_world.close)
    context.control_world.do(context.control_world.start())


@behave.when('{count:d} revisions of one document are submitted')
def step_submit(context, count):
    async def work():
        for number in range(1, count + 1):
            status, answer = await context.control_world.submit(
                number, number - 1
            )
            assert status == 200 and answer['revision'] == number, answer
            context.last = answer

    context.control_world.do(work())


@behave.when('all control processes are killed and started again')
def step_kill_all(context):
    world = context.control_world
    for name in world.layout.controls_by_id:
        world.processes.kill(name)
    for name in world.layout.controls_by_id:
        world.start_control(name)
    world.do(world.wait_ready())


@behave.then(
    'revision {revision:d} has the last document and the history is in order'
)
def step_last(context, revision):
    world = context.control_world
    _, shown = world.do(
        world.operator.call('GET', f'/v1/documents/{_SERVICE}')
    )
    assert shown['revision'] == revision, shown
    assert shown['document']['limits']['max_waiting'] == revision, shown
    items = world.do(world.history())
    expected = list(range(revision - len(items) + 1, revision + 1))
    assert [item['revision'] for item in items] == expected, items
    indexes = [item['index'] for item in items]
    assert indexes == sorted(indexes), items


@behave.then('a repeat of the last submission gets its first answer')
def step_repeat(context):
    world = context.control_world
    number = context.last['revision']
    status, answer = world.do(world.submit(number, number - 1))
    assert (status, answer) == (200, context.last), answer
    items = world.do(world.history())
    assert items[-1]['revision'] == number, items


@behave.when(
    'two operators submit on the same base 10 times while leaders die'
)
def step_race(context):
    world = context.control_world
    context.rounds = []

    async def work():
        base = 0
        for number in range(10):
            both = asyncio.gather(
                world.submit(2 * number + 1, base),
                world.submit(2 * number + 2, base),
            )
            if number % 4 == 1:
                leader = await world.operator.leader()
                world.processes.kill(leader)
                world.start_control(leader)
            answers = await both
            context.rounds.append(answers)
            base += 1
            await world.wait_ready()

    world.do(work())


@behave.then('each base has one winner and every loser a conflict')
def step_one_winner(context):
    for base, answers in enumerate(context.rounds):
        statuses = sorted(status for status, _ in answers)
        assert statuses == [200, 409], answers
        winner = next(answer for status, answer in answers if status == 200)
        loser = next(answer for status, answer in answers if status == 409)
        assert winner['revision'] == base + 1, answers
        assert loser['result']['revision'] == base + 1, answers


@behave.then('no entry ever applied a lower revision than before')
def step_no_reversal(context):
    for name, applied in context.control_world.revisions_by_entry.items():
        assert applied and applied == sorted(applied), (name, applied)


@behave.when('a follower loses its disk and the leader is killed')
def step_lose_disk(context):
    world = context.control_world

    async def work():
        leader = await world.operator.leader()
        follower = next(
            name for name in world.layout.controls_by_id if name != leader
        )
        world.processes.kill(follower)
        shutil.rmtree(world.layout.controls_by_id[follower].data_folder)
        world.start_control(follower)
        await world.wait_ready()
        # The replaced replica must vote before another loss is survived.
        while True:
            status = (await world.operator.status()).replica
            lag = status.lag_by_name.get(follower)
            if follower in status.voters and lag == 0:
                break
            await asyncio.sleep(0.05)
        world.processes.kill(leader)

    world.do(work())


@behave.then('20 more revisions can be submitted and all 40 are in order')
def step_more(context):
    world = context.control_world

    async def work():
        for number in range(21, 41):
            status, answer = await world.submit(number, number - 1)
            assert status == 200 and answer['revision'] == number, answer
        return await world.history()

    items = world.do(work())
    revisions = [item['revision'] for item in items]
    assert revisions == list(range(41 - len(items), 41)), items

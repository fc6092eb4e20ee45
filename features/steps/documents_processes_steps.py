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
_READY_TIMEOUT_S = 30.0


def _document(number):
    return msgspec.structs.replace(
        samples.document(samples.MEXICO, _SERVICE),
        limits=documents.RequestLimits(max_waiting=number),
    )


class _ControlDeployment:
    """Control processes and simulated entries that renew their leases.

    ``revisions_by_entry`` has the revisions that each entry applied.
    """

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

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

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
            list(self.layout.controls_by_id), _READY_TIMEOUT_S
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
        self.run(self.stop())
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
    context.controls = _ControlDeployment(folder)
    stack.callback(context.controls.close)
    context.controls.run(context.controls.start())


@behave.when('{count:d} revisions of one document are submitted')
def step_submit(context, count):
    async def submit_revisions():
        for number in range(1, count + 1):
            status, answer = await context.controls.submit(number, number - 1)
            assert status == 200 and answer['revision'] == number, answer
            context.last = answer

    context.controls.run(submit_revisions())


@behave.when('all control processes are killed and started again')
def step_kill_all(context):
    controls = context.controls
    for name in controls.layout.controls_by_id:
        controls.processes.kill(name)
    for name in controls.layout.controls_by_id:
        controls.start_control(name)
    controls.run(controls.wait_ready())


@behave.then(
    'revision {revision:d} has the last document and the history is in order'
)
def step_last_revision(context, revision):
    controls = context.controls
    _, shown = controls.run(
        controls.operator.call('GET', f'/v1/documents/{_SERVICE}')
    )
    assert shown['revision'] == revision, shown
    assert shown['document']['limits']['max_waiting'] == revision, shown
    items = controls.run(controls.history())
    expected = list(range(revision - len(items) + 1, revision + 1))
    assert [item['revision'] for item in items] == expected, items
    indexes = [item['index'] for item in items]
    assert indexes == sorted(indexes), items


@behave.then('a repeat of the last submission gets its first answer')
def step_repeat(context):
    controls = context.controls
    number = context.last['revision']
    status, answer = controls.run(controls.submit(number, number - 1))
    assert (status, answer) == (200, context.last), answer
    items = controls.run(controls.history())
    assert items[-1]['revision'] == number, items


@behave.when(
    'two operators submit on the same base 10 times while leaders are killed'
)
def step_concurrent(context):
    controls = context.controls
    context.rounds = []

    async def submit_concurrently():
        base = 0
        for number in range(10):
            submissions = asyncio.gather(
                controls.submit(2 * number + 1, base),
                controls.submit(2 * number + 2, base),
            )
            if number % 4 == 1:
                leader = await controls.operator.leader()
                controls.processes.kill(leader)
                controls.start_control(leader)
            answers = await submissions
            context.rounds.append(answers)
            base += 1
            await controls.wait_ready()

    controls.run(submit_concurrently())


@behave.then(
    'on each base one document is accepted and the other is a conflict'
)
def step_one_accepted(context):
    for base, answers in enumerate(context.rounds):
        statuses = sorted(status for status, _ in answers)
        assert statuses == [200, 409], answers
        accepted = next(answer for status, answer in answers if status == 200)
        conflict = next(answer for status, answer in answers if status == 409)
        assert accepted['revision'] == base + 1, answers
        assert conflict['result']['revision'] == base + 1, answers


@behave.then('no entry ever applied a lower revision than before')
def step_no_reversal(context):
    for name, applied in context.controls.revisions_by_entry.items():
        assert applied and applied == sorted(applied), (name, applied)


@behave.when('a follower loses its disk and the leader is killed')
def step_lose_disk(context):
    controls = context.controls

    async def lose_disk_and_kill_leader():
        leader = await controls.operator.leader()
        follower = next(
            name for name in controls.layout.controls_by_id if name != leader
        )
        controls.processes.kill(follower)
        shutil.rmtree(controls.layout.controls_by_id[follower].data_folder)
        controls.start_control(follower)
        await controls.wait_ready()
        # A second loss keeps a majority only once the replaced replica votes.
        while True:
            status = (await controls.operator.status()).replica
            lag = status.lag_by_name.get(follower)
            if follower in status.voters and lag == 0:
                break
            await asyncio.sleep(0.05)
        controls.processes.kill(leader)

    controls.run(lose_disk_and_kill_leader())


@behave.then('20 more revisions can be submitted and all 40 are in order')
def step_submit_more(context):
    controls = context.controls

    async def submit_more_revisions():
        for number in range(21, 41):
            status, answer = await controls.submit(number, number - 1)
            assert status == 200 and answer['revision'] == number, answer
        return await controls.history()

    items = controls.run(submit_more_revisions())
    revisions = [item['revision'] for item in items]
    assert revisions == list(range(41 - len(items), 41)), items

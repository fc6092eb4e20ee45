"""Steps for the client against a control process in this interpreter."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import io
import pathlib
import tempfile
import threading

import aiohttp
import behave
import msgspec

from verbenastream.connection import peers
from verbenastream.process import client
from verbenastream.process import control
from verbenastream.process.control import messages
from verbenastream.process import membership
from verbenastream.process import settings
from verbenastream.process import state
from verbenastream.process import traces
from verbenastream.request import claims
from verbenastream.version import documents
from verbenastream.version import fleet
from verbenastream import wire
from verbenastream_testing import local_replicator
from verbenastream_testing import loopback
from verbenastream_testing import samples

_PORT = 8002
_SERVICE = 'tariff-coding'
# Leases and waits must not expire on a busy test machine.
_LEASE_S = 3600.0
_DEPLOYMENT = settings.Deployment('mexico', 'ab' * 32)


def _config(address, folder):
    teams = {
        f'{service}-team': settings.Team(
            samples.sha256(samples.team_key(service)), (service,)
        )
        for service in samples.MEXICO.services
    }
    return settings.ControlSettings(
        id='control-1',
        data_centre='mx-1',
        region='mexico',
        deployment=_DEPLOYMENT,
        listener=settings.Listener(address, _PORT, settings.TlsOff.OFF),
        peer_tls=settings.TlsOff.OFF,
        data_folder='unused',
        replicas={'control-1': settings.Peer(address, _PORT)},
        teams=teams,
        timings=settings.ControlTimings(entry_lease_s=_LEASE_S),
        trace_file=f'{folder}/trace.jsonl',
    )


class _Harness:
    """A control daemon and entries on an event loop of their own."""

    def __init__(self, folder):
        self.folder = folder
        self.address = f'{loopback.free_network(_PORT)}.1'
        self.peer = settings.Peer(self.address, _PORT)
        self.machine = state.ControlState()
        self.replica = local_replicator.LocalReplicator(
            'control-1', self.machine
        )
        self.daemon = None
        self.views = {}
        self.entries = {}
        self._client = None
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.run_on_loop(self._start())

    def run_on_loop(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            30
        )

    async def _start(self):
        self.daemon = control.ControlDaemon(
            _config(self.address, self.folder), self.machine, self.replica
        )
        await self.daemon.start()
        await self.daemon.leader.update()

    def close(self):
        self.run_on_loop(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _stop(self):
        await self._stop_entries(*self.entries)
        await self.daemon.stop()

    async def _stop_entries(self, *names):
        tasks = [self.entries[name] for name in names]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop_entries(self, *names):
        self.run_on_loop(self._stop_entries(*names))

    def start_entry(self, name):
        async def start():
            self.views[name] = membership.EntryView()
            await self.renew(name)
            self.entries[name] = asyncio.create_task(self._renew_forever(name))

        self.run_on_loop(start())

    async def _renew_forever(self, name):
        while True:
            await self.renew(name)

    async def renew(self, name, digest=None, leaving=False):
        view = self.views[name]
        record = membership.EntryRecord(name, 1, 'mx-1', '127.0.0.1', 8001)
        reply = await self.call(
            name,
            '/v1/entries/renew',
            membership.RenewRequest(
                record, view.index, digest or view.digest(), leaving
            ),
            membership.RenewReply,
        )
        view.apply(reply)
        return reply

    async def call(self, sender, path, message, kind):
        connection = peers.PeerClient.from_config(
            _DEPLOYMENT, sender, settings.TlsOff.OFF
        )
        try:
            return await connection.call(
                self.peer, path, message, kind, timeout_s=20.0
            )
        finally:
            await connection.close()

    def run_client(self, *arguments, control=None):
        """Run the client; return its exit code and all it printed."""
        printed = io.StringIO()
        with (
            contextlib.redirect_stdout(printed),
            contextlib.redirect_stderr(printed),
        ):
            code = client.run(
                [
                    *arguments,
                    '--plain-http',
                    *(control or ('--control', f'{self.address}:{_PORT}')),
                ]
            )
        return int(code), printed.getvalue()

    def write_file(self, name, content):
        path = pathlib.Path(self.folder, name)
        path.write_bytes(content)
        return str(path)

    def copy_trace(self):
        """Return a copy of the trace as it is after an orderly stop."""
        self.run_on_loop(self._stop_entries(*self.entries))
        path = pathlib.Path(self.folder, 'trace.jsonl')
        self.daemon._trace._recorder._file.flush()
        return self.write_file('copy.jsonl', path.read_bytes())

    def write_key(self, service=_SERVICE):
        name = f'{service}.key'
        return self.write_file(name, samples.team_key(service).encode())


def _document():
    return samples.document(samples.MEXICO, _SERVICE)


def _changed_document():
    document = _document()
    operations = {**document.operations, 'extra': documents.Operation()}
    return msgspec.structs.replace(document, operations=operations)


@behave.given('a control process with entries entry-1 and entry-2')
def step_control_process(context):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    context.harness = _Harness(folder)
    stack.callback(context.harness.close)
    for name in ('entry-1', 'entry-2'):
        context.harness.start_entry(name)


@behave.given('entry-2 holds a lease and stops acknowledging')
def step_entry_stops(context):
    context.harness.stop_entries('entry-2')


@behave.given('revision 1 of the document is accepted')
def step_accepted(context):
    harness = context.harness
    path = harness.write_file('first.json', wire.encode(_document()))
    code, text = harness.run_client(
        'submit',
        path,
        '--team-key-file',
        harness.write_key(),
        '--submission-id',
        'first',
    )
    assert code == 0, text


@behave.when('the operator submits the document with {options}')
def step_submit(context, options):
    harness = context.harness
    path = harness.write_file('document.json', wire.encode(_document()))
    context.result = harness.run_client(
        'submit',
        path,
        '--team-key-file',
        harness.write_key(),
        *options.split(),
    )


@behave.when('the operator runs {command}')
def step_run(context, command):
    harness = context.harness
    changed = harness.write_file(
        'changed.json', wire.encode(_changed_document())
    )
    broken = wire.encode(_document()).replace(
        b'"instances":5', b'"instances":0'
    )
    broken = harness.write_file('broken.json', broken)
    key = ('--team-key-file', harness.write_key())
    wrong_address = ('--control', f'{harness.address}:1', '--timeout-s', '0.2')
    right_address = ('--control', f'{harness.address}:{_PORT}')
    commands = {
        'submit with base revision 0': ('submit', changed, *key),
        'submit with the key of another team': (
            'submit',
            changed,
            '--team-key-file',
            harness.write_key('product-coding'),
        ),
        'submit with an unknown key': (
            'submit',
            changed,
            '--team-key-file',
            harness.write_file('unknown.key', b'unknown'),
        ),
        'submit of a broken document': ('submit', broken, *key),
        'show of an unknown service': ('show', 'nothing'),
        'diff to a changed file': ('diff', _SERVICE, '--file', changed),
        'history': ('history', _SERVICE),
        'status as JSON': ('status', '--json'),
        'report burn': ('report', 'burn'),
        'report burn of a recorded trace': (
            'report',
            'burn',
            '--trace',
            harness.copy_trace(),
        ),
        'report burn of a missing trace': (
            'report',
            'burn',
            '--trace',
            f'{harness.folder}/missing.jsonl',
        ),
        'an unknown command': ('unknown',),
    }
    match command:
        case 'show through a wrong address first':
            context.result = harness.run_client(
                'show', _SERVICE, control=(*wrong_address[:2], *right_address)
            )
        case 'show without any control running':
            context.result = harness.run_client(
                'show', _SERVICE, control=wrong_address
            )
        case 'check of a broken document offline':
            printed = io.StringIO()
            with contextlib.redirect_stderr(printed):
                code = client.run(['check', broken])
            context.result = int(code), printed.getvalue()
        case _:
            context.result = harness.run_client(*commands[command])


@behave.then('the exit code is {code:d} and the output says "{text}"')
def step_result(context, code, text):
    assert context.result[0] == code, context.result
    assert text in context.result[1], context.result


@behave.then('the exit code is {code:d} and the output says ""')
def step_result_code(context, code):
    assert context.result[0] == code, context.result


@behave.when('its replica stops leading')
def step_stops_leading(context):
    context.harness.stop_entries('entry-1', 'entry-2')
    context.harness.replica.leads = False


@behave.then('renewals and reads are refused')
def step_refused(context):
    harness = context.harness
    try:
        harness.run_on_loop(harness.renew('entry-1'))
    except peers.NotLeaderError:
        pass
    else:
        raise AssertionError('the renewal was answered')
    code, text = harness.run_client('status', '--timeout-s', '0.1')
    assert code == client.ExitCode.UNREACHABLE, text


@behave.when('its replica leads in another term')
def step_leads_again(context):
    harness = context.harness
    harness.replica.leads = True
    harness.replica.term += 1
    assert not harness.daemon.leader.ready
    harness.run_on_loop(harness.daemon.leader.update())


@behave.then('renewals are answered again and old leases still count')
def step_answered_again(context):
    harness = context.harness
    reply = harness.run_on_loop(harness.renew('entry-1'))
    assert reply.lease_s == _LEASE_S, reply
    entries = harness.machine.view.entries_by_id
    now = harness.daemon.lease_table._term_started_at
    assert harness.daemon.lease_table.may_hold_lease(entries['entry-2'], now)


@behave.when('entry-1 renews with the current index and a wrong digest')
def step_wrong_digest(context):
    harness = context.harness
    harness.stop_entries('entry-1')
    harness.run_on_loop(harness.renew('entry-1'))
    context.reply = harness.run_on_loop(
        harness.renew('entry-1', digest='0' * 16)
    )


@behave.then('it gets the whole view as a snapshot')
def step_snapshot(context):
    machine = context.harness.machine
    assert context.reply.snapshot, context.reply
    assert context.reply.changes == machine.view.changes(), context.reply


@behave.when(
    'empty, huge, deeply nested and wrongly encoded documents are sent'
)
def step_unusable(context):
    harness = context.harness
    context.answers = []
    for content in (
        b'',
        b'"' + b'x' * 2**21 + b'"',
        b'[' * 500 + b']' * 500,
        b'{"service": "\xff"}',
    ):
        context.answers.append(harness.run_on_loop(_post(harness, content)))


async def _post(harness, content):
    key = samples.team_key(_SERVICE)
    async with aiohttp.ClientSession() as session:
        async with session.post(
            f'http://{harness.address}:{_PORT}/v1/documents/{_SERVICE}',
            data=content,
            headers={'Authorization': f'Bearer {key}'},
        ) as response:
            return response.status, await response.read()


@behave.then('each is answered 400 with one problem and its remedy')
def step_one_problem(context):
    for status, body in context.answers:
        failure = wire.decode(body, messages.Failure)
        assert status == 400 and len(failure.problems) == 1, failure
        assert failure.problems[0].remedy, failure


@behave.given('entry-1 reports {count:d} instances')
def step_instances(context, count):
    harness = context.harness
    present = tuple(
        membership.Presence(
            membership.Announcement(
                id=f'worker-{number}',
                incarnation=1,
                data_centre='mx-1',
                rack=f'rack-{number % 3}',
                address='127.0.0.1',
                port=9000,
                resources=fleet.Resources(16, 64),
            ),
            0.0,
        )
        for number in range(count)
    )
    report = membership.PresenceReport(
        'entry-1', 1, 'mx-1', present=present, complete=True
    )
    harness.run_on_loop(
        harness.call(
            'entry-1', '/v1/presence', report, membership.PresenceReply
        )
    )
    harness.run_on_loop(harness.daemon.leader_duties.register_instances())


@behave.when('the platform announces maintenance of rack rack-0')
def step_notice(context):
    harness = context.harness
    context.reply = harness.run_on_loop(
        harness.call(
            'platform',
            '/v1/platform/notices',
            messages.NoticeRequest('n1', 600.0, racks=(('mx-1', 'rack-0'),)),
            messages.NoticeReply,
        )
    )


@behave.then(
    'the reply names the instances of that rack and the planner has it'
)
def step_notice_planned(context):
    expected = ('worker-0', 'worker-3')
    assert context.reply.instances == expected, context.reply
    fleet_state = context.harness.daemon.planner.fleet_state(0.0)
    assert [notice.id for notice in fleet_state.notices] == ['n1']


@behave.when('entry-2 claims a key and renews as leaving')
def step_leaving(context):
    harness = context.harness
    harness.stop_entries('entry-1', 'entry-2')
    claim = claims.Claim('customer', 'k', 'd', _SERVICE, 'entry-2', 1)
    harness.run_on_loop(
        harness.call(
            'entry-2',
            '/v1/claims',
            claims.ClaimBatch(claims=(claim,)),
            claims.ClaimBatchReply,
        )
    )
    context.reply = harness.run_on_loop(harness.renew('entry-2', leaving=True))


@behave.then('entry-2 has a lease, owns no slots and its claim is open')
def step_has_lease(context):
    machine = context.harness.machine
    assert context.reply.lease_s == _LEASE_S, context.reply
    owners = [entry.id for entry in machine.view.live_entries()]
    assert owners == ['entry-1'], owners
    assert machine.claims.open_count == 1


@behave.when('the lease of entry-2 ends')
def step_lease_over(context):
    expired_entry = state.EntryRef('entry-2', 1)
    command = state.ExpireEntries((expired_entry,), 0.0)
    context.harness.run_on_loop(
        context.harness.replica.propose(wire.encode(command))
    )


@behave.then('entry-2 is no longer registered and its claim is unknown')
def step_entry_removed(context):
    machine = context.harness.machine
    assert list(machine.view.entries_by_id) == ['entry-1'], machine.view
    assert machine.claims.open_count == 0
    (record,) = machine.claims.finished_by_key.values()
    assert record.state.value == 'unknown', record


@behave.then('the trace holds the submission, 6 announcements and the notice')
def step_trace(context):
    path = pathlib.Path(context.harness.copy_trace())
    _, events = traces.read(path)
    kinds = collections.Counter(type(event).__name__ for event in events)
    assert kinds['Submission'] == kinds['Maintenance'] == 1, kinds
    assert kinds['Announced'] == 6, kinds
    assert kinds['InstanceChange'] >= 6, kinds

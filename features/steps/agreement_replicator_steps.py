"""Steps for the replicator on real folders and an in-memory transport."""

from __future__ import annotations

import asyncio
import errno
import os
import pathlib
import random
import tempfile
import time

import behave

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.agreement import messages
from verbenastream.process.control import replica_gauges
from verbenastream.process.control import replication
from verbenastream.process import metrics
from verbenastream.process.node import daemon as node_daemon
from verbenastream.process import settings
from verbenastream.process import storage
from verbenastream.process.storage import restore
from verbenastream import wire

_REPLICA_NAMES = ('control-1', 'control-2', 'control-3')
# Bounds a failing run only: steps go on as soon as their condition holds.
_WAIT_TIMEOUT_S = 30.0


class _Machine:
    """A state machine that records the commands applied to it."""

    def __init__(self):
        self.payloads = []

    def apply(self, index, payload):
        self.payloads.append(payload.decode())
        return payload.decode() + ' done'

    def snapshot(self):
        return wire.encode(self.payloads)

    def restore(self, data):
        self.payloads = wire.decode(data, list[str])


class _LastCommandMachine:
    """A state machine with a small state: the last command."""

    def __init__(self):
        self.payload = b''

    def apply(self, index, payload):
        self.payload = payload
        return payload[:8].decode()

    def snapshot(self):
        return self.payload

    def restore(self, data):
        self.payload = data


class _Transport:
    """Delivers messages between replicators of one event loop."""

    def __init__(self):
        self.replicators_by_port = {}
        self.calls = 0
        self.disconnected = False

    async def call_raw(self, peer, path, body, timeout_s):
        self.calls += 1
        await asyncio.sleep(0)
        replicator = self.replicators_by_port.get(peer.port)
        if replicator is None or self.disconnected:
            raise peers.UnreachableError('no process', 'Start it.')
        return await replicator.handle_message(body)


class _FailingDisk(storage.FolderDisk):
    """A data folder whose fsync fails or takes long while that is set.

    ``largest_bytes`` is the most that it has held.
    """

    failing = False
    stalling = False
    largest_bytes = 0

    def __init__(self, folder):
        super().__init__(folder)
        self._path = folder

    def sync(self, name):
        while self.stalling:
            time.sleep(0.01)
        size = sum((self._path / file).stat().st_size for file in self.names())
        self.largest_bytes = max(self.largest_bytes, size)
        if self.failing:
            raise OSError(errno.EIO, 'Input/output error')
        super().sync(name)


class _Replicas:
    """Replicators with their data folders and one shared transport."""

    def __init__(self, folder):
        self.folder = folder
        self.transport = _Transport()
        self.peers_by_name = {
            name: settings.Peer(address='127.0.0.1', port=number)
            for number, name in enumerate(_REPLICA_NAMES, 1)
        }
        self.replicators_by_name = {}
        self.machines_by_name = {}
        self.disks_by_name = {}
        self.limits = agreement.Limits()
        self.machine_class = _Machine
        # A snapshot after each batch, so that every scenario takes some.
        self.snapshot_entries = 1

    def control_settings(self, name, subfolder=None):
        peer = self.peers_by_name[name]
        return settings.ControlSettings(
            id=name,
            data_centre='a',
            region='b',
            deployment=settings.Deployment(name='test', key='0' * 64),
            listener=settings.Listener(
                peer.address, peer.port, settings.TlsOff.OFF
            ),
            peer_tls=settings.TlsOff.OFF,
            data_folder=str(self.folder / (subfolder or name)),
            replicas=self.peers_by_name,
            teams={},
        )

    async def start(self, name, subfolder=None, failing=False):
        peer = self.peers_by_name[name]
        config = self.control_settings(name, subfolder)
        machine = self.machine_class()
        disk = _FailingDisk(pathlib.Path(config.data_folder))
        disk.failing = failing
        replicator = replication.Replicator(
            config,
            machine,
            self.transport,
            disk,
            random.Random(peer.port),
            snapshot_entries=self.snapshot_entries,
            limits=self.limits,
        )
        self.replicators_by_name[name] = replicator
        self.machines_by_name[name] = machine
        self.disks_by_name[name] = disk
        self.transport.replicators_by_port[peer.port] = replicator
        await replicator.start()

    async def stop(self, name):
        await self.replicators_by_name.pop(name).stop()
        del self.transport.replicators_by_port[self.peers_by_name[name].port]

    def leader(self):
        for name, replicator in self.replicators_by_name.items():
            if replicator.is_leader:
                return name
        return None

    async def wait_for_leader(self):
        await _wait_until(lambda: self.leader() is not None)
        # Reads are served only once the first entry of the term is applied.
        await self.replicators_by_name[self.leader()].read_barrier()
        return self.leader()


async def _wait_until(condition):
    end = time.monotonic() + _WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, 'the condition does not become true'
        await asyncio.sleep(0.01)


def _run(context, work):
    return context.loop.run_until_complete(work)


def _prepare(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.replicas = _Replicas(pathlib.Path(folder.name))
    context.add_cleanup(_stop_all, context)


def _stop_all(context):
    for name in list(context.replicas.replicators_by_name):
        _run(context, context.replicas.stop(name))


@behave.given('three replicators on folders with a leader')
def step_replicators(context):
    _prepare(context)
    for name in _REPLICA_NAMES:
        _run(context, context.replicas.start(name))
    context.first_leader = _run(context, context.replicas.wait_for_leader())


@behave.given(
    'three replicators with a leader that append every {interval:d} ms'
)
def step_batching_replicators(context, interval):
    _prepare(context)
    limits = agreement.Limits(min_batch_interval_s=interval / 1000)
    context.replicas.limits = limits
    for name in _REPLICA_NAMES:
        _run(context, context.replicas.start(name))
    context.first_leader = _run(context, context.replicas.wait_for_leader())


@behave.when('{count:d} commands are proposed within 100 ms')
def step_propose_apart(context, count):
    async def propose():
        leader = context.replicas.replicators_by_name[context.first_leader]
        proposed = []
        context.calls_before = context.replicas.transport.calls
        for number in range(count):
            proposed.append(
                asyncio.ensure_future(leader.propose(b'%d' % number))
            )
            await asyncio.sleep(0.1 / count)
        return await asyncio.gather(*proposed)

    context.results = _run(context, propose())


@behave.then('the leader called each follower fewer than {limit:d} times')
def step_few_calls(context, limit):
    calls = context.replicas.transport.calls - context.calls_before
    assert calls < limit * (len(_REPLICA_NAMES) - 1), calls


@behave.when('one command is proposed after a pause')
def step_propose_one(context):
    async def propose():
        await asyncio.sleep(2 * context.replicas.limits.min_batch_interval_s)
        leader = context.replicas.replicators_by_name[context.first_leader]
        started_at = time.monotonic()
        await leader.propose(b'one')
        return time.monotonic() - started_at

    context.took_s = _run(context, propose())


@behave.then('it does not wait for the interval')
def step_no_wait(context):
    assert context.took_s < context.replicas.limits.min_batch_interval_s, (
        context.took_s
    )


@behave.given('three replicators of which control-3 does not answer')
def step_two_replicators(context):
    _prepare(context)
    for name in _REPLICA_NAMES[:2]:
        _run(context, context.replicas.start(name))


@behave.when('the replicators run for several join attempts')
def step_join_attempts(context):
    _run(context, asyncio.sleep(1.0))


@behave.then('no replicator has created a log')
def step_no_log(context):
    for replicator in context.replicas.replicators_by_name.values():
        assert replicator.status().durable == 0
        assert replicator.status().voters == ()


@behave.when('{count:d} commands are proposed at once')
def step_propose(context, count):
    async def propose():
        leader = context.replicas.replicators_by_name[context.first_leader]
        return await asyncio.gather(
            *(leader.propose(b'%d' % number) for number in range(count))
        )

    context.results = _run(context, propose())


@behave.then('each caller got the result of its own command')
def step_results(context):
    count = len(context.results)
    assert context.results == [f'{number} done' for number in range(count)]


@behave.then('a read barrier on the leader covers all commands')
def step_barrier(context):
    leader = context.replicas.replicators_by_name[context.first_leader]
    index = _run(context, leader.read_barrier())
    assert index >= len(context.results), index
    machine = context.replicas.machines_by_name[context.first_leader]
    assert len(machine.payloads) == len(context.results)


@behave.when('the leading replicator stops')
def step_stop_leader(context):
    context.stopped = context.replicas.replicators_by_name[
        context.first_leader
    ]
    _run(context, context.replicas.stop(context.first_leader))


@behave.then('another replicator leads and a follower names it')
def step_new_leader(context):
    replicas = context.replicas
    _run(
        context,
        _wait_until(
            lambda: replicas.leader() not in (None, context.first_leader)
        ),
    )
    leader = replicas.leader()
    follower = next(
        name
        for name in replicas.replicators_by_name
        if name not in (leader, context.first_leader)
    )
    replicator = replicas.replicators_by_name[follower]
    expected = replicas.peers_by_name[leader]
    _run(context, _wait_until(lambda: replicator.leader == expected))
    try:
        _run(context, replicator.propose(b'refused'))
    except peers.NotLeaderError as error:
        assert error.leader == expected, error
        return
    raise AssertionError('a follower accepted a command')


@behave.then('a stopped replicator refuses commands as not accepted')
def step_stopped(context):
    try:
        _run(context, context.stopped.propose(b'late'))
    except peers.NotLeaderError:
        return
    raise AssertionError('a stopped replicator accepted a command')


@behave.when('all replicators stop and start again')
def step_restart_all(context):
    for name in _REPLICA_NAMES:
        _run(context, context.replicas.stop(name))
    for name in _REPLICA_NAMES:
        _run(context, context.replicas.start(name))
    _run(context, context.replicas.wait_for_leader())


@behave.when('control-1 starts again on an empty folder')
def step_empty_folder(context):
    replicas = context.replicas
    context.first_identity = (
        replicas.replicators_by_name['control-1'].status().id
    )
    _run(context, replicas.stop('control-1'))
    _run(context, replicas.start('control-1', 'empty'))


@behave.then('every replicator applies the same {count:d} commands')
def step_same_commands(context, count):
    expected = [str(number) for number in range(count)]
    machines = context.replicas.machines_by_name.values()
    _run(
        context,
        _wait_until(lambda: all(m.payloads == expected for m in machines)),
    )


@behave.then('control-1 votes under its new identity')
def step_new_identity(context):
    replicator = context.replicas.replicators_by_name['control-1']
    _run(
        context,
        _wait_until(
            lambda: sorted(replicator.status().voters) == list(_REPLICA_NAMES)
        ),
    )
    assert replicator.status().id != context.first_identity


@behave.when("the leading replicator's disk fails during a command")
def step_failing_disk(context):
    replicas = context.replicas
    replicas.disks_by_name[context.first_leader].failing = True
    context.failed_replicator = replicas.replicators_by_name[
        context.first_leader
    ]
    # Otherwise both followers may store and so commit the command before the
    # leader notices its own disk failure.
    replicas.transport.disconnected = True
    try:
        _run(context, context.failed_replicator.propose(b'unacknowledged'))
    except agreement.OutcomeUnknownError as error:
        context.error = error
    replicas.transport.disconnected = False


@behave.then('the caller is told that the outcome is unknown')
def step_unknown(context):
    assert 'Read the state back' in str(context.error)


@behave.then('the status of that replicator names the failure')
def step_failure_status(context):
    status = context.failed_replicator.status()
    assert status.role is agreement.Role.FAILED
    assert 'Input/output error' in status.failure, status.failure


@behave.when('the leading replicator restarts on a disk that fails')
def step_start_on_failing_disk(context):
    replicas = context.replicas
    name = context.first_leader

    async def restart():
        await replicas.stop(name)
        await replicas.start(name, failing=True)

    _run(context, restart())
    context.failed_replicator = replicas.replicators_by_name[name]


@behave.then('it refuses commands and answers no messages')
def step_refuses_before_opening(context):
    replicator = context.failed_replicator
    try:
        _run(context, replicator.propose(b'refused'))
    except peers.NotLeaderError:
        pass
    else:
        raise AssertionError('a replica without a log accepted a command')
    assert _run(context, replicator.handle_message(b'{}')) == b''


def _storage_metrics(context):
    registry = metrics.Metrics()
    storage.register_gauges(
        registry,
        context.failed_replicator.status,
        pathlib.Path(context.replicas.folder),
    )
    lines = registry.expose().decode().splitlines()
    values = (line.split() for line in lines if not line.startswith('#'))
    return {name: float(value) for name, value in values}


@behave.then(
    'its metrics show a data folder that refuses writes, and the free bytes'
)
def step_metrics_failed(context):
    values = _storage_metrics(context)
    assert values['verbenastream_storage_writable'] == 0.0, values
    assert values['verbenastream_storage_free_bytes'] > 0.0, values


def _replica_metrics(replicator):
    registry = metrics.Metrics()
    replica_gauges.register(registry, replicator)
    lines = registry.expose().decode().splitlines()
    values = (line.split() for line in lines if not line.startswith('#'))
    return {name: float(value) for name, value in values}


@behave.then(
    'its metrics show that it neither leads nor stores what the others store'
)
def step_metrics_behind(context):
    failed = context.failed_replicator
    others = [
        replicator
        for replicator in context.replicas.replicators_by_name.values()
        if replicator is not failed
    ]

    def others_lead_and_store():
        durable = _replica_metrics(failed)['verbenastream_durable_index']
        return any(
            values['verbenastream_leader'] == 1.0
            and values['verbenastream_durable_index'] > durable
            for values in map(_replica_metrics, others)
        )

    _run(context, _wait_until(others_lead_and_store))
    assert _replica_metrics(failed)['verbenastream_leader'] == 0.0


@behave.then('its metrics show a data folder that accepts writes')
def step_metrics_working(context):
    values = _storage_metrics(context)
    assert values['verbenastream_storage_writable'] == 1.0, values


@behave.when('the disk of that replicator works again')
def step_working_disk(context):
    context.replicas.disks_by_name[context.first_leader].failing = False


@behave.then(
    'within {limit:d} seconds it follows and holds new commands on its disk'
)
def step_stores_again(context, limit):
    async def wait():
        name = await context.replicas.wait_for_leader()
        leader = context.replicas.replicators_by_name[name]
        await leader.propose(b'stored everywhere')
        last = leader.status().commit
        end = asyncio.get_running_loop().time() + limit
        while context.failed_replicator.status().durable < last:
            assert asyncio.get_running_loop().time() < end, (
                context.failed_replicator.status()
            )
            await asyncio.sleep(0.02)
        assert not context.failed_replicator.status().failure

    _run(context, wait())


@behave.then('a message to another identity gets an empty reply')
def step_other_identity(context):
    replicator = context.replicas.replicators_by_name[context.first_leader]
    envelope = messages.Envelope(
        ids.ReplicaId('sender'),
        ids.ReplicaId('lost identity'),
        1,
        messages.TimeoutNow(ids.Term(99)),
    )
    body = wire.encode(envelope)
    assert _run(context, replicator.handle_message(body)) == b''
    assert replicator.status().term < 99


@behave.then('an undecodable message is refused')
def step_undecodable(context):
    replicator = context.replicas.replicators_by_name[context.first_leader]
    try:
        _run(context, replicator.handle_message(b'{"sender": 1}'))
    except ValueError:
        return
    raise AssertionError('the message was accepted')


@behave.when('control-2 and control-3 lose their disks and control-1 stops')
def step_majority_lost(context):
    replicas = context.replicas
    # An acknowledged command is on any two of the three replicas, but the
    # restore needs all commands on control-1.
    machine = replicas.machines_by_name['control-1']
    count = len(context.results)
    _run(context, _wait_until(lambda: len(machine.payloads) == count))
    for name in ('control-2', 'control-3', 'control-1'):
        _run(context, replicas.stop(name))


@behave.when('control-1 is restored from {source}')
def step_restore(context, source):
    folder = context.replicas.folder / 'control-1'
    if source == 'a copy of its snapshot file':
        copy = context.replicas.folder / 'copied-snapshot'
        copy.write_bytes((folder / 'snapshot').read_bytes())
        folder = copy
    config = context.replicas.control_settings('control-1', 'restored')
    context.restored = (folder, config)
    restore.restore(folder, config)
    _run(context, context.replicas.start('control-1', 'restored'))


@behave.when('the other replicas start on empty folders')
def step_others_empty(context):
    for name in ('control-2', 'control-3'):
        _run(context, context.replicas.start(name, f'{name}-empty'))


@behave.then('all three replicas vote in the restored log')
def step_restored_votes(context):
    replicator = context.replicas.replicators_by_name['control-1']
    _run(
        context,
        _wait_until(
            lambda: sorted(replicator.status().voters) == list(_REPLICA_NAMES)
        ),
    )


@behave.then('restoring again into the same folder is refused with the remedy')
def step_restore_again(context):
    try:
        restore.restore(*context.restored)
    except storage.RestoreError as error:
        assert 'not empty' in str(error), error
        return
    raise AssertionError('a data folder was overwritten')


@behave.given(
    'three replicators on folders with a leader that keep the last command'
)
def step_last_command_replicators(context):
    _prepare(context)
    context.replicas.machine_class = _LastCommandMachine
    context.replicas.snapshot_entries = 10_000
    for name in _REPLICA_NAMES:
        _run(context, context.replicas.start(name))
    context.first_leader = _run(context, context.replicas.wait_for_leader())


def _large_command(number):
    return b'%08d' % number + os.urandom(500_000)


@behave.when('{count:d} commands of 0.5 MB are proposed one after the other')
def step_propose_large(context, count):
    async def propose():
        leader = context.replicas.replicators_by_name[context.first_leader]
        for number in range(count):
            context.last_command = _large_command(number)
            await leader.propose(context.last_command)

    _run(context, propose())


@behave.then(
    'no data folder ever held more than half of a disk of {size:d} MB'
)
def step_folder_size(context, size):
    for name, disk in context.replicas.disks_by_name.items():
        assert disk.largest_bytes < size * 1e6 / 2, (name, disk.largest_bytes)


@behave.then('no replica holds more than {size:d} MB of the log in memory')
def step_log_size(context, size):
    for name, replicator in context.replicas.replicators_by_name.items():
        held = _log_bytes(replicator)
        assert held < size * 1e6, (name, held)


def _log_bytes(replicator):
    entries = replicator._core.state.log.entries
    return sum(len(entry.payload) for entry in entries)


@behave.then('it has the last command and votes again within {limit:d} s')
def step_caught_up(context, limit):
    replicas = context.replicas
    started_at = time.monotonic()
    machine = replicas.machines_by_name['control-1']

    def has_caught_up():
        replicator = replicas.replicators_by_name['control-1']
        return (
            machine.payload == context.last_command
            and replicator._core.state.is_voter
        )

    _run(context, _wait_until(has_caught_up))
    elapsed_s = time.monotonic() - started_at
    assert elapsed_s < limit, elapsed_s


@behave.when(
    'the disks of the followers stall and {count:d} commands of 0.5 MB arrive'
)
def step_stall_followers(context, count):
    replicas = context.replicas
    context.stalled_disks = [
        disk
        for name, disk in replicas.disks_by_name.items()
        if name != context.first_leader
    ]
    for disk in context.stalled_disks:
        disk.stalling = True

    async def propose():
        leader = replicas.replicators_by_name[context.first_leader]
        proposed = []
        for number in range(count):
            proposed.append(
                asyncio.ensure_future(leader.propose(_large_command(number)))
            )
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        context.appended_bytes = _log_bytes(leader)
        context.refused = sum(
            future.done()
            and isinstance(future.exception(), peers.NotLeaderError)
            for future in proposed
        )
        context.proposed = proposed

    _run(context, propose())


@behave.then(
    'the leader has appended at most {size:d} MB and refused the others'
)
def step_bounded_memory(context, size):
    assert context.appended_bytes <= size * 1e6, context.appended_bytes
    appended = round(context.appended_bytes / 500_000)
    assert context.refused == len(context.proposed) - appended, (
        context.refused,
        appended,
    )


@behave.when('the disks of the followers work again')
def step_followers_work(context):
    for disk in context.stalled_disks:
        disk.stalling = False


@behave.then('a command is committed within {limit:d} s')
def step_committed(context, limit):
    async def propose():
        await asyncio.gather(*context.proposed, return_exceptions=True)
        leader = await context.replicas.wait_for_leader()
        replicator = context.replicas.replicators_by_name[leader]
        return await asyncio.wait_for(replicator.propose(b'more'), limit)

    assert _run(context, propose()) == 'more'


@behave.then(
    'an append of the largest command fits into a message between nodes'
)
def step_append_fits(context):
    size = context.replicas.limits.max_command_bytes
    entry = messages.Entry(
        ids.LogIndex(2**53),
        ids.Term(2**53),
        messages.EntryKind.COMMAND,
        bytes(size),
    )
    request = messages.AppendRequest(
        ids.Term(2**53), entry.index, entry.term, entry.index, 1e9, (entry,)
    )
    identity = ids.ReplicaId('0' * 36)
    body = wire.encode(messages.Envelope(identity, identity, 2**53, request))
    assert len(body) < node_daemon.MAX_BODY_BYTES, len(body)


@behave.when('the largest command and one that is a byte larger are proposed')
def step_propose_largest(context):
    size = context.replicas.limits.max_command_bytes
    leader = context.replicas.replicators_by_name[context.first_leader]
    context.proposed = []

    async def propose():
        context.entries_before = leader._core.state.log.last_index
        context.outcomes = await asyncio.gather(
            leader.propose(b'0' * size),
            leader.propose(b'0' * (size + 1)),
            return_exceptions=True,
        )
        context.entries_after = leader._core.state.log.last_index

    _run(context, propose())


@behave.then('the first is committed and the second is refused as too large')
def step_largest_outcomes(context):
    committed, refused = context.outcomes
    assert committed == '0' * 8, committed
    assert isinstance(refused, agreement.CommandTooLargeError), refused


@behave.then('only the first was appended')
def step_one_appended(context):
    appended = context.entries_after - context.entries_before
    assert appended == 1, appended

"""Steps for the log and snapshot files."""

from __future__ import annotations

import pathlib
import random
import tempfile

import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.agreement import events
from verbenastream.process import storage
from verbenastream_testing.agreement import memory_disk

_SEGMENT_BYTES = 300


def _entry(index, term=1, text=b'payload'):
    kind = agreement.EntryKind.COMMAND
    return agreement.Entry(index, term, kind, text * 5)


def _snapshot(index, term=1):
    return agreement.Snapshot(index, term, agreement.Configuration(), b'state')


def _open(disk, name='control-1'):
    return storage.Store.open(
        disk, name, ids.ReplicaId('identity'), _SEGMENT_BYTES
    )


def _indices(stored):
    return [entry.index for entry in stored.entries]


def _expect_failure(call):
    try:
        call()
    except storage.WriteFailedError:
        return
    raise AssertionError('a disk that refuses writes accepted one')


class _StoreMachine(stateful.RuleBasedStateMachine):
    """Compares a store that crashes with a model of its contents."""

    def __init__(self):
        super().__init__()
        self.rng = random.Random(0)
        self.disk = memory_disk.MemoryDisk(self.rng)
        self.store, _ = _open(self.disk)
        self.term = 1
        self.vote = None
        self.entries = []
        self.snapshot = None
        self.sequence = 0
        self.durable_vote = (0, None)

    def _last_index(self):
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    def _write(self, **changes):
        self.store.write([self._persist(**changes)])
        self.durable_vote = (self.term, self.vote)

    @stateful.rule(
        count=strategies.integers(1, 6), new_term=strategies.booleans()
    )
    def append(self, count, new_term):
        self.term += new_term
        new = tuple(
            _entry(self._last_index() + 1 + step, self.term)
            for step in range(count)
        )
        self._write(entries=new)
        self.entries.extend(new)

    @stateful.rule(vote=strategies.sampled_from(['a', 'b']))
    def vote(self, vote):
        self.term += 1
        self.vote = vote
        self._write()

    @stateful.precondition(lambda self: len(self.entries) > 1)
    @stateful.rule(data=strategies.data())
    def truncate(self, data):
        snapshot_index = self.snapshot.index if self.snapshot else 0
        after = data.draw(
            strategies.integers(snapshot_index, self._last_index())
        )
        self.term += 1
        self.entries = [e for e in self.entries if e.index <= after]
        new = _entry(after + 1, self.term)
        self._write(truncate_after=after, entries=(new,))
        self.entries.append(new)

    @stateful.precondition(lambda self: self.entries)
    @stateful.rule(kept_entries=strategies.integers(0, 3))
    def compact(self, kept_entries):
        last = self.entries[-1]
        self.snapshot = _snapshot(last.index, last.term)
        first = max(self.entries[0].index, last.index + 1 - kept_entries)
        self._write(snapshot=self.snapshot, first_kept=first)

    @stateful.rule(ahead=strategies.integers(1, 20))
    def install(self, ahead):
        self.snapshot = _snapshot(self._last_index() + ahead, self.term)
        self.entries = []
        self._write(snapshot=self.snapshot)

    @stateful.rule(power_loss=strategies.booleans())
    def restart(self, power_loss):
        if power_loss:
            self.disk.lose_power()
        self.store, stored = _open(self.disk)
        self._compare(stored)

    @stateful.rule(
        operations=strategies.integers(1, 3), seed=strategies.integers(0, 99)
    )
    def crash_in_append(self, operations, seed):
        self.rng.seed(seed)
        new = _entry(self._last_index() + 1, self.term)
        self.disk.crash_after = operations
        try:
            self._write(entries=(new,))
        except memory_disk.SimulatedCrash:
            self.disk.lose_power()
        self.disk.crash_after = None
        self.store, stored = _open(self.disk)
        if stored.entries and stored.entries[-1] == new:
            self.entries.append(new)
            self.durable_vote = (self.term, self.vote)
        self._compare(stored)

    @stateful.rule(
        count=strategies.integers(1, 3),
        fault=strategies.sampled_from(['full', 'fsync_fails']),
        failed_retries=strategies.integers(0, 2),
        has_snapshot=strategies.booleans(),
    )
    def write_after_retries(self, count, fault, failed_retries, has_snapshot):
        before = _entry(self._last_index() + 1, self.term)
        writes = [self._persist(entries=(before,))]
        self.entries.append(before)
        if has_snapshot:
            self.snapshot = _snapshot(self._last_index() + 5, self.term)
            self.entries = []
            writes.append(self._persist(snapshot=self.snapshot))
        first = self._last_index() + 1
        new = [_entry(first + step, self.term) for step in range(count)]
        writes += [self._persist(entries=(entry,)) for entry in new]
        self.entries.extend(new)
        setattr(self.disk, fault, True)
        _expect_failure(lambda: self.store.write(writes))
        for _ in range(failed_retries):
            _expect_failure(self.store.retry)
        setattr(self.disk, fault, False)
        self.store.retry()
        self.durable_vote = (self.term, self.vote)

    def _persist(self, **changes):
        self.sequence += 1
        return events.Persist(self.sequence, self.term, self.vote, **changes)

    def _compare(self, stored):
        assert stored.snapshot == self.snapshot
        assert (stored.term, stored.voted_for) == self.durable_vote
        snapshot_index = self.snapshot.index if self.snapshot else 0
        expected = [e for e in self.entries if e.index > snapshot_index]
        recovered = [e for e in stored.entries if e.index > snapshot_index]
        assert recovered == expected


@behave.then(
    'the recovered log is the written one in {count:d} random histories'
)
def step_random_histories(context, count):
    stateful.run_state_machine_as_test(
        _StoreMachine,
        settings=hypothesis.settings(
            max_examples=count,
            stateful_step_count=25,
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )


def _write_history(store, acknowledged):
    """Write each kind of change; record what is acknowledged after each.

    Adds (sequence, last log index) to ``acknowledged``.
    """
    steps = [
        {'entries': tuple(_entry(index) for index in range(1, 9))},
        {'entries': tuple(_entry(index) for index in range(9, 17))},
        {'snapshot': _snapshot(12), 'first_kept': 9},
        {'truncate_after': 14, 'entries': (_entry(15, 2),)},
        {'snapshot': _snapshot(40, 2)},
        {'entries': (_entry(41, 2), _entry(42, 2))},
    ]
    last_indices = [8, 16, 16, 15, 40, 42]
    for sequence, (step, last) in enumerate(zip(steps, last_indices), 1):
        term = 2 if sequence > 3 else 1
        store.write([events.Persist(sequence, term, None, **step)])
        acknowledged.append((sequence, last))


@behave.given(
    "a log store that wrote entries, a snapshot and a leader's snapshot"
)
def step_history(context):
    context.write_history = _write_history


@behave.when('power is lost at each of its file operations in turn')
def step_crash_everywhere(context):
    context.recovered = []
    for operations in range(1, 200):
        rng = random.Random(operations + context.seed)
        disk = memory_disk.MemoryDisk(rng)
        store, _ = _open(disk)
        disk.crash_after = operations
        acknowledged = []
        try:
            context.write_history(store, acknowledged)
        except memory_disk.SimulatedCrash:
            disk.lose_power()
            _, stored = _open(disk)
            context.recovered.append((acknowledged, stored))
            continue
        context.operations = operations
        return
    raise AssertionError('199 operations do not complete the history')


@behave.then(
    'every recovered log holds what was acknowledged before the crash'
)
def step_recovered_everywhere(context):
    # With fewer operations, some fsync calls would be missing.
    assert context.operations > 20, context.operations
    for acknowledged, stored in context.recovered:
        last = stored.entries[-1].index if stored.entries else 0
        if stored.snapshot is not None:
            last = max(last, stored.snapshot.index)
        sequence, expected = acknowledged[-1] if acknowledged else (0, 0)
        # The write in progress may be complete on the disk; only the fourth
        # one, which truncates, makes the log shorter.
        assert last >= expected or (sequence == 3 and last == 15), (
            acknowledged,
            last,
        )


@behave.given('a log store with three segments')
def step_three_segments(context):
    disk = memory_disk.MemoryDisk(random.Random(context.seed))
    store, _ = _open(disk)
    for index in range(1, 13):
        write = events.Persist(index, 1, None, entries=(_entry(index),))
        store.write([write])
    context.disk = disk
    context.segments = [
        name for name in disk.names() if name.startswith('segment-')
    ]
    assert len(context.segments) >= 3, context.segments
    context.name = 'control-1'


def _flip_bit(disk, name, offset):
    data = bytearray(disk.read(name))
    data[offset] ^= 0x10
    disk.overwrite(name, bytes(data))


@behave.when('its log gets {damage}')
def step_damage(context, damage):
    disk = context.disk
    first, middle, last = (context.segments[i] for i in (0, 1, -1))
    match damage:
        case 'a torn last write':
            data = disk.read(last)
            disk.overwrite(last, data + b'\x89VLF\x01\x02')
        case 'a flipped bit in the first record':
            store, _ = _open(disk)
            for index in (13, 14):
                entries = (_entry(index),)
                store.write([events.Persist(1, 1, None, entries=entries)])
            last = [
                name for name in disk.names() if name.startswith('segment-')
            ][-1]
            _flip_bit(disk, last, 30)
        case 'a flipped bit in an old segment':
            _flip_bit(disk, first, len(disk.read(first)) - 3)
        case 'a missing middle segment':
            disk.remove(middle)
        case 'a missing first segment':
            disk.remove(first)
        case 'a missing identity':
            disk.remove('identity')
        case 'a damaged snapshot':
            store, _ = _open(disk)
            snapshot = _snapshot(5)
            store.write(
                [events.Persist(1, 1, None, snapshot=snapshot, first_kept=2)]
            )
            _flip_bit(disk, 'snapshot', 20)
        case "another replica's name":
            context.name = 'control-2'
        case _:
            raise AssertionError(damage)


@behave.then('opening the log store gives all complete entries')
def step_opens(context):
    _, stored = _open(context.disk, context.name)
    assert _indices(stored) == list(range(1, 13)), _indices(stored)


@behave.then('opening the log store is refused with the remedy')
def step_refused(context):
    try:
        _open(context.disk, context.name)
    except storage.StorageError as error:
        assert error.remedy.endswith('.'), error
        return
    raise AssertionError('the damaged folder was opened')


@behave.given('a data folder that a process has open')
def step_open_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    disk = storage.FolderDisk(context.folder)
    context.add_cleanup(disk.close)


@behave.then('opening the data folder again is refused with the remedy')
def step_folder_refused(context):
    try:
        storage.FolderDisk(context.folder)
    except storage.FolderInUseError as error:
        assert str(context.folder) in str(error)
        return
    raise AssertionError('the folder was opened twice')


@behave.given('a log store on a disk that becomes {state}')
def step_bad_disk(context, state):
    context.disk = memory_disk.MemoryDisk(random.Random(context.seed))
    context.store, _ = _open(context.disk)
    context.store.write([events.Persist(1, 1, None, entries=(_entry(1),))])
    if state == 'full':
        context.disk.full = True
    else:
        context.disk.fsync_fails = True


@behave.when('it writes an entry, is repaired and writes another one')
def step_write_on_bad_disk(context):
    context.refused = 0
    for index in (2, 3):
        try:
            write = events.Persist(index, 1, None, entries=(_entry(index),))
            context.store.write([write])
        except storage.WriteFailedError:
            context.refused += 1
        context.disk.full = context.disk.fsync_fails = False


@behave.then(
    'both writes are refused and the restarted store lacks the second'
)
def step_second_missing(context):
    assert context.refused == 2, context.refused
    context.disk.lose_power()
    _, stored = _open(context.disk)
    # Entry 2 was written but not acknowledged, so it may have survived.
    assert _indices(stored) in ([1], [1, 2]), _indices(stored)
    context.store.close()


_WRITES_BY_MOMENT = {
    'an entry': {'entries': (_entry(2),)},
    'a new segment': {'entries': (_entry(2),)},
    'its own snapshot': {'snapshot': _snapshot(1), 'first_kept': 2},
    'a snapshot of the leader': {'snapshot': _snapshot(9)},
}


@behave.given('a log store whose disk is about to be {state} at {moment}')
def step_bad_disk_at(context, state, moment):
    context.disk = memory_disk.MemoryDisk(random.Random(context.seed))
    context.store, _ = _open(context.disk)
    size = 80 if moment == 'a new segment' else 5
    entry = _entry(1, text=b'x' * size)
    context.store.write([events.Persist(1, 1, 'a', entries=(entry,))])
    context.retries = 0 if state == 'full once' else 3
    context.state = state
    context.changes = _WRITES_BY_MOMENT[moment]


@behave.when('the disk refuses the write and several retries, and is repaired')
def step_refused_writes(context):
    disk = context.disk
    fault = 'full' if context.state.startswith('full') else 'fsync_fails'
    setattr(disk, fault, True)
    write = events.Persist(2, 1, 'a', **context.changes)
    _expect_failure(lambda: context.store.write([write]))
    for _ in range(context.retries):
        _expect_failure(context.store.retry)
    setattr(disk, fault, False)


@behave.then('a retry completes the write and later writes succeed')
def step_retry(context):
    context.store.retry()
    snapshot = context.changes.get('snapshot')
    context.first = 10 if snapshot is not None and snapshot.index == 9 else 3
    if snapshot is not None and snapshot.index == 1:
        context.first = 2
    for index in (context.first, context.first + 1):
        entries = (_entry(index),)
        context.store.write([events.Persist(index, 1, 'a', entries=entries)])


@behave.then('after a power loss the log store holds all of them')
def step_all_stored(context):
    context.disk.lose_power()
    _, stored = _open(context.disk)
    assert (stored.term, stored.voted_for) == (1, 'a'), stored
    assert _indices(stored)[-1] == context.first + 1, _indices(stored)
    if 'snapshot' in context.changes:
        assert stored.snapshot == context.changes['snapshot']
    else:
        assert _indices(stored) == [1, 2, 3, 4], _indices(stored)

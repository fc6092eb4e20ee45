"""Cost of the replicated state and of the feed, at three sizes.

Processor time is measured on one thread without HTTP, bytes are JSON bodies.
Slopes are least-squares fits over the three sizes.
"""

from __future__ import annotations

import dataclasses
import random
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec

from bench import rows
from verbenastream import ids
from verbenastream.process.control import leases
from verbenastream.process import membership
from verbenastream.process import state
from verbenastream.request import claims
from verbenastream.version import fleet
from verbenastream.version import planning
from verbenastream import wire
from verbenastream_testing import samples

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

_COMMAND = 'python -m bench.run bench.state'
_REPEATS = 200
_CLAIMS_PER_BATCH = 100
_TIMED_CLAIMS = 10_000
_DATA_CENTRES = 18
_ENTRIES = 20


@dataclasses.dataclass(frozen=True)
class Size:
    targets: int
    pools: int


SIZES = (Size(30, 5), Size(300, 12), Size(1_200, 33))


class _Fleet:
    """A control state of one size and commands for it."""

    def __init__(self, size: Size, rng: random.Random) -> None:
        self.size = size
        self.rng = rng
        self.state = state.ControlState()
        self.index = 0
        self.time = 1.0
        for number in range(_ENTRIES):
            self.apply(state.RegisterEntry(self.entry(number), self.time))
        found = tuple(announcement(number) for number in range(size.targets))
        self.apply(state.AnnounceInstances(found, self.time))
        self.documents = [self._document(n) for n in range(size.pools)]
        for number, document in enumerate(self.documents):
            self.submit(document, 0, f'first-{number}')
        for number in range(size.targets):
            pool = self.documents[number % size.pools].pool
            self.change(number, fleet.InstanceState.IDLE, None)
            self.change(number, fleet.InstanceState.SERVING, pool)

    @staticmethod
    def entry(number: int) -> membership.EntryRecord:
        return membership.EntryRecord(
            ids.EntryId(f'entry-{number}'),
            ids.Incarnation(1),
            ids.DataCentreId(f'dc-{number % _DATA_CENTRES}'),
            '127.0.0.1',
            8001,
        )

    @staticmethod
    def _document(number: int) -> samples.documents.Document:
        found = samples.document(samples.MEXICO, 'tariff-coding', 1)
        return msgspec.structs.replace(
            found,
            service=f'service-{number}',
            data_centres=tuple(f'dc-{n}' for n in range(_DATA_CENTRES)),
        )

    def apply(self, command: state.Command) -> object:
        self.index += 1
        return self.state.apply(ids.LogIndex(self.index), wire.encode(command))

    def submit(
        self, document: samples.documents.Document, base: int, name: str
    ) -> None:
        self.apply(
            state.SubmitDocument(
                document,
                ids.Revision(base),
                ids.SubmissionId(name),
                0.0,
                self.time,
            )
        )

    def change(
        self,
        number: int,
        target: fleet.InstanceState,
        pool: ids.PoolId | None,
    ) -> None:
        instance = ids.InstanceId(f'worker-{number}')
        record = self.state.view.instances_by_id[instance]
        change = planning.Transition(
            instance,
            record.epoch,
            target,
            pool,
            planning.Reason.SPREAD,
            self.time,
        )
        self.apply(state.ChangeInstances((change,), self.time))


def announcement(number: int) -> membership.Announcement:
    return membership.Announcement(
        id=ids.InstanceId(f'worker-{number}'),
        incarnation=ids.Incarnation(1),
        data_centre=ids.DataCentreId(f'dc-{number % _DATA_CENTRES}'),
        rack=ids.RackId(f'rack-{number // 4}'),
        address='127.0.0.1',
        port=9000,
        resources=fleet.Resources(16, 64),
    )


def _cpu_s(work: Callable[[int], object], repeats: int) -> float:
    """Return the processor seconds of one call, the median of five runs."""
    found = []
    for _ in range(5):
        started = time.process_time()
        for number in range(repeats):
            work(number)
        found.append((time.process_time() - started) / repeats)
    return statistics.median(found)


def _slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    return statistics.linear_regression(sizes, values).slope


class _Table:
    """Collects rows under one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rows: list[rows.Row] = []

    def add(
        self, name: str, value: float, unit: str, target: float | None = None
    ) -> None:
        self.rows.append(
            rows.Row(
                name,
                value,
                unit,
                None,
                target,
                rows.Bound.AT_MOST,
                self.seed,
                f'{_COMMAND} --seed {self.seed}',
            )
        )


def _measure_changes(built: _Fleet) -> tuple[float, float, int]:
    """Return processor time and bytes of a document change."""
    base = [1] * len(built.documents)

    def change(_: int) -> None:
        number = built.rng.randrange(len(built.documents))
        built.submit(built.documents[number], base[number], f'c{built.index}')
        base[number] += 1

    cpu_s = _cpu_s(change, _REPEATS)
    before = built.state.view.index
    change(0)
    sent = len(wire.encode(_reply(built, before)))
    return cpu_s, float(sent), _REPEATS


def _reply(built: _Fleet, acknowledged: int) -> membership.RenewReply:
    view = built.state.view
    changes = built.state.changes_after(ids.LogIndex(acknowledged))
    return membership.RenewReply(
        2.0,
        view.index,
        view.changes() if changes is None else changes,
        changes is None,
        ids.LogIndex(acknowledged),
    )


def _measure_renewal(built: _Fleet) -> tuple[float, int]:
    """Return processor time and bytes of a renewal without changes."""
    view = built.state.view
    book = leases.LeaseTable(2.0)
    request = membership.RenewRequest(
        built.entry(0), view.index, view.digest()
    )
    body = wire.encode(request)

    def renew(number: int) -> bytes:
        found = wire.decode(body, membership.RenewRequest)
        book.record_renewal(found.entry, found.applied_index, float(number))
        return wire.encode(_reply(built, found.applied_index))

    return _cpu_s(renew, _REPEATS), len(body) + len(renew(0))


def _measure_sizes(table: _Table) -> _Fleet:
    names = ('change', 'renewal', 'snapshot', 'memory')
    values: dict[str, list[float]] = {name: [] for name in names}
    sent: dict[str, list[float]] = {name: [] for name in names}
    for size in SIZES:
        tracemalloc.start()
        built = _Fleet(size, random.Random(table.seed))
        values['memory'].append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        label = f'{size.targets} targets, {size.pools} pools'
        cpu_s, sent_bytes, _ = _measure_changes(built)
        values['change'].append(cpu_s)
        sent['change'].append(sent_bytes)
        cpu_s, count = _measure_renewal(built)
        values['renewal'].append(cpu_s)
        sent['renewal'].append(count)
        values['snapshot'].append(_cpu_s(lambda _: built.state.snapshot(), 5))
        sent['snapshot'].append(len(wire.encode(_reply(built, 0))))
        table.add(f'change, {label}: apply', values['change'][-1] * 1e6, 'us')
        table.add(f'change, {label}: to an entry', sent_bytes, 'B')
        table.add(
            f'renewal, {label}: processor', values['renewal'][-1] * 1e6, 'us'
        )
        table.add(f'renewal, {label}: both ways', count, 'B')
        table.add(f'snapshot, {label}', values['snapshot'][-1] * 1e3, 'ms')
        table.add(f'whole view, {label}', sent['snapshot'][-1] / 1e3, 'KB')
        table.add(f'state, {label}', values['memory'][-1] / 1e6, 'MB', 128)
    targets = [float(size.targets) for size in SIZES]
    table.add(
        'slope of memory per target',
        _slope(targets, values['memory']),
        'B',
    )
    table.add(
        'slope of a change per target',
        _slope(targets, values['change']) * 1e9,
        'ns',
    )
    table.add(
        'slope of a renewal per target',
        _slope(targets, values['renewal']) * 1e9,
        'ns',
    )
    return built


def _claim(number: int) -> claims.Claim:
    return claims.Claim(
        ids.CustomerId('customer'),
        ids.IdempotencyKey(f'4f7c2f0e-8a55-4a5e-9f6e-{number:012d}'),
        'd' * 64,
        ids.ServiceId('service-0'),
        ids.EntryId('entry-0'),
        ids.Incarnation(1),
        ids.RequestId(f'request-{number:012d}'),
    )


def _outcome(claim: claims.Claim) -> claims.ClaimOutcome:
    answer = claims.RecordedAnswer(
        200, (('Content-Type', 'application/json'),), 'e' * 64, b'x' * 512
    )
    return claims.ClaimOutcome(
        claim.customer,
        claim.key,
        claim.entry,
        claim.incarnation,
        claims.Outcome.RAN,
        answer,
        claim.request,
    )


def _apply_claims(built: _Fleet, count: int) -> None:
    first = built.state.claims.count
    for start in range(first, first + count, _CLAIMS_PER_BATCH):
        found = tuple(
            _claim(start + offset) for offset in range(_CLAIMS_PER_BATCH)
        )
        ends = tuple(_outcome(claim) for claim in found)
        for batch in (
            claims.ClaimBatch(claims=found),
            claims.ClaimBatch(outcomes=ends),
        ):
            built.apply(state.ApplyClaims((batch,), built.time))


def _measure_claims(table: _Table, built: _Fleet) -> None:
    """Fill the claims up to their bound with answers of 512 bytes."""
    count = built.state.claims.max_claims
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    _apply_claims(built, count - _TIMED_CLAIMS)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.process_time()
    _apply_claims(built, _TIMED_CLAIMS)
    spent_s = time.process_time() - started
    table.add(
        'claim and its answer: encode, decode, apply',
        spent_s / _TIMED_CLAIMS * 1e6,
        'us',
    )
    # A control process without claims takes about 50 MB of the 128 MB, and
    # the last snapshot stays in memory.
    data = built.state.snapshot()
    table.add(f'{count} claims: memory', memory / 1e6, 'MB')
    table.add(f'{count} claims: snapshot', len(data) / 1e6, 'MB')
    table.add(
        f'{count} claims: memory and snapshot',
        (memory + len(data)) / 1e6,
        'MB',
        78,
    )
    restored = state.ControlState()
    for name, work in (
        ('take the snapshot', lambda _: built.state.snapshot()),
        ('restore it', lambda _: restored.restore(data)),
    ):
        table.add(f'{count} claims: {name}', _cpu_s(work, 1) * 1e3, 'ms')


def run(seed: int) -> list[rows.Row]:
    """Measure all sizes; takes about 20 s."""
    table = _Table(seed)
    built = _measure_sizes(table)
    _measure_claims(table, built)
    return table.rows

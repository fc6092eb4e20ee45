"""Cost of the replicated state and of its distribution, at three sizes.

Processor time is measured on one thread without HTTP; bytes are those of JSON
bodies. Slopes are least-squares fits over the three sizes.
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


class _PopulatedState:
    """A control state of one size, with methods that apply commands to it."""

    def __init__(self, size: Size, rng: random.Random) -> None:
        self.size = size
        self.rng = rng
        self.state = state.ControlState()
        self.index = 0
        self.time = 1.0
        for number in range(_ENTRIES):
            self.apply(state.RegisterEntry(self.entry(number), self.time))
        announcements = tuple(
            announcement(number) for number in range(size.targets)
        )
        self.apply(state.AnnounceInstances(announcements, self.time))
        self.documents = [self._document(n) for n in range(size.pools)]
        for number, document in enumerate(self.documents):
            self.submit(document, 0, f'first-{number}')
        for number in range(size.targets):
            pool = self.documents[number % size.pools].pool
            self.change_state(number, fleet.InstanceState.IDLE, None)
            self.change_state(number, fleet.InstanceState.SERVING, pool)

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
        document = samples.document(samples.MEXICO, 'tariff-coding', 1)
        return msgspec.structs.replace(
            document,
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

    def change_state(
        self,
        number: int,
        target: fleet.InstanceState,
        pool: ids.PoolId | None,
    ) -> None:
        instance = ids.InstanceId(f'worker-{number}')
        record = self.state.view.instances_by_id[instance]
        change_state = planning.Transition(
            instance,
            record.epoch,
            target,
            pool,
            planning.Reason.SPREAD,
            self.time,
        )
        self.apply(state.ChangeInstances((change_state,), self.time))


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


def _median_cpu_s(work: Callable[[int], object], repeats: int) -> float:
    """Return the processor seconds of one call, the median of five runs."""
    seconds_per_call = []
    for _ in range(5):
        started_at = time.process_time()
        for number in range(repeats):
            work(number)
        seconds_per_call.append((time.process_time() - started_at) / repeats)
    return statistics.median(seconds_per_call)


def _slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    return statistics.linear_regression(sizes, values).slope


class _RowCollector:
    """Collects the rows of one seed."""

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


def _measure_changes(populated: _PopulatedState) -> tuple[float, float, int]:
    """Return CPU seconds, bytes and repeats of a document change.

    The bytes are those sent to one entry.
    """
    base_revisions = [1] * len(populated.documents)

    def change_state(_: int) -> None:
        number = populated.rng.randrange(len(populated.documents))
        populated.submit(
            populated.documents[number],
            base_revisions[number],
            f'c{populated.index}',
        )
        base_revisions[number] += 1

    cpu_s = _median_cpu_s(change_state, _REPEATS)
    previous_index = populated.state.view.index
    change_state(0)
    sent_bytes = len(wire.encode(_renew_reply(populated, previous_index)))
    return cpu_s, float(sent_bytes), _REPEATS


def _renew_reply(
    populated: _PopulatedState, acknowledged: int
) -> membership.RenewReply:
    view = populated.state.view
    changes = populated.state.changes_after(ids.LogIndex(acknowledged))
    return membership.RenewReply(
        2.0,
        view.index,
        view.changes() if changes is None else changes,
        changes is None,
        ids.LogIndex(acknowledged),
    )


def _measure_renewal(populated: _PopulatedState) -> tuple[float, int]:
    """Return CPU seconds and bytes of a renewal without changes."""
    view = populated.state.view
    lease_table = leases.LeaseTable(2.0)
    request = membership.RenewRequest(
        populated.entry(0), view.index, view.digest()
    )
    body = wire.encode(request)

    def renew(number: int) -> bytes:
        decoded = wire.decode(body, membership.RenewRequest)
        lease_table.record_renewal(
            decoded.entry, decoded.applied_index, float(number)
        )
        return wire.encode(_renew_reply(populated, decoded.applied_index))

    return _median_cpu_s(renew, _REPEATS), len(body) + len(renew(0))


def _measure_sizes(collector: _RowCollector) -> _PopulatedState:
    names = ('change', 'renewal', 'snapshot', 'memory')
    values_by_name: dict[str, list[float]] = {name: [] for name in names}
    bytes_by_name: dict[str, list[float]] = {name: [] for name in names}
    for size in SIZES:
        tracemalloc.start()
        populated = _PopulatedState(size, random.Random(collector.seed))
        values_by_name['memory'].append(
            float(tracemalloc.get_traced_memory()[0])
        )
        tracemalloc.stop()
        label = f'{size.targets} targets, {size.pools} pools'
        cpu_s, sent_bytes, _ = _measure_changes(populated)
        values_by_name['change'].append(cpu_s)
        bytes_by_name['change'].append(sent_bytes)
        cpu_s, renewal_bytes = _measure_renewal(populated)
        values_by_name['renewal'].append(cpu_s)
        bytes_by_name['renewal'].append(renewal_bytes)
        values_by_name['snapshot'].append(
            _median_cpu_s(lambda _: populated.state.snapshot(), 5)
        )
        bytes_by_name['snapshot'].append(
            len(wire.encode(_renew_reply(populated, 0)))
        )
        collector.add(
            f'change, {label}: apply', values_by_name['change'][-1] * 1e6, 'us'
        )
        collector.add(f'change, {label}: to an entry', sent_bytes, 'B')
        collector.add(
            f'renewal, {label}: processor',
            values_by_name['renewal'][-1] * 1e6,
            'us',
        )
        collector.add(f'renewal, {label}: both ways', renewal_bytes, 'B')
        collector.add(
            f'snapshot, {label}', values_by_name['snapshot'][-1] * 1e3, 'ms'
        )
        collector.add(
            f'whole view, {label}', bytes_by_name['snapshot'][-1] / 1e3, 'KB'
        )
        collector.add(
            f'state, {label}', values_by_name['memory'][-1] / 1e6, 'MB', 128
        )
    targets = [float(size.targets) for size in SIZES]
    collector.add(
        'slope of memory per target',
        _slope(targets, values_by_name['memory']),
        'B',
    )
    collector.add(
        'slope of a change per target',
        _slope(targets, values_by_name['change']) * 1e9,
        'ns',
    )
    collector.add(
        'slope of a renewal per target',
        _slope(targets, values_by_name['renewal']) * 1e9,
        'ns',
    )
    return populated


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


def _claim_outcome(claim: claims.Claim) -> claims.ClaimOutcome:
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


def _apply_claims(populated: _PopulatedState, count: int) -> None:
    first = populated.state.claims.count
    for first_in_batch in range(first, first + count, _CLAIMS_PER_BATCH):
        new_claims = tuple(
            _claim(first_in_batch + offset)
            for offset in range(_CLAIMS_PER_BATCH)
        )
        outcomes = tuple(_claim_outcome(claim) for claim in new_claims)
        for batch in (
            claims.ClaimBatch(claims=new_claims),
            claims.ClaimBatch(outcomes=outcomes),
        ):
            populated.apply(state.ApplyClaims((batch,), populated.time))


def _measure_claims(
    collector: _RowCollector, populated: _PopulatedState
) -> None:
    """Measure the claims filled to their limit, with answers of 512 bytes."""
    count = populated.state.claims.max_claims
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    _apply_claims(populated, count - _TIMED_CLAIMS)
    memory_bytes = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    started_at = time.process_time()
    _apply_claims(populated, _TIMED_CLAIMS)
    used_s = time.process_time() - started_at
    collector.add(
        'claim and its answer: encode, decode, apply',
        used_s / _TIMED_CLAIMS * 1e6,
        'us',
    )
    # A control process without claims uses about 50 MB of the 128 MB target.
    # The last snapshot stays in memory and counts too.
    snapshot = populated.state.snapshot()
    collector.add(f'{count} claims: memory', memory_bytes / 1e6, 'MB')
    collector.add(f'{count} claims: snapshot', len(snapshot) / 1e6, 'MB')
    collector.add(
        f'{count} claims: memory and snapshot',
        (memory_bytes + len(snapshot)) / 1e6,
        'MB',
        78,
    )
    restored = state.ControlState()
    for name, work in (
        ('take the snapshot', lambda _: populated.state.snapshot()),
        ('restore it', lambda _: restored.restore(snapshot)),
    ):
        collector.add(
            f'{count} claims: {name}', _median_cpu_s(work, 1) * 1e3, 'ms'
        )


def run(seed: int) -> list[rows.Row]:
    """Measure all sizes; takes about 20 s."""
    collector = _RowCollector(seed)
    populated = _measure_sizes(collector)
    _measure_claims(collector, populated)
    return collector.rows

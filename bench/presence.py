"""Cost of presence for entries and the leader, on virtual time, no faults.

Processor time includes encoding and decoding JSON; bytes are those of bodies,
without HTTP headers.
"""

from __future__ import annotations

import dataclasses
import random
import statistics
import time

from bench import rows
from verbenastream import ids
from verbenastream.process.control import fleet_presence
from verbenastream.process import membership
from verbenastream.process.membership import presence_events
from verbenastream.version import fleet
from verbenastream import wire

_COMMAND = 'python -m bench.run bench.presence'
# Excludes the first announcements, which each entry reports as changes.
_WARM_UP_S = 6
_MEASURED_S = 6
# The default interval is 0.35 s.
_TICKS_PER_S = 3


@dataclasses.dataclass(frozen=True)
class Size:
    targets: int
    entries: int
    data_centres: int


# The largest size is the worst case: all targets expected in two years are in
# one region. With five regions, each has a fifth of the targets and entries.
SIZES = (Size(30, 12, 3), Size(300, 16, 9), Size(1_200, 20, 18))
ONE_OF_FIVE_REGIONS = Size(240, 4, 4)


class _Region:
    """Simulates all entries of one region and the control leader."""

    def __init__(self, size: Size, rng: random.Random) -> None:
        self.size = size
        self.rng = rng
        self.leader = fleet_presence.FleetPresence()
        self.message_bytes = 0
        self.message_count = 0
        self.entries_cpu_s = 0.0
        self.leader_cpu_s = 0.0
        self.data_centre_by_entry = {
            ids.EntryId(f'entry-{number}'): ids.DataCentreId(
                f'dc-{number % size.data_centres}'
            )
            for number in range(size.entries)
        }
        self.table_by_entry = {
            entry: membership.PresenceTable(
                entry, ids.Incarnation(1), data_centre
            )
            for entry, data_centre in self.data_centre_by_entry.items()
        }

    def run(self, seconds: int) -> None:
        entries = list(self.table_by_entry)
        announcements = [
            _announcement(number, self.size.data_centres)
            for number in range(self.size.targets)
        ]
        for second in range(seconds):
            if second == _WARM_UP_S:
                self.message_bytes = self.message_count = 0
                self.entries_cpu_s = self.leader_cpu_s = 0.0
            for tick in range(_TICKS_PER_S):
                now = second + tick / _TICKS_PER_S
                for announcement in announcements[tick::_TICKS_PER_S]:
                    event = presence_events.Announced(announcement)
                    self._handle(self.rng.choice(entries), event, now)
                for entry in entries:
                    self._handle(entry, presence_events.Tick(), now)

    def _handle(
        self,
        entry: ids.EntryId,
        event: presence_events.PresenceEvent,
        now: float,
    ) -> None:
        started_at = time.process_time()
        reports = [
            (action.recipient, wire.encode(action.report))
            for action in self.table_by_entry[entry].handle(event, now)
            if isinstance(action, presence_events.SendReport)
        ]
        self.entries_cpu_s += time.process_time() - started_at
        for to, data in reports:
            for recipient in self._recipients(entry, to):
                self._deliver_to_entry(recipient, data, now)
            if isinstance(
                to,
                (presence_events.AllPeersAndControl, presence_events.Control),
            ):
                self._deliver_to_leader(entry, data, now)

    def _recipients(
        self, sender: ids.EntryId, to: presence_events.Recipient
    ) -> list[ids.EntryId]:
        match to:
            case presence_events.AllPeersAndControl():
                recipients = list(self.table_by_entry)
            case presence_events.DataCentre(id=data_centre):
                recipients = [
                    entry
                    for entry, located_in in self.data_centre_by_entry.items()
                    if located_in == data_centre
                ]
            case presence_events.Entry(id=entry):
                recipients = [entry]
            case _:
                recipients = []
        return [entry for entry in recipients if entry != sender]

    def _deliver_to_entry(
        self, entry: ids.EntryId, data: bytes, now: float
    ) -> None:
        self.message_bytes += len(data)
        self.message_count += 1
        started_at = time.process_time()
        report = wire.decode(data, membership.PresenceReport)
        self.entries_cpu_s += time.process_time() - started_at
        self._handle(entry, presence_events.ReportReceived(report), now)

    def _deliver_to_leader(
        self, sender: ids.EntryId, data: bytes, now: float
    ) -> None:
        self.message_bytes += len(data)
        self.message_count += 1
        started_at = time.process_time()
        report = wire.decode(data, membership.PresenceReport)
        needs_complete_report = self.leader.receive(report, now)
        self.leader_cpu_s += time.process_time() - started_at
        if needs_complete_report:
            self._handle(sender, presence_events.CompleteRequested(), now)


def _announcement(number: int, data_centres: int) -> membership.Announcement:
    return membership.Announcement(
        id=ids.InstanceId(f'worker-{number}'),
        incarnation=ids.Incarnation(1),
        data_centre=ids.DataCentreId(f'dc-{number % data_centres}'),
        rack=ids.RackId(f'rack-{number // 4}'),
        address='127.0.0.1',
        port=9000,
        resources=fleet.Resources(16, 64),
    )


def _measure(seed: int, size: Size) -> list[rows.Row]:
    """Return the rows of one size: cost per entry and of the leader."""
    region = _Region(size, random.Random(seed))
    region.run(_WARM_UP_S + _MEASURED_S)
    entry_seconds = _MEASURED_S * size.entries
    label = (
        f'{size.targets} targets, {size.entries} entries, '
        f'{size.data_centres} DC'
    )
    return [
        _row(
            seed,
            f'{label}: entry processor without HTTP',
            region.entries_cpu_s / entry_seconds * 100,
            '% core',
            1.1,
        ),
        _row(
            seed,
            f'{label}: entry sends',
            region.message_bytes / entry_seconds / 1e3,
            'KB/s',
            16,
        ),
        _row(
            seed,
            f'{label}: entry calls',
            region.message_count / entry_seconds,
            '1/s',
        ),
        _row(
            seed,
            f'{label}: leader processor without HTTP',
            region.leader_cpu_s / _MEASURED_S * 100,
            '% core',
            1.1,
        ),
    ]


def _row(
    seed: int, name: str, value: float, unit: str, target: float | None = None
) -> rows.Row:
    return rows.Row(
        name,
        value,
        unit,
        None,
        target,
        rows.Bound.AT_MOST,
        seed,
        f'{_COMMAND} --seed {seed}',
    )


def run(seed: int) -> list[rows.Row]:
    """Measure all sizes and the slopes per target; takes about 20 s."""
    measured = [_measure(seed, size) for size in SIZES]
    result = [row for size_rows in measured for row in size_rows]
    result.extend(_measure(seed, ONE_OF_FIVE_REGIONS))
    targets = [float(size.targets) for size in SIZES]
    for row_index, name, unit, scale in (
        (0, 'slope per target: entry processor without HTTP', 'us/s', 1e4),
        (1, 'slope per target: entry sends', 'B/s', 1e3),
        (3, 'slope per target: leader processor without HTTP', 'us/s', 1e4),
    ):
        values = [size_rows[row_index].value for size_rows in measured]
        slope = statistics.linear_regression(targets, values).slope
        result.append(_row(seed, name, slope * scale, unit))
    return result

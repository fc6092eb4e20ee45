"""Cost of presence: entries and the leader on virtual time, in calm.

Processor time includes JSON both ways, bytes are bodies without HTTP heads.
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
# The first announcements are news to everyone; the figures are of calm.
_WARM_UP_S = 6
_MEASURED_S = 6
# The default interval is 0.35 s.
_TICKS_PER_S = 3


@dataclasses.dataclass(frozen=True)
class Size:
    targets: int
    entries: int
    data_centres: int


# All targets of two years in one region are the worst case; in five regions
# each has a fifth of them and of the entries.
SIZES = (Size(30, 12, 3), Size(300, 16, 9), Size(1_200, 20, 18))
ONE_REGION_OF_FIVE = Size(240, 4, 4)


class _Region:
    """All entries of one region and the leader."""

    def __init__(self, size: Size, rng: random.Random) -> None:
        self.size = size
        self.rng = rng
        self.leader = fleet_presence.FleetPresence()
        self.bytes = 0
        self.calls = 0
        self.entry_s = 0.0
        self.leader_s = 0.0
        self.centres_by_entry = {
            ids.EntryId(f'entry-{number}'): ids.DataCentreId(
                f'dc-{number % size.data_centres}'
            )
            for number in range(size.entries)
        }
        self.tables = {
            entry: membership.PresenceTable(entry, ids.Incarnation(1), centre)
            for entry, centre in self.centres_by_entry.items()
        }

    def run(self, seconds: int) -> None:
        entries = list(self.tables)
        announcements = [
            _announcement(number, self.size.data_centres)
            for number in range(self.size.targets)
        ]
        for second in range(seconds):
            if second == _WARM_UP_S:
                self.bytes = self.calls = 0
                self.entry_s = self.leader_s = 0.0
            for quarter in range(_TICKS_PER_S):
                now = second + quarter / _TICKS_PER_S
                for found in announcements[quarter::_TICKS_PER_S]:
                    event = presence_events.Announced(found)
                    self._handle(self.rng.choice(entries), event, now)
                for entry in entries:
                    self._handle(entry, presence_events.Tick(), now)

    def _handle(
        self,
        entry: ids.EntryId,
        event: presence_events.PresenceEvent,
        now: float,
    ) -> None:
        started = time.process_time()
        reports = [
            (action.to, wire.encode(action.report))
            for action in self.tables[entry].handle(event, now)
            if isinstance(action, presence_events.SendReport)
        ]
        self.entry_s += time.process_time() - started
        for to, data in reports:
            for reached in self._reached(entry, to):
                self._to_entry(reached, data, now)
            if isinstance(
                to, (presence_events.Everyone, presence_events.Control)
            ):
                self._to_leader(entry, data, now)

    def _reached(
        self, sender: ids.EntryId, to: presence_events.Recipient
    ) -> list[ids.EntryId]:
        match to:
            case presence_events.Everyone():
                found = list(self.tables)
            case presence_events.DataCentre(id=wanted):
                found = [
                    entry
                    for entry, centre in self.centres_by_entry.items()
                    if centre == wanted
                ]
            case presence_events.Entry(id=entry):
                found = [entry]
            case _:
                found = []
        return [entry for entry in found if entry != sender]

    def _to_entry(self, entry: ids.EntryId, data: bytes, now: float) -> None:
        self.bytes += len(data)
        self.calls += 1
        started = time.process_time()
        report = wire.decode(data, membership.PresenceReport)
        self.entry_s += time.process_time() - started
        self._handle(entry, presence_events.ReportReceived(report), now)

    def _to_leader(self, sender: ids.EntryId, data: bytes, now: float) -> None:
        self.bytes += len(data)
        self.calls += 1
        started = time.process_time()
        report = wire.decode(data, membership.PresenceReport)
        wanted = self.leader.receive(report, now)
        self.leader_s += time.process_time() - started
        if wanted:
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
    """Return rows of one size: per entry, and the leader's part."""
    region = _Region(size, random.Random(seed))
    region.run(_WARM_UP_S + _MEASURED_S)
    share = _MEASURED_S * size.entries
    label = (
        f'{size.targets} targets, {size.entries} entries, '
        f'{size.data_centres} DC'
    )
    return [
        _row(
            seed,
            f'{label}: entry processor without HTTP',
            region.entry_s / share * 100,
            '% core',
            1.1,
        ),
        _row(
            seed,
            f'{label}: entry sends',
            region.bytes / share / 1e3,
            'KB/s',
            16,
        ),
        _row(seed, f'{label}: entry calls', region.calls / share, '1/s'),
        _row(
            seed,
            f'{label}: leader processor without HTTP',
            region.leader_s / _MEASURED_S * 100,
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
    """Measure three sizes and their slopes; takes about 20 s."""
    measured = [_measure(seed, size) for size in SIZES]
    found = [row for one in measured for row in one]
    found.extend(_measure(seed, ONE_REGION_OF_FIVE))
    targets = [float(size.targets) for size in SIZES]
    for position, name, unit, scale in (
        (0, 'slope per target: entry processor without HTTP', 'us/s', 1e4),
        (1, 'slope per target: entry sends', 'B/s', 1e3),
        (3, 'slope per target: leader processor without HTTP', 'us/s', 1e4),
    ):
        values = [one[position].value for one in measured]
        slope = statistics.linear_regression(targets, values).slope
        found.append(_row(seed, name, slope * scale, unit))
    return found

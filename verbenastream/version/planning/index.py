"""Counts over the fleet, kept up to date from changed records only."""

from __future__ import annotations

import collections
from typing import NamedTuple

from verbenastream import ids
from verbenastream.version import fleet


class RackKey(NamedTuple):
    """A rack within the fleet; rack ids repeat between data centres."""

    data_centre: ids.DataCentreId
    rack: ids.RackId


def rack_of(record: fleet.InstanceRecord) -> RackKey:
    return RackKey(record.data_centre, record.rack)


class FleetIndex:
    """Instances by state, by pool and rack.

    ``update`` compares records by identity, since records are immutable, so
    that a call after one change costs one dictionary scan.
    """

    def __init__(self) -> None:
        self.records_by_id: dict[ids.InstanceId, fleet.InstanceRecord] = {}
        self.ids_by_state: dict[fleet.InstanceState, set[ids.InstanceId]] = {
            state: set() for state in fleet.InstanceState
        }
        self.serving_by_pool: dict[ids.PoolId, set[ids.InstanceId]] = (
            collections.defaultdict(set)
        )
        self.serving_by_pool_rack: dict[
            ids.PoolId, collections.Counter[RackKey]
        ] = collections.defaultdict(collections.Counter)
        self.serving_by_rack: collections.Counter[RackKey] = (
            collections.Counter()
        )
        self.idle_by_rack: dict[RackKey, set[ids.InstanceId]] = (
            collections.defaultdict(set)
        )
        self.size_by_rack: collections.Counter[RackKey] = collections.Counter()

    def update(
        self, instances_by_id: dict[ids.InstanceId, fleet.InstanceRecord]
    ) -> int:
        """Take over changed records; return how many there were."""
        known = self.records_by_id
        changed = [
            record
            for key, record in instances_by_id.items()
            if known.get(key) is not record
        ]
        for record in changed:
            self.put(record)
        if len(known) > len(instances_by_id):
            for key in [key for key in known if key not in instances_by_id]:
                self._remove(known[key])
                changed.append(known.pop(key))
        return len(changed)

    def put(self, record: fleet.InstanceRecord) -> None:
        """Replace the record of one instance."""
        previous = self.records_by_id.get(record.id)
        if previous is not None:
            self._remove(previous)
        self.records_by_id[record.id] = record
        self._count(record)

    def racks(
        self, data_centres: frozenset[ids.DataCentreId]
    ) -> list[RackKey]:
        """Return the racks in ``data_centres`` that hold an instance."""
        return [
            rack
            for rack, size in self.size_by_rack.items()
            if size and rack.data_centre in data_centres
        ]

    def data_centre_counts(
        self, pool: ids.PoolId
    ) -> collections.Counter[ids.DataCentreId]:
        counts: collections.Counter[ids.DataCentreId] = collections.Counter()
        for rack, number in self.serving_by_pool_rack[pool].items():
            counts[rack.data_centre] += number
        return counts

    def _count(self, record: fleet.InstanceRecord) -> None:
        rack = rack_of(record)
        self.ids_by_state[record.state].add(record.id)
        if record.state is not fleet.InstanceState.LOST:
            self.size_by_rack[rack] += 1
        if record.state is fleet.InstanceState.IDLE:
            self.idle_by_rack[rack].add(record.id)
        if (
            record.state is fleet.InstanceState.SERVING
            and record.pool is not None
        ):
            self.serving_by_pool[record.pool].add(record.id)
            self.serving_by_pool_rack[record.pool][rack] += 1
            self.serving_by_rack[rack] += 1

    def _remove(self, record: fleet.InstanceRecord) -> None:
        rack = rack_of(record)
        self.ids_by_state[record.state].discard(record.id)
        if record.state is not fleet.InstanceState.LOST:
            self.size_by_rack[rack] -= 1
        if record.state is fleet.InstanceState.IDLE:
            self.idle_by_rack[rack].discard(record.id)
            if not self.idle_by_rack[rack]:
                del self.idle_by_rack[rack]
        if (
            record.state is fleet.InstanceState.SERVING
            and record.pool is not None
        ):
            self.serving_by_pool[record.pool].discard(record.id)
            counts = self.serving_by_pool_rack[record.pool]
            counts[rack] -= 1
            if not counts[rack]:
                del counts[rack]
            self.serving_by_rack[rack] -= 1

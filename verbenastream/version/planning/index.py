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
        self.serving_by_pool_data_centre: dict[
            ids.PoolId, collections.Counter[ids.DataCentreId]
        ] = collections.defaultdict(collections.Counter)
        self.idle_by_rack: dict[RackKey, set[ids.InstanceId]] = (
            collections.defaultdict(set)
        )
        self.size_by_rack: collections.Counter[RackKey] = collections.Counter()
        self.idle_by_last_pool: dict[ids.PoolId, set[ids.InstanceId]] = (
            collections.defaultdict(set)
        )
        self._by_maintenance: dict[ids.DataCentreId, list[ids.InstanceId]] = {}
        self.racks_by_data_centre: collections.Counter[ids.DataCentreId] = (
            collections.Counter()
        )

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
                self._by_maintenance.pop(known[key].data_centre, None)
                changed.append(known.pop(key))
        return len(changed)

    def put(self, record: fleet.InstanceRecord) -> None:
        """Replace the record of one instance."""
        previous = self.records_by_id.get(record.id)
        if previous is not None:
            self._remove(previous)
            if previous.maintained_at != record.maintained_at:
                self._by_maintenance.pop(record.data_centre, None)
        else:
            self._by_maintenance.pop(record.data_centre, None)
        self.records_by_id[record.id] = record
        self._count(record)

    def by_maintenance(
        self, data_centre: ids.DataCentreId
    ) -> list[ids.InstanceId]:
        """Return the instances, longest without maintenance first."""
        order = self._by_maintenance.get(data_centre)
        if order is None:
            order = [
                record.id
                for record in sorted(
                    self.records_by_id.values(),
                    key=lambda record: (record.maintained_at, record.id),
                )
                if record.data_centre == data_centre
            ]
            self._by_maintenance[data_centre] = order
        return order

    def _count(self, record: fleet.InstanceRecord) -> None:
        rack = rack_of(record)
        self.ids_by_state[record.state].add(record.id)
        if record.state is not fleet.InstanceState.LOST:
            self.size_by_rack[rack] += 1
            if self.size_by_rack[rack] == 1:
                self.racks_by_data_centre[rack.data_centre] += 1
        if record.state is fleet.InstanceState.IDLE:
            self.idle_by_rack[rack].add(record.id)
            if record.last_pool is not None:
                self.idle_by_last_pool[record.last_pool].add(record.id)
        if (
            record.state is fleet.InstanceState.SERVING
            and record.pool is not None
        ):
            self.serving_by_pool[record.pool].add(record.id)
            self.serving_by_pool_rack[record.pool][rack] += 1
            self.serving_by_pool_data_centre[record.pool][
                rack.data_centre
            ] += 1

    def _remove(self, record: fleet.InstanceRecord) -> None:
        rack = rack_of(record)
        self.ids_by_state[record.state].discard(record.id)
        if record.state is not fleet.InstanceState.LOST:
            self.size_by_rack[rack] -= 1
            if not self.size_by_rack[rack]:
                self.racks_by_data_centre[rack.data_centre] -= 1
        if record.state is fleet.InstanceState.IDLE:
            self.idle_by_rack[rack].discard(record.id)
            if record.last_pool is not None:
                self.idle_by_last_pool[record.last_pool].discard(record.id)
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
            self.serving_by_pool_data_centre[record.pool][
                rack.data_centre
            ] -= 1

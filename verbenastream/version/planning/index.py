"""Incrementally updated index of the instances of the fleet."""

from __future__ import annotations

import collections
from typing import NamedTuple

from verbenastream import ids
from verbenastream.version import fleet


class RackKey(NamedTuple):
    """Identifies a rack; rack ids are unique only within a data centre."""

    data_centre: ids.DataCentreId
    rack: ids.RackId


def rack_of(record: fleet.InstanceRecord) -> RackKey:
    return RackKey(record.data_centre, record.rack)


class FleetIndex:
    """Instances by state, pool, rack and data centre.

    Records are immutable, so ``update`` compares them by identity; a call
    after a single change costs one scan of the dictionary.
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
        self.available_by_rack: collections.Counter[RackKey] = (
            collections.Counter()
        )
        self.idle_by_last_pool: dict[ids.PoolId, set[ids.InstanceId]] = (
            collections.defaultdict(set)
        )
        self._maintenance_order: dict[
            ids.DataCentreId, list[ids.InstanceId]
        ] = {}
        self.racks_by_data_centre: collections.Counter[ids.DataCentreId] = (
            collections.Counter()
        )

    def update(
        self, instances_by_id: dict[ids.InstanceId, fleet.InstanceRecord]
    ) -> int:
        """Apply changed and removed records; return their number."""
        records_by_id = self.records_by_id
        changed = [
            record
            for key, record in instances_by_id.items()
            if records_by_id.get(key) is not record
        ]
        for record in changed:
            self.put(record)
        if len(records_by_id) > len(instances_by_id):
            for key in [
                key for key in records_by_id if key not in instances_by_id
            ]:
                self._remove_from_counts(records_by_id[key])
                self._maintenance_order.pop(
                    records_by_id[key].data_centre, None
                )
                changed.append(records_by_id.pop(key))
        return len(changed)

    def put(self, record: fleet.InstanceRecord) -> None:
        """Replace the record of one instance."""
        previous = self.records_by_id.get(record.id)
        if previous is not None:
            self._remove_from_counts(previous)
            if previous.maintained_at != record.maintained_at:
                self._maintenance_order.pop(record.data_centre, None)
        else:
            self._maintenance_order.pop(record.data_centre, None)
        self.records_by_id[record.id] = record
        self._add_to_counts(record)

    def ids_by_maintenance_age(
        self, data_centre: ids.DataCentreId
    ) -> list[ids.InstanceId]:
        """Return the instances, those longest without maintenance first."""
        ordered_ids = self._maintenance_order.get(data_centre)
        if ordered_ids is None:
            ordered_ids = [
                record.id
                for record in sorted(
                    self.records_by_id.values(),
                    key=lambda record: (record.maintained_at, record.id),
                )
                if record.data_centre == data_centre
            ]
            self._maintenance_order[data_centre] = ordered_ids
        return ordered_ids

    def _add_to_counts(self, record: fleet.InstanceRecord) -> None:
        rack = rack_of(record)
        self.ids_by_state[record.state].add(record.id)
        if record.state is not fleet.InstanceState.LOST:
            self.available_by_rack[rack] += 1
            if self.available_by_rack[rack] == 1:
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

    def _remove_from_counts(self, record: fleet.InstanceRecord) -> None:
        rack = rack_of(record)
        self.ids_by_state[record.state].discard(record.id)
        if record.state is not fleet.InstanceState.LOST:
            self.available_by_rack[rack] -= 1
            if not self.available_by_rack[rack]:
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

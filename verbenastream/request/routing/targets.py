"""Targets that this entry may use, their pools and their owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request import events
from verbenastream.request.slots import rendezvous
from verbenastream.version import fleet

if TYPE_CHECKING:
    from collections.abc import Iterable


class TargetTable:
    """Serving targets by id, with the owner entry of each pool."""

    def __init__(self) -> None:
        self.targets_by_id: dict[ids.InstanceId, events.TargetInfo] = {}
        self.instances_by_pool: dict[ids.PoolId, list[ids.InstanceId]] = {}
        self.owner_by_pool: dict[ids.PoolId, ids.EntryId] = {}
        self._entries: tuple[ids.EntryId, ...] = ()

    @property
    def entry_count(self) -> int:
        return len(self._entries)

    def set_targets(self, targets: Iterable[events.TargetInfo]) -> None:
        """Replace the targets; keeps only instances that serve or drain."""
        self.targets_by_id = {}
        self.instances_by_pool = {}
        for target in targets:
            pool = target.record.pool
            if pool is None or target.record.state not in (
                fleet.InstanceState.SERVING,
                fleet.InstanceState.DRAINING,
            ):
                continue
            self.targets_by_id[target.record.id] = target
            self.instances_by_pool.setdefault(pool, []).append(
                target.record.id
            )
        self._choose_owners()

    def set_entries(self, entries: tuple[ids.EntryId, ...]) -> None:
        self._entries = entries
        self._choose_owners()

    def _choose_owners(self) -> None:
        self.owner_by_pool = {}
        for pool in self.instances_by_pool:
            owner = rendezvous.owner(self._entries, pool)
            if owner is not None:
                self.owner_by_pool[pool] = owner

    def owner_of(self, instance: ids.InstanceId) -> ids.EntryId | None:
        target = self.targets_by_id.get(instance)
        if target is None or target.record.pool is None:
            return None
        return self.owner_by_pool.get(target.record.pool)

    def is_usable_for(
        self, instance: ids.InstanceId, pool: ids.PoolId
    ) -> bool:
        """Whether new work of the pool may go to the target."""
        target = self.targets_by_id.get(instance)
        return (
            target is not None
            and target.record.pool == pool
            and is_usable(target)
        )

    def has_usable_target(self, pool: ids.PoolId) -> bool:
        """Whether any target of the pool may get new work."""
        return any(
            self.is_usable_for(instance, pool)
            for instance in self.instances_by_pool.get(pool, ())
        )


def is_usable(target: events.TargetInfo) -> bool:
    """Return whether a target takes new work, as far as this entry knows."""
    return (
        target.record.state is fleet.InstanceState.SERVING
        and not target.leaving
        and not target.suspected
    )

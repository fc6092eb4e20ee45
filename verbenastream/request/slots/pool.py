"""Slots and waiting requests of one pool, as kept by the pool's owner."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request.routing import outliers
from verbenastream.request.slots import allocation
from verbenastream.request.slots import messages

if TYPE_CHECKING:
    from verbenastream.request.slots import ledger

# Time constant of the moving average of slots in use by short work.
_SHORT_USE_TIME_CONSTANT_S = 5.0
# Slots kept for short work above its mean use, in standard deviations of a
# Poisson number of busy slots.
_SHORT_RESERVE_DEVIATIONS = 0.3
# Share of the free slots that entries may hold without waiting work.
_IDLE_GRANT_SHARE = 0.66
# Long work waits this long before it precedes short work.
_LONG_PRIORITY_WAIT_S = 0.5


@dataclasses.dataclass(slots=True)
class OwnedPool:
    """Targets, grants and demand of one pool."""

    pool: ids.PoolId
    long_share: float = 0.5
    targets_by_id: dict[ids.InstanceId, ledger.TargetLedger] = (
        dataclasses.field(default_factory=dict)
    )
    demands_by_entry: dict[ids.EntryId, allocation.EntryDemand] = (
        dataclasses.field(default_factory=dict)
    )
    detector: outliers.Detector = dataclasses.field(
        default_factory=outliers.Detector
    )
    allocation_due: bool = False
    long_limit: int = 1
    _short_grants: int = 0
    _long_grants: int = 0
    _idle_grants: int = 0
    _mean_short_use: float = 0.0
    _mean_updated_at: float = -1.0

    def idle_grants_to_recall(self) -> int:
        """Return the number of idle grants that waiting work needs now."""
        if not self._idle_grants or any(
            target.free_slots > 0 for target in self.targets_by_id.values()
        ):
            return 0
        return min(self._idle_grants, self.waiting_counts()[0])

    @property
    def slots(self) -> int:
        """Number of slots of the targets that may get work."""
        return sum(
            target.record.slots
            for target in self.targets_by_id.values()
            if not (target.leaving or target.suspected)
        )

    def add_grant(self, grant: ledger.Grant) -> None:
        """Add a grant on one of the pool's targets."""
        target = self.targets_by_id[grant.instance]
        target.grants_by_number[grant.number] = grant
        self._count_grant(grant, 1)

    def remove_grant(self, grant: ledger.Grant) -> None:
        """Free the slot of a grant."""
        target = self.targets_by_id[grant.instance]
        if target.grants_by_number.pop(grant.number, None) is not None:
            self._count_grant(grant, -1)
        self.allocation_due = True

    def update_grant(
        self, grant: ledger.Grant, status: messages.GrantStatus
    ) -> None:
        """Update a grant from its holder's report."""
        if (
            status.running_class != grant.running_class
            or status.in_long_lane != grant.in_long_lane
        ):
            self._count_grant(grant, -1)
            grant.running_class = status.running_class
            grant.in_long_lane = status.in_long_lane
            self._count_grant(grant, 1)

    def remove_target(self, instance: ids.InstanceId) -> None:
        """Remove a target and its grants."""
        for grant in self.targets_by_id.pop(
            instance
        ).grants_by_number.values():
            self._count_grant(grant, -1)

    def _count_grant(self, grant: ledger.Grant, change: int) -> None:
        if grant.in_long_lane:
            self._long_grants += change
        elif grant.running_class:
            self._short_grants += change
        if not grant.running_class:
            self._idle_grants += change

    def waiting_counts(self) -> tuple[int, int]:
        """Return the numbers of short and of long requests that wait."""
        short_count = 0
        long_count = 0
        for entry_demand in self.demands_by_entry.values():
            short_count += max(
                0, entry_demand.demand.short_count - entry_demand.short_granted
            )
            long_count += max(
                0, entry_demand.demand.long_count - entry_demand.long_granted
            )
        return short_count, long_count

    def update_long_limit(self, now: float) -> None:
        """Set the long lane's limit from the short lane's mean use.

        Waiting short work is not counted as use: it gets the next slots that
        become free, so higher demand soon shows in the use, while counting a
        brief queue would overstate the demand.
        """
        slots = self.slots
        sample = float(self._short_grants)
        if self._mean_updated_at < 0.0:
            self._mean_short_use = sample
        else:
            elapsed_s = now - self._mean_updated_at
            weight = 1.0 - math.exp(-elapsed_s / _SHORT_USE_TIME_CONSTANT_S)
            self._mean_short_use += weight * (sample - self._mean_short_use)
        self._mean_updated_at = now
        reserve = self._mean_short_use + _SHORT_RESERVE_DEVIATIONS * math.sqrt(
            self._mean_short_use
        )
        guaranteed = int(self.long_share * slots)
        max_limit = slots - max(1, slots // 8)
        limit = slots - round(reserve)
        self.long_limit = max(1, min(max_limit, max(guaranteed, limit)))

    def max_idle_grants(self, entry_count: int) -> int:
        """Return how many grants an entry may hold without waiting work."""
        if not entry_count:
            return 0
        idle = self._idle_grants
        for target in self.targets_by_id.values():
            idle += max(0, target.free_slots)
        return int(idle * _IDLE_GRANT_SHARE / entry_count)

    def allocate(
        self, now: float
    ) -> list[tuple[ids.EntryId, ids.InstanceId, bool]]:
        """Return (entry, target, in long lane) for each slot to grant."""
        allocations: list[tuple[ids.EntryId, ids.InstanceId, bool]] = []
        entry_demands = list(self.demands_by_entry.values())
        long_count = self._long_grants
        while entry_demands:
            target = self._target_with_most_room(allocations, now)
            if target is None:
                break
            for_long = self._is_long_next(entry_demands, long_count, now)
            if for_long is None:
                break
            record = target.record
            entry_demand = allocation.choose_entry(
                entry_demands, for_long, record.id, record.data_centre, now
            )
            assert entry_demand is not None
            if for_long:
                entry_demand.long_granted += 1
                long_count += 1
            else:
                entry_demand.short_granted += 1
            allocations.append((entry_demand.entry, record.id, for_long))
        return allocations

    def _target_with_most_room(
        self,
        allocations: list[tuple[ids.EntryId, ids.InstanceId, bool]],
        now: float,
    ) -> ledger.TargetLedger | None:
        """Return the target with the most grantable slots, or None."""
        best = None
        most_room = 0
        for instance, target in self.targets_by_id.items():
            free_slots = target.free_slots
            if free_slots <= 0:
                continue
            newly_granted = sum(
                1 for item in allocations if item[1] == instance
            )
            granted = len(target.grants_by_number) + newly_granted
            room = self.detector.grantable_slots(
                instance, free_slots - newly_granted, granted, now
            )
            if room > most_room:
                most_room = room
                best = target
        return best

    def _is_long_next(
        self,
        entry_demands: list[allocation.EntryDemand],
        long_count: int,
        now: float,
    ) -> bool | None:
        """Return whether the next slot goes to long work, None if to none.

        Short work comes first. Long work that has waited for a while gets
        its guaranteed share even while short work overloads the pool.
        """
        short_since = allocation.oldest_waiting_since(entry_demands, False)
        if long_count >= self.long_limit:
            return None if short_since is None else False
        long_since = allocation.oldest_waiting_since(entry_demands, True)
        if long_since is None:
            return None if short_since is None else False
        if short_since is None:
            return True
        return (
            long_count < self.long_share * self.slots
            and now - long_since > _LONG_PRIORITY_WAIT_S
        )

    def state(self, entry_count: int, now: float) -> messages.PoolState:
        """Return the state of the pool that is sent to the entries."""
        short_count, long_count = self.waiting_counts()
        since = allocation.oldest_waiting_since(
            self.demands_by_entry.values(), False
        )
        return messages.PoolState(
            self.pool,
            self.max_idle_grants(entry_count),
            short_count,
            long_count,
            self.long_limit,
            self.slots,
            0.0 if since is None else max(0.0, now - since),
        )

"""Slots of one pool at its owner: who waits, who gets the next slot."""

from __future__ import annotations

import dataclasses
import heapq
import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request.routing import outliers
from verbenastream.request.slots import allocation
from verbenastream.request.slots import messages

if TYPE_CHECKING:
    from verbenastream.request.slots import ledger

# Time constant of the short lane's average use of slots.
_SHORT_USE_S = 5.0
# Slots kept for short work above its mean use, in standard deviations of a
# Poisson number of busy slots.
_SHORT_MARGIN = 0.5
# Share of the free slots that are lent ahead to entries.
_KEEP_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class OwnedPool:
    """Targets and demand of one pool."""

    pool: ids.PoolId
    long_share: float = 0.5
    targets_by_id: dict[ids.InstanceId, ledger.TargetLedger] = (
        dataclasses.field(default_factory=dict)
    )
    needs_by_entry: dict[ids.EntryId, allocation.Need] = dataclasses.field(
        default_factory=dict
    )
    health: outliers.Detector = dataclasses.field(
        default_factory=outliers.Detector
    )
    dirty: bool = False
    long_limit: int = 1
    _short_use: float = 0.0
    _short_use_at: float = -1.0

    @property
    def slots(self) -> int:
        """Slots of the targets that may get work."""
        return sum(
            target.record.slots
            for target in self.targets_by_id.values()
            if not (target.leaving or target.suspected)
        )

    def count(self) -> tuple[int, int, int]:
        """Return granted slots for short work, for long work, and free."""
        short = 0
        long = 0
        free = 0
        for target in self.targets_by_id.values():
            free += max(0, target.free)
            for grant in target.grants_by_number.values():
                if grant.long or grant.running == 'long':
                    long += 1
                elif grant.running:
                    short += 1
        return short, long, free

    def waiting(self) -> tuple[int, int]:
        """Return the numbers of short and of long requests that wait."""
        short = 0
        long = 0
        for need in self.needs_by_entry.values():
            short += max(0, need.demand.short_count - need.short_taken)
            long += max(0, need.demand.long_count - need.long_taken)
        return short, long

    def update_long_limit(self, now: float) -> None:
        """Move the long lane's bound with the short lane's mean use."""
        short, _, _ = self.count()
        waiting, _ = self.waiting()
        slots = self.slots
        sample = float(min(slots, short + waiting))
        if self._short_use_at < 0.0:
            self._short_use = sample
        else:
            passed = now - self._short_use_at
            part = 1.0 - math.exp(-passed / _SHORT_USE_S)
            self._short_use += part * (sample - self._short_use)
        self._short_use_at = now
        reserve = self._short_use + _SHORT_MARGIN * math.sqrt(self._short_use)
        guaranteed = int(self.long_share * slots)
        most = slots - max(1, slots // 8)
        limit = slots - math.ceil(reserve)
        self.long_limit = max(1, min(most, max(guaranteed, limit)))

    def keep(self, entries: int) -> int:
        """Idle grants that each entry may hold without waiting work."""
        if not entries:
            return 0
        idle = 0
        for target in self.targets_by_id.values():
            idle += max(0, target.free)
            for grant in target.grants_by_number.values():
                if not grant.running:
                    idle += 1
        return int(idle * _KEEP_SHARE / entries)

    def allocate(
        self, now: float
    ) -> list[tuple[ids.EntryId, ids.InstanceId, bool]]:
        """Return (entry, target, long) for each slot to grant now."""
        room_by_id = {
            target.record.id: self.health.room(
                target.record.id,
                target.free,
                len(target.grants_by_number),
                now,
            )
            for target in self.targets_by_id.values()
        }
        if not any(room > 0 for room in room_by_id.values()):
            return []
        given = self._allocate_lane(
            False, len(self.needs_by_entry) * 64, room_by_id, now
        )
        _, long, _ = self.count()
        given += self._allocate_lane(
            True, self.long_limit - long, room_by_id, now
        )
        return given

    def _allocate_lane(
        self,
        long: bool,
        limit: int,
        room_by_id: dict[ids.InstanceId, int],
        now: float,
    ) -> list[tuple[ids.EntryId, ids.InstanceId, bool]]:
        given: list[tuple[ids.EntryId, ids.InstanceId, bool]] = []
        heap = allocation.order(self.needs_by_entry.values(), long, now)
        while heap and len(given) < limit:
            _, number, need = heapq.heappop(heap)
            target = allocation.choose_target(
                (
                    (target, room_by_id[target.record.id])
                    for target in self.targets_by_id.values()
                ),
                need.data_centre,
                frozenset(need.demand.avoid),
            )
            if target is None:
                break
            room_by_id[target.record.id] -= 1
            if long:
                need.long_taken += 1
            else:
                need.short_taken += 1
            given.append((need.entry, target.record.id, long))
            since = allocation.next_since(need, long)
            if since is not None:
                heapq.heappush(heap, (since, number, need))
        return given

    def state(self, entries: int) -> messages.PoolState:
        short, long = self.waiting()
        return messages.PoolState(
            self.pool,
            self.keep(entries),
            short,
            long,
            self.long_limit,
            self.slots,
        )

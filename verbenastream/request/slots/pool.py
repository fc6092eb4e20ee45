"""Slots of one pool at its owner: who waits, who gets the next slot."""

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

# Time constant of the short lane's average use of slots.
_SHORT_USE_S = 5.0
# Slots kept for short work above its mean use, in standard deviations of a
# Poisson number of busy slots.
_SHORT_MARGIN = 0.3
# Share of the free slots that are lent ahead to entries.
_KEEP_SHARE = 0.66
# Long work waits this long before it precedes short work.
_LONG_PATIENCE_S = 0.5


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
    _short: int = 0
    _long: int = 0
    _idle: int = 0
    _short_use: float = 0.0
    _short_use_at: float = -1.0

    def idle_to_recall(self) -> int:
        """Grants lent ahead that waiting work needs now."""
        if not self._idle or any(
            target.free > 0 for target in self.targets_by_id.values()
        ):
            return 0
        return min(self._idle, self.waiting()[0])

    @property
    def slots(self) -> int:
        """Slots of the targets that may get work."""
        return sum(
            target.record.slots
            for target in self.targets_by_id.values()
            if not (target.leaving or target.suspected)
        )

    def add_grant(self, grant: ledger.Grant) -> None:
        """Count a grant of one of the pool's targets."""
        target = self.targets_by_id[grant.instance]
        target.grants_by_number[grant.number] = grant
        self._tally(grant, 1)

    def remove_grant(self, grant: ledger.Grant) -> None:
        """Free the slot of a grant."""
        target = self.targets_by_id[grant.instance]
        if target.grants_by_number.pop(grant.number, None) is not None:
            self._tally(grant, -1)
        self.dirty = True

    def update_grant(self, grant: ledger.Grant, held: messages.Held) -> None:
        """Take over what the holder says about a grant."""
        if held.running != grant.running or held.long != grant.long:
            self._tally(grant, -1)
            grant.running = held.running
            grant.long = held.long
            self._tally(grant, 1)

    def remove_target(self, instance: ids.InstanceId) -> None:
        """Forget a target and its grants."""
        for grant in self.targets_by_id.pop(
            instance
        ).grants_by_number.values():
            self._tally(grant, -1)

    def _tally(self, grant: ledger.Grant, by: int) -> None:
        if grant.long:
            self._long += by
        elif grant.running:
            self._short += by
        if not grant.running:
            self._idle += by

    def waiting(self) -> tuple[int, int]:
        """Return the numbers of short and of long requests that wait."""
        short = 0
        long = 0
        for need in self.needs_by_entry.values():
            short += max(0, need.demand.short_count - need.short_taken)
            long += max(0, need.demand.long_count - need.long_taken)
        return short, long

    def update_long_limit(self, now: float) -> None:
        """Move the long lane's bound with the short lane's mean use.

        Waiting short work is not part of the use: it gets the next slots
        that become free, so a higher demand shows in the use soon, while a
        short queue would overstate the demand.
        """
        slots = self.slots
        sample = float(self._short)
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
        limit = slots - round(reserve)
        self.long_limit = max(1, min(most, max(guaranteed, limit)))

    def keep(self, entries: int) -> int:
        """Idle grants that each entry may hold without waiting work."""
        if not entries:
            return 0
        idle = self._idle
        for target in self.targets_by_id.values():
            idle += max(0, target.free)
        return int(idle * _KEEP_SHARE / entries)

    def allocate(
        self, now: float
    ) -> list[tuple[ids.EntryId, ids.InstanceId, bool]]:
        """Return (entry, target, long) for each slot to grant now."""
        given: list[tuple[ids.EntryId, ids.InstanceId, bool]] = []
        needs = list(self.needs_by_entry.values())
        long = self._long
        while needs:
            target = self._freest(given, now)
            if target is None:
                break
            for_long = self._long_is_next(needs, long, now)
            if for_long is None:
                break
            record = target.record
            need = allocation.choose_need(
                needs, for_long, record.id, record.data_centre, now
            )
            assert need is not None
            if for_long:
                need.long_taken += 1
                long += 1
            else:
                need.short_taken += 1
            given.append((need.entry, record.id, for_long))
        return given

    def _freest(
        self,
        given: list[tuple[ids.EntryId, ids.InstanceId, bool]],
        now: float,
    ) -> ledger.TargetLedger | None:
        """Return the target with most room, or None."""
        best = None
        most = 0
        for instance, target in self.targets_by_id.items():
            free = target.free
            if free <= 0:
                continue
            taken = sum(1 for item in given if item[1] == instance)
            granted = len(target.grants_by_number) + taken
            room = self.health.room(instance, free - taken, granted, now)
            if room > most:
                most = room
                best = target
        return best

    def _long_is_next(
        self, needs: list[allocation.Need], long: int, now: float
    ) -> bool | None:
        """Return the lane to serve next, None if nothing may start.

        Short work comes first. Long work that has waited for a while gets
        its guaranteed share even while short work overloads the pool.
        """
        short_since = allocation.oldest_since(needs, False)
        if long >= self.long_limit:
            return None if short_since is None else False
        long_since = allocation.oldest_since(needs, True)
        if long_since is None:
            return None if short_since is None else False
        if short_since is None:
            return True
        return (
            long < self.long_share * self.slots
            and now - long_since > _LONG_PATIENCE_S
        )

    def state(self, entries: int, now: float) -> messages.PoolState:
        """Return what the entries need to know of the pool."""
        short, long = self.waiting()
        since = allocation.oldest_since(self.needs_by_entry.values(), False)
        return messages.PoolState(
            self.pool,
            self.keep(entries),
            short,
            long,
            self.long_limit,
            self.slots,
            0.0 if since is None else max(0.0, now - since),
        )

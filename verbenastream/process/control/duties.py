"""What the leader does on its own: expiry, registration, planning."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

import logbook

from verbenastream import errors as base_errors
from verbenastream.process import membership
from verbenastream.process import reports
from verbenastream.process import state as states
from verbenastream.version import fleet

if TYPE_CHECKING:
    from verbenastream.process.control import fleet_presence
    from verbenastream.process.control import in_force
    from verbenastream.process.control import leadership
    from verbenastream.process.control import leases
    from verbenastream.process.control import log_clock
    from verbenastream.process.control import planning_duty

LOG = logbook.Logger(__name__)

_INTERVAL_S = 0.1
# Partitions of an hour are ordinary; an entry that stays away longer than
# this is removed, one at a time, so that majorities of the registered
# entries before and after each removal intersect.
_REMOVE_ENTRY_AFTER_S = 2 * 3_600.0
_FORGET_LOST_AFTER_S = 86_400.0
_FORGET_INTERVAL_S = 60.0


class Duties:
    """Runs only while this process leads; each failure is logged."""

    def __init__(
        self,
        state: states.ControlState,
        leader: leadership.Leadership,
        book: leases.LeaseBook,
        clock: log_clock.LogClock,
        presence: fleet_presence.FleetPresence,
        tracker: in_force.InForceTracker,
        planner: planning_duty.PlanningDuty,
        propose: Callable[[states.Command], Awaitable[Any]],
        plan_interval_s: float,
    ) -> None:
        self._state = state
        self._leader = leader
        self._book = book
        self._clock = clock
        self._presence = presence
        self._tracker = tracker
        self._planner = planner
        self._propose = propose
        self._plan_interval_s = plan_interval_s
        self._planned_at = float('-inf')
        self._forgot_at = float('-inf')
        self._collector = reports.BurnCollector()

    def count(self, totals: reports.EntryTotals) -> None:
        """Keep an entry's totals until the next merge."""
        self._collector.renewed(totals)

    async def merge_totals(self, now: float, at_once: bool = False) -> None:
        """Commit the entries' totals, ``at_once`` before a report."""
        totals = self._collector.due(now, at_once)
        if totals:
            await self._propose(states.MergeTotals(totals, self._clock.now()))

    async def run(self) -> None:
        """Follow the duties until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_INTERVAL_S)
            if not self._leader.ready:
                continue
            try:
                await self.run_once(loop.time())
            except base_errors.VerbenastreamError as error:
                LOG.warning('duty interrupted: {}', error)
            except Exception:
                LOG.exception('duty failed')

    async def run_once(self, now: float) -> None:
        """Do what is due at monotonic time ``now``."""
        await self._expire_entries(now)
        self._tracker.update(now)
        await self.register()
        if now - self._planned_at >= self._plan_interval_s:
            self._planned_at = now
            await self._planner.run_once(now)
        await self.merge_totals(now)
        if now - self._forgot_at >= _FORGET_INTERVAL_S:
            self._forgot_at = now
            await self._forget(now)

    async def register(self) -> None:
        """Commit instances that are new or have started again."""
        announcements: tuple[membership.Announcement, ...] = (
            self._presence.unregistered(self._state.view.instances_by_id)
        )
        if announcements:
            await self._propose(
                states.AnnounceInstances(announcements, self._clock.now())
            )

    async def _expire_entries(self, now: float) -> None:
        expired = self._book.expired(
            self._state.view.entries_by_id.values(), now
        )
        if expired:
            for ref in expired:
                LOG.warning(
                    'lease of entry {} is over',
                    ref.id,
                    extra={'entry': ref.id},
                )
            await self._propose(
                states.ExpireEntries(expired, self._clock.now())
            )

    async def _forget(self, now: float) -> None:
        for entry in self._state.view.entries_by_id.values():
            if (
                not entry.live
                and self._book.silent_s(entry.id, now) > _REMOVE_ENTRY_AFTER_S
            ):
                ref = states.EntryRef(entry.id, entry.incarnation)
                await self._propose(
                    states.ExpireEntries(
                        (ref,), self._clock.now(), remove=True
                    )
                )
                break
        at = self._clock.now()
        lost = tuple(
            record.id
            for record in self._state.view.instances_by_id.values()
            if record.state is fleet.InstanceState.LOST
            and at - record.since > _FORGET_LOST_AFTER_S
        )
        if lost:
            self._presence.forget(lost)
            await self._propose(states.RemoveInstances(lost, at))

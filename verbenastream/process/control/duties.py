"""Periodic duties of the leader: expiry, registration and planning."""

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

_POLL_INTERVAL_S = 0.1
# Network partitions of an hour are common, so an entry is removed only after
# a longer absence. Entries are removed one at a time, so that majorities of
# the registered entries before and after each removal intersect.
_REMOVE_ENTRY_AFTER_S = 2 * 3_600.0
_REMOVE_LOST_INSTANCE_AFTER_S = 86_400.0
_CLEANUP_INTERVAL_S = 60.0


class LeaderDuties:
    """Runs the duties while this process leads; failures are logged."""

    def __init__(
        self,
        state: states.ControlState,
        leader: leadership.Leadership,
        lease_table: leases.LeaseTable,
        clock: log_clock.LogClock,
        presence: fleet_presence.FleetPresence,
        tracker: in_force.InForceTracker,
        planner: planning_duty.PlanningDuty,
        propose: Callable[[states.Command], Awaitable[Any]],
        plan_interval_s: float,
    ) -> None:
        self._state = state
        self._leader = leader
        self._lease_table = lease_table
        self._clock = clock
        self._presence = presence
        self._tracker = tracker
        self._planner = planner
        self._propose = propose
        self._plan_interval_s = plan_interval_s
        self._last_planned_at = float('-inf')
        self._last_cleanup_at = float('-inf')
        self._burn_collector = reports.BurnCollector()

    def add_totals(self, totals: reports.EntryTotals) -> None:
        """Keep an entry's totals until the next merge."""
        self._burn_collector.store_totals(totals)

    async def merge_totals(
        self, now: float, immediately: bool = False
    ) -> None:
        """Commit the collected totals of the entries that are due.

        ``immediately`` commits all of them, as a report needs it.
        """
        totals = self._burn_collector.take_uncommitted(now, immediately)
        if totals:
            await self._propose(states.MergeTotals(totals, self._clock.now()))

    async def run(self) -> None:
        """Run the duties periodically until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if not self._leader.ready:
                continue
            try:
                await self.run_once(loop.time())
            except base_errors.VerbenastreamError as error:
                LOG.warning('duties of the leader interrupted: {}', error)
            except Exception:
                LOG.exception('duties of the leader failed')

    async def run_once(self, now: float) -> None:
        """Run the duties that are due at the monotonic time ``now``."""
        await self._expire_entries(now)
        self._tracker.update(now)
        await self.register_instances()
        if now - self._last_planned_at >= self._plan_interval_s:
            self._last_planned_at = now
            await self._planner.run_once(now)
        await self.merge_totals(now)
        if now - self._last_cleanup_at >= _CLEANUP_INTERVAL_S:
            self._last_cleanup_at = now
            await self._remove_stale_records(now)

    async def register_instances(self) -> None:
        """Commit instances that are new or have restarted."""
        announcements: tuple[membership.Announcement, ...] = (
            self._presence.unregistered_announcements(
                self._state.view.instances_by_id
            )
        )
        if announcements:
            await self._propose(
                states.AnnounceInstances(announcements, self._clock.now())
            )

    async def _expire_entries(self, now: float) -> None:
        expired = self._lease_table.expired(
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

    async def _remove_stale_records(self, now: float) -> None:
        """Remove one long-expired entry and all long-lost instances."""
        for entry in self._state.view.entries_by_id.values():
            if (
                not entry.live
                and self._lease_table.seconds_since_renewal(entry.id, now)
                > _REMOVE_ENTRY_AFTER_S
            ):
                ref = states.EntryRef(entry.id, entry.incarnation)
                await self._propose(
                    states.ExpireEntries(
                        (ref,), self._clock.now(), remove=True
                    )
                )
                break
        log_time = self._clock.now()
        lost = tuple(
            record.id
            for record in self._state.view.instances_by_id.values()
            if record.state is fleet.InstanceState.LOST
            and log_time - record.since > _REMOVE_LOST_INSTANCE_AFTER_S
        )
        if lost:
            self._presence.remove(lost)
            await self._propose(states.RemoveInstances(lost, log_time))

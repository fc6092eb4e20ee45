"""Answers the renewals of entries with a lease and the latest changes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process import membership
from verbenastream.process import state as states

if TYPE_CHECKING:
    from verbenastream.process.control import leadership
    from verbenastream.process.control import leases
    from verbenastream.process.control import log_clock

# An entry sends its next renewal as soon as it has the reply. So a change
# reaches it at once, and it renews its lease four times before expiry.
_MAX_HOLD_S = 0.5


class RenewalFeed:
    """Answers ``/v1/entries/renew`` as a long poll.

    A lease is granted only while this process is the leader and holds its
    leader lease. This is checked again after the wait, just before the reply.
    """

    def __init__(
        self,
        state: states.ControlState,
        leader: leadership.Leadership,
        lease_table: leases.LeaseTable,
        clock: log_clock.LogClock,
        propose: Callable[[states.Command], Awaitable[Any]],
        lease_s: float,
    ) -> None:
        self._state = state
        self._leader = leader
        self._lease_table = lease_table
        self._clock = clock
        self._propose = propose
        self._lease_s = lease_s
        self._view_changed = asyncio.Event()
        self._notified_index = ids.LogIndex(0)

    def on_applied(self, _: ids.LogIndex) -> None:
        """Wake the waiting renewals if the view changed."""
        if self._state.view.index != self._notified_index:
            self._notified_index = self._state.view.index
            self._view_changed.set()
            self._view_changed = asyncio.Event()

    async def renew(
        self, sender: str, request: membership.RenewRequest
    ) -> membership.RenewReply:
        """Return a lease and the changes, after at most ``_MAX_HOLD_S``."""
        loop = asyncio.get_running_loop()
        received_at = loop.time()
        self._leader.require_ready()
        if sender != request.entry.id:
            raise peers.ErrorStatusError(
                403,
                f'{sender} tries to renew the lease of {request.entry.id}',
                'Give each entry its own "id".',
            )
        await self._register_entry(request)
        self._lease_table.record_renewal(
            request.entry, request.applied_index, received_at
        )
        if self._is_up_to_date(request):
            await self._wait_for_change(
                received_at + _MAX_HOLD_S - loop.time()
            )
        self._leader.require_ready()
        return self._reply(request, self._lease_s)

    async def _register_entry(self, request: membership.RenewRequest) -> None:
        """Commit a new incarnation of an entry, or that it is leaving."""
        entry = msgspec.structs.replace(
            request.entry, live=True, leaving=request.leaving
        )
        if self._state.view.entries_by_id.get(entry.id) == entry:
            return
        accepted = await self._propose(
            states.RegisterEntry(entry, self._clock.now())
        )
        if not accepted:
            raise peers.ErrorStatusError(
                409,
                f'a later incarnation of {entry.id} is registered',
                'Stop the older process or give it an "id" of its own.',
            )

    def _is_up_to_date(self, request: membership.RenewRequest) -> bool:
        view = self._state.view
        return (
            request.applied_index == view.index
            and request.view_digest == view.digest()
        )

    async def _wait_for_change(self, seconds: float) -> None:
        if seconds <= 0:
            return
        view_changed = self._view_changed
        try:
            await asyncio.wait_for(view_changed.wait(), seconds)
        except asyncio.TimeoutError:
            return

    def _reply(
        self, request: membership.RenewRequest, lease_s: float
    ) -> membership.RenewReply:
        view = self._state.view
        diverged = (
            request.applied_index == view.index
            and request.view_digest != view.digest()
        )
        changes = None
        if not diverged:
            changes = self._state.changes_after(request.applied_index)
        return membership.RenewReply(
            lease_s=lease_s,
            index=view.index,
            changes=view.changes() if changes is None else changes,
            snapshot=changes is None,
            base=request.applied_index,
        )

"""Renewals of entries: leases, acknowledgements and changes."""

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

# An entry renews again as soon as it has the reply, so a change reaches it
# at once and its lease is renewed four times before it would expire.
HOLD_S = 0.5


class Feed:
    """Answers ``/v1/entries/renew`` as a long poll.

    A lease is given only while this process leads with a live leader lease;
    that is checked after the wait, when the reply is made.
    """

    def __init__(
        self,
        state: states.ControlState,
        leader: leadership.Leadership,
        book: leases.LeaseBook,
        clock: log_clock.LogClock,
        propose: Callable[[states.Command], Awaitable[Any]],
        lease_s: float,
    ) -> None:
        self._state = state
        self._leader = leader
        self._book = book
        self._clock = clock
        self._propose = propose
        self._lease_s = lease_s
        self._changed = asyncio.Event()
        self._seen = ids.LogIndex(0)

    def on_applied(self, _: ids.LogIndex) -> None:
        """Wake the waiting renewals if the view changed."""
        if self._state.view.index != self._seen:
            self._seen = self._state.view.index
            self._changed.set()
            self._changed = asyncio.Event()

    async def renew(
        self, sender: str, request: membership.RenewRequest
    ) -> membership.RenewReply:
        """Return a lease and what changed, at the latest after 0.5 s."""
        loop = asyncio.get_running_loop()
        received_at = loop.time()
        self._leader.require()
        if sender != request.entry.id:
            raise peers.RefusedError(
                403,
                f'{sender} renews the lease of {request.entry.id}',
                'Give each entry its own "id".',
            )
        await self._register(request)
        self._book.renewed(request.entry, request.applied_index, received_at)
        if self._is_current(request):
            await self._wait(received_at + HOLD_S - loop.time())
        self._leader.require()
        return self._reply(request, self._lease_s)

    async def _register(self, request: membership.RenewRequest) -> None:
        """Commit a new start of an entry, or that it leaves."""
        entry = msgspec.structs.replace(
            request.entry, live=True, leaving=request.leaving
        )
        if self._state.view.entries_by_id.get(entry.id) == entry:
            return
        accepted = await self._propose(
            states.RegisterEntry(entry, self._clock.now())
        )
        if not accepted:
            raise peers.RefusedError(
                409,
                f'a later start of {entry.id} is registered',
                'Stop the older process or give it an "id" of its own.',
            )

    def _is_current(self, request: membership.RenewRequest) -> bool:
        view = self._state.view
        return (
            request.applied_index == view.index
            and request.view_digest == view.digest()
        )

    async def _wait(self, seconds: float) -> None:
        if seconds <= 0:
            return
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), seconds)
        except asyncio.TimeoutError:
            return

    def _reply(
        self, request: membership.RenewRequest, lease_s: float
    ) -> membership.RenewReply:
        view = self._state.view
        differs = (
            request.applied_index == view.index
            and request.view_digest != view.digest()
        )
        changes = None
        if not differs:
            changes = self._state.changes_after(request.applied_index)
        return membership.RenewReply(
            lease_s=lease_s,
            index=view.index,
            changes=view.changes() if changes is None else changes,
            snapshot=changes is None,
            base=request.applied_index,
        )

"""Renews the entry's lease and applies the state changes in the replies."""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

import logbook
from reactivex import subject

from verbenastream.connection import peers
from verbenastream.process import clock
from verbenastream.process.membership import messages
from verbenastream.process.membership import view as views

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.process.entry import leader
    from verbenastream.process import reports
    from verbenastream.process import settings

LOG = logbook.Logger(__name__)

_RETRY_INTERVAL_S = 0.05
# Control answers the long poll after 0.5 s at most; a leader that has not
# answered after this timeout is treated as failed.
_CALL_TIMEOUT_S = 1.0


class LoadSource(Protocol):
    """Load figures for renewals; methods return None if none are due."""

    def totals(
        self, now: float, at_once: bool = False
    ) -> reports.EntryTotals | None: ...

    def busy_by_service(
        self, now: float
    ) -> dict[ids.ServiceId, float] | None: ...


class LeaseKeeper:
    """Keeps the lease of this entry and its view of the committed state.

    ``views`` emits the view after each change. The lease starts when the
    renewal is sent, so that a slow answer shortens it.
    """

    def __init__(
        self,
        control: leader.LeaderClient,
        entry: messages.EntryRecord,
        timings: settings.EntryTimings,
    ) -> None:
        self._control = control
        self._entry = entry
        self._timings = timings
        self._valid_until = 0.0
        self.leaving = False
        self.load_source: LoadSource | None = None
        self.view = views.EntryView()
        self.views: subject.Subject[views.EntryView] = subject.Subject()

    def is_valid(self, now: float) -> bool:
        """Whether this entry holds a lease at boot time ``now``."""
        return now < self._valid_until

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            try:
                await self._renew()
            except peers.PeerError as error:
                LOG.debug('lease not renewed: {}', error)
                await asyncio.sleep(_RETRY_INTERVAL_S)

    async def send_final_counts(self) -> None:
        """Send the final request counts of an entry that stops."""
        try:
            await self._renew(final=True)
        except peers.PeerError as error:
            LOG.warning(
                'final request counts not delivered to control: {}', error
            )

    async def _renew(self, final: bool = False) -> None:
        sent_at = clock.boot_time()
        request = messages.RenewRequest(
            self._entry,
            self.view.index,
            self.view.digest(),
            self.leaving,
            self.load_source.totals(sent_at, final)
            if self.load_source
            else None,
            self.load_source.busy_by_service(sent_at)
            if self.load_source
            else None,
        )
        reply = await self._control.call(
            '/v1/entries/renew',
            request,
            messages.RenewReply,
            _CALL_TIMEOUT_S,
        )
        if not self.view.apply(reply):
            LOG.warning(
                'older state ignored',
                extra={'index': reply.index, 'applied': self.view.index},
            )
            await asyncio.sleep(_RETRY_INTERVAL_S)
            return
        self._valid_until = max(self._valid_until, sent_at + reply.lease_s)
        if reply.changes or reply.snapshot:
            LOG.info(
                'state applied',
                extra={
                    'index': reply.index,
                    'changes': len(reply.changes),
                },
            )
            self.views.on_next(self.view)

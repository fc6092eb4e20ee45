"""Receives announcements of targets and exchanges presence reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TYPE_CHECKING

import logbook
import msgspec
from reactivex import subject

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.entry import outbox
from verbenastream.process.entry import quorum
from verbenastream.process.membership import messages
from verbenastream.process.membership import presence
from verbenastream.process.membership import presence_events as events
from verbenastream.version import fleet

if TYPE_CHECKING:
    from verbenastream.process.entry import leader
    from verbenastream.process.membership import view as views
    from verbenastream.process import settings

LOG = logbook.Logger(__name__)

_CALL_TIMEOUT_S = 1.0
_ANNOUNCE_INTERVAL_S = 0.5
_NO_LEASE_REPORT_INTERVAL_S = 0.25


class PresenceExchange:
    """Connects the presence table to targets, other entries and control.

    ``changes`` emits after each change of ``present_by_id``.
    """

    def __init__(
        self,
        entry: messages.EntryRecord,
        client: peers.PeerClient,
        control: leader.LeaderClient,
        current_view: Callable[[], views.EntryView],
        interval_s: float,
    ) -> None:
        self._entry = entry
        self._client = client
        self._control = control
        self._current_view = current_view
        self._interval_s = interval_s
        self._table = presence.PresenceTable(
            entry.id, entry.incarnation, entry.data_centre
        )
        self._peers_by_id: dict[ids.EntryId, settings.Peer] = {}
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._has_lease = False
        self.peer_leases: dict[ids.EntryId, quorum.PeerLease] = {}
        self.present_by_id: dict[ids.InstanceId, presence.TargetPresence] = {}
        self.changes: subject.Subject[None] = subject.Subject()

    def set_peers(self, peers_by_id: dict[ids.EntryId, settings.Peer]) -> None:
        self._peers_by_id = dict(peers_by_id)

    def set_lease(self, has_lease: bool) -> None:
        """Report a change of this entry's lease to the other entries."""
        if has_lease != self._has_lease:
            self._has_lease = has_lease
            self._send_lease_state()

    async def run(self) -> None:
        """Send reports every presence interval until cancelled."""
        while True:
            await asyncio.sleep(
                self._interval_s
                if self._has_lease
                else _NO_LEASE_REPORT_INTERVAL_S
            )
            self._update_draining()
            self._handle(events.Tick())
            if not self._has_lease:
                # Entries without a lease decide by a quorum whether control
                # is lost, which requires recent reports.
                self._send_lease_state()

    async def handle_announcement(
        self, sender: str, announcement: messages.Announcement
    ) -> messages.AnnouncementReply:
        """Return the pool that the target serves and its epoch."""
        if not self._handle(events.Announced(announcement)):
            raise peers.ErrorStatusError(
                409,
                f'a newer process of instance {announcement.id} exists',
                'Stop the older process.',
            )
        record = self._current_view().instances_by_id.get(announcement.id)
        if record is None:
            return messages.AnnouncementReply(
                None, ids.Epoch(0), _ANNOUNCE_INTERVAL_S
            )
        serving = record.state is fleet.InstanceState.SERVING
        return messages.AnnouncementReply(
            record.pool if serving else None,
            record.epoch,
            _ANNOUNCE_INTERVAL_S,
        )

    async def handle_report(
        self, sender: str, report: messages.PresenceReport
    ) -> outbox.EmptyReply:
        """Handle the report of another entry."""
        self.peer_leases[report.entry] = quorum.PeerLease(
            report.has_lease, report.applied_index, clock.boot_time()
        )
        self._handle(events.ReportReceived(report))
        return outbox.EmptyReply()

    def _handle(self, event: events.PresenceEvent) -> bool:
        """Execute the table's actions; False if it refused the event."""
        accepted = True
        for action in self._table.handle(event, clock.boot_time()):
            match action:
                case events.SendReport(recipient=recipient, report=report):
                    self._send(recipient, report)
                case events.AnnouncementRefused():
                    accepted = False
                case events.TargetsChanged():
                    self._publish_targets()
        return accepted

    def _publish_targets(self) -> None:
        self.present_by_id = {
            target.announcement.id: target for target in self._table.targets()
        }
        self.changes.on_next(None)

    def _update_draining(self) -> None:
        draining = frozenset(
            record.id
            for record in self._current_view().instances_by_id.values()
            if record.state is fleet.InstanceState.DRAINING
        )
        self._handle(events.DrainingInstancesChanged(draining))

    def _send_lease_state(self) -> None:
        report = messages.PresenceReport(
            self._entry.id, self._entry.incarnation, self._entry.data_centre
        )
        self._send_to_entries(list(self._peers_by_id), report)

    def _send(
        self, recipient: events.Recipient, report: messages.PresenceReport
    ) -> None:
        match recipient:
            case events.AllPeersAndControl():
                self._send_to_entries(list(self._peers_by_id), report)
                self._start_send(self._send_to_control(report))
            case events.DataCentre(id=data_centre):
                entries = self._current_view().entries_by_id
                self._send_to_entries(
                    [
                        entry
                        for entry in self._peers_by_id
                        if entries[entry].data_centre == data_centre
                    ],
                    report,
                )
            case events.Entry(id=entry):
                self._send_to_entries([entry], report)
            case events.Control():
                self._start_send(self._send_to_control(report))

    def _send_to_entries(
        self, entries: list[ids.EntryId], report: messages.PresenceReport
    ) -> None:
        report_with_lease = self._with_lease_state(report)
        for entry in entries:
            peer = self._peers_by_id.get(entry)
            if peer is not None:
                self._start_send(self._send_to_entry(peer, report_with_lease))

    def _with_lease_state(
        self, report: messages.PresenceReport
    ) -> messages.PresenceReport:
        return msgspec.structs.replace(
            report,
            has_lease=self._has_lease,
            applied_index=self._current_view().index,
        )

    async def _send_to_entry(
        self, peer: settings.Peer, report: messages.PresenceReport
    ) -> None:
        try:
            await self._client.call(
                peer,
                '/v1/peer/presence',
                report,
                outbox.EmptyReply,
                _CALL_TIMEOUT_S,
            )
        except peers.PeerError as error:
            LOG.debug('presence report to entry not delivered: {}', error)

    async def _send_to_control(self, report: messages.PresenceReport) -> None:
        try:
            reply = await self._control.call(
                '/v1/presence',
                self._with_lease_state(report),
                messages.PresenceReply,
                _CALL_TIMEOUT_S,
            )
        except peers.PeerError as error:
            LOG.debug('presence report to control not delivered: {}', error)
            return
        if reply.wants_complete:
            self._handle(events.CompleteRequested())

    def _start_send(self, send: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(send)
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

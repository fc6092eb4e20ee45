"""Presence of targets as observed by one entry.

A target announces itself once per second, through the load balancer, to any
entry. That entry forwards the renewal to the entries of the target's data
centre. Only these decide whether the target is present; other data centres
and control receive changes only.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

import logbook
import msgspec

from verbenastream import ids
from verbenastream.process.membership import incoming
from verbenastream.process.membership import messages
from verbenastream.process.membership import observed
from verbenastream.process.membership import presence_events as events

LOG = logbook.Logger(__name__)

_HEARTBEAT_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPresence:
    """A present target; a ``suspected`` target gets no new work."""

    announcement: messages.Announcement
    suspected: bool


class PresenceTable:
    """The targets known from announcements and reports of other entries."""

    def __init__(
        self,
        entry: ids.EntryId,
        incarnation: ids.Incarnation,
        data_centre: ids.DataCentreId,
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._store = observed.TargetStore(data_centre)
        self._draining_ids: frozenset[ids.InstanceId] = frozenset()
        self._changed_ids: set[ids.InstanceId] = set()
        self._renewed_ids: set[ids.InstanceId] = set()
        self._gone_ids: set[ids.InstanceId] = set()
        self._last_heartbeat_at = float('-inf')

    def handle(
        self, event: events.PresenceEvent, now: float
    ) -> list[events.PresenceAction]:
        """Apply an event; return what to send and whether targets changed."""
        actions: list[events.PresenceAction] = []
        match event:
            case events.Announced(announcement=announcement):
                self._handle_announcement(announcement, now, actions)
            case events.ReportReceived(report=report):
                up_to_date = incoming.apply_report(self._store, report, now)
                sender = events.Entry(report.entry)
                if not up_to_date:
                    request = self._new_report(wants_complete=True)
                    self._send(sender, request, actions)
                if report.wants_complete:
                    self._send(sender, self._complete_report(now), actions)
            case events.DrainingInstancesChanged(instances=instances):
                self._draining_ids = instances
            case events.CompleteRequested():
                self._send(
                    events.Control(), self._complete_report(now), actions
                )
            case events.Tick():
                self._tick(now, actions)
        if self._store.changed:
            self._store.changed = False
            actions.append(events.TargetsChanged())
        return actions

    def targets(self) -> tuple[TargetPresence, ...]:
        """Return all present targets, sorted by id."""
        return tuple(
            TargetPresence(target.announcement, target.suspected)
            for _, target in sorted(self._store.targets_by_id.items())
        )

    def _handle_announcement(
        self,
        announcement: messages.Announcement,
        now: float,
        actions: list[events.PresenceAction],
    ) -> None:
        known_incarnation = self._store.known_incarnation(announcement.id)
        if announcement.incarnation < known_incarnation:
            actions.append(
                events.AnnouncementRefused(announcement.id, known_incarnation)
            )
            return
        target = self._store.targets_by_id.get(announcement.id)
        previous = None if target is None else target.announcement
        target = self._store.apply_announcement(announcement, now, now)
        target.heard_directly_at = now
        self._renewed_ids.add(announcement.id)
        if previous is None or _differs_beyond_running(previous, announcement):
            self._changed_ids.add(announcement.id)
        if announcement.leaving and (previous is None or not previous.leaving):
            # All slot owners must stop granting slots of the target at once.
            self._report_changes(now, actions)

    def _own_digest(self) -> str:
        return observed.digest(
            [
                (
                    instance,
                    target.announcement.incarnation,
                    bool(target.reported_suspected),
                )
                for instance, target in self._store.targets_by_id.items()
                if target.announcement.data_centre == self._data_centre
                and target.reported_suspected is not None
            ]
        )

    def _tick(self, now: float, actions: list[events.PresenceAction]) -> None:
        for instance in self._store.update_suspicions(now):
            self._gone_ids.add(instance)
        heartbeat_due = now - self._last_heartbeat_at >= _HEARTBEAT_INTERVAL_S
        if heartbeat_due:
            # Control needs running counts from after the drain began.
            self._changed_ids.update(
                instance
                for instance in self._draining_ids
                if instance in self._store.targets_by_id
            )
        self._report_changes(now, actions)
        self._send_renewals(now, actions)
        if heartbeat_due:
            self._last_heartbeat_at = now
            self._store.remove_expired(now)
            report = self._new_report(
                digest=self._own_digest(), unheard=self._unheard_ids(now)
            )
            self._send(events.AllPeersAndControl(), report, actions)

    def _report_changes(
        self, now: float, actions: list[events.PresenceAction]
    ) -> None:
        """Send what changed since the last report to all recipients."""
        present = []
        for instance in sorted(
            self._changed_ids | self._store.unreported | self._draining_ids
        ):
            target = self._store.targets_by_id.get(instance)
            if target is not None and self._needs_report(
                instance, target, now
            ):
                present.append(self._presence(target, now))
                target.reported_suspected = target.suspected
                target.reported_running = target.announcement.running
        self._changed_ids.clear()
        self._store.unreported.clear()
        gone = tuple(sorted(self._gone_ids))
        self._gone_ids.clear()
        if present or gone:
            report = self._new_report(present=tuple(present), gone=gone)
            self._send(events.AllPeersAndControl(), report, actions)

    def _needs_report(
        self,
        instance: ids.InstanceId,
        target: observed.ObservedTarget,
        now: float,
    ) -> bool:
        if instance in self._changed_ids:
            return True
        if not self._store.is_responsible_for(target, now):
            return False
        if target.suspected != target.reported_suspected:
            return True
        return instance in self._draining_ids and (
            (target.announcement.running == 0)
            != (target.reported_running == 0)
        )

    def _send_renewals(
        self, now: float, actions: list[events.PresenceAction]
    ) -> None:
        renewals_by_data_centre: dict[
            ids.DataCentreId, list[messages.Renewal]
        ] = {}
        for instance in sorted(self._renewed_ids):
            target = self._store.targets_by_id.get(instance)
            if target is None:
                continue
            announcement = target.announcement
            renewals_by_data_centre.setdefault(
                announcement.data_centre, []
            ).append(
                messages.Renewal(
                    instance,
                    announcement.incarnation,
                    round(now - target.heard_directly_at, 3),
                    announcement.running,
                )
            )
        self._renewed_ids.clear()
        for data_centre, renewals in renewals_by_data_centre.items():
            recipient: events.Recipient = events.DataCentre(data_centre)
            if (
                data_centre != self._data_centre
                and not self._store.has_live_entry(data_centre, now)
            ):
                recipient = events.AllPeersAndControl()
            report = self._new_report(renewed=tuple(renewals))
            self._send(recipient, report, actions)

    def _unheard_ids(self, now: float) -> tuple[ids.InstanceId, ...]:
        """Return suspected targets of other data centres, silent here too."""
        return tuple(
            sorted(
                instance
                for instance, target in self._store.targets_by_id.items()
                if target.suspected
                and target.announcement.data_centre != self._data_centre
                and now - target.heard_directly_at > observed.REMOVE_AFTER_S
            )
        )

    def _presence(
        self, target: observed.ObservedTarget, now: float
    ) -> messages.Presence:
        return messages.Presence(
            target.announcement,
            round(max(0.0, now - target.heard_at), 3),
            target.suspected,
        )

    def _complete_report(self, now: float) -> messages.PresenceReport:
        """Report the targets that this entry decides on or hears directly."""
        present = [
            self._presence(target, now)
            for target in self._store.targets_by_id.values()
            if self._store.is_responsible_for(target, now)
            or now - target.heard_directly_at <= observed.REMOVE_AFTER_S
        ]
        return self._new_report(complete=True, present=present)

    def _new_report(
        self,
        present: Iterable[messages.Presence] = (),
        gone: tuple[ids.InstanceId, ...] = (),
        complete: bool = False,
        renewed: tuple[messages.Renewal, ...] = (),
        unheard: tuple[ids.InstanceId, ...] = (),
        digest: str = '',
        wants_complete: bool = False,
    ) -> messages.PresenceReport:
        return messages.PresenceReport(
            entry=self._entry,
            incarnation=self._incarnation,
            data_centre=self._data_centre,
            present=tuple(present),
            gone=gone,
            complete=complete,
            renewed=renewed,
            unheard=unheard,
            digest=digest,
            wants_complete=wants_complete,
        )

    def _send(
        self,
        to: events.Recipient,
        report: messages.PresenceReport,
        actions: list[events.PresenceAction],
    ) -> None:
        actions.append(events.SendReport(to, report))


def _differs_beyond_running(
    previous: messages.Announcement, current: messages.Announcement
) -> bool:
    """Whether anything but the running count changed."""
    return previous != msgspec.structs.replace(
        current, running=previous.running
    )

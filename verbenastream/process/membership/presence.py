"""Presence of targets as seen by one entry.

A target announces itself once per second to any entry, by way of the load
balancer. The entry passes the renewal to the entries of the target's data
centre, which alone judge whether the target is present; the other data
centres and control get changes only.
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

_HEARTBEAT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPresence:
    """A present target; ``suspected`` ones get no new work."""

    announcement: messages.Announcement
    suspected: bool


class PresenceTable:
    """Targets by announcements and by the reports of other entries."""

    def __init__(
        self,
        entry: ids.EntryId,
        incarnation: ids.Incarnation,
        data_centre: ids.DataCentreId,
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._store = observed.Store(data_centre)
        self._watched: frozenset[ids.InstanceId] = frozenset()
        self._changed: set[ids.InstanceId] = set()
        self._renewed: set[ids.InstanceId] = set()
        self._gone: set[ids.InstanceId] = set()
        self._heartbeat_at = float('-inf')

    def handle(
        self, event: events.PresenceEvent, now: float
    ) -> list[events.PresenceAction]:
        """Return what to send and whether ``targets`` changed."""
        actions: list[events.PresenceAction] = []
        match event:
            case events.Announced(announcement=announcement):
                self._announced(announcement, now, actions)
            case events.ReportReceived(report=report):
                known = incoming.receive(self._store, report, now)
                sender = events.Entry(report.entry)
                if not known:
                    wanted = self._report(wants_complete=True)
                    self._send(sender, wanted, actions)
                if report.wants_complete:
                    self._send(sender, self._complete(now), actions)
            case events.Watched(instances=instances):
                self._watched = instances
            case events.CompleteRequested():
                self._send(events.Control(), self._complete(now), actions)
            case events.Tick():
                self._tick(now, actions)
        if self._store.changed:
            self._store.changed = False
            actions.append(events.TargetsChanged())
        return actions

    def targets(self) -> tuple[TargetPresence, ...]:
        """Return all present targets, sorted by id."""
        return tuple(
            TargetPresence(found.announcement, found.suspected)
            for _, found in sorted(self._store.targets_by_id.items())
        )

    def _announced(
        self,
        announcement: messages.Announcement,
        now: float,
        actions: list[events.PresenceAction],
    ) -> None:
        known = self._store.known_incarnation(announcement.id)
        if announcement.incarnation < known:
            actions.append(events.AnnouncementRefused(announcement.id, known))
            return
        found = self._store.targets_by_id.get(announcement.id)
        before = None if found is None else found.announcement
        found = self._store.hear(announcement, now, now)
        found.heard_directly_at = now
        self._renewed.add(announcement.id)
        if before is None or _differs(before, announcement):
            self._changed.add(announcement.id)
        if announcement.leaving and (before is None or not before.leaving):
            # Every owner must stop granting at once.
            self._flush_changes(now, actions)

    def _own_digest(self) -> str:
        return observed.digest(
            [
                (
                    instance,
                    found.announcement.incarnation,
                    bool(found.reported_suspected),
                )
                for instance, found in self._store.targets_by_id.items()
                if found.announcement.data_centre == self._data_centre
                and found.reported_suspected is not None
            ]
        )

    def _tick(self, now: float, actions: list[events.PresenceAction]) -> None:
        for instance in self._store.judge_all(now):
            self._gone.add(instance)
        beats = now - self._heartbeat_at >= _HEARTBEAT_S
        if beats:
            # Control needs the running count after the drain began.
            self._changed.update(
                instance
                for instance in self._watched
                if instance in self._store.targets_by_id
            )
        self._flush_changes(now, actions)
        self._send_renewals(now, actions)
        if beats:
            self._heartbeat_at = now
            self._store.forget_old(now)
            report = self._report(
                digest=self._own_digest(), unheard=self._unheard(now)
            )
            self._send(events.Everyone(), report, actions)

    def _flush_changes(
        self, now: float, actions: list[events.PresenceAction]
    ) -> None:
        """Tell everyone what changed since the last report."""
        present = []
        for instance in sorted(
            self._changed | self._store.news | self._watched
        ):
            found = self._store.targets_by_id.get(instance)
            if found is not None and self._is_news(instance, found, now):
                present.append(self._presence(found, now))
                found.reported_suspected = found.suspected
                found.reported_running = found.announcement.running
        self._changed.clear()
        self._store.news.clear()
        gone = tuple(sorted(self._gone))
        self._gone.clear()
        if present or gone:
            report = self._report(present=tuple(present), gone=gone)
            self._send(events.Everyone(), report, actions)

    def _is_news(
        self, instance: ids.InstanceId, found: observed.Observed, now: float
    ) -> bool:
        if instance in self._changed:
            return True
        if not self._store.is_home(found, now):
            return False
        if found.suspected != found.reported_suspected:
            return True
        return instance in self._watched and (
            (found.announcement.running == 0) != (found.reported_running == 0)
        )

    def _send_renewals(
        self, now: float, actions: list[events.PresenceAction]
    ) -> None:
        by_data_centre: dict[ids.DataCentreId, list[messages.Renewal]] = {}
        for instance in sorted(self._renewed):
            found = self._store.targets_by_id.get(instance)
            if found is None:
                continue
            announcement = found.announcement
            by_data_centre.setdefault(announcement.data_centre, []).append(
                messages.Renewal(
                    instance,
                    announcement.incarnation,
                    round(now - found.heard_directly_at, 3),
                    announcement.running,
                )
            )
        self._renewed.clear()
        for home, renewals in by_data_centre.items():
            recipient: events.Recipient = events.DataCentre(home)
            if home != self._data_centre and not self._store.has_entries(
                home, now
            ):
                recipient = events.Everyone()
            report = self._report(renewed=tuple(renewals))
            self._send(recipient, report, actions)

    def _unheard(self, now: float) -> tuple[ids.InstanceId, ...]:
        """Return suspected targets of others that are silent here too."""
        return tuple(
            sorted(
                instance
                for instance, found in self._store.targets_by_id.items()
                if found.suspected
                and found.announcement.data_centre != self._data_centre
                and now - found.heard_directly_at > observed.REMOVE_AFTER_S
            )
        )

    def _presence(
        self, found: observed.Observed, now: float
    ) -> messages.Presence:
        return messages.Presence(
            found.announcement,
            round(max(0.0, now - found.heard_at), 3),
            found.suspected,
        )

    def _complete(self, now: float) -> messages.PresenceReport:
        """Report what this entry judges and what it hears itself."""
        present = [
            self._presence(found, now)
            for found in self._store.targets_by_id.values()
            if self._store.is_home(found, now)
            or now - found.heard_directly_at <= observed.REMOVE_AFTER_S
        ]
        return self._report(complete=True, present=present)

    def _report(
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


def _differs(
    before: messages.Announcement, after: messages.Announcement
) -> bool:
    """Whether more changed than the running count."""
    return before != msgspec.structs.replace(after, running=before.running)

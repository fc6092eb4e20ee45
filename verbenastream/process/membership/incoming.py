"""Applies presence reports of other entries to the targets of an entry."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.membership import observed


def apply_report(
    store: observed.TargetStore, report: messages.PresenceReport, now: float
) -> bool:
    """Apply a report; return False if this entry needs a complete one.

    A report of an earlier incarnation of its sender is ignored.
    """
    peer = store.peers_by_id.get(report.entry)
    if peer is not None and report.incarnation < peer.incarnation:
        return True
    store.update_peer(
        report.entry,
        observed.Peer(report.data_centre, report.incarnation, now),
    )
    for presence in report.present:
        _apply_presence(store, report, presence, now)
    all_known = _apply_renewals(store, report, now)
    for instance in report.gone:
        _apply_gone(store, report.entry, instance, now)
    if report.complete:
        _remove_unlisted(store, report, now)
    _apply_unheard(store, report)
    if report.complete or not report.digest:
        return all_known
    if report.data_centre == store.data_centre:
        return all_known
    return all_known and report.digest == report_digest(store, report.entry)


def report_digest(store: observed.TargetStore, entry: ids.EntryId) -> str:
    """Return the digest of what ``entry`` has reported, as stored here."""
    rows = []
    for instance in store.instances_by_reporter.get(entry, ()):
        observation = store.targets_by_id[instance].observations_by_entry[
            entry
        ]
        rows.append((instance, observation.incarnation, observation.suspected))
    return observed.digest(rows)


def _apply_presence(
    store: observed.TargetStore,
    report: messages.PresenceReport,
    presence: messages.Presence,
    now: float,
) -> None:
    announcement = presence.announcement
    if announcement.incarnation < store.known_incarnation(announcement.id):
        return
    if (
        announcement.id not in store.targets_by_id
        and presence.age_s > observed.REMOVE_AFTER_S
    ):
        return
    target = store.apply_announcement(announcement, now - presence.age_s, now)
    if report.data_centre == announcement.data_centre:
        store.set_observation(
            target,
            report.entry,
            observed.Observation(announcement.incarnation, presence.suspected),
        )
    if not store.is_responsible_for(target, now):
        store.set_suspected(target, target.suspected_by_all)


def _apply_renewals(
    store: observed.TargetStore, report: messages.PresenceReport, now: float
) -> bool:
    """Apply renewals; return False if a renewed target is unknown here."""
    all_known = True
    for renewal in report.renewed:
        target = store.targets_by_id.get(renewal.id)
        if (
            target is None
            or target.announcement.incarnation < renewal.incarnation
        ):
            all_known = False
        elif target.announcement.incarnation == renewal.incarnation:
            announcement = target.announcement
            if announcement.running != renewal.running:
                announcement = msgspec.structs.replace(
                    announcement, running=renewal.running
                )
            store.apply_announcement(announcement, now - renewal.age_s, now)
    return all_known


def _apply_gone(
    store: observed.TargetStore,
    sender: ids.EntryId,
    instance: ids.InstanceId,
    now: float,
) -> None:
    target = store.targets_by_id.get(instance)
    if target is None:
        return
    store.remove_observation(target, sender)
    if store.is_responsible_for(target, now):
        return
    if target.observations_by_entry:
        store.set_suspected(target, target.suspected_by_all)
    else:
        store.remove(instance, now)


def _remove_unlisted(
    store: observed.TargetStore, report: messages.PresenceReport, now: float
) -> None:
    listed = {presence.announcement.id for presence in report.present}
    reported = store.instances_by_reporter.get(report.entry, set())
    for instance in reported - listed:
        _apply_gone(store, report.entry, instance, now)


def _apply_unheard(
    store: observed.TargetStore, report: messages.PresenceReport
) -> None:
    if report.data_centre == store.data_centre:
        return
    for instance in report.unheard:
        target = store.targets_by_id.get(instance)
        if target is not None and target.suspected:
            target.confirmed_lost = True

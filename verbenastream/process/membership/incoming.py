"""Applies the reports of other entries to the targets of one entry."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.membership import observed


def receive(
    store: observed.Store, report: messages.PresenceReport, now: float
) -> bool:
    """Apply a report; False if this entry needs a complete one.

    A report of an earlier start of its sender is ignored.
    """
    peer = store.peers_by_id.get(report.entry)
    if peer is not None and report.incarnation < peer.incarnation:
        return True
    store.receive_from(
        report.entry,
        observed.Peer(report.data_centre, report.incarnation, now),
    )
    for presence in report.present:
        _take_presence(store, report, presence, now)
    known = _take_renewals(store, report, now)
    for instance in report.gone:
        _take_gone(store, report.entry, instance, now)
    if report.complete:
        _drop_unlisted(store, report, now)
    _take_unheard(store, report)
    if report.complete or not report.digest:
        return known
    if report.data_centre == store.data_centre:
        return known
    return known and report.digest == digest_of(store, report.entry)


def digest_of(store: observed.Store, entry: ids.EntryId) -> str:
    """Return the digest of what ``entry`` said, as held here."""
    rows = []
    for instance in store.instances_by_reporter.get(entry, ()):
        opinion = store.targets_by_id[instance].opinions_by_entry[entry]
        rows.append((instance, opinion.incarnation, opinion.suspected))
    return observed.digest(rows)


def _take_presence(
    store: observed.Store,
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
    found = store.hear(announcement, now - presence.age_s, now)
    if report.data_centre == announcement.data_centre:
        store.set_opinion(
            found,
            report.entry,
            observed.Opinion(announcement.incarnation, presence.suspected),
        )
    if not store.is_home(found, now):
        store.set_suspected(found, found.all_suspect)


def _take_renewals(
    store: observed.Store, report: messages.PresenceReport, now: float
) -> bool:
    """Apply renewals; False if one is of a target not known here."""
    known = True
    for renewal in report.renewed:
        found = store.targets_by_id.get(renewal.id)
        if (
            found is None
            or found.announcement.incarnation < renewal.incarnation
        ):
            known = False
        elif found.announcement.incarnation == renewal.incarnation:
            announcement = found.announcement
            if announcement.running != renewal.running:
                announcement = msgspec.structs.replace(
                    announcement, running=renewal.running
                )
            store.hear(announcement, now - renewal.age_s, now)
    return known


def _take_gone(
    store: observed.Store,
    sender: ids.EntryId,
    instance: ids.InstanceId,
    now: float,
) -> None:
    found = store.targets_by_id.get(instance)
    if found is None:
        return
    store.drop_opinion(found, sender)
    if store.is_home(found, now):
        return
    if found.opinions_by_entry:
        store.set_suspected(found, found.all_suspect)
    else:
        store.remove(instance, now)


def _drop_unlisted(
    store: observed.Store, report: messages.PresenceReport, now: float
) -> None:
    listed = {presence.announcement.id for presence in report.present}
    known = store.instances_by_reporter.get(report.entry, set())
    for instance in known - listed:
        _take_gone(store, report.entry, instance, now)


def _take_unheard(
    store: observed.Store, report: messages.PresenceReport
) -> None:
    if report.data_centre == store.data_centre:
        return
    for instance in report.unheard:
        found = store.targets_by_id.get(instance)
        if found is not None and found.suspected:
            found.confirmed_lost = True

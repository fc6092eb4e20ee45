"""The replicated state machine, which applies commands in log order."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import logbook
import msgspec

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.membership import view as views
from verbenastream.process.reports import history
from verbenastream.process.state import claims as claim_tables
from verbenastream.process.state import commands
from verbenastream.process.state import documents as document_tables
from verbenastream.process.state import fleet_log as fleet_logs
from verbenastream.process.state import image
from verbenastream.process.state import instances as lifecycle
from verbenastream.request import claims
from verbenastream.version.documents import fleet_checks
from verbenastream.version import fleet
from verbenastream.version import planning
from verbenastream import wire

LOG = logbook.Logger(__name__)

# View changes kept for entries that lag; an entry that lags further gets a
# snapshot.
_MAX_KEPT_CHANGES = 4096
# The fleet counts as complete this long after the last new instance.
_FLEET_COMPLETE_AFTER_S = 30.0
_EXPIRY_INTERVAL_S = 60.0


class ControlState:
    """State machine of the control processes.

    ``apply`` is deterministic: it reads no clock and draws no random number,
    and an invalid command gets a verdict instead of an exception. ``view``
    is the part that entries receive; ``view.index`` is the log index of its
    last change.
    """

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self.index = ids.LogIndex(0)
        self.time = 0.0
        self.view = views.EntryView()
        self.documents = document_tables.DocumentTable()
        self.claims = claim_tables.ClaimTable()
        self.notices_by_id: dict[str, planning.Notice] = {}
        self.fleet_log = fleet_logs.FleetLog()
        self.burn = history.BurnHistory()
        self.claims_expired_at = 0.0
        self.fleet_changed_at = 0.0
        self._changes: collections.deque[
            tuple[ids.LogIndex, messages.ViewChange]
        ] = collections.deque()
        # Index of the last change that is no longer kept.
        self._last_dropped_change = ids.LogIndex(0)

    def apply(self, index: ids.LogIndex, payload: bytes) -> Any:
        """Apply one command and return its result."""
        command = wire.decode(payload, commands.Command)  # type: ignore
        self.index = index
        self.time = max(self.time, command.at)
        match command:
            case commands.SubmitDocument():
                return self._submit(command)
            case commands.RegisterEntry(entry=entry):
                return self._register(entry)
            case commands.ExpireEntries():
                return self._expire_entries(command)
            case commands.ApplyClaims(batches=batches):
                self._expire_claims()
                return commands.ClaimsResult(
                    tuple(self._apply_batch(batch) for batch in batches)
                )
            case commands.AnnounceInstances(announcements=announcements):
                return self._announce(announcements)
            case commands.ChangeInstances(transitions=transitions):
                return commands.TransitionsResult(
                    tuple(self._transition(change) for change in transitions)
                )
            case commands.RemoveInstances(instances=instances):
                return self._remove_instances(instances)
            case commands.RecordNotice(notice=notice):
                self._record_notice(notice)
            case commands.MergeTotals(totals=totals, at=at):
                self.burn.merge(totals, at)
        return None

    def changes_after(
        self, index: ids.LogIndex
    ) -> tuple[messages.ViewChange, ...] | None:
        """Return each object's latest view change after ``index``.

        None if some changes are no longer kept, so that the entry needs a
        snapshot.
        """
        if index < self._last_dropped_change or index > self.view.index:
            return None
        latest_by_object: dict[tuple[str, str], messages.ViewChange] = {}
        for changed_at, change in reversed(self._changes):
            if changed_at <= index:
                break
            latest_by_object.setdefault(_changed_object(change), change)
        return tuple(reversed(latest_by_object.values()))

    def snapshot(self) -> bytes:
        return image.encode(self)

    def restore(self, data: bytes) -> None:
        self._reset()
        image.restore(self, data)

    def clear_changes(self) -> None:
        """Drop the kept changes, so that entries that lag get a snapshot."""
        self._changes.clear()
        self._last_dropped_change = self.view.index

    def _apply_change(self, change: messages.ViewChange) -> None:
        self.view.apply_change(change)
        self.view.index = self.index
        self._changes.append((self.index, change))
        while len(self._changes) > _MAX_KEPT_CHANGES:
            self._last_dropped_change = self._changes.popleft()[0]

    def _submit(
        self, command: commands.SubmitDocument
    ) -> commands.SubmitResult:
        before = self.documents.current(
            ids.ServiceId(command.document.service)
        )
        result = self.documents.submit(
            self.index, command, self._fleet_summary
        )
        after = self.documents.current(result.service)
        if after is not None and after is not before:
            self._apply_change(
                messages.DocumentChanged(after.revision, after.document)
            )
        return result

    def _fleet_summary(self) -> fleet_checks.FleetSummary:
        instances = self.view.instances_by_id.values()
        data_centres = {item.data_centre for item in instances}
        data_centres |= {
            entry.data_centre for entry in self.view.entries_by_id.values()
        }
        return fleet_checks.FleetSummary(
            instances=instances,
            documents=self.view.documents_by_service.values(),
            data_centres=frozenset(data_centres),
            is_stable=self.time - self.fleet_changed_at
            >= _FLEET_COMPLETE_AFTER_S,
        )

    def _register(self, entry: messages.EntryRecord) -> bool:
        """Make an entry live; False if a later incarnation is registered."""
        registered = self.view.entries_by_id.get(entry.id)
        if registered is not None:
            if registered.incarnation > entry.incarnation:
                return False
            if registered == entry:
                return True
            if registered.incarnation < entry.incarnation:
                self.claims.mark_entry_claims_unknown(
                    registered.id, registered.incarnation, self.time
                )
        entries = dict(self.view.entries_by_id)
        entries[entry.id] = entry
        self._change_entries(entries)
        return True

    def _expire_entries(self, command: commands.ExpireEntries) -> None:
        entries = dict(self.view.entries_by_id)
        changed = False
        for ref in command.entries:
            registered = entries.get(ref.id)
            if registered is None or registered.incarnation != ref.incarnation:
                continue
            self.claims.mark_entry_claims_unknown(
                ref.id, ref.incarnation, self.time
            )
            if command.remove or registered.leaving:
                del entries[ref.id]
                changed = True
            elif registered.live:
                entries[ref.id] = msgspec.structs.replace(
                    registered, live=False
                )
                changed = True
        if changed:
            self._change_entries(entries)

    def _change_entries(
        self, entries: dict[ids.EntryId, messages.EntryRecord]
    ) -> None:
        # A new epoch makes slot owners wait for the grants of the old one, so
        # the epoch grows only when the set of slot owners changes.
        epoch = self.view.entry_epoch
        before = self.view.live_entries()
        if _slot_owners(before) != _slot_owners(entries.values()) or not epoch:
            epoch = ids.Epoch(epoch + 1)
        self._apply_change(
            messages.EntriesChanged(epoch, tuple(entries.values()))
        )

    def _apply_batch(
        self, batch: claims.ClaimBatch
    ) -> claims.ClaimBatchReply | None:
        for outcome in batch.outcomes:
            self.claims.record_outcome(outcome, self.time)
        if batch.claims and self.claims.is_full:
            return None
        if not all(self._is_from_live_entry(claim) for claim in batch.claims):
            return None
        return claims.ClaimBatchReply(
            tuple(
                self.claims.claim(claim, self.time) for claim in batch.claims
            )
        )

    def _is_from_live_entry(self, claim: claims.Claim) -> bool:
        """Whether the claiming incarnation of the entry is live.

        Otherwise the expiry of the entry would not end the claim.
        """
        entry = self.view.entries_by_id.get(claim.entry)
        return (
            entry is not None
            and entry.live
            and entry.incarnation == claim.incarnation
        )

    def _expire_claims(self) -> None:
        if self.time - self.claims_expired_at >= _EXPIRY_INTERVAL_S:
            self.claims_expired_at = self.time
            self.claims.expire(self.time)

    def _announce(
        self, announcements: tuple[messages.Announcement, ...]
    ) -> None:
        for announcement in announcements:
            current = self.view.instances_by_id.get(announcement.id)
            record = lifecycle.apply_announcement(
                current, announcement, self.time
            )
            if record is not None:
                if current is None:
                    self.fleet_changed_at = self.time
                self._put_instance(current, record)

    def _transition(
        self, change: planning.Transition
    ) -> commands.TransitionVerdict:
        current = self.view.instances_by_id.get(change.instance)
        verdict, record = lifecycle.apply_transition(
            current, change, self.time
        )
        if record is not None:
            self._put_instance(current, record)
        return verdict

    def _put_instance(
        self,
        before: fleet.InstanceRecord | None,
        record: fleet.InstanceRecord,
    ) -> None:
        self.fleet_log.record(before, record, self.time)
        self._apply_change(messages.InstanceChanged(record))

    def _record_notice(self, notice: planning.Notice) -> None:
        for known in list(self.notices_by_id.values()):
            if known.until < self.time:
                del self.notices_by_id[known.id]
        self.notices_by_id[notice.id] = notice

    def _remove_instances(self, instances: tuple[ids.InstanceId, ...]) -> None:
        for instance_id in instances:
            instance = self.view.instances_by_id.get(instance_id)
            if instance and instance.state is fleet.InstanceState.LOST:
                self._apply_change(messages.InstanceRemoved(instance_id))


def _slot_owners(
    entries: Iterable[messages.EntryRecord],
) -> set[tuple[ids.EntryId, ids.Incarnation]]:
    """Return the incarnations of the entries that may own slots."""
    return {
        (entry.id, entry.incarnation)
        for entry in entries
        if entry.live and not entry.leaving
    }


def _changed_object(change: messages.ViewChange) -> tuple[str, str]:
    match change:
        case messages.DocumentChanged(document=document):
            return 'document', document.service
        case messages.InstanceChanged(instance=instance):
            return 'instance', instance.id
        case messages.InstanceRemoved(id=instance_id):
            return 'instance', instance_id
        case messages.EntriesChanged():
            return 'entries', ''

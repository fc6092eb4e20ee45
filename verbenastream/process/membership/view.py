"""The part of the committed state that entries receive."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib

import logbook

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.version.documents import schema
from verbenastream.version import fleet
from verbenastream import wire

LOG = logbook.Logger(__name__)

_DIGEST_BYTES = 8


class EntryView:
    """The documents, instances and entries as of the log index ``index``.

    The control process keeps the same view, so that both sides can compare
    digests. The digest is the exclusive or of the hashes of all items, so a
    change computes one hash, whatever the size of the fleet::

        view = EntryView()
        if view.apply(reply):
            acknowledge(view.index, view.digest())
    """

    def __init__(self) -> None:
        self.index = ids.LogIndex(0)
        self.documents_by_service: dict[ids.ServiceId, schema.Document] = {}
        self.revisions_by_service: dict[ids.ServiceId, ids.Revision] = {}
        self.instances_by_id: dict[ids.InstanceId, fleet.InstanceRecord] = {}
        self.entries_by_id: dict[ids.EntryId, messages.EntryRecord] = {}
        self.entry_epoch = ids.Epoch(0)
        self._hashes_by_item: dict[tuple[str, str], int] = {}
        self._digest = 0

    def apply(self, reply: messages.RenewReply) -> bool:
        """Apply a reply; return False if it is stale or leaves a gap.

        A reply that would lower the index or the revision of a document is
        not applied.
        """
        if reply.index < self.index:
            return False
        if not reply.snapshot and reply.base > self.index:
            return False
        if self._lowers_revision(reply.changes):
            LOG.error(
                'renewal reply lowers a revision, ignored',
                extra={'index': reply.index},
            )
            return False
        if reply.snapshot:
            self._remove_missing(reply.changes)
        for change in reply.changes:
            self.apply_change(change)
        self.index = reply.index
        return True

    def apply_change(self, change: messages.ViewChange) -> None:
        match change:
            case messages.DocumentChanged(
                revision=revision, document=document
            ):
                service = ids.ServiceId(document.service)
                self.documents_by_service[service] = document
                self.revisions_by_service[service] = revision
                self._update_item_hash('document', service, change)
            case messages.InstanceChanged(instance=instance):
                self.instances_by_id[instance.id] = instance
                self._update_item_hash('instance', instance.id, change)
            case messages.InstanceRemoved(id=instance_id):
                self.instances_by_id.pop(instance_id, None)
                self._update_item_hash('instance', instance_id, None)
            case messages.EntriesChanged(epoch=epoch, entries=entries):
                self.entry_epoch = epoch
                self.entries_by_id = {entry.id: entry for entry in entries}
                self._update_item_hash('entries', '', change)

    def digest(self) -> str:
        """Return the digest of the content as 16 hexadecimal digits."""
        return f'{self._digest:016x}'

    def live_entries(self) -> tuple[messages.EntryRecord, ...]:
        """Return the entries that may own slots, sorted by id."""
        return tuple(
            entry
            for _, entry in sorted(self.entries_by_id.items())
            if entry.live and not entry.leaving
        )

    def changes(self) -> tuple[messages.ViewChange, ...]:
        """Return the whole view as changes, for a snapshot reply."""
        changes: list[messages.ViewChange] = []
        if self.entry_epoch:
            changes.append(
                messages.EntriesChanged(
                    self.entry_epoch, tuple(self.entries_by_id.values())
                )
            )
        for service, document in self.documents_by_service.items():
            revision = self.revisions_by_service[service]
            changes.append(messages.DocumentChanged(revision, document))
        for instance in self.instances_by_id.values():
            changes.append(messages.InstanceChanged(instance))
        return tuple(changes)

    def _lowers_revision(self, changes: Iterable[messages.ViewChange]) -> bool:
        for change in changes:
            if isinstance(change, messages.DocumentChanged):
                service = ids.ServiceId(change.document.service)
                if change.revision < self.revisions_by_service.get(service, 0):
                    return True
        return False

    def _remove_missing(self, changes: Iterable[messages.ViewChange]) -> None:
        present = {
            change.instance.id
            for change in changes
            if isinstance(change, messages.InstanceChanged)
        }
        for instance_id in list(self.instances_by_id):
            if instance_id not in present:
                self.apply_change(messages.InstanceRemoved(instance_id))

    def _update_item_hash(
        self, kind: str, name: str, change: messages.ViewChange | None
    ) -> None:
        """Replace the hash of an item in the digest; None removes it."""
        item = (kind, name)
        self._digest ^= self._hashes_by_item.pop(item, 0)
        if change is not None:
            digest = hashlib.blake2b(
                wire.encode(change), digest_size=_DIGEST_BYTES
            )
            item_hash = int.from_bytes(digest.digest(), 'big')
            self._hashes_by_item[item] = item_hash
            self._digest ^= item_hash

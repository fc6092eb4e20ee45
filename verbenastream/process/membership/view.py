"""What an entry knows of the committed state."""

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
    """The documents, instances and entries as of ``index``.

    The control process keeps the same view, so that both sides compare
    digests. The digest is the exclusive or of one hash for each item; a
    change costs one hash, whatever the size of the fleet::

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
        """Apply a reply; False if it is stale or leaves a gap.

        A reply is never applied when it would lower the index or the
        revision of a document.
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
            case messages.DocumentChanged(revision=revision, document=found):
                service = ids.ServiceId(found.service)
                self.documents_by_service[service] = found
                self.revisions_by_service[service] = revision
                self._put('document', service, change)
            case messages.InstanceChanged(instance=instance):
                self.instances_by_id[instance.id] = instance
                self._put('instance', instance.id, change)
            case messages.InstanceRemoved(id=instance_id):
                self.instances_by_id.pop(instance_id, None)
                self._put('instance', instance_id, None)
            case messages.EntriesChanged(epoch=epoch, entries=entries):
                self.entry_epoch = epoch
                self.entries_by_id = {entry.id: entry for entry in entries}
                self._put('entries', '', change)

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
        found: list[messages.ViewChange] = []
        if self.entry_epoch:
            found.append(
                messages.EntriesChanged(
                    self.entry_epoch, tuple(self.entries_by_id.values())
                )
            )
        for service, document in self.documents_by_service.items():
            revision = self.revisions_by_service[service]
            found.append(messages.DocumentChanged(revision, document))
        for instance in self.instances_by_id.values():
            found.append(messages.InstanceChanged(instance))
        return tuple(found)

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

    def _put(
        self, kind: str, name: str, change: messages.ViewChange | None
    ) -> None:
        item = (kind, name)
        self._digest ^= self._hashes_by_item.pop(item, 0)
        if change is not None:
            digest = hashlib.blake2b(
                wire.encode(change), digest_size=_DIGEST_BYTES
            )
            found = int.from_bytes(digest.digest(), 'big')
            self._hashes_by_item[item] = found
            self._digest ^= found

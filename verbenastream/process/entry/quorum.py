"""Decides whether entries may continue to serve after control is lost."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenastream import ids
    from verbenastream.process.membership import messages

# Entries without a lease report every 0.25 s, and at once when they get one.
# If control returns to entries whose reports no longer arrive, an entry may
# therefore serve an older revision for up to 1 s.
_MAX_REPORT_AGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLease:
    """The lease state that another entry last reported."""

    has_lease: bool
    applied_index: ids.LogIndex
    received_at: float


class EntryQuorum:
    """Decides by the entries without a lease whether control is lost.

    A document in force was acknowledged by a majority of the registered
    entries. Each majority without a lease therefore contains an entry that
    applied it, and only entries at the highest index of the majority serve.
    """

    def __init__(self, entry: ids.EntryId) -> None:
        self._entry = entry
        self._registered: frozenset[ids.EntryId] = frozenset()

    def set_entries(
        self, entries_by_id: Mapping[ids.EntryId, messages.EntryRecord]
    ) -> None:
        self._registered = frozenset(entries_by_id)

    def may_serve(
        self,
        applied_index: ids.LogIndex,
        leases_by_id: Mapping[ids.EntryId, PeerLease],
        now: float,
    ) -> bool:
        """Whether this entry may serve without a lease at ``now``."""
        if self._entry not in self._registered or applied_index == 0:
            return False
        confirmed = 1
        for entry, lease in leases_by_id.items():
            recent = now - lease.received_at <= _MAX_REPORT_AGE_S
            if entry not in self._registered or not recent:
                continue
            if lease.applied_index == 0:
                # A restarted entry does not know what it has acknowledged.
                continue
            if lease.has_lease or lease.applied_index > applied_index:
                return False
            confirmed += 1
        return 2 * confirmed > len(self._registered)

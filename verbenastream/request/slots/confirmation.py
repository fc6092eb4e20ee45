"""Confirmation that the entry set of an owner of slots is current."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenastream import ids


class SetConfirmation:
    """Collects the reports that confirm an entry set after a lost lease."""

    def __init__(self) -> None:
        # Entries that have reported since; None if nothing is awaited.
        self._confirming_entries: set[ids.EntryId] | None = None

    @property
    def is_awaited(self) -> bool:
        """Whether too few entries have reported under the set so far."""
        return self._confirming_entries is not None

    def suspend(self) -> None:
        """Await reports of most entries, unless they are awaited already."""
        if self._confirming_entries is None:
            self._confirming_entries = set()

    def resume(self) -> None:
        """Await nothing any more."""
        self._confirming_entries = None

    def record_report(self, entry: ids.EntryId, entry_count: int) -> None:
        """Record a report under the set, which has ``entry_count`` entries."""
        if self._confirming_entries is None:
            return
        self._confirming_entries.add(entry)
        if 2 * len(self._confirming_entries) > entry_count:
            self._confirming_entries = None
